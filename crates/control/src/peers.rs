//! Sends the log's messages to the other control instances, in batches and in order.

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_raft::{Message, NodeId};
use serde::{Deserialize, Serialize};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::caller::Caller;

/// Path of the log's messages.
pub(crate) const RAFT_PATH: &str = "/v1/raft";

/// Messages that wait for one instance; the log sends again what is lost beyond.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Messages in one call; together they stay far below the longest message of a link.
const MAX_BATCH_MESSAGES: usize = 64;

/// Wait for one call; a message that is older is of no use, because the log has sent it again.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Holds messages from one instance to another, with the address to answer to.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Batch {
    /// Sender's incarnation.
    pub(crate) from: NodeId,
    /// Sender's address.
    pub(crate) address: Box<str>,
    /// Whether the sender keeps the log in memory only.
    #[serde(default)]
    pub(crate) diskless: bool,
    /// Messages, in order.
    pub(crate) messages: Vec<Message>,
}

/// Describes this instance to those that get its messages.
#[derive(Debug, Clone)]
pub(crate) struct SenderInfo {
    /// Incarnation in the log.
    pub(crate) node_id: NodeId,
    /// Address for other control instances.
    pub(crate) address: Box<str>,
    /// Whether it keeps the log in memory only.
    pub(crate) diskless: bool,
}

/// Says that a batch was taken in.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct BatchAccepted {}

#[derive(Debug)]
struct PeerLink {
    address: Box<str>,
    messages: mpsc::Sender<Message>,
}

/// Holds one sending task for each other instance.
#[derive(Debug)]
pub(crate) struct Peers {
    caller: Caller,
    runtime: Handle,
    sender: SenderInfo,
    links: BTreeMap<NodeId, PeerLink>,
}

impl Peers {
    pub(crate) fn new(caller: Caller, runtime: Handle, sender: SenderInfo) -> Self {
        Self {
            caller,
            runtime,
            sender,
            links: BTreeMap::new(),
        }
    }

    /// Notes where an instance listens.
    pub(crate) fn learn(&mut self, node_id: NodeId, address: &str) {
        if node_id == self.sender.node_id {
            return;
        }
        let known = self.links.get(&node_id);
        if known.is_some_and(|link| *link.address == *address) {
            return;
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let link = PeerLink {
            address: address.into(),
            messages: sender,
        };
        self.links.insert(node_id, link);
        let task = send_all(
            self.caller.clone(),
            address.into(),
            self.sender.clone(),
            receiver,
        );
        self.runtime.spawn(task);
    }

    /// Returns the address of an instance, if it is known.
    pub(crate) fn address(&self, node_id: NodeId) -> Option<&str> {
        self.links.get(&node_id).map(|link| &*link.address)
    }

    /// Sends a message, or drops it when its receiver is unknown or slow; the log copes with losses.
    pub(crate) fn send(&self, message: Message) {
        if let Some(link) = self.links.get(&message.to) {
            let _may_be_dropped = link.messages.try_send(message);
        }
    }
}

async fn send_all(
    caller: Caller,
    address: Box<str>,
    sender: SenderInfo,
    mut receiver: mpsc::Receiver<Message>,
) {
    let mut messages = Vec::new();
    while receiver.recv_many(&mut messages, MAX_BATCH_MESSAGES).await > 0 {
        let batch = Batch {
            from: sender.node_id,
            address: sender.address.clone(),
            diskless: sender.diskless,
            messages: std::mem::take(&mut messages),
        };
        let sent = caller
            .call::<_, BatchAccepted>(&address, RAFT_PATH, &batch, CALL_TIMEOUT)
            .await;
        if sent.is_err() {
            // What queued up behind a lost call is as old, and the log has newer words for a peer that comes back.
            while receiver.try_recv().is_ok() {}
        }
    }
}
