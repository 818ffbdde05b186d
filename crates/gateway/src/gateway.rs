//! Binds, runs and stops a gateway.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_clock::BootInstant;
use hinge_link::{
    Buffers, Client, ClusterKey, Drain, DrainGuard, Inbound, InboundLimits, OpenConnection, Server,
    ServerHandle, close_listener, listen,
};
use hinge_routing::{
    CachedPrefixes, ChoiceRules, DataCenters, Holders, IncarnationHash, OverloadControl,
    OverloadRules, RetryBudget, RetryBudgetRules,
};
use hinge_schema::routing::MeetGateways;
use hinge_telemetry::info;
use hinge_telemetry::log::Component;
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::readiness::{Readiness, Reason};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout};

use crate::admission::AdmissionAccess;
use crate::capacity;
use crate::connection::serve_connection;
use crate::connections::Connections;
use crate::dedicated_thread::DedicatedThread;
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::follow::{self, FollowSettings, TableGauges};
use crate::gateway_count::GatewayCount;
use crate::handoff::Handoffs;
use crate::listener::CallerListener;
use crate::metrics::Metrics;
use crate::overload;
use crate::part_trials;
use crate::peer_discovery;
use crate::peer_updates;
use crate::planned_stop::PlannedStop;
use crate::prepared_refusal;
use crate::routing_state::RoutingState;
use crate::serve::Origin;
use crate::stream_directory::{self, StreamDirectory};
use crate::suspect_reports;
use crate::suspects::Suspects;
use crate::takeover;
use crate::team_usage::TeamUsage;

#[cfg(test)]
pub(crate) mod tests;

/// Idle timeout of callers' connections while there is no route table to set it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Data centre of the instance.
    pub data_center: Box<str>,
    /// All data centres with their regions.
    pub data_centers: DataCenters,
    /// Time without word from control after which the instance takes no new connections, as far as others do.
    pub max_state_age: Duration,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address on which the load balancer checks readiness.
    pub ready_listen: SocketAddr,
    /// Addresses of control instances.
    pub control: Vec<Box<str>>,
    /// Port range for requests from other gateways, of which the first free port is bound; `None` turns handing off off.
    pub handoff_ports: Option<RangeInclusive<u16>>,
    /// Port of the admissions beside the model engines; `None` without admissions.
    pub admission_port: Option<u16>,
    /// Budget of retries for each service.
    pub retry_budget: RetryBudgetRules,
    /// Weights for choosing an endpoint.
    pub choice: ChoiceRules,
    /// Largest backlog, in prompt tokens, at which an engine still takes a request that another one refused.
    pub max_spill_tokens: u32,
    /// Whether admissions keep places for refused callers who come back.
    pub keeps_returns: bool,
    /// Limits of what callers make the gateway hold; see [`crate::capacity`].
    pub callers: InboundLimits,
    /// Length of each of the two waits for the rest of an answer that an engine no longer works on.
    pub lost_grace: Duration,
    /// Limits beyond which requests are rejected for overload.
    pub overload: OverloadRules,
}

/// The state that all requests of a gateway share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) routing: Arc<RoutingState>,
    pub(crate) metrics: Metrics,
    pub(crate) data_center: Box<str>,
    pub(crate) data_centers: DataCenters,
    pub(crate) choice: ChoiceRules,
    pub(crate) max_spill_tokens: u32,
    pub(crate) keeps_returns: bool,
    pub(crate) connections: Connections,
    /// Whether overload control refuses new connections.
    pub(crate) is_paused: watch::Sender<bool>,
    pub(crate) planned_stop: PlannedStop,
    overload: Mutex<OverloadControl>,
    retry_budget_rules: RetryBudgetRules,
    retry_budgets: Mutex<HashMap<Box<str>, RetryBudget>>,
    /// By service.
    team_usage: Mutex<HashMap<Box<str>, Arc<TeamUsage>>>,
    cached_prefixes: Mutex<CachedPrefixes>,
    pub(crate) handoffs: Handoffs,
    pub(crate) gateway_count: GatewayCount,
    pub(crate) streams: Arc<StreamDirectory>,
    began: BootInstant,
}

