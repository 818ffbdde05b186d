//! Checks what a planned stop leaves time for.

use std::future::pending;
use std::time::Duration;

use futures::FutureExt;
use hinge_cases::async_cases;
use tokio::task::JoinSet;
use tokio::time::{Instant, advance, sleep};

use super::{LAST_ANSWERS_TIME, PlannedStop};

const SECOND: Duration = Duration::from_secs(1);

async_cases! {
    without_a_stop_there_is_time_for_everything => {
        let stop = PlannedStop::default();
        assert!(!stop.has_begun() && stop.leaves_time_for(Duration::from_hours(1)));
        assert!(stop.requests_end().now_or_never().is_none());
    }
    a_stop_leaves_time_until_its_end => {
        let stop = PlannedStop::default();
        stop.begin(Instant::now() + 3 * SECOND);
        advance(SECOND).await;
        assert!(stop.has_begun());
        assert!(stop.leaves_time_for(2 * SECOND));
        assert!(!stop.leaves_time_for(2 * SECOND + Duration::from_millis(1)));
    }
    a_second_stop_does_not_move_the_end => {
        let stop = PlannedStop::default();
        stop.begin(Instant::now() + SECOND);
        stop.begin(Instant::now() + 9 * SECOND);
        assert!(!stop.leaves_time_for(2 * SECOND));
    }
    requests_are_given_up_shortly_before_the_end => {
        let stop = PlannedStop::default();
        let ends_at = Instant::now() + SECOND;
        stop.begin(ends_at);
        let mut serving = JoinSet::new();
        serving.spawn(pending());
        let given_up_at = async {
            stop.requests_end().await;
            Instant::now()
        };
        let (has_ended, given_up_at) = tokio::join!(stop.finish(&mut serving), given_up_at);
        assert!(!has_ended);
        assert_eq!((given_up_at, Instant::now()), (ends_at - LAST_ANSWERS_TIME, ends_at));
    }
    a_stop_whose_requests_end_before_gives_none_up => {
        let stop = PlannedStop::default();
        stop.begin(Instant::now() + SECOND);
        let mut serving = JoinSet::new();
        serving.spawn(sleep(SECOND / 2));
        assert!(stop.finish(&mut serving).await);
        assert!(stop.requests_end().now_or_never().is_none());
    }
}
