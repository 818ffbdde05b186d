//! Exercises a served admission queue over sockets, in the role of gateways.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hinge_admission::{
    ASKS_PATH, Engine, EngineReport, FIND_STREAMS_PATH, QueueLimits, ReportOutcome, Server,
};
use hinge_cases::async_cases;
use hinge_link::{Client, ClusterKey, Exchange};
use hinge_schema::routing::{
    AdmitAsk, AdmitVerdict, AskNumber, FindStreams, FoundStreams, FromAdmission, StreamsBegun,
    ToAdmission,
};
use hinge_telemetry::metrics::Registry;
use tokio::sync::watch;
use tokio::time::sleep;

/// Timeout of each step; no step takes this long unless the test fails.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Slots of the engine; few, so that the next request waits.
const MAX_RUNNING: u32 = 2;

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// An engine that runs nothing, whatever it is sent.
struct IdleEngine;

impl Engine for IdleEngine {
    async fn fetch_report(&self) -> ReportOutcome {
        ReportOutcome::Report(EngineReport::default())
    }
}

/// An engine that never replies, so that no request is ever missing from its reports.
struct SilentEngine;

impl Engine for SilentEngine {
    async fn fetch_report(&self) -> ReportOutcome {
        ReportOutcome::Silent
    }
}

/// An engine whose every report comes so late that it may have read requests meanwhile; it counts its reports.
struct LateEngine(watch::Sender<u32>);

impl Engine for LateEngine {
    async fn fetch_report(&self) -> ReportOutcome {
        sleep(Duration::from_millis(450)).await;
        self.0.send_modify(|reports| *reports += 1);
        ReportOutcome::Report(EngineReport::default())
    }
}

fn key() -> ClusterKey {
    ClusterKey::derive(b"a key for tests")
}

async fn bind(engine: impl Engine) -> Server {
    let limits = QueueLimits {
        max_unread_tokens: 4_000,
        max_running: MAX_RUNNING,
        kv_tokens: 100_000,
        max_wait_permille: 700,
    };
    let engine = Some((engine, Duration::from_millis(5)));
    let bound = Server::bind("127.0.0.1:0", limits, &key(), &Registry::new(), engine).await;
    bound.expect("a port is free")
}

fn ask(number: u64, budget_ms: u64) -> AdmitAsk {
    AdmitAsk {
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
        warm_up: None,
        return_key: None,
        stream: None,
    }
}

/// Asks the admission where streams began.
async fn find_streams(server: &Server, streams: &[u64]) -> Vec<StreamsBegun> {
    let address = server.local_address().to_string();
    let query = FindStreams {
        streams: streams.to_vec(),
    };
    let client = Client::new(key());
    let found = client.call(&address, FIND_STREAMS_PATH, &query, STEP_TIMEOUT);
    let found: FoundStreams = found.await.expect("the admission answers");
    found.begun
}

/// A gateway with an open exchange.
struct Gateway {
    exchange: Exchange,
}

impl Gateway {
    async fn open(server: &Server) -> Self {
        let address = server.local_address().to_string();
        let client = Client::new(key());
        let opened = client.open(&address, ASKS_PATH, STEP_TIMEOUT).await;
        let exchange = opened.expect("the admission answers");
        Self { exchange }
    }

    async fn send(&self, frame: ToAdmission) {
        let sent = self.exchange.sender.send(&frame).await;
        sent.expect("the exchange is open");
    }

    async fn request_slot(&self, number: u64, budget_ms: u64) {
        self.send(ToAdmission::Ask(ask(number, budget_ms))).await;
    }

    async fn end(&self, number: u64) {
        self.send(ToAdmission::Ended(AskNumber { number })).await;
    }

    async fn receive(&mut self) -> FromAdmission {
        let received = self.exchange.reader.next::<FromAdmission>().await;
        received
            .expect("a readable frame")
            .expect("an open exchange")
    }

    async fn expect_verdict(&mut self) -> AdmitVerdict {
        match self.receive().await {
            FromAdmission::Verdict(verdict) => verdict,
            other => panic!("expected a verdict, got {other:?}"),
        }
    }

    async fn expect_grant(&mut self, number: u64) {
        self.request_slot(number, 500).await;
        let verdict = self.expect_verdict().await;
        assert_eq!((verdict.number, verdict.granted), (number, true));
    }

    async fn expect_queued(&mut self, number: u64, budget_ms: u64) {
        self.request_slot(number, budget_ms).await;
        let received = self.receive().await;
        assert_eq!(received, FromAdmission::Queued(AskNumber { number }));
    }
}

