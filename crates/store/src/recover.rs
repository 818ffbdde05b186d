//! Recovers a store from its folder: reads the files, repairs the tail, and removes leftovers.

use std::io;

use hinge_raft::types::{Entry, HardState, Index, NodeId, Snapshot};

use crate::codec::{self, Decoded, MAX_RECORD_BYTES, MAX_SNAPSHOT_BYTES, PREAMBLE_BYTES};
use crate::disk::Disk;
use crate::error::{Damage, OpenError, WriteError};
use crate::format::{
    FileBuilder, IDENTITY_FILE_NUMBER, IDENTITY_NAME, Identity, Kind, Owner, SegmentHeader,
    SnapshotBase, TEMPORARY_SUFFIX, encode_payload, parse_segment_number, parse_snapshot_index,
    segment_name, snapshot_name,
};
use crate::log_state::LogState;
use crate::replay::{Replay, ReplayedSegment, bad_start, check_start, decode};

/// The data recovered from a folder.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Recovered {
    /// Incarnation that the folder belongs to.
    pub node_id: NodeId,
    /// Hard state; its commit index may be below the last index of the snapshot.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
    /// Whether the incarnation has ever held the complete log; a joiner that hasn't counts for no quorum.
    pub complete: bool,
    /// Bytes of the last segment that were discarded, if any.
    pub torn_tail: Option<TornTail>,
}

/// Bytes discarded from the end of a file: they were written, but nothing proves that they were synced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TornTail {
    /// File that they were discarded from.
    pub file: Box<str>,
    /// Offset of the first discarded byte.
    pub offset: u64,
    /// Number of discarded bytes.
    pub bytes: u64,
}

/// The number of a segment and the index of its first entry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Segment {
    pub number: u64,
    pub first_index: Index,
}

/// The state from which the writer continues after recovery.
pub(crate) struct OpenedLog {
    pub recovered: Recovered,
    pub owner: Owner,
    pub log_state: LogState,
    pub segments: Vec<Segment>,
    pub tail_bytes: u64,
    pub tail_synced_bytes: u64,
}

/// Reads the folder, repairs the tail of the log, and removes leftovers.
pub(crate) fn recover<D: Disk>(disk: &mut D, identity: &Identity) -> Result<OpenedLog, OpenError> {
    let names = disk.list()?;
    let owner = read_owner(disk, &names)?;
    check_identity(&owner.identity, identity)?;
    let snapshot = read_snapshot(disk, &names, &owner)?;
    let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.last_index);
    let mut replay = Replay::new(owner.clone(), snapshot_index);
    let numbers = needed_segments(disk, &names, &replay)?;
    let mut unsealed = Vec::new();
    let mut last: Option<ReplayedSegment> = None;
    for number in &numbers {
        let bytes = disk.read(&segment_name(*number))?;
        let end = replay.replay_segment(*number, bytes, last.as_ref())?;
        unsealed.extend(last.replace(end).filter(|previous| !previous.is_sealed()));
    }
    let tail = last.expect("folders without segments were refused above");
    let log_base = replay.log_state.base_index;
    replay.finish(&tail, snapshot.as_ref())?;
    // Nothing was changed up to here, so a damaged folder stays as it was found.
    // After a process crash the names may have been read from the page cache only; the removals rely on them being durable.
    disk.sync_folder()?;
    remove_leftovers(disk, &names, numbers[0], snapshot_index)?;
    for previous in &unsealed {
        rewrite_sealed(disk, previous)?;
    }
    let unrecorded_snapshot = snapshot
        .as_ref()
        .filter(|snapshot| snapshot.last_index > log_base);
    let (tail_bytes, tail_synced_bytes) = repair_tail(disk, &tail, unrecorded_snapshot)?;
    let recovered = Recovered {
        node_id: owner.node_id,
        hard_state: replay.log_state.hard_state,
        snapshot,
        entries: replay.entries,
        complete: replay.log_state.complete,
        torn_tail: tail.torn_tail(),
    };
    Ok(OpenedLog {
        recovered,
        owner,
        log_state: replay.log_state,
        segments: replay.segments,
        tail_bytes,
        tail_synced_bytes,
    })
}

/// Writes a file under a temporary name, syncs it, and then renames it.
///
/// A file with its final name was therefore synced as a whole, and an invalid start of it is damage.
pub(crate) fn write_atomically<D: Disk>(
    disk: &mut D,
    name: &str,
    bytes: &[u8],
) -> Result<(), WriteError> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    disk.create(&temporary).map_err(WriteError::from_disk)?;
    disk.append(&temporary, bytes)
        .map_err(WriteError::from_disk)?;
    disk.sync_file(&temporary).map_err(WriteError::from_sync)?;
    disk.rename(&temporary, name)
        .map_err(WriteError::from_disk)?;
    disk.sync_folder().map_err(WriteError::from_sync)
}

