//! Counts the connections and requests that a gateway takes and refuses, by the limit that applied.

use std::time::Duration;

/// A limit that a request can reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// The limit of all requests in flight.
    All,
    /// The share of that limit for hot teams, which send far more than an even share of the requests.
    HotTeams,
    /// The share of that limit for the other teams while there are hot ones.
    OtherTeams,
    /// The standing lag, which alone would make a plain request late.
    Lag,
}

impl LimitKind {
    /// All limits.
    pub const ALL: [Self; 4] = [Self::All, Self::HotTeams, Self::OtherTeams, Self::Lag];

    /// Returns the name used in logs and metrics.
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

/// The reason why another gateway did not take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferFailure {
    /// No other gateway can be asked now.
    NoneLeft,
    /// Too many requests are handed off already.
    TooMany,
    /// It can't be reached.
    Unreachable,
    /// It has no capacity.
    Full,
    /// It can't serve the request for another reason, such as another route table.
    Unable,
}

impl OfferFailure {
    /// All reasons.
    pub const ALL: [Self; 5] = [
        Self::NoneLeft,
        Self::TooMany,
        Self::Unreachable,
        Self::Full,
        Self::Unable,
    ];
}

/// Counts since they were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OverloadCounts {
    /// Connections accepted.
    pub connections: u32,
    /// Requests to model engines that were started.
    pub begun: u32,
    /// Requests that other gateways took from this one.
    pub handed_off: u32,
    /// Requests that this gateway took from others.
    pub taken_over: u32,
    /// Requests of other gateways that this one had no capacity for.
    pub declined: u32,
    /// Offers to other gateways that failed, by cause.
    offers_failed: [u32; OfferFailure::ALL.len()],
    refused: [u32; LimitKind::ALL.len()],
    /// Time without listening for connections; attempts to connect fail in it and are not seen here.
    pub closed_time: Duration,
}

impl OverloadCounts {
    /// Counts an offer to another gateway that failed.
    pub(crate) fn record_offer_failure(&mut self, failure: OfferFailure) {
        self.offers_failed[failure as usize] += 1;
    }

    /// Counts a refused request.
    pub(crate) fn record_refusal(&mut self, kind: LimitKind) {
        self.refused[kind as usize] += 1;
    }

    /// Returns how many offers to other gateways failed for a reason.
    #[must_use]
    pub fn offers_failed_as(&self, failure: OfferFailure) -> u32 {
        self.offers_failed[failure as usize]
    }

    /// Returns how many requests were refused by a limit.
    #[must_use]
    pub fn refused_at(&self, kind: LimitKind) -> u32 {
        self.refused[kind as usize]
    }

    /// Returns whether any request was refused or passed between gateways, or the listener was closed.
    #[must_use]
    pub fn has_excess(&self) -> bool {
        let handed_over = self.handed_off + self.taken_over + self.declined;
        let refused: u32 = self.refused.iter().sum();
        handed_over + refused > 0 || !self.closed_time.is_zero()
    }
}
