//! Estimates what a request will cost before it has run.
//!
//! The crate is pure: no I/O, no clock, no randomness. An entry asks before it offers a request, and tells what the
//! request cost once its answer has ended. The choice among the ways that were tried, with figures, is in
//! `docs/design/cost-estimate.md`.

mod estimator;
mod histogram;

pub use crate::estimator::{
    Estimate, Estimator, Features, Grouping, MAX_TEAM_BYTES, MAX_TEAM_GROUPS, MAX_TEAMS, Rules,
};
pub use crate::histogram::TokenHistogram;
