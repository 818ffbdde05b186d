//! Measures the resources that each role uses: starts processes of the daemon, observes them, and fits lines over size.

pub mod caller;
pub mod config_files;
pub mod fit;
pub mod fleet;
pub mod reading;
