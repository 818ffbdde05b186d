//! Asks the leader for this instance's place in the log, until it is a voter.

use std::sync::Arc;
use std::time::Duration;

use hinge_schema::messages::{AskFounded, Founded, JoinControl, JoinedControl};
use hinge_telemetry::info;
use hinge_telemetry::log::Part;
use tokio::time::sleep;

use crate::caller::Caller;
use crate::core::{Core, Place};
use crate::open::founder_id;
use crate::peer_calls::{FOUNDED_PATH, JOIN_PATH};
use crate::settings::ControlSettings;

/// Time between two questions; a learner catches up within a few.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// Time between two looks whether the instance still counts.
const LOOK_AGAIN: Duration = Duration::from_secs(2);

/// Wait for an answer.
const WAIT: Duration = Duration::from_secs(6);

/// Wait for another instance's word on whether this one took part.
const FOUNDED_WAIT: Duration = Duration::from_secs(1);

/// Returns whether another instance knows this one's founding incarnation.
///
/// If so and the folder is empty, then the folder was lost. A founder that started afresh under its old number could vote
/// for a log without the entries that it had confirmed.
pub(crate) async fn took_part(settings: &ControlSettings, caller: &Caller) -> bool {
    let ask = AskFounded {
        node_id: founder_id(&settings.cluster_id, &settings.instance),
    };
    let others = settings.peers.iter();
    let others = others.filter(|peer| peer.instance != settings.instance);
    let asked = others
        .map(|peer| caller.call::<_, Founded>(&peer.address, FOUNDED_PATH, &ask, FOUNDED_WAIT));
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
        node_id: core.driver.standing.borrow().node_id,
        address: core.address.clone(),
        diskless: core.settings.is_diskless().then_some(true),
    };
    let mut counts = false;
    loop {
        if let Some(joined) = ask(&core, &join).await
            && joined.voter != counts
        {
            counts = joined.voter;
            let state = if counts {
                "Counting for the quorum."
            } else {
                "Not counting for the quorum any more."
            };
            info!(Part::Control, state, node = join.node_id);
        }
        let follows = core.settings.is_diskless() && core.place() != Place::Nowhere;
        let has_its_place = counts || follows;
        sleep(if has_its_place { LOOK_AGAIN } else { ASK_AGAIN }).await;
    }
}

async fn ask(core: &Core, join: &JoinControl) -> Option<JoinedControl> {
    if let Place::Here(_) = core.place() {
        return core.join(join.clone()).await.ok();
    }
    let known = match core.place() {
        Place::There(address) => Some(address),
        Place::Here(_) | Place::Nowhere => None,
    };
    let peers = core.settings.peers.iter();
    let others = peers.filter(|peer| peer.instance != core.settings.instance);
    // An instance that lost what it knew still gets messages for its former incarnation from those that remember it.
    let met = core.driver.view.load().met.clone();
    let addresses = known
        .into_iter()
        .chain(others.map(|peer| peer.address.clone()))
        .chain(met);
    for address in addresses {
        let asked = core.caller.call(&address, JOIN_PATH, join, WAIT).await;
        if let Ok(joined) = asked {
            return Some(joined);
        }
    }
    None
}
