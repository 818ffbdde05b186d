//! Takes in proposals, bounds them, and follows each until its fate is known.

use std::time::Duration;

use crate::error::ProposeError;
use crate::node::{Node, State};
use crate::output::{DropReason, ProposalDropped};
use crate::types::{Entry, EntryKind, Index, Term};

/// Follows an entry that this node appended as leader.
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
    /// Appends a command to the log; it takes effect when it comes out as committed with this term and index.
    ///
    /// Proposals made before the next [`Node::take_output`] share one message and one sync.
    ///
    /// # Errors
    ///
    /// Returns why the proposal is refused; nothing was appended then.
    pub fn propose(
        &mut self,
        now: Duration,
        payload: Box<[u8]>,
    ) -> Result<(Term, Index), ProposeError> {
        self.observe(now);
        self.check_may_propose()?;
        let max_bytes = self.config.max_batch_bytes;
        if payload.len() > max_bytes {
            return Err(ProposeError::TooLarge { max_bytes });
        }
        let is_full = self.proposals.len() >= self.config.max_pending_proposals
            || self.pending_bytes + payload.len() > self.config.max_pending_bytes;
        if is_full {
            return Err(ProposeError::Full);
        }
        Ok(self.append_own(EntryKind::Command, payload))
    }

    pub(crate) fn check_may_propose(&self) -> Result<(), ProposeError> {
        let State::Leader(leading) = &self.state else {
            return Err(ProposeError::NotLeader {
                leader: self.leader,
            });
        };
        match &leading.transfer {
            Some(transfer) => Err(ProposeError::TransferInProgress {
                successor: transfer.to,
            }),
            None => Ok(()),
        }
    }

    /// Appends an entry to the leader's own log and follows it.
    pub(crate) fn append_own(&mut self, kind: EntryKind, payload: Box<[u8]>) -> (Term, Index) {
        let term = self.hard.term;
        let index = self.log.last_index() + 1;
        let payload_bytes = payload.len();
        if kind != EntryKind::Noop {
            self.pending_bytes += payload_bytes;
            // Proposals of a lost term may still wait with higher indices than a new term's.
            let place = self
                .proposals
                .partition_point(|proposal| proposal.index <= index);
            let proposal = Proposal {
                term,
                index,
                payload_bytes,
            };
            self.proposals.insert(place, proposal);
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

    /// Tells the driver that the fate of this term's proposals is open; each is still followed.
    pub(crate) fn drop_proposals_unknown(&mut self) {
        let dropped = self
            .proposals
            .iter()
            .filter(|proposal| proposal.term == self.hard.term)
            .map(|proposal| proposal.dropped(DropReason::LeadershipLost));
        self.dropped_proposals.extend(dropped);
    }

    /// Settles the proposals whose place in the log is committed now.
    pub(crate) fn settle_proposals(&mut self) {
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

    /// Gives up following the proposals whose place a snapshot from the leader covers.
    pub(crate) fn cover_proposals(&mut self, last_index: Index) {
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
