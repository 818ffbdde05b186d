//! Asks the admission beside a model engine for a place, and follows its load.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};
use std::time::Duration;

use hinge_admission::{ADMIT_PATH, LOAD_PATH};
use hinge_link::{Client, Exchange};
use hinge_routing::load_interval;
use hinge_schema::routing::{AdmitAsk, AdmitLost, AdmitNote, AdmitVerdict, AskLoad, EngineLoad};
use hinge_telemetry::log::Part;
use hinge_telemetry::{info, warn};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::endpoint::Endpoint;

/// Longest wait for the admission to take an ask; it is milliseconds away, and a request must not wait for a dead one.
const OPEN_TIMEOUT: Duration = Duration::from_millis(150);

/// How much longer than the budget a verdict may take before the admission counts as silent.
const VERDICT_MARGIN: Duration = Duration::from_millis(50);

/// Time for which an admission that did not answer is not asked; requests go to its engine unasked.
const SKIP: Duration = Duration::from_secs(1);

/// Longest time without word of the load; it is told twice a second at least.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1200);

/// Wait before the load is asked for again.
const LOAD_RETRY: Duration = Duration::from_millis(500);

/// Says how the admissions are reached.
#[derive(Debug, Clone)]
pub(crate) struct Ways {
    /// Their port, at the addresses of their engines.
    pub(crate) port: u16,
    pub(crate) client: Client,
    /// Each of two waits for the rest of an answer that an engine no longer works on.
    pub(crate) lost_grace: Duration,
}

/// Reaches the admission beside one endpoint.
#[derive(Debug)]
pub(crate) struct Admitter {
    address: Box<str>,
    ways: Ways,
    skipped_until: Mutex<Option<Instant>>,
    feed: OnceLock<JoinHandle<()>>,
}

/// Says what the admission said.
#[derive(Debug)]
pub(crate) enum Admitted {
    /// The request may be sent; the place is held until the value is dropped.
    Granted(Place),
    /// The admission did not answer; the request may be sent all the same.
    Unasked,
    /// The request can't be on time.
    Refused { retry_after: Duration },
}

/// Holds a granted place.
#[derive(Debug)]
pub(crate) struct Place {
    /// Both directions stay open for as long as the request runs; their end gives the place back.
    exchange: Exchange,
    /// Whether the admission has said that the engine does not run the request any more.
    is_lost: bool,
    lost_grace: Duration,
    pub(crate) waited_ms: u64,
    pub(crate) ahead_tokens: u32,
}

impl Place {
    /// Waits until the admission says that the engine does not run the request any more, and a while longer.
    ///
    /// The end of an answer may be here already: a gateway that is short of processor time reads it late, and an answer that
    /// is ready is passed on. Its bytes come into view with the first of two waits, however late that ends.
    pub(crate) async fn lost(&mut self) {
        if !self.is_lost {
            match self.exchange.reader.next::<AdmitLost>().await {
                Ok(Some(_lost)) => self.is_lost = true,
                // An admission that is gone says nothing about the request.
                Ok(None) | Err(_) => std::future::pending().await,
            }
        }
        sleep(self.lost_grace).await;
        sleep(self.lost_grace).await;
    }

    /// Tells the admission that the prompt is read.
    pub(crate) fn began(&self) {
        // A full or broken exchange only makes the admission think longer that the engine reads.
        let _told = self
            .exchange
            .sender
            .try_send(&AdmitNote { has_begun: true });
    }
}

impl Admitter {
    pub(crate) fn new(endpoint: SocketAddr, ways: Ways) -> Self {
        Self {
            address: SocketAddr::new(endpoint.ip(), ways.port).to_string().into(),
            ways,
            skipped_until: Mutex::default(),
            feed: OnceLock::new(),
        }
    }

    /// Asks for a place at the endpoint, and waits for the verdict.
    pub(crate) async fn ask(&self, endpoint: &Endpoint, ask: &AdmitAsk) -> Admitted {
        if self.is_skipped() {
            return Admitted::Unasked;
        }
        if let Some(admitted) = self.asked(endpoint, ask).await {
            return admitted;
        }
        self.skip(ask);
        Admitted::Unasked
    }

