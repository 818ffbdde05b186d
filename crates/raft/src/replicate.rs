//! Log replication and commitment.

use crate::membership;
use crate::node::{Node, State};
use crate::progress::{InflightBatch, LeaderState, Mode, Progress};
use crate::types::{Entry, EntryKind, Index, NodeId, Term};
use crate::{AppendResult, Body};

/// Heartbeat intervals after which an unacknowledged batch or chunk is resent; one interval may just be a slow reply.
const RESEND_HEARTBEAT_INTERVALS: u32 = 2;

/// Round number of an append that gets no reply; real rounds start at 1.
const NO_REPLY_ROUND: u64 = 0;

impl Node {
    /// Adds and removes the progress of members after a membership change.
    pub(crate) fn track_members(&mut self) {
        let last_index = self.log.last_index();
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let membership = self.log.membership();
        leader_state.peers.retain(|id, _| membership.contains(*id));
        for id in membership.members().filter(|id| *id != self.config.id) {
            leader_state
                .peers
                .entry(id)
                .or_insert_with(|| Progress::new(last_index, self.now));
        }
    }

    pub(crate) fn tick_leader(&mut self) {
        if self.has_lost_quorum() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        self.abort_expired_transfer();
        let now = self.now;
        let resend_after = self.config.heartbeat_interval * RESEND_HEARTBEAT_INTERVALS;
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        if now >= leader_state.round_began_at + self.config.heartbeat_interval {
            leader_state.round_due = true;
        }
        let (elected_at, silent_after) = (leader_state.elected_at, self.config.election_timeout);
        for progress in leader_state.peers.values_mut() {
            let heard_at = progress.last_reply_at.unwrap_or_default().max(elected_at);
            if now >= progress.waiting_since + resend_after {
                progress.waiting_since = now;
                resend(progress);
                if now >= heard_at + silent_after {
                    progress.abort_snapshot();
                }
            }
        }
        self.release_reads();
    }

    /// Returns whether no quorum replied within the election timeout.
    fn has_lost_quorum(&self) -> bool {
        let State::Leader(leader_state) = &self.state else {
            return false;
        };
        let last_reply_at = self.log.membership().quorum_value(|id| {
            if id == self.config.id {
                return self.now;
            }
            let peer = leader_state.peers.get(&id).filter(|peer| peer.complete);
            peer.and_then(|peer| peer.last_reply_at).unwrap_or_default()
        });
        self.now >= last_reply_at.max(leader_state.elected_at) + self.config.election_timeout
    }

    /// Sends the heartbeats, entries and snapshot chunks that are due to each member.
    pub(crate) fn replicate(&mut self) {
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let begins_round = std::mem::take(&mut leader_state.round_due);
        if begins_round {
            leader_state.rounds.begin(self.now);
            leader_state.round_began_at = self.now;
            self.discard_acked_rounds();
        }
        let State::Leader(leader_state) = &self.state else {
            return;
        };
        let peers: Vec<NodeId> = leader_state.peers.keys().copied().collect();
        for peer in peers {
            let sent = self.send_entries(peer);
            if begins_round && !sent {
                self.send_heartbeat(peer);
            } else if self.needs_commit_notice(peer) {
                self.send_empty_append(peer, NO_REPLY_ROUND);
            }
        }
        self.continue_transfer();
    }

    /// Sends the entries or the snapshot chunk that a member can receive now; returns whether anything was sent.
    fn send_entries(&mut self, peer: NodeId) -> bool {
        let mut sent = false;
        while self.send_one(peer) {
            sent = true;
        }
        sent
    }

