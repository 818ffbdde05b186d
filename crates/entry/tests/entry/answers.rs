//! Complete, broken and resumed answers.

use hinge_cases::async_cases;
use hinge_schema::messages::{Ack, FromSidecar, ToSidecar, Verdict};
use hyper::body::Incoming;

use crate::support::{
    FakeSidecar, Fleet, INCARNATION, OfferSession, chunk_frame, end_frame, head_frame, read_text,
    settings,
};

async fn single_sidecar_fleet() -> (Fleet, FakeSidecar) {
    let sidecar = FakeSidecar::bind("a", None).await;
    let fleet = Fleet::bind("", settings(), vec![sidecar.process("forecast")]).await;
    (fleet, sidecar)
}

/// Returns a fleet with an answer of which the head and the first chunk were sent.
async fn streaming_answer(
    content_type: &str,
) -> (Fleet, FakeSidecar, OfferSession, http::Response<Incoming>) {
    let (fleet, mut sidecar) = single_sidecar_fleet().await;
    let call = fleet.chat(&[("idempotency-key", "k")]);
    let mut session = sidecar.session().await;
    session.grant_and_read_body().await;
    session.send(head_frame(session.id(), content_type)).await;
    session.send(chunk_frame(session.id(), 0, "0123")).await;
    let response = call.await.expect("the head was sent");
    (fleet, sidecar, session, response)
}

fn ack_frame(request_id: u64, offset: u64) -> ToSidecar {
    ToSidecar::Ack(Ack { request_id, offset })
}

/// Sends a frame right after the first chunk, or ends the exchange, and asserts that the caller sees the answer as broken.
async fn assert_answer_is_aborted(make: impl Fn(&OfferSession) -> Option<FromSidecar>) {
    for content_type in ["application/json", "text/event-stream"] {
        let (fleet, mut sidecar) = single_sidecar_fleet().await;
        let call = fleet.chat(&[("idempotency-key", "k")]);
        let mut session = sidecar.session().await;
        session.grant_and_read_body().await;
        session.send(head_frame(session.id(), content_type)).await;
        session.send(chunk_frame(session.id(), 0, "0123")).await;
        if let Some(frame) = make(&session) {
            session.send(frame).await;
        }
        drop(session);
        let response = call.await.expect("the head was sent");
        let body = read_text(response).await.1;
        let cut = body.expect_err("a broken answer never ends cleanly");
        if content_type == "application/json" {
            assert_eq!(cut, "0123");
        } else {
            let event = "0123\n\nevent: error\ndata: {\"message\"";
            assert!(cut.starts_with(event), "{cut}");
        }
    }
}

