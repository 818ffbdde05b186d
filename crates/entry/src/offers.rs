//! Offers a waiting request to sidecars until the first of them grants.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use hinge_outcome::{Attempt, Event, Holder, Outcome, Reason, SidecarId, Step};
use hinge_placement::{AttemptOffers, Sample};
use hinge_schema::messages::{
    FromSidecar, Granted, NotRunReason, Offer, Refused, ToSidecar, UrgencyClass,
};
use smallvec::SmallVec;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};

use crate::choose::Target;
use crate::hold::Hold;
use crate::job::Job;
use crate::shared::Shared;
use crate::wire;

/// Offers that one sidecar gets of an attempt: the second one comes after the configuration was brought up to date.
const MAX_OFFERS_TO_ONE: u32 = 2;

/// Longest wait for a newer configuration before the refusal counts; a fetch in a region takes some milliseconds.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(250);

/// Holds a grant with the exchange that it came on.
#[derive(Debug)]
pub struct Grant {
    /// Names the grant.
    pub holder: Holder,
    /// Withdraws the request when it is dropped.
    pub hold: Hold,
    /// Bytes of the answer that may be unacknowledged; `None` from a sidecar that takes no acknowledgements.
    pub replay_bytes: Option<u64>,
}

/// Says how one offer ended.
#[derive(Debug)]
enum OfferEnd {
    Granted(Box<Grant>),
    Refused(SidecarId, Reason, Duration),
    Lost(SidecarId),
    /// The offer has moved to another sidecar.
    Withdrawn(SidecarId),
}

/// Says how the offers of an attempt ended.
#[derive(Debug)]
pub enum RaceEnd {
    /// A sidecar granted; the other offers are withdrawn.
    Granted(Box<Grant>),
    /// Nobody grants.
    Settled(Outcome),
}

/// Keeps the refusal that says most to the caller.
#[derive(Debug, Default)]
struct Best {
    refusal: Option<(Reason, Duration)>,
    is_lost: bool,
}

impl Best {
    /// Keeps a refusal for load before one of a place, and of these the one that lets the caller come back first.
    fn note(&mut self, reason: Reason, retry_after: Duration) {
        let rank = |reason: Reason, after| (reason.is_of_place(), after);
        let is_better = self
            .refusal
            .is_none_or(|(kept, after)| rank(reason, retry_after) < rank(kept, after));
        if is_better {
            self.refusal = Some((reason, retry_after));
        }
    }

