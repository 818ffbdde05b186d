//! A client that calls an entry as a team's program would.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A client of one entry; clones share its connections.
#[derive(Debug, Clone)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
    entry: SocketAddr,
}

/// Outcome of a request with a streamed answer.
#[derive(Debug, Clone, Copy)]
pub struct Answered {
    /// HTTP status.
    pub status: StatusCode,
    /// Time that the caller must wait before it retries after a refusal; zero after an answer.
    pub retry_after: Duration,
    /// Bytes of the body.
    pub body_bytes: usize,
}

impl Caller {
    /// Creates a caller of an entry.
    #[must_use]
    pub fn new(entry: SocketAddr) -> Self {
        Self {
            http: Client::builder(TokioExecutor::new()).build_http(),
            entry,
        }
    }

    /// Requests a streamed answer of some tokens as a team, and reads it to the end.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks or the answer is truncated.
    pub async fn stream(&self, team: u32, model: &str, tokens: u32) -> Result<Answered> {
        let body = format!(
            r#"{{"model":"{model}","stream":true,"max_tokens":{tokens},"messages":[{{"role":"user","content":"surf?"}}]}}"#
        );
        let request = Request::post(format!("http://{}/v1/chat/completions", self.entry))
            .header(
                "authorization",
                format!("Bearer {}", crate::config_files::caller_key(team)),
            )
            .header("content-type", "application/json")
            .body(Full::from(body))?;
        let response = self.http.request(request).await?;
        let status = response.status();
        let retry_after = response.headers().get(RETRY_AFTER);
        let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        let body_bytes = response.into_body().collect().await?.to_bytes().len();
        Ok(Answered {
            status,
            retry_after: Duration::from_secs(retry_after.unwrap_or_default()),
            body_bytes,
        })
    }

    /// Repeats a short request until the fleet serves it.
    ///
    /// # Errors
    ///
    /// Returns the last refusal when none is served in time.
    pub async fn wait_until_served(&self, model: &str) -> Result<()> {
        let mut last = None;
        for _ in 0..300 {
            match self.stream(0, model, 1).await {
                Ok(summary) if summary.status == StatusCode::OK => return Ok(()),
                other => last = Some(other),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        anyhow::bail!("no request was served: {last:?}")
    }
}
