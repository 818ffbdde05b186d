//! Adds up what the admissions of a service tell of its teams.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hinge_routing::UsageLag;
use tokio::time::Instant;

use crate::endpoint::Endpoint;

/// Time for which the sums are used; admissions tell the use of the teams about once a second.
const KEEP: Duration = Duration::from_millis(200);

/// Holds what each team has used lately at all endpoints of a service, in tokens.
#[derive(Debug)]
pub(crate) struct Teams {
    used: HashMap<Box<str>, u64>,
    most: u64,
    gathered_at: Instant,
}

impl Teams {
    /// Adds up what the endpoints' admissions have told.
    pub(crate) fn gather(endpoints: &[Arc<Endpoint>]) -> Self {
        let mut used: HashMap<Box<str>, u64> = HashMap::new();
        for endpoint in endpoints {
            endpoint.each_use(|team, tokens| match used.get_mut(team) {
                Some(sum) => *sum += tokens,
                None => _ = used.insert(team.into(), tokens),
            });
        }
        Self {
            most: used.values().copied().max().unwrap_or_default(),
            used,
            gathered_at: Instant::now(),
        }
    }

    /// Returns whether the sums are new enough.
    pub(crate) fn is_fresh(&self) -> bool {
        self.gathered_at.elapsed() < KEEP
    }

    /// Returns what a team has used.
    pub(crate) fn used_by(&self, team: &str) -> u64 {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Returns how far a team's use lags behind that of the team with the most.
    pub(crate) fn lag_of(&self, team: &str) -> UsageLag {
        UsageLag::compare(self.used_by(team), self.most)
    }
}
