//! Counts the service of one team in integers, divided by its share.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{
    offer::{CLASSES, Class},
    peer_ratio::{self, PeerRatio},
    sums::{ServiceAmount, ServiceSum},
    urgent::{DEFAULT_URGENT_ALLOWANCE_PPM, urgent_allowance_units},
};

/// Service units times [`SCALE`], divided by the team's share.
pub type NormalisedUnits = u64;

/// Position of a team in the tables of one queue; it is never reused.
pub type TeamIndex = u32;

/// Normalised units that one service unit is worth at share 1.
///
/// A power of two keeps the division cheap. Sixteen bits leave 48 for service: at 1.1 million units a second, a single
/// team of share 1 needs eight years to overflow, and shares up to 65,536 still see every single unit.
pub const SCALE: u64 = 1 << 16;

/// How much faster than served a forgiven team's effective service grows.
///
/// A team that was over-served pays its debt with every unit it receives. At 2 it keeps half of its share while it pays,
/// so a correction takes at most half of a team's share in any second. At 1 nothing would ever be paid back.
pub const CORRECTION_FACTOR: u64 = 2;

/// Largest requests that a team may be ahead of the least served one after partitions rejoin.
///
/// More than this is forgiven first and paid back at the rate of [`CORRECTION_FACTOR`]. Four requests keep the order
/// among small differences, which are ordinary granularity, and bound the pause after a rejoin by the time in which the
/// team would have earned four requests.
pub const MAX_LEAD_REQUESTS: u64 = 4;

/// Returns `units` of service divided by `share`, rounded down.
#[must_use]
pub fn normalise(units: u64, share: u32) -> NormalisedUnits {
    let scaled = u128::from(units) * u128::from(SCALE) / u128::from(share.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// The service of one team as one sidecar knows it.
///
/// The team's normalised service is the sum of what this sidecar gave, what the others gave as far as is known, and the
/// lifts. Its *counted* service is less by what is forgiven and more by the estimates of running requests; its *effective*
/// service, by which teams are compared, is also more by what the other sidecars are expected to give.
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
    /// Own service that the totals taken in hold.
    merged_own: NormalisedUnits,
    /// Whether `merged` and `remote` are from totals, so that the next ones tell what was given between.
    has_baseline: bool,
    /// What the others are expected to give for each own unit that `merged` lacks.
    peer_ratio: u64,
    /// Provisional lift to what is expected of the teams that waited.
    expected_lift: NormalisedUnits,
}

/// Least service among teams, with and without what is expected of other sidecars.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Floor {
    pub(crate) effective: NormalisedUnits,
    pub(crate) counted: NormalisedUnits,
}

impl Account {
    /// Returns an account without any service; a share of 0 counts as 1.
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

    /// Changes the share; service already counted keeps the share it was counted under.
    pub(crate) fn set_share(&mut self, share: u32) {
        self.share = share.max(1);
        self.remainder = 0;
    }

    /// Returns the units that this sidecar gave in the current generation of its sums.
    #[must_use]
    pub fn service_units(&self) -> u64 {
        self.service_units
    }

    /// Returns the normalised service that this sidecar gave in the current generation of its sums.
    #[must_use]
    pub fn own(&self) -> NormalisedUnits {
        self.own
    }

    /// Returns the fleet-wide lift as far as it is known.
    #[must_use]
    pub fn lift(&self) -> NormalisedUnits {
        self.lift
    }

    /// Returns what is forgiven and not yet paid back.
    #[must_use]
    pub fn forgiven_lead(&self) -> NormalisedUnits {
        self.forgiven_lead
    }

    /// Returns the normalised service with lifts, as far as this sidecar knows it.
    #[must_use]
    pub fn normalised(&self) -> NormalisedUnits {
        self.remote
            .saturating_add(self.own)
            .saturating_add(self.lift)
            .saturating_add(self.provisional_lift)
    }

    /// Returns the value by which teams are compared.
    #[must_use]
    pub fn effective(&self) -> NormalisedUnits {
        self.counted()
            .saturating_add(self.expected_remote())
            .saturating_add(self.expected_lift)
    }

    /// Returns the effective service without what is only expected of other sidecars.
    #[must_use]
    pub fn counted(&self) -> NormalisedUnits {
        let reserved = normalise(self.reserved_units, self.share);
        (self.normalised() - self.forgiven_lead).saturating_add(reserved)
    }

    /// Returns what the other sidecars are expected to give, beside what the totals hold.
    ///
    /// It follows from the own service that the totals don't hold. So it goes by itself when totals come that hold it, in
    /// exactly that measure, and nothing has to be taken back.
    #[must_use]
    pub fn expected_remote(&self) -> NormalisedUnits {
        let unmerged = self.own.saturating_sub(self.merged_own);
        peer_ratio::expected_remote(unmerged, self.peer_ratio)
    }

