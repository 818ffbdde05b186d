//! Serves changes and reads of the route table and of the endpoints.
//!
//! Changes and reads go to the leader, here or in one hop. A watch is answered by any instance that knows a leader, from
//! what is applied here.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::ClusterKey;
use hinge_schema::routing::{
    AskTable, CurrentTable, Endpoint, EndpointNoted, MeetGateways, NearbyGateways, PutTable,
    ReportEndpoint, RetireEndpoint, RouteTable, RoutesUpdate, SuspectList, TableHeld, WatchRoutes,
};
use hinge_state::{Command, EndpointCommand, Incarnation, Reply, Routing};
use hinge_telemetry::log::Part;
use hinge_telemetry::{info, warn};
use http::StatusCode;
use tokio::time::{Instant, timeout_at};
use viz::Router;

use crate::core::{Core, Place};
use crate::peer_calls::{at_leader, both};
use crate::route::{self, Slot};

const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

const PUT_TABLE: &str = "/routes/put";
const ASK_TABLE: &str = "/routes/ask";
const REPORT: &str = "/endpoints/report";
const RETIRE: &str = "/endpoints/retire";

/// Why a report is refused that names another address, service or data centre than the same incarnation did before.
const CONTRADICTS: &str = "it contradicts what the same start of the endpoint has said of itself";

/// Path on which a gateway learns of the others of its data centre.
pub const MEET_GATEWAYS_PATH: &str = "/v1/gateways/meet";

/// Path of a watch of routes and endpoints.
pub const WATCH_ROUTES_PATH: &str = "/v1/routes/watch";

/// Says that no instance could answer now: there is no leader, or it did not answer in time.
///
/// A change may have taken effect all the same, and is safe to send again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingUnavailable;

impl fmt::Display for RoutingUnavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no leader answered in time; send the call again")
    }
}

impl std::error::Error for RoutingUnavailable {}

/// Says what became of an endpoint's report that reached the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reported {
    /// It is taken in, or tells nothing new; the leader listens at this address.
    Taken(Box<str>),
    /// It can't be true and changes nothing, for this cause.
    Refused(Box<str>),
}

/// Gives an adapter the calls on routes and endpoints.
#[derive(Debug, Clone)]
pub struct RoutingCalls {
    core: Slot<Core>,
}

impl RoutingCalls {
    pub(crate) fn new(core: &Slot<Core>) -> Self {
        Self {
            core: Arc::clone(core),
        }
    }

    /// Puts a table in force unless a higher number is, and returns the number in force once that is durable.
    ///
    /// # Errors
    ///
    /// Returns an error when it is open whether the table was taken.
    pub async fn put_table(&self, table: RouteTable) -> Result<u64, RoutingUnavailable> {
        let message = PutTable { table };
        let answered = at_leader(self.core()?, PUT_TABLE, message, put_here).await;
        let held: TableHeld = answered.map_err(unavailable)?;
        Ok(held.number)
    }

    /// Returns the table in force, checked with a quorum.
    ///
    /// # Errors
    ///
    /// Returns an error when no instance can be sure.
    pub async fn table(&self) -> Result<Option<RouteTable>, RoutingUnavailable> {
        let answered = at_leader(self.core()?, ASK_TABLE, AskTable {}, ask_here).await;
        let current: CurrentTable = answered.map_err(unavailable)?;
        Ok(current.table)
    }

    /// Takes in an endpoint's report, and returns what became of it.
    ///
    /// # Errors
    ///
    /// Returns an error when the report was not taken in for certain.
    pub async fn report(&self, endpoint: Endpoint) -> Result<Reported, RoutingUnavailable> {
        let message = ReportEndpoint { endpoint };
        let answered = at_leader(self.core()?, REPORT, message, report_here).await;
        let noted: EndpointNoted = answered.map_err(unavailable)?;
        Ok(match noted.refused {
            Some(cause) => Reported::Refused(cause),
            None => Reported::Taken(noted.leader),
        })
    }

    /// Counts word of an endpoint that can't be taken in, and writes a line of it unless one was written just now.
    pub fn note_refused(&self, endpoint: &str, cause: &str) {
        let Some(core) = self.core.get() else {
            return;
        };
        let now = core.now();
        let count = core.soft().refused_reports.note(now);
        if let Some(count) = count {
            warn!(
                Part::Control,
                "Refused a report.",
                endpoint = endpoint,
                cause = cause,
                since_the_last_line = count
            );
        }
    }

