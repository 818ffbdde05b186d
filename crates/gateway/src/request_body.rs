//! Reads the bodies of requests, of which long ones wait until there is memory for them.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hinge_link::{ByteBudget, HeldBudget};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};

use crate::deadline::{Deadline, DeadlinePassed};
use crate::refusal::Refusal;

#[cfg(test)]
mod tests;

/// Bytes of all long bodies that are held at the same time, besides the one that has the turn to grow.
pub(crate) const MAX_LONG_BODY_BYTES: usize = 16 << 20;

/// Longest body that is read without waiting; most are far shorter.
const SHORT_BODY_BYTES: usize = 64 << 10;

/// Memory taken for a body without a length once it is long.
const FIRST_GROWTH_BYTES: usize = 256 << 10;

/// Part of a request's time for which its body waits for memory: `1 / MEMORY_WAIT_DIVISOR`. A caller that is refused by then
/// has time to come back, at another gateway.
const MEMORY_WAIT_DIVISOR: u32 = 4;

/// The memory for long bodies.
#[derive(Debug)]
pub(crate) struct LongBodies {
    shared: ByteBudget,
    /// Held by the one body without a length that may grow up to the limit whatever the others hold, so that bodies that have
    /// arrived in part can't all wait for each other.
    turn: ByteBudget,
}

/// The memory of one body.
#[derive(Debug)]
struct Held {
    shared: HeldBudget,
    growth: Option<Growth>,
}

/// What a body without a length holds to grow up to the limit.
#[derive(Debug)]
enum Growth {
    Shared(HeldBudget),
    Turn { _turn: HeldBudget },
}

impl Held {
    /// Returns what a body that has arrived whole does not need.
    fn shrink(&mut self, bytes: usize) {
        match &mut self.growth {
            None => self.shared.shrink(bytes),
            Some(Growth::Shared(growth)) => growth.shrink(bytes.saturating_sub(FIRST_GROWTH_BYTES)),
            Some(Growth::Turn { .. }) => {}
        }
    }
}

/// A long body with its memory, which is returned once nobody reads the body any more.
struct LongBody {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for LongBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The body of a request, kept for further attempts.
#[derive(Debug)]
pub(crate) struct RequestBody {
    /// `None` once no attempt may follow.
    bytes: Mutex<Option<Bytes>>,
    length: usize,
}

impl RequestBody {
    fn new(bytes: Bytes) -> Self {
        Self {
            length: bytes.len(),
            bytes: Mutex::new(Some(bytes)),
        }
    }

    /// Returns the body; `None` once it was released.
    pub(crate) fn bytes(&self) -> Option<Bytes> {
        self.lock().clone()
    }

    /// Returns the length of the body, also after its release.
    pub(crate) fn length(&self) -> usize {
        self.length
    }

    /// Returns whether the body is one of those that share memory.
    pub(crate) fn is_long(&self) -> bool {
        self.length > SHORT_BODY_BYTES
    }

    /// Releases the body, after which no further attempt can be made; its memory is free once it has been sent.
    pub(crate) fn release(&self) {
        self.lock().take();
    }

    fn lock(&self) -> MutexGuard<'_, Option<Bytes>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LongBodies {
    /// Creates the memory for this many bytes, besides one body of any allowed length.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            shared: ByteBudget::new(max_bytes),
            turn: ByteBudget::new(SHORT_BODY_BYTES),
        }
    }

    /// Returns whether so little is free that a body is only kept for an attempt that is certain to follow.
    pub(crate) fn is_scarce(&self) -> bool {
        self.shared.free_bytes() < MAX_LONG_BODY_BYTES / 2
    }

    /// Waits for memory for so many bytes.
    async fn acquire(&self, bytes: usize) -> Held {
        Held {
            shared: self.shared.acquire(bytes).await,
            growth: None,
        }
    }

    /// Waits until a body without a length may grow up to a limit.
    async fn grow(&self, max_bytes: usize) -> Growth {
        match self.shared.try_acquire(max_bytes) {
            Some(growth) => Growth::Shared(growth),
            None => Growth::Turn {
                _turn: self.turn.acquire(SHORT_BODY_BYTES).await,
            },
        }
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// Returns the refusal of a body that is too long, did not arrive whole in time, or got no memory within a part of that time.
pub(crate) async fn read<B>(
    long_bodies: &LongBodies,
    max_bytes: u64,
    body: B,
    ends_at: Deadline,
) -> Result<RequestBody, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let declared = body.size_hint().exact();
    let declared = declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if declared.is_some_and(|length| length > max_bytes) {
        return Err(Refusal::TooLong);
    }
    let wait: Duration = ends_at.left() / MEMORY_WAIT_DIVISOR;
    let mut body = Limited::new(body, max_bytes);
    let mut bytes = BytesMut::new();
    let mut held: Option<Held> = None;
    // A body without a length is long once it turns out to be.
    let mut known_length = declared.unwrap_or_default();
    loop {
        match &mut held {
            None if known_length > SHORT_BODY_BYTES => {
                let length = declared.unwrap_or(FIRST_GROWTH_BYTES.min(max_bytes));
                let acquired = Deadline::after(wait).limit(long_bodies.acquire(length));
                held = Some(acquired.await.map_err(|DeadlinePassed| Refusal::NoMemory)?);
                bytes.reserve(declared.unwrap_or_default());
            }
            Some(held)
                if known_length > FIRST_GROWTH_BYTES
                    && held.growth.is_none()
                    && declared.is_none() =>
            {
                let grown = Deadline::after(wait).limit(long_bodies.grow(max_bytes));
                let grown = grown.await.map_err(|DeadlinePassed| Refusal::NoMemory)?;
                held.growth = Some(grown);
            }
            _ => {}
        }
        let next = ends_at.limit(body.frame()).await;
        let frame = match next.map_err(|DeadlinePassed| Refusal::BadBody)? {
            None => break,
            Some(Ok(frame)) => frame,
            Some(Err(cause)) if cause.is::<LengthLimitError>() => return Err(Refusal::TooLong),
            Some(Err(_broken)) => return Err(Refusal::BadBody),
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
            known_length = known_length.max(bytes.len());
        }
    }
    let bytes = bytes.freeze();
    let bytes = match held {
        None => bytes,
        Some(mut held) => {
            held.shrink(bytes.len());
            Bytes::from_owner(LongBody { bytes, _held: held })
        }
    };
    Ok(RequestBody::new(bytes))
}