impl Shared {
    /// Locks and returns the overload control of this gateway.
    pub(crate) fn overload(&self) -> MutexGuard<'_, OverloadControl> {
        self.overload.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Pauses or resumes accepting connections as overload control says.
    pub(crate) fn apply_overload(&self) {
        let is_paused = self.overload().refuses_connections();
        self.is_paused.send_if_modified(|known| {
            let is_new = *known != is_paused;
            *known = is_paused;
            is_new
        });
    }

    /// Returns the recently reported usage of each team at the endpoints of a service.
    pub(crate) fn team_usage(&self, service: &str, endpoints: &[Arc<Endpoint>]) -> Arc<TeamUsage> {
        let mut team_usage = self
            .team_usage
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(fresh) = team_usage
            .get(service)
            .filter(|team_usage| team_usage.is_fresh())
        {
            return Arc::clone(fresh);
        }
        let summed = Arc::new(TeamUsage::sum(endpoints));
        team_usage.insert(service.into(), Arc::clone(&summed));
        summed
    }

    /// Counts a request to a service.
    pub(crate) fn record_request(&self, service: &str) {
        self.with_retry_budget(service, RetryBudget::record_request);
    }

    /// Returns whether the service's retry budget allows one more attempt, and counts it if so.
    pub(crate) fn try_retry(&self, service: &str) -> bool {
        self.with_retry_budget(service, RetryBudget::try_retry)
    }

    /// Returns the endpoints that probably cache the shared prompt prefix with this key, the most recent first.
    pub(crate) fn holders(&self, key: u64) -> Holders {
        self.cached_prefixes().holders(self.began.elapsed(), key)
    }

    /// Records that an endpoint caches the shared prompt prefix with this key.
    pub(crate) fn record_cached(&self, key: u64, endpoint: IncarnationHash) {
        self.cached_prefixes()
            .record(self.began.elapsed(), key, endpoint);
    }

    fn cached_prefixes(&self) -> MutexGuard<'_, CachedPrefixes> {
        self.cached_prefixes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut RetryBudget, Duration) -> T,
    ) -> T {
        let now = self.began.elapsed();
        let mut retry_budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !retry_budgets.contains_key(service) {
            retry_budgets.insert(service.into(), RetryBudget::new(self.retry_budget_rules));
        }
        let budget = retry_budgets
            .get_mut(service)
            .expect("the budget was just inserted");
        act(budget, now)
    }
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    address: SocketAddr,
    ready: ServerHandle,
    readiness: Arc<Readiness>,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    seeds: watch::Sender<Vec<Box<str>>>,
    /// Tasks that accept connections; each ends when the answers on its connections have ended.
    serving: JoinSet<()>,
    handoff_address: Option<SocketAddr>,
    lag_watch: JoinHandle<()>,
    _stream_tasks: JoinSet<()>,
    _control_thread: DedicatedThread,
}

