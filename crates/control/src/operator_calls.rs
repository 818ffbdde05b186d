//! Serves operator calls.

use std::sync::Arc;
use std::time::Duration;

use hinge_raft::Role;
use hinge_schema::messages::{
    Apply, ApplyReply, AskFolder, AskHistory, AskOrders, AskStatus, AskUpgrades, ConfigProblem,
    ControlInstance, Drain, DrainReply, Drains, EvacuationsReply, Folder, FolderReply, History,
    HistoryReply, Invalid, Orders, OrdersReply, PlaceOrder, RemoveControl, RemoveControlReply,
    Status, StatusReply, SuspectsReply, Unavailable, UpgradesReply,
};
use hinge_state::{ChangeCommand, Checked, Command, DrainCommand, OrderCommand, Reply, State};
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};
use viz::Router;

use crate::core::{Core, FORWARDED_PREFIX, Leadership, unix_now_ms};
use crate::driver::LogError;
use crate::operators::{Operator, OperatorKeys};
use crate::peer_client::PeerClient;
use crate::route::{self, StateCell};
use crate::{evacuation_calls, suspect_calls};

/// Longest ID, name or note from an operator, in bytes; they are kept in the log and in memory.
const MAX_TEXT_BYTES: usize = 1024;

/// Maximum number of entries in one reply.
const MAX_LISTED: u32 = 1000;

/// Longest wait of a status call, so that an abandoned client doesn't keep an exchange open.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Interval for polling which members lack a version.
const LACKING_POLL_INTERVAL: Duration = Duration::from_millis(100);

macro_rules! operator_call {
    ($router:ident, $keys:ident, $core:ident, $path:literal, $unavailable:path, $handler:path) => {{
        let router = route::operator(
            $router,
            concat!("/v1/operator/", $path),
            $keys,
            $core,
            |core, operator, message| {
                answer_or_forward(
                    core,
                    operator,
                    concat!("/operator/", $path),
                    message,
                    $unavailable,
                    $handler,
                )
            },
        );
        route::operator(
            router,
            &format!("{FORWARDED_PREFIX}/operator/{}", $path),
            $keys,
            $core,
            |core, operator, message| {
                answer_as_leader(core, operator, message, $unavailable, $handler)
            },
        )
    }};
}

/// Adds the routes for operators.
pub(crate) fn add(router: Router, keys: &Arc<OperatorKeys>, core: &StateCell<Core>) -> Router {
    let router = operator_call!(router, keys, core, "apply", ApplyReply::Unavailable, apply);
    let router = operator_call!(
        router,
        keys,
        core,
        "status",
        StatusReply::Unavailable,
        status
    );
    let router = operator_call!(
        router,
        keys,
        core,
        "history",
        HistoryReply::Unavailable,
        history
    );
    let router = operator_call!(
        router,
        keys,
        core,
        "folder",
        FolderReply::Unavailable,
        folder
    );
    let router = operator_call!(router, keys, core, "drain", DrainReply::Unavailable, drain);
    let router = operator_call!(router, keys, core, "order", OrdersReply::Unavailable, order);
    let router = operator_call!(
        router,
        keys,
        core,
        "orders",
        OrdersReply::Unavailable,
        orders
    );
    let router = operator_call!(
        router,
        keys,
        core,
        "upgrades",
        UpgradesReply::Unavailable,
        upgrades
    );
    let router = operator_call!(
        router,
        keys,
        core,
        "suspects",
        SuspectsReply::Unavailable,
        suspect_calls::answer_operator
    );
    let router = operator_call!(
        router,
        keys,
        core,
        "evacuations",
        EvacuationsReply::Unavailable,
        evacuation_calls::answer_operator
    );
    operator_call!(
        router,
        keys,
        core,
        "remove-control",
        RemoveControlReply::Unavailable,
        remove_control
    )
}

/// Answers an operator if this instance leads, or forwards the call with the operator's own key in one hop.
async fn answer_or_forward<Q, A, F, R>(
    core: Arc<Core>,
    operator: Operator,
    path: &'static str,
    message: Q,
    unavailable: fn(Unavailable) -> A,
    handler: F,
) -> Result<A, StatusCode>
where
    Q: Serialize,
    A: DeserializeOwned,
    F: FnOnce(Arc<Core>, Operator, Q) -> R,
    R: Future<Output = Result<A, LogError>>,
{
    let Leadership::Remote(address) = core.leadership() else {
        return answer_as_leader(core, operator, message, unavailable, handler).await;
    };
    let client = PeerClient::new(operator.key, Arc::clone(&core.dial));
    let answer = core.forward(&client, &address, path, &message).await;
    Ok(answer.unwrap_or_else(|_status| {
        unavailable(core.unavailable("the leader gave no answer; ask again with the same number"))
    }))
}

