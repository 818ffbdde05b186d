//! Messages between nodes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ClusterId;
use crate::types::{Entry, Index, Membership, NodeId, Term};

/// A message from one node incarnation to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The cluster of both nodes.
    pub cluster_id: ClusterId,
    /// The sender's incarnation.
    pub from: NodeId,
    /// The receiver's incarnation.
    pub to: NodeId,
    /// The sender's term; in a pre-vote request and its grant, the term of the prospective election.
    pub term: Term,
    /// The type of message and its contents.
    pub body: Body,
}

impl Message {
    /// Returns the bytes of the entries or of the snapshot's part that the message carries.
    #[must_use]
    pub fn payload_bytes(&self) -> usize {
        match &self.body {
            Body::Append { entries, .. } => entries.iter().map(|entry| entry.payload.len()).sum(),
            Body::SnapshotChunk { data, .. } => data.len(),
            _ => 0,
        }
    }
}

/// The body of a message: a request or a reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant its vote; changes no state at the receiver.
    PreVote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Replies to a pre-vote request.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
        /// Whether this is a leadership transfer, for which the leader has given up its lease.
        transfer: bool,
    },
    /// Replies to a vote request; a grant is sent after the vote is synced.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries; without entries, a heartbeat or a commit notice.
    Append {
        /// Index of the entry that precedes `entries`.
        prev_index: Index,
        /// Term of that entry.
        prev_term: Term,
        /// The entries, with consecutive indices.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The leader's heartbeat round, for its lease and its reads; 0 in a commit notice, which gets no reply.
        round: u64,
    },
    /// Replies to an append or to the last chunk of a snapshot; an acceptance is sent after the entries are synced.
    AppendReply {
        /// Whether the entries match the sender's log.
        result: AppendResult,
        /// The round of the message that is acknowledged.
        round: u64,
        /// Whether the sender counts towards a quorum; false for a voter that lost its disk.
        complete: bool,
    },
    /// Carries one chunk of a snapshot.
    SnapshotChunk {
        /// Index of the last entry included in the snapshot.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
        /// Voters and learners as of that entry.
        membership: Membership,
        /// Size of the encoded state.
        total_bytes: u64,
        /// Offset of this chunk in the encoded state, in bytes.
        offset: u64,
        /// The bytes of this chunk.
        data: Bytes,
        /// The leader's heartbeat round.
        round: u64,
    },
    /// Replies to a snapshot chunk other than the last.
    SnapshotReply {
        /// Index of the last entry included in the snapshot.
        last_index: Index,
        /// Offset of the next chunk that the sender expects, in bytes.
        next_offset: u64,
        /// The round of the message that is acknowledged.
        round: u64,
        /// Whether the sender counts towards a quorum.
        complete: bool,
    },
    /// Tells the receiver to start an election at once; the leader has given up its lease.
    TimeoutNow,
}

/// The result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The sender's log matches the leader's, and is synced, up to an index.
    Accepted {
        /// That index.
        match_index: Index,
    },
    /// The entry at `prev_index` is missing or has a different term.
    Rejected {
        /// The `prev_index` of the rejected append.
        prev_index: Index,
        /// An index at which the logs may match.
        hint_index: Index,
        /// The sender's term at that index.
        hint_term: Term,
    },
}
