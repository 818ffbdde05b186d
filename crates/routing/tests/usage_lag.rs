//! Checks how far a refused request may look for another engine.

use hinge_cases::cases;
use hinge_routing::{Backlog, BacklogLimits, UsageLag};

/// Tokens that make an engine nearly idle, and those that it reads in time.
const IDLE: u32 = 3_000;
const READABLE: u32 = 12_500;

const ROOM: BacklogLimits = BacklogLimits {
    idle_tokens: IDLE,
    prefillable_tokens: READABLE,
};

fn unread(unread_tokens: u32) -> Backlog {
    Backlog {
        unread_tokens,
        waiting_tokens: 0,
    }
}

/// Returns the most tokens that are granted and not read with which an engine may be asked.
fn most_unread(lag: UsageLag, room: BacklogLimits) -> Option<u32> {
    (0..=READABLE * 2)
        .rev()
        .find(|tokens| lag.may_ask(unread(*tokens), room))
}

cases! {
    a_team_with_as_much_as_any_other_asks_an_idle_engine_only => {
        let lag = UsageLag::compare(750, 1_000);
        assert_eq!((lag, lag.max_admissions(), most_unread(lag, ROOM)), (UsageLag::Even, 2, Some(IDLE)));
    }
    a_team_that_has_had_less_asks_where_it_is_read_in_time => {
        let lag = UsageLag::compare(749, 1_000);
        assert_eq!((lag, lag.max_admissions(), most_unread(lag, ROOM)), (UsageLag::Behind, 2, Some(READABLE)));
        // Little time is left: only an idle engine is of use.
        let late = BacklogLimits { prefillable_tokens: 100, ..ROOM };
        assert_eq!(most_unread(lag, late), Some(IDLE));
    }
    a_team_that_has_had_next_to_nothing_asks_once_more => {
        let lag = UsageLag::compare(0, 1_000);
        assert_eq!((lag, lag.max_admissions(), most_unread(lag, ROOM)), (UsageLag::FarBehind, 3, Some(READABLE)));
        assert!(UsageLag::FarBehind > UsageLag::Behind);
    }
    what_waits_is_before_a_team_with_as_much_as_any_other_only => {
        let backlog = Backlog { unread_tokens: 2_000, waiting_tokens: 14_000 };
        assert!(!UsageLag::Even.may_ask(backlog, ROOM));
        assert!(UsageLag::Behind.may_ask(backlog, ROOM));
        assert!(UsageLag::FarBehind.may_ask(backlog, ROOM));
    }
    where_nobody_has_had_anything_all_are_even => {
        assert_eq!(UsageLag::compare(0, 0), UsageLag::Even);
        assert_eq!(UsageLag::compare(u64::MAX, u64::MAX), UsageLag::Even);
    }
}
