//! Serves one offer's exchange with an entry, from the offer to the end of the answer.

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

use crate::answer::{Answer, StreamEnd};
use crate::dispatch::{NewOffer, Refusal, RequestKey};
use crate::reasons::{class, whole_ms};
use crate::rules;
use crate::run::{BoundRequest, needs_key, run};
use crate::shared::{LiveRun, Shared, Signal, wire_failure};

/// Longest wait for the first frame; an entry sends it at once.
const OFFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for the entry to confirm that it has received the whole answer.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// How long after the end of the entry's side a reset may still arrive; the entry sends both at the same moment.
const RESET_GRACE: Duration = Duration::from_millis(50);

type Reader = FrameReader<Body>;

/// Serves one offer; an exchange whose first frame is not an offer is dropped.
pub(crate) async fn serve(shared: Arc<Shared>, mut reader: Reader, sender: FrameSender) {
    let first = timeout(OFFER_TIMEOUT, reader.next::<ToSidecar>()).await;
    let Ok(Ok(Some(ToSidecar::Offer(offer)))) = first else {
        return;
    };
    let exchange = Exchange {
        shared,
        offer,
        sender,
    };
    exchange.serve(reader).await;
}

/// The result of waiting for a request and its body.
enum Arrival {
    Whole(Bind, bytes::Bytes),
    Gone,
    Refused(Reason),
}

struct Exchange {
    shared: Arc<Shared>,
    offer: Offer,
    sender: FrameSender,
}

impl Exchange {
    async fn serve(self, mut reader: Reader) {
        let (guard, mut signals) = match self.admit() {
            Ok(admitted) => admitted,
            Err(refusal) => return self.send_refusal(refusal).await,
        };
        let Some(claim) = self.wait_for_grant(&mut reader, &mut signals).await else {
            return;
        };
        if self.send_grant(claim).await.is_err() {
            return;
        }
        let arrived = tokio::select! {
            arrived = self.receive_request(&mut reader, claim) => arrived,
            // The grant was withdrawn, as by a query for its verdict.
            _ = signals.recv() => return self.report_withdrawn(claim).await,
        };
        let (bind, body) = match arrived {
            Arrival::Whole(bind, body) => (bind, body),
            Arrival::Gone => return,
            Arrival::Refused(reason) => return self.give_up(claim, reason).await,
        };
        let bound = |dispatcher: &mut crate::dispatch::Dispatcher, now| {
            dispatcher.advance(claim, RunEvent::Bound, now)
        };
        if self.shared.update(bound).is_err() {
            return self.report_withdrawn(claim).await;
        }
        let live = self.start_run(claim, bind, body);
        self.send_answer(&mut reader, claim, &live).await;
        drop(guard);
    }

    fn admit(&self) -> Result<(crate::shared::OfferGuard, UnboundedReceiver<Signal>), Refusal> {
        if !self.shared.member.is_current() {
            return Err(Refusal::retry_elsewhere(NotRunReason::NotReady));
        }
        let offer = &self.offer;
        if offer.pool != self.shared.settings.pool {
            return Err(Refusal::retry_elsewhere(NotRunReason::NoEndpoint));
        }
        self.fetch_newer_config();
        let new_offer = NewOffer {
            request: RequestKey {
                entry: offer.entry.clone(),
                entry_incarnation: offer.entry_incarnation,
                request_id: offer.request_id,
            },
            team: offer.team.clone(),
            rules: rules::team(&self.shared.member.config().effective, &offer.team),
            class: class(offer.class),
            estimated_units: offer.estimated_units,
            kv_tokens: offer.kv_tokens,
            deadline: self.shared.now() + Duration::from_millis(offer.deadline_ms),
            needs_key: needs_key(offer),
            config_version: offer.config_version,
        };
        self.shared.offer(new_offer)
    }