async_cases! { real
    a_missing_end_aborts_the_answer => { assert_answer_is_aborted(|_| None).await; }
    a_chunk_of_another_request_aborts_the_answer => { assert_answer_is_aborted(|session| Some(chunk_frame(session.id() ^ 1, 4, "4567"))).await; }
    a_gap_between_chunks_aborts_the_answer => { assert_answer_is_aborted(|session| Some(chunk_frame(session.id(), 5, "5678"))).await; }
    an_overlapping_chunk_aborts_the_answer => { assert_answer_is_aborted(|session| Some(chunk_frame(session.id(), 2, "2345"))).await; }
    an_end_with_a_wrong_length_aborts_the_answer => { assert_answer_is_aborted(|session| Some(end_frame(session.id(), 9))).await; }
    a_broken_answer_is_resumed_at_its_offset => {
        let (_fleet, mut sidecar, session, response) = streaming_answer("text/event-stream").await;
        sidecar.set_verdict(INCARNATION, Verdict::Running);
        let id = session.id();
        drop(session);
        let (resume, sender, _reader) = sidecar.resumes.recv().await.expect("the entry resumes");
        assert_eq!((resume.request_id, resume.incarnation, resume.acknowledged), (id, INCARNATION, true));
        let from = usize::try_from(resume.offset).expect("a short text");
        for frame in [chunk_frame(id, resume.offset, &"01234567"[from..]), end_frame(id, 8)] {
            sender.send(&frame).await.expect("the entry keeps the exchange open");
        }
        assert_eq!(read_text(response).await.1, Ok("01234567".into()));
        assert!(sidecar.sessions.try_recv().is_err());
    }
    bytes_passed_to_the_caller_are_acknowledged_also_after_a_resume => {
        let (fleet, mut sidecar) = single_sidecar_fleet().await;
        let call = fleet.chat(&[("idempotency-key", "k")]);
        let mut session = sidecar.session().await;
        session.replay_bytes = Some(16);
        session.grant_and_read_body().await;
        let id = session.id();
        session.send(head_frame(id, "text/plain")).await;
        session.send(chunk_frame(id, 0, "0123")).await;
        let response = call.await.expect("the head was sent");
        let caller = tokio::spawn(read_text(response));
        // A quarter of the replay buffer was sent.
        assert_eq!(session.next().await, Some(ack_frame(id, 4)));
        session.send(chunk_frame(id, 4, "56")).await;
        session.send(chunk_frame(id, 6, "789")).await;
        let Some(ToSidecar::Ack(ack)) = session.next().await else {
            panic!("a further quarter is acknowledged");
        };
        assert!((8..=9).contains(&ack.offset), "{ack:?}");
        sidecar.set_verdict(INCARNATION, Verdict::Running);
        drop(session);
        let (resume, sender, mut reader) = sidecar.resumes.recv().await.expect("the entry resumes");
        assert_eq!(resume.offset, 9);
        sender.send(&chunk_frame(id, 9, "0123456789")).await.expect("the entry keeps the exchange open");
        assert_eq!(reader.next().await.unwrap_or(None), Some(ack_frame(id, 19)));
        sender.send(&end_frame(id, 19)).await.expect("the entry keeps the exchange open");
        assert_eq!(caller.await.expect("the caller reads").1, Ok("0123567890123456789".into()));
    }
    a_sidecar_without_replay_buffer_gets_no_acknowledgements => {
        let (fleet, mut sidecar) = single_sidecar_fleet().await;
        let call = fleet.chat(&[]);
        let mut session = sidecar.session().await;
        session.replay_bytes = None;
        session.answer(&"x".repeat(1_000)).await;
        assert_eq!(read_text(call.await.expect("the call ends")).await.1, Ok("x".repeat(1_000)));
        assert_eq!(session.next().await, None);
    }
    a_run_lost_before_its_head_is_resumed => {
        let (fleet, mut sidecar) = single_sidecar_fleet().await;
        sidecar.set_verdict(INCARNATION, Verdict::Completed);
        let call = fleet.chat(&[("idempotency-key", "k")]);
        let mut session = sidecar.session().await;
        session.grant_and_read_body().await;
        let id = session.id();
        drop(session);
        let (resume, sender, _reader) = sidecar.resumes.recv().await.expect("the entry resumes");
        assert_eq!((resume.offset, resume.acknowledged), (0, false));
        for frame in [head_frame(id, "text/plain"), chunk_frame(id, 0, "whole"), end_frame(id, 5)] {
            sender.send(&frame).await.expect("the entry keeps the exchange open");
        }
        assert_eq!(read_text(call.await.expect("the call ends")).await.1, Ok("whole".into()));
    }
    many_chunks_arrive_complete_and_in_order => {
        let (fleet, mut sidecar) = single_sidecar_fleet().await;
        let call = fleet.chat(&[]);
        let mut session = sidecar.session().await;
        session.grant_and_read_body().await;
        session.send(head_frame(session.id(), "text/plain")).await;
        let response = call.await.expect("the head was sent");
        let send_all = async {
            let mut sent = String::new();
            for number in 0..20_000_u64 {
                let part = format!("{number} ");
                session.send(chunk_frame(session.id(), sent.len() as u64, &part)).await;
                sent.push_str(&part);
            }
            session.send(end_frame(session.id(), sent.len() as u64)).await;
            sent
        };
        let (body, sent) = tokio::join!(read_text(response), send_all);
        assert_eq!(body.1, Ok(sent));
    }
    a_caller_that_disconnects_while_waiting_cancels_the_offer => {
        let (fleet, mut sidecar) = single_sidecar_fleet().await;
        let call = fleet.chat(&[]);
        let mut session = sidecar.session().await;
        call.abort();
        session.expect_cancel().await;
    }
    a_caller_that_disconnects_during_its_answer_cancels_the_run => {
        let (_fleet, _sidecar, mut session, response) = streaming_answer("text/plain").await;
        drop(response);
        session.expect_cancel().await;
    }
    a_run_whose_exchange_is_lost_is_cancelled_by_a_call => {
        let (_fleet, mut sidecar, session, response) = streaming_answer("text/plain").await;
        sidecar.set_verdict(INCARNATION, Verdict::Running);
        drop(session);
        // Every resumed exchange breaks at once, until the entry gives up.
        while let Some((_, sender, _reader)) = tokio::select! {
            resumed = sidecar.resumes.recv() => resumed,
            cancel = sidecar.cancels.recv() => { assert_eq!(cancel.map(|cancel| cancel.claim_id), Some(5)); None }
        } {
            drop(sender);
        }
        assert_eq!(read_text(response).await.1, Err("0123".into()));
    }
}
