//! Checks from which engine a shared prompt prefix is copied.

use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::{
    Backlog, CachedPrefixes, Candidate, ChoiceRules, KvSource, Prompt, PromptPart, choose_endpoint,
    choose_kv_source, token_copy_time,
};

/// Time to copy a token of 18 KB over 130 Gbit/s.
const COPY_TOKEN: Duration = Duration::from_nanos(1_134);

fn prompt(id: u64, shared_tokens: u32) -> Prompt {
    Prompt {
        parts: [
            PromptPart {
                id,
                tokens: shared_tokens,
            },
            PromptPart {
                id: 99,
                tokens: 600,
            },
        ]
        .into_iter()
        .collect(),
        prompt_tokens: shared_tokens + 600,
        max_answer_tokens: 300,
    }
}

fn sources(count: u64) -> Vec<KvSource> {
    (0..count)
        .map(|number| KvSource {
            hash: number * 7_919 + 3,
            incarnation: number * 7_919 + 3,
            pace: None,
        })
        .collect()
}

cases! {
    the_copy_time_depends_on_token_size_and_bandwidth => {
        assert_eq!(token_copy_time(18_432, 130_000), Some(COPY_TOKEN));
        assert_eq!(token_copy_time(163_840, 260_000), Some(Duration::from_nanos(5_041)));
        assert_eq!(token_copy_time(18_432, 0), None);
        assert_eq!(token_copy_time(0, 130_000), None);
        assert_eq!(token_copy_time(u64::MAX, 1), None);
    }
    a_prompt_that_leaves_its_busy_home_copies_the_prefix_from_it => {
        // All requests with one prefix arrive at once, and its home has no capacity for most of them.
        let sources = sources(9);
        let prompt = prompt(5, 5_382);
        let mut candidates: Vec<Candidate> = sources
            .iter()
            .map(|source| Candidate {
                hash: source.hash,
                running: 0,
                slots: 64,
                backlog: Backlog::default(),
                pace: None,
                is_local: true,
                has_cached_prefix: false,
                is_warming_up: false,
            })
            .collect();
        let rules = ChoiceRules::default();
        let home = choose_endpoint(&candidates, Some(&prompt), 0, &rules, 0).expect("there are engines");
        candidates[home].backlog.unread_tokens = 60_000;
        let other = choose_endpoint(&candidates, Some(&prompt), 0, &rules, 0).expect("there are engines");
        assert_ne!(other, home);
        assert_eq!(choose_kv_source(&sources, &[], &prompt, COPY_TOKEN, None), Some(home));
    }
    a_home_without_the_prefix_copies_it_from_its_last_holder => {
        // The home restarted with an empty cache; meanwhile the prefix was used at the next engine in rank,
        // and then at a third one.
        let sources = sources(9);
        let prompt = prompt(5, 5_382);
        let home = choose_kv_source(&sources, &[], &prompt, COPY_TOKEN, None).expect("there are engines");
        let (next, third) = ((home + 1) % 9, (home + 2) % 9);
        let mut cached = CachedPrefixes::default();
        let (key, _) = prompt.shared_key().expect("it shares parts");
        cached.record(Duration::from_secs(1), key, sources[next].hash);
        cached.record(Duration::from_secs(2), key, sources[third].hash);
        let holders = cached.holders(Duration::from_secs(3), key);
        assert_eq!(choose_kv_source(&sources, &holders, &prompt, COPY_TOKEN, None), Some(third));
        // An ejected holder is no source; the holder before it is.
        let left: Vec<KvSource> = sources
            .iter()
            .copied()
            .filter(|source| source.hash != sources[third].hash)
            .collect();
        let index = choose_kv_source(&left, &holders, &prompt, COPY_TOKEN, None).expect("there are engines");
        assert_eq!(left[index], sources[next]);
    }
    a_restarted_engine_has_nothing_cached_and_stays_the_home => {
        let mut sources = sources(9);
        let prompt = prompt(5, 5_382);
        let home = choose_kv_source(&sources, &[], &prompt, COPY_TOKEN, None).expect("there are engines");
        let next = (home + 1) % 9;
        let (key, _) = prompt.shared_key().expect("it shares parts");
        let mut cached = CachedPrefixes::default();
        cached.record(Duration::from_secs(1), key, sources[next].incarnation);
        cached.record(Duration::from_secs(2), key, sources[home].incarnation);
        sources[home].incarnation += 1;
        let holders = cached.holders(Duration::from_secs(3), key);
        assert!(!holders.contains(&sources[home].incarnation));
        assert_eq!(choose_kv_source(&sources, &holders, &prompt, COPY_TOKEN, None), Some(next));
        assert_eq!(choose_kv_source(&sources, &[], &prompt, COPY_TOKEN, None), Some(home));
    }
    a_prefix_that_was_not_used_for_long_counts_as_evicted => {
        let mut cached = CachedPrefixes::default();
        cached.record(Duration::ZERO, 7, 1);
        assert_eq!(cached.holders(Duration::from_millis(5_999), 7).as_slice(), [1]);
        assert!(cached.holders(Duration::from_secs(6), 7).is_empty());
        assert!(cached.holders(Duration::ZERO, 8).is_empty());
    }
    remembered_prefixes_and_holders_are_bounded => {
        let mut cached = CachedPrefixes::default();
        for endpoint in 0..9 {
            cached.record(Duration::ZERO, 7, endpoint);
        }
        assert_eq!(cached.holders(Duration::ZERO, 7).as_slice(), [8, 7, 6, 5]);
        let mut cached = CachedPrefixes::default();
        for key in 0..20_000_u64 {
            let now = Duration::from_micros(key);
            cached.record(now, key, 1);
            assert_eq!(cached.holders(now, key).as_slice(), [1], "the newest is always remembered");
        }
        assert!(cached.len() <= 4_096);
    }
    a_short_prefix_is_prefilled_again_rather_than_copied => {
        assert_eq!(choose_kv_source(&sources(9), &[], &prompt(5, 198), COPY_TOKEN, None), None);
        assert!(choose_kv_source(&sources(9), &[], &prompt(5, 568), COPY_TOKEN, None).is_some());
    }
    a_prefix_is_prefilled_again_where_the_link_is_slow => {
        let slow = Duration::from_micros(40);
        assert_eq!(choose_kv_source(&sources(9), &[], &prompt(5, 5_382), slow, None), None);
    }
    nothing_is_copied_without_sources_or_a_shared_prefix => {
        assert_eq!(choose_kv_source(&[], &[], &prompt(5, 5_382), COPY_TOKEN, None), None);
        assert_eq!(choose_kv_source(&sources(9), &[], &Prompt::default(), COPY_TOKEN, None), None);
    }
}
