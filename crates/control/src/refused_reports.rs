//! Counts refused endpoint reports and rate-limits the log lines about them.
//!
//! A process that is not one of the endpoints may send reports at any rate; logging each one would displace other log
//! lines.

use std::time::Duration;

/// Minimum time between log lines: an operator sees the cause within a second, and a flood costs one line per second.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A counter of refused reports.
#[derive(Debug, Default)]
pub(crate) struct RefusedReports {
    count: u64,
    logged_count: u64,
    logged_at: Option<Duration>,
}

impl RefusedReports {
    /// Counts a refused report; if a log line is due, returns the number of reports since the last one.
    pub(crate) fn note(&mut self, now: Duration) -> Option<u64> {
        self.count += 1;
        let is_due = self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if !is_due {
            return None;
        }
        let since = self.count - self.logged_count;
        self.logged_count = self.count;
        self.logged_at = Some(now);
        Some(since)
    }

    /// Returns the number of refused reports since the start.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}

#[cfg(test)]
mod tests;
