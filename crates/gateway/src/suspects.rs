//! Tracks requests during which endpoints end, and rejects a request under which several endpoints have ended.
//!
//! Control keeps the list. What this gateway observes is reported to control, and takes effect here at once.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_routing::{RequestKey, Suspects as SuspectTable};
use hinge_schema::routing::SuspectList;
use hinge_telemetry::log::Component;
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::warn;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use smallvec::SmallVec;

use crate::attempt::{OutgoingRequest, part_ids};
use crate::endpoint::Endpoint;
use crate::suspect_reports::PendingReports;

/// A request whose answer broke off.
#[derive(Debug, Clone)]
pub(crate) struct BrokenRequest {
    pub(crate) key: RequestKey,
    /// Id of the caller's attempt.
    pub(crate) request_id: Box<str>,
    /// Ids of the prompt's parts, without the last one.
    pub(crate) shared_parts: SmallVec<[u64; 3]>,
    /// Time from the first chunk of the answer until it broke off; `None` if none had arrived.
    pub(crate) written_for: Option<Duration>,
}

/// The evidence that an endpoint has ended; a broken connection alone proves nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// The admission beside it reports that nothing listens at its address.
    AdmissionReport,
    /// A new connection is refused.
    ConnectionRefused,
    /// Another endpoint, or another incarnation of it, listens at its address.
    Replaced,
    /// Its end was known when the answer broke off.
    KnownBefore,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::AdmissionReport => "admission",
            Self::ConnectionRefused => "connection_refused",
            Self::Replaced => "replaced",
            Self::KnownBefore => "known_before",
        })
    }
}

/// The requests during which endpoints have ended.
#[derive(Debug)]
pub(crate) struct Suspects {
    table: Mutex<SuspectTable>,
    /// Whether any request is suspected; if none is, no request key has to be computed.
    has_any: AtomicBool,
    /// Observations that control has not acknowledged yet.
    pub(crate) pending_reports: PendingReports,
    ends: Counter,
    rejections: Counter,
    held: Gauge,
}

impl Suspects {
    pub(crate) fn register(registry: &Registry) -> Self {
        Self {
            table: Mutex::default(),
            has_any: AtomicBool::new(false),
            pending_reports: PendingReports::default(),
            ends: registry.counter(
                "gateway_ended_under",
                "Requests whose endpoint ended while it worked on them.",
            ),
            rejections: registry.counter(
                "gateway_turned_away",
                "Requests that were turned away since endpoints ended under them.",
            ),
            held: registry.gauge(
                "gateway_held_requests",
                "Requests that are turned away since endpoints ended under them.",
            ),
        }
    }

    /// Records that an endpoint ended while it worked on a request.
    pub(crate) fn record_end(
        &self,
        request: &BrokenRequest,
        endpoint: &Endpoint,
        evidence: Evidence,
    ) {
        self.ends.inc();
        let end = (request.key, endpoint.incarnation);
        let ends = self.update(|table| {
            table.record(table.version(), &[end], &[]);
            table.crash_count(&request.key)
        });
        self.pending_reports.add_end(end);
        warn!(
            Component::Gateway,
            "An endpoint ended under a request.",
            id = request.request_id,
            request = request.key,
            parts = part_ids(&request.shared_parts),
            written_ms = request
                .written_for
                .map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string()),
            ends = ends,
            endpoint = endpoint.description.id,
            born_unix_ms = endpoint.description.born_unix_ms.unwrap_or_default(),
            evidence = evidence
        );
    }

    /// Records that an endpoint has completed a request.
    pub(crate) fn record_completed(&self, outgoing: &OutgoingRequest) {
        if !self.has_any.load(Ordering::Acquire) {
            return;
        }
        let request = outgoing.key();
        if self.lock().crash_count(&request) == 0 {
            return;
        }
        self.update(|table| table.record(table.version(), &[], &[request]));
        self.pending_reports.add_completed(request);
    }

    /// Returns whether a request is held, so that it must be rejected.
    pub(crate) fn is_held(&self, outgoing: &OutgoingRequest) -> bool {
        self.has_any.load(Ordering::Acquire) && self.lock().is_held(&outgoing.key())
    }

    /// Counts a request that is rejected because it is held.
    pub(crate) fn record_rejection(&self) {
        self.rejections.inc();
    }

    /// Returns the version of control's list that was applied last.
    pub(crate) fn version(&self) -> u64 {
        self.lock().version()
    }

    /// Returns the changes since a version, if there are any.
    pub(crate) fn changes_since(&self, version: u64) -> Option<SuspectList> {
        self.lock().changes_since(version)
    }

    /// Applies a list from control or from another gateway.
    pub(crate) fn apply(&self, list: &SuspectList) {
        self.update(|table| table.apply(list));
    }

    fn update<T>(&self, act: impl FnOnce(&mut SuspectTable) -> T) -> T {
        let mut table = self.lock();
        let result = act(&mut table);
        self.has_any.store(!table.is_empty(), Ordering::Release);
        let held = i64::try_from(table.held().len()).unwrap_or(i64::MAX);
        if self.held.set(held) != held {
            warn!(
                Component::Gateway,
                "The held requests have changed.",
                held = held,
                version = table.version(),
                newest = table
                    .newest_held()
                    .map_or_else(String::new, |request| request.to_string())
            );
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
