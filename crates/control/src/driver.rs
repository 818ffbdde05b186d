//! Runs the Raft log: one thread owns the node, its disk and the state machine.
//!
//! The thread handles all inputs that have arrived, then writes and syncs once. Under load proposals thereby share a
//! sync, and an idle instance answers at once. No disk I/O runs on the threads of the async tasks.

mod diskless;
mod format;
mod joining;
mod publish;
mod tables;
#[cfg(test)]
mod tests;
mod thread;
mod votes;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use arc_swap::ArcSwap;
use hinge_clock::BootInstant;
use hinge_raft::{Config, Membership, Node, NodeId, Status, Term};
use hinge_routing::RecentPatches;
use hinge_schema::messages::{
    DrainRecord, JoinControl, JoinedControl, OrderRecord, RemovedControl,
};
use hinge_state::{Command, ControlName, Fence, Folder, Reply, Routing, State};
use tokio::sync::{oneshot, watch};

use self::thread::LogThread;
use crate::memory::{LiveTables, ThreadBytes};
use crate::open::Opened;
use crate::peers::{Batch, Peers};
use crate::settings::ControlSettings;

/// Capacity of the thread's input queue; further calls are refused at once.
const MAX_QUEUED_INPUTS: usize = 8192;

/// Maximum number of inputs handled before a sync.
const MAX_BATCH_INPUTS: usize = 1024;

/// Longest proposal, in bytes; the store accepts records up to 4 MiB, and an entry adds a header.
pub(crate) const MAX_PROPOSAL_BYTES: usize = (4 << 20) - 1024;

/// Total size of uncommitted proposals: two of the longest, which fits control's memory limit of 32 MB.
const MAX_PENDING_BYTES: usize = 8 << 20;

/// Bytes of entries in one append message; a longer entry is sent alone.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// Append messages in flight to one follower.
const MAX_INFLIGHT_BATCHES: usize = 4;

/// Bytes of the append messages in flight to one follower; a longer one is in flight alone.
const MAX_INFLIGHT_BYTES: usize = 1 << 20;

/// Bytes of entries and snapshots in the messages that wait for the thread.
const MAX_QUEUED_BATCH_BYTES: usize = 8 << 20;

/// Entries kept in memory behind a snapshot, so that a follower that missed a minute of changes needs no snapshot.
const KEPT_ENTRIES: u64 = 128;

/// Bytes of those entries. An entry may be 4 MiB long, and a snapshot is shorter than a few of the longest.
const KEPT_BYTES: usize = 1 << 20;

/// Clock ticks per heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 4;

/// Election timeouts after which the thread counts as stalled.
///
/// One, after which a silent leader is given up as well, plus one for syncs of a slow disk, which take some hundreds of
/// milliseconds.
const STALLED_AFTER_TIMEOUTS: u32 = 2;

/// An error from a call to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogError {
    /// This instance is not the leader.
    NotLeader,
    /// Too many requests are queued.
    Busy,
    /// The proposal is too long.
    TooLarge,
    /// Leadership was lost meanwhile; the proposal may or may not take effect.
    OutcomeUnknown,
    /// The fleet is being founded: voters without a disk have not yet been replaced by instances with one.
    FoundingIncomplete,
    /// The log has stopped.
    Stopped,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotLeader => "this instance doesn't lead",
            Self::Busy => "too many requests wait",
            Self::TooLarge => "the change is too long; split it",
            Self::OutcomeUnknown => {
                "leadership changed before the answer; ask again with the same number"
            }
            Self::FoundingIncomplete => {
                "no quorum of instances with a disk is formed yet; ask again"
            }
            Self::Stopped => "this instance is stopping",
        })
    }
}

/// The channel for the reply to a proposal.
type ReplySender = oneshot::Sender<Result<Reply, LogError>>;

/// A read of the state machine; called with `None` when a linearizable read is not possible.
type ReadCallback = Box<dyn FnOnce(Option<(&State, &Status)>) + Send>;

pub(crate) enum Input {
    Batch(Batch),
    Propose(Command, ReplySender),
    Read(ReadCallback),
    Join(
        JoinControl,
        oneshot::Sender<Result<JoinedControl, LogError>>,
    ),
    Remove(Box<str>, oneshot::Sender<Result<RemovedControl, LogError>>),
    Stop,
}

/// The current role of this instance in the log, and the leader that it knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct NodeStatus {
    pub(crate) node_id: NodeId,
    pub(crate) term: Term,
    pub(crate) is_leader: bool,
    /// Whether this instance is the leader, its term is opened in the state, and its lease holds.
    pub(crate) may_answer: bool,
    /// The leader's name and address, if known; this instance's own when it leads.
    pub(crate) leader: Option<ControlName>,
    /// Number of voting members, and of members that only replicate.
    pub(crate) voters: usize,
    pub(crate) learners: usize,
    /// Whether the instance has stopped.
    pub(crate) has_stopped: bool,
    /// The cause, if the instance failed.
    pub(crate) failure: Option<Box<str>>,
}

