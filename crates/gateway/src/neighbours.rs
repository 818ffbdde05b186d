//! Fetches updates from other gateways while no control instance answers, and serves them to others.
//!
//! When a network partition splits control, a gateway may reach only instances without a leader, or none at all. Most other gateways
//! reach both sides and have every newer table within a second. Their state was committed, and an older version is never applied,
//! so an update can be accepted from any of them.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use hinge_link::{Client, ClusterKey, unary};
use hinge_schema::routing::{RoutesUpdate, WatchRoutes};
use hinge_telemetry::info;
use hinge_telemetry::log::Part;
use hinge_telemetry::readiness::Readiness;
use http::StatusCode;
use tokio::time::Instant;
use viz::{IntoResponse, Request, Router};

use crate::fleet::Held;

#[cfg(test)]
mod tests;

/// Path on which a gateway serves its newer state.
const NEWER_PATH: &str = "/v1/gateways/newer";

/// Time without control after which other gateways are queried. An election takes about a second, during which nothing is committed
/// that they could know.
const ASK_AFTER: Duration = Duration::from_secs(1);

/// Minimum interval between queries, a fraction of the seconds within which a change must take effect.
const ASK_EVERY: Duration = Duration::from_millis(300);

/// Timeout of a query, which takes a round trip and the transfer of a table.
const WAIT: Duration = Duration::from_millis(300);

/// The other gateways that can be queried for updates.
#[derive(Debug)]
pub(crate) struct Neighbours {
    addresses: Vec<Box<str>>,
    asked_at: Instant,
}

impl Neighbours {
    /// Creates an empty set.
    pub(crate) fn new() -> Self {
        Self {
            addresses: Vec::new(),
            asked_at: Instant::now(),
        }
    }

    /// Replaces the addresses with those that control listed last; an empty list changes nothing.
    ///
    /// A control instance that has just started, or that no other gateway follows, lists none. The earlier addresses may still be
    /// reachable, and without them a gateway that loses that instance as well would receive no updates.
    pub(crate) fn named(&mut self, addresses: Vec<Box<str>>) {
        if !addresses.is_empty() {
            self.addresses = addresses;
        }
    }

    /// Queries the other gateways and applies their updates, if control has been unreachable for long enough.
    pub(crate) async fn learn(&mut self, client: &Client, held: &Held, question: &WatchRoutes) {
        let is_due = held.age() >= ASK_AFTER && self.asked_at.elapsed() >= ASK_EVERY;
        if !is_due {
            return;
        }
        self.asked_at = Instant::now();
        let asked = self.addresses.iter().map(|address| async move {
            let asked = client.call(address, NEWER_PATH, question, WAIT);
            // A gateway that does not answer is queried again in the next round.
            let update: Option<RoutesUpdate> = asked.await.ok();
            (address, update)
        });
        for (address, update) in join_all(asked).await {
            let Some(update) = update.filter(has_news) else {
                continue;
            };
            info!(
                Part::Gateway,
                "Another gateway tells of changes.",
                address = address,
                without_ms = held.age().as_millis(),
                table = update.table.as_ref().map_or(0, |table| table.number),
                endpoints = update.endpoints.as_ref().map_or(0, |list| list.version),
                suspects = update.suspects.as_ref().map_or(0, |list| list.version)
            );
            held.take_in(update);
        }
    }
}

fn has_news(update: &RoutesUpdate) -> bool {
    update.table.is_some() || update.endpoints.is_some() || update.suspects.is_some()
}

/// Returns the routes for the readiness check and for other gateways' queries.
pub(crate) fn routes(readiness: Arc<Readiness>, key: ClusterKey, held: Arc<Held>) -> Router {
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
        let (key, held) = (key.clone(), Arc::clone(&held));
        async move {
            let answer = async |question: WatchRoutes| Ok(held.newer_than(&question));
            unary(&key, request, answer).await
        }
    };
    Router::new()
        .post(NEWER_PATH, newer)
        .get("/", ready.clone())
        .get("/*", ready)
}
