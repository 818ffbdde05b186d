//! Logging, metrics, and the admin server with its health and readiness paths, for every role.

pub mod admin;
pub mod log;
pub mod metrics;
pub mod parse;
pub mod readiness;
pub mod writer;
