//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered until its end, in bytes; the events of engines have a few hundred.
///
/// An endpoint in trouble may send bytes without end on all of its connections at once.
const MAX_EVENT_BYTES: usize = 128 << 10;

/// The error of an event that is too long to be buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// A splitter that buffers the unfinished event and tracks the id of the last whole one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after an event the caller has received, if any.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an unfinished event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the unfinished event of a stream that broke off.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Adds bytes, and returns the bytes of the events that are now whole, unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error when an event does not end within 128 KiB.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, EventTooLong> {
        if self.partial.is_empty() && bytes.ends_with(b"\n\n") {
            self.record_ids(bytes);
            return Ok(bytes.clone());
        }
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.partial) else {
            return if self.partial.len() > MAX_EVENT_BYTES {
                Err(EventTooLong)
            } else {
                Ok(Bytes::new())
            };
        };
        let whole = self.partial.split_to(end).freeze();
        self.record_ids(&whole);
        Ok(whole)
    }

    fn record_ids(&mut self, events: &[u8]) {
        let lines = events.split(|byte| *byte == b'\n');
        let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = ids.filter_map(parse_number).next_back() {
            self.last_id = Some(id);
        }
    }
}

/// Returns the index after the last empty line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let index = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(index + 2)
}

fn parse_number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
