//! Checks the count of slots and KV tokens.

use std::time::Duration;

use hinge_cases::cases;
use hinge_placement::{Availability, Demand, EngineReport, SlotRules, Slots};
use quickcheck::{Gen, QuickCheck};

const fn normal(kv_tokens: u64) -> Demand {
    Demand {
        kv_tokens,
        is_urgent: false,
    }
}

const fn urgent(kv_tokens: u64) -> Demand {
    Demand {
        kv_tokens,
        is_urgent: true,
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns an endpoint with 8 slots and 800 tokens, a quarter of both kept for urgent requests.
fn open() -> Slots {
    Slots::new(SlotRules::new(8, 800, 2))
}

fn room((demand, want): (Demand, Availability)) {
    let mut slots = open();
    for claim in 0..3 {
        assert!(slots.acquire(claim, normal(100), at(0)));
    }
    assert_eq!(slots.availability(demand, at(0)), want);
}

cases! { room:
    a_small_one_fits => (normal(300), Availability::Now),
    one_beyond_the_common_tokens_waits => (normal(301), Availability::Later),
    an_urgent_one_has_headroom => (urgent(500), Availability::Now),
    one_beyond_the_headroom_waits => (urgent(501), Availability::Later),
    one_beyond_the_common_part_never_fits => (normal(601), Availability::Never),
    one_beyond_the_endpoint_never_fits => (urgent(801), Availability::Never),
}

/// Whatever is taken, released and reported, the sidecar's own runs stay within the rules, and all room comes back.
fn own_count_is_bounded(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut slots = open();
    let mut held = Vec::<(u64, Demand)>::new();
    for (index, (kind, amount, wait)) in steps.into_iter().enumerate() {
        let (claim, now) = (index as u64, at(index as u64 * 10 + u64::from(wait)));
        let demand = Demand {
            kv_tokens: u64::from(amount),
            is_urgent: kind % 2 == 0,
        };
        match kind % 5 {
            0..=2 if slots.acquire(claim, demand, now) => held.push((claim, demand)),
            3 if !held.is_empty() => {
                let (claim, _) = held.swap_remove(usize::from(amount) % held.len());
                slots.release(claim, now);
            }
            4 => slots.apply_report(
                EngineReport {
                    running: u32::from(amount) % 10,
                    kv_tokens: 0,
                },
                now,
            ),
            _ => {}
        }
        let common: Vec<_> = held
            .iter()
            .filter(|(_, demand)| !demand.is_urgent)
            .collect();
        let tokens =
            |list: &[&(u64, Demand)]| list.iter().map(|(_, demand)| demand.kv_tokens).sum::<u64>();
        let is_within = held.len() <= 8 && tokens(&held.iter().collect::<Vec<_>>()) <= 800;
        if !is_within || common.len() > 6 || tokens(&common) > 600 {
            return false;
        }
    }
    let freed = held
        .iter()
        .filter(|(claim, _)| slots.release(*claim, at(1_000_000)));
    freed.count() == held.len() && slots.free_slots(at(1_000_000)) == 6
}

cases! {
    own_runs_stay_within_the_rules => {
        let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(200, 1)).tests(2000);
        checker.quickcheck(own_count_is_bounded as fn(Vec<(u8, u8, u8)>) -> bool);
    }
    a_lagging_report_does_not_hide_free_slots => {
        let mut slots = open();
        (0..6).for_each(|claim| assert!(slots.acquire(claim, normal(10), at(0))));
        (0..6).for_each(|claim| assert!(slots.release(claim, at(1000))));
        slots.apply_report(EngineReport { running: 6, kv_tokens: 60 }, at(1500));
        assert_eq!(slots.free_slots(at(1500)), 6);
        slots.apply_report(EngineReport { running: 6, kv_tokens: 60 }, at(5000));
        assert_eq!(slots.free_slots(at(5000)), 0);
    }
    a_lagging_report_does_not_free_own_slots => {
        let mut slots = open();
        (0..6).for_each(|claim| assert!(slots.acquire(claim, normal(10), at(0))));
        slots.apply_report(EngineReport { running: 0, kv_tokens: 0 }, at(10));
        assert_eq!((slots.free_slots(at(10)), slots.availability(normal(1), at(10))), (0, Availability::Later));
    }
    load_from_before_a_restart_counts_until_the_report_is_old => {
        let mut slots = open();
        slots.apply_report(EngineReport { running: 5, kv_tokens: 0 }, at(0));
        assert_eq!((slots.free_slots(at(4000)), slots.free_slots(at(4001))), (1, 6));
    }
    an_answer_that_outgrows_its_estimate_stops_further_starts => {
        let mut slots = open();
        assert!(slots.acquire(1, normal(100), at(0)));
        slots.resize(1, 900, at(1));
        assert_eq!(slots.availability(urgent(1), at(1)), Availability::Later);
        assert!(slots.release(1, at(2)) && !slots.release(1, at(2)));
        assert_eq!(slots.availability(normal(600), at(2)), Availability::Now);
    }
    a_plain_service_has_slots_only => {
        let slots = Slots::new(SlotRules::new(3, 0, 0));
        assert_eq!(slots.availability(normal(u64::MAX / 2), at(0)), Availability::Now);
    }
}
