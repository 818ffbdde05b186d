//! The service account and the waiting offers of one team.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{
    offer::{CLASSES, Class},
    peers::{self, PeerService},
    sums::{ServiceAmount, ServiceSum},
    urgent::{DEFAULT_URGENT_ALLOWANCE_PPM, urgent_allowance_units},
};

/// Service units times [`SCALE`], divided by the team's share.
pub type NormalisedUnits = u64;

/// Index of a team in the tables of one queue or merging process; it is never reused.
pub type TeamIndex = u32;

/// Number of normalised units in one service unit at share 1.
///
/// A power of two keeps the division cheap. With 16 fractional bits, 48 bits remain for service: at 1.1 million units a
/// second, a single team of share 1 takes eight years to overflow, and shares up to 65,536 still resolve every unit.
pub const SCALE: u64 = 1 << 16;

/// Factor by which a team's effective service grows faster than its service while it has a forgiven lead.
///
/// Every unit served to the team reduces its forgiven lead. At 2 the team keeps half of its share meanwhile, so a
/// correction takes at most half of a team's share in any second. At 1 the lead would never be corrected.
pub const CORRECTION_FACTOR: u64 = 2;

/// Lead over the least served team that isn't forgiven when partitions rejoin, in requests of the largest size.
///
/// A larger lead is forgiven down to this one and then corrected at the rate of [`CORRECTION_FACTOR`]. Four requests keep
/// the order among small differences, which are ordinary granularity, and limit the team's pause after a rejoin to the
/// time in which its share would serve four requests.
pub const MAX_LEAD_REQUESTS: u64 = 4;

