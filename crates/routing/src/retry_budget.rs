//! Bounds how often requests are sent a second time.
//!
//! The load pattern: endpoints fail or refuse many requests at once, and every repeat adds load where there is too much
//! already. The whole fleet may repeat a part of the requests of a sliding window. Each gateway keeps to that part of its
//! own requests, so that all together keep to it without knowing of each other.

use std::collections::VecDeque;
use std::time::Duration;

/// Parts of the window that are counted together; finer ones would cost memory and gain a few repeats at most.
const PARTS: u32 = 20;

/// Gateways that share the burst of the whole fleet. A gateway isn't told how many there are; 16 is twice the number of
/// today's deployments.
const SHARERS: u32 = 16;

/// Part of the allowed repeats that is used, in thousandths; requests that a gateway counts late or that are cut on
/// their way to it don't count in the fleet's total.
const USED_PERMILLE: u64 = 800;

/// Sets the budget of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetRules {
    /// Repeats per thousand requests.
    pub retry_permille: u32,
    /// Repeats in a window beyond that.
    pub burst_retries: u32,
    /// Window over which both are counted.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Part {
    began: Duration,
    requests: u64,
    repeats: u64,
}

/// Counts the requests and repeats of one service at one gateway.
#[derive(Debug)]
pub struct RetryBudget {
    rules: RetryBudgetRules,
    parts: VecDeque<Part>,
}

impl RetryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(rules: RetryBudgetRules) -> Self {
        Self {
            rules,
            parts: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Duration) {
        self.part(now).requests += 1;
    }

    /// Counts a repeat if the budget has one left, and returns whether it may be sent.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        self.part(now);
        let requests: u64 = self.parts.iter().map(|part| part.requests).sum();
        let repeats: u64 = self.parts.iter().map(|part| part.repeats).sum();
        let permille = u64::from(self.rules.retry_permille) * USED_PERMILLE / 1000;
        let burst = u64::from(self.rules.burst_retries / SHARERS);
        let may = repeats < requests * permille / 1000 + burst;
        if may {
            self.part(now).repeats += 1;
        }
        may
    }

    fn part(&mut self, now: Duration) -> &mut Part {
        let length = self.rules.window / PARTS;
        while self
            .parts
            .front()
            .is_some_and(|part| part.began + self.rules.window <= now)
        {
            self.parts.pop_front();
        }
        let is_over = self
            .parts
            .back()
            .is_none_or(|part| part.began + length <= now);
        if is_over {
            self.parts.push_back(Part {
                began: now,
                requests: 0,
                repeats: 0,
            });
        }
        self.parts
            .back_mut()
            .expect("a part was just pushed if there was none")
    }
}
