//! Estimates the cost of a request before it runs.
//!
//! The crate does no I/O and uses no clock or randomness. An entry requests an estimate before it offers a request, and
//! reports the actual cost once the answer has ended. `docs/design/cost-estimate.md` compares the methods of estimation.

mod estimator;
mod histogram;

pub use crate::estimator::{
    Estimate, Estimator, Features, Grouping, MAX_TEAM_BYTES, MAX_TEAM_GROUPS, MAX_TEAMS, Rules,
};
pub use crate::histogram::TokenHistogram;
