//! Estimates how many gateways there are.

use hinge_clock::BootInstant;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Time for which the highest count is used; a gateway hears from each control instance several times in it.
const COUNT_TTL: Duration = Duration::from_mins(1);

/// The highest recent count of gateways that a control instance reported.
///
/// A control instance that has just started has heard of few gateways. Shares of a common limit must rather be too small.
#[derive(Debug, Default)]
pub(crate) struct GatewayCount {
    highest: Mutex<Option<(u32, BootInstant)>>,
}

impl GatewayCount {
    /// Records a count that a control instance reported.
    pub(crate) fn record(&self, count: u32) {
        let mut highest = self.highest.lock().unwrap_or_else(PoisonError::into_inner);
        let is_higher =
            highest.is_none_or(|(known, at)| count >= known || at.elapsed() >= COUNT_TTL);
        if is_higher {
            *highest = Some((count, BootInstant::now()));
        }
    }

    /// Returns the count; 0 while none is known.
    pub(crate) fn current(&self) -> u32 {
        let highest = self.highest.lock().unwrap_or_else(PoisonError::into_inner);
        highest.map_or(0, |(count, _at)| count)
    }
}
