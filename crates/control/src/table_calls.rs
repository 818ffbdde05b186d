//! Puts route tables in force, and reads the one in force.
//!
//! A changed table is forwarded to the leader as a patch of the table in force, and a read asks the leader for the number
//! only, so that both cost bytes in proportion to what is new here.

use std::sync::Arc;
use std::time::Duration;

use hinge_link::ClusterKey;
use hinge_routing::{diff_tables, has_homes, is_patch_worthwhile, patch_table};
use hinge_schema::routing::{
    AskTable, AskTableNumber, CurrentTable, EvacuationList, PatchTable, PatchTableReply, PutTable,
    PutTableReply, RouteTable, TableNumber,
};
use hinge_state::{Command, Reply};
use hinge_telemetry::info;
use hinge_telemetry::log::Component;
use http::StatusCode;
use tokio::time::{Instant, timeout_at};
use viz::Router;

use crate::core::{Core, Leadership};
use crate::peer_calls::{add_leader_call, answer_or_forward};
use crate::route::StateCell;

const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

const PUT_TABLE: &str = "/routes/put";
const PATCH_TABLE: &str = "/routes/patch";
const ASK_TABLE: &str = "/routes/ask";
const ASK_TABLE_NUMBER: &str = "/routes/number";

/// Format of the log from which every member keeps the homes of routes and teams.
const MIN_HOMES_FORMAT: u32 = 1;

/// Format of the log from which every member knows patches of the route table, and asks for its number.
pub(crate) const MIN_PATCH_FORMAT: u32 = 2;

/// Longest wait until this instance has applied the table that the leader has in force.
const APPLY_WAIT: Duration = Duration::from_millis(300);

/// The route table in force, as a linearizable read.
#[derive(Debug)]
pub(crate) struct TableInForce {
    pub(crate) table: Option<Arc<RouteTable>>,
    /// The evacuations in force, if the leader's version knows any.
    pub(crate) evacuations: Option<EvacuationList>,
}

/// Adds the routes for peers.
pub(crate) fn add(router: Router, key: &ClusterKey, core: &StateCell<Core>) -> Router {
    let router = add_leader_call(router, PUT_TABLE, key, core, put, put_as_leader);
    let router = add_leader_call(router, PATCH_TABLE, key, core, patch, patch_as_leader);
    let router = add_leader_call(router, ASK_TABLE, key, core, ask, ask_as_leader);
    add_leader_call(
        router,
        ASK_TABLE_NUMBER,
        key,
        core,
        ask_number,
        ask_number_as_leader,
    )
}

async fn put(core: Arc<Core>, message: PutTable) -> Result<PutTableReply, StatusCode> {
    let number = put_table(core, message.table).await?;
    Ok(PutTableReply { number })
}

async fn patch(core: Arc<Core>, message: PatchTable) -> Result<PatchTableReply, StatusCode> {
    answer_or_forward(core, PATCH_TABLE, message, patch_as_leader).await
}

async fn ask(core: Arc<Core>, message: AskTable) -> Result<CurrentTable, StatusCode> {
    answer_or_forward(core, ASK_TABLE, message, ask_as_leader).await
}

async fn ask_number(core: Arc<Core>, message: AskTableNumber) -> Result<TableNumber, StatusCode> {
    answer_or_forward(core, ASK_TABLE_NUMBER, message, ask_number_as_leader).await
}

/// Puts a table in force unless a higher-numbered one is; returns the number in force once that is durable.
pub(crate) async fn put_table(core: Arc<Core>, table: RouteTable) -> Result<u64, StatusCode> {
    let leader = match core.leadership() {
        Leadership::Local(_) => {
            let reply = put_as_leader(core, PutTable { table }).await?;
            return Ok(reply.number);
        }
        Leadership::Remote(leader) => leader,
        Leadership::Unknown => return Err(UNAVAILABLE),
    };
    if let Some(number) = forward_patch(&core, &leader, &table).await? {
        return Ok(number);
    }
    let message = PutTable { table };
    let reply: PutTableReply = core
        .forward(&core.client, &leader, PUT_TABLE, &message)
        .await?;
    Ok(reply.number)
}

/// Forwards a table to the leader as a patch; returns `None` if it has to be sent whole.
async fn forward_patch(
    core: &Core,
    leader: &str,
    table: &RouteTable,
) -> Result<Option<u64>, StatusCode> {
    let deadline = Instant::now() + APPLY_WAIT;
    loop {
        let view = core.driver.view.load_full();
        let base = view.routing.table();
        let Some(base) = base.filter(|_| view.format >= MIN_PATCH_FORMAT) else {
            return Ok(None);
        };
        if table.number <= base.number {
            // What this instance has applied is committed, so the table changes nothing.
            return Ok(Some(base.number));
        }
        let patch = diff_tables(base, table);
        if !is_patch_worthwhile(&patch, table) {
            return Ok(None);
        }
        let reply: PatchTableReply = core
            .forward(&core.client, leader, PATCH_TABLE, &PatchTable { patch })
            .await?;
        if reply.number.is_some() {
            return Ok(reply.number);
        }
        // The leader has a newer table already, which this instance is about to apply.
        if !has_newer_table(core, base.number, deadline).await {
            return Ok(None);
        }
    }
}

