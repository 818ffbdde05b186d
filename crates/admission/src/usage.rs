//! Counts the recent usage of each team.

use std::collections::HashMap;
use std::time::Duration;

/// Half-life of usage; fair shares are to hold over about four seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Half-life of short-term usage: an engine prefills about three requests in it.
const SHORT_TERM_HALF_LIFE: Duration = Duration::from_millis(500);

/// Usage below which a team is dropped, in tokens.
const MIN_TRACKED_TOKENS: f64 = 1.0;

/// Number of teams at which those with negligible usage are dropped.
const PRUNE_TEAMS_FROM: usize = 4096;

#[derive(Debug, Clone, Copy)]
struct DecayedCount {
    tokens: f64,
    recorded_at: Duration,
}

impl DecayedCount {
    fn tokens_at(self, now: Duration, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.recorded_at).as_secs_f64();
        self.tokens * 0.5_f64.powf(age / half_life.as_secs_f64())
    }
}

/// An exponentially decayed count of tokens for each team.
#[derive(Debug)]
pub struct TeamUsage {
    teams: HashMap<Box<str>, DecayedCount>,
    half_life: Duration,
}

impl Default for TeamUsage {
    fn default() -> Self {
        Self {
            teams: HashMap::new(),
            half_life: HALF_LIFE,
        }
    }
}

impl TeamUsage {
    /// Creates a counter that covers only the last few requests.
    pub(crate) fn short_term() -> Self {
        Self {
            half_life: SHORT_TERM_HALF_LIFE,
            ..Self::default()
        }
    }

    /// Returns the recent usage of a team, in tokens.
    #[must_use]
    pub fn tokens(&self, now: Duration, team: &str) -> f64 {
        let count = self.teams.get(team);
        count.map_or(0.0, |count| count.tokens_at(now, self.half_life))
    }

    /// Adds tokens to a team's usage.
    pub fn add(&mut self, now: Duration, team: &str, tokens: u32) {
        let before = self.tokens(now, team);
        let count = DecayedCount {
            tokens: before + f64::from(tokens),
            recorded_at: now,
        };
        if let Some(entry) = self.teams.get_mut(team) {
            *entry = count;
            return;
        }
        if self.teams.len() >= PRUNE_TEAMS_FROM {
            let half_life = self.half_life;
            self.teams
                .retain(|_, count| count.tokens_at(now, half_life) >= MIN_TRACKED_TOKENS);
        }
        self.teams.insert(team.into(), count);
    }

    /// Subtracts tokens that were added at an earlier time, decayed since then.
    pub(crate) fn refund(&mut self, now: Duration, team: &str, tokens: u32, added_at: Duration) {
        let refunded = DecayedCount {
            tokens: f64::from(tokens),
            recorded_at: added_at,
        }
        .tokens_at(now, self.half_life);
        let before = self.tokens(now, team);
        if let Some(entry) = self.teams.get_mut(team) {
            *entry = DecayedCount {
                tokens: (before - refunded).max(0.0),
                recorded_at: now,
            };
        }
    }

    /// Replaces a team's usage.
    pub fn set(&mut self, now: Duration, team: &str, tokens: u64) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "the usage of a few seconds is far below 2^52"
        )]
        let count = DecayedCount {
            tokens: tokens as f64,
            recorded_at: now,
        };
        if let Some(entry) = self.teams.get_mut(team) {
            *entry = count;
        } else if tokens > 0 {
            self.teams.insert(team.into(), count);
        }
    }

    /// Returns the teams with recent usage, in no particular order.
    pub fn teams(&self, now: Duration) -> impl Iterator<Item = (&str, f64)> {
        let teams = self.teams.iter();
        teams
            .map(move |(team, count)| (&**team, count.tokens_at(now, self.half_life)))
            .filter(|(_, tokens)| *tokens >= MIN_TRACKED_TOKENS)
    }
}
