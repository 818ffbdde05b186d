//! Runs one bound request: claims its key, hands it over once, and streams the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hinge_outcome::{ClaimId, Reason, RunEvent, Verdict};
use hinge_placement::Sample;
use hinge_schema::messages::{
    AnswerHead, Bind, ClaimKey, ClaimVerdict, FinishKey, KeyOutcome, Offer,
};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::answer::Answer;
use crate::endpoint::{self, Connection};
use crate::meter::{self, Meter};
use crate::reasons::wire_reason;
use crate::rules;
use crate::shared::{Live, Shell, fail_answer};

/// A request that has arrived whole under a grant.
#[derive(Debug)]
pub(crate) struct Bound {
    pub(crate) claim: ClaimId,
    pub(crate) offer: Offer,
    pub(crate) bind: Bind,
    pub(crate) body: Bytes,
}

/// Says why a run did not end with a whole answer.
#[derive(Debug, Clone, Copy)]
struct GivenUp {
    reason: Reason,
    retry_after: Duration,
    /// Whether the endpoint is to blame.
    sample: Option<Sample>,
}

impl GivenUp {
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

/// What a run came to that ended with a whole answer.
#[derive(Debug, Clone, Copy)]
struct Served {
    units: u64,
    status: StatusCode,
    /// Time from the hand-over to the head of the answer.
    wait: Duration,
}

/// How control names the outcome of a run that ended with a whole answer.
const COMPLETED: &str = "completed";

/// Returns whether a key must be claimed before the hand-over.
pub(crate) fn needs_key(offer: &Offer) -> bool {
    !offer.idempotent || offer.key.is_some()
}

/// Returns the caller's key, or one made of the request's id.
///
/// A non-idempotent request without a key of its caller may still be granted twice, as when an entry binds to a second grant
/// after it lost sight of the first; the key of the request's id lets only one of the two run.
fn key(offer: &Offer) -> Box<str> {
    match &offer.key {
        Some(key) => format!("caller/{key}").into(),
        None => format!("request/{}", request_name(offer)).into(),
    }
}

/// Returns the name of a request that is unique in the fleet.
pub(crate) fn request_name(offer: &Offer) -> Box<str> {
    let Offer {
        entry,
        entry_incarnation,
        request_id,
        ..
    } = offer;
    format!("{entry}-{entry_incarnation:x}-{request_id}").into()
}

/// Runs a request to its end; the answer and the core learn how it went.
pub(crate) async fn run(shell: Arc<Shell>, bound: Bound, live: Live) {
    let stopped = live.stop.clone();
    let running = Running {
        shell: &shell,
        bound: &bound,
        answer: &live.answer,
    };
    let ended = stopped.run_until_cancelled(running.to_end()).await;
    match ended {
        Some(Ok(served)) => running.complete(served).await,
        Some(Err(given_up)) => running.give_up(given_up).await,
        None => running.stopped().await,
    }
    shell.note_change();
}

/// Borrows what one run needs.
#[derive(Clone, Copy)]
struct Running<'a> {
    shell: &'a Arc<Shell>,
    bound: &'a Bound,
    answer: &'a Arc<Answer>,
}

