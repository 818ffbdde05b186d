//! Metrics of an entry.

use std::sync::Arc;
use std::time::Duration;

use hinge_outcome::Outcome;
use hinge_schema::messages::UrgencyClass;
use hinge_telemetry::metrics::{HistogramFamily, LATENCY_SECONDS, Registry, TeamLabels};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use smallvec::SmallVec;

use crate::refusal::Refusal;

/// Histogram buckets for the number of offers per request.
const OFFERS: &[f64] = &[1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0, 16.0, 32.0, 64.0];

/// Gaps that a request buffers before it writes them to the shared histogram.
const MAX_BUFFERED_GAPS: usize = 64;

/// Labels of a request's outcome; values that were not yet known are empty.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    team: Arc<str>,
    class: &'static str,
    pool: Arc<str>,
    outcome: &'static str,
    reason: &'static str,
}

/// Labels of the latency histograms.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TimeLabels {
    class: &'static str,
    pool: Arc<str>,
}

/// The labels of a request, as far as they are known.
#[derive(Debug, Clone, Default)]
pub struct RequestLabels {
    team: Arc<str>,
    class: Option<UrgencyClass>,
    pool: Arc<str>,
}

impl RequestLabels {
    /// Sets the team and the class.
    pub fn set_sender(&mut self, metrics: &Metrics, team: &str, class: UrgencyClass) {
        self.team = metrics.team_labels.label(team);
        self.class = Some(class);
    }

    /// Sets the pool, which must be one of the configuration.
    pub fn set_pool(&mut self, pool: &str) {
        self.pool = pool.into();
    }

    fn class(&self) -> &'static str {
        match self.class {
            Some(UrgencyClass::Urgent) => "urgent",
            Some(UrgencyClass::Standard) => "standard",
            Some(UrgencyClass::Batch) => "batch",
            None => "",
        }
    }
}

/// The metrics of an entry.
#[derive(Debug, Clone)]
pub struct Metrics {
    ends: Family<EndLabels, Counter>,
    offers: Histogram,
    grants_lost: Counter,
    retries: Counter,
    resumes: Counter,
    ejections: Counter,
    waits: HistogramFamily<TimeLabels>,
    first_bytes: HistogramFamily<TimeLabels>,
    gaps: HistogramFamily<TimeLabels>,
    team_labels: Arc<TeamLabels>,
    answer_bytes: Counter,
    /// Requests that have not ended.
    pub open: Gauge,
    waiting: Gauge,
}

impl Metrics {
    /// Registers the metrics.
    #[must_use]
    pub fn register(registry: &Registry) -> Self {
        Self {
            ends: registry.counters("entry_requests", "Requests by sender, outcome and reason."),
            offers: registry.histogram("entry_offers", "Offers made for each request.", OFFERS),
            grants_lost: registry.counter(
                "entry_grants_lost",
                "Grants that came when the request was bound elsewhere.",
            ),
            retries: registry.counter("entry_retries", "Attempts beyond the first."),
            resumes: registry.counter("entry_resumes", "Answers that were resumed after a break."),
            ejections: registry.counter("entry_ejections", "Sidecars ejected by their outcomes."),
            waits: registry.histograms(
                "entry_wait_seconds",
                "Time from a request's arrival to its grant.",
                LATENCY_SECONDS,
            ),
            first_bytes: registry.histograms(
                "entry_first_byte_seconds",
                "Time from a request's arrival to the first bytes of its answer.",
                LATENCY_SECONDS,
            ),
            gaps: registry.histograms(
                "entry_between_chunks_seconds",
                "Time between two writes of one answer.",
                LATENCY_SECONDS,
            ),
            team_labels: Arc::default(),
            answer_bytes: registry.counter("entry_answer_bytes", "Bytes of answers sent."),
            open: registry.gauge("entry_open_requests", "Requests that have not ended."),
            waiting: registry.gauge("entry_waiting_requests", "Requests that wait for a slot."),
        }
    }

