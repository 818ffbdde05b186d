//! The control role and the relay role.
//!
//! A control instance stores a replica of the Raft log. One thread ([`Control`] owns it) runs the log and its disk I/O;
//! async tasks serve the other processes and the operators. Calls that only the leader may answer are forwarded to it in
//! one hop. An instance that can't know the current state answers 503 or `Unavailable`; it never presents stale state as
//! current.
//!
//! A relay has no disk. It watches control on behalf of its data centre, and keeps serving its last known state while
//! control is unreachable.

mod control;
mod core;
mod directory;
mod downstream;
mod driver;
mod evacuation_calls;
mod follow;
mod join;
mod memory;
mod metrics;
mod open;
mod operator_calls;
mod operators;
mod orders;
mod peer_calls;
mod peer_client;
mod peers;
mod refused_reports;
mod relay;
mod relay_calls;
mod route;
mod routing_calls;
mod settings;
mod soft_state;
mod suspect_calls;
mod table_calls;
mod upgrade;

pub use control::{Control, StopOutcome};
pub use evacuation_calls::EvacuationError;
pub use open::OpenError;
pub use operators::{OperatorKeys, OperatorKeysError};
pub use peer_client::{Dial, Direct};
pub use relay::Relay;
pub use routing_calls::{
    EndpointReportOutcome, MEET_GATEWAYS_PATH, PutTableError, RoutingCalls, RoutingUnavailable,
    WATCH_ROUTES_PATH,
};
pub use settings::{ControlSettings, Peer, RelaySettings};
pub use suspect_calls::{NOTE_SUSPECTS_PATH, TRY_PARTS_PATH};
