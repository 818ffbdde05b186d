//! Identifies a request by its content, whatever request id its caller gives to an attempt.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

/// Length of a key in bytes.
const KEY_BYTES: usize = 16;

/// Upper 32 bits of the keys of prompt parts, "part" in ASCII; a request's key has them with a probability of 2^-32.
const PART_TAG: u32 = 0x7061_7274;

/// What a request can be recognised by in another attempt or in another request.
///
/// The key of a whole request is a hash of its method, path, team and body; it is the same for each attempt of its
/// caller, at every gateway. The key of a prompt part ends with the part's id.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct RequestKey(u128);

impl RequestKey {
    /// Returns the key of a prompt part at a service; what one service can't process may be sound at another one.
    #[must_use]
    pub fn of_part(service: &str, part: u64) -> Self {
        let tag = u128::from(PART_TAG) << 96;
        Self(tag | u128::from(fnv1a(service)) << 64 | u128::from(part))
    }

    /// Returns the id of the prompt part, or `None` for a whole request.
    #[must_use]
    pub fn part(&self) -> Option<u64> {
        let is_part = self.0 >> 96 == u128::from(PART_TAG);
        is_part
            .then(|| u64::try_from(self.0 & u128::from(u64::MAX)).ok())
            .flatten()
    }

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

/// Returns the 32-bit FNV-1a hash of a text.
fn fnv1a(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
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
