//! Checks which answers of control count as current.

use std::time::Duration;

use hinge_cases::cases;

use super::{CALL_MARGIN, WATCH_WAIT, proves_current};

cases! {
    an_answer_within_its_call_is_current => {
        assert!(proves_current(Duration::ZERO));
        assert!(proves_current(WATCH_WAIT + CALL_MARGIN));
    }
    // Guards against taking an answer that waited out a suspension of this machine for one of now.
    an_answer_that_waited_longer_than_any_call_is_not_current => {
        assert!(!proves_current(WATCH_WAIT + CALL_MARGIN + Duration::from_millis(1)));
        assert!(!proves_current(Duration::from_secs(4)));
    }
}
