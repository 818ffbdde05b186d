//! The entry role: accepts callers' requests, offers them to sidecars, and streams the answers back.
//!
//! A request is queued here until a sidecar grants it a slot, and is bound to the first grant. The state machine in
//! `hinge-outcome` decides what a caller is told of a request without an answer; this crate feeds it events and carries
//! out its steps.

mod answer;
mod body;
mod bound;
mod caller;
mod estimates;
mod exchange_guard;
mod headers;
mod metrics;
mod model;
mod offers;
mod peers;
mod probe;
mod refusal;
mod request;
mod run;
mod selection;
mod serve;
mod settings;
mod shared;
mod teams;
mod wire;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{Client, ClusterKey, Limits, Server, ServerHandle};
use hinge_telemetry::log::Component;
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::readiness::Readiness;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

pub use settings::EntrySettings;

use crate::metrics::Metrics;
use crate::shared::Shared;
use hinge_member::Member;

/// A running entry.
pub struct Entry {
    shared: Arc<Shared>,
    callers: ServerHandle,
    peers: ServerHandle,
    tasks: [AbortHandle; 2],
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("callers_address", &self.callers_address())
            .field("peer_address", &self.peer_address())
            .finish_non_exhaustive()
    }
}

/// Maximum number of open connections from other processes of the fleet, which keep one each; callers' connections take the rest of a
/// machine's descriptors.
const PEER_CONNECTIONS: u32 = 1_200;

/// The result of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainReport {
    /// Requests that were open at the deadline and are cut off when the process exits; 0 for a clean stop.
    pub cut_requests: u64,
    /// Duration of the stop.
    pub took: Duration,
}

impl DrainReport {
    /// Returns whether every request ended before the deadline.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.cut_requests == 0
    }
}

impl Entry {
    /// Binds both listeners and starts to serve; requests are refused until the member's configuration is current.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when an address can't be bound.
    pub async fn bind(
        settings: EntrySettings,
        member: Member,
        client: Client,
        key: &ClusterKey,
        registry: &Registry,
        readiness: Arc<Readiness>,
    ) -> io::Result<Self> {
        let metrics = Metrics::register(registry);
        let callers_limits = Limits {
            connections: settings.max_connections,
            header_bytes: settings.max_header_bytes,
            ..Limits::default()
        };
        let peer_routes = peers::routes(key, &member);
        let peers_limits = Limits {
            connections: PEER_CONNECTIONS,
            ..Limits::default()
        };
        let peers = Server::bind(&settings.peer_listen, peer_routes, peers_limits).await?;
        let callers_listen = settings.callers_listen.clone();
        let shared = Arc::new(Shared::new(settings, member, client, metrics, readiness));
        let routes = serve::routes(&shared);
        let callers = Server::bind(&callers_listen, routes, callers_limits).await?;
        shared
            .member
            .set_peer_address(&peers.local_address().to_string());
        let tasks = [
            tokio::spawn(follow_readiness(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(probe::probe_ejected(Arc::clone(&shared))).abort_handle(),
        ];
        hinge_telemetry::info!(
            Component::Entry,
            "Listening.",
            callers = callers.local_address(),
            peers = peers.local_address(),
        );
        Ok(Self {
            shared,
            callers,
            peers,
            tasks,
        })
    }

    /// Returns the address on which callers are served.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.local_address()
    }

    /// Returns the address on which other processes of the fleet are served.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.local_address()
    }

    /// Returns the number of requests that have not ended.
    #[must_use]
    pub fn open_requests(&self) -> u64 {
        self.shared.open_requests()
    }

    /// Performs a planned stop: refuses new requests at once, and lets open ones finish until the deadline.
    pub async fn drain(self, deadline: Duration) -> DrainReport {
        let began = Instant::now();
        let until = began + deadline;
        self.shared.begin_drain();
        hinge_telemetry::info!(
            Component::Entry,
            "Draining.",
            open = self.shared.open_requests(),
        );
        let _in_time = timeout_at(until, self.shared.wait_until_idle()).await;
        for task in &self.tasks {
            task.abort();
        }
        let cut_requests = self.shared.open_requests();
        let left = until.saturating_duration_since(Instant::now());
        self.callers.stop(left).await;
        self.peers.stop(left).await;
        let took = began.elapsed();
        hinge_telemetry::info!(
            Component::Entry,
            "Drained.",
            cut = cut_requests,
            took_ms = took.as_millis(),
        );
        DrainReport { cut_requests, took }
    }
}

/// Updates the readiness on every change of the configuration, until the member is dropped.
async fn follow_readiness(shared: Arc<Shared>) {
    let mut changed = shared.member.subscribe();
    loop {
        shared.update_readiness();
        if changed.changed().await.is_err() {
            return;
        }
    }
}