/// Returns `units` of service divided by `share`, rounded down.
#[must_use]
pub fn normalise(units: u64, share: u32) -> NormalisedUnits {
    let scaled = u128::from(units) * u128::from(SCALE) / u128::from(share.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// The service of one team as known to one sidecar.
///
/// The team's normalised service is the sum of this sidecar's own service, the known service of the other sidecars
/// (*remote*), and the lifts. Its *counted* service is the normalised service less the forgiven lead, plus the estimates of
/// running requests. Its *effective* service, by which teams are compared, adds the service expected from other sidecars.
#[derive(Clone, Debug, Default)]
pub struct Account {
    share: u32,
    remainder: u32,
    service_units: u64,
    own: NormalisedUnits,
    reserved_units: u64,
    remote: NormalisedUnits,
    lift: NormalisedUnits,
    provisional_lift: NormalisedUnits,
    forgiven_lead: NormalisedUnits,
    /// Own service that the applied totals include.
    merged_own: NormalisedUnits,
    /// Whether `merged_own` and `remote` come from totals, so that the next totals give the service since then.
    has_baseline: bool,
    /// Ratio of the expected remote service to the own service that `merged_own` lacks.
    peer_ratio: u64,
    /// Part of the provisional lift up to the expected service of the teams that waited.
    expected_lift: NormalisedUnits,
}

/// The least service among teams, with and without the expected service of other sidecars.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Floor {
    pub(crate) effective: NormalisedUnits,
    pub(crate) counted: NormalisedUnits,
}

impl Account {
    /// Returns an account without service; a share of 0 counts as 1.
    pub(crate) fn new(share: u32) -> Self {
        Self {
            share: share.max(1),
            ..Self::default()
        }
    }

    /// Returns the share by which service is divided.
    #[must_use]
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Changes the share; past service stays normalised by the earlier share.
    pub(crate) fn set_share(&mut self, share: u32) {
        self.share = share.max(1);
        self.remainder = 0;
    }

    /// Returns the units that this sidecar delivered in the current generation of its sums.
    #[must_use]
    pub fn service_units(&self) -> u64 {
        self.service_units
    }

    /// Returns the normalised service that this sidecar delivered in the current generation of its sums.
    #[must_use]
    pub fn own(&self) -> NormalisedUnits {
        self.own
    }

    /// Returns the latest known fleet-wide lift.
    #[must_use]
    pub fn lift(&self) -> NormalisedUnits {
        self.lift
    }

    /// Returns the forgiven part of the team's lead that has not been corrected yet.
    #[must_use]
    pub fn forgiven_lead(&self) -> NormalisedUnits {
        self.forgiven_lead
    }

    /// Returns the normalised service including lifts, as known to this sidecar.
    #[must_use]
    pub fn normalised(&self) -> NormalisedUnits {
        self.remote
            .saturating_add(self.own)
            .saturating_add(self.lift)
            .saturating_add(self.provisional_lift)
    }

    /// Returns the service by which teams are compared.
    #[must_use]
    pub fn effective(&self) -> NormalisedUnits {
        self.counted()
            .saturating_add(self.expected_remote())
            .saturating_add(self.expected_lift)
    }

    /// Returns the effective service without the expected service of other sidecars.
    #[must_use]
    pub fn counted(&self) -> NormalisedUnits {
        let reserved = normalise(self.reserved_units, self.share);
        (self.normalised() - self.forgiven_lead).saturating_add(reserved)
    }

    /// Returns the expected service of the other sidecars beyond what the totals include.
    ///
    /// It is derived from the own service that the totals don't include yet, so it shrinks by exactly as much as later
    /// totals include, and needs no correction of its own.
    #[must_use]
    pub fn expected_remote(&self) -> NormalisedUnits {
        let unmerged = self.own.saturating_sub(self.merged_own);
        peers::expected_remote(unmerged, self.peer_ratio)
    }

    /// Returns the maximum counted service with which another team may still be picked first.
    pub(crate) fn ceiling(&self, slots: u64, max_request_units: u64) -> NormalisedUnits {
        let estimates = slots.saturating_mul(max_request_units);
        let estimates = estimates.max(self.reserved_units);
        (self.normalised() - self.forgiven_lead).saturating_add(normalise(estimates, self.share))
    }

    pub(crate) fn set_peer_ratio(&mut self, ratio: u64) {
        self.peer_ratio = ratio;
    }

    /// Applies the own service that the totals include, and adds the service since the last totals to `peer_service`.
    pub(crate) fn update_merged(
        &mut self,
        remote: NormalisedUnits,
        merged: NormalisedUnits,
        peer_service: &mut PeerService,
    ) {
        let peers = remote.saturating_sub(self.remote);
        let own = merged.saturating_sub(self.merged_own);
        self.merged_own += own;
        // The first totals include all service that was ever delivered elsewhere.
        if self.has_baseline {
            peer_service.add(peers, own, self.share);
        }
        self.has_baseline = true;
    }

    /// Adds units that an endpoint has served.
    pub(crate) fn charge(&mut self, units: u64) {
        // The remainder is carried, so that a stream charged token by token costs the same as one charged at its end.
        let scaled = u128::from(units) * u128::from(SCALE) + u128::from(self.remainder);
        let share = u128::from(self.share);
        let added = u64::try_from(scaled / share).unwrap_or(u64::MAX);
        self.remainder = u32::try_from(scaled % share).unwrap_or_default();
        self.service_units = self.service_units.saturating_add(units);
        self.own = self.own.saturating_add(added);
        self.reduce_forgiven_lead(added);
    }

    /// Adds estimated units that are not served yet.
    pub(crate) fn reserve(&mut self, units: u64) {
        self.reserved_units = self.reserved_units.saturating_add(units);
    }

    /// Subtracts units added by [`Account::reserve`].
    pub(crate) fn release(&mut self, units: u64) {
        self.reserved_units = self.reserved_units.saturating_sub(units);
    }

    /// Applies the service of the other sidecars; an older, smaller value has no effect.
    pub(crate) fn update_remote(&mut self, remote: NormalisedUnits) {
        let added = remote.saturating_sub(self.remote);
        self.remote += added;
        self.reduce_forgiven_lead(added);
    }

    /// Applies the fleet-wide lift; an older, smaller value has no effect.
    pub(crate) fn update_lift(&mut self, lift: NormalisedUnits) {
        self.lift = self.lift.max(lift);
    }

    /// Raises the effective service to `floor` until the fleet-wide lift is known.
    pub(crate) fn lift_provisionally(&mut self, floor: Floor) {
        let missing = floor.counted.saturating_sub(self.counted());
        let reduction = missing.min(self.forgiven_lead);
        self.forgiven_lead -= reduction;
        self.provisional_lift = self.provisional_lift.saturating_add(missing - reduction);
        // Expected service is kept apart, or a lift during a long silence would count as delivered service.
        let rest = floor.effective.saturating_sub(self.effective());
        self.expected_lift = self.expected_lift.saturating_add(rest);
    }

    /// Drops the provisional lift once the fleet-wide one is known.
    pub(crate) fn settle_lift(&mut self) {
        self.provisional_lift = 0;
        self.expected_lift = 0;
        self.forgiven_lead = self.forgiven_lead.min(self.normalised());
    }

    /// Forgives the part of the lead over `floor` that exceeds [`MAX_LEAD_REQUESTS`].
    pub(crate) fn forgive_lead_above(&mut self, floor: NormalisedUnits, max_request_units: u64) {
        let lead = normalise(max_request_units, self.share).saturating_mul(MAX_LEAD_REQUESTS);
        let ceiling = floor.saturating_add(lead);
        let served = self.normalised() - self.forgiven_lead;
        self.forgiven_lead += served.saturating_sub(ceiling);
    }

    /// Ends forgiveness below `floor`, so that a forgiven team is never picked before the least served one.
    pub(crate) fn limit_forgiveness(&mut self, floor: NormalisedUnits) {
        let served = self.normalised() - self.forgiven_lead;
        let missing = floor.saturating_sub(served);
        self.forgiven_lead -= missing.min(self.forgiven_lead);
    }

    /// Resets the own sums to the service that the root has not counted, and keeps the total.
    pub(crate) fn restart_own(&mut self, unrooted: ServiceAmount) {
        let rooted = self.own.saturating_sub(unrooted.normalised_units);
        self.service_units = unrooted.service_units;
        self.own -= rooted;
        self.remote = self.remote.saturating_add(rooted);
        self.merged_own = self.own;
        self.has_baseline = false;
    }

    /// Moves the account to a new root, which has counted nothing yet: past service becomes part of the lift.
    pub(crate) fn rebase(&mut self, unrooted: ServiceAmount) {
        self.restart_own(unrooted);
        self.lift = self.lift.saturating_add(self.remote);
        self.remote = 0;
    }

    fn reduce_forgiven_lead(&mut self, served: NormalisedUnits) {
        // While a forgiven lead remains, each served unit raises the effective service by CORRECTION_FACTOR units.
        let reduction = served.saturating_mul(CORRECTION_FACTOR - 1);
        self.forgiven_lead -= reduction.min(self.forgiven_lead);
    }
}

/// Sort key of a waiting offer in its class: earliest deadline first, then first come, first served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct OrderKey {
    pub(crate) deadline: Duration,
    pub(crate) arrival: u64,
}

