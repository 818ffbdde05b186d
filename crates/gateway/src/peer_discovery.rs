//! Discovers the other gateways of the data centre and some of others, and announces this one to them.
//!
//! Each gateway registers with one control instance after the other, so that any two find each other through some of them without
//! any state in the replicated log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_control::MEET_GATEWAYS_PATH;
use hinge_link::Client;
use hinge_schema::routing::{MeetGateways, NearbyGateways};
use hinge_telemetry::debug;
use hinge_telemetry::log::Component;
use tokio::time::sleep;

use crate::gateway::Shared;

/// Interval between queries until each control instance has been queried once, and afterwards. Until then a gateway may refuse
/// streams that began elsewhere.
const FIRST_INTERVAL: Duration = Duration::from_millis(100);
const LATER_INTERVAL: Duration = Duration::from_secs(5);

/// Number of rounds of queries after which this gateway knows the others from control instances alone.
const ROUNDS_WITH_PEERS: usize = 4;

/// Timeout of a query, after which the next instance is queried.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Queries control instances in turn until the task is aborted.
pub(crate) async fn run(client: Client, query: MeetGateways, own: SocketAddr, shared: Arc<Shared>) {
    let from = rand::random::<u32>() as usize;
    let mut queried = 0;
    loop {
        let known = shared.routing.known_control.load_full();
        let is_first_round = queried < known.len().max(1);
        sleep(if is_first_round {
            FIRST_INTERVAL
        } else {
            LATER_INTERVAL
        })
        .await;
        let known = shared.routing.known_control.load_full();
        let Some(address) = known.get((from + queried) % known.len().max(1)) else {
            continue;
        };
        queried += 1;
        let called = client.call(address, MEET_GATEWAYS_PATH, &query, QUERY_TIMEOUT);
        let answered: Result<NearbyGateways, _> = called.await;
        match answered {
            Ok(nearby) => {
                let addresses = nearby.addresses.iter();
                let addresses: Vec<SocketAddr> =
                    addresses.filter_map(|text| text.parse().ok()).collect();
                shared.handoffs.set_peers(&addresses);
                if let Some(count) = nearby.gateway_count {
                    shared.gateway_count.record(count);
                }
                shared.streams.add_peers(&nearby.peers, &nearby.far_peers);
                if queried <= known.len() * ROUNDS_WITH_PEERS {
                    let asked = shared.streams.ask_for_peers(&client, &query.instance, own);
                    asked.await;
                }
            }
            Err(cause) => debug!(
                Component::Gateway,
                "A control instance did not return the gateways of this data centre.",
                address = address,
                cause = cause
            ),
        }
    }
}
