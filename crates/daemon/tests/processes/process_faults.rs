//! Tests that kill or freeze a sidecar, or resend a key through another entry, while requests run.

use futures::future::join;
use hinge_cases::async_cases;
use hinge_fakes::stand_in::StandInSettings;

use crate::caller::{Caller, read_to_end};
use crate::fleet::Fleet;

async_cases! { real
    the_same_key_through_two_entries_runs_once => {
        let fleet = Fleet::new(3);
        let _control = fleet.start_control();
        let stand_in = fleet.stand_in(StandInSettings::default()).await;
        let mut sidecars = ["sidecar-1", "sidecar-2"].map(|name| fleet.start_sidecar(name, "surf-api", stand_in.local_address()));
        let mut entries = ["entry-1", "entry-2"].map(|name| fleet.start_entry(name));
        fleet.apply_example().await;
        for process in sidecars.iter_mut().chain(&mut entries) {
            process.wait_for_log("Configuration is in force").await;
        }
        let [first, second] = &mut entries;
        let first = Caller::new(first.address_after("callers=").await, "demo-key-small");
        let second = Caller::new(second.address_after("callers=").await, "demo-key-small");
        // The configuration may be in force before the entries know any sidecar.
        first.until_posted().await;
        second.until_posted().await;
        let begun = stand_in.record().begun();
        let (one, other) = join(first.post_once("push-1"), second.post_once("push-1")).await;
        let resent = second.post_once("push-1").await;
        assert_eq!(stand_in.record().begun(), begun + 1);
        let answered = [&one, &other].into_iter().filter(|answer| answer.status.is_success()).count();
        assert_eq!(answered, 1, "{one:?} {other:?}");
        assert_eq!(resent.outcome().as_deref(), Some("not_run"), "{resent:?}");
    }

    an_answer_of_a_killed_sidecar_never_looks_whole => {
        let fleet = Fleet::new(1);
        let _control = fleet.start_control();
        let settings = StandInSettings { tokens_per_second: 40, ..StandInSettings::default() };
        let stand_in = fleet.stand_in(settings).await;
        let mut sidecar = fleet.start_sidecar("sidecar-1", "forecast", stand_in.local_address());
        let mut entry = fleet.start_entry("entry-1");
        fleet.apply_example().await;
        entry.wait_for_log("Configuration is in force").await;
        sidecar.wait_for_log("Configuration is in force").await;
        let caller = Caller::new(entry.address_after("callers=").await, "demo-key-small");
        caller.until_served().await;
        let (status, request_id, body) = caller.begin_stream(400).await;
        sidecar.kill().await;
        let answer = read_to_end(status, request_id, body).await;
        assert!(!answer.text.contains("[DONE]"), "{answer:?}");
        assert!(!answer.is_ended || answer.text.contains("\"outcome\":\"unknown\""), "{answer:?}");
    }

    requests_avoid_a_frozen_sidecar => {
        let fleet = Fleet::new(1);
        let _control = fleet.start_control();
        let stand_in = fleet.stand_in(StandInSettings::default()).await;
        let mut frozen = fleet.start_sidecar("sidecar-1", "forecast", stand_in.local_address());
        let mut other = fleet.start_sidecar("sidecar-2", "forecast", stand_in.local_address());
        let mut entry = fleet.start_entry("entry-1");
        fleet.apply_example().await;
        for process in [&mut frozen, &mut other, &mut entry] {
            process.wait_for_log("Configuration is in force").await;
        }
        let caller = Caller::new(entry.address_after("callers=").await, "demo-key-small");
        caller.until_served().await;
        frozen.freeze();
        for _ in 0..10 {
            let answer = caller.stream(5).await;
            assert!(answer.is_whole_stream(5), "{answer:?}");
        }
        frozen.thaw();
        assert!(caller.stream(5).await.is_whole_stream(5));
    }
}
