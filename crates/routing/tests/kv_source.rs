//! Checks from which engine the shared parts of a prompt are copied.

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
        })
        .collect()
}

cases! {
    the_time_of_a_copy_follows_from_the_size_of_a_token_and_the_link => {
        assert_eq!(token_copy_time(18_432, 130_000), Some(COPY_TOKEN));
        assert_eq!(token_copy_time(163_840, 260_000), Some(Duration::from_nanos(5_041)));
        assert_eq!(token_copy_time(18_432, 0), None);
        assert_eq!(token_copy_time(0, 130_000), None);
        assert_eq!(token_copy_time(u64::MAX, 1), None);
    }
    a_prompt_that_leaves_its_busy_home_is_copied_from_there => {
        // All requests of one part come at once, and its home has no room for most of them.
        let sources = sources(9);
        let prompt = prompt(5, 5_382);
        let mut candidates: Vec<Candidate> = sources
            .iter()
            .map(|source| Candidate {
                hash: source.hash,
                running: 0,
                slots: 64,
                backlog: Backlog::default(),
                is_local: true,
                has_cached_prefix: false,
            })
            .collect();
        let rules = ChoiceRules::default();
        let home = choose_endpoint(&candidates, Some(&prompt), 0, &rules, 0).expect("there are engines");
        candidates[home].backlog.unread_tokens = 60_000;
        let other = choose_endpoint(&candidates, Some(&prompt), 0, &rules, 0).expect("there are engines");
        assert_ne!(other, home);
        assert_eq!(choose_kv_source(&sources, &[], &prompt, COPY_TOKEN), Some(home));
    }
    a_home_that_has_lost_the_part_copies_it_from_where_it_was_read_last => {
        // The home ended and came back empty; in between the part was read at the next in rank, and then at a third engine.
        let sources = sources(9);
        let prompt = prompt(5, 5_382);
        let home = choose_kv_source(&sources, &[], &prompt, COPY_TOKEN).expect("there are engines");
        let (next, third) = ((home + 1) % 9, (home + 2) % 9);
        let mut kept = CachedPrefixes::default();
        let (key, _) = prompt.shared_key().expect("it shares parts");
        kept.record(Duration::from_secs(1), key, sources[next].hash);
        kept.record(Duration::from_secs(2), key, sources[third].hash);
        let holders = kept.holders(Duration::from_secs(3), key);
        assert_eq!(choose_kv_source(&sources, &holders, &prompt, COPY_TOKEN), Some(third));
        // One that is held out is no source, and the one before it is.
        let left: Vec<KvSource> = sources
            .iter()
            .copied()
            .filter(|source| source.hash != sources[third].hash)
            .collect();
        let place = choose_kv_source(&left, &holders, &prompt, COPY_TOKEN).expect("there are engines");
        assert_eq!(left[place], sources[next]);
    }
    an_engine_that_has_started_again_keeps_nothing_and_stays_the_home => {
        let mut sources = sources(9);
        let prompt = prompt(5, 5_382);
        let home = choose_kv_source(&sources, &[], &prompt, COPY_TOKEN).expect("there are engines");
        let next = (home + 1) % 9;
        let (key, _) = prompt.shared_key().expect("it shares parts");
        let mut kept = CachedPrefixes::default();
        kept.record(Duration::from_secs(1), key, sources[next].incarnation);
        kept.record(Duration::from_secs(2), key, sources[home].incarnation);
        sources[home].incarnation += 1;
        let holders = kept.holders(Duration::from_secs(3), key);
        assert!(!holders.contains(&sources[home].incarnation));
        assert_eq!(choose_kv_source(&sources, &holders, &prompt, COPY_TOKEN), Some(next));
        assert_eq!(choose_kv_source(&sources, &[], &prompt, COPY_TOKEN), Some(home));
    }
    a_part_that_was_not_used_for_long_counts_as_gone => {
        let mut kept = CachedPrefixes::default();
        kept.record(Duration::ZERO, 7, 1);
        assert_eq!(kept.holders(Duration::from_millis(5_999), 7).as_slice(), [1]);
        assert!(kept.holders(Duration::from_secs(6), 7).is_empty());
        assert!(kept.holders(Duration::ZERO, 8).is_empty());
    }
    the_parts_and_their_holders_that_are_remembered_are_bounded => {
        let mut kept = CachedPrefixes::default();
        for endpoint in 0..9 {
            kept.record(Duration::ZERO, 7, endpoint);
        }
        assert_eq!(kept.holders(Duration::ZERO, 7).as_slice(), [8, 7, 6, 5]);
        let mut kept = CachedPrefixes::default();
        for key in 0..20_000_u64 {
            let now = Duration::from_micros(key);
            kept.record(now, key, 1);
            assert_eq!(kept.holders(now, key).as_slice(), [1], "the newest is always remembered");
        }
        assert!(kept.len() <= 4_096);
    }
    a_short_part_is_read_again_since_the_setup_of_a_copy_takes_as_long => {
        assert_eq!(choose_kv_source(&sources(9), &[], &prompt(5, 198), COPY_TOKEN), None);
        assert!(choose_kv_source(&sources(9), &[], &prompt(5, 568), COPY_TOKEN).is_some());
    }
    a_part_is_read_again_where_the_link_is_slower_than_the_engine => {
        let slow = Duration::from_micros(40);
        assert_eq!(choose_kv_source(&sources(9), &[], &prompt(5, 5_382), slow), None);
    }
    nothing_is_copied_where_no_engine_is_sound_or_nothing_is_shared => {
        assert_eq!(choose_kv_source(&[], &[], &prompt(5, 5_382), COPY_TOKEN), None);
        assert_eq!(choose_kv_source(&sources(9), &[], &Prompt::default(), COPY_TOKEN), None);
    }
}
