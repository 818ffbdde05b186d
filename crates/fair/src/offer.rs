//! Defines what enters and leaves the queue.

use std::{error::Error, fmt, time::Duration};

use crate::team::TeamIndex;

/// Number of urgency classes.
pub(crate) const CLASSES: usize = 3;

/// How urgent a request is; a class orders work and is never free of charge.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Goes first, and may use the headroom, while its team is near its share.
    Urgent,
    /// The ordinary class.
    Standard,
    /// Work that may wait longest.
    Batch,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; CLASSES] = [Self::Urgent, Self::Standard, Self::Batch];

    pub(crate) fn rank(self) -> usize {
        match self {
            Self::Urgent => 0,
            Self::Standard => 1,
            Self::Batch => 2,
        }
    }
}

/// Bounds of one queue.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most offers that wait in the whole queue.
    pub max_waiting: usize,
    /// Service units of the largest request that the pool admits.
    pub max_request_units: u64,
}

/// A request that asks for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Id that the entry chose; it is unique at this sidecar while the offer waits or runs.
    pub offer_id: u64,
    /// Name of the team that is charged.
    pub team: Box<str>,
    /// Urgency class.
    pub class: Class,
    /// Estimated cost in service units.
    pub estimated_units: u64,
    /// Latest useful start, on the clock that also gives `now`.
    pub deadline: Duration,
}

/// Free slots of the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreeSlots {
    /// Slots that are free now.
    pub free_slots: u32,
    /// How many of the free slots are kept as headroom for urgent offers.
    pub reserved_slots: u32,
}

/// An offer that was given a slot; its estimate is charged.
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
    /// How long the offer waited here.
    pub waited: Duration,
    /// What the caller stored with the offer.
    pub payload: T,
}

/// A waiting offer that made room for another one.
#[derive(Debug, Eq, PartialEq)]
pub struct Shed<T> {
    /// Id of the offer.
    pub offer_id: u64,
    /// Team that stood furthest above its share of the queue.
    pub team: TeamIndex,
    /// Why, and when to come back.
    pub refusal: Refusal,
    /// What the caller stored with the offer.
    pub payload: T,
}

/// A waiting offer whose deadline can't be met.
#[derive(Debug, Eq, PartialEq)]
pub struct Expired<T> {
    /// Id of the offer.
    pub offer_id: u64,
    /// Team of the offer.
    pub team: TeamIndex,
    /// Why, and when to come back.
    pub refusal: Refusal,
    /// What the caller stored with the offer.
    pub payload: T,
}

/// Why an offer doesn't wait here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The team is not configured here.
    UnknownTeam,
    /// An offer of this id waits or runs already.
    Duplicate,
    /// The team has as many offers waiting as it may.
    TeamFull,
    /// The queue is full and the team stands furthest above its share.
    QueueFull,
    /// The deadline has passed, or passes before the offer's turn at the observed rate.
    DeadlineUnmeetable,
}

/// A refusal: the request did not run, and when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the offer was refused.
    pub reason: Reason,
    /// After what time a new offer is likely to find a place.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns whether the request is proven not to have run because of this offer.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self.reason {
            // The offer that holds the id may be running.
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
            Reason::UnknownTeam => "the team is not known here",
            Reason::Duplicate => "an offer of this id waits or runs already",
            Reason::TeamFull => "the team's queue is full",
            Reason::QueueFull => "the queue is full and the team is furthest above its share",
            Reason::DeadlineUnmeetable => "the deadline can't be met",
        };
        let millis = self.retry_after.as_millis();
        write!(f, "{reason}; retry after {millis} ms")
    }
}

impl Error for Refusal {}
