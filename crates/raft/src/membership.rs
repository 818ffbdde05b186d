//! Quorums and membership changes.

use smallvec::SmallVec;

use crate::error::{MembershipError, ProposeError};
use crate::node::{Node, State};
use crate::types::{Entry, EntryKind, Index, Membership, NodeId, Term};

/// Voters stored inline without heap allocation; control has 3 to 9.
pub(crate) const INLINE_VOTERS: usize = 9;

/// A membership change by one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds an instance that receives the log without counting towards a quorum.
    AddLearner(NodeId),
    /// Turns a learner that has caught up into a voter.
    Promote(NodeId),
    /// Removes a voter or a learner.
    Remove(NodeId),
}

impl Membership {
    /// Returns whether an instance is a voter.
    #[must_use]
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.voters.contains(&id)
    }

    /// Returns whether an instance is a learner.
    #[must_use]
    pub fn is_learner(&self, id: NodeId) -> bool {
        self.learners.contains(&id)
    }

    /// Returns whether an instance is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: NodeId) -> bool {
        self.is_voter(id) || self.is_learner(id)
    }

    /// Returns whether there are no members, as on a node that has not received a membership yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty() && self.learners.is_empty()
    }

    /// Returns the number of voters that form a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the voters and then the learners.
    pub(crate) fn members(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the highest value that a quorum of voters has reached, or the default if there are no voters.
    pub(crate) fn quorum_value<V: Ord + Copy + Default>(
        &self,
        value_of: impl Fn(NodeId) -> V,
    ) -> V {
        let mut values: SmallVec<[V; INLINE_VOTERS]> =
            self.voters.iter().map(|id| value_of(*id)).collect();
        values.sort_unstable();
        values
            .len()
            .checked_sub(self.quorum())
            .map_or_else(V::default, |position| values[position])
    }

    fn with_change(&self, change: MembershipChange) -> Self {
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
            .expect("encoding a membership never fails")
            .into_boxed_slice()
    }
}

/// Returns the membership in an entry, or none if the payload is invalid.
pub(crate) fn decode(entry: &Entry) -> Option<Membership> {
    rmp_serde::from_slice(&entry.payload).ok()
}

impl Node {
    /// Appends a membership change by one instance; it takes effect as soon as it is appended.
    ///
    /// To replace a lost voter: add the new incarnation as a learner, wait until it has caught up, remove the old
    /// incarnation, promote the new one.
    ///
    /// # Errors
    ///
    /// Returns why the change is refused, in which case nothing was appended.
    pub fn propose_membership(
        &mut self,
        now: std::time::Duration,
        change: MembershipChange,
    ) -> Result<(Term, Index), MembershipError> {
        self.observe(now);
        self.check_can_propose().map_err(MembershipError::Propose)?;
        self.check_change(change)?;
        let next = self.log.membership().with_change(change);
        let entry = self.append_as_leader(EntryKind::Membership, next.encode());
        self.track_members();
        Ok((entry.0, entry.1))
    }

    fn check_change(&self, change: MembershipChange) -> Result<(), MembershipError> {
        // Two overlapping changes could have quorums without a common voter. A change from an earlier term may still be
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
            MembershipChange::Remove(_) => {
                self.check_remaining_quorum(&membership.with_change(change))
            }
        }
    }

    /// Checks whether this leader can promote a learner now.
    ///
    /// # Errors
    ///
    /// Returns why it can't: the learner lags, lost its disk or is unreachable.
    ///
    /// # Panics
    ///
    /// Panics if the leader does not track a member, which violates an invariant.
    pub fn check_promotion(&self, id: NodeId) -> Result<(), MembershipError> {
        if !self.log.membership().is_learner(id) {
            return Err(MembershipError::NotLearner);
        }
        let State::Leader(leader_state) = &self.state else {
            return Err(MembershipError::Propose(ProposeError::NotLeader {
                leader: self.leader,
            }));
        };
        let progress = leader_state
            .peers
            .get(&id)
            .expect("the leader tracks every member");
        if !progress.complete || progress.match_index < progress.required_index {
            return Err(MembershipError::NotCaughtUp {
                match_index: progress.match_index,
                needed_index: progress.required_index,
            });
        }
        if !self.is_reachable(id) {
            return Err(MembershipError::Unreachable);
        }
        Ok(())
    }

    /// Returns a voter that has not replied to this leader for `timeout`, if there is one.
    #[must_use]
    pub fn silent_voter(&self, timeout: std::time::Duration) -> Option<NodeId> {
        let mut voters = self.log.membership().voters.iter().copied();
        voters.find(|id| self.is_silent(*id, timeout))
    }

    /// Returns whether another instance has not replied to this leader for `timeout`.
    #[must_use]
    pub fn is_silent(&self, id: NodeId, timeout: std::time::Duration) -> bool {
        let State::Leader(leader_state) = &self.state else {
            return false;
        };
        let last_reply_at = leader_state
            .peers
            .get(&id)
            .and_then(|peer| peer.last_reply_at);
        let last_reply_at = last_reply_at
            .unwrap_or_default()
            .max(leader_state.elected_at);
        id != self.config.id && self.now >= last_reply_at + timeout
    }

    fn check_remaining_quorum(&self, next: &Membership) -> Result<(), MembershipError> {
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

    /// Returns whether a member replied within the election timeout.
    pub(crate) fn is_reachable(&self, id: NodeId) -> bool {
        if id == self.config.id {
            return true;
        }
        let State::Leader(leader_state) = &self.state else {
            return false;
        };
        leader_state.peers.get(&id).is_some_and(|progress| {
            let last_reply_at = progress.last_reply_at;
            last_reply_at.is_some_and(|last_reply_at| {
                self.now < last_reply_at + self.config.election_timeout
            })
        })
    }
}