/// Creates the files of a new incarnation; the identity is written last, so that an earlier crash leaves no store.
pub(crate) fn create_files<D: Disk>(disk: &mut D, owner: &Owner) -> Result<(), WriteError> {
    let header = SegmentHeader {
        owner: owner.clone(),
        previous_bytes: 0,
        log_state: LogState::new(owner.origin == crate::format::Origin::Founder),
    };
    let segment = FileBuilder::new(1).add(Kind::Header, &encode_payload(&header));
    write_atomically(disk, &segment_name(1), &segment.bytes)?;
    let identity = FileBuilder::new(IDENTITY_FILE_NUMBER).add(Kind::Owner, &encode_payload(owner));
    write_atomically(disk, IDENTITY_NAME, &identity.bytes)
}

/// Returns whether the folder is empty, or a crash interrupted its creation before the identity was written.
pub(crate) fn is_fresh<D: Disk>(disk: &mut D, names: &[Box<str>]) -> Result<bool, OpenError> {
    let first = segment_name(1);
    let has_other = names
        .iter()
        .any(|name| is_store_file(name) && *name != first && !name.ends_with(TEMPORARY_SUFFIX));
    if has_other {
        return Ok(false);
    }
    if !names.contains(&first) {
        return Ok(true);
    }
    let bytes = disk.read(&first)?;
    check_start(&first, &bytes)?;
    let header = codec::decode(&bytes, 1, PREAMBLE_BYTES, MAX_RECORD_BYTES);
    Ok(matches!(header, Decoded::Record(record) if record.end == bytes.len()))
}

/// Fails if the folder belongs to another cluster or instance.
pub(crate) fn check_identity(found: &Identity, expected: &Identity) -> Result<(), OpenError> {
    if found == expected {
        return Ok(());
    }
    let text = |identity: &Identity| {
        let Identity {
            cluster_id,
            instance,
        } = identity;
        format!("cluster {cluster_id:?}, instance {instance:?}").into_boxed_str()
    };
    Err(OpenError::OtherOwner {
        found: text(found),
        expected: text(expected),
    })
}

/// Returns the owners recorded in the files whose first record is readable.
pub(crate) fn readable_owners<D: Disk>(
    disk: &mut D,
    names: &[Box<str>],
) -> Result<Vec<Owner>, OpenError> {
    let mut owners = Vec::new();
    for name in names {
        let number = if &**name == IDENTITY_NAME {
            Some(IDENTITY_FILE_NUMBER)
        } else {
            parse_segment_number(name)
        };
        let Some(number) = number else { continue };
        let bytes = disk.read(name)?;
        let Decoded::Record(record) =
            codec::decode(&bytes, number, PREAMBLE_BYTES, MAX_RECORD_BYTES)
        else {
            continue;
        };
        match Kind::from_byte(record.kind) {
            Some(Kind::Owner) => owners.extend(decode(&record)),
            Some(Kind::Header) => owners.extend(decode(&record).map(|h: SegmentHeader| h.owner)),
            _ => {}
        }
    }
    Ok(owners)
}

/// Removes all files of a store, the identity first, so that no crash leaves part of a log with an identity.
pub(crate) fn wipe<D: Disk>(disk: &mut D, names: &[Box<str>]) -> Result<(), OpenError> {
    if names.iter().any(|name| &**name == IDENTITY_NAME) {
        disk.remove(IDENTITY_NAME)?;
        disk.sync_folder()?;
    }
    for name in names {
        if is_store_file(name) && &**name != IDENTITY_NAME {
            disk.remove(name)?;
        }
    }
    Ok(disk.sync_folder()?)
}

fn is_store_file(name: &str) -> bool {
    let name = name.strip_suffix(TEMPORARY_SUFFIX).unwrap_or(name);
    name == IDENTITY_NAME
        || parse_segment_number(name).is_some()
        || parse_snapshot_index(name).is_some()
}

fn read_owner<D: Disk>(disk: &mut D, names: &[Box<str>]) -> Result<Owner, OpenError> {
    if !names.iter().any(|name| &**name == IDENTITY_NAME) {
        if is_fresh(disk, names)? {
            return Err(OpenError::Empty);
        }
        return Err(OpenError::Damaged(Damage::Missing {
            file: IDENTITY_NAME.into(),
        }));
    }
    let bytes = disk.read(IDENTITY_NAME)?;
    check_start(IDENTITY_NAME, &bytes)?;
    let (owner, end) =
        decode_owner(&bytes, IDENTITY_FILE_NUMBER).ok_or_else(|| bad_start(IDENTITY_NAME))?;
    if end != bytes.len() {
        return Err(bad_start(IDENTITY_NAME));
    }
    Ok(owner)
}

fn decode_owner(bytes: &[u8], file: u64) -> Option<(Owner, usize)> {
    match codec::decode(bytes, file, PREAMBLE_BYTES, MAX_RECORD_BYTES) {
        Decoded::Record(record) if record.kind == Kind::Owner.byte() => {
            Some((decode(&record)?, record.end))
        }
        _ => None,
    }
}

