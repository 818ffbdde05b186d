//! Tests the clock that runs while the machine is suspended.

use std::time::{Duration, Instant};

use hinge_cases::cases;
use hinge_clock::{BootInstant, SuspensionMeter};

/// Returns what a meter measures when its two clocks advance by these numbers of milliseconds.
fn measured(boot_ms: u64, steady_ms: u64) -> Duration {
    let (boot, steady) = (BootInstant::now(), Instant::now());
    let mut meter = SuspensionMeter::new(boot, steady);
    meter.measure(
        boot + Duration::from_millis(boot_ms),
        steady + Duration::from_millis(steady_ms),
    )
}

cases! {
    the_clock_does_not_go_back => {
        let first = BootInstant::now();
        assert!(BootInstant::now() >= first);
    }
    a_later_time_has_no_age => {
        let later = BootInstant::now() + Duration::from_hours(1);
        assert_eq!(later.elapsed(), Duration::ZERO);
    }
    a_difference_is_what_was_added => {
        let now = BootInstant::now();
        let later = now + Duration::from_millis(1_500);
        assert_eq!(later.saturating_duration_since(now), Duration::from_millis(1_500));
    }
    a_running_machine_was_not_suspended => {
        assert_eq!(measured(1_000, 1_000), Duration::ZERO);
    }
    a_suspension_is_what_the_steady_clock_lacks => {
        assert_eq!(measured(5_400, 1_000), Duration::from_millis(4_400));
    }
    a_steady_clock_that_is_ahead_is_no_suspension => {
        assert_eq!(measured(1_000, 1_001), Duration::ZERO);
    }
    a_suspension_is_counted_once => {
        let (boot, steady) = (BootInstant::now(), Instant::now());
        let mut meter = SuspensionMeter::new(boot, steady);
        let (boot, steady) = (boot + Duration::from_secs(3), steady + Duration::from_secs(1));
        assert_eq!(meter.measure(boot, steady), Duration::from_secs(2));
        assert_eq!(meter.measure(boot, steady), Duration::ZERO);
    }
}
