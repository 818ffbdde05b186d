//! Replays segments in order, and distinguishes a torn tail from damage.

use hinge_raft::types::{Entry, Index, Snapshot};
use serde::de::DeserializeOwned;

use crate::codec::{self, Decoded, MAX_RECORD_BYTES, PREAMBLE_BYTES, Preamble, Record};
use crate::error::{Damage, OpenError};
use crate::format::{Kind, Owner, SegmentHeader, SnapshotBase, segment_name, snapshot_name};
use crate::log_state::LogState;
use crate::recover::{Segment, TornTail};

/// The state of a replay.
pub(crate) struct Replay {
    owner: Owner,
    snapshot_index: Index,
    pub log_state: LogState,
    pub entries: Vec<Entry>,
    pub segments: Vec<Segment>,
}

/// A segment that was replayed up to its first invalid record.
pub(crate) struct ReplayedSegment {
    pub number: u64,
    pub bytes: Vec<u8>,
    /// Length of the prefix that consists of complete batches.
    pub valid_bytes: usize,
    /// Kind, offset and synced length of the last record of that prefix.
    last_kind: Kind,
    last_offset: u64,
    last_synced_bytes: u64,
}

impl ReplayedSegment {
    /// Returns whether the segment records that the next one is durable.
    pub(crate) fn is_sealed(&self) -> bool {
        self.last_kind == Kind::Seal
    }

    /// Returns whether all records are proven to be synced: a sync mark follows them, or there is only the header.
    pub(crate) fn is_proven_synced(&self) -> bool {
        let covers_preceding = self.last_synced_bytes == self.last_offset;
        let whole = self.valid_bytes == self.bytes.len();
        whole && covers_preceding && matches!(self.last_kind, Kind::SyncMark | Kind::Header)
    }

    /// Returns the length known to be synced, in bytes, of a segment for which [`Self::is_proven_synced`] holds.
    pub(crate) fn proven_synced_bytes(&self) -> u64 {
        match self.last_kind {
            // The file was synced as a whole before it was renamed.
            Kind::Header => self.valid_bytes as u64,
            // The sync mark itself may not be synced.
            _ => self.last_synced_bytes,
        }
    }

    /// Returns the bytes up to the end of the last complete batch.
    pub(crate) fn valid_prefix(&self) -> &[u8] {
        &self.bytes[..self.valid_bytes]
    }

    pub(crate) fn torn_tail(&self) -> Option<TornTail> {
        let bytes = self.bytes.len() - self.valid_bytes;
        (bytes > 0).then(|| TornTail {
            file: segment_name(self.number),
            offset: self.valid_bytes as u64,
            bytes: bytes as u64,
        })
    }
}

impl Replay {
    pub(crate) fn new(owner: Owner, snapshot_index: Index) -> Self {
        Self {
            owner,
            snapshot_index,
            log_state: LogState::default(),
            entries: Vec::new(),
            segments: Vec::new(),
        }
    }

    /// Replays one segment; `previous` is the one replayed before it, if any.
    pub(crate) fn replay_segment(
        &mut self,
        number: u64,
        bytes: Vec<u8>,
        previous: Option<&ReplayedSegment>,
    ) -> Result<ReplayedSegment, OpenError> {
        let name = segment_name(number);
        let (header, header_end) = self.read_header(&name, number, &bytes)?;
        self.check_continuity(number, &header, previous)?;
        self.segments.push(Segment {
            number,
            first_index: header.log_state.next_index,
        });
        self.log_state = header.log_state;
        let mut end = ReplayedSegment {
            number,
            bytes,
            valid_bytes: header_end,
            last_kind: Kind::Header,
            last_offset: PREAMBLE_BYTES as u64,
            last_synced_bytes: PREAMBLE_BYTES as u64,
        };
        self.replay_batches(&name, &mut end)?;
        Ok(end)
    }

