//! Serves changes and reads of the route table and of the endpoints.
//!
//! Changes and reads are answered by the leader, directly or through one forwarding hop. A watch is answered by any
//! instance that knows a leader, from the state applied there.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{ByteBudget, ClusterKey, HeldBudget};
use hinge_routing::{TableError, check_homes};
use hinge_schema::routing::{
    Endpoint, EndpointList, EndpointReply, EvacuationList, MeetGateways, NearbyGateways,
    ReportEndpoint, RetireEndpoint, RouteTable, RoutesUpdate, SuspectList, TablePatch, WatchRoutes,
};
use hinge_state::{Command, EndpointCommand, Incarnation, Routing};
use hinge_telemetry::log::Component;
use hinge_telemetry::{info, warn};
use http::StatusCode;
use tokio::time::{Instant, timeout_at};
use viz::Router;

use crate::core::{Core, Leadership};
use crate::driver::View;
use crate::peer_calls::{add_leader_call, answer_or_forward};
use crate::route::{self, StateCell};
use crate::table_calls;

const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

const REPORT: &str = "/endpoints/report";
const RETIRE: &str = "/endpoints/retire";

/// Cause for refusing a report with another address, service or data centre than the same incarnation reported before.
const CONTRADICTORY_REPORT: &str =
    "it contradicts what the same start of the endpoint has said of itself";

/// Format of the log from which it holds repeated warm-ups of an endpoint.
const MIN_REPEATED_WARM_UP_FORMAT: u32 = 1;

/// Bytes of the documents of tables that are being put: one of the longest, or a dozen of some hundreds of kilobytes. Each is
/// in memory a few times, decoded and encoded.
const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// Path on which a gateway learns the addresses of others in its data centre.
pub const MEET_GATEWAYS_PATH: &str = "/v1/gateways/meet";

/// Path of a watch of routes and endpoints.
pub const WATCH_ROUTES_PATH: &str = "/v1/routes/watch";

/// The error that no instance could answer: there is no leader, or it did not reply in time.
///
/// The change may have taken effect all the same, and is safe to send again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingUnavailable;

impl fmt::Display for RoutingUnavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no leader answered in time; send the call again")
    }
}

impl std::error::Error for RoutingUnavailable {}

/// The error for a route table that was not put in force, as far as known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutTableError {
    /// It is not valid for this fleet.
    Invalid(TableError),
    /// It is unknown whether it was accepted; it is safe to send again.
    Unavailable(RoutingUnavailable),
}

impl fmt::Display for PutTableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(cause) => cause.fmt(f),
            Self::Unavailable(cause) => cause.fmt(f),
        }
    }
}

impl std::error::Error for PutTableError {}

/// The outcome of an endpoint's report that reached the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointReportOutcome {
    /// The report is accepted or contains nothing new; the leader listens at this address.
    Accepted(Box<str>),
    /// The report is contradictory and changes nothing, for this cause.
    Refused(Box<str>),
}

/// The calls on routes and endpoints that an adapter may make.
#[derive(Debug, Clone)]
pub struct RoutingCalls {
    core: StateCell<Core>,
    /// Limits the documents of tables that are being put.
    documents: ByteBudget,
}

impl RoutingCalls {
    pub(crate) fn new(core: &StateCell<Core>) -> Self {
        Self {
            core: Arc::clone(core),
            documents: ByteBudget::new(MAX_DOCUMENT_BYTES),
        }
    }

    /// Waits until a document of this length may be read, and holds its bytes until the result is dropped.
    ///
    /// A caller that puts tables holds this from before it reads the document until the table is in force.
    pub async fn hold_document(&self, bytes: usize) -> HeldBudget {
        self.documents.acquire(bytes).await
    }

    /// Puts a table in force unless a higher-numbered one is; returns the number in force once that is durable.
    ///
    /// # Errors
    ///
    /// Returns an error when a home is in an unknown region, or when it is unknown whether the table was accepted.
    pub async fn put_table(&self, table: RouteTable) -> Result<u64, PutTableError> {
        let core = self.core().map_err(PutTableError::Unavailable)?;
        check_homes(&table, &core.settings.data_centers).map_err(PutTableError::Invalid)?;
        let unavailable = |status| PutTableError::Unavailable(unavailable(status));
        table_calls::put_table(core, table)
            .await
            .map_err(unavailable)
    }

    /// Returns the table in force, as a linearizable read.
    ///
    /// # Errors
    ///
    /// Returns an error when no instance can confirm the current table.
    pub async fn table(&self) -> Result<Option<Arc<RouteTable>>, RoutingUnavailable> {
        let in_force = table_calls::table_in_force(&self.core()?).await;
        Ok(in_force.map_err(unavailable)?.table)
    }

