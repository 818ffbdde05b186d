//! An in-memory disk that simulates power failures, torn and reordered writes, failed syncs and a full disk.
//!
//! Each file keeps the bytes that a reader sees and those that are durable, and the folder does the same for names. A power
//! failure keeps what is durable and a part of the rest that the seed selects.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::disk::Disk;

/// Length of the fragments that a power failure keeps or loses separately; less than a record, so that records tear.
const FRAGMENT_BYTES: usize = 16;

/// An in-memory disk; clones are handles to the same disk.
#[derive(Debug, Default)]
pub struct FakeDisk {
    state: Arc<Mutex<State>>,
    holds_lock: bool,
}

#[derive(Debug, Default)]
struct State {
    files: Vec<File>,
    names: BTreeMap<Box<str>, usize>,
    durable_names: BTreeMap<Box<str>, usize>,
    /// Changes to names since the last sync of the folder.
    name_changes: Vec<NameChange>,
    /// Number of modifying operations so far.
    operations: u64,
    /// Operation in which the power fails.
    cut_power_at: Option<u64>,
    /// Number of syncs that succeed before one fails.
    syncs_before_failure: Option<u64>,
    capacity_bytes: Option<usize>,
    is_locked: bool,
}

#[derive(Debug, Default)]
struct File {
    bytes: Vec<u8>,
    durable: Vec<u8>,
    /// Unsynced appends: offset and length, in bytes.
    pending: Vec<(usize, usize)>,
}

#[derive(Debug)]
struct NameChange {
    removed: Option<Box<str>>,
    set: Option<(Box<str>, usize)>,
}

/// What a power failure does to unsynced changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// All of it is lost.
    All,
    /// Nothing is lost.
    Nothing,
    /// A prefix survives, which may end anywhere.
    Torn,
    /// Fragments survive in any order; the others read as zeros or as noise.
    Reordered,
}

impl Loss {
    /// All variants.
    pub const KINDS: [Self; 4] = [Self::All, Self::Nothing, Self::Torn, Self::Reordered];
}

/// A seeded random number generator (splitmix64), so that a failed case can be repeated.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut word = self.0;
        word = (word ^ (word >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        word ^ (word >> 31)
    }

    fn next_bool(&mut self) -> bool {
        self.next() & 1 == 1
    }

    /// Returns a number from 0 to `most` inclusive.
    fn next_up_to(&mut self, most: usize) -> usize {
        usize::try_from(self.next() % (most as u64 + 1)).expect("the result is at most `most`")
    }
}

impl FakeDisk {
    /// Creates an empty disk.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of modifying operations so far.
    #[must_use]
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Makes the power fail in the operation with this number, counted from 0.
    pub fn cut_power_at(&self, operation: u64) {
        self.state().cut_power_at = Some(operation);
    }

    /// Makes one sync fail after `syncs_before_failure` successes; its bytes are lost, and later syncs succeed without them.
    pub fn fail_sync_after(&self, syncs_before_failure: u64) {
        self.state().syncs_before_failure = Some(syncs_before_failure);
    }

    /// Limits the total length of all files.
    pub fn set_capacity(&self, capacity_bytes: Option<usize>) {
        self.state().capacity_bytes = capacity_bytes;
    }

    /// Simulates a process restart: the lock is released, and everything written stays readable, synced or not.
    pub fn restart_process(&self) {
        let mut state = self.state();
        state.is_locked = false;
        state.cut_power_at = None;
        state.syncs_before_failure = None;
    }

    /// Simulates a power failure and a restart; `loss` determines what happens to unsynced changes.
    pub fn power_cycle(&self, loss: Loss, seed: u64) {
        self.restart_process();
        let mut rng = SplitMix64(seed);
        let mut state = self.state();
        let changes = std::mem::take(&mut state.name_changes);
        let kept_changes = rng.next_up_to(changes.len());
        for (position, change) in changes.into_iter().enumerate() {
            let survives = match loss {
                Loss::All => false,
                Loss::Nothing => true,
                Loss::Torn => position < kept_changes,
                Loss::Reordered => rng.next_bool(),
            };
            if survives {
                change.apply(&mut state.durable_names);
            }
        }
        state.names = state.durable_names.clone();
        for file in &mut state.files {
            file.apply_loss(loss, &mut rng);
        }
    }

    /// Returns the names and bytes of all files.
    #[must_use]
    pub fn contents(&self) -> BTreeMap<Box<str>, Vec<u8>> {
        let state = self.state();
        state
            .names
            .iter()
            .map(|(name, id)| (name.clone(), state.files[*id].bytes.clone()))
            .collect()
    }

