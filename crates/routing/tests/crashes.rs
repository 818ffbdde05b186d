//! Checks which broken responses are attributed to the crash of their endpoint, and the keys of requests.

use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::{CrashTracker, RequestKey, RequestKeyError};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

cases! {
    responses_that_broke_just_before_the_notice_belong_to_the_crash => {
        let mut crashes = CrashTracker::default();
        assert_eq!(crashes.record_broken(at(0), "long before"), None);
        assert_eq!(crashes.record_broken(at(5_000), "first"), None);
        assert_eq!(crashes.record_broken(at(5_010), "second"), None);
        assert_eq!(crashes.record_crash(at(5_300)), ["first", "second"]);
        assert_eq!(crashes.record_crash(at(5_400)), [""; 0], "several processes send a notice of the same crash");
    }
    a_response_that_breaks_just_after_the_notice_belongs_to_the_crash => {
        let mut crashes = CrashTracker::default();
        assert_eq!(crashes.record_crash(at(100)), [""; 0]);
        assert_eq!(crashes.record_broken(at(120), "late"), Some("late"));
        assert_eq!(crashes.record_broken(at(9_000), "much later"), None);
    }
    a_lost_connection_is_no_crash => {
        let mut crashes = CrashTracker::default();
        for ms in [0, 10, 20] {
            assert_eq!(crashes.record_broken(at(ms), "lost"), None);
        }
        assert_eq!(crashes.record_crash(at(60_000)), [""; 0]);
    }
    a_planned_stop_is_no_crash => {
        let mut crashes = CrashTracker::default();
        assert_eq!(crashes.record_broken(at(0), "before"), None);
        crashes.record_planned_stop();
        assert_eq!(crashes.record_broken(at(10), "after"), None);
        assert_eq!(crashes.record_crash(at(20)), [""; 0]);
    }
    broken_responses_without_a_notice_are_bounded => {
        let mut crashes = CrashTracker::default();
        for number in 0..10_000 {
            assert_eq!(crashes.record_broken(at(0), number), None);
        }
        let running = crashes.record_crash(at(1));
        assert_eq!((running.len(), running.last()), (256, Some(&9_999)));
    }
    a_key_is_stable_and_depends_on_every_part_of_the_request => {
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
    a_key_round_trips_through_text => {
        let key = RequestKey::of("GET", "/", None, b"");
        assert_eq!(key.to_string().parse(), Ok(key));
        for wrong in ["", "12", "+0000000000000000000000000000001", "zz000000000000000000000000000000"] {
            assert_eq!(wrong.parse::<RequestKey>(), Err(RequestKeyError), "{wrong}");
        }
    }
}
