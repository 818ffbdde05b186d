//! Decides who gets a slot, and follows every run from its offer to its end.
//!
//! The core does no I/O and reads no clock. Its callers tell it what happened, then take the actions that follow.

mod offers;
mod tracked;
mod waiting;

use std::collections::HashMap;
use std::time::Duration;

use hinge_fair::{Class, FreeSlots, Limits, Offer, Picked, Queue};
use hinge_outcome::run::RunMemory;
use hinge_outcome::{ClaimId, Reason, RunEvent, RunState, RunTable, Verdict};
use hinge_placement::slots::{Availability, Demand, EngineReport, SlotRules, Slots};
use hinge_schema::messages::NotRunReason;

pub use self::offers::{Action, Asked, HandOverCost, Load, Refusal, RequestKey, TeamRules, Ticket};
pub use self::waiting::WaitingChange;

pub(crate) use self::offers::ELSEWHERE;
use self::tracked::{Spending, Tracked};
use self::waiting::Waiting;

use crate::rules::with_common_slot;

/// Holds the queue, the slots and the runs of one endpoint.
#[derive(Debug)]
pub struct Core {
    slots: Slots,
    queue: Queue<()>,
    runs: RunTable,
    tracked: HashMap<Ticket, Tracked>,
    by_request: HashMap<RequestKey, Ticket>,
    by_claim: HashMap<ClaimId, Ticket>,
    /// Picked offers whose KV cache use does not fit yet, the first to be granted first.
    parked: Vec<Ticket>,
    waiting: Waiting,
    next_ticket: Ticket,
    is_leaving: bool,
    is_ejected: bool,
    actions: Vec<Action>,
}

impl Core {
    /// Returns an empty core.
    #[must_use]
    pub fn new(rules: SlotRules, limits: Limits) -> Self {
        Self {
            slots: Slots::new(with_common_slot(rules)),
            queue: Queue::new(limits),
            runs: RunTable::open(RunMemory::default()),
            tracked: HashMap::new(),
            by_request: HashMap::new(),
            by_claim: HashMap::new(),
            parked: Vec::new(),
            waiting: Waiting::default(),
            next_ticket: 1,
            is_leaving: false,
            is_ejected: false,
            actions: Vec::new(),
        }
    }

    /// Takes the actions that followed from what was told since the last call.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the changes of the teams' waiting offers since the last call.
    #[must_use]
    pub fn take_waiting_changes(&mut self) -> Vec<WaitingChange> {
        self.waiting.take_changes()
    }

    /// Returns what the core holds now.
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

    /// Takes an offer; it waits from now on, and may be granted at once.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when the offer does not wait here.
    pub fn offer(
        &mut self,
        now: Duration,
        asked: Asked,
        own_version: u64,
    ) -> Result<Ticket, Refusal> {
        self.may_take(&asked, own_version)?;
        if let Some(rules) = asked.rules {
            let queue = &mut self.queue;
            let index = queue.set_team(&asked.team, rules.share, rules.max_waiting);
            queue.set_urgent_allowance(index, rules.urgent_allowance_ppm);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let offer = Offer {
            offer_id: ticket,
            team: asked.team.clone(),
            class: asked.class,
            estimated_units: asked.estimated_units,
            deadline: asked.deadline,
        };
        let shed = self
            .queue
            .push(now, &offer, ())
            .map_err(|refusal| Refusal::from_queue(&refusal))?;
        self.track(ticket, asked);
        if let Some(shed) = shed {
            self.refuse(shed.offer_id, Refusal::from_queue(&shed.refusal));
        }
        self.fill(now);
        Ok(ticket)
    }

    /// Takes back an offer that waits, or its grant, because its entry has gone or does not want it.
    ///
    /// A run whose whole request is here goes on; [`Core::cancel`] ends it.
    pub fn withdraw(&mut self, ticket: Ticket, now: Duration) {
        let Some(tracked) = self.tracked.get(&ticket) else {
            return;
        };
        match tracked.claim {
            None => self.drop_waiting(ticket),
            Some(claim) => self.give_up_unbound(claim, Reason::Cancelled, now),
        }
        self.fill(now);
    }

    /// Ends a grant whose lease, or whose time for the body, is over.
    pub fn expire_grant(&mut self, claim: ClaimId, now: Duration) {
        self.give_up_unbound(claim, Reason::GrantExpired, now);
        self.fill(now);
    }

    /// Tells that a run has moved on.
    ///
    /// # Errors
    ///
    /// Returns the verdict when the run has ended already, or does not allow the step; nothing may then be done for it.
    pub fn advance(
        &mut self,
        claim: ClaimId,
        event: RunEvent,
        now: Duration,
    ) -> Result<RunState, Verdict> {
        match self.runs.on(claim, event, now) {
            Ok(state) => Ok(state),
            Err(error) => match error.state {
                Some(RunState::Ended(verdict)) => Err(verdict),
                Some(_) | None => Err(Verdict::Unknown),
            },
        }
    }

    /// Tells that the first byte for the endpoint is about to be written, and what the request costs from here on.
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
        let ticket = self.by_claim.get(&claim).copied();
        if let Some(tracked) = ticket.and_then(|ticket| self.tracked.get_mut(&ticket)) {
            tracked.spending = Some(Spending { since: now, cost });
        }
        Ok(state)
    }

