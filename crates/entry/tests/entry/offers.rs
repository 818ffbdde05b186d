//! Offers, grants, and recovery after a lost exchange.

use hinge_cases::async_cases;
use hinge_schema::messages::{
    AnswerEnd, FailureKind, FromSidecar, NotRunReason, ToSidecar, Verdict,
};

use crate::support::{
    CHAT, FakeSidecar, Fleet, INCARNATION, OfferSession, assert_refused, config, read_text,
    settings,
};

const WITH_KEY: &[(&str, &str)] = &[("idempotency-key", "k1")];

async fn two_sidecar_fleet(limits: &str) -> (Fleet, FakeSidecar, FakeSidecar) {
    let (a, b) = (
        FakeSidecar::bind("a", None).await,
        FakeSidecar::bind("b", None).await,
    );
    let sidecars = vec![a.process("forecast"), b.process("forecast")];
    (Fleet::bind(limits, settings(), sidecars).await, a, b)
}

/// Returns the first session at either sidecar, and whether it is at `a`.
async fn first_session(a: &mut FakeSidecar, b: &mut FakeSidecar) -> (OfferSession, bool) {
    tokio::select! {
        session = a.session() => (session, true),
        session = b.session() => (session, false),
    }
}

/// Limits under which offers are never widened within a test.
const SINGLE_OFFER: &str = "offers_per_request = 1\nwiden_after_ms = 60000";

