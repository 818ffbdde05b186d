//! Decides the next steps of nightly upgrades and planned stops.
//!
//! [`decide`] is a pure function. It reads the folder in force, the members as announced, and the log's records of upgrades,
//! orders and drains, and returns the steps that are due together with a report. The steps are proposed to the log for one
//! revision of the upgrade record, so that each step is applied once, whichever leader decides.

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
