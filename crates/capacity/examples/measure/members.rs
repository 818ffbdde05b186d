//! Measures what members cost control, and how long a change takes to be in force at all of them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use futures::future::{join_all, try_join_all};
use hinge_capacity::fit::median;
use hinge_capacity::fleet::{Fleet, Process, rates_during, rates_of};
use hinge_capacity::folder;
use hinge_capacity::reading::Rates;
use hinge_link::{Client, ClusterKey};
use hinge_member::Member;
use hinge_schema::messages::{Announce, Role};
use tokio::runtime::Runtime;

use crate::table::{KB, Table};
use crate::{SETTLE, WINDOW};

pub const MEMBERS: [u32; 3] = [50, 100, 200];

/// Few, so that the time of a change is that of the way: all members merge it on this one machine.
pub const TEAMS: u32 = 50;

/// One member in so many is an entry, as at the target: 370 entries beside 1,600 sidecars.
const ENTRY_EACH: u32 = 5;

const CHANGES: u32 = 7;

/// Longest wait for a change at all members.
const LONGEST: Duration = Duration::from_secs(20);

/// Holds members of this process; their tasks end with it.
pub struct Watchers {
    pub members: Vec<Member>,
    runtime: Option<Runtime>,
}

impl Drop for Watchers {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

struct Point {
    fleet: Fleet,
    control: Vec<Process>,
    entry: Process,
    watchers: Watchers,
    version: u64,
}

pub async fn measure() -> Result<()> {
    for instances in [1, 3] {
        let points = try_join_all(MEMBERS.map(|members| open(instances, members))).await?;
        let quiet = try_join_all(points.iter().map(quiet)).await?;
        let title = format!("{instances} control instance(s), by members; all instances together");
        let mut table = Table::new(title, "members");
        let mut at_entry = Table::new("entry that lists the members, by members", "members");
        for ((members, point), quiet) in MEMBERS.iter().zip(&points).zip(&quiet) {
            let control = &quiet[1..];
            let sum = |value: fn(&Rates) -> f64| control.iter().map(value).sum::<f64>();
            let largest = control.iter().map(|rates| rates.own_bytes / 1e6);
            let processes: Vec<_> = point.control.iter().collect();
            let changed = changes(&point.fleet, &point.watchers, point.version, &processes).await?;
            table.add(
                *members,
                vec![
                    ("core %", sum(|rates| rates.core * 100.0)),
                    ("largest own MB", largest.fold(0.0, f64::max)),
                    ("control KB/s", sum(|rates| rates.control_bytes) / KB),
                    ("messages/s", sum(|rates| rates.control_messages)),
                    ("change: KB", changed.bytes / KB),
                    ("change: p50 ms", changed.p50_ms),
                    ("change: max ms", changed.max_ms),
                    ("change: processor ms", changed.processor_ms),
                ],
            );
            at_entry.add(
                *members,
                vec![
                    ("own MB", quiet[0].own_bytes / 1e6),
                    ("control KB/s", quiet[0].control_bytes / KB),
                ],
            );
        }
        table.print();
        at_entry.print();
    }
    Ok(())
}

async fn open(instances: usize, members: u32) -> Result<Point> {
    let fleet = Fleet::open(instances)?;
    let control = fleet.start_control().await?;
    let version = fleet.apply(0, folder::files(TEAMS)).await?;
    let (entry, _callers) = fleet.start_entry("entry-1", fleet.control()).await?;
    let watchers = spawn(members, &fleet.key(), fleet.control())?;
    until(&watchers.members, version).await?;
    Ok(Point {
        fleet,
        control,
        entry,
        watchers,
        version,
    })
}

async fn quiet(point: &Point) -> Result<Vec<Rates>> {
    tokio::time::sleep(SETTLE).await;
    let mut processes = vec![&point.entry];
    processes.extend(&point.control);
    rates_of(&processes, WINDOW).await
}

/// Spawns members in this process, each with a connection of its own.
pub fn spawn(members: u32, key: &ClusterKey, above: &[SocketAddr]) -> Result<Watchers> {
    let above: Vec<Box<str>> = above
        .iter()
        .map(|address| address.to_string().into())
        .collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let entered = runtime.enter();
    let spawned = (0..members)
        .map(|number| Member::spawn(Client::new(key.clone()), announce(number), above.clone()));
    let members = spawned.collect();
    drop(entered);
    Ok(Watchers {
        members,
        runtime: Some(runtime),
    })
}

fn announce(number: u32) -> Announce {
    let role = if number.is_multiple_of(ENTRY_EACH) {
        Role::Entry
    } else {
        Role::Sidecar
    };
    Announce {
        instance: format!("member-{number:04}").into(),
        // The incarnation also says which address is tried first.
        incarnation: 1_000_000 + u64::from(number),
        role,
        data_center: "hall-a".into(),
        peer_address: format!("127.0.0.1:{}", 10_000 + number).into(),
        pool: format!("model-{}", number % 8).into(),
        slots: 16,
        kv_tokens: 100_000,
        model_version: "v1".into(),
        config_version: 0,
        highest_fence: 0,
        leaving: false,
        running: None,
        ejected: None,
        lease_ms: 5_000,
    }
}

/// Waits until each member holds a version, and returns the times, in milliseconds.
pub async fn until(members: &[Member], version: u64) -> Result<Vec<f64>> {
    let began = Instant::now();
    let waits = members.iter().map(|member| async move {
        let mut changed = member.subscribe();
        while member.config_version() < version {
            changed.changed().await?;
        }
        anyhow::Ok(began.elapsed().as_secs_f64() * 1e3)
    });
    let times = tokio::time::timeout(LONGEST, join_all(waits)).await?;
    times.into_iter().collect()
}

/// Holds the medians over several changes; bytes and processor time are those of the senders, for one change.
pub struct Changed {
    pub p50_ms: f64,
    pub max_ms: f64,
    pub bytes: f64,
    pub processor_ms: f64,
}

/// Makes changes and measures them.
pub async fn changes(
    fleet: &Fleet,
    watchers: &Watchers,
    mut version: u64,
    senders: &[&Process],
) -> Result<Changed> {
    let changing = async {
        let (mut halves, mut largest) = (Vec::new(), Vec::new());
        for change in 1..=CHANGES {
            let file = folder::team_file((change % 2) * folder::TEAMS_PER_FILE, TEAMS, change);
            // The clock starts before the proposal, so the time holds the commit as well.
            let (times, applied) = tokio::join!(
                until(&watchers.members, version + 1),
                fleet.apply(version, vec![file])
            );
            version = applied?;
            let times = times?;
            halves.push(median(&times));
            largest.push(times.iter().copied().fold(0.0, f64::max));
        }
        Ok((median(&halves), median(&largest)))
    };
    let (rates, (p50_ms, max_ms), seconds) = rates_during(senders, changing).await?;
    let each = seconds / f64::from(CHANGES);
    let bytes: f64 = rates.iter().map(|rates| rates.class_bytes("watch")).sum();
    let core: f64 = rates.iter().map(|rates| rates.core).sum();
    Ok(Changed {
        p50_ms,
        max_ms,
        bytes: bytes * each,
        processor_ms: core * each * 1e3,
    })
}
