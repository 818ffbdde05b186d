//! Writes the log: buffers changes, syncs them in one go, and starts new segments.

use hinge_raft::types::{Entry, HardState, Index, NodeId, Snapshot};

use crate::codec::{self, MAX_RECORD_BYTES, MAX_SNAPSHOT_BYTES};
use crate::disk::Disk;
use crate::error::{OpenError, OutOfOrder, WriteError};
use crate::format::{
    Base, FileBuilder, Header, Identity, Kind, Origin, Owner, payload, segment_name, snapshot_name,
};
use crate::recover::{self, Opened, Recovered, Segment, install};
use crate::shape::Shape;

/// Length from which a segment gets a successor, in bytes.
///
/// A restart may write the last segment again, so it stays far below what a disk writes in a second; and old segments go
/// whole, so a small log keeps few of them.
const SEGMENT_BYTES: u64 = 4 << 20;

/// Buffered bytes from which a batch goes to the file before its sync; bounds the buffer next to the 32 MB of control.
const BUFFER_BYTES: usize = 1 << 20;

/// Sets sizes of a store.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Length from which a segment gets a successor, in bytes.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: SEGMENT_BYTES,
        }
    }
}

/// Is one change of what the store holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// Adds entries at the end of the log.
    Append(Vec<Entry>),
    /// Removes all entries from this index on.
    Truncate(Index),
    /// Replaces the hard state by a later one.
    HardState(HardState),
    /// Replaces the log through the snapshot's end by a leader's snapshot; durable when `write` returns.
    InstallSnapshot(Snapshot),
    /// Notes that a joiner now holds everything that it has to hold.
    MarkComplete,
}

/// Holds the open log of one instance.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    options: Options,
    owner: Owner,
    shape: Shape,
    /// All segments in order; the last one is written to.
    segments: Vec<Segment>,
    /// Length of the last segment's file, in bytes.
    tail_bytes: u64,
    /// Length of it that is known to be synced, in bytes.
    tail_synced_bytes: u64,
    /// Records that aren't in the file yet.
    buffer: Vec<u8>,
    /// Whether records wait for a sync.
    is_dirty: bool,
    is_poisoned: bool,
}

impl<D: Disk> Store<D> {
    /// Opens the store of a folder, and recovers what it holds.
    ///
    /// # Errors
    /// See [`OpenError`]; each says what the operator does. [`OpenError::Empty`] asks for [`Store::create`], and
    /// [`OpenError::is_damage`] for [`Store::wipe_and_rejoin`].
    pub fn open(
        mut disk: D,
        identity: &Identity,
        options: Options,
    ) -> Result<(Self, Recovered), OpenError> {
        lock(&mut disk)?;
        Self::recover(disk, identity, options)
    }

