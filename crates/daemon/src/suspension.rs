//! Logs and counts the time in which the machine was suspended.

use std::time::{Duration, Instant};

use hinge_clock::{BootInstant, SuspensionMeter};
use hinge_telemetry::log::Component;
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::warn;
use tokio::time::sleep;

/// Interval between two comparisons of the clocks.
const INTERVAL: Duration = Duration::from_secs(1);

/// Shortest suspension that is logged; the clocks are not read at the same moment.
const MIN_LOGGED: Duration = Duration::from_millis(100);

/// Starts to compare the clocks, until the process ends.
pub(crate) fn spawn(registry: &Registry) {
    let suspended_ms = registry.counter(
        "machine_suspended_ms",
        "Milliseconds in which the machine was suspended since the process started.",
    );
    tokio::spawn(async move {
        let mut meter = SuspensionMeter::new(BootInstant::now(), Instant::now());
        loop {
            sleep(INTERVAL).await;
            let suspended = meter.measure(BootInstant::now(), Instant::now());
            if suspended >= MIN_LOGGED {
                let millis = u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX);
                suspended_ms.inc_by(millis);
                warn!(
                    Component::Daemon,
                    "The machine was suspended.",
                    suspended_ms = millis
                );
            }
        }
    });
}
