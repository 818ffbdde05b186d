//! Notices that endpoints send in their answers: that they want a pause, or are shutting down.
//!
//! A notice is valid for one incarnation of an endpoint for as long as that lives, even if the endpoint list drops the endpoint,
//! lists it again or calls it ready.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_schema::routing::Endpoint as Description;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Maximum number of unlisted incarnations whose notices are kept.
const MAX_UNLISTED: usize = 1_024;

/// The notices that one incarnation of an endpoint has sent to this instance.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    backoff_until: Mutex<Option<Instant>>,
    is_leaving: AtomicBool,
}

impl Notices {
    /// Records that it wants no requests for some time, and returns whether that lasts longer than it asked for before.
    pub(crate) fn record_backoff(&self, backoff: Duration) -> bool {
        let until = Instant::now() + backoff;
        let mut backoff_until = self.lock();
        let is_longer = backoff_until.is_none_or(|before| before < until);
        if is_longer {
            *backoff_until = Some(until);
        }
        is_longer
    }

    /// Returns for how much longer it wants no requests.
    pub(crate) fn backoff_left(&self) -> Option<Duration> {
        let until = (*self.lock())?;
        let left = until.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }

    /// Records that it is shutting down, and returns whether this is new.
    pub(crate) fn record_leaving(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::AcqRel)
    }

    /// Returns whether it has announced that it is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Returns whether any notice is still valid.
    fn are_valid(&self) -> bool {
        self.is_leaving() || self.backoff_left().is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.backoff_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The identity of one incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Incarnation {
    id: Box<str>,
    address: SocketAddr,
    born_unix_ms: Option<u64>,
}

impl Incarnation {
    fn of(description: &Description) -> Self {
        Self {
            id: description.id.clone(),
            address: description.address,
            born_unix_ms: description.born_unix_ms,
        }
    }
}

/// The notices of the listed incarnations, and of those that may be listed again.
#[derive(Debug, Default)]
pub(crate) struct NoticeTable {
    by_incarnation: Mutex<HashMap<Incarnation, Arc<Notices>>>,
}

impl NoticeTable {
    /// Returns the notices of an incarnation, including those from before it was last listed.
    pub(crate) fn of(&self, description: &Description) -> Arc<Notices> {
        let mut notices = self.lock();
        Arc::clone(notices.entry(Incarnation::of(description)).or_default())
    }

    /// Forgets the incarnations that are not listed, except for a bounded number with valid notices.
    pub(crate) fn retain_listed(&self, listed: &[Description]) {
        let listed: HashSet<Incarnation> = listed.iter().map(Incarnation::of).collect();
        let mut unlisted = 0;
        self.lock().retain(|incarnation, notices| {
            if listed.contains(incarnation) {
                return true;
            }
            unlisted += usize::from(notices.are_valid());
            notices.are_valid() && unlisted <= MAX_UNLISTED
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Incarnation, Arc<Notices>>> {
        self.by_incarnation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
