//! Benchmarks of picks with 150 backlogged of 1,500 teams, of a second's exchange of sums, and of memory use.

use std::{collections::BTreeSet, fs, hint::black_box, time::Duration};

use criterion::Criterion;
use hinge_fair::{
    Class, FreeSlots, Limits, NormalisedUnits, Offer, Queue, SumsReport, TeamIndex, Totals,
    TotalsReply,
};

const TEAMS: u32 = 1_500;
const BACKLOGGED: u32 = 150;
const WAITING_PER_TEAM: u32 = 4;
const REQUEST_UNITS: u64 = 1_000;
const DEADLINE: Duration = Duration::from_hours(1);
const NOW: Duration = Duration::from_secs(1);
const ONE_FREE_SLOT: FreeSlots = FreeSlots {
    free_slots: 1,
    reserved_slots: 0,
};

/// Page size of the machine, as the kernel reports resident memory in pages.
const PAGE_BYTES: u64 = 4096;

/// Number of queues over which memory is averaged, so that page granularity and allocator slack matter little.
const COPIES: u32 = 40;

fn name(team: u32) -> String {
    format!("team-{team:04}")
}

fn queue() -> Queue<u64> {
    let mut queue = Queue::new(Limits {
        max_waiting: 100_000,
        max_request_units: 10 * REQUEST_UNITS,
    });
    for team in 0..TEAMS {
        queue.set_team(&name(team), 1 + team % 7, 1_000);
    }
    queue
}

fn offer(offer_id: u64, team: u32) -> Offer {
    Offer {
        offer_id,
        team: name(team).into(),
        class: Class::ALL[(offer_id % 3) as usize],
        estimated_units: REQUEST_UNITS,
        deadline: DEADLINE,
    }
}

fn fill(queue: &mut Queue<u64>, per_team: u32) {
    for offer_id in 0..BACKLOGGED * per_team {
        let offer = offer(offer_id.into(), offer_id % BACKLOGGED * 10);
        let pushed = queue.push(NOW, &offer, 0);
        assert_eq!(pushed, Ok(None));
    }
}

/// Picks and finishes a request, and pushes another one of the same team.
fn pick_finish_push(queue: &mut Queue<u64>, offers: &mut [Offer]) {
    let picked = queue.pick(NOW, ONE_FREE_SLOT).expect("offers wait");
    let again = &mut offers[picked.team as usize];
    again.offer_id = picked.offer_id;
    queue.finish(picked.offer_id, REQUEST_UNITS);
    let pushed = queue.push(NOW, again, 0);
    assert_eq!(pushed, Ok(None));
}

fn bench_queue(criterion: &mut Criterion) {
    let mut queue = queue();
    fill(&mut queue, WAITING_PER_TEAM);
    let mut offers: Vec<Offer> = (0..TEAMS).map(|team| offer(0, team)).collect();
    criterion.bench_function("pick_finish_push", |bencher| {
        bencher.iter(|| pick_finish_push(&mut queue, &mut offers));
    });
    let full =
        (0..BACKLOGGED * 400).map(|id| offer(1_000_000 + u64::from(id), id % BACKLOGGED * 10));
    for offer in full {
        let pushed = queue.push(NOW, &offer, 0);
        assert_eq!(pushed, Ok(None));
    }
    criterion.bench_function("pick", |bencher| {
        // Measures the picks without the pushes that replace the picked offers.
        bencher.iter_custom(|iterations| {
            let mut spent = Duration::ZERO;
            for _ in 0..iterations {
                let start = std::time::Instant::now();
                let picked = black_box(queue.pick(NOW, ONE_FREE_SLOT)).expect("offers wait");
                spent += start.elapsed();
                queue.finish(picked.offer_id, REQUEST_UNITS);
                let again = &mut offers[picked.team as usize];
                again.offer_id = picked.offer_id;
                let pushed = queue.push(NOW, again, 0);
                assert_eq!(pushed, Ok(None));
            }
            spent
        });
    });
    let running = queue
        .pick(NOW, ONE_FREE_SLOT)
        .expect("offers wait")
        .offer_id;
    criterion.bench_function("charge", |bencher| {
        bencher.iter(|| queue.charge(running, 1));
    });
}

/// Compares an ordered set with a scan, on keys alone.
fn bench_order(criterion: &mut Criterion) {
    let keys = |teams: u32| (0..teams).map(|team| (u64::from(team) * 7_919 % 1_000, team));
    let mut ordered: BTreeSet<(NormalisedUnits, TeamIndex)> = keys(BACKLOGGED).collect();
    criterion.bench_function("order_set_150", |bencher| {
        bencher.iter(|| {
            let (key, team) = ordered.pop_first().expect("teams wait");
            ordered.insert((key + REQUEST_UNITS, team));
        });
    });
    for teams in [BACKLOGGED, TEAMS] {
        let mut scanned: Vec<(NormalisedUnits, TeamIndex)> = keys(teams).collect();
        criterion.bench_function(&format!("order_scan_{teams}"), |bencher| {
            bencher.iter(|| {
                let least = scanned.iter_mut().min().expect("teams wait");
                least.0 += REQUEST_UNITS;
            });
        });
    }
}

fn exchange(queue: &mut Queue<u64>, totals: &mut Totals) -> (SumsReport, TotalsReply) {
    let report = queue.report("sidecar", 1);
    let reply = totals.merge(NOW, &report).expect("a root replies");
    queue.apply_totals(NOW, &reply);
    (report, reply)
}

fn bench_merge(criterion: &mut Criterion) {
    let mut queue = queue();
    fill(&mut queue, WAITING_PER_TEAM);
    let mut offers: Vec<Offer> = (0..TEAMS).map(|team| offer(0, team)).collect();
    let mut totals = Totals::new_root(1);
    for _ in 0..3 {
        exchange(&mut queue, &mut totals);
    }
    // A sidecar that serves 20 requests a second reports at most 20 teams, and gets the totals of backlogged ones.
    criterion.bench_function("serve_20_and_exchange_sums", |bencher| {
        bencher.iter(|| {
            for _ in 0..20 {
                pick_finish_push(&mut queue, &mut offers);
            }
            black_box(exchange(&mut queue, &mut totals))
        });
    });
    for _ in 0..20 {
        pick_finish_push(&mut queue, &mut offers);
    }
    let (report, reply) = exchange(&mut queue, &mut totals);
    let named = rmp_serde::to_vec_named(&report).map_or(0, |bytes| bytes.len());
    println!(
        "a report of {} teams takes {named} bytes",
        report.teams.len()
    );
    let named = rmp_serde::to_vec_named(&reply).map_or(0, |bytes| bytes.len());
    println!("a reply of {} teams takes {named} bytes", reply.teams.len());
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn report_sizes() {
    let before = resident_bytes();
    let mut queues: Vec<Queue<u64>> = (0..COPIES).map(|_| queue()).collect();
    let known = resident_bytes();
    for queue in &mut queues {
        fill(queue, 10);
    }
    let one_class_each = resident_bytes();
    let per_team = (known - before) / u64::from(COPIES * TEAMS);
    let per_offer = (one_class_each - known) / u64::from(COPIES * BACKLOGGED * 10);
    println!(
        "{per_team} bytes per team, {per_offer} bytes per waiting offer with an 8 byte payload"
    );
}

fn main() {
    report_sizes();
    let mut criterion = Criterion::default().configure_from_args();
    bench_queue(&mut criterion);
    bench_order(&mut criterion);
    bench_merge(&mut criterion);
    criterion.final_summary();
}
