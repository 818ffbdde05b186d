//! Starts the real binary as separate processes on loopback, and checks the promises at the callers' end by counting.
//!
//! Every wait is for a condition, bounded only by a timeout far beyond what any machine needs; none is a sleep whose length
//! decides the verdict.

mod caller;
mod configuration;
mod endpoint;
mod faults;
mod fleet;
mod flood;
mod keys;
mod leaving;
mod lost;
mod operator;
mod process;
mod reload;
mod reserve;
mod signals;
mod started;
mod whole_path;