impl Gateway {
    /// Binds the addresses, and starts to follow control and to serve.
    ///
    /// # Errors
    ///
    /// Returns the system's error when an address can't be bound.
    pub async fn bind(
        settings: GatewaySettings,
        dialect: Arc<dyn Dialect>,
        client: Client,
        key: ClusterKey,
        registry: &Registry,
        readiness: Arc<Readiness>,
    ) -> io::Result<Self> {
        readiness.set(Reason::NoConfig);
        let listener = listen(settings.listen, Buffers::CALLERS)?;
        let address = listener.local_addr()?;
        let admissions = settings.admission_port.map(|port| AdmissionAccess {
            port,
            client: client.clone(),
            lost_grace: settings.lost_grace,
        });
        let suspects = Suspects::register(registry);
        let routing = Arc::new(RoutingState::new(admissions, suspects));
        let streams = Arc::new(StreamDirectory::register(registry));
        let routes =
            peer_updates::routes(Arc::clone(&readiness), key.clone(), Arc::clone(&routing));
        let routes = stream_directory::add_routes(routes, &key, &streams);
        let ready_listen = settings.ready_listen.to_string();
        let ready_limits = capacity::ready_limits(settings.callers);
        let ready = Server::bind(&ready_listen, routes, ready_limits).await?;
        let ready_address = ready.local_address();
        let shared = Arc::new(Shared {
            dialect,
            routing: Arc::clone(&routing),
            metrics: Metrics::register(registry),
            data_center: settings.data_center.clone(),
            data_centers: settings.data_centers.clone(),
            choice: settings.choice,
            max_spill_tokens: settings.max_spill_tokens,
            keeps_returns: settings.keeps_returns,
            connections: Connections::new(Inbound::new(settings.callers)),
            is_paused: watch::Sender::new(false),
            planned_stop: PlannedStop::default(),
            overload: Mutex::new(OverloadControl::new(settings.overload)),
            retry_budget_rules: settings.retry_budget,
            retry_budgets: Mutex::default(),
            team_usage: Mutex::default(),
            cached_prefixes: Mutex::default(),
            handoffs: Handoffs::new(key.clone()),
            gateway_count: GatewayCount::default(),
            streams: Arc::clone(&streams),
            began: BootInstant::now(),
        });
        let (stop, stopped) = watch::channel(false);
        let (seeds, seed_changes) = watch::channel(settings.control.clone());
        let callers = accept_callers(listener, Arc::clone(&shared), stopped.clone());
        let mut serving = JoinSet::new();
        serving.spawn(callers);
        let stream_tasks = stream_directory::spawn(&streams, client, ready_address);
        let listener = bind_takeover(address.ip(), &settings)?;
        let mut handoff_address = None;
        if let Some(listener) = listener {
            handoff_address = Some(listener.local_addr()?);
            let takeover = takeover::run(listener, key.clone(), Arc::clone(&shared), stopped);
            serving.spawn(takeover);
        }
        let announcement = MeetGateways {
            instance: settings.instance.clone(),
            data_center: settings.data_center.clone(),
            address: handoff_address.map(|address| address.to_string().into()),
            peer_address: Some(ready_address.to_string().into()),
        };
        let lag_watch = overload::watch_lag(Arc::clone(&shared), Arc::clone(&readiness));
        let lag_watch = tokio::spawn(lag_watch);
        let following = follow_control(
            // A client of its own, because its connections are served on the dedicated thread.
            Client::new(key),
            FollowSettings {
                instance: settings.instance,
                peer_address: ready_address,
                max_state_age: settings.max_state_age,
            },
            seed_changes,
            Arc::clone(&shared),
            Arc::clone(&readiness),
            announcement,
        );
        let control_thread = DedicatedThread::spawn("follow-control", following)?;
        info!(
            Component::Gateway,
            "Listening.",
            address = address,
            ready = ready_address
        );
        Ok(Self {
            address,
            ready,
            readiness,
            shared,
            stop,
            seeds,
            serving,
            handoff_address,
            lag_watch,
            _stream_tasks: stream_tasks,
            _control_thread: control_thread,
        })
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the sender for changed addresses of control instances.
    #[must_use]
    pub fn control_seeds(&self) -> watch::Sender<Vec<Box<str>>> {
        self.seeds.clone()
    }

    /// Returns the address of the readiness check.
    #[must_use]
    pub fn ready_address(&self) -> SocketAddr {
        self.ready.local_address()
    }

    /// Returns the address on which other gateways hand requests off, if one is bound.
    #[must_use]
    pub fn handoff_address(&self) -> Option<SocketAddr> {
        self.handoff_address
    }

    /// Drains the gateway, and returns whether every request ended before the deadline.
    ///
    /// New connections are accepted for `rotation` longer, because the load balancer notices a lost readiness late; then open
    /// connections close after the answer in progress. A request without an answer shortly before the deadline is told that its
    /// outcome is unknown.
    pub async fn drain(mut self, rotation: Duration, deadline: Duration) -> bool {
        self.readiness.set(Reason::Leaving);
        let ends_at = Instant::now() + deadline;
        self.shared.planned_stop.begin(ends_at);
        self.shared.streams.leave();
        sleep(rotation).await;
        self.stop.send_replace(true);
        let has_ended = self.shared.planned_stop.finish(&mut self.serving).await;
        let left = ends_at.saturating_duration_since(Instant::now());
        let pending_reports = &self.shared.routing.suspects.pending_reports;
        let passed_on = async {
            futures::join!(
                self.shared.streams.wait_until_copied(),
                pending_reports.wait_until_acknowledged()
            )
        };
        // What no other process can take by then ends with this one.
        let _is_passed_on = timeout(left, passed_on).await;
        self.serving.abort_all();
        self.lag_watch.abort();
        has_ended
    }
}

/// Binds the listener for requests that other gateways hand off, if this one takes any.
fn bind_takeover(ip: IpAddr, settings: &GatewaySettings) -> io::Result<Option<TcpListener>> {
    match settings.handoff_ports.clone() {
        Some(ports) => takeover::bind(ip, ports).map(Some),
        None => Ok(None),
    }
}

/// Follows control and reports to it until the future is dropped.
async fn follow_control(
    client: Client,
    settings: FollowSettings,
    seeds: watch::Receiver<Vec<Box<str>>>,
    shared: Arc<Shared>,
    readiness: Arc<Readiness>,
    announcement: MeetGateways,
) {
    let routing = Arc::clone(&shared.routing);
    let gauges = TableGauges {
        age_ms: shared.metrics.table_age_ms.clone(),
        number: shared.metrics.table_number.clone(),
    };
    let (instance, own) = (settings.instance.clone(), settings.peer_address);
    let reporting = suspect_reports::run(client.clone(), instance.clone(), Arc::clone(&routing));
    let trials = part_trials::run(client.clone(), instance, Arc::clone(&routing));
    let following = follow::run(client.clone(), settings, seeds, routing, readiness, gauges);
    let discovery = peer_discovery::run(client, announcement, own, shared);
    futures::join!(reporting, trials, following, discovery);
}

async fn accept_callers(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
) {
    let drain = Drain::default();
    let mut listener = CallerListener::new(listener, shared.is_paused.subscribe());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _stopped = stopped.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _remote)) = accepted else {
            shared.connections.inbound().accept_failed().await;
            continue;
        };
        shared.overload().record_connection();
        shared.apply_overload();
        let open = shared.connections.inbound().try_open();
        accept_caller(stream, &shared, &drain, open, Connections::try_refuse);
    }
    if let Some(listener) = listener.into_inner() {
        close_listener(listener, |stream, _remote| {
            // All are accepted in one step, in which no refusal ends, so the limit of refusals would close some of them.
            let open = shared.connections.inbound().try_open_free();
            accept_caller(stream, &shared, &drain, open, |connections| {
                connections.refuse();
                true
            });
        });
    }
    drain.finish().await;
}

