//! Simulates the choice among plain endpoints, from many gateways with old and lost news, in virtual time.
//!
//! The bounds are those of callers: the share of the requests that are answered within their objective, against a choice that
//! knows the state of all endpoints at every moment.

mod model;

use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::{PlainCandidate, PlainOutcome, PlainSpeed, choose_plain};

use model::{Endpoint, Model, Policy, SLOTS, SLOW_FACTOR, Setting};

const SETTING: Setting = Setting {
    endpoints: 3,
    gateways: 25,
    load: 0.5,
    lost: 0.0,
    tells_moment: true,
    has_moments: true,
    policy: Policy::Plain,
    seconds: 10,
    seed: 0,
};

/// Seeds of a comparison; single runs differ by the moments that they meet.
const SEEDS: std::ops::Range<u64> = 1..7;

/// Returns the share of requests in time over all seeds.
fn share_in_time(setting: Setting) -> f64 {
    let (mut in_time, mut asked) = (0, 0);
    for seed in SEEDS {
        let outcome = Model::new(Setting { seed, ..setting })
            .play(|_, _| {})
            .outcome;
        in_time += outcome.in_time;
        asked += outcome.asked;
    }
    f64::from(in_time) / f64::from(asked)
}

/// Returns the shares that an endpoint had of the requests of each second.
fn shares(endpoints: &[Endpoint], index: usize) -> Vec<f64> {
    let seconds = 0..endpoints[index].sent_in_second.len();
    let of_second = seconds.map(|second| {
        let all: u32 = endpoints.iter().map(|one| one.sent_in_second[second]).sum();
        f64::from(endpoints[index].sent_in_second[second]) / f64::from(all)
    });
    of_second.collect()
}

/// Returns an endpoint of a usual service time, with so many requests running or waiting as reported just now.
fn candidate(hash: u64, usual_ms: u64, reported: u32) -> PlainCandidate {
    let mut speed = PlainSpeed::default();
    answer(&mut speed, 0, usual_ms, 0, None);
    speed.record_load(ms(usual_ms), reported, 0, None);
    let mut candidate = speed.candidate(ms(usual_ms), 0, SLOTS);
    candidate.hash = hash;
    candidate
}

fn answer(
    speed: &mut PlainSpeed,
    sent_ms: u64,
    took_ms: u64,
    reported: u32,
    permille: Option<u32>,
) {
    let request = speed.record_sent(ms(sent_ms), 0, SLOTS);
    let now = ms(sent_ms + took_ms);
    speed.record_load(now, reported, 0, permille);
    speed.record_end(request);
    speed.record_answer(now, request);
}

fn expected_ms(speed: &PlainSpeed, now_ms: u64) -> u128 {
    let candidate = speed.candidate(ms(now_ms), 0, SLOTS);
    match choose_plain(&[candidate], Duration::MAX, 0) {
        Some(PlainOutcome::Chosen(choice)) => choice.ends_in.as_millis(),
        other => panic!("{other:?}"),
    }
}

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

