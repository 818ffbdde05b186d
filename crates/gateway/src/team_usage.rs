//! Sums the team usage reported by the admissions of a service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hinge_routing::UsageLag;
use tokio::time::Instant;

use crate::endpoint::Endpoint;

/// Time for which the sums are cached; admissions report the usage of teams about once a second.
const MAX_AGE: Duration = Duration::from_millis(200);

/// The recent usage of each team at all endpoints of a service, in tokens.
#[derive(Debug)]
pub(crate) struct TeamUsage {
    used: HashMap<Box<str>, u64>,
    most: u64,
    summed_at: Instant,
}

impl TeamUsage {
    /// Sums the usage reported by the endpoints' admissions.
    pub(crate) fn sum(endpoints: &[Arc<Endpoint>]) -> Self {
        let mut used: HashMap<Box<str>, u64> = HashMap::new();
        for endpoint in endpoints {
            endpoint.for_each_usage(|team, tokens| match used.get_mut(team) {
                Some(sum) => *sum += tokens,
                None => _ = used.insert(team.into(), tokens),
            });
        }
        Self {
            most: used.values().copied().max().unwrap_or_default(),
            used,
            summed_at: Instant::now(),
        }
    }

    /// Returns whether the sums are recent enough to be used.
    pub(crate) fn is_fresh(&self) -> bool {
        self.summed_at.elapsed() < MAX_AGE
    }

    /// Returns a team's usage.
    pub(crate) fn used_by(&self, team: &str) -> u64 {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Returns how far a team's usage lags behind that of the team with the most.
    pub(crate) fn lag_of(&self, team: &str) -> UsageLag {
        UsageLag::compare(self.used_by(team), self.most)
    }
}
