//! The in-memory part of the log, and the memberships that it defines.

use std::collections::VecDeque;

use crate::error::OpenError;
use crate::membership;
use crate::types::{Entry, EntryKind, Index, Membership, Snapshot, Term};

/// Bytes of an encoded entry besides its payload, including field names; bounds messages of many small entries.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// The entries after a base index; everything up to the base is included in a snapshot.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// Memberships with the index of their entry, in order; the first is at or before the base.
    memberships: Vec<(Index, Membership)>,
}

impl Log {
    pub(crate) fn open(
        snapshot: Option<&Snapshot>,
        entries: Vec<Entry>,
    ) -> Result<Self, OpenError> {
        let mut log = Self {
            base_index: 0,
            base_term: 0,
            entries: VecDeque::new(),
            memberships: vec![(0, Membership::default())],
        };
        if let Some(snapshot) = snapshot {
            log.reset(snapshot);
        }
        for entry in entries {
            let index = log.last_index() + 1;
            if entry.index != index || entry.term < log.last_term() {
                return Err(OpenError::Gap { index });
            }
            if entry.kind == EntryKind::Membership && membership::decode(&entry).is_none() {
                return Err(OpenError::Membership { index });
            }
            log.append(entry);
        }
        Ok(log)
    }

    pub(crate) fn base_index(&self) -> Index {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> Index {
        self.entries
            .back()
            .map_or(self.base_index, |entry| entry.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of an entry, or none if it was compacted or does not exist yet.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    fn get(&self, index: Index) -> Option<&Entry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Returns the entries that are in memory, in order.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns the bytes of the payloads of the entries after an index.
    pub(crate) fn payload_bytes_after(&self, index: Index) -> usize {
        let after = self.entries.iter().rev();
        let after = after.take_while(|entry| entry.index > index);
        after.map(|entry| entry.payload.len()).sum()
    }

    /// Returns copies of the entries from `from` on, up to `max_bytes` but at least one if there is any.
    pub(crate) fn batch(&self, from: Index, max_bytes: usize) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.payload.len() + ENTRY_OVERHEAD_BYTES;
            if !batch.is_empty() && bytes > max_bytes {
                break;
            }
            batch.push(entry.clone());
            index += 1;
        }
        batch
    }

    /// Returns copies of the entries after index `after`, up to and including `last`.
    pub(crate) fn entries_between(&self, after: Index, last: Index) -> Vec<Entry> {
        (after + 1..=last)
            .filter_map(|index| self.get(index).cloned())
            .collect()
    }

    /// Returns whether a log that ends at `index` and `term` is at least as up-to-date as this one.
    pub(crate) fn is_candidate_up_to_date(&self, index: Index, term: Term) -> bool {
        (term, index) >= (self.last_term(), self.last_index())
    }

    /// Returns the last index at or before `index` whose term is at most `term`.
    pub(crate) fn last_index_within(&self, index: Index, term: Term) -> Index {
        let mut index = index.min(self.last_index());
        while index > self.base_index && self.term_at(index).is_some_and(|own| own > term) {
            index -= 1;
        }
        index
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(
            entry.index,
            self.last_index() + 1,
            "entries are appended without gaps"
        );
        if entry.kind == EntryKind::Membership {
            let membership = membership::decode(&entry)
                .expect("memberships are validated before they are appended");
            self.memberships.push((entry.index, membership));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: Index) {
        let kept = from.saturating_sub(self.base_index + 1);
        self.entries.truncate(
            usize::try_from(kept).expect("the in-memory log fits into the address space"),
        );
        self.memberships
            .retain(|(index, _)| *index < from || *index <= self.base_index);
    }

    /// Removes entries up to and including `last`, which are included in a snapshot; the newest of them stay, up to a
    /// number and a total size.
    pub(crate) fn compact(&mut self, last: Index, keep_entries: u64, keep_bytes: usize) {
        let to = self.last_index_beyond(last, keep_entries, keep_bytes);
        while self.entries.front().is_some_and(|entry| entry.index <= to) {
            let entry = self.entries.pop_front().expect("the front was just seen");
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        while self
            .memberships
            .get(1)
            .is_some_and(|(index, _)| *index <= self.base_index)
        {
            self.memberships.remove(0);
        }
    }

    /// Returns the last index before the newest entries up to `last` that stay within a number and a total size.
    fn last_index_beyond(&self, last: Index, keep_entries: u64, keep_bytes: usize) -> Index {
        let oldest_kept = last.saturating_sub(keep_entries);
        let mut bytes = 0;
        let mut index = last;
        while index > oldest_kept {
            bytes += self.get(index).map_or(0, |entry| entry.payload.len());
            if bytes > keep_bytes {
                break;
            }
            index -= 1;
        }
        index
    }

    /// Replaces the whole log with a snapshot.
    pub(crate) fn reset(&mut self, snapshot: &Snapshot) {
        self.base_index = snapshot.last_index;
        self.base_term = snapshot.last_term;
        self.entries.clear();
        self.memberships = vec![(snapshot.last_index, snapshot.membership.clone())];
    }

    /// Returns the latest membership, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        &self
            .memberships
            .last()
            .expect("the list of memberships is never empty")
            .1
    }

    /// Returns the index of the entry or snapshot that defined the latest membership.
    pub(crate) fn membership_index(&self) -> Index {
        self.memberships
            .last()
            .expect("the list of memberships is never empty")
            .0
    }

    /// Returns the membership as of an index that is not compacted.
    pub(crate) fn membership_at(&self, index: Index) -> &Membership {
        let known = self
            .memberships
            .iter()
            .rev()
            .find(|(defined, _)| *defined <= index);
        &known.unwrap_or(&self.memberships[0]).1
    }
}