    /// Counts a request that was refused before it was offered.
    pub fn count_refusal(&self, request_labels: &RequestLabels, refusal: &Refusal) {
        self.count_end(request_labels, refusal.certainty.as_str(), refusal.reason);
    }

    fn count_end(
        &self,
        request_labels: &RequestLabels,
        outcome: &'static str,
        reason: &'static str,
    ) {
        let labels = EndLabels {
            team: Arc::clone(&request_labels.team),
            class: request_labels.class(),
            pool: Arc::clone(&request_labels.pool),
            outcome,
            reason,
        };
        self.ends.get_or_create(&labels).inc();
    }

    /// Returns the metrics of one request, looked up once, as its answer may have many parts.
    #[must_use]
    pub fn request_metrics(&self, request_labels: RequestLabels) -> RequestMetrics {
        let labels = TimeLabels {
            class: request_labels.class(),
            pool: Arc::clone(&request_labels.pool),
        };
        RequestMetrics {
            wait: self.waits.get_or_create(&labels).clone(),
            first_byte: self.first_bytes.get_or_create(&labels).clone(),
            gaps: self.gaps.get_or_create(&labels).clone(),
            request_labels,
        }
    }

    /// Sets the number of waiting requests.
    pub fn set_waiting(&self, waiting: u32) {
        self.waiting.set(i64::from(waiting));
    }

    /// Records the number of offers of one attempt.
    pub fn observe_offers(&self, offers: u32) {
        self.offers.observe(f64::from(offers));
    }

    /// Counts a grant that arrived after the request was bound elsewhere.
    pub fn count_lost_grant(&self) {
        self.grants_lost.inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Counts a resume.
    pub fn count_resume(&self) {
        self.resumes.inc();
    }

    /// Counts an ejection.
    pub fn count_ejection(&self) {
        self.ejections.inc();
    }
}

/// The metrics of one request.
#[derive(Debug)]
pub struct RequestMetrics {
    request_labels: RequestLabels,
    wait: Histogram,
    first_byte: Histogram,
    gaps: Histogram,
}

impl RequestMetrics {
    /// Counts the request by its outcome.
    pub fn count_end(&self, all: &Metrics, outcome: Outcome) {
        let reason = outcome.reason().map_or("", |reason| reason.as_str());
        let outcome = match outcome {
            Outcome::Completed => "completed",
            Outcome::NotRun { .. } => "not_run",
            Outcome::Unknown { .. } => "unknown",
        };
        all.count_end(&self.request_labels, outcome, reason);
    }

    /// Records the time from the arrival to the grant.
    pub fn observe_wait(&self, wait: Duration) {
        self.wait.observe(wait.as_secs_f64());
    }

    /// Records the time from the arrival to the first bytes.
    pub fn observe_first_byte(&self, wait: Duration) {
        self.first_byte.observe(wait.as_secs_f64());
    }
}

/// A buffer for the gaps and bytes of one answer, so that not every write takes the histogram's lock.
#[derive(Debug)]
pub struct WriteGaps {
    histogram: Histogram,
    answer_bytes: Counter,
    buffered: SmallVec<[Duration; MAX_BUFFERED_GAPS]>,
    bytes: u64,
}

impl WriteGaps {
    /// Creates an empty buffer.
    #[must_use]
    pub fn new(all: &Metrics, request: &RequestMetrics) -> Self {
        Self {
            histogram: request.gaps.clone(),
            answer_bytes: all.answer_bytes.clone(),
            buffered: SmallVec::new(),
            bytes: 0,
        }
    }

    /// Records one write, and the gap since the one before.
    pub fn record_write(&mut self, bytes: usize, gap: Option<Duration>) {
        self.bytes += bytes as u64;
        self.buffered.extend(gap);
        if self.buffered.len() == MAX_BUFFERED_GAPS {
            self.flush();
        }
    }

    fn flush(&mut self) {
        for gap in self.buffered.drain(..) {
            self.histogram.observe(gap.as_secs_f64());
        }
        self.answer_bytes.inc_by(std::mem::take(&mut self.bytes));
    }
}

impl Drop for WriteGaps {
    fn drop(&mut self) {
        self.flush();
    }
}
