//! Leader election: pre-votes, votes, and the wait for the previous leader's lease to expire.

use std::collections::BTreeSet;

use rand::RngExt;

use crate::node::{Node, State};
use crate::progress::LeaderState;
use crate::types::{EntryKind, Index, NodeId, Term};
use crate::{Body, Message};

impl Node {
    pub(crate) fn restart_election_timer(&mut self) {
        let shortest = self.config.election_timeout;
        self.election_at = self.now + shortest + shortest.mul_f64(self.rng.random::<f64>());
    }

    /// Returns whether the message comes from a non-member and can be ignored.
    ///
    /// An example is an instance that has not learned of its own removal. A non-member whose log is ahead may have joined
    /// by an entry that this node lacks, and so may a leader, so their messages must be handled.
    pub(crate) fn is_stale_non_member(&self, message: &Message) -> bool {
        let membership = self.log.membership();
        if membership.is_empty() {
            return false;
        }
        match message.body {
            Body::Append { .. } | Body::SnapshotChunk { .. } => false,
            Body::PreVote {
                last_index,
                last_term,
            }
            | Body::Vote {
                last_index,
                last_term,
                ..
            } => {
                let is_ahead =
                    (last_term, last_index) > (self.log.last_term(), self.log.last_index());
                !membership.is_voter(message.from) && !is_ahead
            }
            _ => !membership.contains(message.from),
        }
    }

    /// Adopts a newer term and rejects an older one; returns whether to handle the message.
    pub(crate) fn check_term(&mut self, message: &Message) -> bool {
        let asks_for_vote = matches!(message.body, Body::PreVote { .. } | Body::Vote { .. });
        if asks_for_vote && !self.complete {
            // This incarnation may have voted before it lost its disk.
            return false;
        }
        if message.term < self.hard_state.term {
            self.reject_stale_term(message);
            return false;
        }
        if message.term == self.hard_state.term {
            return true;
        }
        match message.body {
            // A pre-vote request and its grant carry a term that no node has entered yet.
            Body::PreVote { .. } | Body::PreVoteReply { granted: true } => return true,
            // A vote request during the lease must not even raise the term, as that would depose a working leader.
            Body::Vote {
                transfer: false, ..
            } if self.must_wait_for_lease() => return false,
            _ => {}
        }
        let leader = match message.body {
            Body::Append { .. } | Body::SnapshotChunk { .. } => Some(message.from),
            _ => None,
        };
        self.become_follower(message.term, leader);
        true
    }

    /// Tells a sender that may still lead or campaign in an older term about the current one.
    fn reject_stale_term(&mut self, message: &Message) {
        let body = match &message.body {
            Body::PreVote { .. } => Body::PreVoteReply { granted: false },
            Body::Vote { .. } => Body::VoteReply { granted: false },
            Body::Append { round, .. } | Body::SnapshotChunk { round, .. } => {
                let (hint_index, hint_term) = (self.log.last_index(), self.log.last_term());
                let result = crate::AppendResult::Rejected {
                    prev_index: hint_index,
                    hint_index,
                    hint_term,
                };
                Body::AppendReply {
                    result,
                    round: *round,
                    complete: self.complete,
                }
            }
            _ => return,
        };
        self.outbox.send(self.hard_state.term, message.from, body);
    }

