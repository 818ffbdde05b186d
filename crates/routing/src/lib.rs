//! Decides where a request goes, without any I/O and with the time as an argument.
//!
//! [`RouteIndex`] finds the route and the team of a request. [`choose_endpoint`] ranks the endpoints that may take it. [`RetryBudget`]
//! bounds how often requests are sent a second time, and [`CircuitBreaker`] keeps endpoints out that fail. [`load_interval`]
//! says how often a gateway wants to hear of their loads, [`CachedPrefixes`] and [`choose_kv_source`] where the parts of a prompt are kept,
//! [`UsageLag`] where a refused request may still ask, and [`OverloadControl`] which requests a gateway turns away because it is itself too busy;
//! [`PeerGateways`] chooses another gateway for them.
//! [`ControlInstances`] names the control instances that it asks. [`CrashTracker`] tells which requests an endpoint took with it when it ended, by
//! their [`RequestKey`], and [`Suspects`] which of those ends its endpoints.

mod cached_prefixes;
mod check;
mod choose;
mod circuit_breaker;
mod connection_limit;
mod control_instances;
mod counts;
mod crashes;
mod kv_source;
mod load_interval;
mod overload;
mod peer_gateways;
mod request_key;
mod retry_budget;
mod route_index;
mod suspects;
mod team_demand;
mod usage_lag;

pub use cached_prefixes::{CachedPrefixes, Holders, IncarnationHash};
pub use check::{TableError, check_table};
pub use choose::{
    Candidate, ChoiceRules, Prompt, PromptPart, choose_after_refusal, choose_endpoint, home_rank,
};
pub use circuit_breaker::{CircuitBreaker, CircuitBreakerRules};
pub use control_instances::{Address, ControlInstances};
pub use counts::{LimitKind, OverloadCounts};
pub use crashes::CrashTracker;
pub use kv_source::{KvSource, choose_kv_source, token_copy_time};
pub use load_interval::load_interval;
pub use overload::{OverloadControl, OverloadRules, Overloaded};
pub use peer_gateways::PeerGateways;
pub use request_key::{RequestKey, RequestKeyError};
pub use retry_budget::{RetryBudget, RetryBudgetRules};
pub use route_index::RouteIndex;
pub use suspects::Suspects;
pub use usage_lag::{Backlog, BacklogLimits, UsageLag};
