//! Decides where a request is offered, and what an endpoint has room for.
//!
//! The crate is pure. Time is passed in as the span since the start of the process, and randomness as a generator.
//!
//! - [`slots`] counts at a sidecar what its endpoint has room for.
//! - [`selection`] decides at an entry which sidecars of a pool get an offer, and when the circle widens.
//! - [`hints`] holds what late and gappy cache events say about prompt prefixes.
//! - [`health`] judges one endpoint by its outcomes, and [`pool_health`] keeps the ejected part of a pool small.

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

/// Names a sidecar; the same id as in `hinge-outcome`.
pub type SidecarId = u64;

/// Names an entry.
pub type EntryId = u64;

/// Holds the hash of a prompt's prefix.
pub type PrefixHash = u64;
