//! Binds, runs and stops a gateway.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use hinge_link::{Client, ClusterKey, Limits, Server, ServerHandle};
use hinge_routing::{
    CachedPrefixes, ChoiceRules, Holders, IncarnationHash, OverloadControl, OverloadRules,
    RetryBudget, RetryBudgetRules,
};
use hinge_schema::routing::MeetGateways;
use hinge_telemetry::info;
use hinge_telemetry::log::Part;
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::readiness::{Readiness, Reason};
use http::header::CONNECTION;
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout};

use crate::admit::Ways;
use crate::apart::Apart;
use crate::connections::Connections;
use crate::dialect::Dialect;
use crate::door::Door;
use crate::endpoint::Endpoint;
use crate::fleet::Held;
use crate::follow;
use crate::handoff::Handoffs;
use crate::load;
use crate::meet;
use crate::metrics::Metrics;
use crate::neighbours;
use crate::serve::{Origin, serve};
use crate::suspects::Suspects;
use crate::takeover;
use crate::teams::Teams;
use crate::tell;

/// Time after which an idle connection of a caller is closed when no table says so.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest headers of a request, in bytes; the tables of today ask for 16 KiB. A connection's buffer grows up to it and
/// stays, so it bounds the memory of an idle connection as well.
pub(crate) const MAX_HEADER_BYTES: usize = 24 * 1024;

/// Wait after a failed accept; it concerns one connection, or a passing lack of descriptors.
pub(crate) const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Sets up a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Data centre of the instance.
    pub data_center: Box<str>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address on which the balancer asks for readiness.
    pub ready_listen: SocketAddr,
    /// Addresses of control instances.
    pub control: Vec<Box<str>>,
    /// Ports of which a free one is taken for requests that other gateways hand off; without any none are handed off.
    pub handoff_ports: Option<RangeInclusive<u16>>,
    /// Port of the admissions beside the model engines; none where there are none.
    pub admission_port: Option<u16>,
    /// Budget of second sends to a service.
    pub budget: RetryBudgetRules,
    /// Weights of the choice.
    pub choice: ChoiceRules,
    /// Prompt tokens that an engine may have before it to take a request that another one refused.
    pub max_spill_tokens: u32,
    /// Connections of callers that are kept at once.
    pub max_connections: u32,
    /// Each of two waits for the rest of an answer that an engine no longer works on.
    pub lost_grace: Duration,
    /// When requests are turned away for want of room.
    pub overload: OverloadRules,
}

/// Holds what the requests of a gateway share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) held: Arc<Held>,
    pub(crate) metrics: Metrics,
    pub(crate) data_center: Box<str>,
    pub(crate) choice: ChoiceRules,
    pub(crate) max_spill_tokens: u32,
    pub(crate) connections: Connections,
    /// Whether new connections are refused, as the limits of the load say.
    pub(crate) is_closed: watch::Sender<bool>,
    /// When a planned stop cuts what still runs, once one has begun.
    pub(crate) stops_at: OnceLock<Instant>,
    overload: Mutex<OverloadControl>,
    budget_rules: RetryBudgetRules,
    budgets: Mutex<HashMap<Box<str>, RetryBudget>>,
    /// By service.
    teams: Mutex<HashMap<Box<str>, Arc<Teams>>>,
    kept_parts: Mutex<CachedPrefixes>,
    pub(crate) handoffs: Handoffs,
    began: Instant,
}

impl Shared {
    /// Returns the limits of this gateway's own load.
    pub(crate) fn overload(&self) -> MutexGuard<'_, OverloadControl> {
        self.overload.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes or opens the door for new connections as the limits of the load say.
    pub(crate) fn follow_overload(&self) {
        let is_closed = self.overload().refuses_connections();
        self.is_closed.send_if_modified(|known| {
            let is_new = *known != is_closed;
            *known = is_closed;
            is_new
        });
    }

    /// Returns what the teams have used at the endpoints of a service, as it was told lately.
    pub(crate) fn teams(&self, service: &str, endpoints: &[Arc<Endpoint>]) -> Arc<Teams> {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(fresh) = teams.get(service).filter(|teams| teams.is_fresh()) {
            return Arc::clone(fresh);
        }
        let gathered = Arc::new(Teams::gather(endpoints));
        teams.insert(service.into(), Arc::clone(&gathered));
        gathered
    }

