//! Estimates how much service the other sidecars deliver for each unit that this sidecar delivers.
//!
//! All sidecars act on the same totals, and so they favour the same team until new totals arrive. A sidecar therefore
//! expects its peers to act like itself: for each unit that it delivers to a team, it expects them to deliver half of what
//! they recently delivered to all teams for each of its own units. One ratio for all teams keeps teams with equal totals
//! in the order of their own service, so a wrong ratio can't starve a team.

use crate::team::SCALE;

/// Divisor of the part by which the sums decay with each reply.
///
/// Few requests start between two replies; 8 smooths over them and still follows a growing pool within seconds.
const DECAY_DIVISOR: u64 = 8;

/// Fixed-point ratio of one peer unit for each own unit.
const RATIO_ONE: u64 = 256;

/// Divisor of the observed ratio.
///
/// The full ratio fits a team that waits at every sidecar, and 0 one that waits at a single sidecar. Half of it removes
/// most of the overshoot, and halves the error where the peers don't act alike.
const DAMPING_DIVISOR: u64 = 2;

/// Maximum of the observed ratio.
///
/// This is several times the largest pool; only a sidecar that has hardly served anything would observe more.
const MAX_PEER_UNITS_PER_OWN_UNIT: u64 = 1024;

/// Decaying sums of the service of the other sidecars and of this one, in units.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerService {
    peer_units: u64,
    own_units: u64,
}

impl PeerService {
    pub(crate) fn decay(&mut self) {
        self.peer_units -= self.peer_units / DECAY_DIVISOR;
        self.own_units -= self.own_units / DECAY_DIVISOR;
    }

    /// Adds the normalised service between two replies, converted to units by the share of its team.
    pub(crate) fn add(&mut self, peer_units: u64, own_units: u64, share: u32) {
        let units = |normalised: u64| {
            let units = u128::from(normalised) * u128::from(share) / u128::from(SCALE);
            u64::try_from(units).unwrap_or(u64::MAX)
        };
        self.peer_units = self.peer_units.saturating_add(units(peer_units));
        self.own_units = self.own_units.saturating_add(units(own_units));
    }

    /// Returns the damped ratio for [`expected_remote`]; 0 before anything was observed.
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

/// Returns the service expected from the other sidecars while this one delivers `own_units`.
pub(crate) fn expected_remote(own_units: u64, ratio: u64) -> u64 {
    let expected = u128::from(own_units) * u128::from(ratio) / u128::from(RATIO_ONE);
    u64::try_from(expected).unwrap_or(u64::MAX)
}
