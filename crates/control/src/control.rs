//! Opens, runs and stops a control instance.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use hinge_link::{ClusterKey, Limits, Server, ServerHandle};
use hinge_state::Command;
use hinge_telemetry::log::Component;
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::{info, warn};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, timeout};
use viz::Router;

use crate::core::{Core, unix_now_ms};
use crate::driver::Driver;
use crate::metrics::Metrics;
use crate::open::{self, OpenError};
use crate::operators::OperatorKeys;
use crate::orders::{self, InFlightOrders};
use crate::peer_client::{Dial, Direct, PeerClient};
use crate::peers::{Peers, SenderInfo};
use crate::route::StateCell;
use crate::routing_calls::RoutingCalls;
use crate::settings::ControlSettings;
use crate::{
    evacuation_calls, follow, join, operator_calls, peer_calls, routing_calls, suspect_calls,
};

/// Tick interval of the soft state; a membership change is published at the next tick.
const TICK: Duration = Duration::from_millis(100);

/// Ticks between dispatches of orders.
const ORDER_TICKS: u64 = 5;

/// Ticks between evaluations of upgrades and planned stops: one second.
const UPGRADE_TICKS: u64 = 10;

/// Ticks between expiries of silent reporters of service sums.
const SUMS_TICKS: u64 = 10;

/// Ticks between sweeps of expired keys and answers: one minute.
const SWEEP_TICKS: u64 = 600;

/// The outcome of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOutcome {
    /// Whether every open call ended before the deadline.
    pub calls_ended: bool,
    /// Whether the log stopped cleanly before the deadline, with leadership transferred.
    pub log_ended: bool,
}

/// A running control instance.
#[derive(Debug)]
pub struct Control {
    core: Arc<Core>,
    server: ServerHandle,
    tasks: Vec<JoinHandle<()>>,
}

impl Control {
    /// Opens a control instance that connects directly to every address.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound or the data folder can't be used; the message tells the operator
    /// what to do.
    ///
    /// # Panics
    ///
    /// Panics when the opening of the log panicked, or the system gives no thread.
    pub async fn open(
        settings: ControlSettings,
        key: ClusterKey,
        operators: OperatorKeys,
        registry: &Registry,
    ) -> Result<Self, OpenError> {
        Self::open_with(settings, key, operators, registry, Arc::new(Direct)).await
    }

    /// Opens a control instance that serves additional routes on its address.
    ///
    /// `extend` adds the routes to the router; it receives the calls that change and read routes and endpoints.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Control::open`].
    ///
    /// # Panics
    ///
    /// Panics when the opening of the log panicked, or the system gives no thread.
    pub async fn open_extended(
        settings: ControlSettings,
        key: ClusterKey,
        operators: OperatorKeys,
        registry: &Registry,
        extend: impl FnOnce(Router, RoutingCalls) -> Router,
    ) -> Result<Self, OpenError> {
        Self::open_all(settings, key, operators, registry, Arc::new(Direct), extend).await
    }

    /// Opens a control instance that resolves addresses with the given dialler.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Control::open`].
    ///
    /// # Panics
    ///
    /// Panics when the opening of the log panicked, or the system gives no thread.
    pub async fn open_with(
        settings: ControlSettings,
        key: ClusterKey,
        operators: OperatorKeys,
        registry: &Registry,
        dial: Arc<dyn Dial>,
    ) -> Result<Self, OpenError> {
        Self::open_all(settings, key, operators, registry, dial, |router, _| router).await
    }

    async fn open_all(
        settings: ControlSettings,
        key: ClusterKey,
        operators: OperatorKeys,
        registry: &Registry,
        dial: Arc<dyn Dial>,
        extend: impl FnOnce(Router, RoutingCalls) -> Router,
    ) -> Result<Self, OpenError> {
        let state_cell: StateCell<Core> = Arc::new(OnceLock::new());
        let router = peer_calls::add(Router::new(), &key, &state_cell);
        let router = operator_calls::add(router, &Arc::new(operators), &state_cell);
        let router = routing_calls::add(router, &key, &state_cell);
        let router = suspect_calls::add(router, &key, &state_cell);
        let router = evacuation_calls::add(router, &key, &state_cell);
        let router = extend(router, RoutingCalls::new(&state_cell));
        let server = Server::bind(&settings.listen, router, Limits::default())
            .await
            .map_err(OpenError::Bind)?;
        let bound = || server.local_address().to_string().into_boxed_str();
        let address = settings.advertise.clone().unwrap_or_else(bound);
        let traffic = key.traffic().clone();
        let client = PeerClient::new(key, Arc::clone(&dial));
        // Opening reads and syncs the disk, which must not block the async threads.
        let for_disk = settings.clone();
        let was_member = settings.bootstrap && join::was_member(&settings, &client).await;
        let opened = tokio::task::spawn_blocking(move || open::open(&for_disk, was_member))
            .await
            .expect("opening the log doesn't panic")?;
        let runtime = Handle::current();
        let sender = SenderInfo {
            node_id: opened.node_id,
            address: address.clone(),
            diskless: settings.is_diskless(),
        };
        let peers = Peers::new(client.clone(), runtime, sender);
        let (published, _) = watch::channel(0);
        let driver =
            Driver::spawn(&settings, opened, peers, published.clone()).map_err(OpenError::Log)?;
        let core = Arc::new(Core::new(
            settings, address, client, dial, driver, published,
        ));
        let _first_and_only = state_cell.set(Arc::clone(&core));
        let metrics = Metrics::register(registry, traffic);
        let tasks = vec![
            tokio::spawn(run_ticks(Arc::clone(&core), metrics)),
            tokio::spawn(follow::run(Arc::clone(&core))),
            tokio::spawn(join::run(Arc::clone(&core))),
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

    /// Returns the incarnation of this instance in the log.
    #[must_use]
    pub fn node_id(&self) -> u64 {
        self.core.driver.node_status.borrow().node_id
    }

    /// Returns whether this instance holds the leader lease, so that no other can be the leader.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        matches!(self.core.leadership(), crate::core::Leadership::Local(_))
    }

    /// Returns whether this instance leads or knows a leader; without one it answers nothing as current.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.core.leadership() != crate::core::Leadership::Unknown
    }

