//! Checks how far a refused request may look for another engine.

use hinge_cases::cases;
use hinge_routing::Lag;

/// Tokens that make an engine nearly idle, and those that it reads in time.
const IDLE: u32 = 3_000;
const READABLE: u32 = 12_500;

cases! {
    a_team_with_as_much_as_any_other_asks_an_idle_engine_only => {
        let lag = Lag::of(750, 1_000);
        assert_eq!((lag, lag.max_asked(), lag.max_unread_tokens(IDLE, READABLE)), (Lag::Even, 2, IDLE));
    }
    a_team_that_has_had_less_asks_where_it_is_read_in_time => {
        let lag = Lag::of(749, 1_000);
        assert_eq!((lag, lag.max_asked(), lag.max_unread_tokens(IDLE, READABLE)), (Lag::Behind, 2, READABLE));
        // Little time is left: only an idle engine is of use.
        assert_eq!(lag.max_unread_tokens(IDLE, 100), IDLE);
    }
    a_team_that_has_had_next_to_nothing_asks_once_more => {
        let lag = Lag::of(0, 1_000);
        assert_eq!((lag, lag.max_asked(), lag.max_unread_tokens(IDLE, READABLE)), (Lag::FarBehind, 3, READABLE));
        assert!(Lag::FarBehind > Lag::Behind);
    }
    where_nobody_has_had_anything_all_are_even => {
        assert_eq!(Lag::of(0, 0), Lag::Even);
        assert_eq!(Lag::of(u64::MAX, u64::MAX), Lag::Even);
    }
}
