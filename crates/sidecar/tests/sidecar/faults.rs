//! Tests that each fault of the endpoint or of control is reported with the outcome that the stand-in's record shows.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hinge_cases::async_cases;
use hinge_fakes::stand_in::{Fault, StandIn, StandInSettings};
use hinge_placement::HealthRules;
use hinge_schema::messages::{
    ClaimVerdict, Failed, FailureKind, FromSidecar, KeyOutcome, NotRunReason, Offer, Verdict,
};
use hinge_sidecar::SidecarSettings;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::support::{TestBed, WAIT, offer};

pub(crate) fn short_timeouts(settings: &mut SidecarSettings) {
    settings.head_timeout = Duration::from_millis(50);
    settings.idle_timeout = Duration::from_millis(50);
}

/// Runs a request under a fault, and returns its failure and the sidecar's later verdict.
pub(crate) async fn run_into_fault(bed: &TestBed, fault: Fault) -> (Failed, Verdict) {
    bed.stand_in.set_fault(Some(fault));
    let (mut entry, granted) = bed.stream(offer(1), 10).await;
    let failed = loop {
        match entry.next().await {
            Some(FromSidecar::Failed(failed)) => break failed,
            Some(FromSidecar::Head(_) | FromSidecar::Chunk(_)) => {}
            other => panic!("a fault is no whole answer: {other:?}"),
        }
    };
    (failed, bed.verdict(&granted).await)
}

async fn check_outcome_unknown(fault: Fault, reason: NotRunReason) {
    let bed = TestBed::open(short_timeouts).await;
    let (failed, verdict) = run_into_fault(&bed, fault).await;
    assert_eq!((failed.kind, failed.reason), (FailureKind::Unknown, reason));
    assert_eq!(verdict, Verdict::Failed);
    assert_eq!(bed.run_counts(1).0, 1);
}

/// Returns an address on which nothing listens.
async fn dead_address() -> Box<str> {
    let stand_in = StandIn::bind(StandInSettings::default()).await;
    let stand_in = stand_in.expect("a free port exists");
    let address = stand_in.local_address().to_string();
    assert!(stand_in.stop(WAIT).await);
    address.into()
}

fn non_idempotent(request_id: u64) -> Offer {
    Offer {
        idempotent: false,
        ..offer(request_id)
    }
}

async fn check_claim_denied(verdict: Option<ClaimVerdict>, reason: NotRunReason) {
    let bed = TestBed::open(|_| ()).await;
    bed.claims.answer(verdict);
    let (mut entry, granted) = bed.stream(non_idempotent(1), 1).await;
    let failed = entry.whole().await.expect_err("the key is denied");
    assert_eq!((failed.kind, failed.reason), (FailureKind::NotRun, reason));
    assert_eq!(bed.verdict(&granted).await, Verdict::NeverHandedOver);
    assert_eq!(bed.run_counts(1), (0, 0));
}

/// An answer of an endpoint that states its length.
const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nhello";

/// Heads of which the body can't be told.
const DAMAGED_HEADS: &[&str] = &[
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunke\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 15\r\ncontent-length: 15\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length 15\r\n\r\n",
];

/// Body that follows a damaged head.
const CHUNKED_BODY: &str = "5\r\nhello\r\n0\r\n\r\n";

/// Starts an endpoint that answers each request with these bytes and closes, and returns its address.
async fn raw_endpoint(answer: impl Fn() -> Vec<u8> + Send + 'static) -> Box<str> {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port exists");
    let address = listener.local_addr().expect("it is bound").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer();
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                // A connection without a request is closed as well.
                let _received = stream.read(&mut request).await;
                let _sent = stream.write_all(&answer).await;
            });
        }
    });
    address.into()
}

