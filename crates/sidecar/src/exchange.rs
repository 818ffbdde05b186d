//! Serves the exchange of one offer, from the offer to the end of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use hinge_link::{FrameReader, FrameSender};
use hinge_outcome::{ClaimId, Reason, RunEvent};
use hinge_schema::messages::{
    Bind, Failed, FromSidecar, Granted, NotRunReason, Offer, Refused, ToSidecar,
};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use viz::Body;

use crate::answer::{Answer, Pumped};
use crate::core::{Asked, Refusal, RequestKey};
use crate::reasons::{class, whole_ms};
use crate::rules;
use crate::run::{Bound, needs_key, run};
use crate::shell::{Live, Shell, Signal, failure};

/// Longest wait for the first frame; an entry sends it at once.
const OFFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for the entry to say that it holds the whole answer.
const TAKEN_TIMEOUT: Duration = Duration::from_secs(5);

/// How long after the end of the entry's side its reset may come; both leave the entry at the same moment.
const RESET_GRACE: Duration = Duration::from_millis(50);

type Reader = FrameReader<Body>;

/// Serves one offer.
pub(crate) async fn serve(shell: Arc<Shell>, mut reader: Reader, sender: FrameSender) {
    let first = timeout(OFFER_TIMEOUT, reader.next::<ToSidecar>()).await;
    let Ok(Ok(Some(ToSidecar::Offer(offer)))) = first else {
        return;
    };
    let exchange = Exchange {
        shell,
        offer,
        sender,
    };
    exchange.serve(reader).await;
}

/// Says how the wait for the request's body ended.
enum Arrived {
    Whole(Bind, bytes::Bytes),
    Gone,
    Refused(Reason),
}

struct Exchange {
    shell: Arc<Shell>,
    offer: Offer,
    sender: FrameSender,
}

impl Exchange {
    async fn serve(self, mut reader: Reader) {
        let (guard, mut signals) = match self.admit() {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(refusal).await,
        };
        let Some(claim) = self.wait(&mut reader, &mut signals).await else {
            return;
        };
        if self.grant(claim).await.is_err() {
            return;
        }
        let arrived = tokio::select! {
            arrived = self.request(&mut reader, claim) => arrived,
            // The grant was withdrawn by a question for its verdict.
            _ = signals.recv() => return self.withdrawn(claim).await,
        };
        let (bind, body) = match arrived {
            Arrived::Whole(bind, body) => (bind, body),
            Arrived::Gone => return,
            Arrived::Refused(reason) => return self.give_up(claim, reason).await,
        };
        let bound = |core: &mut crate::core::Core, now| core.advance(claim, RunEvent::Bound, now);
        if self.shell.tell(bound).is_err() {
            return self.withdrawn(claim).await;
        }
        let live = self.start(claim, bind, body);
        self.answer(&mut reader, claim, &live).await;
        drop(guard);
    }

    fn admit(&self) -> Result<(crate::shell::TicketGuard, UnboundedReceiver<Signal>), Refusal> {
        if !self.shell.member.is_current() {
            return Err(Refusal::elsewhere(NotRunReason::NotReady));
        }
        let offer = &self.offer;
        if offer.pool != self.shell.settings.pool {
            return Err(Refusal::elsewhere(NotRunReason::NoEndpoint));
        }
        self.learn_newer();
        let asked = Asked {
            request: RequestKey {
                entry: offer.entry.clone(),
                entry_incarnation: offer.entry_incarnation,
                request_id: offer.request_id,
            },
            team: offer.team.clone(),
            rules: rules::team(&self.shell.member.config().effective, &offer.team),
            class: class(offer.class),
            estimated_units: offer.estimated_units,
            kv_tokens: offer.kv_tokens,
            deadline: self.shell.now() + Duration::from_millis(offer.deadline_ms),
            needs_key: needs_key(offer),
            config_version: offer.config_version,
        };
        self.shell.offer(asked)
    }

    /// Fetches a newer configuration that the offer shows, if the entry can be asked.
    fn learn_newer(&self) {
        let member = &self.shell.member;
        let seen = self.offer.config_version;
        if seen <= member.config_version() {
            return;
        }
        let Some(entry) = member.members().get(&self.offer.entry).cloned() else {
            return;
        };
        let member = member.clone();
        tokio::spawn(async move { member.fetch_config_from(&entry.peer_address, seen).await });
    }

