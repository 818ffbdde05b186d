//! The thread that owns the node, its disk and the state machine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hinge_clock::BootInstant;
use hinge_raft::{
    DropReason, EntryKind, Index, Membership, Message, Node, NodeId, Output, ReadId, Role, Term,
};
use hinge_routing::RecentPatches;
use hinge_schema::routing::RouteTable;
use hinge_state::{Command, ControlName, Reply, State};
use hinge_telemetry::log::Component;
use hinge_telemetry::{error, info, warn};
use tokio::sync::watch;

use super::{Input, LogError, MAX_BATCH_INPUTS, NodeStatus, ReadCallback, ReplySender, View};
use crate::memory::{LiveTables, ThreadBytes};
use crate::open::Log;
use crate::peers::{Batch, Peers};

pub(super) struct LogThread {
    /// Bytes of entries and snapshots in the batches that wait as inputs.
    pub(super) queued_batch_bytes: Arc<AtomicUsize>,
    pub(super) own_id: NodeId,
    pub(super) own_name: Box<str>,
    pub(super) started_at: BootInstant,
    pub(super) tick: Duration,
    pub(super) next_tick: Duration,
    pub(super) node: Node,
    pub(super) log: Log,
    pub(super) state: State,
    pub(super) founding: BTreeMap<NodeId, ControlName>,
    pub(super) peers: Peers,
    /// Incarnations from which a message arrived since this process started.
    pub(super) seen_peers: BTreeSet<NodeId>,
    /// Those of `seen_peers` that announced that they store the log in memory only.
    pub(super) diskless_peers: BTreeSet<NodeId>,
    /// Highest format of the log that each of `seen_peers` knows, as it announced last.
    pub(super) peer_formats: BTreeMap<NodeId, u32>,
    /// Term in which this instance proposed to raise the format.
    pub(super) format_proposed_in: Option<Term>,
    pub(super) pending_proposals: BTreeMap<(Term, Index), ReplySender>,
    pub(super) pending_reads: BTreeMap<ReadId, ReadCallback>,
    pub(super) next_read_id: ReadId,
    pub(super) applied_index: Index,
    pub(super) snapshot_index: Index,
    pub(super) log_bytes: usize,
    pub(super) snapshot_every_entries: u64,
    pub(super) max_log_bytes: usize,
    pub(super) tolerated_losses: u32,
    pub(super) election_timeout: Duration,
    /// The last term that this instance opened in the state as the leader.
    pub(super) opened_term: Term,
    /// The membership as last logged.
    pub(super) logged_membership: Membership,
    pub(super) stop_until: Option<Duration>,
    pub(super) is_view_stale: bool,
    pub(super) node_status: watch::Sender<NodeStatus>,
    pub(super) published: watch::Sender<u64>,
    pub(super) view: Arc<ArcSwap<View>>,
    pub(super) lease_until_us: Arc<AtomicU64>,
    pub(super) last_round_us: Arc<AtomicU64>,
    pub(super) commits: Arc<AtomicU64>,
    /// The newest table that this leader has proposed and not applied, with the term.
    pub(super) proposed_table: Option<(Term, Arc<RouteTable>)>,
    pub(super) recent_patches: RecentPatches,
    pub(super) live_tables: LiveTables,
    pub(super) held_bytes: Arc<ArcSwap<ThreadBytes>>,
    /// When the held bytes are to be counted next.
    pub(super) next_count_at: Duration,
}

/// A proposal's reply that is sent once the state is published.
type PendingReply = (ReplySender, Result<Reply, LogError>);

impl LogThread {
    pub(super) fn run(mut self, inputs: &Receiver<Input>) {
        let ended = self.run_until_stop(inputs);
        self.lease_until_us.store(0, Ordering::Release);
        let failure = ended.err();
        // Releases the folder's lock before the stop is published, since the folder may be reopened at once.
        self.log = Log::Memory;
        if let Some(failure) = &failure {
            error!(
                Component::Control,
                "The log has failed; the process must stop.",
                cause = failure
            );
        }
        self.node_status.send_modify(|node_status| {
            node_status.is_leader = false;
            node_status.may_answer = false;
            node_status.leader = None;
            node_status.has_stopped = true;
            node_status.failure = failure;
        });
        self.published.send_modify(|count| *count += 1);
    }

    fn run_until_stop(&mut self, inputs: &Receiver<Input>) -> Result<(), Box<str>> {
        self.process_output()?;
        loop {
            let wait = self.next_tick.saturating_sub(self.now());
            match inputs.recv_timeout(wait) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            for input in inputs.try_iter().take(MAX_BATCH_INPUTS) {
                self.handle_input(input);
            }
            let now = self.now();
            if now >= self.next_tick {
                self.next_tick = now + self.tick;
                self.node.tick(now);
                self.record_founders(now);
                self.remove_diskless_voters(now);
                self.raise_format(now);
                self.publish_held_bytes(now);
            }
            self.process_output()?;
            if self.may_stop() {
                return Ok(());
            }
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Batch(batch) => self.step(now, batch),
            Input::Propose(command, reply) => self.propose(now, command, reply),
            Input::Read(callback) => {
                let read_id = self.next_read_id;
                self.next_read_id += 1;
                match self.node.read(now, read_id) {
                    Ok(()) => _ = self.pending_reads.insert(read_id, callback),
                    Err(_not_leader) => callback(None),
                }
            }
            Input::Join(join, reply) => {
                let _receiver_is_gone = reply.send(self.join(now, &join));
            }
            Input::Remove(instance, reply) => {
                let _receiver_is_gone = reply.send(self.remove(now, &instance));
            }
            Input::Stop => self.begin_stop(now),
        }
    }

