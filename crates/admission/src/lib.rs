//! Schedules the requests that are sent to one model engine.
//!
//! Engines accept requests in order of arrival and know nothing of teams, so a gateway asks the engine's admission
//! for a slot before it sends a request. [`AdmissionQueue`] decides, without any I/O, and [`Server`] exposes it to
//! gateways. Responses don't pass through the admission; a gateway that can't reach it sends requests without a slot.

mod accounts;
mod cache;
mod engine;
mod order;
mod pace;
mod prefill_rate;
mod queue;
mod request;
mod returns;
mod server;
mod session;
mod turn;
mod usage;

pub use cache::PrefixCache;
pub use engine::{Engine, EngineReport, EngineRequest, ReportOutcome};
pub use pace::Pace;
pub use prefill_rate::PrefillRate;
pub use queue::AdmissionQueue;
pub use request::{Decision, Load, QueueLimits, RefusalCause, SlotRequest, SlotRequestId};
pub use returns::{MAX_PROMISES, Promise, RefusedRequest, ReturnTime, Returns};
pub use server::{ASKS_PATH, FIND_STREAMS_PATH, LOAD_PATH, Server};
pub use usage::TeamUsage;
