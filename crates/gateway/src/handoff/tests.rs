//! Checks when the answer to a handed-off request ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hinge_cases::async_cases;
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::{Instant, sleep, timeout};

use super::{DEADLINE_GRACE, HandedOff, PeerUse};
use crate::attempt::tests::{ANSWERS, Read, send_pieces};
use crate::attempt::{ExchangeOutcome, exchange};
use crate::body::AnswerBody;
use crate::deadline::Deadline;
use crate::gateway::tests::shared;
use crate::guarded_stream::UnusedBytes;
use crate::pool::handshake;

/// Time from the head of an answer to its deadline.
const LEFT: Duration = Duration::from_secs(3);

/// Time between two chunks of an answer.
const PAUSE: Duration = Duration::from_millis(50);

/// Timeout of a test that hangs, on the paused clock.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNK: &[u8] = b"5\r\nid: 1\r\n";
const END: &[u8] = b"0\r\n\r\n";

/// How an answer ended, and how long after its head.
#[derive(Debug, PartialEq, Eq)]
struct Ended {
    chunks: usize,
    is_whole: bool,
    after: Duration,
}

/// Answers a request with some chunks, then ends the answer or hangs.
async fn answer(mut stream: DuplexStream, chunks: usize, is_ended: bool) {
    stream.read_u8().await.expect("the request arrives");
    stream.write_all(HEAD).await.expect("the pipe is open");
    for _ in 0..chunks {
        sleep(PAUSE).await;
        stream.write_all(CHUNK).await.expect("the pipe is open");
    }
    if is_ended {
        stream.write_all(END).await.expect("the pipe is open");
    }
    std::future::pending::<()>().await;
}

/// Sends a request to another gateway, and returns the body that is passed on; `None` without an answer.
async fn hand_off(ours: DuplexStream) -> Option<AnswerBody> {
    let sender = handshake(ours, UnusedBytes::unlimited()).await;
    let sender = sender.expect("the pipe is open");
    let request = Request::new(Full::new(Bytes::new()));
    let ExchangeOutcome::Answered(_sender, response) = exchange(sender, request).await else {
        return None;
    };
    let shared = shared(1);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    shared.handoffs.set_peers(&[address]);
    let address = shared.handoffs.choose(&[]).expect("it is known");
    Some(AnswerBody::HandedOff(HandedOff {
        body: response.into_body(),
        deadline: (Deadline::after(LEFT) + DEADLINE_GRACE).timer(),
        connection: None,
        in_use: PeerUse {
            shared: Arc::clone(&shared),
            address,
        },
    }))
}

/// Passes the answer of another gateway on, and returns how it ended.
async fn pass_on(chunks: usize, is_ended: bool) -> Ended {
    let (ours, theirs) = duplex(4_096);
    tokio::spawn(answer(theirs, chunks, is_ended));
    let body = hand_off(ours).await;
    let mut body = body.expect("the other gateway answers");
    let began_at = Instant::now();
    let mut chunks = 0;
    let is_whole = loop {
        let next = timeout(TEST_TIMEOUT, body.frame()).await;
        match next.expect("the answer ends") {
            None => break true,
            Some(Err(_broken_off)) => break false,
            Some(Ok(_chunk)) => chunks += 1,
        }
    };
    Ended {
        chunks,
        is_whole,
        after: began_at.elapsed(),
    }
}

/// Passes on what another gateway sends of an answer before it ends.
async fn pass_on_cut(sent: Vec<u8>) -> Read {
    let (ours, theirs) = duplex(4_096);
    tokio::spawn(send_pieces(theirs, vec![sent]));
    let Some(body) = hand_off(ours).await else {
        return Read::Nothing;
    };
    let body = timeout(TEST_TIMEOUT, body.collect()).await;
    match body.expect("the answer ends") {
        Ok(body) => Read::Whole(body.to_bytes()),
        Err(_broken_off) => Read::BrokenOff,
    }
}

async_cases! {
    an_answer_from_a_gateway_that_hangs_is_broken_off_at_its_deadline => {
        let ended = pass_on(3, false).await;
        assert_eq!((ended.chunks, ended.is_whole), (3, false));
        assert!(ended.after >= LEFT && ended.after < LEFT + Duration::from_millis(500), "{ended:?}");
    }
    an_answer_that_ends_in_time_is_whole => {
        let ended = pass_on(3, true).await;
        assert_eq!(ended, Ended { chunks: 3, is_whole: true, after: 3 * PAUSE });
    }
    // Guards against a gateway that ends within the head of an answer that it passes on.
    no_answer_looks_whole_whose_gateway_ends_after_any_of_its_bytes => {
        for answer in ANSWERS.iter().filter(|answer| answer.is_framed) {
            for bytes in 0..=answer.length() {
                let read = pass_on_cut(answer.first(bytes)).await;
                answer.check(bytes, &read);
            }
        }
    }
}