    /// Returns the configuration version that is applied on this instance.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.core.driver.view.load().folder.version()
    }

    /// Waits until the log fails, and returns the cause; the process must then stop, since no further write is durable.
    pub async fn failed(&self) -> Box<str> {
        let mut node_status = self.core.driver.node_status.clone();
        let failed = node_status
            .wait_for(|node_status| node_status.failure.is_some())
            .await;
        let failure = failed
            .ok()
            .and_then(|node_status| node_status.failure.clone());
        match failure {
            Some(failure) => failure,
            // A log that stopped cleanly never fails.
            None => std::future::pending().await,
        }
    }

    /// Transfers leadership, then stops; open calls may complete until the deadline.
    pub async fn stop(self, deadline: Duration) -> StopOutcome {
        self.core.driver.stop();
        let mut node_status = self.core.driver.node_status.clone();
        let ended = node_status.wait_for(|node_status| node_status.has_stopped);
        let log_ended = timeout(deadline, ended).await.is_ok();
        for task in &self.tasks {
            task.abort();
        }
        let calls_ended = self.server.stop(deadline).await;
        StopOutcome {
            calls_ended,
            log_ended,
        }
    }
}

/// Maintains the soft state and, on the leader, runs the periodic tasks.
async fn run_ticks(core: Arc<Core>, mut metrics: Metrics) {
    let mut node_status = core.driver.node_status.clone();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let in_flight = InFlightOrders::default();
    let mut count = 0_u64;
    let mut was_stalled = false;
    loop {
        tokio::select! {
            _ = ticks.tick() => count += 1,
            changed = node_status.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        let has_changes = sync_soft_state(&core);
        let is_stalled = core.driver.is_stalled();
        if is_stalled != was_stalled {
            was_stalled = is_stalled;
            log_stall(&core, is_stalled);
        }
        if has_changes || is_stalled {
            core.publish();
        }
        if count.is_multiple_of(SUMS_TICKS) {
            metrics.update(&core);
        }
        if core.soft().members.is_some() {
            run_periodic_tasks(&core, &in_flight, count);
        }
    }
}

/// Logs that the log has stalled, during which watches are answered 503, or that it has recovered.
fn log_stall(core: &Core, is_stalled: bool) {
    if is_stalled {
        let age_ms = core.driver.age().as_millis();
        warn!(Component::Control, "The log has stalled.", age_ms = age_ms);
    } else {
        info!(Component::Control, "The log goes on.");
    }
}

/// Updates the soft state to the node's role and ticks the members; returns whether there are changes for watchers.
fn sync_soft_state(core: &Core) -> bool {
    let (term, is_leader, may_answer) = {
        let node_status = core.driver.node_status.borrow();
        (
            node_status.term,
            node_status.is_leader,
            node_status.may_answer,
        )
    };
    let now = core.now();
    let view = core.driver.view.load();
    let mut soft = core.soft();
    if !is_leader && soft.members.is_some() {
        soft.end_term();
    }
    if may_answer && soft.term != term {
        soft.begin_term(term, now, core.settings.member_rules);
    }
    soft.set_drained(now, &view.drains);
    soft.members
        .as_mut()
        .is_some_and(|members| members.tick(now))
}

fn run_periodic_tasks(core: &Arc<Core>, in_flight: &InFlightOrders, count: u64) {
    if count.is_multiple_of(ORDER_TICKS) {
        orders::dispatch(core, in_flight);
    }
    if count.is_multiple_of(UPGRADE_TICKS) {
        core.planner.run(core);
    }
    if count.is_multiple_of(SUMS_TICKS) {
        routing_calls::drop_silent(core);
        let now = core.now();
        for totals in core.soft().totals.values_mut() {
            totals.expire(now);
        }
    }
    if count.is_multiple_of(SWEEP_TICKS) {
        let core = Arc::clone(core);
        let now_ms = unix_now_ms();
        tokio::spawn(async move { core.propose(Command::Sweep { now_ms }).await });
    }
}
