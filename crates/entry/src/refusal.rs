//! Refusals as callers see them: status, reason and retry delay.

use std::time::Duration;

use hinge_outcome::{Outcome, Reason};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use serde_json::json;
use viz::{Body, Response};

/// Whether a request without an answer may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Certainty {
    /// The request did not run, and this is proven.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Certainty {
    /// Returns the stable name used in responses and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// The response to a caller in place of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub certainty: Certainty,
    /// Stable name of the reason.
    pub reason: &'static str,
    /// Human-readable message.
    pub message: Box<str>,
    /// Retry delay; `None` when the same request would be refused again, or must not be repeated.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal for a caller's error, which a resend does not fix.
    #[must_use]
    pub fn caller_error(
        status: StatusCode,
        reason: &'static str,
        message: impl Into<Box<str>>,
    ) -> Self {
        Self {
            status,
            certainty: Certainty::NotRun,
            reason,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal for an entry that can't take the request now, before anything was offered.
    #[must_use]
    pub fn unavailable(reason: &'static str, message: &str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            certainty: Certainty::NotRun,
            reason,
            message: message.into(),
            retry_after: Some(retry_after),
        }
    }

    /// Creates the refusal for an outcome; `min_retry_after` is that of the request's class.
    ///
    /// An unknown outcome has a retry delay only if a resend is safe.
    ///
    /// # Panics
    ///
    /// Panics for a completed request, which is never refused.
    #[must_use]
    pub fn of_outcome(outcome: Outcome, min_retry_after: Duration, is_resend_safe: bool) -> Self {
        let reason = outcome
            .reason()
            .expect("only a request without an answer is refused");
        let certainty = if outcome.is_not_run() {
            Certainty::NotRun
        } else {
            Certainty::Unknown
        };
        let retry_after = match outcome {
            // A retry with the same key gets the same refusal at any time.
            _ if matches!(
                reason,
                Reason::AlreadyFinished | Reason::AlreadyFailed | Reason::KeyConflict
            ) =>
            {
                None
            }
            Outcome::NotRun { retry_after, .. } => Some(retry_after.max(min_retry_after)),
            Outcome::Unknown { .. } if is_resend_safe => Some(min_retry_after),
            Outcome::Unknown { .. } | Outcome::Completed => None,
        };
        Self {
            status: status_of(reason, certainty),
            certainty,
            reason: reason.as_str(),
            message: message_of(reason).into(),
            retry_after,
        }
    }

    /// Returns the JSON body.
    #[must_use]
    pub fn json(&self) -> String {
        json!({
            "outcome": self.certainty.as_str(),
            "reason": self.reason,
            "message": self.message,
            "retry_after_ms": self.retry_after.map(whole_ms),
        })
        .to_string()
    }

    /// Returns the HTTP response.
    #[must_use]
    pub fn response(&self) -> Response {
        let mut response = Response::new(Body::from(http_body_util::Full::from(self.json())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            let seconds = whole_ms(after).div_ceil(1000);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(
                http::header::WWW_AUTHENTICATE,
                HeaderValue::from_static("Bearer"),
            );
        }
        response
    }
}

fn whole_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn status_of(reason: Reason, certainty: Certainty) -> StatusCode {
    match reason {
        Reason::QueueFull | Reason::Shed | Reason::OverLimit | Reason::KeyTableFull => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Reason::Deadline | Reason::EndpointTimeout => StatusCode::GATEWAY_TIMEOUT,
        Reason::AlreadyRunning | Reason::AlreadyFinished | Reason::AlreadyFailed => {
            StatusCode::CONFLICT
        }
        Reason::KeyConflict => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::StaleConfig
        | Reason::Leaving
        | Reason::NoEndpoint
        | Reason::EndpointRefused
        | Reason::Cancelled
        | Reason::ControlUnreachable
        | Reason::SidecarLost
        | Reason::VerdictForgotten
        | Reason::GrantExpired
        | Reason::EndpointFailed
        | Reason::AnswerTruncated
        | Reason::AnswerCrossed
        | Reason::AnswerGarbled => match certainty {
            Certainty::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Certainty::Unknown => StatusCode::BAD_GATEWAY,
        },
    }
}

fn message_of(reason: Reason) -> &'static str {
    match reason {
        Reason::QueueFull => "Your team has too many waiting requests.",
        Reason::Shed => {
            "There is more work than room, and your team is the furthest above its share."
        }
        Reason::Deadline => "The deadline passed, or can't be met.",
        Reason::StaleConfig => "The configuration is being brought up to date.",
        Reason::Leaving => "The endpoint is leaving.",
        Reason::NoEndpoint => "No endpoint of the pool is ready.",
        Reason::OverLimit => "The request is over a limit of your team or of the pool.",
        Reason::EndpointRefused => "The endpoint did not take the request.",
        Reason::Cancelled => "The request was cancelled.",
        Reason::AlreadyRunning => "A request with this key is running.",
        Reason::AlreadyFinished => "A request with this key has completed.",
        Reason::AlreadyFailed => {
            "A request with this key ran, or may have run, without a whole answer."
        }
        Reason::KeyConflict => "This key was used for another request.",
        Reason::KeyTableFull => "Your team holds too many keys.",
        Reason::ControlUnreachable => "The key could not be claimed.",
        Reason::SidecarLost => "The process beside the endpoint was lost.",
        Reason::VerdictForgotten => {
            "The process beside the endpoint no longer remembers the request."
        }
        Reason::GrantExpired => "The request did not arrive in time at the endpoint.",
        Reason::EndpointFailed => "The endpoint failed.",
        Reason::EndpointTimeout => "The endpoint stopped answering.",
        Reason::AnswerTruncated => "The answer ended early.",
        Reason::AnswerCrossed => "The answer held bytes of another request.",
        Reason::AnswerGarbled => "The answer was not in order.",
    }
}
