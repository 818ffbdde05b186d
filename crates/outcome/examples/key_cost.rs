//! Measures the bytes that a key takes in memory and in a snapshot.
//!
//! Run with `cargo run --release -p hinge-outcome --example key_cost`.

use std::{error, fs};

use hinge_outcome::{
    GrantId,
    keys::{KeyRules, KeyTable, key_digest},
};

/// Number of keys in the table, the default limit.
const KEYS: u32 = 100_000;

/// Number of teams that share the keys, as in a fleet of the target size.
const TEAMS: u32 = 1500;

fn main() -> Result<(), Box<dyn error::Error>> {
    let rules = KeyRules::default();
    let before_bytes = resident_bytes()?;
    let mut table = KeyTable::new();
    for index in 0..KEYS {
        let team = format!("team-{:04}", index % TEAMS);
        let holder = GrantId {
            sidecar: u64::from(index) << 20,
            incarnation: 1_700_000_000_000,
            claim: u64::from(index),
        };
        let key = key_digest(&format!("key-{index}"));
        table.claim(&rules, &team, key, holder, u64::MAX / 3, 1_700_000_000_000);
    }
    let memory_bytes = resident_bytes()? - before_bytes;
    let snapshot_bytes = rmp_serde::to_vec(&table)?.len();
    println!("keys {}", table.len());
    println!("memory {} bytes a key", memory_bytes / u64::from(KEYS));
    println!("snapshot {} bytes a key", snapshot_bytes / table.len());
    Ok(())
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> Result<u64, Box<dyn error::Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or("no VmRSS line")?;
    let kib = line.split_whitespace().nth(1).ok_or("no number")?;
    Ok(kib.parse::<u64>()? * 1024)
}
