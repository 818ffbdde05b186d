//! Coalesces the chunks of a stream for another gateway, so that it forwards fewer of them.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::{Instant, sleep_until};

#[cfg(test)]
mod tests;

/// Chunks that are held back until an interval has passed since the last send.
#[derive(Debug)]
pub(crate) struct Batch {
    interval: Duration,
    held: BytesMut,
    due_at: Option<Instant>,
}

impl Batch {
    /// Creates an empty batch; the first chunk is never held back, and with a zero interval none is.
    pub(crate) fn new(interval: Duration) -> Self {
        Self {
            interval,
            held: BytesMut::new(),
            due_at: None,
        }
    }

    /// Adds a chunk, and returns the bytes to send now, if any.
    pub(crate) fn push(&mut self, chunk: Bytes) -> Option<Bytes> {
        let is_due = self.due_at.is_none_or(|due_at| due_at <= Instant::now());
        if is_due && self.held.is_empty() {
            self.record_sent();
            return Some(chunk);
        }
        self.held.extend_from_slice(&chunk);
        if is_due { self.take() } else { None }
    }

    /// Waits until the held bytes are due; without any it waits forever.
    pub(crate) async fn due(&self) {
        match self.due_at.filter(|_| !self.held.is_empty()) {
            Some(due_at) => sleep_until(due_at).await,
            None => std::future::pending().await,
        }
    }

    /// Takes the held bytes.
    pub(crate) fn take(&mut self) -> Option<Bytes> {
        if self.held.is_empty() {
            return None;
        }
        self.record_sent();
        Some(self.held.split().freeze())
    }

    fn record_sent(&mut self) {
        if !self.interval.is_zero() {
            self.due_at = Some(Instant::now() + self.interval);
        }
    }
}
