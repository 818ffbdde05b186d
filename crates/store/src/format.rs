//! Names the files and what the records hold.

use hinge_raft::types::{Index, NodeId, Term};
use serde::{Deserialize, Serialize};

use crate::codec;
use crate::shape::Shape;

/// Name of the file that says whose folder this is.
pub(crate) const IDENTITY_NAME: &str = "identity";

/// Ending of files that are still being written; recovery removes them.
pub(crate) const TEMPORARY_ENDING: &str = ".tmp";

const SEGMENT_START: &str = "segment-";
const SNAPSHOT_START: &str = "snapshot-";

/// Number of the identity file in the checksums of its records; segments and snapshots count from 1.
pub(crate) const IDENTITY_FILE: u64 = 0;

/// Says whose folder it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Names the cluster; all its instances carry the same.
    pub cluster_id: Box<str>,
    /// Names the instance within the cluster, across incarnations.
    pub instance: Box<str>,
}

/// Says how a fresh folder's incarnation came to the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// It is one of the first voters: its empty log is complete.
    Founder,
    /// It joins as a learner: it is incomplete until [`Write::MarkComplete`](crate::Write::MarkComplete) is synced.
    Joiner,
}

/// Says what a record holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// [`Header`], first of a segment.
    Header,
    /// An entry.
    Entry,
    /// The index from which entries go.
    Truncate,
    /// The hard state.
    HardState,
    /// [`Base`]: a snapshot took the place of the log through it.
    Base,
    /// Nothing; the instance holds everything now.
    Complete,
    /// Nothing; ends a batch, which counts only with it.
    BatchEnd,
    /// Nothing; made after a sync, so that its head vouches for all before it.
    Mark,
    /// Nothing; the segment's successor is durable.
    Seal,
    /// [`Owner`], in the identity file and first in a snapshot.
    Owner,
    /// A snapshot.
    Snapshot,
}

impl Kind {
    const ALL: [Self; 11] = [
        Self::Header,
        Self::Entry,
        Self::Truncate,
        Self::HardState,
        Self::Base,
        Self::Complete,
        Self::BatchEnd,
        Self::Mark,
        Self::Seal,
        Self::Owner,
        Self::Snapshot,
    ];

    /// Returns the byte of the kind; it is its place in the list, from 1 on.
    pub(crate) fn byte(self) -> u8 {
        self as u8 + 1
    }

    pub(crate) fn from_byte(byte: u8) -> Option<Self> {
        let place = usize::from(byte).checked_sub(1)?;
        Self::ALL.get(place).copied()
    }
}

/// Holds whose file it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Owner {
    pub identity: Identity,
    pub node_id: NodeId,
    pub origin: Origin,
}

/// Holds the start of a segment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    pub owner: Owner,
    /// Synced length of the segment before, in bytes; 0 for the first.
    pub previous_bytes: u64,
    /// Shape of the log at the start; `next_index` is the segment's first index.
    pub shape: Shape,
}

/// Names the last entry that a snapshot covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Base {
    pub index: Index,
    pub term: Term,
}

pub(crate) fn segment_name(number: u64) -> Box<str> {
    format!("{SEGMENT_START}{number:016x}").into()
}

pub(crate) fn snapshot_name(index: Index) -> Box<str> {
    format!("{SNAPSHOT_START}{index:016x}").into()
}

/// Returns the number of a segment; none for another file's name.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    number(name, SEGMENT_START)
}

/// Returns the index of a snapshot; none for another file's name.
pub(crate) fn snapshot_number(name: &str) -> Option<u64> {
    number(name, SNAPSHOT_START)
}

fn number(name: &str, start: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(start)?, 16).ok()
}

/// Returns the payload of a record.
pub(crate) fn payload<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("plain structs always encode")
}

/// Builds a whole file in memory.
pub(crate) struct FileBuilder {
    number: u64,
    pub bytes: Vec<u8>,
}

impl FileBuilder {
    pub(crate) fn new(number: u64) -> Self {
        Self {
            number,
            bytes: codec::preamble(),
        }
    }

    pub(crate) fn from_prefix(number: u64, prefix: &[u8]) -> Self {
        Self {
            number,
            bytes: prefix.to_vec(),
        }
    }

    /// Adds a record that vouches for all before it: such a file is synced whole before it gets its name.
    pub(crate) fn add(mut self, kind: Kind, payload: &[u8]) -> Self {
        let offset = self.bytes.len() as u64;
        codec::encode(
            &mut self.bytes,
            self.number,
            offset,
            offset,
            kind.byte(),
            payload,
        );
        self
    }
}
