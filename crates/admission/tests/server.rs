//! Plays gateways before a served admission, over sockets.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hinge_admission::{ASKS_PATH, Engine, EngineReport, QueueLimits, ReportOutcome, Server};
use hinge_cases::async_cases;
use hinge_link::{Client, ClusterKey, Exchange};
use hinge_schema::routing::{AdmitAsk, AdmitVerdict, AskNumber, FromAdmission, ToAdmission};
use hinge_telemetry::metrics::Registry;

/// Longer than any step takes; a test that runs into it has failed.
const LONGEST_STEP: Duration = Duration::from_secs(30);

/// Places of the admission; few, so that the next ask waits.
const MAX_RUNNING: u32 = 2;

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Stands in for an engine that runs nothing, whatever it is sent.
struct Idle;

impl Engine for Idle {
    async fn fetch_report(&self) -> ReportOutcome {
        ReportOutcome::Report(EngineReport::default())
    }
}

/// Stands in for an engine that does not answer, so that nothing is ever missing in its reports.
struct Silent;

impl Engine for Silent {
    async fn fetch_report(&self) -> ReportOutcome {
        ReportOutcome::Silent
    }
}

fn key() -> ClusterKey {
    ClusterKey::derive(b"a key for tests")
}

async fn bind(engine: impl Engine) -> Server {
    let rules = QueueLimits {
        max_unread_tokens: 4_000,
        max_running: MAX_RUNNING,
        kv_tokens: 100_000,
        max_wait_permille: 700,
    };
    let engine = Some((engine, Duration::from_millis(5)));
    let bound = Server::bind("127.0.0.1:0", rules, &key(), &Registry::new(), engine).await;
    bound.expect("a port is free")
}

/// Plays one gateway.
struct Gateway {
    exchange: Exchange,
}

impl Gateway {
    async fn open(server: &Server) -> Self {
        let address = server.local_address().to_string();
        let client = Client::new(key());
        let opened = client.open(&address, ASKS_PATH, LONGEST_STEP).await;
        let exchange = opened.expect("the admission answers");
        Self { exchange }
    }

    async fn say(&self, word: ToAdmission) {
        let said = self.exchange.sender.send(&word).await;
        said.expect("the admission reads");
    }

    async fn ask(&self, number: u64, budget_ms: u64) {
        let ask = AdmitAsk {
            number,
            request_id: format!("request-{number}").into(),
            team: "team".into(),
            rank: 1,
            prompt_tokens: 900,
            answer_tokens: 80,
            shared_key: 0,
            shared_tokens: 0,
            budget_ms,
            elsewhere_tokens: 0,
        };
        self.say(ToAdmission::Ask(ask)).await;
    }

    async fn end(&self, number: u64) {
        self.say(ToAdmission::Ended(AskNumber { number })).await;
    }

    async fn hear(&mut self) -> FromAdmission {
        let heard = self.exchange.reader.next::<FromAdmission>().await;
        heard.expect("a frame").expect("a word")
    }

    async fn verdict(&mut self) -> AdmitVerdict {
        match self.hear().await {
            FromAdmission::Verdict(verdict) => verdict,
            other => panic!("{other:?} is no verdict"),
        }
    }

    async fn granted(&mut self, number: u64) {
        self.ask(number, 500).await;
        let verdict = self.verdict().await;
        assert_eq!((verdict.number, verdict.granted), (number, true));
    }

    async fn queued(&mut self, number: u64, budget_ms: u64) {
        self.ask(number, budget_ms).await;
        let heard = self.hear().await;
        assert_eq!(heard, FromAdmission::Queued(AskNumber { number }));
    }
}

async_cases! { real
    a_gateway_that_waits_for_the_rest_of_a_lost_answer_is_still_heard => {
        std::panic::set_hook(Box::new(|_info| {
            PANICS.fetch_add(1, Ordering::SeqCst);
        }));
        let server = bind(Idle).await;
        let mut gateway = Gateway::open(&server).await;
        gateway.granted(7).await;
        let FromAdmission::Lost(lost) = gateway.hear().await else {
            panic!("the engine does not run the request");
        };
        assert_eq!(lost.number, 7);
        // The first event comes late, and the gateway says so; then it asks for another request.
        gateway.say(ToAdmission::Began(AskNumber { number: 7 })).await;
        gateway.granted(8).await;
        drop(gateway);
        assert!(server.stop(LONGEST_STEP).await);
        assert_eq!(PANICS.load(Ordering::SeqCst), 0);
    }
    an_ask_that_waits_is_told_so_and_gets_the_place_of_one_that_ends => {
        let server = bind(Silent).await;
        let mut gateway = Gateway::open(&server).await;
        gateway.granted(1).await;
        gateway.granted(2).await;
        gateway.queued(3, 60_000).await;
        gateway.end(2).await;
        let verdict = gateway.verdict().await;
        assert_eq!((verdict.number, verdict.granted), (3, true));
    }
    an_ask_that_ends_while_it_waits_takes_no_place => {
        let server = bind(Silent).await;
        let mut gateway = Gateway::open(&server).await;
        gateway.granted(1).await;
        gateway.granted(2).await;
        gateway.queued(3, 60_000).await;
        gateway.queued(4, 60_000).await;
        gateway.end(3).await;
        gateway.end(1).await;
        assert_eq!(gateway.verdict().await.number, 4);
    }
    the_end_of_an_exchange_gives_the_places_of_all_its_asks_back => {
        let server = bind(Silent).await;
        let mut gone = Gateway::open(&server).await;
        gone.granted(1).await;
        gone.granted(2).await;
        let mut other = Gateway::open(&server).await;
        other.queued(1, 60_000).await;
        other.queued(2, 60_000).await;
        drop(gone);
        assert!(other.verdict().await.granted);
        assert!(other.verdict().await.granted);
    }
    a_stop_lets_granted_requests_end_and_then_ends_the_exchange => {
        let server = bind(Silent).await;
        let mut gateway = Gateway::open(&server).await;
        gateway.granted(1).await;
        let stopped = tokio::spawn(server.stop(LONGEST_STEP));
        gateway.say(ToAdmission::Began(AskNumber { number: 1 })).await;
        gateway.end(1).await;
        let ended = gateway.exchange.reader.next::<FromAdmission>().await;
        assert!(matches!(ended, Ok(None)), "{ended:?}");
        assert!(stopped.await.expect("no panic"));
    }
}
