//! Decides the next steps of nightly upgrades and planned stops.
//!
//! [`decide`] is pure and keeps nothing. It reads the folder in force, the members as announced, and what the log holds of
//! upgrades, orders and drains, and returns the steps that are due together with a report. The steps are proposed to the
//! log for one revision of its record, so that whichever leader decides, each step is taken once.

mod capacity;
mod decide;
mod fleet;
mod plans;
mod progress;
mod report;
mod stops;
mod store;
mod window;

pub use crate::{
    capacity::{Capacity, required_endpoints},
    decide::{Decision, MAX_STEPS, decide},
    fleet::{Endpoint, Fleet},
    progress::{LOAD_GRACE_MS, STEP_TIMEOUT_MS},
    report::{PlanReport, StopReport, WaitReason},
    store::STORE_BURST_MS,
};
