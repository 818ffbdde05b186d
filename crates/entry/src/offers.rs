//! Offers a waiting request to sidecars until one of them grants it.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use hinge_outcome::{Attempt, Event, GrantId, Outcome, Reason, SidecarId, Step};
use hinge_placement::{AttemptOffers, Sample};
use hinge_schema::messages::{
    FromSidecar, Granted, NotRunReason, Offer, Refused, ToSidecar, UrgencyClass,
};
use smallvec::SmallVec;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};

use crate::exchange_guard::ExchangeGuard;
use crate::request::RequestContext;
use crate::selection::Target;
use crate::shared::Shared;
use crate::wire;

/// Offers that one attempt makes to the same sidecar; the second one follows an update of the configuration.
const MAX_OFFERS_PER_SIDECAR: u32 = 2;

/// Longest wait for a newer configuration before the refusal counts; a fetch within a region takes a few milliseconds.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(250);

/// A grant with the exchange on which it was received.
#[derive(Debug)]
pub struct Grant {
    /// Sidecar, incarnation and claim of the grant.
    pub holder: GrantId,
    /// Cancels the request when dropped.
    pub guard: ExchangeGuard,
    /// Most unacknowledged bytes of the answer; `None` from a sidecar that does not support acknowledgements.
    pub replay_bytes: Option<u64>,
}

/// The result of one offer.
#[derive(Debug)]
enum OfferEnd {
    Granted(Box<Grant>),
    Refused(SidecarId, Reason, Duration),
    Lost(SidecarId),
    /// The offer was withdrawn in favour of another sidecar.
    Withdrawn(SidecarId),
}

/// The result of the offers of one attempt.
#[derive(Debug)]
pub enum RaceResult {
    /// A sidecar granted the request; the other offers are withdrawn.
    Granted(Box<Grant>),
    /// No sidecar granted the request.
    Settled(Outcome),
}

/// The most useful refusal for the caller among those received.
#[derive(Debug, Default)]
struct BestRefusal {
    refusal: Option<(Reason, Duration)>,
    has_lost_offer: bool,
}

impl BestRefusal {
    /// Keeps a refusal due to the request or load over one specific to a sidecar, then the one with the shortest retry delay.
    fn record(&mut self, reason: Reason, retry_after: Duration) {
        let rank = |reason: Reason, after| (reason.may_succeed_elsewhere(), after);
        let is_better = self
            .refusal
            .is_none_or(|(kept, after)| rank(reason, retry_after) < rank(kept, after));
        if is_better {
            self.refusal = Some((reason, retry_after));
        }
    }

    fn event(&self) -> Event {
        let (reason, retry_after) = match (self.refusal, self.has_lost_offer) {
            (Some(refusal), _) => refusal,
            (None, true) => (Reason::SidecarLost, Duration::ZERO),
            (None, false) => (Reason::NoEndpoint, Duration::ZERO),
        };
        Event::GiveUp {
            reason,
            retry_after,
        }
    }
}

/// Offers the request until a sidecar grants it, all refuse, the deadline passes, or the request is shed.
pub async fn race_offers(
    request: &RequestContext,
    attempt: &mut Attempt,
    request_id: u64,
) -> RaceResult {
    let mut race = OfferRace::new(request, request_id);
    race.widen(attempt);
    let end = loop {
        match race.step(attempt).await {
            Ok(Step::OfferMore) => race.widen(attempt),
            Ok(Step::Finish { outcome, .. }) => break RaceResult::Settled(outcome),
            Ok(_) => {}
            Err(grant) => break RaceResult::Granted(grant),
        }
    };
    race.finish();
    end
}

/// The open offers of one attempt.
struct OfferRace<'a> {
    request: &'a RequestContext,
    request_id: u64,
    plan: AttemptOffers,
    open: FuturesUnordered<BoxFuture<'static, OfferEnd>>,
    /// Signals that withdraw the offer open at each sidecar.
    withdrawals: SmallVec<[(SidecarId, Arc<Notify>); 4]>,
    best_refusal: BestRefusal,
    offers: u32,
    /// Time of the next round of offers; `None` once every sidecar has refused.
    widen_at: Option<Instant>,
}

impl<'a> OfferRace<'a> {
    fn new(request: &'a RequestContext, request_id: u64) -> Self {
        let prefix = request.estimate.prefix_hash;
        let prefix = (prefix != 0).then_some(prefix);
        Self {
            plan: AttemptOffers::new(prefix, &request.avoid, &mut rand::rng())
                .with_urgency(request.class == UrgencyClass::Urgent),
            request,
            request_id,
            open: FuturesUnordered::new(),
            withdrawals: SmallVec::new(),
            best_refusal: BestRefusal::default(),
            offers: 0,
            widen_at: None,
        }
    }

