//! Tests that kill entries and sidecars while requests run, and count what ran.

use std::time::Duration;

use futures::future::join_all;
use hinge_cases::async_cases;
use hinge_fakes::stand_in::Fault;

use crate::caller::{Caller, IDEMPOTENCY_KEY, read_to_end};
use crate::running_fleet::{FleetLayout, RunningFleet, fast_endpoint, slow_endpoint};

/// Slots of a sidecar that requests of the standard class may use.
const COMMON_SLOTS: usize = 3;

/// Tokens of an answer that does not end within a test.
const ENDLESS_TOKENS: usize = 20_000;

/// Time in which the slots of a killed entry must be free again: far longer than the resume window of the test, and half of
/// the time after which a run without a reader ends by itself.
const MAX_RELEASE_TIME: Duration = Duration::from_secs(30);

const SMALL: &str = "demo-key-small";

const IDEMPOTENT_ONCE: &[(&str, &str)] = &[(IDEMPOTENCY_KEY, "once")];

/// A request that hangs at the first sidecar of a fleet with one entry; a second sidecar may be added later.
struct HungRequest {
    fleet: RunningFleet,
    caller: Caller,
    answer: tokio::task::JoinHandle<crate::caller::Answer>,
}

impl HungRequest {
    async fn open(headers: &'static [(&'static str, &'static str)]) -> Self {
        let layout = FleetLayout {
            control: 1,
            entries: 1,
            sidecars: &[("forecast", fast_endpoint())],
            ..FleetLayout::default()
        };
        let mut fleet = RunningFleet::open(layout).await;
        let caller = fleet.caller(0, SMALL).await;
        caller.until_served().await;
        fleet.stand_ins[0].set_fault(Some(Fault::Hang));
        let asking = caller.clone();
        let answer = tokio::spawn(async move { asking.stream_with(5, headers).await });
        fleet.stand_ins[0]
            .wait_until(|record| record.running == 1)
            .await;
        fleet.stand_ins[0].set_fault(None);
        Self {
            fleet,
            caller,
            answer,
        }
    }

    /// Starts a second sidecar, and waits until the entry has sent it a request.
    async fn add_sidecar(&mut self) {
        let stand_in = self.fleet.setup.stand_in(fast_endpoint()).await;
        let endpoint = stand_in.local_address();
        self.fleet.sidecars.push(
            self.fleet
                .setup
                .start_sidecar("sidecar-1", "forecast", endpoint),
        );
        self.caller.until_endpoint_reached(&stand_in).await;
        self.fleet.stand_ins.push(stand_in);
    }

    async fn answer(self) -> (RunningFleet, Caller, crate::caller::Answer) {
        (
            self.fleet,
            self.caller,
            self.answer.await.expect("the caller does not panic"),
        )
    }
}