    /// Counts a request to a service.
    pub(crate) fn note_request(&self, service: &str) {
        self.with_budget(service, RetryBudget::record_request);
    }

    /// Returns whether a request to a service may be sent once more, and counts it if so.
    pub(crate) fn try_repeat(&self, service: &str) -> bool {
        self.with_budget(service, RetryBudget::try_retry)
    }

    /// Returns the endpoints that should keep the shared parts that a number stands for, the one used last first.
    pub(crate) fn holders(&self, key: u64) -> Holders {
        self.kept_parts().holders(self.began.elapsed(), key)
    }

    /// Notes that an endpoint has the shared parts that a number stands for.
    pub(crate) fn note_kept(&self, key: u64, endpoint: IncarnationHash) {
        self.kept_parts()
            .record(self.began.elapsed(), key, endpoint);
    }

    fn kept_parts(&self) -> MutexGuard<'_, CachedPrefixes> {
        self.kept_parts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn with_budget<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut RetryBudget, Duration) -> T,
    ) -> T {
        let now = self.began.elapsed();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if !budgets.contains_key(service) {
            budgets.insert(service.into(), RetryBudget::new(self.budget_rules));
        }
        let budget = budgets
            .get_mut(service)
            .expect("the budget was just put there");
        act(budget, now)
    }
}

/// Holds a running gateway.
#[derive(Debug)]
pub struct Gateway {
    address: SocketAddr,
    ready: ServerHandle,
    readiness: Arc<Readiness>,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    seeds: watch::Sender<Vec<Box<str>>>,
    /// Tasks that take connections; each ends with the answers on them.
    serving: JoinSet<()>,
    handoff_address: Option<SocketAddr>,
    lag: JoinHandle<()>,
    _following: Apart,
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
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let admissions = settings.admission_port.map(|port| Ways {
            port,
            client: client.clone(),
            lost_grace: settings.lost_grace,
        });
        let suspects = Suspects::register(registry);
        let held = Arc::new(Held::new(admissions, suspects));
        let routes = neighbours::routes(Arc::clone(&readiness), key.clone(), Arc::clone(&held));
        let ready_listen = settings.ready_listen.to_string();
        let ready = Server::bind(&ready_listen, routes, Limits::default()).await?;
        let ready_address = ready.local_address();
        let shared = Arc::new(Shared {
            dialect,
            held: Arc::clone(&held),
            metrics: Metrics::register(registry),
            data_center: settings.data_center.clone(),
            choice: settings.choice,
            max_spill_tokens: settings.max_spill_tokens,
            connections: Connections::new(settings.max_connections),
            is_closed: watch::Sender::new(false),
            stops_at: OnceLock::new(),
            overload: Mutex::new(OverloadControl::new(settings.overload)),
            budget_rules: settings.budget,
            budgets: Mutex::default(),
            teams: Mutex::default(),
            kept_parts: Mutex::default(),
            handoffs: Handoffs::new(key.clone()),
            began: Instant::now(),
        });
        let (stop, stopped) = watch::channel(false);
        let (seeds, given) = watch::channel(settings.control.clone());
        let callers = accept_callers(listener, Arc::clone(&shared), stopped.clone());
        let mut serving = JoinSet::new();
        serving.spawn(callers);
        let takeover = bind_takeover(address.ip(), &settings).await?;
        let (listener, meeting) = takeover.unzip();
        let mut handoff_address = None;
        if let Some(listener) = listener {
            handoff_address = Some(listener.local_addr()?);
            let takeover = takeover::run(listener, key.clone(), Arc::clone(&shared), stopped);
            serving.spawn(takeover);
        }
        let lag = load::watch_lag(Arc::clone(&shared), Arc::clone(&readiness));
        let lag = tokio::spawn(lag);
        let following = follow_control(
            // Its connections are served on the thread that follows.
            Client::new(key),
            settings.instance,
            ready_address,
            given,
            Arc::clone(&shared),
            Arc::clone(&readiness),
            meeting,
        );
        let following = Apart::spawn("follow-control", following)?;
        info!(
            Part::Gateway,
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
            lag,
            _following: following,
        })
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns where changed addresses of control instances are put.
    #[must_use]
    pub fn control_seeds(&self) -> watch::Sender<Vec<Box<str>>> {
        self.seeds.clone()
    }

    /// Returns the address of the readiness question.
    #[must_use]
    pub fn ready_address(&self) -> SocketAddr {
        self.ready.local_address()
    }

    /// Returns the address on which other gateways hand requests off, if there is one.
    #[must_use]
    pub fn handoff_address(&self) -> Option<SocketAddr> {
        self.handoff_address
    }

    /// Stops as planned, and returns whether every request ended before the deadline.
    ///
    /// Callers may come for `rotation` more, since the balancer notices late; then open connections end with the answer
    /// that is under way.
    pub async fn drain(mut self, rotation: Duration, deadline: Duration) -> bool {
        self.readiness.set(Reason::Leaving);
        let ends_at = Instant::now() + deadline;
        let _first_stop = self.shared.stops_at.set(ends_at);
        sleep(rotation).await;
        self.stop.send_replace(true);
        let left = ends_at.saturating_duration_since(Instant::now());
        let has_ended = timeout(left, async {
            while self.serving.join_next().await.is_some() {}
        });
        let has_ended = has_ended.await.is_ok();
        self.serving.abort_all();
        self.lag.abort();
        has_ended
    }
}

