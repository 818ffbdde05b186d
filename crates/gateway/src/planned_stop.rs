//! The state of a gateway's planned stop.

use std::pin::pin;
use std::sync::OnceLock;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

#[cfg(test)]
mod tests;

/// Time before the end of a stop in which requests without an answer are given one.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);

/// A planned stop, which may not have begun.
#[derive(Debug, Default)]
pub(crate) struct PlannedStop {
    /// When requests that still run are cut off; set once the stop begins.
    ends_at: OnceLock<Instant>,
    /// Whether requests without an answer are given one now.
    is_ending: watch::Sender<bool>,
}

impl PlannedStop {
    /// Begins the stop, which ends at this time; a later call changes nothing.
    pub(crate) fn begin(&self, ends_at: Instant) {
        let _first_end = self.ends_at.get_or_init(|| ends_at);
    }

    /// Returns whether the stop has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.ends_at.get().is_some()
    }

    /// Returns whether something that takes so long from now on ends before the gateway does, as far as is known.
    pub(crate) fn leaves_time_for(&self, time: Duration) -> bool {
        let ends_at = self.ends_at.get();
        ends_at.is_none_or(|ends_at| Instant::now() + time <= *ends_at)
    }

    /// Waits until all tasks that serve connections have ended, or the stop ends, and returns whether it gave up no request.
    ///
    /// Requests that have no answer shortly before the end are given up; what is still being answered at the end is cut off.
    pub(crate) async fn finish(&self, serving: &mut JoinSet<()>) -> bool {
        let ends_at = self.ends_at.get().copied().unwrap_or_else(Instant::now);
        let answers_end_at = ends_at.checked_sub(LAST_ANSWERS_TIME).unwrap_or(ends_at);
        let mut all_end = pin!(async { while serving.join_next().await.is_some() {} });
        if timeout_at(answers_end_at, &mut all_end).await.is_ok() {
            return true;
        }
        self.is_ending.send_replace(true);
        let _ended_or_cut = timeout_at(ends_at, all_end).await;
        false
    }

    /// Waits until requests without an answer are given up. Cancel-safe.
    pub(crate) async fn requests_end(&self) {
        let mut is_ending = self.is_ending.subscribe();
        let ended = is_ending.wait_for(|is_ending| *is_ending).await.is_ok();
        assert!(ended, "the sender is held here");
    }
}
