//! Reads the body of a caller's request: a bounded part is buffered before the grant, the rest is streamed after it.

use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hinge_link::FrameSender;
use hinge_outcome::Reason;
use hinge_schema::messages::{BodyChunk, BodyEnd, ToSidecar};
use http::StatusCode;
use http_body_util::BodyExt;
use serde_bytes::ByteBuf;
use tokio::time::{Instant, timeout};
use viz::{Body, HttpBody};

use crate::refusal::Refusal;
use crate::teams::QueuePermit;

/// Most body bytes in one frame, in bytes; the longest frame has room for four times as many.
const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// The reason why a body was not read completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFault {
    /// The body is longer than the limit.
    TooLarge {
        /// Longest allowed body, in bytes.
        max_bytes: u64,
    },
    /// The caller sent the body too slowly.
    TooSlow,
    /// The connection broke, or the caller ended it early.
    Broken,
    /// The entry has too many buffered bytes.
    NoRoom,
}

impl BodyFault {
    /// Returns the refusal for a caller whose body was not sent to any sidecar.
    #[must_use]
    pub fn refusal(self, retry_after: Duration) -> Refusal {
        match self {
            Self::TooLarge { max_bytes } => Refusal::caller_error(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
                format!("The body is too long; allowed are {max_bytes} bytes."),
            ),
            Self::TooSlow => Refusal::caller_error(
                StatusCode::REQUEST_TIMEOUT,
                "body_too_slow",
                "The body did not come in time.",
            ),
            Self::Broken => Refusal::caller_error(
                StatusCode::BAD_REQUEST,
                "body_broken",
                "The body ended early.",
            ),
            Self::NoRoom => Refusal::unavailable(
                Reason::Shed.as_str(),
                "This entry holds too many waiting bodies.",
                retry_after,
            ),
        }
    }

    /// Returns the reason, for logs and metrics, when a part of the body had been sent to a sidecar.
    #[must_use]
    pub fn reason(self) -> Reason {
        match self {
            Self::TooLarge { .. } => Reason::OverLimit,
            Self::TooSlow | Self::Broken | Self::NoRoom => Reason::Cancelled,
        }
    }
}

/// Limits on reading a body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Longest body, in bytes.
    pub max_bytes: u64,
    /// Part that is buffered before the grant, in bytes.
    pub buffered_bytes: usize,
    /// Longest total time spent waiting for the caller over the whole body.
    pub max_wait: Duration,
}

/// A body whose beginning was read into memory.
#[derive(Debug)]
pub struct BufferedBody {
    /// Bytes read so far; the whole body if nothing is left unread.
    pub read: Bytes,
    /// Length of the whole body, if it is known.
    pub total_bytes: Option<u64>,
    unread: Option<UnreadBody>,
}

#[derive(Debug)]
struct UnreadBody {
    body: Body,
    limits: BodyLimits,
    waited: Duration,
}

impl BufferedBody {
    /// Reads the beginning of a body.
    ///
    /// # Errors
    ///
    /// Returns the fault of the body or its sender.
    pub async fn read(
        body: Body,
        limits: BodyLimits,
        permit: &mut QueuePermit,
    ) -> Result<Self, BodyFault> {
        let too_large = BodyFault::TooLarge {
            max_bytes: limits.max_bytes,
        };
        let total_bytes = HttpBody::size_hint(&body).exact();
        if total_bytes.is_some_and(|total| total > limits.max_bytes) {
            return Err(too_large);
        }
        let mut unread = UnreadBody {
            body,
            limits,
            waited: Duration::ZERO,
        };
        let mut read = BytesMut::new();
        // Reading beyond the limit by one byte tells a body of exactly that length from a longer one.
        while read.len() <= limits.buffered_bytes {
            let Some(part) = unread.next().await? else {
                return Ok(Self::whole(read.freeze()));
            };
            permit
                .reserve_bytes(part.len() as u64)
                .map_err(|_reason| BodyFault::NoRoom)?;
            read.extend_from_slice(&part);
            if read.len() as u64 > limits.max_bytes {
                return Err(too_large);
            }
        }
        Ok(Self {
            read: read.freeze(),
            total_bytes,
            unread: Some(unread),
        })
    }

