//! Plays one gateway before a served admission, over sockets.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hinge_admission::{ADMIT_PATH, Engine, Report, Rules, Server};
use hinge_cases::async_cases;
use hinge_link::{Client, ClusterKey, Exchange};
use hinge_schema::routing::{AdmitAsk, AdmitLost, AdmitNote, AdmitVerdict};
use hinge_telemetry::metrics::Registry;

/// Longer than any step takes; a test that runs into it has failed.
const LONGEST_STEP: Duration = Duration::from_secs(30);

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Stands in for an engine that runs nothing, whatever it is sent.
struct Idle;

impl Engine for Idle {
    async fn report(&self) -> Option<Report> {
        Some(Report::default())
    }
}

fn key() -> ClusterKey {
    ClusterKey::derive(b"a key for tests")
}

async fn bind() -> Server {
    let rules = Rules {
        max_unread_tokens: 4_000,
        max_running: 8,
        kv_tokens: 100_000,
        turn_permille: 700,
    };
    let engine = Some((Idle, Duration::from_millis(5)));
    let bound = Server::bind("127.0.0.1:0", rules, &key(), &Registry::new(), engine).await;
    bound.expect("a port is free")
}

async fn granted(client: &Client, server: &Server, id: &str) -> Exchange {
    let address = server.local_address().to_string();
    let opened = client.open(&address, ADMIT_PATH, LONGEST_STEP).await;
    let mut exchange = opened.expect("the admission answers");
    let ask = AdmitAsk {
        request_id: id.into(),
        team: "team".into(),
        rank: 1,
        prompt_tokens: 900,
        answer_tokens: 80,
        shared_key: 0,
        shared_tokens: 0,
        budget_ms: 500,
        elsewhere_tokens: 0,
    };
    exchange
        .sender
        .send(&ask)
        .await
        .expect("the admission reads");
    let verdict = exchange.reader.next::<AdmitVerdict>().await;
    let verdict = verdict.expect("a frame").expect("a verdict");
    assert!(verdict.granted);
    exchange
}

async_cases! { real
    a_gateway_that_waits_for_the_rest_of_a_lost_answer_is_still_heard => {
        std::panic::set_hook(Box::new(|_info| {
            PANICS.fetch_add(1, Ordering::SeqCst);
        }));
        let server = bind().await;
        let client = Client::new(key());
        let mut exchange = granted(&client, &server, "lost").await;
        let lost = exchange.reader.next::<AdmitLost>().await;
        assert!(lost.expect("a frame").is_some(), "the engine does not run the request");
        // The first event comes late, and the gateway says so; then it asks for another request.
        let note = AdmitNote { has_begun: true };
        exchange.sender.send(&note).await.expect("the admission still reads");
        let other = granted(&client, &server, "other").await;
        drop((exchange, other));
        assert!(server.stop(LONGEST_STEP).await);
        assert_eq!(PANICS.load(Ordering::SeqCst), 0);
    }
}
