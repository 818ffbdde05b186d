//! Replays the loads that the choice of an endpoint, the retry budget and the standing answer.

use std::collections::BTreeSet;
use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::{
    Backlog, BacklogLimits, Candidate, ChoiceRules, CircuitBreaker, CircuitBreakerRules, Prompt,
    PromptPart, RetryBudget, RetryBudgetRules, UsageLag, choose_after_refusal, choose_endpoint,
};
use quickcheck::quickcheck;

const RULES: RetryBudgetRules = RetryBudgetRules {
    retry_permille: 200,
    burst_retries: 48,
    window: Duration::from_secs(10),
};

fn engines(count: u64) -> Vec<Candidate> {
    let hashes = (1..=count).map(|number| number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let idle = hashes.map(|hash| Candidate {
        hash,
        running: 0,
        slots: 64,
        backlog: Backlog::default(),
        is_local: true,
        has_cached_prefix: false,
    });
    idle.collect()
}

fn prompt(shared_part: u64, shared_tokens: u32) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        parts: [part(shared_part, shared_tokens), part(u64::MAX, 2_000)]
            .into_iter()
            .collect(),
        prompt_tokens: shared_tokens + 2_000,
        max_answer_tokens: 50,
    }
}

/// Returns the room where the time that is left is of no use but at an idle engine.
fn only_idle() -> BacklogLimits {
    BacklogLimits {
        idle_tokens: 3_000,
        prefillable_tokens: 0,
    }
}

fn chosen(candidates: &[Candidate], prompt: &Prompt, draw: u64) -> usize {
    let rules = ChoiceRules::default();
    choose_endpoint(candidates, Some(prompt), 10_000, &rules, draw).expect("there are candidates")
}

