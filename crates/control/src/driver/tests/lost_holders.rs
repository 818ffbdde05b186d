//! Tests that the log carries a lost holder only if that can change a key.

use std::sync::mpsc::sync_channel;

use hinge_cases::async_cases;
use hinge_link::ClusterKey;
use hinge_schema::messages::{ClaimKey, ClaimVerdict};
use hinge_state::{Command, Reply};
use tempfile::TempDir;
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};

use super::super::{Driver, Input, LogError};
use crate::open;
use crate::peer_client::{Direct, PeerClient};
use crate::peers::{Peers, SenderInfo};
use crate::settings::{ControlSettings, Peer};

/// A single control instance that leads.
pub(super) struct Leader {
    pub(super) driver: Driver,
    _folder: TempDir,
}

impl Leader {
    pub(super) async fn start() -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let mut settings = ControlSettings::new("control-a", "test", "127.0.0.1:0");
        settings.data_folder = Some(folder.path().into());
        settings.bootstrap = true;
        settings.peers = vec![Peer {
            instance: "control-a".into(),
            address: "control-a".into(),
        }];
        let client = PeerClient::new(ClusterKey::derive(b"a key"), std::sync::Arc::new(Direct));
        let opened = open::open(&settings, false).expect("the settings are valid");
        let sender = SenderInfo {
            node_id: opened.node_id,
            address: "control-a".into(),
            diskless: false,
        };
        let peers = Peers::new(client, Handle::current(), sender);
        let (published, _) = watch::channel(0);
        let driver = Driver::spawn(&settings, opened, peers, published);
        let driver = driver.expect("the log is valid");
        // A new leader logs its term, and then the names of the founders.
        let is_settled = || driver.read(|state, _| !state.control().is_empty());
        while is_settled().await != Ok(true) {
            tokio::task::yield_now().await;
        }
        Self {
            driver,
            _folder: folder,
        }
    }

    async fn log_len(&self) -> u64 {
        let read = self.driver.read(|_, status| status.last_index).await;
        read.expect("the instance leads")
    }

    async fn claim(&self, sidecar: &str) -> ClaimVerdict {
        let reply = self.driver.propose(claim(sidecar)).await;
        verdict(&reply.expect("the claim is answered"))
    }

    /// Queues a command and returns the receiver of its reply.
    fn queue(&self, command: Command) -> oneshot::Receiver<Result<Reply, LogError>> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.driver.send_input(Input::Propose(command, sender));
        sent.expect("the log runs");
        receiver
    }
}

/// Claims a key for the first incarnation of a sidecar.
fn claim(sidecar: &str) -> Command {
    let claim = ClaimKey {
        team: "surf".into(),
        key: "once".into(),
        fingerprint: 1,
        sidecar: sidecar.into(),
        incarnation: 1,
        claim_id: 1,
        request_id: 1,
    };
    Command::ClaimKeys {
        claims: vec![claim],
        finished: Vec::new(),
        now_ms: 1,
    }
}

fn verdict(reply: &Reply) -> ClaimVerdict {
    match reply {
        Reply::Claims(replies) => replies.replies[0].verdict,
        other => panic!("an answer to claims, not {other:?}"),
    }
}

/// Replaces the first incarnation of a sidecar.
fn replaced(sidecar: &str) -> Command {
    Command::HolderLost {
        sidecar: sidecar.into(),
        incarnation: 2,
        now_ms: 2,
    }
}

async_cases! { real
    // Guards against a claim that waits for the sync of an entry that changes nothing.
    a_lost_holder_without_keys_adds_no_entry => {
        let leader = Leader::start().await;
        assert_eq!(leader.claim("sidecar-1").await, ClaimVerdict::Granted);
        let len = leader.log_len().await;
        assert_eq!(leader.driver.propose(replaced("sidecar-2")).await, Ok(Reply::Done));
        assert_eq!(leader.log_len().await, len);
        leader.driver.stop();
    }

    // Guards against a lost holder's key that stays running.
    a_lost_holder_with_a_key_is_logged => {
        let leader = Leader::start().await;
        assert_eq!(leader.claim("sidecar-1").await, ClaimVerdict::Granted);
        let len = leader.log_len().await;
        assert_eq!(leader.driver.propose(replaced("sidecar-1")).await, Ok(Reply::Done));
        assert_eq!(leader.log_len().await, len + 1);
        assert_eq!(leader.claim("sidecar-2").await, ClaimVerdict::Finished);
        leader.driver.stop();
    }

    // Guards against a key that stays running because its claim was not yet applied when its holder was lost.
    a_lost_holder_behind_an_unapplied_claim_is_logged => {
        let leader = Leader::start().await;
        let (release, blocked) = sync_channel::<()>(0);
        let block: super::super::ReadCallback = Box::new(move |_| _ = blocked.recv());
        leader.driver.send_input(Input::Read(block)).expect("the log runs");
        let claimed = leader.queue(claim("sidecar-1"));
        let lost = leader.queue(replaced("sidecar-1"));
        drop(release);
        let claimed = claimed.await.expect("the log runs").expect("the claim is answered");
        assert_eq!(verdict(&claimed), ClaimVerdict::Granted);
        assert_eq!(lost.await.expect("the log runs"), Ok(Reply::Done));
        assert_eq!(leader.claim("sidecar-2").await, ClaimVerdict::Finished);
        leader.driver.stop();
    }
}
