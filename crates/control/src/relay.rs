//! Opens, runs and stops a relay.
//!
//! A relay watches control once for its whole data centre and serves the result to the processes there. Upstream it
//! aggregates: in each interval it sends one batch of announcements, and one report of service sums per pool. While
//! control is unreachable, the relay keeps the downstream leases and serves its current configuration, whose version
//! never decreases.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use hinge_clock::BootInstant;
use hinge_config::current::{Applied, CurrentConfig};
use hinge_link::{ClusterKey, Limits, Server, ServerHandle};
use hinge_schema::messages::{Announce, AnnouncedBatch, Role, ServiceTotals, Update, Watch};
use hinge_state::roster::Adopted;
use hinge_telemetry::log::Component;
use hinge_telemetry::{error, warn};
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};
use viz::Router;

use crate::downstream::Downstream;
use crate::open::OpenError;
use crate::peer_calls::{ANNOUNCES_PATH, SUMS_PATH, WATCH_PATH};
use crate::peer_client::{Dial, Direct, PeerClient};
use crate::relay_calls;
use crate::route::StateCell;
use crate::settings::RelaySettings;

/// Timeout of a call to control; after it the next instance is tried.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest duration of one watch at control.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Delay before control is called again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Delay in which downstream changes are collected into one batch for control.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// The state that the calls and tasks of a relay share.
#[derive(Debug)]
pub(crate) struct RelayCore {
    pub(crate) settings: RelaySettings,
    pub(crate) held: CurrentConfig,
    pub(crate) published: watch::Sender<u64>,
    pub(crate) incarnation: u64,
    /// Wakes the task that sends announcements to control.
    pub(crate) has_changes: Notify,
    pub(crate) client: PeerClient,
    /// Index of the control instance that answered last.
    upstream: AtomicUsize,
    downstream: Mutex<Downstream>,
    started_at: BootInstant,
}

impl RelayCore {
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub(crate) fn downstream(&self) -> MutexGuard<'_, Downstream> {
        self.downstream
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn publish(&self) {
        self.published.send_modify(|count| *count += 1);
    }

    /// Calls the control instance that answered last, and switches to the next one on failure.
    pub(crate) async fn call_control<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, StatusCode> {
        let control = &self.settings.control;
        let position = self.upstream.load(Ordering::Relaxed);
        let Some(address) = control.get(position % control.len().max(1)) else {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        };
        let result = self.client.call(address, path, message, timeout).await;
        result.map_err(|_no_answer| {
            // When several calls fail together, only the first one switches to the next instance.
            let next = position.wrapping_add(1);
            let _switched_already = self.upstream.compare_exchange(
                position,
                next,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
            StatusCode::SERVICE_UNAVAILABLE
        })
    }
}

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    core: Arc<RelayCore>,
    server: ServerHandle,
    tasks: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Opens a relay that connects directly to every address.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn open(settings: RelaySettings, key: ClusterKey) -> Result<Self, OpenError> {
        Self::open_with(settings, key, Arc::new(Direct)).await
    }

    /// Opens a relay that resolves addresses with the given dialler.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn open_with(
        settings: RelaySettings,
        key: ClusterKey,
        dial: Arc<dyn Dial>,
    ) -> Result<Self, OpenError> {
        let state_cell: StateCell<RelayCore> = Arc::new(OnceLock::new());
        let router = relay_calls::add(Router::new(), &key, &state_cell);
        let server = Server::bind(&settings.listen, router, Limits::default())
            .await
            .map_err(OpenError::Bind)?;
        let (published, _) = watch::channel(0);
        let core = Arc::new(RelayCore {
            downstream: Mutex::new(Downstream::new(settings.member_rules)),
            settings,
            held: CurrentConfig::empty(),
            published,
            incarnation: crate::core::unix_now_ms(),
            has_changes: Notify::new(),
            client: PeerClient::new(key, dial),
            upstream: AtomicUsize::new(0),
            started_at: BootInstant::now(),
        });
        let _first_and_only = state_cell.set(Arc::clone(&core));
        let bound = || server.local_address().to_string().into_boxed_str();
        let address = core.settings.advertise.clone().unwrap_or_else(bound);
        let tasks = vec![
            tokio::spawn(follow(Arc::clone(&core))),
            tokio::spawn(announce_members(Arc::clone(&core), address)),
            tokio::spawn(report_sums(Arc::clone(&core))),
        ];
        Ok(Self {
            core,
            server,
            tasks,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Returns the version of the current configuration, or 0 before the first one arrives.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.core.held.version()
    }

    /// Returns whether the relay has a configuration, so that downstream processes can start.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config_version() > 0
    }

    /// Returns the number of processes that hold a lease from this relay.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.core.downstream().len()
    }

    /// Stops the relay; open calls may complete until the deadline. Returns whether all did.
    pub async fn stop(self, deadline: Duration) -> bool {
        for task in &self.tasks {
            task.abort();
        }
        self.server.stop(deadline).await
    }
}

