//! Tells the end of an endpoint from a lost connection, and which requests it took with it.
//!
//! The load pattern: an endpoint ends and all its answers break off within a few milliseconds, while word of its end comes some
//! tenths of a second later, or from somebody else. An answer that breaks off without such word was cut or lost on its way.

use std::collections::VecDeque;
use std::time::Duration;

/// Time between a broken answer and word of its endpoint's end within which they belong together. Word comes from the
/// admission within a second, and at the latest with the next start, after some seconds.
const SAME_END: Duration = Duration::from_secs(5);

/// Broken answers that wait for word of an end; more than an endpoint runs at once are not needed.
const MOST_BROKEN: usize = 256;

/// Holds the answers of one start of an endpoint that broke off, and whether it has ended.
#[derive(Debug)]
pub struct CrashTracker<R> {
    broken: VecDeque<(Duration, R)>,
    ended_at: Option<Duration>,
    is_leaving: bool,
}

impl<R> Default for CrashTracker<R> {
    fn default() -> Self {
        Self {
            broken: VecDeque::new(),
            ended_at: None,
            is_leaving: false,
        }
    }
}

impl<R> CrashTracker<R> {
    /// Notes a request whose answer broke off, and returns it if the endpoint has just ended.
    pub fn record_broken(&mut self, now: Duration, request: R) -> Option<R> {
        if self.is_leaving {
            return None;
        }
        if self
            .ended_at
            .is_some_and(|ended_at| now < ended_at + SAME_END)
        {
            return Some(request);
        }
        if self.broken.len() >= MOST_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back((now, request));
        None
    }

    /// Notes word that the endpoint has ended, and returns the requests that it took with it.
    pub fn record_crash(&mut self, now: Duration) -> Vec<R> {
        let broken = std::mem::take(&mut self.broken);
        if self.is_leaving {
            return Vec::new();
        }
        self.ended_at = Some(now);
        let taken = broken.into_iter();
        let taken = taken.filter(|(broke_at, _)| now < *broke_at + SAME_END);
        taken.map(|(_, request)| request).collect()
    }

    /// Forgets broken answers that had another cause than an end.
    pub fn forget_broken(&mut self, is_innocent: impl Fn(&R) -> bool) {
        self.broken.retain(|(_, request)| !is_innocent(request));
    }

    /// Notes that the endpoint leaves as planned, so that its end is nobody's fault.
    pub fn record_planned_stop(&mut self) {
        self.is_leaving = true;
        self.broken.clear();
    }
}
