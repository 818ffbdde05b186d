//! Runs one bound request: claims its key, sends it to the endpoint once, and streams the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hinge_link::BodyEnd;
use hinge_outcome::{ClaimId, Reason, RunEvent, Verdict};
use hinge_placement::Sample;
use hinge_schema::messages::{
    AnswerHead, Bind, ClaimKey, ClaimVerdict, FinishKey, KeyOutcome, Offer,
};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::answer::Answer;
use crate::endpoint::{self, Connection};
use crate::meter::{self, Meter};
use crate::reasons::wire_reason;
use crate::rules;
use crate::shared::{LiveRun, Shared, fail_answer};

/// A request that has arrived whole under a grant.
#[derive(Debug)]
pub(crate) struct BoundRequest {
    pub(crate) claim: ClaimId,
    pub(crate) offer: Offer,
    pub(crate) bind: Bind,
    pub(crate) body: Bytes,
}

/// The reason why a run did not end with a whole answer.
#[derive(Debug, Clone, Copy)]
struct Failure {
    reason: Reason,
    retry_after: Duration,
    /// Health sample of the endpoint, when the endpoint is at fault.
    sample: Option<Sample>,
}

impl Failure {
    fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: Duration::ZERO,
            sample: None,
        }
    }

    fn by_endpoint(reason: Reason) -> Self {
        let sample = match reason {
            Reason::EndpointTimeout => Sample::TimedOut,
            _ => Sample::Failed,
        };
        Self {
            reason,
            retry_after: crate::dispatch::RETRY_ELSEWHERE_DELAY,
            sample: Some(sample),
        }
    }
}

/// The result of a run that ended with a whole answer.
#[derive(Debug, Clone, Copy)]
struct Served {
    units: u64,
    status: StatusCode,
    /// Time from the hand-over to the head of the answer.
    wait: Duration,
}

/// Control's name for the outcome of a run that ended with a whole answer.
const COMPLETED_OUTCOME: &str = "completed";

/// Returns whether a key must be claimed before the hand-over.
pub(crate) fn needs_key(offer: &Offer) -> bool {
    !offer.idempotent || offer.key.is_some()
}

/// Returns the caller's idempotency key, or one made from the request's id.
///
/// A non-idempotent request without a caller's key may still be granted twice, for example when an entry loses contact with its
/// first grant and binds to a second one; the key made from the request's id lets only one of the two run.
fn idempotency_key(offer: &Offer) -> Box<str> {
    match &offer.key {
        Some(key) => format!("caller/{key}").into(),
        None => format!("request/{}", request_name(offer)).into(),
    }
}

/// Returns the request's id, which is unique in the fleet.
pub(crate) fn request_name(offer: &Offer) -> Box<str> {
    let Offer {
        entry,
        entry_incarnation,
        request_id,
        ..
    } = offer;
    format!("{entry}-{entry_incarnation:x}-{request_id}").into()
}

/// Runs a request to its end, and reports the result to the answer and to the dispatcher.
pub(crate) async fn run(shared: Arc<Shared>, bound: BoundRequest, live: LiveRun) {
    let stopped = live.stop.clone();
    let running = Run {
        shared: &shared,
        bound: &bound,
        answer: &live.answer,
    };
    let ended = stopped.run_until_cancelled(running.execute()).await;
    match ended {
        Some(Ok(served)) => running.complete(served).await,
        Some(Err(failure)) => running.give_up(failure).await,
        None => running.finish_stopped().await,
    }
    shared.notify_change();
}

/// The borrowed state of one run.
#[derive(Clone, Copy)]
struct Run<'a> {
    shared: &'a Arc<Shared>,
    bound: &'a BoundRequest,
    answer: &'a Arc<Answer>,
}

