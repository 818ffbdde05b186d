//! Membership changes of control instances: joining, promotion and removal.

use std::time::Duration;

use hinge_raft::{MembershipChange, NodeId, Role};
use hinge_schema::messages::{JoinControl, JoinedControl, RemovedControl};
use hinge_state::{Command, ControlName};

use hinge_telemetry::info;
use hinge_telemetry::log::Part;

use super::LogError;
use super::diskless::is_being_founded;
use super::thread::LogThread;
use super::votes::{Promotion, PromotionContext, decide_promotion, may_vote};

/// Silence after which a voter is replaced by a caught-up learner.
///
/// A restart takes about a second, and a lost instance counts as repaired four seconds after its replacement starts.
const VOTER_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

impl LogThread {
    /// Advances an instance one step: add it as a learner, remove its lost incarnation, make it a voter.
    pub(super) fn join(
        &mut self,
        now: Duration,
        join: &JoinControl,
    ) -> Result<JoinedControl, LogError> {
        if self.node.role() != Role::Leader {
            return Err(LogError::NotLeader);
        }
        let not_yet = |detail: &str| {
            Ok(JoinedControl {
                voter: false,
                detail: detail.into(),
            })
        };
        let membership = self.node.membership().clone();
        self.record_joiner(now, join);
        if membership.is_voter(join.node_id) {
            self.forget_old_incarnations(now, join);
            return Ok(JoinedControl {
                voter: true,
                detail: Box::default(),
            });
        }
        let proposed = if !membership.is_learner(join.node_id) {
            self.propose_membership_change(now, MembershipChange::AddLearner(join.node_id))
        } else if let Err(cause) = self.node.check_promotion(join.node_id) {
            Err(cause.to_string())
        } else if let Some(lost) = self.previous_incarnation(join) {
            self.propose_membership_change(now, MembershipChange::Remove(lost))
        } else {
            self.promote_learner(now, join)
        };
        match proposed {
            Ok(()) => not_yet("on the way"),
            Err(cause) => not_yet(&cause),
        }
    }

    /// Makes a caught-up learner a voter, or removes the silent voter that it replaces.
    ///
    /// This covers an instance that is permanently lost and comes back under another address, which nobody removes by
    /// hand. A voter that was only partitioned off is replaced as well, and joins again like any other; until then the
    /// replacement counts.
    fn promote_learner(&mut self, now: Duration, join: &JoinControl) -> Result<(), String> {
        let membership = self.node.membership();
        let disks = self.voter_disks();
        let is_being_founded = is_being_founded(now);
        let may_vote = |id: NodeId| may_vote(self.is_diskless(id), disks, is_being_founded);
        if !may_vote(join.node_id) {
            self.forget_old_incarnations(now, join);
            return Err("an instance without a disk follows only".to_owned());
        }
        let others = membership.learners.iter().filter(|id| **id != join.node_id);
        let others = others.filter(|id| may_vote(**id));
        let ready = others.filter(|id| self.node.check_promotion(**id).is_ok());
        let has_disk = !self.is_diskless(join.node_id);
        let context = PromotionContext {
            voters: membership.voters.len(),
            diskless_voters: if has_disk { disks.without } else { 0 },
            other_ready_learners: ready.count(),
            silent_voter: self.node.silent_voter(VOTER_SILENCE_TIMEOUT),
        };
        match decide_promotion(context, self.min_voters()) {
            Promotion::Promote => {
                self.propose_membership_change(now, MembershipChange::Promote(join.node_id))
            }
            Promotion::Replace(gone) => {
                info!(
                    Part::Control,
                    "Replacing a silent instance.",
                    gone = gone,
                    by = join.node_id,
                    address = join.address
                );
                self.propose_membership_change(now, MembershipChange::Remove(gone))
            }
            Promotion::Wait => Err("an even number of voters bears no more losses".to_owned()),
        }
    }

    /// Returns the number of voters needed to tolerate the configured losses.
    pub(super) fn min_voters(&self) -> usize {
        2 * self.tolerated_losses as usize + 1
    }

