//! Estimates how fast an engine prefills, and how much work it needs ahead of it to stay busy.
//!
//! The only evidence is what callers get: when a request was granted and when its answer began. What an engine reports
//! of its own progress has no part in it, so an engine that reports progress which it doesn't make gains nothing.
//!
//! News of a prefill arrives one feedback delay after it: the way of the request to the engine, the decode steps of the
//! first event, and its way back. Between the answers to two requests the delay cancels out if the later request had
//! reached the engine before it was done with the earlier one. Only such spans may lower the estimate. In any other span
//! the engine may have waited for work, so that it shows no more than a lower bound of the rate.

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use crate::request::SlotRequestId;

/// Initial rate, in tokens per second: below that of current engines, since a lower bound raises it soon.
const INITIAL_TOKENS_PER_S: f64 = 25_000.0;

/// Weight of the initial rate, as seconds of measurement.
const INITIAL_WEIGHT_S: f64 = 0.1;

/// Bounds of a rate in tokens per second, for engines beyond which an estimate is an error.
const MIN_TOKENS_PER_S: f64 = 2_000.0;
const MAX_TOKENS_PER_S: f64 = 1_000_000.0;

/// Half-life of the usual rate, in seconds of prefill.
const USUAL_HALF_LIFE_S: f64 = 3.0;

/// Half-life of the present rate, in seconds; a machine shared with others is slow for moments.
const NOW_HALF_LIFE_S: f64 = 0.2;

/// Weight of the usual rate in the present one, as seconds of measurement.
const NOW_PRIOR_WEIGHT_S: f64 = 0.02;

/// Bounds of the present rate relative to the usual one: slower by more than a shared machine makes an engine, and
/// faster by more than noise.
const NOW_RANGE: (f64, f64) = (0.25, 1.5);

/// Factor by which one span may differ from the estimate; a longer silence is a stall of the network.
const MAX_SPAN_FACTOR: f64 = 4.0;

/// Factor by which a lower bound may exceed the estimate.
const MAX_RAISE_FACTOR: f64 = 2.0;

/// Shortest time from which a lower bound follows; the noise of a first event is as long.
const MIN_RAISE_SPAN_S: f64 = 0.01;

/// Prefill time, in seconds, after which the rate counts as measured.
const MEASURED_AFTER_S: f64 = 0.2;

/// Relative change from which on the usual rate is told anew. Gateways compute homes of prefixes from it.
const TOLD_CHANGE: f64 = 0.2;

/// Number of delays that the estimate is taken from.
const DELAY_SAMPLES: usize = 32;

/// Number of samples that stand for what was known of the delay before.
const HELD_DELAYS: usize = 8;

/// Present rate relative to the usual one below which an engine is slow.
const SLOW_RATIO: f64 = 0.8;

/// Time after which delays are dropped unless others have followed.
const DELAY_WINDOW: Duration = Duration::from_secs(1);

/// Number of delays of idle engines that the unloaded delay is taken from.
const IDLE_SAMPLES: usize = 16;

/// Unloaded delays from which the delay of an engine is told from the time that its own queue adds.
const MIN_IDLE_SAMPLES: usize = 4;

/// Multiple of the time for the floor's tokens beyond which news comes too late for the floor to keep the engine busy. Up
/// to that, reports between the first events keep the queue informed.
const LATE_NEWS_RATIO: f64 = 2.5;

/// Delay that is assumed of an engine until it is measured.
const INITIAL_DELAY: Duration = Duration::from_millis(60);

/// Longest delay that counts; anything beyond is a loss or a stall.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// Noise of a delay as a part of the round trip.
const DELAY_NOISE: f64 = 0.1;

/// Least difference by which a delay must exceed the work ahead of its request to be more than that work.
const DELAY_MARGIN_S: f64 = 0.005;

/// Work that an engine needs beyond the feedback delay: the interval at which the queue looks for room, and noise.
const DECISION_INTERVAL: Duration = Duration::from_millis(25);

