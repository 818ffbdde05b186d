//! Checks for how long an endpoint's notices are valid, and for which incarnation.

use std::time::Duration;

use hinge_cases::async_cases;
use hinge_schema::routing::{Endpoint as Description, EndpointState};
use tokio::time::advance;

use super::{MAX_UNLISTED, NoticeTable};

fn description(id: &str, born_unix_ms: Option<u64>) -> Description {
    Description {
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
        let notices = NoticeTable::default().of(&description("a", None));
        assert_eq!(notices.backoff_left(), None);
        assert!(notices.record_backoff(seconds(3)));
        assert!(!notices.record_backoff(seconds(1)));
        advance(seconds(2)).await;
        assert_eq!(notices.backoff_left(), Some(seconds(1)));
        advance(seconds(1)).await;
        assert_eq!(notices.backoff_left(), None);
    }
    a_pause_outlasts_a_list_without_the_endpoint => {
        let notices = NoticeTable::default();
        notices.of(&description("a", None)).record_backoff(seconds(10));
        notices.retain_listed(&[]);
        assert!(notices.of(&description("a", None)).backoff_left().is_some());
        advance(seconds(10)).await;
        notices.retain_listed(&[]);
        assert!(notices.lock().is_empty());
    }
    an_endpoint_that_announces_its_shutdown_is_leaving_until_it_restarts => {
        let notices = NoticeTable::default();
        assert!(notices.of(&description("a", Some(1))).record_leaving());
        assert!(!notices.of(&description("a", Some(1))).record_leaving(), "it has announced this before");
        advance(seconds(100_000)).await;
        notices.retain_listed(&[]);
        assert!(notices.of(&description("a", Some(1))).is_leaving());
        assert!(!notices.of(&description("a", Some(2))).is_leaving());
    }
    another_incarnation_has_no_notices => {
        let notices = NoticeTable::default();
        notices.of(&description("a", Some(1))).record_backoff(seconds(10));
        assert_eq!(notices.of(&description("a", Some(2))).backoff_left(), None);
        assert_eq!(notices.of(&description("b", Some(1))).backoff_left(), None);
    }
    notices_of_unlisted_incarnations_are_bounded => {
        let notices = NoticeTable::default();
        for number in 0..2 * MAX_UNLISTED {
            notices.of(&description(&number.to_string(), None)).record_backoff(seconds(10));
        }
        let listed = [description("0", None), description("listed", None)];
        notices.of(&listed[1]);
        notices.retain_listed(&listed);
        assert_eq!(notices.lock().len(), MAX_UNLISTED + 2);
    }
}
