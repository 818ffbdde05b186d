//! Types that enter and leave the queue.

use std::{error::Error, fmt, time::Duration};

use crate::team::TeamIndex;

/// Number of urgency classes.
pub(crate) const CLASSES: usize = 3;

/// Urgency class of a request; it affects the order of work, and every class is charged in full.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Served first, also from reserved slots, while its team is within its urgent allowance.
    Urgent,
    /// The default class.
    Standard,
    /// Work that tolerates the longest wait.
    Batch,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; CLASSES] = [Self::Urgent, Self::Standard, Self::Batch];

    pub(crate) fn rank(self) -> usize {
        match self {
            Self::Urgent => 0,
            Self::Standard => 1,
            Self::Batch => 2,
        }
    }
}

/// Limits of one queue.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of waiting offers in the whole queue.
    pub max_waiting: usize,
    /// Service units of the largest request that the pool admits.
    pub max_request_units: u64,
}

/// A request that asks for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Id chosen by the entry, unique at this sidecar while the offer waits or runs.
    pub offer_id: u64,
    /// Name of the team that is charged.
    pub team: Box<str>,
    /// Urgency class.
    pub class: Class,
    /// Estimated cost in service units.
    pub estimated_units: u64,
    /// Latest useful start, on the same clock as `now`.
    pub deadline: Duration,
}

/// The free slots of the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreeSlots {
    /// Number of slots that are free now.
    pub free_slots: u32,
    /// Number of the free slots that are reserved for urgent offers.
    pub reserved_slots: u32,
}

/// An offer that was picked for a slot and whose estimate is charged.
#[derive(Debug, Eq, PartialEq)]
pub struct Picked<T> {
    /// Id of the offer.
    pub offer_id: u64,
    /// Team that is charged.
    pub team: TeamIndex,
    /// Urgency class.
    pub class: Class,
    /// Estimated cost in service units.
    pub estimated_units: u64,
    /// Latest useful start.
    pub deadline: Duration,
    /// Time that the offer waited here.
    pub waited: Duration,
    /// Value that the caller stored with the offer.
    pub payload: T,
}

/// A waiting offer that was removed from a full queue in favour of a new one.
#[derive(Debug, Eq, PartialEq)]
pub struct Shed<T> {
    /// Id of the offer.
    pub offer_id: u64,
    /// Team of the offer, which was furthest above its share of the queue.
    pub team: TeamIndex,
    /// Reason, and when to retry.
    pub refusal: Refusal,
    /// Value that the caller stored with the offer.
    pub payload: T,
}

/// A waiting offer that was removed because its deadline can't be met.
#[derive(Debug, Eq, PartialEq)]
pub struct Expired<T> {
    /// Id of the offer.
    pub offer_id: u64,
    /// Team of the offer.
    pub team: TeamIndex,
    /// Reason, and when to retry.
    pub refusal: Refusal,
    /// Value that the caller stored with the offer.
    pub payload: T,
}

/// Why an offer is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The team is not configured here.
    UnknownTeam,
    /// An offer with this id already waits or runs.
    Duplicate,
    /// The team has reached its limit of waiting offers.
    TeamFull,
    /// The queue is full and the team is furthest above its share.
    QueueFull,
    /// The deadline has passed, or would pass before the offer's turn at the observed drain rate.
    DeadlineUnmeetable,
}

/// Why an offer was refused, and when to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the offer was refused.
    pub reason: Reason,
    /// Delay after which a new offer is likely to be accepted.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns whether this offer certainly didn't cause the request to run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self.reason {
            // The earlier offer with this id may be running.
            Reason::Duplicate => false,
            Reason::UnknownTeam
            | Reason::TeamFull
            | Reason::QueueFull
            | Reason::DeadlineUnmeetable => true,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = match self.reason {
            Reason::UnknownTeam => "the team is not configured here",
            Reason::Duplicate => "an offer with this id already waits or runs",
            Reason::TeamFull => "the team's queue is full",
            Reason::QueueFull => "the queue is full and the team is furthest above its share",
            Reason::DeadlineUnmeetable => "the deadline can't be met",
        };
        let millis = self.retry_after.as_millis();
        write!(f, "{reason}; retry after {millis} ms")
    }
}

impl Error for Refusal {}
