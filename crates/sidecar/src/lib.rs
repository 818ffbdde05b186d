//! The sidecar of one endpoint; all of the endpoint's requests go through it.
//!
//! An entry offers a request; the sidecar grants a slot when the fair queue says so, takes the whole request, claims its key
//! where one is needed, hands it to the endpoint once, and streams the answer back so that a broken exchange can be resumed.
//!
//! - [`dispatch`] decides which offers get slots, without I/O; one lock guards it.
//! - [`meter`] measures service units and [`fence`] checks fencing numbers, both without I/O.
//! - [`claims`] claims idempotency keys at control.
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
