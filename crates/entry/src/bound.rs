//! Follows a request that is bound to a grant until its answer is whole or its outcome is final.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hinge_link::Exchange;
use hinge_outcome::{
    Accepted, AckPacer, AnswerCheck, Attempt, Event, Frame, Holder, Outcome, Reason, SidecarId,
    Step,
};
use hinge_schema::messages::{
    Ack, AnswerChunk, AnswerHead, AskVerdict, FromSidecar, Resume, ToSidecar, VerdictReply,
};
use hinge_telemetry::log::Part;
use rand::RngExt;
use tokio::time::{sleep, timeout};

use crate::body::{BodyFault, Pump};
use crate::estimates::CostFeatures;
use crate::hold::Hold;
use crate::job::Job;
use crate::offers::Grant;
use crate::shared::Shared;
use crate::wire;

/// Bytes of an answer that are joined into one write; a write to a caller's socket is about as large.
const JOINED_BYTES: usize = 64 * 1024;

/// Upper end of the random wait before a sidecar is asked again; it doubles with each ask.
const ASK_DELAY: Duration = Duration::from_millis(50);

/// Says what comes next of an answer.
#[derive(Debug)]
pub enum Turn {
    /// The head.
    Head(AnswerHead),
    /// Bytes of the body, as many as had come.
    Bytes(Bytes),
    /// The request has its final outcome.
    Settled(Outcome),
}

/// Follows one bound request.
pub struct Bound {
    shared: Arc<Shared>,
    request_id: u64,
    holder: Holder,
    cost_features: Arc<CostFeatures>,
    hold: Hold,
    pump: Option<Pump>,
    check: AnswerCheck,
    pacer: Option<AckPacer>,
    attempt: Attempt,
    /// A frame that came behind the bytes of the last turn.
    next_frame: Option<FromSidecar>,
    asks: u32,
    /// Outcome that the next turn tells.
    settled: Option<Outcome>,
    /// What went wrong with the caller's body, if that ended the request.
    pub body_fault: Option<BodyFault>,
}

impl std::fmt::Debug for Bound {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Bound")
            .field("request_id", &self.request_id)
            .field("holder", &self.holder)
            .finish_non_exhaustive()
    }
}

impl Bound {
    /// Binds the request to a grant, and sends its head and body on.
    pub async fn open(job: &mut Job, mut attempt: Attempt, request_id: u64, grant: Grant) -> Self {
        let Grant {
            holder,
            mut hold,
            replay_bytes,
        } = grant;
        attempt.on(Event::BindSent);
        // The first frame behind an offer always finds room; a closed exchange is noticed by the reader.
        let sender = hold.exchange().sender.clone();
        let _closed = sender.send(&ToSidecar::Bind(job.bind(request_id))).await;
        let pump = job.body.send(&sender, request_id);
        Self {
            shared: Arc::clone(&job.shared),
            cost_features: Arc::clone(&job.cost_features),
            request_id,
            holder,
            hold,
            pump,
            check: AnswerCheck::open(request_id),
            pacer: replay_bytes.map(pacer),
            attempt,
            next_frame: None,
            asks: 0,
            settled: None,
            body_fault: None,
        }
    }

    /// Returns the sidecar that granted.
    #[must_use]
    pub fn sidecar(&self) -> SidecarId {
        self.holder.sidecar
    }

    /// Returns whether anything of the answer has gone to the caller.
    #[must_use]
    pub fn has_answer_started(&self) -> bool {
        self.check.has_head()
    }

    /// Settles the request for a cause of this entry, such as the deadline, and returns its outcome.
    pub fn give_up(&mut self, event: Event) -> Outcome {
        self.attempt.on(event);
        self.outcome()
    }

    /// Acknowledges what has come so far, as the caller's connection has taken it.
    ///
    /// The sidecar drops these bytes, and has room for more. When the frame finds no room, the next call makes up for it.
    pub fn passed_on(&mut self) {
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
        if self.hold.try_send(&ack) {
            *pacer = next;
        }
    }

    /// Returns the next part of the answer, or the outcome.
    pub async fn next(&mut self) -> Turn {
        loop {
            if let Some(outcome) = self.settled {
                return Turn::Settled(outcome);
            }
            let frame = match self.next_frame.take() {
                Some(frame) => Some(frame),
                None => self.read().await,
            };
            let turn = match frame {
                Some(FromSidecar::Chunk(chunk)) => self.take_chunks(chunk),
                Some(frame) => self.take(frame),
                None if self.body_fault.is_some() => Some(Turn::Settled(self.cancel_run().await)),
                None => self.recover().await,
            };
            if let Some(turn) = turn {
                if matches!(turn, Turn::Settled(_)) {
                    self.pump = None;
                }
                return turn;
            }
        }
    }

