//! Measures the memory of a process as its state grows.

use std::time::{Duration, Instant};

use hinge_link::Client;
use hinge_schema::messages::{Announced, ClaimBatchReply, Update, Watch};
use tokio::task::JoinSet;

use crate::fleet::{Fleet, WAIT, announce, claims, folder, key};

fn print_resident_memory(what: &str) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let lines = status.lines();
    let wanted = lines.filter(|line| line.starts_with("VmRSS") || line.starts_with("VmHWM"));
    println!("{what}: {}", wanted.collect::<Vec<_>>().join(", "));
}

/// Prints the resident memory of a process with one instance as state is added.
pub async fn memory() {
    print_resident_memory("before");
    let fleet = Fleet::start(1).await;
    print_resident_memory("one instance, no state");
    fleet.apply(0, folder(10)).await;
    print_resident_memory("and a folder of 1,500 teams");
    let client = Client::new(key());
    for member in 0..2000 {
        let announcement = announce(format!("sidecar-{member:04}"));
        let _: Announced = client
            .call(&fleet.addresses[0], "/v1/announce", &announcement, WAIT)
            .await
            .expect("an answer");
    }
    print_resident_memory("and 2,000 members");
    for batch in 0..100 {
        let _: ClaimBatchReply = client
            .call(
                &fleet.addresses[0],
                "/v1/claims",
                &claims(500, batch * 500),
                WAIT,
            )
            .await
            .expect("an answer");
    }
    print_resident_memory("and 50,000 keys");
    for number in 1..=2500 {
        let one_file = folder(20 + number).into_iter().take(1).collect();
        fleet.apply(number, one_file).await;
    }
    print_resident_memory("and a day of 2,500 changes");
    let began = Instant::now();
    let watchers = 400;
    let mut tasks = JoinSet::new();
    for watcher in 0..watchers {
        let watch = Watch {
            instance: format!("watcher-{watcher}").into(),
            config_version: u64::MAX,
            members_epoch: u64::MAX,
            members_version: 0,
            wait_ms: 5_000,
            pools: Vec::new(),
        };
        let (client, address) = (client.clone(), fleet.addresses[0].clone());
        tasks.spawn(async move {
            let _: Result<Update, _> = client.call(&address, "/v1/watch", &watch, WAIT).await;
        });
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    print_resident_memory("and 400 open watches over one connection");
    while tasks.join_next().await.is_some() {}
    assert!(began.elapsed() < WAIT, "the watches end");
}