    /// Gives a run up, frees its slot, and returns what became of it.
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
        self.fill(now);
        verdict
    }

    /// Ends a run with a whole answer, frees its slot, and charges what it cost.
    pub fn complete(&mut self, claim: ClaimId, units: u64, now: Duration) -> Verdict {
        let verdict = match self.advance(claim, RunEvent::Ended, now) {
            Ok(RunState::Ended(verdict)) | Err(verdict) => verdict,
            Ok(_) => Verdict::Unknown,
        };
        self.release(claim, units, now);
        self.fill(now);
        verdict
    }

    /// Cancels a run at its caller's wish and frees its slot at once.
    ///
    /// The team is charged for what the endpoint has done, or a caller that leaves before the first token would have its
    /// prompts for nothing. An endpoint that fails is another matter: then only what has streamed is charged.
    pub fn cancel(&mut self, claim: ClaimId, now: Duration) -> Verdict {
        let Some(ticket) = self.by_claim.get(&claim).copied() else {
            return self.runs.ask(claim, now);
        };
        let tracked = self.tracked.get(&ticket);
        let spent = tracked.map_or(0, |tracked| tracked.spent(now));
        let verdict = self.give_up(claim, Reason::Cancelled, spent, Duration::ZERO, now);
        self.actions.push(Action::Stop {
            ticket,
            claim,
            verdict,
        });
        verdict
    }

    /// Answers what became of a run; a grant without its whole request is withdrawn by the question.
    pub fn ask(&mut self, claim: ClaimId, now: Duration) -> Verdict {
        let verdict = self.runs.ask(claim, now);
        if !matches!(verdict, Verdict::NeverHandedOver { .. }) {
            return verdict;
        }
        if let Some(ticket) = self.release(claim, 0, now) {
            self.actions.push(Action::Stop {
                ticket,
                claim,
                verdict,
            });
            self.fill(now);
        }
        verdict
    }

    /// Charges units as they are served.
    pub fn charge(&mut self, claim: ClaimId, units: u64) {
        let Some(ticket) = self.by_claim.get(&claim) else {
            return;
        };
        self.queue.charge(*ticket, units);
        if let Some(tracked) = self.tracked.get_mut(ticket) {
            tracked.charged_units = tracked.charged_units.saturating_add(units);
        }
    }

    /// Refuses everything that waits, and all offers from now on.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.refuse_all(Refusal::elsewhere(NotRunReason::Leaving));
    }

    /// Takes over what the endpoint has room for; what runs goes on.
    pub fn set_room(&mut self, rules: SlotRules, now: Duration) {
        self.slots.set_rules(with_common_slot(rules));
        self.fill(now);
    }

    /// Takes a load report of the engine.
    pub fn report_load(&mut self, report: EngineReport, now: Duration) {
        self.slots.apply_report(report, now);
        self.fill(now);
    }

    /// Notes whether the endpoint is ejected; while it is, offers are refused.
    pub fn set_ejected(&mut self, is_ejected: bool, now: Duration) {
        self.is_ejected = is_ejected;
        if is_ejected {
            self.refuse_all(Refusal::elsewhere(NotRunReason::NoEndpoint));
        } else {
            self.fill(now);
        }
    }

    /// Refuses offers whose deadline can't be met.
    pub fn expire_offers(&mut self, now: Duration) {
        for expired in self.queue.expire(now) {
            self.refuse(expired.offer_id, Refusal::from_queue(&expired.refusal));
        }
    }

    fn may_take(&self, asked: &Asked, own_version: u64) -> Result<(), Refusal> {
        if self.is_leaving {
            return Err(Refusal::elsewhere(NotRunReason::Leaving));
        }
        if asked.config_version < own_version {
            return Err(Refusal::elsewhere(NotRunReason::StaleConfig));
        }
        if self.is_ejected {
            return Err(Refusal::elsewhere(NotRunReason::NoEndpoint));
        }
        if asked.rules.is_none() {
            return Err(Refusal::elsewhere(NotRunReason::NotReady));
        }
        if self.by_request.contains_key(&asked.request) {
            return Err(Refusal::elsewhere(NotRunReason::AlreadyRunning));
        }
        Ok(())
    }

    fn track(&mut self, ticket: Ticket, asked: Asked) {
        self.waiting.add(asked.class, &asked.team);
        self.by_request.insert(asked.request.clone(), ticket);
        let tracked = Tracked {
            request: asked.request,
            team: asked.team,
            class: asked.class,
            kv_tokens: self.fitting_kv_tokens(asked.kv_tokens, asked.class),
            needs_key: asked.needs_key,
            claim: None,
            spending: None,
            charged_units: 0,
        };
        self.tracked.insert(ticket, tracked);
    }

    /// Grants slots while there are both free slots and offers.
    fn fill(&mut self, now: Duration) {
        while self.fill_one(now) {}
    }

    /// Grants one slot; returns whether another may be granted.
    fn fill_one(&mut self, now: Duration) -> bool {
        let fitting = |ticket: &Ticket| self.fits(*ticket, now);
        if let Some(ticket) = self.parked.iter().copied().find(fitting) {
            self.grant(ticket, now);
            return true;
        }
        let room = self.room(now);
        let Some(Picked { offer_id, .. }) = self.queue.pick(now, room) else {
            return false;
        };
        // The queue does not know of the KV cache. An offer that does not fit keeps its turn, or small requests would
        // pass it for ever.
        self.parked.push(offer_id);
        true
    }

    /// Returns what the queue may pick from; while an offer waits for KV cache, only urgent ones may pass it.
    fn room(&self, now: Duration) -> FreeSlots {
        let is_urgent = |ticket: &Ticket| self.need(*ticket).is_urgent;
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

    fn need(&self, ticket: Ticket) -> Demand {
        let tracked = self.tracked.get(&ticket);
        let tracked = tracked.expect("an offer is tracked until it ends");
        Demand {
            kv_tokens: tracked.kv_tokens,
            is_urgent: tracked.class == Class::Urgent,
        }
    }

    fn fits(&self, ticket: Ticket, now: Duration) -> bool {
        self.slots.availability(self.need(ticket), now) == Availability::Now
    }

    /// Returns the KV tokens that are counted for an offer.
    ///
    /// The estimate is rough, and the engine has the last word; an offer that is estimated larger than the endpoint waits until
    /// the endpoint is empty, where otherwise it would wait for ever.
    fn fitting_kv_tokens(&self, kv_tokens: u64, class: Class) -> u64 {
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

    fn grant(&mut self, ticket: Ticket, now: Duration) {
        self.parked.retain(|parked| *parked != ticket);
        let need = self.need(ticket);
        let tracked = self.tracked.get_mut(&ticket);
        let tracked = tracked.expect("a picked offer is tracked until it ends");
        let claim = self.runs.grant(tracked.needs_key);
        tracked.claim = Some(claim);
        self.waiting.remove(tracked.class, &tracked.team);
        self.by_claim.insert(claim, ticket);
        let has_room = self.slots.acquire(claim, need, now);
        assert!(has_room, "room was checked before the grant");
        self.actions.push(Action::Grant { ticket, claim });
    }

    fn drop_waiting(&mut self, ticket: Ticket) {
        if self.parked.contains(&ticket) {
            self.parked.retain(|parked| *parked != ticket);
            self.queue.finish(ticket, 0);
        } else {
            self.queue.remove(ticket);
        }
        self.forget_waiting(ticket);
    }

    fn forget_waiting(&mut self, ticket: Ticket) {
        if let Some(tracked) = self.tracked.remove(&ticket) {
            self.waiting.remove(tracked.class, &tracked.team);
            self.by_request.remove(&tracked.request);
        }
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        self.forget_waiting(ticket);
        self.actions.push(Action::Refuse { ticket, refusal });
    }

    fn refuse_all(&mut self, refusal: Refusal) {
        let waiting = self.tracked.iter().filter(|(_, held)| held.claim.is_none());
        let mut waiting: Vec<Ticket> = waiting.map(|(ticket, _)| *ticket).collect();
        waiting.sort_unstable();
        for ticket in waiting {
            self.drop_waiting(ticket);
            self.actions.push(Action::Refuse { ticket, refusal });
        }
    }

    fn give_up_unbound(&mut self, claim: ClaimId, reason: Reason, now: Duration) {
        if self.runs.state(claim) != Some(RunState::Granted) {
            return;
        }
        let Some(ticket) = self.by_claim.get(&claim).copied() else {
            return;
        };
        let verdict = self.give_up(claim, reason, 0, Duration::ZERO, now);
        self.actions.push(Action::Stop {
            ticket,
            claim,
            verdict,
        });
    }

    /// Gives the slot of a grant back, once.
    fn release(&mut self, claim: ClaimId, units: u64, now: Duration) -> Option<Ticket> {
        let ticket = self.by_claim.remove(&claim)?;
        let tracked = self.tracked.remove(&ticket)?;
        self.by_request.remove(&tracked.request);
        self.queue.finish(ticket, units);
        self.slots.release(claim, now);
        Some(ticket)
    }
}
