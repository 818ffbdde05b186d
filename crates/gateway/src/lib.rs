//! The gateway role: routes requests by host and path to endpoints that have no sidecar.
//!
//! The gateway knows no header names. A [`Dialect`] decodes a request's headers into [`RequestFacts`] once, and writes the
//! headers for the endpoint. Routes, teams and endpoints come from control and are versioned: a gateway never goes back to
//! an older version.

mod admit;
mod answer;
mod apart;
mod attempt;
mod batch;
mod body;
mod connections;
mod dialect;
mod door;
mod endpoint;
mod events;
mod fleet;
mod follow;
mod gateway;
mod handoff;
mod headers;
mod job;
mod line;
mod load;
mod meet;
mod metrics;
mod neighbours;
mod pool;
mod pump;
mod refusal;
mod said;
mod serve;
mod story;
mod suspects;
mod takeover;
mod teams;
mod tell;

pub use dialect::{AnswerFacts, Dialect, Disposition, EndpointLoad, ForwardFacts, RequestFacts};
pub use events::EventSplitter;
pub use gateway::{Gateway, GatewaySettings};
