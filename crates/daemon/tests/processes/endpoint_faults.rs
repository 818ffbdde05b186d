//! Tests of failing endpoints: what callers are told must agree with what ran.

use hinge_cases::async_cases;
use hinge_fakes::stand_in::{Fault, StandIn};

use crate::caller::{Answer, Caller};
use crate::running_fleet::{FleetLayout, RunningFleet, fast_endpoint};

/// Bytes of an answer that an endpoint sends before it fails; fewer than the start of the first token's event.
const FEW_BYTES: usize = 40;

/// The answers of a streamed request and of one with an idempotency key, and how often each began to run.
struct FaultOutcome {
    streamed: Answer,
    streamed_begun: u32,
    posted: Answer,
    posted_begun: u32,
}

/// Makes both endpoints fail during one streamed request and one with an idempotency key.
async fn requests_under_fault(fault: Fault) -> FaultOutcome {
    let sidecars = &[("forecast", fast_endpoint()), ("surf-api", fast_endpoint())];
    let mut fleet = RunningFleet::open(FleetLayout {
        control: 1,
        entries: 1,
        sidecars,
        ..FleetLayout::default()
    })
    .await;
    let caller: Caller = fleet.caller(0, "demo-key-small").await;
    caller.until_served().await;
    caller.until_posted().await;
    let before: Vec<u32> = fleet
        .stand_ins
        .iter()
        .map(|stand_in| stand_in.record().begun())
        .collect();
    for stand_in in &fleet.stand_ins {
        stand_in.set_fault(Some(fault));
    }
    // The deadline ends the wait for a hanging endpoint long before the fleet's own timeouts do.
    let deadline = ("x-deadline-ms", "1500");
    let streamed = caller.stream_with(5, &[deadline]).await;
    let posted = caller
        .post_with(&[("idempotency-key", "once"), deadline])
        .await;
    let after = fleet.stand_ins.iter().map(StandIn::record);
    let completed: u32 = fleet
        .stand_ins
        .iter()
        .map(|stand_in| stand_in.record().completed())
        .sum();
    assert!(
        matches!(fault, Fault::Crossed) || completed == before.iter().sum::<u32>(),
        "no answer of a failing endpoint was whole"
    );
    let begun: Vec<u32> = after
        .zip(&before)
        .map(|(after, before)| after.begun() - before)
        .collect();
    for stand_in in &fleet.stand_ins {
        stand_in.set_fault(None);
    }
    let resent = caller.post_once("once").await;
    let total = fleet.stand_ins[1].record().begun() - before[1];
    assert!(total <= 1, "{resent:?}");
    caller.until_served().await;
    FaultOutcome {
        streamed,
        streamed_begun: begun[0],
        posted,
        posted_begun: begun[1],
    }
}

/// Checks that the request ran and that the answer claims no more than that it may have run.
fn assert_unknown(answer: &Answer, begun: u32) {
    assert!(begun >= 1, "{answer:?}");
    assert!(!answer.text.contains("[DONE]"), "{answer:?}");
    let is_refused = answer.outcome().as_deref() == Some("unknown");
    assert!(is_refused || !answer.is_ended, "{answer:?}");
}

async_cases! { real
    a_hanging_endpoint_gives_an_unknown_outcome => {
        let outcome = requests_under_fault(Fault::Hang).await;
        assert_unknown(&outcome.streamed, outcome.streamed_begun);
        assert_unknown(&outcome.posted, outcome.posted_begun);
    }

    a_truncated_answer_gives_an_unknown_outcome => {
        let outcome = requests_under_fault(Fault::Cut { after_bytes: FEW_BYTES }).await;
        assert_unknown(&outcome.streamed, outcome.streamed_begun);
        assert_unknown(&outcome.posted, outcome.posted_begun);
        assert!(!outcome.posted.is_ended || outcome.posted.outcome().is_some(), "{:?}", outcome.posted);
    }

    an_answer_to_another_request_is_never_passed_on => {
        let outcome = requests_under_fault(Fault::Crossed).await;
        assert_unknown(&outcome.streamed, outcome.streamed_begun);
        assert_unknown(&outcome.posted, outcome.posted_begun);
        assert!(!outcome.streamed.text.contains("-other") && !outcome.posted.text.contains("-other"));
    }

    a_refusal_by_the_endpoint_is_not_an_unknown_outcome => {
        let outcome = requests_under_fault(Fault::Status { status: 503 }).await;
        for answer in [&outcome.streamed, &outcome.posted] {
            assert!(!answer.status.is_success(), "{answer:?}");
            assert_ne!(answer.outcome().as_deref(), Some("unknown"), "{answer:?}");
        }
        assert_eq!((outcome.streamed_begun, outcome.posted_begun), (0, 0));
    }
}
