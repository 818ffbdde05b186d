//! Counts what a gateway takes and turns away, by the limit that binds.

use std::time::Duration;

/// Says which limit a request met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// The limit of all requests under way.
    All,
    /// The part of it that teams may fill which ask for far more than an even share.
    HotTeams,
    /// The part of it that the other teams may fill beside those.
    OtherTeams,
    /// The standing lag, which alone would make a plain request late.
    Lag,
}

impl LimitKind {
    /// All limits.
    pub const ALL: [Self; 4] = [Self::All, Self::HotTeams, Self::OtherTeams, Self::Lag];

    /// Returns the name under which it is logged and counted.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::All => "all",
            Self::HotTeams => "hot_teams",
            Self::OtherTeams => "other_teams",
            Self::Lag => "lag",
        }
    }
}

/// Holds the counts since they were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OverloadCounts {
    /// Connections that were taken.
    pub connections: u32,
    /// Requests to model engines that began.
    pub begun: u32,
    /// Requests that other gateways took from this one.
    pub handed_off: u32,
    /// Requests that this gateway took from others.
    pub taken_over: u32,
    /// Requests of other gateways that found no room here.
    pub declined: u32,
    refused: [u32; LimitKind::ALL.len()],
    /// Time for which nobody listened for connections; attempts in it fail and are not seen here.
    pub closed_time: Duration,
}

impl OverloadCounts {
    /// Counts a request that is turned away.
    pub(crate) fn refuse(&mut self, bound: LimitKind) {
        self.refused[bound as usize] += 1;
    }

    /// Returns how many requests were turned away at a limit.
    #[must_use]
    pub fn refused_at(&self, bound: LimitKind) -> u32 {
        self.refused[bound as usize]
    }

    /// Returns whether something was turned away or passed between gateways, as far as it can be seen.
    #[must_use]
    pub fn has_excess(&self) -> bool {
        let passed = self.handed_off + self.taken_over + self.declined;
        let refused: u32 = self.refused.iter().sum();
        passed + refused > 0 || !self.closed_time.is_zero()
    }
}
