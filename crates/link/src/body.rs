//! Reads the bodies of requests, which wait until there is memory for them.

use std::fmt;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::timeout;
use viz::Request;

use crate::inbound::{HeldBytes, NoRoom, Peer};

/// Bytes of each body that take no memory from others; most bodies are shorter.
pub const FREE_BODY_BYTES: usize = 4 << 10;

/// Longest short body, in bytes.
pub const SHORT_BODY_BYTES: usize = 64 << 10;

/// Memory taken for a body of unknown length once it is long, in bytes.
const FIRST_GROWTH_BYTES: usize = 256 << 10;

/// Factor by which the memory for a short body of unknown length grows.
const SHORT_GROWTH: usize = 4;

/// The reason why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// It broke off, or did not arrive in time.
    Incomplete,
    /// It got no memory in time, because other bodies hold it.
    NoMemory,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the body is too long",
            Self::Incomplete => "the body did not arrive whole",
            Self::NoMemory => "other bodies hold the memory for it",
        })
    }
}

impl std::error::Error for BodyError {}

/// A body with its memory, which is returned once nobody reads the body any more.
struct HeldBody {
    bytes: Bytes,
    _memory: Memory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The memory that a body holds beyond what is free.
#[derive(Debug, Default)]
struct Memory {
    first: Option<HeldBytes>,
    /// What a long body of unknown length holds to grow up to the limit.
    growth: Option<HeldBytes>,
}

impl Memory {
    /// Takes what a body of a capacity needs, beside or in place of what it holds.
    async fn grow(&mut self, peer: &Peer, capacity: usize) -> Result<(), NoRoom> {
        let is_long = |held: &HeldBytes| held.bytes() > SHORT_BODY_BYTES;
        if capacity <= FREE_BODY_BYTES {
            // Nothing is counted.
        } else if capacity <= SHORT_BODY_BYTES {
            self.first = Some(peer.acquire_short(capacity).await);
        } else if self.first.as_ref().is_some_and(is_long) {
            let more = capacity - FIRST_GROWTH_BYTES;
            self.growth = Some(peer.acquire_growth(more).await?);
        } else {
            self.first = Some(peer.acquire_long(capacity).await?);
        }
        Ok(())
    }

    /// Returns what a body that has arrived whole does not need.
    fn shrink(&mut self, bytes: usize) {
        match (&mut self.first, &mut self.growth) {
            (_, Some(growth)) => growth.shrink(bytes.saturating_sub(FIRST_GROWTH_BYTES)),
            (Some(first), None) => first.shrink(bytes),
            (None, None) => {}
        }
    }
}

/// The buffer of a body that is being read.
#[derive(Debug)]
struct Buffer<'a> {
    peer: &'a Peer,
    bytes: BytesMut,
    memory: Memory,
    max_bytes: usize,
    max_wait: Duration,
}

impl Buffer<'_> {
    /// Takes memory and grows to a capacity.
    async fn grow(&mut self, capacity: usize) -> Result<(), BodyError> {
        let grown = timeout(self.max_wait, self.memory.grow(self.peer, capacity)).await;
        grown
            .map_err(|_elapsed| BodyError::NoMemory)?
            .map_err(|NoRoom| BodyError::NoMemory)?;
        self.bytes.reserve(capacity - self.bytes.len());
        Ok(())
    }

    /// Returns the capacity for a body of unknown length that is at least so long.
    fn capacity_for(&self, length: usize) -> usize {
        let capacity = if length > FIRST_GROWTH_BYTES {
            self.max_bytes
        } else if length > SHORT_BODY_BYTES {
            FIRST_GROWTH_BYTES
        } else {
            let mut capacity = FREE_BODY_BYTES;
            while capacity < length {
                capacity *= SHORT_GROWTH;
            }
            capacity
        };
        capacity.min(self.max_bytes)
    }
}

/// Reads a body to its end into one buffer, whose memory is returned once nobody reads the body any more.
///
/// A body waits for memory for `max_wait` at most each time that it grows.
///
/// # Errors
///
/// Returns an error when the body is longer than `max_bytes`, breaks off, or gets no memory in time.
pub async fn read_body<B>(
    peer: &Peer,
    body: B,
    max_bytes: usize,
    max_wait: Duration,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let declared = body.size_hint().exact();
    let declared = declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if declared.is_some_and(|length| length > max_bytes) {
        return Err(BodyError::TooLong);
    }
    let mut reading = peer.begin_body();
    let mut body = Limited::new(body, max_bytes);
    let mut buffer = Buffer {
        peer,
        bytes: BytesMut::new(),
        memory: Memory::default(),
        max_bytes,
        max_wait,
    };
    if let Some(length) = declared.filter(|length| *length > 0) {
        buffer.grow(length).await?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|cause| match cause.downcast_ref::<LengthLimitError>() {
            Some(_too_long) => BodyError::TooLong,
            None => BodyError::Incomplete,
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = buffer.bytes.len() + data.len();
        if length > buffer.bytes.capacity() {
            let capacity = buffer.capacity_for(length);
            buffer.grow(capacity).await?;
        }
        buffer.bytes.extend_from_slice(&data);
        reading.record(data.len());
    }
    let Buffer {
        bytes, mut memory, ..
    } = buffer;
    let bytes = bytes.freeze();
    memory.shrink(bytes.len());
    if memory.first.is_none() {
        return Ok(bytes);
    }
    Ok(Bytes::from_owner(HeldBody {
        bytes,
        _memory: memory,
    }))
}

/// Reads the body of a call within a time.
///
/// # Errors
///
/// Returns an error when the body is longer than `max_bytes`, has not arrived whole in time, or gets no memory.
///
/// # Panics
///
/// Panics when the request was not received by a [`Server`](crate::Server).
pub async fn read_call(
    request: Request,
    max_bytes: usize,
    time: Duration,
) -> Result<Bytes, BodyError> {
    let peer = request.extensions().get::<Peer>().cloned();
    let peer = peer.expect("the server adds the connection to each request");
    peer.admit_body().map_err(|NoRoom| BodyError::NoMemory)?;
    let read = timeout(time, read_body(&peer, request.into_body(), max_bytes, time)).await;
    read.unwrap_or(Err(BodyError::Incomplete))
}
