//! Accepts a bounded number of proposals, and tracks each until its outcome is known.

use std::time::Duration;

use bytes::Bytes;

use crate::error::ProposeError;
use crate::node::{Node, State};
use crate::output::{DropReason, ProposalDropped};
use crate::types::{Entry, EntryKind, Index, Term};

/// An entry that this node appended as leader and that is not settled yet.
#[derive(Debug)]
pub(crate) struct Proposal {
    term: Term,
    index: Index,
    payload_bytes: usize,
}

impl Proposal {
    fn dropped(&self, reason: DropReason) -> ProposalDropped {
        ProposalDropped {
            term: self.term,
            index: self.index,
            reason,
        }
    }
}

impl Node {
    /// Appends a command to the log; it takes effect once it is output as committed with the returned term and index.
    ///
    /// Proposals made before the next [`Node::take_output`] share one message to each follower and one sync.
    ///
    /// # Errors
    ///
    /// Returns why the proposal is refused, in which case nothing was appended.
    pub fn propose(
        &mut self,
        now: Duration,
        payload: Box<[u8]>,
    ) -> Result<(Term, Index), ProposeError> {
        self.observe(now);
        self.check_can_propose()?;
        let max_bytes = self.config.max_proposal_bytes;
        if payload.len() > max_bytes {
            return Err(ProposeError::TooLarge { max_bytes });
        }
        let is_full = self.proposals.len() >= self.config.max_pending_proposals
            || self.uncommitted_bytes() + payload.len() > self.config.max_pending_bytes;
        if is_full {
            return Err(ProposeError::Full);
        }
        Ok(self.append_as_leader(EntryKind::Command, payload))
    }

    /// Returns the bytes of the proposals that wait to be committed, and of the entries that this leader began with.
    ///
    /// Without the latter, the uncommitted part of the log could grow with each change of the leader.
    fn uncommitted_bytes(&self) -> usize {
        let State::Leader(leader_state) = &self.state else {
            return self.pending_bytes;
        };
        let is_inheritance_committed = self.commit >= leader_state.first_index;
        if is_inheritance_committed {
            self.pending_bytes
        } else {
            self.pending_bytes + leader_state.inherited_bytes
        }
    }

    pub(crate) fn check_can_propose(&self) -> Result<(), ProposeError> {
        let State::Leader(leader_state) = &self.state else {
            return Err(ProposeError::NotLeader {
                leader: self.leader,
            });
        };
        match &leader_state.transfer {
            Some(transfer) => Err(ProposeError::TransferInProgress {
                successor: transfer.to,
            }),
            None => Ok(()),
        }
    }

    /// Appends an entry to the leader's own log, and tracks it unless it is a no-op.
    pub(crate) fn append_as_leader(
        &mut self,
        kind: EntryKind,
        payload: Box<[u8]>,
    ) -> (Term, Index) {
        let payload = Bytes::from(payload);
        let term = self.hard_state.term;
        let index = self.log.last_index() + 1;
        let payload_bytes = payload.len();
        if kind != EntryKind::Noop {
            self.pending_bytes += payload_bytes;
            // Proposals from an earlier term of this leader may still be pending at higher indices.
            let position = self
                .proposals
                .partition_point(|proposal| proposal.index <= index);
            let proposal = Proposal {
                term,
                index,
                payload_bytes,
            };
            self.proposals.insert(position, proposal);
        }
        let entry = Entry {
            term,
            index,
            kind,
            payload,
        };
        self.outbox.write_append(vec![entry.clone()]);
        self.log.append(entry);
        (term, index)
    }

    /// Reports to the driver that the outcome of this term's proposals is unknown; they are still tracked.
    pub(crate) fn report_leadership_lost(&mut self) {
        let dropped = self
            .proposals
            .iter()
            .filter(|proposal| proposal.term == self.hard_state.term)
            .map(|proposal| proposal.dropped(DropReason::LeadershipLost));
        self.dropped_proposals.extend(dropped);
    }

    /// Determines the outcome of the proposals whose index is now committed.
    pub(crate) fn resolve_proposals(&mut self) {
        while self
            .proposals
            .front()
            .is_some_and(|proposal| proposal.index <= self.commit)
        {
            let proposal = self.proposals.pop_front().expect("the front was just seen");
            self.pending_bytes -= proposal.payload_bytes;
            match self.log.term_at(proposal.index) {
                Some(term) if term == proposal.term => {}
                Some(_) => self
                    .dropped_proposals
                    .push(proposal.dropped(DropReason::Overwritten)),
                None => self
                    .dropped_proposals
                    .push(proposal.dropped(DropReason::CoveredBySnapshot)),
            }
        }
    }

    /// Stops tracking the proposals whose index is included in a snapshot from the leader.
    pub(crate) fn drop_covered_proposals(&mut self, last_index: Index) {
        while self
            .proposals
            .front()
            .is_some_and(|proposal| proposal.index <= last_index)
        {
            let proposal = self.proposals.pop_front().expect("the front was just seen");
            self.pending_bytes -= proposal.payload_bytes;
            self.dropped_proposals
                .push(proposal.dropped(DropReason::CoveredBySnapshot));
        }
    }
}
