//! Checks that an instance whose log has stalled answers nothing as current.
//!
//! The log's thread writes to the disk, and a disk may hang for seconds. The thread then takes in nothing, neither changes nor
//! the lack of heartbeats, so a follower went on naming the leader that it knew and told its watchers that nothing was new. A
//! gateway that follows such an instance serves by an old table for as long as the disk hangs.

use std::sync::Arc;
use std::sync::mpsc::sync_channel;

use hinge_cases::async_cases;
use hinge_link::ClusterKey;
use hinge_raft::{Body, Message};
use tokio::runtime::Handle;
use tokio::sync::watch;

use super::super::{Driver, Input};
use crate::caller::{Caller, Direct};
use crate::core::{Core, Leadership};
use crate::open;
use crate::peers::{Batch, Peers, SenderInfo};
use crate::settings::{ControlSettings, Peer};

/// Looks at an instance, with a pause of 5 ms between two; an election timeout is 60 of them.
const MAX_POLLS: usize = 2_000;

const LEADER: &str = "control-b";

/// Opens a follower of three, with its log in memory.
fn follower() -> Arc<Core> {
    let mut settings = ControlSettings::new("control-a", "test", "127.0.0.1:0");
    settings.election_timeout = std::time::Duration::from_millis(300);
    settings.heartbeat = std::time::Duration::from_millis(50);
    settings.bootstrap = true;
    settings.peers = ["control-a", LEADER, "control-c"]
        .map(|name| Peer {
            instance: name.into(),
            address: name.into(),
        })
        .into();
    let caller = Caller::new(ClusterKey::derive(b"a key"), Arc::new(Direct));
    let opened = open::open(&settings, false).expect("the settings are right");
    let sender = SenderInfo {
        node_id: opened.node_id,
        address: "control-a".into(),
        diskless: settings.is_diskless(),
    };
    let peers = Peers::new(caller.clone(), Handle::current(), sender);
    let (published, _) = watch::channel(0);
    let driver = Driver::spawn(&settings, opened, peers, published.clone());
    let driver = driver.expect("the log is sound");
    let address = "control-a".into();
    let core = Core::new(
        settings,
        address,
        caller,
        Arc::new(Direct),
        driver,
        published,
    );
    Arc::new(core)
}

/// Lets the follower hear of the leader of a term so late that no earlier one counts.
fn deliver_heartbeat(core: &Core) {
    let from = open::founder_id("test", LEADER);
    let heartbeat = Message {
        cluster_id: hinge_state::keys::fnv1a(b"test"),
        from,
        to: open::founder_id("test", "control-a"),
        term: 1_000,
        body: Body::Append {
            prev_index: 0,
            prev_term: 0,
            entries: Vec::new(),
            commit: 0,
            round: 1,
        },
    };
    let batch = Batch {
        from,
        address: LEADER.into(),
        diskless: false,
        messages: vec![heartbeat],
    };
    assert!(core.driver.receive(batch), "the log takes messages");
}

/// Returns whether the instance comes to stand as asked.
async fn reaches(core: &Core, place: &Leadership) -> bool {
    for _ in 0..MAX_POLLS {
        if core.leadership() == *place {
            return true;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    false
}

async_cases! { real
    a_stalled_follower_answers_nothing_as_current => {
        let core = follower();
        let follows = Leadership::Remote(LEADER.into());
        deliver_heartbeat(&core);
        assert!(reaches(&core, &follows).await, "it has heard the leader");
        let (release, blocked) = sync_channel::<()>(0);
        let block: super::super::ReadCallback = Box::new(move |_| _ = blocked.recv());
        core.driver.send_input(Input::Read(block)).expect("the log runs");
        deliver_heartbeat(&core);
        assert!(reaches(&core, &Leadership::Unknown).await, "nothing has told it of the leader for an election timeout");
        drop(release);
        assert!(reaches(&core, &follows).await, "it goes on with what has arrived meanwhile");
        core.driver.stop();
    }
}
