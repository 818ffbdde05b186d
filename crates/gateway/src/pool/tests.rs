//! Checks how much is read of an answer whose head does not end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use hinge_cases::async_cases;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};

use super::{MAX_READ_BYTES, handshake};
use crate::attempt::{ExchangeOutcome, exchange};
use crate::guarded_stream::{MAX_UNUSED_BYTES, UnusedBytes};

/// Bytes on their way between the two ends.
const PIPE_BYTES: usize = 1024;

/// Bytes after which the endpoint gives up; no bound may be as high.
const ENOUGH_BYTES: usize = 4 << 20;

/// Waits for a request, then writes bytes until the reader closes, and counts them.
async fn flood(
    mut stream: DuplexStream,
    start: &'static [u8],
    rest: &'static [u8],
    sent: &AtomicUsize,
) {
    let request = stream.read_u8().await;
    request.expect("the request arrives");
    let mut next = start;
    while sent.load(Ordering::Relaxed) < ENOUGH_BYTES && stream.write_all(next).await.is_ok() {
        sent.fetch_add(next.len(), Ordering::Relaxed);
        next = rest;
    }
}

/// Sends a request to an endpoint that answers with bytes without end, and returns how many it could send.
async fn bytes_read(start: &'static [u8], rest: &'static [u8]) -> usize {
    let (ours, theirs) = duplex(PIPE_BYTES);
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&sent);
    let flooding = tokio::spawn(async move { flood(theirs, start, rest, &counted).await });
    let sender = handshake(ours, UnusedBytes::limited())
        .await
        .expect("the pipe is open");
    let request = Request::new(Full::new(Bytes::new()));
    assert!(matches!(
        exchange(sender, request).await,
        ExchangeOutcome::Lost
    ));
    flooding
        .await
        .expect("the endpoint ends with its connection");
    sent.load(Ordering::Relaxed)
}

async_cases! {
    // Guards against a gateway that keeps hundreds of kilobytes for each connection to an endpoint in trouble.
    a_header_without_end_is_given_up => {
        let bytes = bytes_read(b"HTTP/1.1 200 OK\r\nx: ", b"aaaaaaaaaaaaaaaa").await;
        assert!(bytes <= MAX_READ_BYTES + 2 * PIPE_BYTES, "{bytes} bytes");
    }
    headers_without_end_are_given_up => {
        let bytes = bytes_read(b"HTTP/1.1 200 OK\r\n", b"x: aaaaaaaaaaa\r\n").await;
        assert!(bytes <= MAX_READ_BYTES + 2 * PIPE_BYTES, "{bytes} bytes");
    }
    bytes_that_are_no_answer_are_given_up_at_once => {
        let bytes = bytes_read(b"\x00\x01\x02\x03", b"\x7f\xfe\xff\x00").await;
        assert!(bytes <= 2 * PIPE_BYTES, "{bytes} bytes");
    }
    // Guards against informational answers that the library skips until the deadline.
    informational_answers_without_end_are_given_up => {
        let bytes = bytes_read(b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 100 Continue\r\n\r\n").await;
        assert!(bytes <= 2 * MAX_UNUSED_BYTES, "{bytes} bytes");
    }
}
