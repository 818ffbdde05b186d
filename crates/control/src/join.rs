//! Asks the leader for this instance's place in the log, until it is a voter.

use std::sync::Arc;
use std::time::Duration;

use hinge_schema::messages::{AskFounded, Founded, JoinControl, JoinedControl};
use hinge_telemetry::info;
use hinge_telemetry::log::Part;
use tokio::time::sleep;

use crate::caller::Caller;
use crate::core::{Core, Leadership};
use crate::open::founder_id;
use crate::peer_calls::{FOUNDED_PATH, JOIN_PATH};
use crate::settings::ControlSettings;

/// Time between two questions; a learner catches up within a few.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two looks whether the instance still counts.
const VOTER_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Wait for an answer.
const JOIN_TIMEOUT: Duration = Duration::from_secs(6);

/// Wait for another instance's word on whether this one took part.
const FOUNDED_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns whether another instance knows this one's founding incarnation.
///
/// If so and the folder is empty, then the folder was lost. A founder that started afresh under its old number could vote
/// for a log without the entries that it had confirmed.
pub(crate) async fn was_member(settings: &ControlSettings, caller: &Caller) -> bool {
    let ask = AskFounded {
        node_id: founder_id(&settings.cluster_id, &settings.instance),
    };
    let others = settings.peers.iter();
    let others = others.filter(|peer| peer.instance != settings.instance);
    let asked = others
        .map(|peer| caller.call::<_, Founded>(&peer.address, FOUNDED_PATH, &ask, FOUNDED_TIMEOUT));
    let answers = futures::future::join_all(asked).await;
    let mut answers = answers.into_iter().flatten();
    answers.any(|answer| answer.is_known)
}

/// Sees to it that the instance counts for a quorum, for as long as it runs.
///
/// One that was cut off may have lost its place to another, and has to ask for one again.
pub(crate) async fn run(core: Arc<Core>) {
    let join = JoinControl {
        instance: core.settings.instance.clone(),
        node_id: core.driver.node_status.borrow().node_id,
        address: core.address.clone(),
        diskless: core.settings.is_diskless().then_some(true),
    };
    let mut is_voter = false;
    loop {
        if let Some(joined) = request_join(&core, &join).await
            && joined.voter != is_voter
        {
            is_voter = joined.voter;
            let state = if is_voter {
                "Counting for the quorum."
            } else {
                "Not counting for the quorum any more."
            };
            info!(Part::Control, state, node = join.node_id);
        }
        let is_follower = core.settings.is_diskless() && core.leadership() != Leadership::Unknown;
        let is_settled = is_voter || is_follower;
        sleep(if is_settled {
            VOTER_CHECK_INTERVAL
        } else {
            JOIN_RETRY_INTERVAL
        })
        .await;
    }
}

async fn request_join(core: &Core, join: &JoinControl) -> Option<JoinedControl> {
    if let Leadership::Local(_) = core.leadership() {
        return core.join(join.clone()).await.ok();
    }
    let known = match core.leadership() {
        Leadership::Remote(address) => Some(address),
        Leadership::Local(_) | Leadership::Unknown => None,
    };
    let peers = core.settings.peers.iter();
    let others = peers.filter(|peer| peer.instance != core.settings.instance);
    // An instance that lost what it knew still gets messages for its former incarnation from those that remember it.
    let peer_addresses = core.driver.view.load().peer_addresses.clone();
    let addresses = known
        .into_iter()
        .chain(others.map(|peer| peer.address.clone()))
        .chain(peer_addresses);
    for address in addresses {
        let asked = core
            .caller
            .call(&address, JOIN_PATH, join, JOIN_TIMEOUT)
            .await;
        if let Ok(joined) = asked {
            return Some(joined);
        }
    }
    None
}
