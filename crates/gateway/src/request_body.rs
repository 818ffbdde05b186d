//! Reads the bodies of requests, of which long ones wait until there is memory for them.

use bytes::{Bytes, BytesMut};
use hinge_link::{ByteBudget, HeldBudget};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};

use crate::deadline::{Deadline, DeadlinePassed};
use crate::refusal::Refusal;

#[cfg(test)]
mod tests;

/// Bytes of all long bodies that are held at the same time, each until its request has ended.
pub(crate) const MAX_LONG_BODY_BYTES: usize = 16 << 20;

/// Longest body that is read without waiting; most are far shorter.
const SHORT_BODY_BYTES: usize = 64 << 10;

/// The body of a request.
#[derive(Debug)]
pub(crate) struct RequestBody {
    pub(crate) bytes: Bytes,
    /// Its part of the memory for long bodies, if it is long; to be held until the request has ended.
    pub(crate) held: Option<HeldBudget>,
}

/// Reads a body to its end.
///
/// # Errors
///
/// Returns the refusal of a body that is too long, did not arrive whole in time, or got no memory in time.
pub(crate) async fn read<B>(
    long_bodies: &ByteBudget,
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
    let mut body = Limited::new(body, max_bytes);
    let mut bytes = BytesMut::new();
    let mut held = None;
    // A body without a length is long once it turns out to be.
    let mut known_length = declared.unwrap_or_default();
    loop {
        if held.is_none() && known_length > SHORT_BODY_BYTES {
            let length = declared.unwrap_or(max_bytes);
            let acquired = ends_at.limit(long_bodies.acquire(length)).await;
            held = Some(acquired.map_err(|DeadlinePassed| Refusal::NoMemory)?);
            bytes.reserve(declared.unwrap_or_default());
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
    Ok(RequestBody {
        bytes: bytes.freeze(),
        held,
    })
}
