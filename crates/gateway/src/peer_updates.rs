//! Fetches updates from other gateways while no control instance answers, and serves them to others.
//!
//! When a network partition splits control, a gateway may reach only instances without a leader, or none at all. Most other
//! gateways reach both sides and have every newer table within a second. Their state was committed, and an older version is
//! never applied, so an update can be accepted from any of them.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use hinge_link::{Client, ClusterKey, serve_call};
use hinge_schema::routing::{RoutesUpdate, WatchRoutes};
use hinge_telemetry::info;
use hinge_telemetry::log::Component;
use hinge_telemetry::readiness::Readiness;
use http::StatusCode;
use tokio::time::Instant;
use viz::{IntoResponse, Request, Router};

use crate::routing_state::RoutingState;

#[cfg(test)]
mod tests;

/// Path on which a gateway serves its newer state.
const NEWER_PATH: &str = "/v1/gateways/newer";

/// Time without control after which other gateways are queried. An election takes about a second, during which nothing is
/// committed that they could know.
const QUERY_AFTER: Duration = Duration::from_secs(1);

/// Minimum interval between queries, a fraction of the seconds within which a change must take effect.
const QUERY_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of a query, which takes a round trip and the transfer of a table.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// The other gateways that can be queried for updates.
#[derive(Debug)]
pub(crate) struct PeerUpdates {
    addresses: Vec<Box<str>>,
    queried_at: Instant,
}

impl PeerUpdates {
    /// Creates an empty set.
    pub(crate) fn new() -> Self {
        Self {
            addresses: Vec::new(),
            queried_at: Instant::now(),
        }
    }

    /// Replaces the addresses with those that control listed last; an empty list changes nothing.
    ///
    /// A control instance that has just started, or that no other gateway follows, lists none. The earlier addresses may still be
    /// reachable, and without them a gateway that loses that instance as well would receive no updates.
    pub(crate) fn set_addresses(&mut self, addresses: Vec<Box<str>>) {
        if !addresses.is_empty() {
            self.addresses = addresses;
        }
    }

    /// Queries the other gateways and applies their updates, if control has been unreachable for long enough.
    pub(crate) async fn fetch(
        &mut self,
        client: &Client,
        routing: &RoutingState,
        query: &WatchRoutes,
    ) {
        let is_due =
            routing.contact.age() >= QUERY_AFTER && self.queried_at.elapsed() >= QUERY_INTERVAL;
        if !is_due {
            return;
        }
        self.queried_at = Instant::now();
        let queries = self.addresses.iter().map(|address| async move {
            let call = client.call(address, NEWER_PATH, query, QUERY_TIMEOUT);
            // A gateway that does not answer is queried again in the next round.
            let update: Option<RoutesUpdate> = call.await.ok();
            (address, update)
        });
        for (address, update) in join_all(queries).await {
            let Some(update) = update.filter(RoutesUpdate::has_changes) else {
                continue;
            };
            info!(
                Component::Gateway,
                "Another gateway tells of changes.",
                address = address,
                without_ms = routing.contact.age().as_millis(),
                table = update.table.as_ref().map_or(0, |table| table.number),
                table_patches = update.table_patches.len(),
                endpoints = update.endpoints.as_ref().map_or(0, |list| list.version),
                suspects = update.suspects.as_ref().map_or(0, |list| list.version),
                evacuations = update.evacuations.as_ref().map_or(0, |list| list.version)
            );
            routing.apply(update);
        }
    }
}

/// Returns the routes for the readiness check and for other gateways' queries.
pub(crate) fn routes(
    readiness: Arc<Readiness>,
    key: ClusterKey,
    routing: Arc<RoutingState>,
) -> Router {
    let ready = move |_request: Request| {
        let is_ready = readiness.is_ready();
        async move {
            let status = if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            viz::Result::Ok(status.into_response())
        }
    };
    let newer = move |request: Request| {
        let (key, routing) = (key.clone(), Arc::clone(&routing));
        async move {
            let answer = async |query: WatchRoutes| Ok(routing.changes_since(&query));
            serve_call(&key, request, answer).await
        }
    };
    Router::new()
        .post(NEWER_PATH, newer)
        .get("/", ready.clone())
        .get("/*", ready)
}
