//! Decides which instances vote in the log.
//!
//! The load pattern: control is cut in two while operators go on changing routes. Gateways beside control instances reach only
//! those of their own side, so the side that goes on must be the one with more instances. It is when all instances vote, or
//! all but one where their number is even: a side with more than half of the instances then has more than half of the votes.

#[cfg(test)]
mod tests;

use hinge_raft::NodeId;

/// Most instances that vote. Nine bear the loss of four, twice what a fleet of today is asked to bear, and a commit waits for
/// more than half of the voters, so each further one makes it dearer.
pub(super) const MAX_VOTERS: usize = 9;

/// Tells what a leader knows of the members when a learner that is ready asks for a vote.
#[derive(Debug, Clone, Copy)]
pub(super) struct PromotionContext {
    /// Instances that vote.
    pub(super) voters: usize,
    /// Voters among them that have no disk, and whose places are to be taken.
    pub(super) diskless_voters: usize,
    /// Further learners that are ready and may vote, beside the one that asks.
    pub(super) other_ready_learners: usize,
    /// A voter that has been silent for too long.
    pub(super) silent_voter: Option<NodeId>,
}

/// Counts the voters by what is known of their disks.
#[derive(Debug, Clone, Copy)]
pub(super) struct VoterDisks {
    pub(super) with: usize,
    pub(super) without: usize,
}

impl VoterDisks {
    /// Returns whether the fleet has to do without any disk, since none has joined while it was founded.
    fn is_fleet_diskless(self, is_being_founded: bool) -> bool {
        self.with == 0 && !is_being_founded
    }
}

/// Says what a leader does for a learner that is ready and asks for a vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Promotion {
    /// It votes from now on.
    Promote,
    /// A silent voter is removed first, whose place it takes when it asks again.
    Replace(NodeId),
    /// It stays a learner.
    Wait,
}

/// Returns what to do for a learner that is ready, where at least `least_voters` are wanted.
///
/// Beyond the least number, votes are given two at a time, as an even number bears no more losses than one less, and splits
/// into halves of which neither goes on.
pub(super) fn decide_promotion(context: PromotionContext, min_voters: usize) -> Promotion {
    let PromotionContext {
        voters,
        diskless_voters,
        other_ready_learners,
        silent_voter,
    } = context;
    if voters < min_voters || diskless_voters > 0 {
        return Promotion::Promote;
    }
    if let Some(gone) = silent_voter {
        return Promotion::Replace(gone);
    }
    let makes_odd = voters.is_multiple_of(2);
    let has_room_for_two = voters + 2 <= MAX_VOTERS && other_ready_learners > 0;
    if makes_odd || has_room_for_two {
        Promotion::Promote
    } else {
        Promotion::Wait
    }
}

/// Returns whether a learner may vote, by its disk and those of the voters.
///
/// What an instance without a disk confirms is gone when its process ends, so its vote counts only where nobody has a disk.
pub(super) fn may_vote(is_diskless: bool, disks: VoterDisks, is_being_founded: bool) -> bool {
    !is_diskless || disks.is_fleet_diskless(is_being_founded)
}

/// Returns whether voters without a disk leave the quorum now.
///
/// While a fleet is founded they stay until enough others vote, since a quorum of a single disk would lose with it what was
/// acknowledged before the second one joined.
pub(super) fn should_remove_diskless_voters(
    disks: VoterDisks,
    min_voters: usize,
    is_being_founded: bool,
) -> bool {
    let are_enough = disks.with >= min_voters || !is_being_founded;
    disks.without > 0 && disks.with > 0 && are_enough
}

/// Returns whether a commit may be acknowledged: every voter keeps it on a disk, or no instance of the fleet has one.
pub(super) fn may_acknowledge(disks: VoterDisks, is_being_founded: bool) -> bool {
    disks.without == 0 || disks.is_fleet_diskless(is_being_founded)
}
