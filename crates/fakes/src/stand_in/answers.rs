//! Answers requests to the model engine and to the plain service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::HeaderValue;
use http::header::CONTENT_TYPE;
use http_body::Frame;
use http_body_util::{BodyExt, Limited, StreamBody};
use serde::Serialize;
use serde_json::{Value, json};
use viz::{Body, IntoResponse, Request, Response, StatusCode};

use super::record::{Running, Waiting};
use super::{Fault, Shared};

/// Bytes of a prompt that count as one token; roughly right for English text, which is enough for a stand-in.
const BYTES_PER_TOKEN: usize = 4;

/// Longest request body, in bytes; far above what tests and demonstrations send.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Header with the id of a request, in the request and in the response.
const REQUEST_ID: &str = "x-request-id";

/// Interface that a path follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Style {
    Chat,
    Text,
    Plain,
}

/// A request whose body has arrived and is ready to run.
#[derive(Debug)]
struct Job {
    style: Style,
    request_id: Box<str>,
    method: Box<str>,
    path: Box<str>,
    body_bytes: usize,
    tokens: u32,
    is_streamed: bool,
}

impl Job {
    fn prompt_tokens(&self) -> u64 {
        (self.body_bytes / BYTES_PER_TOKEN) as u64
    }

    fn kv_tokens(&self) -> u64 {
        match self.style {
            Style::Chat | Style::Text => self.prompt_tokens() + u64::from(self.tokens),
            Style::Plain => 0,
        }
    }

    /// Returns the token at an index; it names the request, so that a swapped answer is noticed.
    fn token(&self, index: u32) -> String {
        format!("{}/{index} ", self.request_id)
    }

    fn usage(&self) -> Value {
        let prompt = self.prompt_tokens();
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": self.tokens,
            "total_tokens": prompt + u64::from(self.tokens),
        })
    }

    fn event(&self, index: u32) -> Bytes {
        let text = self.token(index);
        let choice = match self.style {
            Style::Chat => json!({ "index": 0, "delta": { "content": text } }),
            Style::Text | Style::Plain => json!({ "index": 0, "text": text }),
        };
        let event = json!({ "id": self.request_id, "choices": [choice] });
        Bytes::from(format!("data: {event}\n\n"))
    }

    fn last_events(&self) -> Bytes {
        let event = json!({ "id": self.request_id, "choices": [], "usage": self.usage() });
        Bytes::from(format!("data: {event}\n\ndata: [DONE]\n\n"))
    }

    fn whole_answer(&self) -> Bytes {
        let text: String = (0..self.tokens).map(|index| self.token(index)).collect();
        let choice = match self.style {
            Style::Chat => {
                json!({ "index": 0, "message": { "role": "assistant", "content": text } })
            }
            Style::Text => json!({ "index": 0, "text": text }),
            Style::Plain => return self.echo(),
        };
        let answer = json!({ "id": self.request_id, "choices": [choice], "usage": self.usage() });
        Bytes::from(answer.to_string())
    }

    fn echo(&self) -> Bytes {
        let answer = json!({
            "method": self.method,
            "path": self.path,
            "body_bytes": self.body_bytes,
        });
        Bytes::from(answer.to_string())
    }

    /// Returns the parts of the response body, in order.
    fn parts(&self) -> Vec<Bytes> {
        if !self.is_streamed {
            return vec![self.whole_answer()];
        }
        let mut parts: Vec<Bytes> = (0..self.tokens).map(|index| self.event(index)).collect();
        parts.push(self.last_events());
        parts
    }

    /// Returns the delay before each part of the response body.
    fn part_delay(&self, tokens_per_second: u32) -> Duration {
        if tokens_per_second == 0 || self.style == Style::Plain {
            return Duration::ZERO;
        }
        let tokens = if self.is_streamed { 1 } else { self.tokens };
        Duration::from_secs(1) * tokens / tokens_per_second
    }
}

pub(super) fn json<T: Serialize>(value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("the stand-in's pages have a JSON form");
    with_content_type("application/json", Bytes::from(body).into_response())
}

