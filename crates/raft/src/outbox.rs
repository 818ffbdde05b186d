//! Collects writes and messages, and delays messages until the writes that they depend on are synced.

use crate::types::{Entry, HardState, Index, NodeId, Term};
use crate::{Body, ClusterId, Message, Write, WriteToken};

/// Pending writes and messages of a node.
#[derive(Debug)]
pub(crate) struct Outbox {
    id: NodeId,
    cluster_id: ClusterId,
    /// Token of the batch being collected.
    next_token: WriteToken,
    synced_token: WriteToken,
    /// Token of the batch with the last change of term, vote or completeness.
    hard_state_token: WriteToken,
    /// Token of the batch with the last change of the log.
    log_token: WriteToken,
    writes: Vec<Write>,
    ready: Vec<Message>,
    /// Messages that wait until the batch of a token is synced.
    unsent: Vec<(WriteToken, Message)>,
    /// Token and last index of each append that is not synced yet, in order.
    unsynced: Vec<(WriteToken, Index)>,
    durable_index: Index,
}

impl Outbox {
    pub(crate) fn new(id: NodeId, cluster_id: ClusterId, durable_index: Index) -> Self {
        Self {
            id,
            cluster_id,
            next_token: 1,
            synced_token: 0,
            hard_state_token: 0,
            log_token: 0,
            writes: Vec::new(),
            ready: Vec::new(),
            unsent: Vec::new(),
            unsynced: Vec::new(),
            durable_index,
        }
    }

    /// Returns the last index of the log that is synced.
    pub(crate) fn durable_index(&self) -> Index {
        self.durable_index
    }

    /// Returns whether the last change of term, vote or completeness is synced.
    pub(crate) fn is_hard_state_synced(&self) -> bool {
        self.hard_state_token <= self.synced_token
    }

    pub(crate) fn write_hard_state(&mut self, hard_state: HardState) {
        self.writes.push(Write::HardState(hard_state));
        self.hard_state_token = self.next_token;
    }

    pub(crate) fn write_append(&mut self, entries: Vec<Entry>) {
        let Some(last) = entries.last() else { return };
        self.unsynced.push((self.next_token, last.index));
        self.log_token = self.next_token;
        if let Some(Write::Append(open)) = self.writes.last_mut() {
            open.extend(entries);
        } else {
            self.writes.push(Write::Append(entries));
        }
    }

    pub(crate) fn write_truncate(&mut self, from: Index) {
        let kept = from.saturating_sub(1);
        self.durable_index = self.durable_index.min(kept);
        for (_, index) in &mut self.unsynced {
            *index = (*index).min(kept);
        }
        self.log_token = self.next_token;
        self.writes.push(Write::Truncate { from });
    }

    /// Queues a snapshot up to `last_index` that replaces the log.
    pub(crate) fn write_install(&mut self, write: Write, last_index: Index) {
        self.unsynced.clear();
        self.unsynced.push((self.next_token, last_index));
        self.durable_index = 0;
        self.log_token = self.next_token;
        self.writes.push(write);
    }

    /// Queues the write that marks the node complete; every later message depends on it.
    pub(crate) fn write_mark_complete(&mut self) {
        self.writes.push(Write::MarkComplete);
        self.hard_state_token = self.next_token;
    }

    /// Queues a write that no message waits for.
    pub(crate) fn write_unawaited(&mut self, write: Write) {
        self.writes.push(write);
    }

    pub(crate) fn has_log_writes(&self) -> bool {
        self.writes
            .iter()
            .any(|write| matches!(write, Write::Append(_)))
    }

    /// Sends a message once the current term, vote and completeness are synced.
    pub(crate) fn send(&mut self, term: Term, to: NodeId, body: Body) {
        self.send_after(self.hard_state_token, term, to, body);
    }

    /// Sends a message that acknowledges the log up to `index`, once the log and the hard state are synced.
    pub(crate) fn send_after_log_sync(&mut self, index: Index, term: Term, to: NodeId, body: Body) {
        let token = if index > self.durable_index {
            self.log_token.max(self.hard_state_token)
        } else {
            self.hard_state_token
        };
        self.send_after(token, term, to, body);
    }

    fn send_after(&mut self, token: WriteToken, term: Term, to: NodeId, body: Body) {
        let message = Message {
            cluster_id: self.cluster_id,
            from: self.id,
            to,
            term,
            body,
        };
        if token <= self.synced_token {
            self.ready.push(message);
        } else {
            self.unsent.push((token, message));
        }
    }

    /// Records that all batches up to `token` are synced, and releases the messages that waited for them.
    pub(crate) fn persisted(&mut self, token: WriteToken) {
        // A batch whose token was never returned can't have been synced.
        self.synced_token = self.synced_token.max(token.min(self.next_token - 1));
        let synced = self.synced_token;
        while self
            .unsynced
            .first()
            .is_some_and(|(token, _)| *token <= synced)
        {
            let (_, index) = self.unsynced.remove(0);
            self.durable_index = self.durable_index.max(index);
        }
        for (token, message) in std::mem::take(&mut self.unsent) {
            if token <= synced {
                self.ready.push(message);
            } else {
                self.unsent.push((token, message));
            }
        }
    }

    /// Returns the collected writes with their token, or 0 if there are none.
    pub(crate) fn take_writes(&mut self) -> (Vec<Write>, WriteToken) {
        if self.writes.is_empty() {
            return (Vec::new(), 0);
        }
        let token = self.next_token;
        self.next_token += 1;
        (std::mem::take(&mut self.writes), token)
    }

    pub(crate) fn take_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.ready)
    }
}
