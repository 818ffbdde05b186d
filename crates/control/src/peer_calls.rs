//! Serves the calls of the fleet's other processes.

use std::sync::Arc;
use std::time::Duration;

use hinge_link::ClusterKey;
use hinge_schema::messages::{
    Announce, AnnounceBatch, Announced, AnnouncedBatch, AskFounded, ClaimBatch, ClaimBatchReply,
    Founded, JoinControl, JoinedControl, ServiceReport, ServiceTotals, Update, Watch,
};
use hinge_state::{Command, Members, Reply};
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};
use viz::Router;

use crate::core::{Core, FORWARDED_PREFIX, Leadership, unix_now_ms};
use crate::peers::{Batch, BatchAccepted, RAFT_PATH};
use crate::route::{self, StateCell};

const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

const ANNOUNCE: &str = "/announce";
const ANNOUNCES: &str = "/announces";
const CLAIMS: &str = "/claims";
const SUMS: &str = "/sums";
const JOIN: &str = "/join";

/// Path of a watch of configuration and members.
pub(crate) const WATCH_PATH: &str = "/v1/watch";

/// Path of a relay's batch of announcements.
pub(crate) const ANNOUNCES_PATH: &str = "/v1/announces";

/// Path of claims of idempotency keys.
pub(crate) const CLAIMS_PATH: &str = "/v1/claims";

/// Path of reports of service sums.
pub(crate) const SUMS_PATH: &str = "/v1/sums";

/// Path on which a control instance asks to join.
pub(crate) const JOIN_PATH: &str = "/v1/join";

/// Path on which an instance with an empty folder asks whether it was a member before.
pub(crate) const FOUNDED_PATH: &str = "/v1/founded";

/// Adds the routes for peers.
pub(crate) fn add(router: Router, key: &ClusterKey, core: &StateCell<Core>) -> Router {
    let router = route::peer(router, RAFT_PATH, key, core, raft);
    let router = route::peer(router, WATCH_PATH, key, core, watch);
    let router = route::peer(router, FOUNDED_PATH, key, core, founded);
    let router = add_leader_call(router, ANNOUNCE, key, core, announce, announce_as_leader);
    let router = add_leader_call(router, ANNOUNCES, key, core, announces, announces_as_leader);
    let router = add_leader_call(router, CLAIMS, key, core, claims, claims_as_leader);
    let router = add_leader_call(router, SUMS, key, core, sums, sums_as_leader);
    add_leader_call(router, JOIN, key, core, join, join_as_leader)
}

/// Adds a call under its public path and under the path of forwarded calls, which only the leader answers.
pub(crate) fn add_leader_call<Q, A, F, R, G, T>(
    router: Router,
    path: &str,
    key: &ClusterKey,
    core: &StateCell<Core>,
    first: F,
    forwarded: G,
) -> Router
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    F: Fn(Arc<Core>, Q) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Result<A, StatusCode>> + Send + 'static,
    G: Fn(Arc<Core>, Q) -> T + Copy + Send + Sync + 'static,
    T: Future<Output = Result<A, StatusCode>> + Send + 'static,
{
    let router = route::peer(router, &format!("/v1{path}"), key, core, first);
    route::peer(
        router,
        &format!("{FORWARDED_PREFIX}{path}"),
        key,
        core,
        forwarded,
    )
}

/// Answers a call if this instance leads, or forwards it to the leader in one hop.
pub(crate) async fn answer_or_forward<Q, A, R>(
    core: Arc<Core>,
    path: &str,
    message: Q,
    handler: impl FnOnce(Arc<Core>, Q) -> R,
) -> Result<A, StatusCode>
where
    Q: Serialize,
    A: DeserializeOwned,
    R: Future<Output = Result<A, StatusCode>>,
{
    match core.leadership() {
        Leadership::Local(_) => handler(core, message).await,
        Leadership::Remote(address) => core.forward(&core.client, &address, path, &message).await,
        Leadership::Unknown => Err(UNAVAILABLE),
    }
}

async fn raft(core: Arc<Core>, batch: Batch) -> Result<BatchAccepted, StatusCode> {
    if core.driver.receive(batch) {
        Ok(BatchAccepted {})
    } else {
        Err(UNAVAILABLE)
    }
}

async fn announce(core: Arc<Core>, message: Announce) -> Result<Announced, StatusCode> {
    answer_or_forward(core, ANNOUNCE, message, announce_as_leader).await
}

async fn announce_as_leader(core: Arc<Core>, message: Announce) -> Result<Announced, StatusCode> {
    let Leadership::Local(term) = core.leadership() else {
        return Err(UNAVAILABLE);
    };
    let lease = accept_announcement(&core, term, &message)?;
    let is_drained = |members: &Members| members.is_drained(&message.instance);
    let drained = core.soft().members.as_ref().map(is_drained);
    Ok(Announced {
        drained,
        ..announced(&core, lease)
    })
}

