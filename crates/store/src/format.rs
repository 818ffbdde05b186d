//! File names, record kinds and record payloads of the data folder.

use hinge_raft::types::{Index, NodeId, Term};
use serde::{Deserialize, Serialize};

use crate::codec;
use crate::log_state::LogState;

/// Name of the file that records the [`Owner`] of the folder.
pub(crate) const IDENTITY_NAME: &str = "identity";

/// Suffix of files that are still being written; recovery removes them.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";

const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// File number of the identity file in its record checksums; segments and snapshots are numbered from 1.
pub(crate) const IDENTITY_FILE_NUMBER: u64 = 0;

/// The cluster and instance that a folder belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// ID of the cluster, shared by all its instances.
    pub cluster_id: Box<str>,
    /// Name of the instance within the cluster, the same for all its incarnations.
    pub instance: Box<str>,
}

/// How the incarnation of a new folder entered the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// As one of the first voters, whose empty log is complete.
    Founder,
    /// As a learner, incomplete until [`Write::MarkComplete`](crate::Write::MarkComplete) is synced.
    Joiner,
}

/// The kind of a record, which determines its payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// [`SegmentHeader`], the first record of a segment.
    Header,
    /// A log entry.
    Entry,
    /// The index from which entries are removed.
    Truncate,
    /// The hard state.
    HardState,
    /// [`SnapshotBase`]: a snapshot replaced the log up to this entry.
    Base,
    /// No payload; the instance now holds the complete log.
    Complete,
    /// No payload; ends a batch, which recovery ignores without it.
    BatchEnd,
    /// No payload; written after a sync, so that its header proves that everything before it was synced.
    SyncMark,
    /// No payload; the next segment is durable.
    Seal,
    /// [`Owner`], in the identity file and as the first record of a snapshot.
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
        Self::SyncMark,
        Self::Seal,
        Self::Owner,
        Self::Snapshot,
    ];

    /// Returns the byte that encodes the kind: its position in the enum, from 1.
    pub(crate) fn byte(self) -> u8 {
        self as u8 + 1
    }

    pub(crate) fn from_byte(byte: u8) -> Option<Self> {
        let position = usize::from(byte).checked_sub(1)?;
        Self::ALL.get(position).copied()
    }
}

/// The instance and incarnation that a file belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Owner {
    pub identity: Identity,
    pub node_id: NodeId,
    pub origin: Origin,
}

/// The payload of a segment's first record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SegmentHeader {
    pub owner: Owner,
    /// Synced length of the previous segment, in bytes; 0 for the first.
    pub previous_bytes: u64,
    /// State of the log at the start of the segment; its `next_index` is the segment's first index.
    #[serde(rename = "shape")]
    pub log_state: LogState,
}

/// The last entry that a snapshot covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotBase {
    pub index: Index,
    pub term: Term,
}

pub(crate) fn segment_name(number: u64) -> Box<str> {
    format!("{SEGMENT_PREFIX}{number:016x}").into()
}

pub(crate) fn snapshot_name(index: Index) -> Box<str> {
    format!("{SNAPSHOT_PREFIX}{index:016x}").into()
}

/// Returns the number in a segment's file name, or `None` for other names.
pub(crate) fn parse_segment_number(name: &str) -> Option<u64> {
    parse_hex_after(name, SEGMENT_PREFIX)
}

/// Returns the index in a snapshot's file name, or `None` for other names.
pub(crate) fn parse_snapshot_index(name: &str) -> Option<u64> {
    parse_hex_after(name, SNAPSHOT_PREFIX)
}

fn parse_hex_after(name: &str, prefix: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(prefix)?, 16).ok()
}

/// Encodes a value as the payload of a record.
pub(crate) fn encode_payload<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("plain structs always encode")
}

/// A complete file under construction in memory.
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

    /// Appends a record that marks everything before it as synced: the file is synced as a whole before it is renamed.
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