    pub(super) fn propose_membership_change(
        &mut self,
        now: Duration,
        change: MembershipChange,
    ) -> Result<(), String> {
        let proposed = self.node.propose_membership(now, change);
        proposed
            .map(|_position| ())
            .map_err(|cause| cause.to_string())
    }

    /// Records in the log, on the leader, the names of founders that have sent a message.
    ///
    /// From then on the fleet knows that a founder was a member, so that one that lost its folder can't start afresh
    /// under the ID under which it has voted.
    pub(super) fn record_founders(&mut self, now: Duration) {
        if self.node.role() != Role::Leader {
            return;
        }
        let own_id = self.own_id;
        let unnamed = self.founding.iter().filter(|(id, _)| {
            let was_member = **id == own_id || self.seen_peers.contains(id);
            was_member && !self.state.control().contains_key(id)
        });
        let is_member = |id: NodeId| self.node.membership().contains(id);
        let unnamed = unnamed.filter(|(id, _)| is_member(**id));
        let commands: Vec<_> = unnamed
            .map(|(id, name)| Command::NameControl {
                node_id: *id,
                instance: name.instance.clone(),
                address: name.address.clone(),
                diskless: self.is_diskless(*id),
            })
            .collect();
        for command in commands {
            let _asked_again_later = self.node.propose(now, command.encode());
        }
    }

    /// Records the joiner's name and address in the log, unless they are already there.
    fn record_joiner(&mut self, now: Duration, join: &JoinControl) {
        let known = self.state.control().get(&join.node_id);
        let name = ControlName {
            instance: join.instance.clone(),
            address: join.address.clone(),
            diskless: join.diskless.unwrap_or_default(),
        };
        let is_known = known == Some(&name);
        self.peers.learn(join.node_id, &join.address);
        if is_known {
            return;
        }
        let command = Command::NameControl {
            node_id: join.node_id,
            instance: name.instance,
            address: name.address,
            diskless: name.diskless,
        };
        let _asked_again_later = self.node.propose(now, command.encode());
    }

    /// Returns an earlier incarnation of the joiner that is still a member.
    fn previous_incarnation(&self, join: &JoinControl) -> Option<NodeId> {
        let membership = self.node.membership();
        let members = membership.voters.iter().chain(&membership.learners);
        let mut others = members.copied().filter(|id| *id != join.node_id);
        others.find(|id| {
            self.name_of_member(*id)
                .is_some_and(|name| name.instance == join.instance)
        })
    }

    pub(super) fn name_of_member(&self, node_id: NodeId) -> Option<&ControlName> {
        let named = self.state.control().get(&node_id);
        named.or_else(|| self.founding.get(&node_id))
    }

    /// Deletes the names of earlier incarnations that are no longer members, once the joiner has replaced them.
    fn forget_old_incarnations(&mut self, now: Duration, join: &JoinControl) {
        let membership = self.node.membership();
        let named = self.state.control().iter();
        let is_lost = |id: NodeId, name: &ControlName| {
            name.instance == join.instance && id != join.node_id && !membership.contains(id)
        };
        let lost = named.filter(|(id, name)| is_lost(**id, name));
        let lost: Vec<NodeId> = lost.map(|(id, _)| *id).collect();
        for node_id in lost {
            let command = Command::ForgetControl { node_id };
            let _asked_again_later = self.node.propose(now, command.encode());
        }
    }

    /// Removes an instance that is permanently lost.
    pub(super) fn remove(
        &mut self,
        now: Duration,
        instance: &str,
    ) -> Result<RemovedControl, LogError> {
        if self.node.role() != Role::Leader {
            return Err(LogError::NotLeader);
        }
        let membership = self.node.membership();
        let members = membership.voters.iter().chain(&membership.learners);
        let named = members.copied().find(|id| {
            self.name_of_member(*id)
                .is_some_and(|name| *name.instance == *instance)
        });
        let removed = match named {
            Some(node_id) => self.propose_membership_change(now, MembershipChange::Remove(node_id)),
            None => Err("no control instance has this name".to_owned()),
        };
        Ok(RemovedControl {
            removed: removed.is_ok(),
            detail: removed.err().unwrap_or_default().into(),
        })
    }
}
