//! Counts the recent usage of each team.

use std::collections::HashMap;
use std::time::Duration;

/// Half-life of usage; fair shares are to hold over about four seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Half-life of short-term usage: an engine prefills about three requests in it.
const SHORT_HALF_LIFE: Duration = Duration::from_millis(500);

/// Usage below which a team is dropped, in tokens.
const FORGET_BELOW: f64 = 1.0;

/// Number of teams from which on those with negligible usage are dropped.
const MANY_TEAMS: usize = 4096;

#[derive(Debug, Clone, Copy)]
struct Used {
    tokens: f64,
    at: Duration,
}

impl Used {
    fn at(self, now: Duration, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.tokens * 0.5_f64.powf(age / half_life.as_secs_f64())
    }
}

/// An exponentially decayed count of tokens for each team.
#[derive(Debug)]
pub struct TeamUsage {
    teams: HashMap<Box<str>, Used>,
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
    pub(crate) fn of_late() -> Self {
        Self {
            half_life: SHORT_HALF_LIFE,
            ..Self::default()
        }
    }

    /// Returns the recent usage of a team, in tokens.
    #[must_use]
    pub fn tokens(&self, now: Duration, team: &str) -> f64 {
        let used = self.teams.get(team);
        used.map_or(0.0, |used| used.at(now, self.half_life))
    }

    /// Adds tokens to a team's usage.
    pub fn add(&mut self, now: Duration, team: &str, tokens: u32) {
        let before = self.tokens(now, team);
        let used = Used {
            tokens: before + f64::from(tokens),
            at: now,
        };
        if let Some(known) = self.teams.get_mut(team) {
            *known = used;
            return;
        }
        if self.teams.len() >= MANY_TEAMS {
            let half_life = self.half_life;
            self.teams
                .retain(|_, used| used.at(now, half_life) >= FORGET_BELOW);
        }
        self.teams.insert(team.into(), used);
    }

    /// Subtracts tokens that were added at an earlier time, decayed since then.
    pub(crate) fn take_back(&mut self, now: Duration, team: &str, tokens: u32, since: Duration) {
        let left = Used {
            tokens: f64::from(tokens),
            at: since,
        }
        .at(now, self.half_life);
        let before = self.tokens(now, team);
        if let Some(known) = self.teams.get_mut(team) {
            *known = Used {
                tokens: (before - left).max(0.0),
                at: now,
            };
        }
    }

    /// Replaces a team's usage.
    pub fn set(&mut self, now: Duration, team: &str, tokens: u64) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "the use of a few seconds is far below 2^52"
        )]
        let used = Used {
            tokens: tokens as f64,
            at: now,
        };
        if let Some(known) = self.teams.get_mut(team) {
            *known = used;
        } else if tokens > 0 {
            self.teams.insert(team.into(), used);
        }
    }

    /// Returns the teams with recent usage, in no particular order.
    pub fn teams(&self, now: Duration) -> impl Iterator<Item = (&str, f64)> {
        let teams = self.teams.iter();
        teams
            .map(move |(team, used)| (&**team, used.at(now, self.half_life)))
            .filter(|(_, tokens)| *tokens >= FORGET_BELOW)
    }
}