    /// Notes that an endpoint takes no new work from now on.
    ///
    /// # Errors
    ///
    /// Returns an error when that was not noted for certain.
    pub async fn retire(&self, incarnation: Incarnation) -> Result<(), RoutingUnavailable> {
        let message = RetireEndpoint {
            id: incarnation.id,
            born_unix_ms: incarnation.born_unix_ms,
        };
        let answered = at_leader(self.core()?, RETIRE, message, retire_here).await;
        let _noted: EndpointNoted = answered.map_err(unavailable)?;
        Ok(())
    }

    fn core(&self) -> Result<Arc<Core>, RoutingUnavailable> {
        self.core.get().cloned().ok_or(RoutingUnavailable)
    }
}

fn unavailable(_status: StatusCode) -> RoutingUnavailable {
    RoutingUnavailable
}

/// Adds the calls of peers.
pub(crate) fn add(router: Router, key: &ClusterKey, core: &Slot<Core>) -> Router {
    let router = route::peer(router, WATCH_ROUTES_PATH, key, core, watch);
    let router = route::peer(router, MEET_GATEWAYS_PATH, key, core, meet);
    let router = both(router, PUT_TABLE, key, core, put, put_here);
    let router = both(router, ASK_TABLE, key, core, ask, ask_here);
    let router = both(router, REPORT, key, core, report, report_here);
    both(router, RETIRE, key, core, retire, retire_here)
}

async fn put(core: Arc<Core>, message: PutTable) -> Result<TableHeld, StatusCode> {
    at_leader(core, PUT_TABLE, message, put_here).await
}

async fn put_here(core: Arc<Core>, message: PutTable) -> Result<TableHeld, StatusCode> {
    let asked = message.table.number;
    let command = Command::PutTable(Box::new(message.table));
    match core.propose(command).await {
        Ok(Reply::TableNumber(number)) => {
            info!(
                Part::Control,
                "Took a route table.",
                number = asked,
                in_force = number
            );
            Ok(TableHeld { number })
        }
        Ok(_other) => Err(StatusCode::INTERNAL_SERVER_ERROR),
        Err(refused) => {
            info!(
                Part::Control,
                "Could not take a route table.",
                number = asked,
                cause = refused
            );
            Err(UNAVAILABLE)
        }
    }
}

async fn ask(core: Arc<Core>, message: AskTable) -> Result<CurrentTable, StatusCode> {
    at_leader(core, ASK_TABLE, message, ask_here).await
}

async fn ask_here(core: Arc<Core>, _message: AskTable) -> Result<CurrentTable, StatusCode> {
    let asked = core.ask(|state, _status| state.routing().table().cloned());
    let table = asked.await.map_err(|_refused| UNAVAILABLE)?;
    Ok(CurrentTable {
        table: table.map(Arc::unwrap_or_clone),
    })
}

async fn report(core: Arc<Core>, message: ReportEndpoint) -> Result<EndpointNoted, StatusCode> {
    at_leader(core, REPORT, message, report_here).await
}

async fn report_here(
    core: Arc<Core>,
    message: ReportEndpoint,
) -> Result<EndpointNoted, StatusCode> {
    if !matches!(core.place(), Place::Here(_)) {
        return Err(UNAVAILABLE);
    }
    let endpoint = message.endpoint;
    let view = core.driver.view.load();
    let routing = &view.routing;
    if routing.contradicts(&endpoint) {
        return Ok(EndpointNoted {
            refused: Some(CONTRADICTS.into()),
            ..noted(&core)
        });
    }
    // Word of a former life must not keep a newer one listed that has fallen silent.
    if !routing.is_outdated(&endpoint) {
        core.soft().heard.record(core.now(), &endpoint.id);
    }
    if routing.is_change(&endpoint) {
        info!(
            Part::Control,
            "An endpoint reports news.",
            endpoint = endpoint.id,
            born_unix_ms = endpoint.born_unix_ms.unwrap_or_default(),
            service = endpoint.service,
            address = endpoint.address,
            state = endpoint.state,
            sequence = endpoint.sequence
        );
        change(&core, EndpointCommand::Report(endpoint)).await?;
    }
    Ok(noted(&core))
}

async fn retire(core: Arc<Core>, message: RetireEndpoint) -> Result<EndpointNoted, StatusCode> {
    at_leader(core, RETIRE, message, retire_here).await
}