/// Divisor of the shortest remaining budget of a waiting request that bounds the granted work. Granted work can't be
/// reordered, so a request that is to go first waits for all of it, and then needs time for its own prompt and for its
/// first event.
const BUDGET_DIVISOR: u32 = 3;

/// Work beyond the depth up to which the floor in tokens still grants. Reports that show less are not believed: as
/// long takes half of the time within which an answer has to begin.
const MAX_FLOOR_EXCESS_S: f64 = 0.25;

/// A granted prompt whose answer has not begun.
#[derive(Debug)]
struct Prompt {
    id: SlotRequestId,
    tokens: u32,
    granted_at: Duration,
    /// Work ahead of it when it was granted, in seconds.
    ahead_s: f64,
    /// Whether every earlier prompt had been answered when it was granted.
    was_first: bool,
}

/// A decayed ratio of tokens and the time in which they were prefilled.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    tokens: f64,
    seconds: f64,
}

impl Rate {
    fn add(&mut self, weight: f64, tokens: f64, seconds: f64) {
        self.tokens = self.tokens * weight + tokens;
        self.seconds = self.seconds * weight + seconds;
    }
}

/// The pace of one engine process.
#[derive(Debug)]
pub struct Pace {
    /// Prompts whose answers have not begun, in the order of their grants.
    unanswered: VecDeque<Prompt>,
    unanswered_tokens: u64,
    /// Time at which the latest answer began.
    heard_at: Option<Duration>,
    /// Time from which on the news of the oldest unanswered prompt's prefill counts.
    clock: Duration,
    usual: Rate,
    now: Rate,
    now_at: Duration,
    measured_s: f64,
    /// Delays by the time at which they were measured.
    delays: VecDeque<(Duration, Duration)>,
    /// Delay that is known from dropped ones.
    held_delay: Option<Duration>,
    /// Typical delay.
    delay: Option<Duration>,
    /// Delay that few are below.
    low_delay: Duration,
    /// Latest delays of prompts that were granted to an idle engine.
    idle_delays: VecDeque<Duration>,
    /// Typical delay without the time that the engine's queue adds.
    unloaded_delay: Option<Duration>,
    told_usual: Option<f64>,
}

impl Pace {
    /// Creates the pace of an engine that nothing is known of.
    #[must_use]
    pub fn new() -> Self {
        Self {
            unanswered: VecDeque::new(),
            unanswered_tokens: 0,
            heard_at: None,
            clock: Duration::ZERO,
            usual: Rate {
                tokens: INITIAL_TOKENS_PER_S * INITIAL_WEIGHT_S,
                seconds: INITIAL_WEIGHT_S,
            },
            now: Rate::default(),
            now_at: Duration::ZERO,
            measured_s: 0.0,
            delays: VecDeque::new(),
            held_delay: None,
            delay: None,
            low_delay: Duration::ZERO,
            idle_delays: VecDeque::new(),
            unloaded_delay: None,
            told_usual: None,
        }
    }

    /// Records a granted prompt and the tokens of it that the engine has to prefill.
    pub fn granted(&mut self, now: Duration, id: SlotRequestId, tokens: u32) {
        let ahead_s = self.backlog_s(now);
        self.unanswered.push_back(Prompt {
            id,
            tokens,
            granted_at: now,
            ahead_s,
            was_first: self.unanswered.is_empty(),
        });
        self.unanswered_tokens += u64::from(tokens);
        self.advance_clock();
    }

    /// Raises the tokens of a prompt, when a prefix that counted as cached turns out not to be.
    pub fn raise_tokens(&mut self, id: SlotRequestId, added: u32) {
        let prompt = self.unanswered.iter_mut().find(|prompt| prompt.id == id);
        if let Some(prompt) = prompt {
            prompt.tokens = prompt.tokens.saturating_add(added);
            self.unanswered_tokens = self.total_tokens();
        }
    }

