//! Replays fleets of growing sizes on the rule of how often loads are told.

use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::load_interval;

/// Returns the messages that a gateway gets in a second from engines whose load changes all the time.
fn messages_per_s(engines: usize) -> u128 {
    engines as u128 * 1_000_000 / load_interval(engines, true).as_micros()
}

cases! {
    a_gateway_takes_no_more_messages_from_many_engines_than_from_few => {
        // 44 engines that told their loads every 40 ms were 1,100 messages a second, more than a small gateway can take.
        for engines in [1, 6, 9, 12, 44, 75] {
            assert!(messages_per_s(engines) <= 151, "{engines}: {}", messages_per_s(engines));
        }
    }
    few_engines_tell_their_loads_as_fast_as_requests_come => {
        assert_eq!(load_interval(0, true), Duration::from_millis(40));
        assert_eq!(load_interval(6, true), Duration::from_millis(40));
    }
    engines_in_other_data_centres_tell_their_loads_half_as_often => {
        assert_eq!(load_interval(30, false), load_interval(30, true) * 2);
        assert!(load_interval(100_000, false) * 3 <= Duration::from_millis(1500));
    }
    many_engines_tell_their_loads_before_these_are_too_old_to_be_used => {
        // A load counts for 1.5 s, and one message in two may be late.
        assert!(load_interval(100_000, true) * 3 <= Duration::from_millis(1500));
    }
}
