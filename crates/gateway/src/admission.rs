//! Requests slots from the admission beside a model engine, and follows the engine's load.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};
use std::time::Duration;

use hinge_admission::LOAD_PATH;
use hinge_clock::BootInstant;
use hinge_link::Client;
use hinge_routing::load_interval;
use hinge_schema::routing::{AdmitAsk, AdmitVerdict, AskLoad, EngineLoad};
use hinge_telemetry::log::Component;
use hinge_telemetry::{info, warn};
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::admission_stream::{AdmissionStream, SentAsk};
use crate::endpoint::Endpoint;
use crate::units::millis;

/// Longest wait for the admission's first reply to an ask (a verdict, or that it is queued). The admission is milliseconds
/// away, and a request must not wait for a dead one.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// Time beyond the ask's budget after which an admission without a verdict counts as unresponsive.
const VERDICT_MARGIN: Duration = Duration::from_millis(50);

/// Time for which an unresponsive admission is bypassed: requests go to its engine without a grant.
const BYPASS: Duration = Duration::from_secs(1);

/// Longest gap between load reports; they come at least twice a second.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1200);

/// Delay before load reports are requested again.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest age of a grant at which a request is sent whose loss can be told. An admission reports a request as lost when
/// it has been missing for nearly a second from its grant on; of a request that was sent late, that says nothing.
const MAX_GRANT_AGE: Duration = Duration::from_millis(400);

/// How to reach the admissions.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionAccess {
    /// Port of the admissions, at the addresses of their engines.
    pub(crate) port: u16,
    pub(crate) client: Client,
    /// Length of each of the two waits for the rest of an answer that an engine no longer works on.
    pub(crate) lost_grace: Duration,
}

/// A client of the admission beside one endpoint.
#[derive(Debug)]
pub(crate) struct AdmissionClient {
    socket_address: SocketAddr,
    /// The same as text.
    address: Box<str>,
    access: AdmissionAccess,
    stream: AsyncMutex<Option<Arc<AdmissionStream>>>,
    bypassed_until: Mutex<Option<BootInstant>>,
    feed: OnceLock<JoinHandle<()>>,
}

/// The outcome of an ask.
#[derive(Debug)]
pub(crate) enum AskOutcome {
    /// The request may be sent; dropping the grant frees the slot.
    Granted(Grant),
    /// The admission was not asked or did not reply; the request may be sent all the same.
    Unasked,
    /// The request can't start within its budget.
    Refused(Told),
    /// The engine has ended, so nothing is granted there.
    EngineGone,
    /// The data centre of the endpoint was evacuated while the request waited.
    Evacuated,
}

/// When the caller of a refused request is to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Told {
    pub(crate) retry_after: Duration,
    /// Whether the admission keeps a place for it then.
    pub(crate) is_promised: bool,
}

impl Told {
    /// Returns which of two admissions' times the caller is told: a promised one, then the earlier.
    pub(crate) fn or(self, other: Self) -> Self {
        let order = |told: &Self| (!told.is_promised, told.retry_after);
        std::cmp::min_by_key(self, other, order)
    }
}

/// A granted slot, which dropping it frees.
#[derive(Debug)]
pub(crate) struct Grant {
    /// Dropping it releases the slot.
    sent_ask: SentAsk,
    /// Whether the admission has reported that the engine no longer runs the request.
    is_lost: bool,
    /// Whether the request was sent so late that a reported loss may precede its arrival.
    was_sent_late: bool,
    /// Earliest time at which the slot can have been granted.
    granted_after: BootInstant,
    lost_grace: Duration,
    pub(crate) waited_ms: u64,
    pub(crate) ahead_tokens: u32,
}

impl Grant {
    pub(crate) fn new(
        sent_ask: SentAsk,
        verdict: &AdmitVerdict,
        asked_at: BootInstant,
        lost_grace: Duration,
    ) -> Self {
        Self {
            sent_ask,
            is_lost: false,
            was_sent_late: false,
            granted_after: asked_at + Duration::from_millis(verdict.wait_ms),
            lost_grace,
            waited_ms: verdict.wait_ms,
            ahead_tokens: verdict.ahead_tokens,
        }
    }

    /// Returns the longest time that can have passed since the grant.
    pub(crate) fn age(&self) -> Duration {
        self.granted_after.elapsed()
    }

    /// Records when the request is sent.
    pub(crate) fn record_sent(&mut self, now: BootInstant) {
        self.was_sent_late = now.saturating_duration_since(self.granted_after) > MAX_GRANT_AGE;
    }

    /// Waits until the admission reports that the engine no longer runs the request, then for a grace period.
    ///
    /// The end of the answer may already be in the socket buffer: a gateway short of CPU time reads it late, and an answer that
    /// is ready is passed on. The wait is split in two so that the runtime polls the socket after the first one, however late
    /// that one ends.
    ///
    /// Never returns for a request that was sent late: the engine may have begun it after the report.
    pub(crate) async fn wait_until_lost(&mut self) {
        if self.was_sent_late {
            std::future::pending::<()>().await;
        }
        if !self.is_lost {
            self.sent_ask.wait_until_lost().await;
            self.is_lost = true;
        }
        sleep(self.lost_grace).await;
        sleep(self.lost_grace).await;
    }

    /// Tells the admission that the prompt has been prefilled.
    pub(crate) fn report_prefilled(&self) {
        self.sent_ask.report_prefilled();
    }
}

