//! Limits how often requests are retried.
//!
//! Endpoints can fail or refuse many requests at once, and every retry adds load where there is too much
//! already. The whole fleet may retry a fraction of the requests in a sliding window. Each gateway keeps to
//! that fraction of its own requests, so that the fleet keeps to it without coordination.

use std::collections::VecDeque;
use std::time::Duration;

/// Buckets of the sliding window; finer ones would cost memory and allow a few more retries at most.
const BUCKETS: u32 = 20;

/// Number of gateways that share the burst of the whole fleet. A gateway isn't told how many there are; 16 is
/// twice the number in present deployments.
const ASSUMED_GATEWAYS: u32 = 16;

/// Fraction of the allowed retries that is used, in thousandths. Requests that a gateway counts late, or that
/// are lost on their way to it, don't count in the total of the fleet.
const USED_PERMILLE: u64 = 800;

/// The retry budget of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetRules {
    /// Retries per thousand requests.
    pub retry_permille: u32,
    /// Retries in a window beyond that.
    pub burst_retries: u32,
    /// Window over which both are counted.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Duration,
    requests: u64,
    retries: u64,
}

/// The retry budget of one service at one gateway.
#[derive(Debug)]
pub struct RetryBudget {
    rules: RetryBudgetRules,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(rules: RetryBudgetRules) -> Self {
        Self {
            rules,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Duration) {
        self.bucket(now).requests += 1;
    }

    /// Counts a retry if the budget has one left, and returns whether it may be sent.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        self.bucket(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let permille = u64::from(self.rules.retry_permille) * USED_PERMILLE / 1000;
        let burst = u64::from(self.rules.burst_retries / ASSUMED_GATEWAYS);
        let is_allowed = retries < requests * permille / 1000 + burst;
        if is_allowed {
            self.bucket(now).retries += 1;
        }
        is_allowed
    }

    fn bucket(&mut self, now: Duration) -> &mut Bucket {
        let length = self.rules.window / BUCKETS;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.start + self.rules.window <= now)
        {
            self.buckets.pop_front();
        }
        let is_over = self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.start + length <= now);
        if is_over {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was just pushed if there was none")
    }
}
