//! Prints how long an upgrade night takes in virtual time, for 8 pools of 200 endpoints.

#[path = "../tests/night/simulation.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod simulation;

use std::fmt::Write;

use hinge_schema::messages::UpgradeState;
use simulation::{OPENING_MS, Simulation};

const POOLS: usize = 8;
const ENDPOINTS: usize = 200;
const GIGABYTE: u64 = 1_000_000_000;
/// Weights of a model of 70 billion parameters with two bytes each.
const WEIGHT_BYTES: u64 = 140 * GIGABYTE;
/// Moving the weights onto accelerators, beside reading them.
const LOAD_MS: u64 = 60_000;
/// Longest night that is looked at, in seconds.
const LIMIT: usize = 24 * 3600;

fn folder(store_gigabytes: u64, max_parallel: usize) -> String {
    let rate = store_gigabytes * GIGABYTE;
    let mut text = format!("[limits]\nweight_store_bytes_per_second = {rate}\n");
    for pool in 0..POOLS {
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
    let names: Vec<_> = (0..POOLS).map(|pool| format!("p{pool}")).collect();
    let pools: Vec<_> = names.iter().map(|name| (&**name, ENDPOINTS)).collect();
    let mut simulation = Simulation::new(1, &folder(store_gigabytes, max_parallel), &pools);
    simulation.load_ms = LOAD_MS;
    let mut most = 0;
    for _ in 0..LIMIT {
        simulation.tick();
        most = most.max(simulation.state.drains().len());
        let last = simulation.last.as_ref().expect("a second has passed");
        let mut plans = last.plans.iter();
        if plans.all(|plan| plan.state() == UpgradeState::Done) {
            break;
        }
    }
    let took_s = (simulation.now_ms - OPENING_MS) / 1000;
    println!(
        "store {store_gigabytes} GB/s, max_parallel {max_parallel}: {} of {} serve v2 after {took_s} s; \
         most out of service at once {most}",
        simulation.serving("v2"),
        POOLS * ENDPOINTS
    );
}

fn main() {
    for (store_gigabytes, max_parallel) in [(10, 1), (10, 8), (40, 8), (40, 40)] {
        run(store_gigabytes, max_parallel);
    }
}
