//! The sidecar's buffer for the part of an answer that the entry has not acknowledged.
//!
//! When the buffer is full, the writer waits. Dropping bytes that were sent instead would make it impossible to resume an
//! exchange whose bytes were lost in transit, and the caller would lose its answer. With backpressure, memory stays
//! bounded, every broken exchange can be resumed, and a slow caller slows its endpoint down, as it would with a direct
//! connection. The sidecar limits that wait with a timeout of its own.

use std::{collections::VecDeque, error, fmt};

/// Default limit on the unacknowledged bytes of an answer.
///
/// A model's stream with about 200 bytes per token and 13 tokens/s can continue for 50 seconds while its entry reconnects. A
/// plain service's long answer moves 128 KiB in a round trip of 3 ms, about 40 MB/s. With 64 slots in use the buffers of a
/// sidecar take at most 8 MiB.
pub const DEFAULT_CAPACITY_BYTES: usize = 128 * 1024;

/// Number of acknowledgements that the entry sends per full buffer.
///
/// With an acknowledgement for each quarter, the writer never waits while the other three quarters cover a round trip, and a
/// token stream costs one acknowledgement per 32 KiB, about 160 tokens.
const ACKS_PER_BUFFER: u64 = 4;

/// The entry's pacing of acknowledgements for bytes that the caller has taken.
#[derive(Debug, Clone)]
pub struct AckPacer {
    every_bytes: u64,
    acked: u64,
}

impl AckPacer {
    /// Creates the pacer of an answer whose sidecar buffers up to `capacity_bytes`.
    #[must_use]
    pub fn new(capacity_bytes: usize) -> Self {
        Self {
            every_bytes: (capacity_bytes as u64 / ACKS_PER_BUFFER).max(1),
            acked: 0,
        }
    }

    /// Returns the offset to acknowledge now, if enough bytes have been passed on since the last one.
    ///
    /// `passed` is the number of bytes that the caller's connection has taken.
    pub fn due(&mut self, passed: u64) -> Option<u64> {
        if passed < self.acked + self.every_bytes {
            return None;
        }
        self.acked = passed;
        Some(passed)
    }
}

/// The error for an offset that a replay buffer can't serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplayError {
    /// The entry has acknowledged these bytes, so they were dropped.
    Gone {
        /// First offset still held.
        start: u64,
    },
    /// The offset lies beyond what the endpoint has sent.
    Ahead {
        /// Offset after the last byte held.
        end: u64,
    },
}

impl fmt::Display for ReplayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gone { start } => write!(f, "bytes before offset {start} are no longer buffered"),
            Self::Ahead { end } => write!(f, "bytes after offset {end} have not arrived yet"),
        }
    }
}

impl error::Error for ReplayError {}

/// A bounded buffer of the unacknowledged bytes of one answer.
#[derive(Debug)]
pub struct ReplayBuffer {
    bytes: VecDeque<u8>,
    start: u64,
    capacity_bytes: usize,
    total: Option<u64>,
}

impl ReplayBuffer {
    /// Creates an empty buffer, which allocates memory as bytes arrive.
    ///
    /// # Panics
    ///
    /// Panics if the limit is zero, as no byte could pass.
    #[must_use]
    pub fn new(capacity_bytes: usize) -> Self {
        assert!(
            capacity_bytes > 0,
            "a replay buffer holds at least one byte"
        );
        Self {
            bytes: VecDeque::new(),
            start: 0,
            capacity_bytes,
            total: None,
        }
    }

    /// Appends as many of the endpoint's bytes as there is room for, and returns their number.
    ///
    /// If the number is below `bytes.len()`, the writer must stop reading from the endpoint, wait for an acknowledgement and
    /// then push the rest.
    ///
    /// # Panics
    ///
    /// Panics if the answer has ended.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        assert!(
            self.total.is_none(),
            "an answer that has ended takes no bytes"
        );
        let taken = bytes.len().min(self.room_bytes());
        self.bytes.extend(&bytes[..taken]);
        taken
    }

    /// Records the end of the answer and returns its length in bytes.
    pub fn end(&mut self) -> u64 {
        let total = self.end_offset();
        self.total = Some(total);
        total
    }

    /// Returns the length of the whole answer, once its end is known.
    #[must_use]
    pub fn total(&self) -> Option<u64> {
        self.total
    }

    /// Returns how many bytes may be pushed before the next acknowledgement.
    #[must_use]
    pub fn room_bytes(&self) -> usize {
        self.capacity_bytes - self.bytes.len()
    }

    /// Returns the first offset that is still held.
    #[must_use]
    pub fn start_offset(&self) -> u64 {
        self.start
    }

    /// Returns the offset after the last byte held.
    #[must_use]
    pub fn end_offset(&self) -> u64 {
        self.start + self.bytes.len() as u64
    }

    /// Drops the bytes before `offset`, which the entry has passed on to the caller.
    ///
    /// A late acknowledgement of fewer bytes than an earlier one has no effect.
    ///
    /// # Errors
    ///
    /// Returns [`ReplayError::Ahead`] for bytes that were never sent; nothing is dropped.
    pub fn ack(&mut self, offset: u64) -> Result<(), ReplayError> {
        let end = self.end_offset();
        if offset > end {
            return Err(ReplayError::Ahead { end });
        }
        let dropped = buffered_len(offset.saturating_sub(self.start));
        self.bytes.drain(..dropped);
        self.start += dropped as u64;
        Ok(())
    }

    /// Returns the bytes from `offset` on, in two slices whose concatenation is at most `max_bytes` long.
    ///
    /// # Errors
    ///
    /// Returns [`ReplayError`] if the offset is not held. The offset after the last byte gives empty slices.
    pub fn read_from(&self, offset: u64, max_bytes: usize) -> Result<(&[u8], &[u8]), ReplayError> {
        if offset < self.start {
            return Err(ReplayError::Gone { start: self.start });
        }
        let end = self.end_offset();
        if offset > end {
            return Err(ReplayError::Ahead { end });
        }
        let skip = buffered_len(offset - self.start);
        let (first, second) = self.bytes.as_slices();
        let first_skip = skip.min(first.len());
        let first = &first[first_skip..];
        let second = &second[skip - first_skip..];
        let first = &first[..first.len().min(max_bytes)];
        let second = &second[..second.len().min(max_bytes - first.len())];
        Ok((first, second))
    }
}

/// Converts a number of buffered bytes, which the limit keeps within `usize`.
fn buffered_len(bytes: u64) -> usize {
    usize::try_from(bytes).expect("no more than the bytes held")
}
