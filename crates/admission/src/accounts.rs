//! Tracks team usage and derives the fair share from it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::order::TeamStanding;
use crate::request::SlotRequest;
use crate::turn::{fair_share, is_underserved};
use crate::usage::TeamUsage;

/// Lifetime of a computed fair share; usage decays over two seconds.
const FAIR_SHARE_TTL: Duration = Duration::from_millis(50);

/// Usage of each team at one engine and at all other engines.
#[derive(Debug)]
pub(crate) struct UsageAccounting {
    local: TeamUsage,
    /// Short-term usage at this engine.
    short_term: TeamUsage,
    /// Usage at other engines, as last reported by gateways.
    remote: TeamUsage,
    /// Highest team usage, as last computed.
    max_usage: f64,
    /// Fair share of a team, and the time until which it is valid.
    fair_share: f64,
    fair_share_until: Duration,
}

impl UsageAccounting {
    pub(crate) fn new() -> Self {
        Self {
            local: TeamUsage::default(),
            short_term: TeamUsage::short_term(),
            remote: TeamUsage::default(),
            max_usage: 0.0,
            fair_share: 1.0,
            fair_share_until: Duration::ZERO,
        }
    }

    /// Records the team's usage at other engines, as stated in a slot request.
    pub(crate) fn record_remote_usage(&mut self, now: Duration, request: &SlotRequest) {
        self.remote
            .set(now, &request.team, request.elsewhere_tokens);
    }

    /// Charges a team for a granted request.
    pub(crate) fn charge(&mut self, now: Duration, request: &SlotRequest) {
        for usage in [&mut self.local, &mut self.short_term] {
            usage.add(now, &request.team, request.usage_tokens());
        }
        self.fair_share_until = Duration::ZERO;
    }

    /// Refunds a team for a request that never began, except for the tokens prefilled for it.
    ///
    /// When engines end, the slots granted on them are released at once. Without a refund a team whose prefixes are
    /// cached there would be charged for more than it asks for, and would wait at all other engines for service that it
    /// never received.
    pub(crate) fn refund(
        &mut self,
        now: Duration,
        request: &SlotRequest,
        prefilled_tokens: u32,
        granted_at: Duration,
    ) {
        let tokens = request.usage_tokens().saturating_sub(prefilled_tokens);
        for usage in [&mut self.local, &mut self.short_term] {
            usage.refund(now, &request.team, tokens, granted_at);
        }
        self.fair_share_until = Duration::ZERO;
    }

    /// Returns the recent usage at this engine.
    pub(crate) fn usage(&self) -> &TeamUsage {
        &self.local
    }

    /// Returns the highest team usage, as last computed.
    pub(crate) fn max_usage(&self) -> f64 {
        self.max_usage
    }

    /// Returns the fair share of a team, as last computed.
    pub(crate) fn fair_share(&self) -> f64 {
        self.fair_share
    }

    /// Recomputes the fair share if it has expired, and returns it.
    pub(crate) fn refresh_fair_share<'a>(
        &mut self,
        now: Duration,
        waiting: impl Iterator<Item = &'a str>,
    ) -> f64 {
        if self.fair_share_until <= now {
            let mut teams: BTreeSet<&str> = self.local.teams(now).map(|(team, _)| team).collect();
            // A waiting team without usage counts as well; otherwise the only team being served would be within its
            // share.
            for team in waiting {
                teams.insert(team);
            }
            let usages: Vec<f64> = teams.iter().map(|team| self.used(now, team)).collect();
            self.max_usage = usages.iter().copied().fold(0.0, f64::max);
            self.fair_share = fair_share(usages);
            self.fair_share_until = now + FAIR_SHARE_TTL;
        }
        self.fair_share
    }

    /// Returns the highest short-term usage of a team at this engine.
    pub(crate) fn max_short_term(&self, now: Duration) -> f64 {
        let short_term = self.short_term.teams(now).map(|(_, tokens)| tokens);
        short_term.fold(0.0, f64::max)
    }

    /// Returns the usage of a team that decides its order, given the highest short-term usage.
    pub(crate) fn standing(&self, now: Duration, team: &str, max_short_term: f64) -> TeamStanding {
        let short_term = self.short_term.tokens(now, team);
        TeamStanding {
            used: self.used(now, team),
            short_term_if_underserved: is_underserved(short_term, max_short_term)
                .then_some(short_term),
        }
    }

    /// Returns the team's part of the recent usage at this engine if it is above the fair share as last computed.
    ///
    /// It is taken as half of an even part at least: a team that has had little here goes before others above theirs.
    pub(crate) fn part_if_above_share(&self, now: Duration, team: &str) -> Option<f64> {
        if self.used(now, team) <= self.fair_share {
            return None;
        }
        let own = self.local.tokens(now, team);
        let others = self.local.teams(now).filter(|(other, _)| *other != team);
        let (count, total) = others.fold((1.0, own), |(count, total), (_, tokens)| {
            (count + 1.0, total + tokens)
        });
        Some((own / total.max(1.0)).max(0.5 / count))
    }

    /// Returns the recent usage of a team at all engines.
    fn used(&self, now: Duration, team: &str) -> f64 {
        self.local.tokens(now, team) + self.remote.tokens(now, team)
    }
}
