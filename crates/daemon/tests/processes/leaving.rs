//! Stops processes as planned while others know nothing of it.

use futures::future::join_all;
use hinge_cases::async_cases;

use crate::caller::read_to_end;
use crate::operator::numbered;
use crate::started::{Plan, Started, slow};

/// Requests that would reach a leaving endpoint if any did.
const AFTERWARDS: usize = 20;

/// Longer than a step may take, so that a sidecar which kept a whole answer for a resume would not stop in time.
const WINDOW: &str = "resume_window_ms = 120000";

async_cases! { real
    a_leaving_endpoint_gets_no_work_although_entries_do_not_know => {
        let sidecars = &[("forecast", slow(50)), ("forecast", slow(50))];
        let mut started = Started::open(Plan { control: 1, entries: 2, sidecars, sidecar_settings: WINDOW }).await;
        let (first, second) = (started.caller(0, "demo-key-small").await, started.caller(1, "demo-key-small").await);
        for stand_in in &started.stand_ins {
            first.until_reached(stand_in).await;
            second.until_reached(stand_in).await;
        }
        started.kill_control().await;
        // Two requests run at each endpoint while one of them leaves.
        let begun = join_all((0..4).map(|_| first.begin_stream(100))).await;
        started.stand_ins[0].wait_until(|record| record.running > 0).await;
        started.sidecars[0].terminate();
        started.sidecars[0].wait_for_log("Leaving.").await;
        let at_leaving = started.stand_ins[0].record().begun();
        for _ in 0..AFTERWARDS / 2 {
            for caller in [&first, &second] {
                let answer = caller.stream(2).await;
                assert!(answer.is_whole_stream(2), "{answer:?}");
            }
        }
        assert_eq!(started.stand_ins[0].record().begun(), at_leaving);
        for (status, id, body) in begun {
            let answer = read_to_end(status, id, body).await;
            assert!(answer.is_whole_stream(100), "{answer:?}");
        }
        assert!(started.sidecars[0].wait_for_exit().await.success());
        let record = started.stand_ins[0].record();
        assert_eq!((record.begun(), record.completed()), (at_leaving, at_leaving));
    }

    an_entry_that_stops_ends_its_streams_and_takes_no_new_request => {
        let sidecars = &[("forecast", slow(50))];
        let mut started = Started::open(Plan { control: 1, entries: 1, sidecars, ..Plan::default() }).await;
        let caller = started.caller(0, "demo-key-small").await;
        caller.until_served().await;
        let begun = join_all((0..2).map(|_| caller.begin_stream(100))).await;
        started.entries[0].terminate();
        started.entries[0].wait_for_log("Draining.").await;
        let refused = caller.stream(2).await;
        assert_eq!(refused.outcome().as_deref(), Some("not_run"), "{refused:?}");
        for (status, id, body) in begun {
            let answer = read_to_end(status, id, body).await;
            assert!(answer.is_whole_stream(100), "{answer:?}");
        }
        assert!(started.entries[0].wait_for_exit().await.success());
        assert_eq!(started.stand_ins[0].record().completed(), started.begun());
    }

    a_leader_that_stops_hands_over_and_loses_no_change => {
        let mut started = Started::open(Plan { control: 3, entries: 1, ..Plan::default() }).await;
        let operator = started.fleet.operator(0);
        let leader = operator.leader().await;
        let mut version = started.version;
        for change in 0..40 {
            if change == 10 {
                started.control[leader].terminate();
            }
            version = operator.apply(&format!("change-{change}"), version, numbered("changed", change)).await;
        }
        assert_eq!(version, started.version + 40);
        started.control[leader].wait_for_log("Handing leadership over.").await;
        assert!(started.control[leader].wait_for_exit().await.success());
        started.in_force(version).await;
    }
}
