//! Follows control for routes and endpoints.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hinge_control::WATCH_ROUTES_PATH;
use hinge_link::Client;
use hinge_routing::{Address, Targets};
use hinge_schema::routing::{RoutesUpdate, WatchRoutes};
use hinge_telemetry::log::Part;
use hinge_telemetry::readiness::{Readiness, Reason};
use hinge_telemetry::{info, warn};
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::fleet::Held;

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
    seeds: watch::Receiver<Vec<Box<str>>>,
    held: Arc<Held>,
    readiness: Arc<Readiness>,
    table_age_ms: Gauge,
) {
    let mut targets = Targets::new(&seeds.borrow(), rand::random::<u32>() as usize);
    let mut told_at = Instant::now();
    loop {
        let was_followed = targets.is_followed();
        let asked = ask_any(&client, &instance, &held, &targets.to_ask()).await;
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
                targets.answered(&address, &update.control, &seeds.borrow());
                let has_table = update.table.is_some() || held.current().table_number() > 0;
                learn(&held, update, &readiness);
                held.confirm();
                if !has_table {
                    sleep(RETRY).await;
                }
            }
            Err(cause) => {
                targets.failed(&seeds.borrow());
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

/// Asks some instances at once, and returns the first answer with its address, or why the last one failed.
async fn ask_any(
    client: &Client,
    instance: &str,
    held: &Held,
    addresses: &[Address],
) -> Result<(Address, RoutesUpdate), String> {
    let asked = addresses.iter().map(|address| async move {
        let answered = ask(client, instance, held, address).await;
        (address.clone(), answered)
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

async fn ask(
    client: &Client,
    instance: &str,
    held: &Held,
    address: &str,
) -> Result<RoutesUpdate, hinge_link::CallError> {
    let watch = {
        let fleet = held.current();
        WatchRoutes {
            instance: instance.into(),
            peer_address: None,
            table_number: fleet.table_number(),
            endpoints_version: fleet.endpoints_version,
            wait_ms: u64::try_from(WATCH.as_millis()).unwrap_or(u64::MAX),
        }
    };
    client
        .call(address, WATCH_ROUTES_PATH, &watch, WATCH + MARGIN)
        .await
}

fn learn(held: &Held, update: RoutesUpdate, readiness: &Readiness) {
    if let Some(table) = update.table {
        held.put_table(table);
    }
    if let Some(list) = update.endpoints {
        held.put_endpoints(list);
    }
    if held.current().table_number() > 0 {
        readiness.clear(Reason::NoConfig);
    }
}
