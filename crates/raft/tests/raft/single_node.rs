//! Tests individual rules on one node that receives handwritten messages.

use std::time::Duration;

use bytes::Bytes;
use hinge_cases::cases;
use hinge_raft::{
    AppendResult, Body, Config, ConfigError, Entry, EntryKind, HardState, Membership, Message,
    Node, NodeId, OpenError, Output, PersistentState, ProposeError, ReadError, Role, Snapshot,
    Term,
};

/// A time after the startup lease and the longest election timeout.
const LATER: Duration = Duration::from_secs(3);

fn entry(term: Term, index: u64) -> Entry {
    Entry {
        term,
        index,
        kind: EntryKind::Command,
        payload: Bytes::from_static(&[1]),
    }
}

fn membership() -> Membership {
    Membership {
        voters: vec![1, 2, 3],
        learners: Vec::new(),
    }
}

fn persistent_state(term: Term, entries: Vec<Entry>) -> PersistentState {
    let hard_state = HardState {
        term,
        ..HardState::default()
    };
    PersistentState {
        hard_state,
        entries,
        ..PersistentState::bootstrap(membership())
    }
}

fn open_node(term: Term, entries: Vec<Entry>) -> Node {
    Node::open(
        Config::new(1, 7),
        persistent_state(term, entries),
        Duration::ZERO,
        1,
    )
    .expect("valid state")
}

fn message(from: NodeId, term: Term, body: Body) -> Message {
    Message {
        cluster_id: 7,
        from,
        to: 1,
        term,
        body,
    }
}

fn vote(from: NodeId, term: Term, last_index: u64, last_term: Term) -> Message {
    message(
        from,
        term,
        Body::Vote {
            last_index,
            last_term,
            transfer: false,
        },
    )
}

fn append(term: Term, prev: (u64, Term), entries: Vec<Entry>, commit: u64) -> Message {
    let body = Body::Append {
        prev_index: prev.0,
        prev_term: prev.1,
        entries,
        commit,
        round: 1,
    };
    message(2, term, body)
}

fn chunk(last_index: u64, offset: u64, total_bytes: u64) -> Message {
    let (membership, data) = (membership(), Bytes::from_static(&[9]));
    message(
        2,
        3,
        Body::SnapshotChunk {
            last_index,
            last_term: 3,
            membership,
            total_bytes,
            offset,
            data,
            round: 1,
        },
    )
}

fn accepted(from: NodeId, term: Term, match_index: u64) -> Message {
    let result = AppendResult::Accepted { match_index };
    message(
        from,
        term,
        Body::AppendReply {
            result,
            round: 1,
            complete: true,
        },
    )
}

/// Reports all writes as synced until none are left, and returns the first output with all later messages and reads added.
fn sync_all(node: &mut Node, now: Duration) -> Output {
    let mut output = node.take_output();
    let mut token = output.token;
    while token > 0 {
        node.persisted(now, token);
        let after = node.take_output();
        output.messages.extend(after.messages);
        output.reads.extend(after.reads);
        token = after.token;
    }
    output
}

fn vote_granted(output: &Output) -> Option<bool> {
    output
        .messages
        .iter()
        .find_map(|message| match message.body {
            Body::VoteReply { granted } => Some(granted),
            _ => None,
        })
}

/// Makes the node the leader of the next term, with all its writes synced.
fn make_leader(node: &mut Node) -> Term {
    node.tick(LATER);
    let term = node.status().term + 1;
    node.step(
        LATER,
        message(2, term, Body::PreVoteReply { granted: true }),
    );
    sync_all(node, LATER);
    node.step(LATER, message(2, term, Body::VoteReply { granted: true }));
    sync_all(node, LATER);
    assert_eq!(node.role(), Role::Leader);
    term
}

fn config_is_refused((change, want): (fn(&mut Config), ConfigError)) {
    let mut config = Config::new(1, 7);
    change(&mut config);
    let refused = Node::open(config, persistent_state(0, Vec::new()), Duration::ZERO, 1);
    assert_eq!(refused.err(), Some(OpenError::Config(want)));
}

cases! {
    config_is_refused:
    a_zero_id_is_refused => (|config| config.id = 0, ConfigError::ZeroId),
    a_long_lease_is_refused => (|config| config.lease *= 2, ConfigError::LeaseOverElectionTimeout),
    a_wide_margin_is_refused => (|config| config.clock_drift_margin *= 10, ConfigError::MarginOverLease),
    a_slow_heartbeat_is_refused => (|config| config.heartbeat_interval *= 3, ConfigError::HeartbeatOverLease),
    a_zero_bound_is_refused => (|config| config.max_pending_reads = 0, ConfigError::ZeroBound),
}

