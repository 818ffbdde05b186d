//! Linearizable reads, confirmed by the lease or by a heartbeat round.

use std::time::Duration;

use crate::ReadId;
use crate::error::ReadError;
use crate::node::{Node, State};
use crate::output::ReadReady;
use crate::progress::Progress;

/// A read that waits for confirmation by a quorum.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) read_id: ReadId,
    /// First round that begins after the read was requested.
    round: u64,
}

impl Node {
    /// Requests a linearizable read; it is output in [`crate::Output::reads`] once confirmed, at once while the lease holds.
    ///
    /// On a leader that has lost contact with the quorum, the read stays pending until it is dropped.
    ///
    /// # Errors
    ///
    /// Returns why the read is refused.
    pub fn read(&mut self, now: Duration, read_id: ReadId) -> Result<(), ReadError> {
        self.observe(now);
        let State::Leader(leader_state) = &mut self.state else {
            return Err(ReadError::NotLeader {
                leader: self.leader,
            });
        };
        if leader_state.reads.len() >= self.config.max_pending_reads {
            return Err(ReadError::Full);
        }
        // This round has not begun yet, so any acknowledgement of it is later than the read.
        let round = leader_state.rounds.current() + 1;
        leader_state.reads.push(PendingRead { read_id, round });
        if !self.holds_lease(self.now)
            && let State::Leader(leader_state) = &mut self.state
        {
            leader_state.round_due = true;
        }
        self.release_reads();
        Ok(())
    }

    /// Returns whether this node leads and no other node can lead at `now`, which must not precede the last input.
    #[must_use]
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Returns when the lease expires if no further replies arrive; none without a lease.
    ///
    /// A driver that publishes this time to other threads must do so before it sends an output's messages: one of them may
    /// tell a successor to campaign, and the lease has ended by then.
    #[must_use]
    pub fn lease_until(&self) -> Option<Duration> {
        let State::Leader(leader_state) = &self.state else {
            return None;
        };
        if leader_state.lease_surrendered {
            return None;
        }
        let began_at = leader_state.rounds.began_at(self.quorum_round())?;
        Some(began_at + self.config.usable_lease())
    }

    /// Returns the highest round that a quorum acknowledged; 0 means none.
    pub(crate) fn quorum_round(&self) -> u64 {
        let State::Leader(leader_state) = &self.state else {
            return 0;
        };
        self.log.membership().quorum_value(|id| {
            if id == self.config.id {
                return leader_state.rounds.current();
            }
            leader_state
                .peers
                .get(&id)
                .map_or(0, Progress::quorum_eligible_round)
        })
    }

    /// Returns whether an entry of this leader's own term is committed, which makes its commit index current.
    pub(crate) fn has_committed_in_term(&self) -> bool {
        let State::Leader(leader_state) = &self.state else {
            return false;
        };
        self.commit >= leader_state.first_index
    }

    pub(crate) fn release_reads(&mut self) {
        if !self.has_committed_in_term() {
            return;
        }
        let holds_lease = self.holds_lease(self.now);
        let round = self.quorum_round();
        let index = self.commit;
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let ready = &mut self.reads;
        leader_state.reads.retain(|read| {
            let is_ready = holds_lease || read.round <= round;
            if is_ready {
                ready.push(ReadReady {
                    read_id: read.read_id,
                    index,
                });
            }
            !is_ready
        });
    }
}
