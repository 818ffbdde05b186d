//! The leader's heartbeat rounds and their start times.
//!
//! The lease runs from the time at which a round *began*, before any of its messages was sent. A follower that
//! acknowledges the round received it later, and refuses votes for the full lease from then on. So the leader's lease
//! expires first, as long as the clock rates differ by less than the margin.

use std::collections::VecDeque;
use std::time::Duration;

/// The rounds that a quorum may still acknowledge.
#[derive(Debug)]
pub(crate) struct Rounds {
    current: u64,
    began: VecDeque<(u64, Duration)>,
}

impl Rounds {
    /// Begins the first round.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            current: 1,
            began: VecDeque::from([(1, now)]),
        }
    }

    pub(crate) fn current(&self) -> u64 {
        self.current
    }

    /// Begins the next round.
    pub(crate) fn begin(&mut self, now: Duration) {
        self.current += 1;
        self.began.push_back((self.current, now));
    }

    /// Returns when a round began; none if the round was discarded or never began.
    pub(crate) fn began_at(&self, round: u64) -> Option<Duration> {
        self.began
            .iter()
            .find(|(number, _)| *number == round)
            .map(|(_, began)| *began)
    }

    /// Discards the rounds before one that a quorum acknowledged.
    pub(crate) fn discard_before(&mut self, round: u64) {
        while self
            .began
            .front()
            .is_some_and(|(number, _)| *number < round)
        {
            self.began.pop_front();
        }
    }
}
