//! The fault that the stand-in simulates.

use std::time::Duration;

use tokio::sync::watch;

/// A way in which the stand-in fails; it affects requests that arrive while it is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Takes the request and never answers.
    Hang,
    /// Resets the connection after this many bytes of the response body.
    Cut {
        /// Bytes of the body that are sent.
        after_bytes: usize,
    },
    /// Sends this many bytes of the response body and then nothing more, with the connection open.
    Stall {
        /// Bytes of the body that are sent.
        after_bytes: usize,
    },
    /// Withholds the last part of the response body until another fault, or none, is set.
    HoldEnd,
    /// Answers with this status before running anything.
    Status {
        /// HTTP status.
        status: u16,
    },
    /// Waits before the answer begins.
    Slow {
        /// Length of the wait.
        delay: Duration,
    },
    /// Sends the answer of another request.
    Crossed,
}

#[derive(Debug)]
pub(super) struct Faults {
    current: watch::Sender<Option<Fault>>,
}

impl Faults {
    pub(super) fn new(fault: Option<Fault>) -> Self {
        Self {
            current: watch::Sender::new(fault),
        }
    }

    pub(super) fn set(&self, fault: Option<Fault>) {
        self.current.send_replace(fault);
    }

    pub(super) fn get(&self) -> Option<Fault> {
        *self.current.borrow()
    }

    /// Waits until another fault, or none, is set.
    pub(super) async fn wait_until_cleared(&self, fault: Fault) {
        let mut current = self.current.subscribe();
        let cleared = current.wait_for(|current| *current != Some(fault)).await;
        assert!(cleared.is_ok(), "the sender is held here");
    }
}
