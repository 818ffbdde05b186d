//! States how far the normalised service of two backlogged teams may drift apart.

use std::time::Duration;

use crate::team::{CORRECTION_FACTOR, MAX_LEAD_REQUESTS, NormalisedUnits, normalise};
use crate::urgent::urgent_allowance_units;

/// What the bound on the gap depends on; the derivation is in `docs/design/fair-service.md`.
#[derive(Clone, Copy, Debug)]
pub struct FairnessBound {
    /// Slots of the whole pool.
    pub pool_slots: u64,
    /// Slots of the largest sidecar.
    pub sidecar_slots: u64,
    /// Service units of the largest request.
    pub max_request_units: u64,
    /// Service units that the whole pool gives in a second.
    pub units_per_s: u64,
    /// Longest time from service given until every sidecar has counted it.
    pub staleness: Duration,
    /// Longest time until a sidecar that sees a waiting team frees a slot for it.
    pub visibility: Duration,
    /// Service that was miscounted: given by sidecars that stopped before they reported, or counted twice.
    pub miscounted_units: u64,
    /// Largest urgent allowance of a team with urgent offers, in parts per million; 0 when there are none.
    pub urgent_allowance_ppm: u32,
}

impl FairnessBound {
    /// Returns the most by which a team's normalised service may exceed that of another backlogged team.
    #[must_use]
    pub fn lead(&self, leader_share: u32, other_share: u32) -> NormalisedUnits {
        let leader = self.granularity_units()
            + self.unseen_service_units()
            + self.allowed_lead_units()
            + self.miscounted_units;
        // The other team's own estimates, and the miscount in its disfavour, are the only terms over its share.
        let other = self.sidecar_slots * self.max_request_units + self.miscounted_units;
        normalise(leader, leader_share).saturating_add(normalise(other, other_share))
    }

    /// Returns the lead that may remain after a partition, `since_rejoin` after its end.
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
        // At worst a partition gave the leader everything. From its end the least served teams advance at the pool's rate
        // over the sum of shares, and the leader, forgiven or not, at no more than half of that.
        let grown = normalise(self.units_in(partition), leader_share);
        let advanced = normalise(self.units_in(since_rejoin), backlogged_shares);
        let rest = grown.saturating_sub(advanced / CORRECTION_FACTOR);
        self.lead(leader_share, other_share).saturating_add(rest)
    }

    /// Requests that all slots may hold for one team before anybody counts their service, and one more.
    fn granularity_units(&self) -> u64 {
        (self.pool_slots + 1) * self.max_request_units
    }

    /// Service in the time in which a sidecar doesn't know of service, of a lift, or of the waiting team.
    fn unseen_service_units(&self) -> u64 {
        self.units_in(2 * self.staleness + self.visibility)
    }

    /// Lead that a forgiven or an urgent team may keep.
    fn allowed_lead_units(&self) -> u64 {
        let urgent = urgent_allowance_units(self.max_request_units, self.urgent_allowance_ppm);
        MAX_LEAD_REQUESTS * self.max_request_units + urgent
    }

    fn units_in(&self, time: Duration) -> u64 {
        let units = u128::from(self.units_per_s) * time.as_millis() / 1000;
        u64::try_from(units).unwrap_or(u64::MAX)
    }
}
