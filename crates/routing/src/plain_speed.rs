//! Estimates how fast an endpoint without a model engine serves, and how many requests are ahead there.
//!
//! Two time scales are kept apart: what the endpoint is, from its answers over seconds, and what it is at this moment, from
//! its own figure and the last answers, which count less with age. News of the load are old as well: each gateway sees only
//! the headers of its own answers.

use std::time::Duration;

use smallvec::SmallVec;

use crate::plain_choice::PlainCandidate;

/// Highest weight of one answer in the usual service time; it is less where answers come often.
const MAX_USUAL_WEIGHT: f64 = 0.125;

/// Time over which answers make up the usual service time.
const USUAL_SPAN: Duration = Duration::from_secs(3);

/// Weight of one report in the means of the load and of the endpoint's own figure.
const MEAN_WEIGHT: f64 = 0.0625;

/// Weight of one answer in what the answers say of this moment.
const MOMENT_WEIGHT: f64 = 0.25;

/// Time in which what is known of this moment loses most of its worth: other work on a machine comes and goes as fast.
const MOMENT_DECAY: Duration = Duration::from_millis(500);

/// Time in which the reported load loses most of its worth: some service times, in which other requests have taken its place.
pub(crate) const LOAD_DECAY: Duration = Duration::from_millis(200);

/// Time in which the usual service time loses most of its worth without answers, so that an endpoint that was slow is tried again.
const USUAL_DECAY: Duration = Duration::from_secs(5);

/// Bounds of what the answers say of this moment, as a factor of the usual time; single answers vary by themselves.
const MOMENT_FACTORS: (f64, f64) = (0.7, 8.0);

/// Bound of a single answer's service time in the usual one, as a factor; some answers are held up on their way.
const MAX_USUAL_RATIO: f64 = 2.0;

/// Shortest usual service time, which avoids a division by zero.
const MIN_SERVICE_S: f64 = 0.0002;

/// Factor by which work takes longer at this moment than as usual, with the mean to which it returns.
#[derive(Debug, Clone, Copy)]
struct Factor {
    value: f64,
    mean: f64,
    at: Duration,
}

impl Factor {
    fn now(&self, now: Duration, decay: Duration) -> f64 {
        self.mean + (self.value - self.mean) * weight_left(self.at, now, decay)
    }
}

/// What one gateway knows of one plain endpoint's speed and load.
#[derive(Debug, Default)]
pub struct PlainSpeed {
    /// Service time at the endpoint's mean speed, in seconds, as seen from here.
    usual_s: Option<f64>,
    /// Time of the last answer.
    answered_at: Duration,
    /// How long work takes there by its own figure, as a factor.
    reported: Option<Factor>,
    /// How much longer the last answers took than was expected.
    answered: Option<Factor>,
    /// Requests of other gateways there.
    others: Option<Factor>,
    /// Requests of this gateway whose answers have not begun, by their sending time.
    unanswered: SmallVec<[Duration; 4]>,
    /// Time until which it is full, by its last rejection.
    full_until: Duration,
}

/// A request on its way to a plain endpoint, and what was expected of it.
#[derive(Debug, Clone, Copy)]
pub struct PlainRequest {
    sent_at: Duration,
    /// Expected time until its answer, as a multiple of the service time.
    stretch: f64,
}

impl PlainSpeed {
    /// Records that a request is sent; `own_running` counts this gateway's requests there without it.
    pub fn record_sent(&mut self, now: Duration, own_running: u32, slots: u32) -> PlainRequest {
        let candidate = self.candidate(now, own_running, slots);
        self.unanswered.push(now);
        PlainRequest {
            sent_at: now,
            stretch: candidate.stretch(),
        }
    }

    /// Records that a request is answered or given up.
    pub fn record_end(&mut self, request: PlainRequest) {
        let sent = self.unanswered.iter();
        if let Some(index) = sent.copied().position(|at| at == request.sent_at) {
            self.unanswered.swap_remove(index);
        }
    }

