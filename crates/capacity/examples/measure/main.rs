//! Measures each role of the release build at several sizes, and fits lines over size.
//!
//! `cargo build --release -p sequoiahinge && cargo run --release -p hinge-capacity --example measure [PART...]`

mod backlog;
mod idle;
mod members;
mod relays;
mod requests;
mod sums;
mod table;
mod teams;

use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use hinge_telemetry::log::{self, Level};

/// Time over which rates are measured; leases are renewed every 1.5 s and sums reported every second.
pub const WINDOW: Duration = Duration::from_secs(3);

/// Time that a fleet needs to settle after its start or a change.
pub const SETTLE: Duration = Duration::from_secs(1);

const PART_NAMES: [&str; 7] = [
    "idle", "teams", "members", "relays", "sums", "backlog", "requests",
];

#[tokio::main]
async fn main() -> Result<()> {
    // The members in this process would log each change that they receive.
    log::start(Level::Error);
    let requested: Vec<String> = std::env::args().skip(1).collect();
    let requested = requested.iter().map(String::as_str).collect::<Vec<_>>();
    let parts = if requested.is_empty() {
        &PART_NAMES[..]
    } else {
        &requested
    };
    let started_at = Instant::now();
    for part in parts {
        print_load_average(part)?;
        match *part {
            "idle" => idle::measure().await?,
            "teams" => teams::measure().await?,
            "members" => members::measure().await?,
            "relays" => relays::measure().await?,
            "sums" => sums::measure().await?,
            "backlog" => backlog::measure().await?,
            "requests" => requests::measure().await?,
            other => bail!("there is no part `{other}`; the parts are {PART_NAMES:?}"),
        }
    }
    println!("\nThe run took {} s.", started_at.elapsed().as_secs());
    Ok(())
}

fn print_load_average(part: &str) -> Result<()> {
    let load = std::fs::read_to_string("/proc/loadavg")?;
    let load: Vec<&str> = load.split_whitespace().take(2).collect();
    println!("\n## {part}\n\nLoad before: {}.", load.join(" "));
    Ok(())
}
