//! The closed sets of outcomes and reasons.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The outcome of a request as reported to the caller.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The caller has received the complete answer.
    Completed,
    /// The request did not run, and this is proven.
    NotRun {
        /// Why it did not run.
        reason: Reason,
        /// How long the caller should wait before it sends the request again.
        #[serde(rename = "retry_after_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// The request may have run, in part or completely.
    Unknown {
        /// Why the outcome is unknown.
        reason: Reason,
    },
}

impl Outcome {
    /// Returns whether it is proven that the request did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    /// Returns whether the caller has the complete answer.
    #[must_use]
    pub fn is_completed(&self) -> bool {
        matches!(self, Self::Completed)
    }

    /// Returns the reason, or `None` for a completed request.
    #[must_use]
    pub fn reason(&self) -> Option<Reason> {
        match self {
            Self::Completed => None,
            Self::NotRun { reason, .. } | Self::Unknown { reason } => Some(*reason),
        }
    }

    /// Returns how long the caller should wait before a retry; only a proven "not run" has such a delay.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } => Some(*retry_after),
            Self::Completed | Self::Unknown { .. } => None,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Completed => f.write_str("completed"),
            Self::NotRun { reason, .. } => write!(f, "not run: {reason}"),
            Self::Unknown { reason } => write!(f, "unknown: {reason}"),
        }
    }
}

/// Declares [`Reason`] with its stable names, so that the enum, its text form and [`Reason::ALL`] can't drift apart.
macro_rules! reasons {
    ($($(#[doc = $doc:literal])+ $variant:ident = $name:literal,)+) => {
        /// The reason why a request did not run, or why its outcome is unknown.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Reason {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl Reason {
            /// Every reason.
            pub const ALL: &[Self] = &[$(Self::$variant),+];

            /// Returns the stable name used in JSON, metrics and logs.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

reasons! {
    /// The team's queue is full at every sidecar that was offered the request.
    QueueFull = "queue_full",
    /// The request was shed because its team is the furthest above its share.
    Shed = "shed",
    /// The caller's deadline has passed, or can't be met.
    Deadline = "deadline",
    /// The process has no current configuration, or the offer was based on an older one.
    StaleConfig = "stale_config",
    /// The endpoint or process is leaving and accepts no new work.
    Leaving = "leaving",
    /// The pool has no endpoint that can take the request.
    NoEndpoint = "no_endpoint",
    /// The request is larger than the team or the pool allows.
    OverLimit = "over_limit",
    /// The endpoint refused the connection, so the request was not handed over.
    EndpointRefused = "endpoint_refused",
    /// The caller disconnected.
    Cancelled = "cancelled",
    /// A request with the same key is running.
    AlreadyRunning = "already_running",
    /// A request with the same key has completed.
    AlreadyFinished = "already_finished",
    /// A request with the same key ran, or may have run, without a complete answer.
    AlreadyFailed = "already_failed",
    /// The key was used for another request.
    KeyConflict = "key_conflict",
    /// The key table has no room for another key of this team.
    KeyTableFull = "key_table_full",
    /// Control can't be reached, so the key can't be claimed.
    ControlUnreachable = "control_unreachable",
    /// The sidecar is lost, or has restarted and has no record of the run.
    SidecarLost = "sidecar_lost",
    /// The sidecar no longer remembers the run.
    VerdictForgotten = "verdict_forgotten",
    /// The grant's lease expired before the whole request had arrived.
    GrantExpired = "grant_expired",
    /// The endpoint failed after the hand-over.
    EndpointFailed = "endpoint_failed",
    /// The endpoint stopped sending and timed out.
    EndpointTimeout = "endpoint_timeout",
    /// The answer ended early, or the rest of it can no longer be fetched.
    AnswerTruncated = "answer_truncated",
    /// The answer contained a frame of another request.
    AnswerCrossed = "answer_crossed",
    /// The answer's frames repeat, overlap or leave a gap.
    AnswerGarbled = "answer_garbled",
}

impl Reason {
    /// Returns whether the reason concerns one sidecar or endpoint, so that another may succeed, and not the request or the
    /// load.
    ///
    /// An entry never retries a refusal that is due to load (`queue_full`, `shed`, `over_limit`): it has already offered the
    /// request more and more widely in the pool, and a retry would add to an overload.
    #[must_use]
    pub fn may_succeed_elsewhere(self) -> bool {
        match self {
            Self::StaleConfig
            | Self::Leaving
            | Self::EndpointRefused
            | Self::ControlUnreachable
            | Self::SidecarLost
            | Self::VerdictForgotten
            | Self::GrantExpired
            | Self::EndpointFailed
            | Self::EndpointTimeout
            | Self::AnswerTruncated
            | Self::AnswerCrossed
            | Self::AnswerGarbled => true,
            Self::QueueFull
            | Self::Shed
            | Self::Deadline
            | Self::NoEndpoint
            | Self::OverLimit
            | Self::Cancelled
            | Self::AlreadyRunning
            | Self::AlreadyFinished
            | Self::AlreadyFailed
            | Self::KeyConflict
            | Self::KeyTableFull => false,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
