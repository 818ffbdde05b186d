//! Learns of changes from other gateways while no control instance answers, and tells them.
//!
//! The load pattern: control is cut in two, and a gateway reaches only instances without a leader, or none at all. Most other
//! gateways reach both sides and have every newer table within a second. What they have was accepted, and nothing here steps
//! back, so it can be taken from any of them.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use hinge_link::{Client, ClusterKey, serve_call};
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

/// Path on which a gateway tells what it has.
const NEWER_PATH: &str = "/v1/gateways/newer";

/// Time without control after which other gateways are asked. An election takes about a second, in which nothing is accepted
/// that they could tell.
const ASK_AFTER: Duration = Duration::from_secs(1);

/// Time between two questions, a part of the seconds in which a change is to be in force.
const ASK_EVERY: Duration = Duration::from_millis(300);

/// Longest wait for an answer, which is a round trip and a table.
const WAIT: Duration = Duration::from_millis(300);

/// Holds which other gateways may be asked.
#[derive(Debug)]
pub(crate) struct Neighbours {
    addresses: Vec<Box<str>>,
    asked_at: Instant,
}

impl Neighbours {
    /// Starts without any.
    pub(crate) fn new() -> Self {
        Self {
            addresses: Vec::new(),
            asked_at: Instant::now(),
        }
    }

    /// Takes in the addresses that control named last.
    ///
    /// An instance that has just started, or that nobody else follows, names none. Those that were named before may be reached
    /// all the same, and a gateway without them would learn of nothing once it loses that instance as well.
    pub(crate) fn named(&mut self, addresses: Vec<Box<str>>) {
        if !addresses.is_empty() {
            self.addresses = addresses;
        }
    }

    /// Asks the other gateways for what is newer, if control has been silent for long enough, and takes it in.
    pub(crate) async fn learn(&mut self, client: &Client, held: &Held, question: &WatchRoutes) {
        let is_due = held.age() >= ASK_AFTER && self.asked_at.elapsed() >= ASK_EVERY;
        if !is_due {
            return;
        }
        self.asked_at = Instant::now();
        let asked = self.addresses.iter().map(|address| async move {
            let asked = client.call(address, NEWER_PATH, question, WAIT);
            // One that does not answer is asked again with the next question.
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

/// Returns the routes on which a gateway tells whether new connections are welcome, and other gateways what it has.
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
            serve_call(&key, request, answer).await
        }
    };
    Router::new()
        .post(NEWER_PATH, newer)
        .get("/", ready.clone())
        .get("/*", ready)
}