cases! {
    most_requests_that_perfect_knowledge_would_serve_in_time_are_in_time => {
        for (endpoints, gateways, lost) in [(3, 8, 0.0), (3, 25, 0.5), (3, 100, 0.0), (12, 25, 0.5), (12, 100, 0.0)] {
            for tells_moment in [true, false] {
                let setting = Setting { endpoints, gateways, lost, tells_moment, ..SETTING };
                let chosen = share_in_time(setting);
                let perfect = share_in_time(Setting { policy: Policy::Perfect, ..setting });
                let fewest = share_in_time(Setting { policy: Policy::Fewest, ..setting });
                let context = format!("{endpoints} endpoints, {gateways} gateways: {chosen}, {perfect}, {fewest}");
                assert!(chosen >= perfect - 0.025, "{context}");
                assert!(chosen >= fewest - 0.001, "no worse than by the number of requests: {context}");
            }
        }
    }
    many_gateways_use_many_endpoints_evenly => {
        let setting = Setting { endpoints: 43, gateways: 100, load: 0.6, lost: 0.5, seconds: 4, ..SETTING };
        let played = Model::new(setting).play(|_, _| {});
        assert!(played.outcome.share_in_time() >= 0.99, "{:?}", played.outcome);
        assert!(played.outcome.idle_beside_queue_ms <= 120, "{:?}", played.outcome);
    }
    no_endpoint_idles_beside_a_queue_for_long => {
        for gateways in [8, 25, 100] {
            let outcome = Model::new(Setting { gateways, load: 0.6, ..SETTING }).play(|_, _| {}).outcome;
            assert!(outcome.idle_beside_queue_ms <= 100, "{gateways} gateways: {outcome:?}");
        }
    }
    shares_do_not_swing_from_second_to_second => {
        for gateways in [8, 25, 100] {
            let setting = Setting { endpoints: 12, gateways, load: 0.6, has_moments: false, ..SETTING };
            let played = Model::new(setting).play(|_, _| {});
            for index in 0..12 {
                let shares = shares(&played.endpoints, index);
                let swing = shares.windows(2).skip(1).map(|pair| pair[1] / pair[0]).fold(1.0, f64::max);
                assert!(swing <= 1.5, "{gateways} gateways, endpoint {index}: {shares:?}");
            }
        }
    }
    an_endpoint_that_turns_slow_under_a_queue_loses_requests_to_the_others => {
        let setting = Setting { endpoints: 12, load: 0.6, tells_moment: false, has_moments: false, ..SETTING };
        let played = Model::new(setting).play(|second, endpoints| {
            endpoints[0].untold_factor = if second < 3 { 1.0 } else { 4.0 };
        });
        let shares = shares(&played.endpoints, 0);
        assert!(shares[2] >= 0.06, "{shares:?}");
        assert!(shares[4..].iter().all(|share| *share <= 0.04), "it does a quarter of the work: {shares:?}");
        assert!(played.outcome.share_in_time() >= 0.97, "{:?}", played.outcome);
    }
    an_endpoint_that_tells_less_than_its_answers_show_is_found_out => {
        let setting = Setting { endpoints: 3, has_moments: false, ..SETTING };
        let played = Model::new(setting).play(|_, endpoints| endpoints[0].untold_factor = SLOW_FACTOR);
        let shares = shares(&played.endpoints, 0);
        assert!(shares[3..].iter().all(|share| *share <= 0.28), "{shares:?}");
        assert!(played.outcome.share_in_time() >= 0.98, "{:?}", played.outcome);
    }
    endpoints_that_are_all_slow_share_the_requests_and_refuse_none => {
        let setting = Setting { load: 0.3, has_moments: false, ..SETTING };
        let played = Model::new(setting).play(|second, endpoints| {
            for endpoint in endpoints {
                endpoint.untold_factor = if (3..6).contains(&second) { SLOW_FACTOR } else { 1.0 };
            }
        });
        let outcome = &played.outcome;
        assert!(outcome.share_in_time() >= 0.93, "{outcome:?}");
        assert_eq!((outcome.refused, outcome.rejected), (0, 0));
    }
    an_endpoint_that_leaves_gets_no_request_and_the_others_take_its_part => {
        let setting = Setting { endpoints: 12, load: 0.6, ..SETTING };
        let played = Model::new(setting).play(|second, endpoints| endpoints[0].is_gone = second >= 4);
        assert!(played.endpoints[0].sent_in_second[4..].iter().all(|sent| *sent == 0));
        assert!(played.outcome.share_in_time() >= 0.98, "{:?}", played.outcome);
    }
    a_figure_counts_at_once_and_is_forgotten_with_its_age => {
        let mut speed = PlainSpeed::default();
        for number in 0..20 {
            answer(&mut speed, number * 100, 30, 2, Some(1_000));
        }
        assert!((28..=33).contains(&expected_ms(&speed, 2_000)));
        answer(&mut speed, 2_000, 75, 2, Some(2_500));
        assert!(expected_ms(&speed, 2_080) >= 60, "{}", expected_ms(&speed, 2_080));
        assert!(expected_ms(&speed, 5_000) <= 36, "{}", expected_ms(&speed, 5_000));
    }
    an_unanswered_request_shows_that_an_endpoint_has_stopped => {
        let mut speed = PlainSpeed::default();
        answer(&mut speed, 0, 30, 0, None);
        let request = speed.record_sent(ms(100), 0, SLOTS);
        assert!(expected_ms(&speed, 110) <= 35);
        assert!(expected_ms(&speed, 250) >= 120);
        speed.record_end(request);
        assert!(expected_ms(&speed, 250) <= 35);
    }
    a_request_goes_where_it_ends_first_and_not_where_fewest_run => {
        let chosen = |candidates: &[PlainCandidate]| match choose_plain(candidates, ms(1_000), 7) {
            Some(PlainOutcome::Chosen(choice)) => choice.index,
            other => panic!("{other:?}"),
        };
        assert_eq!(chosen(&[candidate(1, 75, 0), candidate(2, 30, 5)]), 1);
        assert_eq!(chosen(&[candidate(1, 75, 0), candidate(2, 30, 20)]), 0);
        let far = PlainCandidate { price: ms(12), ..candidate(2, 30, 0) };
        assert_eq!(chosen(&[candidate(1, 30, 5), far]), 0, "the other one costs more than it saves");
        assert_eq!(chosen(&[candidate(1, 30, 12), far]), 1);
    }
    a_request_that_cannot_begin_in_time_is_refused_until_a_slot_is_free => {
        let full = [candidate(1, 30, 60), candidate(2, 30, 90)];
        let Some(PlainOutcome::TooLate { free_in }) = choose_plain(&full, ms(200), 0) else {
            panic!("60 requests are 300 ms of work for six slots");
        };
        assert!((ms(250)..=ms(320)).contains(&free_in), "{free_in:?}");
        assert!(matches!(choose_plain(&full, ms(400), 0), Some(PlainOutcome::Chosen(_))));
        // Without requests there would be no news that the queue is gone.
        let old = full.map(|one| PlainCandidate { load_age: Some(ms(2_000)), ..one });
        assert!(matches!(choose_plain(&old, ms(200), 0), Some(PlainOutcome::Chosen(_))));
        assert_eq!(choose_plain(&[], ms(200), 0), None);
    }
    a_full_endpoint_is_passed_over_until_a_slot_should_be_free => {
        let mut speed = PlainSpeed::default();
        answer(&mut speed, 0, 30, 0, None);
        speed.record_rejected(ms(30), SLOTS);
        assert!(speed.candidate(ms(31), 0, SLOTS).full_for > Duration::ZERO);
        assert_eq!(speed.candidate(ms(40), 0, SLOTS).full_for, Duration::ZERO);
    }
}