    /// Returns whether the snapshot covers everything before the segment.
    pub(crate) fn starts_covered(&self, number: u64, bytes: &[u8]) -> Result<bool, OpenError> {
        let (header, _) = self.read_header(&segment_name(number), number, bytes)?;
        Ok(header.log_state.next_index <= self.snapshot_index + 1)
    }

    fn read_header(
        &self,
        name: &str,
        number: u64,
        bytes: &[u8],
    ) -> Result<(SegmentHeader, usize), OpenError> {
        check_start(name, bytes)?;
        let Decoded::Record(record) =
            codec::decode(bytes, number, PREAMBLE_BYTES, MAX_RECORD_BYTES)
        else {
            return Err(bad_start(name));
        };
        let header: SegmentHeader = decode(&record).ok_or_else(|| bad_start(name))?;
        if Kind::from_byte(record.kind) != Some(Kind::Header) {
            return Err(bad_start(name));
        }
        if header.owner != self.owner {
            return Err(OpenError::Damaged(Damage::Stray { file: name.into() }));
        }
        Ok((header, record.end))
    }

    /// Checks that nothing is missing between the previous segment, or the snapshot, and this one.
    fn check_continuity(
        &self,
        number: u64,
        header: &SegmentHeader,
        previous: Option<&ReplayedSegment>,
    ) -> Result<(), OpenError> {
        let log_state = &header.log_state;
        let damage = match previous {
            None if log_state.base_index > self.snapshot_index => Damage::Missing {
                file: snapshot_name(log_state.base_index),
            },
            None if log_state.next_index > self.snapshot_index + 1 => Damage::Missing {
                file: segment_name(number.saturating_sub(1)),
            },
            Some(previous) if header.previous_bytes > previous.valid_bytes as u64 => {
                Damage::Record {
                    file: segment_name(previous.number),
                    offset: previous.valid_bytes as u64,
                }
            }
            Some(_) if *log_state != self.log_state => Damage::Sequence {
                file: segment_name(number),
                offset: PREAMBLE_BYTES as u64,
            },
            None | Some(_) => return Ok(()),
        };
        Err(OpenError::Damaged(damage))
    }

    /// Replays the batches after the header, up to the end or the first incomplete one.
    fn replay_batches(&mut self, name: &str, end: &mut ReplayedSegment) -> Result<(), OpenError> {
        let bytes = std::mem::take(&mut end.bytes);
        let mut batch = Vec::new();
        let mut offset = end.valid_bytes;
        while let Some(record) = next_record(name, end.number, &bytes, offset)? {
            let inconsistent = || inconsistent_record(name, offset);
            let kind = Kind::from_byte(record.kind).ok_or_else(inconsistent)?;
            if record.synced_bytes > offset as u64 || end.is_sealed() {
                return Err(inconsistent());
            }
            batch.push((kind, offset, record));
            if matches!(kind, Kind::BatchEnd | Kind::SyncMark | Kind::Seal) {
                for (kind, offset, record) in batch.drain(..) {
                    self.apply(kind, &record)
                        .ok_or_else(|| inconsistent_record(name, offset))?;
                }
                end.last_kind = kind;
                end.last_offset = offset as u64;
                end.last_synced_bytes = record.synced_bytes;
                end.valid_bytes = record.end;
            }
            offset = record.end;
        }
        drop(batch);
        end.bytes = bytes;
        Ok(())
    }

    /// Applies a record; returns `None` if it contradicts those before it.
    fn apply(&mut self, kind: Kind, record: &Record<'_>) -> Option<()> {
        match kind {
            Kind::Entry => {
                let entry: Entry = decode(record)?;
                self.log_state.append(entry.index, entry.term).ok()?;
                self.entries.push(entry);
            }
            Kind::Truncate => {
                self.log_state.truncate(decode(record)?).ok()?;
                self.drop_removed_entries();
            }
            Kind::HardState => self.log_state.set_hard_state(decode(record)?).ok()?,
            Kind::Base => self.rebase(decode(record)?)?,
            Kind::Complete => self.log_state.complete = true,
            Kind::BatchEnd | Kind::SyncMark | Kind::Seal => {}
            Kind::Header | Kind::Owner | Kind::Snapshot => return None,
        }
        Some(())
    }