    /// Creates a disk on which these files are durable.
    #[must_use]
    pub fn with_contents(contents: &BTreeMap<Box<str>, Vec<u8>>) -> Self {
        let disk = Self::new();
        let mut state = disk.state();
        for (name, bytes) in contents {
            let id = state.files.len();
            state.files.push(File {
                bytes: bytes.clone(),
                durable: bytes.clone(),
                pending: Vec::new(),
            });
            state.names.insert(name.clone(), id);
        }
        state.durable_names = state.names.clone();
        drop(state);
        disk
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl Clone for FakeDisk {
    fn clone(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            holds_lock: false,
        }
    }
}

impl Drop for FakeDisk {
    fn drop(&mut self) {
        if self.holds_lock {
            self.state().is_locked = false;
        }
    }
}

impl NameChange {
    fn apply(self, names: &mut BTreeMap<Box<str>, usize>) {
        if let Some(name) = self.removed {
            names.remove(&name);
        }
        if let Some((name, id)) = self.set {
            names.insert(name, id);
        }
    }
}

impl File {
    fn apply_loss(&mut self, loss: Loss, rng: &mut SplitMix64) {
        let pending = std::mem::take(&mut self.pending);
        let end = pending.last().map_or(0, |(offset, length)| offset + length);
        let kept_end = rng.next_up_to(end);
        let noise = rng.next_bool();
        for (offset, length) in pending {
            for start in (offset..offset + length).step_by(FRAGMENT_BYTES) {
                let stop = (start + FRAGMENT_BYTES).min(offset + length);
                let kept = match loss {
                    Loss::All => continue,
                    Loss::Nothing => true,
                    Loss::Torn if start >= kept_end => continue,
                    Loss::Torn => {
                        self.make_durable(start, stop.min(kept_end));
                        continue;
                    }
                    Loss::Reordered => rng.next_bool(),
                };
                if kept {
                    self.make_durable(start, stop);
                } else if noise && rng.next_bool() {
                    self.make_durable(start, stop);
                    let at = start + rng.next_up_to(stop - start - 1);
                    self.durable[at] ^= 0x55;
                }
            }
        }
        self.bytes = self.durable.clone();
    }

    /// Makes a range of bytes durable; a gap before it reads as zeros.
    fn make_durable(&mut self, start: usize, stop: usize) {
        let length = self.durable.len().max(stop);
        self.durable.resize(length, 0);
        self.durable[start..stop].copy_from_slice(&self.bytes[start..stop]);
    }
}

impl State {
    /// Counts a modifying operation; returns false from the one in which the power fails.
    fn count_operation(&mut self) -> bool {
        let has_power = self.cut_power_at.is_none_or(|at| self.operations < at);
        self.operations += 1;
        has_power
    }

    /// Returns an error if the power failed in this operation or earlier.
    fn check_power(&self) -> io::Result<()> {
        if self.cut_power_at.is_some_and(|at| self.operations > at) {
            return Err(io::Error::other("power is gone"));
        }
        Ok(())
    }

    /// Returns whether the power failed before this operation, which then has no effect.
    fn is_powered_off(&self) -> bool {
        self.cut_power_at.is_some_and(|at| self.operations > at + 1)
    }

    fn file_id(&self, name: &str) -> io::Result<usize> {
        self.names
            .get(name)
            .copied()
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn change_name(&mut self, removed: Option<&str>, set: Option<(&str, usize)>) {
        let change = || NameChange {
            removed: removed.map(Into::into),
            set: set.map(|(name, id)| (name.into(), id)),
        };
        change().apply(&mut self.names);
        self.name_changes.push(change());
    }

    /// Counts a sync; returns false if it must fail.
    fn count_sync(&mut self) -> bool {
        match &mut self.syncs_before_failure {
            Some(0) => {
                self.syncs_before_failure = None;
                false
            }
            Some(remaining) => {
                *remaining -= 1;
                true
            }
            None => true,
        }
    }

    fn free_bytes(&self) -> usize {
        let used: usize = self
            .names
            .values()
            .map(|id| self.files[*id].bytes.len())
            .sum();
        self.capacity_bytes
            .map_or(usize::MAX, |capacity| capacity.saturating_sub(used))
    }
}

impl Disk for FakeDisk {
    fn lock(&mut self) -> io::Result<bool> {
        if self.holds_lock {
            return Ok(true);
        }
        let mut state = self.state();
        let is_free = !state.is_locked;
        state.is_locked = true;
        drop(state);
        self.holds_lock = is_free;
        Ok(is_free)
    }

    fn list(&mut self) -> io::Result<Vec<Box<str>>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        let id = state.file_id(name)?;
        Ok(state.files[id].bytes.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation();
        if !state.is_powered_off() {
            let id = state.files.len();
            state.files.push(File::default());
            state.change_name(None, Some((name, id)));
        }
        state.check_power()
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation();
        if state.is_powered_off() {
            return state.check_power();
        }
        let id = state.file_id(name)?;
        let written = bytes.len().min(state.free_bytes());
        let file = &mut state.files[id];
        let offset = file.bytes.len();
        file.bytes.extend(&bytes[..written]);
        file.pending.push((offset, written));
        if written < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.check_power()
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        if !state.count_operation() {
            return state.check_power();
        }
        let succeeds = state.count_sync();
        let id = state.file_id(name)?;
        let file = &mut state.files[id];
        // As on real systems, a failed sync drops what it didn't write to the disk.
        let pending = std::mem::take(&mut file.pending);
        if !succeeds {
            return Err(io::Error::other("input/output error"));
        }
        for (offset, length) in pending {
            file.make_durable(offset, offset + length);
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        if !state.count_operation() {
            return state.check_power();
        }
        if !state.count_sync() {
            return Err(io::Error::other("input/output error"));
        }
        state.name_changes.clear();
        state.durable_names = state.names.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation();
        if !state.is_powered_off() {
            let id = state.file_id(from)?;
            state.change_name(Some(from), Some((to, id)));
        }
        state.check_power()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation();
        if !state.is_powered_off() {
            state.file_id(name)?;
            state.change_name(Some(name), None);
        }
        state.check_power()
    }
}