/// Binds what takes requests of other gateways, and returns it with what they are told.
async fn bind_takeover(
    ip: IpAddr,
    settings: &GatewaySettings,
) -> io::Result<Option<(TcpListener, MeetGateways)>> {
    let Some(ports) = settings.handoff_ports.clone() else {
        return Ok(None);
    };
    let listener = takeover::bind(ip, ports).await?;
    let question = MeetGateways {
        instance: settings.instance.clone(),
        data_center: settings.data_center.clone(),
        address: listener.local_addr()?.to_string().into(),
    };
    Ok(Some((listener, question)))
}

/// Follows control, and tells it of what is seen here, until it is dropped.
async fn follow_control(
    client: Client,
    instance: Box<str>,
    peer_address: SocketAddr,
    seeds: watch::Receiver<Vec<Box<str>>>,
    shared: Arc<Shared>,
    readiness: Arc<Readiness>,
    meeting: Option<MeetGateways>,
) {
    let held = Arc::clone(&shared.held);
    let table_age_ms = shared.metrics.table_age_ms.clone();
    let telling = tell::run(client.clone(), instance.clone(), Arc::clone(&held));
    let following = follow::run(
        client.clone(),
        instance,
        peer_address,
        seeds,
        held,
        readiness,
        table_age_ms,
    );
    let meeting = async {
        if let Some(question) = meeting {
            meet::run(client, question, shared).await;
        }
    };
    futures::join!(telling, following, meeting);
}

async fn accept_callers(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut door = Door::new(listener, shared.is_closed.subscribe());
    loop {
        let accepted = tokio::select! {
            accepted = door.accept() => accepted,
            _stopped = stopped.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _remote)) = accepted else {
            sleep(ACCEPT_RETRY).await;
            continue;
        };
        shared.metrics.connections.inc();
        shared.overload().record_connection();
        shared.follow_overload();
        // A caller whose connection closes before its request is read tries another gateway at once.
        if shared.connections.try_open() {
            serve_caller(stream, &shared, &graceful);
        } else {
            shared.metrics.connections_closed.inc();
        }
    }
    drop(door);
    graceful.shutdown().await;
}

fn serve_caller(stream: TcpStream, shared: &Arc<Shared>, graceful: &GracefulShutdown) {
    // Without it pieces are only held back a little, so a failure to set it is no reason to refuse the caller.
    let _is_set = stream.set_nodelay(true);
    let for_requests = Arc::clone(shared);
    let service = service_fn(move |request: Request<Incoming>| {
        let shared = Arc::clone(&for_requests);
        async move {
            let mut response = serve(Arc::clone(&shared), request, Origin::Caller).await;
            if shared.connections.are_many() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let fleet = shared.held.current();
    let idle = fleet.lookup.as_ref().map_or(IDLE_TIMEOUT, |lookup| {
        Duration::from_millis(lookup.table().limits.idle_timeout_ms)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        // A caller that leaves is noted where its request is served.
        let _ended_or_broken = watched.await;
        shared.connections.closed();
    });
}
