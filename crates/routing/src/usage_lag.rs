//! Decides how far a request that an admission refused may look for another engine, by what its team has had.
//!
//! The load pattern: engines have more before them than they read in time, and at every moment some place is free. Whoever asks at
//! more engines finds it more often, and who asks at one, where its shared parts are kept, hardly ever. A request of a team that has had
//! less than another one therefore asks at engines that are not idle as well: there it is put before the other team's.

/// Holds the prompt tokens that an engine has before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Tokens that are granted and not read: they come before every ask.
    pub unread_tokens: u32,
    /// Tokens of asks that wait, which the queue may put behind an ask of a team that has had less.
    pub waiting_tokens: u32,
}

impl Backlog {
    /// Returns all of them.
    #[must_use]
    pub fn tokens(self) -> u32 {
        self.unread_tokens.saturating_add(self.waiting_tokens)
    }
}

/// Sets up to which backlog an engine is of use to a request that another one refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BacklogLimits {
    /// Prompt tokens that make an engine nearly idle.
    pub idle_tokens: u32,
    /// Prompt tokens that an engine reads before the answer must begin.
    pub prefillable_tokens: u32,
}

/// Says how far a team's use lags behind that of the team with the most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UsageLag {
    /// It has had about as much.
    Even,
    /// It has had so much less that the queues before engines put it first.
    Behind,
    /// It has had a small part of it.
    FarBehind,
}

/// Part of the most use below which a team is behind, in thousandths: that below which a queue lets its asks stay for longer.
const BEHIND_PERMILLE: u128 = 750;

/// Part below which it is far behind, in thousandths.
const FAR_BEHIND_PERMILLE: u128 = 250;

/// Admissions that are asked for one request: the best one, and another one.
const MAX_ASKED: usize = 2;

/// Admissions that are asked for a request of a team that is far behind.
const MAX_ASKED_FAR_BEHIND: usize = 3;

impl UsageLag {
    /// Compares a team's use with that of the team with the most.
    #[must_use]
    pub fn compare(used_tokens: u64, most_tokens: u64) -> Self {
        let used = u128::from(used_tokens) * 1000;
        let most = u128::from(most_tokens);
        if used < most * FAR_BEHIND_PERMILLE {
            Self::FarBehind
        } else if used < most * BEHIND_PERMILLE {
            Self::Behind
        } else {
            Self::Even
        }
    }

    /// Returns how many admissions may be asked for a request.
    #[must_use]
    pub fn max_admissions(self) -> usize {
        match self {
            Self::Even | Self::Behind => MAX_ASKED,
            Self::FarBehind => MAX_ASKED_FAR_BEHIND,
        }
    }

    /// Returns whether an engine may be asked after another one refused, by what it reads before the ask: the asks that wait as well,
    /// unless the queue puts this one before them.
    #[must_use]
    pub fn may_ask(self, backlog: Backlog, room: BacklogLimits) -> bool {
        match self {
            Self::Even => backlog.tokens() <= room.idle_tokens,
            Self::Behind | Self::FarBehind => {
                backlog.unread_tokens <= room.idle_tokens.max(room.prefillable_tokens)
            }
        }
    }
}