impl AdmissionClient {
    pub(crate) fn new(endpoint: SocketAddr, access: AdmissionAccess) -> Self {
        let socket_address = SocketAddr::new(endpoint.ip(), access.port);
        Self {
            socket_address,
            address: socket_address.to_string().into(),
            access,
            stream: AsyncMutex::default(),
            bypassed_until: Mutex::default(),
            feed: OnceLock::new(),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.socket_address
    }

    /// Requests a slot at the endpoint, and waits for the verdict.
    pub(crate) async fn ask(&self, endpoint: &Endpoint, ask: AdmitAsk) -> AskOutcome {
        let request_id = ask.request_id.clone();
        let Some(stream) = self.stream(&request_id).await else {
            return AskOutcome::Unasked;
        };
        let wait = Duration::from_millis(ask.budget_ms) + VERDICT_MARGIN;
        let asked_at = BootInstant::now();
        let mut sent_ask = stream.ask(ask);
        let Some(verdict) = wait_for_verdict(&mut sent_ask, wait).await else {
            self.bypass(&request_id);
            return AskOutcome::Unasked;
        };
        endpoint.record_admission_load(&verdict.load);
        let is_gone = !verdict.granted && verdict.load.engine_is_gone == Some(true);
        if is_gone || endpoint.has_restarted() {
            return AskOutcome::EngineGone;
        }
        if !verdict.granted {
            return AskOutcome::Refused(Told {
                retry_after: Duration::from_millis(verdict.retry_after_ms),
                is_promised: verdict.is_promised == Some(true),
            });
        }
        let lost_grace = self.access.lost_grace;
        AskOutcome::Granted(Grant::new(sent_ask, &verdict, asked_at, lost_grace))
    }

    /// Returns the open stream, or opens one; `None` while the admission is bypassed.
    async fn stream(&self, request_id: &str) -> Option<Arc<AdmissionStream>> {
        // The lock is held while the stream opens: concurrent callers share it, or bypass the admission together if it fails.
        let mut stream = self.stream.lock().await;
        if self.is_bypassed() {
            return None;
        }
        if let Some(open) = stream.as_ref().filter(|stream| !stream.is_closed()) {
            return Some(Arc::clone(open));
        }
        let client = &self.access.client;
        let opened = AdmissionStream::open(client, &self.address, FIRST_REPLY_TIMEOUT).await;
        let Ok(opened) = opened else {
            self.bypass(request_id);
            return None;
        };
        let opened = Arc::new(opened);
        *stream = Some(Arc::clone(&opened));
        Some(opened)
    }

    fn is_bypassed(&self) -> bool {
        let bypassed = self.bypassed_until.lock();
        let bypassed = bypassed.unwrap_or_else(PoisonError::into_inner);
        bypassed.is_some_and(|until| BootInstant::now() < until)
    }

    fn bypass(&self, request_id: &str) {
        let bypassed = self.bypassed_until.lock();
        *bypassed.unwrap_or_else(PoisonError::into_inner) = Some(BootInstant::now() + BYPASS);
        warn!(
            Component::Gateway,
            "An admission does not reply; requests go to its engine without a grant.",
            address = self.address,
            id = request_id,
            skip_ms = BYPASS.as_millis()
        );
    }

    /// Starts to follow the engine's load, on the first call; stops when the endpoint is dropped.
    ///
    /// The interval of the reports depends on the number of engines and on the data centre.
    pub(crate) fn follow(&self, endpoint: &Arc<Endpoint>, engines: usize, data_center: &str) {
        self.feed.get_or_init(|| {
            let feed = LoadFeed {
                client: self.access.client.clone(),
                address: self.address.clone(),
                endpoint: Arc::downgrade(endpoint),
                interval: load_interval(engines, endpoint.is_in(data_center)),
            };
            tokio::spawn(feed.run())
        });
    }
}

/// Waits for the verdict; an ask that is not reported as queued in time gets none.
async fn wait_for_verdict(sent_ask: &mut SentAsk, wait: Duration) -> Option<AdmitVerdict> {
    match timeout(FIRST_REPLY_TIMEOUT, sent_ask.verdict()).await {
        Ok(verdict) => verdict,
        Err(_elapsed) if sent_ask.is_queued() => timeout(wait, sent_ask.verdict()).await.ok()?,
        Err(_elapsed) => None,
    }
}

impl Drop for AdmissionClient {
    fn drop(&mut self) {
        if let Some(feed) = self.feed.get() {
            feed.abort();
        }
    }
}

/// A subscription to the load of one engine.
struct LoadFeed {
    client: Client,
    address: Box<str>,
    endpoint: Weak<Endpoint>,
    interval: Duration,
}

impl LoadFeed {
    async fn run(self) {
        let mut is_followed = false;
        loop {
            self.follow_once(&mut is_followed).await;
            if is_followed {
                warn!(
                    Component::Gateway,
                    "Lost the load reports of an admission.",
                    address = self.address
                );
            }
            is_followed = false;
            if self.endpoint.strong_count() == 0 {
                return;
            }
            sleep(LOAD_RETRY_DELAY).await;
        }
    }

    /// Follows the load until the exchange ends or no report comes in time.
    async fn follow_once(&self, is_followed: &mut bool) {
        let ask = AskLoad {
            instance: Box::default(),
            interval_ms: millis(self.interval),
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
                    Component::Gateway,
                    "Following the load reports of an admission.",
                    address = self.address,
                    endpoint = endpoint.description.id,
                    interval_ms = self.interval.as_millis()
                );
            }
            *is_followed = true;
            endpoint.record_admission_load(&load);
        }
    }
}
