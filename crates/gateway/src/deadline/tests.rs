//! Checks when a deadline passes by each of its clocks.

use std::time::Duration;

use hinge_cases::async_cases;
use hinge_clock::BootInstant;
use tokio::time::{Instant, advance};

use super::{CHECK_INTERVAL, Deadline, DeadlinePassed};

const TIME: Duration = Duration::from_secs(10);

/// Returns a deadline that has passed while the machine was suspended, as its timer has not noticed.
fn passed_in_a_suspension() -> Deadline {
    Deadline {
        timer: Instant::now() + TIME,
        boot: BootInstant::now(),
    }
}

async_cases! {
    a_deadline_passes_after_its_time => {
        let began_at = Instant::now();
        let deadline = Deadline::after(TIME);
        assert_eq!(deadline.limit(std::future::pending::<()>()).await, Err(DeadlinePassed));
        let took = began_at.elapsed();
        assert!(took >= TIME && took < TIME + Duration::from_millis(5), "{took:?}");
        assert_eq!(deadline.left(), Duration::ZERO);
    }
    // Guards against requests that last longer than their timeout by the time for which the machine was suspended.
    a_deadline_that_passed_in_a_suspension_is_noticed => {
        let began_at = Instant::now();
        let deadline = passed_in_a_suspension();
        assert_eq!(deadline.left(), Duration::ZERO);
        assert_eq!(deadline.limit(std::future::pending::<()>()).await, Err(DeadlinePassed));
        assert!(began_at.elapsed() <= CHECK_INTERVAL);
    }
    a_wait_that_began_before_a_suspension_ends_after_it => {
        let suspended = Deadline { boot: BootInstant::now() + Duration::from_millis(20), ..passed_in_a_suspension() };
        let mut timer = Box::pin(suspended.timer());
        assert!(futures::poll!(&mut timer).is_pending());
        // The other clock goes on while timers stand still.
        std::thread::sleep(Duration::from_millis(30));
        let began_at = Instant::now();
        timer.await;
        assert!(began_at.elapsed() <= CHECK_INTERVAL);
    }
    an_output_comes_before_the_deadline => {
        let deadline = Deadline::after(TIME);
        assert_eq!(deadline.limit(async { 7 }).await, Ok(7));
        advance(TIME).await;
        assert_eq!(deadline.limit(async { 7 }).await, Ok(7));
    }
}