/// Waits until this instance has applied a newer table than the one of a number; returns false at the deadline.
async fn has_newer_table(core: &Core, number: u64, deadline: Instant) -> bool {
    let mut published = core.published.subscribe();
    loop {
        published.borrow_and_update();
        if core.driver.view.load().routing.table_number() > number {
            return true;
        }
        if !matches!(timeout_at(deadline, published.changed()).await, Ok(Ok(()))) {
            return false;
        }
    }
}

async fn put_as_leader(core: Arc<Core>, message: PutTable) -> Result<PutTableReply, StatusCode> {
    let asked = message.table.number;
    if has_homes(&message.table) && core.driver.view.load().format < MIN_HOMES_FORMAT {
        info!(
            Component::Control,
            "Could not take a route table: an instance of an earlier version would drop its homes.",
            number = asked
        );
        return Err(UNAVAILABLE);
    }
    let command = Command::PutTable(Box::new(message.table));
    match core.propose(command).await {
        Ok(Reply::TableNumber(number)) if number >= asked => {
            info!(
                Component::Control,
                "Took a route table.",
                number = asked,
                in_force = number
            );
            Ok(PutTableReply { number })
        }
        Ok(_other) => Err(StatusCode::INTERNAL_SERVER_ERROR),
        Err(refused) => {
            info!(
                Component::Control,
                "Could not take a route table.",
                number = asked,
                cause = refused
            );
            Err(UNAVAILABLE)
        }
    }
}

async fn patch_as_leader(
    core: Arc<Core>,
    message: PatchTable,
) -> Result<PatchTableReply, StatusCode> {
    let view = core.driver.view.load_full();
    let patched = view
        .routing
        .table()
        .and_then(|base| patch_table(base, &message.patch).ok());
    drop(view);
    let Some(table) = patched else {
        return Ok(PatchTableReply { number: None });
    };
    let reply = put_as_leader(core, PutTable { table }).await?;
    Ok(PatchTableReply {
        number: Some(reply.number),
    })
}

async fn ask_as_leader(core: Arc<Core>, _message: AskTable) -> Result<CurrentTable, StatusCode> {
    let in_force = read_as_leader(&core).await?;
    Ok(CurrentTable {
        table: in_force.table.map(Arc::unwrap_or_clone),
        evacuations: in_force.evacuations,
    })
}

async fn ask_number_as_leader(
    core: Arc<Core>,
    _message: AskTableNumber,
) -> Result<TableNumber, StatusCode> {
    let read = core.read(|state, _status| TableNumber {
        number: state.routing().table_number(),
        evacuations: state.routing().evacuations().list(),
    });
    read.await.map_err(|_refused| UNAVAILABLE)
}

async fn read_as_leader(core: &Core) -> Result<TableInForce, StatusCode> {
    let read = core.read(|state, _status| {
        let routing = state.routing();
        TableInForce {
            table: routing.table().cloned(),
            evacuations: Some(routing.evacuations().list()),
        }
    });
    read.await.map_err(|_refused| UNAVAILABLE)
}

/// Returns the table in force and the evacuations, as a linearizable read.
pub(crate) async fn table_in_force(core: &Arc<Core>) -> Result<TableInForce, StatusCode> {
    let leader = match core.leadership() {
        Leadership::Local(_) => return read_as_leader(core).await,
        Leadership::Remote(leader) => leader,
        Leadership::Unknown => return Err(UNAVAILABLE),
    };
    if core.driver.view.load().format >= MIN_PATCH_FORMAT {
        let current: TableNumber = core
            .forward(&core.client, &leader, ASK_TABLE_NUMBER, &AskTableNumber {})
            .await?;
        if let Some(table) = applied_table(core, current.number).await {
            return Ok(TableInForce {
                table,
                evacuations: Some(current.evacuations),
            });
        }
    }
    let current: CurrentTable = core
        .forward(&core.client, &leader, ASK_TABLE, &AskTable {})
        .await?;
    Ok(TableInForce {
        table: current.table.map(Arc::new),
        evacuations: current.evacuations,
    })
}

/// Returns the table that this instance has applied, once it is at least as new as the one of a number.
async fn applied_table(core: &Core, number: u64) -> Option<Option<Arc<RouteTable>>> {
    let deadline = Instant::now() + APPLY_WAIT;
    let is_applied = number == 0 || has_newer_table(core, number - 1, deadline).await;
    is_applied.then(|| core.driver.view.load().routing.table().cloned())
}
