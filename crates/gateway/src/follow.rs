//! Receives routes and endpoints from control by long polling.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hinge_clock::BootInstant;
use hinge_control::WATCH_ROUTES_PATH;
use hinge_link::Client;
use hinge_routing::{Address, ControlInstances};
use hinge_schema::routing::{RoutesUpdate, WatchRoutes};
use hinge_telemetry::log::Component;
use hinge_telemetry::readiness::{Readiness, Reason};
use hinge_telemetry::{info, warn};
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::peer_updates::PeerUpdates;
use crate::routing_state::RoutingState;
use crate::units::millis;

#[cfg(test)]
mod tests;

/// Longest wait of one long poll. An answer without changes shows that the control instance still knows a leader, so this bounds
/// how long a gateway follows an instance that has lost contact with the leader.
const WATCH_WAIT: Duration = Duration::from_millis(600);

/// Time that a call may take beyond the wait of its long poll.
const CALL_MARGIN: Duration = Duration::from_millis(300);

/// Delay after every queried instance has failed; an election takes a second or two.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time in which further requests may want the same query.
const SHARED_QUERY_DELAY: Duration = Duration::from_millis(20);

/// Minimum interval between log lines while no control instance answers.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The settings with which a gateway follows control.
#[derive(Debug)]
pub(crate) struct FollowSettings {
    pub(crate) instance: Box<str>,
    /// Address at which this gateway answers calls of others.
    pub(crate) peer_address: SocketAddr,
    /// Time without control after which this gateway is no longer ready.
    pub(crate) max_state_age: Duration,
}

/// The gauges of the route table in force.
#[derive(Debug)]
pub(crate) struct TableGauges {
    pub(crate) age_ms: Gauge,
    pub(crate) number: Gauge,
}

impl TableGauges {
    fn set(&self, age: Duration, number: u64) {
        let age_ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.age_ms.set(age_ms);
        self.number.set(i64::try_from(number).unwrap_or(i64::MAX));
    }
}

/// Long-polls control until the task is aborted.
pub(crate) async fn run(
    client: Client,
    settings: FollowSettings,
    seeds: watch::Receiver<Vec<Box<str>>>,
    routing: Arc<RoutingState>,
    readiness: Arc<Readiness>,
    gauges: TableGauges,
) {
    let mut targets = ControlInstances::new(&seeds.borrow(), rand::random::<u32>() as usize);
    let mut peer_updates = PeerUpdates::new();
    let mut logged_at = Instant::now();
    let mut wait = WATCH_WAIT;
    loop {
        let was_followed = targets.is_following();
        let query = current_query(&settings, &routing, wait);
        let to_query = targets.to_query();
        routing.control.store(Arc::new(to_query.to_vec()));
        let queried = until_wanted(query_any(&client, &query, &to_query), wait, &routing);
        let fetched = peer_updates.fetch(&client, &routing, &query);
        let (queried, ()) = futures::join!(queried, fetched);
        let Some(queried) = queried else {
            // Requests that want a confirmation share one query.
            sleep(SHARED_QUERY_DELAY).await;
            wait = Duration::ZERO;
            continue;
        };
        wait = WATCH_WAIT;
        let without = routing.contact.age();
        gauges.set(without, routing.current().table_number());
        match queried {
            Ok(answered) if answered.update.is_unconfirmed.unwrap_or(false) => {
                targets.record_failure(&seeds.borrow());
                routing.apply(answered.update);
                info!(
                    Component::Gateway,
                    "A control instance without a leader tells of changes.",
                    address = answered.address,
                    without_ms = without.as_millis(),
                    table = routing.current().table_number()
                );
            }
            Ok(Answered {
                address,
                update,
                queried_at,
                took,
            }) => {
                if !was_followed {
                    info!(
                        Component::Gateway,
                        "Following control.",
                        address = address,
                        without_ms = without.as_millis()
                    );
                }
                targets.record_answer(&address, &update.control, &seeds.borrow());
                routing
                    .known_control
                    .store(Arc::new(targets.known().to_vec()));
                peer_updates.set_addresses(update.gateways.clone());
                let has_table = routing.apply(update);
                if proves_current(took) {
                    routing.contact.confirm(queried_at);
                    readiness.clear(Reason::Outdated);
                }
                if has_table {
                    readiness.clear(Reason::NoConfig);
                } else {
                    sleep(RETRY_DELAY).await;
                }
            }
            Err(cause) => {
                targets.record_failure(&seeds.borrow());
                if without >= settings.max_state_age {
                    readiness.set(Reason::Outdated);
                }
                if was_followed || logged_at.elapsed() >= LOG_INTERVAL {
                    logged_at = Instant::now();
                    warn!(
                        Component::Gateway,
                        if was_followed {
                            "Lost control."
                        } else {
                            "Still without control."
                        },
                        cause = cause,
                        without_ms = without.as_millis(),
                        table = routing.current().table_number()
                    );
                }
                if !was_followed {
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Returns the query for everything newer than the current state.
fn current_query(settings: &FollowSettings, routing: &RoutingState, wait: Duration) -> WatchRoutes {
    let snapshot = routing.current();
    WatchRoutes {
        instance: settings.instance.clone(),
        peer_address: Some(settings.peer_address.to_string().into()),
        table_number: snapshot.table_number(),
        endpoints_version: snapshot.endpoints_version(),
        suspects_version: Some(routing.suspects.version()),
        evacuations_version: Some(snapshot.evacuations.version),
        accepts_patches: Some(routing.accepts_patches()),
        accepts_unconfirmed: Some(true),
        wait_ms: millis(wait),
    }
}

/// The first answer of the queried instances.
struct Answered {
    address: Address,
    update: RoutesUpdate,
    queried_at: BootInstant,
    /// Time from the query to the answer, with suspensions.
    took: Duration,
}

/// Waits for the answer to a query; `None` once another one is wanted that is answered at once, unless this one is.
async fn until_wanted<T>(
    answer: impl Future<Output = T>,
    wait: Duration,
    routing: &RoutingState,
) -> Option<T> {
    tokio::select! {
        biased;
        answer = answer => Some(answer),
        () = routing.contact.query_wanted(), if !wait.is_zero() => None,
    }
}

/// Returns whether an answer shows that the state was current just now.
///
/// One that took longer than any call may take arrived while this process was stopped or its machine was suspended.
fn proves_current(took: Duration) -> bool {
    took <= WATCH_WAIT + CALL_MARGIN
}

/// Queries several instances concurrently, and returns the first answer, or the last failure.
async fn query_any(
    client: &Client,
    query: &WatchRoutes,
    addresses: &[Address],
) -> Result<Answered, String> {
    let queried_at = BootInstant::now();
    let queries = addresses.iter().map(|address| async move {
        let answered = client.call(address, WATCH_ROUTES_PATH, query, WATCH_WAIT + CALL_MARGIN);
        (address.clone(), answered.await)
    });
    let mut queries: FuturesUnordered<_> = queries.collect();
    let mut last = "no control instance is known".to_owned();
    while let Some((address, answered)) = queries.next().await {
        match answered {
            Ok(update) => {
                return Ok(Answered {
                    address,
                    update,
                    queried_at,
                    took: queried_at.elapsed(),
                });
            }
            Err(cause) => last = format!("{address}: {cause}"),
        }
    }
    Err(last)
}
