//! The admin server of a process: `/metrics`, `/healthz`, `/readyz` and `/status`.

use std::fmt::{self, Debug};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{Limits, Server, ServerHandle};
use viz::{IntoResponse, Request, Response, Router, StatusCode};

use crate::metrics::Registry;
use crate::readiness::Readiness;

/// Size of the longest accepted request head; a scraper's head is under 1 KiB.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Most headers that a request may have; hyper answers 431 to more.
const MAX_HEADERS: usize = 64;

/// Timeout for receiving a whole head, which also limits the idle time between two requests on a connection.
///
/// Without it, a slow sender could hold a socket for ever.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Limit on the wait for unfinished responses during a stop; a metrics page takes milliseconds.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// A function that returns the value of `status` in the `/status` page.
pub type StatusSource = Arc<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Maximum number of open connections; scrapers and load balancers open a few.
const MAX_CONNECTIONS: u32 = 32;

/// A running admin server.
pub struct Admin {
    server: ServerHandle,
}

impl Debug for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Admin")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

impl Admin {
    /// Binds the address and starts to serve; `/status` shows only the readiness.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        metrics: Arc<Registry>,
        readiness: Arc<Readiness>,
    ) -> io::Result<Self> {
        let status: StatusSource = Arc::new(|| serde_json::Value::Null);
        Self::bind_with_status(address, metrics, readiness, status).await
    }

    /// Binds the address and starts to serve; `/status` shows the readiness and the value of `status`.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be bound.
    pub async fn bind_with_status(
        address: SocketAddr,
        metrics: Arc<Registry>,
        readiness: Arc<Readiness>,
        status: StatusSource,
    ) -> io::Result<Self> {
        let router = routes(metrics, readiness, status);
        // HTTP/1 only: scrapers and load balancers need no other protocol, and one protocol needs one set of limits. No handler
        // reads a body, so a connection whose body does not end at once is closed.
        let limits = Limits {
            connections: MAX_CONNECTIONS,
            header_timeout: HEAD_TIMEOUT,
            header_bytes: MAX_HEAD_BYTES,
            headers: Some(MAX_HEADERS),
            exchanges: 0,
        };
        let server = Server::bind(&address.to_string(), router, limits).await?;
        Ok(Self { server })
    }

    /// Returns the bound address, with the port that the system assigned for port 0.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Stops accepting connections, and gives unfinished responses a second to end.
    pub async fn stop(self) {
        self.server.stop(STOP_TIMEOUT).await;
    }
}

fn routes(metrics: Arc<Registry>, readiness: Arc<Readiness>, status: StatusSource) -> Router {
    let ready = Arc::clone(&readiness);
    Router::new()
        .get("/healthz", |_: Request| async {
            viz::Result::Ok("alive\n")
        })
        .get("/metrics", move |_: Request| {
            let response = metrics_page(&metrics);
            async { viz::Result::Ok(response) }
        })
        .get("/readyz", move |_: Request| {
            let response = ready_page(&ready);
            async { viz::Result::Ok(response) }
        })
        .get("/status", move |_: Request| {
            let response = status_page(&readiness, &status);
            async { viz::Result::Ok(response) }
        })
}

fn metrics_page(metrics: &Registry) -> Response {
    match metrics.page() {
        Ok(page) => with_content_type(
            "application/openmetrics-text; version=1.0.0; charset=utf-8",
            page,
        ),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

fn ready_page(readiness: &Readiness) -> Response {
    let reasons = readiness.reasons();
    if reasons.is_empty() {
        return "ready\n".into_response();
    }
    let reason_texts: Vec<_> = reasons.iter().map(|reason| reason.as_str()).collect();
    let text = format!("not ready: {}\n", reason_texts.join(", "));
    (StatusCode::SERVICE_UNAVAILABLE, text).into_response()
}

fn status_page(readiness: &Readiness, status: &StatusSource) -> Response {
    let reasons = readiness.reasons();
    let reason_texts: Vec<_> = reasons.iter().map(|reason| reason.as_str()).collect();
    let page = serde_json::json!({
        "ready": reason_texts.is_empty(),
        "not_ready": reason_texts,
        "status": status(),
    });
    with_content_type("application/json", page.to_string())
}

fn with_content_type(content_type: &'static str, body: String) -> Response {
    let mut response = body.into_response();
    let value = viz::header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(viz::header::CONTENT_TYPE, value);
    response
}
