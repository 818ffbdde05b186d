//! Converts reasons, classes and verdicts between the wire messages and the decision crates.

use std::time::Duration;

use hinge_fair::{Class, Reason as QueueReason};
use hinge_outcome::Reason;
use hinge_schema::messages::{NotRunReason, UrgencyClass, Verdict};

/// Returns a duration in whole milliseconds, rounded up, as a wait must not end early.
pub(crate) fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}

pub(crate) fn class(class: UrgencyClass) -> Class {
    match class {
        UrgencyClass::Urgent => Class::Urgent,
        UrgencyClass::Standard => Class::Standard,
        UrgencyClass::Batch => Class::Batch,
    }
}

pub(crate) fn queue_reason(reason: QueueReason) -> NotRunReason {
    match reason {
        // The local configuration lacks the team; a newer one may have it.
        QueueReason::UnknownTeam => NotRunReason::NotReady,
        QueueReason::Duplicate => NotRunReason::AlreadyRunning,
        QueueReason::TeamFull => NotRunReason::QueueFull,
        QueueReason::QueueFull => NotRunReason::Shed,
        QueueReason::DeadlineUnmeetable => NotRunReason::Deadline,
    }
}

/// Returns the wire reason for an outcome's reason; the wire has fewer reasons, so some are merged.
pub(crate) fn wire_reason(reason: Reason) -> NotRunReason {
    match reason {
        Reason::QueueFull => NotRunReason::QueueFull,
        Reason::Shed => NotRunReason::Shed,
        Reason::Deadline => NotRunReason::Deadline,
        Reason::StaleConfig => NotRunReason::StaleConfig,
        Reason::Leaving => NotRunReason::Leaving,
        Reason::NoEndpoint => NotRunReason::NoEndpoint,
        Reason::OverLimit | Reason::KeyTableFull => NotRunReason::OverLimit,
        Reason::EndpointRefused => NotRunReason::EndpointRefused,
        Reason::Cancelled => NotRunReason::Cancelled,
        Reason::AlreadyRunning => NotRunReason::AlreadyRunning,
        Reason::AlreadyFinished => NotRunReason::KeyFinished,
        Reason::AlreadyFailed => NotRunReason::KeyFailed,
        Reason::KeyConflict => NotRunReason::KeyConflict,
        Reason::ControlUnreachable => NotRunReason::ControlUnreachable,
        Reason::GrantExpired => NotRunReason::GrantExpired,
        Reason::SidecarLost | Reason::VerdictForgotten => NotRunReason::SidecarLost,
        Reason::EndpointFailed | Reason::EndpointTimeout => NotRunReason::EndpointFailed,
        Reason::AnswerTruncated | Reason::AnswerGarbled => NotRunReason::AnswerTruncated,
        Reason::AnswerCrossed => NotRunReason::AnswerCrossed,
    }
}

pub(crate) fn wire_verdict(verdict: hinge_outcome::Verdict) -> Verdict {
    match verdict {
        hinge_outcome::Verdict::NeverHandedOver { .. } => Verdict::NeverHandedOver,
        hinge_outcome::Verdict::Running { .. } => Verdict::Running,
        hinge_outcome::Verdict::Completed { .. } => Verdict::Completed,
        hinge_outcome::Verdict::Failed { .. } => Verdict::Failed,
        hinge_outcome::Verdict::Unknown => Verdict::Unknown,
    }
}