    /// Waits for the grant; `None` when the exchange is over.
    async fn wait(
        &self,
        reader: &mut Reader,
        signals: &mut UnboundedReceiver<Signal>,
    ) -> Option<ClaimId> {
        tokio::select! {
            signal = signals.recv() => match signal? {
                Signal::Granted(claim) => Some(claim),
                Signal::Refused(refusal) => {
                    self.refuse(refusal).await;
                    None
                }
                Signal::Stopped => None,
            },
            // Whatever comes before the grant ends the offer: a cancel, a break, or a frame that makes no sense here.
            _ = reader.next::<ToSidecar>() => None,
            () = self.sender.closed() => None,
        }
    }

    async fn refuse(&self, refusal: Refusal) {
        self.shell.metrics.note_refused(refusal.reason);
        let refused = FromSidecar::Refused(Refused {
            request_id: self.offer.request_id,
            reason: refusal.reason,
            retry_after_ms: whole_ms(refusal.retry_after),
            config_version: self.shell.member.config_version(),
        });
        // An entry that is gone needs no answer.
        let _sent_or_gone = self.sender.send(&refused).await;
    }

    async fn grant(&self, claim: ClaimId) -> Result<(), hinge_link::Closed> {
        let granted = FromSidecar::Granted(Granted {
            request_id: self.offer.request_id,
            claim_id: claim,
            sidecar: self.shell.member.instance().into(),
            incarnation: self.shell.member.incarnation(),
            config_version: self.shell.member.config_version(),
            lease_ms: whole_ms(self.shell.settings.grant_lease),
            replay_bytes: Some(self.shell.settings.replay_bytes as u64),
        });
        self.sender.send(&granted).await
    }

    /// Waits for the bind within the lease, and for the whole body within its own time.
    async fn request(&self, reader: &mut Reader, claim: ClaimId) -> Arrived {
        let settings = &self.shell.settings;
        let first = timeout(settings.grant_lease, reader.next::<ToSidecar>()).await;
        let bind = match first {
            Err(_elapsed) => {
                hinge_telemetry::debug!(
                    hinge_telemetry::log::Part::Sidecar,
                    "A grant ran out.",
                    claim_id = claim
                );
                return Arrived::Refused(Reason::GrantExpired);
            }
            Ok(Ok(Some(ToSidecar::Bind(bind)))) if bind.request_id == self.offer.request_id => bind,
            Ok(other) => return not_a_request(&other),
        };
        match timeout(settings.body_timeout, self.body(reader, bind)).await {
            Ok(arrived) => arrived,
            Err(_elapsed) => Arrived::Refused(Reason::GrantExpired),
        }
    }

    /// Collects the body; anything but its parts in order and its true end means that it did not arrive.
    async fn body(&self, reader: &mut Reader, bind: Bind) -> Arrived {
        let max = self.shell.settings.max_body_bytes;
        let mut body = BytesMut::new();
        loop {
            match reader.next::<ToSidecar>().await {
                Ok(Some(ToSidecar::Body(part)))
                    if part.request_id == bind.request_id && part.offset == body.len() as u64 =>
                {
                    if body.len() + part.data.len() > max {
                        return Arrived::Refused(Reason::OverLimit);
                    }
                    body.extend_from_slice(&part.data);
                }
                Ok(Some(ToSidecar::BodyEnd(end)))
                    if end.request_id == bind.request_id
                        && end.total_bytes == body.len() as u64
                        && bind.body_bytes.is_none_or(|told| told == end.total_bytes) =>
                {
                    return Arrived::Whole(bind, body.freeze());
                }
                other => return not_a_request(&other),
            }
        }
    }

    /// Says what became of a grant that was withdrawn.
    async fn withdrawn(&self, claim: ClaimId) {
        let verdict = self.shell.tell(|core, now| core.ask(claim, now));
        self.fail(verdict).await;
    }

    async fn give_up(&self, claim: ClaimId, reason: Reason) {
        let verdict = self
            .shell
            .tell(|core, now| core.give_up(claim, reason, 0, Duration::ZERO, now));
        self.fail(verdict).await;
    }

    async fn fail(&self, verdict: hinge_outcome::Verdict) {
        let (kind, reason, retry_after_ms) = failure(verdict);
        self.shell.metrics.note_failed(reason);
        let failed = FromSidecar::Failed(Failed {
            request_id: self.offer.request_id,
            kind,
            reason,
            retry_after_ms,
        });
        // An entry that is gone asks for the verdict.
        let _sent_or_gone = self.sender.send(&failed).await;
    }

