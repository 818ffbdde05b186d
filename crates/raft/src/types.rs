//! Types that the replicated log stores: entries, the hard state and snapshots.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// An election term; terms start at 1, and 0 means "none yet".
pub type Term = u64;

/// The position of an entry in the log; indices start at 1, and 0 means "before the first entry".
pub type Index = u64;

/// The id of one incarnation of a control instance.
///
/// An instance that lost its disk gets a new id, so that it can't vote twice in a term in which it voted before the loss.
pub type NodeId = u64;

/// The type of a log entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// The empty entry that a new leader appends at the start of its term.
    Noop,
    /// A command for the state machine that is replicated by the log.
    Command,
    /// A membership change; the payload is an encoded [`Membership`].
    Membership,
}

/// An entry of the replicated log; a clone shares the payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Position of the entry in the log.
    pub index: Index,
    /// How the payload is interpreted.
    pub kind: EntryKind,
    /// The encoded command or membership; empty for [`EntryKind::Noop`].
    pub payload: Bytes,
}

/// The state that a node must sync before it replies to a vote request or in a new term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// The candidate that received this node's vote in `term`.
    pub voted_for: Option<NodeId>,
    /// Highest index known to be committed; only a hint that speeds up a restart.
    pub commit: Index,
}

/// The voters and learners of a cluster.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members whose votes and acknowledgements count towards a quorum, in ascending order.
    pub voters: Vec<NodeId>,
    /// Members that receive the log without counting towards a quorum, in ascending order.
    pub learners: Vec<NodeId>,
}

/// A snapshot of the state machine as of one log entry, inclusive; a clone shares the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry included in the state.
    pub last_index: Index,
    /// Term of that entry.
    pub last_term: Term,
    /// Voters and learners as of that entry.
    pub membership: Membership,
    /// Encoded state of the state machine.
    pub state: Bytes,
}
