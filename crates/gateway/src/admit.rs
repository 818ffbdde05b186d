//! Asks the admission beside a model engine for a place, and follows its load.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};
use std::time::Duration;

use hinge_admission::LOAD_PATH;
use hinge_link::Client;
use hinge_routing::load_interval;
use hinge_schema::routing::{AdmitAsk, AdmitVerdict, AskLoad, EngineLoad};
use hinge_telemetry::log::Part;
use hinge_telemetry::{info, warn};
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::endpoint::Endpoint;
use crate::line::{Asked, Line};

/// Longest wait for the admission's first word of an ask, the verdict or that it is queued; it is milliseconds away, and a
/// request must not wait for a dead one.
const FIRST_WORD_TIMEOUT: Duration = Duration::from_millis(150);

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
    line: AsyncMutex<Option<Arc<Line>>>,
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
    /// The engine is gone, so that nothing is granted there.
    EngineGone,
}

/// Holds a granted place.
#[derive(Debug)]
pub(crate) struct Place {
    /// Its end gives the place back.
    asked: Asked,
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
            self.asked.lost().await;
            self.is_lost = true;
        }
        sleep(self.lost_grace).await;
        sleep(self.lost_grace).await;
    }

    /// Tells the admission that the prompt is read.
    pub(crate) fn began(&self) {
        self.asked.began();
    }
}

impl Admitter {
    pub(crate) fn new(endpoint: SocketAddr, ways: Ways) -> Self {
        Self {
            address: SocketAddr::new(endpoint.ip(), ways.port).to_string().into(),
            ways,
            line: AsyncMutex::default(),
            skipped_until: Mutex::default(),
            feed: OnceLock::new(),
        }
    }

    /// Asks for a place at the endpoint, and waits for the verdict.
    pub(crate) async fn ask(&self, endpoint: &Endpoint, ask: AdmitAsk) -> Admitted {
        let request_id = ask.request_id.clone();
        let Some(line) = self.line(&request_id).await else {
            return Admitted::Unasked;
        };
        let wait = Duration::from_millis(ask.budget_ms) + VERDICT_MARGIN;
        let mut asked = line.ask(ask);
        let Some(verdict) = verdict_of(&mut asked, wait).await else {
            self.skip(&request_id);
            return Admitted::Unasked;
        };
        endpoint.saw_engine_load(&verdict.load);
        if !verdict.granted && verdict.load.engine_is_gone == Some(true) {
            return Admitted::EngineGone;
        }
        if !verdict.granted {
            let retry_after = Duration::from_millis(verdict.retry_after_ms);
            return Admitted::Refused { retry_after };
        }
        Admitted::Granted(Place {
            asked,
            is_lost: false,
            lost_grace: self.ways.lost_grace,
            waited_ms: verdict.wait_ms,
            ahead_tokens: verdict.ahead_tokens,
        })
    }

    /// Returns the open line, or opens one; none while the admission is skipped.
    async fn line(&self, request_id: &str) -> Option<Arc<Line>> {
        // Those who come while it is opened wait for the same one, and skip the admission with the first if it fails.
        let mut line = self.line.lock().await;
        if self.is_skipped() {
            return None;
        }
        if let Some(open) = line.as_ref().filter(|line| !line.is_closed()) {
            return Some(Arc::clone(open));
        }
        let client = &self.ways.client;
        let opened = Line::open(client, &self.address, FIRST_WORD_TIMEOUT).await;
        let Ok(opened) = opened else {
            self.skip(request_id);
            return None;
        };
        let opened = Arc::new(opened);
        *line = Some(Arc::clone(&opened));
        Some(opened)
    }

    fn is_skipped(&self) -> bool {
        let skipped = self.skipped_until.lock();
        let skipped = skipped.unwrap_or_else(PoisonError::into_inner);
        skipped.is_some_and(|until| Instant::now() < until)
    }

    fn skip(&self, request_id: &str) {
        let skipped = self.skipped_until.lock();
        *skipped.unwrap_or_else(PoisonError::into_inner) = Some(Instant::now() + SKIP);
        warn!(
            Part::Gateway,
            "An admission does not answer; its engine gets requests unasked.",
            address = self.address,
            id = request_id,
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

/// Waits for the verdict, or for a while without any word.
async fn verdict_of(asked: &mut Asked, wait: Duration) -> Option<AdmitVerdict> {
    match timeout(FIRST_WORD_TIMEOUT, asked.verdict()).await {
        Ok(verdict) => verdict,
        Err(_elapsed) if asked.is_queued() => timeout(wait, asked.verdict()).await.ok()?,
        Err(_elapsed) => None,
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
