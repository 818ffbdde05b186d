//! Sends Raft messages to the other control instances, in batches and in order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hinge_raft::{Message, NodeId};
use hinge_state::LOG_FORMAT;
use serde::{Deserialize, Serialize};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::peer_client::PeerClient;

/// Path of Raft messages.
pub(crate) const RAFT_PATH: &str = "/v1/raft";

/// Queue length per peer; Raft retransmits messages that are dropped beyond it.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Maximum number of messages per call; together they stay far below the message limit of a link.
const MAX_BATCH_MESSAGES: usize = 64;

/// Timeout of one call; older messages are useless, since Raft has retransmitted them by then.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A batch of messages from one instance to another, with the sender's address for replies.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Batch {
    /// Sender's incarnation.
    pub(crate) from: NodeId,
    /// Sender's address.
    pub(crate) address: Box<str>,
    /// Whether the sender stores the log in memory only.
    #[serde(default)]
    pub(crate) diskless: bool,
    /// Highest format of the log that the sender knows; 0 in versions before formats.
    #[serde(default)]
    pub(crate) format: u32,
    /// Messages, in order.
    pub(crate) messages: Vec<Message>,
}

/// The fields that identify this instance in its messages to peers.
#[derive(Debug, Clone)]
pub(crate) struct SenderInfo {
    /// Incarnation in the log.
    pub(crate) node_id: NodeId,
    /// Address for other control instances.
    pub(crate) address: Box<str>,
    /// Whether the instance stores the log in memory only.
    pub(crate) diskless: bool,
}

/// The reply to an accepted batch.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct BatchAccepted {}

#[derive(Debug)]
struct PeerLink {
    address: Box<str>,
    messages: mpsc::Sender<Message>,
}

/// The links to the other instances, with one sending task each.
#[derive(Debug)]
pub(crate) struct Peers {
    client: PeerClient,
    runtime: Handle,
    sender: SenderInfo,
    links: BTreeMap<NodeId, PeerLink>,
    /// Bytes of entries and snapshots in messages that are queued or on the way.
    queued_bytes: Arc<AtomicUsize>,
}

impl Peers {
    pub(crate) fn new(client: PeerClient, runtime: Handle, sender: SenderInfo) -> Self {
        Self {
            client,
            runtime,
            sender,
            links: BTreeMap::new(),
            queued_bytes: Arc::default(),
        }
    }

    /// Returns the bytes of entries and snapshots in messages that are queued or on the way.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }

    /// Records the address of an instance, and connects to it if it is new.
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
            self.client.clone(),
            address.into(),
            self.sender.clone(),
            receiver,
            Arc::clone(&self.queued_bytes),
        );
        self.runtime.spawn(task);
    }

    /// Returns the address of an instance, if it is known.
    pub(crate) fn address(&self, node_id: NodeId) -> Option<&str> {
        self.links.get(&node_id).map(|link| &*link.address)
    }

    /// Sends a message, or drops it when the receiver is unknown or slow; Raft tolerates lost messages.
    pub(crate) fn send(&self, message: Message) {
        let Some(link) = self.links.get(&message.to) else {
            return;
        };
        let bytes = message.payload_bytes();
        if link.messages.try_send(message).is_ok() {
            self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }
}

async fn send_all(
    client: PeerClient,
    address: Box<str>,
    sender: SenderInfo,
    mut receiver: mpsc::Receiver<Message>,
    queued_bytes: Arc<AtomicUsize>,
) {
    let mut messages = Vec::new();
    while receiver.recv_many(&mut messages, MAX_BATCH_MESSAGES).await > 0 {
        let batch = Batch {
            from: sender.node_id,
            address: sender.address.clone(),
            diskless: sender.diskless,
            format: LOG_FORMAT,
            messages: std::mem::take(&mut messages),
        };
        let sent = client
            .call::<_, BatchAccepted>(&address, RAFT_PATH, &batch, CALL_TIMEOUT)
            .await;
        let mut released: usize = batch.messages.iter().map(Message::payload_bytes).sum();
        if sent.is_err() {
            // Messages queued behind a failed call are as old; Raft sends newer ones to a peer that comes back.
            while let Ok(dropped) = receiver.try_recv() {
                released += dropped.payload_bytes();
            }
        }
        queued_bytes.fetch_sub(released, Ordering::Relaxed);
    }
}
