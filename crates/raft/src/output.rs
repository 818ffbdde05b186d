//! Defines what a node asks its driver to do.

use crate::types::{Entry, HardState, Index, NodeId, Snapshot, Term};
use crate::{Message, ReadId, WriteToken};

/// Says one thing that the store must make durable, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Replaces the hard state.
    HardState(HardState),
    /// Drops all entries from this index on.
    Truncate {
        /// First index that is dropped.
        from: Index,
    },
    /// Appends entries after the last one.
    Append(Vec<Entry>),
    /// Saves the node's own snapshot; entries that it covers may be dropped once it is synced.
    SaveSnapshot(Snapshot),
    /// Saves the leader's snapshot and drops all entries.
    InstallSnapshot(Snapshot),
    /// Notes that [`crate::PersistentState::complete`] holds from now on.
    MarkComplete,
}

/// Says what a node does at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads its term.
    Leader,
}

/// Tells of a new role, term or leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The node's role.
    pub role: Role,
    /// The node's term.
    pub term: Term,
    /// The leader of that term, if known.
    pub leader: Option<NodeId>,
}

/// Says that a linearizable read may be answered now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadReady {
    /// The driver's number of the read.
    pub read_id: ReadId,
    /// The state must cover this index; it does once this output's entries are applied.
    pub index: Index,
}

/// Says why a proposal isn't followed any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// Leadership was lost first; the proposal may still be committed or overwritten later.
    LeadershipLost,
    /// Another entry was committed in its place; the proposal will never be committed.
    Overwritten,
    /// A snapshot covers its place; whether it was committed is unknown here.
    CoveredBySnapshot,
}

impl DropReason {
    /// Returns whether it is proven that the proposal has no effect.
    #[must_use]
    pub fn has_no_effect(self) -> bool {
        self == Self::Overwritten
    }
}

/// Names a proposal that this node accepted as leader and didn't see committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProposalDropped {
    /// Term under which it was proposed.
    pub term: Term,
    /// Its place in the log.
    pub index: Index,
    /// Why it is dropped.
    pub reason: DropReason,
}

/// Holds everything that a node wants done since the last call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Output {
    /// What to write and sync, in order.
    pub writes: Vec<Write>,
    /// WriteToken to report once `writes` are synced; 0 if there are none.
    pub token: WriteToken,
    /// What to send, at once; each may be lost, repeated or reordered.
    pub messages: Vec<Message>,
    /// A snapshot that replaces the state machine's state before `committed` is applied.
    pub install: Option<Snapshot>,
    /// Entries to apply, in order and without gaps.
    pub committed: Vec<Entry>,
    /// Reads to answer after `committed` is applied.
    pub reads: Vec<ReadReady>,
    /// Reads that can't be answered because leadership was lost.
    pub dropped_reads: Vec<ReadId>,
    /// Proposals that aren't followed any further.
    pub dropped_proposals: Vec<ProposalDropped>,
    /// The last change of role, term or leader.
    pub role_change: Option<RoleChange>,
}
