//! Simulates nodes in virtual time with a faulty network and faulty disks, and checks invariants after every event.

mod invariants;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use hinge_raft::{
    Body, Config, DropReason, Entry, Index, Membership, MembershipChange, Message, Node, NodeId,
    PersistentState, Role, Term, Write, WriteToken,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const TICK_INTERVAL: Duration = Duration::from_millis(60);
/// Clock drift as a fraction of the largest drift that the margin allows.
const DRIFT_FRACTION: f64 = 0.98;
const STATE_HASH_REPEATS: usize = 32;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub struct Host {
    pub node: Option<Node>,
    pub disk: PersistentState,
    pending: VecDeque<(WriteToken, Vec<Write>)>,
    /// Changes at each start and crash, so that events of an earlier run are ignored.
    epoch: u64,
    clock_rate: f64,
    started_at: Duration,
    pub applied: Index,
    commit: Index,
}

enum Event {
    Deliver(Box<Message>),
    Synced(NodeId, u64, WriteToken),
    Tick(NodeId, u64),
}

pub struct SimulatedNetwork {
    pub now: Duration,
    pub hosts: BTreeMap<NodeId, Host>,
    pub rng: StdRng,
    pub configure: fn(&mut Config),
    pub drop_rate: f64,
    pub duplicate_rate: f64,
    pub delay_ms: std::ops::Range<u64>,
    pub sync_ms: std::ops::Range<u64>,
    pub blocked_links: BTreeSet<(NodeId, NodeId)>,
    /// The entry first committed at each index; it must never change.
    pub committed_log: Vec<Entry>,
    state_hashes: Vec<u64>,
    pub leaders: BTreeMap<Term, NodeId>,
    /// Each appended entry, with the term of its predecessor if known.
    appended: HashMap<(Index, Term), (Term, Entry)>,
    overwritten: Vec<(Term, Index)>,
    /// Number of committed entries when each read was requested; its result must include them.
    min_read_indices: BTreeMap<u64, Index>,
    pub answered_reads: BTreeSet<u64>,
    pub destroyed: BTreeSet<NodeId>,
    pub sent: BTreeMap<&'static str, u64>,
    queue: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
}

fn message_kind(body: &Body) -> &'static str {
    match body {
        Body::PreVote { .. } | Body::PreVoteReply { .. } => "pre-vote",
        Body::Vote { .. } | Body::VoteReply { .. } => "vote",
        Body::Append { round: 0, .. } => "notice",
        Body::Append { entries, .. } if entries.is_empty() => "heartbeat",
        Body::Append { .. } => "append",
        Body::AppendReply { .. } => "append-reply",
        Body::SnapshotChunk { .. } => "chunk",
        Body::SnapshotReply { .. } => "chunk-reply",
        Body::TimeoutNow => "timeout-now",
    }
}

fn apply_write(disk: &mut PersistentState, write: Write) {
    match write {
        Write::HardState(hard_state) => disk.hard_state = hard_state,
        Write::Truncate { from } => disk.entries.retain(|entry| entry.index < from),
        Write::Append(entries) => disk.entries.extend(entries),
        Write::SaveSnapshot(snapshot) => {
            disk.entries
                .retain(|entry| entry.index > snapshot.last_index);
            disk.snapshot = Some(snapshot);
        }
        Write::InstallSnapshot(snapshot) => {
            disk.entries.clear();
            disk.snapshot = Some(snapshot);
        }
        Write::MarkComplete => disk.complete = true,
    }
}

impl SimulatedNetwork {
    pub fn open(seed: u64, voters: u64, configure: fn(&mut Config)) -> Self {
        let mut net = Self {
            now: ms(0),
            hosts: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            configure,
            drop_rate: 0.0,
            duplicate_rate: 0.0,
            delay_ms: 1..5,
            sync_ms: 1..5,
            blocked_links: BTreeSet::new(),
            committed_log: Vec::new(),
            state_hashes: vec![0],
            leaders: BTreeMap::new(),
            appended: HashMap::new(),
            overwritten: Vec::new(),
            min_read_indices: BTreeMap::new(),
            answered_reads: BTreeSet::new(),
            destroyed: BTreeSet::new(),
            sent: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
        };
        let membership = Membership {
            voters: (1..=voters).collect(),
            learners: Vec::new(),
        };
        for id in 1..=voters {
            net.add(id, PersistentState::bootstrap(membership.clone()));
        }
        net
    }

    pub fn add(&mut self, id: NodeId, disk: PersistentState) {
        let mut config = Config::new(id, 7);
        (self.configure)(&mut config);
        // The rates of the slowest and the fastest clock differ by almost as much as the margin allows.
        let ratio = config
            .lease
            .div_duration_f64(config.lease.saturating_sub(config.clock_drift_margin));
        let max_drift = DRIFT_FRACTION * (ratio - 1.0) / (ratio + 1.0);
        let clock_rate = 1.0 + max_drift * [-1.0, -1.0, 0.0, 1.0, 1.0][self.rng.random_range(0..5)];
        let (node, pending) = (None, VecDeque::new());
        let started_at = self.now;
        self.hosts.insert(
            id,
            Host {
                node,
                disk,
                pending,
                epoch: 0,
                clock_rate,
                started_at,
                applied: 0,
                commit: 0,
            },
        );
        self.start(id);
    }

