//! End-to-end tests: real processes on loopback, checked by counting what callers receive and what endpoints run.
//!
//! Every wait is for a condition, with a timeout far longer than any machine needs; no test result depends on the length of
//! a sleep.

mod caller;
mod configuration;
mod endpoint_faults;
mod fleet;
mod flood;
mod idempotency_keys;
mod operator;
mod planned_stop;
mod process;
mod process_faults;
mod process_loss;
mod reload;
mod reserve;
mod running_fleet;
mod signals;
mod unconfirmed_claims;
mod whole_path;
