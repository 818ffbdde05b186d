//! Tests of the whole request path, with every role in a process of its own.

use futures::future::join_all;
use hinge_cases::async_cases;
use hinge_fakes::stand_in::StandInSettings;

use crate::caller::{Caller, read_to_end};
use crate::fleet::Fleet;

/// Slow enough that the stop comes while answers are still streamed.
const TOKENS_PER_SECOND: u32 = 40;

fn slow_endpoint() -> StandInSettings {
    StandInSettings {
        tokens_per_second: TOKENS_PER_SECOND,
        ..StandInSettings::default()
    }
}

async_cases! { real
    a_streamed_request_is_answered_whole_by_separate_processes => {
        let fleet = Fleet::new(3);
        let _control = fleet.start_control();
        let stand_in = fleet.stand_in(StandInSettings::default()).await;
        let mut sidecar = fleet.start_sidecar("sidecar-1", "forecast", stand_in.local_address());
        let mut entry = fleet.start_entry("entry-1");
        fleet.apply_example().await;
        entry.wait_for_log("Configuration is in force").await;
        sidecar.wait_for_log("Configuration is in force").await;
        let caller = Caller::new(entry.address_after("callers=").await, "demo-key-small");
        caller.until_served().await;
        let answer = caller.stream(50).await;
        assert!(answer.is_whole_stream(50), "{answer:?}");
        assert_eq!(stand_in.record().completed(), 2);
    }

    a_planned_stop_of_an_entry_or_a_sidecar_cuts_nothing => {
        let fleet = Fleet::new(1);
        let _control = fleet.start_control();
        let stand_in = fleet.stand_in(slow_endpoint()).await;
        // With this window, a sidecar that kept a completed answer for a resume would not stop in time.
        let window = "resume_window_ms = 120000";
        let mut first = fleet.start_sidecar_with("sidecar-1", "forecast", stand_in.local_address(), window);
        let mut second = fleet.start_sidecar("sidecar-2", "forecast", stand_in.local_address());
        let mut entry = fleet.start_entry("entry-1");
        fleet.apply_example().await;
        for process in [&mut first, &mut second, &mut entry] {
            process.wait_for_log("Configuration is in force").await;
        }
        let caller = Caller::new(entry.address_after("callers=").await, "demo-key-large");
        caller.until_served().await;
        let begun = join_all((0..6).map(|_| caller.begin_stream(40))).await;
        first.terminate();
        entry.terminate();
        let answers = join_all(begun.into_iter().map(|(status, id, body)| read_to_end(status, id, body))).await;
        for answer in &answers {
            assert!(answer.is_whole_stream(40), "{answer:?}");
        }
        assert!(first.wait_for_exit().await.success());
        assert!(entry.wait_for_exit().await.success());
        assert_eq!(stand_in.record().completed(), 7);
    }
}
