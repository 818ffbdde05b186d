//! Decides who counts for a quorum and how the membership may change.

use smallvec::SmallVec;

use crate::error::{MembershipError, ProposeError};
use crate::node::{Node, State};
use crate::types::{Entry, EntryKind, Index, Membership, NodeId, Term};

/// Voters that fit on the stack; control has 3 to 9.
pub(crate) const USUAL_VOTERS: usize = 9;

/// Says how to change the membership by one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// Lets an instance receive the log without counting for a quorum.
    AddLearner(NodeId),
    /// Makes a caught-up learner a voter.
    Promote(NodeId),
    /// Removes a voter or a learner.
    Remove(NodeId),
}

impl Membership {
    /// Returns whether an instance votes.
    #[must_use]
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.voters.contains(&id)
    }

    /// Returns whether an instance only follows.
    #[must_use]
    pub fn is_learner(&self, id: NodeId) -> bool {
        self.learners.contains(&id)
    }

    /// Returns whether an instance votes or follows.
    #[must_use]
    pub fn contains(&self, id: NodeId) -> bool {
        self.is_voter(id) || self.is_learner(id)
    }

    /// Returns whether nobody is a member, as on a node that has learned of none yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty() && self.learners.is_empty()
    }

    /// Returns the number of voters that make a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns all members.
    pub(crate) fn members(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the highest value that a quorum of voters has reached.
    pub(crate) fn quorum_value<V: Ord + Copy + Default>(
        &self,
        value_of: impl Fn(NodeId) -> V,
    ) -> V {
        let mut values: SmallVec<[V; USUAL_VOTERS]> =
            self.voters.iter().map(|id| value_of(*id)).collect();
        values.sort_unstable();
        values
            .len()
            .checked_sub(self.quorum())
            .map_or_else(V::default, |place| values[place])
    }

    fn changed(&self, change: MembershipChange) -> Self {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(id) => next.learners.push(id),
            MembershipChange::Promote(id) => {
                next.learners.retain(|learner| *learner != id);
                next.voters.push(id);
            }
            MembershipChange::Remove(id) => {
                next.learners.retain(|learner| *learner != id);
                next.voters.retain(|voter| *voter != id);
            }
        }
        next.voters.sort_unstable();
        next.learners.sort_unstable();
        next
    }

    fn encode(&self) -> Box<[u8]> {
        rmp_serde::to_vec_named(self)
            .expect("a membership is always encodable")
            .into_boxed_slice()
    }
}

/// Returns the membership that an entry holds, or none if its bytes are wrong.
pub(crate) fn decode(entry: &Entry) -> Option<Membership> {
    rmp_serde::from_slice(&entry.payload).ok()
}

impl Node {
    /// Appends a change of the membership by one instance; it counts from the moment it is appended.
    ///
    /// To replace a lost voter: add the new incarnation as a learner, wait until it has caught up, remove the old
    /// incarnation, promote the new one.
    ///
    /// # Errors
    ///
    /// Returns why the change is refused; nothing was appended then.
    pub fn propose_membership(
        &mut self,
        now: std::time::Duration,
        change: MembershipChange,
    ) -> Result<(Term, Index), MembershipError> {
        self.observe(now);
        self.check_may_propose().map_err(MembershipError::Propose)?;
        self.check_change(change)?;
        let next = self.log.membership().changed(change);
        let entry = self.append_own(EntryKind::Membership, next.encode());
        self.track_members();
        Ok((entry.0, entry.1))
    }

    fn check_change(&self, change: MembershipChange) -> Result<(), MembershipError> {
        // Two changes that overlap could have quorums without a common voter. A change of an earlier term may still be
        // overwritten, so the leader must first commit an entry of its own term.
        if self.log.membership_index() > self.commit || !self.has_committed_in_term() {
            return Err(MembershipError::ChangeInProgress);
        }
        let membership = self.log.membership();
        match change {
            MembershipChange::AddLearner(id) if id == 0 || membership.contains(id) => {
                Err(MembershipError::AlreadyMember)
            }
            MembershipChange::AddLearner(_) => Ok(()),
            MembershipChange::Promote(id) => self.check_promotion(id),
            MembershipChange::Remove(id) if id == self.config.id => Err(MembershipError::IsLeader),
            MembershipChange::Remove(id) if !membership.contains(id) => {
                Err(MembershipError::NotMember)
            }
            MembershipChange::Remove(_) => self.check_remaining(&membership.changed(change)),
        }
    }

    /// Checks whether this leader would promote a learner now.
    ///
    /// # Errors
    ///
    /// Returns why it would not: the learner lags, lost its disk or is out of touch.
    ///
    /// # Panics
    ///
    /// Panics if the leader does not track a member, which is a broken invariant.
    pub fn check_promotion(&self, id: NodeId) -> Result<(), MembershipError> {
        if !self.log.membership().is_learner(id) {
            return Err(MembershipError::NotLearner);
        }
        let State::Leader(leading) = &self.state else {
            return Err(MembershipError::Propose(ProposeError::NotLeader {
                leader: self.leader,
            }));
        };
        let progress = leading
            .peers
            .get(&id)
            .expect("the leader tracks every member");
        if !progress.complete || progress.match_index < progress.joined_index {
            return Err(MembershipError::NotCaughtUp {
                match_index: progress.match_index,
                needed_index: progress.joined_index,
            });
        }
        if !self.is_reachable(id) {
            return Err(MembershipError::Unreachable);
        }
        Ok(())
    }

    /// Returns a voter that has not answered this leader for some time, if there is one.
    #[must_use]
    pub fn silent_voter(&self, longest: std::time::Duration) -> Option<NodeId> {
        let mut voters = self.log.membership().voters.iter().copied();
        voters.find(|id| self.is_silent(*id, longest))
    }

    /// Returns whether another instance has not answered this leader for some time.
    #[must_use]
    pub fn is_silent(&self, id: NodeId, longest: std::time::Duration) -> bool {
        let State::Leader(leading) = &self.state else {
            return false;
        };
        let heard_at = leading.peers.get(&id).and_then(|peer| peer.heard_at);
        let heard_at = heard_at.unwrap_or_default().max(leading.began_at);
        id != self.config.id && self.now >= heard_at + longest
    }

    fn check_remaining(&self, next: &Membership) -> Result<(), MembershipError> {
        let reachable = next
            .voters
            .iter()
            .filter(|id| self.is_reachable(**id))
            .count();
        if reachable < next.quorum() {
            return Err(MembershipError::WouldLoseQuorum);
        }
        Ok(())
    }

    /// Returns whether a member answered within the election timeout.
    pub(crate) fn is_reachable(&self, id: NodeId) -> bool {
        if id == self.config.id {
            return true;
        }
        let State::Leader(leading) = &self.state else {
            return false;
        };
        leading.peers.get(&id).is_some_and(|progress| {
            let heard_at = progress.heard_at;
            heard_at.is_some_and(|heard_at| self.now < heard_at + self.config.election_timeout)
        })
    }
}
