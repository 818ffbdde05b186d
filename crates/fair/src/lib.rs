//! Weighted fair queueing across the sidecars of a pool, with a bound on the service gap between teams.
//!
//! A sidecar grants its free slots from a [`Queue`] of offers. A merging process (control or a relay) combines the
//! [`ServiceSums`] of every sidecar in [`Totals`] and replies with the totals of backlogged teams, which the sidecar passes
//! to [`Queue::apply_totals`].
//!
//! Everything here is deterministic and does no I/O: the caller passes the time as a [`std::time::Duration`] since a fixed
//! start, and equal calls give equal results. The rules are derived in `docs/design/fair-service.md`.

mod bound;
mod choose;
mod deadline;
mod drain;
mod exchange;
mod offer;
mod origin_record;
mod peers;
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
