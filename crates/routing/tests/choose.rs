//! Checks the choice of an endpoint, the retry budget and the circuit breaker.

use std::collections::BTreeSet;
use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::{
    Backlog, Candidate, ChoiceRules, CircuitBreaker, CircuitBreakerRules, Prompt, PromptPart,
    RetryBudget, RetryBudgetRules, SpillLimits, UsageLag, choose_after_refusal, choose_endpoint,
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
        pace: None,
        is_local: true,
        has_cached_prefix: false,
        is_warming_up: false,
    });
    idle.collect()
}

fn prompt(prefix_id: u64, shared_tokens: u32) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        parts: [part(prefix_id, shared_tokens), part(u64::MAX, 2_000)]
            .into_iter()
            .collect(),
        prompt_tokens: shared_tokens + 2_000,
        max_answer_tokens: 50,
    }
}

/// Returns limits that only an idle engine meets, for a request without time left.
fn idle_only() -> SpillLimits {
    SpillLimits {
        idle_tokens: 3_000,
        left: Duration::ZERO,
        own_tokens: 2_000,
    }
}

fn chosen(candidates: &[Candidate], prompt: &Prompt, draw: u64) -> usize {
    let rules = ChoiceRules::default();
    choose_endpoint(candidates, Some(prompt), 10_000, &rules, draw).expect("there are candidates")
}