async_cases! { real
    slots_of_a_killed_entry_are_free_soon_and_the_other_entry_serves_on => {
        let layout = FleetLayout {
            control: 1,
            entries: 2,
            sidecars: &[("forecast", slow_endpoint(200))],
            sidecar_settings: "resume_window_ms = 1000",
        };
        let mut fleet = RunningFleet::open(layout).await;
        let (lost, other) = (fleet.caller(0, SMALL).await, fleet.caller(1, SMALL).await);
        lost.until_served().await;
        other.until_served().await;
        let served = fleet.begun();
        let once = lost.begin_stream_with(ENDLESS_TOKENS, IDEMPOTENT_ONCE).await;
        let more = join_all((1..COMMON_SLOTS).map(|_| lost.begin_stream(ENDLESS_TOKENS))).await;
        fleet.stand_ins[0].wait_until(|record| record.running == 3).await;
        fleet.entries[0].kill().await;
        let full = join_all((0..COMMON_SLOTS).map(|_| other.stream(5)));
        let answers = tokio::time::timeout(MAX_RELEASE_TIME, full).await.expect("the slots are free soon");
        assert!(answers.iter().all(|answer| answer.is_whole_stream(5)), "{answers:?}");
        for (status, id, body) in more.into_iter().chain([once]) {
            let answer = read_to_end(status, id, body).await;
            assert!(!answer.is_ended && !answer.text.contains("[DONE]"), "{answer:?}");
        }
        let resent = other.stream_with(ENDLESS_TOKENS, IDEMPOTENT_ONCE).await;
        assert_eq!(resent.outcome().as_deref(), Some("not_run"), "{resent:?}");
        let record = fleet.stand_ins[0].record();
        assert_eq!(record.begun(), served + 6, "{record:?}");
        assert!(record.requests.values().all(|run| run.begun == 1), "{record:?}");
    }

    requests_that_wait_at_a_killed_sidecar_are_served_by_the_other => {
        let layout = FleetLayout {
            control: 1,
            entries: 1,
            sidecars: &[("forecast", slow_endpoint(100)), ("forecast", slow_endpoint(100))],
            ..FleetLayout::default()
        };
        let mut fleet = RunningFleet::open(layout).await;
        let caller = fleet.caller(0, SMALL).await;
        for stand_in in &fleet.stand_ins {
            caller.until_endpoint_reached(stand_in).await;
        }
        let served = fleet.begun();
        let full = join_all((0..2 * COMMON_SLOTS).map(|_| caller.begin_stream(200))).await;
        let waiting: Vec<_> = (0..6).map(|_| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.stream(5).await })
        }).collect();
        for sidecar in &mut fleet.sidecars {
            sidecar.wait_for_metric("hinge_sidecar_waiting{class=\"standard\"}", |offers| offers == 6).await;
        }
        fleet.sidecars[0].kill().await;
        for answer in join_all(waiting).await {
            let answer = answer.expect("the caller does not panic");
            assert!(answer.is_whole_stream(5), "{answer:?}");
        }
        let answers = join_all(full.into_iter().map(|(status, id, body)| read_to_end(status, id, body))).await;
        let (whole, broken): (Vec<_>, Vec<_>) = answers.iter().partition(|answer| answer.is_whole_stream(200));
        assert_eq!((whole.len(), broken.len()), (COMMON_SLOTS, COMMON_SLOTS));
        assert!(broken.iter().all(|answer| answer.outcome().as_deref() == Some("unknown")), "{broken:?}");
        assert_eq!(fleet.begun(), served + 12);
    }

    an_idempotent_request_without_an_answer_yet_is_retried_whole => {
        let mut hung = HungRequest::open(&[]).await;
        hung.add_sidecar().await;
        let begun = hung.fleet.begun();
        hung.fleet.sidecars[0].kill().await;
        let (fleet, _, answer) = hung.answer().await;
        assert!(answer.is_whole_stream(5), "{answer:?}");
        assert_eq!(fleet.begun(), begun + 1);
    }

    a_request_that_may_run_once_is_unknown_and_not_retried => {
        let mut hung = HungRequest::open(IDEMPOTENT_ONCE).await;
        hung.add_sidecar().await;
        let begun = hung.fleet.begun();
        hung.fleet.sidecars[0].kill().await;
        let (fleet, caller, answer) = hung.answer().await;
        assert_eq!(answer.outcome().as_deref(), Some("unknown"), "{answer:?}");
        let resent = caller.stream_with(5, IDEMPOTENT_ONCE).await;
        assert_eq!(resent.outcome().as_deref(), Some("not_run"), "{resent:?}");
        assert_eq!(fleet.begun(), begun);
    }

    a_restarted_sidecar_makes_no_claim_about_requests_before_its_restart => {
        let mut hung = HungRequest::open(IDEMPOTENT_ONCE).await;
        let begun = hung.fleet.begun();
        // The frozen entry notices the loss only after the sidecar has restarted at the same address.
        hung.fleet.entries[0].freeze();
        hung.fleet.sidecars[0].kill_and_restart().await;
        hung.fleet.sidecars[0].wait_until_in_force(1).await;
        hung.fleet.entries[0].thaw();
        let (fleet, caller, answer) = hung.answer().await;
        assert_eq!(answer.outcome().as_deref(), Some("unknown"), "{answer:?}");
        caller.until_served().await;
        let resent = caller.stream_with(5, IDEMPOTENT_ONCE).await;
        assert_eq!(resent.outcome().as_deref(), Some("not_run"), "{resent:?}");
        assert!(resent.field("reason").is_some_and(|reason| reason.starts_with("already")), "{resent:?}");
        assert_eq!(fleet.begun(), begun + 1);
    }
}