    /// Reads a frame while the body goes on; `None` when the exchange broke or the body failed.
    async fn read(&mut self) -> Option<FromSidecar> {
        loop {
            let Some(pump) = &mut self.pump else {
                return self.hold.exchange().reader.next().await.unwrap_or(None);
            };
            tokio::select! {
                biased;
                frame = self.hold.exchange().reader.next() => return frame.unwrap_or(None),
                sent = pump => {
                    self.pump = None;
                    if let Err(fault) = sent {
                        self.body_fault = Some(fault);
                        return None;
                    }
                }
            }
        }
    }

    /// Takes a chunk and those that have come behind it, as one piece.
    fn take_chunks(&mut self, first: AnswerChunk) -> Option<Turn> {
        let first = match self.check_chunk(first) {
            Ok(bytes) => bytes,
            Err(outcome) => return Some(Turn::Settled(outcome)),
        };
        let mut joined: Option<BytesMut> = None;
        loop {
            let so_far = joined.as_ref().map_or(first.len(), BytesMut::len);
            if so_far >= JOINED_BYTES {
                break;
            }
            // A fault of the reader shows again at the next read, after these bytes have gone.
            let Ok(Some(frame)) = self.hold.exchange().reader.buffered() else {
                break;
            };
            let FromSidecar::Chunk(chunk) = frame else {
                self.next_frame = Some(frame);
                break;
            };
            if chunk.request_id != self.request_id {
                // Checked at the next turn: what came before it was whole and may go.
                self.next_frame = Some(FromSidecar::Chunk(chunk));
                break;
            }
            match self.check_chunk(chunk) {
                Ok(bytes) => joined
                    .get_or_insert_with(|| copy_first(&first))
                    .extend_from_slice(&bytes),
                // What came before the fault was whole and goes first; the next turn tells the outcome.
                Err(outcome) => {
                    self.settled = Some(outcome);
                    break;
                }
            }
        }
        let bytes = joined.map_or(first, BytesMut::freeze);
        (!bytes.is_empty()).then_some(Turn::Bytes(bytes))
    }

    /// Returns the bytes of a chunk that are new to the caller.
    fn check_chunk(&mut self, chunk: AnswerChunk) -> Result<Bytes, Outcome> {
        let frame = Frame::Chunk {
            attempt: chunk.request_id,
            offset: chunk.offset,
            len: chunk.data.len() as u64,
        };
        match self.check.accept(frame) {
            Ok(Accepted::Chunk { skip, pass }) => {
                self.asks = 0;
                self.attempt.on(Event::Chunk { bytes: pass });
                let data = Bytes::from(chunk.data.into_vec());
                let skip = usize::try_from(skip).expect("a skip is shorter than its chunk");
                Ok(data.slice(skip..))
            }
            Ok(_) => Ok(Bytes::new()),
            Err(fault) => Err(self.give_up(Event::AnswerBroken(fault.reason()))),
        }
    }

