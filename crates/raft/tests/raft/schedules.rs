//! Runs thousands of seeded schedules of faults; the network checks the invariants after every event.

use crate::net::{Net, ms};
use hinge_cases::cases;
use hinge_raft::{Config, MembershipChange, NodeId, PersistentState};
use rand::RngExt;

/// Schedules in each case; all cases together run in under 20 s without optimisation.
const SEEDS: u64 = 250;
const ACTIONS: u32 = 30;

fn tune(config: &mut Config) {
    config.max_batch_bytes = 256;
    config.max_inflight_batches = 3;
    config.snapshot_chunk_bytes = 100;
    config.keep_entries = 3;
}

/// A voter that lost its disk, and the incarnation that takes its place.
#[derive(Clone, Copy)]
struct Loss {
    old: NodeId,
    new: NodeId,
    promote_first: bool,
}

fn pick(net: &mut Net) -> NodeId {
    let ids: Vec<NodeId> = net
        .hosts
        .keys()
        .copied()
        .filter(|id| !net.lost.contains(id))
        .collect();
    ids[net.rng.random_range(0..ids.len())]
}

fn restart_all(net: &mut Net) {
    let down: Vec<NodeId> = net
        .hosts
        .keys()
        .copied()
        .filter(|id| !net.is_up(*id) && !net.lost.contains(id))
        .collect();
    for id in down {
        net.start(id);
    }
}

/// Loses a voter's disk; the next voter is only lost once this one is replaced.
fn lose_one(net: &mut Net, loss: &mut Option<Loss>) {
    if loss.is_some_and(|loss| !net.is_repaired(loss.old, loss.new)) {
        return;
    }
    let Some(leader) = net.leader() else { return };
    let voters = net.node(leader).membership().voters.clone();
    let old = voters[net.rng.random_range(0..voters.len())];
    // With a change of the membership on its way, the quorum that is needed may include the lost voter.
    let membership = net.node(leader).membership();
    let is_settled = |id: &NodeId| net.is_up(*id) && net.node(*id).membership() == membership;
    if voters.len() < 3 || !voters.iter().all(is_settled) {
        return;
    }
    let new = net.hosts.keys().max().expect("some") + 10;
    let promote_first = net.rng.random();
    net.lose(old);
    net.add(new, PersistentState::joining());
    *loss = Some(Loss {
        old,
        new,
        promote_first,
    });
}

fn act(net: &mut Net, loss: &mut Option<Loss>) {
    let id = pick(net);
    match net.rng.random_range(0..17) {
        0 | 1 if net.is_up(id) => net.crash(id),
        0..=2 => restart_all(net),
        3 => net.set_cut(id, true),
        4 => net.set_cut(id, false),
        5 => {
            let other = pick(net);
            net.cut.insert((id, other));
            net.cut.insert((other, id));
        }
        6 => net.cut.clear(),
        7 => net.drop_rate = [0.0, 0.05, 0.3][net.rng.random_range(0..3)],
        8 => net.delay_ms = [1..5, 1..60, 100..700][net.rng.random_range(0..3)].clone(),
        9 => net.sync_ms = [1..5, 1..80][net.rng.random_range(0..2)].clone(),
        10 if net.is_up(id) => net.take_snapshot(id),
        11 | 15 => lose_one(net, loss),
        12 => {
            if let Some(leader) = net.leader() {
                net.with(leader, |node, now| {
                    node.transfer_leadership(now, id).is_ok()
                });
            }
        }
        13 => {
            if let Some(leader) = net.leader().filter(|leader| net.is_up(*leader)) {
                net.take_snapshot(leader);
            }
        }
        14 if loss.is_none() && net.hosts.len() > 3 => {
            // Takes a voter out and, with the next draws, in again as a learner and a voter.
            if let Some(leader) = net.leader() {
                let membership = net.node(leader).membership().clone();
                let change = match membership.learners.first() {
                    Some(learner) => MembershipChange::Promote(*learner),
                    None if membership.contains(id) => MembershipChange::Remove(id),
                    None => MembershipChange::AddLearner(id),
                };
                net.with(leader, |node, now| {
                    node.propose_membership(now, change).is_ok()
                });
            }
        }
        _ => net.duplicate_rate = 0.2,
    }
}

