//! Probes ejected sidecars, so that they can be readmitted.

use std::sync::Arc;
use std::time::Duration;

use hinge_placement::HealthRules;
use hinge_schema::messages::{FetchConfig, FetchedConfig};
use tokio::time::interval;

use crate::selection::{PoolSelector, Target};
use crate::shared::Shared;

/// Interval of checks for due probes; the first probe is due a second after an ejection.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Starts due probes until the task is aborted.
pub async fn probe_ejected(shared: Arc<Shared>) {
    let mut ticks = interval(PROBE_INTERVAL);
    loop {
        ticks.tick().await;
        for pool in shared.pools.all() {
            for target in pool.start_probes(shared.now()) {
                tokio::spawn(probe(Arc::clone(&shared), Arc::clone(&pool), target));
            }
        }
    }
}

/// Requests a sidecar's configuration, which any live sidecar returns at once.
///
/// This does not test the endpoint: the sidecar itself refuses offers if its endpoint fails, and a readmitted sidecar gets only
/// a few requests at first.
async fn probe(shared: Arc<Shared>, pool: Arc<PoolSelector>, target: Target) {
    let ask = FetchConfig {
        config_version: shared.member.config_version(),
    };
    let wait = HealthRules::default().probe_timeout;
    let reply = shared
        .client
        .call::<_, FetchedConfig>(&target.address, "/v1/config/fetch", &ask, wait)
        .await;
    pool.record_probe(target.id, reply.is_ok(), shared.now());
}
