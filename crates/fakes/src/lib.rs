//! Test doubles for what lies outside the fleet: a model engine and a plain HTTP service.
//!
//! With the feature `process`, the crate also starts the daemon's binary for tests.

#[cfg(feature = "process")]
pub mod process;
pub mod stand_in;
