//! The end of the time that a request may take.
//!
//! For its caller time goes on while the machine of this gateway is suspended. Timers stand still meanwhile, so one that waits
//! for a deadline looks at the other clock from time to time.

use std::ops::Add;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hinge_clock::BootInstant;
use tokio::time::{Instant, Sleep, sleep, timeout};

#[cfg(test)]
mod tests;

/// Longest time by which a deadline is missed after a suspension.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A point in time that has come once either clock says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Deadline {
    /// The time on the clock of timers.
    timer: Instant,
    /// The time on the clock that runs during suspensions.
    boot: BootInstant,
}

/// The error that a deadline passed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DeadlinePassed;

impl Deadline {
    /// Returns the deadline after a time from now.
    pub(crate) fn after(time: Duration) -> Self {
        Self {
            timer: Instant::now() + time,
            boot: BootInstant::now() + time,
        }
    }

    /// Returns the time that is left; zero once the deadline has passed.
    pub(crate) fn left(self) -> Duration {
        let timer = self.timer.saturating_duration_since(Instant::now());
        let boot = self.boot.saturating_duration_since(BootInstant::now());
        timer.min(boot)
    }

    /// Waits for a future, until the deadline at most.
    pub(crate) async fn limit<F: Future>(self, future: F) -> Result<F::Output, DeadlinePassed> {
        tokio::pin!(future);
        loop {
            match timeout(self.next_check(), &mut future).await {
                Ok(output) => return Ok(output),
                Err(_elapsed) if self.left().is_zero() => return Err(DeadlinePassed),
                Err(_elapsed) => {}
            }
        }
    }

    /// Returns a future that is ready once the deadline has passed.
    pub(crate) fn timer(self) -> DeadlineTimer {
        DeadlineTimer {
            deadline: self,
            sleep: Box::pin(sleep(self.next_check())),
        }
    }

    fn next_check(self) -> Duration {
        self.left().min(CHECK_INTERVAL)
    }
}

impl Add<Duration> for Deadline {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self {
            timer: self.timer + rhs,
            boot: self.boot + rhs,
        }
    }
}

/// A wait for a deadline.
#[derive(Debug)]
pub(crate) struct DeadlineTimer {
    deadline: Deadline,
    sleep: Pin<Box<Sleep>>,
}

impl Future for DeadlineTimer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            if self.deadline.left().is_zero() {
                return Poll::Ready(());
            }
            self.sleep = Box::pin(sleep(self.deadline.next_check()));
        }
    }
}
