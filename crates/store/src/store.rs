//! The writer of the log: buffers changes, syncs them in batches, and rolls segments.

use hinge_raft::types::{Entry, HardState, Index, NodeId, Snapshot};

use crate::codec::{self, MAX_RECORD_BYTES, MAX_SNAPSHOT_BYTES};
use crate::disk::Disk;
use crate::error::{OpenError, OutOfOrder, WriteError};
use crate::format::{
    FileBuilder, Identity, Kind, Origin, Owner, SegmentHeader, SnapshotBase, encode_payload,
    segment_name, snapshot_name,
};
use crate::log_state::LogState;
use crate::recover::{self, OpenedLog, Recovered, Segment, write_atomically};

/// Default length from which a new segment is started.
///
/// A restart may rewrite the last segment, so it is far less than a disk writes in a second; and since old segments are
/// removed only as a whole, a small log keeps few of them.
const SEGMENT_BYTES: u64 = 4 << 20;

/// Buffered length from which a batch is written to the file before its sync; bounds the buffer within control's 32 MB.
const BUFFER_BYTES: usize = 1 << 20;

/// Options of a store.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Length from which a new segment is started, in bytes.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: SEGMENT_BYTES,
        }
    }
}

/// A change to the contents of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// Appends entries to the log.
    Append(Vec<Entry>),
    /// Removes all entries from this index on.
    Truncate(Index),
    /// Replaces the hard state with a later one.
    HardState(HardState),
    /// Replaces the log up to the snapshot's last index with a leader's snapshot; durable when `write` returns.
    InstallSnapshot(Snapshot),
    /// Records that a joiner now holds the complete log.
    MarkComplete,
}

/// The open log of one instance.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    options: Options,
    owner: Owner,
    log_state: LogState,
    /// All segments in order; writes go to the last one.
    segments: Vec<Segment>,
    /// Length of the last segment's file, in bytes.
    tail_bytes: u64,
    /// Length of the last segment's file that is known to be synced, in bytes.
    tail_synced_bytes: u64,
    /// Records that aren't written to the file yet.
    buffer: Vec<u8>,
    /// Whether records aren't synced yet.
    is_dirty: bool,
    is_poisoned: bool,
}

impl<D: Disk> Store<D> {
    /// Opens the store in a folder, and recovers its contents.
    ///
    /// # Errors
    /// See [`OpenError`], whose messages tell the operator what to do. After [`OpenError::Empty`] a new instance calls
    /// [`Store::create`], and after an error with [`OpenError::is_damage`] it calls [`Store::wipe_and_rejoin`].
    pub fn open(
        mut disk: D,
        identity: &Identity,
        options: Options,
    ) -> Result<(Self, Recovered), OpenError> {
        lock(&mut disk)?;
        Self::recover(disk, identity, options)
    }

    /// Creates a store in an empty folder, for an incarnation whose number the caller drew at random.
    ///
    /// # Errors
    /// Fails with [`OpenError::NotEmpty`] if the folder contains a store, and otherwise like [`Store::open`].
    pub fn create(
        mut disk: D,
        identity: &Identity,
        node_id: NodeId,
        origin: Origin,
        options: Options,
    ) -> Result<(Self, Recovered), OpenError> {
        lock(&mut disk)?;
        let names = disk.list()?;
        if !recover::is_fresh(&mut disk, &names)? {
            return Err(OpenError::NotEmpty);
        }
        let owner = Owner {
            identity: identity.clone(),
            node_id,
            origin,
        };
        recover::create_files(&mut disk, &owner)?;
        Self::recover(disk, identity, options)
    }

    /// Removes the store in the folder, and creates one for a new incarnation that joins as a learner.
    ///
    /// A crash in between leaves a folder that `open` refuses; the caller then repeats the call.
    ///
    /// # Errors
    /// Fails for a folder of another cluster or instance, and for an incarnation that the folder had before.
    pub fn wipe_and_rejoin(
        mut disk: D,
        identity: &Identity,
        node_id: NodeId,
        options: Options,
    ) -> Result<(Self, Recovered), OpenError> {
        lock(&mut disk)?;
        let names = disk.list()?;
        for owner in recover::readable_owners(&mut disk, &names)? {
            recover::check_identity(&owner.identity, identity)?;
            if owner.node_id == node_id {
                return Err(OpenError::SameIncarnation(node_id));
            }
        }
        recover::wipe(&mut disk, &names)?;
        Self::create(disk, identity, node_id, Origin::Joiner, options)
    }

    fn recover(
        mut disk: D,
        identity: &Identity,
        options: Options,
    ) -> Result<(Self, Recovered), OpenError> {
        let opened = recover::recover(&mut disk, identity)?;
        let OpenedLog {
            recovered,
            owner,
            log_state,
            segments,
            tail_bytes,
            tail_synced_bytes,
        } = opened;
        let store = Self {
            disk,
            options,
            owner,
            log_state,
            segments,
            tail_bytes,
            tail_synced_bytes,
            buffer: Vec::new(),
            is_dirty: false,
            is_poisoned: false,
        };
        Ok((store, recovered))
    }

