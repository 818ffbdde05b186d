//! Decides which instances are voters of the log.
//!
//! During a network partition operators may go on changing routes, and gateways next to control instances reach only
//! those on their own side. So the side with more instances has to keep the quorum. It does when all instances vote, or
//! all but one if their number is even: a side with more than half of the instances then has more than half of the votes.

#[cfg(test)]
mod tests;

use hinge_raft::NodeId;

/// Maximum number of voters.
///
/// Nine tolerate four losses, twice what current fleets are asked to tolerate. A commit waits for more than half of the
/// voters, so each further one makes it slower.
pub(super) const MAX_VOTERS: usize = 9;

/// The state of the membership when a caught-up learner asks to become a voter.
#[derive(Debug, Clone, Copy)]
pub(super) struct PromotionContext {
    /// Number of voters.
    pub(super) voters: usize,
    /// Voters without a disk, which are to be replaced.
    pub(super) diskless_voters: usize,
    /// Other learners that are caught up and may vote.
    pub(super) other_ready_learners: usize,
    /// A voter that has been silent for too long.
    pub(super) silent_voter: Option<NodeId>,
}

/// The number of voters with and without a disk; voters that were never heard of count as neither.
#[derive(Debug, Clone, Copy)]
pub(super) struct VoterDisks {
    pub(super) with: usize,
    pub(super) without: usize,
}

impl VoterDisks {
    /// Returns whether the fleet runs without any disk, since no instance with one joined while it was founded.
    fn is_fleet_diskless(self, is_being_founded: bool) -> bool {
        self.with == 0 && !is_being_founded
    }
}

/// What a leader does with a caught-up learner that asks to become a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Promotion {
    /// The learner becomes a voter.
    Promote,
    /// This silent voter is removed first; the learner takes its place when it asks again.
    Replace(NodeId),
    /// The learner stays a learner.
    Wait,
}

/// Decides on a caught-up learner, where at least `min_voters` are wanted.
///
/// Beyond the minimum, voters are added two at a time: an even number tolerates no more losses than one less, and can be
/// partitioned into halves of which neither has a quorum.
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

/// Returns whether a learner may vote, given its disk and those of the voters.
///
/// Entries that an instance without a disk acknowledged are lost when its process ends, so its vote counts only where no
/// instance has a disk.
pub(super) fn may_vote(is_diskless: bool, disks: VoterDisks, is_being_founded: bool) -> bool {
    !is_diskless || disks.is_fleet_diskless(is_being_founded)
}

/// Returns whether voters without a disk have to leave the quorum now.
///
/// While a fleet is founded they stay until enough others vote: a quorum with a single disk would lose, with that disk,
/// what was acknowledged before a second one joined.
pub(super) fn should_remove_diskless_voters(
    disks: VoterDisks,
    min_voters: usize,
    is_being_founded: bool,
) -> bool {
    let are_enough = disks.with >= min_voters || !is_being_founded;
    disks.without > 0 && disks.with > 0 && are_enough
}

/// Returns whether a commit may be acknowledged: all voters store it on disk, or no instance of the fleet has a disk.
pub(super) fn may_acknowledge(disks: VoterDisks, is_being_founded: bool) -> bool {
    disks.without == 0 || disks.is_fleet_diskless(is_being_founded)
}
