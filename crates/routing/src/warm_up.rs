//! Limits the requests that an endpoint receives while it warms up.
//!
//! An endpoint that has just started crashes when it gets its full load at once, and it looks idle to every gateway,
//! so it would get more than its full load. The limit applies to all gateways together: the admission beside an
//! engine keeps it ([`WarmUp`]), and where there is none, each gateway keeps an equal share ([`WarmUpShare`]).

use std::time::Duration;

/// Requests that may follow one another without a pause.
///
/// Requests are evenly paced, because some arrive later than they were granted, together with later ones.
const BURST: u32 = 2;

/// The limits of a service's endpoints while they warm up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUpLimits {
    /// Time after its start in which an endpoint warms up.
    pub duration: Duration,
    /// Requests that it bears in a second.
    pub max_requests_per_s: u32,
}

impl WarmUpLimits {
    /// Returns the interval between two requests at the limit.
    fn interval(&self) -> Duration {
        Duration::from_secs(1) / self.max_requests_per_s.max(1)
    }
}

/// Paces requests evenly, without catching up on a pause.
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    /// When the next request is due at an even pace.
    due_at: Duration,
}

impl Pace {
    /// Returns how long a request has to wait at an interval if some requests go before it.
    fn wait(&self, now: Duration, interval: Duration, ahead: u32) -> Duration {
        let due_at = self.due_at.max(now) + interval * ahead;
        due_at.saturating_sub(now + interval * (BURST - 1))
    }

    fn take(&mut self, now: Duration, interval: Duration) {
        self.due_at = self.due_at.max(now) + interval;
    }
}

/// The warm-up of one engine, as its admission knows it.
#[derive(Debug, Default)]
pub struct WarmUp {
    limits: Option<WarmUpLimits>,
    /// Latest time at which the engine may have started; the start of the admission, which may be younger, until then.
    started_at: Duration,
    /// Time until which gateways have said that it warms up.
    told_until: Duration,
    pace: Pace,
}

impl WarmUp {
    /// Records that the engine may have started just now.
    pub fn record_start(&mut self, now: Duration) {
        self.started_at = now;
    }

    /// Records what a gateway knows: the limits, and for how much longer the engine warms up.
    pub fn record_told(&mut self, now: Duration, limits: WarmUpLimits, left: Duration) {
        self.limits = Some(limits);
        // A gateway can't know of more time than a whole warm-up.
        let left = left.min(limits.duration);
        self.told_until = self.told_until.max(now + left);
    }

    /// Returns the limits and the remaining time if the engine warms up, or may.
    #[must_use]
    pub fn in_progress(&self, now: Duration) -> Option<(WarmUpLimits, Duration)> {
        let limits = self.limits?;
        let until = self.told_until.max(self.started_at + limits.duration);
        let left = until.saturating_sub(now);
        (!left.is_zero()).then_some((limits, left))
    }

    /// Returns how long a request has to wait for the limit if some requests go before it.
    #[must_use]
    pub fn wait(&self, now: Duration, ahead: u32) -> Duration {
        let Some((limits, left)) = self.in_progress(now) else {
            return Duration::ZERO;
        };
        self.pace.wait(now, limits.interval(), ahead).min(left)
    }

    /// Counts a request that is granted.
    pub fn record_granted(&mut self, now: Duration) {
        if let Some((limits, _left)) = self.in_progress(now) {
            self.pace.take(now, limits.interval());
        }
    }
}

/// The share of one gateway in the limit of an endpoint without an admission.
#[derive(Debug, Default)]
pub struct WarmUpShare {
    pace: Pace,
    /// End of the warm-up to which the pace belongs.
    until: Duration,
}

impl WarmUpShare {
    /// Returns whether a request may be sent to an endpoint that warms up until a given time, and counts it if so.
    ///
    /// The first request is due at a random time within the share's interval, since all gateways learn of the warm-up at
    /// once. `draw` is a random number. Without a known number of gateways nothing may be sent.
    pub fn try_send(
        &mut self,
        now: Duration,
        until: Duration,
        limits: WarmUpLimits,
        gateways: u32,
        draw: u32,
    ) -> bool {
        if now >= until {
            return true;
        }
        if gateways == 0 {
            return false;
        }
        let interval = limits.interval() * gateways;
        if self.until != until {
            let is_new = now >= self.until;
            self.until = until;
            if is_new {
                let offset = interval.mul_f64(f64::from(draw) / f64::from(u32::MAX));
                self.pace.due_at = now + offset;
            }
        }
        if self.pace.due_at > now {
            return false;
        }
        self.pace.take(now, interval);
        true
    }
}
