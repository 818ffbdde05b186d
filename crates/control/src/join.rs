//! Asks the leader to make this instance a member of the log, until it is a voter.

use std::sync::Arc;
use std::time::Duration;

use hinge_schema::messages::{AskFounded, Founded, JoinControl, JoinedControl};
use hinge_telemetry::info;
use hinge_telemetry::log::Part;
use tokio::time::sleep;

use crate::core::{Core, Leadership};
use crate::open::founder_id;
use crate::peer_calls::{FOUNDED_PATH, JOIN_PATH};
use crate::peer_client::PeerClient;
use crate::settings::ControlSettings;

/// Time between join requests; a learner catches up within a few.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time between checks that the instance is still a voter.
const VOTER_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout of a join request.
const JOIN_TIMEOUT: Duration = Duration::from_secs(6);

/// Timeout for another instance's answer whether this one was a member before.
const FOUNDED_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns whether another instance knows this one's founding incarnation.
///
/// If so and the folder is empty, the data was lost. A founder that started afresh under its old ID could vote for a log
/// that lacks entries which it had acknowledged.
pub(crate) async fn was_member(settings: &ControlSettings, client: &PeerClient) -> bool {
    let ask = AskFounded {
        node_id: founder_id(&settings.cluster_id, &settings.instance),
    };
    let others = settings.peers.iter();
    let others = others.filter(|peer| peer.instance != settings.instance);
    let calls = others
        .map(|peer| client.call::<_, Founded>(&peer.address, FOUNDED_PATH, &ask, FOUNDED_TIMEOUT));
    let answers = futures::future::join_all(calls).await;
    let mut answers = answers.into_iter().flatten();
    answers.any(|answer| answer.is_known)
}

/// Keeps this instance a voter for as long as it runs.
///
/// An instance that was partitioned off may have been replaced as a voter, and has to join again.
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
    // After an instance lost its data, members that remember its former incarnation still send it messages; their
    // addresses lead it back to the fleet.
    let peer_addresses = core.driver.view.load().peer_addresses.clone();
    let addresses = known
        .into_iter()
        .chain(others.map(|peer| peer.address.clone()))
        .chain(peer_addresses);
    for address in addresses {
        let result = core
            .client
            .call(&address, JOIN_PATH, join, JOIN_TIMEOUT)
            .await;
        if let Ok(joined) = result {
            return Some(joined);
        }
    }
    None
}
