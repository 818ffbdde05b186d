//! Sends the same key again after losses, and takes control away.

use std::time::{Duration, Instant};

use hinge_cases::async_cases;
use hinge_fakes::stand_in::Fault;
use hinge_schema::messages::{FromSidecar, NotRunReason};

use crate::caller::Answer;
use crate::started::{Plan, Started, fast};

/// Lease of the sidecars.
const LEASE: Duration = Duration::from_secs(1);

const SMALL: &str = "demo-key-small";

async fn start() -> Started {
    Started::open(Plan {
        control: 3,
        entries: 2,
        sidecars: &[("surf-api", fast())],
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
    a_key_outlives_the_leader_that_granted_it => {
        let mut started = start().await;
        let (first, second) = (started.caller(0, SMALL).await, started.caller(1, SMALL).await);
        first.until_posted().await;
        let begun = started.begun();
        let answer = first.post_once("push").await;
        assert!(answer.status.is_success(), "{answer:?}");
        let leader = started.fleet.operator(0).leader().await;
        started.control[leader].kill().await;
        assert_refused(&second.post_until_told("push").await, "already_finished");
        assert_eq!(started.begun(), begun + 1);
    }

    a_key_outlives_the_restart_of_every_process => {
        let mut started = start().await;
        let caller = started.caller(0, SMALL).await;
        caller.until_posted().await;
        let begun = started.begun();
        assert!(caller.post_once("whole").await.status.is_success());
        started.stand_ins[0].set_fault(Some(Fault::Hang));
        let hanging = caller.clone();
        let hung = tokio::spawn(async move { hanging.post_once("hung").await });
        started.stand_ins[0].wait_until(|record| record.running == 1).await;
        started.stand_ins[0].set_fault(None);
        hung.abort();
        started.restart_all().await;
        started.in_force(started.version).await;
        let caller = started.caller(1, SMALL).await;
        assert_refused(&caller.post_until_told("whole").await, "already_finished");
        assert_refused(&caller.post_until_told("hung").await, "already_failed");
        assert_eq!(started.begun(), begun + 2);
        assert!(caller.post_once("new").await.status.is_success());
    }

    without_control_the_fleet_serves_on_but_claims_no_key => {
        let mut started = start().await;
        let caller = started.caller(0, SMALL).await;
        caller.until_posted().await;
        started.kill_control().await;
        let begun = started.begun();
        assert_refused(&caller.post_once("push").await, "control_unreachable");
        assert_eq!(started.begun(), begun);
        // Nobody renews a lease now, and an entry that held on to them would run out of endpoints.
        let until = Instant::now() + 3 * LEASE;
        while Instant::now() < until {
            let answer = caller.post_with(&[("x-idempotent", "true")]).await;
            assert!(answer.status.is_success(), "{answer:?}");
        }
    }

    without_control_a_restarted_entry_refuses_and_a_restarted_sidecar_learns_from_an_entry => {
        let mut started = start().await;
        let serving = started.caller(0, SMALL).await;
        serving.until_posted().await;
        started.kill_control().await;
        started.entries[1].kill_and_restart().await;
        let restarted = started.caller(1, SMALL).await;
        let begun = started.begun();
        assert_refused(&restarted.post_with(&[("x-idempotent", "true")]).await, "not_ready");
        assert_eq!(started.begun(), begun);
        started.sidecars[0].kill_and_restart().await;
        let address = started.sidecars[0].address_after("[sidecar] Listening. address=").await;
        let refused = started.fleet.offer(address, "surf-api").await;
        assert!(matches!(&refused, FromSidecar::Refused(refused) if refused.reason == NotRunReason::NotReady), "{refused:?}");
        // Lines are written in their order, a moment after they came: with this one, all that came before it are there.
        started.sidecars[0].hang_up();
        started.sidecars[0].wait_for_log("Reloaded settings without a change.").await;
        assert!(started.sidecars[0].applied_versions().is_empty());
        serving.until_posted().await;
        started.sidecars[0].wait_until_in_force(started.version).await;
        assert_eq!(started.sidecars[0].applied_versions(), [started.version]);
        for process in &mut started.control {
            process.restart();
        }
        restarted.until_posted().await;
    }
}