fn with_content_type(content_type: &'static str, mut response: Response) -> Response {
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Runs one request, subject to the fault that is set when it arrives.
pub(super) async fn serve(
    shared: Arc<Shared>,
    request: Request,
    style: Style,
) -> viz::Result<Response> {
    let fault = shared.faults.get();
    if let Some(Fault::Status { status }) = fault {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return Ok(status.into_response());
    }
    let Some(job) = parse_request(request, style, shared.settings.default_tokens).await else {
        return Ok(StatusCode::BAD_REQUEST.into_response());
    };
    let waiting = Waiting::begin(&shared);
    let slot = shared.slots.acquire().await;
    slot.expect("the stand-in never closes its slots").forget();
    let slot = Slot(Arc::clone(&shared));
    drop(waiting);
    let running = Running::begin(&shared, &job.request_id, job.kv_tokens());
    if !shared.settings.first_token.is_zero() {
        tokio::time::sleep(shared.settings.first_token).await;
    }
    match fault {
        Some(Fault::Hang) => std::future::pending().await,
        Some(Fault::Slow { delay }) => tokio::time::sleep(delay).await,
        _ => {}
    }
    let job = if fault == Some(Fault::Crossed) {
        with_other_request_id(job)
    } else {
        job
    };
    Ok(respond(&shared, &job, fault, running, slot))
}

fn with_other_request_id(job: Job) -> Job {
    Job {
        request_id: format!("{}-other", job.request_id).into(),
        ..job
    }
}

async fn parse_request(request: Request, style: Style, default_tokens: u32) -> Option<Job> {
    let method = request.method().as_str().into();
    let path = request.uri().path().into();
    let request_id = request.headers().get(REQUEST_ID);
    let request_id = request_id.and_then(|id| id.to_str().ok()).unwrap_or("");
    let request_id = request_id.into();
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    let fields = match style {
        Style::Chat | Style::Text => serde_json::from_slice(&body).ok()?,
        Style::Plain => Value::Null,
    };
    let tokens = fields["max_tokens"].as_u64();
    let tokens = tokens.and_then(|tokens| u32::try_from(tokens).ok());
    Some(Job {
        style,
        request_id,
        method,
        path,
        body_bytes: body.len(),
        tokens: tokens.unwrap_or(default_tokens),
        is_streamed: fields["stream"].as_bool().unwrap_or(false),
    })
}

fn respond(
    shared: &Shared,
    job: &Job,
    fault: Option<Fault>,
    running: Running,
    slot: Slot,
) -> Response {
    let part_delay = job.part_delay(shared.settings.tokens_per_second);
    let parts = truncate(job.parts(), fault);
    let stream_state = BodyStream {
        parts: parts.into_iter(),
        part_delay,
        fault,
        running,
        slot,
    };
    let body = stream::unfold(Some(stream_state), BodyStream::next).boxed();
    let body = Body::wrap(StreamBody::new(body));
    let content_type = if job.is_streamed {
        "text/event-stream"
    } else {
        "application/json"
    };
    let mut response = with_content_type(content_type, Response::new(body));
    if let Ok(id) = HeaderValue::from_str(&job.request_id) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Truncates the parts to the bytes that the fault lets through.
fn truncate(parts: Vec<Bytes>, fault: Option<Fault>) -> Vec<Bytes> {
    let Some(Fault::Cut { after_bytes } | Fault::Stall { after_bytes }) = fault else {
        return parts;
    };
    let mut left = after_bytes;
    let mut sent = Vec::new();
    for mut part in parts {
        part.truncate(left);
        left -= part.len();
        sent.push(part);
    }
    sent.retain(|part| !part.is_empty());
    sent
}

/// A slot that a request occupies; it is released when the answer has ended or its reader is gone.
#[derive(Debug)]
struct Slot(Arc<Shared>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.slots.add_permits(1);
    }
}

/// State of one response body while it is streamed.
#[derive(Debug)]
struct BodyStream {
    parts: std::vec::IntoIter<Bytes>,
    part_delay: Duration,
    fault: Option<Fault>,
    running: Running,
    slot: Slot,
}

impl BodyStream {
    async fn next(
        stream_state: Option<Self>,
    ) -> Option<(std::io::Result<Frame<Bytes>>, Option<Self>)> {
        let mut stream_state = stream_state?;
        if stream_state.parts.len() == 1 && stream_state.fault == Some(Fault::HoldEnd) {
            stream_state
                .slot
                .0
                .faults
                .wait_until_cleared(Fault::HoldEnd)
                .await;
        }
        if let Some(part) = stream_state.parts.next() {
            if !stream_state.part_delay.is_zero() {
                tokio::time::sleep(stream_state.part_delay).await;
            }
            return Some((Ok(Frame::data(part)), Some(stream_state)));
        }
        match stream_state.fault {
            Some(Fault::Cut { .. }) => {
                // The connection flushes its buffer only while the body is pending.
                tokio::task::yield_now().await;
                Some((Err(std::io::ErrorKind::ConnectionReset.into()), None))
            }
            Some(Fault::Stall { .. }) => std::future::pending().await,
            _ => {
                stream_state.running.complete();
                None
            }
        }
    }
}
