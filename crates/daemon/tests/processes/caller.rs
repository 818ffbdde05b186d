//! Calls an entry as a user's program would.

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

/// Names a request that may run once only.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Holds what a caller got.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) request_id: String,
    pub(crate) text: String,
    /// Whether the body ended as HTTP says it must.
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

    /// Returns a text of a refusal, whether it came in place of the answer or as the last event of a broken one.
    pub(crate) fn field(&self, name: &str) -> Option<String> {
        let json = self.text.rsplit("event: error\ndata: ").next()?;
        let value: serde_json::Value = serde_json::from_str(json.trim()).ok()?;
        value.get(name)?.as_str().map(str::to_owned)
    }
}

/// Calls one entry.
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

    /// Asks for a streamed answer of this many tokens, and reads it to its end.
    pub(crate) async fn stream(&self, tokens: usize) -> Answer {
        self.stream_with(tokens, &[]).await
    }

    /// Asks for a streamed answer with further headers, and reads it to its end.
    pub(crate) async fn stream_with(&self, tokens: usize, headers: &[(&str, &str)]) -> Answer {
        let (status, request_id, body) = self.begin_stream_with(tokens, headers).await;
        read_to_end(status, request_id, body).await
    }

    /// Repeats a request that did not run, as the refusal tells, until the fleet has started and one is answered.
    pub(crate) async fn until_served(&self) {
        until_run(|| self.stream(1)).await;
    }

    /// Repeats a call of the plain service that did not run, until one is answered.
    pub(crate) async fn until_posted(&self) {
        until_run(|| self.post_with(&[("x-idempotent", "true")])).await;
    }

    /// Sends small requests until an endpoint has got one of them.
    pub(crate) async fn until_reached(&self, stand_in: &StandIn) {
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

    /// Asks for a streamed answer, and returns once its head has come.
    pub(crate) async fn begin_stream(&self, tokens: usize) -> (StatusCode, String, Incoming) {
        self.begin_stream_with(tokens, &[]).await
    }

    /// Asks for a streamed answer with further headers, and returns once its head has come.
    pub(crate) async fn begin_stream_with(
        &self,
        tokens: usize,
        headers: &[(&str, &str)],
    ) -> (StatusCode, String, Incoming) {
        static PROMPTS: AtomicU64 = AtomicU64::new(0);
        // Equal prompts would all go to the endpoint that has their prefix; one under a key must be the same at a resend.
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

    /// Calls the plain service under a key, which makes the call one that may run once only.
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

    /// Resends a call under a key until the outcome of its first run is told, and returns the answer.
    pub(crate) async fn post_until_told(&self, idempotency_key: &str) -> Answer {
        let telling = async {
            loop {
                let answer = self.post_once(idempotency_key).await;
                let reason = answer.field("reason").unwrap_or_default();
                let is_told = ["already_finished", "already_failed"].contains(&&*reason);
                if is_told || answer.outcome().as_deref() != Some("not_run") {
                    return answer;
                }
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, telling)
            .await
            .expect("the outcome is told in time")
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

async fn until_run<F: Future<Output = Answer>>(ask: impl Fn() -> F) {
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
