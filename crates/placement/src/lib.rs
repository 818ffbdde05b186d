//! Sidecar selection, endpoint capacity and endpoint health.
//!
//! The crate does no I/O. Callers pass in the time since the process started and a random number generator.
//!
//! - [`slots`] tracks the slots and KV cache tokens in use at a sidecar's endpoint.
//! - [`selection`] decides at an entry which sidecars of a pool are offered a request, and when to try more of them.
//! - [`hints`] records which sidecars have a prompt prefix cached, according to late and incomplete cache events.
//! - [`health`] detects a failing endpoint by its outcomes, and [`pool_health`] limits how much of a pool is ejected.

pub mod selection;

pub mod hash;
pub mod health;
pub mod hints;
pub mod pool_health;
pub mod slots;

pub use health::{EndpointHealth, HealthRules, LocalEndpointHealth, Sample};
pub use pool_health::PoolHealth;
pub use selection::{AffinityScope, AttemptOffers, Load, Round, SelectionRules, SidecarSelector};
pub use slots::{Availability, Demand, EngineReport, SlotRules, Slots};

/// The id of a sidecar, the same as in `hinge-outcome`.
pub type SidecarId = u64;

/// The id of an entry.
pub type EntryId = u64;

/// The hash of a prompt's prefix.
pub type PrefixHash = u64;