    fn step(&mut self, now: Duration, batch: Batch) {
        self.queued_batch_bytes
            .fetch_sub(batch.payload_bytes(), Ordering::Relaxed);
        self.peers.learn(batch.from, &batch.address);
        if self.seen_peers.insert(batch.from) {
            self.is_view_stale = true;
        }
        self.peer_formats.insert(batch.from, batch.format);
        if batch.diskless {
            self.diskless_peers.insert(batch.from);
        }
        for message in batch.messages {
            self.node.step(now, message);
        }
    }

    fn propose(&mut self, now: Duration, command: Command, reply: ReplySender) {
        if self.node.role() == Role::Leader && !self.can_acknowledge() {
            let _receiver_is_gone = reply.send(Err(LogError::FoundingIncomplete));
            return;
        }
        if self.changes_nothing(&command) {
            let _receiver_is_gone = reply.send(Ok(Reply::Done));
            return;
        }
        let (payload, table) = match command {
            Command::PutTable(table) => {
                let (payload, table) = self.encode_table(table);
                (payload, Some(table))
            }
            command => (command.encode(), None),
        };
        match self.node.propose(now, payload) {
            Ok(position) => {
                self.pending_proposals.insert(position, reply);
                if let Some(table) = table {
                    self.record_proposed_table(table);
                }
            }
            Err(cause) => {
                let _receiver_is_gone = reply.send(Err(log_error_from(cause)));
            }
        }
    }

    /// Returns whether a command is certain to leave the state as it is, so that the log need not carry it.
    ///
    /// Every sidecar that is new to a leader replaces its earlier incarnations, most of which hold no key. An entry for each
    /// would make the claims behind it wait for one more sync. An entry that isn't applied yet may claim a key for an earlier
    /// incarnation, so the whole log must be applied.
    fn changes_nothing(&self, command: &Command) -> bool {
        let Command::HolderLost {
            sidecar,
            incarnation,
            ..
        } = command
        else {
            return false;
        };
        let status = self.node.status();
        status.role == Role::Leader
            && status.last_index == self.applied_index
            && !self.state.has_earlier_holder(sidecar, *incarnation)
    }

    /// Carries out the node's output until there is none left.
    fn process_output(&mut self) -> Result<(), Box<str>> {
        loop {
            let peers = &self.peers;
            let output = take_output_and_send(&mut self.node, &self.lease_until_us, |message| {
                peers.send(message);
            });
            let (writes, token) = self.apply_output(output)?;
            let is_idle = writes.is_empty();
            if !is_idle {
                let began_at = self.now();
                self.log
                    .write(writes)
                    .map_err(|error| error.to_string().into_boxed_str())?;
                self.warn_of_slow_write(began_at);
                self.node.persisted(self.now(), token);
            }
            self.take_snapshot();
            if is_idle {
                break;
            }
        }
        self.publish();
        Ok(())
    }

    /// Warns of a write that held up the log for long enough that callers notice.
    fn warn_of_slow_write(&self, began_at: Duration) {
        let took = self.now().saturating_sub(began_at);
        if took >= self.election_timeout {
            let took_ms = took.as_millis();
            warn!(
                Component::Control,
                "A write of the log was slow.",
                took_ms = took_ms
            );
        }
    }

    fn apply_output(
        &mut self,
        output: Output,
    ) -> Result<(Vec<hinge_raft::Write>, hinge_raft::WriteToken), Box<str>> {
        if let Some(snapshot) = output.install {
            self.state = State::restore(&snapshot.state)
                .map_err(|error| error.to_string().into_boxed_str())?;
            self.applied_index = snapshot.last_index;
            self.snapshot_index = snapshot.last_index;
            self.log_bytes = 0;
            self.recent_patches.clear();
            self.is_view_stale = true;
        }
        let mut replies = Vec::new();
        for entry in output.committed {
            replies.extend(self.apply(&entry)?);
        }
        // Whoever is told of a change finds it in the view, however long the write that follows takes.
        self.publish_view();
        for (waiting, reply) in replies {
            let _receiver_is_gone = waiting.send(reply);
        }
        for read in output.reads {
            if let Some(callback) = self.pending_reads.remove(&read.read_id) {
                callback(Some((&self.state, &self.node.status())));
            }
        }
        for read_id in output.dropped_reads {
            if let Some(callback) = self.pending_reads.remove(&read_id) {
                callback(None);
            }
        }
        for dropped in output.dropped_proposals {
            let waiting = self
                .pending_proposals
                .remove(&(dropped.term, dropped.index));
            let error = match dropped.reason {
                DropReason::Overwritten => LogError::NotLeader,
                DropReason::LeadershipLost | DropReason::CoveredBySnapshot => {
                    LogError::OutcomeUnknown
                }
            };
            waiting.map(|waiting| waiting.send(Err(error)));
        }
        Ok((output.writes, output.token))
    }