    /// Applies an endpoint's report, and returns the outcome.
    ///
    /// # Errors
    ///
    /// Returns an error when it is unknown whether the report was applied.
    pub async fn report(
        &self,
        endpoint: Endpoint,
    ) -> Result<EndpointReportOutcome, RoutingUnavailable> {
        let message = ReportEndpoint { endpoint };
        let answered = answer_or_forward(self.core()?, REPORT, message, report_as_leader).await;
        let noted: EndpointReply = answered.map_err(unavailable)?;
        Ok(match noted.refused {
            Some(cause) => EndpointReportOutcome::Refused(cause),
            None => EndpointReportOutcome::Accepted(noted.leader),
        })
    }

    /// Counts an endpoint report that can't be accepted, and logs it at a limited rate.
    pub fn note_refused(&self, endpoint: &str, cause: &str) {
        let Some(core) = self.core.get() else {
            return;
        };
        let now = core.now();
        let count = core.soft().refused_reports.note(now);
        if let Some(count) = count {
            warn!(
                Component::Control,
                "Refused a report.",
                endpoint = endpoint,
                cause = cause,
                since_the_last_line = count
            );
        }
    }

    /// Records that an endpoint accepts no new work from now on.
    ///
    /// # Errors
    ///
    /// Returns an error when it is unknown whether that was recorded.
    pub async fn retire(&self, incarnation: Incarnation) -> Result<(), RoutingUnavailable> {
        let message = RetireEndpoint {
            id: incarnation.id,
            born_unix_ms: incarnation.born_unix_ms,
        };
        let answered = answer_or_forward(self.core()?, RETIRE, message, retire_as_leader).await;
        let _noted: EndpointReply = answered.map_err(unavailable)?;
        Ok(())
    }

    pub(crate) fn core(&self) -> Result<Arc<Core>, RoutingUnavailable> {
        self.core.get().cloned().ok_or(RoutingUnavailable)
    }
}

fn unavailable(_status: StatusCode) -> RoutingUnavailable {
    RoutingUnavailable
}

/// Adds the routes for peers.
pub(crate) fn add(router: Router, key: &ClusterKey, core: &StateCell<Core>) -> Router {
    let router = route::peer(router, WATCH_ROUTES_PATH, key, core, watch);
    let router = route::peer(router, MEET_GATEWAYS_PATH, key, core, meet);
    let router = add_leader_call(router, REPORT, key, core, report, report_as_leader);
    let router = add_leader_call(router, RETIRE, key, core, retire, retire_as_leader);
    table_calls::add(router, key, core)
}

async fn report(core: Arc<Core>, message: ReportEndpoint) -> Result<EndpointReply, StatusCode> {
    answer_or_forward(core, REPORT, message, report_as_leader).await
}

async fn report_as_leader(
    core: Arc<Core>,
    message: ReportEndpoint,
) -> Result<EndpointReply, StatusCode> {
    if !matches!(core.leadership(), Leadership::Local(_)) {
        return Err(UNAVAILABLE);
    }
    let endpoint = message.endpoint;
    let view = core.driver.view.load();
    let routing = &view.routing;
    if routing.contradicts(&endpoint) {
        return Ok(EndpointReply {
            refused: Some(CONTRADICTORY_REPORT.into()),
            ..noted(&core)
        });
    }
    // A report of an earlier incarnation must not keep a newer one listed that has fallen silent.
    if !routing.is_outdated(&endpoint) {
        core.soft().heard.record(core.now(), &endpoint.id);
    }
    if routing.is_change(&endpoint) || warms_up_again(&core, &view, &endpoint) {
        info!(
            Component::Control,
            "An endpoint reports news.",
            endpoint = endpoint.id,
            born_unix_ms = endpoint.born_unix_ms.unwrap_or_default(),
            service = endpoint.service,
            address = endpoint.address,
            state = endpoint.state,
            warm_up_ms = endpoint.warm_up_ms,
            sequence = endpoint.sequence
        );
        change(&core, EndpointCommand::Report(endpoint)).await?;
    }
    Ok(noted(&core))
}

/// Returns whether a report tells of a warm-up that the log doesn't hold yet.
fn warms_up_again(core: &Core, view: &View, report: &Endpoint) -> bool {
    if report.warm_up_ms == 0 || view.format < MIN_REPEATED_WARM_UP_FORMAT {
        return false;
    }
    let now = core.now();
    let warm_ups = &mut core.soft().warm_ups;
    warm_ups.note(now, &view.routing);
    view.routing.may_warm_up_again(report) && warm_ups.is_news(now, report)
}

