//! Prints how long an upgrade night takes in virtual time, for 8 pools of 200 endpoints.

#[path = "../tests/night/simulation.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod simulation;

use std::fmt::Write;

use hinge_schema::messages::UpgradeState;
use simulation::{OPENING_MS, Simulation};

const POOL_COUNT: usize = 8;
const ENDPOINTS_PER_POOL: usize = 200;
const BYTES_PER_GB: u64 = 1_000_000_000;
/// Weights of a model of 70 billion parameters of two bytes each.
const WEIGHT_BYTES: u64 = 140 * BYTES_PER_GB;
/// Time for moving the weights onto accelerators, in addition to reading them.
const LOAD_MS: u64 = 60_000;
/// Longest simulated night, in seconds.
const MAX_NIGHT_S: usize = 24 * 3600;

fn folder(store_gigabytes: u64, max_parallel: usize) -> String {
    let rate = store_gigabytes * BYTES_PER_GB;
    let mut text = format!("[limits]\nweight_store_bytes_per_second = {rate}\n");
    for pool in 0..POOL_COUNT {
        write!(
            text,
            "[pools.p{pool}]\nkind = \"model\"\nfloor = 70\ndeadline_ms = 120000\n\
             [upgrades.p{pool}]\npool = \"p{pool}\"\nmodel = \"m\"\nversion = \"v2\"\n\
             max_parallel = {max_parallel}\nweight_bytes = {WEIGHT_BYTES}\n"
        )
        .expect("a string takes text");
    }
    text
}

fn run(store_gigabytes: u64, max_parallel: usize) {
    let names: Vec<_> = (0..POOL_COUNT).map(|pool| format!("p{pool}")).collect();
    let pools: Vec<_> = names
        .iter()
        .map(|name| (&**name, ENDPOINTS_PER_POOL))
        .collect();
    let mut simulation = Simulation::new(1, &folder(store_gigabytes, max_parallel), &pools);
    simulation.load_ms = LOAD_MS;
    let mut max_drained = 0;
    for _ in 0..MAX_NIGHT_S {
        simulation.tick();
        max_drained = max_drained.max(simulation.state.drains().len());
        let last = simulation.last.as_ref().expect("a second has passed");
        let mut plans = last.plans.iter();
        if plans.all(|plan| plan.state() == UpgradeState::Done) {
            break;
        }
    }
    let took_s = (simulation.now_ms - OPENING_MS) / 1000;
    println!(
        "store {store_gigabytes} GB/s, max_parallel {max_parallel}: {} of {} serve v2 after {took_s} s; \
         most out of service at once {max_drained}",
        simulation.serving("v2"),
        POOL_COUNT * ENDPOINTS_PER_POOL
    );
}

fn main() {
    for (store_gigabytes, max_parallel) in [(10, 1), (10, 8), (40, 8), (40, 40)] {
        run(store_gigabytes, max_parallel);
    }
}
