//! Runs thousands of seeded fault schedules; the simulation checks the invariants after every event.

use crate::simulation::{SimulatedNetwork, ms};
use hinge_cases::cases;
use hinge_raft::{Config, MembershipChange, NodeId, PersistentState};
use rand::RngExt;

/// Schedules per case; all cases together run in under 20 s without optimisation.
const SEEDS: u64 = 250;
const ACTIONS: u32 = 30;

fn small_limits(config: &mut Config) {
    config.max_batch_bytes = 256;
    config.max_inflight_batches = 3;
    config.snapshot_chunk_bytes = 100;
    config.keep_entries = 3;
}

/// The replacement of a voter that lost its disk by a new incarnation.
#[derive(Clone, Copy)]
struct Replacement {
    old: NodeId,
    new: NodeId,
    promote_first: bool,
}

fn random_node(net: &mut SimulatedNetwork) -> NodeId {
    let ids: Vec<NodeId> = net
        .hosts
        .keys()
        .copied()
        .filter(|id| !net.destroyed.contains(id))
        .collect();
    ids[net.rng.random_range(0..ids.len())]
}

fn restart_crashed(net: &mut SimulatedNetwork) {
    let down: Vec<NodeId> = net
        .hosts
        .keys()
        .copied()
        .filter(|id| !net.is_up(*id) && !net.destroyed.contains(id))
        .collect();
    for id in down {
        net.start(id);
    }
}

/// Destroys a voter with its disk, unless the replacement of an earlier one is still unfinished.
fn destroy_one_voter(net: &mut SimulatedNetwork, replacement: &mut Option<Replacement>) {
    if replacement.is_some_and(|replacement| !net.is_replaced(replacement.old, replacement.new)) {
        return;
    }
    let Some(leader) = net.leader() else { return };
    let voters = net.node(leader).membership().voters.clone();
    let old = voters[net.rng.random_range(0..voters.len())];
    // While a membership change is in progress, the quorum may need the lost voter.
    let membership = net.node(leader).membership();
    let is_settled = |id: &NodeId| net.is_up(*id) && net.node(*id).membership() == membership;
    if voters.len() < 3 || !voters.iter().all(is_settled) {
        return;
    }
    let new = net.hosts.keys().max().expect("there are hosts") + 10;
    let promote_first = net.rng.random();
    net.destroy(old);
    net.add(new, PersistentState::joining());
    *replacement = Some(Replacement {
        old,
        new,
        promote_first,
    });
}

fn inject_fault(net: &mut SimulatedNetwork, replacement: &mut Option<Replacement>) {
    let id = random_node(net);
    match net.rng.random_range(0..17) {
        0 | 1 if net.is_up(id) => net.crash(id),
        0..=2 => restart_crashed(net),
        3 => net.isolate(id, true),
        4 => net.isolate(id, false),
        5 => {
            let other = random_node(net);
            net.blocked_links.insert((id, other));
            net.blocked_links.insert((other, id));
        }
        6 => net.blocked_links.clear(),
        7 => net.drop_rate = [0.0, 0.05, 0.3][net.rng.random_range(0..3)],
        8 => net.delay_ms = [1..5, 1..60, 100..700][net.rng.random_range(0..3)].clone(),
        9 => net.sync_ms = [1..5, 1..80][net.rng.random_range(0..2)].clone(),
        10 if net.is_up(id) => net.take_snapshot(id),
        11 | 15 => destroy_one_voter(net, replacement),
        12 => {
            if let Some(leader) = net.leader() {
                net.drive(leader, |node, now| {
                    node.transfer_leadership(now, id).is_ok()
                });
            }
        }
        13 => {
            if let Some(leader) = net.leader().filter(|leader| net.is_up(*leader)) {
                net.take_snapshot(leader);
            }
        }
        14 if replacement.is_none() && net.hosts.len() > 3 => {
            // Removes a voter and, in later draws, adds it again as a learner and promotes it.
            if let Some(leader) = net.leader() {
                let membership = net.node(leader).membership().clone();
                let change = match membership.learners.first() {
                    Some(learner) => MembershipChange::Promote(*learner),
                    None if membership.contains(id) => MembershipChange::Remove(id),
                    None => MembershipChange::AddLearner(id),
                };
                net.drive(leader, |node, now| {
                    node.propose_membership(now, change).is_ok()
                });
            }
        }
        _ => net.duplicate_rate = 0.2,
    }
}