/// An offer that waits in its team.
#[derive(Debug)]
pub(crate) struct WaitingOffer<T> {
    pub(crate) offer_id: u64,
    pub(crate) estimated_units: u64,
    pub(crate) arrived_at: Duration,
    pub(crate) payload: T,
}

/// Number of picks from a team's higher classes after which a waiting lower class has its turn.
///
/// Seven of eight picks follow the urgency order, and a team's batch work gets at least an eighth of the team's rate.
const MAX_SKIPS: u32 = 7;

/// A team of a queue, with its account and its waiting offers by class.
#[derive(Debug)]
pub(crate) struct Team<T> {
    pub(crate) name: Box<str>,
    pub(crate) account: Account,
    pub(crate) max_waiting: usize,
    pub(crate) waiting: usize,
    /// Number of times that the team became backlogged.
    pub(crate) backlog_count: u64,
    /// Number of the last reply that listed the team as backlogged in the fleet.
    pub(crate) listed_in_reply: u64,
    /// Whether the queue lists the team in `dirty`.
    pub(crate) dirty: bool,
    /// Key of this team in the queue's `ready` set: its effective service.
    pub(crate) ready_key: NormalisedUnits,
    /// Key of this team in the queue's `ceilings` set.
    pub(crate) ceiling_key: NormalisedUnits,
    /// Key of this team in the queue's `urgent` set: the precedence of its urgent offers.
    pub(crate) urgent_key: NormalisedUnits,
    /// Urgent allowance as a part of [`URGENT_WINDOW_REQUESTS`](crate::URGENT_WINDOW_REQUESTS), in parts per million.
    pub(crate) urgent_allowance_ppm: u32,
    urgent_allowance: NormalisedUnits,
    classes: [BTreeMap<OrderKey, WaitingOffer<T>>; CLASSES],
    skip_counts: [u32; CLASSES],
}

impl<T> Team<T> {
    /// Returns the current sums of the team.
    pub(crate) fn sum(&self) -> ServiceSum {
        ServiceSum {
            service_units: self.account.service_units(),
            normalised_units: self.account.own(),
            backlogged: self.waiting > 0,
            backlog_count: self.backlog_count,
            lift_units: self.account.lift(),
        }
    }

