//! Runs specific failure scenarios step by step.

use std::time::Duration;

use crate::simulation::{SimulatedNetwork, ms};
use hinge_cases::cases;
use hinge_raft::{
    Config, MembershipChange, MembershipError, NodeId, PersistentState, ProposeError, Role,
};

fn small_chunks(config: &mut Config) {
    config.snapshot_chunk_bytes = 100;
    config.keep_entries = 0;
}

fn default_config(_: &mut Config) {}

/// Crashes the leader `events` events after a proposal and checks that a committed entry survives, with or without a restart.
fn crash_leader_after(events: usize, restarts: bool) {
    let mut net = SimulatedNetwork::open(events as u64, 3, default_config);
    let leader = net.wait_for_leader();
    net.commit_one();
    let (term, index) = net.propose(leader).expect("the node is the leader");
    for _ in 0..events {
        net.step();
    }
    let was_committed = net.committed_log.len() as u64 >= index;
    net.crash(leader);
    if restarts {
        net.start(leader);
    }
    net.commit_one();
    let is_there = net
        .committed_log
        .iter()
        .any(|entry| (entry.term, entry.index) == (term, index));
    assert!(is_there || !was_committed, "a committed entry was lost");
}

/// Replaces one voter, then destroys another `events` events after the replacement was committed.
fn destroy_second_voter_after(events: usize, promote_first: bool) {
    let mut net = SimulatedNetwork::open(events as u64, 3, small_chunks);
    net.wait_for_leader();
    for _ in 0..5 {
        net.commit_one();
    }
    net.destroy(3);
    net.add(13, PersistentState::joining());
    net.run_until("the replacement of the lost voter", ms(20_000), |net| {
        net.advance_replacement(3, 13, promote_first);
        net.is_replaced(3, 13)
    });
    for _ in 0..events {
        let leader = net.leader().expect("the leader is unchanged");
        net.propose(leader);
        net.step();
    }
    let leader = net.leader().expect("the leader is unchanged");
    let second = if leader == 1 || leader == 2 {
        leader
    } else {
        2
    };
    net.destroy(second);
    let before = net.committed_log.len();
    net.commit_one();
    assert!(net.committed_log.len() > before);
    net.run(ms(1000));
    let caught_up = net
        .hosts
        .values()
        .filter(|host| host.applied == net.committed_log.len() as u64)
        .count();
    assert_eq!(
        caught_up, 2,
        "both survivors have applied all committed entries"
    );
}

/// Commits a single entry and checks that every follower has committed it one round trip later.
fn followers_commit_within_a_round_trip(voters: u64) {
    for seed in 0..100 {
        let mut net = SimulatedNetwork::open(seed, voters, default_config);
        (net.delay_ms, net.sync_ms) = (2..3, 1..2);
        let leader = net.wait_for_leader();
        // An arbitrary time between two heartbeats.
        net.run(ms(1000 + 2 * seed));
        let (_, index) = net.propose(leader).expect("the node is the leader");
        net.run_until("the commit", ms(100), |net| {
            net.node(leader).status().commit >= index
        });
        // One round trip of 2 ms each way.
        net.run(ms(4));
        for id in 1..=voters {
            assert!(
                net.node(id).status().commit >= index,
                "{id} has not committed the entry with seed {seed}"
            );
        }
    }
}

fn isolated_leader_steps_down(both_ways: bool) {
    let mut net = SimulatedNetwork::open(1, 3, default_config);
    let old = net.wait_for_leader();
    net.commit_one();
    let committed = net.committed_log.len();
    net.isolate(old, both_ways);
    net.run_until("the old lease ends", ms(1100), |net| {
        !net.node(old).holds_lease(net.local_time(old))
    });
    let stale = net.read(old);
    let proposed = net.propose(old);
    net.run_until("another leader", ms(8000), |net| {
        net.leader().is_some_and(|id| id != old)
    });
    net.commit_one();
    let new = net.leader().expect("just seen");
    let term = net.node(new).status().term;
    net.run(ms(600_000));
    assert_ne!(net.node(old).role(), Role::Leader);
    assert_eq!(net.propose(old), None);
    assert!(
        !net.answered_reads.contains(&stale),
        "an isolated leader answered a read"
    );
    net.blocked_links.clear();
    net.run(ms(5000));
    assert_eq!(
        net.leader(),
        Some(new),
        "the rejoined node does not depose the leader"
    );
    assert_eq!(net.node(new).status().term, term);
    let is_there = proposed.is_some_and(|term_and_index| {
        net.committed_log[committed..]
            .iter()
            .any(|entry| (entry.term, entry.index) == term_and_index)
    });
    assert!(
        !is_there,
        "an entry proposed to an isolated leader was committed"
    );
}

