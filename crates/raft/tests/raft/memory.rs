//! Tests that the memory of a node is bounded in bytes, for any number and size of entries and any lag of a member.

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_cases::cases;
use hinge_raft::{
    AppendResult, Body, Config, Entry, EntryKind, HardState, HeldBytes, Membership, Message, Node,
    NodeId, Output, PersistentState, ProposeError, Role, Term,
};

/// Most bytes that a node may hold: half of control's memory budget of 32 MB.
const BUDGET_BYTES: usize = 16_000_000;

/// Bytes of applied entries after which the driver takes a snapshot.
const SNAPSHOT_AFTER_BYTES: usize = 2 << 20;

/// Longest entry that control proposes.
const MAX_ENTRY_BYTES: usize = 4 << 20;

/// A time after the startup lease and the longest election timeout.
const LATER: Duration = Duration::from_secs(3);

/// Number, size and snapshot size of the changes that a leader commits while one follower is silent.
#[derive(Clone, Copy)]
struct Load {
    changes: usize,
    change_bytes: usize,
    state_bytes: usize,
}

/// The leader of three voters; voter 2 acknowledges everything at once, and voter 3 is silent.
struct Leader {
    node: Node,
    term: Term,
    now: Duration,
    applied_bytes: usize,
    /// Bytes of entries and snapshots sent to the silent voter since the last change.
    sent_to_silent: usize,
    /// Chunks of snapshots that the learners have received, by learner.
    chunks: BTreeMap<NodeId, Body>,
}

impl Leader {
    fn elect(learners: Vec<NodeId>) -> Self {
        let mut leader = Self::elect_with(learners, Vec::new());
        leader.settle();
        leader.reply(3, AppendResult::Accepted { match_index: 1 });
        leader.settle();
        leader
    }

    /// Makes a leader of a log that already has entries; nothing of its own term is acknowledged yet.
    fn elect_with(learners: Vec<NodeId>, entries: Vec<Entry>) -> Self {
        let membership = Membership {
            voters: vec![1, 2, 3],
            learners,
        };
        let mut config = Config::new(1, 7);
        config.max_proposal_bytes = MAX_ENTRY_BYTES;
        config.max_pending_bytes = 2 * MAX_ENTRY_BYTES;
        let term = entries.last().map_or(0, |entry| entry.term);
        let state = PersistentState {
            hard_state: HardState {
                term,
                ..HardState::default()
            },
            entries,
            ..PersistentState::bootstrap(membership)
        };
        let node = Node::open(config, state, Duration::ZERO, 1).expect("valid state");
        let mut leader = Self {
            node,
            term: term + 1,
            now: LATER,
            applied_bytes: 0,
            sent_to_silent: 0,
            chunks: BTreeMap::new(),
        };
        leader.node.tick(LATER);
        leader.step(2, Body::PreVoteReply { granted: true });
        leader.settle();
        leader.step(2, Body::VoteReply { granted: true });
        assert_eq!(leader.node.role(), Role::Leader);
        leader
    }

    fn step(&mut self, from: NodeId, body: Body) {
        let message = Message {
            cluster_id: 7,
            from,
            to: 1,
            term: self.term,
            body,
        };
        self.node.step(self.now, message);
    }

    /// Carries out the node's output, with voter 2 acknowledging every append, until none is left.
    fn settle(&mut self) {
        loop {
            let output = self.node.take_output();
            let is_idle = output.token == 0 && output.messages.is_empty();
            self.applied_bytes += output
                .committed
                .iter()
                .map(|entry| entry.payload.len())
                .sum::<usize>();
            self.node.persisted(self.now, output.token);
            self.acknowledge(&output);
            if is_idle {
                return;
            }
        }
    }

    /// Answers for voter 2, and for the learners, which have nothing of the log and take one chunk of a snapshot a change.
    fn acknowledge(&mut self, output: &Output) {
        for message in &output.messages {
            match (&message.body, message.to) {
                (_, 3) => self.sent_to_silent += message.payload_bytes(),
                (
                    Body::Append {
                        prev_index,
                        entries,
                        round: 1..,
                        ..
                    },
                    2,
                ) => {
                    let match_index = prev_index + entries.len() as u64;
                    self.reply(2, AppendResult::Accepted { match_index });
                }
                (
                    Body::Append {
                        prev_index: 1..,
                        round: 1..,
                        ..
                    },
                    learner,
                ) => {
                    let Body::Append { prev_index, .. } = message.body else {
                        continue;
                    };
                    let result = AppendResult::Rejected {
                        prev_index,
                        hint_index: 0,
                        hint_term: 0,
                    };
                    self.reply(learner, result);
                }
                (Body::SnapshotChunk { .. }, learner) => {
                    self.chunks.insert(learner, message.body.clone());
                }
                _ => {}
            }
        }
    }

