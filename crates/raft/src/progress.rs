//! State of the leader, including the replication progress of each other member.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::lease::Rounds;
use crate::read::PendingRead;
use crate::transfer::Transfer;
use crate::types::{Index, NodeId, Snapshot};

/// How entries are replicated to a member.
#[derive(Debug)]
pub(crate) enum Mode {
    /// The last matching index is unknown: one append in flight at a time.
    Probe {
        /// Whether that append is in flight.
        sent: bool,
    },
    /// The logs match: several batches may be in flight.
    Replicate,
    /// The member needs entries that were compacted: one snapshot chunk in flight at a time.
    Snapshot {
        /// The snapshot being sent, kept even if a newer one is taken meanwhile.
        snapshot: Arc<Snapshot>,
        /// Bytes that the member has received.
        offset: usize,
        /// Whether the next chunk is in flight.
        sent: bool,
    },
}

/// An append that the member has not acknowledged.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InflightBatch {
    pub(crate) last_index: Index,
    /// Bytes of its entries.
    pub(crate) bytes: usize,
}

/// The replication progress of one member.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) mode: Mode,
    /// Last index up to which the member's log matches the leader's and is synced.
    pub(crate) match_index: Index,
    /// Next index to send.
    pub(crate) next_index: Index,
    /// Highest commit index sent to the member, limited to the last entry that the message covered.
    pub(crate) sent_commit: Index,
    /// The batches in flight, in order.
    pub(crate) inflight: VecDeque<InflightBatch>,
    /// When the current wait for a reply began; what is in flight is resent if it takes too long.
    pub(crate) waiting_since: Duration,
    /// Highest round that the member acknowledged; 0 means none.
    pub(crate) acked_round: u64,
    /// When the member last replied, if it did in this term.
    pub(crate) last_reply_at: Option<Duration>,
    /// Whether the member counts towards a quorum; false for a voter that lost its disk.
    pub(crate) complete: bool,
    /// Index that the member must have synced before it may be promoted.
    pub(crate) required_index: Index,
}

impl Progress {
    pub(crate) fn new(last_index: Index, now: Duration) -> Self {
        Self {
            mode: Mode::Probe { sent: false },
            match_index: 0,
            next_index: last_index + 1,
            sent_commit: 0,
            inflight: VecDeque::new(),
            waiting_since: now,
            acked_round: 0,
            last_reply_at: None,
            complete: true,
            required_index: last_index,
        }
    }

    /// Switches back to probing, from `next_index` or after the last index known to match, whichever is later.
    pub(crate) fn probe_from(&mut self, next_index: Index) {
        self.next_index = next_index.max(self.match_index + 1);
        self.inflight.clear();
        self.mode = Mode::Probe { sent: false };
    }

    /// Gives up the transfer of a snapshot, so that the snapshot can be freed; a later one begins with the latest.
    pub(crate) fn abort_snapshot(&mut self) {
        if matches!(self.mode, Mode::Snapshot { .. }) {
            self.probe_from(self.next_index);
        }
    }

    /// Records that the member has synced everything up to `match_index`.
    pub(crate) fn accepted(&mut self, match_index: Index, now: Duration) {
        if match_index < self.match_index {
            return;
        }
        if match_index > self.match_index {
            self.match_index = match_index;
            self.waiting_since = now;
        }
        self.next_index = self.next_index.max(match_index + 1);
        while self
            .inflight
            .front()
            .is_some_and(|batch| batch.last_index <= match_index)
        {
            self.inflight.pop_front();
        }
        let agrees = match &self.mode {
            Mode::Probe { .. } => self.next_index == match_index + 1,
            Mode::Replicate => true,
            Mode::Snapshot { snapshot, .. } => match_index >= snapshot.last_index,
        };
        if agrees {
            self.mode = Mode::Replicate;
        }
    }

    /// Returns the bytes of the batches in flight.
    pub(crate) fn inflight_bytes(&self) -> usize {
        self.inflight.iter().map(|batch| batch.bytes).sum()
    }

    /// Records a commit index that was sent to the member.
    pub(crate) fn record_sent_commit(&mut self, commit: Index) {
        self.sent_commit = self.sent_commit.max(commit);
    }

    /// Returns the acknowledged round that counts towards the lease and reads; 0 if the member does not count.
    pub(crate) fn quorum_eligible_round(&self) -> u64 {
        if self.complete { self.acked_round } else { 0 }
    }

    /// Returns the match index that counts towards the commit index; 0 if the member does not count.
    pub(crate) fn quorum_eligible_match(&self) -> Index {
        if self.complete { self.match_index } else { 0 }
    }
}

/// The volatile state of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) peers: BTreeMap<NodeId, Progress>,
    pub(crate) rounds: Rounds,
    /// When the current round began.
    pub(crate) round_began_at: Duration,
    /// Whether to begin a round with the next output.
    pub(crate) round_due: bool,
    pub(crate) elected_at: Duration,
    /// Index of the term's first entry.
    pub(crate) first_index: Index,
    /// Bytes of the uncommitted entries of earlier terms that this leader began with.
    pub(crate) inherited_bytes: usize,
    pub(crate) reads: Vec<PendingRead>,
    pub(crate) transfer: Option<Transfer>,
    /// Set once another node was told to campaign: from then on others may vote despite this term's lease.
    pub(crate) lease_surrendered: bool,
}

impl LeaderState {
    pub(crate) fn new(first_index: Index, inherited_bytes: usize, now: Duration) -> Self {
        Self {
            inherited_bytes,
            peers: BTreeMap::new(),
            rounds: Rounds::new(now),
            round_began_at: now,
            round_due: true,
            elected_at: now,
            first_index,
            reads: Vec::new(),
            transfer: None,
            lease_surrendered: false,
        }
    }
}
