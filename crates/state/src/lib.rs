//! The state machine above the replicated log, and the leader's soft state of the members.
//!
//! [`State`] is the state machine above the log: every instance applies the same commands in the same order and holds the
//! same state. [`members::Members`] isn't in the log: the leader builds it from announcements, and the other instances and
//! relays follow it by version. Both are deterministic: time and randomness are passed in as arguments.

pub mod changes;
pub mod command;
pub mod evacuations;
pub mod folder;
pub mod keys;
pub mod members;
pub mod orders;
pub mod roster;
pub mod routing;
pub mod service;
pub mod state;
pub mod upgrades;
pub mod warm_ups;

pub use changes::Changes;
pub use command::{
    ChangeCommand, Checked, Command, DrainCommand, OrderCommand, OrderResult, Reply,
    SuspectsCommand, TrialCommand,
};
pub use evacuations::{DataCenter, EvacuationCommand, EvacuationRevision, Evacuations};
pub use folder::{Change, Folder};
pub use members::{LeaseLimits, Members};
pub use roster::Roster;
pub use routing::{EndpointCommand, EndpointId, Incarnation, LastReports, Routing, StartTime};
pub use state::{ControlName, LOG_FORMAT, RestoreError, State};
pub use upgrades::{UpgradeCommand, UpgradeStep, Upgrades};
pub use warm_ups::WarmUps;

/// The id of an operator's change, which the operator draws at random; a resent change carries the same id.
pub type ChangeId = Box<str>;

/// The name of an instance.
pub type InstanceName = Box<str>;

/// The fencing number of an order, by which an endpoint refuses orders of earlier leaders; it never decreases.
pub type Fence = u64;

/// The number of an order.
pub type OrderId = u64;

/// Unix time in milliseconds by the leaders' clocks; within the log it never goes back.
pub type WallMs = u64;
