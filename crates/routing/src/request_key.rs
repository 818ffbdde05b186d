//! Identifies a request by its content, whatever request id its caller gives to an attempt.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

/// Length of a key in bytes.
const KEY_BYTES: usize = 16;

/// Hash of a request's method, path, team and body.
///
/// It is the same for each attempt of its caller, at every gateway.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct RequestKey(u128);

impl RequestKey {
    /// Returns the key of a request; `path` includes the query, and `team` is `None` on a route without keys.
    #[must_use]
    pub fn of(method: &str, path: &str, team: Option<&str>, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [method, path, team.unwrap_or_default()] {
            // A length before each part distinguishes two splits of the same bytes.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update([u8::from(team.is_some())]);
        hash.update(body);
        let digest = hash.finalize();
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&digest[..KEY_BYTES]);
        Self(u128::from_be_bytes(key))
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The error for a text that is not a request key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestKeyError;

impl fmt::Display for RequestKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a request key has {} hexadecimal digits", 2 * KEY_BYTES)
    }
}

impl Error for RequestKeyError {}

impl FromStr for RequestKey {
    type Err = RequestKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex =
            text.len() == 2 * KEY_BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let key = is_hex
            .then(|| u128::from_str_radix(text, 16).ok())
            .flatten();
        key.map(Self).ok_or(RequestKeyError)
    }
}
