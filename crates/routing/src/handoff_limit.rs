//! Limits the requests that a gateway hands off to those that others are likely to serve.
//!
//! A hot team asks for several times what it gets, and where engines have no room for it, the gateway that takes a
//! request over gets a refusal as well. Passing such requests on takes the processor time of two gateways, and the
//! first one has none left for other callers.

/// Factor of earlier outcomes after each window, which remembers about a second.
const DECAY: f64 = 0.8;

/// Share of served requests from which all requests are handed off.
const GOOD_SHARE: f64 = 0.5;

/// Requests handed off in a window for each one that was served in the mean window, so that a rising share shows.
const PROBE_FACTOR: f64 = 1.5;

/// Lowest limit in a window.
const MIN_PER_WINDOW: f64 = 8.0;

/// The outcomes of requests that were handed off, and the limit of further ones in this window.
#[derive(Debug, Default)]
pub(crate) struct HandoffLimit {
    served: f64,
    refused: f64,
    in_window: f64,
}

impl HandoffLimit {
    /// Returns whether one more request may be handed off, and counts it if so.
    pub(crate) fn try_hand_off(&mut self) -> bool {
        let ended = self.served + self.refused;
        let is_limited = self.served < ended * GOOD_SHARE;
        let served_per_window = self.served * (1.0 - DECAY);
        let limit = (served_per_window * PROBE_FACTOR).max(MIN_PER_WINDOW);
        if is_limited && self.in_window >= limit {
            return false;
        }
        self.in_window += 1.0;
        true
    }

    /// Records whether a request that was handed off was served.
    pub(crate) fn record_outcome(&mut self, is_served: bool) {
        if is_served {
            self.served += 1.0;
        } else {
            self.refused += 1.0;
        }
    }

    /// Ends a window.
    pub(crate) fn end_window(&mut self) {
        self.served *= DECAY;
        self.refused *= DECAY;
        self.in_window = 0.0;
    }
}