    /// Makes a store in an empty folder, for an incarnation whose number the caller drew at random.
    ///
    /// # Errors
    /// Fails with [`OpenError::NotEmpty`] if a store is there, and as [`Store::open`] does.
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
        recover::found(&mut disk, &owner)?;
        Self::recover(disk, identity, options)
    }

    /// Removes what the folder holds, and makes a store for a new incarnation that joins as a learner.
    ///
    /// A crash on the way leaves a folder that `open` refuses; the call is then repeated.
    ///
    /// # Errors
    /// Refuses a folder of another cluster or instance, and an incarnation that the folder had before.
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
        let Opened {
            recovered,
            owner,
            shape,
            segments,
            tail_bytes,
            tail_synced_bytes,
        } = opened;
        let store = Self {
            disk,
            options,
            owner,
            shape,
            segments,
            tail_bytes,
            tail_synced_bytes,
            buffer: Vec::new(),
            is_dirty: false,
            is_poisoned: false,
        };
        Ok((store, recovered))
    }

    /// Takes changes in order; they are durable once [`Store::sync`] returns, and until then all or none survive a crash.
    ///
    /// # Errors
    /// A change that contradicts the log or is too large is refused with all after it; those before it stay. After any
    /// other error the process must stop ([`WriteError::is_fatal`]).
    pub fn write(&mut self, writes: &[Write]) -> Result<(), WriteError> {
        self.check_poison()?;
        let result = writes.iter().try_for_each(|write| self.put(write));
        self.poison_on_fatal(result)
    }

    /// Makes everything written so far durable, with one sync for the whole batch.
    ///
    /// # Errors
    /// After an error nothing of the batch may be acknowledged, and the process must stop: a later sync that succeeds says
    /// nothing about bytes that a failed one lost, so none is tried.
    pub fn sync(&mut self) -> Result<(), WriteError> {
        self.check_poison()?;
        let result = self.sync_and_roll();
        self.poison_on_fatal(result)
    }

    /// Stores a snapshot of this log durably, and removes segments that it covers.
    ///
    /// # Errors
    /// Refuses a snapshot whose last entry isn't in the log with that term, and fails as [`Store::sync`] does.
    pub fn take_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), WriteError> {
        self.check_poison()?;
        if self.shape.term_at(snapshot.last_index) != Some(snapshot.last_term) {
            return Err(WriteError::OutOfOrder(OutOfOrder::Snapshot {
                index: snapshot.last_index,
                base_index: self.shape.base_index,
            }));
        }
        let result = self.put_snapshot(snapshot);
        self.poison_on_fatal(result)
    }

    /// Returns the incarnation that the folder belongs to.
    #[must_use]
    pub fn node_id(&self) -> NodeId {
        self.owner.node_id
    }

    /// Returns the index of the last entry, whether in the log or covered by the snapshot.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.shape.next_index - 1
    }

    /// Returns whether the store failed and takes nothing more.
    #[must_use]
    pub fn is_poisoned(&self) -> bool {
        self.is_poisoned
    }

    fn put(&mut self, write: &Write) -> Result<(), WriteError> {
        match write {
            Write::Append(entries) => entries.iter().try_for_each(|entry| self.put_entry(entry)),
            Write::Truncate(from) => {
                self.shape.truncate(*from).map_err(WriteError::OutOfOrder)?;
                self.put_record(Kind::Truncate, &payload(from))
            }
            Write::HardState(hard_state) if *hard_state == self.shape.hard_state => Ok(()),
            Write::HardState(hard_state) => {
                self.shape
                    .set_hard_state(*hard_state)
                    .map_err(WriteError::OutOfOrder)?;
                self.put_record(Kind::HardState, &payload(hard_state))
            }
            Write::InstallSnapshot(snapshot) => self.put_snapshot(snapshot),
            Write::MarkComplete if self.shape.complete => Ok(()),
            Write::MarkComplete => {
                self.shape.complete = true;
                self.put_record(Kind::Complete, &[])
            }
        }
    }

    fn put_entry(&mut self, entry: &Entry) -> Result<(), WriteError> {
        let bytes = payload(entry);
        check_size(&bytes, MAX_RECORD_BYTES)?;
        self.shape
            .append(entry.index, entry.term)
            .map_err(WriteError::OutOfOrder)?;
        self.put_record(Kind::Entry, &bytes)
    }

    fn put_record(&mut self, kind: Kind, payload: &[u8]) -> Result<(), WriteError> {
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

    /// Brings the buffer to the file, without a sync.
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
        // Recovery takes a batch whole or not at all: a commit index without the entries that it was about would make
        // older entries in their place look committed.
        self.put_record(Kind::BatchEnd, &[])?;
        self.flush()?;
        let name = segment_name(self.tail_number());
        self.disk.sync_file(&name).map_err(WriteError::from_sync)?;
        self.tail_synced_bytes = self.tail_bytes;
        // The mark isn't synced itself. It survives an end of the process, and then tells damage to this batch from a torn
        // end; after a loss of power it may be missing, and the next batch's records vouch in its place.
        self.put_record(Kind::Mark, &[])?;
        self.flush()?;
        self.is_dirty = false;
        Ok(())
    }

    /// Starts a new segment; everything in the one before is synced.
    fn roll(&mut self) -> Result<(), WriteError> {
        let number = self.tail_number() + 1;
        let header = Header {
            owner: self.owner.clone(),
            previous_bytes: self.tail_synced_bytes,
            shape: self.shape.clone(),
        };
        let file = FileBuilder::new(number).add(Kind::Header, &payload(&header));
        install(&mut self.disk, &segment_name(number), &file.bytes)?;
        self.seal()?;
        self.segments.push(Segment {
            number,
            first_index: self.shape.next_index,
        });
        self.tail_bytes = file.bytes.len() as u64;
        self.tail_synced_bytes = self.tail_bytes;
        Ok(())
    }

    /// Notes in the segment that it has a successor, so that a missing last segment is found out.
    fn seal(&mut self) -> Result<(), WriteError> {
        self.put_record(Kind::Seal, &[])?;
        self.flush()?;
        let name = segment_name(self.tail_number());
        self.disk.sync_file(&name).map_err(WriteError::from_sync)?;
        self.is_dirty = false;
        Ok(())
    }

    /// Stores a snapshot: file, record, new segment, and only then the removals.
    fn put_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), WriteError> {
        let base = Base {
            index: snapshot.last_index,
            term: snapshot.last_term,
        };
        if base.index == self.shape.base_index {
            return Ok(());
        }
        let bytes = payload(snapshot);
        check_size(&bytes, MAX_SNAPSHOT_BYTES)?;
        let mut shape = self.shape.clone();
        shape
            .rebase(base.index, base.term)
            .map_err(WriteError::OutOfOrder)?;
        // What the log holds before the snapshot has to be durable before it: recovery puts the snapshot over all of it.
        self.sync_tail()?;
        let file = FileBuilder::new(base.index)
            .add(Kind::Owner, &payload(&self.owner))
            .add(Kind::Snapshot, &bytes);
        let before_index = self.shape.base_index;
        install(&mut self.disk, &snapshot_name(base.index), &file.bytes)?;
        self.shape = shape;
        self.put_record(Kind::Base, &payload(&base))?;
        self.sync_tail()?;
        self.roll()?;
        self.remove_covered(before_index)
    }

    /// Removes the segments and the snapshot that the latest snapshot takes the place of.
    fn remove_covered(&mut self, before_index: Index) -> Result<(), WriteError> {
        let base_index = self.shape.base_index;
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
        if before_index > 0 {
            self.disk
                .remove(&snapshot_name(before_index))
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
