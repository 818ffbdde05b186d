//! Keeps the places that were promised to refused callers for the time at which they come back.
//!
//! A caller that is refused comes back once or twice, on a new connection and with a new request id. If all refused
//! callers are told the same time, they come together and most of them are refused again. So each one is told a time
//! of its own, and its place is kept for a moment around that time.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Time before the promised one from which a caller has its place: timers and networks are this uneven.
const EARLY: Duration = Duration::from_millis(20);

/// Time after the promised one up to which the place is kept: a new connection, one of whose packets is sent again.
const LATE: Duration = Duration::from_millis(250);

/// Minimum number of teams among which places are divided, so that a team that joins finds some left. A single team
/// holds at most half of the engine's rate; the rest is for callers that come for the first time.
const MIN_TEAMS: usize = 2;

/// Smallest part of the engine's work that a team is taken to get; it keeps times finite.
const MIN_PART: f64 = 0.001;

/// Shortest time between two places; it bounds how many fit into the time that is promised.
const MIN_RESERVED: Duration = Duration::from_millis(1);

/// Divisor of a request's budget that gives the longest time for which a place is promised. What comes back in half
/// of the budget may still begin within the time that its first attempt had; a later one would take the place of a
/// request that can be on time. It is also far below a third of any caller's patience, the longest time for which
/// callers stay away.
const HORIZON_DIVISOR: u32 = 2;

/// Maximum number of promises; more places than fit into the time that is promised are hardly ever needed.
pub const MAX_PROMISES: usize = 256;

/// Number of teams at which those are dropped whose callers have all been told an earlier time.
const PRUNE_TEAMS_FROM: usize = 256;

/// A place that is kept for a caller that comes back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promise {
    /// Key by which the caller's request is recognised.
    pub key: u64,
    /// Team of the request; empty if it has none.
    pub team: Box<str>,
    /// Prompt tokens that the engine will prefill for it.
    pub tokens: u32,
    /// The promised time.
    pub due: Duration,
    /// Length of the place.
    reserved: Duration,
}

impl RefusedRequest<'_> {
    fn reserved(&self) -> Duration {
        self.prefill_time.max(MIN_RESERVED)
    }
}

impl Promise {
    fn ends(&self) -> Duration {
        self.due + self.reserved
    }
}

/// A refused request that asks for a place.
#[derive(Debug, Clone, Copy)]
pub struct RefusedRequest<'a> {
    /// Key by which its next attempt is recognised.
    pub key: u64,
    /// Team of the request; empty if it has none.
    pub team: &'a str,
    /// Prompt tokens that the engine would prefill for it.
    pub tokens: u32,
    /// Time that the engine needs for them.
    pub prefill_time: Duration,
    /// Time until the requests that wait now have begun.
    pub drain_time: Duration,
    /// Time, from the arrival of the refused attempt, within which the answer had to begin.
    pub budget: Duration,
    /// The team's part of the engine's recent work, for a team above its fair share. It gets no more than that part
    /// while others wait, whatever time the queue needs.
    pub limited_to: Option<f64>,
}

/// What a refused caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnTime {
    /// Time until it is to come back.
    pub retry_after: Duration,
    /// Whether a place is kept for it then.
    pub is_promised: bool,
}

/// The promises of one engine's admission.
#[derive(Debug, Default)]
pub struct Returns {
    /// The promises in the order of their times.
    promises: Vec<Promise>,
    /// Time up to which the callers of a team without a place are spread.
    unplaced: HashMap<Box<str>, Duration>,
}

impl Returns {
    /// Returns when a refused caller is to come back, and keeps a place for it if there is one in time.
    ///
    /// A caller that asks again before its time is told the same time.
    pub fn refuse(&mut self, now: Duration, request: RefusedRequest<'_>) -> ReturnTime {
        self.expire(now);
        if let Some(promise) = self.of(request.key) {
            return ReturnTime {
                retry_after: promise.due.saturating_sub(now),
                is_promised: true,
            };
        }
        let due = self.next_place(now, request);
        let retry_after = due.saturating_sub(now);
        let horizon = request.budget / HORIZON_DIVISOR;
        if retry_after > horizon || self.promises.len() >= MAX_PROMISES {
            return ReturnTime {
                retry_after: self.spread(now, request, horizon),
                is_promised: false,
            };
        }
        self.insert(Promise {
            key: request.key,
            team: request.team.into(),
            tokens: request.tokens,
            due,
            reserved: request.reserved(),
        });
        ReturnTime {
            retry_after,
            is_promised: true,
        }
    }

