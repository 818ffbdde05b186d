//! Decides which connection gives way when peers hold all of a process's memory or descriptors.
//!
//! A process bounds what its peers can make it hold. With no room left, refusing whoever comes next would let a crowd that never
//! finishes its requests keep everyone else out. A connection that waits for its own peer can be closed instead, without losing work:
//! its request was not read whole, its answer is not being read, or it has no request. The caller of this module closes it.

mod give_way;

pub use give_way::{Holding, IDLE_TIMEOUT, Need, STALL_TIMEOUT, choose};
