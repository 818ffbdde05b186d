//! Checks that the choice of an endpoint counts load in time, by each endpoint's own pace.

use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::{
    Backlog, Candidate, ChoiceRules, KvSource, Pace, Prompt, PromptPart, SpillLimits, UsageLag,
    choose_after_refusal, choose_endpoint, choose_kv_source, home_rank,
};
use quickcheck::quickcheck;

/// Rates of the slow, usual and fast engines, in tokens per second.
const SPEEDS: [u32; 3] = [55_000, 92_000, 147_000];

fn pace(tokens_per_s: u32) -> Pace {
    Pace::reported(tokens_per_s, tokens_per_s, Duration::ZERO).expect("a plausible rate")
}

fn engine(number: u64, pace: Option<Pace>) -> Candidate {
    Candidate {
        hash: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        running: 0,
        slots: 128,
        backlog: Backlog::default(),
        pace,
        is_local: true,
        has_cached_prefix: false,
        is_warming_up: false,
    }
}

fn engines(count: u64, pace_of: impl Fn(u64) -> Option<Pace>) -> Vec<Candidate> {
    (1..=count)
        .map(|number| engine(number, pace_of(number)))
        .collect()
}

fn three_speeds(number: u64) -> Pace {
    pace(SPEEDS[usize::try_from(number % 3).expect("small")])
}

fn prompt(id: u64, shared_tokens: u32, own_tokens: u32) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        parts: [part(id, shared_tokens), part(u64::MAX, own_tokens)]
            .into_iter()
            .collect(),
        prompt_tokens: shared_tokens + own_tokens,
        max_answer_tokens: 50,
    }
}

fn chosen(candidates: &[Candidate], prompt: &Prompt) -> usize {
    let rules = ChoiceRules::default();
    choose_endpoint(candidates, Some(prompt), 10_000, &rules, 0).expect("there are candidates")
}

/// Returns the home of each of many prefixes.
fn homes(candidates: &[Candidate]) -> Vec<u64> {
    let homes = (0..5_000).map(|id| candidates[chosen(candidates, &prompt(id, 6_300, 2_890))].hash);
    homes.collect()
}

/// Returns how many of the prefixes have another home, in thousandths.
fn moved_permille(before: &[u64], after: &[u64]) -> usize {
    let moved = before
        .iter()
        .zip(after)
        .filter(|(before, after)| before != after);
    moved.count() * 1_000 / before.len()
}

