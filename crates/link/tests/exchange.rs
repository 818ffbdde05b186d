//! Tests calls and exchanges over a real connection, and the frame reader with invalid streams.

use std::time::Duration;

use bytes::Bytes;
use hinge_cases::{async_cases, cases};
use hinge_link::{
    CallError, Client, ClusterKey, FrameError, FrameReader, Limits, Server, encode, serve_call,
    serve_exchange,
};
use hinge_schema::messages::{AskVerdict, Cancel, FetchConfig, Verdict, VerdictReply};
use http_body_util::Full;
use quickcheck::quickcheck;
use viz::{Request, Router};

const WAIT: Duration = Duration::from_secs(30);

fn router(key: &ClusterKey) -> Router {
    let (for_ask, for_echo) = (key.clone(), key.clone());
    Router::new()
        .post("/ask", move |request: Request| {
            let key = for_ask.clone();
            async move { serve_call(&key, request, answer).await }
        })
        .post("/echo", move |request: Request| {
            let key = for_echo.clone();
            async move {
                serve_exchange(&key, request, |mut reader, sender| async move {
                    while let Ok(Some(message)) = reader.next::<Cancel>().await {
                        if sender.send(&message).await.is_err() {
                            break;
                        }
                    }
                })
            }
        })
}

async fn answer(question: AskVerdict) -> Result<VerdictReply, http::StatusCode> {
    Ok(VerdictReply {
        verdict: Verdict::Running,
        incarnation: question.incarnation,
    })
}

fn question() -> AskVerdict {
    AskVerdict {
        request_id: 1,
        claim_id: 2,
        incarnation: 3,
    }
}

async_cases! { real
    a_call_is_answered => {
        let key = ClusterKey::derive(b"one");
        let server = Server::bind("127.0.0.1:0", router(&key), Limits::default()).await.expect("a free port exists");
        let address = server.local_address().to_string();
        let reply: VerdictReply = Client::new(key).call(&address, "/ask", &question(), WAIT).await.expect("the call is answered");
        assert_eq!(reply.incarnation, 3);
    }
    a_peer_with_another_key_is_refused => {
        let server = Server::bind("127.0.0.1:0", router(&ClusterKey::derive(b"one")), Limits::default()).await.expect("a free port exists");
        let address = server.local_address().to_string();
        let other_key_client = Client::new(ClusterKey::derive(b"two"));
        let refused = other_key_client.call::<_, VerdictReply>(&address, "/ask", &question(), WAIT).await;
        assert!(matches!(refused, Err(CallError::Status(status)) if status == 401));
        assert!(matches!(other_key_client.open(&address, "/echo", WAIT).await, Err(CallError::Status(status)) if status == 401));
    }
    a_call_to_a_closed_port_is_reported_as_not_sent => {
        let server = Server::bind("127.0.0.1:0", Router::new(), Limits::default()).await.expect("a free port exists");
        let address = server.local_address().to_string();
        assert!(server.stop(WAIT).await);
        let error = Client::new(ClusterKey::derive(b"one")).call::<_, VerdictReply>(&address, "/ask", &question(), WAIT).await;
        assert!(error.expect_err("nobody listens").is_not_sent());
    }
    a_server_keeps_running_when_its_handle_is_dropped => {
        let key = ClusterKey::derive(b"one");
        let server = Server::bind("127.0.0.1:0", router(&key), Limits::default()).await.expect("a free port exists");
        let address = server.local_address().to_string();
        drop(server);
        let client = Client::new(key);
        for _ in 0..3 {
            let reply: VerdictReply = client.call(&address, "/ask", &question(), WAIT).await.expect("the call is answered");
            assert_eq!(reply.incarnation, 3);
        }
    }
    an_exchange_keeps_order_and_ends_with_its_sender => {
        let key = ClusterKey::derive(b"one");
        let server = Server::bind("127.0.0.1:0", router(&key), Limits::default()).await.expect("a free port exists");
        let address = server.local_address().to_string();
        let mut open = Client::new(key).open(&address, "/echo", WAIT).await.expect("the exchange opens");
        let sender = open.sender;
        let sending = tokio::spawn(async move {
            for request_id in 0..1_000 {
                sender.send(&Cancel { request_id }).await.expect("the exchange is open");
            }
        });
        for request_id in 0..1_000 {
            let echoed = open.reader.next::<Cancel>().await.expect("the frame is whole");
            assert_eq!(echoed, Some(Cancel { request_id }));
        }
        sending.await.expect("the sender ended");
        assert_eq!(open.reader.next::<Cancel>().await.expect("the end is clean"), None);
    }
}

fn framed(message: &[u8]) -> Vec<u8> {
    let length = u32::try_from(message.len()).expect("a test message is short");
    [&length.to_be_bytes(), message].concat()
}

fn reader(bytes: Vec<u8>) -> FrameReader<Full<Bytes>> {
    FrameReader::new(Full::new(Bytes::from(bytes)))
}

fn read_one(bytes: Vec<u8>) -> Result<Option<FetchConfig>, FrameError> {
    futures::executor::block_on(reader(bytes).next::<FetchConfig>())
}

cases! {
    a_stream_that_ends_inside_a_frame_is_truncated => {
        let mut bytes = framed(&encode(&FetchConfig { config_version: 7 }).expect("it encodes"));
        bytes.pop();
        assert!(matches!(read_one(bytes), Err(FrameError::Truncated)));
    }
    an_announced_length_beyond_the_limit_is_refused => {
        assert!(matches!(read_one(vec![0xff; 64]), Err(FrameError::TooLong { .. })));
    }
}

quickcheck! {
    fn arbitrary_bytes_never_panic_the_reader(bytes: Vec<u8>) -> bool {
        let _ = read_one(bytes.clone());
        let _ = read_one(framed(&bytes));
        true
    }
}
