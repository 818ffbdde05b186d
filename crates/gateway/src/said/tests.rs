//! Checks for how long an endpoint's notices are valid, and for which incarnation.

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
    the_longest_requested_pause_counts => {
        let said = Words::default().of(&described("a", None));
        assert_eq!(said.rest_left(), None);
        assert!(said.asks_for_rest(seconds(3)));
        assert!(!said.asks_for_rest(seconds(1)));
        advance(seconds(2)).await;
        assert_eq!(said.rest_left(), Some(seconds(1)));
        advance(seconds(1)).await;
        assert_eq!(said.rest_left(), None);
    }
    a_pause_outlasts_a_list_without_the_endpoint => {
        let words = Words::default();
        words.of(&described("a", None)).asks_for_rest(seconds(10));
        words.keep(&[]);
        assert!(words.of(&described("a", None)).rest_left().is_some());
        advance(seconds(10)).await;
        words.keep(&[]);
        assert!(words.lock().is_empty());
    }
    an_endpoint_that_announces_its_shutdown_is_leaving_until_it_restarts => {
        let words = Words::default();
        assert!(words.of(&described("a", Some(1))).leaves());
        assert!(!words.of(&described("a", Some(1))).leaves(), "it has announced this before");
        advance(seconds(100_000)).await;
        words.keep(&[]);
        assert!(words.of(&described("a", Some(1))).is_leaving());
        assert!(!words.of(&described("a", Some(2))).is_leaving());
    }
    another_incarnation_has_no_notices => {
        let words = Words::default();
        words.of(&described("a", Some(1))).asks_for_rest(seconds(10));
        assert_eq!(words.of(&described("a", Some(2))).rest_left(), None);
        assert_eq!(words.of(&described("b", Some(1))).rest_left(), None);
    }
    notices_of_unlisted_incarnations_are_bounded => {
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
