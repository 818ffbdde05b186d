//! Tests the retry budgets and the table of idempotency keys.

use std::{collections::HashMap, time::Duration};

use hinge_cases::cases;
use hinge_outcome::{
    FinishedAttempt, GrantId, Outcome, Reason, RetryBudgets, RetryDecision, RetryRules,
    keys::{ClaimAnswer, KeyOutcome, KeyRules, KeyTable, key_digest as key, request_fingerprint},
};
use quickcheck::{Gen, QuickCheck};
use rand::{SeedableRng, rngs::StdRng};

const LEAVING: Outcome = not_run(Reason::Leaving);
const SHED: Outcome = not_run(Reason::Shed);
const FAILED: Outcome = Outcome::Unknown {
    reason: Reason::EndpointFailed,
};
const FAR_DEADLINE: Duration = Duration::from_mins(1);

const fn not_run(reason: Reason) -> Outcome {
    let retry_after = Duration::from_secs(2);
    Outcome::NotRun {
        reason,
        retry_after,
    }
}

fn finished(outcome: Outcome, is_idempotent: bool, answer_started: bool) -> FinishedAttempt {
    FinishedAttempt {
        outcome,
        is_idempotent,
        answer_started,
        attempts: 1,
    }
}

fn retryable((finished, want): (FinishedAttempt, bool)) {
    assert_eq!(finished.is_retryable(), want);
    let mut budgets = RetryBudgets::new(RetryRules::default());
    let mut rng = StdRng::seed_from_u64(1);
    let retry = budgets.decide("a", &finished, Duration::ZERO, FAR_DEADLINE, &mut rng);
    assert_eq!(retry == RetryDecision::Final(finished.outcome), !want);
}

/// Returns a `QuickCheck` runner with a fixed seed, so that every run tests the same cases.
fn checker(tests: u64) -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(tests)
}

cases! { retryable:
    a_proven_not_run_attempt_is_repeated => (finished(LEAVING, false, false), true),
    an_unknown_idempotent_one_is_repeated => (finished(FAILED, true, false), true),
    an_unknown_non_idempotent_one_is_not_repeated => (finished(FAILED, false, false), false),
    a_started_answer_is_not_repeated => (finished(FAILED, true, true), false),
    a_refusal_due_to_load_is_not_repeated => (finished(SHED, true, false), false),
    a_completed_one_is_not_repeated => (finished(Outcome::Completed, true, false), false),
}

/// Retries stay within a fraction of the first attempts plus a burst, for the entry and for each team.
fn budget_holds(seed: u64, teams: Vec<(u8, bool)>) -> bool {
    let rules = RetryRules {
        entry_burst_retries: 4,
        team_burst_retries: 2,
        ..RetryRules::default()
    };
    let mut budgets = RetryBudgets::new(rules);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut counts = HashMap::<Box<str>, (u32, u32)>::new();
    for (team, is_first) in teams.into_iter().cycle().take(3000) {
        let team: Box<str> = format!("team-{}", team % 3).into();
        let count = counts.entry(team.clone()).or_default();
        if is_first {
            budgets.record_first_attempt(&team);
            count.0 += 1;
        }
        let finished = finished(LEAVING, false, false);
        match budgets.decide(&team, &finished, Duration::ZERO, FAR_DEADLINE, &mut rng) {
            RetryDecision::After(delay) if delay > rules.base_delay => return false,
            RetryDecision::After(_) => count.1 += 1,
            RetryDecision::Final(_) => {}
        }
    }
    let within = |(first, retries): (u32, u32), burst: u32| {
        retries * 1000 <= first * rules.retry_permille + burst * 1000
    };
    let sum = |sum: (u32, u32), count: &(u32, u32)| (sum.0 + count.0, sum.1 + count.1);
    let all = counts.values().fold((0, 0), sum);
    within(all, 4) && counts.values().all(|count| within(*count, 2))
}

const RULES: KeyRules = KeyRules {
    keep_finished_ms: 100,
    keep_unknown_ms: 10_000,
    keep_released_ms: 20,
    max_keys_per_team: 3,
    max_keys: 4,
    reserved_keys_per_team: 1,
};

fn holder(claim: u64) -> GrantId {
    GrantId {
        sidecar: claim % 2,
        incarnation: 1,
        claim,
    }
}

/// Applies claims, releases, ends and losses in arbitrary order. Within a key's lifetime only the holder that was granted
/// the key and has not released it may run; a grant to another holder is an error.
fn one_grant_per_lifetime(steps: Vec<(u8, u8)>) -> bool {
    let rules = KeyRules {
        keep_unknown_ms: u64::MAX,
        keep_finished_ms: u64::MAX,
        ..RULES
    };
    let mut table = KeyTable::new();
    let mut owner = None;
    let mut is_over = false;
    for (now_ms, (kind, claim)) in steps.into_iter().enumerate() {
        let (now_ms, holder) = (now_ms as u64, holder(u64::from(claim % 4)));
        match kind % 5 {
            0 | 1 => match table.claim(&rules, "a", key("k"), holder, 1, now_ms) {
                ClaimAnswer::Granted if is_over || owner.is_some_and(|old| old != holder) => {
                    return false;
                }
                ClaimAnswer::Granted => owner = Some(holder),
                _ => {}
            },
            2 if table.release("a", key("k"), holder, now_ms) => {
                if owner.take() != Some(holder) {
                    return false;
                }
                is_over = false;
            }
            3 if table.finish("a", key("k"), holder, KeyOutcome::Failed, now_ms) => {
                if owner != Some(holder) {
                    return false;
                }
                is_over = true;
            }
            4 => is_over |= table.mark_holder_lost(holder.sidecar, 2, now_ms) > 0,
            _ => {}
        }
    }
    true
}