    /// Records that the answer to a prompt has begun.
    pub fn answered(&mut self, now: Duration, id: SlotRequestId) {
        let Some(prompt) = self.take(id) else {
            return;
        };
        let heard_at = self.heard_at.replace(now);
        self.clock = now;
        self.advance_clock();
        let round_trip_s = seconds_between(prompt.granted_at, now);
        self.record_delay(now, &prompt);
        let tokens = f64::from(prompt.tokens);
        let delay = self.feedback_delay().unwrap_or(Duration::ZERO);
        if let Some(heard_at) = heard_at.filter(|at| prompt.granted_at + delay <= *at) {
            let longest_s = tokens * MAX_SPAN_FACTOR / self.tokens_per_s(now) + delay.as_secs_f64();
            let span_s = seconds_between(heard_at, now).min(longest_s);
            self.record(now, tokens, span_s);
            return;
        }
        let delay_s = self.low_delay.as_secs_f64();
        let span_s = round_trip_s - delay_s;
        let rate = self.tokens_per_s(now);
        if span_s >= MIN_RAISE_SPAN_S.max(delay_s / 2.0) && tokens / span_s > rate {
            let span_s = span_s.max(tokens / (rate * MAX_RAISE_FACTOR));
            self.record(now, tokens, span_s);
        }
    }

    /// Records that a prompt has ended or was lost, which tells nothing of the rate.
    pub fn removed(&mut self, id: SlotRequestId) {
        if self.take(id).is_some() {
            self.advance_clock();
        }
    }

    /// Forgets everything, as the engine is another process.
    pub fn restarted(&mut self) {
        *self = Self::new();
    }

    /// Returns whether enough was seen of the engine to know its rate and its delay.
    #[must_use]
    pub fn is_measured(&self) -> bool {
        self.measured_s >= MEASURED_AFTER_S && self.delay.is_some()
    }

    /// Returns whether the engine can prefill a number of tokens long before the news of them arrives, so that granting
    /// no more than these would leave it idle.
    #[must_use]
    pub fn has_late_news(&self, floor_tokens: u32) -> bool {
        let floor = Duration::from_secs_f64(f64::from(floor_tokens) / self.usual_rate());
        let unloaded = self.unloaded_delay.filter(|_| self.is_measured());
        unloaded.is_some_and(|delay| delay > floor.mul_f64(LATE_NEWS_RATIO))
    }

    /// Returns the usual rate in tokens per second; it changes only when it is off by more than a fifth.
    #[must_use]
    pub fn usual_tokens_per_s(&self) -> f64 {
        self.told_usual.unwrap_or_else(|| self.usual_rate())
    }

    /// Returns the present rate in tokens per second.
    #[must_use]
    pub fn tokens_per_s(&self, now: Duration) -> f64 {
        let usual = self.usual_rate();
        let weight = decay(seconds_between(self.now_at, now), NOW_HALF_LIFE_S);
        let tokens = self.now.tokens * weight + usual * NOW_PRIOR_WEIGHT_S;
        let seconds = self.now.seconds * weight + NOW_PRIOR_WEIGHT_S;
        let (min, max) = NOW_RANGE;
        (tokens / seconds).clamp(usual * min, usual * max)
    }

    /// Returns the time that the engine needs to prefill some tokens at its present rate.
    #[must_use]
    pub fn time_for(&self, now: Duration, tokens: u64) -> Duration {
        Duration::from_secs_f64(to_f64(tokens) / self.tokens_per_s(now))
    }

    /// Returns the time from a grant to the first event, beyond the time of prefill.
    #[must_use]
    pub fn feedback_delay(&self) -> Option<Duration> {
        self.delay
    }

    /// Returns the expected time until the engine has prefilled everything that was granted.
    #[must_use]
    pub fn work_ahead(&self, now: Duration) -> Duration {
        let delay = self.feedback_delay().unwrap_or_default();
        Duration::from_secs_f64(self.backlog_s(now).max(0.0)).saturating_sub(delay)
    }

