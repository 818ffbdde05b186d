//! Causes for which a request counts against an error budget.

use std::fmt::{self, Display};

use hinge_outcome::Reason;
use serde::Serialize;

/// Cause of a bad request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request waited too long, or the queue was full.
    Queue,
    /// No endpoint was available, or the endpoint failed or was slow.
    Endpoint,
    /// An attempt was refused for a reason that another instance might not have, and no retry succeeded.
    Retry,
    /// The fleet refused the request because of a limit or of its own state.
    Refusal,
    /// It is not known whether the request ran.
    Unknown,
}

impl Cause {
    /// Every cause.
    pub const ALL: [Self; 5] = [
        Self::Queue,
        Self::Endpoint,
        Self::Retry,
        Self::Refusal,
        Self::Unknown,
    ];
}

impl Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Queue => "queue",
            Self::Endpoint => "endpoint",
            Self::Retry => "retry",
            Self::Refusal => "refusal",
            Self::Unknown => "unknown",
        })
    }
}

/// How the end of a request counts for an error budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    Good,
    Bad(Cause),
    /// The caller left, sent an invalid request, or repeated a request that is answered elsewhere.
    NotCounted,
}

/// Outcome label of a request that got its complete answer, in the entry's metrics.
const COMPLETED: &str = "completed";

/// Outcome label of a request that certainly did not run.
const NOT_RUN: &str = "not_run";

/// Reason labels for the entry's own state; an offered request never has them.
const ENTRY_STATE_REASONS: [&str; 1] = ["not_ready"];

/// Classifies the end of a request by the labels of the entry's metric.
pub(crate) fn classify(outcome: &str, reason: &str) -> Verdict {
    if outcome == COMPLETED {
        return Verdict::Good;
    }
    let known = Reason::ALL.iter().find(|known| known.as_str() == reason);
    match known {
        Some(known) => classify_reason(*known, outcome == NOT_RUN),
        None if ENTRY_STATE_REASONS.contains(&reason) => Verdict::Bad(Cause::Refusal),
        // All other reasons of a request that did not run are errors of the caller, such as a wrong key.
        None if outcome == NOT_RUN => Verdict::NotCounted,
        None => Verdict::Bad(Cause::Unknown),
    }
}

fn classify_reason(reason: Reason, is_not_run: bool) -> Verdict {
    match reason {
        Reason::QueueFull | Reason::Shed | Reason::Deadline => Verdict::Bad(Cause::Queue),
        Reason::NoEndpoint
        | Reason::EndpointRefused
        | Reason::EndpointFailed
        | Reason::EndpointTimeout
        | Reason::AnswerTruncated
        | Reason::AnswerCrossed
        | Reason::AnswerGarbled => Verdict::Bad(Cause::Endpoint),
        // Another instance might have accepted the request, so an end with such a reason means that retries ran out.
        Reason::StaleConfig
        | Reason::Leaving
        | Reason::ControlUnreachable
        | Reason::SidecarLost
        | Reason::VerdictForgotten
        | Reason::GrantExpired => Verdict::Bad(if is_not_run {
            Cause::Retry
        } else {
            Cause::Unknown
        }),
        Reason::OverLimit | Reason::KeyTableFull => Verdict::Bad(Cause::Refusal),
        Reason::Cancelled
        | Reason::AlreadyRunning
        | Reason::AlreadyFinished
        | Reason::AlreadyFailed
        | Reason::KeyConflict => Verdict::NotCounted,
    }
}
