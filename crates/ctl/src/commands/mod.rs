//! The commands, one per module.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod evacuations;
pub(crate) mod explain;
pub(crate) mod history;
pub(crate) mod orders;
pub(crate) mod pull;
pub(crate) mod remove_control;
pub(crate) mod report;
pub(crate) mod rollback;
pub(crate) mod shares;
pub(crate) mod status;
pub(crate) mod suspects;
pub(crate) mod upgrade;
pub(crate) mod wait;
