//! The state of one offer from its arrival to its end.

use std::time::Duration;

use hinge_fair::Class;
use hinge_outcome::ClaimId;

use super::offers::{HandOverCost, RequestKey};

/// An offer that waits, holds a grant, or runs.
#[derive(Debug)]
pub(super) struct TrackedOffer {
    pub(super) request: RequestKey,
    pub(super) team: Box<str>,
    pub(super) class: Class,
    pub(super) kv_tokens: u64,
    pub(super) needs_key: bool,
    pub(super) claim: Option<ClaimId>,
    pub(super) endpoint_use: Option<EndpointUse>,
    pub(super) charged_units: u64,
}

impl TrackedOffer {
    /// Returns the cost of the request since its hand-over; 0 before it.
    pub(super) fn cost_so_far(&self, now: Duration) -> u64 {
        let Some((since, cost)) = self
            .endpoint_use
            .map(|endpoint_use| (endpoint_use.since, endpoint_use.cost))
        else {
            return 0;
        };
        let busy_ms = now.saturating_sub(since).as_millis();
        let busy_ms = u64::try_from(busy_ms).unwrap_or(u64::MAX);
        let busy_units = busy_ms.saturating_mul(cost.busy_ms_units);
        busy_units.max(self.charged_units.saturating_add(cost.prompt_units))
    }
}

/// The time of a request's hand-over, and its cost from then on.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndpointUse {
    pub(super) since: Duration,
    pub(super) cost: HandOverCost,
}