fn accept_announcement(
    core: &Arc<Core>,
    term: u64,
    message: &Announce,
) -> Result<Duration, StatusCode> {
    let now = core.now();
    let mut soft = core.soft();
    let soft = &mut *soft;
    let members = soft.members.as_mut().filter(|_| soft.term == term);
    let granted = members
        .ok_or(UNAVAILABLE)?
        .announce(now, message, &mut soft.rng);
    if granted.replaces_sidecar {
        let command = Command::HolderLost {
            sidecar: message.instance.clone(),
            incarnation: message.incarnation,
            now_ms: unix_now_ms(),
        };
        // If the command is lost, the claims remain marked as running, which may reject more requests but never runs one
        // twice.
        let core = Arc::clone(core);
        tokio::spawn(async move { core.propose(command).await });
    }
    Ok(granted.lease)
}

fn announced(core: &Core, lease: Duration) -> Announced {
    let view = core.driver.view.load();
    Announced {
        lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
        config_version: view.folder.version(),
        members_version: core.soft().members_version(),
        fence: view.lowest_fence,
        drained: None,
    }
}

async fn announces(core: Arc<Core>, message: AnnounceBatch) -> Result<AnnouncedBatch, StatusCode> {
    answer_or_forward(core, ANNOUNCES, message, announces_as_leader).await
}

async fn announces_as_leader(
    core: Arc<Core>,
    message: AnnounceBatch,
) -> Result<AnnouncedBatch, StatusCode> {
    let Leadership::Local(term) = core.leadership() else {
        return Err(UNAVAILABLE);
    };
    let mut lease = core.settings.member_rules.longest_lease;
    for announce in &message.announced {
        lease = lease.min(accept_announcement(&core, term, announce)?);
    }
    let now = core.now();
    let unknown = {
        let mut soft = core.soft();
        let members = soft.members.as_mut().ok_or(UNAVAILABLE)?;
        for announce in &message.announced {
            members.record_relayed(&announce.instance);
        }
        let renewed = message.renewed.iter();
        let unknown = renewed.filter(|renewal| !members.renew(now, renewal));
        unknown.map(|renewal| renewal.instance.clone()).collect()
    };
    Ok(AnnouncedBatch {
        announced: announced(&core, lease),
        members_epoch: term,
        unknown,
    })
}

async fn claims(core: Arc<Core>, message: ClaimBatch) -> Result<ClaimBatchReply, StatusCode> {
    answer_or_forward(core, CLAIMS, message, claims_as_leader).await
}

async fn claims_as_leader(
    core: Arc<Core>,
    message: ClaimBatch,
) -> Result<ClaimBatchReply, StatusCode> {
    let command = Command::ClaimKeys {
        claims: message.claims,
        finished: message.finished,
        now_ms: unix_now_ms(),
    };
    match core.propose(command).await {
        Ok(Reply::Claims(replies)) => Ok(replies),
        Ok(_other) => Err(StatusCode::INTERNAL_SERVER_ERROR),
        Err(_refused) => Err(UNAVAILABLE),
    }
}

async fn sums(core: Arc<Core>, message: ServiceReport) -> Result<ServiceTotals, StatusCode> {
    answer_or_forward(core, SUMS, message, sums_as_leader).await
}

async fn sums_as_leader(
    core: Arc<Core>,
    message: ServiceReport,
) -> Result<ServiceTotals, StatusCode> {
    let Leadership::Local(term) = core.leadership() else {
        return Err(UNAVAILABLE);
    };
    let now = core.now();
    let mut soft = core.soft();
    if soft.term != term {
        return Err(UNAVAILABLE);
    }
    soft.merge(now, &message).ok_or(UNAVAILABLE)
}

async fn join(core: Arc<Core>, message: JoinControl) -> Result<JoinedControl, StatusCode> {
    answer_or_forward(core, JOIN, message, join_as_leader).await
}

async fn join_as_leader(
    core: Arc<Core>,
    message: JoinControl,
) -> Result<JoinedControl, StatusCode> {
    core.join(message).await.map_err(|_refused| UNAVAILABLE)
}

/// Answers from the state applied on this instance, which may be stale: `true` is reliable, `false` is not.
async fn founded(core: Arc<Core>, message: AskFounded) -> Result<Founded, StatusCode> {
    let is_known = core
        .driver
        .view
        .load()
        .known_incarnations
        .contains(&message.node_id);
    Ok(Founded { is_known })
}

/// Answers with the changes since the requested versions, or waits for one.
///
/// An instance that knows no leader answers 503, so that the caller tries another one.
async fn watch(core: Arc<Core>, message: Watch) -> Result<Update, StatusCode> {
    let wait = Duration::from_millis(message.wait_ms).min(core.settings.watch_timeout);
    let deadline = Instant::now() + wait;
    let mut published = core.published.subscribe();
    note_version(&core, &message);
    loop {
        published.borrow_and_update();
        if core.leadership() == Leadership::Unknown {
            return Err(UNAVAILABLE);
        }
        let is_behind = core.driver.view.load().folder.version() > message.config_version;
        if is_behind && !core.client.wait_for_room(deadline).await {
            return Err(UNAVAILABLE);
        }
        let update = update(&core, &message);
        if update.config.is_some() || update.members.is_some() {
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

fn note_version(core: &Core, message: &Watch) {
    let mut soft = core.soft();
    if let Some(members) = &mut soft.members {
        let version = core.driver.view.load().folder.version();
        members.record_version(&message.instance, message.config_version.min(version));
    }
}

fn update(core: &Core, message: &Watch) -> Update {
    let view = core.driver.view.load();
    Update {
        config: view.folder.delta_since(message.config_version),
        members: core.soft().members_since(message),
    }
}
