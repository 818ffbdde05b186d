//! Runs the named failures: each is brought about step by step.

use std::time::Duration;

use crate::net::{Net, ms};
use hinge_cases::cases;
use hinge_raft::{
    Config, MembershipChange, MembershipError, NodeId, PersistentState, ProposeError, Role,
};

fn tune(config: &mut Config) {
    config.snapshot_chunk_bytes = 100;
    config.keep_entries = 0;
}

fn plain(_: &mut Config) {}

/// Kills the leader a number of events after a proposal; `returns` says whether it comes back.
fn kill_leader_after(events: usize, returns: bool) {
    let mut net = Net::open(events as u64, 3, plain);
    let leader = net.elect();
    net.commit_one();
    let (term, index) = net.propose(leader).expect("it leads");
    for _ in 0..events {
        net.step();
    }
    let was_committed = net.truth.len() as u64 >= index;
    net.crash(leader);
    if returns {
        net.start(leader);
    }
    net.commit_one();
    let is_there = net
        .truth
        .iter()
        .any(|entry| (entry.term, entry.index) == (term, index));
    assert!(
        is_there || !was_committed,
        "the acknowledged entry is still there"
    );
}

/// Replaces one voter, and loses another `events` events after the replacement was committed.
fn lose_second_after(events: usize, promote_first: bool) {
    let mut net = Net::open(events as u64, 3, tune);
    net.elect();
    for _ in 0..5 {
        net.commit_one();
    }
    net.lose(3);
    net.add(13, PersistentState::joining());
    net.run_until("the repair", ms(20_000), |net| {
        net.repair(3, 13, promote_first);
        net.is_repaired(3, 13)
    });
    for _ in 0..events {
        let leader = net.leader().expect("it stays");
        net.propose(leader);
        net.step();
    }
    let leader = net.leader().expect("it stays");
    let second = if leader == 1 || leader == 2 {
        leader
    } else {
        2
    };
    net.lose(second);
    let before = net.truth.len();
    net.commit_one();
    assert!(net.truth.len() > before);
    net.run(ms(1000));
    let held = net
        .hosts
        .values()
        .filter(|host| host.applied == net.truth.len() as u64)
        .count();
    assert_eq!(held, 2, "both survivors have everything");
}

/// Commits one entry and nothing more, and checks when each follower has committed it.
fn followers_learn_of_a_commit(voters: u64) {
    for seed in 0..100 {
        let mut net = Net::open(seed, voters, plain);
        (net.delay_ms, net.sync_ms) = (2..3, 1..2);
        let leader = net.elect();
        // Somewhere between two heartbeats.
        net.run(ms(1000 + 2 * seed));
        let (_, index) = net.propose(leader).expect("it leads");
        net.run_until("the commit", ms(100), |net| {
            net.node(leader).status().commit >= index
        });
        // One round trip of 2 ms each way.
        net.run(ms(4));
        for id in 1..=voters {
            assert!(
                net.node(id).status().commit >= index,
                "{id} lags with seed {seed}"
            );
        }
    }
}

