//! Measures the cost of reports of sums at a relay and at the root, by sidecars and by backlogged teams of each.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use futures::future::{join_all, try_join_all};
use hinge_capacity::config_files;
use hinge_capacity::fleet::{Fleet, measure_rates};
use hinge_link::{Client, ClusterKey};
use hinge_schema::messages::{ServiceReport, ServiceSum, ServiceTotals};
use tokio::task::JoinHandle;

use crate::table::{Table, common_values};
use crate::{SETTLE, WINDOW};

/// Backlogged teams of a sidecar: a tenth of 1,500 teams over 8 pools, rounded up.
const BACKLOGGED: u32 = 19;

pub async fn measure() -> Result<()> {
    for through_relay in [false, true] {
        let role = if through_relay { "relay" } else { "control" };
        let mut by_sidecars = Table::new(
            format!("{role}, by reporting sidecars of {BACKLOGGED} backlogged teams"),
            "sidecars",
        );
        let sizes = [25, 50, 100];
        let measurements = sizes.map(|sidecars| measure_fleet(through_relay, sidecars, BACKLOGGED));
        for (sidecars, values) in sizes.into_iter().zip(try_join_all(measurements).await?) {
            by_sidecars.add(sidecars, values);
        }
        by_sidecars.print();
    }
    let mut by_teams = Table::new(
        "relay, 50 reporting sidecars, by backlogged teams of each",
        "teams",
    );
    let sizes = [10, 50, 150];
    let measurements = sizes.map(|teams| measure_fleet(true, 50, teams));
    for (teams, values) in sizes.into_iter().zip(try_join_all(measurements).await?) {
        by_teams.add(teams, values);
    }
    by_teams.print();
    Ok(())
}

async fn measure_fleet(
    through_relay: bool,
    sidecars: u32,
    teams: u32,
) -> Result<Vec<(&'static str, f64)>> {
    let fleet = Fleet::prepare(1)?;
    let control = fleet.start_control().await?;
    fleet.apply(0, config_files::all_files(200)).await?;
    let (relay, below) = fleet.start_relay("relay-1").await?;
    let upstream = if through_relay {
        below
    } else {
        fleet.control_addresses()[0]
    };
    tokio::time::sleep(SETTLE).await;
    let reporters: Vec<JoinHandle<()>> = (0..sidecars)
        .map(|number| {
            tokio::spawn(report_each_second(
                fleet.cluster_key(),
                upstream,
                number,
                teams,
            ))
        })
        .collect();
    tokio::time::sleep(SETTLE).await;
    let measured = if through_relay { &relay } else { &control[0] };
    let rates = measure_rates(&[measured, &control[0]], WINDOW).await?;
    for reporter in &reporters {
        reporter.abort();
    }
    join_all(reporters).await;
    let mut values = common_values(&rates[0]);
    values.push(("reports/s", rates[0].class_messages("sums") / 2.0));
    values.push(("sums KB/s", rates[0].class_bytes("sums") / 1e3));
    values.push(("root: core %", rates[1].core_fraction * 100.0));
    values.push(("root: control KB/s", rates[1].control_bytes / 1e3));
    Ok(values)
}

/// Reports as a sidecar that serves each backlogged team in every second, which is the most that it can send.
async fn report_each_second(key: ClusterKey, upstream: SocketAddr, number: u32, teams: u32) {
    let client = Client::new(key);
    let address = upstream.to_string();
    let mut epoch = None;
    // Sidecars don't report at the same time.
    tokio::time::sleep(Duration::from_millis(u64::from(number * 37 % 1_000))).await;
    for second in 1_u64.. {
        let report_message = report_message(number, teams, second, epoch.clone());
        let sent = client.call::<_, ServiceTotals>(
            &address,
            "/v1/sums",
            &report_message,
            Duration::from_secs(1),
        );
        if let Ok(totals) = sent.await {
            epoch = Some(totals.epoch);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

fn report_message(
    number: u32,
    teams: u32,
    second: u64,
    epoch: Option<hinge_schema::messages::ServiceEpoch>,
) -> ServiceReport {
    let sums = (0..teams).map(|team| ServiceSum {
        backlog_count: 3,
        backlogged: true,
        lift_units: 1 << 33,
        normalised_units: (second << 20) + u64::from(team),
        service_units: (second << 12) + u64::from(team),
        team: format!("team-{team:04}").into(),
        version: second * u64::from(teams) + u64::from(team),
    });
    ServiceReport {
        epoch,
        generation: 0,
        incarnation: 1_700_000_000_000_000,
        mark: (second + 1) * u64::from(teams),
        pool: "model-0".into(),
        source: format!("sidecar-{number:04}").into(),
        sums: sums.collect(),
    }
}
