//! Notices that endpoints send in their answers: that they want a pause, or are shutting down.
//!
//! A notice is valid for one incarnation of an endpoint for as long as that lives, even if the endpoint list drops the endpoint,
//! lists it again or calls it ready.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_schema::routing::Endpoint as Described;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Maximum number of unlisted incarnations whose notices are kept.
const MOST_UNLISTED: usize = 1_024;

/// The notices that one incarnation of an endpoint has sent to this instance.
#[derive(Debug, Default)]
pub(crate) struct Said {
    rests_until: Mutex<Option<Instant>>,
    is_leaving: AtomicBool,
}

impl Said {
    /// Records that it wants no requests for some time, and returns whether that lasts longer than it asked for before.
    pub(crate) fn asks_for_rest(&self, rest: Duration) -> bool {
        let until = Instant::now() + rest;
        let mut rests_until = self.lock();
        let is_longer = rests_until.is_none_or(|before| before < until);
        if is_longer {
            *rests_until = Some(until);
        }
        is_longer
    }

    /// Returns for how much longer it wants no requests.
    pub(crate) fn rest_left(&self) -> Option<Duration> {
        let until = (*self.lock())?;
        let left = until.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }

    /// Records that it is shutting down, and returns whether this is new.
    pub(crate) fn leaves(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::AcqRel)
    }

    /// Returns whether it has announced that it is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Returns whether any notice is still valid.
    fn holds(&self) -> bool {
        self.is_leaving() || self.rest_left().is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.rests_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The identity of one incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Start {
    id: Box<str>,
    address: SocketAddr,
    born_unix_ms: Option<u64>,
}

impl Start {
    fn of(described: &Described) -> Self {
        Self {
            id: described.id.clone(),
            address: described.address,
            born_unix_ms: described.born_unix_ms,
        }
    }
}

/// The notices of the listed incarnations, and of those that may be listed again.
#[derive(Debug, Default)]
pub(crate) struct Words {
    of: Mutex<HashMap<Start, Arc<Said>>>,
}

impl Words {
    /// Returns the notices of an incarnation, including those from before it was last listed.
    pub(crate) fn of(&self, described: &Described) -> Arc<Said> {
        let mut words = self.lock();
        Arc::clone(words.entry(Start::of(described)).or_default())
    }

    /// Forgets the incarnations that are not listed, except for a bounded number with valid notices.
    pub(crate) fn keep(&self, listed: &[Described]) {
        let listed: HashSet<Start> = listed.iter().map(Start::of).collect();
        let mut unlisted = 0;
        self.lock().retain(|start, said| {
            if listed.contains(start) {
                return true;
            }
            unlisted += usize::from(said.holds());
            said.holds() && unlisted <= MOST_UNLISTED
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Start, Arc<Said>>> {
        self.of.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
