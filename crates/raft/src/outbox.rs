//! Collects writes and messages, and holds back messages whose promise isn't durable yet.

use crate::types::{Entry, HardState, Index, NodeId, Term};
use crate::{Body, ClusterId, Message, Write, WriteToken};

/// Collects what a node wants written and sent.
#[derive(Debug)]
pub(crate) struct Outbox {
    id: NodeId,
    cluster_id: ClusterId,
    /// WriteToken of the batch that is being collected.
    open_token: WriteToken,
    synced: WriteToken,
    /// Batch that holds the last change of term or vote.
    hard_token: WriteToken,
    /// Batch that holds the last change of the log.
    log_token: WriteToken,
    writes: Vec<Write>,
    ready: Vec<Message>,
    held: Vec<(WriteToken, Message)>,
    /// Last index and token of appends that aren't synced, in order.
    unsynced: Vec<(WriteToken, Index)>,
    durable_index: Index,
}

impl Outbox {
    pub(crate) fn new(id: NodeId, cluster_id: ClusterId, durable_index: Index) -> Self {
        Self {
            id,
            cluster_id,
            open_token: 1,
            synced: 0,
            hard_token: 0,
            log_token: 0,
            writes: Vec::new(),
            ready: Vec::new(),
            held: Vec::new(),
            unsynced: Vec::new(),
            durable_index,
        }
    }

    /// Returns the last index of the log that is synced.
    pub(crate) fn durable_index(&self) -> Index {
        self.durable_index
    }

    /// Returns whether the last change of term or vote is synced.
    pub(crate) fn is_hard_synced(&self) -> bool {
        self.hard_token <= self.synced
    }

    pub(crate) fn write_hard(&mut self, hard: HardState) {
        self.writes.push(Write::HardState(hard));
        self.hard_token = self.open_token;
    }

    pub(crate) fn write_append(&mut self, entries: Vec<Entry>) {
        let Some(last) = entries.last() else { return };
        self.unsynced.push((self.open_token, last.index));
        self.log_token = self.open_token;
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
        self.log_token = self.open_token;
        self.writes.push(Write::Truncate { from });
    }

    /// Records a snapshot that replaces the log, and so ends at `last_index`.
    pub(crate) fn write_install(&mut self, write: Write, last_index: Index) {
        self.unsynced.clear();
        self.unsynced.push((self.open_token, last_index));
        self.durable_index = 0;
        self.log_token = self.open_token;
        self.writes.push(write);
    }

    /// Records that the node is complete; every later message stands on this.
    pub(crate) fn write_complete(&mut self) {
        self.writes.push(Write::MarkComplete);
        self.hard_token = self.open_token;
    }

    /// Records a write on which no message waits.
    pub(crate) fn write_other(&mut self, write: Write) {
        self.writes.push(write);
    }

    pub(crate) fn has_log_writes(&self) -> bool {
        self.writes
            .iter()
            .any(|write| matches!(write, Write::Append(_)))
    }

    /// Sends a message once the term and the vote that it stands on are synced.
    pub(crate) fn send(&mut self, term: Term, to: NodeId, body: Body) {
        self.send_after(self.hard_token, term, to, body);
    }

    /// Sends a message that promises the log up to `index`, once that and the term are synced.
    pub(crate) fn send_promise(&mut self, index: Index, term: Term, to: NodeId, body: Body) {
        let token = if index > self.durable_index {
            self.log_token.max(self.hard_token)
        } else {
            self.hard_token
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
        if token <= self.synced {
            self.ready.push(message);
        } else {
            self.held.push((token, message));
        }
    }

    /// Notes that all batches up to `token` are synced, and lets the messages go that waited for them.
    pub(crate) fn persisted(&mut self, token: WriteToken) {
        // A token that was never handed out can't have been synced.
        self.synced = self.synced.max(token.min(self.open_token - 1));
        let synced = self.synced;
        while self
            .unsynced
            .first()
            .is_some_and(|(token, _)| *token <= synced)
        {
            let (_, index) = self.unsynced.remove(0);
            self.durable_index = self.durable_index.max(index);
        }
        for (token, message) in std::mem::take(&mut self.held) {
            if token <= synced {
                self.ready.push(message);
            } else {
                self.held.push((token, message));
            }
        }
    }

    /// Returns the collected writes with their token, or 0 if there are none.
    pub(crate) fn take_writes(&mut self) -> (Vec<Write>, WriteToken) {
        if self.writes.is_empty() {
            return (Vec::new(), 0);
        }
        let token = self.open_token;
        self.open_token += 1;
        (std::mem::take(&mut self.writes), token)
    }

    pub(crate) fn take_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.ready)
    }
}
