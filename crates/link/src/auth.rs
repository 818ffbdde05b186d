//! Proves that a peer knows the cluster key.

use std::fmt;
use std::fmt::Write;
use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::traffic::Traffic;

const SCHEME: &str = "Bearer ";

/// Holds the key that all processes of one cluster share.
///
/// The key itself never travels or prints: peers send a hash that is bound to this purpose. The hash is as good as the key for
/// anyone who reads the traffic, so the network between instances must be trusted or encrypted below us.
#[derive(Clone)]
pub struct ClusterKey {
    header: Arc<str>,
    /// Both ends of every link hold the key, so what it opened is counted beside it.
    traffic: Traffic,
}

impl ClusterKey {
    /// Derives the peers' proof from the contents of the key file.
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
        }
    }

    /// Returns the key with other counts for the links that it opens.
    #[must_use]
    pub fn with_traffic(self, traffic: Traffic) -> Self {
        Self { traffic, ..self }
    }

    /// Returns the counts of the links that this key and its clones open.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns the value of the `authorization` header.
    #[must_use]
    pub fn header_value(&self) -> &str {
        &self.header
    }

    /// Returns whether the headers prove that the sender knows the key.
    #[must_use]
    pub fn is_proved_by(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(AUTHORIZATION);
        value.is_some_and(|value| self.is_proof(value.as_bytes()))
    }

    /// Returns whether a text proves that its sender knows the key.
    #[must_use]
    pub fn is_proof(&self, text: &[u8]) -> bool {
        text.ct_eq(self.header.as_bytes()).into()
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(hidden)")
    }
}