async_cases! { real
    // Guards against an endpoint that stops within the head of its answer and closes.
    an_answer_that_ends_after_any_of_its_bytes_is_a_failure => {
        let bytes = Arc::new(AtomicUsize::new(0));
        let sent = Arc::clone(&bytes);
        let address = raw_endpoint(move || ANSWER[..sent.load(Ordering::SeqCst)].to_vec()).await;
        for number in 0..=ANSWER.len() {
            // A sidecar stops to send requests to an endpoint that fails.
            let bed = TestBed::open(|settings| {
                settings.endpoint_address = address.clone();
                settings.load_interval = WAIT;
            }).await;
            bytes.store(number, Ordering::SeqCst);
            let (mut entry, _) = bed.granted(offer(1)).await;
            entry.bind("/x", b"").await;
            let whole = entry.whole().await;
            if number == ANSWER.len() {
                whole.expect("the answer is whole");
            } else {
                let failed = whole.expect_err("the answer is cut");
                assert_eq!(failed.kind, FailureKind::Unknown, "{number} bytes");
            }
        }
    }
    // Guards against a body that is passed on with its chunk sizes, in the wrong coding, or cut by a wrong length.
    an_answer_with_a_damaged_head_is_a_failure => {
        for head in DAMAGED_HEADS {
            let address = raw_endpoint(|| [head, CHUNKED_BODY].concat().into_bytes()).await;
            let bed = TestBed::open(|settings| settings.endpoint_address = address).await;
            let (mut entry, _) = bed.granted(offer(1)).await;
            entry.bind("/x", b"").await;
            let failed = entry.whole().await.expect_err("the body can't be told");
            assert_eq!((failed.kind, failed.reason), (FailureKind::Unknown, NotRunReason::EndpointFailed), "{head:?}");
        }
    }
    an_endpoint_that_hangs_leaves_the_outcome_unknown => {
        check_outcome_unknown(Fault::Hang, NotRunReason::EndpointFailed).await;
    }
    an_endpoint_that_stalls_leaves_the_outcome_unknown => {
        check_outcome_unknown(Fault::Stall { after_bytes: 30 }, NotRunReason::EndpointFailed).await;
    }
    a_cut_answer_is_reported_as_truncated => {
        check_outcome_unknown(Fault::Cut { after_bytes: 30 }, NotRunReason::AnswerTruncated).await;
    }
    an_answer_of_another_request_is_crossed_and_none_of_it_is_passed_on => {
        let bed = TestBed::open(|_| ()).await;
        bed.stand_in.set_fault(Some(Fault::Crossed));
        let (mut entry, _) = bed.stream(offer(1), 10).await;
        let failed = entry.whole().await.expect_err("the answer is crossed");
        assert_eq!((failed.kind, failed.reason), (FailureKind::Unknown, NotRunReason::AnswerCrossed));
        assert_eq!(bed.run_counts(1).0, 1);
    }
    a_refused_connection_is_not_run => {
        let dead = dead_address().await;
        let bed = TestBed::open(|settings| settings.endpoint_address = dead).await;
        let (mut entry, granted) = bed.stream(offer(1), 1).await;
        let failed = entry.whole().await.expect_err("nobody listens");
        assert_eq!((failed.kind, failed.reason), (FailureKind::NotRun, NotRunReason::EndpointRefused));
        assert_eq!(bed.verdict(&granted).await, Verdict::NeverHandedOver);
    }
    a_failing_endpoint_gets_no_work => {
        let bed = TestBed::open(|settings| {
            short_timeouts(settings);
            settings.load_interval = WAIT;
            settings.health.max_failures_in_row = 1;
        }).await;
        run_into_fault(&bed, Fault::Hang).await;
        let refused = bed.offer(offer(2)).await.refused().await;
        assert_eq!(refused.reason, NotRunReason::NoEndpoint);
        assert!(bed.sidecar.is_ejected());
    }
    a_failing_endpoint_is_probed_and_readmitted => {
        let bed = TestBed::open(|settings| {
            short_timeouts(settings);
            settings.load_interval = Duration::from_millis(5);
            let soon = Duration::from_millis(5);
            settings.health = HealthRules { max_failures_in_row: 1, probe_after: soon, probe_timeout: soon, ..settings.health };
        }).await;
        run_into_fault(&bed, Fault::Hang).await;
        bed.stand_in.set_fault(None);
        let readmitted = async {
            for request_id in 2.. {
                let first = bed.offer(offer(request_id)).await.next().await;
                if matches!(first, Some(FromSidecar::Granted(_))) {
                    break;
                }
            }
        };
        tokio::time::timeout(WAIT, readmitted).await.expect("the endpoint is readmitted");
        assert!(!bed.sidecar.is_ejected());
    }
    a_request_with_a_running_key_is_not_run => {
        check_claim_denied(Some(ClaimVerdict::AlreadyRunning), NotRunReason::AlreadyRunning).await;
    }
    a_request_with_a_finished_key_is_not_run => {
        check_claim_denied(Some(ClaimVerdict::Finished), NotRunReason::KeyFinished).await;
    }
    a_key_of_another_request_is_a_conflict => {
        check_claim_denied(Some(ClaimVerdict::Conflict), NotRunReason::KeyConflict).await;
    }
    without_control_a_non_idempotent_request_is_not_run => {
        check_claim_denied(None, NotRunReason::ControlUnreachable).await;
    }
    a_request_without_a_key_claims_one_made_of_its_id => {
        let bed = TestBed::open(|_| ()).await;
        let (mut entry, _) = bed.stream(non_idempotent(1), 1).await;
        entry.whole().await.expect("the key is granted");
        let claimed = bed.claims.claimed.lock().expect("no case panics while it claims").clone();
        assert_eq!(&*claimed[0].key, "request/entry-1-9-1");
        let mut finished = bed.claims.finished.subscribe();
        let finished = finished.wait_for(|all| !all.is_empty()).await.expect("the fake lives").clone();
        assert_eq!(finished[0].outcome, KeyOutcome::Completed);
    }
    a_key_is_released_before_the_entry_is_told_not_run => {
        let dead = dead_address().await;
        let bed = TestBed::open(|settings| settings.endpoint_address = dead).await;
        let (mut entry, _) = bed.stream(non_idempotent(1), 1).await;
        entry.whole().await.expect_err("nobody listens");
        assert_eq!(bed.claims.finished.borrow()[0].outcome, KeyOutcome::NeverHandedOver);
    }
}
