//! A Raft replicated log as a pure state machine: messages in, messages and writes out.
//!
//! A [`Node`] does no I/O and reads no clock. A driver passes it the time, messages, proposals and sync completions, and
//! calls [`Node::take_output`] after each batch of inputs. For each [`Output`] the driver
//!
//! 1. passes `writes` to the store in order, and calls [`Node::persisted`] with the token once they are synced;
//! 2. sends `messages` at once: a message that depends on durable state is only output after its writes were synced;
//! 3. installs the snapshot in `install`, if there is one, into the state machine, then applies `committed` in order;
//! 4. answers `reads` from the state machine, after step 3, without waiting.

mod config;
mod election;
mod error;
mod held;
mod lease;
mod log;
mod membership;
mod message;
mod node;
mod outbox;
mod output;
mod progress;
mod proposal;
mod read;
mod replicate;
mod snapshot;
mod transfer;
pub mod types;

pub use config::Config;
pub use error::{ConfigError, MembershipError, OpenError, ProposeError, ReadError, TransferError};
pub use held::HeldBytes;
pub use membership::MembershipChange;
pub use message::{AppendResult, Body, Message};
pub use node::{Node, PeerStatus, PersistentState, Status};
pub use output::{DropReason, Output, ProposalDropped, ReadReady, Role, RoleChange, Write};
pub use types::{Entry, EntryKind, HardState, Index, Membership, NodeId, Snapshot, Term};

/// The id of a cluster; messages from other clusters are ignored.
pub type ClusterId = u64;

/// The number of a batch of writes; a later batch has a higher token.
pub type WriteToken = u64;

/// The id of a read, chosen by the driver.
pub type ReadId = u64;
