//! The clock by which the fleet judges the age of what it holds: leases, lists and reports.
//!
//! The standard library's `Instant`, and tokio's, stand still while the machine is suspended. An age that is measured with
//! them is too short by the length of the suspension, and a lease seems to hold that ended long ago.

use std::ops::Add;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// A point in time on a clock that also runs while the machine is suspended.
///
/// The clock starts with the machine and is never set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant {
    since_boot: Duration,
}

impl BootInstant {
    /// Returns the current time.
    #[must_use]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        // The system returns no negative times.
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Self {
            since_boot: Duration::new(seconds, nanos),
        }
    }

    /// Returns the time that has passed since then; zero for a time in the future.
    #[must_use]
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Returns the time that passed from an earlier point until this one; zero if that one is later.
    #[must_use]
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.since_boot.saturating_sub(earlier.since_boot)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    /// Returns the point in time that follows after a duration.
    ///
    /// # Panics
    ///
    /// Panics when it is beyond what the type can represent.
    fn add(self, rhs: Duration) -> Self {
        Self {
            since_boot: self.since_boot + rhs,
        }
    }
}

/// Measures for how long the machine has been suspended.
#[derive(Debug)]
pub struct SuspensionMeter {
    boot: BootInstant,
    steady: Instant,
}

impl SuspensionMeter {
    /// Starts a measurement at a time that was read from both clocks.
    #[must_use]
    pub fn new(boot: BootInstant, steady: Instant) -> Self {
        Self { boot, steady }
    }

    /// Returns how long the machine was suspended between the last measurement and this one.
    pub fn measure(&mut self, boot: BootInstant, steady: Instant) -> Duration {
        let with_suspensions = boot.saturating_duration_since(self.boot);
        let without = steady.saturating_duration_since(self.steady);
        *self = Self::new(boot, steady);
        with_suspensions.saturating_sub(without)
    }
}
