//! Benchmarks commits by batch size on real files and in memory, and recoveries by log length on real files.
//!
//! Set `TMPDIR` to choose the disk. The folder sizes are printed before the timings.

use std::fs;
use std::hint::black_box;
use std::path::Path;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use hinge_raft::{Entry, EntryKind, Index, Membership, Snapshot};
use hinge_store::codec::RECORD_HEADER_BYTES;
use hinge_store::fake::FakeDisk;
use hinge_store::{Disk, FolderDisk, Identity, Options, Origin, Store, Write};
use tempfile::TempDir;

/// Length of a command; a lease or a claim with its key has about this length.
const COMMAND_BYTES: usize = 128;

/// Length of a snapshot's state; about 1,500 teams of 170 bytes each.
const STATE_BYTES: usize = 256 << 10;

/// Number of entries after the snapshot, in the runs that have one.
const ENTRIES_AFTER_SNAPSHOT: Index = 50;

const LOG_LENGTHS: [Index; 3] = [100, 1_000, 10_000];
const BATCH_LENGTHS: [Index; 5] = [1, 4, 16, 64, 256];

fn identity() -> Identity {
    Identity {
        cluster_id: "bench".into(),
        instance: "control-1".into(),
    }
}

fn entries(from: Index, to: Index) -> Write {
    let entry = |index| Entry {
        term: 1,
        index,
        kind: EntryKind::Command,
        payload: vec![0xA5; COMMAND_BYTES].into(),
    };
    Write::Append((from..=to).map(entry).collect())
}

fn create<D: Disk>(disk: D) -> Store<D> {
    let created = Store::create(disk, &identity(), 7, Origin::Founder, Options::default());
    created
        .expect("a store can be created in an empty folder")
        .0
}

fn folder_disk(folder: &Path) -> FolderDisk {
    FolderDisk::open(&folder.join("data"))
        .expect("a data folder can be created in a temporary folder")
}

/// Fills a store with entries, and optionally takes a snapshot shortly before the end.
fn fill<D: Disk>(store: &mut Store<D>, length: Index, with_snapshot: bool) {
    let covered = if with_snapshot {
        length - ENTRIES_AFTER_SNAPSHOT
    } else {
        length
    };
    store.write(&[entries(1, covered)]).expect("in order");
    store.sync().expect("a good disk");
    if with_snapshot {
        let snapshot = Snapshot {
            last_index: covered,
            last_term: 1,
            membership: Membership::default(),
            state: vec![0x5A; STATE_BYTES].into(),
        };
        store.take_snapshot(&snapshot).expect("of this log");
        store
            .write(&[entries(covered + 1, length)])
            .expect("in order");
        store.sync().expect("a good disk");
    }
}

fn folder_bytes(folder: &Path) -> u64 {
    fs::read_dir(folder.join("data"))
        .expect("the folder is there")
        .map(|item| {
            item.and_then(|item| item.metadata())
                .expect("readable")
                .len()
        })
        .sum()
}

fn recovery(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("recovery");
    for length in LOG_LENGTHS {
        for with_snapshot in [false, true] {
            let folder = TempDir::new().expect("a temporary folder");
            fill(
                &mut create(folder_disk(folder.path())),
                length,
                with_snapshot,
            );
            let kind = if with_snapshot {
                "snapshot"
            } else {
                "log only"
            };
            println!(
                "size of {length} entries, {kind}: {} bytes",
                folder_bytes(folder.path())
            );
            group.bench_function(BenchmarkId::new(kind, length), |bencher| {
                bencher.iter(|| {
                    let disk = folder_disk(folder.path());
                    let opened = Store::open(disk, &identity(), Options::default());
                    black_box(opened.expect("it opens").1)
                });
            });
        }
    }
    let folder = TempDir::new().expect("a temporary folder");
    fill(&mut create(folder_disk(folder.path())), 10_000, false);
    let path = folder.path().join("data/segment-0000000000000001");
    let open = || Store::open(folder_disk(folder.path()), &identity(), Options::default());
    group.bench_function("without a mark/10000", |bencher| {
        // As after a power failure: without the sync mark, recovery rewrites the segment.
        let tear = || {
            let file = fs::OpenOptions::new().write(true).open(&path);
            let bytes =
                fs::metadata(&path).expect("it is there").len() - RECORD_HEADER_BYTES as u64;
            file.and_then(|file| file.set_len(bytes))
                .expect("it can be truncated");
        };
        bencher.iter_batched(
            tear,
            |()| black_box(open().expect("it opens").1),
            BatchSize::PerIteration,
        );
    });
    group.finish();
}

fn commit<D: Disk>(criterion: &mut Criterion, name: &str, fresh: impl Fn(&Path) -> D) {
    let mut group = criterion.benchmark_group(name);
    for length in BATCH_LENGTHS {
        group.throughput(Throughput::Elements(length));
        group.bench_function(BenchmarkId::from_parameter(length), |bencher| {
            let folder = TempDir::new().expect("a temporary folder");
            let mut store = create(fresh(folder.path()));
            bencher.iter_batched(
                || (),
                |()| {
                    let next = store.last_index() + 1;
                    store
                        .write(&[entries(next, next + length - 1)])
                        .expect("in order");
                    store.sync().expect("a good disk");
                },
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

fn commits(criterion: &mut Criterion) {
    commit(criterion, "commit on real files", folder_disk);
    commit(criterion, "commit in memory", |_| FakeDisk::new());
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = recovery, commits
}
criterion_main!(benches);
