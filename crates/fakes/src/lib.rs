//! Provides stand-ins for what stands outside the fleet: a model engine and a plain service.
//!
//! With the feature `process`, it also starts the daemon's binary for tests.

#[cfg(feature = "process")]
pub mod process;
pub mod stand_in;
