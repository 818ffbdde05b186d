//! Counts the bytes of payloads that a node keeps in memory.

use std::sync::Arc;

use crate::node::{Node, State};
use crate::progress::Mode;
use crate::snapshot::IncomingSnapshot;
use crate::types::Snapshot;

/// Bytes of payloads that a node keeps in memory, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldBytes {
    /// Entries that the latest snapshot covers, kept for members that lag slightly.
    pub covered_entries: usize,
    /// Applied entries after the latest snapshot.
    pub applied_entries: usize,
    /// Entries that are not applied yet.
    pub unapplied_entries: usize,
    /// The latest snapshot.
    pub snapshot: usize,
    /// Earlier snapshots that are still being sent to members.
    pub earlier_snapshots: usize,
    /// The received part of a snapshot.
    pub incoming_snapshot: usize,
}

impl Node {
    /// Returns the bytes of payloads that this node keeps in memory; takes time in proportion to the number of entries.
    #[must_use]
    pub fn held_bytes(&self) -> HeldBytes {
        let latest = self.snapshot.as_ref();
        let snapshot_index = latest.map_or(0, |snapshot| snapshot.last_index);
        let mut held = HeldBytes {
            snapshot: latest.map_or(0, |snapshot| snapshot.state.len()),
            earlier_snapshots: self.earlier_snapshot_bytes(),
            incoming_snapshot: self
                .incoming_snapshot
                .as_ref()
                .map_or(0, IncomingSnapshot::received_bytes),
            ..HeldBytes::default()
        };
        for entry in self.log.entries() {
            let kind = if entry.index > self.applied {
                &mut held.unapplied_entries
            } else if entry.index > snapshot_index {
                &mut held.applied_entries
            } else {
                &mut held.covered_entries
            };
            *kind += entry.payload.len();
        }
        held
    }

    fn earlier_snapshot_bytes(&self) -> usize {
        let State::Leader(leader_state) = &self.state else {
            return 0;
        };
        let mut earlier: Vec<&Arc<Snapshot>> = Vec::new();
        for progress in leader_state.peers.values() {
            let Mode::Snapshot { snapshot, .. } = &progress.mode else {
                continue;
            };
            let is_latest = self
                .snapshot
                .as_ref()
                .is_some_and(|latest| Arc::ptr_eq(latest, snapshot));
            if !is_latest && !earlier.iter().any(|known| Arc::ptr_eq(known, snapshot)) {
                earlier.push(snapshot);
            }
        }
        earlier.iter().map(|snapshot| snapshot.state.len()).sum()
    }
}
