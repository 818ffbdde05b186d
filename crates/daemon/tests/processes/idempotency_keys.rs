//! Tests of idempotency keys and leases: a key is resent after processes are lost, and while control is down.

use std::time::{Duration, Instant};

use hinge_cases::async_cases;
use hinge_fakes::stand_in::Fault;
use hinge_schema::messages::{FromSidecar, NotRunReason};

use crate::caller::Answer;
use crate::running_fleet::{FleetLayout, RunningFleet, fast_endpoint};

/// Lease of the sidecars, as in `sidecar_settings` of [`start`].
const LEASE: Duration = Duration::from_secs(1);

const SMALL: &str = "demo-key-small";

async fn start() -> RunningFleet {
    RunningFleet::open(FleetLayout {
        control: 3,
        entries: 2,
        sidecars: &[("surf-api", fast_endpoint())],
        sidecar_settings: "lease_ms = 1000",
    })
    .await
}

fn assert_refused(answer: &Answer, reason: &str) {
    assert_eq!(answer.outcome().as_deref(), Some("not_run"), "{answer:?}");
    assert_eq!(
        answer.field("reason").as_deref(),
        Some(reason),
        "{answer:?}"
    );
}

async_cases! { real
    a_key_survives_the_loss_of_the_leader_that_granted_it => {
        let mut fleet = start().await;
        let (first, second) = (fleet.caller(0, SMALL).await, fleet.caller(1, SMALL).await);
        first.until_posted().await;
        let begun = fleet.begun();
        let answer = first.post_once("push").await;
        assert!(answer.status.is_success(), "{answer:?}");
        let leader = fleet.setup.operator(0).leader().await;
        fleet.control[leader].kill().await;
        assert_refused(&second.post_until_outcome_known("push").await, "already_finished");
        assert_eq!(fleet.begun(), begun + 1);
    }

    a_key_survives_the_restart_of_every_process => {
        let mut fleet = start().await;
        let caller = fleet.caller(0, SMALL).await;
        caller.until_posted().await;
        let begun = fleet.begun();
        assert!(caller.post_once("whole").await.status.is_success());
        fleet.stand_ins[0].set_fault(Some(Fault::Hang));
        let hanging = caller.clone();
        let hung = tokio::spawn(async move { hanging.post_once("hung").await });
        fleet.stand_ins[0].wait_until(|record| record.running == 1).await;
        fleet.stand_ins[0].set_fault(None);
        hung.abort();
        fleet.restart_all().await;
        fleet.in_force(fleet.version).await;
        let caller = fleet.caller(1, SMALL).await;
        assert_refused(&caller.post_until_outcome_known("whole").await, "already_finished");
        assert_refused(&caller.post_until_outcome_known("hung").await, "already_failed");
        assert_eq!(fleet.begun(), begun + 2);
        assert!(caller.post_once("new").await.status.is_success());
    }

    without_control_the_fleet_serves_on_but_claims_no_key => {
        let mut fleet = start().await;
        let caller = fleet.caller(0, SMALL).await;
        caller.until_posted().await;
        fleet.kill_control().await;
        let begun = fleet.begun();
        assert_refused(&caller.post_once("push").await, "control_unreachable");
        assert_eq!(fleet.begun(), begun);
        // No lease is renewed now: an entry that let endpoints expire with their leases would have none left.
        let until = Instant::now() + 3 * LEASE;
        while Instant::now() < until {
            let answer = caller.post_with(&[("x-idempotent", "true")]).await;
            assert!(answer.status.is_success(), "{answer:?}");
        }
    }

    without_control_a_restarted_entry_refuses_and_a_restarted_sidecar_learns_from_an_entry => {
        let mut fleet = start().await;
        let serving = fleet.caller(0, SMALL).await;
        serving.until_posted().await;
        fleet.kill_control().await;
        fleet.entries[1].kill_and_restart().await;
        let restarted = fleet.caller(1, SMALL).await;
        let begun = fleet.begun();
        assert_refused(&restarted.post_with(&[("x-idempotent", "true")]).await, "not_ready");
        assert_eq!(fleet.begun(), begun);
        fleet.sidecars[0].kill_and_restart().await;
        let address = fleet.sidecars[0].address_after("[sidecar] Listening. address=").await;
        let refused = fleet.setup.offer(address, "surf-api").await;
        assert!(matches!(&refused, FromSidecar::Refused(refused) if refused.reason == NotRunReason::NotReady), "{refused:?}");
        // Log lines are written in order but with a delay: once this line is there, so are all earlier ones.
        fleet.sidecars[0].hang_up();
        fleet.sidecars[0].wait_for_log("Reloaded settings without a change.").await;
        assert!(fleet.sidecars[0].applied_versions().is_empty());
        serving.until_posted().await;
        fleet.sidecars[0].wait_until_in_force(fleet.version).await;
        assert_eq!(fleet.sidecars[0].applied_versions(), [fleet.version]);
        for process in &mut fleet.control {
            process.restart();
        }
        restarted.until_posted().await;
    }
}