/// The same steps give the same state, a snapshot restores it, and the length stays within the limits.
fn replicas_agree(steps: Vec<(u8, u8, u8, u8)>) -> bool {
    let (mut left, mut right) = (KeyTable::new(), KeyTable::new());
    for (index, (kind, team, name, wait)) in steps.into_iter().enumerate() {
        let apply = |table: &mut KeyTable| {
            let (team, key) = (format!("team-{}", team % 2), key(&format!("{}", name % 8)));
            let (holder, now_ms) = (holder(name.into()), index as u64 * 7 + u64::from(wait));
            match kind % 4 {
                0 | 1 => _ = table.claim(&RULES, &team, key, holder, 1, now_ms),
                2 => _ = table.finish(&team, key, holder, KeyOutcome::Failed, now_ms),
                _ => _ = table.sweep(&RULES, now_ms),
            }
        };
        apply(&mut left);
        apply(&mut right);
        let bytes = rmp_serde::to_vec_named(&right).expect("plain data");
        right = rmp_serde::from_slice(&bytes).expect("what was written");
    }
    left == right && left.len() <= RULES.max_keys + 2 * RULES.reserved_keys_per_team
}

cases! {
    retries_stay_within_the_budgets => {
        checker(300).quickcheck(budget_holds as fn(u64, Vec<(u8, bool)>) -> bool);
    }
    no_retry_exceeds_the_deadline => {
        let mut budgets = RetryBudgets::new(RetryRules::default());
        let (now, deadline) = (Duration::from_millis(960), Duration::from_secs(1));
        let retry = budgets.decide("a", &finished(LEAVING, true, false), now, deadline, &mut StdRng::seed_from_u64(1));
        assert_eq!(retry, RetryDecision::Final(LEAVING));
    }
    a_key_is_granted_once => {
        checker(20_000).quickcheck(one_grant_per_lifetime as fn(Vec<(u8, u8)>) -> bool);
    }
    replicas_of_the_table_agree => {
        checker(300).quickcheck(replicas_agree as fn(Vec<(u8, u8, u8, u8)>) -> bool);
    }
    a_duplicate_claim_returns_the_known_state => {
        let mut table = KeyTable::new();
        let mut claim = |holder, print, now_ms| table.claim(&RULES, "a", key("k"), holder, print, now_ms);
        assert_eq!(claim(holder(1), 1, 5), ClaimAnswer::Granted);
        assert_eq!(claim(holder(1), 1, 6), ClaimAnswer::Granted);
        assert_eq!(claim(holder(2), 1, 7), ClaimAnswer::AlreadyRunning { since_ms: 5 });
        assert_eq!(claim(holder(2), 9, 8), ClaimAnswer::Conflict);
        let outcome = KeyOutcome::Completed { status: 200, answer_bytes: 12 };
        assert!(table.finish("a", key("k"), holder(1), outcome, 10));
        assert!(!table.release("a", key("k"), holder(1), 11));
        assert_eq!(table.claim(&RULES, "a", key("k"), holder(3), 1, 109), ClaimAnswer::Finished { outcome });
        assert_eq!(table.claim(&RULES, "a", key("k"), holder(3), 1, 110), ClaimAnswer::Granted);
    }
    a_lost_holders_key_stays_claimed_until_it_expires => {
        let mut table = KeyTable::new();
        table.claim(&RULES, "a", key("k"), holder(1), 1, 0);
        assert_eq!(table.mark_holder_lost(1, 2, 10), 1);
        let unknown = ClaimAnswer::Finished { outcome: KeyOutcome::Unknown };
        assert_eq!(table.claim(&RULES, "a", key("k"), holder(2), 1, 9_999), unknown);
        assert_eq!(table.claim(&RULES, "a", key("k"), holder(2), 1, 10_000), ClaimAnswer::Granted);
    }
    a_released_key_is_granted_only_to_another_holder => {
        let mut table = KeyTable::new();
        table.claim(&RULES, "a", key("k"), holder(1), 1, 0);
        assert!(table.release("a", key("k"), holder(1), 1));
        assert_eq!(table.claim(&RULES, "a", key("k"), holder(1), 1, 2), ClaimAnswer::Withdrawn);
        assert_eq!(table.claim(&RULES, "a", key("k"), holder(2), 1, 3), ClaimAnswer::Granted);
        assert!(!table.release("a", key("k"), holder(1), 4));
    }
    a_flood_of_keys_affects_only_its_own_team => {
        let mut table = KeyTable::new();
        let mut claim = |team: &str, name: &str, now_ms| table.claim(&RULES, team, key(name), holder(1), 1, now_ms);
        let full = ClaimAnswer::Full { retry_after_ms: 1000 };
        let flood: Vec<_> = ["1", "2", "3", "4"].iter().map(|name| claim("big", name, 0)).collect();
        assert_eq!(flood, [ClaimAnswer::Granted, ClaimAnswer::Granted, ClaimAnswer::Granted, full]);
        assert_eq!([claim("b", "1", 0), claim("b", "2", 0)], [ClaimAnswer::Granted, full]);
        assert_eq!([claim("c", "1", 0), claim("c", "2", 0)], [ClaimAnswer::Granted, full]);
        assert_eq!(claim("big", "4", 20_000), ClaimAnswer::Granted);
        assert_eq!(full.refusal(), Some(Reason::KeyTableFull));
    }
    fingerprints_separate_method_path_and_body => {
        assert_ne!(request_fingerprint("POST", "/a", b"b"), request_fingerprint("POST", "/ab", b""));
    }
}