/// Proposes and reads on every node that believes it is the leader, and advances a replacement.
fn apply_load(net: &mut SimulatedNetwork, replacement: Option<Replacement>) {
    let ids: Vec<NodeId> = net
        .hosts
        .keys()
        .copied()
        .filter(|id| net.is_up(*id))
        .collect();
    for id in ids {
        if net.node(id).role() == hinge_raft::Role::Leader {
            for _ in 0..net.rng.random_range(0..6) {
                net.propose(id);
            }
            net.read(id);
        }
    }
    if let Some(replacement) = replacement {
        net.advance_replacement(replacement.old, replacement.new, replacement.promote_first);
    }
}

fn run_fault_schedule(seed: u64, voters: u64) {
    let mut net = SimulatedNetwork::open(seed, voters, small_limits);
    let mut replacement = None;
    net.run(ms(1500));
    for _ in 0..ACTIONS {
        inject_fault(&mut net, &mut replacement);
        for _ in 0..net.rng.random_range(1..5) {
            apply_load(&mut net, replacement);
            let pause = net.rng.random_range(10..120);
            net.run(ms(pause));
        }
    }
    // Once the faults end, all members catch up and the cluster serves requests.
    net.blocked_links.clear();
    (net.drop_rate, net.duplicate_rate, net.delay_ms, net.sync_ms) = (0.0, 0.0, 1..5, 1..5);
    restart_crashed(&mut net);
    net.run(ms(3000));
    if let Some(replacement) = replacement {
        net.run_until("the replacement of the lost voter", ms(40_000), |net| {
            net.advance_replacement(replacement.old, replacement.new, replacement.promote_first);
            net.is_replaced(replacement.old, replacement.new)
        });
    }
    net.commit_one();
    let leader = net.wait_for_leader();
    net.run(ms(1000));
    let read = net.read(leader);
    net.run(ms(1000));
    assert!(
        net.answered_reads.contains(&read),
        "a healthy leader answers reads"
    );
    let members = net.node(leader).membership().clone();
    for id in members.voters.iter().chain(&members.learners) {
        assert_eq!(
            net.hosts[id].applied,
            net.committed_log.len() as u64,
            "{id} has not applied all committed entries"
        );
    }
}

fn wide_margin(config: &mut Config) {
    config.clock_drift_margin = ms(400);
}

/// Blocks single links for about one lease each, so that candidates ask voters whose leader's lease has not expired.
fn run_lease_schedule(seed: u64, voters: u64) {
    let mut net = SimulatedNetwork::open(seed, voters, wide_margin);
    net.delay_ms = [1..5, 1..150][usize::from(seed.is_multiple_of(2))].clone();
    for _ in 0..ACTIONS {
        let (id, other) = (random_node(&mut net), random_node(&mut net));
        match net.rng.random_range(0..8) {
            0..=2 => net.isolate(id, !seed.is_multiple_of(3)),
            3 | 4 => net.blocked_links.extend([(id, other), (other, id)]),
            5 => net.blocked_links.clear(),
            6 => {
                net.crash(id);
                net.start(id);
            }
            _ => {
                if let Some(leader) = net.leader() {
                    net.drive(leader, |node, now| {
                        node.transfer_leadership(now, id).is_ok()
                    });
                }
            }
        }
        for _ in 0..net.rng.random_range(1..12) {
            // Mostly idle, so that the log of an isolated candidate is up-to-date and it could win.
            if net.rng.random_bool(0.1) {
                apply_load(&mut net, None);
            }
            if let Some(leader) = net.leader() {
                net.read(leader);
            }
            net.run(ms(100));
        }
        net.blocked_links
            .retain(|(from, to)| (from + to + seed).is_multiple_of(2));
    }
    net.blocked_links.clear();
    net.wait_for_leader();
}

fn run_seeds(first_seed: u64, voters: u64, schedule: fn(u64, u64)) {
    for seed in first_seed..first_seed + SEEDS {
        let run = std::panic::catch_unwind(|| schedule(seed, voters));
        assert!(run.is_ok(), "seed {seed} with {voters} voters failed");
    }
}

fn schedules((first_seed, voters): (u64, u64)) {
    run_seeds(first_seed, voters, run_fault_schedule);
}

fn lease_schedules((first_seed, voters): (u64, u64)) {
    run_seeds(first_seed, voters, run_lease_schedule);
}

cases! {
    schedules:
    three_voters_a => (0, 3),
    three_voters_b => (10_000, 3),
    three_voters_c => (20_000, 3),
    three_voters_d => (30_000, 3),
    four_voters => (40_000, 4),
    five_voters_a => (50_000, 5),
    five_voters_b => (60_000, 5),
    five_voters_c => (70_000, 5),
}

cases! {
    lease_schedules:
    leases_of_three_a => (100_000, 3),
    leases_of_three_b => (110_000, 3),
    leases_of_five_a => (120_000, 5),
    leases_of_five_b => (130_000, 5),
}