impl Run<'_> {
    /// Claims the key, hands the request over and streams the answer to its end.
    async fn execute(self) -> Result<Served, Failure> {
        self.claim_key().await?;
        let shared = self.shared;
        let name = request_name(&self.bound.offer);
        let address = &shared.settings.endpoint_address;
        let request =
            endpoint::build_request(&self.bound.bind, self.bound.body.clone(), address, &name)
                .map_err(|_invalid| Failure::new(Reason::OverLimit))?;
        let mut connection = Connection::open(address, shared.settings.connect_timeout)
            .await
            .map_err(|_not_connected| Failure::by_endpoint(Reason::EndpointRefused))?;
        // From here on the outcome can't be "not run" any more. If the run was withdrawn meanwhile, nothing is sent.
        self.hand_over()?;
        let began_at = shared.now();
        let (response, body_end) = self.head(&mut connection, request).await?;
        let wait = shared.now().saturating_sub(began_at);
        let status = response.status();
        let units = self.stream(response, body_end, began_at).await?;
        Ok(Served {
            units,
            status,
            wait,
        })
    }

    fn advance(self, event: RunEvent) -> Result<(), Failure> {
        let claim = self.bound.claim;
        let state = self
            .shared
            .update(|dispatcher, now| dispatcher.advance(claim, event, now));
        // This reason is not used, as the run has already ended with another one.
        let state = state.map_err(|_verdict| Failure::new(Reason::Cancelled));
        state.map(|_state| ())
    }

    fn hand_over(self) -> Result<(), Failure> {
        let claim = self.bound.claim;
        let shared = self.shared;
        let kind = rules::kind(&shared.member.config().effective, &shared.settings);
        let cost = meter::hand_over_cost(kind, self.bound.body.len());
        let handed = shared.update(|dispatcher, now| dispatcher.hand_over(claim, cost, now));
        let handed = handed.map_err(|_verdict| Failure::new(Reason::Cancelled));
        handed.map(|_state| ())
    }

    async fn claim_key(self) -> Result<(), Failure> {
        let offer = &self.bound.offer;
        if !needs_key(offer) {
            return Ok(());
        }
        let claim = ClaimKey {
            team: offer.team.clone(),
            key: idempotency_key(offer),
            fingerprint: offer.fingerprint,
            sidecar: self.shared.member.instance().into(),
            incarnation: self.shared.member.incarnation(),
            claim_id: self.bound.claim,
            request_id: offer.request_id,
        };
        let reply = self.shared.claims.claim(claim).await;
        let reply = reply.map_err(|_unreachable| Failure::new(Reason::ControlUnreachable))?;
        let reason = match reply.verdict {
            ClaimVerdict::Granted => return self.advance(RunEvent::KeyClaimed),
            ClaimVerdict::AlreadyRunning => Reason::AlreadyRunning,
            ClaimVerdict::Finished if reply.outcome.as_deref() == Some(COMPLETED_OUTCOME) => {
                Reason::AlreadyFinished
            }
            ClaimVerdict::Finished => Reason::AlreadyFailed,
            ClaimVerdict::Conflict => Reason::KeyConflict,
            ClaimVerdict::Full => Reason::KeyTableFull,
        };
        Err(Failure {
            reason,
            retry_after: Duration::from_millis(reply.retry_after_ms),
            sample: None,
        })
    }

    /// Hands the request over, and returns the head of the answer and what ends its body.
    async fn head(
        self,
        connection: &mut Connection,
        request: http::Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, BodyEnd), Failure> {
        let method = request.method().clone();
        let head_timeout = self.shared.settings.head_timeout;
        let sent = timeout(head_timeout, connection.sender.send_request(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(_broken)) => return Err(Failure::by_endpoint(Reason::EndpointFailed)),
            Err(_elapsed) => return Err(Failure::by_endpoint(Reason::EndpointTimeout)),
        };
        let body_end = BodyEnd::read(&method, response.status(), response.headers());
        let body_end = body_end.map_err(|_invalid| Failure::by_endpoint(Reason::EndpointFailed))?;
        if self.is_crossed(response.headers()) {
            return Err(Failure::by_endpoint(Reason::AnswerCrossed));
        }
        self.answer.set_head(AnswerHead {
            request_id: self.bound.offer.request_id,
            status: response.status().as_u16(),
            headers: endpoint::answer_headers(response.headers().clone()),
        });
        Ok((response, body_end))
    }

    /// Returns whether the answer names another request; an answer that names none can't be checked.
    fn is_crossed(self, headers: &HeaderMap) -> bool {
        let named = headers.get(endpoint::REQUEST_ID);
        named.is_some_and(|named| named.as_bytes() != request_name(&self.bound.offer).as_bytes())
    }

    async fn stream(
        self,
        response: Response<Incoming>,
        body_end: BodyEnd,
        began_at: Duration,
    ) -> Result<u64, Failure> {
        let shared = self.shared;
        let is_event_stream = is_event_stream(response.headers());
        let request_bytes = self.bound.body.len();
        let kind = rules::kind(&shared.member.config().effective, &shared.settings);
        let mut meter = Meter::start(kind, request_bytes, is_event_stream, began_at);
        let mut body = response.into_body();
        loop {
            let frame = timeout(shared.settings.idle_timeout, body.frame()).await;
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_cut))) => return Err(Failure::by_endpoint(Reason::AnswerTruncated)),
                Ok(None) => break,
                Err(_elapsed) => return Err(Failure::by_endpoint(Reason::EndpointTimeout)),
            };
            self.meter_chunk(&mut meter, &data)?;
            let pushed = timeout(shared.settings.reader_timeout, self.answer.push(&data)).await;
            pushed.map_err(|_elapsed| Failure::new(Reason::AnswerTruncated))?;
        }
        // The close of the connection does not prove that the answer is whole.
        if !body_end.is_stated() && !meter.is_done() {
            return Err(Failure::by_endpoint(Reason::AnswerTruncated));
        }
        let total = meter.total_units(shared.now());
        let uncharged = total.saturating_sub(meter.charged_units());
        shared
            .metrics
            .record_units(&self.bound.offer.team, uncharged);
        // Units that were charged while the answer streamed are not refunded.
        Ok(total.max(meter.charged_units()))
    }

    fn meter_chunk(self, meter: &mut Meter, data: &[u8]) -> Result<(), Failure> {
        let claim = self.bound.claim;
        let bytes = data.len() as u64;
        self.shared.metrics.answer_bytes.inc_by(bytes);
        let units = meter.count(data, self.shared.now());
        self.shared
            .metrics
            .record_units(&self.bound.offer.team, units);
        let advanced = self.shared.update(|dispatcher, now| {
            dispatcher.charge(claim, units);
            dispatcher.advance(claim, RunEvent::Answer { bytes }, now)
        });
        let advanced = advanced.map_err(|_verdict| Failure::new(Reason::Cancelled));
        advanced.map(|_state| ())
    }

    async fn complete(self, served: Served) {
        let Served {
            units,
            status,
            wait,
        } = served;
        let claim = self.bound.claim;
        let verdict = self
            .shared
            .update(|dispatcher, now| dispatcher.complete(claim, units, now));
        self.answer.end(units);
        self.shared.metrics.completed.inc();
        if let Some(sample) = health_sample(status, wait) {
            self.shared.record_sample(sample);
        }
        self.finish_key(verdict).await;
    }

    async fn give_up(self, failure: Failure) {
        let claim = self.bound.claim;
        let Failure {
            reason,
            retry_after,
            sample,
        } = failure;
        let verdict = self
            .shared
            .update(|dispatcher, now| dispatcher.give_up(claim, reason, 0, retry_after, now));
        self.shared.metrics.record_failed(wire_reason(reason));
        if let Some(sample) = sample {
            self.shared.record_sample(sample);
        }
        // A retry of a request that did not run must find its key free, so the key is released before the entry is told.
        if !is_key_denied(reason) {
            self.finish_key(verdict).await;
        }
        fail_answer(self.answer, verdict);
    }

    /// Reports the key of a run that was stopped from outside; the dispatcher and the answer know already.
    async fn finish_stopped(self) {
        let claim = self.bound.claim;
        let verdict = self
            .shared
            .update(|dispatcher, now| dispatcher.ask_verdict(claim, now));
        self.finish_key(verdict).await;
    }

    /// Reports the outcome of the run to control, if the run needs a key.
    async fn finish_key(self, verdict: Verdict) {
        if needs_key(&self.bound.offer) {
            let finished = self.shared.claims.finish(self.finish_message(verdict));
            let claim_timeout = self.shared.settings.claim_timeout;
            // Control may be unreachable for long; the report is sent later without this run.
            let _reported_or_elapsed = timeout(claim_timeout, finished).await;
        }
    }

    fn finish_message(self, verdict: Verdict) -> FinishKey {
        let outcome = match verdict {
            Verdict::Completed { .. } => KeyOutcome::Completed,
            Verdict::NeverHandedOver { .. } => KeyOutcome::NeverHandedOver,
            Verdict::Running { .. } | Verdict::Failed { .. } | Verdict::Unknown => {
                KeyOutcome::Failed
            }
        };
        FinishKey {
            team: self.bound.offer.team.clone(),
            key: idempotency_key(&self.bound.offer),
            sidecar: self.shared.member.instance().into(),
            incarnation: self.shared.member.incarnation(),
            claim_id: self.bound.claim,
            outcome,
        }
    }
}

/// Returns whether control denied the key, so that there is none to release.
fn is_key_denied(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::AlreadyRunning
            | Reason::AlreadyFinished
            | Reason::AlreadyFailed
            | Reason::KeyConflict
            | Reason::KeyTableFull
    )
}

/// Returns the health sample of a whole answer; a 503 is a refusal for load and gives none.
fn health_sample(status: StatusCode, wait: Duration) -> Option<Sample> {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    if status.is_server_error() {
        return Some(Sample::Failed);
    }
    Some(Sample::Answered { wait })
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
