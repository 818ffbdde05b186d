//! Buffers short answers whole before they are passed on.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::deadline::{Deadline, DeadlinePassed};

/// Largest answer that is buffered whole, in bytes; longer ones are streamed.
pub(crate) const MAX_WHOLE_BYTES: u64 = 64 * 1024;

/// Returns whether an answer is buffered whole before it is passed on, so that the request can be retried if it breaks off.
pub(crate) fn is_read_whole(body: &Incoming) -> bool {
    body.size_hint()
        .exact()
        .is_some_and(|bytes| bytes <= MAX_WHOLE_BYTES)
}

/// Why an answer could not be read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadError {
    Broken,
    TimedOut,
}

/// Reads an answer to its end.
pub(crate) async fn read_whole(mut body: Incoming, ends_at: Deadline) -> Result<Bytes, ReadError> {
    let mut whole = BytesMut::new();
    loop {
        match ends_at.limit(body.frame()).await {
            Err(DeadlinePassed) => return Err(ReadError::TimedOut),
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(_broken))) => return Err(ReadError::Broken),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    whole.extend_from_slice(&data);
                }
            }
        }
    }
}
