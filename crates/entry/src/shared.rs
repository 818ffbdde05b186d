//! State shared by all requests of an entry.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hinge_link::Client;
use hinge_outcome::RetryBudgets;
use hinge_telemetry::readiness::{Readiness, Reason as NotReady};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::estimates::Estimates;
use crate::metrics::Metrics;
use crate::selection::PoolSelectors;
use crate::settings::EntrySettings;
use crate::teams::Teams;
use hinge_member::Member;

/// State shared by all requests of an entry; no lock in it is taken while an answer streams.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the entry.
    pub settings: EntrySettings,
    /// The entry's view of the fleet: configuration and members.
    pub member: Member,
    /// Client for calls to other processes.
    pub client: Client,
    /// Metrics.
    pub metrics: Metrics,
    /// Readiness of the process.
    pub readiness: Arc<Readiness>,
    /// Queue state of the teams.
    pub teams: Arc<Teams>,
    /// Sidecar selectors of the pools.
    pub pools: PoolSelectors,
    /// Cost estimators of the pools.
    pub estimates: Estimates,
    /// Start of the entry, to which times are relative.
    pub started: Instant,
    /// Retry budgets; the lock is held briefly at the start of a request and before a retry, and never across an await.
    pub budgets: Mutex<RetryBudgets>,
    is_leaving: AtomicBool,
    open: AtomicU64,
    request_closed: Notify,
}

impl Shared {
    /// Creates the shared state.
    #[must_use]
    pub fn new(
        settings: EntrySettings,
        member: Member,
        client: Client,
        metrics: Metrics,
        readiness: Arc<Readiness>,
    ) -> Self {
        let teams = Teams::new(settings.max_waiting_requests, settings.max_waiting_bytes);
        Self {
            budgets: Mutex::new(RetryBudgets::new(settings.retry)),
            teams: Arc::new(teams),
            pools: PoolSelectors::new(member.instance()),
            estimates: Estimates::default(),
            settings,
            member,
            client,
            metrics,
            readiness,
            started: Instant::now(),
            is_leaving: AtomicBool::new(false),
            open: AtomicU64::new(0),
            request_closed: Notify::new(),
        }
    }

    /// Updates the readiness, and returns whether the configuration is current.
    pub fn update_readiness(&self) -> bool {
        let is_current = self.member.is_current();
        self.readiness.update(NotReady::NoConfig, !is_current);
        is_current
    }

    /// Returns whether the entry is in a planned stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn begin_drain(&self) {
        self.is_leaving.store(true, Ordering::Release);
        self.readiness.set(NotReady::Leaving);
        self.member.set_leaving();
    }

    /// Returns the number of requests that have not ended.
    #[must_use]
    pub fn open_requests(&self) -> u64 {
        self.open.load(Ordering::Acquire)
    }

    /// Waits until no request is open.
    pub async fn wait_until_idle(&self) {
        loop {
            let next = self.request_closed.notified();
            if self.open_requests() == 0 {
                return;
            }
            next.await;
        }
    }

    /// Returns the time since the start of the entry.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// A guard that counts one open request until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    shared: Arc<Shared>,
}

impl OpenRequest {
    /// Counts a request as open.
    #[must_use]
    pub fn begin(shared: &Arc<Shared>) -> Self {
        shared.open.fetch_add(1, Ordering::AcqRel);
        shared.metrics.open.inc();
        Self {
            shared: Arc::clone(shared),
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::AcqRel);
        self.shared.metrics.open.dec();
        self.shared.request_closed.notify_waiters();
    }
}
