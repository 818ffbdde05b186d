//! Tests the state machines of an attempt and of a run with arbitrary sequences of events.

use std::time::Duration;

use hinge_cases::cases;
use hinge_outcome::{
    Attempt, AttemptState, Event, GrantId, Outcome, Reason, Run, RunEvent, RunState, RunTable,
    Step, Verdict, run::RunRetention, sidecar_id,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const NO_WAIT: Duration = Duration::ZERO;
const GRANT: GrantId = grant_id(1, 1);

const fn grant_id(sidecar: u64, incarnation: u64) -> GrantId {
    GrantId {
        sidecar,
        incarnation,
        claim: 7,
    }
}

fn never_handed_over(reason: Reason) -> Verdict {
    Verdict::NeverHandedOver {
        reason,
        retry_after: NO_WAIT,
    }
}

fn verdict(incarnation: u64, verdict: Verdict) -> Event {
    Event::Verdict {
        incarnation,
        verdict,
    }
}

fn offer_refused(reason: Reason) -> Event {
    let retry_after = NO_WAIT;
    Event::OfferRefused {
        reason,
        retry_after,
    }
}

fn given_up(reason: Reason) -> RunEvent {
    let retry_after = NO_WAIT;
    RunEvent::GivenUp {
        reason,
        retry_after,
    }
}

#[derive(Debug, Clone)]
struct AnyEvent(Event);

impl Arbitrary for AnyEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        let reason = *g.choose(Reason::ALL).expect("reasons");
        let (small, answer_bytes) = (u64::arbitrary(g) % 3, u64::arbitrary(g) % 5);
        let (bytes, retry_after) = (answer_bytes, NO_WAIT);
        let verdicts = [
            never_handed_over(reason),
            Verdict::Running { answer_bytes },
            Verdict::Completed { answer_bytes },
            Verdict::Failed { reason },
            Verdict::Unknown,
        ];
        let reported = verdict(small, *g.choose(&verdicts).expect("verdicts"));
        let events = [
            Event::OfferSent,
            offer_refused(reason),
            Event::Granted(grant_id(small, small)),
            Event::Granted(GRANT),
            Event::BindSent,
            Event::ExchangeBroken(small),
            reported,
            reported,
            Event::VerdictUnavailable,
            Event::ResumeRefused,
            Event::Head,
            Event::Chunk { bytes },
            Event::Chunk { bytes },
            Event::End,
            Event::AnswerBroken(reason),
            Event::CallerDisconnected,
            Event::Deadline { retry_after },
            Event::GiveUp {
                reason,
                retry_after,
            },
        ];
        Self(*g.choose(&events).expect("events"))
    }
}

/// Applies the events and tracks separately what was sent, passed on and proven, then checks the outcome against that.
fn outcome_is_proven(events: Vec<AnyEvent>) -> bool {
    let mut attempt = Attempt::new();
    let (mut bound, mut head, mut settled) = (None, false, None);
    for AnyEvent(event) in events {
        let before = attempt.state();
        let step = attempt.apply(event);
        if let (Event::BindSent, AttemptState::Granted(to)) = (event, before) {
            bound = Some(to);
        }
        head |= event == Event::Head && step == Step::Pass;
        let Step::Finish { outcome, .. } = step else {
            let is_quiet = settled.is_none() || matches!(step, Step::Wait | Step::Release(_));
            if !is_quiet || settled != attempt.outcome() {
                return false;
            }
            continue;
        };
        let is_proven = match outcome {
            Outcome::NotRun { .. } => {
                !head && bound.is_none_or(|to| is_proof_of_not_run(event, to))
            }
            Outcome::Completed => head && matches!(event, Event::End | Event::Verdict { .. }),
            Outcome::Unknown { .. } => bound.is_some(),
        };
        let repeats = |idempotent| {
            attempt
                .finished(idempotent, 1)
                .expect("an outcome")
                .is_retryable()
        };
        let may_repeat = outcome.is_not_run() || !head;
        if !is_proven
            || settled.is_some()
            || (repeats(false) && !outcome.is_not_run())
            || (repeats(true) && !may_repeat)
        {
            return false;
        }
        settled = Some(outcome);
    }
    true
}

fn is_proof_of_not_run(event: Event, to: GrantId) -> bool {
    matches!(event, Event::Verdict { incarnation, verdict: Verdict::NeverHandedOver { .. } } if incarnation == to.incarnation)
}

#[derive(Debug, Clone)]
struct AnyRunEvent(Option<RunEvent>);

impl Arbitrary for AnyRunEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        let given_up = given_up(Reason::Cancelled);
        let (bound, claimed) = (RunEvent::Bound, RunEvent::KeyClaimed);
        let (handed_over, answer) = (RunEvent::HandedOver, RunEvent::Answer { bytes: 3 });
        let events = [
            bound,
            claimed,
            handed_over,
            answer,
            RunEvent::Ended,
            given_up,
        ];
        let event = *g.choose(&events).expect("events");
        Self((u8::arbitrary(g) % 7 > 0).then_some(event))
    }
}

/// Checks that "never handed over" is never reported after a hand-over or followed by one; `None` asks the run.
fn never_handed_over_is_final(needs_key: bool, events: Vec<AnyRunEvent>) -> bool {
    let mut run = Run::new(needs_key);
    let (mut handed_over, mut claimed, mut denied) = (false, false, false);
    for AnyRunEvent(event) in events {
        match event {
            None => denied |= matches!(run.verdict_or_withdraw(), Verdict::NeverHandedOver { .. }),
            Some(event) => {
                let done = run.apply(event).is_ok();
                claimed |= done && event == RunEvent::KeyClaimed;
                handed_over |= done && event == RunEvent::HandedOver;
            }
        }
        denied |= matches!(run.verdict(), Verdict::NeverHandedOver { .. });
        if handed_over && (denied || needs_key != claimed) {
            return false;
        }
    }
    true
}

