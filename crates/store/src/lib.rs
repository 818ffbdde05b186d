//! Durable storage of a control instance's replicated log, in one data folder.
//!
//! [`Store::open`] recovers what was synced, [`Store::write`] buffers changes, and [`Store::sync`] makes the batch durable
//! with one sync. [`Store::take_snapshot`] replaces the older part of the log. The [`Disk`] trait abstracts the disk:
//! [`FolderDisk`] is the real one, and [`fake::FakeDisk`] fails on demand. All calls block, so callers run the store on a
//! dedicated thread.
//!
//! # Examples
//!
//! ```
//! use hinge_raft::{Entry, EntryKind, HardState};
//! use hinge_store::fake::FakeDisk;
//! use hinge_store::{Identity, Options, Origin, Store, Write};
//!
//! let identity = Identity {
//!     cluster_id: "surf".into(),
//!     instance: "control-1".into(),
//! };
//! let disk = FakeDisk::new();
//! let created = Store::create(disk.clone(), &identity, 7, Origin::Founder, Options::default());
//! let (mut store, _) = created.expect("a store can be created on an empty disk");
//! let entry = Entry {
//!     term: 1,
//!     index: 1,
//!     kind: EntryKind::Noop,
//!     payload: Default::default(),
//! };
//! let hard_state = HardState {
//!     term: 1,
//!     voted_for: Some(7),
//!     commit: 0,
//! };
//! let batch = [Write::HardState(hard_state), Write::Append(vec![entry.clone()])];
//! store.write(&batch).expect("the changes are in order");
//! store.sync().expect("the disk is good"); // The batch may be acknowledged from here on.
//! drop(store);
//!
//! let opened = Store::open(disk, &identity, Options::default());
//! let (_, recovered) = opened.expect("the folder is undamaged");
//! assert_eq!((recovered.hard_state, recovered.entries), (hard_state, vec![entry]));
//! ```
//!
//! `docs/design/durable-store.md` describes the format, and what recovery can and can't distinguish.

pub mod codec;
mod disk;
mod error;
pub mod fake;
mod format;
mod log_state;
mod recover;
mod replay;
mod store;

pub use disk::{Disk, FolderDisk};
pub use error::{Damage, OpenError, OutOfOrder, WriteError};
pub use format::{Identity, Origin};
pub use recover::{Recovered, TornTail};
pub use store::{Options, Store, Write};
