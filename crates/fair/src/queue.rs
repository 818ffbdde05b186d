//! The queue of offers at one sidecar.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    drain::DrainRate,
    offer::{Class, FreeSlots, Limits, Offer, Picked, Reason, Refusal, Shed},
    peers::PeerService,
    shed::furthest_above_share,
    sums::ServiceSums,
    team::{Account, Floor, NormalisedUnits, OrderKey, Team, TeamIndex, WaitingOffer},
    upstream::Upstream,
};

/// Location of a waiting offer in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OfferLocation {
    pub(crate) team: TeamIndex,
    class: Class,
    order_key: OrderKey,
}

/// A running request whose estimate is charged.
#[derive(Clone, Copy, Debug)]
struct Running {
    team: TeamIndex,
    reserved_units: u64,
    streamed_units: u64,
}

/// A weighted fair queue of the offers that wait at one sidecar, with the service of each team.
///
/// `T` is a value that the caller stores with an offer, such as the open exchange with the entry.
#[derive(Debug)]
pub struct Queue<T> {
    pub(crate) limits: Limits,
    pub(crate) teams: Vec<Team<T>>,
    pub(crate) sums: ServiceSums,
    pub(crate) upstream: Upstream,
    /// Teams whose service may differ from `sums`.
    pub(crate) dirty: Vec<TeamIndex>,
    /// Number of replies applied.
    pub(crate) reply_count: u64,
    /// Time until which the last reply's list of teams that are backlogged in the fleet is valid.
    pub(crate) listing_expires_at: Duration,
    team_indexes: HashMap<Box<str>, TeamIndex>,
    /// Backlogged teams, by effective service.
    pub(crate) ready: BTreeSet<(NormalisedUnits, TeamIndex)>,
    /// The subset of `ready` with urgent offers and an allowance, by counted service less the allowance.
    pub(crate) urgent: BTreeSet<(NormalisedUnits, TeamIndex)>,
    /// Backlogged teams, by the counted service up to which another team may be picked before them.
    pub(crate) ceilings: BTreeSet<(NormalisedUnits, TeamIndex)>,
    pub(crate) peer_service: PeerService,
    /// Maximum number of requests that ran at once.
    max_running: u64,
    pub(crate) locations: HashMap<u64, OfferLocation>,
    running: HashMap<u64, Running>,
    arrival_count: u64,
    pub(crate) backlogged_shares: u64,
    pub(crate) drain_rate: DrainRate,
    /// Service floor at the last pick, for a team that returns while no other team waits.
    last_floor: Option<Floor>,
}