    fn send_one(&mut self, peer: NodeId) -> bool {
        // Until a silent member answers again it gets no entries: they would be sent over and over.
        let is_silent = self.is_silent(peer, self.config.election_timeout);
        let State::Leader(leader_state) = &mut self.state else {
            return false;
        };
        let LeaderState { peers, rounds, .. } = leader_state.as_mut();
        let Some(progress) = peers.get_mut(&peer) else {
            return false;
        };
        let has_nothing_new = progress.next_index > self.log.last_index();
        match progress.mode {
            Mode::Snapshot { .. } => return self.send_chunk(peer),
            Mode::Probe { sent: true } => return false,
            Mode::Replicate if has_nothing_new || is_silent => return false,
            Mode::Replicate if progress.inflight.len() >= self.config.max_inflight_batches => {
                return false;
            }
            Mode::Replicate | Mode::Probe { sent: false } => {}
        }
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            return self.start_snapshot(peer);
        };
        let entries = if is_silent {
            Vec::new()
        } else {
            self.log
                .batch(progress.next_index, self.config.max_batch_bytes)
        };
        let bytes = entries.iter().map(|entry| entry.payload.len()).sum();
        let has_room = progress.inflight.is_empty()
            || progress.inflight_bytes() + bytes <= self.config.max_inflight_bytes;
        if !has_room {
            return false;
        }
        if progress.inflight.is_empty() {
            progress.waiting_since = self.now;
        }
        progress.record_sent_commit(self.commit.min(prev_index + entries.len() as u64));
        if let Mode::Probe { sent } = &mut progress.mode {
            *sent = true;
        } else if let Some(last) = entries.last() {
            progress.next_index = last.index + 1;
            progress.inflight.push_back(InflightBatch {
                last_index: last.index,
                bytes,
            });
        }
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round: rounds.current(),
        };
        self.outbox.send(self.hard_state.term, peer, body);
        true
    }

    fn send_heartbeat(&mut self, peer: NodeId) {
        if let State::Leader(leader_state) = &self.state {
            self.send_empty_append(peer, leader_state.rounds.current());
        }
    }

    /// Returns whether a member needs a separate message for the commit index, as no append will carry it.
    ///
    /// A notice is sent only to a member that has the whole log, and only when all of it is committed. So all earlier appends
    /// are acknowledged, and the next notice follows the acknowledgement of a later batch. On an ordered connection the
    /// notice has arrived by then, so at most one is in flight, and there is at most one for each batch, without a reply of
    /// its own. The next heartbeat makes up for a lost notice.
    fn needs_commit_notice(&self, peer: NodeId) -> bool {
        let State::Leader(leader_state) = &self.state else {
            return false;
        };
        let last_index = self.log.last_index();
        leader_state.peers.get(&peer).is_some_and(|progress| {
            matches!(progress.mode, Mode::Replicate)
                && progress.match_index == last_index
                && self.commit == last_index
                && progress.sent_commit < last_index
        })
    }

    /// Sends an append without entries at an index where the logs are known to match.
    fn send_empty_append(&mut self, peer: NodeId, round: u64) {
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let Some(progress) = leader_state.peers.get_mut(&peer) else {
            return;
        };
        // All logs match at index 0.
        let known = self
            .log
            .term_at(progress.match_index)
            .map(|term| (progress.match_index, term));
        let (prev_index, prev_term) = known.unwrap_or((0, 0));
        progress.record_sent_commit(self.commit.min(prev_index));
        let body = Body::Append {
            prev_index,
            prev_term,
            entries: Vec::new(),
            commit: self.commit,
            round,
        };
        self.outbox.send(self.hard_state.term, peer, body);
    }

    pub(crate) fn on_append(
        &mut self,
        from: NodeId,
        (prev_index, prev_term): (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        if matches!(self.state, State::Leader(_))
            || !are_in_order(&entries, prev_index, prev_term, self.hard_state.term)
        {
            return;
        }
        self.on_leader_contact(from);
        let term = self.hard_state.term;
        let expects_reply = round != NO_REPLY_ROUND;
        // Committed entries match the log of every leader.
        let agrees = prev_index <= self.commit || self.log.term_at(prev_index) == Some(prev_term);
        if !agrees && !expects_reply {
            return;
        }
        if !agrees {
            let hint_index = self
                .log
                .last_index_within(prev_index.saturating_sub(1), prev_term);
            let hint_term = self.log.term_at(hint_index).unwrap_or_default();
            let result = AppendResult::Rejected {
                prev_index,
                hint_index,
                hint_term,
            };
            let body = Body::AppendReply {
                result,
                round,
                complete: self.complete,
            };
            self.outbox.send(term, from, body);
            return;
        }
        let match_index = prev_index + entries.len() as u64;
        if !self.append_missing(entries) {
            return;
        }
        self.mark_complete_once_joined(match_index, commit);
        self.commit_to(commit.min(match_index));
        if !expects_reply {
            return;
        }
        let result = AppendResult::Accepted { match_index };
        let body = Body::AppendReply {
            result,
            round,
            complete: self.complete,
        };
        self.outbox
            .send_after_log_sync(match_index, term, from, body);
    }

    /// Appends the entries that are missing; returns false if they conflict with committed entries.
    fn append_missing(&mut self, entries: Vec<Entry>) -> bool {
        let mut missing = entries.into_iter().skip_while(|entry| {
            entry.index <= self.log.base_index()
                || self.log.term_at(entry.index) == Some(entry.term)
        });
        let Some(first) = missing.next() else {
            return true;
        };
        if first.index <= self.commit {
            return false;
        }
        let missing: Vec<Entry> = std::iter::once(first).chain(missing).collect();
        let from = missing[0].index;
        if from <= self.log.last_index() {
            self.log.truncate(from);
            self.outbox.write_truncate(from);
        }
        for entry in &missing {
            self.log.append(entry.clone());
        }
        self.outbox.write_append(missing);
        true
    }

    /// Marks this node complete if it is a learner and has all committed entries.
    ///
    /// An incarnation that is still a learner then was never a voter, so it can't have lost a vote or an acknowledgement.
    fn mark_complete_once_joined(&mut self, match_index: Index, leader_commit: Index) {
        let is_learner = self.log.membership().is_learner(self.config.id);
        if !self.complete && is_learner && match_index >= leader_commit {
            self.complete = true;
            self.outbox.write_mark_complete();
        }
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: NodeId,
        result: AppendResult,
        round: u64,
        complete: bool,
    ) {
        self.record_reply(from, round, complete);
        let last_index = self.log.last_index();
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let Some(progress) = leader_state.peers.get_mut(&from) else {
            return;
        };
        match result {
            AppendResult::Accepted { match_index } if match_index <= last_index => {
                progress.accepted(match_index, self.now);
            }
            AppendResult::Accepted { .. } => return,
            AppendResult::Rejected {
                prev_index,
                hint_index,
                hint_term,
            } => {
                if !complete && prev_index <= progress.match_index {
                    // The member lost its disk, including entries that it had synced.
                    progress.match_index = 0;
                }
                let is_current = match progress.mode {
                    Mode::Probe { .. } => prev_index == progress.next_index - 1,
                    Mode::Replicate => prev_index > progress.match_index,
                    Mode::Snapshot { .. } => false,
                };
                if is_current {
                    let agreed = self.log.last_index_within(hint_index, hint_term);
                    progress.probe_from(agreed.min(prev_index.saturating_sub(1)) + 1);
                }
            }
        }
        self.advance_commit();
    }

    /// Records that a member replied to a round of this term.
    pub(crate) fn record_reply(&mut self, from: NodeId, round: u64, complete: bool) {
        let now = self.now;
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let current = leader_state.rounds.current();
        let Some(progress) = leader_state.peers.get_mut(&from) else {
            return;
        };
        if round > current {
            return;
        }
        progress.complete = complete;
        progress.last_reply_at = Some(now);
        progress.acked_round = progress.acked_round.max(round);
        self.discard_acked_rounds();
    }

    fn discard_acked_rounds(&mut self) {
        let quorum_round = self.quorum_round();
        if let State::Leader(leader_state) = &mut self.state {
            leader_state.rounds.discard_before(quorum_round);
        }
    }

    /// Commits the entries that a quorum has synced, if the last of them is from the leader's own term.
    ///
    /// An entry of an earlier term that a quorum holds can still be overwritten by the leader of a term in between, so
    /// it is only committed together with an entry of this term.
    pub(crate) fn advance_commit(&mut self) {
        let State::Leader(leader_state) = &self.state else {
            return;
        };
        let durable_index = self.outbox.durable_index();
        let index = self.log.membership().quorum_value(|id| {
            if id == self.config.id {
                return durable_index;
            }
            leader_state
                .peers
                .get(&id)
                .map_or(0, Progress::quorum_eligible_match)
        });
        if index > self.commit && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_to(index);
        }
    }

    pub(crate) fn commit_to(&mut self, index: Index) {
        if index > self.commit {
            self.commit = index.min(self.log.last_index()).max(self.commit);
        }
    }
}

/// Marks the unacknowledged batches or chunk of a member to be sent again.
fn resend(progress: &mut Progress) {
    match &mut progress.mode {
        Mode::Probe { sent } | Mode::Snapshot { sent, .. } => *sent = false,
        Mode::Replicate if !progress.inflight.is_empty() => progress.probe_from(0),
        Mode::Replicate => {}
    }
}

/// Returns whether the entries are valid, consecutive from `prev_index`, and could come from a leader of `term`.
fn are_in_order(entries: &[Entry], prev_index: Index, prev_term: Term, term: Term) -> bool {
    let (mut index, mut last_term) = (prev_index, prev_term);
    for entry in entries {
        let is_next = Some(entry.index) == index.checked_add(1)
            && entry.term >= last_term
            && entry.term <= term;
        let is_decodable =
            entry.kind != EntryKind::Membership || membership::decode(entry).is_some();
        if !is_next || !is_decodable {
            return false;
        }
        (index, last_term) = (entry.index, entry.term);
    }
    true
}
