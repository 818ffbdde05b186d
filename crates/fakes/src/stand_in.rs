//! A test double of an endpoint: a model engine with an OpenAI-style interface, and a plain service on every other path.
//!
//! It records what ran by the `x-request-id` header, so that a test can check a claim that a request did not run. Faults
//! can be switched on and off while it runs.

mod answers;
mod faults;
mod orders;
mod record;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{Limits, Server, ServerHandle};
use tokio::sync::Semaphore;
use viz::{Request, Router};

pub use faults::Fault;
pub use orders::AdminOrder;
pub use record::{Record, RunRecord};

use faults::Faults;
use orders::Orders;
use record::Records;

/// Settings of a stand-in.
#[derive(Debug, Clone)]
pub struct StandInSettings {
    /// Address and port to listen on; port 0 lets the system choose.
    pub listen: Box<str>,
    /// Most requests that run at once; further ones wait inside the stand-in.
    pub slots: u32,
    /// Tokens that one request generates per second; 0 means no pause between tokens.
    pub tokens_per_second: u32,
    /// Time from the start of a run to the head of its response.
    pub first_token: Duration,
    /// Size of the KV cache that `/load` reports, in tokens.
    pub kv_tokens: u64,
    /// Tokens that are generated when the request sets no `max_tokens`.
    pub default_tokens: u32,
    /// Time for which `/load` repeats the same figures; those of a real engine lag as well.
    pub load_lag: Duration,
    /// Whether an order with an outdated fencing token is refused; some engines ignore the token.
    pub checks_fence: bool,
    /// Fault that is set from the start.
    pub fault: Option<Fault>,
}

impl Default for StandInSettings {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".into(),
            slots: 8,
            tokens_per_second: 0,
            first_token: Duration::ZERO,
            kv_tokens: 100_000,
            default_tokens: 16,
            load_lag: Duration::ZERO,
            checks_fence: true,
            fault: None,
        }
    }
}

/// State that the handlers of all paths share.
#[derive(Debug)]
struct Shared {
    settings: StandInSettings,
    slots: Semaphore,
    records: Records,
    faults: Faults,
    orders: Orders,
}

/// A running stand-in.
#[derive(Debug)]
pub struct StandIn {
    shared: Arc<Shared>,
    server: ServerHandle,
}

impl StandIn {
    /// Binds the address and starts to serve.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be bound.
    pub async fn bind(settings: StandInSettings) -> io::Result<Self> {
        let listen = settings.listen.clone();
        let shared = Arc::new(Shared {
            slots: Semaphore::new(settings.slots as usize),
            records: Records::default(),
            faults: Faults::new(settings.fault),
            orders: Orders::new(settings.checks_fence),
            settings,
        });
        let server = Server::bind(&listen, routes(&shared), Limits::default()).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address that was bound.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Sets the fault that later requests meet, or none.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.shared.faults.set(fault);
    }

    /// Returns the record of what has run so far.
    #[must_use]
    pub fn record(&self) -> Record {
        self.shared.records.snapshot()
    }

    /// Waits until the record satisfies the condition, and returns it.
    pub async fn wait_until(&self, condition: impl Fn(&Record) -> bool) -> Record {
        self.shared.records.wait_until(condition).await
    }

    /// Returns the orders that were carried out, oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<AdminOrder> {
        self.shared.orders.done()
    }

    /// Stops accepting connections, lets open requests end, and returns whether all ended before the deadline.
    pub async fn stop(self, deadline: Duration) -> bool {
        self.server.stop(deadline).await
    }
}

fn routes(shared: &Arc<Shared>) -> Router {
    let load_shared = Arc::clone(shared);
    let record_shared = Arc::clone(shared);
    let order_shared = Arc::clone(shared);
    let chat_shared = Arc::clone(shared);
    let text_shared = Arc::clone(shared);
    let plain_shared = Arc::clone(shared);
    Router::new()
        .get("/load", move |_: Request| {
            let page = load_shared.records.load(&load_shared.settings);
            async move { viz::Result::Ok(answers::json(&page)) }
        })
        .get("/record", move |_: Request| {
            let page = record_shared.records.snapshot();
            async move { viz::Result::Ok(answers::json(&page)) }
        })
        .post("/admin/order", move |request: Request| {
            let shared = Arc::clone(&order_shared);
            async move { orders::handle(&shared, request).await }
        })
        .post("/v1/chat/completions", move |request: Request| {
            let shared = Arc::clone(&chat_shared);
            async move { answers::serve(shared, request, answers::Style::Chat).await }
        })
        .post("/v1/completions", move |request: Request| {
            let shared = Arc::clone(&text_shared);
            async move { answers::serve(shared, request, answers::Style::Text).await }
        })
        .any("/*", move |request: Request| {
            let shared = Arc::clone(&plain_shared);
            async move { answers::serve(shared, request, answers::Style::Plain).await }
        })
}
