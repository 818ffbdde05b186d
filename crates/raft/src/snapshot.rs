//! Snapshots: saved locally, and sent in bounded chunks to members that lag too far behind.

use std::sync::Arc;

use crate::node::{MAX_TERM_OR_INDEX, Node, State};
use crate::output::Write;
use crate::progress::Mode;
use crate::types::{Index, NodeId, Snapshot, Term};
use crate::{AppendResult, Body};

/// Largest snapshot that a node accepts; state is a few megabytes, and this keeps a wrong size from exhausting memory.
const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;

/// A snapshot that is being received in chunks.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    /// Chunks from two leaders can't be combined: their states may be encoded differently.
    leader_term: Term,
    last_index: Index,
    state: Vec<u8>,
}

impl IncomingSnapshot {
    pub(crate) fn received_bytes(&self) -> usize {
        self.state.len()
    }
}

impl Node {
    /// Saves the driver's state as of `last_index`, an index that it has applied, and compacts the log before it.
    ///
    /// Returns false, and does nothing, if a snapshot at or after `last_index` exists or the index is not applied yet.
    pub fn snapshot_taken(&mut self, last_index: Index, state: Box<[u8]>) -> bool {
        let is_newer = self
            .snapshot
            .as_ref()
            .is_none_or(|snapshot| snapshot.last_index < last_index);
        let Some(last_term) = self.log.term_at(last_index) else {
            return false;
        };
        if !is_newer || last_index > self.applied {
            return false;
        }
        let membership = self.log.membership_at(last_index).clone();
        let snapshot = Snapshot {
            last_index,
            last_term,
            membership,
            state: state.into(),
        };
        self.outbox
            .write_unawaited(Write::SaveSnapshot(snapshot.clone()));
        self.snapshot = Some(Arc::new(snapshot));
        self.log
            .compact(last_index, self.config.keep_entries, self.config.keep_bytes);
        self.limit_earlier_snapshots();
        true
    }

    /// Restarts the transfers of earlier snapshots with the latest one, except those of the one that is furthest along.
    ///
    /// Otherwise every slow member could hold a snapshot of its own in memory. The one that stays reaches its member, so
    /// that no member is restarted for ever.
    fn limit_earlier_snapshots(&mut self) {
        let (State::Leader(leader_state), Some(latest)) = (&mut self.state, &self.snapshot) else {
            return;
        };
        let transfers = leader_state.peers.values();
        let furthest = transfers.filter_map(|progress| match &progress.mode {
            Mode::Snapshot {
                snapshot, offset, ..
            } if !Arc::ptr_eq(snapshot, latest) => Some((*offset, snapshot.last_index)),
            _ => None,
        });
        let Some((_, kept_index)) = furthest.max() else {
            return;
        };
        for progress in leader_state.peers.values_mut() {
            if let Mode::Snapshot {
                snapshot,
                offset,
                sent,
            } = &mut progress.mode
                && snapshot.last_index != kept_index
                && !Arc::ptr_eq(snapshot, latest)
            {
                *snapshot = Arc::clone(latest);
                (*offset, *sent) = (0, false);
            }
        }
    }

    /// Starts sending the latest snapshot to a member; returns whether a chunk was sent.
    pub(crate) fn start_snapshot(&mut self, peer: NodeId) -> bool {
        let snapshot = self
            .snapshot
            .as_ref()
            .expect("a compacted log has a snapshot");
        let mode = Mode::Snapshot {
            snapshot: Arc::clone(snapshot),
            offset: 0,
            sent: false,
        };
        let State::Leader(leader_state) = &mut self.state else {
            return false;
        };
        let Some(progress) = leader_state.peers.get_mut(&peer) else {
            return false;
        };
        progress.inflight.clear();
        progress.mode = mode;
        self.send_chunk(peer)
    }

