//! The decision whether an entry may make another attempt at a request.
//!
//! An attempt is repeated only if it is proven that the request did not run, or if the request is idempotent and no part of
//! an answer has reached the caller. Retries are charged to token buckets that first attempts refill, so that they add
//! only a bounded load to a failing fleet. Each retry waits for a random time within the caller's deadline.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{ids::TeamId, outcome::Outcome};

/// Cost of one retry in bucket units, so that a first attempt can add a fraction of a retry.
const RETRY_COST: u64 = 1000;

/// The limits and delays of retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryRules {
    /// Retries allowed per thousand first attempts, both for the whole entry and for each team.
    pub retry_permille: u32,
    /// Burst of retries that the entry may make beyond that rate.
    pub entry_burst_retries: u32,
    /// Burst of retries that each team may make beyond that rate.
    pub team_burst_retries: u32,
    /// Maximum number of attempts at one request, including the first.
    pub max_attempts: u32,
    /// Upper limit of the random delay before the first retry; it doubles with each further retry.
    pub base_delay: Duration,
    /// Maximum of that upper limit.
    pub max_delay: Duration,
    /// Minimum time that must remain before the deadline for an attempt to be useful.
    pub min_attempt: Duration,
}

impl Default for RetryRules {
    /// Returns the defaults.
    ///
    /// A pool at 90% utilisation can bear 10% more load. The bursts cover the loss of a rack at an entry with little traffic,
    /// and keep a single team from using up the entry's burst. The first delay is up to about ten times the latency between
    /// data centres, so that a membership change can arrive in the meantime. Three attempts reach three sidecars.
    fn default() -> Self {
        Self {
            retry_permille: 100,
            entry_burst_retries: 50,
            team_burst_retries: 10,
            max_attempts: 3,
            base_delay: Duration::from_millis(20),
            max_delay: Duration::from_secs(1),
            min_attempt: Duration::from_millis(50),
        }
    }
}

/// A finished attempt, as input to the retry decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedAttempt {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether any part of an answer, including its head, has reached the caller.
    pub answer_started: bool,
    /// Number of attempts made so far, including this one.
    pub attempts: u32,
}

impl FinishedAttempt {
    /// Returns whether another attempt is safe and may succeed, regardless of budgets and the deadline.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        let Some(reason) = self.outcome.reason() else {
            return false;
        };
        let is_safe = self.outcome.is_not_run() || (self.is_idempotent && !self.answer_started);
        is_safe && reason.may_succeed_elsewhere()
    }
}

/// What follows a finished attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt after this delay.
    After(Duration),
    /// Report this outcome to the caller now.
    Final(Outcome),
}

/// A token bucket that limits the retries of an entry or a team, in thousandths of a retry.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    level: u64,
    burst: u64,
}

impl TokenBucket {
    fn full(burst_retries: u32) -> Self {
        let burst = u64::from(burst_retries) * RETRY_COST;
        Self {
            level: burst,
            burst,
        }
    }

    fn refill(&mut self, permille: u32) {
        self.level = self.burst.min(self.level + u64::from(permille));
    }

    fn has_token(&self) -> bool {
        self.level >= RETRY_COST
    }

    fn take_token(&mut self) {
        self.level -= RETRY_COST;
    }
}

/// The retry budgets of one entry and of its teams.
#[derive(Debug)]
pub struct RetryBudgets {
    rules: RetryRules,
    entry: TokenBucket,
    teams: HashMap<TeamId, TokenBucket>,
}

impl RetryBudgets {
    /// Creates full budgets.
    #[must_use]
    pub fn new(rules: RetryRules) -> Self {
        Self {
            rules,
            entry: TokenBucket::full(rules.entry_burst_retries),
            teams: HashMap::new(),
        }
    }

    /// Refills the budgets for a first attempt of this team; must be called once for each request.
    pub fn record_first_attempt(&mut self, team: &str) {
        let permille = self.rules.retry_permille;
        self.entry.refill(permille);
        self.team(team).refill(permille);
    }

    /// Removes the budgets of teams that the configuration no longer contains.
    pub fn retain_teams(&mut self, mut is_known: impl FnMut(&str) -> bool) {
        self.teams.retain(|team, _| is_known(team));
    }

    /// Decides what follows a finished attempt; `now` and `deadline` are spans since the start of the process.
    ///
    /// If no retry is allowed, the outcome is returned immediately, with its own retry delay for the caller.
    pub fn decide(
        &mut self,
        team: &str,
        finished: &FinishedAttempt,
        now: Duration,
        deadline: Duration,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        if finished.attempts >= self.rules.max_attempts || !finished.is_retryable() {
            return RetryDecision::Final(finished.outcome);
        }
        let delay = self.delay(finished.attempts, rng);
        if now + delay + self.rules.min_attempt > deadline {
            return RetryDecision::Final(finished.outcome);
        }
        if !self.entry.has_token() || !self.team(team).has_token() {
            return RetryDecision::Final(finished.outcome);
        }
        self.entry.take_token();
        self.team(team).take_token();
        RetryDecision::After(delay)
    }

    /// Returns a delay drawn uniformly between zero and a limit that doubles with each attempt ("full jitter").
    fn delay(&self, attempts: u32, rng: &mut impl Rng) -> Duration {
        let doublings = attempts.saturating_sub(1).min(31);
        let limit = self.rules.base_delay.saturating_mul(1 << doublings);
        let limit = limit.min(self.rules.max_delay);
        let limit_us =
            u64::try_from(limit.as_micros()).expect("a delay of at most max_delay fits 64 bits");
        Duration::from_micros(rng.random_range(0..=limit_us))
    }

    fn team(&mut self, team: &str) -> &mut TokenBucket {
        if !self.teams.contains_key(team) {
            let bucket = TokenBucket::full(self.rules.team_burst_retries);
            self.teams.insert(team.into(), bucket);
        }
        self.teams
            .get_mut(team)
            .expect("the team's bucket was just inserted")
    }
}