    fn reply(&mut self, from: NodeId, result: AppendResult) {
        let body = Body::AppendReply {
            result,
            round: 1,
            complete: true,
        };
        self.step(from, body);
    }

    /// Lets one learner take the chunk that it has received last.
    fn take_chunk(&mut self, learner: NodeId) {
        let Some(Body::SnapshotChunk {
            last_index,
            offset,
            data,
            round,
            ..
        }) = self.chunks.remove(&learner)
        else {
            return;
        };
        let body = Body::SnapshotReply {
            last_index,
            next_offset: offset + data.len() as u64,
            round,
            complete: false,
        };
        self.step(learner, body);
        self.settle();
    }

    fn commit(&mut self, bytes: usize) {
        self.now += Duration::from_millis(20);
        self.node.tick(self.now);
        let payload = vec![0; bytes].into();
        self.node
            .propose(self.now, payload)
            .expect("the leader accepts a change");
        self.settle();
    }

    /// Takes a snapshot when the driver would.
    fn take_snapshot_if_due(&mut self, state_bytes: usize) {
        if self.applied_bytes >= SNAPSHOT_AFTER_BYTES {
            let last_index = self.node.status().commit;
            let state = vec![0; state_bytes].into();
            assert!(self.node.snapshot_taken(last_index, state));
            self.applied_bytes = 0;
            self.settle();
        }
    }
}

fn total(held: HeldBytes) -> usize {
    held.covered_entries
        + held.applied_entries
        + held.unapplied_entries
        + held.snapshot
        + held.earlier_snapshots
        + held.incoming_snapshot
}

fn stays_within_budget(load: Load) {
    let mut leader = Leader::elect(Vec::new());
    for change in 0..load.changes {
        leader.commit(load.change_bytes);
        leader.take_snapshot_if_due(load.state_bytes);
        let held = leader.node.held_bytes();
        assert!(
            total(held) <= BUDGET_BYTES,
            "after change {change}: {held:?}"
        );
    }
}

cases! {
    // Guards against a control instance that keeps a number of whole configurations behind its snapshot and is killed for
    // its memory.
    stays_within_budget:
    many_changes_of_a_large_configuration_stay_within_the_memory_budget => Load {
        changes: 200,
        change_bytes: 700_000,
        state_bytes: 700_000,
    },
    many_small_changes_stay_within_the_memory_budget => Load {
        changes: 20_000,
        change_bytes: 300,
        state_bytes: 700_000,
    },
    changes_of_the_longest_size_stay_within_the_memory_budget => Load {
        changes: 40,
        change_bytes: MAX_ENTRY_BYTES,
        state_bytes: MAX_ENTRY_BYTES,
    },
}

cases! {
    // Guards against a leader that sends a whole configuration again and again to a member that is gone.
    a_silent_member_gets_no_entries_again_and_again => {
        let mut leader = Leader::elect(Vec::new());
        leader.commit(700_000);
        for _ in 0..200 {
            leader.commit(1_000);
        }
        leader.sent_to_silent = 0;
        for _ in 0..500 {
            leader.commit(1_000);
        }
        assert_eq!(leader.sent_to_silent, 0);
    }

    // Guards against a leader that keeps a snapshot in memory for each slow member.
    slow_members_hold_one_earlier_snapshot_together => {
        let learners: Vec<NodeId> = (4..12).collect();
        let mut leader = Leader::elect(learners.clone());
        let state_bytes = 700_000;
        let mut most = 0;
        for change in 0..200 {
            leader.commit(300_000);
            leader.take_snapshot_if_due(state_bytes);
            leader.take_chunk(learners[change % learners.len()]);
            most = most.max(leader.node.held_bytes().earlier_snapshots);
        }
        assert_eq!(most, state_bytes);
    }

    // Guards against a log whose uncommitted part grows with each change of the leader.
    entries_of_earlier_terms_count_against_the_bound_of_a_new_leader => {
        let entries = (1..=2).map(|index| Entry {
            term: 1,
            index,
            kind: EntryKind::Command,
            payload: vec![0; MAX_ENTRY_BYTES].into(),
        });
        let mut leader = Leader::elect_with(Vec::new(), entries.collect());
        let proposed = leader.node.propose(leader.now, Box::new([1]));
        assert_eq!(proposed, Err(ProposeError::Full), "8 MiB wait already");
        leader.reply(2, AppendResult::Accepted { match_index: 3 });
        leader.settle();
        leader.commit(MAX_ENTRY_BYTES);
    }
}