/// A snapshot of the state that async tasks read without going through the thread.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub(crate) folder: Folder,
    pub(crate) drains: Vec<DrainRecord>,
    pub(crate) lowest_fence: Fence,
    pub(crate) open_orders: Vec<OrderRecord>,
    /// Incarnations of control instances that are or were members.
    pub(crate) known_incarnations: BTreeSet<NodeId>,
    pub(crate) routing: Routing,
    /// The last patches that led to the route table.
    pub(crate) patches: RecentPatches,
    /// Format of the log.
    pub(crate) format: u32,
    /// Addresses of the control instances that are recorded in the log.
    pub(crate) control_addresses: Vec<Box<str>>,
    /// Addresses of the instances from which a message arrived since this process started.
    pub(crate) peer_addresses: Vec<Box<str>>,
}

/// A handle to the thread that runs the log.
#[derive(Debug, Clone)]
pub(crate) struct Driver {
    inputs: SyncSender<Input>,
    /// Bytes of entries and snapshots in the batches that wait for the thread.
    queued_batch_bytes: Arc<AtomicUsize>,
    pub(crate) node_status: watch::Receiver<NodeStatus>,
    pub(crate) view: Arc<ArcSwap<View>>,
    lease_until_us: Arc<AtomicU64>,
    /// Time of the thread's last iteration, in microseconds since `started_at`.
    last_round_us: Arc<AtomicU64>,
    stalled_after: Duration,
    started_at: BootInstant,
    pub(crate) commits: Arc<AtomicU64>,
    /// Bytes that the thread holds, as of its last count.
    pub(crate) held_bytes: Arc<ArcSwap<ThreadBytes>>,
}

