//! Tests that the memory of a node is bounded in bytes, for any number and size of entries and any lag of a member.

use std::time::Duration;

use hinge_cases::cases;
use hinge_raft::{
    AppendResult, Body, Config, HeldBytes, Membership, Message, Node, NodeId, Output,
    PersistentState, Role, Term,
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
}

impl Leader {
    fn elect() -> Self {
        let membership = Membership {
            voters: vec![1, 2, 3],
            learners: Vec::new(),
        };
        let mut config = Config::new(1, 7);
        config.max_batch_bytes = MAX_ENTRY_BYTES;
        config.max_pending_bytes = 2 * MAX_ENTRY_BYTES;
        let state = PersistentState::bootstrap(membership);
        let node = Node::open(config, state, Duration::ZERO, 1).expect("valid state");
        let mut leader = Self {
            node,
            term: 1,
            now: LATER,
            applied_bytes: 0,
        };
        leader.node.tick(LATER);
        leader.step(2, Body::PreVoteReply { granted: true });
        leader.settle();
        leader.step(2, Body::VoteReply { granted: true });
        leader.settle();
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

    fn acknowledge(&mut self, output: &Output) {
        for message in output.messages.iter().filter(|message| message.to == 2) {
            if let Body::Append {
                prev_index,
                entries,
                round,
                ..
            } = &message.body
                && *round > 0
            {
                let match_index = prev_index + entries.len() as u64;
                let reply = Body::AppendReply {
                    result: AppendResult::Accepted { match_index },
                    round: *round,
                    complete: true,
                };
                self.step(2, reply);
            }
        }
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
    let mut leader = Leader::elect();
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
