//! Decides where a request goes, without any I/O and with the time as an argument.
//!
//! - [`RouteIndex`] finds the route and the team of a request, in a table that [`check_table`] accepts.
//! - [`choose_endpoint`] chooses the endpoint of a request, and [`choose_after_refusal`] another one if that
//!   refuses.
//! - [`Pace`] tells how fast an endpoint works, by which both of them count its load and its share of the homes.
//! - [`PlainSpeed`] estimates the speed and load of an endpoint without an engine, and [`choose_plain`] chooses
//!   among such endpoints.
//! - [`return_key`] recognises a refused request when its caller comes back.
//! - [`UsageLag`] decides which endpoints a refused request may still try.
//! - [`CachedPrefixes`] remembers which endpoints have a prompt prefix cached, and [`choose_kv_source`] where
//!   to copy it from.
//! - [`load_interval`] limits how often a gateway receives the loads of endpoints.
//! - [`WarmUp`] and [`WarmUpShare`] limit the requests that an endpoint receives while it warms up.
//! - [`Homes`] tells in which regions a request may be handled.
//! - [`RetryBudget`] limits retries, and [`CircuitBreaker`] ejects endpoints that fail.
//! - [`OverloadControl`] decides which requests an overloaded gateway refuses, and [`PeerGateways`] chooses
//!   another gateway for them.
//! - [`StreamOrigins`] remembers which software version began a stream, and [`PeerList`] the gateways that keep
//!   copies of that.
//! - [`table_bytes`] estimates the memory of a route table; [`diff_tables`] and [`patch_table`] make and apply the
//!   difference between two tables, and [`RecentPatches`] keeps the last ones.
//! - [`ControlInstances`] selects the control instances that a gateway queries.
//! - [`CrashTracker`] tells which requests, named by their [`RequestKey`], an endpoint was running when it
//!   crashed, and [`Suspects`] which of them, or which of their prompt parts, crash their endpoints;
//!   [`PartEvidence`] tells which crashes count against a part.

mod cached_prefixes;
mod check;
mod choose;
mod circuit_breaker;
mod connection_limit;
mod control_instances;
mod counts;
mod crashes;
mod handoff_limit;
mod homes;
mod kv_source;
mod load_interval;
mod origin_log;
mod overload;
mod pace;
mod part_evidence;
mod peer_gateways;
mod peer_list;
mod plain_choice;
mod plain_speed;
mod prefix_homes;
mod request_key;
mod retry_budget;
mod return_key;
mod route_index;
mod stream_origins;
mod suspects;
mod table_bytes;
mod table_patch;
mod team_demand;
mod usage_lag;
mod warm_up;

pub use cached_prefixes::{CachedPrefixes, Holders, IncarnationHash};
pub use check::{TableError, check_homes, check_table};
pub use choose::{
    Candidate, ChoiceRules, Prompt, PromptPart, choose_after_refusal, choose_endpoint, home_rank,
};
pub use circuit_breaker::{CircuitBreaker, CircuitBreakerRules};
pub use control_instances::{Address, ControlInstances};
pub use counts::{LimitKind, OfferFailure, OverloadCounts};
pub use crashes::CrashTracker;
pub use homes::{DataCenters, Homes, has_homes};
pub use kv_source::{KvSource, choose_kv_source, token_copy_time};
pub use load_interval::load_interval;
pub use origin_log::{CopyProgress, OriginLog};
pub use overload::{OverloadControl, OverloadRules, Overloaded};
pub use pace::Pace;
pub use part_evidence::{AnswerProgress, PartEvidence};
pub use peer_gateways::PeerGateways;
pub use peer_list::PeerList;
pub use plain_choice::{PlainCandidate, PlainChoice, PlainOutcome, choose_plain};
pub use plain_speed::{PlainRequest, PlainSpeed};
pub use request_key::{RequestKey, RequestKeyError};
pub use retry_budget::{RetryBudget, RetryBudgetRules};
pub use return_key::return_key;
pub use route_index::RouteIndex;
pub use stream_origins::{Known, StreamKey, StreamOrigin, StreamOrigins};
pub use suspects::Suspects;
pub use table_bytes::table_bytes;
pub use table_patch::{
    PatchError, RecentPatches, diff_tables, is_patch_worthwhile, patch_bytes, patch_table,
};
pub use usage_lag::{Backlog, BacklogLimits, SpillLimits, UsageLag};
pub use warm_up::{WarmUp, WarmUpLimits, WarmUpShare};