/// Returns an attempt that is bound to [`GRANT`].
fn bound() -> Attempt {
    let mut attempt = Attempt::new();
    for event in [Event::OfferSent, Event::Granted(GRANT), Event::BindSent] {
        attempt.apply(event);
    }
    attempt
}

fn verdict_after_break((reported, want): (Event, Option<Outcome>)) {
    let mut attempt = bound();
    assert_eq!(
        attempt.apply(Event::ExchangeBroken(1)),
        Step::AskVerdict(GRANT)
    );
    attempt.apply(reported);
    assert_eq!(attempt.outcome(), want);
}

const UNKNOWN_SIDECAR_LOST: Outcome = Outcome::Unknown {
    reason: Reason::SidecarLost,
};
const NOT_RUN_LEAVING: Outcome = Outcome::NotRun {
    reason: Reason::Leaving,
    retry_after: NO_WAIT,
};

/// Returns a `QuickCheck` runner with a fixed seed, so that every run tests the same cases.
fn checker(tests: u64) -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(tests)
}

cases! { verdict_after_break:
    the_same_incarnation_can_prove_not_run => (verdict(1, never_handed_over(Reason::Leaving)), Some(NOT_RUN_LEAVING)),
    another_incarnation_proves_nothing => (verdict(2, never_handed_over(Reason::Leaving)), Some(UNKNOWN_SIDECAR_LOST)),
    a_verdict_that_cannot_be_fetched_is_unknown => (Event::VerdictUnavailable, Some(UNKNOWN_SIDECAR_LOST)),
    a_running_run_is_resumed => (verdict(1, Verdict::Running { answer_bytes: 0 }), None),
}

cases! {
    any_order_of_events_gives_one_proven_outcome => {
        checker(20_000).quickcheck(outcome_is_proven as fn(Vec<AnyEvent>) -> bool);
    }
    a_withdrawn_run_is_never_handed_over => {
        checker(5_000).quickcheck(never_handed_over_is_final as fn(bool, Vec<AnyRunEvent>) -> bool);
    }
    an_answer_completes_despite_a_break_and_a_lost_end => {
        let mut attempt = bound();
        assert_eq!(attempt.apply(Event::Head), Step::Pass);
        assert_eq!(attempt.apply(Event::Chunk { bytes: 4 }), Step::Pass);
        attempt.apply(Event::ExchangeBroken(1));
        let resume = Step::Resume { grant: GRANT, offset: 4, has_head: true };
        assert_eq!(attempt.apply(verdict(1, Verdict::Completed { answer_bytes: 9 })), resume);
        attempt.apply(Event::Chunk { bytes: 5 });
        attempt.apply(Event::ExchangeBroken(1));
        attempt.apply(verdict(1, Verdict::Completed { answer_bytes: 9 }));
        assert_eq!(attempt.outcome(), Some(Outcome::Completed));
    }
    a_late_grant_is_released => {
        let late = grant_id(2, 4);
        assert_eq!(bound().apply(Event::Granted(late)), Step::Release(late));
    }
    a_lost_grant_leaves_the_other_offers => {
        let mut attempt = Attempt::new();
        for event in [Event::OfferSent, Event::OfferSent, Event::Granted(GRANT)] {
            attempt.apply(event);
        }
        assert_eq!(attempt.apply(Event::ExchangeBroken(1)), Step::Wait);
        assert_eq!(attempt.apply(offer_refused(Reason::Leaving)), Step::OfferMore);
    }
    a_forgotten_run_is_reported_as_unknown => {
        let mut table = RunTable::new(RunRetention { max_ended: 2, keep: Duration::from_secs(10) });
        let given_up = given_up(Reason::Leaving);
        let claims: Vec<_> = (0..3).map(|_| table.grant(false)).collect();
        for claim in &claims {
            let ended = table.apply(*claim, given_up, Duration::from_secs(1));
            assert_eq!(ended, Ok(RunState::Ended(never_handed_over(Reason::Leaving))));
        }
        assert_eq!(table.verdict_or_withdraw(claims[0], Duration::from_secs(2)), Verdict::Unknown);
        assert_eq!(table.verdict_or_withdraw(claims[2], Duration::from_secs(11)), never_handed_over(Reason::Leaving));
        assert_eq!(table.verdict_or_withdraw(claims[2], Duration::from_secs(12)), Verdict::Unknown);
        assert_eq!((table.live_len(), table.ended_len()), (0, 0));
    }
    a_bind_after_the_run_is_withdrawn_is_refused => {
        let mut table = RunTable::new(RunRetention::default());
        let claim = table.grant(false);
        assert_eq!(table.verdict_or_withdraw(claim, NO_WAIT), never_handed_over(Reason::SidecarLost));
        let late = table.apply(claim, RunEvent::Bound, NO_WAIT).expect_err("the run is withdrawn");
        assert_eq!(late.state, Some(RunState::Ended(never_handed_over(Reason::SidecarLost))));
    }
    serialized_names_are_stable => {
        for reason in Reason::ALL {
            let json = serde_json::to_string(reason).expect("a reason has a name");
            assert_eq!(json, format!("\"{reason}\""));
        }
        let json = r#"{"outcome":"not_run","reason":"queue_full","retry_after_ms":1500}"#;
        let outcome = Outcome::NotRun { reason: Reason::QueueFull, retry_after: Duration::from_millis(1500) };
        assert_eq!(serde_json::to_string(&outcome).expect("plain data"), json);
        assert_eq!(sidecar_id("foobar"), 0x8594_4171_f739_67e8);
    }
}
