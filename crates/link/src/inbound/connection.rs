//! What a listener knows of one connection.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_budget::Holding;
use tokio::sync::Notify;

/// What is known of one connection.
#[derive(Debug, Default)]
pub(super) struct Connection {
    pub(super) team: AtomicU64,
    pub(super) requests: AtomicU32,
    pub(super) is_reading_body: AtomicBool,
    pub(super) is_unread: AtomicBool,
    /// When its peer last made progress, in milliseconds since the listener was created.
    pub(super) progress_ms: AtomicU64,
    pub(super) bytes: AtomicUsize,
    /// What it was like when it was chosen to give way.
    chosen: Mutex<Option<Chosen>>,
    /// Notified when it is chosen to give way.
    pub(super) close: Notify,
}

/// A connection as it was chosen to give way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Chosen {
    pub(super) bytes: usize,
    pub(super) progress: Progress,
}

/// How far the peer of a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) has_request: bool,
    is_reading_body: bool,
    at_ms: u64,
}

impl Connection {
    /// Returns the state of a connection that was just opened.
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            progress_ms: AtomicU64::new(now_ms),
            ..Self::default()
        }
    }

    pub(super) fn progress(&self) -> Progress {
        Progress {
            has_request: self.requests.load(Ordering::Relaxed) > 0,
            is_reading_body: self.is_reading_body.load(Ordering::Relaxed),
            at_ms: self.progress_ms.load(Ordering::Relaxed),
        }
    }

    /// Returns what the connection holds, for the choice of the one that gives way.
    pub(super) fn holding(&self, id: u64, now_ms: u64) -> Holding<u64> {
        let is_unread = self.is_unread.load(Ordering::Relaxed);
        let Progress {
            has_request,
            is_reading_body,
            at_ms,
        } = self.progress();
        // The HTTP library drops the body of a response, and with it the request, before all of it is written.
        let has_request = has_request || is_unread;
        let waits_for_peer = !has_request || is_unread || is_reading_body;
        let stalled = Duration::from_millis(now_ms.saturating_sub(at_ms));
        Holding {
            id,
            team: self.team.load(Ordering::Relaxed),
            has_request,
            is_unread,
            bytes: self.bytes.load(Ordering::Relaxed),
            stalled: waits_for_peer.then_some(stalled),
        }
    }

    /// Tells the connection that it was chosen to give way, and returns the bytes that it holds.
    pub(super) fn choose(&self) -> usize {
        let bytes = self.bytes.load(Ordering::Relaxed);
        let progress = self.progress();
        *self.lock_chosen() = Some(Chosen { bytes, progress });
        self.close.notify_one();
        bytes
    }

    /// Returns what it was like when it was chosen to give way, and forgets it.
    pub(super) fn take_chosen(&self) -> Option<Chosen> {
        self.lock_chosen().take()
    }

    fn lock_chosen(&self) -> MutexGuard<'_, Option<Chosen>> {
        self.chosen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