    /// Makes the offers of the next round, using the current member list.
    fn widen(&mut self, attempt: &mut Attempt) {
        let request = self.request;
        let shared = &request.shared;
        let members = shared.member.members();
        let snapshot = shared.member.config();
        let limits = &snapshot.effective.limits;
        request
            .selector
            .refresh(&members, limits, &request.pool, shared.now());
        let Some(round) = request.selector.next_round(&mut self.plan, shared.now()) else {
            self.widen_at = None;
            return;
        };
        let mut replaced = round.withdraw.and_then(|id| self.withdrawal(id));
        for target in round.targets {
            attempt.apply(Event::OfferSent);
            self.offers += 1;
            let withdrawal = Arc::new(Notify::new());
            self.withdrawals.push((target.id, Arc::clone(&withdrawal)));
            let offer = OfferCall {
                shared: Arc::clone(shared),
                target,
                offer: request.offer(self.request_id),
                replaced: replaced.take(),
            };
            self.open.push(offer.run(withdrawal).boxed());
        }
        self.widen_at = Some(Instant::now() + round.widen_after);
    }

    fn withdrawal(&self, sidecar: SidecarId) -> Option<Arc<Notify>> {
        let mut open = self.withdrawals.iter();
        let found = open.find(|(id, _)| *id == sidecar);
        found.map(|(_, withdrawal)| Arc::clone(withdrawal))
    }

    /// Waits for the next event; the winning grant is returned as the error, to end the loop.
    async fn step(&mut self, attempt: &mut Attempt) -> Result<Step, Box<Grant>> {
        if self.open.is_empty() {
            return Ok(self.step_without_offers(attempt));
        }
        let (request, widen_at) = (self.request, self.widen_at);
        let retry_after = request.min_retry_after;
        let event = tokio::select! {
            biased;
            Some(ended) = self.open.next() => return self.on_end(attempt, ended),
            () = sleep_until(request.deadline) => Event::Deadline { retry_after },
            () = request.permit.wait_for_shed() => Event::GiveUp { reason: Reason::Shed, retry_after },
            () = sleep_until(widen_at.unwrap_or(request.deadline)), if widen_at.is_some() => {
                return Ok(Step::OfferMore);
            }
        };
        Ok(attempt.apply(event))
    }

    /// Offers the request to the remaining sidecars, or gives up if there are none.
    fn step_without_offers(&mut self, attempt: &mut Attempt) -> Step {
        if self.widen_at.is_some() {
            return Step::OfferMore;
        }
        attempt.apply(self.best_refusal.event())
    }

    fn on_end(&mut self, attempt: &mut Attempt, ended: OfferEnd) -> Result<Step, Box<Grant>> {
        self.record_end(&ended);
        match ended {
            OfferEnd::Granted(grant) => match attempt.apply(Event::Granted(grant.holder)) {
                Step::Bind(_) => Err(grant),
                step => Ok(step),
            },
            OfferEnd::Withdrawn(_) => Ok(Step::Wait),
            OfferEnd::Refused(_, reason, retry_after) => {
                self.best_refusal.record(reason, retry_after);
                Ok(attempt.apply(Event::OfferRefused {
                    reason,
                    retry_after,
                }))
            }
            OfferEnd::Lost(sidecar) => {
                self.best_refusal.has_lost_offer = true;
                self.request.observe(sidecar, Sample::Failed);
                Ok(attempt.apply(Event::ExchangeBroken(sidecar)))
            }
        }
    }

    /// Records in the plan that an offer is no longer open.
    fn record_end(&mut self, ended: &OfferEnd) {
        let sidecar = match ended {
            OfferEnd::Granted(grant) => grant.holder.sidecar,
            OfferEnd::Refused(id, ..) | OfferEnd::Lost(id) | OfferEnd::Withdrawn(id) => *id,
        };
        self.withdrawals.retain(|(id, _)| *id != sidecar);
        match ended {
            OfferEnd::Granted(_) | OfferEnd::Withdrawn(_) => self.plan.record_withdrawal(sidecar),
            OfferEnd::Refused(..) | OfferEnd::Lost(_) => self.plan.record_refusal(sidecar),
        }
    }

    fn finish(mut self) {
        let metrics = &self.request.shared.metrics;
        metrics.observe_offers(self.offers);
        // Counts further grants that were already read; one that arrives later is counted by its exchange guard.
        while let Some(Some(late)) = self.open.next().now_or_never() {
            if matches!(late, OfferEnd::Granted(_)) {
                metrics.count_lost_grant();
            }
        }
    }
}

