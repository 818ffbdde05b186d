//! The gateway role: routes requests by host and path to endpoints that have no sidecar.
//!
//! The gateway knows no header names. A [`Dialect`] decodes a request's headers into [`RequestFacts`] once, and writes the
//! headers for the endpoint. Routes, teams and endpoints come from control and are versioned: a gateway never goes back to
//! an older version.

mod admission;
mod admission_stream;
mod answer;
mod attempt;
mod batch;
mod body;
pub mod capacity;
mod connection;
mod connections;
mod contact;
mod deadline;
mod dedicated_thread;
mod dialect;
mod endpoint;
mod events;
mod follow;
mod gateway;
mod gateway_count;
mod guarded_stream;
mod handoff;
mod headers;
mod history;
mod incarnation;
mod job;
mod listener;
mod lookup;
mod metrics;
mod notices;
mod overload;
mod part_trials;
mod peer_discovery;
mod peer_updates;
mod plain;
mod planned_stop;
mod pool;
mod prepared_refusal;
mod refusal;
mod request_body;
mod resumption;
mod routing_state;
mod serve;
mod stream_directory;
mod streaming;
mod suspect_reports;
mod suspects;
mod takeover;
mod team_usage;
mod units;

pub use dialect::{AnswerFacts, Dialect, Disposition, EndpointLoad, ForwardFacts, RequestFacts};
pub use events::EventSplitter;
pub use gateway::{Gateway, GatewaySettings};
