//! Decides what the entries of the replicated log mean, and keeps the soft state of the members.
//!
//! [`State`] is the state machine above the log: every instance applies the same commands in the same order and holds the
//! same state. [`members::Members`] isn't in the log: the leader learns it from announcements, and the other instances and
//! relays follow it by versions. Both are pure: the time and the randomness are arguments.

pub mod changes;
pub mod command;
pub mod folder;
pub mod keys;
pub mod members;
pub mod orders;
pub mod roster;
pub mod routing;
pub mod service;
pub mod state;
pub mod upgrades;

pub use changes::Changes;
pub use command::{
    ChangeCommand, Checked, Command, DrainCommand, OrderCommand, OrderResult, Reply,
    SuspectsCommand,
};
pub use folder::{Change, Folder};
pub use members::{LeaseLimits, Members};
pub use roster::Roster;
pub use routing::{EndpointCommand, EndpointId, Incarnation, LastReports, Routing, StartTime};
pub use state::{ControlName, RestoreError, State};
pub use upgrades::{UpgradeCommand, UpgradeStep, Upgrades};

/// Numbers an operator's change; the operator draws it, and a resent change carries the same.
pub type ChangeId = Box<str>;

/// Names an instance.
pub type InstanceName = Box<str>;

/// Numbers orders so that an endpoint can refuse an old leader's; it never falls.
pub type Fence = u64;

/// Numbers an order.
pub type OrderId = u64;

/// Counts milliseconds since 1970 by the leaders' clocks; in the log it never goes back.
pub type WallMs = u64;
