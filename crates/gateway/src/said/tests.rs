//! Checks for how long the word of an endpoint holds, and for which start of it.

use std::time::Duration;

use hinge_cases::async_cases;
use hinge_schema::routing::{Endpoint as Described, EndpointState};
use tokio::time::advance;

use super::{MOST_UNLISTED, Words};

fn described(id: &str, born_unix_ms: Option<u64>) -> Described {
    Described {
        id: id.into(),
        born_unix_ms,
        service: "llm".into(),
        address: ([10, 0, 0, 1], 8_080).into(),
        data_center: "a".into(),
        software_version: "v1".into(),
        slots: 64,
        state: EndpointState::Ready,
        warm_up_ms: 0,
        sequence: 1,
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

async_cases! {
    a_rest_lasts_as_long_as_the_longest_that_was_asked_for => {
        let said = Words::default().of(&described("a", None));
        assert_eq!(said.rest_left(), None);
        assert!(said.asks_for_rest(seconds(3)));
        assert!(!said.asks_for_rest(seconds(1)));
        advance(seconds(2)).await;
        assert_eq!(said.rest_left(), Some(seconds(1)));
        advance(seconds(1)).await;
        assert_eq!(said.rest_left(), None);
    }
    a_rest_outlasts_a_list_without_the_endpoint => {
        let words = Words::default();
        words.of(&described("a", None)).asks_for_rest(seconds(10));
        words.keep(&[]);
        assert!(words.of(&described("a", None)).rest_left().is_some());
        advance(seconds(10)).await;
        words.keep(&[]);
        assert!(words.lock().is_empty());
    }
    an_endpoint_that_leaves_does_so_until_it_starts_again => {
        let words = Words::default();
        assert!(words.of(&described("a", Some(1))).leaves());
        assert!(!words.of(&described("a", Some(1))).leaves(), "it said so before");
        advance(seconds(100_000)).await;
        words.keep(&[]);
        assert!(words.of(&described("a", Some(1))).is_leaving());
        assert!(!words.of(&described("a", Some(2))).is_leaving());
    }
    another_start_of_an_endpoint_has_asked_for_nothing => {
        let words = Words::default();
        words.of(&described("a", Some(1))).asks_for_rest(seconds(10));
        assert_eq!(words.of(&described("a", Some(2))).rest_left(), None);
        assert_eq!(words.of(&described("b", Some(1))).rest_left(), None);
    }
    words_of_starts_that_are_not_listed_are_bounded => {
        let words = Words::default();
        for number in 0..2 * MOST_UNLISTED {
            words.of(&described(&number.to_string(), None)).asks_for_rest(seconds(10));
        }
        let listed = [described("0", None), described("listed", None)];
        words.of(&listed[1]);
        words.keep(&listed);
        assert_eq!(words.lock().len(), MOST_UNLISTED + 2);
    }
}
