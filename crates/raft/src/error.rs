//! Names the reasons for which a node refuses an input.

use std::error::Error;
use std::fmt;

use crate::types::{Index, NodeId};

/// Says which rule a [`crate::Config`] breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigError {
    /// The id is zero, which means "nobody".
    ZeroId,
    /// The lease is longer than the election timeout.
    LeaseOverElectionTimeout,
    /// The drift margin leaves nothing of the lease.
    MarginOverLease,
    /// Two heartbeats don't fit into the usable lease.
    HeartbeatOverLease,
    /// A bound is zero.
    ZeroBound,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ZeroId => "the node id is zero",
            Self::LeaseOverElectionTimeout => "the lease is longer than the election timeout",
            Self::MarginOverLease => "the clock drift margin is not shorter than the lease",
            Self::HeartbeatOverLease => "two heartbeats don't fit into the lease less its margin",
            Self::ZeroBound => "a bound is zero",
        })
    }
}

impl Error for ConfigError {}

/// Says why a node can't start from what the store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpenError {
    /// The configuration breaks a rule.
    Config(ConfigError),
    /// The entry at this index is missing or out of order.
    Gap {
        /// Index that should have come next.
        index: Index,
    },
    /// The entry at this index claims to hold a membership but doesn't.
    Membership {
        /// Index of the entry.
        index: Index,
    },
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config(_) => f.write_str("the configuration of the replicated log is wrong"),
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

/// Says why a proposal was refused; a refused proposal was not appended anywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposeError {
    /// This node doesn't lead; the hint names the leader if it is known.
    NotLeader {
        /// The leader, as far as this node knows.
        leader: Option<NodeId>,
    },
    /// Too many proposals wait for their commit.
    Full,
    /// The proposal is larger than one message may be.
    TooLarge {
        /// Most bytes that a proposal may have.
        max_bytes: usize,
    },
    /// The node hands over leadership.
    TransferInProgress {
        /// The node that is to lead next.
        successor: NodeId,
    },
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader {
                leader: Some(leader),
            } => write!(f, "not the leader; {leader} leads"),
            Self::NotLeader { leader: None } => f.write_str("not the leader; none is known"),
            Self::Full => f.write_str("too many proposals wait for their commit"),
            Self::TooLarge { max_bytes } => {
                write!(f, "the proposal has more than {max_bytes} bytes")
            }
            Self::TransferInProgress { successor } => {
                write!(f, "leadership is being handed over to {successor}")
            }
        }
    }
}

impl Error for ProposeError {}

/// Says why a change of the membership was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipError {
    /// The change can't be proposed at all now.
    Propose(ProposeError),
    /// An earlier change isn't committed yet, or the leader hasn't committed an entry of its own term.
    ChangeInProgress,
    /// The instance is a member already.
    AlreadyMember,
    /// The instance is not a member.
    NotMember,
    /// Only a learner can be promoted.
    NotLearner,
    /// The leader can't remove itself; hand over leadership first.
    IsLeader,
    /// The learner's synced log doesn't reach what was committed when it joined.
    NotCaughtUp {
        /// Last index that the learner has synced.
        match_index: Index,
        /// Index that it must have synced.
        needed_index: Index,
    },
    /// The learner didn't answer within the election timeout.
    Unreachable,
    /// Too few of the voters that would remain are in touch.
    WouldLoseQuorum,
}

impl fmt::Display for MembershipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Propose(_) => f.write_str("the membership can't be changed here"),
            Self::ChangeInProgress => f.write_str("an earlier change is not committed yet"),
            Self::AlreadyMember => f.write_str("the instance is a member already"),
            Self::NotMember => f.write_str("the instance is not a member"),
            Self::NotLearner => f.write_str("the instance is not a learner"),
            Self::IsLeader => f.write_str("the leader can't remove itself"),
            Self::NotCaughtUp {
                match_index,
                needed_index,
            } => {
                write!(
                    f,
                    "the learner has synced up to {match_index} and needs {needed_index}"
                )
            }
            Self::Unreachable => f.write_str("the learner is out of touch"),
            Self::WouldLoseQuorum => f.write_str("too few of the remaining voters are in touch"),
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

/// Says why a read was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// This node doesn't lead; the hint names the leader if it is known.
    NotLeader {
        /// The leader, as far as this node knows.
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
            } => write!(f, "not the leader; {leader} leads"),
            Self::NotLeader { leader: None } => f.write_str("not the leader; none is known"),
            Self::Full => f.write_str("too many reads wait for a quorum"),
        }
    }
}

impl Error for ReadError {}

/// Says why leadership can't be handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferError {
    /// This node doesn't lead.
    NotLeader,
    /// A hand-over is under way.
    TransferInProgress,
    /// The successor is not another voter.
    NotVoter,
    /// The successor didn't answer within the election timeout.
    Unreachable,
}

impl fmt::Display for TransferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotLeader => "not the leader",
            Self::TransferInProgress => "leadership is being handed over already",
            Self::NotVoter => "the successor is not another voter",
            Self::Unreachable => "the successor is out of touch",
        })
    }
}

impl Error for TransferError {}