async fn retire(core: Arc<Core>, message: RetireEndpoint) -> Result<EndpointReply, StatusCode> {
    answer_or_forward(core, RETIRE, message, retire_as_leader).await
}

async fn retire_as_leader(
    core: Arc<Core>,
    message: RetireEndpoint,
) -> Result<EndpointReply, StatusCode> {
    let incarnation = Incarnation {
        id: message.id,
        born_unix_ms: message.born_unix_ms,
    };
    let view = core.driver.view.load();
    let ended = view.routing.resolve(&incarnation);
    if !view.routing.is_retired(&ended.id, ended.born_unix_ms) {
        info!(
            Component::Control,
            "An endpoint retires.",
            endpoint = ended.id,
            born_unix_ms = ended.born_unix_ms.unwrap_or_default()
        );
        change(&core, EndpointCommand::Retire(ended)).await?;
    }
    Ok(noted(&core))
}

async fn change(core: &Core, command: EndpointCommand) -> Result<(), StatusCode> {
    let proposed = core.propose(Command::Endpoint(command)).await;
    proposed.map(|_done| ()).map_err(|_refused| UNAVAILABLE)
}

fn noted(core: &Core) -> EndpointReply {
    EndpointReply {
        leader: core.address.clone(),
        refused: None,
    }
}

/// Drops endpoints that have been silent for too long, on the leader.
pub(crate) fn drop_silent(core: &Arc<Core>) {
    let view = core.driver.view.load();
    let now = core.now();
    let silent = core.soft().heard.silent(now, &view.routing);
    for id in silent {
        info!(
            Component::Control,
            "Dropping a silent endpoint.",
            endpoint = id
        );
        let core = Arc::clone(core);
        tokio::spawn(async move {
            // A failed drop is retried in the next round.
            let _tried_again = change(&core, EndpointCommand::Drop(id)).await;
        });
    }
}

/// Answers with what is newer than the versions that the caller has, or waits for it.
async fn watch(core: Arc<Core>, message: WatchRoutes) -> Result<RoutesUpdate, StatusCode> {
    let wait = Duration::from_millis(message.wait_ms).min(core.settings.watch_timeout);
    let deadline = Instant::now() + wait;
    if let Some(address) = &message.peer_address {
        let now = core.now();
        let watchers = &mut core.soft().watchers;
        watchers.note(now, &message.instance, address);
    }
    if message.table_number == 0 {
        return first_table(core, &message, deadline).await;
    }
    let mut published = core.published.subscribe();
    loop {
        published.borrow_and_update();
        if core.leadership() == Leadership::Unknown {
            return newer_without_leader(&core, &message, deadline).await;
        }
        if sends_whole_table(&core.driver.view.load(), &message) {
            wait_for_room(&core, deadline).await?;
        }
        let update = update(&core, &message);
        if update.has_changes() {
            return Ok(update);
        }
        match timeout_at(deadline, published.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_stopped)) => return Err(UNAVAILABLE),
            Err(_elapsed) if core.leadership() == Leadership::Unknown => return Err(UNAVAILABLE),
            Err(_elapsed) => return Ok(update),
        }
    }
}

/// Answers without a known leader with what is newer here than at the caller.
///
/// It was committed, and may have been acknowledged just before the leader was lost. That nothing is newer can't be told.
async fn newer_without_leader(
    core: &Core,
    message: &WatchRoutes,
    deadline: Instant,
) -> Result<RoutesUpdate, StatusCode> {
    if !message.accepts_unconfirmed.unwrap_or(false) {
        return Err(UNAVAILABLE);
    }
    if sends_whole_table(&core.driver.view.load(), message) {
        wait_for_room(core, deadline).await?;
    }
    let update = RoutesUpdate {
        is_unconfirmed: Some(true),
        ..update(core, message)
    };
    if update.has_changes() {
        Ok(update)
    } else {
        Err(UNAVAILABLE)
    }
}

/// Records a gateway and returns others of its data centre; works on any instance, even without a known leader.
async fn meet(core: Arc<Core>, message: MeetGateways) -> Result<NearbyGateways, StatusCode> {
    let now = core.now();
    let draw = rand::random::<u32>() as usize;
    let mut soft = core.soft();
    let directory = soft.nearby(&message.data_center);
    if let Some(address) = &message.address {
        directory.note(now, &message.instance, address);
    }
    let addresses = directory.others(&message.instance, draw);
    let peers = soft.peers(&message.data_center);
    if let Some(address) = &message.peer_address {
        peers.note(now, &message.instance, address);
    }
    let near_peers = peers.others(&message.instance, draw);
    let gateway_count = soft.peers.values().map(|peers| peers.count(now)).sum();
    Ok(NearbyGateways {
        addresses,
        peers: near_peers,
        far_peers: soft.far_peers(&message.data_center, &message.instance, draw),
        gateway_count: Some(gateway_count),
    })
}