cases! {
    requests_that_share_a_part_meet_at_one_engine_whoever_chooses => {
        let engines = engines(9);
        let prompt = prompt(5, 6_300);
        let homes: BTreeSet<usize> = (0..100).map(|draw| chosen(&engines, &prompt, draw)).collect();
        assert_eq!(homes.len(), 1);
    }
    different_parts_spread_over_the_engines => {
        let engines = engines(9);
        let homes: BTreeSet<usize> = (0..84).map(|part| chosen(&engines, &prompt(part, 6_300), 0)).collect();
        assert!(homes.len() >= 8, "{homes:?}");
    }
    a_load_that_is_cheaper_than_reading_the_part_anew_moves_nothing => {
        let mut engines = engines(9);
        let prompt = prompt(5, 6_300);
        let home = chosen(&engines, &prompt, 0);
        engines[home].backlog.unread_tokens = 12_000;
        engines[home].running = 30;
        assert_eq!(chosen(&engines, &prompt, 1), home);
    }
    a_hot_part_overflows_to_one_further_engine => {
        let mut engines = engines(9);
        let prompt = prompt(5, 6_300);
        let home = chosen(&engines, &prompt, 0);
        engines[home].backlog.unread_tokens = 40_000;
        let next: BTreeSet<usize> = (0..100).map(|draw| chosen(&engines, &prompt, draw)).collect();
        assert_eq!(next.len(), 1);
        assert!(!next.contains(&home));
    }
    an_engine_that_has_the_parts_of_a_busy_home_is_as_good_as_the_home => {
        let mut engines = engines(9);
        let prompt = prompt(5, 6_300);
        let home = chosen(&engines, &prompt, 0);
        engines[home].backlog.unread_tokens = 12_000;
        let copy = (home + 4) % engines.len();
        engines[copy].has_cached_prefix = true;
        assert_eq!(chosen(&engines, &prompt, 0), copy);
        engines[copy].backlog.unread_tokens = 20_000;
        assert_eq!(chosen(&engines, &prompt, 0), home);
    }
    the_loss_of_an_engine_moves_only_its_own_parts => {
        let all = engines(9);
        let lost = all[3].hash;
        let left: Vec<Candidate> = all.iter().copied().filter(|engine| engine.hash != lost).collect();
        for part in 0..84 {
            let prompt = prompt(part, 6_300);
            let before = all[chosen(&all, &prompt, 0)].hash;
            let after = left[chosen(&left, &prompt, 0)].hash;
            assert!(before == lost || before == after, "part {part} moved");
        }
    }
    without_shared_parts_the_idlest_near_engine_is_chosen => {
        let idlest = |engines: &[Candidate]| choose_endpoint(engines, None, 0, &ChoiceRules::default(), 0);
        let mut engines = engines(3);
        engines[0].running = 10;
        engines[1].is_local = false;
        assert_eq!(idlest(&engines), Some(2));
        engines[2].running = 30;
        assert_eq!(idlest(&engines), Some(1));
    }
    a_short_shared_part_does_not_take_a_long_answer_to_another_data_center => {
        let mut engines = engines(2);
        let short = prompt(5, 170);
        let home = chosen(&engines, &short, 0);
        engines[home].is_local = false;
        assert_ne!(chosen(&engines, &short, 0), home);
        let long = prompt(5, 6_300);
        let home = chosen(&engines, &long, 0);
        engines[home].is_local = false;
        engines[1 - home].is_local = true;
        assert_eq!(chosen(&engines, &long, 0), home);
    }
    a_refused_request_finds_an_idle_engine_though_the_next_in_rank_is_busy => {
        let mut engines = engines(44);
        let prompt = prompt(5, 6_300);
        let home = chosen(&engines, &prompt, 0);
        engines.remove(home);
        let next = chosen(&engines, &prompt, 0);
        for engine in &mut engines {
            engine.backlog.unread_tokens = 5_000;
        }
        let after = |engines: &[Candidate]| {
            let rules = ChoiceRules::default();
            choose_after_refusal(engines, Some(&prompt), 10_000, &rules, UsageLag::Behind, only_idle(), 0)
        };
        assert_eq!(after(&engines), None, "nobody is idle");
        let idle = (next + 7) % engines.len();
        engines[idle].backlog.unread_tokens = 200;
        assert_eq!(chosen(&engines, &prompt, 0), next, "which is what it would ask else");
        assert_eq!(after(&engines), Some(idle));
        engines[next].backlog.unread_tokens = 900;
        assert_eq!(after(&engines), Some(next), "an idle one that has some of the parts is better");
    }
    a_refused_request_of_a_team_that_is_behind_finds_the_engine_that_reads_it_in_time => {
        // Hot teams keep every engine busy, so that none is nearly idle; one reads what it has within the time that is left.
        let rules = ChoiceRules::default();
        let mut engines = engines(9);
        for engine in &mut engines {
            engine.backlog.unread_tokens = 24_000;
        }
        engines[6].backlog.unread_tokens = 9_000;
        let prompt = prompt(5, 100);
        let after = |time_ms| {
            let prefillable_tokens = rules.prefillable_tokens(Duration::from_millis(time_ms));
            let room = BacklogLimits { prefillable_tokens, ..only_idle() };
            choose_after_refusal(&engines, Some(&prompt), 10_000, &rules, UsageLag::Behind, room, 0)
        };
        assert_eq!(after(0), None);
        assert_eq!(after(500), Some(6));
        assert_eq!(after(300), None, "its turn would come too late");
    }
    a_refused_request_of_a_team_that_is_behind_passes_by_what_waits => {
        // Hot teams fill every queue to just above what an engine reads in time; little of it is granted, but at one engine.
        let mut engines = engines(9);
        for engine in &mut engines {
            engine.backlog = Backlog { unread_tokens: 4_000, waiting_tokens: 12_000 };
        }
        engines[2].backlog = Backlog { unread_tokens: 3_000, waiting_tokens: 11_000 };
        engines[5].backlog = Backlog { unread_tokens: 13_000, waiting_tokens: 0 };
        let room = BacklogLimits { prefillable_tokens: 12_500, ..only_idle() };
        let after = |lag| choose_after_refusal(&engines, None, 0, &ChoiceRules::default(), lag, room, 0);
        assert_eq!(after(UsageLag::Even), None, "it would wait behind them");
        assert_eq!(after(UsageLag::Behind), Some(2), "the least that is before it or beside it");
        assert_eq!(after(UsageLag::FarBehind), Some(2));
    }
    a_full_engine_is_left_for_one_with_slots => {
        let mut engines = engines(2);
        engines[0].running = 64;
        engines[1].running = 40;
        engines[1].is_local = false;
        assert_eq!(chosen(&engines, &Prompt::default(), 0), 1);
    }
    nobody_is_chosen_of_none => {
        assert_eq!(choose_endpoint(&[], None, 0, &ChoiceRules::default(), 0), None);
    }
    an_endpoint_is_held_out_after_failures_and_tried_by_one_request => {
        let rules = CircuitBreakerRules::default();
        let mut standing = CircuitBreaker::default();
        let at = Duration::from_millis;
        assert_eq!(standing.record_failure(at(0), &rules), None);
        assert!(standing.allows_request(at(0)));
        assert_eq!(standing.record_failure(at(10), &rules), Some(at(500)));
        assert!(!standing.allows_request(at(509)));
        assert!(standing.allows_request(at(510)));
        standing.record_sent();
        assert!(!standing.allows_request(at(511)), "one request tries it, not all");
        assert_eq!(standing.record_failure(at(600), &rules), Some(at(1_000)));
        assert!(!standing.allows_request(at(1_599)));
        standing.record_sent();
        standing.record_abandoned();
        assert!(standing.allows_request(at(1_600)), "a caller that left says nothing");
        standing.record_success();
        assert!(standing.allows_request(at(1_600)));
    }
}

quickcheck! {
    fn no_window_has_more_repeats_than_its_requests_allow(gaps_ms: Vec<u8>, tries: u8) -> bool {
        let mut budget = RetryBudget::new(RULES);
        let mut now = Duration::ZERO;
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for gap_ms in gaps_ms {
            now += Duration::from_millis(u64::from(gap_ms) * 4);
            budget.record_request(now);
            requests.push(now);
            for _ in 0..tries % 4 {
                if budget.try_retry(now) {
                    repeats.push(now);
                }
            }
        }
        // Any span of a window: its repeats against the requests of it and of the window before.
        repeats.iter().all(|start| {
            let end = *start + RULES.window;
            let count = repeats.iter().filter(|at| **at >= *start && **at < end).count();
            let from = start.saturating_sub(RULES.window);
            let asked = requests.iter().filter(|at| **at >= from && **at < end).count();
            count <= asked / 5 + RULES.burst_retries as usize
        })
    }
}
