//! Reads the answer of a request that is bound to a grant, until it is complete or the outcome is final.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hinge_link::Exchange;
use hinge_outcome::{
    Accepted, AckPacer, AnswerValidator, Attempt, Event, Frame, GrantId, Outcome, Reason,
    SidecarId, Step,
};
use hinge_schema::messages::{
    Ack, AnswerChunk, AnswerHead, AskVerdict, FromSidecar, Resume, ToSidecar, VerdictReply,
};
use hinge_telemetry::log::Part;
use rand::RngExt;
use tokio::time::{sleep, timeout};

use crate::body::{BodyFault, BodySender};
use crate::estimates::CostFeatures;
use crate::exchange_guard::ExchangeGuard;
use crate::offers::Grant;
use crate::request::RequestContext;
use crate::shared::Shared;
use crate::wire;

/// Size at which chunks are no longer coalesced into one write; about the size of a write to a caller's socket.
const MAX_COALESCED_BYTES: usize = 64 * 1024;

/// Base of the random delay between verdict calls to a sidecar; its upper bound doubles with each call.
const VERDICT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The next part of an answer, or the outcome that ended it.
#[derive(Debug)]
pub enum AnswerPart {
    /// The status and headers.
    Head(AnswerHead),
    /// Bytes of the body; all that had arrived, up to a limit.
    Bytes(Bytes),
    /// The request has its final outcome.
    Settled(Outcome),
}

/// A request that is bound to a grant, with the state of its answer.
pub struct BoundRequest {
    shared: Arc<Shared>,
    request_id: u64,
    holder: GrantId,
    cost_features: Arc<CostFeatures>,
    guard: ExchangeGuard,
    body_sender: Option<BodySender>,
    check: AnswerValidator,
    pacer: Option<AckPacer>,
    attempt: Attempt,
    /// A frame that was read after the bytes of the last part, and is handled next.
    next_frame: Option<FromSidecar>,
    verdict_calls: u32,
    /// Outcome that the next call to [`Self::next`] returns.
    settled: Option<Outcome>,
    /// Fault of the caller's body, if that ended the request.
    pub body_fault: Option<BodyFault>,
}

impl std::fmt::Debug for BoundRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BoundRequest")
            .field("request_id", &self.request_id)
            .field("holder", &self.holder)
            .finish_non_exhaustive()
    }
}

impl BoundRequest {
    /// Binds the request to a grant and sends its head and body to the sidecar.
    pub async fn bind(
        request: &mut RequestContext,
        mut attempt: Attempt,
        request_id: u64,
        grant: Grant,
    ) -> Self {
        let Grant {
            holder,
            mut guard,
            replay_bytes,
        } = grant;
        attempt.apply(Event::BindSent);
        // There is always room for the first frame after an offer; a closed exchange is detected by the reader.
        let sender = guard.exchange().sender.clone();
        let _closed = sender
            .send(&ToSidecar::Bind(request.bind(request_id)))
            .await;
        let body_sender = request.body.send(&sender, request_id);
        Self {
            shared: Arc::clone(&request.shared),
            cost_features: Arc::clone(&request.cost_features),
            request_id,
            holder,
            guard,
            body_sender,
            check: AnswerValidator::new(request_id),
            pacer: replay_bytes.map(ack_pacer),
            attempt,
            next_frame: None,
            verdict_calls: 0,
            settled: None,
            body_fault: None,
        }
    }

    /// Returns the sidecar that granted the request.
    #[must_use]
    pub fn sidecar(&self) -> SidecarId {
        self.holder.sidecar
    }

    /// Returns whether the answer's head has been received.
    #[must_use]
    pub fn has_answer_started(&self) -> bool {
        self.check.has_head()
    }

    /// Applies an event that ends the request, such as its deadline, and returns the outcome.
    pub fn settle(&mut self, event: Event) -> Outcome {
        self.attempt.apply(event);
        self.outcome()
    }

