//! Chooses among endpoints without a model engine by the shortest expected end of a request.
//!
//! Many gateways choose at once by old news. If each took the best by its own news, those with the same news would all take
//! the same one; each therefore lets its news count less with their age, and counts its own requests since.

use std::time::Duration;

use smallvec::SmallVec;

use crate::choose::home_rank;
use crate::plain_speed::LOAD_DECAY;

/// Service time of an endpoint while neither its answers nor those of its neighbours have shown one.
const ASSUMED_SERVICE_S: f64 = 0.03;

/// Difference of expected ends that news and single answers don't tell apart, as a part of them.
const INDISTINCT: f64 = 0.2;

/// An endpoint without a model engine that could take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainCandidate {
    /// Hash of the endpoint's id.
    pub hash: u64,
    /// Usual service time in seconds, if known.
    pub usual_s: Option<f64>,
    /// How much that still counts, between 0 and 1.
    pub usual_weight: f64,
    /// Factor by which work takes longer at this moment than as usual.
    pub moment: f64,
    /// Expected number of requests that run or wait there.
    pub ahead: f64,
    /// Variance of that number.
    pub ahead_variance: f64,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Age of the news of its load, if any.
    pub load_age: Option<Duration>,
    /// Time for which it rejects requests, as far as is known.
    pub full_for: Duration,
    /// Price of its distance and of its warm-up, as time.
    pub price: Duration,
}

impl PlainCandidate {
    /// Returns the expected number of requests that must end before the request begins.
    fn waiting(&self) -> f64 {
        let beyond = self.ahead - f64::from(self.slots.max(1)) + 1.0;
        // The mean of what lies above zero, of a number with this mean and variance; arrivals at the same time vary by one.
        f64::midpoint(beyond, beyond.hypot((1.0 + self.ahead_variance).sqrt()))
    }

    /// Returns the expected number of requests that run or wait there, rounded.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast of a float saturates, and the number is small and not negative"
    )]
    pub fn expected_requests(&self) -> u32 {
        self.ahead.round() as u32
    }

    fn has_fresh_load(&self) -> bool {
        self.load_age.is_some_and(|age| age <= LOAD_DECAY)
    }

    /// Returns what is expected of a request there; `assumed_s` is the usual service time where none is known or
    /// what is known is old: that of fast neighbours, so that an endpoint that was slow is tried again.
    fn expected(&self, index: usize, assumed_s: f64) -> PlainChoice {
        let usual_s = self.usual_s.unwrap_or(assumed_s);
        let usual_s = assumed_s + (usual_s - assumed_s) * self.usual_weight;
        let service_s = usual_s * self.moment;
        let wait_s = service_s * (self.stretch() - 1.0);
        let service = Duration::from_secs_f64(service_s);
        let begins_in = Duration::from_secs_f64(wait_s).max(self.full_for);
        PlainChoice {
            index,
            service,
            begins_in,
            ends_in: begins_in + service,
        }
    }

    /// Returns the time until a request of now would begin there, if its service time is known.
    #[must_use]
    pub fn free_in(&self) -> Option<Duration> {
        self.usual_s
            .map(|usual_s| self.expected(0, usual_s).begins_in)
    }

    /// Returns the expected time until the answer, as a multiple of the service time.
    pub(crate) fn stretch(&self) -> f64 {
        1.0 + self.waiting() / f64::from(self.slots.max(1))
    }
}

/// A chosen endpoint, and what is expected of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainChoice {
    /// Its index among the candidates.
    pub index: usize,
    /// Expected service time there at this moment.
    pub service: Duration,
    /// Expected time until the request begins.
    pub begins_in: Duration,
    /// Expected time until its end.
    pub ends_in: Duration,
}

/// The outcome of a choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlainOutcome {
    /// The request goes there.
    Chosen(PlainChoice),
    /// It can't begin in time anywhere; the first slot should be free after this time.
    TooLate {
        /// Time until a request of now would begin at the endpoint where that is soonest.
        free_in: Duration,
    },
}

/// Chooses the endpoint with the shortest expected end, price included; `None` without candidates.
///
/// A request that has less time left than any endpoint needs to begin it is refused; only fresh news count for that, since
/// without requests there would be no news that an endpoint has recovered. `draw` is a random number.
#[must_use]
pub fn choose_plain(
    candidates: &[PlainCandidate],
    left: Duration,
    draw: u64,
) -> Option<PlainOutcome> {
    let assumed_s = assumed_service_s(candidates);
    let choices = candidates.iter().enumerate().map(|(index, candidate)| {
        let choice = candidate.expected(index, assumed_s);
        let is_too_late = candidate.has_fresh_load() && choice.begins_in >= left;
        let ends_in = choice
            .ends_in
            .mul_f64(1.0 + INDISTINCT * lot(draw, candidate.hash));
        let cost = ends_in + candidate.price;
        let rank = (is_too_late, cost);
        (rank, choice)
    });
    let choices: SmallVec<[_; 4]> = choices.collect();
    let ((is_too_late, ..), best) = choices.iter().min_by_key(|(rank, _)| *rank)?;
    if !is_too_late {
        return Some(PlainOutcome::Chosen(*best));
    }
    let free_in = choices.iter().map(|(_, choice)| choice.begins_in).min()?;
    Some(PlainOutcome::TooLate { free_in })
}

/// Returns the usual service time that an endpoint may have whose answers have not shown one lately.
///
/// It is one that a quarter of the neighbours at most fall short of, so that the endpoint is tried, but not by all gateways at
/// once for the luckiest of many answers.
fn assumed_service_s(candidates: &[PlainCandidate]) -> f64 {
    let known = candidates.iter().filter_map(|one| one.usual_s);
    let mut known: SmallVec<[f64; 4]> = known.collect();
    known.sort_unstable_by(f64::total_cmp);
    known
        .get(known.len() / 4)
        .copied()
        .unwrap_or(ASSUMED_SERVICE_S)
}

/// Returns a number from 0 to 1 that the endpoint draws.
fn lot(draw: u64, endpoint: u64) -> f64 {
    let upper_half = u32::try_from(home_rank(draw, endpoint) >> 32).unwrap_or(u32::MAX);
    f64::from(upper_half) / f64::from(u32::MAX)
}