    /// Applies an entry, and returns the reply to the proposal that waits for it here, if there is one.
    fn apply(&mut self, entry: &hinge_raft::Entry) -> Result<Option<PendingReply>, Box<str>> {
        self.applied_index = entry.index;
        self.log_bytes += entry.payload.len();
        if entry.kind != EntryKind::Command {
            // A membership change is answered when it takes effect, not here.
            return Ok(None);
        }
        let command = Command::decode(&entry.payload).map_err(|error| {
            let text = format!(
                "log entry {} was written by a newer version ({error}): run that version here too",
                entry.index
            );
            text.into_boxed_str()
        })?;
        if !matches!(
            command,
            Command::ClaimKeys { .. } | Command::HolderLost { .. } | Command::Sweep { .. }
        ) {
            self.is_view_stale = true;
        }
        if let Command::NameControl {
            node_id, address, ..
        } = &command
        {
            self.peers.learn(*node_id, address);
        }
        if matches!(command, Command::OpenTerm { .. }) {
            self.opened_term = entry.term;
        }
        self.commits.fetch_add(1, Ordering::Relaxed);
        let patch = match &command {
            Command::PatchTable(patch) => Some(patch.clone()),
            _ => None,
        };
        let table_before = self.state.routing().table_number();
        let reply = self.state.apply(entry.index, entry.term, command);
        self.record_applied_table(table_before, patch.as_deref());
        let waiting = self.pending_proposals.remove(&(entry.term, entry.index));
        // A voter found to have no disk in the meantime may have counted towards this commit.
        let reply = if self.can_acknowledge() {
            Ok(reply)
        } else {
            Err(LogError::OutcomeUnknown)
        };
        Ok(waiting.map(|waiting| (waiting, reply)))
    }

    fn take_snapshot(&mut self) {
        let entries = self.applied_index - self.snapshot_index;
        let is_due = entries >= self.snapshot_every_entries || self.log_bytes >= self.max_log_bytes;
        if is_due
            && self
                .node
                .snapshot_taken(self.applied_index, self.state.encode())
        {
            self.snapshot_index = self.applied_index;
            self.log_bytes = 0;
        }
    }

    /// Proposes the command that opens the term in the state; reads and calls that depend on the term wait for it.
    pub(super) fn open_term(&mut self) {
        let command = Command::OpenTerm {
            now_ms: crate::core::unix_now_ms(),
        };
        let _lost_if_not_leader = self.node.propose(self.now(), command.encode());
        self.next_tick = Duration::ZERO;
    }

    fn begin_stop(&mut self, now: Duration) {
        self.stop_until = Some(now + 2 * self.election_timeout);
        if let Some(successor) = self.node.successor() {
            info!(
                Component::Control,
                "Handing leadership over.",
                successor = successor
            );
            let _stays_leader_if_refused = self.node.transfer_leadership(now, successor);
        }
    }

    /// Returns whether a requested stop may proceed: leadership is transferred, or nobody took it over in time.
    fn may_stop(&mut self) -> bool {
        let Some(until) = self.stop_until else {
            return false;
        };
        let is_alone = self.node.membership().voters.len() <= 1;
        self.node.role() != Role::Leader || is_alone || self.now() >= until
    }
}

/// Takes the node's output, and sends its messages after publishing the end of a lease that has ended.
///
/// As soon as it is sent, a message may let another node become the leader (a request to campaign, a vote), while the
/// rest of the output may take as long as a disk write. So readers of the published lease must see it end first. This
/// function only shortens the published lease; `publish` extends it once the rest of the output is carried out.
pub(super) fn take_output_and_send(
    node: &mut Node,
    published_until_us: &AtomicU64,
    mut send: impl FnMut(Message),
) -> Output {
    let mut output = node.take_output();
    published_until_us.fetch_min(lease_until_us(node), Ordering::AcqRel);
    for message in std::mem::take(&mut output.messages) {
        send(message);
    }
    output
}

/// Returns the end of the node's lease in microseconds since the start, or 0 without a lease.
pub(super) fn lease_until_us(node: &Node) -> u64 {
    let lease_until = node.lease_until().unwrap_or_default();
    u64::try_from(lease_until.as_micros()).unwrap_or(u64::MAX)
}

fn log_error_from(cause: hinge_raft::ProposeError) -> LogError {
    match cause {
        hinge_raft::ProposeError::NotLeader { .. }
        | hinge_raft::ProposeError::TransferInProgress { .. } => LogError::NotLeader,
        hinge_raft::ProposeError::Full => LogError::Busy,
        hinge_raft::ProposeError::TooLarge { .. } => LogError::TooLarge,
    }
}
