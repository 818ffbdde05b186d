//! Streams an answer to its caller; a broken answer never ends like a complete one.

use std::error::Error;
use std::fmt;

use bytes::Bytes;
use futures::stream;
use hinge_outcome::Outcome;
use hinge_schema::messages::AnswerHead;
use hinge_telemetry::log::Part;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use tokio::time::Instant;
use viz::{Body, Response};

use crate::bound::{AnswerPart, BoundRequest};
use crate::headers;
use crate::metrics::WriteGaps;
use crate::refusal::Refusal;
use crate::request::RequestContext;

/// The error of an answer that broke after its head was sent; it aborts the caller's connection or HTTP stream.
#[derive(Debug, Clone, Copy)]
pub struct BrokenAnswer(Outcome);

impl fmt::Display for BrokenAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer broke: {}", self.0)
    }
}

impl Error for BrokenAnswer {}

/// The next step of the response body.
#[derive(Debug, Clone, Copy)]
enum NextStep {
    Read,
    /// The error event was returned; abort once it is written.
    Abort(Outcome),
}

/// The state of a streamed response body.
struct AnswerStream {
    bound: BoundRequest,
    request: RequestContext,
    gaps: WriteGaps,
    last_write_at: Option<Instant>,
    is_event_stream: bool,
    next: NextStep,
}

/// Returns the response whose body is the rest of the answer.
pub fn response(bound: BoundRequest, request: RequestContext, head: &AnswerHead) -> Response {
    let headers = headers::for_caller(&head.headers);
    let is_event_stream = headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    let answer_stream = Box::new(AnswerStream {
        gaps: WriteGaps::new(&request.shared.metrics, &request.metrics),
        bound,
        request,
        last_write_at: None,
        is_event_stream,
        next: NextStep::Read,
    });
    let mut response = Response::new(Body::from_stream(stream::unfold(
        Some(answer_stream),
        |answer_stream| async move { answer_stream?.step().await },
    )));
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    response
}

type StreamItem = (Result<Bytes, BrokenAnswer>, Option<Box<AnswerStream>>);

impl AnswerStream {
    async fn step(mut self: Box<Self>) -> Option<StreamItem> {
        if let NextStep::Abort(outcome) = self.next {
            return Some(abort(outcome).await);
        }
        // The body is polled for the next part once the connection has accepted all before it.
        self.bound.acknowledge_written();
        match self.bound.next_before_idle_timeout().await {
            AnswerPart::Bytes(bytes) => {
                self.record_write(bytes.len());
                Some((Ok(bytes), Some(self)))
            }
            AnswerPart::Settled(Outcome::Completed) => {
                self.request.count_end(Outcome::Completed);
                None
            }
            AnswerPart::Settled(outcome) => Some(self.end_broken(outcome).await),
            // The answer check accepts only one head.
            AnswerPart::Head(_) => Some((Ok(Bytes::new()), Some(self))),
        }
    }

    fn record_write(&mut self, bytes: usize) {
        let now = Instant::now();
        if self.last_write_at.is_none() {
            let wait = now.duration_since(self.request.arrived);
            self.request.metrics.observe_first_byte(wait);
        }
        let gap = self.last_write_at.map(|at| now.duration_since(at));
        self.gaps.record_write(bytes, gap);
        self.last_write_at = Some(now);
    }

    async fn end_broken(mut self: Box<Self>, outcome: Outcome) -> StreamItem {
        let sidecar = self.bound.sidecar();
        self.request.observe_outcome(sidecar, outcome);
        self.request.count_end(outcome);
        hinge_telemetry::warn!(
            Part::Entry,
            "An answer broke.",
            team = self.request.team,
            pool = self.request.pool,
            outcome = outcome,
        );
        if !self.is_event_stream {
            return abort(outcome).await;
        }
        let refusal = Refusal::of_outcome(
            outcome,
            self.request.min_retry_after,
            self.request.is_resend_safe(),
        );
        let event = format!("\n\nevent: error\ndata: {}\n\n", refusal.json());
        self.next = NextStep::Abort(outcome);
        (Ok(Bytes::from(event)), Some(self))
    }
}

/// Ends the body with an error.
///
/// Yields first: the connection flushes its buffer while the body is pending, so that valid bytes are written before the
/// abort.
async fn abort(outcome: Outcome) -> StreamItem {
    tokio::task::yield_now().await;
    (Err(BrokenAnswer(outcome)), None)
}