    /// Takes the place of a caller that comes at its time; `None` if it has none or comes too early or too late.
    pub fn redeem(&mut self, now: Duration, key: u64) -> Option<Promise> {
        self.expire(now);
        let position = self
            .promises
            .iter()
            .position(|promise| promise.key == key && promise.due <= now + EARLY)?;
        Some(self.promises.remove(position))
    }

    /// Keeps the rest of a place whose caller came and was lost before it began.
    pub fn restore(&mut self, now: Duration, promise: Promise) {
        if now <= promise.due + LATE && self.of(promise.key).is_none() {
            self.insert(promise);
        }
    }

    /// Gives up the place of a request that was granted without it.
    pub fn forget(&mut self, key: u64) {
        self.promises.retain(|promise| promise.key != key);
    }

    /// Gives up all places.
    pub fn clear(&mut self) {
        self.promises.clear();
        self.unplaced.clear();
    }

    /// Drops the places whose callers haven't come.
    pub fn expire(&mut self, now: Duration) {
        self.promises.retain(|promise| now <= promise.due + LATE);
    }

    /// Returns the places that are kept, in the order of their times.
    #[must_use]
    pub fn promises(&self) -> &[Promise] {
        &self.promises
    }

    fn of(&self, key: u64) -> Option<&Promise> {
        self.promises.iter().find(|promise| promise.key == key)
    }

    fn insert(&mut self, promise: Promise) {
        let position = self
            .promises
            .partition_point(|other| other.due <= promise.due);
        self.promises.insert(position, promise);
    }

    /// Returns the first time at which a place is free for the request.
    ///
    /// The places of a team are apart by its part of the rate. Other teams use the gaps, so a team that asks often
    /// takes no place of one that seldom does.
    fn next_place(&self, now: Duration, request: RefusedRequest<'_>) -> Duration {
        let reserved = request.reserved();
        let teams = self.promises.iter().map(|promise| &*promise.team);
        let teams: HashSet<&str> = teams.chain([request.team]).collect();
        let teams = u32::try_from(teams.len().max(MIN_TEAMS)).unwrap_or(u32::MAX);
        let of_limit = request
            .limited_to
            .map(|part| reserved.mul_f64(1.0 / part.max(MIN_PART)));
        let interval = (reserved * teams).max(of_limit.unwrap_or_default());
        let earliest = now + request.drain_time.max(of_limit.unwrap_or_default());
        let team = request.team;
        let last = self.promises.iter().rfind(|last| *last.team == *team);
        let after_last = last.map(|last| last.due + interval);
        let mut due = after_last.map_or(earliest, |after_last| earliest.max(after_last));
        for promise in &self.promises {
            if promise.ends() <= due {
                continue;
            }
            if due + reserved <= promise.due {
                break;
            }
            due = promise.ends();
        }
        due
    }

    /// Returns when a caller without a place is to come back: once the queue has drained, and one of a team after the
    /// other.
    fn spread(
        &mut self,
        now: Duration,
        request: RefusedRequest<'_>,
        longest: Duration,
    ) -> Duration {
        if self.unplaced.len() >= PRUNE_TEAMS_FROM {
            self.unplaced.retain(|_, until| *until > now);
        }
        let earliest = now + request.drain_time;
        let until = self.unplaced.get(request.team).copied();
        let until = until.filter(|until| *until <= earliest + longest);
        let due = until.map_or(earliest, |until| until.max(earliest));
        self.unplaced
            .insert(request.team.into(), due + request.prefill_time);
        due.saturating_sub(now)
    }
}

/// Returns the time until work ends that is done in `work` and that promised requests are put ahead of.
///
/// `promised` yields the time until each of them comes, in order, and the time that the engine needs for it.
pub(crate) fn delayed_by(
    work: Duration,
    promised: impl Iterator<Item = (Duration, Duration)>,
) -> Duration {
    let mut ends = work;
    for (until, own) in promised {
        if until > ends {
            break;
        }
        ends += own;
    }
    ends
}
