//! Sends Raft messages to the other control instances, in batches and in order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hinge_link::ByteBudget;
use hinge_raft::{Message, NodeId};
use hinge_state::LOG_FORMAT;
use serde::{Deserialize, Serialize};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::peer_client::PeerClient;

#[cfg(test)]
mod tests;

/// Path of Raft messages.
pub(crate) const RAFT_PATH: &str = "/v1/raft";

/// Queue length per peer; Raft retransmits messages that are dropped beyond it.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Maximum number of messages per call.
const MAX_BATCH_MESSAGES: usize = 64;

/// Bytes of entries and snapshots queued for and on the way to one peer, twice what Raft has in flight; a longer message is
/// queued alone.
const MAX_PEER_BYTES: usize = 2 << 20;

/// Bytes of encoded calls to all peers together, besides those below `SMALL_CALL_BYTES`.
const MAX_CALLS_BYTES: usize = 8 << 20;

/// Length up to which a call need not wait for the others, so that heartbeats are never held up.
const SMALL_CALL_BYTES: usize = 64 << 10;

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

impl Batch {
    /// Returns the bytes of the entries and snapshots in the messages.
    pub(crate) fn payload_bytes(&self) -> usize {
        self.messages.iter().map(Message::payload_bytes).sum()
    }
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
    /// Bytes of entries and snapshots in messages that are queued or on the way.
    bytes: Arc<AtomicUsize>,
}

impl PeerLink {
    /// Queues a message, or drops it if too much is queued.
    fn send(&self, message: Message) {
        let bytes = message.payload_bytes();
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let has_room = bytes == 0 || before == 0 || before + bytes <= MAX_PEER_BYTES;
        if !has_room || self.messages.try_send(message).is_err() {
            self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
    }
}

/// The links to the other instances, with one sending task each.
#[derive(Debug)]
pub(crate) struct Peers {
    client: PeerClient,
    runtime: Handle,
    sender: SenderInfo,
    links: BTreeMap<NodeId, PeerLink>,
    /// Limits the encoded calls, which are copies for each peer.
    calls: ByteBudget,
}

impl Peers {
    pub(crate) fn new(client: PeerClient, runtime: Handle, sender: SenderInfo) -> Self {
        Self {
            client,
            runtime,
            sender,
            links: BTreeMap::new(),
            calls: ByteBudget::new(MAX_CALLS_BYTES),
        }
    }

    /// Returns the bytes of entries and snapshots in messages that are queued or on the way.
    pub(crate) fn queued_bytes(&self) -> usize {
        let links = self.links.values();
        links.map(|link| link.bytes.load(Ordering::Relaxed)).sum()
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
            bytes: Arc::default(),
        };
        let bytes = Arc::clone(&link.bytes);
        self.links.insert(node_id, link);
        let task = send_all(
            self.client.clone(),
            address.into(),
            self.sender.clone(),
            receiver,
            bytes,
            self.calls.clone(),
        );
        self.runtime.spawn(task);
    }

    /// Returns the address of an instance, if it is known.
    pub(crate) fn address(&self, node_id: NodeId) -> Option<&str> {
        self.links.get(&node_id).map(|link| &*link.address)
    }

    /// Sends a message, or drops it when the receiver is unknown or slow; Raft tolerates lost messages.
    pub(crate) fn send(&self, message: Message) {
        if let Some(link) = self.links.get(&message.to) {
            link.send(message);
        }
    }
}

async fn send_all(
    client: PeerClient,
    address: Box<str>,
    sender: SenderInfo,
    mut receiver: mpsc::Receiver<Message>,
    bytes: Arc<AtomicUsize>,
    calls: ByteBudget,
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
        let mut released = batch.payload_bytes();
        let held = match released {
            0..=SMALL_CALL_BYTES => None,
            bytes => Some(calls.acquire(bytes).await),
        };
        let sent = client
            .call::<_, BatchAccepted>(&address, RAFT_PATH, &batch, CALL_TIMEOUT)
            .await;
        drop((batch, held));
        if sent.is_err() {
            // Messages queued behind a failed call are as old; Raft sends newer ones to a peer that comes back.
            while let Ok(dropped) = receiver.try_recv() {
                released += dropped.payload_bytes();
            }
        }
        bytes.fetch_sub(released, Ordering::Relaxed);
    }
}
