//! Counts reports of endpoints that were refused, and says which of them are worth a line.
//!
//! The load pattern: a process that is none of the endpoints writes reports as fast as it likes, and a line for each would push
//! out the lines of what matters.

use std::time::Duration;

/// Least time between two lines: an operator sees the cause within a second, and a flood costs one line in each.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts refused reports.
#[derive(Debug, Default)]
pub(crate) struct RefusedReports {
    count: u64,
    logged_count: u64,
    logged_at: Option<Duration>,
}

impl RefusedReports {
    /// Notes one, and returns how many there were since the last line if it is time for another.
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

    /// Returns how many there were since the start.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}

#[cfg(test)]
mod tests;
