//! Holds the fault that the stand-in shows.

use std::time::Duration;

use tokio::sync::watch;

/// Says how the stand-in fails; requests that begin while it is set are hit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Takes the request and never answers.
    Hang,
    /// Breaks the connection after this many bytes of the answer's body.
    Cut {
        /// Bytes that are still sent.
        after_bytes: usize,
    },
    /// Sends this many bytes of the answer's body, and then nothing more.
    Stall {
        /// Bytes that are still sent.
        after_bytes: usize,
    },
    /// Holds the last part of the answer's body back until another fault, or none, is set.
    HoldEnd,
    /// Answers with this status before running anything.
    Status {
        /// HTTP status.
        status: u16,
    },
    /// Waits before the answer begins.
    Slow {
        /// How long.
        delay: Duration,
    },
    /// Answers with the answer of another request.
    Crossed,
}

#[derive(Debug)]
pub(super) struct Faults {
    now: watch::Sender<Option<Fault>>,
}

impl Faults {
    pub(super) fn new(fault: Option<Fault>) -> Self {
        Self {
            now: watch::Sender::new(fault),
        }
    }

    pub(super) fn set(&self, fault: Option<Fault>) {
        self.now.send_replace(fault);
    }

    pub(super) fn get(&self) -> Option<Fault> {
        *self.now.borrow()
    }

    /// Waits until this fault is no longer set.
    pub(super) async fn over(&self, fault: Fault) {
        let mut now = self.now.subscribe();
        let told = now.wait_for(|now| *now != Some(fault)).await;
        assert!(told.is_ok(), "the sender is held here");
    }
}
