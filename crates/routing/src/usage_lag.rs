//! Decides how many and which engines a refused request may try, by the recent usage of its team.
//!
//! Under load, engines have more prompt tokens queued than they can prefill in time, while at any moment some
//! engine has a free slot. A request that tries more engines finds that slot more often; one that tries only
//! the engine with its prefix cached hardly ever does. A request of a team with less usage than another team
//! may therefore try engines that are not idle as well: their queues place it ahead of the other team's
//! requests.

use std::time::Duration;

use crate::choose::ChoiceRules;
use crate::pace::Pace;

/// Time in which an engine of usual pace prefills a token of a small backlog, at 40 tokens per millisecond.
const IDLE_TOKEN_TIME: Duration = Duration::from_micros(25);

/// The prompt tokens queued at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Tokens of granted requests that are not prefilled yet; they precede every new request.
    pub unread_tokens: u32,
    /// Tokens of requests that wait to be granted; the queue may place a request of a team with less usage
    /// ahead of them.
    pub waiting_tokens: u32,
}

impl Backlog {
    /// Returns the sum of both.
    #[must_use]
    pub fn tokens(self) -> u32 {
        self.unread_tokens.saturating_add(self.waiting_tokens)
    }
}

/// The backlog up to which an engine is worth trying for a request that another engine refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BacklogLimits {
    /// Backlog up to which an engine counts as nearly idle.
    pub idle_tokens: u32,
    /// Prompt tokens that an engine can prefill before the answer must begin.
    pub prefillable_tokens: u32,
}

/// How much an engine may have to do before a request that another engine refused, whichever engine it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpillLimits {
    /// Backlog up to which an engine of unknown pace counts as nearly idle.
    pub idle_tokens: u32,
    /// Time left until the answer must begin.
    pub left: Duration,
    /// Prompt tokens of the request that no other request shares.
    pub own_tokens: u32,
}

impl SpillLimits {
    /// Returns the limits for an engine, by its pace.
    #[must_use]
    pub fn at(self, pace: Option<Pace>, rules: &ChoiceRules) -> BacklogLimits {
        let Some(pace) = pace else {
            let tokens = self.left.as_micros() / u128::from(rules.backlog_token_us.max(1));
            return BacklogLimits {
                idle_tokens: self.idle_tokens,
                prefillable_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            };
        };
        let left = self.left.saturating_sub(pace.first_event());
        BacklogLimits {
            idle_tokens: pace.tokens_in(IDLE_TOKEN_TIME * self.idle_tokens),
            prefillable_tokens: pace.tokens_in(left).saturating_sub(self.own_tokens),
        }
    }
}

/// How far a team's usage lags behind that of the team with the highest usage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UsageLag {
    /// Its usage is about the same.
    Even,
    /// Its usage is so much lower that the queues of engines put it first.
    Behind,
    /// Its usage is a small fraction of the highest one.
    FarBehind,
}

/// Fraction of the highest usage below which a team is behind, in thousandths; the same threshold below which
/// a queue lets the requests of a team wait longer.
const BEHIND_PERMILLE: u128 = 750;

/// Fraction of the highest usage below which a team is far behind, in thousandths.
const FAR_BEHIND_PERMILLE: u128 = 250;

/// Admissions that are tried for one request: the best one and one more.
const MAX_ADMISSIONS: usize = 2;

/// Admissions that are tried for a request of a team that is far behind.
const MAX_ADMISSIONS_FAR_BEHIND: usize = 3;

impl UsageLag {
    /// Compares the usage of a team with the highest usage of any team.
    #[must_use]
    pub fn compare(used_tokens: u64, max_used_tokens: u64) -> Self {
        let used = u128::from(used_tokens) * 1000;
        let most = u128::from(max_used_tokens);
        if used < most * FAR_BEHIND_PERMILLE {
            Self::FarBehind
        } else if used < most * BEHIND_PERMILLE {
            Self::Behind
        } else {
            Self::Even
        }
    }

    /// Returns how many admissions may be tried for one request.
    #[must_use]
    pub fn max_admissions(self) -> usize {
        match self {
            Self::Even | Self::Behind => MAX_ADMISSIONS,
            Self::FarBehind => MAX_ADMISSIONS_FAR_BEHIND,
        }
    }

    /// Returns whether an engine may be tried after another one refused, by the tokens that it prefills
    /// before the request.
    ///
    /// Requests that wait there count as well, unless the queue puts this one ahead of them.
    #[must_use]
    pub fn may_try(self, backlog: Backlog, limits: BacklogLimits) -> bool {
        match self {
            Self::Even => backlog.tokens() <= limits.idle_tokens,
            Self::Behind | Self::FarBehind => {
                backlog.unread_tokens <= limits.idle_tokens.max(limits.prefillable_tokens)
            }
        }
    }
}
