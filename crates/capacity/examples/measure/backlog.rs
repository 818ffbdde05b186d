//! Measures the cost of backlogged teams at a sidecar and an entry, and of offers by sidecars in the pool.

use std::net::SocketAddr;

use anyhow::Result;
use futures::future::try_join_all;
use hinge_capacity::caller::{Answered, Caller};
use hinge_capacity::config_files;
use hinge_capacity::fleet::{Fleet, Process, measure_rates};
use hinge_capacity::reading::Rates;
use tokio::task::JoinSet;

use crate::table::{KB, Table, common_values};
use crate::{SETTLE, WINDOW};

/// Open requests of each backlogged team.
const OPEN_REQUESTS_PER_TEAM: u32 = 2;

/// Tokens of a request. With 4 slots of 20 tokens/s, a sidecar serves 2 such requests per second, as at the target size.
const TOKENS: u32 = 40;
const TOKENS_PER_SECOND: u32 = 20;
const SLOTS: u32 = 4;

pub async fn measure() -> Result<()> {
    let mut at_sidecar = Table::new(
        "sidecar, one of 2 that serve 2 requests/s each, by backlogged teams",
        "teams",
    );
    let mut at_entry = Table::new("entry, the only one, by backlogged teams", "teams");
    let sizes = [10, 50, 150];
    let measurements = try_join_all(sizes.map(|teams| measure_fleet(2, teams))).await?;
    for (teams, rates) in sizes.into_iter().zip(measurements) {
        at_sidecar.add(teams, sidecar_values(&rates[1]));
        at_entry.add(teams, entry_values(&rates[0]));
    }
    at_sidecar.print();
    at_entry.print();
    let mut by_sidecars = Table::new(
        "entry, 50 backlogged teams, by sidecars in the pool",
        "sidecars",
    );
    let sizes = [2, 4, 8];
    let measurements = try_join_all(sizes.map(|sidecars| measure_fleet(sidecars, 50))).await?;
    for (sidecars, rates) in sizes.into_iter().zip(measurements) {
        by_sidecars.add(sidecars, entry_values(&rates[0]));
    }
    by_sidecars.print();
    Ok(())
}

fn sidecar_values(rates: &Rates) -> Vec<(&'static str, f64)> {
    let mut values = common_values(rates);
    values.extend([
        ("sums KB/s", rates.class_bytes("sums") / KB),
        ("offers KB/s", rates.class_bytes("offer") / KB),
        ("granted/s", rates.rate("hinge_sidecar_granted_total", "")),
    ]);
    values
}

fn entry_values(rates: &Rates) -> Vec<(&'static str, f64)> {
    let mut values = common_values(rates);
    let offers = rates.rate(
        "hinge_peer_messages_total",
        "class=\"offer\",direction=\"sent\"",
    );
    values.extend([
        ("offers KB/s", rates.class_bytes("offer") / KB),
        ("offers sent/s", offers),
        (
            "refused/s",
            rates.rate("hinge_entry_requests_total", "outcome=\"not_run\""),
        ),
        (
            "shed/s",
            rates.rate("hinge_entry_requests_total", "reason=\"shed\""),
        ),
        (
            "queue full/s",
            rates.rate("hinge_entry_requests_total", "reason=\"queue_full\""),
        ),
        (
            "socket bytes of control for an offer",
            rates.control_bytes / offers.max(1e-9),
        ),
    ]);
    values
}

async fn measure_fleet(sidecars: u32, teams: u32) -> Result<Vec<Rates>> {
    let fleet = Fleet::prepare(1)?;
    let _control = fleet.start_control().await?;
    fleet.apply(0, config_files::all_files(200)).await?;
    let mut sidecar_processes: Vec<Process> = Vec::new();
    let mut stand_ins = Vec::new();
    for number in 0..sidecars {
        let name = format!("stand-in-{number}");
        let (stand_in, endpoint) = fleet
            .start_stand_in(&name, SLOTS, TOKENS_PER_SECOND)
            .await?;
        stand_ins.push(stand_in);
        let name = format!("sidecar-{number}");
        sidecar_processes.push(
            fleet
                .start_sidecar(&name, "model-0", SLOTS, endpoint, fleet.control_addresses())
                .await?,
        );
    }
    let (entry, callers) = fleet
        .start_entry("entry-1", fleet.control_addresses())
        .await?;
    Caller::new(callers).wait_until_served("llm-0").await?;
    let mut load = keep_backlogged(callers, teams);
    tokio::time::sleep(SETTLE * 2).await;
    let mut processes = vec![&entry];
    processes.extend(&sidecar_processes);
    let rates = measure_rates(&processes, WINDOW).await?;
    load.abort_all();
    Ok(rates)
}

/// Keeps each team backlogged: each request that ends is followed by another.
fn keep_backlogged(entry: SocketAddr, teams: u32) -> JoinSet<()> {
    let mut load = JoinSet::new();
    let caller = Caller::new(entry);
    for team in 0..teams {
        for _ in 0..OPEN_REQUESTS_PER_TEAM {
            let caller = caller.clone();
            load.spawn(async move {
                loop {
                    let summary = caller.stream(team, "llm-0", TOKENS).await;
                    // A refused caller waits for the time in `Retry-After`, as most callers do.
                    if let Ok(Answered { retry_after, .. }) = summary {
                        tokio::time::sleep(retry_after).await;
                    }
                }
            });
        }
    }
    load
}