    /// Returns whether a leader may still rely on this node not to vote.
    pub(crate) fn must_wait_for_lease(&self) -> bool {
        matches!(self.state, State::Leader(_)) || self.now < self.votes_refused_until
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        if let State::Leader(leader_state) = std::mem::replace(&mut self.state, State::Follower) {
            self.dropped_reads
                .extend(leader_state.reads.iter().map(|read| read.read_id));
            self.report_leadership_lost();
        }
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
            self.hard_state.commit = self.commit;
            self.outbox.write_hard_state(self.hard_state);
        }
        self.leader = leader;
        self.incoming_snapshot = None;
        self.restart_election_timer();
    }

    /// Records contact from this term's leader: this node grants no vote to others until the lease expires.
    pub(crate) fn on_leader_contact(&mut self, leader: NodeId) {
        if self.leader != Some(leader) || !matches!(self.state, State::Follower) {
            self.become_follower(self.hard_state.term, Some(leader));
        }
        self.votes_refused_until = self.votes_refused_until.max(self.now + self.config.lease);
        self.restart_election_timer();
    }

    fn other_voters(&self) -> Vec<NodeId> {
        let own = self.config.id;
        self.log
            .membership()
            .voters
            .iter()
            .copied()
            .filter(|id| *id != own)
            .collect()
    }

    fn can_campaign(&self) -> bool {
        self.complete && self.log.membership().is_voter(self.config.id)
    }

    fn is_quorum(&self, votes: &BTreeSet<NodeId>) -> bool {
        let membership = self.log.membership();
        let counted = membership
            .voters
            .iter()
            .filter(|id| votes.contains(id))
            .count();
        counted >= membership.quorum()
    }

    pub(crate) fn start_pre_vote(&mut self) {
        self.leader = None;
        self.restart_election_timer();
        if !self.can_campaign() {
            return;
        }
        let votes = BTreeSet::from([self.config.id]);
        let has_won = self.is_quorum(&votes);
        self.state = State::PreCandidate(votes);
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for peer in self.other_voters() {
            self.outbox
                .send(self.hard_state.term + 1, peer, body.clone());
        }
        if has_won {
            self.campaign(false);
        }
    }

    pub(crate) fn campaign(&mut self, transfer: bool) {
        self.hard_state.term += 1;
        self.hard_state.voted_for = Some(self.config.id);
        self.hard_state.commit = self.commit;
        self.outbox.write_hard_state(self.hard_state);
        self.leader = None;
        self.incoming_snapshot = None;
        self.restart_election_timer();
        // The node's own vote counts only once it is synced.
        self.state = State::Candidate(BTreeSet::new());
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for peer in self.other_voters() {
            self.outbox.send(
                self.hard_state.term,
                peer,
                Body::Vote {
                    last_index,
                    last_term,
                    transfer,
                },
            );
        }
    }

    pub(crate) fn count_own_vote(&mut self) {
        if matches!(self.state, State::Candidate(_)) && self.outbox.is_hard_state_synced() {
            self.count_vote(self.config.id);
        }
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: NodeId,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        if self.must_wait_for_lease() {
            return;
        }
        let granted =
            term > self.hard_state.term && self.log.is_candidate_up_to_date(last_index, last_term);
        let reply_term = if granted { term } else { self.hard_state.term };
        self.outbox
            .send(reply_term, from, Body::PreVoteReply { granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: NodeId, term: Term, granted: bool) {
        let State::PreCandidate(votes) = &mut self.state else {
            return;
        };
        if !granted || term != self.hard_state.term + 1 {
            return;
        }
        votes.insert(from);
        let votes = votes.clone();
        if self.is_quorum(&votes) {
            self.campaign(false);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        from: NodeId,
        last_index: Index,
        last_term: Term,
        transfer: bool,
    ) {
        if !transfer && self.must_wait_for_lease() {
            return;
        }
        let can_vote = self
            .hard_state
            .voted_for
            .is_none_or(|voted_for| voted_for == from);
        let granted = can_vote
            && self.leader.is_none()
            && self.log.is_candidate_up_to_date(last_index, last_term);
        if granted {
            self.hard_state.voted_for = Some(from);
            self.hard_state.commit = self.commit;
            self.outbox.write_hard_state(self.hard_state);
            self.restart_election_timer();
        }
        self.outbox
            .send(self.hard_state.term, from, Body::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: NodeId, granted: bool) {
        if granted && matches!(self.state, State::Candidate(_)) {
            self.count_vote(from);
        }
    }

    fn count_vote(&mut self, from: NodeId) {
        let State::Candidate(votes) = &mut self.state else {
            return;
        };
        votes.insert(from);
        let votes = votes.clone();
        if self.is_quorum(&votes) {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        let first_index = self.log.last_index() + 1;
        let inherited_bytes = self.log.payload_bytes_after(self.commit);
        let leader_state = LeaderState::new(first_index, inherited_bytes, self.now);
        self.state = State::Leader(Box::new(leader_state));
        self.leader = Some(self.config.id);
        self.track_members();
        self.append_as_leader(EntryKind::Noop, Box::default());
    }

    pub(crate) fn on_timeout_now(&mut self, from: NodeId) {
        if self.can_campaign() && self.leader == Some(from) {
            self.campaign(true);
        }
    }
}
