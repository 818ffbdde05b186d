//! An HTTP client that calls an entry as a user's program would.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use hinge_fakes::stand_in::StandIn;

use crate::process::{POLL, STEP_TIMEOUT};

/// Header with the idempotency key of a request that may run only once.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The answer that a caller received.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) request_id: String,
    pub(crate) text: String,
    /// Whether the body ended properly, rather than with a broken connection.
    pub(crate) is_ended: bool,
}

impl Answer {
    /// Returns whether the stream is whole: every token of this request in order, then the end mark.
    pub(crate) fn is_whole_stream(&self, tokens: usize) -> bool {
        let has_tokens =
            (0..tokens).all(|token| self.text.contains(&format!("{}/{token} ", self.request_id)));
        self.is_ended && has_tokens && self.text.trim_end().ends_with("data: [DONE]")
    }

    /// Returns the `outcome` of a refusal.
    pub(crate) fn outcome(&self) -> Option<String> {
        self.field("outcome")
    }

    /// Returns a text field of a refusal, sent either as the whole answer or as the last event of a broken stream.
    pub(crate) fn field(&self, name: &str) -> Option<String> {
        let json = self.text.rsplit("event: error\ndata: ").next()?;
        let value: serde_json::Value = serde_json::from_str(json.trim()).ok()?;
        value.get(name)?.as_str().map(str::to_owned)
    }
}

/// A client of one entry, with a team's key.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
    entry: SocketAddr,
    key: &'static str,
}

impl Caller {
    pub(crate) fn new(entry: SocketAddr, key: &'static str) -> Self {
        Self {
            http: Client::builder(TokioExecutor::new()).build_http(),
            entry,
            key,
        }
    }

    /// Requests a streamed answer of this many tokens, and reads it to its end.
    pub(crate) async fn stream(&self, tokens: usize) -> Answer {
        self.stream_with(tokens, &[]).await
    }

    /// Requests a streamed answer with additional headers, and reads it to its end.
    pub(crate) async fn stream_with(&self, tokens: usize, headers: &[(&str, &str)]) -> Answer {
        let (status, request_id, body) = self.begin_stream_with(tokens, headers).await;
        read_to_end(status, request_id, body).await
    }

    /// Repeats a streamed request until its outcome is no longer `not_run`, which means that the fleet serves.
    pub(crate) async fn until_served(&self) {
        repeat_until_run(|| self.stream(1)).await;
    }

    /// Repeats a call of the plain service until its outcome is no longer `not_run`.
    pub(crate) async fn until_posted(&self) {
        repeat_until_run(|| self.post_with(&[("x-idempotent", "true")])).await;
    }

    /// Sends small requests until an endpoint has got one of them.
    pub(crate) async fn until_endpoint_reached(&self, stand_in: &StandIn) {
        let begun = stand_in.record().begun();
        let reaching = async {
            while stand_in.record().begun() == begun {
                self.stream(1).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, reaching)
            .await
            .expect("the endpoint is reached in time");
    }

    /// Requests a streamed answer, and returns once its head is received.
    pub(crate) async fn begin_stream(&self, tokens: usize) -> (StatusCode, String, Incoming) {
        self.begin_stream_with(tokens, &[]).await
    }

    /// Requests a streamed answer with additional headers, and returns once its head is received.
    pub(crate) async fn begin_stream_with(
        &self,
        tokens: usize,
        headers: &[(&str, &str)],
    ) -> (StatusCode, String, Incoming) {
        static PROMPTS: AtomicU64 = AtomicU64::new(0);
        // Equal prompts would all be routed to the endpoint that caches their prefix, so each prompt differs; a prompt with an
        // idempotency key stays the same, because a resend must not change the request.
        let is_keyed = headers.iter().any(|(name, _)| *name == IDEMPOTENCY_KEY);
        let prompt = if is_keyed {
            0
        } else {
            PROMPTS.fetch_add(1, Ordering::Relaxed)
        };
        let body = format!(
            r#"{{"model":"forecast-llm","stream":true,"max_tokens":{tokens},"messages":[{{"role":"user","content":"{prompt}: surf?"}}]}}"#
        );
        self.send("/v1/chat/completions", body, headers).await
    }

    /// Calls the plain service with an idempotency key, so that the call may run only once.
    pub(crate) async fn post_once(&self, idempotency_key: &str) -> Answer {
        self.post_with(&[(IDEMPOTENCY_KEY, idempotency_key)]).await
    }

    /// Calls the plain service.
    pub(crate) async fn post_with(&self, headers: &[(&str, &str)]) -> Answer {
        let (status, request_id, body) = self
            .send("/pools/surf-api/push", "push".to_owned(), headers)
            .await;
        read_to_end(status, request_id, body).await
    }

    /// Resends a call with an idempotency key until the outcome of its first run is reported, and returns that answer.
    pub(crate) async fn post_until_outcome_known(&self, idempotency_key: &str) -> Answer {
        let resending = async {
            loop {
                let answer = self.post_once(idempotency_key).await;
                let reason = answer.field("reason").unwrap_or_default();
                let is_known = ["already_finished", "already_failed"].contains(&&*reason);
                if is_known || answer.outcome().as_deref() != Some("not_run") {
                    return answer;
                }
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, resending)
            .await
            .expect("the outcome is known in time")
    }

    async fn send(
        &self,
        path: &str,
        body: String,
        headers: &[(&str, &str)],
    ) -> (StatusCode, String, Incoming) {
        let mut request = Request::post(format!("http://{}{path}", self.entry))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::from(body))
            .expect("the request is valid");
        let response = self.http.request(request).await.expect("the entry answers");
        let request_id = response.headers().get("x-request-id");
        let request_id = request_id
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        (response.status(), request_id, response.into_body())
    }
}

async fn repeat_until_run<F: Future<Output = Answer>>(ask: impl Fn() -> F) {
    let running = async {
        while ask().await.outcome().as_deref() == Some("not_run") {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, running)
        .await
        .expect("the fleet serves in time");
}

/// Reads a body to its end, or to where it breaks.
pub(crate) async fn read_to_end(
    status: StatusCode,
    request_id: String,
    mut body: Incoming,
) -> Answer {
    let mut bytes = Vec::new();
    let is_ended = loop {
        match body.frame().await {
            Some(Ok(frame)) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(_broken)) => break false,
            None => break true,
        }
    };
    Answer {
        status,
        request_id,
        text: String::from_utf8_lossy(&bytes).into_owned(),
        is_ended,
    }
}
