//! Parses the parts of a model call that its cost depends on.

use http::StatusCode;
use serde::Deserialize;
use serde_json::Value;

use crate::refusal::Refusal;

/// Bytes of text per token, typical of western languages; the sidecar corrects the charge while the answer streams.
const TOKEN_BYTES: u64 = 4;

/// Bytes of the prompt's prefix that are hashed: enough to tell system prompts apart, yet short compared with a whole prompt.
const PREFIX_BYTES: usize = 1024;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The fields of a model call that an entry reads; all others are left to the engine.
#[derive(Debug, Deserialize)]
pub struct ModelCall {
    /// Requested model.
    pub model: Box<str>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    prompt: Value,
}

/// The estimated cost of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Estimate {
    /// Cost, in service units of the pool.
    pub units: u64,
    /// Cost of the prompt alone, in service units of the pool.
    pub prompt_units: u64,
    /// KV cache, in tokens.
    pub kv_tokens: u64,
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix_hash: u64,
}

impl ModelCall {
    /// Parses the body of a call.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the JSON parse error.
    pub fn read(body: &[u8]) -> Result<Self, Refusal> {
        serde_json::from_slice(body).map_err(|error| {
            Refusal::caller_error(
                StatusCode::BAD_REQUEST,
                "bad_json",
                format!("The body is not a valid call: {error}."),
            )
        })
    }

    /// Returns the caller's limit on generated tokens; 0 for none.
    #[must_use]
    pub fn max_tokens(&self) -> u64 {
        let limit = self.max_completion_tokens.or(self.max_tokens);
        limit.unwrap_or_default()
    }

    /// Estimates the prompt's length and hashes its prefix.
    #[must_use]
    pub fn prompt(&self) -> Prompt {
        let mut hasher = PromptHasher {
            bytes: 0,
            hash: FNV_OFFSET,
        };
        hasher.add_value(&self.messages);
        hasher.add_value(&self.prompt);
        Prompt {
            tokens: hasher.bytes as u64 / TOKEN_BYTES + 1,
            prefix_hash: if hasher.bytes == 0 { 0 } else { hasher.hash },
        }
    }
}

/// The length and prefix hash of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Estimated length, in tokens.
    pub tokens: u64,
    /// Hash of its prefix; 0 for none.
    pub prefix_hash: u64,
}

/// Counts the bytes of a prompt's strings, in order, and hashes the first of them.
struct PromptHasher {
    bytes: usize,
    hash: u64,
}

impl PromptHasher {
    fn add_value(&mut self, value: &Value) {
        match value {
            Value::String(text) => self.add_text(text.as_bytes()),
            Value::Array(items) => items.iter().for_each(|item| self.add_value(item)),
            Value::Object(fields) => fields.values().for_each(|field| self.add_value(field)),
            Value::Null | Value::Bool(_) | Value::Number(_) => {}
        }
    }

    fn add_text(&mut self, text: &[u8]) {
        let room = PREFIX_BYTES.saturating_sub(self.bytes);
        self.bytes += text.len();
        for byte in text.iter().take(room) {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}
