//! Measures the cost of members at control, and how long a change takes to be in force at all of them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use futures::future::{join_all, try_join_all};
use hinge_capacity::config_files;
use hinge_capacity::fit::median;
use hinge_capacity::fleet::{Fleet, Process, measure_rates, measure_rates_during};
use hinge_capacity::reading::Rates;
use hinge_link::{Client, ClusterKey};
use hinge_member::Member;
use hinge_schema::messages::{Announce, Role};
use tokio::runtime::Runtime;

use crate::table::{KB, Table};
use crate::{SETTLE, WINDOW};

pub const MEMBERS: [u32; 3] = [50, 100, 200];

/// Few teams, so that the time of a change is dominated by its distribution: all members merge it on this one machine.
pub const TEAMS: u32 = 50;

/// One member in this many is an entry, as at the target size with 370 entries and 1,600 sidecars.
const MEMBERS_PER_ENTRY: u32 = 5;

const CHANGES: u32 = 7;

/// Timeout for a change to be in force at all members.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Members that run in this process; their tasks end when it is dropped.
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

struct MeasuredFleet {
    fleet: Fleet,
    control: Vec<Process>,
    entry: Process,
    watchers: Watchers,
    version: u64,
}

pub async fn measure() -> Result<()> {
    for instances in [1, 3] {
        let fleets = try_join_all(MEMBERS.map(|members| start_fleet(instances, members))).await?;
        let idle_rates = try_join_all(fleets.iter().map(measure_idle)).await?;
        let title = format!("{instances} control instance(s), by members; all instances together");
        let mut table = Table::new(title, "members");
        let mut at_entry = Table::new("entry that lists the members, by members", "members");
        for ((members, measured), idle_rates) in MEMBERS.iter().zip(&fleets).zip(&idle_rates) {
            let control = &idle_rates[1..];
            let sum = |value: fn(&Rates) -> f64| control.iter().map(value).sum::<f64>();
            let largest = control.iter().map(|rates| rates.anonymous_bytes / 1e6);
            let processes: Vec<_> = measured.control.iter().collect();
            let changed = measure_changes(
                &measured.fleet,
                &measured.watchers,
                measured.version,
                &processes,
            )
            .await?;
            table.add(
                *members,
                vec![
                    ("core %", sum(|rates| rates.core_fraction * 100.0)),
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
                    ("own MB", idle_rates[0].anonymous_bytes / 1e6),
                    ("control KB/s", idle_rates[0].control_bytes / KB),
                ],
            );
        }
        table.print();
        at_entry.print();
    }
    Ok(())
}

async fn start_fleet(instances: usize, members: u32) -> Result<MeasuredFleet> {
    let fleet = Fleet::prepare(instances)?;
    let control = fleet.start_control().await?;
    let version = fleet.apply(0, config_files::all_files(TEAMS)).await?;
    let (entry, _callers) = fleet
        .start_entry("entry-1", fleet.control_addresses())
        .await?;
    let watchers = spawn(members, &fleet.cluster_key(), fleet.control_addresses())?;
    wait_for_version(&watchers.members, version).await?;
    Ok(MeasuredFleet {
        fleet,
        control,
        entry,
        watchers,
        version,
    })
}

async fn measure_idle(measured: &MeasuredFleet) -> Result<Vec<Rates>> {
    tokio::time::sleep(SETTLE).await;
    let mut processes = vec![&measured.entry];
    processes.extend(&measured.control);
    measure_rates(&processes, WINDOW).await
}

/// Spawns members in this process, each with its own connection.
pub fn spawn(members: u32, key: &ClusterKey, upstream: &[SocketAddr]) -> Result<Watchers> {
    let upstream: Vec<Box<str>> = upstream
        .iter()
        .map(|address| address.to_string().into())
        .collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let entered = runtime.enter();
    let spawned = (0..members)
        .map(|number| Member::spawn(Client::new(key.clone()), announce(number), upstream.clone()));
    let members = spawned.collect();
    drop(entered);
    Ok(Watchers {
        members,
        runtime: Some(runtime),
    })
}

fn announce(number: u32) -> Announce {
    let role = if number.is_multiple_of(MEMBERS_PER_ENTRY) {
        Role::Entry
    } else {
        Role::Sidecar
    };
    Announce {
        instance: format!("member-{number:04}").into(),
        // The incarnation also determines which address is tried first.
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

/// Waits until each member has a version, and returns the times in milliseconds.
pub async fn wait_for_version(members: &[Member], version: u64) -> Result<Vec<f64>> {
    let started_at = Instant::now();
    let waits = members.iter().map(|member| async move {
        let mut changed = member.subscribe();
        while member.config_version() < version {
            changed.changed().await?;
        }
        anyhow::Ok(started_at.elapsed().as_secs_f64() * 1e3)
    });
    let times = tokio::time::timeout(CHANGE_TIMEOUT, join_all(waits)).await?;
    times.into_iter().collect()
}

/// Cost of one change: medians of the times over several changes, and means of the senders' bytes and processor time.
pub struct ChangeCost {
    pub p50_ms: f64,
    pub max_ms: f64,
    pub bytes: f64,
    pub processor_ms: f64,
}

/// Applies changes and measures their cost.
pub async fn measure_changes(
    fleet: &Fleet,
    watchers: &Watchers,
    mut version: u64,
    senders: &[&Process],
) -> Result<ChangeCost> {
    let changing = async {
        let (mut medians, mut largest) = (Vec::new(), Vec::new());
        for change in 1..=CHANGES {
            let file =
                config_files::team_file((change % 2) * config_files::TEAMS_PER_FILE, TEAMS, change);
            // The clock starts before the proposal, so the time includes the commit.
            let (times, applied) = tokio::join!(
                wait_for_version(&watchers.members, version + 1),
                fleet.apply(version, vec![file])
            );
            version = applied?;
            let times = times?;
            medians.push(median(&times));
            largest.push(times.iter().copied().fold(0.0, f64::max));
        }
        Ok((median(&medians), median(&largest)))
    };
    let (rates, (p50_ms, max_ms), seconds) = measure_rates_during(senders, changing).await?;
    let seconds_per_change = seconds / f64::from(CHANGES);
    let bytes: f64 = rates.iter().map(|rates| rates.class_bytes("watch")).sum();
    let core: f64 = rates.iter().map(|rates| rates.core_fraction).sum();
    Ok(ChangeCost {
        p50_ms,
        max_ms,
        bytes: bytes * seconds_per_change,
        processor_ms: core * seconds_per_change * 1e3,
    })
}