    fn take(&mut self, frame: FromSidecar) -> Option<Turn> {
        match frame {
            FromSidecar::Head(head) => self.take_head(head),
            FromSidecar::Chunk(chunk) => self.take_chunks(chunk),
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
                    // Learnt first: the end of the exchange lets the sidecar's next grant, and the next offer, go ahead.
                    self.shared
                        .estimates
                        .learn(&self.cost_features, end.service_units);
                    self.hold.disarm();
                }
                Some(Turn::Settled(self.give_up(event)))
            }
            FromSidecar::Failed(failed) if failed.request_id == self.request_id => {
                let verdict = wire::failure(&failed);
                self.hold.disarm();
                Some(self.on_verdict(verdict))
            }
            // The grant ended before the bind arrived: a refusal proves as much as a failure before the hand-over.
            FromSidecar::Refused(refused) if refused.request_id == self.request_id => {
                let reason = wire::reason(refused.reason);
                let retry_after = Duration::from_millis(refused.retry_after_ms);
                self.hold.disarm();
                Some(self.on_verdict(hinge_outcome::Verdict::NeverHandedOver {
                    reason,
                    retry_after,
                }))
            }
            FromSidecar::Granted(granted) if granted.request_id == self.request_id => None,
            FromSidecar::Failed(_) | FromSidecar::Refused(_) | FromSidecar::Granted(_) => {
                let outcome = self.give_up(Event::AnswerBroken(Reason::AnswerCrossed));
                Some(Turn::Settled(outcome))
            }
        }
    }

    fn take_head(&mut self, head: AnswerHead) -> Option<Turn> {
        let frame = Frame::Head {
            attempt: head.request_id,
        };
        match self.check.accept(frame) {
            Ok(Accepted::Head) => {
                self.asks = 0;
                self.attempt.on(Event::Head);
                Some(Turn::Head(head))
            }
            Ok(_) => None,
            Err(fault) => {
                let outcome = self.give_up(Event::AnswerBroken(fault.reason()));
                Some(Turn::Settled(outcome))
            }
        }
    }

    fn on_verdict(&mut self, verdict: hinge_outcome::Verdict) -> Turn {
        let event = Event::Verdict {
            incarnation: self.holder.incarnation,
            verdict,
        };
        Turn::Settled(self.give_up(event))
    }

    /// Asks the sidecar after a break, and resumes if the run goes on; `None` when the answer is resumed.
    async fn recover(&mut self) -> Option<Turn> {
        self.attempt.on(Event::LinkLost(self.holder.sidecar));
        self.hold.lose();
        // The rest of a body can't follow on another exchange, so such a run can only be proved not to have begun.
        let has_body_left = self.pump.take().is_some();
        while self.asks < self.shared.settings.max_asks {
            self.asks += 1;
            if self.asks > 1 {
                self.attempt.on(Event::LinkLost(self.holder.sidecar));
                sleep(self.ask_delay()).await;
            }
            let Some(reply) = self.ask().await else {
                continue;
            };
            match self.attempt.on(wire::verdict(&reply)) {
                Step::Settle { outcome, .. } => {
                    self.hold.disarm();
                    return Some(Turn::Settled(outcome));
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
            Event::AskFailed
        };
        Some(Turn::Settled(self.give_up(event)))
    }

    fn ask_delay(&self) -> Duration {
        let limit = ASK_DELAY.saturating_mul(1 << self.asks.min(8));
        limit.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    async fn ask(&mut self) -> Option<VerdictReply> {
        let ask = AskVerdict {
            request_id: self.request_id,
            claim_id: self.holder.claim,
            incarnation: self.holder.incarnation,
        };
        let wait = self.shared.settings.ask_timeout;
        let client = &self.shared.client;
        let reply = client
            .call(&self.hold.address, "/v1/verdict", &ask, wait)
            .await;
        match reply {
            Ok(reply) => Some(reply),
            Err(error) => {
                hinge_telemetry::warn!(
                    Part::Entry,
                    "A sidecar gave no word on a run.",
                    address = self.hold.address,
                    error = error,
                );
                None
            }
        }
    }

    async fn resume(&mut self, offset: u64, has_head: bool) -> bool {
        let wait = self.shared.settings.open_timeout;
        let client = &self.shared.client;
        let opened = client.open(&self.hold.address, "/v1/resume", wait).await;
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
        self.shared.metrics.resumed();
        self.hold.replace(Exchange { sender, reader });
        self.check.resume();
        true
    }

    /// Cancels the run, as its body won't come whole, and returns what the sidecar can prove of it.
    async fn cancel_run(&mut self) -> Outcome {
        let cancel = hinge_schema::messages::CancelRun {
            request_id: self.request_id,
            claim_id: self.holder.claim,
            incarnation: self.holder.incarnation,
        };
        let wait = self.shared.settings.ask_timeout;
        let client = &self.shared.client;
        let reply: Result<VerdictReply, _> = client
            .call(&self.hold.address, "/v1/cancel", &cancel, wait)
            .await;
        if let Ok(reply) = reply {
            self.attempt.on(wire::verdict(&reply));
        }
        let reason = self.body_fault.map_or(Reason::Cancelled, BodyFault::reason);
        self.give_up(Event::AnswerBroken(reason))
    }

    fn outcome(&self) -> Outcome {
        self.attempt.outcome().unwrap_or(Outcome::Unknown {
            reason: Reason::AnswerGarbled,
        })
    }

    /// Waits for the next part, but not longer than an answer may be silent.
    pub async fn next_within_silence(&mut self) -> Turn {
        let wait = self.shared.settings.answer_timeout;
        match timeout(wait, self.next()).await {
            Ok(turn) => turn,
            Err(_elapsed) => {
                Turn::Settled(self.give_up(Event::AnswerBroken(Reason::EndpointTimeout)))
            }
        }
    }
}

fn pacer(replay_bytes: u64) -> AckPacer {
    AckPacer::open(usize::try_from(replay_bytes).unwrap_or(usize::MAX))
}

fn copy_first(first: &Bytes) -> BytesMut {
    let mut joined = BytesMut::with_capacity(JOINED_BYTES.min(8 * first.len() + 1024));
    joined.extend_from_slice(first);
    joined
}
