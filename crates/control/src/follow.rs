//! Follows the leader's member list, so that this instance can start from it when it becomes the leader.

use std::sync::Arc;
use std::time::Duration;

use hinge_schema::messages::{Update, Watch};
use tokio::time::sleep;

use crate::core::{Core, Leadership};
use crate::peer_calls::WATCH_PATH;

/// Longest duration of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time allowed for a call on top of the duration of its watch.
const CALL_MARGIN: Duration = Duration::from_secs(2);

/// Delay after a failed watch; an election takes longer.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Runs until the task is aborted.
pub(crate) async fn run(core: Arc<Core>) {
    let mut node_status = core.driver.node_status.clone();
    let mut needs_full = false;
    loop {
        let Leadership::Remote(leader) = core.leadership() else {
            // The channel closes when the instance has stopped.
            if node_status.changed().await.is_err() {
                return;
            }
            continue;
        };
        let watch = watch_request(&core, needs_full);
        let result = core
            .client
            .call::<_, Update>(&leader, WATCH_PATH, &watch, WATCH_WAIT + CALL_MARGIN)
            .await;
        match result {
            Ok(update) => needs_full = apply_update(&core, &update),
            Err(_no_answer) => sleep(RETRY_DELAY).await,
        }
    }
}

fn watch_request(core: &Core, needs_full: bool) -> Watch {
    let soft = core.soft();
    let roster = &soft.followed;
    Watch {
        instance: core.settings.instance.clone(),
        // The configuration arrives through the log.
        config_version: u64::MAX,
        members_epoch: roster.epoch(),
        members_version: if needs_full { 0 } else { roster.version() },
        wait_ms: u64::try_from(WATCH_WAIT.as_millis()).unwrap_or(u64::MAX),
        pools: Vec::new(),
    }
}

fn apply_update(core: &Core, update: &Update) -> bool {
    let Some(delta) = &update.members else {
        return false;
    };
    let needs_full = {
        let mut soft = core.soft();
        soft.members.is_none() && soft.adopt(delta)
    };
    core.publish();
    needs_full
}