async_cases! { real
    frames_about_a_lost_request_are_still_accepted => {
        std::panic::set_hook(Box::new(|_info| {
            PANICS.fetch_add(1, Ordering::SeqCst);
        }));
        let server = bind(IdleEngine).await;
        let mut gateway = Gateway::open(&server).await;
        gateway.expect_grant(7).await;
        let FromAdmission::Lost(lost) = gateway.receive().await else {
            panic!("expected the request to be reported lost");
        };
        assert_eq!(lost.number, 7);
        // The first event arrives late and the gateway reports it, then requests another slot.
        gateway.send(ToAdmission::Began(AskNumber { number: 7 })).await;
        gateway.expect_grant(8).await;
        drop(gateway);
        assert!(server.stop(STEP_TIMEOUT).await);
        assert_eq!(PANICS.load(Ordering::SeqCst), 0);
    }
    where_a_stream_began_is_known_once_it_has_begun_also_after_its_gateway_has_ended => {
        let server = bind(SilentEngine).await;
        let mut gateway = Gateway::open(&server).await;
        let stream = StreamsBegun {
            service: "llm".into(),
            software_version: "v1".into(),
            streams: vec![41],
            keep_ms: Some(90_000),
        };
        let ask = AdmitAsk { stream: Some(stream.clone()), ..ask(1, 500) };
        gateway.send(ToAdmission::Ask(ask)).await;
        assert!(gateway.expect_verdict().await.granted);
        assert_eq!(find_streams(&server, &[41, 42]).await, []);
        gateway.send(ToAdmission::Began(AskNumber { number: 1 })).await;
        let is_known = |found: &[StreamsBegun]| match found {
            [found] => {
                let keep_ms = found.keep_ms.expect("it is kept for a time");
                assert!((60_000..=90_000).contains(&keep_ms), "{keep_ms}");
                assert_eq!(*found, StreamsBegun { keep_ms: Some(keep_ms), ..stream.clone() });
                true
            }
            _ => false,
        };
        while !is_known(&find_streams(&server, &[41, 42]).await) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        drop(gateway);
        assert!(is_known(&find_streams(&server, &[41, 42]).await));
        assert!(server.stop(STEP_TIMEOUT).await);
    }
    a_queued_request_gets_the_slot_of_one_that_ends => {
        let server = bind(SilentEngine).await;
        let mut gateway = Gateway::open(&server).await;
        gateway.expect_grant(1).await;
        gateway.expect_grant(2).await;
        gateway.expect_queued(3, 60_000).await;
        gateway.end(2).await;
        let verdict = gateway.expect_verdict().await;
        assert_eq!((verdict.number, verdict.granted), (3, true));
    }
    a_request_that_ends_while_queued_takes_no_slot => {
        let server = bind(SilentEngine).await;
        let mut gateway = Gateway::open(&server).await;
        gateway.expect_grant(1).await;
        gateway.expect_grant(2).await;
        gateway.expect_queued(3, 60_000).await;
        gateway.expect_queued(4, 60_000).await;
        gateway.end(3).await;
        gateway.end(1).await;
        assert_eq!(gateway.expect_verdict().await.number, 4);
    }
    closing_an_exchange_releases_all_its_slots => {
        let server = bind(SilentEngine).await;
        let mut gone = Gateway::open(&server).await;
        gone.expect_grant(1).await;
        gone.expect_grant(2).await;
        let mut other = Gateway::open(&server).await;
        other.expect_queued(1, 60_000).await;
        other.expect_queued(2, 60_000).await;
        drop(gone);
        assert!(other.expect_verdict().await.granted);
        assert!(other.expect_verdict().await.granted);
    }
    stopping_waits_for_granted_requests_and_then_closes_the_exchange => {
        let server = bind(SilentEngine).await;
        let mut gateway = Gateway::open(&server).await;
        gateway.expect_grant(1).await;
        let stopped = tokio::spawn(server.stop(STEP_TIMEOUT));
        gateway.send(ToAdmission::Began(AskNumber { number: 1 })).await;
        gateway.end(1).await;
        let ended = gateway.exchange.reader.next::<FromAdmission>().await;
        assert!(matches!(ended, Ok(None)), "{ended:?}");
        assert!(stopped.await.expect("the task does not panic"));
    }
    // Guards against a loss that is told from late reports, which may precede the arrival of the request.
    late_reports_do_not_show_a_loss => {
        let reports = watch::Sender::new(0);
        let mut count = reports.subscribe();
        let server = bind(LateEngine(reports)).await;
        let mut gateway = Gateway::open(&server).await;
        gateway.expect_grant(1).await;
        // The last of these is fetched after the others were applied.
        count.wait_for(|reports| *reports >= 6).await.expect("the engine is polled");
        gateway.expect_grant(2).await;
    }
}
