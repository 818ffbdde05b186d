//! Follows control for routes and endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hinge_control::WATCH_ROUTES_PATH;
use hinge_link::Client;
use hinge_routing::{Address, ControlInstances};
use hinge_schema::routing::{RoutesUpdate, WatchRoutes};
use hinge_telemetry::log::Part;
use hinge_telemetry::readiness::{Readiness, Reason};
use hinge_telemetry::{info, warn};
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::fleet::Held;
use crate::neighbours::Neighbours;

/// Longest wait of one watch. An answer without changes shows that the instance still knows a leader, so the wait bounds
/// how long a gateway follows one that has lost touch.
const WATCH: Duration = Duration::from_millis(600);

/// What a call may take beyond the wait of its watch.
const MARGIN: Duration = Duration::from_millis(300);

/// Wait after a failure at every instance that was asked; an election takes a second or two.
const RETRY: Duration = Duration::from_millis(100);

/// Least time between two lines about control, while no instance answers.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// Follows control until the task is aborted.
pub(crate) async fn run(
    client: Client,
    instance: Box<str>,
    peer_address: SocketAddr,
    seeds: watch::Receiver<Vec<Box<str>>>,
    held: Arc<Held>,
    readiness: Arc<Readiness>,
    table_age_ms: Gauge,
) {
    let mut targets = ControlInstances::new(&seeds.borrow(), rand::random::<u32>() as usize);
    let mut neighbours = Neighbours::new();
    let mut told_at = Instant::now();
    loop {
        let was_followed = targets.is_following();
        let question = question(&instance, &peer_address, &held);
        let to_ask = targets.to_query();
        held.control.store(Arc::new(to_ask.to_vec()));
        let asked = ask_any(&client, &question, &to_ask);
        let learned = neighbours.learn(&client, &held, &question);
        let (asked, ()) = futures::join!(asked, learned);
        let without = held.age();
        table_age_ms.set(i64::try_from(without.as_millis()).unwrap_or(i64::MAX));
        match asked {
            Ok((address, update)) => {
                if !was_followed {
                    info!(
                        Part::Gateway,
                        "Following control.",
                        address = address,
                        without_ms = without.as_millis()
                    );
                }
                targets.record_answer(&address, &update.control, &seeds.borrow());
                held.known_control.store(Arc::new(targets.known().to_vec()));
                neighbours.named(update.gateways.clone());
                let has_table = held.take_in(update);
                held.confirm();
                if has_table {
                    readiness.clear(Reason::NoConfig);
                } else {
                    sleep(RETRY).await;
                }
            }
            Err(cause) => {
                targets.record_failure(&seeds.borrow());
                if was_followed || told_at.elapsed() >= TELL_EVERY {
                    told_at = Instant::now();
                    warn!(
                        Part::Gateway,
                        if was_followed {
                            "Lost control."
                        } else {
                            "Still without control."
                        },
                        cause = cause,
                        without_ms = without.as_millis(),
                        table = held.current().table_number()
                    );
                }
                if !was_followed {
                    sleep(RETRY).await;
                }
            }
        }
    }
}

/// Returns the question for what is newer than what is held.
fn question(instance: &str, peer_address: &SocketAddr, held: &Held) -> WatchRoutes {
    let fleet = held.current();
    WatchRoutes {
        instance: instance.into(),
        peer_address: Some(peer_address.to_string().into()),
        table_number: fleet.table_number(),
        endpoints_version: fleet.endpoints_version(),
        suspects_version: Some(held.suspects.version()),
        wait_ms: u64::try_from(WATCH.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Asks some instances at once, and returns the first answer with its address, or why the last one failed.
async fn ask_any(
    client: &Client,
    question: &WatchRoutes,
    addresses: &[Address],
) -> Result<(Address, RoutesUpdate), String> {
    let asked = addresses.iter().map(|address| async move {
        let answered = client.call(address, WATCH_ROUTES_PATH, question, WATCH + MARGIN);
        (address.clone(), answered.await)
    });
    let mut asked: FuturesUnordered<_> = asked.collect();
    let mut last = "no instance is known".to_owned();
    while let Some((address, answered)) = asked.next().await {
        match answered {
            Ok(update) => return Ok((address, update)),
            Err(cause) => last = format!("{address}: {cause}"),
        }
    }
    Err(last)
}
