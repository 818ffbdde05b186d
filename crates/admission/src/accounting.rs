//! Tracks team usage and derives the fair share from it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::order::Claim;
use crate::priority::{is_overdue, reference};
use crate::request::SlotRequest;
use crate::usage::TeamUsage;

/// Lifetime of a computed fair share; usage decays over two seconds.
const MEASURE_SHARE_EVERY: Duration = Duration::from_millis(50);

/// Usage of each team at one engine and at all other engines.
#[derive(Debug)]
pub(crate) struct Accounts {
    usage: TeamUsage,
    /// Short-term usage at this engine.
    had: TeamUsage,
    /// Usage at other engines, as last reported by gateways.
    elsewhere: TeamUsage,
    /// Highest team usage.
    most_used: f64,
    /// Reference that team usage is compared with, and the time until which it is valid.
    share: f64,
    share_until: Duration,
}

impl Accounts {
    pub(crate) fn new() -> Self {
        Self {
            usage: TeamUsage::default(),
            had: TeamUsage::of_late(),
            elsewhere: TeamUsage::default(),
            most_used: 0.0,
            share: 1.0,
            share_until: Duration::ZERO,
        }
    }

    /// Records the team's usage at other engines, as stated in a slot request.
    pub(crate) fn heard_elsewhere(&mut self, now: Duration, ask: &SlotRequest) {
        self.elsewhere.set(now, &ask.team, ask.elsewhere_tokens);
    }

    /// Charges a team for a granted request.
    pub(crate) fn charge(&mut self, now: Duration, ask: &SlotRequest) {
        for usage in [&mut self.usage, &mut self.had] {
            usage.add(now, &ask.team, ask.service_tokens());
        }
        self.share_until = Duration::ZERO;
    }

    /// Refunds a team for a request that never began, except for the tokens prefilled for it.
    ///
    /// When engines end, the slots granted on them are released at once. Without a refund a team whose prefixes are
    /// cached there would be charged more than it asks for, and would wait at all other engines for service that it
    /// never received.
    pub(crate) fn take_back(
        &mut self,
        now: Duration,
        ask: &SlotRequest,
        read_tokens: u32,
        granted_at: Duration,
    ) {
        let tokens = ask.service_tokens().saturating_sub(read_tokens);
        for usage in [&mut self.usage, &mut self.had] {
            usage.take_back(now, &ask.team, tokens, granted_at);
        }
        self.share_until = Duration::ZERO;
    }

    /// Returns the recent usage at this engine.
    pub(crate) fn usage(&self) -> &TeamUsage {
        &self.usage
    }

    /// Returns the highest team usage, as last computed.
    pub(crate) fn most_used(&self) -> f64 {
        self.most_used
    }

    /// Returns the fair share reference, as last computed.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// Recomputes the fair share reference if it has expired, and returns it.
    pub(crate) fn measure_share<'a>(
        &mut self,
        now: Duration,
        waiting: impl Iterator<Item = &'a str>,
    ) -> f64 {
        if self.share_until <= now {
            let mut teams: BTreeSet<&str> = self.usage.teams(now).map(|(team, _)| team).collect();
            // A waiting team without usage counts as well; otherwise the only team being served would be within its
            // share.
            for team in waiting {
                teams.insert(team);
            }
            let used: Vec<f64> = teams.iter().map(|team| self.used(now, team)).collect();
            self.most_used = used.iter().copied().fold(0.0, f64::max);
            self.share = reference(used);
            self.share_until = now + MEASURE_SHARE_EVERY;
        }
        self.share
    }

    /// Returns the highest short-term usage of a team at this engine.
    pub(crate) fn most_had(&self, now: Duration) -> f64 {
        let had = self.had.teams(now).map(|(_, tokens)| tokens);
        had.fold(0.0, f64::max)
    }

    /// Returns the usage of a team that decides its order, given the highest short-term usage.
    pub(crate) fn claim(&self, now: Duration, team: &str, most_had: f64) -> Claim {
        let had = self.had.tokens(now, team);
        Claim {
            used: self.used(now, team),
            overdue_at: is_overdue(had, most_had).then_some(had),
        }
    }

    /// Returns the recent usage of a team at all engines.
    fn used(&self, now: Duration, team: &str) -> f64 {
        self.usage.tokens(now, team) + self.elsewhere.tokens(now, team)
    }
}
