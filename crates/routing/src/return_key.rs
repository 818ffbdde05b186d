//! Recognises a refused request when its caller comes back with a new request id.

use sha2::{Digest, Sha256};

use crate::choose::Prompt;

/// Returns the key of a request's team, route and own part of the prompt, or `None` if the prompt has no parts.
///
/// It is the same at every gateway. Teams can't find requests of another team with the same key.
#[must_use]
pub fn return_key(team: Option<&str>, route: &str, prompt: &Prompt) -> Option<u64> {
    let own = prompt.parts.last()?;
    let mut hash = Sha256::new();
    for part in [team.unwrap_or_default(), route] {
        // A length before each part distinguishes two splits of the same bytes.
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.update(own.id.to_be_bytes());
    let digest = hash.finalize();
    let mut key = [0; 8];
    key.copy_from_slice(&digest[..8]);
    Some(u64::from_be_bytes(key))
}