/// Serves a caller's connection if there is a place for it, refuses its request if `may_refuse` allows that, and
/// closes it otherwise.
fn accept_caller(
    stream: TcpStream,
    shared: &Arc<Shared>,
    drain: &Drain,
    open: Option<OpenConnection>,
    may_refuse: impl FnOnce(&Connections) -> bool,
) {
    shared.metrics.connections.inc();
    if let Some(open) = open {
        serve_caller(stream, shared, drain.guard(), open);
    } else if may_refuse(&shared.connections) {
        shared.metrics.connections_refused.inc();
        refuse_caller(stream, shared, drain.guard());
    } else {
        shared.metrics.connections_closed.inc();
    }
}

/// Refuses the request on a connection beyond the limit.
fn refuse_caller(stream: TcpStream, shared: &Arc<Shared>, guard: DrainGuard) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        prepared_refusal::refuse(stream).await;
        shared.connections.refused();
        drop(guard);
    });
}

fn serve_caller(stream: TcpStream, shared: &Arc<Shared>, guard: DrainGuard, open: OpenConnection) {
    // Without TCP_NODELAY chunks are only delayed a little, so a failure to set it is no reason to refuse the caller.
    let _is_set = stream.set_nodelay(true);
    let snapshot = shared.routing.current();
    let idle = snapshot.lookup.as_ref().map_or(IDLE_TIMEOUT, |lookup| {
        Duration::from_millis(lookup.table().limits.idle_timeout_ms)
    });
    tokio::spawn(serve_connection(
        stream,
        shared,
        Origin::Caller,
        idle,
        guard,
        open,
    ));
}