cases! {
    equal_and_unknown_rates_give_the_homes_of_unweighted_hashing => {
        let unweighted = |candidates: &[Candidate]| -> Vec<u64> {
            let first = |id| {
                let (key, _) = prompt(id, 6_300, 2_890).shared_key().expect("it shares a part");
                let hashes = candidates.iter().map(|candidate| candidate.hash);
                hashes.max_by_key(|hash| home_rank(key, *hash)).expect("there are candidates")
            };
            (0..5_000).map(first).collect()
        };
        for count in [1, 2, 12, 43] {
            let unknown = engines(count, |_| None);
            assert_eq!(homes(&unknown), unweighted(&unknown));
            let equal = engines(count, |_| Some(pace(92_000)));
            assert_eq!(homes(&equal), unweighted(&equal));
            let some_unknown = engines(count, |number| (number % 2 == 0).then(|| pace(92_000)));
            assert_eq!(homes(&some_unknown), unweighted(&some_unknown));
        }
    }
    homes_follow_the_rates => {
        let engines = engines(42, |number| Some(three_speeds(number)));
        let homes = homes(&engines);
        let total: u32 = engines.iter().filter_map(|engine| engine.pace).map(Pace::usual_tokens_per_s).sum();
        for speed in SPEEDS {
            let of_speed = |hash: &&u64| {
                let engine = engines.iter().find(|engine| engine.hash == **hash);
                engine.and_then(|engine| engine.pace).map(Pace::usual_tokens_per_s) == Some(speed)
            };
            let count = u32::try_from(homes.iter().filter(of_speed).count()).expect("small");
            let due = 5_000 * (speed * 14 / 1_000) / (total / 1_000);
            assert!(count.abs_diff(due) < due / 10, "{speed}: {count} of {due}");
        }
    }
    a_rate_that_wobbles_moves_few_prefixes => {
        for count in [12, 43, 200] {
            let before = engines(count, |number| Some(three_speeds(number)));
            for (index, factor) in [(0, 110), (1, 90), (5, 110), (8, 90)] {
                let mut after = before.clone();
                let usual = before[index].pace.expect("it is known").usual_tokens_per_s();
                after[index].pace = Some(pace(usual / 100 * factor));
                let moved = moved_permille(&homes(&before), &homes(&after));
                assert!(moved < 20, "{count} endpoints: {moved}");
            }
        }
    }
    a_moment_moves_no_home => {
        let before = engines(43, |number| Some(three_speeds(number)));
        let mut after = before.clone();
        let usual = before[7].pace.expect("it is known").usual_tokens_per_s();
        after[7].pace = Pace::reported(usual * 2 / 5, usual, Duration::ZERO);
        let idle = |candidates: &[Candidate]| {
            let sources: Vec<KvSource> = candidates
                .iter()
                .map(|candidate| KvSource { hash: candidate.hash, incarnation: 0, pace: candidate.pace })
                .collect();
            let home = |id| choose_kv_source(&sources, &[], &prompt(id, 6_300, 0), Duration::ZERO, None);
            (0..1_000).map(home).collect::<Vec<_>>()
        };
        assert_eq!(idle(&before), idle(&after));
    }
    an_endpoint_that_leaves_moves_only_its_own_prefixes => {
        for count in [12, 43] {
            let all = engines(count, |number| Some(three_speeds(number)));
            let gone = all[3].hash;
            let left: Vec<Candidate> = all.iter().copied().filter(|engine| engine.hash != gone).collect();
            for (before, after) in homes(&all).iter().zip(homes(&left)) {
                assert!(*before == gone || *before == after);
            }
        }
    }
    a_queue_counts_by_the_time_that_it_takes => {
        let mut engines = vec![engine(1, Some(pace(55_000))), engine(2, Some(pace(147_000)))];
        engines[0].backlog.unread_tokens = 5_000;
        engines[1].backlog.unread_tokens = 12_000;
        let request = prompt(5, 0, 543);
        assert_eq!(chosen(&engines, &request), 1, "82 ms of work against 91");
        engines[1].backlog.unread_tokens = 15_000;
        assert_eq!(chosen(&engines, &request), 0, "102 ms of work");
        engines[0].pace = Pace::reported(22_000, 55_000, Duration::ZERO);
        assert_eq!(chosen(&engines, &request), 1, "a slow moment: 227 ms");
    }
    a_long_prompt_counts_its_own_time => {
        let mut engines = vec![engine(1, Some(pace(55_000))), engine(2, Some(pace(147_000)))];
        engines[1].backlog.unread_tokens = 3_000;
        assert_eq!(chosen(&engines, &prompt(5, 0, 543)), 0);
        assert_eq!(chosen(&engines, &prompt(5, 0, 2_890)), 1, "20 + 20 ms against 53");
    }
    the_time_to_the_first_event_counts => {
        let slow_start = Pace::reported(92_000, 92_000, Duration::from_millis(60));
        let mut engines = vec![engine(1, slow_start), engine(2, Some(pace(92_000)))];
        engines[1].backlog.unread_tokens = 5_000;
        assert_eq!(chosen(&engines, &prompt(5, 0, 543)), 1);
        engines[1].backlog.unread_tokens = 6_000;
        assert_eq!(chosen(&engines, &prompt(5, 0, 543)), 0);
    }
    the_price_of_missing_tokens_is_that_of_the_usual_pace => {
        let mut engines = engines(2, |_| Some(pace(92_000)));
        let request = prompt(5, 2_000, 0);
        let home = chosen(&engines, &request);
        engines[home].backlog.unread_tokens = 14_000;
        engines[1 - home].pace = Pace::reported(37_000, 92_000, Duration::ZERO);
        assert_eq!(chosen(&engines, &request), 1 - home, "82 ms, where it is slow for a moment, against 152");
    }
    no_prefix_is_so_long_that_it_waits_for_an_objective_beside_an_idle_endpoint => {
        for speed in SPEEDS.into_iter().chain([10_000]) {
            let mut engines = engines(12, |_| Some(pace(speed)));
            let request = prompt(5, 40_000, 2_000);
            let home = chosen(&engines, &request);
            engines[home].backlog.unread_tokens = pace(speed).tokens_in(Duration::from_millis(500));
            assert_ne!(chosen(&engines, &request), home);
        }
    }
    a_long_prefix_overflows_to_one_further_engine => {
        for speed in SPEEDS.into_iter().chain([10_000]) {
            let mut engines = engines(12, |_| Some(pace(speed)));
            let request = prompt(5, 40_000, 2_000);
            let home = chosen(&engines, &request);
            engines[home].backlog.unread_tokens = pace(speed).tokens_in(Duration::from_secs(1));
            let rules = ChoiceRules::default();
            let next = |draw| choose_endpoint(&engines, Some(&request), 0, &rules, draw);
            assert!((1..50).all(|draw| next(draw) == next(0)), "{speed}");
        }
    }
    an_engine_of_unknown_pace_counts_as_its_median_neighbour => {
        let mut engines = engines(9, |number| Some(three_speeds(number)));
        let request = prompt(5, 0, 2_890);
        for engine in &mut engines {
            engine.backlog.unread_tokens = 80_000;
        }
        engines[4].pace = None;
        engines[4].backlog.unread_tokens = 40_000;
        assert_eq!(chosen(&engines, &request), 4, "435 ms of work against 544 at the fast ones");
        engines[4].backlog.unread_tokens = 60_000;
        assert_ne!(chosen(&engines, &request), 4, "652 ms");
    }
    limits_after_a_refusal_are_times => {
        let rules = ChoiceRules::default();
        let limits = SpillLimits { idle_tokens: 3_000, left: Duration::from_millis(200), own_tokens: 1_000 };
        let at = |pace| {
            let limits = limits.at(pace, &rules);
            (limits.idle_tokens, limits.prefillable_tokens)
        };
        assert_eq!(at(None), (3_000, 5_000));
        assert_eq!(at(Some(pace(40_000))), (3_000, 7_000));
        assert_eq!(at(Some(pace(147_000))), (11_025, 28_400));
        assert_eq!(at(Pace::reported(40_000, 40_000, Duration::from_millis(190))), (3_000, 0));
    }
    after_a_refusal_a_fast_engine_may_be_tried_with_more_tokens => {
        let mut engines = vec![engine(1, Some(pace(55_000))), engine(2, Some(pace(147_000)))];
        engines[0].backlog.unread_tokens = 9_000;
        engines[1].backlog.unread_tokens = 9_000;
        let limits = SpillLimits { idle_tokens: 3_000, left: Duration::ZERO, own_tokens: 0 };
        let after = |engines: &[Candidate], lag| {
            choose_after_refusal(engines, None, 0, &ChoiceRules::default(), lag, limits, 0)
        };
        assert_eq!(after(&engines, UsageLag::Even), Some(1));
        assert_eq!(after(&engines, UsageLag::Behind), Some(1));
        assert_eq!(after(&engines[..1], UsageLag::Behind), None);
    }
    a_fast_engine_prefills_what_a_slow_one_copies => {
        let sources = [1, 2].map(|hash| KvSource { hash, incarnation: hash, pace: None });
        let copy = |pace| choose_kv_source(&sources, &[2], &prompt(5, 568, 0), Duration::from_micros(1), pace);
        assert_eq!(copy(Some(pace(20_000))), Some(1));
        assert_eq!(copy(Some(pace(147_000))), None, "3.9 ms");
    }
    implausible_figures_change_nothing => {
        let none = Duration::ZERO;
        for absurd in [0, 999, 1_000_000_000, u32::MAX] {
            assert_eq!(Pace::reported(absurd, absurd, none), None);
            assert_eq!(Pace::reported(absurd, 92_000, none), Some(pace(92_000)));
            assert_eq!(Pace::reported(92_000, absurd, none), Some(pace(92_000)));
        }
        assert_eq!(Pace::reported(92_000, 92_000, Duration::from_secs(3)), Some(pace(92_000)));
    }
    old_news_of_a_moment_give_way_to_the_usual_pace => {
        let slow = Pace::reported(40_000, 100_000, Duration::ZERO).expect("plausible");
        let rate_after = |age_ms| slow.after(Duration::from_millis(age_ms)).tokens_per_s();
        assert_eq!(rate_after(0), 40_000);
        // Half of 25 and of 10 µs per token.
        assert_eq!(rate_after(250), 57_142);
        assert_eq!(rate_after(500), 100_000);
        assert_eq!(rate_after(1_000_000), 100_000);
    }
}

quickcheck! {
    fn any_figures_give_a_choice_without_overflow(figures: Vec<(u32, u32, u32, u32)>, tokens: u32, age_ms: u32) -> bool {
        let engines: Vec<Candidate> = (1_u64..)
            .zip(&figures)
            .map(|(number, (moment, usual, first_event_ms, load))| {
                let first_event = Duration::from_millis(u64::from(*first_event_ms));
                let pace = Pace::reported(*moment, *usual, first_event);
                let pace = pace.map(|pace| pace.after(Duration::from_millis(u64::from(age_ms))));
                let backlog = Backlog { unread_tokens: *load, waiting_tokens: *moment };
                Candidate { backlog, running: *usual, ..engine(number, pace) }
            })
            .collect();
        let prompt = prompt(5, tokens / 2, tokens / 2);
        choose_endpoint(&engines, Some(&prompt), u64::from(tokens), &ChoiceRules::default(), 0).is_some() != engines.is_empty()
    }
}