    fn whole(read: Bytes) -> Self {
        Self {
            total_bytes: Some(read.len() as u64),
            read,
            unread: None,
        }
    }

    /// Returns whether the whole body is in memory, so that it can be sent more than once.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.unread.is_none()
    }

    /// Returns whether the body can still be sent from its beginning.
    #[must_use]
    pub fn is_sendable(&self) -> bool {
        self.total_bytes == Some(self.read.len() as u64) || self.unread.is_some()
    }

    /// Sends the body to a sidecar, and moves the unread rest into the returned future.
    ///
    /// Frames for which the exchange has room are sent at once; the future, if any, sends the others.
    pub fn send(&mut self, sender: &FrameSender, request_id: u64) -> Option<BodySender> {
        let mut offset = 0;
        let mut read = self.read.clone();
        let is_whole = self.is_whole();
        while !read.is_empty() {
            let part = read.slice(..read.len().min(MAX_CHUNK_BYTES));
            if sender
                .try_send(&chunk_frame(request_id, offset, &part))
                .is_err()
            {
                return Some(self.body_sender(sender.clone(), request_id, offset, read));
            }
            offset += part.len() as u64;
            read = read.split_off(part.len());
        }
        if is_whole && sender.try_send(&end_frame(request_id, offset)).is_ok() {
            return None;
        }
        Some(self.body_sender(sender.clone(), request_id, offset, read))
    }

    fn body_sender(
        &mut self,
        sender: FrameSender,
        request_id: u64,
        offset: u64,
        read: Bytes,
    ) -> BodySender {
        let unread = self.unread.take();
        Box::pin(send_unread(sender, request_id, offset, read, unread))
    }
}

/// A future that sends the rest of a body; it ends when all is sent, the caller failed, or the exchange is closed.
pub type BodySender = Pin<Box<dyn Future<Output = Result<(), BodyFault>> + Send>>;

async fn send_unread(
    sender: FrameSender,
    request_id: u64,
    mut offset: u64,
    mut read: Bytes,
    mut unread: Option<UnreadBody>,
) -> Result<(), BodyFault> {
    loop {
        while !read.is_empty() {
            let part = read.split_to(read.len().min(MAX_CHUNK_BYTES));
            if sender
                .send(&chunk_frame(request_id, offset, &part))
                .await
                .is_err()
            {
                return Ok(());
            }
            offset += part.len() as u64;
        }
        let next = match &mut unread {
            Some(unread) => unread.next().await?,
            None => None,
        };
        match (next, &unread) {
            (None, _) => break,
            (Some(part), Some(unread)) if offset + part.len() as u64 > unread.limits.max_bytes => {
                return Err(BodyFault::TooLarge {
                    max_bytes: unread.limits.max_bytes,
                });
            }
            (Some(part), _) => read = part,
        }
    }
    // A closed exchange is handled by the reader of the answer, which can tell its cause.
    let _closed = sender.send(&end_frame(request_id, offset)).await;
    Ok(())
}

impl UnreadBody {
    /// Returns the next part; only the time spent waiting for the caller counts against the limit.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyFault> {
        loop {
            let left = self.limits.max_wait.saturating_sub(self.waited);
            let from = Instant::now();
            let frame = timeout(left, self.body.frame())
                .await
                .map_err(|_elapsed| BodyFault::TooSlow)?;
            self.waited += from.elapsed();
            match frame {
                None => return Ok(None),
                Some(Err(_broken)) => return Err(BodyFault::Broken),
                // Trailers are dropped: in all but a few protocols they only concern the framing of one connection.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => return Ok(Some(data)),
                    Ok(_) | Err(_) => {}
                },
            }
        }
    }
}

fn chunk_frame(request_id: u64, offset: u64, part: &[u8]) -> ToSidecar {
    ToSidecar::Body(BodyChunk {
        request_id,
        offset,
        data: ByteBuf::from(part),
    })
}

fn end_frame(request_id: u64, total_bytes: u64) -> ToSidecar {
    ToSidecar::BodyEnd(BodyEnd {
        request_id,
        total_bytes,
    })
}
