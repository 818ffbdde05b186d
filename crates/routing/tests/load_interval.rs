//! Checks the interval of load messages for fleets of growing size.

use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::load_interval;

/// Returns the messages per second that a gateway receives from engines whose loads change all the time.
fn messages_per_s(engines: usize) -> u128 {
    engines as u128 * 1_000_000 / load_interval(engines, true).as_micros()
}

cases! {
    the_message_rate_does_not_grow_with_the_number_of_engines => {
        // With a fixed interval of 40 ms, 44 engines sent 1,100 messages a second, more than a small gateway
        // can process.
        for engines in [1, 6, 9, 12, 44, 75] {
            assert!(messages_per_s(engines) <= 151, "{engines}: {}", messages_per_s(engines));
        }
    }
    few_engines_report_at_the_minimum_interval => {
        assert_eq!(load_interval(0, true), Duration::from_millis(40));
        assert_eq!(load_interval(6, true), Duration::from_millis(40));
    }
    remote_engines_report_half_as_often => {
        assert_eq!(load_interval(30, false), load_interval(30, true) * 2);
        assert!(load_interval(100_000, false) * 3 <= Duration::from_millis(1500));
    }
    many_engines_report_before_their_loads_expire => {
        // A load is used for 1.5 s, and one message in two may be late.
        assert!(load_interval(100_000, true) * 3 <= Duration::from_millis(1500));
    }
}