    /// Records a reported load: requests that run or wait there, of which `own_running` are this gateway's.
    ///
    /// `work_permille` is how long work takes there at this moment, as the endpoint says; 1000 is as usual.
    pub fn record_load(
        &mut self,
        now: Duration,
        reported: u32,
        own_running: u32,
        work_permille: Option<u32>,
    ) {
        let others = f64::from(reported.saturating_sub(own_running));
        self.others = Some(updated(self.others, now, others));
        if let Some(permille) = work_permille {
            let factor = f64::from(permille) / 1_000.0;
            self.reported = Some(updated(self.reported, now, factor));
        }
    }

    /// Records the answer of a request that ran, after its load.
    pub fn record_answer(&mut self, now: Duration, request: PlainRequest) {
        let took = now.saturating_sub(request.sent_at).as_secs_f64();
        let at_moment = took / (request.stretch * self.reported_now(now));
        let service = at_moment.max(MIN_SERVICE_S);
        let usual = self.usual_s.unwrap_or(service);
        let ratio = (service / usual).clamp(MOMENT_FACTORS.0, MOMENT_FACTORS.1);
        let weight = 1.0 - weight_left(self.answered_at, now, USUAL_SPAN);
        self.answered_at = now;
        let before = self.answered_now(now);
        self.answered = Some(Factor {
            value: before + (ratio - before) * MOMENT_WEIGHT,
            mean: 1.0,
            at: now,
        });
        self.usual_s = Some(
            usual + (usual * ratio.min(MAX_USUAL_RATIO) - usual) * weight.min(MAX_USUAL_WEIGHT),
        );
    }

    /// Records that it was full and rejected a request.
    pub fn record_rejected(&mut self, now: Duration, slots: u32) {
        let service = self.usual_s.unwrap_or_default() * self.moment(now);
        // One slot after the other is free within a service time.
        let next_slot = Duration::from_secs_f64(service / f64::from(slots.max(1)));
        self.full_until = now + next_slot;
    }

    /// Returns its description for the choice; distance and warm-up are the caller's to add.
    #[must_use]
    pub fn candidate(&self, now: Duration, own_running: u32, slots: u32) -> PlainCandidate {
        let others = self
            .others
            .map_or(0.0, |others| others.now(now, LOAD_DECAY));
        let age = self
            .others
            .map_or(1.0, |others| 1.0 - weight_left(others.at, now, LOAD_DECAY));
        let mut candidate = PlainCandidate {
            hash: 0,
            usual_s: self.usual_s,
            usual_weight: weight_left(self.answered_at, now, USUAL_DECAY),
            moment: self.moment(now),
            ahead: others + f64::from(own_running),
            // Requests come and go independently, so that their number varies by its root.
            ahead_variance: age * others,
            slots,
            load_age: self.others.map(|others| now.saturating_sub(others.at)),
            full_for: self.full_until.saturating_sub(now),
            price: Duration::ZERO,
        };
        candidate.moment *= self.overdue(now, &candidate);
        candidate
    }

    /// Returns how much longer than expected its oldest unanswered request has taken, between 1 and the bound.
    fn overdue(&self, now: Duration, candidate: &PlainCandidate) -> f64 {
        let oldest = self.unanswered.iter().min();
        let (Some(oldest), Some(usual)) = (oldest, self.usual_s) else {
            return 1.0;
        };
        let waited = now.saturating_sub(*oldest).as_secs_f64();
        (waited / (usual * candidate.moment * candidate.stretch())).clamp(1.0, MOMENT_FACTORS.1)
    }

    fn moment(&self, now: Duration) -> f64 {
        self.reported_now(now) * self.answered_now(now)
    }

    fn reported_now(&self, now: Duration) -> f64 {
        self.reported
            .map_or(1.0, |factor| factor.now(now, MOMENT_DECAY))
    }

    fn answered_now(&self, now: Duration) -> f64 {
        self.answered
            .map_or(1.0, |factor| factor.now(now, MOMENT_DECAY))
    }
}

fn updated(before: Option<Factor>, now: Duration, value: f64) -> Factor {
    let mean = before.map_or(value, |before| {
        before.mean + (value - before.mean) * MEAN_WEIGHT
    });
    Factor {
        value,
        mean,
        at: now,
    }
}

/// Returns how much of what was known then still counts, between 0 and 1.
fn weight_left(at: Duration, now: Duration, decay: Duration) -> f64 {
    let age = now.saturating_sub(at);
    (-age.as_secs_f64() / decay.as_secs_f64()).exp()
}
