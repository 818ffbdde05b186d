//! Tests that an instance whose log has stalled answers nothing as current.
//!
//! The log's thread writes to the disk, which may hang for seconds. Meanwhile the thread handles no input and notices no
//! missing heartbeat, so a follower kept naming its last known leader and told its watchers that nothing was new.
//! Gateways that follow such an instance would route by a stale table for as long as the disk hangs.

use std::sync::Arc;
use std::sync::mpsc::sync_channel;

use bytes::Bytes;
use hinge_cases::async_cases;
use hinge_link::ClusterKey;
use hinge_raft::{Body, Entry, EntryKind, Message};
use tokio::runtime::Handle;
use tokio::sync::watch;

use super::super::{Driver, Input, MAX_QUEUED_BATCH_BYTES};
use crate::core::{Core, Leadership};
use crate::open;
use crate::peer_client::{Direct, PeerClient};
use crate::peers::{Batch, Peers, SenderInfo};
use crate::settings::{ControlSettings, Peer};

/// Maximum number of polls of an instance, 5 ms apart; an election timeout is 60 of them.
const MAX_POLLS: usize = 2_000;

const LEADER: &str = "control-b";

/// Opens one of three control instances, with its log in memory.
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
    let client = PeerClient::new(ClusterKey::derive(b"a key"), Arc::new(Direct));
    let opened = open::open(&settings, false).expect("the settings are valid");
    let sender = SenderInfo {
        node_id: opened.node_id,
        address: "control-a".into(),
        diskless: settings.is_diskless(),
    };
    let peers = Peers::new(client.clone(), Handle::current(), sender);
    let (published, _) = watch::channel(0);
    let driver = Driver::spawn(&settings, opened, peers, published.clone());
    let driver = driver.expect("the log is valid");
    let address = "control-a".into();
    let core = Core::new(
        settings,
        address,
        client,
        Arc::new(Direct),
        driver,
        published,
    );
    Arc::new(core)
}

/// Delivers a heartbeat from the leader.
fn deliver_heartbeat(core: &Core) {
    assert!(deliver_append(core, Vec::new()), "the log accepts messages");
}

/// Delivers entries from the leader, in a term so high that it outranks any earlier one; returns whether they are queued.
fn deliver_append(core: &Core, entries: Vec<Entry>) -> bool {
    let from = open::founder_id("test", LEADER);
    let heartbeat = Message {
        cluster_id: hinge_state::keys::fnv1a(b"test"),
        from,
        to: open::founder_id("test", "control-a"),
        term: 1_000,
        body: Body::Append {
            prev_index: 0,
            prev_term: 0,
            entries,
            commit: 0,
            round: 1,
        },
    };
    let batch = Batch {
        from,
        address: LEADER.into(),
        diskless: false,
        format: 0,
        messages: vec![heartbeat],
    };
    core.driver.receive(batch)
}

/// Returns whether the instance reaches the given view of the leadership in time.
async fn reaches(core: &Core, expected: &Leadership) -> bool {
    for _ in 0..MAX_POLLS {
        if core.leadership() == *expected {
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
        assert!(reaches(&core, &follows).await, "the follower knows the leader");
        let (release, blocked) = sync_channel::<()>(0);
        let block: super::super::ReadCallback = Box::new(move |_| _ = blocked.recv());
        core.driver.send_input(Input::Read(block)).expect("the log runs");
        deliver_heartbeat(&core);
        assert!(reaches(&core, &Leadership::Unknown).await, "it has heard nothing of the leader for longer than the election timeout");
        drop(release);
        assert!(reaches(&core, &follows).await, "it handles the messages that arrived meanwhile");
        core.driver.stop();
    }

    // Guards against a follower that collects the same large entries in memory for as long as its disk hangs.
    a_stalled_follower_queues_a_bounded_number_of_bytes => {
        let core = follower();
        deliver_heartbeat(&core);
        assert!(reaches(&core, &Leadership::Remote(LEADER.into())).await, "the follower knows the leader");
        let (release, blocked) = sync_channel::<()>(0);
        let block: super::super::ReadCallback = Box::new(move |_| _ = blocked.recv());
        core.driver.send_input(Input::Read(block)).expect("the log runs");
        let entry = Entry { term: 1_000, index: 1, kind: EntryKind::Command, payload: Bytes::from(vec![0; 700_000]) };
        let queued = (0..100).filter(|_| deliver_append(&core, vec![entry.clone()])).count();
        assert!(queued > 0 && queued * entry.payload.len() <= MAX_QUEUED_BATCH_BYTES, "{queued} messages");
        deliver_heartbeat(&core);
        drop(release);
        core.driver.stop();
    }
}
