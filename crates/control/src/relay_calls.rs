//! Serves the downstream processes of a relay.

use std::sync::Arc;
use std::time::Duration;

use hinge_link::{ClusterKey, encode};
use hinge_schema::messages::{
    Announce, Announced, ClaimBatch, ClaimBatchReply, ServiceReport, ServiceTotals, StatusReply,
    Unavailable, Update, Watch,
};
use http::StatusCode;
use tokio::time::{Instant, timeout_at};
use viz::{IntoResponse, Request, Response, Router};

use crate::peer_calls::{CLAIMS_PATH, SUMS_PATH, WATCH_PATH};
use crate::relay::RelayCore;
use crate::route::{self, StateCell};

/// Timeout for control's reply to claims.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(6);

/// Time after which an operator may retry at another instance.
const RETRY_AFTER_MS: u64 = 500;

/// Adds the routes that a relay serves.
pub(crate) fn add(router: Router, key: &ClusterKey, core: &StateCell<RelayCore>) -> Router {
    let router = route::peer(router, WATCH_PATH, key, core, watch);
    let router = route::peer(router, "/v1/announce", key, core, announce);
    let router = route::peer(router, CLAIMS_PATH, key, core, claims);
    let router = route::peer(router, SUMS_PATH, key, core, sums);
    router.post("/v1/operator/:call", refuse_operator)
}

async fn announce(core: Arc<RelayCore>, message: Announce) -> Result<Announced, StatusCode> {
    let now = core.now();
    let mut downstream = core.downstream();
    let (lease, has_changes) = downstream.announce(now, message);
    if has_changes {
        core.has_changes.notify_one();
    }
    Ok(Announced {
        lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
        config_version: core.held.version(),
        members_version: downstream.roster.version(),
        fence: downstream.fence,
        drained: None,
    })
}

async fn claims(core: Arc<RelayCore>, message: ClaimBatch) -> Result<ClaimBatchReply, StatusCode> {
    core.call_control(CLAIMS_PATH, &message, CLAIM_TIMEOUT)
        .await
}

async fn sums(core: Arc<RelayCore>, message: ServiceReport) -> Result<ServiceTotals, StatusCode> {
    let now = core.now();
    let totals = core
        .downstream()
        .merge(now, &core.settings.instance, core.incarnation, &message);
    totals.ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

/// Answers with the changes since the requested versions, or waits for one; works without control, too.
async fn watch(core: Arc<RelayCore>, message: Watch) -> Result<Update, StatusCode> {
    let wait = Duration::from_millis(message.wait_ms).min(core.settings.watch_timeout);
    let deadline = Instant::now() + wait;
    let mut published = core.published.subscribe();
    core.downstream()
        .note_version(&message.instance, message.config_version);
    loop {
        published.borrow_and_update();
        let is_behind = core.held.version() > message.config_version;
        if is_behind && !core.client.wait_for_room(deadline).await {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let update = update(&core, &message);
        if update.config.is_some() || update.members.is_some() {
            return Ok(update);
        }
        if !matches!(timeout_at(deadline, published.changed()).await, Ok(Ok(()))) {
            return Ok(update);
        }
    }
}

fn update(core: &RelayCore, message: &Watch) -> Update {
    let members = core.downstream().roster.delta_since(
        message.members_epoch,
        message.members_version,
        &message.pools,
    );
    Update {
        config: core.held.delta_since(message.config_version),
        members,
    }
}

/// Rejects an operator call, since a relay can't know the current state; this reply type decodes for every call.
async fn refuse_operator(_: Request) -> viz::Result<Response> {
    let unavailable = StatusReply::Unavailable(Unavailable {
        leader: Box::default(),
        retry_after_ms: RETRY_AFTER_MS,
        detail: "this is a relay, and what it holds may be old; ask a control instance".into(),
    });
    Ok(match encode(&unavailable) {
        Ok(bytes) => bytes.into_response(),
        Err(_no_form) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    })
}
