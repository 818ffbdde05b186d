//! Observes how fast a queue drains, to say when to come back.

use std::time::Duration;

/// Picks before the observed rate is believed; fewer say more about the first arrivals than about the endpoint.
const MIN_PICKS: u32 = 8;

/// Weight of one observation is one in this many; sixteen smooths over the mix of short and long requests.
const SMOOTHING_DIVISOR: u128 = 16;

/// Retry delay before anything is known.
const DEFAULT_DELAY: Duration = Duration::from_secs(1);

/// Bounds of a retry delay: below, callers would spin; above, they would miss that the queue has drained.
const MIN_DELAY: Duration = Duration::from_millis(50);
const MAX_DELAY: Duration = Duration::from_mins(1);

/// Smoothed time between two picks while offers wait.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    pick_count: u32,
    interval_ns: u128,
    interval_start: Duration,
}

impl DrainRate {
    /// Notes that the queue has begun to fill.
    pub(crate) fn record_backlog_start(&mut self, now: Duration) {
        // Time without waiting offers says nothing about the endpoint's speed.
        self.interval_start = now;
    }

    /// Notes that an offer was picked.
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

    /// Returns the time in which `picks` offers leave the queue, once enough was observed.
    pub(crate) fn time_for_picks(&self, picks: u64) -> Option<Duration> {
        if self.pick_count < MIN_PICKS {
            return None;
        }
        let nanos = self.interval_ns.saturating_mul(u128::from(picks));
        let nanos = u64::try_from(nanos).unwrap_or(u64::MAX);
        Some(Duration::from_nanos(nanos))
    }

    /// Returns the retry delay for a caller ahead of whom `picks` offers leave the queue.
    pub(crate) fn retry_after(&self, picks: u64) -> Duration {
        let wait = self.time_for_picks(picks).unwrap_or(DEFAULT_DELAY);
        wait.clamp(MIN_DELAY, MAX_DELAY)
    }
}