impl<T> Queue<T> {
    /// Returns an empty queue without teams.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            teams: Vec::new(),
            sums: ServiceSums::default(),
            upstream: Upstream::default(),
            dirty: Vec::new(),
            reply_count: 0,
            listing_expires_at: Duration::ZERO,
            team_indexes: HashMap::new(),
            ready: BTreeSet::new(),
            urgent: BTreeSet::new(),
            ceilings: BTreeSet::new(),
            peer_service: PeerService::default(),
            max_running: 0,
            locations: HashMap::new(),
            running: HashMap::new(),
            arrival_count: 0,
            backlogged_shares: 0,
            drain_rate: DrainRate::default(),
            last_floor: None,
        }
    }

    /// Adds a team, or changes its share and its limit of waiting offers.
    pub fn set_team(&mut self, team: &str, share: u32, max_waiting: usize) -> TeamIndex {
        let Some(index) = self.team_index(team) else {
            return self.add_team(team, share, max_waiting);
        };
        let max_request_units = self.limits.max_request_units;
        self.update_team(index, |team| {
            team.account.set_share(share);
            team.max_waiting = max_waiting;
            team.refresh_allowance(max_request_units);
        });
        index
    }

    /// Changes the urgent allowance of a team; with 0 its urgent offers get no precedence over other teams.
    pub fn set_urgent_allowance(&mut self, index: TeamIndex, allowance_ppm: u32) {
        let max_request_units = self.limits.max_request_units;
        self.update_team(index, |team| {
            team.urgent_allowance_ppm = allowance_ppm;
            team.refresh_allowance(max_request_units);
        });
    }

    /// Returns the index of a known team.
    #[must_use]
    pub fn team_index(&self, team: &str) -> Option<TeamIndex> {
        self.team_indexes.get(team).copied()
    }

    /// Returns the name of a team.
    ///
    /// # Panics
    ///
    /// When the index is not from this queue.
    #[must_use]
    pub fn team_name(&self, team: TeamIndex) -> &str {
        &self.team(team).name
    }

    /// Returns the service of a team as known to this sidecar.
    ///
    /// # Panics
    ///
    /// When the index is not from this queue.
    #[must_use]
    pub fn account(&self, team: TeamIndex) -> &Account {
        &self.team(team).account
    }

    /// Returns the number of waiting offers.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.locations.len()
    }

    /// Returns the number of a team's waiting offers.
    ///
    /// # Panics
    ///
    /// When the index is not from this queue.
    #[must_use]
    pub fn waiting_of(&self, team: TeamIndex) -> usize {
        self.team(team).waiting
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the least effective service among the teams that are backlogged here.
    #[must_use]
    pub fn floor(&self) -> Option<NormalisedUnits> {
        self.ready.first().map(|(service, _)| *service)
    }

    /// Adds an offer; if the queue is full, another waiting offer may be shed in its favour.
    ///
    /// # Errors
    ///
    /// When the offer is refused; the refusal contains the reason and the retry delay.
    ///
    /// # Panics
    ///
    /// When the queue's internal tables are inconsistent, which is a bug.
    pub fn push(
        &mut self,
        now: Duration,
        offer: &Offer,
        payload: T,
    ) -> Result<Option<Shed<T>>, Refusal> {
        let index = self.admit(now, offer)?;
        let shed = self.make_room(index)?;
        if self.locations.is_empty() {
            self.drain_rate.record_backlog_start(now);
        }
        self.enqueue(now, index, offer, payload);
        Ok(shed)
    }

    /// Removes a waiting offer that its entry has withdrawn.
    ///
    /// # Panics
    ///
    /// When the queue's internal tables are inconsistent, which is a bug.
    pub fn remove(&mut self, offer_id: u64) -> Option<T> {
        let location = self.locations.remove(&offer_id)?;
        let waiting = self.update_team(location.team, |team| {
            team.remove(location.class, location.order_key)
        });
        let waiting = waiting.expect("a located offer waits in its team");
        Some(waiting.payload)
    }

    /// Picks the offer for the next slot and charges its estimate.
    ///
    /// # Panics
    ///
    /// When the queue's internal tables are inconsistent, which is a bug.
    pub fn pick(&mut self, now: Duration, slots: FreeSlots) -> Option<Picked<T>> {
        let (index, class) = self.choose(slots)?;
        self.last_floor = self.local_floor();
        let (order_key, waiting) = self
            .update_team(index, |team| {
                let popped = team.pop(class)?;
                team.account.reserve(popped.1.estimated_units);
                Some(popped)
            })
            .expect("a chosen class has a waiting offer");
        self.locations.remove(&waiting.offer_id);
        self.drain_rate.record_pick(now);
        self.record_running(waiting.offer_id, index, waiting.estimated_units);
        Some(Picked {
            offer_id: waiting.offer_id,
            team: index,
            class,
            estimated_units: waiting.estimated_units,
            deadline: order_key.deadline,
            waited: now.saturating_sub(waiting.arrived_at),
            payload: waiting.payload,
        })
    }

    /// Charges the estimate of a request that did not wait here, such as one granted immediately.
    ///
    /// [`Queue::pick`] does this for the offers that it returns.
    ///
    /// # Errors
    ///
    /// When the team is unknown, or an offer with this id already waits or runs.
    pub fn start(&mut self, offer: &Offer) -> Result<TeamIndex, Refusal> {
        let index = self.check_team_and_id(offer)?;
        self.update_team(index, |team| team.account.reserve(offer.estimated_units));
        self.record_running(offer.offer_id, index, offer.estimated_units);
        Ok(index)
    }

    /// Charges units as they are served; they consume the estimate first.
    ///
    /// Returns whether the request is running here.
    pub fn charge(&mut self, offer_id: u64, units: u64) -> bool {
        let Some(running) = self.running.get_mut(&offer_id) else {
            return false;
        };
        let from_estimate = units.min(running.reserved_units);
        running.reserved_units -= from_estimate;
        running.streamed_units = running.streamed_units.saturating_add(units);
        let index = running.team;
        self.update_team(index, |team| {
            team.account.release(from_estimate);
            team.account.charge(units);
        });
        true
    }

    /// Ends a request and replaces its estimate by the actual cost.
    ///
    /// Units that were charged as served stay charged even if `actual_units` is less, so that sums never decrease. With 0,
    /// a grant that lost to another sidecar's is cancelled. Returns whether the request was running here.
    pub fn finish(&mut self, offer_id: u64, actual_units: u64) -> bool {
        let Some(running) = self.running.remove(&offer_id) else {
            return false;
        };
        let missing = actual_units.saturating_sub(running.streamed_units);
        self.update_team(running.team, |team| {
            team.account.release(running.reserved_units);
            team.account.charge(missing);
        });
        true
    }

    pub(crate) fn backlogged(&self) -> Vec<TeamIndex> {
        self.ready.iter().map(|(_, index)| *index).collect()
    }

    fn add_team(&mut self, name: &str, share: u32, max_waiting: usize) -> TeamIndex {
        let index =
            TeamIndex::try_from(self.teams.len()).expect("the number of teams fits in 32 bits");
        let mut team = Team::new(name.into(), share, max_waiting);
        team.refresh_allowance(self.limits.max_request_units);
        self.teams.push(team);
        self.team_indexes.insert(name.into(), index);
        index
    }

    pub(crate) fn team(&self, index: TeamIndex) -> &Team<T> {
        &self.teams[index as usize]
    }

    /// Changes a team and updates its keys in the ordered sets.
    pub(crate) fn update_team<R>(
        &mut self,
        index: TeamIndex,
        change: impl FnOnce(&mut Team<T>) -> R,
    ) -> R {
        let ratio = self.peer_service.ratio();
        let team = &mut self.teams[index as usize];
        let ready_before = (team.ready_key, index);
        let ceiling_before = (team.ceiling_key, index);
        let urgent_before = (team.urgent_key, index);
        let state_before = (team.waiting > 0, team.may_use_urgent_allowance());
        let share_before = u64::from(team.account.share());
        let result = change(team);
        team.account.set_peer_ratio(ratio);
        team.ready_key = team.account.effective();
        team.ceiling_key = team
            .account
            .ceiling(self.max_running, self.limits.max_request_units);
        team.urgent_key = team.urgent_precedence();
        let ready_after = (team.ready_key, index);
        let urgent_after = (team.urgent_key, index);
        let ceiling_after = (team.ceiling_key, index);
        let state_after = (team.waiting > 0, team.may_use_urgent_allowance());
        if state_after.0 && !state_before.0 {
            team.backlog_count += 1;
        }
        if !team.dirty {
            team.dirty = true;
            self.dirty.push(index);
        }
        let share_after = u64::from(team.account.share());
        if state_before.0 {
            self.backlogged_shares -= share_before;
        }
        if state_after.0 {
            self.backlogged_shares += share_after;
        }
        replace_key(
            &mut self.ceilings,
            state_before.0.then_some(ceiling_before),
            state_after.0.then_some(ceiling_after),
        );
        replace_key(
            &mut self.ready,
            state_before.0.then_some(ready_before),
            state_after.0.then_some(ready_after),
        );
        replace_key(
            &mut self.urgent,
            state_before.1.then_some(urgent_before),
            state_after.1.then_some(urgent_after),
        );
        result
    }

    fn check_team_and_id(&self, offer: &Offer) -> Result<TeamIndex, Refusal> {
        let index = self.team_index(&offer.team);
        let index = index.ok_or_else(|| self.refusal(Reason::UnknownTeam, 1))?;
        let is_waiting = self.locations.contains_key(&offer.offer_id);
        if is_waiting || self.running.contains_key(&offer.offer_id) {
            return Err(self.refusal(Reason::Duplicate, 1));
        }
        Ok(index)
    }

    fn admit(&self, now: Duration, offer: &Offer) -> Result<TeamIndex, Refusal> {
        let index = self.check_team_and_id(offer)?;
        let team = self.team(index);
        if team.waiting >= team.max_waiting {
            let picks = self.picks_before(index, team.waiting / 2 + 1);
            return Err(self.refusal(Reason::TeamFull, picks));
        }
        let order_key = OrderKey {
            deadline: offer.deadline,
            arrival: self.arrival_count,
        };
        let position = self.position(index, offer.class, order_key);
        if self.is_late(now, index, position, offer.deadline) {
            let picks = self.picks_before(index, position);
            return Err(self.refusal(Reason::DeadlineUnmeetable, picks));
        }
        Ok(index)
    }

    fn make_room(&mut self, newcomer: TeamIndex) -> Result<Option<Shed<T>>, Refusal> {
        if self.locations.len() < self.limits.max_waiting {
            return Ok(None);
        }
        let backlogged = self.ready.iter().map(|(_, index)| *index);
        let idle_newcomer = (self.team(newcomer).waiting == 0).then_some(newcomer);
        let candidates = backlogged.chain(idle_newcomer);
        let candidates = candidates.map(|index| (index, self.team(index)));
        let worst =
            furthest_above_share(candidates, newcomer).expect("the newcomer is a candidate");
        let picks = self.picks_before(worst, self.team(worst).waiting / 2 + 1);
        let refusal = self.refusal(Reason::QueueFull, picks);
        if worst == newcomer {
            return Err(refusal);
        }
        Ok(Some(self.shed_newest(worst, refusal)))
    }

    fn shed_newest(&mut self, index: TeamIndex, refusal: Refusal) -> Shed<T> {
        let newest = self.team(index).newest();
        let (class, order_key) = newest.expect("the team to shed from is backlogged");
        let waiting = self.update_team(index, |team| team.remove(class, order_key));
        let waiting = waiting.expect("the newest offer waits in its team");
        self.locations.remove(&waiting.offer_id);
        Shed {
            offer_id: waiting.offer_id,
            team: index,
            refusal,
            payload: waiting.payload,
        }
    }

    fn enqueue(&mut self, now: Duration, index: TeamIndex, offer: &Offer, payload: T) {
        let order_key = OrderKey {
            deadline: offer.deadline,
            arrival: self.arrival_count,
        };
        let waiting = WaitingOffer {
            offer_id: offer.offer_id,
            estimated_units: offer.estimated_units,
            arrived_at: now,
            payload,
        };
        self.arrival_count += 1;
        let floor = self.lift_floor(now, index);
        self.update_team(index, |team| {
            if let Some(floor) = floor {
                team.account.lift_provisionally(floor);
            }
            team.insert(offer.class, order_key, waiting);
        });
        let location = OfferLocation {
            team: index,
            class: offer.class,
            order_key,
        };
        self.locations.insert(offer.offer_id, location);
    }

    /// Returns the service to which a team that was idle here is lifted until totals arrive.
    fn lift_floor(&self, now: Duration, index: TeamIndex) -> Option<Floor> {
        let team = self.team(index);
        // A team that the fleet's totals list as backlogged was not idle, so a lift would deprive it of service that it is due.
        let is_listed = team.listed_in_reply == self.reply_count && now < self.listing_expires_at;
        if team.waiting > 0 || is_listed {
            return None;
        }
        let here = self.local_floor().or(self.last_floor);
        let Some(above) = self.upstream.floor else {
            return here;
        };
        Some(Floor {
            effective: here.map_or(above, |here| here.effective.max(above)),
            counted: here.map_or(above, |here| here.counted.max(above)),
        })
    }

    fn local_floor(&self) -> Option<Floor> {
        let (effective, index) = *self.ready.first()?;
        let counted = self.team(index).account.counted();
        Some(Floor { effective, counted })
    }

    fn record_running(&mut self, offer_id: u64, team: TeamIndex, estimated_units: u64) {
        let running = Running {
            team,
            reserved_units: estimated_units,
            streamed_units: 0,
        };
        self.running.insert(offer_id, running);
        let running = u64::try_from(self.running.len()).unwrap_or(u64::MAX);
        self.max_running = self.max_running.max(running);
    }
}

fn replace_key(
    set: &mut BTreeSet<(NormalisedUnits, TeamIndex)>,
    before: Option<(NormalisedUnits, TeamIndex)>,
    after: Option<(NormalisedUnits, TeamIndex)>,
) {
    if before == after {
        return;
    }
    if let Some(entry) = before {
        set.remove(&entry);
    }
    if let Some(entry) = after {
        set.insert(entry);
    }
}