async fn answer_as_leader<Q, A, F, R>(
    core: Arc<Core>,
    operator: Operator,
    message: Q,
    unavailable: fn(Unavailable) -> A,
    handler: F,
) -> Result<A, StatusCode>
where
    F: FnOnce(Arc<Core>, Operator, Q) -> R,
    R: Future<Output = Result<A, LogError>>,
{
    if !matches!(core.leadership(), Leadership::Local(_)) {
        let detail =
            "this instance knows no leader that a quorum confirms, so nothing it holds is current";
        return Ok(unavailable(core.unavailable(detail)));
    }
    let answer = handler(Arc::clone(&core), operator, message).await;
    Ok(answer.unwrap_or_else(|refused| unavailable(core.unavailable(&refused.to_string()))))
}

async fn apply(core: Arc<Core>, operator: Operator, apply: Apply) -> Result<ApplyReply, LogError> {
    if let Some(invalid) = check_texts(&[("change_id", &apply.change_id), ("note", &apply.note)]) {
        return Ok(ApplyReply::Invalid(invalid));
    }
    let checked = check(&core, &apply).await?;
    let command = Command::ApplyChange(ChangeCommand {
        change_id: apply.change_id,
        operator: operator.name,
        base_version: apply.base_version,
        note: apply.note,
        put: apply.put,
        removed: apply.removed,
        accepted_at_ms: unix_now_ms(),
        checked,
    });
    match core.propose(command).await {
        Ok(Reply::Change(reply)) => Ok(reply),
        Ok(_other) => Err(LogError::OutcomeUnknown),
        Err(LogError::TooLarge) => Ok(ApplyReply::Invalid(problem(
            "",
            "the change is longer than 4 MiB; split it",
        ))),
        Err(refused) => Err(refused),
    }
}

/// Validates the resulting folder, off the log's thread and the async threads.
///
/// A change that isn't based on the version in force is rejected as a conflict, so it needs no validation.
async fn check(core: &Core, apply: &Apply) -> Result<Option<Checked>, LogError> {
    let folder = core
        .read(|state, _| state.changes().folder().clone())
        .await?;
    if folder.version() != apply.base_version {
        return Ok(None);
    }
    let files = folder.after(&apply.put, &apply.removed);
    let checked = tokio::task::spawn_blocking(move || Checked::of(&files)).await;
    Ok(checked.ok())
}

fn check_texts(texts: &[(&str, &str)]) -> Option<Invalid> {
    let (key, _) = texts.iter().find(|(key, text)| {
        text.len() > MAX_TEXT_BYTES || (*key == "change_id" && text.is_empty())
    })?;
    let message = format!("allowed are 1 to {MAX_TEXT_BYTES} bytes");
    Some(problem(key, &message))
}

fn problem(key: &str, message: &str) -> Invalid {
    Invalid {
        problems: vec![ConfigProblem {
            file: Box::default(),
            line: 0,
            key: key.into(),
            message: message.into(),
        }],
    }
}

async fn status(core: Arc<Core>, _: Operator, ask: AskStatus) -> Result<StatusReply, LogError> {
    let wait = Duration::from_millis(ask.wait_ms).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    while is_lacking(&core, ask.wait_version) && Instant::now() < deadline {
        sleep(LACKING_POLL_INTERVAL).await;
    }
    let mut status = core.read(log_status).await?;
    add_members(&core, &mut status)?;
    let own = &core.settings.instance;
    for instance in status.control.iter_mut().filter(|instance| instance.leader) {
        instance.instance = own.clone();
    }
    Ok(StatusReply::Status(status))
}

fn add_members(core: &Core, status: &mut Status) -> Result<(), LogError> {
    let soft = core.soft();
    let members = soft.members.as_ref().ok_or(LogError::NotLeader)?;
    status.members = members.live().cloned().collect();
    status.lacking = members
        .with_older_config(status.config_version)
        .cloned()
        .collect();
    Ok(())
}

fn is_lacking(core: &Core, version: u64) -> bool {
    let soft = core.soft();
    let members = soft.members.as_ref();
    members.is_some_and(|members| members.with_older_config(version).next().is_some())
}

