//! This gateway's contact with control: when its state was last confirmed, and since when without a gap.

use std::time::Duration;

use arc_swap::ArcSwap;
use hinge_clock::BootInstant;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

#[cfg(test)]
mod tests;

/// Time without confirmation from control beyond which this gateway's state is too old to serve others; it spans several polls.
pub(crate) const MAX_STATE_AGE: Duration = Duration::from_millis(1_500);

/// The confirmations of the state, in time since the start of the gateway.
#[derive(Debug, Clone, Copy, Default)]
struct Confirmations {
    /// The first one after which no gap was longer than [`MAX_STATE_AGE`].
    unbroken_since: Duration,
    last: Duration,
}

impl Confirmations {
    fn record(self, now: Duration) -> Self {
        let is_unbroken = self.age(now) <= MAX_STATE_AGE;
        Self {
            unbroken_since: if is_unbroken {
                self.unbroken_since
            } else {
                now
            },
            last: now,
        }
    }

    fn age(self, now: Duration) -> Duration {
        now.saturating_sub(self.last)
    }

    fn unbroken_for(self, now: Duration) -> Option<Duration> {
        let is_unbroken = self.age(now) <= MAX_STATE_AGE;
        is_unbroken.then(|| now.saturating_sub(self.unbroken_since))
    }
}

/// The contact with control.
#[derive(Debug)]
pub(crate) struct Contact {
    began: BootInstant,
    confirmations: ArcSwap<Confirmations>,
    /// When the newest query was made whose answer has confirmed the state.
    confirmed_query: watch::Sender<BootInstant>,
    query_wanted: Notify,
}

impl Contact {
    /// Creates the contact of a gateway that has not heard from control yet.
    pub(crate) fn new() -> Self {
        let began = BootInstant::now();
        Self {
            began,
            confirmations: ArcSwap::default(),
            confirmed_query: watch::Sender::new(began),
            query_wanted: Notify::new(),
        }
    }

    /// Records that control has just answered a query with everything newer, or confirmed that nothing is.
    pub(crate) fn confirm(&self, queried_at: BootInstant) {
        let confirmations = **self.confirmations.load();
        let recorded = confirmations.record(self.began.elapsed());
        self.confirmations.store(recorded.into());
        self.confirmed_query.send_replace(queried_at);
    }

    /// Returns the time since control last confirmed the state, or since the start if it never has.
    pub(crate) fn age(&self) -> Duration {
        self.confirmations.load().age(self.began.elapsed())
    }

    /// Returns for how long this gateway has heard of all that control has told others; `None` while it is out of contact.
    ///
    /// What came and went during a gap is in no list that arrives after it.
    pub(crate) fn unbroken_for(&self) -> Option<Duration> {
        self.confirmations.load().unbroken_for(self.began.elapsed())
    }

    /// Waits until control confirms the state in answer to a query made from now on, and returns whether it did in time.
    pub(crate) async fn confirm_again(&self, max_wait: Duration) -> bool {
        let now = BootInstant::now();
        let mut confirmed = self.confirmed_query.subscribe();
        self.query_wanted.notify_one();
        let confirmed = confirmed.wait_for(|queried_at| *queried_at >= now);
        timeout(max_wait, confirmed).await.is_ok()
    }

    /// Waits until a query is wanted at once. Cancel-safe.
    pub(crate) async fn query_wanted(&self) {
        self.query_wanted.notified().await;
    }
}