/// Reads the latest snapshot; older ones are left over from a crash before their removal.
fn read_snapshot<D: Disk>(
    disk: &mut D,
    names: &[Box<str>],
    owner: &Owner,
) -> Result<Option<Snapshot>, OpenError> {
    let Some(index) = names
        .iter()
        .filter_map(|name| parse_snapshot_index(name))
        .max()
    else {
        return Ok(None);
    };
    let name = snapshot_name(index);
    let bytes = disk.read(&name)?;
    check_start(&name, &bytes)?;
    let (found, end) = decode_owner(&bytes, index).ok_or_else(|| bad_start(&name))?;
    if found != *owner {
        return Err(OpenError::Damaged(Damage::Stray { file: name }));
    }
    let damage = || {
        OpenError::Damaged(Damage::Record {
            file: name.clone(),
            offset: end as u64,
        })
    };
    match codec::decode(&bytes, index, end, MAX_SNAPSHOT_BYTES) {
        Decoded::Record(record)
            if record.kind == Kind::Snapshot.byte() && record.end == bytes.len() =>
        {
            let snapshot: Snapshot = decode(&record).ok_or_else(damage)?;
            if snapshot.last_index == index {
                Ok(Some(snapshot))
            } else {
                Err(damage())
            }
        }
        _ => Err(damage()),
    }
}

/// Returns the numbers of the segments that the snapshot doesn't cover, in ascending order.
///
/// A power failure may undo unsynced removals in any order, so segments that the writer would have removed are ignored:
/// replay starts, as the writer does, with the last segment whose first index the snapshot reaches. If there is none,
/// replay reports what is missing.
fn needed_segments<D: Disk>(
    disk: &mut D,
    names: &[Box<str>],
    replay: &Replay,
) -> Result<Vec<u64>, OpenError> {
    let mut numbers: Vec<u64> = names
        .iter()
        .filter_map(|name| parse_segment_number(name))
        .collect();
    numbers.sort_unstable();
    if numbers.is_empty() {
        return Err(OpenError::Damaged(Damage::Missing {
            file: segment_name(1),
        }));
    }
    let last_gap = numbers.windows(2).rposition(|pair| pair[0] + 1 != pair[1]);
    let mut contiguous = numbers.split_off(last_gap.map_or(0, |at| at + 1));
    for at in (0..contiguous.len()).rev() {
        let bytes = disk.read(&segment_name(contiguous[at]))?;
        if replay.starts_covered(contiguous[at], &bytes)? {
            return Ok(contiguous.split_off(at));
        }
    }
    Ok(contiguous)
}

/// Rewrites a segment with the seal that it lost in a crash.
fn rewrite_sealed<D: Disk>(disk: &mut D, segment: &ReplayedSegment) -> Result<(), WriteError> {
    let file =
        FileBuilder::from_prefix(segment.number, segment.valid_prefix()).add(Kind::Seal, &[]);
    write_atomically(disk, &segment_name(segment.number), &file.bytes)
}

/// Makes the tail of the log durable; returns its length and its length known to be synced, both in bytes.
///
/// Valid records without a sync mark after them may come from the page cache, which may contain data that a failed sync
/// never wrote to disk. They are therefore written to a new file, which also discards a torn tail.
fn repair_tail<D: Disk>(
    disk: &mut D,
    tail: &ReplayedSegment,
    unrecorded_snapshot: Option<&Snapshot>,
) -> Result<(u64, u64), WriteError> {
    if tail.is_proven_synced() && unrecorded_snapshot.is_none() {
        return Ok((tail.bytes.len() as u64, tail.proven_synced_bytes()));
    }
    let mut file = FileBuilder::from_prefix(tail.number, tail.valid_prefix());
    if let Some(snapshot) = unrecorded_snapshot {
        let base = SnapshotBase {
            index: snapshot.last_index,
            term: snapshot.last_term,
        };
        file = file.add(Kind::Base, &encode_payload(&base));
    }
    let file = file.add(Kind::SyncMark, &[]);
    write_atomically(disk, &segment_name(tail.number), &file.bytes)?;
    let bytes = file.bytes.len() as u64;
    Ok((bytes, bytes))
}

fn remove_leftovers<D: Disk>(
    disk: &mut D,
    names: &[Box<str>],
    first_segment: u64,
    snapshot_index: Index,
) -> io::Result<()> {
    let is_leftover = |name: &str| {
        let old_segment = parse_segment_number(name).is_some_and(|number| number < first_segment);
        let old_snapshot = parse_snapshot_index(name).is_some_and(|index| index < snapshot_index);
        old_segment || old_snapshot || (name.ends_with(TEMPORARY_SUFFIX) && is_store_file(name))
    };
    for name in names.iter().filter(|name| is_leftover(name)) {
        disk.remove(name)?;
    }
    Ok(())
}