    /// Sends the next chunk unless one is in flight; returns whether it was sent.
    pub(crate) fn send_chunk(&mut self, peer: NodeId) -> bool {
        let chunk_bytes = self.config.snapshot_chunk_bytes;
        let State::Leader(leader_state) = &mut self.state else {
            return false;
        };
        let round = leader_state.rounds.current();
        let Some(progress) = leader_state.peers.get_mut(&peer) else {
            return false;
        };
        let Mode::Snapshot {
            snapshot,
            offset,
            sent,
        } = &mut progress.mode
        else {
            return false;
        };
        if *sent {
            return false;
        }
        *sent = true;
        progress.waiting_since = self.now;
        let end = snapshot.state.len().min(*offset + chunk_bytes);
        let body = Body::SnapshotChunk {
            last_index: snapshot.last_index,
            last_term: snapshot.last_term,
            membership: snapshot.membership.clone(),
            total_bytes: snapshot.state.len() as u64,
            offset: *offset as u64,
            data: snapshot.state.slice(*offset..end),
            round,
        };
        self.outbox.send(self.hard_state.term, peer, body);
        true
    }

    pub(crate) fn on_snapshot_chunk(
        &mut self,
        from: NodeId,
        head: Snapshot,
        total_bytes: u64,
        offset: u64,
        data: &[u8],
        round: u64,
    ) {
        if matches!(self.state, State::Leader(_))
            || total_bytes > MAX_SNAPSHOT_BYTES
            || head.last_index > MAX_TERM_OR_INDEX
            || head.last_term > self.hard_state.term
        {
            return;
        }
        self.on_leader_contact(from);
        let last_index = head.last_index;
        // A chunk may arrive late. Entries after the snapshot in this log may have been acknowledged, so they must stay.
        if self.log.term_at(last_index) == Some(head.last_term) {
            self.commit_to(last_index);
        }
        if last_index <= self.commit {
            return self.accept_snapshot(from, last_index, round);
        }
        let leader_term = self.hard_state.term;
        let fits = |incoming: &IncomingSnapshot| {
            incoming.leader_term == leader_term && incoming.last_index == last_index
        };
        let known = self.incoming_snapshot.take().filter(fits);
        let mut incoming = known.unwrap_or(IncomingSnapshot {
            leader_term,
            last_index,
            state: Vec::new(),
        });
        if incoming.state.len() as u64 == offset && offset + data.len() as u64 <= total_bytes {
            incoming.state.extend_from_slice(data);
        }
        if incoming.state.len() as u64 == total_bytes {
            let state = incoming.state.into();
            self.install_snapshot(Snapshot { state, ..head });
            return self.accept_snapshot(from, last_index, round);
        }
        let next_offset = incoming.state.len() as u64;
        self.incoming_snapshot = Some(incoming);
        let body = Body::SnapshotReply {
            last_index,
            next_offset,
            round,
            complete: self.complete,
        };
        self.outbox.send(leader_term, from, body);
    }

    fn accept_snapshot(&mut self, leader: NodeId, last_index: Index, round: u64) {
        let result = AppendResult::Accepted {
            match_index: last_index,
        };
        let body = Body::AppendReply {
            result,
            round,
            complete: self.complete,
        };
        self.outbox
            .send_after_log_sync(last_index, self.hard_state.term, leader, body);
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.drop_covered_proposals(snapshot.last_index);
        self.log.reset(&snapshot);
        self.commit = snapshot.last_index;
        self.applied = snapshot.last_index;
        self.outbox.write_install(
            Write::InstallSnapshot(snapshot.clone()),
            snapshot.last_index,
        );
        self.snapshot = Some(Arc::new(snapshot.clone()));
        self.install = Some(snapshot);
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        from: NodeId,
        last_index: Index,
        next_offset: u64,
        round: u64,
        complete: bool,
    ) {
        self.record_reply(from, round, complete);
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let Some(progress) = leader_state.peers.get_mut(&from) else {
            return;
        };
        let Mode::Snapshot {
            snapshot,
            offset,
            sent,
        } = &mut progress.mode
        else {
            return;
        };
        let Ok(next_offset) = usize::try_from(next_offset) else {
            return;
        };
        // A duplicate reply to a resent chunk is ignored.
        if snapshot.last_index == last_index
            && next_offset != *offset
            && next_offset <= snapshot.state.len()
        {
            *offset = next_offset;
            *sent = false;
        }
    }
}
