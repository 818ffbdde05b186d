//! Measures one planning decision for 1,600 members in 8 pools.

#[path = "../tests/night/simulation.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod simulation;

use std::fmt::Write;
use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use simulation::Simulation;

fn simulation(plans: usize) -> Simulation {
    let mut text = String::new();
    for pool in 0..8 {
        write!(text, "[pools.p{pool}]\nkind = \"model\"\n").expect("a string takes text");
    }
    for pool in 0..plans {
        write!(
            text,
            "[upgrades.p{pool}]\npool = \"p{pool}\"\nmodel = \"m\"\nversion = \"v2\"\nmax_parallel = 40\n"
        )
        .expect("a string takes text");
    }
    let names: Vec<_> = (0..8).map(|pool| format!("p{pool}")).collect();
    let pools: Vec<_> = names.iter().map(|name| (&**name, 200)).collect();
    let mut simulation = Simulation::new(1, &text, &pools);
    simulation.run(3);
    simulation
}

fn planner(criterion: &mut Criterion) {
    for (name, plans) in [("no_plans", 0), ("8_plans_320_under_way", 8)] {
        let night = simulation(plans);
        criterion.bench_function(name, |bencher| bencher.iter(|| black_box(night.decide())));
    }
}

criterion_group!(benches, planner);
criterion_main!(benches);
