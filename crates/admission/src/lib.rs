//! Runs the admission role: it stands beside one model engine and says which request is sent to it next.
//!
//! Engines take requests as they come and know no teams. So a gateway asks here before it sends: [`Admission`] is the
//! queue, without any I/O, and [`Server`] serves it. The answers don't pass through here; a gateway that can't reach the
//! admission sends unasked.

mod accounts;
mod ask;
mod asks;
mod cache;
mod engine;
mod order;
mod pace;
mod queue;
mod serve;
mod turn;
mod usage;

pub use ask::{Ask, AskId, Decision, Load, RefusalCause, Rules};
pub use cache::Cache;
pub use engine::{Answer, Engine, Report, Run};
pub use pace::Pace;
pub use queue::Admission;
pub use serve::{ASKS_PATH, LOAD_PATH, Server};
pub use usage::Usage;
