//! Measures every role in an idle fleet.

use anyhow::Result;
use hinge_capacity::config_files;
use hinge_capacity::fit::median;
use hinge_capacity::fleet::{Fleet, measure_rates};

use crate::{SETTLE, WINDOW};

const ROUNDS: usize = 3;

pub async fn measure() -> Result<()> {
    let fleet = Fleet::prepare(3)?;
    let control = fleet.start_control().await?;
    fleet.apply(0, config_files::all_files(16)).await?;
    let (relay, below) = fleet.start_relay("relay-1").await?;
    let (_stand_in, endpoint) = fleet.start_stand_in("stand-in", 8, 1_000).await?;
    let sidecar = fleet
        .start_sidecar("sidecar-1", "model-0", 4, endpoint, &[below])
        .await?;
    let (entry, _callers) = fleet.start_entry("entry-1", &[below]).await?;
    tokio::time::sleep(SETTLE).await;
    let mut processes: Vec<_> = control.iter().collect();
    processes.extend([&relay, &sidecar, &entry]);
    let mut rounds = Vec::new();
    for _ in 0..ROUNDS {
        rounds.push(measure_rates(&processes, WINDOW).await?);
    }
    println!("\n### Idle processes, 16 teams, medians of {ROUNDS} windows\n");
    println!(
        "| process | core % | resident MB | own MB | control B/s | of it sent B/s | messages/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (at, process) in processes.iter().enumerate() {
        let of = |value: fn(&hinge_capacity::reading::Rates) -> f64| {
            let values: Vec<f64> = rounds.iter().map(|round| value(&round[at])).collect();
            median(&values)
        };
        println!(
            "| {} | {:.3} | {:.2} | {:.2} | {:.0} | {:.0} | {:.1} |",
            process.name,
            of(|rates| rates.core_fraction * 100.0),
            of(|rates| rates.resident_bytes / 1e6),
            of(|rates| rates.anonymous_bytes / 1e6),
            of(|rates| rates.control_bytes),
            of(|rates| rates.one_way_bytes("sent")),
            of(|rates| rates.control_messages),
        );
    }
    Ok(())
}