    /// Acknowledges the bytes received so far, which the caller's connection has accepted.
    ///
    /// The sidecar drops them from its replay buffer. When there is no room to send the frame, the next call acknowledges
    /// these bytes as well.
    pub fn acknowledge_written(&mut self) {
        let Some(pacer) = &mut self.pacer else {
            return;
        };
        let mut next = pacer.clone();
        let Some(offset) = next.due(self.check.resume_offset()) else {
            return;
        };
        let ack = ToSidecar::Ack(Ack {
            request_id: self.request_id,
            offset,
        });
        if self.guard.try_send(&ack) {
            *pacer = next;
        }
    }

    /// Returns the next part of the answer, or the outcome.
    pub async fn next(&mut self) -> AnswerPart {
        loop {
            if let Some(outcome) = self.settled {
                return AnswerPart::Settled(outcome);
            }
            let frame = match self.next_frame.take() {
                Some(frame) => Some(frame),
                None => self.read().await,
            };
            let part = match frame {
                Some(FromSidecar::Chunk(chunk)) => self.on_chunks(chunk),
                Some(frame) => self.on_frame(frame),
                None if self.body_fault.is_some() => {
                    Some(AnswerPart::Settled(self.cancel_run().await))
                }
                None => self.recover().await,
            };
            if let Some(part) = part {
                if matches!(part, AnswerPart::Settled(_)) {
                    self.body_sender = None;
                }
                return part;
            }
        }
    }

    /// Reads a frame while the body is being sent; returns `None` when the exchange broke or the body failed.
    async fn read(&mut self) -> Option<FromSidecar> {
        loop {
            let Some(body_sender) = &mut self.body_sender else {
                return self.guard.exchange().reader.next().await.unwrap_or(None);
            };
            tokio::select! {
                biased;
                frame = self.guard.exchange().reader.next() => return frame.unwrap_or(None),
                sent = body_sender => {
                    self.body_sender = None;
                    if let Err(fault) = sent {
                        self.body_fault = Some(fault);
                        return None;
                    }
                }
            }
        }
    }

    /// Coalesces a chunk with those already received after it.
    fn on_chunks(&mut self, first: AnswerChunk) -> Option<AnswerPart> {
        let first = match self.check_chunk(first) {
            Ok(bytes) => bytes,
            Err(outcome) => return Some(AnswerPart::Settled(outcome)),
        };
        let mut coalesced: Option<BytesMut> = None;
        loop {
            let coalesced_bytes = coalesced.as_ref().map_or(first.len(), BytesMut::len);
            if coalesced_bytes >= MAX_COALESCED_BYTES {
                break;
            }
            // An error of the reader is returned again by the next read, after these bytes have been passed on.
            let Ok(Some(frame)) = self.guard.exchange().reader.buffered() else {
                break;
            };
            let FromSidecar::Chunk(chunk) = frame else {
                self.next_frame = Some(frame);
                break;
            };
            if chunk.request_id != self.request_id {
                // Rejected by the next call: the bytes before it are valid and are passed on first.
                self.next_frame = Some(FromSidecar::Chunk(chunk));
                break;
            }
            match self.check_chunk(chunk) {
                Ok(bytes) => coalesced
                    .get_or_insert_with(|| start_coalescing(&first))
                    .extend_from_slice(&bytes),
                // The bytes before the fault are valid and are passed on first; the next call returns the outcome.
                Err(outcome) => {
                    self.settled = Some(outcome);
                    break;
                }
            }
        }
        let bytes = coalesced.map_or(first, BytesMut::freeze);
        (!bytes.is_empty()).then_some(AnswerPart::Bytes(bytes))
    }

    /// Validates a chunk and returns its bytes without those that the caller already has.
    fn check_chunk(&mut self, chunk: AnswerChunk) -> Result<Bytes, Outcome> {
        let frame = Frame::Chunk {
            attempt: chunk.request_id,
            offset: chunk.offset,
            len: chunk.data.len() as u64,
        };
        match self.check.accept(frame) {
            Ok(Accepted::Chunk { skip, pass }) => {
                self.verdict_calls = 0;
                self.attempt.apply(Event::Chunk { bytes: pass });
                let data = Bytes::from(chunk.data.into_vec());
                let skip = usize::try_from(skip).expect("a skip is shorter than its chunk");
                Ok(data.slice(skip..))
            }
            Ok(_) => Ok(Bytes::new()),
            Err(fault) => Err(self.settle(Event::AnswerBroken(fault.reason()))),
        }
    }

