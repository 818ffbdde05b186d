//! Checks which broken answers count as taken by the end of their endpoint, and what names a request.

use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::{CrashTracker, RequestKey, RequestKeyError};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

cases! {
    answers_that_broke_just_before_the_end_were_taken_by_it => {
        let mut ends = CrashTracker::default();
        assert_eq!(ends.record_broken(at(0), "long before"), None);
        assert_eq!(ends.record_broken(at(5_000), "first"), None);
        assert_eq!(ends.record_broken(at(5_010), "second"), None);
        assert_eq!(ends.record_crash(at(5_300)), ["first", "second"]);
        assert_eq!(ends.record_crash(at(5_400)), [""; 0], "word of the same end comes from several sides");
    }
    an_answer_that_breaks_just_after_word_of_the_end_was_taken_by_it => {
        let mut ends = CrashTracker::default();
        assert_eq!(ends.record_crash(at(100)), [""; 0]);
        assert_eq!(ends.record_broken(at(120), "late"), Some("late"));
        assert_eq!(ends.record_broken(at(9_000), "much later"), None);
    }
    a_lost_connection_is_no_end => {
        let mut ends = CrashTracker::default();
        for ms in [0, 10, 20] {
            assert_eq!(ends.record_broken(at(ms), "lost"), None);
        }
        assert_eq!(ends.record_crash(at(60_000)), [""; 0]);
    }
    a_planned_stop_is_no_end => {
        let mut ends = CrashTracker::default();
        assert_eq!(ends.record_broken(at(0), "before"), None);
        ends.record_planned_stop();
        assert_eq!(ends.record_broken(at(10), "after"), None);
        assert_eq!(ends.record_crash(at(20)), [""; 0]);
    }
    what_waits_for_word_of_an_end_is_bounded => {
        let mut ends = CrashTracker::default();
        for number in 0..10_000 {
            assert_eq!(ends.record_broken(at(0), number), None);
        }
        let taken = ends.record_crash(at(1));
        assert_eq!((taken.len(), taken.last()), (256, Some(&9_999)));
    }
    a_request_has_one_key_and_each_part_of_it_counts => {
        let key = |method, path, team, body: &str| RequestKey::of(method, path, team, body.as_bytes());
        let known = key("POST", "/a/b?c", Some("team"), "body");
        assert_eq!(known, key("POST", "/a/b?c", Some("team"), "body"));
        let others = [
            key("PUT", "/a/b?c", Some("team"), "body"),
            key("POST", "/a/b?d", Some("team"), "body"),
            key("POST", "/a/b?c", Some("other"), "body"),
            key("POST", "/a/b?c", None, "body"),
            key("POST", "/a/b?c", Some("team"), "other"),
            key("POST", "/a/b?ct", Some("eam"), "body"),
        ];
        assert!(!others.contains(&known));
        assert_ne!(key("GET", "/", None, ""), key("GET", "/", Some(""), ""));
    }
    a_key_is_read_as_it_is_written => {
        let key = RequestKey::of("GET", "/", None, b"");
        assert_eq!(key.to_string().parse(), Ok(key));
        for wrong in ["", "12", "+0000000000000000000000000000001", "zz000000000000000000000000000000"] {
            assert_eq!(wrong.parse::<RequestKey>(), Err(RequestKeyError), "{wrong}");
        }
    }
}
