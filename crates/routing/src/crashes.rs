//! Tells the crash of an endpoint from a lost connection, and which requests were running when it crashed.
//!
//! When an endpoint crashes, all its responses break off within a few milliseconds, while the notice of the
//! crash arrives some tenths of a second later or from another process. A response that breaks off without
//! such a notice was cut or lost on its way.

use std::collections::VecDeque;
use std::time::Duration;

/// Longest time between a broken response and the notice of a crash that caused it. The admission sends the
/// notice within a second, and the next start of the endpoint at the latest, after some seconds.
const CRASH_MATCH_WINDOW: Duration = Duration::from_secs(5);

/// Broken responses kept until a notice of a crash; no more are needed than an endpoint runs concurrently.
const MAX_BROKEN: usize = 256;

/// The broken responses of one incarnation of an endpoint, and whether it has crashed.
#[derive(Debug)]
pub struct CrashTracker<R> {
    broken: VecDeque<(Duration, R)>,
    crashed_at: Option<Duration>,
    is_leaving: bool,
}

impl<R> Default for CrashTracker<R> {
    fn default() -> Self {
        Self {
            broken: VecDeque::new(),
            crashed_at: None,
            is_leaving: false,
        }
    }
}

impl<R> CrashTracker<R> {
    /// Records a request whose response broke off, and returns it if the endpoint has just crashed.
    pub fn record_broken(&mut self, now: Duration, request: R) -> Option<R> {
        if self.is_leaving {
            return None;
        }
        if self
            .crashed_at
            .is_some_and(|crashed_at| now < crashed_at + CRASH_MATCH_WINDOW)
        {
            return Some(request);
        }
        if self.broken.len() >= MAX_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back((now, request));
        None
    }

    /// Records a notice that the endpoint has crashed, and returns the requests that were running on it.
    pub fn record_crash(&mut self, now: Duration) -> Vec<R> {
        let broken = std::mem::take(&mut self.broken);
        if self.is_leaving {
            return Vec::new();
        }
        self.crashed_at = Some(now);
        let running = broken.into_iter();
        let running = running.filter(|(broken_at, _)| now < *broken_at + CRASH_MATCH_WINDOW);
        running.map(|(_, request)| request).collect()
    }

    /// Returns whether a notice of a crash was recorded.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.crashed_at.is_some()
    }

    /// Forgets broken responses that had another cause than a crash.
    pub fn forget_broken(&mut self, is_unrelated: impl Fn(&R) -> bool) {
        self.broken.retain(|(_, request)| !is_unrelated(request));
    }

    /// Returns whether the endpoint stops as planned.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records that the endpoint stops as planned, so that no request is blamed for its end.
    pub fn record_planned_stop(&mut self) {
        self.is_leaving = true;
        self.broken.clear();
    }
}
