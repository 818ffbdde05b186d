//! For how much longer endpoints warm up.
//!
//! The log holds the remaining time at the moment of a report, which counts down by itself. Each control instance
//! therefore notes when it learned of a report. After a restart it doesn't know, and counts the whole time again.

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_schema::routing::{Endpoint, EndpointList};

use crate::routing::{EndpointId, Routing, StartTime};

/// Time by which a report may exceed the remaining time that is known without telling of another warm-up.
const TOLERANCE: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct WarmUp {
    /// Incarnation and report that told of it.
    born_unix_ms: StartTime,
    sequence: u64,
    until: Duration,
}

/// The end of the last warm-up of each endpoint.
#[derive(Debug, Default)]
pub struct WarmUps {
    by_endpoint: BTreeMap<EndpointId, WarmUp>,
}

impl WarmUps {
    /// Notes the warm-ups that the log tells of, and forgets endpoints that are gone.
    pub fn note(&mut self, now: Duration, routing: &Routing) {
        self.by_endpoint
            .retain(|id, _| routing.endpoint(id).is_some());
        for endpoint in routing.endpoints() {
            if endpoint.warm_up_ms == 0 || self.is_noted(endpoint) {
                continue;
            }
            let warm_up = WarmUp {
                born_unix_ms: endpoint.born_unix_ms,
                sequence: endpoint.sequence,
                until: now + Duration::from_millis(endpoint.warm_up_ms),
            };
            self.by_endpoint.insert(endpoint.id.clone(), warm_up);
        }
    }

    fn is_noted(&self, endpoint: &Endpoint) -> bool {
        self.by_endpoint.get(&endpoint.id).is_some_and(|known| {
            known.born_unix_ms == endpoint.born_unix_ms && known.sequence == endpoint.sequence
        })
    }

    /// Returns for how much longer an endpoint warms up.
    #[must_use]
    pub fn left(&self, now: Duration, id: &str) -> Duration {
        let known = self.by_endpoint.get(id);
        known.map_or(Duration::ZERO, |known| known.until.saturating_sub(now))
    }

    /// Returns whether a report tells of a warm-up that goes on for longer than is known.
    #[must_use]
    pub fn is_news(&self, now: Duration, report: &Endpoint) -> bool {
        let reported = Duration::from_millis(report.warm_up_ms);
        reported > self.left(now, &report.id) + TOLERANCE
    }

    /// Replaces the reported times in a list by what is left of them.
    pub fn count_down(&self, now: Duration, list: &mut EndpointList) {
        for endpoint in &mut list.endpoints {
            let left = self.left(now, &endpoint.id);
            endpoint.warm_up_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        }
    }
}