    /// Fetches the entry's configuration when the offer names a newer version and the entry is a known member.
    fn fetch_newer_config(&self) {
        let member = &self.shared.member;
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

    /// Waits for the grant; returns `None` when the exchange is over.
    async fn wait_for_grant(
        &self,
        reader: &mut Reader,
        signals: &mut UnboundedReceiver<Signal>,
    ) -> Option<ClaimId> {
        tokio::select! {
            signal = signals.recv() => match signal? {
                Signal::Granted(claim) => Some(claim),
                Signal::Refused(refusal) => {
                    self.send_refusal(refusal).await;
                    None
                }
                Signal::Stopped => None,
            },
            // Anything that arrives before the grant ends the offer: a cancel, a broken stream or an unexpected frame.
            _ = reader.next::<ToSidecar>() => None,
            () = self.sender.closed() => None,
        }
    }

    async fn send_refusal(&self, refusal: Refusal) {
        self.shared.metrics.record_refused(refusal.reason);
        let refused = FromSidecar::Refused(Refused {
            request_id: self.offer.request_id,
            reason: refusal.reason,
            retry_after_ms: whole_ms(refusal.retry_after),
            config_version: self.shared.member.config_version(),
        });
        // An entry that has disconnected needs no answer.
        let _sent_or_gone = self.sender.send(&refused).await;
    }

    async fn send_grant(&self, claim: ClaimId) -> Result<(), hinge_link::Closed> {
        let granted = FromSidecar::Granted(Granted {
            request_id: self.offer.request_id,
            claim_id: claim,
            sidecar: self.shared.member.instance().into(),
            incarnation: self.shared.member.incarnation(),
            config_version: self.shared.member.config_version(),
            lease_ms: whole_ms(self.shared.settings.grant_lease),
            replay_bytes: Some(self.shared.settings.replay_bytes as u64),
        });
        self.sender.send(&granted).await
    }

    /// Waits for the bind within the grant's lease, and then for the whole body within its own timeout.
    async fn receive_request(&self, reader: &mut Reader, claim: ClaimId) -> Arrival {
        let settings = &self.shared.settings;
        let first = timeout(settings.grant_lease, reader.next::<ToSidecar>()).await;
        let bind = match first {
            Err(_elapsed) => {
                hinge_telemetry::debug!(
                    hinge_telemetry::log::Part::Sidecar,
                    "A grant expired before its request arrived.",
                    claim_id = claim
                );
                return Arrival::Refused(Reason::GrantExpired);
            }
            Ok(Ok(Some(ToSidecar::Bind(bind)))) if bind.request_id == self.offer.request_id => bind,
            Ok(other) => return unexpected_frame(&other),
        };
        match timeout(settings.body_timeout, self.receive_body(reader, bind)).await {
            Ok(arrived) => arrived,
            Err(_elapsed) => Arrival::Refused(Reason::GrantExpired),
        }
    }

    /// Collects the body; it is incomplete unless its chunks come in order and its end has the right length.
    async fn receive_body(&self, reader: &mut Reader, bind: Bind) -> Arrival {
        let max = self.shared.settings.max_body_bytes;
        let mut body = BytesMut::new();
        loop {
            match reader.next::<ToSidecar>().await {
                Ok(Some(ToSidecar::Body(part)))
                    if part.request_id == bind.request_id && part.offset == body.len() as u64 =>
                {
                    if body.len() + part.data.len() > max {
                        return Arrival::Refused(Reason::OverLimit);
                    }
                    body.extend_from_slice(&part.data);
                }
                Ok(Some(ToSidecar::BodyEnd(end)))
                    if end.request_id == bind.request_id
                        && end.total_bytes == body.len() as u64
                        && bind
                            .body_bytes
                            .is_none_or(|declared| declared == end.total_bytes) =>
                {
                    return Arrival::Whole(bind, body.freeze());
                }
                other => return unexpected_frame(&other),
            }
        }
    }

    /// Sends the verdict of a grant that was withdrawn.
    async fn report_withdrawn(&self, claim: ClaimId) {
        let verdict = self
            .shared
            .update(|dispatcher, now| dispatcher.ask_verdict(claim, now));
        self.send_failure(verdict).await;
    }

    async fn give_up(&self, claim: ClaimId, reason: Reason) {
        let verdict = self
            .shared
            .update(|dispatcher, now| dispatcher.give_up(claim, reason, 0, Duration::ZERO, now));
        self.send_failure(verdict).await;
    }

    async fn send_failure(&self, verdict: hinge_outcome::Verdict) {
        let (kind, reason, retry_after_ms) = wire_failure(verdict);
        self.shared.metrics.record_failed(reason);
        let failed = FromSidecar::Failed(Failed {
            request_id: self.offer.request_id,
            kind,
            reason,
            retry_after_ms,
        });
        // An entry that has disconnected asks for the verdict later.
        let _sent_or_gone = self.sender.send(&failed).await;
    }

    fn start_run(&self, claim: ClaimId, bind: Bind, body: bytes::Bytes) -> LiveRun {
        let has_acks = bind.acknowledges == Some(true);
        let replay_bytes = self.shared.settings.replay_bytes;
        let live = LiveRun {
            answer: Answer::open(self.offer.request_id, replay_bytes, has_acks),
            stop: CancellationToken::new(),
        };
        self.shared.add_live(claim, live.clone());
        let bound = BoundRequest {
            claim,
            offer: self.offer.clone(),
            bind,
            body,
        };
        tokio::spawn(run(Arc::clone(&self.shared), bound, live.clone()));
        live
    }

    async fn send_answer(&self, reader: &mut Reader, claim: ClaimId, live: &LiveRun) {
        let entry_side = watch_entry(reader, &live.answer);
        relay_answer(&self.shared, claim, live, &self.sender, entry_side, 0, true).await;
    }
}

/// How the entry's side of an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EntrySide {
    /// The stream ended between two frames.
    Ended,
    /// The stream broke.
    Broken,
    /// The entry cancelled, or sent an unexpected frame.
    Cancelled,
}