    /// Returns the most counted service that another team may have and still go first.
    pub(crate) fn ceiling(&self, slots: u64, max_request_units: u64) -> NormalisedUnits {
        let estimates = slots.saturating_mul(max_request_units);
        let estimates = estimates.max(self.reserved_units);
        (self.normalised() - self.forgiven_lead).saturating_add(normalise(estimates, self.share))
    }

    pub(crate) fn set_peers_ratio(&mut self, ratio: u64) {
        self.peer_ratio = ratio;
    }

    /// Takes in how much of the own service the totals hold, and what was given since the last ones.
    pub(crate) fn update_merged(
        &mut self,
        remote: NormalisedUnits,
        merged: NormalisedUnits,
        peer_ratio: &mut PeerRatio,
    ) {
        let peers = remote.saturating_sub(self.remote);
        let own = merged.saturating_sub(self.merged_own);
        self.merged_own += own;
        // The first totals hold all that was ever given elsewhere.
        if self.has_baseline {
            peer_ratio.add(peers, own, self.share);
        }
        self.has_baseline = true;
    }

    /// Counts units that an endpoint has served.
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

    /// Counts units that are expected but not served yet.
    pub(crate) fn reserve(&mut self, units: u64) {
        self.reserved_units = self.reserved_units.saturating_add(units);
    }

    /// Takes back units counted by [`Account::reserve`].
    pub(crate) fn release(&mut self, units: u64) {
        self.reserved_units = self.reserved_units.saturating_sub(units);
    }

    /// Takes in what the other sidecars gave; an older, smaller value changes nothing.
    pub(crate) fn update_remote(&mut self, remote: NormalisedUnits) {
        let added = remote.saturating_sub(self.remote);
        self.remote += added;
        self.reduce_forgiven_lead(added);
    }

    /// Takes in the fleet-wide lift; an older, smaller value changes nothing.
    pub(crate) fn update_lift(&mut self, lift: NormalisedUnits) {
        self.lift = self.lift.max(lift);
    }

    /// Raises the effective service to `floor` until the fleet-wide lift is known.
    pub(crate) fn lift_provisionally(&mut self, floor: Floor) {
        let missing = floor.counted.saturating_sub(self.counted());
        let paid = missing.min(self.forgiven_lead);
        self.forgiven_lead -= paid;
        self.provisional_lift = self.provisional_lift.saturating_add(missing - paid);
        // What was only expected stays apart, or a lift in a long silence would pass for service.
        let rest = floor.effective.saturating_sub(self.effective());
        self.expected_lift = self.expected_lift.saturating_add(rest);
    }

    /// Drops the provisional lift, because the fleet-wide one has been taken in.
    pub(crate) fn settle_lift(&mut self) {
        self.provisional_lift = 0;
        self.expected_lift = 0;
        self.forgiven_lead = self.forgiven_lead.min(self.normalised());
    }

    /// Forgives what lies more than the allowed lead above `floor`.
    pub(crate) fn forgive_above(&mut self, floor: NormalisedUnits, max_request_units: u64) {
        let lead = normalise(max_request_units, self.share).saturating_mul(MAX_LEAD_REQUESTS);
        let ceiling = floor.saturating_add(lead);
        let served = self.normalised() - self.forgiven_lead;
        self.forgiven_lead += served.saturating_sub(ceiling);
    }

    /// Ends forgiveness below `floor`: a forgiven team never goes before the least served one.
    pub(crate) fn limit_forgiveness(&mut self, floor: NormalisedUnits) {
        let served = self.normalised() - self.forgiven_lead;
        let missing = floor.saturating_sub(served);
        self.forgiven_lead -= missing.min(self.forgiven_lead);
    }

    /// Starts the own sums anew at what the root doesn't count, keeping the total.
    pub(crate) fn restart_own(&mut self, unrooted: ServiceAmount) {
        let counted = self.own.saturating_sub(unrooted.normalised_units);
        self.service_units = unrooted.service_units;
        self.own -= counted;
        self.remote = self.remote.saturating_add(counted);
        self.merged_own = self.own;
        self.has_baseline = false;
    }

    /// Moves the account to a new root, which counts nothing yet: service so far becomes part of the lift.
    pub(crate) fn rebase(&mut self, unrooted: ServiceAmount) {
        self.restart_own(unrooted);
        self.lift = self.lift.saturating_add(self.remote);
        self.remote = 0;
    }

