//! Follows which requests endpoints end under.

use std::fmt;

use hinge_routing::RequestKey;
use hinge_telemetry::log::Part;
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::warn;
use prometheus_client::metrics::counter::Counter;

use crate::endpoint::Endpoint;

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
    ends: Counter,
}

impl Suspects {
    pub(crate) fn register(registry: &Registry) -> Self {
        Self {
            ends: registry.counter(
                "gateway_ended_under",
                "Requests whose endpoint ended while it worked on them.",
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
        warn!(
            Part::Gateway,
            "An endpoint ended under a request.",
            id = request.request_id,
            request = request.key,
            endpoint = endpoint.described.id,
            born_unix_ms = endpoint.described.born_unix_ms.unwrap_or_default(),
            evidence = evidence
        );
    }
}