/// Answers a gateway that has no table yet with the current one, as a linearizable read.
///
/// The locally applied state may lag right after a restart, and a gateway must not start with a table that has been
/// replaced.
async fn first_table(
    core: Arc<Core>,
    message: &WatchRoutes,
    deadline: Instant,
) -> Result<RoutesUpdate, StatusCode> {
    let current = table_calls::table_in_force(&core).await?;
    wait_for_room(&core, deadline).await?;
    let view = core.driver.view.load();
    Ok(RoutesUpdate {
        is_unconfirmed: None,
        table: current.table.map(|table| without_document(&table)),
        table_patches: Vec::new(),
        endpoints: Some(endpoint_list(&core, &view.routing)),
        suspects: newer_suspects(&view.routing, message),
        evacuations: current.evacuations,
        control: view.control_addresses.clone(),
        gateways: other_gateways(&core, message),
    })
}

/// Returns a copy of a table without its document, which only operators need.
fn without_document(table: &RouteTable) -> RouteTable {
    RouteTable {
        document: serde_bytes::ByteBuf::new(),
        ..table.clone()
    }
}

fn update(core: &Core, message: &WatchRoutes) -> RoutesUpdate {
    let view = core.driver.view.load();
    let routing = &view.routing;
    let newer = newer_table(routing, message);
    let table_patches = newer.and_then(|_| recent_patches(&view, message));
    let table = newer.filter(|_| table_patches.is_none());
    let are_endpoints_newer = routing.endpoints_version() > message.endpoints_version;
    RoutesUpdate {
        is_unconfirmed: None,
        table: table.map(|table| without_document(table)),
        table_patches: table_patches.unwrap_or_default(),
        endpoints: are_endpoints_newer.then(|| endpoint_list(core, routing)),
        suspects: newer_suspects(routing, message),
        evacuations: newer_evacuations(routing, message),
        control: view.control_addresses.clone(),
        gateways: other_gateways(core, message),
    }
}

/// Returns the table in force if it is newer than the caller's.
fn newer_table<'a>(routing: &'a Routing, message: &WatchRoutes) -> Option<&'a Arc<RouteTable>> {
    let is_newer = routing.table_number() > message.table_number;
    routing.table().filter(|_| is_newer)
}

/// Returns the patches that lead from the caller's table to the one in force, if the caller and this instance know them.
fn recent_patches(view: &View, message: &WatchRoutes) -> Option<Vec<TablePatch>> {
    // Versions that don't know patches send no flag.
    let accepts_patches = message.accepts_patches.unwrap_or(false);
    let table = view.routing.table().filter(|_| accepts_patches)?;
    view.patches.since(message.table_number, table)
}

fn sends_whole_table(view: &View, message: &WatchRoutes) -> bool {
    newer_table(&view.routing, message).is_some() && recent_patches(view, message).is_none()
}

/// Waits until there is room for a whole table.
async fn wait_for_room(core: &Core, deadline: Instant) -> Result<(), StatusCode> {
    let has_room = core.client.wait_for_room(deadline).await;
    has_room.then_some(()).ok_or(UNAVAILABLE)
}

/// Returns the list of endpoints, with the warm-up times that are left now.
fn endpoint_list(core: &Core, routing: &Routing) -> EndpointList {
    let now = core.now();
    let mut list = routing.list();
    let warm_ups = &mut core.soft().warm_ups;
    warm_ups.note(now, routing);
    warm_ups.count_down(now, &mut list);
    list
}

fn newer_evacuations(routing: &Routing, message: &WatchRoutes) -> Option<EvacuationList> {
    // Versions that don't know evacuations send no version.
    let known = message.evacuations_version?;
    let evacuations = routing.evacuations();
    (evacuations.version() > known).then(|| evacuations.list())
}

fn newer_suspects(routing: &Routing, message: &WatchRoutes) -> Option<SuspectList> {
    // Versions that don't know suspected requests send no version.
    let held = message.suspects_version?;
    routing.suspects().changes_since(held)
}

fn other_gateways(core: &Core, message: &WatchRoutes) -> Vec<Box<str>> {
    let draw = rand::random::<u32>() as usize;
    core.soft().watchers.others(&message.instance, draw)
}
