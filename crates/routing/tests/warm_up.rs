//! Tests how many requests reach an endpoint while it warms up, from many gateways.

use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::{WarmUp, WarmUpLimits, WarmUpShare};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const LIMITS: WarmUpLimits = WarmUpLimits {
    duration: Duration::from_secs(3),
    max_requests_per_s: 12,
};

/// Requests in one second above which an endpoint with these limits is sent too many.
const MAX_ARRIVALS_PER_S: usize = 23;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Returns the most arrivals in any second.
fn most_in_a_second(mut arrivals_ms: Vec<u64>) -> usize {
    arrivals_ms.sort_unstable();
    let within = |from: &u64| {
        arrivals_ms
            .iter()
            .filter(|at| (*from..*from + 1_000).contains(at))
            .count()
    };
    arrivals_ms.iter().map(within).max().unwrap_or_default()
}

/// Grants as many requests as the limit allows, and returns the times of the grants in milliseconds.
fn grant_all(warm_up: &mut WarmUp, until_ms: u64) -> Vec<u64> {
    let mut granted = Vec::new();
    for now_ms in 0..until_ms {
        while warm_up.in_progress(ms(now_ms)).is_some() && warm_up.wait(ms(now_ms), 0).is_zero() {
            warm_up.record_granted(ms(now_ms));
            granted.push(now_ms);
        }
    }
    granted
}

/// Returns when requests of so many gateways reach an endpoint that all of them learn about within `spread_ms`.
fn shared_arrivals(gateways: u32, spread_ms: u64, seed: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for _ in 0..gateways {
        let mut share = WarmUpShare::default();
        let learns_at_ms = rng.random_range(0..=spread_ms);
        let until = ms(learns_at_ms) + LIMITS.duration;
        for now_ms in learns_at_ms..3_000 {
            if share.try_send(ms(now_ms), until, LIMITS, gateways, rng.random()) {
                arrivals.push(now_ms);
            }
        }
    }
    arrivals
}

cases! {
    grants_are_paced_at_the_limit => {
        let mut warm_up = WarmUp::default();
        warm_up.record_told(Duration::ZERO, LIMITS, Duration::ZERO);
        let granted = grant_all(&mut warm_up, 10_000);
        assert!((36..=38).contains(&granted.len()), "the limit is used for three seconds: {granted:?}");
        assert!(most_in_a_second(granted) <= 14);
    }
    // Guards against a crash of an endpoint that gets, after a stall, what was granted during it.
    grants_that_arrive_late_stay_below_what_an_endpoint_bears => {
        let mut warm_up = WarmUp::default();
        warm_up.record_told(Duration::ZERO, LIMITS, Duration::ZERO);
        let mut rng = StdRng::seed_from_u64(7);
        let granted = grant_all(&mut warm_up, 3_000);
        let arrivals = granted.iter().map(|at| at + rng.random_range(0..400)).collect();
        assert!(most_in_a_second(arrivals) <= MAX_ARRIVALS_PER_S);
    }
    a_warm_up_ends_and_begins_again_when_a_gateway_tells_of_it => {
        let mut warm_up = WarmUp::default();
        assert_eq!(warm_up.in_progress(ms(0)), None, "there is no limit yet");
        warm_up.record_told(ms(100), LIMITS, Duration::ZERO);
        assert_eq!(warm_up.in_progress(ms(100)), Some((LIMITS, ms(2_900))), "the engine may have just started");
        assert_eq!(warm_up.in_progress(ms(3_000)), None);
        warm_up.record_told(ms(9_000), LIMITS, ms(2_000));
        assert_eq!(warm_up.in_progress(ms(9_500)), Some((LIMITS, ms(1_500))));
        warm_up.record_start(ms(20_000));
        assert_eq!(warm_up.in_progress(ms(20_000)), Some((LIMITS, ms(3_000))));
    }
    a_gateway_cannot_prolong_a_warm_up_beyond_its_duration => {
        let mut warm_up = WarmUp::default();
        warm_up.record_told(ms(5_000), LIMITS, Duration::from_hours(1));
        assert_eq!(warm_up.in_progress(ms(5_000)), Some((LIMITS, ms(3_000))));
    }
    the_wait_counts_those_that_go_before => {
        let mut warm_up = WarmUp::default();
        warm_up.record_told(Duration::ZERO, LIMITS, Duration::ZERO);
        assert!(warm_up.wait(ms(0), 1).is_zero());
        assert!(warm_up.wait(ms(0), 7) >= ms(495));
        assert!(warm_up.wait(ms(0), 1_000) <= ms(3_000), "after the warm-up there is no limit");
    }
    // Guards against the requests of all gateways at once, which learn of a new endpoint in the same moment.
    shares_of_many_gateways_stay_below_what_an_endpoint_bears => {
        for gateways in [1, 6, 27, 70, 200] {
            for (spread_ms, seed) in [(0, 1), (0, 2), (300, 3), (1_500, 4)] {
                let arrivals = shared_arrivals(gateways, spread_ms, seed);
                let most = most_in_a_second(arrivals.clone());
                assert!(most <= MAX_ARRIVALS_PER_S, "{gateways} gateways, {spread_ms} ms: {most}");
                assert!(arrivals.len() >= 12, "{gateways} gateways leave the endpoint idle: {arrivals:?}");
            }
        }
    }
    a_gateway_that_knows_of_no_others_has_no_share => {
        let mut share = WarmUpShare::default();
        assert!(!share.try_send(ms(0), ms(3_000), LIMITS, 0, 0));
        assert!(share.try_send(ms(3_000), ms(3_000), LIMITS, 0, 0), "the warm-up has ended");
    }
}