    pub(crate) fn new(name: Box<str>, share: u32, max_waiting: usize) -> Self {
        Self {
            name,
            account: Account::new(share),
            max_waiting,
            waiting: 0,
            backlog_count: 0,
            listed_in_reply: 0,
            dirty: false,
            ready_key: 0,
            ceiling_key: 0,
            urgent_key: 0,
            urgent_allowance_ppm: DEFAULT_URGENT_ALLOWANCE_PPM,
            urgent_allowance: 0,
            classes: [BTreeMap::new(), BTreeMap::new(), BTreeMap::new()],
            skip_counts: [0; CLASSES],
        }
    }

    /// Returns whether the team has urgent offers and an allowance to serve them before other teams' work.
    pub(crate) fn may_use_urgent_allowance(&self) -> bool {
        self.urgent_allowance_ppm > 0 && !self.classes[Class::Urgent.rank()].is_empty()
    }

    /// Recomputes the normalised urgent allowance, which is cached because every charged unit needs it.
    pub(crate) fn refresh_allowance(&mut self, max_request_units: u64) {
        let units = urgent_allowance_units(max_request_units, self.urgent_allowance_ppm);
        self.urgent_allowance = normalise(units, self.account.share());
    }

    /// Returns the team's counted service less its urgent allowance, by which urgent offers are ordered.
    ///
    /// An allowance greater than the service results in 0, which is not above any floor. The allowance applies per sidecar
    /// and to known service only: if the expected service of the other sidecars counted too, one urgent request would use
    /// up the allowance for the whole pool.
    pub(crate) fn urgent_precedence(&self) -> NormalisedUnits {
        self.account.counted().saturating_sub(self.urgent_allowance)
    }

    pub(crate) fn insert(&mut self, class: Class, order_key: OrderKey, waiting: WaitingOffer<T>) {
        self.classes[class.rank()].insert(order_key, waiting);
        self.waiting += 1;
    }

    pub(crate) fn remove(&mut self, class: Class, order_key: OrderKey) -> Option<WaitingOffer<T>> {
        let removed = self.classes[class.rank()].remove(&order_key)?;
        self.waiting -= 1;
        Some(removed)
    }

    /// Yields the offers of one class in the order in which they would be picked.
    pub(crate) fn offers_in_order(
        &self,
        class: Class,
    ) -> impl Iterator<Item = (OrderKey, u64)> + '_ {
        let offers = self.classes[class.rank()].iter();
        offers.map(|(order_key, waiting)| (*order_key, waiting.offer_id))
    }

    /// Returns the number of this team's picks before an offer with the given numbers of offers ahead of it.
    pub(crate) fn picks_before(in_higher_classes: usize, in_class: usize) -> usize {
        // Behind a long queue of higher classes, the turns of the offer's own class limit the wait. Two lower classes may
        // be overdue at once, so a class has its turn within MAX_SKIPS + 2 picks.
        let by_order = in_higher_classes + in_class;
        let by_turns = (in_class + 1) * (MAX_SKIPS as usize + 2) - 1;
        by_order.min(by_turns)
    }

    /// Returns the class to serve next: the most urgent one, unless a lower class has been skipped too often.
    pub(crate) fn next_class(&self) -> Option<Class> {
        let waits = |class: &Class| !self.classes[class.rank()].is_empty();
        let overdue = |class: &Class| self.skip_counts[class.rank()] >= MAX_SKIPS;
        let by_turn = Class::ALL
            .into_iter()
            .find(|class| waits(class) && overdue(class));
        by_turn.or_else(|| Class::ALL.into_iter().find(waits))
    }

    /// Removes the first offer of `class` and counts a skip for each lower class with waiting offers.
    pub(crate) fn pop(&mut self, class: Class) -> Option<(OrderKey, WaitingOffer<T>)> {
        let popped = self.classes[class.rank()].pop_first()?;
        self.waiting -= 1;
        self.skip_counts[class.rank()] = 0;
        for lower in class.rank() + 1..CLASSES {
            let waits = !self.classes[lower].is_empty();
            self.skip_counts[lower] = if waits {
                self.skip_counts[lower] + 1
            } else {
                0
            };
        }
        Some(popped)
    }

    /// Returns the class and key of the offer that arrived last.
    pub(crate) fn newest(&self) -> Option<(Class, OrderKey)> {
        // A scan suffices, because shedding happens only under overload and a team's queue is short.
        let of = |class: Class| {
            self.offers_in_order(class)
                .map(move |(order_key, _)| (class, order_key))
        };
        let all = Class::ALL.into_iter().flat_map(of);
        all.max_by_key(|(_, order_key)| order_key.arrival)
    }
}