/// Returns the part of the status that comes from the log.
fn log_status(state: &State, status: &hinge_raft::Status) -> Status {
    let membership = &status.membership;
    let ids = membership.voters.iter().chain(&membership.learners);
    let control = ids.map(|id| {
        let peer = status.peers.iter().find(|peer| peer.id == *id);
        let is_self = *id == status.id;
        let name = state.control().get(id);
        ControlInstance {
            instance: name.map(|name| name.instance.clone()).unwrap_or_default(),
            node_id: *id,
            voter: membership.is_voter(*id),
            leader: is_self && status.role == Role::Leader,
            matched_index: peer.map_or(status.durable_index, |peer| peer.match_index),
            // The Raft node tracks only whether a peer answered within the election timeout.
            last_contact_ms: if is_self || peer.is_some_and(|peer| peer.reachable) {
                0
            } else {
                u64::MAX
            },
        }
    });
    Status {
        config_version: state.changes().folder().version(),
        term: status.term,
        commit_index: status.commit,
        members: Vec::new(),
        control: control.collect(),
        lacking: Vec::new(),
        drains: state.drains(),
    }
}

async fn history(core: Arc<Core>, _: Operator, ask: AskHistory) -> Result<HistoryReply, LogError> {
    let limit = limit(ask.limit);
    let entries = core
        .read(move |state, _| state.changes().history(ask.before_version, limit))
        .await?;
    Ok(HistoryReply::History(History { entries }))
}

async fn folder(core: Arc<Core>, _: Operator, ask: AskFolder) -> Result<FolderReply, LogError> {
    let folder = core
        .read(move |state, _| {
            let folder = state.changes().folder();
            Folder {
                config_version: folder.version(),
                delta: folder.delta_since(ask.config_version),
            }
        })
        .await?;
    Ok(FolderReply::Folder(folder))
}

async fn drain(core: Arc<Core>, operator: Operator, drain: Drain) -> Result<DrainReply, LogError> {
    let texts = [("instance", &*drain.instance), ("note", &*drain.note)];
    if check_texts(&texts).is_some() {
        return Err(LogError::TooLarge);
    }
    let command = Command::Drain(DrainCommand {
        instance: drain.instance,
        draining: drain.draining,
        operator: operator.name,
        note: drain.note,
        deadline_ms: drain.deadline_ms,
        now_ms: unix_now_ms(),
    });
    match core.propose(command).await? {
        Reply::Drains(drains) => Ok(DrainReply::Drains(Drains { drains })),
        _other => Err(LogError::OutcomeUnknown),
    }
}

async fn order(
    core: Arc<Core>,
    operator: Operator,
    order: PlaceOrder,
) -> Result<OrdersReply, LogError> {
    let texts = [
        ("change_id", &*order.change_id),
        ("instance", &*order.instance),
        ("subject", &*order.subject),
        ("version", &*order.version),
    ];
    if check_texts(&texts).is_some() {
        return Err(LogError::TooLarge);
    }
    let command = Command::PlaceOrder(OrderCommand {
        change_id: order.change_id,
        instance: order.instance,
        operator: operator.name,
        kind: order.kind,
        subject: order.subject,
        version: order.version,
        now_ms: unix_now_ms(),
    });
    match core.propose(command).await? {
        Reply::Order(order) => Ok(OrdersReply::Orders(Orders {
            orders: vec![order],
        })),
        _other => Err(LogError::OutcomeUnknown),
    }
}

async fn orders(core: Arc<Core>, _: Operator, ask: AskOrders) -> Result<OrdersReply, LogError> {
    let limit = limit(ask.limit);
    let orders = core
        .read(move |state, _| state.orders().list(&ask.instance, limit))
        .await?;
    Ok(OrdersReply::Orders(Orders { orders }))
}

async fn upgrades(
    core: Arc<Core>,
    _: Operator,
    ask: AskUpgrades,
) -> Result<UpgradesReply, LogError> {
    let upgrades = core.planner.report(&core, &ask).await?;
    Ok(UpgradesReply::Upgrades(upgrades))
}

async fn remove_control(
    core: Arc<Core>,
    _: Operator,
    remove: RemoveControl,
) -> Result<RemoveControlReply, LogError> {
    let removed = core.driver.remove(remove.instance).await?;
    Ok(RemoveControlReply::Removed(removed))
}

fn limit(asked: u32) -> usize {
    usize::try_from(asked.min(MAX_LISTED)).unwrap_or_default()
}
