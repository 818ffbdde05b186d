//! The work that a node hands to its driver.

use crate::types::{Entry, HardState, Index, NodeId, Snapshot, Term};
use crate::{Message, ReadId, WriteToken};

/// A write to the store; writes must become durable in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Replaces the hard state.
    HardState(HardState),
    /// Deletes all entries from this index on.
    Truncate {
        /// First index that is deleted.
        from: Index,
    },
    /// Appends entries to the log.
    Append(Vec<Entry>),
    /// Saves a snapshot that this node took; the entries it includes may be deleted once it is synced.
    SaveSnapshot(Snapshot),
    /// Saves a snapshot from the leader and deletes all entries.
    InstallSnapshot(Snapshot),
    /// Sets [`crate::PersistentState::complete`].
    MarkComplete,
}

/// The role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or knows of none.
    Follower,
    /// Collects pre-votes.
    PreCandidate,
    /// Collects votes.
    Candidate,
    /// Leads the current term.
    Leader,
}

/// A change of role, term or leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The node's role.
    pub role: Role,
    /// The node's term.
    pub term: Term,
    /// The leader of that term, if known.
    pub leader: Option<NodeId>,
}

/// A linearizable read that may be answered now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadReady {
    /// The id that the driver gave the read.
    pub read_id: ReadId,
    /// The index up to which the state must be applied; it is, once this output's entries are applied.
    pub index: Index,
}

/// The reason why a node stops tracking a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The node lost leadership; the proposal may still be committed or overwritten later.
    LeadershipLost,
    /// Another entry was committed at its index; the proposal will never be committed.
    Overwritten,
    /// A snapshot includes its index; this node can't tell whether the proposal was committed.
    CoveredBySnapshot,
}

impl DropReason {
    /// Returns whether the proposal is certain to have no effect.
    #[must_use]
    pub fn has_no_effect(self) -> bool {
        self == Self::Overwritten
    }
}

/// A proposal that this node accepted as leader and did not see committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProposalDropped {
    /// Term in which it was proposed.
    pub term: Term,
    /// Its index in the log.
    pub index: Index,
    /// Why it is no longer tracked.
    pub reason: DropReason,
}

/// The work for the driver that accumulated since the last call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Output {
    /// Writes to apply and sync, in order.
    pub writes: Vec<Write>,
    /// Token to pass to [`crate::Node::persisted`] once `writes` are synced; 0 if there are none.
    pub token: WriteToken,
    /// Messages to send at once; each may be lost, duplicated or reordered.
    pub messages: Vec<Message>,
    /// A snapshot that replaces the state of the state machine before `committed` is applied.
    pub install: Option<Snapshot>,
    /// Entries to apply, in order and without gaps.
    pub committed: Vec<Entry>,
    /// Reads to answer after `committed` is applied.
    pub reads: Vec<ReadReady>,
    /// Reads that can't be answered because leadership was lost.
    pub dropped_reads: Vec<ReadId>,
    /// Proposals that are no longer tracked.
    pub dropped_proposals: Vec<ProposalDropped>,
    /// The last change of role, term or leader.
    pub role_change: Option<RoleChange>,
}
