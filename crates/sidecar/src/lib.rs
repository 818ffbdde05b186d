//! Stands as the only gate to one endpoint.
//!
//! An entry offers a request; the sidecar grants a slot when the fair queue says so, takes the whole request, claims its key
//! where one is needed, hands it to the endpoint once, and streams the answer back so that a broken exchange can be resumed.
//!
//! - [`core`] holds every decision: it is pure, and one lock guards it.
//! - [`meter`] and [`fence`] are the smaller pure decisions.
//! - [`claims`] is the process edge to control for idempotency keys.
//! - [`Sidecar`] is the running role.

mod answer;
pub mod claims;
pub mod dispatch;
mod endpoint;
mod exchange;
pub mod fence;
pub mod meter;
mod metrics;
mod order;
mod reasons;
mod resume;
mod rules;
mod run;
mod settings;
mod shared;
mod sidecar;
mod sums;

pub use settings::{PoolKind, SidecarSettings, UnitWeights};
pub use sidecar::{DrainReport, Sidecar};
