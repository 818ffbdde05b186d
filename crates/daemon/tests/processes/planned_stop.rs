//! Tests of planned stops that the other processes are not told of.

use futures::future::join_all;
use hinge_cases::async_cases;

use crate::caller::read_to_end;
use crate::operator::numbered_file;
use crate::running_fleet::{FleetLayout, RunningFleet, slow_endpoint};

/// Requests sent while an endpoint leaves; none of them may reach it.
const REQUESTS_WHILE_LEAVING: usize = 20;

/// Longer than [`STEP_TIMEOUT`](crate::process::STEP_TIMEOUT), so that a sidecar that kept a completed answer for a resume
/// would not stop in time.
const LONG_RESUME_WINDOW: &str = "resume_window_ms = 120000";

async_cases! { real
    a_leaving_endpoint_gets_no_work_although_entries_do_not_know => {
        let sidecars = &[("forecast", slow_endpoint(50)), ("forecast", slow_endpoint(50))];
        let mut fleet = RunningFleet::open(FleetLayout { control: 1, entries: 2, sidecars, sidecar_settings: LONG_RESUME_WINDOW }).await;
        let (first, second) = (fleet.caller(0, "demo-key-small").await, fleet.caller(1, "demo-key-small").await);
        for stand_in in &fleet.stand_ins {
            first.until_endpoint_reached(stand_in).await;
            second.until_endpoint_reached(stand_in).await;
        }
        fleet.kill_control().await;
        // Two requests run at each endpoint while one of them leaves.
        let begun = join_all((0..4).map(|_| first.begin_stream(100))).await;
        fleet.stand_ins[0].wait_until(|record| record.running > 0).await;
        fleet.sidecars[0].terminate();
        fleet.sidecars[0].wait_for_log("Leaving.").await;
        let begun_before_leaving = fleet.stand_ins[0].record().begun();
        for _ in 0..REQUESTS_WHILE_LEAVING / 2 {
            for caller in [&first, &second] {
                let answer = caller.stream(2).await;
                assert!(answer.is_whole_stream(2), "{answer:?}");
            }
        }
        assert_eq!(fleet.stand_ins[0].record().begun(), begun_before_leaving);
        for (status, id, body) in begun {
            let answer = read_to_end(status, id, body).await;
            assert!(answer.is_whole_stream(100), "{answer:?}");
        }
        assert!(fleet.sidecars[0].wait_for_exit().await.success());
        let record = fleet.stand_ins[0].record();
        assert_eq!((record.begun(), record.completed()), (begun_before_leaving, begun_before_leaving));
    }

    an_entry_that_stops_ends_its_streams_and_takes_no_new_request => {
        let sidecars = &[("forecast", slow_endpoint(50))];
        let mut fleet = RunningFleet::open(FleetLayout { control: 1, entries: 1, sidecars, ..FleetLayout::default() }).await;
        let caller = fleet.caller(0, "demo-key-small").await;
        caller.until_served().await;
        let begun = join_all((0..2).map(|_| caller.begin_stream(100))).await;
        fleet.entries[0].terminate();
        fleet.entries[0].wait_for_log("Draining.").await;
        let refused = caller.stream(2).await;
        assert_eq!(refused.outcome().as_deref(), Some("not_run"), "{refused:?}");
        for (status, id, body) in begun {
            let answer = read_to_end(status, id, body).await;
            assert!(answer.is_whole_stream(100), "{answer:?}");
        }
        assert!(fleet.entries[0].wait_for_exit().await.success());
        assert_eq!(fleet.stand_ins[0].record().completed(), fleet.begun());
    }

    a_leader_that_stops_hands_over_and_loses_no_change => {
        let mut fleet = RunningFleet::open(FleetLayout { control: 3, entries: 1, ..FleetLayout::default() }).await;
        let operator = fleet.setup.operator(0);
        let leader = operator.leader().await;
        let mut version = fleet.version;
        for change in 0..40 {
            if change == 10 {
                fleet.control[leader].terminate();
            }
            version = operator.apply(&format!("change-{change}"), version, numbered_file("changed", change)).await;
        }
        assert_eq!(version, fleet.version + 40);
        fleet.control[leader].wait_for_log("Handing leadership over.").await;
        assert!(fleet.control[leader].wait_for_exit().await.success());
        fleet.in_force(version).await;
    }
}
