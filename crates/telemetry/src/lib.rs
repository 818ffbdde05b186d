//! Provides the logs, the metrics page, and the health and readiness paths of every role.

pub mod admin;
pub mod lines;
pub mod log;
pub mod metrics;
pub mod parse;
pub mod readiness;
