//! Holds the node: its state, and the inputs that arrive from the driver.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::error::OpenError;
use crate::log::Log;
use crate::outbox::Outbox;
use crate::output::{Output, ProposalDropped, ReadReady, Role, RoleChange, Write};
use crate::progress::Leading;
use crate::proposal::Proposal;
use crate::snapshot::Incoming;
use crate::types::{Entry, HardState, Index, Membership, NodeId, Snapshot, Term};
use crate::{Body, Config, Message, ReadId, WriteToken};

/// Highest term and index that a message may bring; no cluster gets there, and sums below it can't overflow.
pub(crate) const HIGHEST: u64 = 1 << 62;

/// Holds what the store read back.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// Term, vote and commit hint.
    pub hard_state: HardState,
    /// Entries after the snapshot, or from the first on, in order and without gaps.
    pub entries: Vec<Entry>,
    /// The latest snapshot; at the founding, one at index 0 that names the founding voters.
    pub snapshot: Option<Snapshot>,
    /// Whether the folder holds everything that this incarnation ever promised.
    ///
    /// False after a loss: the node then neither votes nor counts for a quorum until it has seen itself join as a
    /// learner, which an incarnation that is already a voter never does.
    pub complete: bool,
}

impl PersistentState {
    /// Returns what each founding voter starts from.
    #[must_use]
    pub fn bootstrap(membership: Membership) -> Self {
        let snapshot = Snapshot {
            last_index: 0,
            last_term: 0,
            membership,
            state: Box::default(),
        };
        Self {
            snapshot: Some(snapshot),
            complete: true,
            ..Self::default()
        }
    }

    /// Returns what a new incarnation starts from, before it joins as a learner.
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
    Leader(Box<Leading>),
}

/// Holds one member's view of the replicated log.
#[derive(Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) now: Duration,
    pub(crate) rng: StdRng,
    pub(crate) hard: HardState,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) complete: bool,
    pub(crate) state: State,
    pub(crate) leader: Option<NodeId>,
    /// Until then a vote could elect a leader while another holds its lease.
    pub(crate) votes_refused_until: Duration,
    pub(crate) election_at: Duration,
    pub(crate) outbox: Outbox,
    pub(crate) proposals: VecDeque<Proposal>,
    pub(crate) pending_bytes: usize,
    pub(crate) install: Option<Snapshot>,
    pub(crate) reads: Vec<ReadReady>,
    pub(crate) dropped_reads: Vec<ReadId>,
    pub(crate) dropped_proposals: Vec<ProposalDropped>,
    reported: RoleChange,
}

impl Node {
    /// Starts a node from what its store holds.
    ///
    /// The driver has already loaded the snapshot's state. Times are durations since any fixed point of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration or the stored log breaks a rule.
    pub fn open(
        config: Config,
        durable: PersistentState,
        now: Duration,
        seed: u64,
    ) -> Result<Self, OpenError> {
        config.check().map_err(OpenError::Config)?;
        let log = Log::open(durable.snapshot.as_ref(), durable.entries)?;
        let applied = log.base_index();
        let commit = durable.hard_state.commit.clamp(applied, log.last_index());
        let outbox = Outbox::new(config.id, config.cluster_id, log.last_index());
        let reported = RoleChange {
            role: Role::Follower,
            term: durable.hard_state.term,
            leader: None,
        };
        let mut node = Self {
            now,
            rng: StdRng::seed_from_u64(seed),
            hard: durable.hard_state,
            commit,
            applied,
            log,
            snapshot: durable.snapshot.map(Arc::new),
            incoming: None,
            complete: durable.complete,
            state: State::Follower,
            leader: None,
            // Before the restart this node may have answered a leader whose lease still runs.
            votes_refused_until: now + config.lease,
            election_at: now,
            outbox,
            proposals: VecDeque::new(),
            pending_bytes: 0,
            install: None,
            reads: Vec::new(),
            dropped_reads: Vec::new(),
            dropped_proposals: Vec::new(),
            reported,
            config,
        };
        node.restart_election_timer();
        Ok(node)
    }

    /// Moves the time on: elections, heartbeats, and what is sent again.
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

    /// Takes in a message from another node.
    pub fn step(&mut self, now: Duration, message: Message) {
        self.observe(now);
        let own = &self.config;
        if message.cluster_id != own.cluster_id || message.to != own.id || message.from == own.id {
            return;
        }
        if message.term == 0
            || message.term > HIGHEST
            || self.is_stale_stranger(&message)
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
                    state: Box::default(),
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
        self.answer_reads();
    }

    /// Takes in that all writes up to and including `token`'s are synced.
    pub fn persisted(&mut self, now: Duration, token: WriteToken) {
        self.observe(now);
        self.outbox.persisted(token);
        self.count_own_vote();
        self.advance_commit();
        self.answer_reads();
    }

    /// Returns what is to be done since the last call; see the crate's page for the order.
    pub fn take_output(&mut self) -> Output {
        self.replicate();
        self.settle_proposals();
        // The commit index is a hint: it only rides on a sync that happens anyway.
        if self.hard.commit < self.commit && self.outbox.has_log_writes() {
            self.hard.commit = self.commit;
            self.outbox.write_other(Write::HardState(self.hard));
        }
        let (writes, token) = self.outbox.take_writes();
        let install = self.install.take();
        let committed = self.log.between(self.applied, self.commit);
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
            term: self.hard.term,
            leader: self.leader,
        };
        let is_new = current != self.reported;
        self.reported = current;
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

    /// Returns what an operator wants to see.
    #[must_use]
    pub fn status(&self) -> Status {
        let mut peers = Vec::new();
        if let State::Leader(leading) = &self.state {
            for (id, progress) in &leading.peers {
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
            term: self.hard.term,
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

/// Holds what an operator wants to see of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The node's incarnation.
    pub id: NodeId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader of that term, if known.
    pub leader: Option<NodeId>,
    /// Last index known to be committed.
    pub commit: Index,
    /// Last index of the log.
    pub last_index: Index,
    /// Last index that is synced here.
    pub durable_index: Index,
    /// Whether the node may vote and count for a quorum.
    pub complete: bool,
    /// The latest membership, committed or not.
    pub membership: Membership,
    /// On the leader, what it knows of the other members.
    pub peers: Vec<PeerStatus>,
}

/// Holds what the leader knows of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// The member's incarnation.
    pub id: NodeId,
    /// Last index that it has synced.
    pub match_index: Index,
    /// Whether it answered within the election timeout.
    pub reachable: bool,
    /// Whether it may vote and count for a quorum.
    pub complete: bool,
}