impl Running<'_> {
    /// Returns what a run came to that ended with a whole answer.
    async fn to_end(self) -> Result<Served, GivenUp> {
        self.claim_key().await?;
        let shell = self.shell;
        let name = request_name(&self.bound.offer);
        let address = &shell.settings.endpoint_address;
        let request = endpoint::request(&self.bound.bind, self.bound.body.clone(), address, &name)
            .map_err(|_invalid| GivenUp::new(Reason::OverLimit))?;
        let mut connection = Connection::open(address, shell.settings.connect_timeout)
            .await
            .map_err(|_not_connected| GivenUp::by_endpoint(Reason::EndpointRefused))?;
        // From here on nobody may say "not run", and if the run was withdrawn meanwhile, nothing is sent.
        self.hand_over()?;
        let began_at = shell.now();
        let response = self.head(&mut connection, request).await?;
        let wait = shell.now().saturating_sub(began_at);
        let status = response.status();
        let units = self.stream(response, began_at).await?;
        Ok(Served {
            units,
            status,
            wait,
        })
    }

    fn advance(self, event: RunEvent) -> Result<(), GivenUp> {
        let claim = self.bound.claim;
        let state = self
            .shell
            .tell(|dispatcher, now| dispatcher.advance(claim, event, now));
        // The reason is not used, as the run has ended with another one.
        let state = state.map_err(|_verdict| GivenUp::new(Reason::Cancelled));
        state.map(|_state| ())
    }

    fn hand_over(self) -> Result<(), GivenUp> {
        let claim = self.bound.claim;
        let shell = self.shell;
        let kind = rules::kind(&shell.member.config().effective, &shell.settings);
        let cost = meter::hand_over_cost(kind, self.bound.body.len());
        let handed = shell.tell(|dispatcher, now| dispatcher.hand_over(claim, cost, now));
        let handed = handed.map_err(|_verdict| GivenUp::new(Reason::Cancelled));
        handed.map(|_state| ())
    }

    async fn claim_key(self) -> Result<(), GivenUp> {
        let offer = &self.bound.offer;
        if !needs_key(offer) {
            return Ok(());
        }
        let claim = ClaimKey {
            team: offer.team.clone(),
            key: key(offer),
            fingerprint: offer.fingerprint,
            sidecar: self.shell.member.instance().into(),
            incarnation: self.shell.member.incarnation(),
            claim_id: self.bound.claim,
            request_id: offer.request_id,
        };
        let reply = self.shell.claims.claim(claim).await;
        let reply = reply.map_err(|_unreachable| GivenUp::new(Reason::ControlUnreachable))?;
        let reason = match reply.verdict {
            ClaimVerdict::Granted => return self.advance(RunEvent::KeyClaimed),
            ClaimVerdict::AlreadyRunning => Reason::AlreadyRunning,
            ClaimVerdict::Finished if reply.outcome.as_deref() == Some(COMPLETED) => {
                Reason::AlreadyFinished
            }
            ClaimVerdict::Finished => Reason::AlreadyFailed,
            ClaimVerdict::Conflict => Reason::KeyConflict,
            ClaimVerdict::Full => Reason::KeyTableFull,
        };
        Err(GivenUp {
            reason,
            retry_after: Duration::from_millis(reply.retry_after_ms),
            sample: None,
        })
    }

    /// Hands the request over and waits for the head of the answer.
    async fn head(
        self,
        connection: &mut Connection,
        request: http::Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, GivenUp> {
        let wait = self.shell.settings.head_timeout;
        let sent = timeout(wait, connection.sender.send_request(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(_broken)) => return Err(GivenUp::by_endpoint(Reason::EndpointFailed)),
            Err(_elapsed) => return Err(GivenUp::by_endpoint(Reason::EndpointTimeout)),
        };
        if self.is_crossed(response.headers()) {
            return Err(GivenUp::by_endpoint(Reason::AnswerCrossed));
        }
        self.answer.set_head(AnswerHead {
            request_id: self.bound.offer.request_id,
            status: response.status().as_u16(),
            headers: endpoint::answer_headers(response.headers().clone()),
        });
        Ok(response)
    }

    /// Returns whether the answer names another request; an endpoint that names none can't be checked.
    fn is_crossed(self, headers: &HeaderMap) -> bool {
        let named = headers.get(endpoint::REQUEST_ID);
        named.is_some_and(|named| named.as_bytes() != request_name(&self.bound.offer).as_bytes())
    }

    async fn stream(
        self,
        response: Response<Incoming>,
        began_at: Duration,
    ) -> Result<u64, GivenUp> {
        let shell = self.shell;
        let headers = response.headers();
        let has_length = headers.contains_key(CONTENT_LENGTH)
            || headers.contains_key(TRANSFER_ENCODING)
            || has_no_body(&response, &self.bound.bind);
        let is_event_stream = is_event_stream(headers);
        let request_bytes = self.bound.body.len();
        let kind = rules::kind(&shell.member.config().effective, &shell.settings);
        let mut meter = Meter::start(kind, request_bytes, is_event_stream, began_at);
        let mut body = response.into_body();
        loop {
            let frame = timeout(shell.settings.idle_timeout, body.frame()).await;
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_cut))) => return Err(GivenUp::by_endpoint(Reason::AnswerTruncated)),
                Ok(None) => break,
                Err(_elapsed) => return Err(GivenUp::by_endpoint(Reason::EndpointTimeout)),
            };
            self.take(&mut meter, &data)?;
            let pushed = timeout(shell.settings.reader_timeout, self.answer.push(&data)).await;
            pushed.map_err(|_elapsed| GivenUp::new(Reason::AnswerTruncated))?;
        }
        // Without a length, the end of the connection is no proof of a whole answer.
        if !has_length && !meter.is_done() {
            return Err(GivenUp::by_endpoint(Reason::AnswerTruncated));
        }
        let total = meter.total_units(shell.now());
        let uncharged = total.saturating_sub(meter.charged_units());
        shell.metrics.note_units(&self.bound.offer.team, uncharged);
        // What was charged while it streamed stays charged.
        Ok(total.max(meter.charged_units()))
    }

    fn take(self, meter: &mut Meter, data: &[u8]) -> Result<(), GivenUp> {
        let claim = self.bound.claim;
        let bytes = data.len() as u64;
        self.shell.metrics.answer_bytes.inc_by(bytes);
        let units = meter.count(data, self.shell.now());
        self.shell.metrics.note_units(&self.bound.offer.team, units);
        let advanced = self.shell.tell(|dispatcher, now| {
            dispatcher.charge(claim, units);
            dispatcher.advance(claim, RunEvent::Answer { bytes }, now)
        });
        let advanced = advanced.map_err(|_verdict| GivenUp::new(Reason::Cancelled));
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
            .shell
            .tell(|dispatcher, now| dispatcher.complete(claim, units, now));
        self.answer.end(units);
        self.shell.metrics.completed.inc();
        if let Some(sample) = sample_of(status, wait) {
            self.shell.note_run(sample);
        }
        self.finish_key(verdict).await;
    }

    async fn give_up(self, given_up: GivenUp) {
        let claim = self.bound.claim;
        let GivenUp {
            reason,
            retry_after,
            sample,
        } = given_up;
        let verdict = self
            .shell
            .tell(|dispatcher, now| dispatcher.give_up(claim, reason, 0, retry_after, now));
        self.shell.metrics.note_failed(wire_reason(reason));
        if let Some(sample) = sample {
            self.shell.note_run(sample);
        }
        // A retry of a request that did not run must find its key free, so the key is given back before the entry is told.
        if !is_denied(reason) {
            self.finish_key(verdict).await;
        }
        fail_answer(self.answer, verdict);
    }

    /// Ends a run that was stopped by someone who has told the core and the answer.
    async fn stopped(self) {
        let claim = self.bound.claim;
        let verdict = self
            .shell
            .tell(|dispatcher, now| dispatcher.ask_verdict(claim, now));
        self.finish_key(verdict).await;
    }

    /// Reports to control what became of a claimed key, if there is one.
    async fn finish_key(self, verdict: Verdict) {
        if needs_key(&self.bound.offer) {
            let finished = self.shell.claims.finish(self.finished(verdict));
            let wait = self.shell.settings.claim_timeout;
            // Control may be away for long; the report goes on without us.
            let _reported_or_elapsed = timeout(wait, finished).await;
        }
    }

    fn finished(self, verdict: Verdict) -> FinishKey {
        let outcome = match verdict {
            Verdict::Completed { .. } => KeyOutcome::Completed,
            Verdict::NeverHandedOver { .. } => KeyOutcome::NeverHandedOver,
            Verdict::Running { .. } | Verdict::Failed { .. } | Verdict::Unknown => {
                KeyOutcome::Failed
            }
        };
        FinishKey {
            team: self.bound.offer.team.clone(),
            key: key(&self.bound.offer),
            sidecar: self.shell.member.instance().into(),
            incarnation: self.shell.member.incarnation(),
            claim_id: self.bound.claim,
            outcome,
        }
    }
}

/// Returns whether control denied the key, so that this run holds none.
fn is_denied(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::AlreadyRunning
            | Reason::AlreadyFinished
            | Reason::AlreadyFailed
            | Reason::KeyConflict
            | Reason::KeyTableFull
    )
}

/// Returns what a whole answer says about the endpoint; a refusal for load says nothing.
fn sample_of(status: StatusCode, wait: Duration) -> Option<Sample> {
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

/// Returns whether HTTP says that this answer has no body, so that it needs no length.
fn has_no_body(response: &Response<Incoming>, bind: &Bind) -> bool {
    let status = response.status().as_u16();
    matches!(status, 204 | 304) || &*bind.method == "HEAD"
}