    fn on_frame(&mut self, frame: FromSidecar) -> Option<AnswerPart> {
        match frame {
            FromSidecar::Head(head) => self.on_head(head),
            FromSidecar::Chunk(chunk) => self.on_chunks(chunk),
            FromSidecar::End(end) => {
                let frame = Frame::End {
                    attempt: end.request_id,
                    total: end.total_bytes,
                };
                let event = match self.check.accept(frame) {
                    Ok(_) => Event::End,
                    Err(fault) => Event::AnswerBroken(fault.reason()),
                };
                if event == Event::End {
                    // Update the estimates before the exchange ends, as its end allows the sidecar's next grant and thereby the
                    // next offer.
                    self.shared
                        .estimates
                        .record_cost(&self.cost_features, end.service_units);
                    self.guard.disarm();
                }
                Some(AnswerPart::Settled(self.settle(event)))
            }
            FromSidecar::Failed(failed) if failed.request_id == self.request_id => {
                let verdict = wire::failure(&failed);
                self.guard.disarm();
                Some(self.on_verdict(verdict))
            }
            // The grant ended before the bind arrived: like a failure before the hand-over, a refusal proves that the
            // request did not run.
            FromSidecar::Refused(refused) if refused.request_id == self.request_id => {
                let reason = wire::reason(refused.reason);
                let retry_after = Duration::from_millis(refused.retry_after_ms);
                self.guard.disarm();
                Some(self.on_verdict(hinge_outcome::Verdict::NeverHandedOver {
                    reason,
                    retry_after,
                }))
            }
            FromSidecar::Granted(granted) if granted.request_id == self.request_id => None,
            FromSidecar::Failed(_) | FromSidecar::Refused(_) | FromSidecar::Granted(_) => {
                let outcome = self.settle(Event::AnswerBroken(Reason::AnswerCrossed));
                Some(AnswerPart::Settled(outcome))
            }
        }
    }

    fn on_head(&mut self, head: AnswerHead) -> Option<AnswerPart> {
        let frame = Frame::Head {
            attempt: head.request_id,
        };
        match self.check.accept(frame) {
            Ok(Accepted::Head) => {
                self.verdict_calls = 0;
                self.attempt.apply(Event::Head);
                Some(AnswerPart::Head(head))
            }
            Ok(_) => None,
            Err(fault) => {
                let outcome = self.settle(Event::AnswerBroken(fault.reason()));
                Some(AnswerPart::Settled(outcome))
            }
        }
    }

    fn on_verdict(&mut self, verdict: hinge_outcome::Verdict) -> AnswerPart {
        let event = Event::Verdict {
            incarnation: self.holder.incarnation,
            verdict,
        };
        AnswerPart::Settled(self.settle(event))
    }

    /// Asks the sidecar for its verdict after the exchange broke, and resumes a run that goes on.
    ///
    /// Returns `None` when the answer is resumed.
    async fn recover(&mut self) -> Option<AnswerPart> {
        self.attempt
            .apply(Event::ExchangeBroken(self.holder.sidecar));
        self.guard.mark_lost();
        // The rest of a body can't be sent on another exchange, so such a run can't be resumed, only proved not to have begun.
        let has_body_left = self.body_sender.take().is_some();
        while self.verdict_calls < self.shared.settings.max_verdict_calls {
            self.verdict_calls += 1;
            if self.verdict_calls > 1 {
                self.attempt
                    .apply(Event::ExchangeBroken(self.holder.sidecar));
                sleep(self.verdict_retry_delay()).await;
            }
            let Some(reply) = self.ask_verdict().await else {
                continue;
            };
            match self.attempt.apply(wire::verdict(&reply)) {
                Step::Finish { outcome, .. } => {
                    self.guard.disarm();
                    return Some(AnswerPart::Settled(outcome));
                }
                Step::Resume {
                    offset, has_head, ..
                } if !has_body_left && self.resume(offset, has_head).await => return None,
                _ => {}
            }
        }
        let event = if self.has_answer_started() {
            Event::ResumeRefused
        } else {
            Event::VerdictUnavailable
        };
        Some(AnswerPart::Settled(self.settle(event)))
    }

