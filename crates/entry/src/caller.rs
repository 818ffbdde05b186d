//! Parses the team key and the request options from a caller's headers.

use std::time::Duration;

use hinge_config::effective::{Classes, KeyHash, Pool, PoolKind};
use hinge_schema::messages::UrgencyClass;
use http::header::AUTHORIZATION;
use http::{HeaderMap, Method, StatusCode};
use sha2::{Digest, Sha256};

use crate::headers::{DEADLINE_MS, ESTIMATED_UNITS, IDEMPOTENCY_KEY, IDEMPOTENT, URGENCY};
use crate::refusal::Refusal;

/// Longest idempotency key, in bytes; a UUID has 36.
const MAX_KEY_BYTES: usize = 255;

/// Longest deadline that a caller may set, in milliseconds: one day, the same limit as in the configuration.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// The options that a caller sets in the headers of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestOptions {
    /// Urgency class.
    pub class: UrgencyClass,
    /// Time until the answer's head must arrive, if the caller sets one.
    pub deadline: Option<Duration>,
    /// Idempotency key.
    pub key: Option<Box<str>>,
    /// Whether the request may run more than once, if the caller states it.
    pub is_idempotent: Option<bool>,
    /// Estimated cost given by the caller, in service units.
    pub estimated_units: Option<u64>,
}

impl RequestOptions {
    /// Parses the options from the headers.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the first invalid header.
    pub fn read(headers: &HeaderMap) -> Result<Self, Refusal> {
        Ok(Self {
            class: read(headers, URGENCY, "urgent, standard or batch", |text| {
                text.parse().ok()
            })?
            .unwrap_or(UrgencyClass::Standard),
            deadline: read(headers, DEADLINE_MS, "1 to 86400000", |text| {
                let ms = text.parse().ok()?;
                let is_allowed = (1..=MAX_DEADLINE_MS).contains(&ms);
                is_allowed.then_some(Duration::from_millis(ms))
            })?,
            key: read(
                headers,
                IDEMPOTENCY_KEY,
                "1 to 255 visible characters",
                |text| {
                    let is_allowed = (1..=MAX_KEY_BYTES).contains(&text.len());
                    is_allowed.then(|| text.into())
                },
            )?,
            is_idempotent: read(headers, IDEMPOTENT, "true or false", |text| {
                text.parse().ok()
            })?,
            estimated_units: read(headers, ESTIMATED_UNITS, "a whole number", |text| {
                text.parse().ok()
            })?,
        })
    }

    /// Returns whether the request may run more than once.
    ///
    /// The caller's explicit header takes precedence. An idempotency key requests at most one run. Otherwise model calls, and
    /// GET and HEAD requests to a plain service, are safe to repeat.
    #[must_use]
    pub fn may_repeat(&self, kind: PoolKind, method: &Method) -> bool {
        if let Some(is_idempotent) = self.is_idempotent {
            return is_idempotent;
        }
        if self.key.is_some() {
            return false;
        }
        match kind {
            PoolKind::Model => true,
            PoolKind::Service => [Method::GET, Method::HEAD].contains(method),
        }
    }

    /// Returns the time allowed for the request: set by the caller, else by its class, else by its pool.
    #[must_use]
    pub fn deadline(&self, classes: &Classes, pool: &Pool) -> Duration {
        let class_settings = match self.class {
            UrgencyClass::Urgent => &classes.urgent,
            UrgencyClass::Standard => &classes.standard,
            UrgencyClass::Batch => &classes.batch,
        };
        let default_ms = match class_settings.deadline_ms {
            0 => pool.deadline_ms,
            ms => ms,
        };
        self.deadline.unwrap_or(Duration::from_millis(default_ms))
    }

    /// Returns the shortest retry delay after a refusal.
    #[must_use]
    pub fn min_retry_after(&self, classes: &Classes) -> Duration {
        let class = match self.class {
            UrgencyClass::Urgent => &classes.urgent,
            UrgencyClass::Standard => &classes.standard,
            UrgencyClass::Batch => &classes.batch,
        };
        Duration::from_millis(class.retry_after_ms)
    }
}

fn read<T>(
    headers: &HeaderMap,
    name: &'static str,
    allowed: &str,
    parse: impl FnOnce(&str) -> Option<T>,
) -> Result<Option<T>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().map(str::trim).and_then(parse);
    match (parsed, values.next()) {
        (Some(parsed), None) => Ok(Some(parsed)),
        (_, _) => Err(Refusal::caller_error(
            StatusCode::BAD_REQUEST,
            "bad_header",
            format!("The header {name} must come once; allowed is {allowed}."),
        )),
    }
}

/// Returns the SHA-256 of the caller's key; the key itself is not stored.
///
/// # Errors
///
/// Returns a refusal when the request carries no key.
pub fn key_hash(headers: &HeaderMap) -> Result<KeyHash, Refusal> {
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().split_first_chunk::<7>())
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case(b"bearer "))
        .map(|(_, key)| key.trim_ascii());
    match key {
        Some(key) if !key.is_empty() => Ok(Sha256::digest(key).into()),
        _ => Err(Refusal::caller_error(
            StatusCode::UNAUTHORIZED,
            "no_key",
            "Send your team's key as `Authorization: Bearer KEY`.",
        )),
    }
}
