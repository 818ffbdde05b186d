//! Measures the cost of members at a relay, and of a relay with its members at control.

use std::time::Duration;

use anyhow::Result;
use futures::future::try_join_all;
use hinge_capacity::config_files;
use hinge_capacity::fleet::{Fleet, Process, measure_rates};
use hinge_capacity::reading::Rates;

use crate::SETTLE;
use crate::members::{MEMBERS, TEAMS, Watchers, measure_changes, spawn, wait_for_version};
use crate::table::{KB, Table, common_values};

/// A relay renews the leases of its members every 5 to 6 s; this covers two renewals.
const RELAY_WINDOW: Duration = Duration::from_millis(11_500);

struct MeasuredFleet {
    fleet: Fleet,
    control: Vec<Process>,
    relay: Process,
    watchers: Watchers,
    version: u64,
}

pub async fn measure() -> Result<()> {
    let mut at_relay = Table::new("relay, by members below it", "members");
    let mut at_control = Table::new(
        "control above one relay, by members below the relay",
        "members",
    );
    let fleets = try_join_all(MEMBERS.map(start_fleet)).await?;
    let idle_rates = try_join_all(fleets.iter().map(measure_idle)).await?;
    for ((members, measured), rates) in MEMBERS.iter().zip(&fleets).zip(&idle_rates) {
        let changed = measure_changes(
            &measured.fleet,
            &measured.watchers,
            measured.version,
            &[&measured.relay],
        )
        .await?;
        let mut values = common_values(&rates[0]);
        values.extend([
            ("change: KB", changed.bytes / KB),
            ("change: p50 ms", changed.p50_ms),
            ("change: max ms", changed.max_ms),
            ("change: processor ms", changed.processor_ms),
        ]);
        at_relay.add(*members, values);
        at_control.add(*members, common_values(&rates[1]));
    }
    at_relay.print();
    at_control.print();
    Ok(())
}

async fn start_fleet(members: u32) -> Result<MeasuredFleet> {
    let fleet = Fleet::prepare(1)?;
    let control = fleet.start_control().await?;
    let version = fleet.apply(0, config_files::all_files(TEAMS)).await?;
    let (relay, below) = fleet.start_relay("relay-1").await?;
    let watchers = spawn(members, &fleet.cluster_key(), &[below])?;
    wait_for_version(&watchers.members, version).await?;
    Ok(MeasuredFleet {
        fleet,
        control,
        relay,
        watchers,
        version,
    })
}

async fn measure_idle(measured: &MeasuredFleet) -> Result<Vec<Rates>> {
    tokio::time::sleep(SETTLE).await;
    measure_rates(&[&measured.relay, &measured.control[0]], RELAY_WINDOW).await
}