cases! {
    requests_with_one_prefix_go_to_one_engine_from_every_gateway => {
        let engines = engines(9);
        let prompt = prompt(5, 6_300);
        let homes: BTreeSet<usize> = (0..100).map(|draw| chosen(&engines, &prompt, draw)).collect();
        assert_eq!(homes.len(), 1);
    }
    prefixes_are_spread_over_the_engines => {
        let engines = engines(9);
        let homes: BTreeSet<usize> = (0..84).map(|part| chosen(&engines, &prompt(part, 6_300), 0)).collect();
        assert!(homes.len() >= 8, "{homes:?}");
    }
    a_load_that_costs_less_than_the_prefix_moves_nothing => {
        let mut engines = engines(9);
        let prompt = prompt(5, 6_300);
        let home = chosen(&engines, &prompt, 0);
        engines[home].backlog.unread_tokens = 12_000;
        engines[home].running = 30;
        assert_eq!(chosen(&engines, &prompt, 1), home);
    }
    a_hot_prefix_overflows_to_one_further_engine => {
        let mut engines = engines(9);
        let prompt = prompt(5, 6_300);
        let home = chosen(&engines, &prompt, 0);
        engines[home].backlog.unread_tokens = 40_000;
        let next: BTreeSet<usize> = (0..100).map(|draw| chosen(&engines, &prompt, draw)).collect();
        assert_eq!(next.len(), 1);
        assert!(!next.contains(&home));
    }
    an_engine_with_the_prefix_of_a_busy_home_is_as_good_as_the_home => {
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
    the_loss_of_an_engine_moves_only_its_own_prefixes => {
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
    without_a_shared_prefix_the_least_loaded_local_engine_is_chosen => {
        let least_loaded = |engines: &[Candidate]| choose_endpoint(engines, None, 0, &ChoiceRules::default(), 0);
        let mut engines = engines(3);
        engines[0].running = 10;
        engines[1].is_local = false;
        assert_eq!(least_loaded(&engines), Some(2));
        engines[2].running = 30;
        assert_eq!(least_loaded(&engines), Some(1));
    }
    a_short_prefix_does_not_take_a_long_answer_to_another_data_center => {
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
    a_refused_request_skips_a_busy_engine_for_an_idle_one => {
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
            choose_after_refusal(engines, Some(&prompt), 10_000, &rules, UsageLag::Behind, idle_only(), 0)
        };
        assert_eq!(after(&engines), None, "no engine is idle");
        let idle = (next + 7) % engines.len();
        engines[idle].backlog.unread_tokens = 200;
        assert_eq!(chosen(&engines, &prompt, 0), next, "the choice without a refusal");
        assert_eq!(after(&engines), Some(idle));
        engines[next].backlog.unread_tokens = 900;
        assert_eq!(after(&engines), Some(next), "the next in rank is better once it is idle");
    }
    a_refused_request_of_a_team_behind_finds_an_engine_that_prefills_it_in_time => {
        // Hot teams keep every engine busy, so that none is nearly idle; one prefills its backlog within the
        // time left.
        let rules = ChoiceRules::default();
        let mut engines = engines(9);
        for engine in &mut engines {
            engine.backlog.unread_tokens = 24_000;
        }
        engines[6].backlog.unread_tokens = 9_000;
        let prompt = prompt(5, 100);
        let after = |left_ms| {
            let limits = SpillLimits { left: Duration::from_millis(left_ms), ..idle_only() };
            choose_after_refusal(&engines, Some(&prompt), 10_000, &rules, UsageLag::Behind, limits, 0)
        };
        assert_eq!(after(0), None);
        assert_eq!(after(500), Some(6));
        assert_eq!(after(300), None, "the backlog is not prefilled in time");
    }
    a_refused_request_of_a_team_behind_skips_waiting_requests => {
        // Hot teams fill every queue to just above what an engine prefills in time; only at one engine is
        // most of it granted.
        let mut engines = engines(9);
        for engine in &mut engines {
            engine.backlog = Backlog { unread_tokens: 4_000, waiting_tokens: 12_000 };
        }
        engines[2].backlog = Backlog { unread_tokens: 3_000, waiting_tokens: 11_000 };
        engines[5].backlog = Backlog { unread_tokens: 13_000, waiting_tokens: 0 };
        // An engine of unknown pace prefills 12,500 tokens in this time.
        let limits = SpillLimits { left: Duration::from_millis(500), ..idle_only() };
        let after = |lag| choose_after_refusal(&engines, None, 0, &ChoiceRules::default(), lag, limits, 0);
        assert_eq!(after(UsageLag::Even), None, "it would wait behind them");
        assert_eq!(after(UsageLag::Behind), Some(2), "the lowest backlog of those it may try");
        assert_eq!(after(UsageLag::FarBehind), Some(2));
    }
    a_full_engine_is_left_for_one_with_slots => {
        let mut engines = engines(2);
        engines[0].running = 64;
        engines[1].running = 40;
        engines[1].is_local = false;
        assert_eq!(chosen(&engines, &Prompt::default(), 0), 1);
    }
    without_candidates_none_is_chosen => {
        assert_eq!(choose_endpoint(&[], None, 0, &ChoiceRules::default(), 0), None);
    }
    an_endpoint_is_ejected_after_failures_and_probed_by_one_request => {
        let rules = CircuitBreakerRules::default();
        let mut breaker = CircuitBreaker::default();
        let at = Duration::from_millis;
        assert_eq!(breaker.record_failure(at(0), &rules), None);
        assert!(breaker.allows_request(at(0)));
        assert_eq!(breaker.record_failure(at(10), &rules), Some(at(500)));
        assert!(!breaker.allows_request(at(509)));
        assert!(breaker.allows_request(at(510)));
        breaker.record_sent();
        assert!(!breaker.allows_request(at(511)), "only one request probes it");
        assert_eq!(breaker.record_failure(at(600), &rules), Some(at(1_000)));
        assert!(!breaker.allows_request(at(1_599)));
        breaker.record_sent();
        breaker.record_abandoned();
        assert!(breaker.allows_request(at(1_600)), "an abandoned request is no outcome");
        breaker.record_success();
        assert!(breaker.allows_request(at(1_600)));
    }
}

quickcheck! {
    fn retries_stay_within_the_budget_in_every_window(gaps_ms: Vec<u8>, attempts: u8) -> bool {
        let mut budget = RetryBudget::new(RULES);
        let mut now = Duration::ZERO;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for gap_ms in gaps_ms {
            now += Duration::from_millis(u64::from(gap_ms) * 4);
            budget.record_request(now);
            requests.push(now);
            for _ in 0..attempts % 4 {
                if budget.try_retry(now) {
                    retries.push(now);
                }
            }
        }
        // In every window: its retries against the requests of it and of the window before.
        retries.iter().all(|start| {
            let end = *start + RULES.window;
            let count = retries.iter().filter(|at| **at >= *start && **at < end).count();
            let from = start.saturating_sub(RULES.window);
            let asked = requests.iter().filter(|at| **at >= from && **at < end).count();
            count <= asked / 5 + RULES.burst_retries as usize
        })
    }
}