    fn rebase(&mut self, base: SnapshotBase) -> Option<()> {
        self.log_state.rebase(base.index, base.term).ok()?;
        self.drop_removed_entries();
        Some(())
    }

    /// Drops the entries that the log state no longer includes.
    fn drop_removed_entries(&mut self) {
        let last = self
            .entries
            .partition_point(|entry| entry.index < self.log_state.next_index);
        self.entries.truncate(last);
        let covered = self
            .entries
            .partition_point(|entry| entry.index <= self.log_state.base_index);
        self.entries.drain(..covered);
    }

    /// Checks the end of the log, and makes the log start after the snapshot.
    ///
    /// After a crash between the renaming of a snapshot and its record, the log doesn't refer to the snapshot yet.
    pub(crate) fn finish(
        &mut self,
        tail: &ReplayedSegment,
        snapshot: Option<&Snapshot>,
    ) -> Result<(), OpenError> {
        if tail.is_sealed() {
            return Err(OpenError::Damaged(Damage::Missing {
                file: segment_name(tail.number + 1),
            }));
        }
        if self.log_state.base_index > self.snapshot_index {
            return Err(OpenError::Damaged(Damage::Missing {
                file: snapshot_name(self.log_state.base_index),
            }));
        }
        if let Some(snapshot) = snapshot {
            let base = SnapshotBase {
                index: snapshot.last_index,
                term: snapshot.last_term,
            };
            self.rebase(base)
                .expect("the snapshot isn't older than the base, as checked above");
        }
        Ok(())
    }
}

/// Returns the record at an offset, or `None` at the end or at a torn record.
///
/// Valid records after an invalid one prove nothing by themselves, since unsynced pages reach the disk in any order. Only
/// a record written after a sync that covered the invalid record's offset proves damage.
fn next_record<'a>(
    name: &str,
    number: u64,
    bytes: &'a [u8],
    offset: usize,
) -> Result<Option<Record<'a>>, OpenError> {
    match codec::decode(bytes, number, offset, MAX_RECORD_BYTES) {
        Decoded::Record(record) => Ok(Some(record)),
        Decoded::End => Ok(None),
        Decoded::Bad => {
            let synced_bytes = codec::max_synced_after(bytes, number, offset).unwrap_or(0);
            if synced_bytes > offset as u64 {
                return Err(OpenError::Damaged(Damage::Record {
                    file: name.into(),
                    offset: offset as u64,
                }));
            }
            Ok(None)
        }
    }
}

fn inconsistent_record(name: &str, offset: usize) -> OpenError {
    OpenError::Damaged(Damage::Sequence {
        file: name.into(),
        offset: offset as u64,
    })
}

/// Checks the preamble of a file that was synced before it was renamed.
pub(crate) fn check_start(name: &str, bytes: &[u8]) -> Result<(), OpenError> {
    match codec::check_preamble(bytes) {
        Preamble::Known => Ok(()),
        Preamble::Newer(found) => Err(OpenError::NewerFormat {
            file: name.into(),
            found,
            known: codec::FORMAT_VERSION,
        }),
        Preamble::Bad => Err(bad_start(name)),
    }
}

/// Decodes the payload of a record; returns `None` if it is invalid.
pub(crate) fn decode<T: DeserializeOwned>(record: &Record<'_>) -> Option<T> {
    rmp_serde::from_slice(record.payload).ok()
}

/// Returns the error for an invalid start of a file.
pub(crate) fn bad_start(name: &str) -> OpenError {
    OpenError::Damaged(Damage::Start { file: name.into() })
}