fn isolated_leader(both_ways: bool) {
    let mut net = Net::open(1, 3, plain);
    let old = net.elect();
    net.commit_one();
    let committed = net.truth.len();
    net.set_cut(old, both_ways);
    net.run_until("the old lease ends", ms(1100), |net| {
        !net.node(old).holds_lease(net.local(old))
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
        !net.answered.contains(&stale),
        "an isolated leader answers no read"
    );
    net.cut.clear();
    net.run(ms(5000));
    assert_eq!(net.leader(), Some(new), "the return disturbs nobody");
    assert_eq!(net.node(new).status().term, term);
    let is_there = proposed.is_some_and(|place| {
        net.truth[committed..]
            .iter()
            .any(|entry| (entry.term, entry.index) == place)
    });
    assert!(!is_there, "an isolated leader accepts nothing");
}

fn change(net: &mut Net, change: MembershipChange) {
    net.run_until("the change", ms(20_000), |net| {
        let Some(leader) = net.leader() else {
            return false;
        };
        net.propose(leader);
        net.read(leader);
        net.with(leader, |node, now| {
            node.propose_membership(now, change).is_ok()
        }) == Some(true)
    });
    net.commit_one();
}

fn leader_hands_over(to: NodeId, net: &mut Net) -> Option<bool> {
    let leader = net.leader()?;
    net.with(leader, |node, now| {
        node.transfer_leadership(now, to).is_ok()
    })
}

cases! {
    followers_learn_of_a_commit:
    followers_of_three_commit_within_a_round_trip => 3,
    followers_of_five_commit_within_a_round_trip => 5,
}

cases! {
    a_leader_killed_at_each_step_of_a_commit => {
        for events in 0..60 {
            kill_leader_after(events, false);
            kill_leader_after(events, true);
        }
    }

    a_second_voter_lost_right_after_a_repair => {
        for events in 0..40 {
            lose_second_after(events, false);
            lose_second_after(events, true);
        }
    }

    a_leader_silently_cut_off_for_long => { isolated_leader(true); }

    a_leader_that_sends_but_hears_nobody => {
        let mut net = Net::open(2, 3, plain);
        let old = net.elect();
        for other in 1..=3 {
            net.cut.insert((other, old));
        }
        net.run_until("another leader", ms(8000), |net| net.leader().is_some_and(|id| id != old));
        net.commit_one();
        assert_ne!(net.node(old).role(), Role::Leader);
    }

    a_leader_that_hears_but_reaches_nobody => { isolated_leader(false); }

    a_follower_cut_off_for_long_disturbs_nobody => {
        let mut net = Net::open(3, 5, plain);
        let leader = net.elect();
        let follower = leader % 5 + 1;
        net.set_cut(follower, true);
        let term = net.node(leader).status().term;
        net.run(ms(60_000));
        assert_eq!(net.node(follower).status().term, term, "it didn't even raise its own term");
        net.cut.clear();
        net.run(ms(5000));
        assert_eq!((net.leader(), net.node(leader).status().term), (Some(leader), term));
    }

    voters_changed_one_at_a_time_under_load => {
        let mut net = Net::open(4, 3, tune);
        net.elect();
        for new in 4..=6 {
            net.add(new, PersistentState::joining());
            change(&mut net, MembershipChange::AddLearner(new));
            change(&mut net, MembershipChange::Promote(new));
            let leader = net.leader().expect("there is one");
            let old = net.node(leader).membership().voters.iter().copied().find(|id| *id != leader);
            let old = old.expect("there are four voters");
            change(&mut net, MembershipChange::Remove(old));
            net.take_snapshot(leader);
            net.crash(old);
        }
        net.run(ms(1000));
        let leader = net.elect();
        assert_eq!(net.node(leader).membership().voters.len(), 3);
        let busy = net.with(leader, |node, now| {
            let first = node.propose_membership(now, MembershipChange::AddLearner(8));
            (first.is_ok(), node.propose_membership(now, MembershipChange::AddLearner(9)))
        });
        assert_eq!(busy, Some((true, Err(MembershipError::ChangeInProgress))));
    }

    a_removed_voter_disturbs_nobody => {
        let mut net = Net::open(5, 4, plain);
        let leader = net.elect();
        let removed = leader % 4 + 1;
        net.set_cut(removed, true);
        change(&mut net, MembershipChange::Remove(removed));
        net.cut.clear();
        let term = net.node(leader).status().term;
        net.run(ms(30_000));
        assert_eq!((net.leader(), net.node(leader).status().term), (Some(leader), term));
    }

    leadership_is_handed_over_on_a_planned_stop => {
        let mut net = Net::open(6, 3, plain);
        let old = net.elect();
        let successor = net.node(old).successor().expect("both followers are in touch");
        assert_eq!(leader_hands_over(successor, &mut net), Some(true));
        let refused = net.with(old, |node, now| node.propose(now, Box::default()));
        assert_eq!(refused, Some(Err(ProposeError::TransferInProgress { successor })));
        let began = net.now;
        net.run_until("the successor leads", ms(200), |net| net.leader() == Some(successor));
        net.crash(old);
        net.commit_one();
        assert!(net.now.saturating_sub(began) < ms(400), "no election timeout passed");
    }

    a_failed_hand_over_leaves_a_working_leader => {
        let mut net = Net::open(7, 3, plain);
        let old = net.elect();
        let successor = net.node(old).successor().expect("both followers are in touch");
        net.crash(successor);
        assert_eq!(leader_hands_over(successor, &mut net), Some(true));
        net.run(ms(2000));
        let leader = net.elect();
        let read = net.read(leader);
        net.commit_one();
        assert!(net.answered.contains(&read));
    }

    catch_up_by_a_snapshot_whose_transfer_is_interrupted => {
        let mut net = Net::open(8, 3, tune);
        let leader = net.elect();
        let follower = leader % 3 + 1;
        net.crash(follower);
        for _ in 0..20 {
            net.commit_one();
        }
        net.take_snapshot(leader);
        net.start(follower);
        let chunks = |net: &Net| net.sent.get("chunk").copied().unwrap_or_default();
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
        assert_eq!(net.hosts[&follower].applied, net.truth.len() as u64);
        assert!(net.node(follower).status().commit > 20);
    }

    learners_count_for_no_quorum => {
        let mut net = Net::open(9, 2, plain);
        let leader = net.elect();
        net.add(10, PersistentState::joining());
        net.add(11, PersistentState::joining());
        change(&mut net, MembershipChange::AddLearner(10));
        change(&mut net, MembershipChange::AddLearner(11));
        net.run(ms(1000));
        net.crash(3 - leader);
        let committed = net.truth.len();
        net.propose(leader);
        net.run(ms(500));
        assert_eq!(net.truth.len(), committed, "learners' copies don't commit");
        net.run(ms(10_000));
        assert_eq!(net.leader(), None, "learners' votes and answers keep no leader");
    }

    a_learner_is_promoted_only_once_it_has_synced_what_was_committed => {
        let mut net = Net::open(10, 3, plain);
        let leader = net.elect();
        net.add(13, PersistentState::joining());
        net.set_cut(13, false);
        change(&mut net, MembershipChange::AddLearner(13));
        let promote = |net: &mut Net| {
            net.with(leader, |node, now| node.propose_membership(now, MembershipChange::Promote(13)))
        };
        assert!(matches!(promote(&mut net), Some(Err(MembershipError::NotCaughtUp { .. }))));
        net.cut.clear();
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
        let mut net = Net::open(11, 3, plain);
        let leader = net.elect();
        net.commit_one();
        let broken = leader % 3 + 1;
        net.lose(broken);
        net.start(broken);
        net.run(ms(3000));
        assert!(!net.node(broken).status().complete);
        net.crash(leader);
        let leaders = net.leaders.clone();
        net.run(ms(10_000));
        assert_eq!(net.leaders, leaders, "the broken voter's vote would make a quorum");
    }
}
