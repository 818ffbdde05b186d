//! Runs the control role and the relay role.
//!
//! A control instance keeps a copy of the replicated log. One thread drives the log and its disk ([`Control`] owns it), and
//! async tasks serve the other processes and the operators. What only the leader may answer is forwarded to it in one
//! hop; an instance that can't know the current state answers 503 or `Unavailable`, and never an old answer as current.
//!
//! A relay has no disk. It follows control on behalf of its data centre, and keeps serving what it has when control is gone.

mod caller;
mod control;
mod core;
mod directory;
mod downstream;
mod driver;
mod follow;
mod join;
mod metrics;
mod open;
mod operator_calls;
mod operators;
mod orders;
mod peer_calls;
mod peers;
mod refused_reports;
mod relay;
mod relay_calls;
mod route;
mod routing_calls;
mod settings;
mod soft_state;
mod suspect_calls;
mod upgrade;

pub use caller::{Dial, Direct};
pub use control::{Control, Stopped};
pub use open::OpenError;
pub use operators::{OperatorKeys, OperatorKeysError};
pub use relay::Relay;
pub use routing_calls::{
    MEET_GATEWAYS_PATH, Reported, RoutingCalls, RoutingUnavailable, WATCH_ROUTES_PATH,
};
pub use settings::{ControlSettings, Peer, RelaySettings};
pub use suspect_calls::NOTE_SUSPECTS_PATH;
