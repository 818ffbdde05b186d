//! Checks that no answer looks whole whose endpoint ends at any of its bytes.

use std::time::Duration;

use bytes::Bytes;
use hinge_cases::async_cases;
use http::{Request, StatusCode};
use http_body_util::Full;
use quickcheck::{QuickCheck, TestResult};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::{Instant, timeout};

use super::{ExchangeOutcome, exchange};
use crate::answer::{ReadError, read_whole};
use crate::deadline::Deadline;
use crate::guarded_stream::UnusedBytes;
use crate::pool::handshake;

/// Timeout of a test that hangs, on the paused clock.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// What a reader made of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Read {
    /// There was no answer.
    Nothing,
    /// The answer broke off in its body.
    BrokenOff,
    Whole(Bytes),
}

/// An answer as it is sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sent {
    pub(crate) head: &'static str,
    pub(crate) body: &'static str,
    /// Whether the answer states where it ends.
    pub(crate) is_framed: bool,
}

/// Answers that differ in how they state their end.
pub(crate) const ANSWERS: &[Sent] = &[
    Sent {
        head: "HTTP/1.1 200 OK\r\ncontent-length: 11\r\ncontent-type: text/plain\r\nx-stamp: 3e1b.07\r\n\r\n",
        body: "hello world",
        is_framed: true,
    },
    Sent {
        head: "HTTP/1.1 200 OK\r\nx-stamp: 3e1b.07\r\ncontent-type: text/plain\r\ncontent-length: 11\r\n\r\n",
        body: "hello world",
        is_framed: true,
    },
    Sent {
        head: "HTTP/1.1 200 OK\r\nx-stamp: 3e1b.07\r\ntransfer-encoding: chunked\r\n\r\n",
        body: "6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n",
        is_framed: true,
    },
    Sent {
        head: "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nx-stamp: 3e1b.07\r\ncontent-length: 11\r\n\r\n",
        body: "hello world",
        is_framed: true,
    },
    Sent {
        head: "HTTP/1.1 200 OK\ncontent-length: 11\nx-stamp: 3e1b.07\n\n",
        body: "hello world",
        is_framed: true,
    },
    Sent {
        head: "HTTP/1.0 200 OK\r\nx-stamp: 3e1b.07\r\ncontent-length: 11\r\n\r\n",
        body: "hello world",
        is_framed: true,
    },
    Sent {
        head: "HTTP/1.1 200 OK\r\nx-stamp: 3e1b.07\r\ncontent-type: text/plain\r\n\r\n",
        body: "hello world",
        is_framed: false,
    },
    Sent {
        head: "HTTP/1.1 200 OK\r\nx-stamp: 3e1b.07\r\nconnection: close\r\n\r\n",
        body: "hello world",
        is_framed: false,
    },
];

impl Sent {
    pub(crate) fn length(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Returns the first bytes of the answer.
    pub(crate) fn first(&self, bytes: usize) -> Vec<u8> {
        let mut sent = [self.head, self.body].concat().into_bytes();
        sent.truncate(bytes);
        sent
    }

    /// Checks what a reader made of the first bytes of this answer, after which its sender ended.
    pub(crate) fn check(&self, bytes: usize, read: &Read) {
        let cut = format!("{:?} after {bytes} bytes", self.head);
        if bytes < self.head.len() {
            assert_eq!(*read, Read::Nothing, "{cut}");
        } else if bytes == self.length() {
            assert_eq!(
                *read,
                Read::Whole(Bytes::from_static(b"hello world")),
                "{cut}"
            );
        } else if self.is_framed {
            assert_eq!(*read, Read::BrokenOff, "{cut}");
        } else {
            let arrived = &self.body.as_bytes()[..bytes - self.head.len()];
            assert_eq!(*read, Read::Whole(Bytes::from_static(arrived)), "{cut}");
        }
    }
}

/// Reads a request, sends the pieces of an answer one after the other, and closes.
pub(crate) async fn send_pieces(mut stream: DuplexStream, pieces: Vec<Vec<u8>>) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        request.push(stream.read_u8().await.expect("the request arrives"));
    }
    for piece in pieces {
        stream.write_all(&piece).await.expect("the pipe is open");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn read(pieces: Vec<Vec<u8>>) -> Read {
    let (ours, theirs) = duplex(4_096);
    tokio::spawn(send_pieces(theirs, pieces));
    let sender = handshake(ours, UnusedBytes::limited()).await;
    let sender = sender.expect("the pipe is open");
    let request = Request::new(Full::new(Bytes::new()));
    let answered = timeout(TEST_TIMEOUT, exchange(sender, request)).await;
    let (_sender, response) = match answered.expect("the answer ends") {
        ExchangeOutcome::Answered(sender, response) => (sender, response),
        ExchangeOutcome::Lost => return Read::Nothing,
        ExchangeOutcome::NotSent => panic!("the request was sent"),
    };
    assert_eq!(response.status(), StatusCode::OK);
    match read_whole(response.into_body(), Deadline::after(TEST_TIMEOUT)).await {
        Ok(body) => Read::Whole(body),
        Err(ReadError::Broken) => Read::BrokenOff,
        Err(ReadError::TimedOut) => panic!("the answer ends"),
    }
}

/// Splits bytes into pieces of these lengths, each between 1 and 256, and a last one.
fn split(mut bytes: Vec<u8>, lengths: impl IntoIterator<Item = u8>) -> Vec<Vec<u8>> {
    let mut pieces = Vec::new();
    for length in lengths {
        let length = usize::from(length) + 1;
        if length >= bytes.len() {
            break;
        }
        let rest = bytes.split_off(length);
        pieces.push(std::mem::replace(&mut bytes, rest));
    }
    pieces.push(bytes);
    pieces
}

#[test]
fn an_answer_cut_anywhere_is_read_the_same_in_any_pieces() {
    fn holds(answer: usize, bytes: usize, lengths: Vec<u8>) -> TestResult {
        let answer = ANSWERS[answer % ANSWERS.len()];
        let bytes = bytes % (answer.length() + 1);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build();
        let runtime = runtime.expect("a runtime without sockets starts");
        let read = runtime.block_on(read(split(answer.first(bytes), lengths)));
        answer.check(bytes, &read);
        TestResult::passed()
    }
    QuickCheck::new().quickcheck(holds as fn(usize, usize, Vec<u8>) -> TestResult);
}

async_cases! {
    // Guards against an endpoint that stops within the head of its answer and closes.
    no_answer_looks_whole_whose_endpoint_closes_after_any_of_its_bytes => {
        for answer in ANSWERS {
            for bytes in 0..=answer.length() {
                let began_at = Instant::now();
                let read = read(vec![answer.first(bytes)]).await;
                answer.check(bytes, &read);
                assert!(began_at.elapsed() < TEST_TIMEOUT);
            }
        }
    }
}
