//! Tells which teams ask one gateway for far more than an even share.

use std::collections::HashMap;

/// Times an even share of what is asked for from which on a team is hot.
const HOT_TIMES: f64 = 1.5;

/// Part of what a team has asked for that counts after a window: a second is remembered.
const ASKED_KEPT: f64 = 0.8;

/// What a team has asked for below which it is forgotten.
const FORGET_BELOW: f64 = 0.1;

/// Counts what each team has asked for lately, to tell the hot ones.
#[derive(Debug, Default)]
pub(crate) struct Asked {
    teams: HashMap<Box<str>, f64>,
    total: f64,
    /// Whether a hot team has asked in this window or the one before, and in this one.
    pub(crate) has_hot: bool,
    had_hot: bool,
}

impl Asked {
    /// Counts a request, and returns whether its team asks for far more than an even share.
    pub(crate) fn note(&mut self, team: &str) -> bool {
        self.total += 1.0;
        let asked = if let Some(asked) = self.teams.get_mut(team) {
            *asked += 1.0;
            *asked
        } else {
            self.teams.insert(team.into(), 1.0);
            1.0
        };
        #[expect(clippy::cast_precision_loss, reason = "teams are far fewer than 2^52")]
        let even = self.total / self.teams.len() as f64;
        let is_hot = asked > even * HOT_TIMES;
        self.has_hot |= is_hot;
        self.had_hot |= is_hot;
        is_hot
    }

    /// Lets what was asked for earlier count less.
    pub(crate) fn fade(&mut self) {
        self.teams.retain(|_, asked| {
            *asked *= ASKED_KEPT;
            *asked >= FORGET_BELOW
        });
        self.total = self.teams.values().sum();
        self.has_hot = std::mem::take(&mut self.had_hot);
    }
}
