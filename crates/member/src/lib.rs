//! Holds what a process knows of the fleet: the configuration, the live members, and its own lease.
//!
//! A background task announces the process to control, renews its lease, and watches for changes. What arrives on the data path
//! (from an entry or a sidecar that holds a newer configuration) is taken in the same way, so that a process that control can't
//! reach still learns. Nothing here ever steps back to an older configuration.

mod backoff;
mod list;
mod member;
mod spread;
mod tasks;

pub use list::{MemberList, MembersApplied};
pub use member::Member;
