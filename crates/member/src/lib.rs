//! A process's view of the fleet: the configuration, the live members, and its own lease.
//!
//! Background tasks announce the process to control, renew its lease, and watch for changes. Updates that arrive on the data
//! path (from an entry or a sidecar with a newer configuration) are applied in the same way, so that a process that can't
//! reach control still receives them. The configuration never goes back to an older version.

mod backoff;
mod gossip;
mod list;
mod member;
mod tasks;

pub use list::{MemberList, MembersApplied};
pub use member::Member;
