//! Measures failover times and message counts in virtual time, prints them and checks them against bounds.

use crate::simulation::{SimulatedNetwork, ms};
use hinge_cases::cases;
use hinge_raft::Config;

const SEEDS: u64 = 200;

fn default_config(_: &mut Config) {}

fn large_batches(config: &mut Config) {
    config.max_batch_bytes = 1024 * 1024;
}

/// Prints percentiles, over many seeds, of the time from a leader's crash to the next commit, and checks the maximum.
fn failover_time((voters, max_ms): (u64, u128)) {
    let mut times_ms = Vec::new();
    for seed in 0..SEEDS {
        let mut net = SimulatedNetwork::open(seed, voters, default_config);
        let leader = net.wait_for_leader();
        net.run(ms(1000 + seed % 200));
        net.crash(leader);
        let (began, committed) = (net.now, net.committed_log.len());
        net.run_until("a commit by the next leader", ms(20_000), |net| {
            net.committed_log.len() > committed
        });
        times_ms.push(net.now.saturating_sub(began).as_millis());
    }
    times_ms.sort_unstable();
    let percentile = |percent: usize| times_ms[(times_ms.len() - 1) * percent / 100];
    let line = [
        percentile(0),
        percentile(50),
        percentile(90),
        percentile(99),
        percentile(100),
    ];
    println!(
        "{voters} voters, crash to next commit, virtual ms: min, p50, p90, p99, max = {line:?}"
    );
    assert!(percentile(100) <= max_ms);
}

/// Prints and checks the messages per committed entry when proposals arrive `batch` at a time.
fn messages_per_commit((voters, batch, max_per_100): (u64, u64, u64)) {
    let mut net = SimulatedNetwork::open(1, voters, large_batches);
    let leader = net.wait_for_leader();
    net.run(ms(1000));
    net.sent.clear();
    let committed = net.committed_log.len();
    for _ in 0..100 {
        net.drive(leader, |node, now| {
            for _ in 0..batch {
                node.propose(now, Box::new([7; 100]))
                    .expect("the leader has room for proposals");
            }
        });
        net.run(ms(20));
    }
    net.run(ms(100));
    let commits = (net.committed_log.len() - committed) as u64;
    assert_eq!(commits, 100 * batch);
    let messages: u64 = net.sent.values().sum();
    let notices = net.sent.get("notice").copied().unwrap_or_default();
    let per_100 = (messages - notices) * 100 / commits;
    println!(
        "{voters} voters, {batch} proposals at a time: {} messages per 100 commits, {:?}",
        messages * 100 / commits,
        net.sent
    );
    assert!(
        per_100 <= max_per_100,
        "{per_100} messages per 100 commits without commit notices"
    );
    assert!(
        notices <= 100 * (voters - 1),
        "at most one commit notice per batch and follower"
    );
}

/// Prints and checks the commit notices when a proposal arrives each millisecond, before the previous one is committed.
fn notices_under_load(voters: u64) {
    let mut net = SimulatedNetwork::open(1, voters, default_config);
    let leader = net.wait_for_leader();
    net.run(ms(1000));
    net.sent.clear();
    for _ in 0..1000 {
        net.propose(leader)
            .expect("the leader has room for proposals");
        net.run(ms(1));
    }
    net.run(ms(50));
    let notices = net.sent.get("notice").copied().unwrap_or_default();
    println!(
        "{voters} voters, a proposal each ms: {notices} notices, {:?}",
        net.sent
    );
    // At the end each follower may get one notice; before that, the next append carries the commit index.
    assert!(notices < voters);
}

cases! {
    notices_under_load:
    notices_of_three_voters_under_load => 3,
    notices_of_five_voters_under_load => 5,
}

cases! {
    failover_time:
    failover_of_three_voters => (3, 6000),
    failover_of_five_voters => (5, 6000),
}

cases! {
    messages_per_commit:
    messages_of_three_voters_singly => (3, 1, 450),
    messages_of_three_voters_by_8 => (3, 8, 57),
    messages_of_three_voters_by_64 => (3, 64, 8),
    messages_of_five_voters_singly => (5, 1, 900),
    messages_of_five_voters_by_8 => (5, 8, 113),
    messages_of_five_voters_by_64 => (5, 64, 15),
}
