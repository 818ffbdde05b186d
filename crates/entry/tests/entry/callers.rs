//! Callers' errors, limits, plain services and streamed bodies.

use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::channel::mpsc::channel;
use hinge_cases::async_cases;
use hinge_entry::EntrySettings;
use hinge_schema::messages::{ToSidecar, Verdict};
use http::Method;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::support::{
    CHAT, FakeSidecar, Fleet, INCARNATION, assert_refused, end_frame, full_body, head_frame,
    read_text, settings,
};

async fn fleet_without_sidecars(settings: EntrySettings) -> Fleet {
    Fleet::bind("", settings, vec![]).await
}

async fn assert_caller_error(
    headers: &[(&str, &str)],
    path: &str,
    body: &str,
    (status, reason): (u16, &str),
) {
    let fleet = fleet_without_sidecars(EntrySettings {
        max_body_bytes: 2_000,
        ..settings()
    })
    .await;
    let response = fleet
        .post(path, headers, body)
        .await
        .expect("the call ends");
    assert_refused(response, status, "not_run", reason).await;
}

const CHAT_PATH: &str = "/v1/chat/completions";

async_cases! { real
    metrics_are_labelled_by_team_class_and_pool => {
        let mut sidecar = FakeSidecar::bind("a", None).await;
        let fleet = Fleet::bind("", settings(), vec![sidecar.process("forecast")]).await;
        let call = fleet.chat(&[("x-urgency", "urgent")]);
        sidecar.session().await.answer("tide").await;
        assert_eq!(read_text(call.await.expect("the call ends")).await.1, Ok("tide".into()));
        assert_refused(fleet.post("/pools/none/", &[], "").await.expect("the call ends"), 404, "not_run", "no_such_pool").await;
        let page = fleet.registry.page().expect("the page can be written");
        for line in [
            "hinge_entry_requests_total{team=\"surf\",class=\"urgent\",pool=\"forecast\",outcome=\"completed\",reason=\"\"} 1",
            "hinge_entry_requests_total{team=\"surf\",class=\"standard\",pool=\"\",outcome=\"not_run\",reason=\"no_such_pool\"} 1",
            "hinge_entry_first_byte_seconds_count{class=\"urgent\",pool=\"forecast\"} 1",
            "hinge_entry_wait_seconds_count{class=\"urgent\",pool=\"forecast\"} 1",
            "hinge_entry_between_chunks_seconds_count{class=\"urgent\",pool=\"forecast\"} 0",
        ] {
            assert!(page.contains(line), "{line} is not in {page}");
        }
    }
    a_wrong_key_is_refused => { assert_caller_error(&[("authorization", "Bearer other")], CHAT_PATH, CHAT, (401, "wrong_key")).await; }
    a_missing_key_is_refused => { assert_caller_error(&[("authorization", "Basic eDp5")], CHAT_PATH, CHAT, (401, "no_key")).await; }
    bad_json_is_refused => { assert_caller_error(&[], CHAT_PATH, "{\"model\":", (400, "bad_json")).await; }
    an_unknown_model_is_refused => { assert_caller_error(&[], CHAT_PATH, r#"{"model":"x"}"#, (404, "no_such_model")).await; }
    a_service_pool_is_refused_as_a_model => { assert_caller_error(&[], CHAT_PATH, r#"{"model":"api"}"#, (404, "no_such_model")).await; }
    an_unknown_pool_is_refused => { assert_caller_error(&[], "/pools/none/x", "", (404, "no_such_pool")).await; }
    an_unknown_path_is_refused => { assert_caller_error(&[], "/v2/else", "", (404, "no_such_path")).await; }
    an_invalid_class_is_refused => { assert_caller_error(&[("x-urgency", "now")], CHAT_PATH, CHAT, (400, "bad_header")).await; }
    an_invalid_deadline_is_refused => { assert_caller_error(&[("x-deadline-ms", "0")], CHAT_PATH, CHAT, (400, "bad_header")).await; }
    a_repeated_key_is_refused => {
        assert_caller_error(&[("idempotency-key", "a"), ("idempotency-key", "b")], CHAT_PATH, CHAT, (400, "bad_header")).await;
    }
    a_body_that_is_too_long_is_refused => { assert_caller_error(&[], CHAT_PATH, &"x".repeat(2_001), (413, "body_too_large")).await; }
    a_content_length_over_the_limit_is_refused_before_the_body_is_read => {
        let fleet = fleet_without_sidecars(EntrySettings { max_body_bytes: 2_000, ..settings() }).await;
        let (parts, stream) = channel(1);
        let call = fleet.send(Method::POST, CHAT_PATH, &[("content-length", "2001")], BodyExt::boxed(StreamBody::new(stream)));
        assert_refused(call.await.expect("the call ends"), 413, "not_run", "body_too_large").await;
        drop(parts);
    }
    a_body_of_unknown_length_over_the_limit_is_refused => {
        let fleet = fleet_without_sidecars(EntrySettings { max_body_bytes: 2_000, ..settings() }).await;
        let (mut parts, stream) = channel(8);
        for _ in 0..3 {
            parts.send(Ok(Frame::data(Bytes::from(vec![b' '; 700])))).await.expect("there is room");
        }
        let call = fleet.send(Method::POST, CHAT_PATH, &[], BodyExt::boxed(StreamBody::new(stream)));
        assert_refused(call.await.expect("the call ends"), 413, "not_run", "body_too_large").await;
        drop(parts);
    }
    a_body_that_arrives_too_slowly_is_refused => {
        let fleet = fleet_without_sidecars(EntrySettings { body_timeout: Duration::from_millis(30), ..settings() }).await;
        let (parts, stream) = channel(1);
        let call = fleet.send(Method::POST, CHAT_PATH, &[], BodyExt::boxed(StreamBody::new(stream)));
        assert_refused(call.await.expect("the call ends"), 408, "not_run", "body_too_slow").await;
        drop(parts);
    }
    a_half_closed_connection_cancels_the_request => {
        let mut sidecar = FakeSidecar::bind("a", None).await;
        let fleet = Fleet::bind("", settings(), vec![sidecar.process("forecast")]).await;
        let mut socket = tokio::net::TcpStream::connect(fleet.entry.callers_address()).await.expect("the entry listens");
        let head = format!("POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer surf-key\r\ncontent-length: {}\r\n\r\n{CHAT}", CHAT.len());
        socket.write_all(head.as_bytes()).await.expect("the entry reads");
        let mut session = sidecar.session().await;
        socket.shutdown().await.expect("the connection is open");
        session.expect_cancel().await;
        let mut rest = Vec::new();
        assert_eq!(socket.read_to_end(&mut rest).await.expect("the entry closes the connection"), 0);
    }
    an_entry_without_a_configuration_refuses_requests => {
        let fleet = Fleet::bind_unready(settings()).await;
        assert_refused(fleet.chat(&[]).await.expect("the call ends"), 503, "not_run", "not_ready").await;
        let ready = fleet.send(Method::GET, "/readyz", &[], full_body("")).await.expect("the call ends");
        assert_eq!((ready.status().as_u16(), fleet.readiness.is_ready()), (503, false));
        fleet.member.apply_config(&crate::support::config(1, ""));
        let ready = fleet.send(Method::GET, "/readyz", &[], full_body("")).await.expect("the call ends");
        assert_eq!((ready.status().as_u16(), fleet.readiness.is_ready()), (200, true));
    }
    models_are_listed_with_their_aliases => {
        let fleet = fleet_without_sidecars(settings()).await;
        let list = fleet.send(Method::GET, "/v1/models", &[], full_body("")).await.expect("the call ends");
        let (_, body) = read_text(list).await;
        let body = body.expect("the list is whole");
        assert!(body.contains("\"forecast\"") && body.contains("\"surf-7b\"") && !body.contains("\"api\""), "{body}");
    }
    a_team_over_its_waiting_limit_is_refused => {
        let mut sidecar = FakeSidecar::bind("a", None).await;
        let fleet = Fleet::bind("", settings(), vec![sidecar.process("forecast")]).await;
        let mut waiting = Vec::new();
        for _ in 0..3 {
            waiting.push((fleet.chat(&[]), sidecar.session().await));
        }
        assert_refused(fleet.chat(&[]).await.expect("the call ends"), 429, "not_run", "queue_full").await;
        drop(waiting);
    }
    a_full_entry_sheds_from_the_team_furthest_above_its_share => {
        let mut sidecar = FakeSidecar::bind("a", None).await;
        let settings = EntrySettings { max_waiting_requests: 2, ..settings() };
        let fleet = Fleet::bind("", settings, vec![sidecar.process("forecast")]).await;
        let (old, mut old_session) = (fleet.chat(&[]), sidecar.session().await);
        let (young, _young_session) = (fleet.chat(&[]), sidecar.session().await);
        assert_refused(fleet.chat(&[]).await.expect("the call ends"), 429, "not_run", "shed").await;
        let small = fleet.chat(&[("authorization", "Bearer shop-key")]);
        assert_refused(young.await.expect("the call ends"), 429, "not_run", "shed").await;
        sidecar.session().await.answer("small").await;
        assert_eq!(read_text(small.await.expect("the call ends")).await.1, Ok("small".into()));
        old_session.answer("old").await;
        assert_eq!(read_text(old.await.expect("the call ends")).await.1, Ok("old".into()));
    }
    a_plain_service_gets_the_request_unchanged_except_for_hop_by_hop_headers => {
        let mut sidecar = FakeSidecar::bind("a", None).await;
        let fleet = Fleet::bind("", settings(), vec![sidecar.process("api")]).await;
        let headers = [("x-own", "1"), ("connection", "x-gone"), ("x-gone", "1"), ("x-urgency", "batch")];
        let call = fleet.send(Method::PUT, "/pools/api/spots/3?unit=m", &headers, full_body("body"));
        let mut session = sidecar.session().await;
        assert!(!session.offer.idempotent);
        let (bind, body) = session.grant_and_read_body().await;
        assert_eq!((&*bind.method, &*bind.path, &*body), ("PUT", "/spots/3?unit=m", b"body".as_slice()));
        let names: Vec<_> = bind.headers.iter().map(|header| &*header.name).collect();
        assert_eq!(names, ["x-own"]);
        session.send(head_frame(session.id(), "text/plain")).await;
        session.send(end_frame(session.id(), 0)).await;
        assert_eq!(read_text(call.await.expect("the call ends")).await.1, Ok(String::new()));
    }
    service_reads_are_idempotent_unless_the_caller_states_otherwise => {
        let mut sidecar = FakeSidecar::bind("a", None).await;
        let fleet = Fleet::bind("", settings(), vec![sidecar.process("api")]).await;
        for (method, headers, idempotent) in [
            (Method::GET, [].as_slice(), true),
            (Method::GET, [("x-idempotent", "false")].as_slice(), false),
            (Method::POST, [("x-idempotent", "true"), ("idempotency-key", "k")].as_slice(), true),
        ] {
            let call = fleet.send(method, "/pools/api", headers, full_body(""));
            let mut session = sidecar.session().await;
            assert_eq!((session.offer.idempotent, &*session.offer.pool), (idempotent, "api"));
            session.answer("x").await;
            call.await.expect("the call ends");
        }
    }
    a_long_upload_is_streamed_after_the_grant => {
        let mut sidecar = FakeSidecar::bind("a", None).await;
        let settings = EntrySettings { buffered_body_bytes: 1_000, ..settings() };
        let fleet = Fleet::bind("", settings, vec![sidecar.process("api")]).await;
        let (mut parts, stream) = channel(1);
        let call = fleet.send(Method::POST, "/pools/api/film", &[], BodyExt::boxed(StreamBody::new(stream)));
        let part = |byte: u8| Ok(Frame::data(Bytes::from(vec![byte; 3_000])));
        parts.send(part(b'a')).await.expect("the caller sends");
        let mut session = sidecar.session().await;
        let send_rest = async {
            for byte in b'b'..=b'z' {
                parts.send(part(byte)).await.expect("the caller sends");
            }
            drop(parts);
        };
        let ((_, body), ()) = tokio::join!(session.grant_and_read_body(), send_rest);
        let sent: Vec<u8> = (b'a'..=b'z').flat_map(|byte| vec![byte; 3_000]).collect();
        assert!(body == sent);
        session.send(head_frame(session.id(), "text/plain")).await;
        session.send(end_frame(session.id(), 0)).await;
        assert_eq!(call.await.expect("the call ends").status(), 200);
    }
    an_upload_that_stalls_after_the_grant_is_cancelled_and_reported_as_not_run => {
        let mut sidecar = FakeSidecar::bind("a", None).await;
        sidecar.set_verdict(INCARNATION, Verdict::NeverHandedOver);
        let settings = EntrySettings { buffered_body_bytes: 1_000, body_timeout: Duration::from_millis(50), ..settings() };
        let fleet = Fleet::bind("", settings, vec![sidecar.process("api")]).await;
        let (mut parts, stream) = channel(1);
        let call = fleet.send(Method::POST, "/pools/api/film", &[], BodyExt::boxed(StreamBody::new(stream)));
        parts.send(Ok(Frame::data(Bytes::from(vec![1; 3_000])))).await.expect("the caller sends");
        let mut session = sidecar.session().await;
        session.grant().await;
        assert!(matches!(session.next().await, Some(ToSidecar::Bind(_))));
        assert_refused(call.await.expect("the call ends"), 408, "not_run", "body_too_slow").await;
        assert!(sidecar.cancels.recv().await.is_some());
        assert!(sidecar.sessions.try_recv().is_err());
    }
}
