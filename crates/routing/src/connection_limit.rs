//! Limits the connections that a gateway accepts while its processor does not keep up.
//!
//! A caller can open hundreds of connections a second to a gateway with a small fraction of a core. Accepting
//! each of them and refusing its request takes processor time from requests that could be served or handed
//! off. The gateway therefore listens only for as many connections as it can do something for; any other
//! attempt to connect fails at once and costs it nothing.

use std::time::Duration;

/// Standing lag above which fewer connections are accepted. A request waits for it several times before its
/// response begins: when it is accepted, when it is read, and with the head and the first chunk of the
/// response.
const HIGH_LAG: Duration = Duration::from_millis(20);

/// Standing lag below which the processor has time to spare.
const LOW_LAG: Duration = Duration::from_millis(5);

/// Multiple of `HIGH_LAG` above which the limit falls steeply.
const STEEP_LAG_FACTOR: u32 = 2;

/// Fraction of the limit that remains after a window of high lag, in thousandths: up to `STEEP_LAG_FACTOR`
/// times `HIGH_LAG`, and above it.
const DECREASE_PERMILLE: u32 = 850;
const STEEP_DECREASE_PERMILLE: u32 = 500;

/// Fraction of the previous window's lag up to which the lag counts as falling, in thousandths.
const FALLING_LAG_PERMILLE: u32 = 900;

/// Increase of the limit after any other window, in thousandths: with some lag, and below `LOW_LAG`.
const INCREASE_PERMILLE: u32 = 100;
const STEEP_INCREASE_PERMILLE: u32 = 250;

/// Connections closed after a window of high lag, as a divisor of the requests served or handed off in it.
const CLOSE_DIVISOR: u32 = 4;

/// Connections that may be accepted in a window: the upper bound, which is also the initial limit, and the
/// lower bound.
const MAX_PER_WINDOW: u32 = 1_000;
const MIN_PER_WINDOW: u32 = 8;

/// Fraction of a window without listening from which the listener counts as mostly closed, in thousandths.
const MOSTLY_CLOSED_PERMILLE: u32 = 600;

/// Whether the gateway was listening for connections during a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListenerState {
    /// The listener was open throughout.
    Open,
    /// The listener was closed for a part of the window.
    PartlyClosed,
    /// The listener was closed for most of the window.
    MostlyClosed,
}

/// An adaptive limit of the connections accepted in a window.
#[derive(Debug)]
pub(crate) struct ConnectionLimit {
    limit: u32,
    /// Connections accepted in this window, and those of earlier windows beyond their limit.
    accepted: u32,
    /// Standing lag of the previous window.
    lag: Duration,
    ticks: u32,
    closed_ticks: u32,
    /// Connections that remain to be closed in this window.
    to_close: u32,
}

impl ConnectionLimit {
    pub(crate) fn new() -> Self {
        Self {
            limit: MAX_PER_WINDOW,
            accepted: 0,
            lag: Duration::ZERO,
            ticks: 0,
            closed_ticks: 0,
            to_close: 0,
        }
    }

    /// Records an accepted connection.
    pub(crate) fn record_accepted(&mut self) {
        self.accepted += 1;
    }

    /// Returns whether the connection of a response should close after it, and if so counts it as closed.
    pub(crate) fn should_close_connection(&mut self) -> bool {
        let closes = self.to_close > 0;
        self.to_close -= u32::from(closes);
        closes
    }

    /// Returns whether no further connection is accepted in this window.
    pub(crate) fn is_closed(&self) -> bool {
        self.accepted >= self.limit
    }

    /// Records a tick, of which a window has several.
    pub(crate) fn record_tick(&mut self) {
        self.ticks += 1;
        self.closed_ticks += u32::from(self.is_closed());
    }

    /// Ends a window and adapts the limit to its standing lag.
    ///
    /// `useful` is the number of requests served or handed off in it; `is_wasted` tells that others were
    /// refused while there was a lag.
    pub(crate) fn end_window(
        &mut self,
        lag: Duration,
        useful: u32,
        is_wasted: bool,
    ) -> ListenerState {
        let ticks = std::mem::take(&mut self.ticks);
        let closed_ticks = std::mem::take(&mut self.closed_ticks);
        let accepted = self.accepted;
        // Connections that were pending when the listener closed are accepted beyond the limit.
        self.accepted = accepted.saturating_sub(self.limit);
        let was_closed = accepted >= self.limit;
        let previous_lag = std::mem::replace(&mut self.lag, lag);
        // Open connections bring their next requests regardless of the limit of new ones.
        self.to_close = if lag > HIGH_LAG {
            useful / CLOSE_DIVISOR
        } else {
            0
        };
        // The limit stays after a single window of high lag, since applying a new route table keeps a small
        // processor busy for as long, and while the lag falls, since connections accepted earlier may still
        // be queued.
        let stays_high = lag > HIGH_LAG
            && previous_lag > HIGH_LAG
            && lag > previous_lag * FALLING_LAG_PERMILLE / 1000;
        if stays_high {
            let remaining_permille = if lag > HIGH_LAG * STEEP_LAG_FACTOR {
                STEEP_DECREASE_PERMILLE
            } else {
                DECREASE_PERMILLE
            };
            let remaining = self.limit.min(accepted) * remaining_permille / 1000;
            self.limit = remaining.max(MIN_PER_WINDOW);
        } else if is_wasted {
            self.limit = useful.clamp(MIN_PER_WINDOW, self.limit.max(MIN_PER_WINDOW));
        } else if lag > HIGH_LAG {
            // The lag is new or falling, so the limit stays.
        } else {
            let permille = if lag < LOW_LAG {
                STEEP_INCREASE_PERMILLE
            } else {
                INCREASE_PERMILLE
            };
            let increase = (self.limit * permille / 1000).max(1);
            self.limit = (self.limit + increase).min(MAX_PER_WINDOW);
        }
        if closed_ticks * 1000 >= ticks.max(1) * MOSTLY_CLOSED_PERMILLE {
            ListenerState::MostlyClosed
        } else if was_closed {
            ListenerState::PartlyClosed
        } else {
            ListenerState::Open
        }
    }
}
