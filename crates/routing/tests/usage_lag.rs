//! Checks which engines a refused request may try, and how many.

use hinge_cases::cases;
use hinge_routing::{Backlog, BacklogLimits, UsageLag};

/// Backlog of a nearly idle engine, and the tokens that an engine prefills in time.
const IDLE: u32 = 3_000;
const PREFILLABLE: u32 = 12_500;

const ROOM: BacklogLimits = BacklogLimits {
    idle_tokens: IDLE,
    prefillable_tokens: PREFILLABLE,
};

fn unread(unread_tokens: u32) -> Backlog {
    Backlog {
        unread_tokens,
        waiting_tokens: 0,
    }
}

/// Returns the highest number of granted tokens without prefill at which an engine may be tried.
fn max_unread(lag: UsageLag, limits: BacklogLimits) -> Option<u32> {
    (0..=PREFILLABLE * 2)
        .rev()
        .find(|tokens| lag.may_try(unread(*tokens), limits))
}

cases! {
    an_even_team_tries_only_idle_engines => {
        let lag = UsageLag::compare(750, 1_000);
        assert_eq!((lag, lag.max_admissions(), max_unread(lag, ROOM)), (UsageLag::Even, 2, Some(IDLE)));
    }
    a_team_behind_tries_engines_that_prefill_it_in_time => {
        let lag = UsageLag::compare(749, 1_000);
        assert_eq!((lag, lag.max_admissions(), max_unread(lag, ROOM)), (UsageLag::Behind, 2, Some(PREFILLABLE)));
        // With little time left, only an idle engine is of use.
        let late = BacklogLimits { prefillable_tokens: 100, ..ROOM };
        assert_eq!(max_unread(lag, late), Some(IDLE));
    }
    a_team_far_behind_tries_one_more_admission => {
        let lag = UsageLag::compare(0, 1_000);
        assert_eq!((lag, lag.max_admissions(), max_unread(lag, ROOM)), (UsageLag::FarBehind, 3, Some(PREFILLABLE)));
        assert!(UsageLag::FarBehind > UsageLag::Behind);
    }
    waiting_requests_precede_only_an_even_team => {
        let backlog = Backlog { unread_tokens: 2_000, waiting_tokens: 14_000 };
        assert!(!UsageLag::Even.may_try(backlog, ROOM));
        assert!(UsageLag::Behind.may_try(backlog, ROOM));
        assert!(UsageLag::FarBehind.may_try(backlog, ROOM));
    }
    without_any_usage_all_teams_are_even => {
        assert_eq!(UsageLag::compare(0, 0), UsageLag::Even);
        assert_eq!(UsageLag::compare(u64::MAX, u64::MAX), UsageLag::Even);
    }
}
