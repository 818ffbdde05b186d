//! Benchmarks the selection of sidecars in a pool of 200, of which the entry's subset has 20.

use std::{hint::black_box, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use hinge_placement::{
    AttemptOffers, HealthRules, Load, SelectionRules, SidecarId, SidecarSelector, hash::mix,
};
use rand::{SeedableRng, rngs::SmallRng};

const SIDECARS: u64 = 200;
const ENTRIES: usize = 300;

fn selector() -> SidecarSelector {
    let sidecars: Vec<SidecarId> = (0..SIDECARS).map(|index| mix(7, index)).collect();
    let mut selector = SidecarSelector::new(SelectionRules::default(), HealthRules::default(), 42);
    selector.set_members(&sidecars, ENTRIES, Duration::ZERO);
    for (id, running) in sidecars.iter().zip((0..8).cycle()) {
        let load = Load {
            slots: 8,
            running,
            waiting: 0,
        };
        selector.record_load(*id, load, Duration::ZERO);
    }
    selector
}

fn select(c: &mut Criterion) {
    let selector = selector();
    let now = Duration::from_millis(500);
    let mut rng = SmallRng::seed_from_u64(1);
    for (name, prefix) in [
        ("first_round_by_load", None),
        ("first_round_by_prefix", Some(99)),
    ] {
        c.bench_function(name, |b| {
            b.iter(|| {
                let mut attempt = AttemptOffers::new(black_box(prefix), &[], &mut rng);
                selector.next_round(&mut attempt, now, &mut rng)
            });
        });
    }
    c.bench_function("all_rounds", |b| {
        b.iter(|| {
            let mut attempt = AttemptOffers::new(black_box(Some(99)), &[], &mut rng);
            let mut count = 0;
            while let Some(round) = selector.next_round(&mut attempt, now, &mut rng) {
                count += round.sidecars.len();
            }
            count
        });
    });
}

criterion_group!(benches, select);
criterion_main!(benches);
