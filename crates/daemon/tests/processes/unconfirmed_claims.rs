//! Tests of requests whose deadline passes before control has confirmed the claim of their key.

use hinge_cases::async_cases;

use crate::caller::{Answer, Caller, IDEMPOTENCY_KEY};
use crate::running_fleet::{FleetLayout, RunningFleet, fast_endpoint};

const SMALL: &str = "demo-key-small";

/// A fleet whose control is frozen, after a request with the key `once` has passed its deadline.
struct UnconfirmedClaim {
    fleet: RunningFleet,
    answer: Answer,
    /// Caller at the other entry.
    other: Caller,
    /// Requests that the endpoint had begun before.
    begun: u32,
}

impl UnconfirmedClaim {
    async fn open() -> Self {
        let layout = FleetLayout {
            control: 1,
            entries: 2,
            sidecars: &[("surf-api", fast_endpoint())],
            ..FleetLayout::default()
        };
        let mut fleet = RunningFleet::open(layout).await;
        let (caller, other) = (fleet.caller(0, SMALL).await, fleet.caller(1, SMALL).await);
        caller.until_posted().await;
        other.until_posted().await;
        let begun = fleet.begun();
        fleet.control[0].freeze();
        let answer = caller
            .post_with(&[(IDEMPOTENCY_KEY, "once"), ("x-deadline-ms", "500")])
            .await;
        Self {
            fleet,
            answer,
            other,
            begun,
        }
    }

    /// Returns how many requests the endpoint has begun since control was frozen.
    fn begun(&self) -> u32 {
        self.fleet.begun() - self.begun
    }
}

async_cases! { real
    // Guards against a late confirmation that starts a request whose caller has its answer, or that keeps its key taken.
    a_claim_confirmed_after_the_deadline_starts_nothing_and_frees_its_key => {
        let claim = UnconfirmedClaim::open().await;
        assert_eq!(claim.answer.outcome().as_deref(), Some("unknown"), "{:?}", claim.answer);
        assert_eq!(claim.begun(), 0);
        claim.fleet.control[0].thaw();
        let resent = claim.other.post_until_outcome_known("once").await;
        assert!(resent.status.is_success(), "{resent:?}");
        assert_eq!(claim.begun(), 1);
    }

    // Guards against a resend that waits for a claim which control never got.
    a_claim_lost_with_control_does_not_block_the_resend => {
        let mut claim = UnconfirmedClaim::open().await;
        claim.fleet.control[0].kill_and_restart().await;
        let resent = claim.other.post_until_outcome_known("once").await;
        assert!(resent.status.is_success(), "{resent:?}");
        assert_eq!(claim.begun(), 1);
    }

    // Guards against a second run when the sidecar that claimed the key can't tell any more that it did not use it.
    a_claim_of_a_restarted_sidecar_lets_its_key_run_once_at_most => {
        let mut claim = UnconfirmedClaim::open().await;
        claim.fleet.sidecars[0].kill_and_restart().await;
        claim.fleet.control[0].thaw();
        claim.fleet.sidecars[0].wait_until_in_force(claim.fleet.version).await;
        claim.other.until_posted().await;
        let begun = claim.begun();
        let resent = claim.other.post_until_outcome_known("once").await;
        let again = claim.other.post_until_outcome_known("once").await;
        assert_eq!(again.outcome().as_deref(), Some("not_run"), "{again:?}");
        let ran = u32::from(resent.status.is_success());
        assert_eq!(claim.begun() - begun, ran, "{resent:?}");
    }
}
