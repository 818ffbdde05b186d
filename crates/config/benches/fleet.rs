//! Benchmarks of merge, change and lookup at the target size: 1,500 teams and 8 pools.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use hinge_config::current::CurrentConfig;
use hinge_config::effective::{EffectiveConfig, key_hash};
use hinge_config::{ConfigDelta, ConfigFile, folder};

#[path = "../examples/fleet/mod.rs"]
mod fleet;

fn full_delta(files: &[ConfigFile], version: u64) -> ConfigDelta {
    ConfigDelta {
        base_version: 0,
        digest: folder::digest(files),
        put: files.to_vec(),
        removed: Vec::new(),
        version,
    }
}

fn bench_merge(criterion: &mut Criterion) {
    for (name, teams_per_file) in [("merge/15_files", 100), ("merge/1500_files", 1)] {
        let files = fleet::files(teams_per_file);
        criterion.bench_function(name, |bencher| {
            bencher
                .iter(|| EffectiveConfig::merge(black_box(&files)).expect("the files are valid"));
        });
    }
}

fn bench_change(criterion: &mut Criterion) {
    let files = fleet::files(100);
    criterion.bench_function("digest/15_files", |bencher| {
        bencher.iter(|| folder::digest(black_box(&files)));
    });
    let config = CurrentConfig::empty();
    config.apply(&full_delta(&files, 1));
    criterion.bench_function("apply/one_share", |bencher| {
        bencher.iter(|| {
            let version = config.version();
            let mut put = files[0].clone();
            put.text = format!("{}# {version}\n", put.text).into();
            let next = folder::apply(&files, std::slice::from_ref(&put), &[]);
            config.apply(&ConfigDelta {
                base_version: version,
                digest: folder::digest(&next),
                put: vec![put],
                removed: Vec::new(),
                version: version + 1,
            })
        });
    });
}

fn bench_lookup(criterion: &mut Criterion) {
    let config = CurrentConfig::empty();
    config.apply(&full_delta(&fleet::files(100), 1));
    let hash = key_hash(&fleet::key_sha256(700)).expect("the hash is well formed");
    criterion.bench_function("load_and_team_by_key", |bencher| {
        bencher.iter(|| {
            let snapshot = config.load();
            let team = snapshot.effective.team_by_key(black_box(&hash));
            team.expect("the team is there").1.share
        });
    });
}

criterion_group!(benches, bench_merge, bench_change, bench_lookup);
criterion_main!(benches);