    fn event(&self) -> Event {
        let (reason, retry_after) = match (self.refusal, self.is_lost) {
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

/// Offers the request until a sidecar grants, all refuse, the deadline comes, or the request is shed.
pub async fn race(job: &Job, attempt: &mut Attempt, request_id: u64) -> RaceEnd {
    let mut race = Race::open(job, request_id);
    race.widen(attempt);
    let end = loop {
        match race.step(attempt).await {
            Ok(Step::OfferMore) => race.widen(attempt),
            Ok(Step::Settle { outcome, .. }) => break RaceEnd::Settled(outcome),
            Ok(_) => {}
            Err(grant) => break RaceEnd::Granted(grant),
        }
    };
    race.end();
    end
}

/// Holds the offers of one attempt.
struct Race<'a> {
    job: &'a Job,
    request_id: u64,
    plan: AttemptOffers,
    open: FuturesUnordered<BoxFuture<'static, OfferEnd>>,
    /// Withdraws the offer that is open at a sidecar.
    withdrawals: SmallVec<[(SidecarId, Arc<Notify>); 4]>,
    best: Best,
    offers: u32,
    /// When to make or move offers; `None` once every sidecar has refused.
    widen_at: Option<Instant>,
}

impl<'a> Race<'a> {
    fn open(job: &'a Job, request_id: u64) -> Self {
        let prefix = job.estimate.prefix_hash;
        let prefix = (prefix != 0).then_some(prefix);
        Self {
            plan: AttemptOffers::new(prefix, &job.avoid, &mut rand::rng())
                .with_urgency(job.class == UrgencyClass::Urgent),
            job,
            request_id,
            open: FuturesUnordered::new(),
            withdrawals: SmallVec::new(),
            best: Best::default(),
            offers: 0,
            widen_at: None,
        }
    }

    /// Makes the offers of the next round, among the members of now.
    fn widen(&mut self, attempt: &mut Attempt) {
        let job = self.job;
        let shared = &job.shared;
        let members = shared.member.members();
        let snapshot = shared.member.config();
        let limits = &snapshot.effective.limits;
        job.choice
            .refresh(&members, limits, &job.pool, shared.now());
        let Some(round) = job.choice.next_round(&mut self.plan, shared.now()) else {
            self.widen_at = None;
            return;
        };
        let mut moved = round.withdraw.and_then(|id| self.withdrawal(id));
        for target in round.targets {
            attempt.on(Event::OfferSent);
            self.offers += 1;
            let withdrawal = Arc::new(Notify::new());
            self.withdrawals.push((target.id, Arc::clone(&withdrawal)));
            let offer = Opening {
                shared: Arc::clone(shared),
                target,
                offer: job.offer(self.request_id),
                moved: moved.take(),
            };
            self.open.push(offer.make(withdrawal).boxed());
        }
        self.widen_at = Some(Instant::now() + round.widen_after);
    }

    fn withdrawal(&self, sidecar: SidecarId) -> Option<Arc<Notify>> {
        let mut open = self.withdrawals.iter();
        let found = open.find(|(id, _)| *id == sidecar);
        found.map(|(_, withdrawal)| Arc::clone(withdrawal))
    }

    /// Waits for what happens next; the grant that wins comes as the error.
    async fn step(&mut self, attempt: &mut Attempt) -> Result<Step, Box<Grant>> {
        if self.open.is_empty() {
            return Ok(self.step_without_offers(attempt));
        }
        let (job, widen_at) = (self.job, self.widen_at);
        let retry_after = job.min_retry_after;
        let event = tokio::select! {
            biased;
            Some(ended) = self.open.next() => return self.on_end(attempt, ended),
            () = sleep_until(job.deadline) => Event::Deadline { retry_after },
            () = job.seat.shed() => Event::GiveUp { reason: Reason::Shed, retry_after },
            () = sleep_until(widen_at.unwrap_or(job.deadline)), if widen_at.is_some() => {
                return Ok(Step::OfferMore);
            }
        };
        Ok(attempt.on(event))
    }

    /// Goes on to the sidecars that are left, or gives up at once.
    fn step_without_offers(&mut self, attempt: &mut Attempt) -> Step {
        if self.widen_at.is_some() {
            return Step::OfferMore;
        }
        attempt.on(self.best.event())
    }

    fn on_end(&mut self, attempt: &mut Attempt, ended: OfferEnd) -> Result<Step, Box<Grant>> {
        self.note_end(&ended);
        match ended {
            OfferEnd::Granted(grant) => match attempt.on(Event::Granted(grant.holder)) {
                Step::Bind(_) => Err(grant),
                step => Ok(step),
            },
            OfferEnd::Withdrawn(_) => Ok(Step::Wait),
            OfferEnd::Refused(_, reason, retry_after) => {
                self.best.note(reason, retry_after);
                Ok(attempt.on(Event::OfferRefused {
                    reason,
                    retry_after,
                }))
            }
            OfferEnd::Lost(sidecar) => {
                self.best.is_lost = true;
                self.job.observe(sidecar, Sample::Failed);
                Ok(attempt.on(Event::LinkLost(sidecar)))
            }
        }
    }

    /// Tells the plan that an offer is open no more.
    fn note_end(&mut self, ended: &OfferEnd) {
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

    fn end(mut self) {
        let metrics = &self.job.shared.metrics;
        metrics.offered(self.offers);
        // A further grant that was read already is lost here; one that still comes is counted by its hold.
        while let Some(Some(late)) = self.open.next().now_or_never() {
            if matches!(late, OfferEnd::Granted(_)) {
                metrics.grant_lost();
            }
        }
    }
}

/// Holds one offer that is about to be made.
struct Opening {
    shared: Arc<Shared>,
    target: Target,
    offer: Offer,
    /// Withdraws the offer in whose place this one is made.
    moved: Option<Arc<Notify>>,
}

impl Opening {
    /// Makes the offer, and waits for its end or its withdrawal; dropping the future withdraws the offer, too.
    async fn make(self, withdrawal: Arc<Notify>) -> OfferEnd {
        let id = self.target.id;
        tokio::select! {
            // A grant that is here already wins: after the withdrawal the sidecar would not take the bind.
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
            moved,
        } = self;
        let Target { id, address } = target;
        for made in 1.. {
            let request_id = offer.request_id;
            let opened = shared
                .client
                .open(&address, "/v1/offer", shared.settings.open_timeout)
                .await;
            let Ok(exchange) = opened else {
                return OfferEnd::Lost(id);
            };
            let mut hold = Hold::open(Arc::clone(&shared), exchange, address.clone(), request_id);
            if hold
                .exchange()
                .sender
                .send(&ToSidecar::Offer(offer.clone()))
                .await
                .is_err()
            {
                return OfferEnd::Lost(id);
            }
            // Only now, so that a sidecar that can't be reached takes no place from one that holds an offer.
            if let Some(moved) = &moved {
                moved.notify_one();
            }
            match hold.exchange().reader.next::<FromSidecar>().await {
                Ok(Some(FromSidecar::Granted(granted))) if granted.request_id == request_id => {
                    spread_config(&shared, &address, granted.config_version);
                    let holder = name_grant(id, &granted);
                    hold.set_run(holder);
                    return OfferEnd::Granted(Box::new(Grant {
                        holder,
                        hold,
                        replay_bytes: granted.replay_bytes,
                    }));
                }
                Ok(Some(FromSidecar::Refused(refused))) if refused.request_id == request_id => {
                    hold.disarm();
                    let is_caught_up = catch_up(&shared, &address, &mut offer, &refused).await;
                    if made == MAX_OFFERS_TO_ONE || !is_caught_up {
                        return refusal(id, &refused);
                    }
                }
                // Anything else is a frame of another request or none: this exchange can't be trusted with ours.
                Ok(_) | Err(_) => return OfferEnd::Lost(id),
            }
        }
        OfferEnd::Lost(id)
    }
}

fn name_grant(sidecar: SidecarId, granted: &Granted) -> Holder {
    Holder {
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

/// Learns from a sidecar that refused for its newer configuration, and returns whether the offer now names a newer one.
async fn catch_up(
    shared: &Arc<Shared>,
    address: &str,
    offer: &mut Offer,
    refused: &Refused,
) -> bool {
    if refused.config_version <= offer.config_version {
        spread_config(shared, address, refused.config_version);
        return false;
    }
    spread_config(shared, address, refused.config_version);
    let mut changed = shared.member.subscribe();
    let caught_up = async {
        while shared.member.config_version() < refused.config_version {
            if changed.changed().await.is_err() {
                break;
            }
        }
    };
    // Other requests may be fetching the same version; all of them wait for it to arrive, and none for long.
    let _in_time = timeout(CATCH_UP_TIMEOUT, caught_up).await;
    let held = shared.member.config_version();
    let is_newer = held > offer.config_version;
    offer.config_version = held;
    is_newer && refused.reason == NotRunReason::StaleConfig
}

/// Brings the older of the two configurations up to date, beside the request and whatever becomes of it.
fn spread_config(shared: &Arc<Shared>, address: &str, seen_version: u64) {
    let held = shared.member.config_version();
    if seen_version == held {
        return;
    }
    let member = shared.member.clone();
    let address = Box::<str>::from(address);
    tokio::spawn(async move {
        if seen_version > held {
            member.fetch_config_from(&address, seen_version).await;
        } else {
            member.push_config_to(&address, seen_version).await;
        }
    });
}
