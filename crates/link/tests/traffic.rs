//! Tests the counters of bytes and messages with messages of known size.

use std::time::Duration;

use hinge_cases::{async_cases, cases};
use hinge_link::{
    CallError, Client, ClusterKey, CounterKind, Direction, Limits, MessageClass, Server, Traffic,
    encode, serve_call, serve_exchange,
};
use hinge_schema::messages::{Cancel, ConfigDelta, FetchConfig, FetchedConfig};
use viz::{Request, Router};

const WAIT: Duration = Duration::from_secs(30);

const BOTH: [Direction; 2] = [Direction::Sent, Direction::Received];

fn other(direction: Direction) -> Direction {
    match direction {
        Direction::Sent => Direction::Received,
        Direction::Received => Direction::Sent,
    }
}

/// Returns an answer of about 20 KB, far more than the overhead of HTTP headers and connection settings.
fn answer() -> FetchedConfig {
    FetchedConfig {
        config: Some(ConfigDelta {
            base_version: 0,
            version: 1,
            digest: 1,
            put: Vec::new(),
            removed: (0..2_000).map(|name| format!("{name:08}").into()).collect(),
        }),
    }
}

fn router(key: &ClusterKey) -> Router {
    let (for_fetch, for_offer) = (key.clone(), key.clone());
    Router::new()
        .post("/v1/config/fetch", move |request: Request| {
            let key = for_fetch.clone();
            async move { serve_call(&key, request, |_: FetchConfig| async { Ok(answer()) }).await }
        })
        .post("/v1/offer", move |request: Request| {
            let key = for_offer.clone();
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

/// A server's and a client's key, each with its own counters.
struct Ends {
    address: String,
    at_server: ClusterKey,
    at_client: ClusterKey,
}

async fn ends() -> Ends {
    let (at_server, at_client) = (ClusterKey::derive(b"one"), ClusterKey::derive(b"one"));
    let server = Server::bind("127.0.0.1:0", router(&at_server), Limits::default()).await;
    let server = server.expect("a free port exists");
    Ends {
        address: server.local_address().to_string(),
        at_server,
        at_client,
    }
}

/// Waits until both ends have counted the same bytes; both must be open, as a closed end reads nothing more.
async fn wait_until_equal(server: &Traffic, client: &Traffic) {
    let bytes = |traffic: &Traffic, direction| traffic.get(CounterKind::SocketBytes, direction);
    let equal = async {
        while BOTH
            .iter()
            .any(|way| bytes(server, *way) != bytes(client, other(*way)))
        {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(WAIT, equal)
        .await
        .expect("both ends count the same");
}

async_cases! { real
    both_ends_count_the_same_for_a_call => {
        let ends = ends().await;
        let client = Client::new(ends.at_client.clone());
        let ask = FetchConfig { config_version: 7 };
        for _ in 0..3 {
            client.call::<_, FetchedConfig>(&ends.address, "/v1/config/fetch", &ask, WAIT).await.expect("the call is answered");
        }
        let asked_bytes = 3 * encode(&ask).expect("it encodes").len() as u64;
        let answered_bytes = 3 * encode(&answer()).expect("it encodes").len() as u64;
        let (at_server, at_client) = (ends.at_server.traffic(), ends.at_client.traffic());
        let class = MessageClass::Config;
        for (traffic, sent, received) in [(at_client, asked_bytes, answered_bytes), (at_server, answered_bytes, asked_bytes)] {
            assert_eq!(traffic.get(CounterKind::Messages(class), Direction::Sent), 3);
            assert_eq!(traffic.get(CounterKind::Messages(class), Direction::Received), 3);
            assert_eq!(traffic.get(CounterKind::MessageBytes(class), Direction::Sent), sent);
            assert_eq!(traffic.get(CounterKind::MessageBytes(class), Direction::Received), received);
        }
        wait_until_equal(at_server, at_client).await;
        let socket_bytes = at_client.get(CounterKind::SocketBytes, Direction::Received);
        assert!((answered_bytes..answered_bytes + 1_000).contains(&socket_bytes), "{socket_bytes}");
        assert!(at_client.control_bytes() >= asked_bytes + answered_bytes);
    }

    the_first_message_of_an_offer_is_control_and_the_others_are_the_answer => {
        let ends = ends().await;
        let client = Client::new(ends.at_client.clone());
        let mut open = client.open(&ends.address, "/v1/offer", WAIT).await.expect("the exchange opens");
        for request_id in 0..5 {
            open.sender.send(&Cancel { request_id }).await.expect("the exchange is open");
            open.reader.next::<Cancel>().await.expect("the frame is whole").expect("it is echoed");
        }
        let frame_bytes = 4 + encode(&Cancel { request_id: 0 }).expect("it encodes").len() as u64;
        for traffic in [ends.at_client.traffic(), ends.at_server.traffic()] {
            for way in BOTH {
                assert_eq!(traffic.get(CounterKind::MessageBytes(MessageClass::Offer), way), frame_bytes);
                assert_eq!(traffic.get(CounterKind::MessageBytes(MessageClass::Answer), way), 4 * frame_bytes);
            }
        }
    }

    a_connection_that_proves_no_key_is_not_counted => {
        let ends = ends().await;
        let other_key_client = Client::new(ClusterKey::derive(b"two"));
        let ask = FetchConfig { config_version: 7 };
        let refused = other_key_client.call::<_, FetchedConfig>(&ends.address, "/v1/config/fetch", &ask, WAIT).await;
        assert!(matches!(refused, Err(CallError::Status(status)) if status == 401));
        assert_eq!(ends.at_server.traffic().control_bytes(), 0);
    }
}

fn path_has_class((path, class): (&str, MessageClass)) {
    assert_eq!(MessageClass::of_path(path), class);
}

cases! { path_has_class:
    a_forwarded_announcement => ("/v1/forwarded/announce", MessageClass::Announce),
    a_batch_of_announcements => ("/v1/announces", MessageClass::Announce),
    a_push_of_the_configuration => ("/v1/config/push", MessageClass::Config),
    a_resumed_answer => ("/v1/resume", MessageClass::Answer),
    an_order => ("/v1/order", MessageClass::Other),
}
