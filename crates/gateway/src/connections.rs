//! Limits the number of connections from callers.
//!
//! A caller whose requests are waiting opens a further connection for the next one and keeps it afterwards. One busy caller
//! then holds thousands of idle connections at one gateway and exhausts its memory and file descriptors.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use hinge_link::Inbound;

/// Maximum number of connections beyond the limit that are being refused; a refusal takes a file descriptor and a small buffer.
pub(crate) const MAX_REFUSING: u32 = 128;

/// Callers' connections, and those beyond their limit.
#[derive(Debug)]
pub(crate) struct Connections {
    inbound: Arc<Inbound>,
    /// Connections beyond the limit that are being refused.
    refusing: AtomicU32,
}

impl Connections {
    pub(crate) fn new(inbound: Arc<Inbound>) -> Self {
        Self {
            inbound,
            refusing: AtomicU32::new(0),
        }
    }

    pub(crate) fn inbound(&self) -> &Arc<Inbound> {
        &self.inbound
    }

    /// Counts a connection that is to be refused, and returns whether there is room for it.
    pub(crate) fn try_refuse(&self) -> bool {
        let is_allowed = self.refusing.load(Ordering::Relaxed) < MAX_REFUSING;
        if is_allowed {
            self.refuse();
        }
        is_allowed
    }

    /// Counts a connection that is to be refused whether or not there is room for it.
    pub(crate) fn refuse(&self) {
        self.refusing.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a counted refusal has ended.
    pub(crate) fn refused(&self) {
        self.refusing.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether so many are open that callers are asked to close theirs after an answer.
    pub(crate) fn are_nearly_full(&self) -> bool {
        let max = self.inbound.limits().connections;
        self.inbound.open_connections() >= (max - max / 3) as usize
    }
}
