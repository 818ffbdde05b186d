//! Tests of the limits on slots and KV cache tokens.

use std::time::Duration;

use hinge_cases::cases;
use hinge_placement::{Availability, Demand, EngineReport, SlotRules, Slots};
use quickcheck::{Gen, QuickCheck};

const fn non_urgent(kv_tokens: u64) -> Demand {
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

/// Returns the capacity of an idle endpoint with 8 slots and 800 tokens, a quarter of both reserved for urgent requests.
fn idle_slots() -> Slots {
    Slots::new(SlotRules::new(8, 800, 2))
}

fn check_availability((demand, expected): (Demand, Availability)) {
    let mut slots = idle_slots();
    for claim in 0..3 {
        assert!(slots.acquire(claim, non_urgent(100), at(0)));
    }
    assert_eq!(slots.availability(demand, at(0)), expected);
}

cases! { check_availability:
    a_request_within_the_unreserved_tokens_fits => (non_urgent(300), Availability::Now),
    a_request_beyond_the_unreserved_tokens_waits => (non_urgent(301), Availability::Later),
    an_urgent_request_uses_the_reserved_tokens => (urgent(500), Availability::Now),
    an_urgent_request_beyond_the_free_tokens_waits => (urgent(501), Availability::Later),
    a_request_larger_than_the_unreserved_part_never_fits => (non_urgent(601), Availability::Never),
    an_urgent_request_larger_than_the_endpoint_never_fits => (urgent(801), Availability::Never),
}

/// Checks that admitted requests stay within the limits, and that releasing them frees all capacity.
fn respects_limits(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut slots = idle_slots();
    let mut running = Vec::<(u64, Demand)>::new();
    for (index, (kind, amount, wait)) in steps.into_iter().enumerate() {
        let (claim, now) = (index as u64, at(index as u64 * 10 + u64::from(wait)));
        let demand = Demand {
            kv_tokens: u64::from(amount),
            is_urgent: kind % 2 == 0,
        };
        match kind % 5 {
            0..=2 if slots.acquire(claim, demand, now) => running.push((claim, demand)),
            3 if !running.is_empty() => {
                let (claim, _) = running.swap_remove(usize::from(amount) % running.len());
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
        let common: Vec<_> = running
            .iter()
            .filter(|(_, demand)| !demand.is_urgent)
            .collect();
        let tokens =
            |list: &[&(u64, Demand)]| list.iter().map(|(_, demand)| demand.kv_tokens).sum::<u64>();
        let is_within = running.len() <= 8 && tokens(&running.iter().collect::<Vec<_>>()) <= 800;
        if !is_within || common.len() > 6 || tokens(&common) > 600 {
            return false;
        }
    }
    let freed = running
        .iter()
        .filter(|(claim, _)| slots.release(*claim, at(1_000_000)));
    freed.count() == running.len() && slots.free_slots(at(1_000_000)) == 6
}

cases! {
    admitted_requests_stay_within_the_limits => {
        let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(200, 1)).tests(2000);
        checker.quickcheck(respects_limits as fn(Vec<(u8, u8, u8)>) -> bool);
    }
    a_lagging_report_does_not_occupy_free_slots => {
        let mut slots = idle_slots();
        (0..6).for_each(|claim| assert!(slots.acquire(claim, non_urgent(10), at(0))));
        (0..6).for_each(|claim| assert!(slots.release(claim, at(1000))));
        slots.apply_report(EngineReport { running: 6, kv_tokens: 60 }, at(1500));
        assert_eq!(slots.free_slots(at(1500)), 6);
        slots.apply_report(EngineReport { running: 6, kv_tokens: 60 }, at(5000));
        assert_eq!(slots.free_slots(at(5000)), 0);
    }
    a_lagging_report_does_not_free_own_slots => {
        let mut slots = idle_slots();
        (0..6).for_each(|claim| assert!(slots.acquire(claim, non_urgent(10), at(0))));
        slots.apply_report(EngineReport { running: 0, kv_tokens: 0 }, at(10));
        assert_eq!((slots.free_slots(at(10)), slots.availability(non_urgent(1), at(10))), (0, Availability::Later));
    }
    load_from_before_a_restart_counts_until_the_report_expires => {
        let mut slots = idle_slots();
        slots.apply_report(EngineReport { running: 5, kv_tokens: 0 }, at(0));
        assert_eq!((slots.free_slots(at(4000)), slots.free_slots(at(4001))), (1, 6));
    }
    an_answer_that_outgrows_its_estimate_blocks_further_requests => {
        let mut slots = idle_slots();
        assert!(slots.acquire(1, non_urgent(100), at(0)));
        slots.resize(1, 900, at(1));
        assert_eq!(slots.availability(urgent(1), at(1)), Availability::Later);
        assert!(slots.release(1, at(2)) && !slots.release(1, at(2)));
        assert_eq!(slots.availability(non_urgent(600), at(2)), Availability::Now);
    }
    a_plain_service_is_limited_by_slots_only => {
        let slots = Slots::new(SlotRules::new(3, 0, 0));
        assert_eq!(slots.availability(non_urgent(u64::MAX / 2), at(0)), Availability::Now);
    }
}
