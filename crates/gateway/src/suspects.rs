//! Follows which requests endpoints end under, and turns those away that end one after the other.
//!
//! Control keeps the list. What this gateway sees is told to control, and counts here at once.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use hinge_routing::{RequestKey, Suspects as Known};
use hinge_schema::routing::SuspectList;
use hinge_telemetry::log::Part;
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::warn;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

use crate::attempt::Outgoing;
use crate::endpoint::Endpoint;
use crate::tell::Untold;

/// Names a request whose answer broke off.
#[derive(Debug, Clone)]
pub(crate) struct BrokenRequest {
    pub(crate) key: RequestKey,
    /// Number of the caller's attempt.
    pub(crate) request_id: Box<str>,
}

/// Says how the end of an endpoint shows; a broken connection alone doesn't prove it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// The admission beside it says that nothing listens at its address.
    AdmissionSays,
    /// A new connection is refused.
    ConnectionRefused,
    /// Another endpoint, or another start of it, is at its address.
    Replaced,
    /// Its end was known when the answer broke off.
    KnownBefore,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::AdmissionSays => "admission",
            Self::ConnectionRefused => "connection_refused",
            Self::Replaced => "replaced",
            Self::KnownBefore => "known_before",
        })
    }
}

/// Holds the requests that endpoints have ended under.
#[derive(Debug)]
pub(crate) struct Suspects {
    known: Mutex<Known>,
    /// Whether any request is suspected, so that an ordinary day pays for no key.
    are_some: AtomicBool,
    /// What control is told of it.
    pub(crate) untold: Untold,
    ends: Counter,
    turned_away: Counter,
    held: Gauge,
}

impl Suspects {
    pub(crate) fn register(registry: &Registry) -> Self {
        Self {
            known: Mutex::default(),
            are_some: AtomicBool::new(false),
            untold: Untold::default(),
            ends: registry.counter(
                "gateway_ended_under",
                "Requests whose endpoint ended while it worked on them.",
            ),
            turned_away: registry.counter(
                "gateway_turned_away",
                "Requests that were turned away since endpoints ended under them.",
            ),
            held: registry.gauge(
                "gateway_held_requests",
                "Requests that are turned away since endpoints ended under them.",
            ),
        }
    }

    /// Notes that an endpoint ended while it worked on a request.
    pub(crate) fn ended_under(
        &self,
        request: &BrokenRequest,
        endpoint: &Endpoint,
        evidence: Evidence,
    ) {
        self.ends.inc();
        let end = (request.key, endpoint.incarnation);
        let ends = self.change(|known| {
            known.record(known.version(), &[end], &[]);
            known.crash_count(&request.key)
        });
        self.untold.add_end(end);
        warn!(
            Part::Gateway,
            "An endpoint ended under a request.",
            id = request.request_id,
            request = request.key,
            ends = ends,
            endpoint = endpoint.described.id,
            born_unix_ms = endpoint.described.born_unix_ms.unwrap_or_default(),
            evidence = evidence
        );
    }

    /// Notes that an endpoint has answered a request to its end.
    pub(crate) fn completed(&self, outgoing: &Outgoing) {
        if !self.are_some.load(Ordering::Acquire) {
            return;
        }
        let request = outgoing.key();
        if self.lock().crash_count(&request) == 0 {
            return;
        }
        self.change(|known| known.record(known.version(), &[], &[request]));
        self.untold.add_completed(request);
    }

    /// Returns whether a request is to be turned away.
    pub(crate) fn is_held(&self, outgoing: &Outgoing) -> bool {
        self.are_some.load(Ordering::Acquire) && self.lock().is_held(&outgoing.key())
    }

    /// Counts a request that is turned away.
    pub(crate) fn note_turned_away(&self) {
        self.turned_away.inc();
    }

    /// Returns the version of control's list that is known.
    pub(crate) fn version(&self) -> u64 {
        self.lock().version()
    }

    /// Returns what is known and newer than a version.
    pub(crate) fn newer_than(&self, version: u64) -> Option<SuspectList> {
        self.lock().changes_since(version)
    }

    /// Takes in what control, or another gateway, tells.
    pub(crate) fn take_in(&self, list: &SuspectList) {
        self.change(|known| known.apply(list));
    }

    fn change<T>(&self, act: impl FnOnce(&mut Known) -> T) -> T {
        let mut known = self.lock();
        let result = act(&mut known);
        self.are_some.store(!known.is_empty(), Ordering::Release);
        let held = i64::try_from(known.held().len()).unwrap_or(i64::MAX);
        if self.held.set(held) != held {
            warn!(
                Part::Gateway,
                "The held requests have changed.",
                held = held,
                version = known.version(),
                newest = known
                    .newest_held()
                    .map_or_else(String::new, |request| request.to_string())
            );
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
