//! In-memory summary of the log: its first and last index, the terms of its entries, and the hard state.
//!
//! The writer checks every change against it, and recovery replays the same changes through it. Each segment's header
//! contains the summary at its start, so that older segments can be removed and replay can compare its own.

use hinge_raft::types::{HardState, Index, Term};
use serde::{Deserialize, Serialize};

use crate::error::OutOfOrder;

/// The bounds, terms and hard state of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogState {
    /// Index and term of the last entry that a snapshot covers; both 0 without a snapshot.
    pub base_index: Index,
    pub base_term: Term,
    /// First index and term of each run of entries with the same term, in ascending order.
    runs: Vec<(Index, Term)>,
    /// Index of the next entry.
    pub next_index: Index,
    pub hard_state: HardState,
    /// Whether the incarnation has ever held the complete log.
    pub complete: bool,
}

impl LogState {
    pub(crate) fn new(complete: bool) -> Self {
        Self {
            next_index: 1,
            complete,
            ..Self::default()
        }
    }

    /// Returns the term of an entry, or `None` if the log doesn't contain it.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        if index < self.base_index || index >= self.next_index {
            return None;
        }
        let after = self.runs.partition_point(|(first, _)| *first <= index);
        after.checked_sub(1).map(|run| self.runs[run].1)
    }

    pub(crate) fn append(&mut self, index: Index, term: Term) -> Result<(), OutOfOrder> {
        if index != self.next_index {
            return Err(OutOfOrder::Append {
                index,
                next_index: self.next_index,
            });
        }
        let last_term = self.runs.last().map_or(self.base_term, |run| run.1);
        if term < last_term {
            return Err(OutOfOrder::Term {
                index,
                term,
                last_term,
            });
        }
        if self.runs.is_empty() || term > last_term {
            self.runs.push((index, term));
        }
        self.next_index += 1;
        Ok(())
    }

    /// Removes the entries from `from` on; fails if the snapshot covers one of them.
    ///
    /// The commit index isn't checked: in a batch it may precede the entries that it refers to.
    pub(crate) fn truncate(&mut self, from: Index) -> Result<(), OutOfOrder> {
        if from <= self.base_index || from > self.next_index {
            return Err(OutOfOrder::Truncate {
                from,
                base_index: self.base_index,
                next_index: self.next_index,
            });
        }
        self.runs.retain(|(first, _)| *first < from);
        self.next_index = from;
        Ok(())
    }

    /// Replaces the hard state; its term and commit may not decrease, nor its vote change within a term.
    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) -> Result<(), OutOfOrder> {
        let held = self.hard_state;
        let changes_vote = hard_state.term == held.term
            && held.voted_for.is_some()
            && hard_state.voted_for != held.voted_for;
        if hard_state.term < held.term || hard_state.commit < held.commit || changes_vote {
            return Err(OutOfOrder::HardState {
                held,
                given: hard_state,
            });
        }
        self.hard_state = hard_state;
        Ok(())
    }

    /// Makes the log start after a snapshot; keeps later entries only if the log contains the snapshot's last entry.
    pub(crate) fn rebase(&mut self, index: Index, term: Term) -> Result<(), OutOfOrder> {
        if index < self.base_index {
            return Err(OutOfOrder::Snapshot {
                index,
                base_index: self.base_index,
            });
        }
        if self.term_at(index) == Some(term) {
            self.drop_runs_through(index);
        } else {
            self.runs.clear();
            self.next_index = index + 1;
        }
        self.base_index = index;
        self.base_term = term;
        Ok(())
    }

    fn drop_runs_through(&mut self, index: Index) {
        let first_kept = index + 1;
        let kept_term = self.term_at(first_kept);
        self.runs.retain(|(first, _)| *first > first_kept);
        if let Some(term) = kept_term {
            self.runs.insert(0, (first_kept, term));
        }
    }
}
