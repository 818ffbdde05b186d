//! Tests that the stand-in answers, fails on demand, and records what ran.

use std::time::Duration;

use bytes::Bytes;
use hinge_cases::async_cases;
use hinge_fakes::stand_in::{Fault, StandIn, StandInSettings};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

async fn bind_stand_in() -> StandIn {
    StandIn::bind(StandInSettings::default())
        .await
        .expect("a free port exists")
}

/// Sends one request over a new connection.
async fn send(stand_in: &StandIn, path: &str, body: &str) -> Response<Incoming> {
    let stream = TcpStream::connect(stand_in.local_address()).await;
    let stream = stream.expect("the stand-in listens");
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.expect("the handshake needs no bytes");
    tokio::spawn(connection);
    let request = Request::post(path)
        .header("x-request-id", "r1")
        .header("host", "stand-in");
    let request = request.body(Full::new(Bytes::from(body.to_owned())));
    let request = request.expect("the request is valid");
    sender
        .send_request(request)
        .await
        .expect("the stand-in answers")
}

async fn text(response: Response<Incoming>) -> String {
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the body is whole");
    String::from_utf8(body.to_bytes().to_vec()).expect("the body is text")
}

async_cases! { real
    a_streamed_answer_has_tokens_usage_and_end_marker => {
        let stand_in = bind_stand_in().await;
        let answer = text(send(&stand_in, "/v1/chat/completions", r#"{"stream":true,"max_tokens":3}"#).await).await;
        assert_eq!(answer.matches("delta").count(), 3);
        assert!(answer.contains(r#""completion_tokens":3"#));
        assert!(answer.ends_with("data: [DONE]\n\n"));
    }
    an_unstreamed_answer_has_usage => {
        let stand_in = bind_stand_in().await;
        let answer = text(send(&stand_in, "/v1/completions", r#"{"max_tokens":2}"#).await).await;
        let answer: Value = serde_json::from_str(&answer).expect("the answer is JSON");
        assert_eq!(answer["choices"][0]["text"], "r1/0 r1/1 ");
        assert_eq!(answer["usage"]["completion_tokens"], 2);
    }
    other_paths_are_a_plain_service => {
        let stand_in = bind_stand_in().await;
        let answer = text(send(&stand_in, "/push/text", "hello").await).await;
        assert_eq!(answer, r#"{"body_bytes":5,"method":"POST","path":"/push/text"}"#);
        let record = stand_in.wait_until(|record| record.completed() == 1).await;
        assert_eq!(record.requests["r1"].begun, 1);
    }
    a_status_fault_runs_nothing => {
        let stand_in = bind_stand_in().await;
        stand_in.set_fault(Some(Fault::Status { status: 503 }));
        assert_eq!(send(&stand_in, "/push", "").await.status(), 503);
        assert_eq!(stand_in.record().begun(), 0);
    }
    a_cut_answer_resets_the_connection => {
        let stand_in = bind_stand_in().await;
        stand_in.set_fault(Some(Fault::Cut { after_bytes: 5 }));
        let response = send(&stand_in, "/push", "").await;
        let body = response.into_body().collect().await;
        body.expect_err("the body is cut");
        assert_eq!((stand_in.record().begun(), stand_in.record().completed()), (1, 0));
    }
    a_crossed_answer_names_another_request => {
        let stand_in = bind_stand_in().await;
        stand_in.set_fault(Some(Fault::Crossed));
        assert_eq!(send(&stand_in, "/push", "").await.headers()["x-request-id"], "r1-other");
    }
    a_hanging_request_ends_when_its_caller_disconnects => {
        let stand_in = bind_stand_in().await;
        stand_in.set_fault(Some(Fault::Hang));
        {
            let response = send(&stand_in, "/push", "");
            tokio::pin!(response);
            tokio::select! {
                _ = &mut response => panic!("a hanging stand-in does not answer"),
                record = stand_in.wait_until(|record| record.running == 1) => assert_eq!(record.begun(), 1),
            }
        }
        stand_in.wait_until(|record| record.running == 0).await;
        assert!(stand_in.stop(Duration::from_secs(30)).await);
    }
}
