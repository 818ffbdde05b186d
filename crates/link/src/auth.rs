//! Authentication between peers by the cluster key.

use std::fmt;
use std::fmt::Write;
use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::byte_budget::ByteBudget;
use crate::traffic::Traffic;

/// Bytes of the long messages that calls in progress have received.
const MAX_RECEIVED_BYTES: usize = 16 << 20;

const SCHEME: &str = "Bearer ";

/// The key that all processes of one cluster share.
///
/// The key itself is never sent or printed: peers send a hash that is derived for this purpose only. Anyone who reads the
/// traffic can use the hash in place of the key, so the network between instances must be trusted or encrypted at a lower
/// layer.
#[derive(Clone)]
pub struct ClusterKey {
    header: Arc<str>,
    /// Both ends of every connection hold the key, so the counters of its connections are kept with it.
    traffic: Traffic,
    /// Limits the long messages of calls in progress at this process.
    received: ByteBudget,
}

impl ClusterKey {
    /// Derives the value that peers send as proof from the contents of the key file.
    #[must_use]
    pub fn derive(secret: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update(b"sequoiahinge peer key 1\0");
        hash.update(secret);
        let header = hash
            .finalize()
            .iter()
            .fold(String::from(SCHEME), |mut text, byte| {
                let _always_ok = write!(text, "{byte:02x}");
                text
            });
        Self {
            header: header.into(),
            traffic: Traffic::default(),
            received: ByteBudget::new(MAX_RECEIVED_BYTES),
        }
    }

    /// Replaces the counters of the connections that the key authenticates.
    #[must_use]
    pub fn with_traffic(self, traffic: Traffic) -> Self {
        Self { traffic, ..self }
    }

    /// Returns the budget of the long messages of calls in progress.
    pub(crate) fn received(&self) -> &ByteBudget {
        &self.received
    }

    /// Returns the counters of the connections that this key and its clones authenticate.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns the value of the `authorization` header.
    #[must_use]
    pub fn header_value(&self) -> &str {
        &self.header
    }

    /// Returns whether the `authorization` header proves that the sender knows the key.
    #[must_use]
    pub fn authenticates(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(AUTHORIZATION);
        value.is_some_and(|value| self.matches_header_value(value.as_bytes()))
    }

    /// Returns whether `text` equals [`Self::header_value`], compared in constant time.
    #[must_use]
    pub fn matches_header_value(&self, text: &[u8]) -> bool {
        text.ct_eq(self.header.as_bytes()).into()
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(hidden)")
    }
}
