//! Measures the replicated log: commits, elections, propagation of changes, and recovery.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hinge_config::effective::Effective;
use hinge_control::{Control, Dial};
use hinge_link::Client;
use hinge_schema::messages::{ClaimBatchReply, Update, Watch};
use tokio::task::JoinSet;

use crate::fleet::{
    Cut, Fleet, TEAMS, WAIT, claims, folder, free_addresses, key, median, open, open_with, settings,
};

/// Measures commits per second by the number of concurrent callers, with one claim per call.
pub async fn commits() {
    println!("callers commits_per_second ms_per_commit");
    for callers in [1_u64, 8, 32, 128, 512] {
        let fleet = Fleet::start(3).await;
        let address = fleet.addresses[fleet.leader().await].clone();
        let client = Client::new(key());
        let done = Arc::new(AtomicU64::new(0));
        let began = Instant::now();
        let mut tasks = JoinSet::new();
        for caller in 0..callers {
            let (client, address, done) = (client.clone(), address.clone(), Arc::clone(&done));
            tasks.spawn(async move {
                let mut number = caller << 32;
                while began.elapsed() < Duration::from_secs(5) {
                    number += 1;
                    let batch = claims(1, number);
                    let reply: ClaimBatchReply = client
                        .call(&address, "/v1/claims", &batch, WAIT)
                        .await
                        .expect("the leader answers");
                    done.fetch_add(reply.replies.len() as u64, Ordering::Relaxed);
                }
            });
        }
        while tasks.join_next().await.is_some() {}
        let seconds = began.elapsed().as_secs_f64();
        let count = u32::try_from(done.load(Ordering::Relaxed)).expect("few commits");
        let rate = f64::from(count) / seconds;
        let each = 1000.0 * f64::from(u32::try_from(callers).expect("few callers")) / rate;
        println!("{callers} {rate:.0} {each:.2}");
        fleet.stop().await;
    }
}

/// Measures the time until another instance leads, after a clean stop and after the leader falls silent.
pub async fn election() {
    let mut planned = Vec::new();
    for _ in 0..10 {
        let mut fleet = Fleet::start(3).await;
        let leader = fleet.leader().await;
        let control = fleet.running[leader].take().expect("the instance runs");
        let began = Instant::now();
        let stopping = tokio::spawn(control.stop(Duration::from_secs(10)));
        fleet.leader().await;
        planned.push(began.elapsed());
        stopping.await.expect("the stop ends");
    }
    let (middle, longest) = median(planned);
    println!("planned stop: median {middle:?}, longest {longest:?} of 10");
    let mut silent = Vec::new();
    for _ in 0..20 {
        silent.push(measure_failover().await);
    }
    let (middle, longest) = median(silent);
    println!("leader that falls silent: median {middle:?}, longest {longest:?} of 20");
}

/// Returns the time from a leader's last message until another instance leads.
async fn measure_failover() -> Duration {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let addresses = free_addresses(3).await;
    let cuts: [Arc<Cut>; 3] = Default::default();
    let mut running = Vec::new();
    for (index, cut) in cuts.iter().enumerate() {
        let dial: Arc<dyn Dial> = Arc::<Cut>::clone(cut);
        let settings = settings(folder.path(), &addresses, index);
        running.push(Some(open_with(settings, dial).await));
    }
    let fleet = Fleet {
        folder,
        addresses,
        running,
    };
    let leader = fleet.leader().await;
    // Wait until the followers know the leader; otherwise there is none to lose.
    while !fleet.running.iter().flatten().all(Control::is_ready) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    cuts[leader].0.store(true, Ordering::Relaxed);
    let began = Instant::now();
    while fleet.leader().await == leader {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    began.elapsed()
}

/// Measures the time from an operator's call until the last of N watchers has received the change.
///
/// All watchers share this machine's cores here, unlike in production, so the cost of the merge at one watcher is
/// measured separately.
pub async fn in_force() {
    let files = folder(10);
    let began = Instant::now();
    for _ in 0..20 {
        assert!(Effective::merge(&files).is_ok(), "the folder is valid");
    }
    println!("merge at one watcher: {:?}", began.elapsed() / 20);
    println!("watchers median_ms longest_ms (of 20 changes, folder of {TEAMS} teams)");
    for watchers in [50_usize, 100, 200, 400] {
        let fleet = Fleet::start(3).await;
        fleet.apply(0, folder(10)).await;
        let mut held_versions = Vec::new();
        let mut tasks = JoinSet::new();
        for watcher in 0..watchers {
            let held = Arc::new(AtomicU64::new(0));
            held_versions.push(Arc::clone(&held));
            let address = fleet.addresses[watcher % 3].clone();
            tasks.spawn(follow(address, held, watcher));
        }
        let mut times = Vec::new();
        for version in 1..=21_u64 {
            let all_have = |version| {
                held_versions
                    .iter()
                    .all(|held| held.load(Ordering::Relaxed) >= version)
            };
            while !all_have(version) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let began = Instant::now();
            let one_file = folder(10 + version).into_iter().take(1).collect();
            fleet.apply(version, one_file).await;
            while !all_have(version + 1) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            times.push(began.elapsed());
        }
        times.remove(0);
        let (middle, longest) = median(times);
        println!(
            "{watchers} {:.1} {:.1}",
            middle.as_secs_f64() * 1e3,
            longest.as_secs_f64() * 1e3
        );
    }
}

async fn follow(address: Box<str>, held: Arc<AtomicU64>, watcher: usize) {
    // In production each watcher is a process of its own, so it gets its own connection here.
    let client = Client::new(key());
    let mut watch = Watch {
        instance: format!("watcher-{watcher}").into(),
        config_version: 0,
        members_epoch: u64::MAX,
        members_version: 0,
        wait_ms: 30_000,
        pools: Vec::new(),
    };
    loop {
        let asked: Result<Update, _> = client.call(&address, "/v1/watch", &watch, WAIT).await;
        if let Some(delta) = asked.ok().and_then(|update| update.config) {
            watch.config_version = delta.version;
            held.store(delta.version, Ordering::Relaxed);
        }
    }
}

/// Measures the time to open a single instance until it leads, by the number of changes, with and without snapshots.
pub async fn recovery() {
    println!("changes snapshot_every ms_to_open ms_until_leading_and_applied");
    for (changes, every) in [
        (1000_u64, 250),
        (100, 1_000_000),
        (1000, 1_000_000),
        (3000, 1_000_000),
    ] {
        let mut fleet = Fleet::start(1).await;
        let mut options = settings(fleet.folder.path(), &fleet.addresses, 0);
        options.snapshot_every_entries = every;
        options.max_log_bytes = usize::MAX;
        let first = fleet.running[0].take().expect("the instance runs");
        first.stop(Duration::from_secs(5)).await;
        fleet.running[0] = Some(open(options.clone()).await);
        for number in 0..changes {
            let put = if number == 0 {
                folder(10)
            } else {
                folder(10 + number).into_iter().take(1).collect()
            };
            fleet.apply(number, put).await;
        }
        let control = fleet.running[0].take().expect("the instance runs");
        control.stop(Duration::from_secs(5)).await;
        let began = Instant::now();
        fleet.running[0] = Some(open(options).await);
        let opened = began.elapsed();
        loop {
            fleet.leader().await;
            let control = fleet.running[0].as_ref().expect("the instance runs");
            if control.config_version() == changes {
                break;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        println!(
            "{changes} {every} {:.0} {:.0}",
            opened.as_secs_f64() * 1e3,
            began.elapsed().as_secs_f64() * 1e3
        );
    }
}
