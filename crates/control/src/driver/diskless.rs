//! Keeps instances without a disk out of the quorum.
//!
//! A fleet is founded on the first addresses that its processes were configured with, and some of those instances may
//! have no disk. They may elect the first leader; then instances with a disk join and replace them as voters, and only
//! after that is anything acknowledged.

use std::time::Duration;

use hinge_raft::{MembershipChange, NodeId, Role};
use hinge_state::Command;
use hinge_telemetry::info;
use hinge_telemetry::log::Part;

use super::thread::LogThread;
use super::votes::{VoterDisks, may_acknowledge, should_remove_diskless_voters};
use crate::open::Log;

/// Time from the start in which instances with a disk are expected to join.
///
/// A fleet that no instance with a disk has joined by then runs without any.
const FOUNDING_PERIOD: Duration = Duration::from_secs(5);

/// Silence after which a follower without a disk is removed; one that was only partitioned off joins again.
const FORGET_SILENT_AFTER: Duration = Duration::from_secs(10);

impl LogThread {
    /// Returns whether an instance is known to store the log in memory only.
    pub(super) fn is_diskless(&self, node_id: NodeId) -> bool {
        if node_id == self.own_id {
            return matches!(self.log, Log::Memory);
        }
        let named = self.state.control().get(&node_id);
        named.map_or_else(
            || self.diskless_peers.contains(&node_id),
            |name| name.diskless,
        )
    }

    /// Counts the voters with and without a disk; a voter that was never heard of counts as neither.
    pub(super) fn voter_disks(&self) -> VoterDisks {
        let voters = &self.node.membership().voters;
        let is_known = |id: NodeId| {
            id == self.own_id
                || self.seen_peers.contains(&id)
                || self.state.control().contains_key(&id)
        };
        let without = voters.iter().filter(|id| self.is_diskless(**id)).count();
        let with = voters
            .iter()
            .filter(|id| is_known(**id) && !self.is_diskless(**id));
        VoterDisks {
            with: with.count(),
            without,
        }
    }

    /// Returns whether commits are as durable as this fleet can make them.
    pub(super) fn can_acknowledge(&self) -> bool {
        let is_alone = self.founding.len() == 1;
        is_alone || may_acknowledge(self.voter_disks(), is_being_founded(self.now()))
    }

    /// Replaces voters without a disk by instances with one, one at a time, on the leader.
    pub(super) fn remove_diskless_voters(&mut self, now: Duration) {
        if self.node.role() != Role::Leader {
            return;
        }
        self.forget_silent_learners(now);
        let disks = self.voter_disks();
        let min_voters = self.min_voters();
        if !should_remove_diskless_voters(disks, min_voters, is_being_founded(now)) {
            return;
        }
        let voters = self.node.membership().voters.clone();
        let other = voters
            .iter()
            .find(|id| **id != self.own_id && self.is_diskless(**id));
        if let Some(other) = other {
            // A membership change in progress completes first; this one is retried at the next tick.
            if self
                .propose_membership_change(now, MembershipChange::Remove(*other))
                .is_ok()
            {
                info!(
                    Part::Control,
                    "An instance without a disk gives up its vote.",
                    node = other,
                    voters_with_disk = disks.with
                );
            }
            return;
        }
        let successor = voters.iter().copied().find(|id| {
            let may_lead = *id != self.own_id && !self.is_diskless(*id);
            may_lead && self.node.transfer_leadership(now, *id).is_ok()
        });
        if let Some(successor) = successor {
            info!(
                Part::Control,
                "Handing leadership over to an instance with a disk.",
                successor = successor
            );
        }
    }

    /// Removes silent followers without a disk; every start of such an instance is a new follower, so old ones never
    /// return.
    fn forget_silent_learners(&mut self, now: Duration) {
        let learners = &self.node.membership().learners;
        let silent = learners.iter().copied().find(|id| {
            *id != self.own_id
                && self.is_diskless(*id)
                && self.node.is_silent(*id, FORGET_SILENT_AFTER)
        });
        let Some(silent) = silent else {
            return;
        };
        if self
            .propose_membership_change(now, MembershipChange::Remove(silent))
            .is_ok()
        {
            let command = Command::ForgetControl { node_id: silent };
            let _stays_named_if_lost = self.node.propose(now, command.encode());
        }
    }
}

/// Returns whether the fleet is still being founded, so that instances with a disk may yet join.
pub(super) fn is_being_founded(since_start: Duration) -> bool {
    since_start < FOUNDING_PERIOD
}
