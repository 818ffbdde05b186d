//! Kills entries and sidecars under requests, and counts what ran.

use std::time::Duration;

use futures::future::join_all;
use hinge_cases::async_cases;
use hinge_fakes::stand_in::Fault;

use crate::caller::{Caller, IDEMPOTENCY_KEY, read_to_end};
use crate::started::{Plan, Started, fast, slow};

/// Slots of a sidecar that requests of the standard class may take.
const COMMON_SLOTS: usize = 3;

/// Tokens of an answer that no test waits for.
const ENDLESS: usize = 20_000;

/// Far longer than the resume window of the test, and half of the time after which a run without a reader ends by itself.
const SOON: Duration = Duration::from_secs(30);

const SMALL: &str = "demo-key-small";

const ONCE: &[(&str, &str)] = &[(IDEMPOTENCY_KEY, "once")];

/// Starts one entry and two sidecars, the second of which comes later, and hangs one request at the first.
struct Hung {
    started: Started,
    caller: Caller,
    answer: tokio::task::JoinHandle<crate::caller::Answer>,
}

impl Hung {
    async fn open(headers: &'static [(&'static str, &'static str)]) -> Self {
        let plan = Plan {
            control: 1,
            entries: 1,
            sidecars: &[("forecast", fast())],
            ..Plan::default()
        };
        let mut started = Started::open(plan).await;
        let caller = started.caller(0, SMALL).await;
        caller.until_served().await;
        started.stand_ins[0].set_fault(Some(Fault::Hang));
        let asking = caller.clone();
        let answer = tokio::spawn(async move { asking.stream_with(5, headers).await });
        started.stand_ins[0]
            .wait_until(|record| record.running == 1)
            .await;
        started.stand_ins[0].set_fault(None);
        Self {
            started,
            caller,
            answer,
        }
    }

    /// Starts a second sidecar, and waits until the entry has used it.
    async fn add_sidecar(&mut self) {
        let stand_in = self.started.fleet.stand_in(fast()).await;
        let endpoint = stand_in.local_address();
        self.started.sidecars.push(self.started.fleet.start_sidecar(
            "sidecar-1",
            "forecast",
            endpoint,
        ));
        self.caller.until_reached(&stand_in).await;
        self.started.stand_ins.push(stand_in);
    }

    async fn answer(self) -> (Started, Caller, crate::caller::Answer) {
        (
            self.started,
            self.caller,
            self.answer.await.expect("the caller does not panic"),
        )
    }
}

async_cases! { real
    slots_of_a_killed_entry_are_free_soon_and_the_other_entry_serves_on => {
        let plan = Plan {
            control: 1,
            entries: 2,
            sidecars: &[("forecast", slow(200))],
            sidecar_settings: "resume_window_ms = 1000",
        };
        let mut started = Started::open(plan).await;
        let (lost, other) = (started.caller(0, SMALL).await, started.caller(1, SMALL).await);
        lost.until_served().await;
        other.until_served().await;
        let served = started.begun();
        let once = lost.begin_stream_with(ENDLESS, ONCE).await;
        let more = join_all((1..COMMON_SLOTS).map(|_| lost.begin_stream(ENDLESS))).await;
        started.stand_ins[0].wait_until(|record| record.running == 3).await;
        started.entries[0].kill().await;
        let full = join_all((0..COMMON_SLOTS).map(|_| other.stream(5)));
        let answers = tokio::time::timeout(SOON, full).await.expect("the slots are free soon");
        assert!(answers.iter().all(|answer| answer.is_whole_stream(5)), "{answers:?}");
        for (status, id, body) in more.into_iter().chain([once]) {
            let answer = read_to_end(status, id, body).await;
            assert!(!answer.is_ended && !answer.text.contains("[DONE]"), "{answer:?}");
        }
        let resent = other.stream_with(ENDLESS, ONCE).await;
        assert_eq!(resent.outcome().as_deref(), Some("not_run"), "{resent:?}");
        let record = started.stand_ins[0].record();
        assert_eq!(record.begun(), served + 6, "{record:?}");
        assert!(record.requests.values().all(|run| run.begun == 1), "{record:?}");
    }

    requests_that_wait_at_a_killed_sidecar_are_served_by_the_other => {
        let plan = Plan {
            control: 1,
            entries: 1,
            sidecars: &[("forecast", slow(100)), ("forecast", slow(100))],
            ..Plan::default()
        };
        let mut started = Started::open(plan).await;
        let caller = started.caller(0, SMALL).await;
        for stand_in in &started.stand_ins {
            caller.until_reached(stand_in).await;
        }
        let served = started.begun();
        let full = join_all((0..2 * COMMON_SLOTS).map(|_| caller.begin_stream(200))).await;
        let waiting: Vec<_> = (0..6).map(|_| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.stream(5).await })
        }).collect();
        for sidecar in &mut started.sidecars {
            sidecar.wait_for_metric("hinge_sidecar_waiting{class=\"standard\"}", |offers| offers == 6).await;
        }
        started.sidecars[0].kill().await;
        for answer in join_all(waiting).await {
            let answer = answer.expect("the caller does not panic");
            assert!(answer.is_whole_stream(5), "{answer:?}");
        }
        let answers = join_all(full.into_iter().map(|(status, id, body)| read_to_end(status, id, body))).await;
        let (whole, broken): (Vec<_>, Vec<_>) = answers.iter().partition(|answer| answer.is_whole_stream(200));
        assert_eq!((whole.len(), broken.len()), (COMMON_SLOTS, COMMON_SLOTS));
        assert!(broken.iter().all(|answer| answer.outcome().as_deref() == Some("unknown")), "{broken:?}");
        assert_eq!(started.begun(), served + 12);
    }

    an_idempotent_request_without_an_answer_yet_is_retried_whole => {
        let mut hung = Hung::open(&[]).await;
        hung.add_sidecar().await;
        let begun = hung.started.begun();
        hung.started.sidecars[0].kill().await;
        let (started, _, answer) = hung.answer().await;
        assert!(answer.is_whole_stream(5), "{answer:?}");
        assert_eq!(started.begun(), begun + 1);
    }

    a_request_that_may_run_once_is_unknown_and_not_retried => {
        let mut hung = Hung::open(ONCE).await;
        hung.add_sidecar().await;
        let begun = hung.started.begun();
        hung.started.sidecars[0].kill().await;
        let (started, caller, answer) = hung.answer().await;
        assert_eq!(answer.outcome().as_deref(), Some("unknown"), "{answer:?}");
        let resent = caller.stream_with(5, ONCE).await;
        assert_eq!(resent.outcome().as_deref(), Some("not_run"), "{resent:?}");
        assert_eq!(started.begun(), begun);
    }

    a_restarted_sidecar_does_not_vouch_for_its_former_life => {
        let mut hung = Hung::open(ONCE).await;
        let begun = hung.started.begun();
        // The entry learns of the loss only when the sidecar is back at its address.
        hung.started.entries[0].freeze();
        hung.started.sidecars[0].kill_and_restart().await;
        hung.started.sidecars[0].wait_until_in_force(1).await;
        hung.started.entries[0].thaw();
        let (started, caller, answer) = hung.answer().await;
        assert_eq!(answer.outcome().as_deref(), Some("unknown"), "{answer:?}");
        caller.until_served().await;
        let resent = caller.stream_with(5, ONCE).await;
        assert_eq!(resent.outcome().as_deref(), Some("not_run"), "{resent:?}");
        assert!(resent.field("reason").is_some_and(|reason| reason.starts_with("already")), "{resent:?}");
        assert_eq!(started.begun(), begun + 1);
    }
}
