//! Holds what endpoints say of themselves in their answers.
//!
//! It holds for one start of an endpoint, as long as that lasts: the list may drop and name it again, or call it ready.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_schema::routing::Endpoint as Described;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Starts of endpoints that are not listed and whose word is kept.
const MOST_UNLISTED: usize = 1_024;

/// Holds what one start of an endpoint has said to this instance.
#[derive(Debug, Default)]
pub(crate) struct Said {
    rests_until: Mutex<Option<Instant>>,
    is_leaving: AtomicBool,
}

impl Said {
    /// Notes that it wants no request for some time, and returns whether that is longer than it said before.
    pub(crate) fn asks_for_rest(&self, rest: Duration) -> bool {
        let until = Instant::now() + rest;
        let mut rests_until = self.lock();
        let is_longer = rests_until.is_none_or(|before| before < until);
        if is_longer {
            *rests_until = Some(until);
        }
        is_longer
    }

    /// Returns for how much longer it wants no request.
    pub(crate) fn rest_left(&self) -> Option<Duration> {
        let until = (*self.lock())?;
        let left = until.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }

    /// Notes that it leaves, and returns whether it had not said so before.
    pub(crate) fn leaves(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::AcqRel)
    }

    /// Returns whether it has said that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Returns whether something is said that still holds.
    fn holds(&self) -> bool {
        self.is_leaving() || self.rest_left().is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.rests_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Names one start of an endpoint.
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

/// Holds the words of the starts that are listed, and of those that may be listed again.
#[derive(Debug, Default)]
pub(crate) struct Words {
    of: Mutex<HashMap<Start, Arc<Said>>>,
}

impl Words {
    /// Returns what a start has said, also before it was listed this time.
    pub(crate) fn of(&self, described: &Described) -> Arc<Said> {
        let mut words = self.lock();
        Arc::clone(words.entry(Start::of(described)).or_default())
    }

    /// Forgets the starts that are not listed, but for some whose word still holds.
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
