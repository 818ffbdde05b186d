//! Hands leadership over, for a planned stop.

use std::time::Duration;

use crate::Body;
use crate::error::TransferError;
use crate::node::{Node, State};
use crate::types::NodeId;

/// Tracks a hand-over under way.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) to: NodeId,
    /// When the leader gives up and takes proposals again.
    pub(crate) ends_at: Duration,
    pub(crate) asked: bool,
}

impl Node {
    /// Hands leadership to another voter: takes no more proposals, waits until it has the whole log, lets it campaign.
    ///
    /// If the successor hasn't taken over within the election timeout, this node goes on.
    ///
    /// # Errors
    ///
    /// Returns why the hand-over can't begin.
    pub fn transfer_leadership(&mut self, now: Duration, to: NodeId) -> Result<(), TransferError> {
        self.observe(now);
        let State::Leader(leading) = &self.state else {
            return Err(TransferError::NotLeader);
        };
        if leading.transfer.is_some() {
            return Err(TransferError::TransferInProgress);
        }
        if to == self.config.id || !self.log.membership().is_voter(to) {
            return Err(TransferError::NotVoter);
        }
        if !self.is_reachable(to) {
            return Err(TransferError::Unreachable);
        }
        let ends_at = self.now + self.config.election_timeout;
        let State::Leader(leading) = &mut self.state else {
            return Err(TransferError::NotLeader);
        };
        leading.transfer = Some(Transfer {
            to,
            ends_at,
            asked: false,
        });
        Ok(())
    }

    /// Returns the voter in touch that has the most of the log, as the one to hand over to.
    #[must_use]
    pub fn successor(&self) -> Option<NodeId> {
        let State::Leader(leading) = &self.state else {
            return None;
        };
        let membership = self.log.membership();
        let may_lead = leading.peers.iter().filter(|(id, progress)| {
            progress.complete && membership.is_voter(**id) && self.is_reachable(**id)
        });
        may_lead
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(id, _)| *id)
    }

    /// Asks the successor to campaign once it has the whole log.
    pub(crate) fn continue_transfer(&mut self) {
        let State::Leader(leading) = &mut self.state else {
            return;
        };
        let Some(transfer) = &mut leading.transfer else {
            return;
        };
        let has_whole_log = leading
            .peers
            .get(&transfer.to)
            .is_some_and(|peer| peer.match_index == self.log.last_index());
        if has_whole_log && !transfer.asked {
            // From here on a quorum may elect the successor at any time, so the lease must end first, for good.
            leading.lease_given_up = true;
            transfer.asked = true;
            self.outbox
                .send(self.hard.term, transfer.to, Body::TimeoutNow);
        }
    }

    /// Ends a hand-over that took too long.
    ///
    /// If the successor was asked, it may campaign at any time, so this term can have no lease again; the leader then
    /// stands for a new term itself.
    pub(crate) fn end_late_transfer(&mut self) {
        let now = self.now;
        let State::Leader(leading) = &mut self.state else {
            return;
        };
        let late = leading.transfer.take_if(|transfer| now >= transfer.ends_at);
        if late.is_some_and(|transfer| transfer.asked) {
            self.become_follower(self.hard.term, None);
            self.campaign(true);
        }
    }
}
