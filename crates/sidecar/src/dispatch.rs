//! Decides which offer gets a slot, and tracks every run from its offer to its end.
//!
//! The dispatcher does no I/O and reads no clock. Its callers report events, then take the actions that follow and run them.

mod offers;
mod tracked;
mod waiting;

use std::collections::HashMap;
use std::time::Duration;

use hinge_fair::{Class, FreeSlots, Limits, Offer, Picked, Queue};
use hinge_outcome::run::RunRetention;
use hinge_outcome::{ClaimId, Reason, RunEvent, RunState, RunTable, Verdict};
use hinge_placement::slots::{Availability, Demand, EngineReport, SlotRules, Slots};
use hinge_schema::messages::NotRunReason;

pub use self::offers::{
    Action, HandOverCost, Load, NewOffer, OfferId, Refusal, RequestKey, TeamRules,
};
pub use self::waiting::WaitingChange;

pub(crate) use self::offers::RETRY_ELSEWHERE_DELAY;
use self::tracked::{EndpointUse, TrackedOffer};
use self::waiting::WaitingCounts;

use crate::rules::with_common_slot;

/// The queue, the slots and the runs of one endpoint.
#[derive(Debug)]
pub struct Dispatcher {
    slots: Slots,
    queue: Queue<()>,
    runs: RunTable,
    tracked: HashMap<OfferId, TrackedOffer>,
    by_request: HashMap<RequestKey, OfferId>,
    by_claim: HashMap<ClaimId, OfferId>,
    /// Offers that the queue has picked but whose KV cache use does not fit yet, in the order of picking.
    parked: Vec<OfferId>,
    waiting: WaitingCounts,
    next_offer_id: OfferId,
    is_leaving: bool,
    is_ejected: bool,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Returns a dispatcher without offers or runs.
    #[must_use]
    pub fn new(rules: SlotRules, limits: Limits) -> Self {
        Self {
            slots: Slots::new(with_common_slot(rules)),
            queue: Queue::new(limits),
            runs: RunTable::new(RunRetention::default()),
            tracked: HashMap::new(),
            by_request: HashMap::new(),
            by_claim: HashMap::new(),
            parked: Vec::new(),
            waiting: WaitingCounts::default(),
            next_offer_id: 1,
            is_leaving: false,
            is_ejected: false,
            actions: Vec::new(),
        }
    }

    /// Takes the actions that have become due since the last call.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the changes in the teams' numbers of waiting offers since the last call.
    #[must_use]
    pub fn take_waiting_changes(&mut self) -> Vec<WaitingChange> {
        self.waiting.take_changes()
    }

