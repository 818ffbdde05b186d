//! Tells which teams send one gateway far more than an even share of its requests.

use std::collections::HashMap;

/// Multiple of an even share of the requests above which a team is hot.
const HOT_FACTOR: f64 = 1.5;

/// Factor of a team's demand after each window, which remembers about a second.
const DECAY: f64 = 0.8;

/// Demand below which a team is forgotten.
const MIN_DEMAND: f64 = 0.1;

/// The recent demand of each team, as a decaying count of its requests.
#[derive(Debug, Default)]
pub(crate) struct TeamDemand {
    teams: HashMap<Box<str>, f64>,
    total: f64,
    /// Whether a hot team has sent a request in this window or the one before.
    pub(crate) has_hot_team: bool,
    /// The same for this window alone.
    hot_in_window: bool,
}

impl TeamDemand {
    /// Counts a request, and returns whether its team is hot.
    pub(crate) fn record(&mut self, team: &str) -> bool {
        self.total += 1.0;
        let demand = if let Some(demand) = self.teams.get_mut(team) {
            *demand += 1.0;
            *demand
        } else {
            self.teams.insert(team.into(), 1.0);
            1.0
        };
        #[expect(clippy::cast_precision_loss, reason = "teams are far fewer than 2^52")]
        let even_share = self.total / self.teams.len() as f64;
        let is_hot = demand > even_share * HOT_FACTOR;
        self.has_hot_team |= is_hot;
        self.hot_in_window |= is_hot;
        is_hot
    }

    /// Reduces the weight of earlier requests at the end of a window.
    pub(crate) fn decay(&mut self) {
        self.teams.retain(|_, demand| {
            *demand *= DECAY;
            *demand >= MIN_DEMAND
        });
        self.total = self.teams.values().sum();
        self.has_hot_team = std::mem::take(&mut self.hot_in_window);
    }
}
