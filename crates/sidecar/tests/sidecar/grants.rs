//! Tests of offers and grants before the hand-over.

use std::time::Duration;

use hinge_cases::async_cases;
use hinge_fakes::stand_in::Fault;
use hinge_schema::messages::{FailureKind, FromSidecar, NotRunReason, Offer, Verdict};

use crate::support::{TestBed, offer, stream_body};

fn short_lease(settings: &mut hinge_sidecar::SidecarSettings) {
    settings.grant_lease = Duration::from_millis(50);
}

async fn refusal(bed: &TestBed, offer: Offer) -> NotRunReason {
    bed.offer(offer).await.refused().await.reason
}

async_cases! { real
    a_grant_that_is_not_bound_in_its_lease_frees_its_slot => {
        let bed = TestBed::open(short_lease).await;
        let (_silent, first) = bed.granted(offer(1)).await;
        let (_, second) = bed.granted(offer(2)).await;
        assert_ne!(first.claim_id, second.claim_id);
        assert_eq!(bed.verdict(&first).await, Verdict::NeverHandedOver);
    }
    a_bind_after_the_lease_is_not_run => {
        let bed = TestBed::open(short_lease).await;
        let (mut late, granted) = bed.granted(offer(1)).await;
        bed.granted(offer(2)).await;
        late.bind("/v1/completions", &stream_body(1)).await;
        let failed = late.whole().await.expect_err("the lease is over");
        assert_eq!((failed.kind, failed.reason), (FailureKind::NotRun, NotRunReason::GrantExpired));
        assert_eq!(bed.verdict(&granted).await, Verdict::NeverHandedOver);
        assert_eq!(bed.run_counts(1), (0, 0));
    }
    a_cancel_frame_frees_the_slot_of_a_run_at_once => {
        let bed = TestBed::open(|_| ()).await;
        bed.stand_in.set_fault(Some(Fault::Hang));
        let (entry, granted) = bed.stream(offer(1), 1).await;
        bed.stand_in.wait_until(|record| record.running == 1).await;
        entry.cancel().await;
        bed.granted(offer(2)).await;
        bed.stand_in.wait_until(|record| record.running == 0).await;
        assert_eq!(bed.verdict(&granted).await, Verdict::Failed);
    }
    a_cancel_call_frees_the_slot_of_a_run_at_once => {
        let bed = TestBed::open(|_| ()).await;
        bed.stand_in.set_fault(Some(Fault::Hang));
        let (mut entry, granted) = bed.stream(offer(1), 1).await;
        bed.stand_in.wait_until(|record| record.running == 1).await;
        assert_eq!(bed.cancel(&granted).await, Verdict::Failed);
        let failed = entry.whole().await.expect_err("the run was cancelled");
        assert_eq!((failed.kind, failed.reason), (FailureKind::Unknown, NotRunReason::Cancelled));
        bed.granted(offer(2)).await;
    }
    asking_for_its_verdict_withdraws_an_unbound_grant => {
        let bed = TestBed::open(|_| ()).await;
        let (mut entry, granted) = bed.granted(offer(1)).await;
        assert_eq!(bed.verdict(&granted).await, Verdict::NeverHandedOver);
        let failed = entry.whole().await.expect_err("the grant is withdrawn");
        assert_eq!(failed.kind, FailureKind::NotRun);
        entry.bind("/v1/completions", &stream_body(1)).await;
        bed.granted(offer(2)).await;
        assert_eq!(bed.run_counts(1), (0, 0));
    }
    another_incarnation_answers_unknown => {
        let bed = TestBed::open(|_| ()).await;
        let (_entry, mut granted) = bed.granted(offer(1)).await;
        granted.incarnation += 1;
        assert_eq!(bed.verdict(&granted).await, Verdict::Unknown);
        assert_eq!(bed.cancel(&granted).await, Verdict::Unknown);
    }
    a_duplicate_offer_is_refused_and_the_first_goes_on => {
        let bed = TestBed::open(|settings| settings.slots = 3).await;
        let (mut entry, _) = bed.granted(offer(1)).await;
        assert_eq!(refusal(&bed, offer(1)).await, NotRunReason::AlreadyRunning);
        entry.bind("/v1/completions", &stream_body(1)).await;
        entry.whole().await.expect("the first offer goes on");
        assert_eq!(bed.run_counts(1), (1, 1));
    }
    an_offer_under_an_older_configuration_is_told_the_newer_version => {
        let bed = TestBed::open(|_| ()).await;
        let older = Offer { config_version: 2, ..offer(1) };
        let refused = bed.offer(older).await.refused().await;
        assert_eq!((refused.reason, refused.config_version), (NotRunReason::StaleConfig, 3));
    }
    an_unknown_team_and_another_pool_are_refused => {
        let bed = TestBed::open(|_| ()).await;
        let stranger = Offer { team: "stranger".into(), ..offer(1) };
        assert_eq!(refusal(&bed, stranger).await, NotRunReason::NotReady);
        let elsewhere = Offer { pool: "clips".into(), ..offer(2) };
        assert_eq!(refusal(&bed, elsewhere).await, NotRunReason::NoEndpoint);
    }
    a_full_team_queue_refuses_with_a_retry_delay => {
        let bed = TestBed::open(|_| ()).await;
        bed.granted(offer(1)).await;
        let (_holder, _) = bed.granted(offer(2)).await;
        let (mut a, mut b, mut c) = (bed.offer(offer(3)).await, bed.offer(offer(4)).await, bed.offer(offer(5)).await);
        let first = tokio::select! { frame = a.next() => frame, frame = b.next() => frame, frame = c.next() => frame };
        let Some(FromSidecar::Refused(refused)) = first else { panic!("two may wait, not three") };
        assert_eq!(refused.reason, NotRunReason::QueueFull);
        assert!(refused.retry_after_ms > 0);
    }
    a_body_that_ends_early_never_runs => {
        let bed = TestBed::open(|_| ()).await;
        let (mut entry, granted) = bed.granted(offer(1)).await;
        let body = stream_body(1);
        entry.bind_with_end("/v1/completions", &body, body.len() as u64 + 1).await;
        let failed = entry.whole().await.expect_err("the body is not whole");
        assert_eq!(failed.kind, FailureKind::NotRun);
        assert_eq!(bed.verdict(&granted).await, Verdict::NeverHandedOver);
        assert_eq!(bed.run_counts(1), (0, 0));
    }
    a_body_beyond_the_limit_never_runs => {
        let bed = TestBed::open(|settings| settings.max_body_bytes = 8).await;
        let (mut entry, _) = bed.stream(offer(1), 1).await;
        let failed = entry.whole().await.expect_err("the body is too long");
        assert_eq!((failed.kind, failed.reason), (FailureKind::NotRun, NotRunReason::OverLimit));
        assert_eq!(bed.run_counts(1), (0, 0));
    }
}
