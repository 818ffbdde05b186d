//! The node: its state and the inputs from the driver.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::error::OpenError;
use crate::log::Log;
use crate::outbox::Outbox;
use crate::output::{Output, ProposalDropped, ReadReady, Role, RoleChange, Write};
use crate::progress::LeaderState;
use crate::proposal::Proposal;
use crate::snapshot::IncomingSnapshot;
use crate::types::{Entry, HardState, Index, Membership, NodeId, Snapshot, Term};
use crate::{Body, Config, Message, ReadId, WriteToken};

/// Highest term or index accepted in a message; no cluster reaches it, and sums of values below it can't overflow.
pub(crate) const MAX_TERM_OR_INDEX: u64 = 1 << 62;

/// The state that a node reads back from its store at start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// Term, vote and commit hint.
    pub hard_state: HardState,
    /// Entries after the snapshot, or from the first entry on, in order and without gaps.
    pub entries: Vec<Entry>,
    /// The latest snapshot; for a new cluster, one at index 0 that lists the initial voters.
    pub snapshot: Option<Snapshot>,
    /// Whether the store holds every vote and acknowledged entry of this incarnation.
    ///
    /// False after data loss: the node then neither votes nor counts towards a quorum until it has seen itself join as
    /// a learner, which never happens for an incarnation that is already a voter.
    pub complete: bool,
}

impl PersistentState {
    /// Returns the state from which each initial voter of a new cluster starts.
    #[must_use]
    pub fn bootstrap(membership: Membership) -> Self {
        let snapshot = Snapshot {
            last_index: 0,
            last_term: 0,
            membership,
            state: Bytes::new(),
        };
        Self {
            snapshot: Some(snapshot),
            complete: true,
            ..Self::default()
        }
    }

    /// Returns the state from which a new incarnation starts before it joins as a learner.
    #[must_use]
    pub fn joining() -> Self {
        Self::default()
    }
}

#[derive(Debug)]
pub(crate) enum State {
    Follower,
    PreCandidate(BTreeSet<NodeId>),
    Candidate(BTreeSet<NodeId>),
    Leader(Box<LeaderState>),
}

/// A member of the cluster that replicates the log.
#[derive(Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) now: Duration,
    pub(crate) rng: StdRng,
    pub(crate) hard_state: HardState,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) complete: bool,
    pub(crate) state: State,
    pub(crate) leader: Option<NodeId>,
    /// Before this time a vote could elect a second leader while another still holds its lease.
    pub(crate) votes_refused_until: Duration,
    pub(crate) election_at: Duration,
    pub(crate) outbox: Outbox,
    pub(crate) proposals: VecDeque<Proposal>,
    pub(crate) pending_bytes: usize,
    pub(crate) install: Option<Snapshot>,
    pub(crate) reads: Vec<ReadReady>,
    pub(crate) dropped_reads: Vec<ReadId>,
    pub(crate) dropped_proposals: Vec<ProposalDropped>,
    last_role_change: RoleChange,
}

impl Node {
    /// Starts a node from its store's state.
    ///
    /// The driver must already have restored the snapshot's state. Times are durations since any fixed point in this process.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration or the stored log is invalid.
    pub fn open(
        config: Config,
        persistent: PersistentState,
        now: Duration,
        seed: u64,
    ) -> Result<Self, OpenError> {
        config.check().map_err(OpenError::Config)?;
        let log = Log::open(persistent.snapshot.as_ref(), persistent.entries)?;
        let applied = log.base_index();
        let commit = persistent
            .hard_state
            .commit
            .clamp(applied, log.last_index());
        let outbox = Outbox::new(config.id, config.cluster_id, log.last_index());
        let last_role_change = RoleChange {
            role: Role::Follower,
            term: persistent.hard_state.term,
            leader: None,
        };
        let mut node = Self {
            now,
            rng: StdRng::seed_from_u64(seed),
            hard_state: persistent.hard_state,
            commit,
            applied,
            log,
            snapshot: persistent.snapshot.map(Arc::new),
            incoming_snapshot: None,
            complete: persistent.complete,
            state: State::Follower,
            leader: None,
            // Before the restart this node may have acknowledged a round of a leader whose lease has not expired.
            votes_refused_until: now + config.lease,
            election_at: now,
            outbox,
            proposals: VecDeque::new(),
            pending_bytes: 0,
            install: None,
            reads: Vec::new(),
            dropped_reads: Vec::new(),
            dropped_proposals: Vec::new(),
            last_role_change,
            config,
        };
        node.restart_election_timer();
        Ok(node)
    }

    /// Advances the time: starts elections, heartbeats and retransmissions that are due.
    ///
    /// The driver calls this several times per heartbeat interval.
    pub fn tick(&mut self, now: Duration) {
        self.observe(now);
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_at {
            self.start_pre_vote();
        }
    }

