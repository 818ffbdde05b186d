//! Converts reasons and verdicts from messages into those of the outcome state machine.

use std::time::Duration;

use hinge_outcome::{Event, Reason, Verdict};
use hinge_schema::messages::{
    Failed, FailureKind, NotRunReason, Verdict as WireVerdict, VerdictReply,
};

/// Converts the reason of a message.
#[must_use]
pub fn reason(wire: NotRunReason) -> Reason {
    match wire {
        NotRunReason::QueueFull => Reason::QueueFull,
        NotRunReason::Shed => Reason::Shed,
        NotRunReason::Deadline => Reason::Deadline,
        // Without a configuration or with another version of it, the remedy is the same: try another sidecar, or try again.
        NotRunReason::StaleConfig | NotRunReason::NotReady => Reason::StaleConfig,
        NotRunReason::Leaving => Reason::Leaving,
        NotRunReason::NoEndpoint => Reason::NoEndpoint,
        NotRunReason::OverLimit => Reason::OverLimit,
        NotRunReason::EndpointRefused => Reason::EndpointRefused,
        NotRunReason::Cancelled => Reason::Cancelled,
        NotRunReason::AlreadyRunning => Reason::AlreadyRunning,
        NotRunReason::KeyConflict => Reason::KeyConflict,
        NotRunReason::KeyFinished => Reason::AlreadyFinished,
        NotRunReason::KeyFailed => Reason::AlreadyFailed,
        NotRunReason::ControlUnreachable => Reason::ControlUnreachable,
        NotRunReason::GrantExpired => Reason::GrantExpired,
        NotRunReason::SidecarLost => Reason::SidecarLost,
        NotRunReason::EndpointFailed => Reason::EndpointFailed,
        NotRunReason::AnswerTruncated => Reason::AnswerTruncated,
        NotRunReason::AnswerCrossed => Reason::AnswerCrossed,
    }
}

/// Converts a sidecar's reply to [`hinge_schema::messages::AskVerdict`] into an event.
#[must_use]
pub fn verdict(reply: &VerdictReply) -> Event {
    let verdict = match reply.verdict {
        WireVerdict::NeverHandedOver => Verdict::NeverHandedOver {
            reason: Reason::SidecarLost,
            retry_after: Duration::ZERO,
        },
        WireVerdict::Running => Verdict::Running { answer_bytes: 0 },
        // The reply has no length. The largest one makes the state machine resume, and the resumed exchange delivers the end.
        WireVerdict::Completed => Verdict::Completed {
            answer_bytes: u64::MAX,
        },
        WireVerdict::Failed => Verdict::Failed {
            reason: Reason::EndpointFailed,
        },
        WireVerdict::Unknown => Verdict::Unknown,
    };
    Event::Verdict {
        incarnation: reply.incarnation,
        verdict,
    }
}

/// Converts a failure received on the exchange into a verdict.
#[must_use]
pub fn failure(failed: &Failed) -> Verdict {
    let reason = reason(failed.reason);
    match failed.kind {
        FailureKind::NotRun => Verdict::NeverHandedOver {
            reason,
            retry_after: Duration::from_millis(failed.retry_after_ms),
        },
        FailureKind::Unknown => Verdict::Failed { reason },
    }
}