cases! {
    a_node_votes_once_per_term_even_after_a_restart => {
        let mut node = open_node(4, Vec::new());
        node.step(LATER, vote(2, 5, 0, 0));
        assert_eq!(vote_granted(&sync_all(&mut node, LATER)), Some(true));
        node.step(LATER, vote(3, 5, 9, 4));
        assert_eq!(vote_granted(&sync_all(&mut node, LATER)), Some(false));
        let mut stored = persistent_state(5, Vec::new());
        stored.hard_state.voted_for = Some(2);
        let mut node = Node::open(Config::new(1, 7), stored, Duration::ZERO, 1).expect("valid state");
        node.step(LATER, vote(3, 5, 9, 4));
        assert_eq!(vote_granted(&sync_all(&mut node, LATER)), Some(false));
    }

    a_vote_and_an_acknowledgement_are_sent_only_after_their_sync => {
        let mut node = open_node(4, Vec::new());
        node.step(LATER, vote(2, 5, 0, 0));
        let output = node.take_output();
        assert!(output.messages.is_empty() && !output.writes.is_empty());
        node.persisted(LATER, output.token);
        assert_eq!(vote_granted(&node.take_output()), Some(true));
        node.step(LATER, append(5, (0, 0), vec![entry(5, 1)], 0));
        let output = node.take_output();
        assert!(output.messages.is_empty() && !output.writes.is_empty());
        node.persisted(LATER, output.token);
        assert_eq!(node.take_output().messages.len(), 1);
    }

    a_vote_for_a_shorter_log_is_refused => {
        let mut node = open_node(4, vec![entry(3, 1), entry(4, 2)]);
        node.step(LATER, vote(2, 5, 1, 4));
        assert_eq!(vote_granted(&sync_all(&mut node, LATER)), Some(false));
        node.step(LATER, vote(2, 6, 9, 3));
        assert_eq!(vote_granted(&sync_all(&mut node, LATER)), Some(false));
    }

    a_restarted_node_waits_out_a_lease_before_it_votes => {
        let mut node = open_node(4, Vec::new());
        node.step(Duration::from_millis(999), vote(2, 5, 0, 0));
        assert_eq!((vote_granted(&sync_all(&mut node, LATER)), node.status().term), (None, 4));
        node.step(Duration::from_secs(1), vote(2, 5, 0, 0));
        assert_eq!(vote_granted(&sync_all(&mut node, LATER)), Some(true));
    }

    a_follower_with_a_live_leader_does_not_vote => {
        let mut node = open_node(4, Vec::new());
        node.step(LATER, append(4, (0, 0), Vec::new(), 0));
        node.step(LATER, vote(3, 5, 9, 4));
        assert_eq!((vote_granted(&sync_all(&mut node, LATER)), node.status().term), (None, 4));
        let transfer = Body::Vote { last_index: 9, last_term: 4, transfer: true };
        node.step(LATER, message(3, 5, transfer));
        assert_eq!(vote_granted(&sync_all(&mut node, LATER)), Some(true), "in a transfer the leader has given up its lease");
    }

    the_lease_runs_from_the_send_and_excludes_the_margin => {
        let mut node = open_node(0, Vec::new());
        let term = make_leader(&mut node);
        assert_eq!(node.lease_until(), None);
        node.step(LATER + Duration::from_millis(500), accepted(2, term, 1));
        assert_eq!(node.lease_until(), Some(LATER + Duration::from_millis(900)));
    }

    the_lease_ends_before_the_successor_is_told_to_campaign => {
        let mut node = open_node(0, Vec::new());
        let term = make_leader(&mut node);
        node.step(LATER, accepted(2, term, 1));
        assert!(node.holds_lease(LATER));
        node.transfer_leadership(LATER, 2).expect("node 2 is reachable");
        let asked = node.take_output().messages.iter().any(|message| message.body == Body::TimeoutNow);
        assert!(asked && !node.holds_lease(LATER));
        let asked_again = node.read(LATER, 1);
        assert!(asked_again.is_ok() && node.take_output().reads.is_empty());
    }

    entries_of_an_earlier_term_are_not_committed_by_counting_acknowledgements => {
        let mut node = open_node(1, vec![entry(1, 1)]);
        let term = make_leader(&mut node);
        node.step(LATER, accepted(2, term, 1));
        assert_eq!(node.status().commit, 0);
        node.step(LATER, accepted(2, term, 2));
        assert_eq!(node.status().commit, 2);
    }

    a_leaders_own_entry_counts_only_once_it_is_synced => {
        let mut node = open_node(0, Vec::new());
        let term = make_leader(&mut node);
        node.propose(LATER, Box::new([1])).expect("the node is the leader");
        let token = node.take_output().token;
        node.step(LATER, accepted(2, term, 2));
        assert_eq!(node.status().commit, 1);
        node.persisted(LATER, token);
        assert_eq!(node.status().commit, 2);
    }

    conflicting_entries_are_replaced_and_committed_ones_never => {
        let mut node = open_node(3, vec![entry(1, 1), entry(2, 2), entry(2, 3)]);
        node.step(LATER, append(3, (1, 1), vec![entry(3, 2)], 2));
        assert_eq!((node.status().last_index, node.status().commit), (2, 2));
        node.step(LATER, append(4, (1, 1), vec![entry(4, 2)], 2));
        assert_eq!(node.take_output().committed, vec![entry(1, 1), entry(3, 2)]);
        node.step(LATER, append(4, (5, 4), vec![entry(4, 6)], 6));
        assert_eq!(node.status().last_index, 2, "an append after a gap was accepted");
    }

    a_late_chunk_drops_no_acknowledged_entry => {
        let mut node = open_node(3, vec![entry(1, 1), entry(3, 2), entry(3, 3)]);
        node.step(LATER, chunk(2, 0, 1));
        assert_eq!((node.status().last_index, node.status().commit), (3, 2));
    }

    chunks_of_two_snapshots_are_not_combined => {
        let mut node = open_node(3, Vec::new());
        node.step(LATER, chunk(5, 0, 2));
        node.step(LATER, chunk(6, 1, 2));
        assert_eq!(node.take_output().install, None);
        node.step(LATER, chunk(6, 0, 2));
        node.step(LATER, chunk(6, 1, 2));
        assert_eq!(node.take_output().install.map(|snapshot| snapshot.last_index), Some(6));
    }

    messages_for_other_clusters_and_incarnations_are_ignored => {
        let mut node = open_node(4, Vec::new());
        let wrong_cluster = Message { cluster_id: 8, ..vote(2, 5, 9, 4) };
        let wrong_incarnation = Message { to: 11, ..vote(2, 5, 9, 4) };
        let unknown_voter = vote(12, 5, 0, 0);
        let unknown_answer = message(12, 5, Body::VoteReply { granted: false });
        for message in [wrong_cluster, wrong_incarnation, unknown_voter, unknown_answer] {
            node.step(LATER, message);
            assert_eq!(node.take_output(), Output::default());
        }
    }

    proposals_and_reads_are_bounded_and_refused_with_a_reason => {
        let mut config = Config::new(1, 7);
        (config.max_pending_bytes, config.max_proposal_bytes, config.max_pending_reads) = (10, 8, 1);
        let mut node = Node::open(config, persistent_state(0, Vec::new()), Duration::ZERO, 1).expect("valid state");
        assert_eq!(node.propose(LATER, Box::default()), Err(ProposeError::NotLeader { leader: None }));
        assert_eq!(node.read(LATER, 1), Err(ReadError::NotLeader { leader: None }));
        make_leader(&mut node);
        assert_eq!(node.propose(LATER, Box::new([0; 9])), Err(ProposeError::TooLarge { max_bytes: 8 }));
        assert_eq!(node.propose(LATER, Box::new([0; 8])), Ok((1, 2)));
        assert_eq!(node.propose(LATER, Box::new([0; 8])), Err(ProposeError::Full));
        assert_eq!((node.read(LATER, 1), node.read(LATER, 2)), (Ok(()), Err(ReadError::Full)));
        assert!(node.take_output().reads.is_empty(), "a read was answered before a quorum replied");
    }

    a_stored_log_with_a_gap_is_refused => {
        let stored = persistent_state(1, vec![entry(1, 1), entry(1, 3)]);
        let refused = Node::open(Config::new(1, 7), stored, Duration::ZERO, 1);
        assert_eq!(refused.err(), Some(OpenError::Gap { index: 2 }));
    }

    a_single_voter_is_elected_by_its_own_synced_vote => {
        let snapshot = Snapshot {
            last_index: 0, last_term: 0, membership: Membership { voters: vec![1], learners: vec![] },
            state: Bytes::new(),
        };
        let stored = PersistentState { snapshot: Some(snapshot), ..persistent_state(0, Vec::new()) };
        let mut node = Node::open(Config::new(1, 7), stored, Duration::ZERO, 1).expect("valid state");
        node.tick(LATER);
        assert_eq!(node.role(), Role::Candidate);
        sync_all(&mut node, LATER);
        assert_eq!(node.role(), Role::Leader);
        node.read(LATER, 5).expect("the node is the leader");
        assert_eq!(sync_all(&mut node, LATER).reads.len(), 1);
    }
}