    async fn asked(&self, endpoint: &Endpoint, ask: &AdmitAsk) -> Option<Admitted> {
        let client = &self.ways.client;
        let opened = client.open_with(&self.address, ADMIT_PATH, ask, OPEN_TIMEOUT);
        let mut exchange = opened.await.ok()?;
        let wait = Duration::from_millis(ask.budget_ms) + VERDICT_MARGIN;
        let verdict = timeout(wait, exchange.reader.next::<AdmitVerdict>());
        let verdict = verdict.await.ok()?.ok()??;
        endpoint.saw_engine_load(&verdict.load);
        if !verdict.granted {
            let retry_after = Duration::from_millis(verdict.retry_after_ms);
            return Some(Admitted::Refused { retry_after });
        }
        Some(Admitted::Granted(Place {
            exchange,
            is_lost: false,
            lost_grace: self.ways.lost_grace,
            waited_ms: verdict.wait_ms,
            ahead_tokens: verdict.ahead_tokens,
        }))
    }

    fn is_skipped(&self) -> bool {
        let skipped = self.skipped_until.lock();
        let skipped = skipped.unwrap_or_else(PoisonError::into_inner);
        skipped.is_some_and(|until| Instant::now() < until)
    }

    fn skip(&self, ask: &AdmitAsk) {
        let skipped = self.skipped_until.lock();
        *skipped.unwrap_or_else(PoisonError::into_inner) = Some(Instant::now() + SKIP);
        warn!(
            Part::Gateway,
            "An admission does not answer; its engine gets requests unasked.",
            address = self.address,
            id = ask.request_id,
            skip_ms = SKIP.as_millis()
        );
    }

    /// Follows the load for as long as the endpoint is known, one of some engines; the first call starts it.
    pub(crate) fn follow(&self, endpoint: &Arc<Endpoint>, engines: usize, data_center: &str) {
        self.feed.get_or_init(|| {
            let feed = Feed {
                client: self.ways.client.clone(),
                address: self.address.clone(),
                endpoint: Arc::downgrade(endpoint),
                interval: load_interval(engines, endpoint.is_in(data_center)),
            };
            tokio::spawn(feed.run())
        });
    }
}

impl Drop for Admitter {
    fn drop(&mut self) {
        if let Some(feed) = self.feed.get() {
            feed.abort();
        }
    }
}

/// Follows the load of one engine.
struct Feed {
    client: Client,
    address: Box<str>,
    endpoint: Weak<Endpoint>,
    interval: Duration,
}

impl Feed {
    async fn run(self) {
        let mut is_followed = false;
        loop {
            self.follow_once(&mut is_followed).await;
            if is_followed {
                warn!(
                    Part::Gateway,
                    "Lost the load of an admission.",
                    address = self.address
                );
            }
            is_followed = false;
            if self.endpoint.strong_count() == 0 {
                return;
            }
            sleep(LOAD_RETRY).await;
        }
    }

    /// Follows the load until the exchange ends or falls silent.
    async fn follow_once(&self, is_followed: &mut bool) {
        let ask = AskLoad {
            instance: Box::default(),
            interval_ms: u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX),
        };
        let opened = self
            .client
            .open_with(&self.address, LOAD_PATH, &ask, LOAD_TIMEOUT);
        let Ok(mut exchange) = opened.await else {
            return;
        };
        while let Ok(Ok(Some(load))) =
            timeout(LOAD_TIMEOUT, exchange.reader.next::<EngineLoad>()).await
        {
            let Some(endpoint) = self.endpoint.upgrade() else {
                return;
            };
            if !*is_followed {
                info!(
                    Part::Gateway,
                    "Following the load of an admission.",
                    address = self.address,
                    endpoint = endpoint.described.id,
                    interval_ms = self.interval.as_millis()
                );
            }
            *is_followed = true;
            endpoint.saw_engine_load(&load);
        }
    }
}
