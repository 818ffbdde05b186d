//! The bound on the gap between the normalised service of two backlogged teams.

use std::time::Duration;

use crate::team::{CORRECTION_FACTOR, MAX_LEAD_REQUESTS, NormalisedUnits, normalise};
use crate::urgent::urgent_allowance_units;

/// Parameters of the fairness bound, which is derived in `docs/design/fair-service.md`.
#[derive(Clone, Copy, Debug)]
pub struct FairnessBound {
    /// Number of slots in the whole pool.
    pub pool_slots: u64,
    /// Number of slots of the largest sidecar.
    pub sidecar_slots: u64,
    /// Service units of the largest request.
    pub max_request_units: u64,
    /// Service units that the whole pool delivers in a second.
    pub units_per_s: u64,
    /// Longest time from the delivery of service until every sidecar has counted it.
    pub staleness: Duration,
    /// Longest time until a sidecar that has offers of a waiting team frees a slot for it.
    pub visibility: Duration,
    /// Service that was miscounted: delivered by sidecars that stopped before they reported it, or counted twice.
    pub miscounted_units: u64,
    /// Largest urgent allowance among teams with urgent offers, in parts per million; 0 without such teams.
    pub urgent_allowance_ppm: u32,
}

impl FairnessBound {
    /// Returns the maximum lead of one team's normalised service over that of another backlogged team.
    #[must_use]
    pub fn lead(&self, leader_share: u32, other_share: u32) -> NormalisedUnits {
        let leader = self.granularity_units()
            + self.unseen_service_units()
            + self.allowed_lead_units()
            + self.miscounted_units;
        // Only the other team's own estimates and the miscount to its disadvantage are divided by the other team's share.
        let other = self.sidecar_slots * self.max_request_units + self.miscounted_units;
        normalise(leader, leader_share).saturating_add(normalise(other, other_share))
    }

    /// Returns the maximum lead that remains `since_rejoin` after the end of a partition.
    ///
    /// `backlogged_shares` is the sum of the shares of all backlogged teams.
    #[must_use]
    pub fn lead_after_partition(
        &self,
        leader_share: u32,
        other_share: u32,
        backlogged_shares: u32,
        partition: Duration,
        since_rejoin: Duration,
    ) -> NormalisedUnits {
        // In the worst case the leader got all service during the partition. After it, the least served teams advance at
        // the pool's rate over the sum of shares, and the leader, forgiven or not, at no more than half of that.
        let grown = normalise(self.units_in(partition), leader_share);
        let advanced = normalise(self.units_in(since_rejoin), backlogged_shares);
        let rest = grown.saturating_sub(advanced / CORRECTION_FACTOR);
        self.lead(leader_share, other_share).saturating_add(rest)
    }

    /// Returns the units of requests that may run for one team in all slots before they are counted, and of one more.
    fn granularity_units(&self) -> u64 {
        (self.pool_slots + 1) * self.max_request_units
    }

    /// Returns the service in the time in which a sidecar doesn't know of service, of a lift, or of the waiting team.
    fn unseen_service_units(&self) -> u64 {
        self.units_in(2 * self.staleness + self.visibility)
    }

    /// Returns the lead that a team may keep after forgiveness or take with urgent offers.
    fn allowed_lead_units(&self) -> u64 {
        let urgent = urgent_allowance_units(self.max_request_units, self.urgent_allowance_ppm);
        MAX_LEAD_REQUESTS * self.max_request_units + urgent
    }

    fn units_in(&self, time: Duration) -> u64 {
        let units = u128::from(self.units_per_s) * time.as_millis() / 1000;
        u64::try_from(units).unwrap_or(u64::MAX)
    }
}
