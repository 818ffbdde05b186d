//! Exponential backoff with jitter for calls to control.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Maximum wait after the first failure; a control instance restarts within a few hundred milliseconds.
const INITIAL_MAX_WAIT: Duration = Duration::from_millis(100);

/// Maximum wait; short enough that a changed configuration is in force within 7 s of control's return.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Counts consecutive failures, and computes the wait before the next attempt.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    consecutive_failures: u32,
}

impl Backoff {
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failure and returns a jittered wait, so that the processes of a recovering data centre don't call all at once.
    pub(crate) fn record_failure(&mut self, rng: &mut impl Rng) -> Duration {
        let max_wait = INITIAL_MAX_WAIT
            .saturating_mul(1 << self.consecutive_failures.min(8))
            .min(MAX_WAIT);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        rng.random_range(max_wait / 4..=max_wait)
    }
}