    /// Buffers changes in order; they are durable once [`Store::sync`] returns, and a crash before it keeps all or none.
    ///
    /// # Errors
    /// A change that contradicts the log or is too large is refused, as are all after it; those before it are kept. After
    /// any other error the process must stop ([`WriteError::is_fatal`]).
    pub fn write(&mut self, writes: &[Write]) -> Result<(), WriteError> {
        self.check_poison()?;
        let result = writes.iter().try_for_each(|write| self.apply(write));
        self.poison_on_fatal(result)
    }

    /// Makes all changes written so far durable, with one sync for the whole batch.
    ///
    /// # Errors
    /// After an error no part of the batch may be acknowledged, and the process must stop: the success of a later sync
    /// says nothing about bytes that a failed one lost, so the sync isn't retried.
    pub fn sync(&mut self) -> Result<(), WriteError> {
        self.check_poison()?;
        let result = self.sync_and_roll();
        self.poison_on_fatal(result)
    }

    /// Durably stores a snapshot of this log, and removes the segments that it covers.
    ///
    /// # Errors
    /// Fails if the log doesn't contain the snapshot's last entry with that term, and otherwise like [`Store::sync`].
    pub fn take_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), WriteError> {
        self.check_poison()?;
        if self.log_state.term_at(snapshot.last_index) != Some(snapshot.last_term) {
            return Err(WriteError::OutOfOrder(OutOfOrder::Snapshot {
                index: snapshot.last_index,
                base_index: self.log_state.base_index,
            }));
        }
        let result = self.store_snapshot(snapshot);
        self.poison_on_fatal(result)
    }

    /// Returns the incarnation that the folder belongs to.
    #[must_use]
    pub fn node_id(&self) -> NodeId {
        self.owner.node_id
    }

    /// Returns the index of the last entry, whether it is in the log or covered by the snapshot.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.log_state.next_index - 1
    }

    /// Returns whether the store has failed and accepts no more changes.
    #[must_use]
    pub fn is_poisoned(&self) -> bool {
        self.is_poisoned
    }

    fn apply(&mut self, write: &Write) -> Result<(), WriteError> {
        match write {
            Write::Append(entries) => entries
                .iter()
                .try_for_each(|entry| self.append_entry(entry)),
            Write::Truncate(from) => {
                self.log_state
                    .truncate(*from)
                    .map_err(WriteError::OutOfOrder)?;
                self.buffer_record(Kind::Truncate, &encode_payload(from))
            }
            Write::HardState(hard_state) if *hard_state == self.log_state.hard_state => Ok(()),
            Write::HardState(hard_state) => {
                self.log_state
                    .set_hard_state(*hard_state)
                    .map_err(WriteError::OutOfOrder)?;
                self.buffer_record(Kind::HardState, &encode_payload(hard_state))
            }
            Write::InstallSnapshot(snapshot) => self.store_snapshot(snapshot),
            Write::MarkComplete if self.log_state.complete => Ok(()),
            Write::MarkComplete => {
                self.log_state.complete = true;
                self.buffer_record(Kind::Complete, &[])
            }
        }
    }

    fn append_entry(&mut self, entry: &Entry) -> Result<(), WriteError> {
        let bytes = encode_payload(entry);
        check_size(&bytes, MAX_RECORD_BYTES)?;
        self.log_state
            .append(entry.index, entry.term)
            .map_err(WriteError::OutOfOrder)?;
        self.buffer_record(Kind::Entry, &bytes)
    }

    fn buffer_record(&mut self, kind: Kind, payload: &[u8]) -> Result<(), WriteError> {
        let number = self.tail_number();
        let offset = self.tail_bytes + self.buffer.len() as u64;
        codec::encode(
            &mut self.buffer,
            number,
            offset,
            self.tail_synced_bytes,
            kind.byte(),
            payload,
        );
        self.is_dirty = true;
        if self.buffer.len() >= BUFFER_BYTES {
            self.flush()?;
        }
        Ok(())
    }

    /// Writes the buffer to the file, without a sync.
    fn flush(&mut self) -> Result<(), WriteError> {
        let name = segment_name(self.tail_number());
        self.disk
            .append(&name, &self.buffer)
            .map_err(WriteError::from_disk)?;
        self.tail_bytes += self.buffer.len() as u64;
        self.buffer.clear();
        Ok(())
    }

    fn sync_and_roll(&mut self) -> Result<(), WriteError> {
        self.sync_tail()?;
        if self.tail_bytes >= self.options.segment_bytes {
            self.roll()?;
        }
        Ok(())
    }

    fn sync_tail(&mut self) -> Result<(), WriteError> {
        if !self.is_dirty {
            return Ok(());
        }
        // Recovery applies a batch completely or not at all: a commit index without the entries that it refers to would
        // make older entries at the same indexes look committed.
        self.buffer_record(Kind::BatchEnd, &[])?;
        self.flush()?;
        let name = segment_name(self.tail_number());
        self.disk.sync_file(&name).map_err(WriteError::from_sync)?;
        self.tail_synced_bytes = self.tail_bytes;
        // The mark itself isn't synced. It survives a process crash, after which it distinguishes damage to this batch from
        // a torn tail; a power failure may lose it, and the records of the next batch then take over its role.
        self.buffer_record(Kind::SyncMark, &[])?;
        self.flush()?;
        self.is_dirty = false;
        Ok(())
    }

    /// Starts a new segment; the previous one must be synced.
    fn roll(&mut self) -> Result<(), WriteError> {
        let number = self.tail_number() + 1;
        let header = SegmentHeader {
            owner: self.owner.clone(),
            previous_bytes: self.tail_synced_bytes,
            log_state: self.log_state.clone(),
        };
        let file = FileBuilder::new(number).add(Kind::Header, &encode_payload(&header));
        write_atomically(&mut self.disk, &segment_name(number), &file.bytes)?;
        self.seal()?;
        self.segments.push(Segment {
            number,
            first_index: self.log_state.next_index,
        });
        self.tail_bytes = file.bytes.len() as u64;
        self.tail_synced_bytes = self.tail_bytes;
        Ok(())
    }

    /// Records in the segment that it has a successor, so that recovery detects a missing last segment.
    fn seal(&mut self) -> Result<(), WriteError> {
        self.buffer_record(Kind::Seal, &[])?;
        self.flush()?;
        let name = segment_name(self.tail_number());
        self.disk.sync_file(&name).map_err(WriteError::from_sync)?;
        self.is_dirty = false;
        Ok(())
    }

    /// Stores a snapshot: writes its file, its record and a new segment, and only then removes the replaced files.
    fn store_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), WriteError> {
        let base = SnapshotBase {
            index: snapshot.last_index,
            term: snapshot.last_term,
        };
        if base.index == self.log_state.base_index {
            return Ok(());
        }
        let bytes = encode_payload(snapshot);
        check_size(&bytes, MAX_SNAPSHOT_BYTES)?;
        let mut log_state = self.log_state.clone();
        log_state
            .rebase(base.index, base.term)
            .map_err(WriteError::OutOfOrder)?;
        // Entries written before the snapshot must be durable before it is: recovery applies the snapshot after all of them.
        self.sync_tail()?;
        let file = FileBuilder::new(base.index)
            .add(Kind::Owner, &encode_payload(&self.owner))
            .add(Kind::Snapshot, &bytes);
        let previous_base_index = self.log_state.base_index;
        write_atomically(&mut self.disk, &snapshot_name(base.index), &file.bytes)?;
        self.log_state = log_state;
        self.buffer_record(Kind::Base, &encode_payload(&base))?;
        self.sync_tail()?;
        self.roll()?;
        self.remove_covered(previous_base_index)
    }

    /// Removes the segments and the snapshot that the latest snapshot replaces.
    fn remove_covered(&mut self, previous_base_index: Index) -> Result<(), WriteError> {
        let base_index = self.log_state.base_index;
        let kept_from = self
            .segments
            .iter()
            .rposition(|segment| segment.first_index <= base_index + 1)
            .unwrap_or(0);
        for segment in self.segments.drain(..kept_from) {
            self.disk
                .remove(&segment_name(segment.number))
                .map_err(WriteError::from_disk)?;
        }
        if previous_base_index > 0 {
            self.disk
                .remove(&snapshot_name(previous_base_index))
                .map_err(WriteError::from_disk)?;
        }
        self.disk.sync_folder().map_err(WriteError::from_sync)
    }

    fn tail_number(&self) -> u64 {
        self.segments
            .last()
            .expect("a store has at least one segment")
            .number
    }

    fn check_poison(&self) -> Result<(), WriteError> {
        if self.is_poisoned {
            return Err(WriteError::Poisoned);
        }
        Ok(())
    }

    fn poison_on_fatal(&mut self, result: Result<(), WriteError>) -> Result<(), WriteError> {
        let is_fatal = result.as_ref().is_err_and(WriteError::is_fatal);
        self.is_poisoned |= is_fatal;
        result
    }
}

fn lock<D: Disk>(disk: &mut D) -> Result<(), OpenError> {
    if disk.lock()? {
        Ok(())
    } else {
        Err(OpenError::Locked)
    }
}

fn check_size(bytes: &[u8], max_bytes: usize) -> Result<(), WriteError> {
    if bytes.len() > max_bytes {
        return Err(WriteError::TooLarge {
            payload_bytes: bytes.len(),
            max_bytes,
        });
    }
    Ok(())
}