impl Driver {
    /// Starts the thread.
    pub(crate) fn spawn(
        settings: &ControlSettings,
        opened: Opened,
        mut peers: Peers,
        published: watch::Sender<u64>,
    ) -> Result<Self, hinge_raft::OpenError> {
        let started_at = BootInstant::now();
        let cluster = hinge_state::keys::fnv1a(settings.cluster_id.as_bytes());
        let mut config = Config::new(opened.node_id, cluster);
        config.election_timeout = settings.election_timeout;
        config.lease = settings.election_timeout;
        config.clock_drift_margin = settings.election_timeout / 10;
        config.heartbeat_interval = settings.heartbeat;
        config.max_batch_bytes = MAX_BATCH_BYTES;
        config.max_proposal_bytes = MAX_PROPOSAL_BYTES;
        config.max_pending_bytes = MAX_PENDING_BYTES;
        config.max_inflight_batches = MAX_INFLIGHT_BATCHES;
        config.max_inflight_bytes = MAX_INFLIGHT_BYTES;
        config.keep_entries = KEPT_ENTRIES;
        config.keep_bytes = KEPT_BYTES;
        for (node_id, name) in opened.founding.iter().chain(opened.state.control()) {
            peers.learn(*node_id, &name.address);
        }
        let base_index = opened
            .durable
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.last_index);
        let node = Node::open(config, opened.durable, started_at.elapsed(), rand::random())?;
        let node_status = NodeStatus {
            node_id: opened.node_id,
            ..NodeStatus::default()
        };
        let (node_status_sender, node_status) = watch::channel(node_status);
        let (inputs, receiver) = sync_channel(MAX_QUEUED_INPUTS);
        let view = Arc::new(ArcSwap::from_pointee(view_of(
            &opened.state,
            &BTreeSet::new(),
            Vec::new(),
        )));
        let lease_until_us = Arc::new(AtomicU64::new(0));
        let last_round_us = Arc::new(AtomicU64::new(0));
        let commits = Arc::new(AtomicU64::new(0));
        let held_bytes = Arc::new(ArcSwap::from_pointee(ThreadBytes::default()));
        let queued_batch_bytes = Arc::new(AtomicUsize::new(0));
        let thread = LogThread {
            queued_batch_bytes: Arc::clone(&queued_batch_bytes),
            own_id: opened.node_id,
            own_name: settings.instance.clone(),
            started_at,
            tick: settings.heartbeat / TICKS_PER_HEARTBEAT,
            next_tick: Duration::ZERO,
            node,
            log: opened.log,
            snapshot_index: base_index,
            applied_index: base_index,
            state: opened.state,
            founding: opened.founding,
            peers,
            seen_peers: BTreeSet::new(),
            diskless_peers: BTreeSet::new(),
            peer_formats: BTreeMap::new(),
            format_proposed_in: None,
            pending_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            next_read_id: 0,
            log_bytes: 0,
            snapshot_every_entries: settings.snapshot_every_entries,
            max_log_bytes: settings.max_log_bytes,
            tolerated_losses: settings.tolerated_losses,
            election_timeout: settings.election_timeout,
            opened_term: 0,
            logged_membership: Membership::default(),
            stop_until: None,
            is_view_stale: false,
            node_status: node_status_sender,
            published,
            view: Arc::clone(&view),
            lease_until_us: Arc::clone(&lease_until_us),
            last_round_us: Arc::clone(&last_round_us),
            commits: Arc::clone(&commits),
            proposed_table: None,
            recent_patches: RecentPatches::default(),
            live_tables: LiveTables::default(),
            held_bytes: Arc::clone(&held_bytes),
            next_count_at: Duration::ZERO,
        };
        std::thread::Builder::new()
            .name("control-log".to_owned())
            .spawn(move || thread.run(&receiver))
            .expect("the log thread can be spawned");
        Ok(Self {
            inputs,
            queued_batch_bytes,
            node_status,
            view,
            lease_until_us,
            last_round_us,
            stalled_after: settings.election_timeout * STALLED_AFTER_TIMEOUTS,
            started_at,
            commits,
            held_bytes,
        })
    }

    /// Returns whether this instance holds the leader lease, so that no other can be the leader.
    pub(crate) fn holds_lease(&self) -> bool {
        let until = self.lease_until_us.load(Ordering::Acquire);
        self.started_at.elapsed().as_micros() < u128::from(until)
    }

    /// Returns the time since the thread last handled its inputs and published its state.
    pub(crate) fn age(&self) -> Duration {
        let last_round = Duration::from_micros(self.last_round_us.load(Ordering::Acquire));
        self.started_at.elapsed().saturating_sub(last_round)
    }

    /// Returns whether the state that the thread last published is too old to rely on.
    ///
    /// A hanging disk blocks the thread, and with it the timeout by which a follower gives up a silent leader. Without
    /// this check an instance kept naming its leader, and told watchers that nothing was new, for as long as the disk
    /// hung.
    pub(crate) fn is_stalled(&self) -> bool {
        self.age() > self.stalled_after
    }

    /// Queues messages of another instance for the log; returns false when the queue is full, by number or by bytes.
    ///
    /// While the thread waits for a hanging disk, the leader sends the same entries over and over.
    pub(crate) fn receive(&self, batch: Batch) -> bool {
        let bytes = batch.payload_bytes();
        let before = self.queued_batch_bytes.fetch_add(bytes, Ordering::Relaxed);
        let has_room = bytes == 0 || before == 0 || before + bytes <= MAX_QUEUED_BATCH_BYTES;
        let is_queued = has_room && self.inputs.try_send(Input::Batch(batch)).is_ok();
        if !is_queued {
            self.queued_batch_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        is_queued
    }

    /// Proposes a command and returns its reply once it is durable on a majority and applied.
    pub(crate) async fn propose(&self, command: Command) -> Result<Reply, LogError> {
        let (sender, receiver) = oneshot::channel();
        self.send_input(Input::Propose(command, sender))?;
        receiver.await.map_err(|_gone| LogError::Stopped)?
    }

    /// Reads the state machine linearizably: leadership is confirmed with a quorum first.
    pub(crate) async fn read<T: Send + 'static>(
        &self,
        query: impl FnOnce(&State, &Status) -> T + Send + 'static,
    ) -> Result<T, LogError> {
        let (sender, receiver) = oneshot::channel();
        let callback: ReadCallback = Box::new(move |answer| {
            let answer = answer.map(|(state, status)| query(state, status));
            let _receiver_is_gone = sender.send(answer.ok_or(LogError::NotLeader));
        });
        self.send_input(Input::Read(callback))?;
        receiver.await.map_err(|_gone| LogError::Stopped)?
    }

    /// Advances a control instance one step towards membership of the log.
    pub(crate) async fn join(&self, join: JoinControl) -> Result<JoinedControl, LogError> {
        let (sender, receiver) = oneshot::channel();
        self.send_input(Input::Join(join, sender))?;
        receiver.await.map_err(|_gone| LogError::Stopped)?
    }

    /// Removes a control instance that is permanently lost.
    pub(crate) async fn remove(&self, instance: Box<str>) -> Result<RemovedControl, LogError> {
        let (sender, receiver) = oneshot::channel();
        self.send_input(Input::Remove(instance, sender))?;
        receiver.await.map_err(|_gone| LogError::Stopped)?
    }

    /// Tells the thread to transfer leadership and to end.
    pub(crate) fn stop(&self) {
        let _ended_already = self.inputs.send(Input::Stop);
    }

    fn send_input(&self, input: Input) -> Result<(), LogError> {
        self.inputs.try_send(input).map_err(|error| match error {
            std::sync::mpsc::TrySendError::Full(_) => LogError::Busy,
            std::sync::mpsc::TrySendError::Disconnected(_) => LogError::Stopped,
        })
    }
}

fn view_of(state: &State, seen_peers: &BTreeSet<NodeId>, peer_addresses: Vec<Box<str>>) -> View {
    View {
        folder: state.changes().folder().clone(),
        drains: state.drains(),
        lowest_fence: state.orders().lowest_valid(),
        open_orders: state.orders().open().cloned().collect(),
        known_incarnations: state.control().keys().chain(seen_peers).copied().collect(),
        routing: state.routing().clone(),
        patches: RecentPatches::default(),
        format: state.format(),
        control_addresses: state
            .control()
            .values()
            .map(|name| name.address.clone())
            .collect(),
        peer_addresses,
    }
}