    fn verdict_retry_delay(&self) -> Duration {
        let limit = VERDICT_RETRY_DELAY.saturating_mul(1 << self.verdict_calls.min(8));
        limit.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    async fn ask_verdict(&mut self) -> Option<VerdictReply> {
        let ask = AskVerdict {
            request_id: self.request_id,
            claim_id: self.holder.claim,
            incarnation: self.holder.incarnation,
        };
        let wait = self.shared.settings.call_timeout;
        let client = &self.shared.client;
        let reply = client
            .call(&self.guard.address, "/v1/verdict", &ask, wait)
            .await;
        match reply {
            Ok(reply) => Some(reply),
            Err(error) => {
                hinge_telemetry::warn!(
                    Part::Entry,
                    "A sidecar did not answer a verdict call.",
                    address = self.guard.address,
                    error = error,
                );
                None
            }
        }
    }

    async fn resume(&mut self, offset: u64, has_head: bool) -> bool {
        let wait = self.shared.settings.open_timeout;
        let client = &self.shared.client;
        let opened = client.open(&self.guard.address, "/v1/resume", wait).await;
        let Ok(Exchange { sender, reader }) = opened else {
            return false;
        };
        let resume = Resume {
            request_id: self.request_id,
            claim_id: self.holder.claim,
            incarnation: self.holder.incarnation,
            offset,
            acknowledged: has_head,
        };
        if sender.send(&resume).await.is_err() {
            return false;
        }
        self.shared.metrics.count_resume();
        self.guard.replace(Exchange { sender, reader });
        self.check.resume();
        true
    }

    /// Cancels a run whose body will stay incomplete, and returns the outcome that the sidecar can prove.
    async fn cancel_run(&mut self) -> Outcome {
        let cancel = hinge_schema::messages::CancelRun {
            request_id: self.request_id,
            claim_id: self.holder.claim,
            incarnation: self.holder.incarnation,
        };
        let wait = self.shared.settings.call_timeout;
        let client = &self.shared.client;
        let reply: Result<VerdictReply, _> = client
            .call(&self.guard.address, "/v1/cancel", &cancel, wait)
            .await;
        if let Ok(reply) = reply {
            self.attempt.apply(wire::verdict(&reply));
        }
        let reason = self.body_fault.map_or(Reason::Cancelled, BodyFault::reason);
        self.settle(Event::AnswerBroken(reason))
    }

    fn outcome(&self) -> Outcome {
        self.attempt.outcome().unwrap_or(Outcome::Unknown {
            reason: Reason::AnswerGarbled,
        })
    }

    /// Returns the next part, or settles the request when the answer was silent for the idle timeout.
    pub async fn next_before_idle_timeout(&mut self) -> AnswerPart {
        let wait = self.shared.settings.answer_idle_timeout;
        match timeout(wait, self.next()).await {
            Ok(part) => part,
            Err(_elapsed) => {
                AnswerPart::Settled(self.settle(Event::AnswerBroken(Reason::EndpointTimeout)))
            }
        }
    }
}

fn ack_pacer(replay_bytes: u64) -> AckPacer {
    AckPacer::new(usize::try_from(replay_bytes).unwrap_or(usize::MAX))
}

fn start_coalescing(first: &Bytes) -> BytesMut {
    let mut coalesced = BytesMut::with_capacity(MAX_COALESCED_BYTES.min(8 * first.len() + 1024));
    coalesced.extend_from_slice(first);
    coalesced
}