    /// Returns the taken slots and the waiting offers.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            taken_slots: self.slots.running_count(),
            waiting: self.waiting.by_class(),
        }
    }

    /// Returns the number of grants and runs that have not ended.
    #[must_use]
    pub fn open_grants(&self) -> usize {
        self.by_claim.len()
    }

    /// Returns whether new work is refused because of a planned stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the queue, for reports of service.
    #[must_use]
    pub fn queue(&self) -> &Queue<()> {
        &self.queue
    }

    /// Returns the queue, to merge the fleet's totals into it.
    pub fn queue_mut(&mut self) -> &mut Queue<()> {
        &mut self.queue
    }

    /// Queues an offer, and grants it at once if a slot is free and it is next.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when the offer is not queued.
    pub fn offer(
        &mut self,
        now: Duration,
        new_offer: NewOffer,
        own_version: u64,
    ) -> Result<OfferId, Refusal> {
        self.check_offer(&new_offer, own_version)?;
        if let Some(rules) = new_offer.rules {
            let queue = &mut self.queue;
            let index = queue.set_team(&new_offer.team, rules.share, rules.max_waiting);
            queue.set_urgent_allowance(index, rules.urgent_allowance_ppm);
        }
        let id = self.next_offer_id;
        self.next_offer_id += 1;
        let offer = Offer {
            offer_id: id,
            team: new_offer.team.clone(),
            class: new_offer.class,
            estimated_units: new_offer.estimated_units,
            deadline: new_offer.deadline,
        };
        let shed = self
            .queue
            .push(now, &offer, ())
            .map_err(|refusal| Refusal::from_queue(&refusal))?;
        self.track(id, new_offer);
        if let Some(shed) = shed {
            self.refuse(shed.offer_id, Refusal::from_queue(&shed.refusal));
        }
        self.grant_free_slots(now);
        Ok(id)
    }

    /// Withdraws a waiting offer or its grant, because its entry has disconnected or no longer wants it.
    ///
    /// A run whose whole request has arrived goes on; [`Dispatcher::cancel`] ends it.
    pub fn withdraw(&mut self, offer_id: OfferId, now: Duration) {
        let Some(tracked) = self.tracked.get(&offer_id) else {
            return;
        };
        match tracked.claim {
            None => self.drop_waiting(offer_id),
            Some(claim) => self.give_up_unbound(claim, Reason::Cancelled, now),
        }
        self.grant_free_slots(now);
    }

    /// Ends a grant whose lease or body timeout has expired.
    pub fn expire_grant(&mut self, claim: ClaimId, now: Duration) {
        self.give_up_unbound(claim, Reason::GrantExpired, now);
        self.grant_free_slots(now);
    }

    /// Applies an event to a run, and returns the run's new state.
    ///
    /// # Errors
    ///
    /// Returns the verdict when the run has ended already, or does not allow the event; its work must then stop.
    pub fn advance(
        &mut self,
        claim: ClaimId,
        event: RunEvent,
        now: Duration,
    ) -> Result<RunState, Verdict> {
        match self.runs.apply(claim, event, now) {
            Ok(state) => Ok(state),
            Err(error) => match error.state {
                Some(RunState::Ended(verdict)) => Err(verdict),
                Some(_) | None => Err(Verdict::Unknown),
            },
        }
    }

    /// Marks a run as handed over, just before its first byte is written to the endpoint, and sets its cost from then on.
    ///
    /// # Errors
    ///
    /// Returns the verdict when the run has ended already; nothing may then be sent.
    pub fn hand_over(
        &mut self,
        claim: ClaimId,
        cost: HandOverCost,
        now: Duration,
    ) -> Result<RunState, Verdict> {
        let state = self.advance(claim, RunEvent::HandedOver, now)?;
        let offer_id = self.by_claim.get(&claim).copied();
        if let Some(tracked) = offer_id.and_then(|offer_id| self.tracked.get_mut(&offer_id)) {
            tracked.endpoint_use = Some(EndpointUse { since: now, cost });
        }
        Ok(state)
    }

    /// Ends a run without a whole answer, frees its slot, and returns its verdict.
    pub fn give_up(
        &mut self,
        claim: ClaimId,
        reason: Reason,
        units: u64,
        retry_after: Duration,
        now: Duration,
    ) -> Verdict {
        let event = RunEvent::GivenUp {
            reason,
            retry_after,
        };
        let verdict = match self.advance(claim, event, now) {
            Ok(RunState::Ended(verdict)) | Err(verdict) => verdict,
            Ok(_) => Verdict::Unknown,
        };
        self.release(claim, units, now);
        self.grant_free_slots(now);
        verdict
    }

    /// Ends a run with a whole answer, frees its slot, and charges its cost.
    pub fn complete(&mut self, claim: ClaimId, units: u64, now: Duration) -> Verdict {
        let verdict = match self.advance(claim, RunEvent::Ended, now) {
            Ok(RunState::Ended(verdict)) | Err(verdict) => verdict,
            Ok(_) => Verdict::Unknown,
        };
        self.release(claim, units, now);
        self.grant_free_slots(now);
        verdict
    }

    /// Cancels a run at its caller's request and frees its slot at once.
    ///
    /// The team is charged for the work that the endpoint has done; otherwise a caller that disconnects before the first token
    /// would get its prompts processed for free. When the endpoint fails, only what has streamed is charged.
    pub fn cancel(&mut self, claim: ClaimId, now: Duration) -> Verdict {
        let Some(offer_id) = self.by_claim.get(&claim).copied() else {
            return self.runs.verdict_or_withdraw(claim, now);
        };
        let tracked = self.tracked.get(&offer_id);
        let cost_so_far = tracked.map_or(0, |tracked| tracked.cost_so_far(now));
        let verdict = self.give_up(claim, Reason::Cancelled, cost_so_far, Duration::ZERO, now);
        self.actions.push(Action::Stop {
            offer_id,
            claim,
            verdict,
        });
        verdict
    }

    /// Returns the verdict of a run; asking withdraws a grant whose whole request has not arrived.
    pub fn ask_verdict(&mut self, claim: ClaimId, now: Duration) -> Verdict {
        let verdict = self.runs.verdict_or_withdraw(claim, now);
        if !matches!(verdict, Verdict::NeverHandedOver { .. }) {
            return verdict;
        }
        if let Some(offer_id) = self.release(claim, 0, now) {
            self.actions.push(Action::Stop {
                offer_id,
                claim,
                verdict,
            });
            self.grant_free_slots(now);
        }
        verdict
    }

    /// Charges service units to the team while an answer streams.
    pub fn charge(&mut self, claim: ClaimId, units: u64) {
        let Some(offer_id) = self.by_claim.get(&claim) else {
            return;
        };
        self.queue.charge(*offer_id, units);
        if let Some(tracked) = self.tracked.get_mut(offer_id) {
            tracked.charged_units = tracked.charged_units.saturating_add(units);
        }
    }

    /// Refuses all waiting offers, and every offer from now on.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.refuse_all(Refusal::retry_elsewhere(NotRunReason::Leaving));
    }

    /// Sets the endpoint's capacity; runs that have started go on.
    pub fn set_slot_rules(&mut self, rules: SlotRules, now: Duration) {
        self.slots.set_rules(with_common_slot(rules));
        self.grant_free_slots(now);
    }

    /// Applies a load report of the engine.
    pub fn apply_load_report(&mut self, report: EngineReport, now: Duration) {
        self.slots.apply_report(report, now);
        self.grant_free_slots(now);
    }

    /// Sets whether the endpoint is ejected; while it is, offers are refused.
    pub fn set_ejected(&mut self, is_ejected: bool, now: Duration) {
        self.is_ejected = is_ejected;
        if is_ejected {
            self.refuse_all(Refusal::retry_elsewhere(NotRunReason::NoEndpoint));
        } else {
            self.grant_free_slots(now);
        }
    }

    /// Refuses waiting offers whose deadline can't be met.
    pub fn expire_offers(&mut self, now: Duration) {
        for expired in self.queue.expire(now) {
            self.refuse(expired.offer_id, Refusal::from_queue(&expired.refusal));
        }
    }

    fn check_offer(&self, new_offer: &NewOffer, own_version: u64) -> Result<(), Refusal> {
        if self.is_leaving {
            return Err(Refusal::retry_elsewhere(NotRunReason::Leaving));
        }
        if new_offer.config_version < own_version {
            return Err(Refusal::retry_elsewhere(NotRunReason::StaleConfig));
        }
        if self.is_ejected {
            return Err(Refusal::retry_elsewhere(NotRunReason::NoEndpoint));
        }
        if new_offer.rules.is_none() {
            return Err(Refusal::retry_elsewhere(NotRunReason::NotReady));
        }
        if self.by_request.contains_key(&new_offer.request) {
            return Err(Refusal::retry_elsewhere(NotRunReason::AlreadyRunning));
        }
        Ok(())
    }

    fn track(&mut self, offer_id: OfferId, new_offer: NewOffer) {
        self.waiting.add(new_offer.class, &new_offer.team);
        self.by_request.insert(new_offer.request.clone(), offer_id);
        let tracked = TrackedOffer {
            request: new_offer.request,
            team: new_offer.team,
            class: new_offer.class,
            kv_tokens: self.capped_kv_tokens(new_offer.kv_tokens, new_offer.class),
            needs_key: new_offer.needs_key,
            claim: None,
            endpoint_use: None,
            charged_units: 0,
        };
        self.tracked.insert(offer_id, tracked);
    }

    /// Grants slots while there are free slots and offers for them.
    fn grant_free_slots(&mut self, now: Duration) {
        while self.grant_next(now) {}
    }

    /// Grants or parks one offer; returns whether there may be another.
    fn grant_next(&mut self, now: Duration) -> bool {
        let fitting = |offer_id: &OfferId| self.fits(*offer_id, now);
        if let Some(offer_id) = self.parked.iter().copied().find(fitting) {
            self.grant(offer_id, now);
            return true;
        }
        let pickable_slots = self.pickable_slots(now);
        let Some(Picked { offer_id, .. }) = self.queue.pick(now, pickable_slots) else {
            return false;
        };
        // The queue does not know about the KV cache. An offer that does not fit keeps its turn, or smaller requests would
        // overtake it forever.
        self.parked.push(offer_id);
        true
    }

    /// Returns the slots that the queue may fill; while an offer waits for KV cache, only urgent ones may overtake it.
    fn pickable_slots(&self, now: Duration) -> FreeSlots {
        let is_urgent = |offer_id: &OfferId| self.demand(*offer_id).is_urgent;
        let has_common = self.parked.is_empty() && self.slots.free_slots(now) > 0;
        let smallest = Demand {
            kv_tokens: 0,
            is_urgent: true,
        };
        let has_urgent = !self.parked.iter().any(is_urgent)
            && self.slots.availability(smallest, now) == Availability::Now;
        FreeSlots {
            free_slots: u32::from(has_common || has_urgent),
            reserved_slots: u32::from(!has_common),
        }
    }

    fn demand(&self, offer_id: OfferId) -> Demand {
        let tracked = self.tracked.get(&offer_id);
        let tracked = tracked.expect("an offer is tracked until it ends");
        Demand {
            kv_tokens: tracked.kv_tokens,
            is_urgent: tracked.class == Class::Urgent,
        }
    }

    fn fits(&self, offer_id: OfferId, now: Duration) -> bool {
        self.slots.availability(self.demand(offer_id), now) == Availability::Now
    }

    /// Returns the KV tokens that an offer is counted with: its estimate, at most what the endpoint has for its class.
    ///
    /// The estimate is rough and the engine decides in the end. An offer whose estimate exceeds the endpoint's KV cache is
    /// granted once the endpoint is empty; without the cap it would wait forever.
    fn capped_kv_tokens(&self, kv_tokens: u64, class: Class) -> u64 {
        let rules = self.slots.rules();
        if rules.kv_tokens == 0 {
            return kv_tokens;
        }
        let reserved = match class {
            Class::Urgent => 0,
            Class::Standard | Class::Batch => rules.urgent_kv_tokens,
        };
        kv_tokens.min(rules.kv_tokens.saturating_sub(reserved))
    }

    fn grant(&mut self, offer_id: OfferId, now: Duration) {
        self.parked.retain(|parked| *parked != offer_id);
        let demand = self.demand(offer_id);
        let tracked = self.tracked.get_mut(&offer_id);
        let tracked = tracked.expect("a picked offer is tracked until it ends");
        let claim = self.runs.grant(tracked.needs_key);
        tracked.claim = Some(claim);
        self.waiting.remove(tracked.class, &tracked.team);
        self.by_claim.insert(claim, offer_id);
        let has_room = self.slots.acquire(claim, demand, now);
        assert!(has_room, "the slot was checked before the grant");
        self.actions.push(Action::Grant { offer_id, claim });
    }

    fn drop_waiting(&mut self, offer_id: OfferId) {
        if self.parked.contains(&offer_id) {
            self.parked.retain(|parked| *parked != offer_id);
            self.queue.finish(offer_id, 0);
        } else {
            self.queue.remove(offer_id);
        }
        self.forget_waiting(offer_id);
    }

    fn forget_waiting(&mut self, offer_id: OfferId) {
        if let Some(tracked) = self.tracked.remove(&offer_id) {
            self.waiting.remove(tracked.class, &tracked.team);
            self.by_request.remove(&tracked.request);
        }
    }

    fn refuse(&mut self, offer_id: OfferId, refusal: Refusal) {
        self.forget_waiting(offer_id);
        self.actions.push(Action::Refuse { offer_id, refusal });
    }

    fn refuse_all(&mut self, refusal: Refusal) {
        let waiting = self.tracked.iter().filter(|(_, held)| held.claim.is_none());
        let mut waiting: Vec<OfferId> = waiting.map(|(offer_id, _)| *offer_id).collect();
        waiting.sort_unstable();
        for offer_id in waiting {
            self.drop_waiting(offer_id);
            self.actions.push(Action::Refuse { offer_id, refusal });
        }
    }

    fn give_up_unbound(&mut self, claim: ClaimId, reason: Reason, now: Duration) {
        if self.runs.state(claim) != Some(RunState::Granted) {
            return;
        }
        let Some(offer_id) = self.by_claim.get(&claim).copied() else {
            return;
        };
        let verdict = self.give_up(claim, reason, 0, Duration::ZERO, now);
        self.actions.push(Action::Stop {
            offer_id,
            claim,
            verdict,
        });
    }

    /// Frees the slot of a grant; does nothing when it is free already.
    fn release(&mut self, claim: ClaimId, units: u64, now: Duration) -> Option<OfferId> {
        let offer_id = self.by_claim.remove(&claim)?;
        let tracked = self.tracked.remove(&offer_id)?;
        self.by_request.remove(&tracked.request);
        self.queue.finish(offer_id, units);
        self.slots.release(claim, now);
        Some(offer_id)
    }
}