    fn reduce_forgiven_lead(&mut self, served: NormalisedUnits) {
        // Served units raise the effective service by CORRECTION_FACTOR as long as something is forgiven.
        let paid = served.saturating_mul(CORRECTION_FACTOR - 1);
        self.forgiven_lead -= paid.min(self.forgiven_lead);
    }
}

/// Place of a waiting offer inside its team: earliest deadline first, then first come.
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

/// Picks of a team's higher classes after which a waiting lower class has its turn.
///
/// Seven of eight picks keep the urgency order, and a team's own batch work moves at an eighth of the team's rate at least.
const MAX_SKIPS: u32 = 7;

/// One team of a queue: its account and its waiting offers by class.
#[derive(Debug)]
pub(crate) struct Team<T> {
    pub(crate) name: Box<str>,
    pub(crate) account: Account,
    pub(crate) max_waiting: usize,
    pub(crate) waiting: usize,
    /// How often the team became backlogged.
    pub(crate) backlog_count: u64,
    /// Number of the last reply that lists the team as backlogged in the fleet.
    pub(crate) listed_in_reply: u64,
    /// Whether the team's sums have changed since they were last set.
    pub(crate) dirty: bool,
    /// The effective service under which the queue has filed this team.
    pub(crate) ready_key: NormalisedUnits,
    /// The ceiling under which the queue has filed this team.
    pub(crate) ceiling_key: NormalisedUnits,
    /// The precedence under which the queue has filed this team's urgent offers.
    pub(crate) urgent_key: NormalisedUnits,
    /// Part of the team's service that may go first as urgent, in parts per million.
    pub(crate) urgent_allowance_ppm: u32,
    urgent_allowance: NormalisedUnits,
    classes: [BTreeMap<OrderKey, WaitingOffer<T>>; CLASSES],
    skip_counts: [u32; CLASSES],
}

impl<T> Team<T> {
    /// Returns the sums of the team as they are now.
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

    /// Returns whether the team has urgent offers that may go before other teams' work.
    pub(crate) fn may_use_urgent_allowance(&self) -> bool {
        self.urgent_allowance_ppm > 0 && !self.classes[Class::Urgent.rank()].is_empty()
    }

    /// Brings the urgent allowance in step with its part and the share; it is kept, as every charged unit needs it.
    pub(crate) fn refresh_allowance(&mut self, max_request_units: u64) {
        let units = urgent_allowance_units(max_request_units, self.urgent_allowance_ppm);
        self.urgent_allowance = normalise(units, self.account.share());
    }

    /// Returns the team's counted service less its urgent allowance, which urgent offers are ordered by.
    ///
    /// An allowance beyond the service leaves nothing, which is below every floor. The allowance is a sidecar's own and
    /// compares what is known: if what the other sidecars are expected to give counted too, one urgent request would
    /// use it up for the whole pool.
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

    /// Returns the offers of one class in the order in which they would be picked.
    pub(crate) fn offers_in_order(
        &self,
        class: Class,
    ) -> impl Iterator<Item = (OrderKey, u64)> + '_ {
        let offers = self.classes[class.rank()].iter();
        offers.map(|(order_key, waiting)| (*order_key, waiting.offer_id))
    }

    /// Returns how many of this team's picks come before an offer with the given number of offers in front of it.
    pub(crate) fn picks_before(in_higher_classes: usize, in_class: usize) -> usize {
        // Behind a long queue of higher classes the turns of its own class decide. Two lower classes may be overdue at
        // once, so a turn comes within MAX_SKIPS + 2 picks.
        let by_order = in_higher_classes + in_class;
        let by_turns = (in_class + 1) * (MAX_SKIPS as usize + 2) - 1;
        by_order.min(by_turns)
    }

    /// Returns the class whose turn it is: the most urgent one, unless a lower one was skipped too often.
    pub(crate) fn next_class(&self) -> Option<Class> {
        let waits = |class: &Class| !self.classes[class.rank()].is_empty();
        let overdue = |class: &Class| self.skip_counts[class.rank()] >= MAX_SKIPS;
        let by_turn = Class::ALL
            .into_iter()
            .find(|class| waits(class) && overdue(class));
        by_turn.or_else(|| Class::ALL.into_iter().find(waits))
    }

    /// Takes the first offer of `class` and counts a skip for each lower class that waits.
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

    /// Returns the offer that arrived last.
    pub(crate) fn newest(&self) -> Option<(Class, OrderKey)> {
        // A scan, because shedding happens only in overload and a team's queue is short.
        let of = |class: Class| {
            self.offers_in_order(class)
                .map(move |(order_key, _)| (class, order_key))
        };
        let all = Class::ALL.into_iter().flat_map(of);
        all.max_by_key(|(_, order_key)| order_key.arrival)
    }
}
