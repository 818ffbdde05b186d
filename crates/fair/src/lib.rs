//! Decides whom a pool serves next, and how far apart the teams' service may drift.
//!
//! Two parties use this crate. A sidecar holds a [`Queue`] of offers and grants its free slots from it. A merging process
//! (control or a relay) holds [`Totals`] of every sidecar's [`Sums`] and returns the totals of backlogged teams, which
//! the sidecar hands to [`Queue::apply_totals`].
//!
//! Everything here is a pure decision: the caller passes the time as a [`std::time::Duration`] since a fixed start, there
//! is no I/O, and equal calls give equal results. The derivation of the rules is in `docs/design/fair-service.md`.

mod bound;
mod choose;
mod deadline;
mod drain_rate;
mod exchange;
mod offer;
mod origin_record;
mod peer_ratio;
mod queue;
mod reply;
mod shed;
mod sums;
mod team;
mod totals;
mod upstream;
mod urgent;

pub use crate::{
    bound::FairnessBound,
    exchange::BACKLOG_LISTING_TTL,
    offer::{Class, Expired, FreeSlots, Limits, Offer, Picked, Reason, Refusal, Shed},
    queue::Queue,
    sums::{Epoch, Origin, ServiceSum, ServiceSums, SumsReport, TeamSum},
    team::{
        Account, CORRECTION_FACTOR, MAX_LEAD_REQUESTS, NormalisedUnits, SCALE, TeamIndex, normalise,
    },
    totals::{MAX_TOMBSTONES, ORIGIN_EXPIRY_TIMEOUT, ORIGIN_SILENCE_TIMEOUT, Totals},
    upstream::{TeamTotal, TotalsReply},
    urgent::{DEFAULT_URGENT_ALLOWANCE_PPM, URGENT_WINDOW_REQUESTS},
};