    /// Handles a message from another node.
    pub fn step(&mut self, now: Duration, message: Message) {
        self.observe(now);
        let own = &self.config;
        if message.cluster_id != own.cluster_id || message.to != own.id || message.from == own.id {
            return;
        }
        if message.term == 0
            || message.term > MAX_TERM_OR_INDEX
            || self.is_stale_non_member(&message)
            || !self.check_term(&message)
        {
            return;
        }
        let Message {
            from, term, body, ..
        } = message;
        match body {
            Body::PreVote {
                last_index,
                last_term,
            } => self.on_pre_vote(from, term, last_index, last_term),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(from, term, granted),
            Body::Vote {
                last_index,
                last_term,
                transfer,
            } => self.on_vote(from, last_index, last_term, transfer),
            Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                self.on_append(from, (prev_index, prev_term), entries, commit, round);
            }
            Body::AppendReply {
                result,
                round,
                complete,
            } => self.on_append_reply(from, result, round, complete),
            Body::SnapshotChunk {
                last_index,
                last_term,
                membership,
                total_bytes,
                offset,
                data,
                round,
            } => {
                let head = Snapshot {
                    last_index,
                    last_term,
                    membership,
                    state: Bytes::new(),
                };
                self.on_snapshot_chunk(from, head, total_bytes, offset, &data, round);
            }
            Body::SnapshotReply {
                last_index,
                next_offset,
                round,
                complete,
            } => {
                self.on_snapshot_reply(from, last_index, next_offset, round, complete);
            }
            Body::TimeoutNow => self.on_timeout_now(from),
        }
        self.release_reads();
    }

    /// Records that all writes up to and including the batch of `token` are synced.
    pub fn persisted(&mut self, now: Duration, token: WriteToken) {
        self.observe(now);
        self.outbox.persisted(token);
        self.count_own_vote();
        self.advance_commit();
        self.release_reads();
    }

    /// Returns the work accumulated since the last call; see the crate documentation for the order in which to do it.
    pub fn take_output(&mut self) -> Output {
        self.replicate();
        self.resolve_proposals();
        // The commit index is only a hint, so it is written only with log writes that need a sync anyway.
        if self.hard_state.commit < self.commit && self.outbox.has_log_writes() {
            self.hard_state.commit = self.commit;
            self.outbox
                .write_unawaited(Write::HardState(self.hard_state));
        }
        let (writes, token) = self.outbox.take_writes();
        let install = self.install.take();
        let committed = self.log.entries_between(self.applied, self.commit);
        self.applied = self.commit;
        Output {
            writes,
            token,
            messages: self.outbox.take_messages(),
            install,
            committed,
            reads: std::mem::take(&mut self.reads),
            dropped_reads: std::mem::take(&mut self.dropped_reads),
            dropped_proposals: std::mem::take(&mut self.dropped_proposals),
            role_change: self.take_role_change(),
        }
    }

    fn take_role_change(&mut self) -> Option<RoleChange> {
        let current = RoleChange {
            role: self.role(),
            term: self.hard_state.term,
            leader: self.leader,
        };
        let is_new = current != self.last_role_change;
        self.last_role_change = current;
        is_new.then_some(current)
    }

    pub(crate) fn observe(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Returns the node's role.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Returns the latest membership in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns a status summary for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        let mut peers = Vec::new();
        if let State::Leader(leader_state) = &self.state {
            for (id, progress) in &leader_state.peers {
                peers.push(PeerStatus {
                    id: *id,
                    match_index: progress.match_index,
                    reachable: self.is_reachable(*id),
                    complete: progress.complete,
                });
            }
        }
        Status {
            id: self.config.id,
            role: self.role(),
            term: self.hard_state.term,
            leader: self.leader,
            commit: self.commit,
            last_index: self.log.last_index(),
            durable_index: self.outbox.durable_index(),
            complete: self.complete,
            membership: self.log.membership().clone(),
            peers,
        }
    }
}

/// A status summary of a node for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Id of the incarnation.
    pub id: NodeId,
    /// Current role.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// The leader of that term, if known.
    pub leader: Option<NodeId>,
    /// Last index known to be committed.
    pub commit: Index,
    /// Last index of the log.
    pub last_index: Index,
    /// Last index that is synced on this node.
    pub durable_index: Index,
    /// Whether the node may vote and count towards a quorum.
    pub complete: bool,
    /// The latest membership, committed or not.
    pub membership: Membership,
    /// On the leader, the status of the other members.
    pub peers: Vec<PeerStatus>,
}

/// The status of another member, as known to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// Id of the member's incarnation.
    pub id: NodeId,
    /// Last index that the member has synced.
    pub match_index: Index,
    /// Whether the member replied within the election timeout.
    pub reachable: bool,
    /// Whether the member may vote and count towards a quorum.
    pub complete: bool,
}