/// Returns the result of a frame that is not part of the expected request.
fn unexpected_frame(frame: &Result<Option<ToSidecar>, hinge_link::FrameError>) -> Arrival {
    match frame {
        Ok(None | Some(ToSidecar::Cancel(_))) | Err(_) => Arrival::Gone,
        // The entry and this sidecar disagree about the request, so it must not run.
        Ok(Some(_)) => Arrival::Refused(Reason::Cancelled),
    }
}

/// Applies the entry's acknowledgements, and returns how its side ended.
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

/// Sends an answer over an exchange while reading the entry's side.
///
/// Once the entry has the whole answer it ends its side or sends a cancel, and the answer is dropped here; otherwise it is
/// kept for the resume window.
pub(crate) async fn relay_answer(
    shared: &Arc<Shared>,
    claim: ClaimId,
    live: &LiveRun,
    sender: &FrameSender,
    entry_side: impl Future<Output = EntrySide>,
    offset: u64,
    needs_head: bool,
) {
    let answer = &live.answer;
    let reader = answer.attach();
    let streaming = answer.stream(reader, sender, offset, needs_head);
    tokio::pin!(streaming, entry_side);
    let mut side = None;
    let stream_end = loop {
        tokio::select! {
            stream_end = &mut streaming => break stream_end,
            seen = &mut entry_side, if side.is_none() => {
                side = Some(seen);
                if seen == EntrySide::Cancelled {
                    shared.update(|dispatcher, now| dispatcher.cancel(claim, now));
                }
                if seen == EntrySide::Broken {
                    break StreamEnd::Gone;
                }
            }
        }
    };
    let is_delivered = match (stream_end, side) {
        (_, Some(EntrySide::Cancelled)) => true,
        (StreamEnd::Whole, None) => is_delivered(sender, entry_side).await,
        _ => false,
    };
    if is_delivered {
        answer.set_delivered();
    }
    answer.detach(reader, shared.now());
    shared.sweep();
}

/// Returns whether the entry confirms, after the last frame, that it has received the whole answer.
///
/// To confirm, the entry ends its side and goes on reading until this side has ended. An entry that drops the exchange also
/// ends its side, but resets the exchange with it; its answer must be kept.
async fn is_delivered(sender: &FrameSender, entry_side: impl Future<Output = EntrySide>) -> bool {
    match timeout(DELIVERY_TIMEOUT, entry_side).await {
        Ok(EntrySide::Cancelled) => true,
        Ok(EntrySide::Ended) => timeout(RESET_GRACE, sender.closed()).await.is_err(),
        Ok(EntrySide::Broken) | Err(_) => false,
    }
}
