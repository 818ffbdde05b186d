//! Separates end-to-end headers from hop-by-hop headers and those meant for this fleet.

use hinge_schema::messages::Header;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde_bytes::ByteBuf;
use smallvec::SmallVec;

/// Urgency class of a request.
pub const URGENCY: &str = "x-urgency";

/// Longest time until the answer's head, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";

/// Idempotency key, under which a request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Whether a request may run more than once.
pub const IDEMPOTENT: &str = "x-idempotent";

/// Estimated cost of a request, in service units of the pool.
pub const ESTIMATED_UNITS: &str = "x-estimated-units";

const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// Returns whether a header is hop-by-hop, that is, concerns one connection only.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ]
    .contains(name)
        || [KEEP_ALIVE, PROXY_CONNECTION].contains(&name.as_str())
}

/// Returns whether a header of a request is meant for this fleet and not for the endpoint.
///
/// The caller's key must not reach an endpoint, and the length is sent in the bind message.
fn is_consumed_here(name: &HeaderName) -> bool {
    [AUTHORIZATION, CONTENT_LENGTH, EXPECT, HOST].contains(name)
        || [URGENCY, DEADLINE_MS, IDEMPOTENT, ESTIMATED_UNITS].contains(&name.as_str())
}

/// Returns the names that `Connection` adds to the hop-by-hop headers.
fn named_by_connection(headers: &HeaderMap) -> SmallVec<[Box<str>; 4]> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase().into())
        .collect()
}

/// Returns the headers of a request that are forwarded to the endpoint.
#[must_use]
pub fn for_endpoint(headers: &HeaderMap) -> Vec<Header> {
    let named = named_by_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !is_consumed_here(name))
        .filter(|(name, _)| !named.iter().any(|other| &**other == name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: ByteBuf::from(value.as_bytes()),
        })
        .collect()
}

/// Returns the headers of an answer that are forwarded to the caller; invalid ones are left out.
#[must_use]
pub fn for_caller(headers: &[Header]) -> HeaderMap {
    let all: HeaderMap = headers
        .iter()
        .filter_map(|header| {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(&header.value).ok()?;
            Some((name, value))
        })
        .collect();
    let named = named_by_connection(&all);
    let mut kept = HeaderMap::with_capacity(all.len());
    for (name, value) in &all {
        if !is_hop_by_hop(name) && !named.iter().any(|other| &**other == name.as_str()) {
            kept.append(name, value.clone());
        }
    }
    kept
}
