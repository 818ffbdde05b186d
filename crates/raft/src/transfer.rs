//! Leadership transfer, for a planned stop.

use std::time::Duration;

use crate::Body;
use crate::error::TransferError;
use crate::node::{Node, State};
use crate::types::NodeId;

/// A leadership transfer in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) to: NodeId,
    /// When the leader aborts the transfer and accepts proposals again.
    pub(crate) deadline: Duration,
    pub(crate) timeout_now_sent: bool,
}

impl Node {
    /// Starts a leadership transfer: refuses proposals, waits until voter `to` has the whole log, then tells it to campaign.
    ///
    /// If the successor has not taken over within the election timeout, this node aborts the transfer.
    ///
    /// # Errors
    ///
    /// Returns why the transfer can't begin.
    pub fn transfer_leadership(&mut self, now: Duration, to: NodeId) -> Result<(), TransferError> {
        self.observe(now);
        let State::Leader(leader_state) = &self.state else {
            return Err(TransferError::NotLeader);
        };
        if leader_state.transfer.is_some() {
            return Err(TransferError::TransferInProgress);
        }
        if to == self.config.id || !self.log.membership().is_voter(to) {
            return Err(TransferError::NotVoter);
        }
        if !self.is_reachable(to) {
            return Err(TransferError::Unreachable);
        }
        let deadline = self.now + self.config.election_timeout;
        let State::Leader(leader_state) = &mut self.state else {
            return Err(TransferError::NotLeader);
        };
        leader_state.transfer = Some(Transfer {
            to,
            deadline,
            timeout_now_sent: false,
        });
        Ok(())
    }

    /// Returns the reachable voter with the most complete log, as the target for a leadership transfer.
    #[must_use]
    pub fn successor(&self) -> Option<NodeId> {
        let State::Leader(leader_state) = &self.state else {
            return None;
        };
        let membership = self.log.membership();
        let may_lead = leader_state.peers.iter().filter(|(id, progress)| {
            progress.complete && membership.is_voter(**id) && self.is_reachable(**id)
        });
        may_lead
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(id, _)| *id)
    }

    /// Tells the successor to campaign once it has the whole log.
    pub(crate) fn continue_transfer(&mut self) {
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let Some(transfer) = &mut leader_state.transfer else {
            return;
        };
        let has_whole_log = leader_state
            .peers
            .get(&transfer.to)
            .is_some_and(|peer| peer.match_index == self.log.last_index());
        if has_whole_log && !transfer.timeout_now_sent {
            // From here on a quorum may elect the successor at any time, so the lease must end first, for the rest of the term.
            leader_state.lease_surrendered = true;
            transfer.timeout_now_sent = true;
            self.outbox
                .send(self.hard_state.term, transfer.to, Body::TimeoutNow);
        }
    }

    /// Aborts a transfer that has reached its deadline.
    ///
    /// If the successor was told to campaign, it may do so at any time, so this term can have no lease again; the leader
    /// then campaigns for a new term itself.
    pub(crate) fn abort_expired_transfer(&mut self) {
        let now = self.now;
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let expired = leader_state
            .transfer
            .take_if(|transfer| now >= transfer.deadline);
        if expired.is_some_and(|transfer| transfer.timeout_now_sent) {
            self.become_follower(self.hard_state.term, None);
            self.campaign(true);
        }
    }
}