    fn start(&self, claim: ClaimId, bind: Bind, body: bytes::Bytes) -> Live {
        let has_acks = bind.acknowledges == Some(true);
        let replay_bytes = self.shell.settings.replay_bytes;
        let live = Live {
            answer: Answer::open(self.offer.request_id, replay_bytes, has_acks),
            stop: CancellationToken::new(),
        };
        self.shell.add_live(claim, live.clone());
        let bound = Bound {
            claim,
            offer: self.offer.clone(),
            bind,
            body,
        };
        tokio::spawn(run(Arc::clone(&self.shell), bound, live.clone()));
        live
    }

    async fn answer(&self, reader: &mut Reader, claim: ClaimId, live: &Live) {
        let entry_side = watch_entry(reader, &live.answer);
        pump(&self.shell, claim, live, &self.sender, entry_side, 0, true).await;
    }
}

/// Says what the entry's side of an exchange did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EntrySide {
    /// It ended between two frames.
    Ended,
    /// It broke.
    Broken,
    /// It cancelled, or sent what makes no sense here.
    Cancelled,
}

/// Says what a frame means that does not belong to a request.
fn not_a_request(frame: &Result<Option<ToSidecar>, hinge_link::FrameError>) -> Arrived {
    match frame {
        Ok(None | Some(ToSidecar::Cancel(_))) | Err(_) => Arrived::Gone,
        // The entry and this sidecar disagree about the request, and it must not run.
        Ok(Some(_)) => Arrived::Refused(Reason::Cancelled),
    }
}

/// Takes the entry's acknowledgements, and returns how its side ended.
pub(crate) async fn watch_entry(reader: &mut Reader, answer: &Answer) -> EntrySide {
    loop {
        match reader.next::<ToSidecar>().await {
            Ok(Some(ToSidecar::Ack(ack)))
                if ack.request_id == answer.request_id() && answer.ack(ack.offset) => {}
            Ok(None) => return EntrySide::Ended,
            Ok(Some(_)) => return EntrySide::Cancelled,
            Err(_broken) => return EntrySide::Broken,
        }
    }
}

/// Sends an answer over an exchange while watching the entry's side of it.
///
/// Once the entry holds the whole answer it ends its side or sends a cancel, and the answer is forgotten here; otherwise it
/// is kept for the resume window.
pub(crate) async fn pump(
    shell: &Arc<Shell>,
    claim: ClaimId,
    live: &Live,
    sender: &FrameSender,
    entry_side: impl Future<Output = EntrySide>,
    offset: u64,
    needs_head: bool,
) {
    let answer = &live.answer;
    let reader = answer.attach();
    let pumping = answer.pump(reader, sender, offset, needs_head);
    tokio::pin!(pumping, entry_side);
    let mut side = None;
    let pumped = loop {
        tokio::select! {
            pumped = &mut pumping => break pumped,
            seen = &mut entry_side, if side.is_none() => {
                side = Some(seen);
                if seen == EntrySide::Cancelled {
                    shell.tell(|core, now| core.cancel(claim, now));
                }
                if seen == EntrySide::Broken {
                    break Pumped::Gone;
                }
            }
        }
    };
    let is_taken = match (pumped, side) {
        (_, Some(EntrySide::Cancelled)) => true,
        (Pumped::Whole, None) => is_taken(sender, entry_side).await,
        _ => false,
    };
    if is_taken {
        answer.set_taken();
    }
    answer.detach(reader, shell.now());
    shell.sweep();
}

/// Returns whether the entry says, behind the last frame, that it holds the whole answer.
///
/// It ends its side and goes on reading until this side has ended. An entry that drops the whole exchange ends its side as
/// well, but resets the exchange with it; its answer must be kept.
async fn is_taken(sender: &FrameSender, entry_side: impl Future<Output = EntrySide>) -> bool {
    match timeout(TAKEN_TIMEOUT, entry_side).await {
        Ok(EntrySide::Cancelled) => true,
        Ok(EntrySide::Ended) => timeout(RESET_GRACE, sender.closed()).await.is_err(),
        Ok(EntrySide::Broken) | Err(_) => false,
    }
}
