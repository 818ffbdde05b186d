//! Measures each role by the number of teams, idle and for one change of the configuration.

use anyhow::Result;
use futures::future::try_join_all;
use hinge_capacity::config_files;
use hinge_capacity::fleet::{Fleet, measure_rates, measure_rates_during};
use hinge_capacity::reading::Rates;

use crate::table::{Table, common_values};
use crate::{SETTLE, WINDOW};

const TEAMS: [u32; 3] = [100, 500, 1_500];

/// Changes over which the cost of one is averaged.
const CHANGES: u32 = 10;

const ROLES: [&str; 4] = ["control", "relay", "sidecar", "entry"];

pub async fn measure() -> Result<()> {
    // The fleets run at the same time: they are nearly idle, and each process is measured separately.
    let measured = try_join_all(TEAMS.map(measure_fleet)).await?;
    for (at, role) in ROLES.iter().enumerate() {
        let mut idle_table = Table::new(format!("{role}, by teams"), "teams");
        let mut change_table = Table::new(format!("{role}, one change, by teams"), "teams");
        for (teams, (idle, busy, seconds)) in TEAMS.iter().zip(&measured) {
            idle_table.add(*teams, common_values(&idle[at]));
            change_table.add(*teams, change_cost(&idle[at], &busy[at], *seconds));
        }
        idle_table.print();
        change_table.print();
    }
    Ok(())
}

/// Returns the cost of one change, beyond that of the idle process.
fn change_cost(idle: &Rates, busy: &Rates, seconds: f64) -> Vec<(&'static str, f64)> {
    let seconds_per_change = seconds / f64::from(CHANGES);
    vec![
        (
            "processor ms",
            (busy.core_fraction - idle.core_fraction) * seconds_per_change * 1e3,
        ),
        (
            "bytes",
            (busy.control_bytes - idle.control_bytes) * seconds_per_change,
        ),
        ("resident MB after", busy.resident_bytes / 1e6),
        ("own MB after", busy.anonymous_bytes / 1e6),
    ]
}

async fn measure_fleet(teams: u32) -> Result<(Vec<Rates>, Vec<Rates>, f64)> {
    let fleet = Fleet::prepare(1)?;
    let control = fleet.start_control().await?;
    let mut version = fleet.apply(0, config_files::all_files(teams)).await?;
    let (relay, below) = fleet.start_relay("relay-1").await?;
    let (_stand_in, endpoint) = fleet.start_stand_in("stand-in", 8, 1_000).await?;
    let sidecar = fleet
        .start_sidecar("sidecar-1", "model-0", 4, endpoint, &[below])
        .await?;
    let (entry, _callers) = fleet.start_entry("entry-1", &[below]).await?;
    tokio::time::sleep(SETTLE).await;
    let processes = [&control[0], &relay, &sidecar, &entry];
    let idle = measure_rates(&processes, WINDOW).await?;
    let applying = async {
        for change in 1..=CHANGES {
            let first =
                (change % (teams / config_files::TEAMS_PER_FILE)) * config_files::TEAMS_PER_FILE;
            let file = config_files::team_file(first, teams, change);
            version = fleet.apply(version, vec![file]).await?;
            tokio::time::sleep(WINDOW / CHANGES).await;
        }
        Ok(())
    };
    let (busy, (), seconds) = measure_rates_during(&processes, applying).await?;
    Ok((idle, busy, seconds))
}