/// Follows the configuration and the member list of control.
async fn follow(core: Arc<RelayCore>) {
    let mut config_version = 0;
    let mut has_all_members = true;
    loop {
        let watch_request = watch_request(&core, config_version, has_all_members);
        let result = core
            .call_control::<_, Update>(WATCH_PATH, &watch_request, WATCH_WAIT + CALL_TIMEOUT)
            .await;
        let Ok(update) = result else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        if let Some(delta) = &update.config {
            config_version = learn_config(&core, delta);
        }
        if let Some(delta) = &update.members {
            has_all_members = core.downstream().roster.adopt(delta) != Adopted::NeedsFull;
        }
        core.publish();
    }
}

fn watch_request(core: &RelayCore, config_version: u64, has_all_members: bool) -> Watch {
    let downstream = core.downstream();
    Watch {
        instance: core.settings.instance.clone(),
        config_version,
        members_epoch: downstream.roster.epoch(),
        members_version: if has_all_members {
            downstream.roster.version()
        } else {
            0
        },
        wait_ms: u64::try_from(WATCH_WAIT.as_millis()).unwrap_or(u64::MAX),
        pools: Vec::new(),
    }
}

/// Applies a configuration delta, and returns the version to request changes from next.
fn learn_config(core: &RelayCore, delta: &hinge_schema::messages::ConfigDelta) -> u64 {
    match core.held.apply(delta) {
        Applied::Advanced(version) => version,
        Applied::Ignored => core.held.version(),
        Applied::NeedsFull => 0,
        Applied::Invalid(problems) => {
            let first = problems.first().map(hinge_config::describe);
            error!(
                Component::Relay,
                "The configuration from control is not valid for this version; keeping the last valid one.",
                version = delta.version,
                problem = first.unwrap_or_default(),
            );
            // Requesting the same version again would loop; a later one may be valid.
            delta.version
        }
    }
}

/// Sends downstream announcements to control: changes promptly, renewals at each interval.
async fn announce_members(core: Arc<RelayCore>, address: Box<str>) {
    let mut ticks = interval(core.settings.report_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_control_reachable = true;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.has_changes.notified() => sleep(BATCH_DELAY).await,
        }
        let now = core.now();
        let batch = {
            let mut downstream = core.downstream();
            downstream.announce(now, own_announcement(&core, &address));
            downstream.batch(now, &core.settings.instance)
        };
        // An empty batch is sent as well, since its reply shows whether another instance has become the leader.
        let result = core
            .call_control::<_, AnnouncedBatch>(ANNOUNCES_PATH, &batch, CALL_TIMEOUT)
            .await;
        if let Ok(reply) = &result
            && core.downstream().apply_reply(now, &batch, reply)
        {
            core.has_changes.notify_one();
        }
        if is_control_reachable && result.is_err() {
            warn!(
                Component::Relay,
                "Control can't be reached; serving the last known state.",
                version = core.held.version()
            );
        }
        is_control_reachable = result.is_ok();
    }
}

fn own_announcement(core: &RelayCore, address: &str) -> Announce {
    Announce {
        instance: core.settings.instance.clone(),
        incarnation: core.incarnation,
        role: Role::Relay,
        data_center: core.settings.data_center.clone(),
        peer_address: address.into(),
        pool: Box::default(),
        slots: 0,
        kv_tokens: 0,
        model_version: Box::default(),
        config_version: core.held.version(),
        highest_fence: 0,
        leaving: false,
        running: None,
        ejected: None,
        lease_ms: u64::MAX,
    }
}

/// Reports the service sums of each pool, aggregated over the data centre, and applies the returned totals.
async fn report_sums(core: Arc<RelayCore>) {
    let mut ticks = interval(core.settings.report_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let reports = core.downstream().reports();
        for report in reports {
            let result = core
                .call_control::<_, ServiceTotals>(SUMS_PATH, &report, CALL_TIMEOUT)
                .await;
            // The next report includes what a lost one contained.
            if let Ok(reply) = result
                && reply.incarnation == core.incarnation
            {
                core.downstream().learn_totals(core.now(), &reply);
            }
        }
    }
}