    /// Returns the longest time until the engine has prefilled everything that was granted: had it stood still since
    /// the latest news.
    #[must_use]
    pub fn longest_work_ahead(&self, now: Duration) -> Duration {
        let delay = self.feedback_delay().unwrap_or_default();
        self.time_for(now, self.unanswered_tokens)
            .saturating_sub(delay)
    }

    /// Returns whether more work may be granted beyond that granted so far and some further tokens.
    ///
    /// The floor is a number of tokens that may always be unread; it suffices where the engine needs longer to prefill
    /// them than news takes. `unread_tokens` are those that are unread as far as reports show, and `shortest_budget` is
    /// the shortest remaining budget of a waiting request. Only with `is_deep` is more than the floor granted.
    #[must_use]
    pub fn has_room(
        &self,
        now: Duration,
        tokens: u64,
        unread_tokens: u32,
        floor_tokens: u32,
        shortest_budget: Duration,
        is_deep: bool,
    ) -> bool {
        let is_below_floor = u64::from(unread_tokens) + tokens < u64::from(floor_tokens);
        if self.measured_s < MEASURED_AFTER_S {
            return is_below_floor;
        }
        let backlog_s = self.backlog_s(now) + to_f64(tokens) / self.tokens_per_s(now);
        let delay = self.feedback_delay();
        if is_below_floor {
            let delay = delay.unwrap_or(INITIAL_DELAY);
            return backlog_s < Self::depth_s(delay, Duration::MAX) + MAX_FLOOR_EXCESS_S;
        }
        delay.is_some_and(|delay| is_deep && backlog_s < Self::depth_s(delay, shortest_budget))
    }

    /// Returns how much work may be granted, in seconds from the latest news.
    ///
    /// The bound by a budget doesn't go below the feedback delay, or the engine would run dry between news and every
    /// request would wait longer.
    fn depth_s(delay: Duration, shortest_budget: Duration) -> f64 {
        let bound = (shortest_budget / BUDGET_DIVISOR).max(delay);
        (delay + DECISION_INTERVAL).min(bound).as_secs_f64()
    }

    /// Returns the work whose news is due, in seconds.
    ///
    /// Since the latest news the engine has gone on. That is counted up to the end of the oldest prompt, as its answer
    /// would have begun by then.
    fn backlog_s(&self, now: Duration) -> f64 {
        if self.unanswered.is_empty() {
            return 0.0;
        }
        let rate = self.tokens_per_s(now);
        let oldest = self.unanswered.front().map_or(0, |prompt| prompt.tokens);
        let elapsed_s = now.as_secs_f64() - self.clock.as_secs_f64();
        to_f64(self.unanswered_tokens) / rate - elapsed_s.min(f64::from(oldest) / rate)
    }

    /// Sets the clock no earlier than the oldest prompt can make any news.
    fn advance_clock(&mut self) {
        let delay = self.feedback_delay().unwrap_or_default();
        let oldest = self.unanswered.front();
        let earliest = oldest.map_or(Duration::ZERO, |prompt| prompt.granted_at + delay);
        self.clock = self.clock.max(earliest);
    }

    fn take(&mut self, id: SlotRequestId) -> Option<Prompt> {
        let position = self.unanswered.iter().position(|prompt| prompt.id == id)?;
        let prompt = self.unanswered.remove(position);
        self.unanswered_tokens = self.total_tokens();
        prompt
    }

    fn total_tokens(&self) -> u64 {
        let prompts = self.unanswered.iter();
        prompts.map(|prompt| u64::from(prompt.tokens)).sum()
    }

    fn usual_rate(&self) -> f64 {
        (self.usual.tokens / self.usual.seconds).clamp(MIN_TOKENS_PER_S, MAX_TOKENS_PER_S)
    }

