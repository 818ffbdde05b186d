//! Tests of ejection, probes and readmission.

use std::time::Duration;

use hinge_cases::cases;
use hinge_placement::{HealthRules, LocalEndpointHealth, PoolHealth, Sample};
use quickcheck::{Gen, QuickCheck};
use rand::{SeedableRng, rngs::StdRng};

const START: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Duration {
    START + Duration::from_millis(ms)
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

/// Records up to five samples until one ejects the sidecar, and returns whether one did.
fn observe_until_ejected(pool: &mut PoolHealth, id: u64, sample: Sample, ms: u64) -> bool {
    (0..5).any(|_| pool.observe(id, sample, at(ms), &mut rng()))
}

fn answered(ms: u64) -> Sample {
    Sample::Answered {
        wait: Duration::from_millis(ms),
    }
}

fn pool(size: u64) -> PoolHealth {
    let mut pool = PoolHealth::new(HealthRules::default());
    pool.set_members(&(0..size).collect::<Vec<_>>(), START);
    pool
}

/// Checks the limit on sidecars below full share under random outcomes, probes, waits and membership changes.
fn respects_reduced_limit(steps: Vec<(u8, u8, u8)>) -> bool {
    let (mut pool, mut rng, mut now_ms) = (pool(10), rng(), 0);
    steps.into_iter().all(|(kind, index, wait)| {
        now_ms += u64::from(wait) * 10;
        let now = at(now_ms);
        let id = u64::from(index) % 10;
        match kind % 8 {
            0 => pool.set_members(&(0..=id * 2).collect::<Vec<_>>(), now),
            1 => pool.record_probe(id, index < 128, now, &mut rng),
            2 => _ = pool.start_probes(now),
            3 | 4 => _ = observe_until_ejected(&mut pool, id, answered(u64::from(wait)), now_ms),
            _ => _ = observe_until_ejected(&mut pool, id, Sample::Failed, now_ms),
        }
        pool.reduced_count(now) <= pool.max_reduced()
    })
}

cases! {
    the_reduced_fraction_never_exceeds_the_limit => {
        let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(200, 1)).tests(2000);
        checker.quickcheck(respects_reduced_limit as fn(Vec<(u8, u8, u8)>) -> bool);
    }
    consecutive_failures_eject_up_to_the_limit => {
        let mut pool = pool(3);
        let mut fail = |id| observe_until_ejected(&mut pool, id, Sample::TimedOut, 0);
        assert_eq!([fail(0), fail(1), fail(2)], [true, false, false]);
        assert_eq!(pool.share_permille(0, at(0)), 0);
    }
    a_high_failure_rate_ejects => {
        let (mut pool, mut rng) = (pool(3), rng());
        let ejected = (0..200).any(|index| {
            let sample = if index % 4 == 0 { answered(10) } else { Sample::Failed };
            pool.observe(0, sample, at(0), &mut rng)
        });
        assert!(ejected);
    }
    a_slow_sidecar_is_ejected_but_moderately_slower_ones_are_not => {
        let (mut pool, mut rng) = (pool(5), rng());
        let mut ejected = Vec::new();
        for _ in 0..40 {
            for (id, wait_ms) in [(0, 100), (1, 150), (2, 200), (3, 250), (4, 900)] {
                ejected.extend(pool.observe(id, answered(wait_ms), at(0), &mut rng).then_some(id));
            }
        }
        assert_eq!(ejected, [4]);
    }
    a_readmitted_sidecar_ramps_up => {
        let (mut pool, mut rng) = (pool(3), rng());
        assert!(observe_until_ejected(&mut pool, 0, Sample::Failed, 0));
        assert!(pool.start_probes(at(499)).is_empty());
        assert_eq!(pool.start_probes(at(1000))[..], [0]);
        assert!(pool.start_probes(at(1001)).is_empty());
        pool.record_probe(0, true, at(1100), &mut rng);
        assert_eq!((pool.share_permille(0, at(2000)), pool.start_probes(at(2100)).len()), (0, 1));
        pool.record_probe(0, true, at(2100), &mut rng);
        let shares: Vec<_> = (0..=31).map(|second| pool.share_permille(0, at(2100 + second * 1000))).collect();
        assert!(shares.is_sorted() && shares.windows(2).all(|pair| pair[1] - pair[0] <= 32));
        assert_eq!((shares[0], shares[15], shares[30]), (50, 525, 1000));
        assert_eq!((pool.reduced_count(at(32_000)), pool.reduced_count(at(32_200))), (1, 0));
    }
    a_failed_probe_and_a_failure_during_the_ramp_double_the_backoff => {
        let (mut pool, mut rng) = (pool(3), rng());
        assert!(observe_until_ejected(&mut pool, 0, Sample::Failed, 0));
        assert_eq!(pool.start_probes(at(1000)).len(), 1);
        pool.record_probe(0, false, at(1000), &mut rng);
        assert_eq!((pool.start_probes(at(1999)).len(), pool.start_probes(at(3000)).len()), (0, 1));
        pool.record_probe(0, true, at(3000), &mut rng);
        pool.start_probes(at(4000));
        pool.record_probe(0, true, at(4000), &mut rng);
        assert!(observe_until_ejected(&mut pool, 0, Sample::Failed, 5000));
        assert_eq!((pool.start_probes(at(6999)).len(), pool.start_probes(at(9000)).len()), (0, 1));
    }
    late_outcomes_of_an_ejected_sidecar_are_ignored => {
        let mut pool = pool(3);
        assert!(observe_until_ejected(&mut pool, 0, Sample::Failed, 0));
        assert!(!observe_until_ejected(&mut pool, 0, answered(1), 1) && !observe_until_ejected(&mut pool, 0, Sample::Failed, 2));
        for probe_at in [1000, 2000] {
            assert_eq!((pool.share_permille(0, at(probe_at)), pool.start_probes(at(probe_at)).len()), (0, 1));
            pool.record_probe(0, true, at(probe_at), &mut rng());
        }
        assert!(!pool.observe(0, Sample::Failed, at(2500), &mut rng()));
    }
    an_ejected_or_ramping_endpoint_has_fewer_slots => {
        let mut health = LocalEndpointHealth::new(HealthRules::default(), START);
        assert_eq!(health.slot_limit(8, at(0)), 8);
        assert!((0..5).any(|_| health.observe(Sample::TimedOut, at(0), &mut rng())));
        assert_eq!(health.slot_limit(8, at(0)), 0);
        for probe_at in [1000, 2000] {
            assert!(health.start_probe(at(probe_at)));
            health.record_probe(true, at(probe_at), &mut rng());
        }
        let limits = [2000, 17_000, 32_000].map(|ms| health.slot_limit(8, at(ms)));
        assert_eq!(limits, [1, 5, 8]);
    }
}