async_cases! { real
    the_first_grant_wins_and_the_other_offer_is_cancelled => {
        let (fleet, mut a, mut b) = two_sidecar_fleet("").await;
        let call = fleet.chat(&[("x-urgency", "urgent"), ("x-estimated-units", "99"), ("x-deadline-ms", "20000")]);
        let (mut winner, mut loser) = (a.session().await, b.session().await);
        assert_eq!((&*winner.offer.team, &*winner.offer.pool), ("surf", "forecast"));
        assert_eq!((winner.offer.class.to_string(), winner.offer.estimated_units), ("urgent".into(), 99));
        assert!(winner.offer.idempotent && winner.offer.deadline_ms <= 20_000 && winner.offer.prefix_hash != 0);
        let (bind, body) = winner.grant_and_read_body().await;
        loser.expect_cancel().await;
        assert_eq!((&*bind.path, body), ("/v1/chat/completions", CHAT.as_bytes().to_vec()));
        assert!(!bind.headers.iter().any(|header| &*header.name == "authorization"));
        let id = winner.id();
        winner.send(crate::support::head_frame(id, "text/plain")).await;
        winner.send(crate::support::chunk_frame(id, 0, "high at ")).await;
        winner.send(crate::support::chunk_frame(id, 8, "six")).await;
        winner.send(crate::support::end_frame(id, 11)).await;
        assert_eq!(winner.reader.next().await.expect("a clean end"), None::<ToSidecar>);
        let response = call.await.expect("the call ends");
        assert!(response.headers().get("x-hop").is_none());
        assert_eq!(read_text(response).await, (http::StatusCode::OK, Ok("high at six".into())));
    }
    a_late_grant_is_cancelled => {
        let (fleet, mut a, mut b) = two_sidecar_fleet("").await;
        let call = fleet.chat(WITH_KEY);
        let (mut winner, mut loser) = (a.session().await, b.session().await);
        winner.grant_and_read_body().await;
        loser.grant().await;
        loser.expect_cancel().await;
        winner.fail(FailureKind::Unknown, NotRunReason::EndpointFailed).await;
        assert_refused(call.await.expect("the call ends"), 502, "unknown", "endpoint_failed").await;
    }
    a_request_refused_by_all_sidecars_is_refused_at_once => {
        let (fleet, mut a, mut b) = two_sidecar_fleet("").await;
        let call = fleet.chat(&[]);
        a.session().await.refuse(NotRunReason::Leaving, 1).await;
        b.session().await.refuse(NotRunReason::QueueFull, 1).await;
        let json = assert_refused(call.await.expect("the call ends"), 429, "not_run", "queue_full").await;
        assert_eq!(json["retry_after_ms"], 2500);
    }
    estimates_follow_the_costs_of_similar_requests => {
        let mut sidecar = FakeSidecar::bind("a", None).await;
        let fleet = Fleet::bind(SINGLE_OFFER, settings(), vec![sidecar.process("forecast")]).await;
        let mut estimates = Vec::new();
        for _ in 0..6 {
            let call = fleet.chat(&[("x-estimated-units", "99")]);
            let mut session = sidecar.session().await;
            estimates.push(session.offer.estimated_units);
            session.grant_and_read_body().await;
            let id = session.id();
            session.send(crate::support::head_frame(id, "text/plain")).await;
            session.send(FromSidecar::End(AnswerEnd { request_id: id, total_bytes: 0, service_units: 40_000 })).await;
            assert_eq!(session.reader.next().await.expect("a clean end"), None::<ToSidecar>);
            assert!(call.await.expect("the call ends").status().is_success());
        }
        // The caller's hint is used until there are four samples. The histogram has two buckets for each doubling, so the
        // middle of a bucket is at most a fifth off.
        assert_eq!(estimates[..4], [99; 4]);
        assert!(estimates[4..].iter().all(|units| units.abs_diff(40_000) <= 8_000), "{estimates:?}");
    }
    a_pool_without_sidecars_is_refused_at_once => {
        let fleet = Fleet::bind("", settings(), vec![]).await;
        assert_refused(fleet.chat(&[]).await.expect("the call ends"), 503, "not_run", "no_endpoint").await;
    }
    a_waiting_request_is_offered_to_another_sidecar => {
        let (fleet, mut a, mut b) = two_sidecar_fleet("offers_per_request = 1\nwiden_after_ms = 1").await;
        let call = fleet.chat(&[]);
        let (_waiting, mut idle) = tokio::join!(a.session(), b.session());
        idle.answer("idle").await;
        assert_eq!(read_text(call.await.expect("the call ends")).await.1, Ok("idle".into()));
    }
    a_waiting_offer_moves_to_another_sidecar_and_back => {
        let (fleet, mut a, mut b) = two_sidecar_fleet("max_open_offers = 1\noffers_per_request = 1\nwiden_after_ms = 1").await;
        let call = fleet.chat(&[]);
        let (mut old, was_a) = first_session(&mut a, &mut b).await;
        let (here, there) = if was_a { (&mut a, &mut b) } else { (&mut b, &mut a) };
        let mut new = there.session().await;
        old.expect_cancel().await;
        let again = here.session().await;
        assert_eq!((again.id(), new.id()), (old.id(), old.id()));
        new.expect_cancel().await;
        call.abort();
    }
    an_offer_stays_open_while_its_replacement_can_not_be_made => {
        let mut a = FakeSidecar::bind("a", None).await;
        let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let mut lost = a.process("forecast");
        lost.instance = "lost".into();
        lost.peer_address = closed.local_addr().expect("an address").to_string().into();
        let limits = "max_open_offers = 1\noffers_per_request = 1\nwiden_after_ms = 1";
        let fleet = Fleet::bind(limits, settings(), vec![a.process("forecast"), lost]).await;
        let call = fleet.chat(&[]);
        let mut kept = a.session().await;
        for _ in 0..2 {
            drop(closed.accept().await.expect("a call"));
        }
        kept.answer("kept").await;
        assert_eq!(read_text(call.await.expect("the call ends")).await.1, Ok("kept".into()));
        assert!(a.sessions.try_recv().is_err());
    }
    an_exchange_lost_before_the_grant_is_replaced => {
        let (fleet, mut a, mut b) = two_sidecar_fleet(SINGLE_OFFER).await;
        let call = fleet.chat(WITH_KEY);
        let (lost, was_a) = first_session(&mut a, &mut b).await;
        assert!(!lost.offer.idempotent);
        drop(lost);
        let other = if was_a { &mut b } else { &mut a };
        other.session().await.answer("b").await;
        assert_eq!(read_text(call.await.expect("the call ends")).await.1, Ok("b".into()));
    }
    a_run_that_was_never_handed_over_is_retried => {
        let (fleet, mut a, mut b) = two_sidecar_fleet(SINGLE_OFFER).await;
        for sidecar in [&a, &b] {
            sidecar.set_verdict(INCARNATION, Verdict::NeverHandedOver);
        }
        let call = fleet.chat(WITH_KEY);
        let (mut lost, _) = first_session(&mut a, &mut b).await;
        lost.grant_and_read_body().await;
        let lost_id = lost.id();
        drop(lost);
        let (mut again, _) = first_session(&mut a, &mut b).await;
        assert_ne!(again.id(), lost_id);
        again.answer("again").await;
        assert_eq!(read_text(call.await.expect("the call ends")).await.1, Ok("again".into()));
    }
    a_lost_non_idempotent_run_is_unknown_and_never_retried => {
        let (fleet, mut a, mut b) = two_sidecar_fleet(SINGLE_OFFER).await;
        let call = fleet.chat(WITH_KEY);
        let (mut lost, _) = first_session(&mut a, &mut b).await;
        lost.grant_and_read_body().await;
        drop(lost);
        assert_refused(call.await.expect("the call ends"), 502, "unknown", "verdict_forgotten").await;
        assert!(a.sessions.try_recv().is_err() && b.sessions.try_recv().is_err());
    }
    a_verdict_of_a_restarted_sidecar_proves_nothing => {
        let (fleet, mut a, mut b) = two_sidecar_fleet(SINGLE_OFFER).await;
        for sidecar in [&a, &b] {
            sidecar.set_verdict(INCARNATION + 1, Verdict::NeverHandedOver);
        }
        let call = fleet.chat(WITH_KEY);
        let (mut lost, _) = first_session(&mut a, &mut b).await;
        lost.grant_and_read_body().await;
        drop(lost);
        assert_refused(call.await.expect("the call ends"), 502, "unknown", "sidecar_lost").await;
        assert!(a.sessions.try_recv().is_err() && b.sessions.try_recv().is_err());
    }
    a_lost_idempotent_run_without_an_answer_is_retried => {
        let (fleet, mut a, mut b) = two_sidecar_fleet(SINGLE_OFFER).await;
        let call = fleet.chat(&[]);
        let (mut lost, _) = first_session(&mut a, &mut b).await;
        lost.grant_and_read_body().await;
        drop(lost);
        let (mut again, _) = first_session(&mut a, &mut b).await;
        again.answer("again").await;
        assert_eq!(read_text(call.await.expect("the call ends")).await.1, Ok("again".into()));
    }
    a_stale_config_refusal_fetches_the_newer_configuration_and_repeats_the_offer => {
        let newer = config(4, SINGLE_OFFER);
        let mut a = FakeSidecar::bind("a", Some(newer)).await;
        let fleet = Fleet::bind(SINGLE_OFFER, settings(), vec![a.process("forecast")]).await;
        let call = fleet.chat(&[]);
        let stale = a.session().await;
        stale.refuse(NotRunReason::StaleConfig, 4).await;
        let mut again = a.session().await;
        // The same attempt continues, so no retry is charged to the budget.
        assert_eq!(again.id(), stale.id());
        assert_eq!((again.offer.config_version, fleet.member.config_version()), (4, 4));
        again.answer("new").await;
        assert_eq!(read_text(call.await.expect("the call ends")).await.1, Ok("new".into()));
    }
    a_leaving_sidecar_gets_no_offer => {
        let (mut a, mut b) = (FakeSidecar::bind("a", None).await, FakeSidecar::bind("b", None).await);
        let mut leaving = a.process("forecast");
        leaving.leaving = true;
        let fleet = Fleet::bind("offers_per_request = 2", settings(), vec![leaving, b.process("forecast")]).await;
        let call = fleet.chat(&[]);
        b.session().await.refuse(NotRunReason::QueueFull, 1).await;
        assert_refused(call.await.expect("the call ends"), 429, "not_run", "queue_full").await;
        assert!(a.sessions.try_recv().is_err());
    }
    the_deadline_applies_before_and_after_the_grant => {
        let (fleet, mut a, _b) = two_sidecar_fleet("").await;
        let early = fleet.chat(&[("x-deadline-ms", "60")]).await.expect("the call ends");
        assert_refused(early, 504, "not_run", "deadline").await;
        a.session().await.expect_cancel().await;
        let call = fleet.chat(&[("x-deadline-ms", "400")]);
        let mut session = a.session().await;
        session.grant_and_read_body().await;
        assert_refused(call.await.expect("the call ends"), 504, "unknown", "deadline").await;
        session.expect_cancel().await;
    }
}
