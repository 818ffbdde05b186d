//! Estimates how fast a queue drains, to compute retry delays.

use std::time::Duration;

/// Picks needed before the rate is used; fewer reflect the first arrivals rather than the endpoint.
const MIN_PICKS: u32 = 8;

/// Inverse weight of a new observation in the moving average; 16 smooths over the mix of short and long requests.
const SMOOTHING_DIVISOR: u128 = 16;

/// Retry delay before the drain rate is known.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Minimum retry delay; with a shorter one, callers would spin.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum retry delay; with a longer one, callers would miss that the queue has drained.
const MAX_RETRY_DELAY: Duration = Duration::from_mins(1);

/// An exponential moving average of the time between two picks while offers wait.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    pick_count: u32,
    interval_ns: u128,
    interval_start: Duration,
}

impl DrainRate {
    /// Records that an offer arrived in an empty queue.
    pub(crate) fn record_backlog_start(&mut self, now: Duration) {
        // The time that the queue was empty doesn't reflect the endpoint's speed.
        self.interval_start = now;
    }

    /// Records that an offer was picked.
    pub(crate) fn record_pick(&mut self, now: Duration) {
        let observed = now.saturating_sub(self.interval_start).as_nanos();
        self.interval_start = now;
        self.interval_ns = if self.pick_count == 0 {
            observed
        } else {
            (self.interval_ns * (SMOOTHING_DIVISOR - 1) + observed) / SMOOTHING_DIVISOR
        };
        self.pick_count = self.pick_count.saturating_add(1);
    }

    /// Returns the estimated time for `picks` picks, or `None` before enough picks were observed.
    pub(crate) fn time_for_picks(&self, picks: u64) -> Option<Duration> {
        if self.pick_count < MIN_PICKS {
            return None;
        }
        let nanos = self.interval_ns.saturating_mul(u128::from(picks));
        let nanos = u64::try_from(nanos).unwrap_or(u64::MAX);
        Some(Duration::from_nanos(nanos))
    }

    /// Returns the retry delay for a caller who has to wait for `picks` picks.
    pub(crate) fn retry_after(&self, picks: u64) -> Duration {
        let wait = self.time_for_picks(picks).unwrap_or(DEFAULT_RETRY_DELAY);
        wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }
}
