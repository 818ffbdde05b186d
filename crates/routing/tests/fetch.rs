//! Checks from which engine the shared parts of a prompt are copied.

use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::{
    Candidate, ChoiceRules, Prompt, PromptPart, Source, choose, copy_time, fetch_source,
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

fn sources(count: u64) -> Vec<Source> {
    (0..count)
        .map(|number| Source {
            hash: number * 7_919 + 3,
        })
        .collect()
}

cases! {
    the_time_of_a_copy_follows_from_the_size_of_a_token_and_the_link => {
        assert_eq!(copy_time(18_432, 130_000), Some(COPY_TOKEN));
        assert_eq!(copy_time(163_840, 260_000), Some(Duration::from_nanos(5_041)));
        assert_eq!(copy_time(18_432, 0), None);
        assert_eq!(copy_time(0, 130_000), None);
        assert_eq!(copy_time(u64::MAX, 1), None);
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
                unread_tokens: 0,
                is_near: true,
            })
            .collect();
        let rules = ChoiceRules::default();
        let home = choose(&candidates, Some(&prompt), 0, &rules, 0).expect("there are engines");
        candidates[home].unread_tokens = 60_000;
        let other = choose(&candidates, Some(&prompt), 0, &rules, 0).expect("there are engines");
        assert_ne!(other, home);
        assert_eq!(fetch_source(&sources, &prompt, COPY_TOKEN), Some(home));
    }
    a_short_part_is_read_again_since_the_setup_of_a_copy_takes_as_long => {
        assert_eq!(fetch_source(&sources(9), &prompt(5, 198), COPY_TOKEN), None);
        assert!(fetch_source(&sources(9), &prompt(5, 568), COPY_TOKEN).is_some());
    }
    a_part_is_read_again_where_the_link_is_slower_than_the_engine => {
        let slow = Duration::from_micros(40);
        assert_eq!(fetch_source(&sources(9), &prompt(5, 5_382), slow), None);
    }
    nothing_is_copied_where_no_engine_is_sound_or_nothing_is_shared => {
        assert_eq!(fetch_source(&[], &prompt(5, 5_382), COPY_TOKEN), None);
        assert_eq!(fetch_source(&sources(9), &Prompt::default(), COPY_TOKEN), None);
    }
}
