//! Errors that a node returns when it refuses an input.

use std::error::Error;
use std::fmt;

use crate::types::{Index, NodeId};

/// A rule that a [`crate::Config`] violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigError {
    /// The id is zero, which stands for no node.
    ZeroId,
    /// The lease is longer than the election timeout.
    LeaseOverElectionTimeout,
    /// The clock drift margin is not shorter than the lease.
    MarginOverLease,
    /// Two heartbeats don't fit into the usable lease.
    HeartbeatOverLease,
    /// A limit is zero.
    ZeroBound,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ZeroId => "the node id is zero",
            Self::LeaseOverElectionTimeout => "the lease is longer than the election timeout",
            Self::MarginOverLease => "the clock drift margin is not shorter than the lease",
            Self::HeartbeatOverLease => {
                "two heartbeat intervals don't fit into the lease minus the clock drift margin"
            }
            Self::ZeroBound => "a limit is zero",
        })
    }
}

impl Error for ConfigError {}

/// The reason why a node can't start from its store's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpenError {
    /// The configuration is invalid.
    Config(ConfigError),
    /// The entry at this index is missing, or its index or term is out of order.
    Gap {
        /// Index that should have come next.
        index: Index,
    },
    /// The membership entry at this index can't be decoded.
    Membership {
        /// Index of the entry.
        index: Index,
    },
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config(_) => f.write_str("the configuration of the replicated log is invalid"),
            Self::Gap { index } => write!(f, "the stored log has a gap at index {index}"),
            Self::Membership { index } => {
                write!(f, "the stored membership at index {index} can't be decoded")
            }
        }
    }
}

impl Error for OpenError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Config(cause) => Some(cause),
            Self::Gap { .. } | Self::Membership { .. } => None,
        }
    }
}

/// The reason why a proposal was refused; a refused proposal was not appended anywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposeError {
    /// This node is not the leader.
    NotLeader {
        /// The leader, if known to this node.
        leader: Option<NodeId>,
    },
    /// Too many proposals wait to be committed.
    Full,
    /// The proposal is larger than one message may be.
    TooLarge {
        /// Maximum size of a proposal in bytes.
        max_bytes: usize,
    },
    /// The node is transferring leadership.
    TransferInProgress {
        /// The node that leadership is transferred to.
        successor: NodeId,
    },
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader {
                leader: Some(leader),
            } => write!(f, "not the leader; the leader is {leader}"),
            Self::NotLeader { leader: None } => f.write_str("not the leader; no leader is known"),
            Self::Full => f.write_str("too many proposals wait to be committed"),
            Self::TooLarge { max_bytes } => {
                write!(f, "the proposal is larger than {max_bytes} bytes")
            }
            Self::TransferInProgress { successor } => {
                write!(f, "leadership is being transferred to {successor}")
            }
        }
    }
}

impl Error for ProposeError {}

/// The reason why a membership change was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipError {
    /// This node can't propose anything now.
    Propose(ProposeError),
    /// An earlier change is not committed yet, or the leader has not committed an entry of its own term.
    ChangeInProgress,
    /// The instance is already a member.
    AlreadyMember,
    /// The instance is not a member.
    NotMember,
    /// The instance to promote is not a learner.
    NotLearner,
    /// The leader can't remove itself; transfer leadership first.
    IsLeader,
    /// The learner has lost its disk, or has not synced the entries that existed when the leader began to track it.
    NotCaughtUp {
        /// Last index that the learner has synced.
        match_index: Index,
        /// Index that the learner must have synced.
        needed_index: Index,
    },
    /// The learner did not reply within the election timeout.
    Unreachable,
    /// Too few of the voters that would remain are reachable.
    WouldLoseQuorum,
}

impl fmt::Display for MembershipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Propose(_) => f.write_str("the membership can't be changed on this node now"),
            Self::ChangeInProgress => f.write_str(
                "an earlier change, or the first entry of the term, is not committed yet",
            ),
            Self::AlreadyMember => f.write_str("the instance is already a member"),
            Self::NotMember => f.write_str("the instance is not a member"),
            Self::NotLearner => f.write_str("the instance is not a learner"),
            Self::IsLeader => f.write_str("the leader can't remove itself"),
            Self::NotCaughtUp {
                match_index,
                needed_index,
            } => {
                write!(
                    f,
                    "the learner has synced up to index {match_index} and must reach {needed_index}"
                )
            }
            Self::Unreachable => f.write_str("the learner is unreachable"),
            Self::WouldLoseQuorum => f.write_str("too few of the remaining voters are reachable"),
        }
    }
}

impl Error for MembershipError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Propose(cause) => Some(cause),
            _ => None,
        }
    }
}

/// The reason why a read was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// This node is not the leader.
    NotLeader {
        /// The leader, if known to this node.
        leader: Option<NodeId>,
    },
    /// Too many reads wait for a quorum.
    Full,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader {
                leader: Some(leader),
            } => write!(f, "not the leader; the leader is {leader}"),
            Self::NotLeader { leader: None } => f.write_str("not the leader; no leader is known"),
            Self::Full => f.write_str("too many reads wait for a quorum"),
        }
    }
}

impl Error for ReadError {}

/// The reason why leadership can't be transferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferError {
    /// This node is not the leader.
    NotLeader,
    /// Another transfer is in progress.
    TransferInProgress,
    /// The successor is not another voter.
    NotVoter,
    /// The successor did not reply within the election timeout.
    Unreachable,
}

impl fmt::Display for TransferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotLeader => "not the leader",
            Self::TransferInProgress => "leadership is already being transferred",
            Self::NotVoter => "the successor is not another voter",
            Self::Unreachable => "the successor is unreachable",
        })
    }
}

impl Error for TransferError {}