    fn record(&mut self, now: Duration, tokens: f64, span_s: f64) {
        self.usual
            .add(decay(span_s, USUAL_HALF_LIFE_S), tokens, span_s);
        let since_s = seconds_between(self.now_at, now);
        self.now
            .add(decay(since_s, NOW_HALF_LIFE_S), tokens, span_s);
        self.now_at = now;
        self.measured_s += span_s;
        let usual = self.usual_rate();
        let is_near =
            |told: &f64| (1.0 - TOLD_CHANGE..=1.0 + TOLD_CHANGE).contains(&(usual / told));
        self.told_usual = self
            .told_usual
            .filter(is_near)
            .or_else(|| self.is_measured().then_some(usual));
    }

    /// Records the delay of an answer, if it is more than the work that was ahead of its prompt.
    ///
    /// Behind other work a delay shows only that the engine was busy all the while, and would grow with the depth that
    /// follows from it. An engine that is slower than usual answers late for that reason. In both cases the delay is no
    /// more than an upper bound.
    fn record_delay(&mut self, now: Duration, prompt: &Prompt) {
        let round_trip_s = seconds_between(prompt.granted_at, now);
        let rate = self.tokens_per_s(prompt.granted_at);
        let delay_s = round_trip_s - f64::from(prompt.tokens) / rate;
        if prompt.was_first && delay_s > 0.0 {
            self.add_idle_delay(Duration::from_secs_f64(delay_s).min(MAX_DELAY));
        }
        // A rate that is too low by more than noise leaves nothing for the delay.
        if delay_s < -round_trip_s * DELAY_NOISE {
            return;
        }
        let delay = Duration::from_secs_f64(delay_s.max(0.0)).min(MAX_DELAY);
        let margin_s = DELAY_MARGIN_S.max(round_trip_s * DELAY_NOISE);
        let is_behind_work = delay_s <= prompt.ahead_s + margin_s;
        let is_slow = rate < self.usual_rate() * SLOW_RATIO;
        let is_longer = self.delay.is_none_or(|known| delay >= known);
        if is_longer && (is_behind_work || is_slow) {
            self.forget_delays(now);
        } else {
            self.add_delay(now, delay);
        }
    }

    fn add_delay(&mut self, now: Duration, delay: Duration) {
        if self.delays.len() == DELAY_SAMPLES {
            self.delays.pop_front();
        }
        self.delays.push_back((now, delay));
        let held = std::iter::repeat_n(self.held_delay, HELD_DELAYS).flatten();
        let delays = held.chain(self.delays.iter().map(|(_, delay)| *delay));
        let mut delays: SmallVec<[Duration; DELAY_SAMPLES]> = delays.collect();
        delays.sort_unstable();
        self.delay = Some(delays[delays.len() / 2]);
        self.low_delay = delays[delays.len() / 4];
    }

    fn add_idle_delay(&mut self, delay: Duration) {
        if self.idle_delays.len() == IDLE_SAMPLES {
            self.idle_delays.pop_front();
        }
        self.idle_delays.push_back(delay);
        if self.idle_delays.len() >= MIN_IDLE_SAMPLES {
            let delays = self.idle_delays.iter().copied();
            let mut delays: SmallVec<[Duration; IDLE_SAMPLES]> = delays.collect();
            delays.sort_unstable();
            self.unloaded_delay = Some(delays[delays.len() / 4]);
        }
    }

    /// Drops delays that no later one has confirmed; some of them were measured while the rate was off.
    fn forget_delays(&mut self, now: Duration) {
        let latest = self.delays.back();
        if latest.is_none_or(|(at, _)| now.saturating_sub(*at) <= DELAY_WINDOW) {
            return;
        }
        let mut delays: Vec<Duration> = self.delays.drain(..).map(|(_, delay)| delay).collect();
        delays.sort_unstable();
        let held = delays[delays.len() / 4];
        self.held_delay = Some(held);
        (self.delay, self.low_delay) = (Some(held), held);
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self::new()
    }
}

fn seconds_between(from: Duration, to: Duration) -> f64 {
    to.saturating_sub(from).as_secs_f64()
}

fn decay(elapsed_s: f64, half_life_s: f64) -> f64 {
    0.5_f64.powf(elapsed_s / half_life_s)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "tokens in a queue are far below 2^52"
)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