async fn retire_here(
    core: Arc<Core>,
    message: RetireEndpoint,
) -> Result<EndpointNoted, StatusCode> {
    let incarnation = Incarnation {
        id: message.id,
        born_unix_ms: message.born_unix_ms,
    };
    let view = core.driver.view.load();
    let ended = view.routing.resolve(&incarnation);
    if !view.routing.is_retired(&ended.id, ended.born_unix_ms) {
        info!(
            Part::Control,
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

fn noted(core: &Core) -> EndpointNoted {
    EndpointNoted {
        leader: core.address.clone(),
        refused: None,
    }
}

/// Drops the endpoints that have been silent for too long, as the leader.
pub(crate) fn drop_silent(core: &Arc<Core>) {
    let view = core.driver.view.load();
    let now = core.now();
    let silent = core.soft().heard.silent(now, &view.routing);
    for id in silent {
        info!(Part::Control, "Dropping a silent endpoint.", endpoint = id);
        let core = Arc::clone(core);
        tokio::spawn(async move {
            // What fails here is tried again at the next look.
            let _tried_again = change(&core, EndpointCommand::Drop(id)).await;
        });
    }
}

/// Answers with what is newer than what the asker holds, or waits for it.
async fn watch(core: Arc<Core>, message: WatchRoutes) -> Result<RoutesUpdate, StatusCode> {
    let wait = Duration::from_millis(message.wait_ms).min(core.settings.watch_timeout);
    let deadline = Instant::now() + wait;
    if let Some(address) = &message.peer_address {
        let now = core.now();
        let watchers = &mut core.soft().watchers;
        watchers.note(now, &message.instance, address);
    }
    if message.table_number == 0 {
        return first_table(core, &message).await;
    }
    let mut published = core.published.subscribe();
    loop {
        published.borrow_and_update();
        if core.place() == Place::Nowhere {
            return Err(UNAVAILABLE);
        }
        let update = update(&core, &message);
        if update.table.is_some() || update.endpoints.is_some() || update.suspects.is_some() {
            return Ok(update);
        }
        match timeout_at(deadline, published.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_stopped)) => return Err(UNAVAILABLE),
            Err(_elapsed) if core.place() == Place::Nowhere => return Err(UNAVAILABLE),
            Err(_elapsed) => return Ok(update),
        }
    }
}

/// Notes a gateway, and names others of its data centre; any instance does, whether it knows a leader or not.
async fn meet(core: Arc<Core>, message: MeetGateways) -> Result<NearbyGateways, StatusCode> {
    let now = core.now();
    let draw = rand::random::<u32>() as usize;
    let mut soft = core.soft();
    let directory = soft.nearby(&message.data_center);
    directory.note(now, &message.instance, &message.address);
    Ok(NearbyGateways {
        addresses: directory.others(&message.instance, draw),
    })
}

/// Answers a gateway that holds nothing with the table as of now, checked with a quorum.
///
/// What is applied here may be older right after a restart, and a gateway must not begin with a table that a newer one
/// has replaced.
async fn first_table(core: Arc<Core>, message: &WatchRoutes) -> Result<RoutesUpdate, StatusCode> {
    let current = ask(Arc::clone(&core), AskTable {}).await?;
    let view = core.driver.view.load();
    Ok(RoutesUpdate {
        table: current.table.map(|table| without_document(&table)),
        endpoints: Some(view.routing.list()),
        suspects: newer_suspects(&view.routing, message),
        control: view.control.clone(),
        gateways: other_gateways(&core, message),
    })
}

/// Returns a table for a gateway; the document is for the operator alone.
fn without_document(table: &RouteTable) -> RouteTable {
    RouteTable {
        document: serde_bytes::ByteBuf::new(),
        ..table.clone()
    }
}

fn update(core: &Core, message: &WatchRoutes) -> RoutesUpdate {
    let view = core.driver.view.load();
    let routing = &view.routing;
    let has_table = routing.table_number() > message.table_number;
    let table = routing.table().filter(|_| has_table);
    let has_endpoints = routing.endpoints_version() > message.endpoints_version;
    RoutesUpdate {
        table: table.map(|table| without_document(table)),
        endpoints: has_endpoints.then(|| routing.list()),
        suspects: newer_suspects(routing, message),
        control: view.control.clone(),
        gateways: other_gateways(core, message),
    }
}

fn newer_suspects(routing: &Routing, message: &WatchRoutes) -> Option<SuspectList> {
    // Programs that know no suspected requests name no version.
    let held = message.suspects_version?;
    routing.suspects().changes_since(held)
}

fn other_gateways(core: &Core, message: &WatchRoutes) -> Vec<Box<str>> {
    let draw = rand::random::<u32>() as usize;
    core.soft().watchers.others(&message.instance, draw)
}
