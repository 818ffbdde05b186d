//! Errors of the store; their messages tell the operator what to do.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::io;

use hinge_raft::types::{HardState, Index, NodeId, Term};

/// Damage found in a data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Damage {
    /// A record is invalid, and later records prove that it was synced.
    Record {
        /// File that contains it.
        file: Box<str>,
        /// Offset of the record, in bytes.
        offset: u64,
    },
    /// A valid record contradicts those before it.
    Sequence {
        /// File that contains it.
        file: Box<str>,
        /// Offset of the record, in bytes.
        offset: u64,
    },
    /// The start of a file is invalid, although files are synced before they are renamed into place.
    Start {
        /// The file.
        file: Box<str>,
    },
    /// A required file is missing.
    Missing {
        /// The file.
        file: Box<str>,
    },
    /// A file belongs to a different instance or incarnation than the folder does.
    Stray {
        /// The file.
        file: Box<str>,
    },
}

impl Display for Damage {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Record { file, offset } => write!(
                f,
                "{file} has an invalid record at byte {offset} that had been synced"
            ),
            Self::Sequence { file, offset } => write!(
                f,
                "{file} has a record at byte {offset} that contradicts those before it"
            ),
            Self::Start { file } => write!(f, "{file} has an invalid start"),
            Self::Missing { file } => write!(f, "{file} is missing"),
            Self::Stray { file } => write!(f, "{file} belongs to another instance or incarnation"),
        }
    }
}

/// The reason why a data folder can't be used.
#[derive(Debug)]
pub enum OpenError {
    /// The folder contains no store.
    Empty,
    /// The folder already contains a store, but a new one was to be created.
    NotEmpty,
    /// Another process has locked the folder.
    Locked,
    /// The folder belongs to another cluster or instance.
    OtherOwner {
        /// Cluster and instance found.
        found: Box<str>,
        /// Cluster and instance expected.
        expected: Box<str>,
    },
    /// The incarnation given for a rejoin is one that the folder had before.
    SameIncarnation(NodeId),
    /// A file has a later format version.
    NewerFormat {
        /// The file.
        file: Box<str>,
        /// Its format version.
        found: u32,
        /// Latest format version that this program reads.
        known: u32,
    },
    /// Synced data is damaged; this incarnation must not continue.
    Damaged(Damage),
    /// The disk is full.
    NoSpace(io::Error),
    /// The disk failed in another way.
    Disk(io::Error),
}

impl OpenError {
    /// Returns whether the instance must rejoin under a new incarnation.
    #[must_use]
    pub fn is_damage(&self) -> bool {
        matches!(self, Self::Damaged(_))
    }
}

impl Display for OpenError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str(
                "the data folder contains no store: check the folder in the settings (is the disk mounted?); \
                 start a new instance as founder or as joiner only if it never had data, or has lost it",
            ),
            Self::NotEmpty => f.write_str(
                "the data folder already contains a store: start the instance without asking for a fresh folder",
            ),
            Self::Locked => f.write_str(
                "another process uses the data folder: stop it, or give this process a different folder",
            ),
            Self::OtherOwner { found, expected } => write!(
                f,
                "the data folder belongs to {found}, not to {expected}: correct the folder, cluster or instance in the settings",
            ),
            Self::SameIncarnation(node_id) => write!(
                f,
                "incarnation {node_id} was used by this folder before: rejoin under a new random number",
            ),
            Self::NewerFormat { file, found, known } => write!(
                f,
                "{file} has format version {found}, but this program reads up to {known}: start the newer program again",
            ),
            Self::Damaged(damage) => write!(
                f,
                "synced data is damaged: {damage}; keep a copy of the folder, check the disk, remove this incarnation \
                 from the members, then wipe the folder and rejoin as a learner under a new incarnation",
            ),
            Self::NoSpace(error) => write!(
                f,
                "the disk is full ({error}): free space on the disk of the data folder and start again; nothing synced is lost",
            ),
            Self::Disk(error) => write!(
                f,
                "the disk failed ({error}): check the disk and the permissions of the data folder, then start again",
            ),
        }
    }
}

impl Error for OpenError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::NoSpace(error) | Self::Disk(error) => Some(error),
            _ => None,
        }
    }
}

impl From<WriteError> for OpenError {
    fn from(error: WriteError) -> Self {
        match error {
            WriteError::NoSpace(error) => Self::NoSpace(error),
            WriteError::SyncFailed(error) | WriteError::Disk(error) => Self::Disk(error),
            WriteError::OutOfOrder(_) | WriteError::TooLarge { .. } | WriteError::Poisoned => {
                unreachable!(
                    "recovery writes files directly, and only data that it read or that is new"
                )
            }
        }
    }
}

