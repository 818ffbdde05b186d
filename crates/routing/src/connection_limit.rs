//! Bounds the connections that a gateway takes while its processor does not keep up.
//!
//! The load pattern: a caller brings hundreds of connections a second to a gateway with a small part of a core. To take each of them
//! and refuse its request costs the processor what could be served or handed off. So the gateway listens only for as many as it can do
//! something for; any other attempt to connect fails at once and costs it nothing.

use std::time::Duration;

/// Standing lag from which on fewer connections are taken. A request waits for it several times before its answer begins: to be accepted,
/// to be read, and with the head and the first piece of the answer.
const HIGH_LAG: Duration = Duration::from_millis(20);

/// Lag below which the processor has time left.
const LOW_LAG: Duration = Duration::from_millis(5);

/// Times the high lag from which on far fewer are taken.
const STEEP_TIMES: u32 = 2;

/// Part that remains after a window of high lag, in thousandths: up to some times it, and beyond.
const FALL_PERMILLE: u32 = 850;
const STEEP_FALL_PERMILLE: u32 = 500;

/// Part of the lag of the window before below which it falls, in thousandths.
const FALLING_PERMILLE: u32 = 900;

/// What is gained after any other window, in thousandths: with some lag, and with less than the low one.
const RISE_PERMILLE: u32 = 100;
const STEEP_RISE_PERMILLE: u32 = 250;

/// Part of the requests of a window of high lag whose connections are closed in the next one, as a divisor.
const CLOSE_DIVISOR: u32 = 4;

/// Connections that may be taken in a window: at first and at most, and at least.
const MOST: u32 = 1_000;
const LEAST: u32 = 8;

/// Part of a window for which nobody listens that counts as most of it, in thousandths.
const MOSTLY_PERMILLE: u32 = 600;

/// Says what a window was like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Window {
    /// Every connection could be taken.
    Open,
    /// For a part of it nobody listened.
    PartlyShut,
    /// For most of it nobody listened.
    MostlyShut,
}

/// Counts the connections of a window.
#[derive(Debug)]
pub(crate) struct Intake {
    allowed: u32,
    taken: u32,
    /// Standing lag of the last window.
    lag: Duration,
    ticks: u32,
    shut_ticks: u32,
    /// Connections that are still to close in this window.
    to_close: u32,
}

impl Intake {
    pub(crate) fn new() -> Self {
        Self {
            allowed: MOST,
            taken: 0,
            lag: Duration::ZERO,
            ticks: 0,
            shut_ticks: 0,
            to_close: 0,
        }
    }

    /// Notes that a connection was taken.
    pub(crate) fn connected(&mut self) {
        self.taken += 1;
    }

    /// Returns whether the connection of an answer should close after it.
    pub(crate) fn closes_one(&mut self) -> bool {
        let closes = self.to_close > 0;
        self.to_close -= u32::from(closes);
        closes
    }

    /// Returns whether no further connection is taken in this window.
    pub(crate) fn is_shut(&self) -> bool {
        self.taken >= self.allowed
    }

    /// Notes the passing of a part of the window.
    pub(crate) fn ticked(&mut self) {
        self.ticks += 1;
        self.shut_ticks += u32::from(self.is_shut());
    }

    /// Ends a window with its standing lag, in which so many requests were served or handed off; `is_wasted` says that others were
    /// refused while there was a lag.
    pub(crate) fn end_window(&mut self, lag: Duration, useful: u32, is_wasted: bool) -> Window {
        let ticks = std::mem::take(&mut self.ticks);
        let shut_ticks = std::mem::take(&mut self.shut_ticks);
        let taken = std::mem::take(&mut self.taken);
        let was_shut = taken >= self.allowed;
        let before = std::mem::replace(&mut self.lag, lag);
        // Those that are open bring their next requests past the limit of new ones.
        self.to_close = if lag > HIGH_LAG {
            useful / CLOSE_DIVISOR
        } else {
            0
        };
        // A single window may be that of a new table, which takes a small processor as long; and what was taken before may still wait.
        let stays_high =
            lag > HIGH_LAG && before > HIGH_LAG && lag > before * FALLING_PERMILLE / 1000;
        if stays_high {
            let left_permille = if lag > HIGH_LAG * STEEP_TIMES {
                STEEP_FALL_PERMILLE
            } else {
                FALL_PERMILLE
            };
            let left = self.allowed.min(taken) * left_permille / 1000;
            self.allowed = left.max(LEAST);
        } else if is_wasted {
            self.allowed = useful.clamp(LEAST, self.allowed.max(LEAST));
        } else if lag > HIGH_LAG {
            // It falls.
        } else {
            let permille = if lag < LOW_LAG {
                STEEP_RISE_PERMILLE
            } else {
                RISE_PERMILLE
            };
            let rise = (self.allowed * permille / 1000).max(1);
            self.allowed = (self.allowed + rise).min(MOST);
        }
        if shut_ticks * 1000 >= ticks.max(1) * MOSTLY_PERMILLE {
            Window::MostlyShut
        } else if was_shut {
            Window::PartlyShut
        } else {
            Window::Open
        }
    }
}