fn commit_change(net: &mut SimulatedNetwork, change: MembershipChange) {
    net.run_until("the change", ms(20_000), |net| {
        let Some(leader) = net.leader() else {
            return false;
        };
        net.propose(leader);
        net.read(leader);
        net.drive(leader, |node, now| {
            node.propose_membership(now, change).is_ok()
        }) == Some(true)
    });
    net.commit_one();
}

fn begin_transfer(to: NodeId, net: &mut SimulatedNetwork) -> Option<bool> {
    let leader = net.leader()?;
    net.drive(leader, |node, now| {
        node.transfer_leadership(now, to).is_ok()
    })
}

cases! {
    followers_commit_within_a_round_trip:
    followers_of_three_commit_within_a_round_trip => 3,
    followers_of_five_commit_within_a_round_trip => 5,
}

cases! {
    a_leader_crash_at_any_step_loses_no_committed_entry => {
        for events in 0..60 {
            crash_leader_after(events, false);
            crash_leader_after(events, true);
        }
    }

    a_second_voter_lost_right_after_a_replacement_loses_no_entry => {
        for events in 0..40 {
            destroy_second_voter_after(events, false);
            destroy_second_voter_after(events, true);
        }
    }

    a_partitioned_leader_steps_down_and_rejoins => { isolated_leader_steps_down(true); }

    a_leader_that_can_send_but_not_receive_steps_down => {
        let mut net = SimulatedNetwork::open(2, 3, default_config);
        let old = net.wait_for_leader();
        for other in 1..=3 {
            net.blocked_links.insert((other, old));
        }
        net.run_until("another leader", ms(8000), |net| net.leader().is_some_and(|id| id != old));
        net.commit_one();
        assert_ne!(net.node(old).role(), Role::Leader);
    }

    a_leader_that_can_receive_but_not_send_steps_down => { isolated_leader_steps_down(false); }

    a_partitioned_follower_does_not_disturb_the_leader => {
        let mut net = SimulatedNetwork::open(3, 5, default_config);
        let leader = net.wait_for_leader();
        let follower = leader % 5 + 1;
        net.isolate(follower, true);
        let term = net.node(leader).status().term;
        net.run(ms(60_000));
        assert_eq!(net.node(follower).status().term, term, "the partitioned follower raised its term");
        net.blocked_links.clear();
        net.run(ms(5000));
        assert_eq!((net.leader(), net.node(leader).status().term), (Some(leader), term));
    }

    voters_changed_one_at_a_time_under_load => {
        let mut net = SimulatedNetwork::open(4, 3, small_chunks);
        net.wait_for_leader();
        for new in 4..=6 {
            net.add(new, PersistentState::joining());
            commit_change(&mut net, MembershipChange::AddLearner(new));
            commit_change(&mut net, MembershipChange::Promote(new));
            let leader = net.leader().expect("there is a leader");
            let old = net.node(leader).membership().voters.iter().copied().find(|id| *id != leader);
            let old = old.expect("there are four voters");
            commit_change(&mut net, MembershipChange::Remove(old));
            net.take_snapshot(leader);
            net.crash(old);
        }
        net.run(ms(1000));
        let leader = net.wait_for_leader();
        assert_eq!(net.node(leader).membership().voters.len(), 3);
        let busy = net.drive(leader, |node, now| {
            let first = node.propose_membership(now, MembershipChange::AddLearner(8));
            (first.is_ok(), node.propose_membership(now, MembershipChange::AddLearner(9)))
        });
        assert_eq!(busy, Some((true, Err(MembershipError::ChangeInProgress))));
    }

    a_removed_voter_does_not_disturb_the_leader => {
        let mut net = SimulatedNetwork::open(5, 4, default_config);
        let leader = net.wait_for_leader();
        let removed = leader % 4 + 1;
        net.isolate(removed, true);
        commit_change(&mut net, MembershipChange::Remove(removed));
        net.blocked_links.clear();
        let term = net.node(leader).status().term;
        net.run(ms(30_000));
        assert_eq!((net.leader(), net.node(leader).status().term), (Some(leader), term));
    }

    leadership_is_transferred_on_a_planned_stop => {
        let mut net = SimulatedNetwork::open(6, 3, default_config);
        let old = net.wait_for_leader();
        let successor = net.node(old).successor().expect("both followers are reachable");
        assert_eq!(begin_transfer(successor, &mut net), Some(true));
        let refused = net.drive(old, |node, now| node.propose(now, Box::default()));
        assert_eq!(refused, Some(Err(ProposeError::TransferInProgress { successor })));
        let began = net.now;
        net.run_until("the successor leads", ms(200), |net| net.leader() == Some(successor));
        net.crash(old);
        net.commit_one();
        assert!(net.now.saturating_sub(began) < ms(400), "the transfer waited for an election timeout");
    }

    a_failed_transfer_leaves_a_working_leader => {
        let mut net = SimulatedNetwork::open(7, 3, default_config);
        let old = net.wait_for_leader();
        let successor = net.node(old).successor().expect("both followers are reachable");
        net.crash(successor);
        assert_eq!(begin_transfer(successor, &mut net), Some(true));
        net.run(ms(2000));
        let leader = net.wait_for_leader();
        let read = net.read(leader);
        net.commit_one();
        assert!(net.answered_reads.contains(&read));
    }

    a_follower_catches_up_by_a_snapshot_after_an_interrupted_transfer => {
        let mut net = SimulatedNetwork::open(8, 3, small_chunks);
        let leader = net.wait_for_leader();
        let follower = leader % 3 + 1;
        net.crash(follower);
        for _ in 0..20 {
            net.commit_one();
        }
        net.take_snapshot(leader);
        net.start(follower);
        let chunks = |net: &SimulatedNetwork| net.sent.get("chunk").copied().unwrap_or_default();
        net.run_until("the first chunk", ms(5000), |net| chunks(net) >= 1);
        net.crash(follower);
        net.run(ms(1000));
        net.start(follower);
        net.run_until("a chunk to the restarted follower", ms(5000), |net| chunks(net) >= 4);
        let other = 6 - leader - follower;
        net.take_snapshot(other);
        net.crash(leader);
        net.commit_one();
        net.run(ms(3000));
        assert_eq!(net.hosts[&follower].applied, net.committed_log.len() as u64);
        assert!(net.node(follower).status().commit > 20);
    }

    learners_do_not_count_towards_a_quorum => {
        let mut net = SimulatedNetwork::open(9, 2, default_config);
        let leader = net.wait_for_leader();
        net.add(10, PersistentState::joining());
        net.add(11, PersistentState::joining());
        commit_change(&mut net, MembershipChange::AddLearner(10));
        commit_change(&mut net, MembershipChange::AddLearner(11));
        net.run(ms(1000));
        net.crash(3 - leader);
        let committed = net.committed_log.len();
        net.propose(leader);
        net.run(ms(500));
        assert_eq!(net.committed_log.len(), committed, "an entry was committed by the acknowledgements of learners");
        net.run(ms(10_000));
        assert_eq!(net.leader(), None, "learners kept a leader without a quorum in office");
    }

    a_learner_is_promoted_only_once_it_has_synced_what_was_committed => {
        let mut net = SimulatedNetwork::open(10, 3, default_config);
        let leader = net.wait_for_leader();
        net.add(13, PersistentState::joining());
        net.isolate(13, false);
        commit_change(&mut net, MembershipChange::AddLearner(13));
        let promote = |net: &mut SimulatedNetwork| {
            net.drive(leader, |node, now| node.propose_membership(now, MembershipChange::Promote(13)))
        };
        assert!(matches!(promote(&mut net), Some(Err(MembershipError::NotCaughtUp { .. }))));
        net.blocked_links.clear();
        net.sync_ms = 5000..5001;
        net.run(ms(3000));
        assert!(matches!(promote(&mut net), Some(Err(MembershipError::NotCaughtUp { .. }))), "not synced yet");
        net.sync_ms = 1..5;
        net.run(ms(9000));
        net.crash(13);
        net.run(Duration::from_secs(2));
        assert_eq!(promote(&mut net), Some(Err(MembershipError::Unreachable)));
    }

    a_voter_that_lost_its_disk_under_its_old_id_neither_votes_nor_counts => {
        let mut net = SimulatedNetwork::open(11, 3, default_config);
        let leader = net.wait_for_leader();
        net.commit_one();
        let broken = leader % 3 + 1;
        net.destroy(broken);
        net.start(broken);
        net.run(ms(3000));
        assert!(!net.node(broken).status().complete);
        net.crash(leader);
        let leaders = net.leaders.clone();
        net.run(ms(10_000));
        assert_eq!(net.leaders, leaders, "a voter that lost its disk voted");
    }
}