    pub fn start(&mut self, id: NodeId) {
        let mut config = Config::new(id, 7);
        (self.configure)(&mut config);
        let seed = self.rng.random();
        let host = self.hosts.get_mut(&id).expect("the host exists");
        host.epoch += 1;
        host.started_at = self.now;
        host.commit = 0;
        host.applied = host
            .disk
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.last_index);
        host.node = Some(
            Node::open(config, host.disk.clone(), ms(0), seed).expect("the state on disk is valid"),
        );
        let epoch = host.epoch;
        self.schedule(ms(0), Event::Tick(id, epoch));
    }

    /// Crashes a node; any prefix of its unsynced writes may have reached the disk.
    pub fn crash(&mut self, id: NodeId) {
        let host = self.hosts.get_mut(&id).expect("the host exists");
        host.node = None;
        host.epoch += 1;
        let mut writes: Vec<Write> = host
            .pending
            .drain(..)
            .flat_map(|(_, writes)| writes)
            .collect();
        writes.truncate(self.rng.random_range(0..=writes.len()));
        if let Some(Write::Append(entries)) = writes.last_mut() {
            entries.truncate(self.rng.random_range(0..=entries.len()));
        }
        for write in writes {
            apply_write(&mut host.disk, write);
        }
    }

    /// Crashes a node and wipes its disk.
    pub fn destroy(&mut self, id: NodeId) {
        self.crash(id);
        self.hosts.get_mut(&id).expect("the host exists").disk = PersistentState::joining();
        self.destroyed.insert(id);
    }

    pub fn local_time(&self, id: NodeId) -> Duration {
        let host = &self.hosts[&id];
        self.now
            .saturating_sub(host.started_at)
            .mul_f64(host.clock_rate)
    }

    pub fn is_up(&self, id: NodeId) -> bool {
        self.hosts[&id].node.is_some()
    }

    pub fn node(&self, id: NodeId) -> &Node {
        self.hosts[&id].node.as_ref().expect("the node is running")
    }

    /// Passes an input to a node and processes its output.
    pub fn drive<T>(
        &mut self,
        id: NodeId,
        input: impl FnOnce(&mut Node, Duration) -> T,
    ) -> Option<T> {
        let now = self.local_time(id);
        let node = self.hosts.get_mut(&id)?.node.as_mut()?;
        let result = input(node, now);
        self.process_output(id);
        Some(result)
    }

    pub fn isolate(&mut self, id: NodeId, both_ways: bool) {
        let others: Vec<NodeId> = self
            .hosts
            .keys()
            .copied()
            .filter(|other| *other != id)
            .collect();
        for other in others {
            self.blocked_links.insert((id, other));
            if both_ways {
                self.blocked_links.insert((other, id));
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    /// Handles one event.
    pub fn step(&mut self) {
        let ((at, _), event) = self
            .queue
            .pop_first()
            .expect("the queue always holds ticks");
        self.now = at;
        match event {
            Event::Deliver(message) => {
                let is_blocked = self.blocked_links.contains(&(message.from, message.to));
                if !is_blocked && self.hosts.contains_key(&message.to) {
                    self.drive(message.to, |node, now| node.step(now, *message));
                }
            }
            Event::Tick(id, epoch) if self.hosts[&id].epoch == epoch => {
                self.schedule(TICK_INTERVAL, Event::Tick(id, epoch));
                self.drive(id, Node::tick);
            }
            Event::Synced(id, epoch, token) if self.hosts[&id].epoch == epoch => {
                let host = self.hosts.get_mut(&id).expect("the host exists");
                while host
                    .pending
                    .front()
                    .is_some_and(|(pending, _)| *pending <= token)
                {
                    let (_, writes) = host.pending.pop_front().expect("the front was just seen");
                    for write in writes {
                        apply_write(&mut host.disk, write);
                    }
                }
                self.drive(id, |node, now| node.persisted(now, token));
            }
            Event::Tick(..) | Event::Synced(..) => {}
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self
            .queue
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= until)
        {
            self.step();
        }
        self.now = until;
    }

    /// Runs until a condition holds; panics if it does not hold within the given time.
    pub fn run_until(
        &mut self,
        what: &str,
        within: Duration,
        mut is_met: impl FnMut(&mut Self) -> bool,
    ) {
        let until = self.now + within;
        while !is_met(self) {
            assert!(self.now < until, "did not happen within {within:?}: {what}");
            self.step();
        }
    }

    /// Returns the running leader with the highest term.
    pub fn leader(&self) -> Option<NodeId> {
        let up = self
            .hosts
            .iter()
            .filter_map(|(id, host)| Some((id, host.node.as_ref()?)));
        let leaders = up.filter(|(_, node)| node.role() == Role::Leader);
        leaders
            .max_by_key(|(_, node)| node.status().term)
            .map(|(id, _)| *id)
    }

    pub fn wait_for_leader(&mut self) -> NodeId {
        self.run_until("a leader with a lease", ms(20_000), |net| {
            net.leader()
                .is_some_and(|id| net.node(id).holds_lease(net.local_time(id)))
        });
        self.leader().expect("just seen")
    }

    pub fn propose(&mut self, id: NodeId) -> Option<(Term, Index)> {
        let payload: u64 = self.rng.random();
        self.drive(id, |node, now| {
            node.propose(now, Box::new(payload.to_le_bytes())).ok()
        })
        .flatten()
    }

    /// Proposes until at least one more entry is committed, and returns the last committed index.
    pub fn commit_one(&mut self) -> Index {
        let before = self.committed_log.len();
        let until = self.now + ms(30_000);
        while self.committed_log.len() == before {
            assert!(self.now < until, "no proposal was committed");
            if let Some(leader) = self.leader() {
                self.propose(leader);
            }
            self.run(ms(50));
        }
        self.committed_log.len() as Index
    }

    pub fn read(&mut self, id: NodeId) -> u64 {
        let read_id = self.min_read_indices.len() as u64 + 1;
        self.min_read_indices
            .insert(read_id, self.committed_log.len() as Index);
        self.drive(id, |node, now| node.read(now, read_id).is_ok());
        read_id
    }

    pub fn take_snapshot(&mut self, id: NodeId) {
        let applied = self.hosts[&id].applied;
        let state = self.state_at(applied);
        self.drive(id, |node, _| node.snapshot_taken(applied, state));
    }

    fn state_at(&self, index: Index) -> Box<[u8]> {
        let hash = self.state_hashes[usize::try_from(index).expect("an index fits into usize")];
        hash.to_le_bytes()
            .repeat(STATE_HASH_REPEATS)
            .into_boxed_slice()
    }

    /// Takes the next step of replacing a lost voter with a new incarnation.
    pub fn advance_replacement(&mut self, old: NodeId, new: NodeId, promote_first: bool) {
        let Some(leader) = self.leader() else { return };
        let membership = self.node(leader).membership().clone();
        let is_ready = self.node(leader).check_promotion(new).is_ok();
        let change = if !membership.contains(new) {
            MembershipChange::AddLearner(new)
        } else if membership.is_learner(new) && !is_ready {
            return;
        } else if membership.is_learner(new) && (promote_first || !membership.contains(old)) {
            MembershipChange::Promote(new)
        } else if membership.contains(old) {
            MembershipChange::Remove(old)
        } else {
            return;
        };
        self.drive(leader, |node, now| {
            node.propose_membership(now, change).is_ok()
        });
    }

    /// Returns whether a membership with the new incarnation as a voter and without the old one is committed.
    pub fn is_replaced(&self, old: NodeId, new: NodeId) -> bool {
        let committed = self.committed_log.len() as Index;
        self.leader().is_some_and(|id| {
            let status = self.node(id).status();
            let membership = &status.membership;
            let is_settled = status.commit == committed && status.last_index == committed;
            is_settled && membership.is_voter(new) && !membership.contains(old)
        })
    }

    fn process_output(&mut self, id: NodeId) {
        let host = self.hosts.get_mut(&id).expect("the host exists");
        let node = host.node.as_mut().expect("the node is running");
        let output = node.take_output();
        let status_commit = node.status().commit;
        assert!(
            status_commit >= host.commit,
            "the commit index of {id} decreased"
        );
        host.commit = status_commit;
        if !output.writes.is_empty() {
            host.pending
                .push_back((output.token, output.writes.clone()));
            let epoch = host.epoch;
            let after = ms(self.rng.random_range(self.sync_ms.clone()));
            // A batch is never synced before an earlier one: its event syncs both.
            self.schedule(after, Event::Synced(id, epoch, output.token));
        }
        self.check_appends(&output);
        for message in &output.messages {
            self.send(message);
        }
        self.check_committed(id, &output);
        self.check_leaders(id);
        for read in &output.reads {
            let host = &self.hosts[&id];
            assert!(
                host.applied >= read.index,
                "read {} is ready before its entries are applied",
                read.read_id
            );
            assert!(
                read.index >= self.min_read_indices[&read.read_id],
                "read {} is stale",
                read.read_id
            );
            self.answered_reads.insert(read.read_id);
        }
        let overwritten = output
            .dropped_proposals
            .iter()
            .filter(|dropped| dropped.reason == DropReason::Overwritten);
        self.overwritten
            .extend(overwritten.map(|dropped| (dropped.term, dropped.index)));
    }

    fn send(&mut self, message: &Message) {
        *self.sent.entry(message_kind(&message.body)).or_default() += 1;
        let copies = 1 + u32::from(self.rng.random_bool(self.duplicate_rate));
        for _ in 0..copies {
            let after = ms(self.rng.random_range(self.delay_ms.clone()));
            if !self.rng.random_bool(self.drop_rate) {
                self.schedule(after, Event::Deliver(Box::new(message.clone())));
            }
        }
    }
}
