//! Learns how much the other sidecars give while this one gives a unit.
//!
//! All sidecars act on the same totals and so favour the same team until the next ones. A sidecar therefore expects the
//! others to do as it does itself: for each unit that it gives a team they give it half of what they gave lately to all
//! teams for each of its own. One ratio for all teams keeps the order among teams of equal totals
//! exactly as their own service orders them, so a wrong ratio can't starve a team.

use crate::team::SCALE;

/// Part of the learnt sums that each reply takes off, as a divisor.
///
/// Eight replies smooth the few requests that start between two of them, and follow a pool that grows within seconds.
const DECAY_DIVISOR: u64 = 8;

/// Ratio that stands for one unit of the others for each own unit.
const RATIO_ONE: u64 = 256;

/// Part of the learnt ratio that is expected, as a divisor.
///
/// Half lies between what is right for a team that waits everywhere and for one that a single sidecar sees. It takes
/// most of the overshoot away, and errs by half as much where the others don't do the same.
const DAMPING_DIVISOR: u64 = 2;

/// Most units of the others for each own unit.
///
/// Several times the largest pool; only a sidecar that has hardly served at all would learn more.
const MAX_PEER_UNITS_PER_OWN_UNIT: u64 = 1024;

/// Service of the other sidecars and of this one, in units, over the last replies.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerRatio {
    peer_units: u64,
    own_units: u64,
}

impl PeerRatio {
    pub(crate) fn decay(&mut self) {
        self.peer_units -= self.peer_units / DECAY_DIVISOR;
        self.own_units -= self.own_units / DECAY_DIVISOR;
    }

    /// Adds normalised service that two replies differ by, at the share of its team.
    pub(crate) fn add(&mut self, peer_units: u64, own_units: u64, share: u32) {
        let units = |normalised: u64| {
            let units = u128::from(normalised) * u128::from(share) / u128::from(SCALE);
            u64::try_from(units).unwrap_or(u64::MAX)
        };
        self.peer_units = self.peer_units.saturating_add(units(peer_units));
        self.own_units = self.own_units.saturating_add(units(own_units));
    }

    /// Returns the ratio by which [`expected`] multiplies; 0 before anything is learnt.
    pub(crate) fn ratio(self) -> u64 {
        if self.own_units == 0 {
            return 0;
        }
        let ratio =
            u128::from(self.peer_units) * u128::from(RATIO_ONE) / u128::from(self.own_units);
        let ratio = u64::try_from(ratio).unwrap_or(u64::MAX);
        ratio.min(MAX_PEER_UNITS_PER_OWN_UNIT * RATIO_ONE) / DAMPING_DIVISOR
    }
}

/// Returns what the others are expected to give while this sidecar gives `own`.
pub(crate) fn expected_remote(own_units: u64, ratio: u64) -> u64 {
    let expected = u128::from(own_units) * u128::from(ratio) / u128::from(RATIO_ONE);
    u64::try_from(expected).unwrap_or(u64::MAX)
}
