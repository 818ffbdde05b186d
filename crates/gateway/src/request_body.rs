//! The bodies of requests, which are kept for further attempts.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hinge_link::{BodyError, Peer, SHORT_BODY_BYTES, read_body};
use http_body::Body;

use crate::deadline::{Deadline, DeadlinePassed};
use crate::refusal::Refusal;

#[cfg(test)]
mod tests;

/// Part of a request's time for which its body waits for memory: `1 / MEMORY_WAIT_DIVISOR`. A caller that is refused by then
/// has time to come back, at another gateway.
const MEMORY_WAIT_DIVISOR: u32 = 4;

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

/// Reads a body to its end.
///
/// # Errors
///
/// Returns the refusal of a body that is too long, did not arrive whole in time, or got no memory within a part of that time.
pub(crate) async fn read<B>(
    peer: &Peer,
    max_bytes: u64,
    body: B,
    ends_at: Deadline,
) -> Result<RequestBody, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let wait: Duration = ends_at.left() / MEMORY_WAIT_DIVISOR;
    let read = ends_at.limit(read_body(peer, body, max_bytes, wait)).await;
    match read {
        Ok(Ok(bytes)) => Ok(RequestBody::new(bytes)),
        Ok(Err(BodyError::TooLong)) => Err(Refusal::TooLong),
        Ok(Err(BodyError::NoMemory)) => Err(Refusal::NoMemory),
        Ok(Err(BodyError::Incomplete)) | Err(DeadlinePassed) => Err(Refusal::BadBody),
    }
}