/// Proposes, reads and repairs wherever a node believes that it leads.
fn serve(net: &mut Net, loss: Option<Loss>) {
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
    if let Some(loss) = loss {
        net.repair(loss.old, loss.new, loss.promote_first);
    }
}

fn schedule(seed: u64, voters: u64) {
    let mut net = Net::open(seed, voters, tune);
    let mut loss = None;
    net.run(ms(1500));
    for _ in 0..ACTIONS {
        act(&mut net, &mut loss);
        for _ in 0..net.rng.random_range(1..5) {
            serve(&mut net, loss);
            let pause = net.rng.random_range(10..120);
            net.run(ms(pause));
        }
    }
    // Once the faults end, everything accepted is there and work goes on.
    net.cut.clear();
    (net.drop_rate, net.duplicate_rate, net.delay_ms, net.sync_ms) = (0.0, 0.0, 1..5, 1..5);
    restart_all(&mut net);
    net.run(ms(3000));
    if let Some(loss) = loss {
        net.run_until("the repair", ms(40_000), |net| {
            net.repair(loss.old, loss.new, loss.promote_first);
            net.is_repaired(loss.old, loss.new)
        });
    }
    net.commit_one();
    let leader = net.elect();
    net.run(ms(1000));
    let read = net.read(leader);
    net.run(ms(1000));
    assert!(net.answered.contains(&read), "a healthy leader answers");
    let members = net.node(leader).membership().clone();
    for id in members.voters.iter().chain(&members.learners) {
        assert_eq!(
            net.hosts[id].applied,
            net.truth.len() as u64,
            "{id} has everything"
        );
    }
}

fn wide_margin(config: &mut Config) {
    config.clock_drift_margin = ms(400);
}

/// Cuts single links for about a lease each, so that candidates meet voters whose leader's lease still runs.
fn lease_schedule(seed: u64, voters: u64) {
    let mut net = Net::open(seed, voters, wide_margin);
    net.delay_ms = [1..5, 1..150][usize::from(seed.is_multiple_of(2))].clone();
    for _ in 0..ACTIONS {
        let (id, other) = (pick(&mut net), pick(&mut net));
        match net.rng.random_range(0..8) {
            0..=2 => net.set_cut(id, !seed.is_multiple_of(3)),
            3 | 4 => net.cut.extend([(id, other), (other, id)]),
            5 => net.cut.clear(),
            6 => {
                net.crash(id);
                net.start(id);
            }
            _ => {
                if let Some(leader) = net.leader() {
                    net.with(leader, |node, now| {
                        node.transfer_leadership(now, id).is_ok()
                    });
                }
            }
        }
        for _ in 0..net.rng.random_range(1..12) {
            // Mostly idle, so that a candidate that was cut off lacks nothing and could win.
            if net.rng.random_bool(0.1) {
                serve(&mut net, None);
            }
            if let Some(leader) = net.leader() {
                net.read(leader);
            }
            net.run(ms(100));
        }
        net.cut
            .retain(|(from, to)| (from + to + seed).is_multiple_of(2));
    }
    net.cut.clear();
    net.elect();
}

fn run_seeds(first_seed: u64, voters: u64, schedule: fn(u64, u64)) {
    for seed in first_seed..first_seed + SEEDS {
        let run = std::panic::catch_unwind(|| schedule(seed, voters));
        assert!(run.is_ok(), "seed {seed} with {voters} voters failed");
    }
}

fn schedules((first_seed, voters): (u64, u64)) {
    run_seeds(first_seed, voters, schedule);
}

fn lease_schedules((first_seed, voters): (u64, u64)) {
    run_seeds(first_seed, voters, lease_schedule);
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
