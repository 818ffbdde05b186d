//! Follows one offer from its arrival to its end.

use std::time::Duration;

use hinge_fair::Class;
use hinge_outcome::ClaimId;

use super::offers::{HandOverCost, RequestKey};

/// Says how an offer's life stands here.
#[derive(Debug)]
pub(super) struct Tracked {
    pub(super) request: RequestKey,
    pub(super) team: Box<str>,
    pub(super) class: Class,
    pub(super) kv_tokens: u64,
    pub(super) needs_key: bool,
    pub(super) claim: Option<ClaimId>,
    pub(super) spending: Option<Spending>,
    pub(super) charged_units: u64,
}

impl Tracked {
    /// Returns what the request has cost so far, after its hand-over.
    pub(super) fn spent(&self, now: Duration) -> u64 {
        let Some((since, cost)) = self
            .spending
            .map(|spending| (spending.since, spending.cost))
        else {
            return 0;
        };
        let busy_ms = now.saturating_sub(since).as_millis();
        let busy_ms = u64::try_from(busy_ms).unwrap_or(u64::MAX);
        let busy_units = busy_ms.saturating_mul(cost.busy_ms_units);
        busy_units.max(self.charged_units.saturating_add(cost.prompt_units))
    }
}

/// Says since when and at what cost a request uses the endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spending {
    pub(super) since: Duration,
    pub(super) cost: HandOverCost,
}
