//! Gives control instances their places in the log.

use std::time::Duration;

use hinge_raft::{MembershipChange, NodeId, Role};
use hinge_schema::messages::{JoinControl, JoinedControl, RemovedControl};
use hinge_state::{Command, ControlName};

use hinge_telemetry::info;
use hinge_telemetry::log::Part;

use super::Refused;
use super::diskless::is_being_founded;
use super::thread::Thread;
use super::votes::{Members, Vote, may_vote, vote_for_learner};

/// Silence after which a voter is replaced by an instance that stands ready. A restart takes about a second, and a new
/// instance counts as repaired four seconds after it starts.
const REPLACE_AFTER: Duration = Duration::from_secs(2);

impl Thread {
    /// Moves an instance one step: learner, then in the place of its lost incarnation, then voter.
    pub(super) fn join(
        &mut self,
        now: Duration,
        join: &JoinControl,
    ) -> Result<JoinedControl, Refused> {
        if self.node.role() != Role::Leader {
            return Err(Refused::NotLeader);
        }
        let waits = |detail: &str| {
            Ok(JoinedControl {
                voter: false,
                detail: detail.into(),
            })
        };
        let membership = self.node.membership().clone();
        self.name_joiner(now, join);
        if membership.is_voter(join.node_id) {
            self.forget_lost(now, join);
            return Ok(JoinedControl {
                voter: true,
                detail: Box::default(),
            });
        }
        let changed = if !membership.is_learner(join.node_id) {
            self.change(now, MembershipChange::AddLearner(join.node_id))
        } else if let Err(cause) = self.node.check_promotion(join.node_id) {
            Err(cause.to_string())
        } else if let Some(lost) = self.lost_incarnation(join) {
            self.change(now, MembershipChange::Remove(lost))
        } else {
            self.give_vote(now, join)
        };
        match changed {
            Ok(()) => waits("on the way"),
            Err(cause) => waits(&cause),
        }
    }

    /// Lets a learner that is ready vote, or removes the silent voter whose place it takes.
    ///
    /// Nobody removes an instance by hand that is lost for good and comes back under another address. A voter that was
    /// only cut off loses its place as well, and joins again as any other; until then the one that is there counts.
    fn give_vote(&mut self, now: Duration, join: &JoinControl) -> Result<(), String> {
        let membership = self.node.membership();
        let disks = self.voter_disks();
        let is_being_founded = is_being_founded(now);
        let may_vote = |id: NodeId| may_vote(self.is_diskless(id), disks, is_being_founded);
        if !may_vote(join.node_id) {
            self.forget_lost(now, join);
            return Err("an instance without a disk follows only".to_owned());
        }
        let others = membership.learners.iter().filter(|id| **id != join.node_id);
        let others = others.filter(|id| may_vote(**id));
        let ready = others.filter(|id| self.node.check_promotion(**id).is_ok());
        let gives_way = !self.is_diskless(join.node_id);
        let members = Members {
            voters: membership.voters.len(),
            diskless_voters: if gives_way { disks.without } else { 0 },
            other_ready_learners: ready.count(),
            silent_voter: self.node.silent_voter(REPLACE_AFTER),
        };
        match vote_for_learner(members, self.least_voters()) {
            Vote::Give => self.change(now, MembershipChange::Promote(join.node_id)),
            Vote::TakeFrom(gone) => {
                info!(
                    Part::Control,
                    "Replacing a silent instance.",
                    gone = gone,
                    by = join.node_id,
                    address = join.address
                );
                self.change(now, MembershipChange::Remove(gone))
            }
            Vote::Wait => Err("an even number of voters bears no more losses".to_owned()),
        }
    }

    /// Returns how many voters bear the losses that this fleet is to bear.
    pub(super) fn least_voters(&self) -> usize {
        2 * self.tolerated_losses as usize + 1
    }

    pub(super) fn change(&mut self, now: Duration, change: MembershipChange) -> Result<(), String> {
        let changed = self.node.propose_membership(now, change);
        changed.map(|_place| ()).map_err(|cause| cause.to_string())
    }

    /// Writes the names of founders that were heard to the log, as the leader.
    ///
    /// From then on the fleet knows that a founder took part, and one that lost its folder can't start afresh under the
    /// number under which it has voted.
    pub(super) fn name_founders(&mut self, now: Duration) {
        if self.node.role() != Role::Leader {
            return;
        }
        let own_id = self.own_id;
        let unnamed = self.founding.iter().filter(|(id, _)| {
            let took_part = **id == own_id || self.heard.contains(id);
            took_part && !self.state.control().contains_key(id)
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

    /// Writes the joiner's name and address to the log, unless they stand there.
    fn name_joiner(&mut self, now: Duration, join: &JoinControl) {
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

    /// Returns an earlier incarnation of the joiner that still counts as a member.
    fn lost_incarnation(&self, join: &JoinControl) -> Option<NodeId> {
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

    /// Drops the names of incarnations that are gone, once the joiner has taken their place.
    fn forget_lost(&mut self, now: Duration, join: &JoinControl) {
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

    /// Removes an instance that is gone for good.
    pub(super) fn remove(
        &mut self,
        now: Duration,
        instance: &str,
    ) -> Result<RemovedControl, Refused> {
        if self.node.role() != Role::Leader {
            return Err(Refused::NotLeader);
        }
        let membership = self.node.membership();
        let members = membership.voters.iter().chain(&membership.learners);
        let named = members.copied().find(|id| {
            self.name_of_member(*id)
                .is_some_and(|name| *name.instance == *instance)
        });
        let removed = match named {
            Some(node_id) => self.change(now, MembershipChange::Remove(node_id)),
            None => Err("no control instance has this name".to_owned()),
        };
        Ok(RemovedControl {
            removed: removed.is_ok(),
            detail: removed.err().unwrap_or_default().into(),
        })
    }
}