impl From<io::Error> for OpenError {
    fn from(error: io::Error) -> Self {
        if is_full(&error) {
            Self::NoSpace(error)
        } else {
            Self::Disk(error)
        }
    }
}

/// The way in which a change contradicts the log; always a bug in the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutOfOrder {
    /// The entry doesn't have the next index.
    Append {
        /// Index of the entry.
        index: Index,
        /// Index of the next entry.
        next_index: Index,
    },
    /// The entry's term is less than that of the entry before it.
    Term {
        /// Index of the entry.
        index: Index,
        /// Term of the entry.
        term: Term,
        /// Term of the last entry.
        last_term: Term,
    },
    /// The truncation would start within the snapshot or after the end of the log.
    Truncate {
        /// First index to remove.
        from: Index,
        /// Last index that the snapshot covers.
        base_index: Index,
        /// Index of the next entry.
        next_index: Index,
    },
    /// The hard state would go back, or change a vote.
    HardState {
        /// Hard state in the store.
        held: HardState,
        /// Hard state in the change.
        given: HardState,
    },
    /// The snapshot is older than the stored one, or doesn't belong to this log.
    Snapshot {
        /// Last index of the new snapshot.
        index: Index,
        /// Last index of the stored snapshot.
        base_index: Index,
    },
}

impl Display for OutOfOrder {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Append { index, next_index } => {
                write!(f, "entry {index} was given, but {next_index} is next")
            }
            Self::Term {
                index,
                term,
                last_term,
            } => write!(f, "entry {index} has term {term} after term {last_term}"),
            Self::Truncate {
                from,
                base_index,
                next_index,
            } => {
                write!(
                    f,
                    "truncation from {from} was requested, but the snapshot ends at {base_index} and the next index is {next_index}"
                )
            }
            Self::HardState { held, given } => {
                write!(f, "hard state {given:?} can't follow {held:?}")
            }
            Self::Snapshot { index, base_index } => {
                write!(
                    f,
                    "the snapshot through {index} doesn't follow the one through {base_index}, or doesn't belong to this log"
                )
            }
        }
    }
}

impl Error for OutOfOrder {}

/// The reason why a change failed.
#[derive(Debug)]
pub enum WriteError {
    /// The change contradicts the log; earlier changes of the same call are kept.
    OutOfOrder(OutOfOrder),
    /// The encoded entry or snapshot exceeds the maximum record size.
    TooLarge {
        /// Length of the payload, in bytes.
        payload_bytes: usize,
        /// Maximum length, in bytes.
        max_bytes: usize,
    },
    /// The disk is full; the store is poisoned.
    NoSpace(io::Error),
    /// A sync failed; the store is poisoned.
    SyncFailed(io::Error),
    /// The disk failed in another way; the store is poisoned.
    Disk(io::Error),
    /// An earlier call failed, so the contents of the disk are unknown.
    Poisoned,
}

impl WriteError {
    /// Returns whether the process must stop, since the store accepts no more changes.
    #[must_use]
    pub fn is_fatal(&self) -> bool {
        !matches!(self, Self::OutOfOrder(_) | Self::TooLarge { .. })
    }

    pub(crate) fn from_disk(error: io::Error) -> Self {
        if is_full(&error) {
            Self::NoSpace(error)
        } else {
            Self::Disk(error)
        }
    }

    /// With delayed allocation a sync may report a full disk too; the data is lost in that case as well.
    pub(crate) fn from_sync(error: io::Error) -> Self {
        if is_full(&error) {
            Self::NoSpace(error)
        } else {
            Self::SyncFailed(error)
        }
    }
}

impl Display for WriteError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutOfOrder(order) => write!(f, "the change contradicts the log: {order}; report this as a bug in the program"),
            Self::TooLarge { payload_bytes, max_bytes } => {
                write!(f, "the change has {payload_bytes} bytes, but the maximum is {max_bytes}: split it")
            }
            Self::NoSpace(error) => write!(
                f,
                "the disk is full ({error}): the process must stop; free space on the disk of the data folder and start again; \
                 nothing acknowledged is lost",
            ),
            Self::SyncFailed(error) => write!(
                f,
                "a sync failed ({error}): it is unknown which data is durable, so the process must stop; check the disk, \
                 then start again",
            ),
            Self::Disk(error) => write!(
                f,
                "the disk failed ({error}): the process must stop; check the disk and the permissions of the data folder, \
                 then start again",
            ),
            Self::Poisoned => f.write_str("the store failed earlier and accepts no more changes: stop the process and see the first error"),
        }
    }
}

impl Error for WriteError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::OutOfOrder(order) => Some(order),
            Self::NoSpace(error) | Self::SyncFailed(error) | Self::Disk(error) => Some(error),
            Self::TooLarge { .. } | Self::Poisoned => None,
        }
    }
}

fn is_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}