/// An offer that is about to be made to one sidecar.
struct OfferCall {
    shared: Arc<Shared>,
    target: Target,
    offer: Offer,
    /// Withdraws the offer that this one replaces.
    replaced: Option<Arc<Notify>>,
}

impl OfferCall {
    /// Makes the offer and waits for its result or its withdrawal; dropping the future withdraws the offer as well.
    async fn run(self, withdrawal: Arc<Notify>) -> OfferEnd {
        let id = self.target.id;
        tokio::select! {
            // A grant that was already received wins: after the withdrawal the sidecar would not accept the bind.
            biased;
            ended = self.offer() => ended,
            () = withdrawal.notified() => OfferEnd::Withdrawn(id),
        }
    }

    async fn offer(self) -> OfferEnd {
        let Self {
            shared,
            target,
            mut offer,
            replaced,
        } = self;
        let Target { id, address } = target;
        for sent in 1.. {
            let request_id = offer.request_id;
            let opened = shared
                .client
                .open(&address, "/v1/offer", shared.settings.open_timeout)
                .await;
            let Ok(exchange) = opened else {
                return OfferEnd::Lost(id);
            };
            let mut guard =
                ExchangeGuard::new(Arc::clone(&shared), exchange, address.clone(), request_id);
            if guard
                .exchange()
                .sender
                .send(&ToSidecar::Offer(offer.clone()))
                .await
                .is_err()
            {
                return OfferEnd::Lost(id);
            }
            // Withdraws the replaced offer only now, so that an unreachable sidecar does not displace an open offer.
            if let Some(replaced) = &replaced {
                replaced.notify_one();
            }
            match guard.exchange().reader.next::<FromSidecar>().await {
                Ok(Some(FromSidecar::Granted(granted))) if granted.request_id == request_id => {
                    sync_config(&shared, &address, granted.config_version);
                    let holder = grant_holder(id, &granted);
                    guard.set_grant(holder);
                    return OfferEnd::Granted(Box::new(Grant {
                        holder,
                        guard,
                        replay_bytes: granted.replay_bytes,
                    }));
                }
                Ok(Some(FromSidecar::Refused(refused))) if refused.request_id == request_id => {
                    guard.disarm();
                    let is_caught_up = catch_up(&shared, &address, &mut offer, &refused).await;
                    if sent == MAX_OFFERS_PER_SIDECAR || !is_caught_up {
                        return refusal(id, &refused);
                    }
                }
                // A frame of another request, or no valid frame: this exchange can't be trusted.
                Ok(_) | Err(_) => return OfferEnd::Lost(id),
            }
        }
        OfferEnd::Lost(id)
    }
}

fn grant_holder(sidecar: SidecarId, granted: &Granted) -> GrantId {
    GrantId {
        sidecar,
        incarnation: granted.incarnation,
        claim: granted.claim_id,
    }
}

fn refusal(sidecar: SidecarId, refused: &Refused) -> OfferEnd {
    OfferEnd::Refused(
        sidecar,
        wire::reason(refused.reason),
        Duration::from_millis(refused.retry_after_ms),
    )
}

/// Catches up with a sidecar whose refusal shows a newer configuration.
///
/// Returns whether the offer now names a newer version and is worth repeating.
async fn catch_up(
    shared: &Arc<Shared>,
    address: &str,
    offer: &mut Offer,
    refused: &Refused,
) -> bool {
    if refused.config_version <= offer.config_version {
        sync_config(shared, address, refused.config_version);
        return false;
    }
    sync_config(shared, address, refused.config_version);
    let mut changed = shared.member.subscribe();
    let caught_up = async {
        while shared.member.config_version() < refused.config_version {
            if changed.changed().await.is_err() {
                break;
            }
        }
    };
    // Another request may already be fetching this version, so wait for the version, but not for long.
    let _in_time = timeout(CATCH_UP_TIMEOUT, caught_up).await;
    let local_version = shared.member.config_version();
    let is_newer = local_version > offer.config_version;
    offer.config_version = local_version;
    is_newer && refused.reason == NotRunReason::StaleConfig
}

/// Updates the side with the older configuration, in a task that outlives the request.
fn sync_config(shared: &Arc<Shared>, address: &str, seen_version: u64) {
    let local_version = shared.member.config_version();
    if seen_version == local_version {
        return;
    }
    let member = shared.member.clone();
    let address = Box::<str>::from(address);
    tokio::spawn(async move {
        if seen_version > local_version {
            member.fetch_config_from(&address, seen_version).await;
        } else {
            member.push_config_to(&address, seen_version).await;
        }
    });
}
