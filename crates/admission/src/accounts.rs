//! Keeps account of what each team has had, and measures a share by it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ask::Ask;
use crate::order::Claim;
use crate::turn::{is_overdue, reference};
use crate::usage::Usage;

/// Time for which the measured share is believed; uses fade over two seconds.
const MEASURE_SHARE_EVERY: Duration = Duration::from_millis(50);

/// Holds what the teams have had before one engine, and what they have used elsewhere.
#[derive(Debug)]
pub(crate) struct Accounts {
    usage: Usage,
    /// What the teams have had here of late.
    had: Usage,
    /// What the teams have used at other engines, as it was last told.
    elsewhere: Usage,
    /// Use of the team that has used most.
    most_used: f64,
    /// Use that a team's own is measured against, and until when that is believed.
    share: f64,
    share_until: Duration,
}

impl Accounts {
    pub(crate) fn new() -> Self {
        Self {
            usage: Usage::default(),
            had: Usage::of_late(),
            elsewhere: Usage::default(),
            most_used: 0.0,
            share: 1.0,
            share_until: Duration::ZERO,
        }
    }

    /// Notes what an ask tells of its team's use at other engines.
    pub(crate) fn heard_elsewhere(&mut self, now: Duration, ask: &Ask) {
        self.elsewhere.set(now, &ask.team, ask.elsewhere_tokens);
    }

    /// Charges a team with a request that is granted.
    pub(crate) fn charge(&mut self, now: Duration, ask: &Ask) {
        for usage in [&mut self.usage, &mut self.had] {
            usage.add(now, &ask.team, ask.service_tokens());
        }
        self.share_until = Duration::ZERO;
    }

    /// Charges the team of a request that never began only with what was read for it.
    ///
    /// The load pattern: engines end, and the places that are granted before them are given back at once. A team whose shared parts are
    /// kept there would pay for more than it asks for, and wait at all other engines for service that it never had.
    pub(crate) fn take_back(
        &mut self,
        now: Duration,
        ask: &Ask,
        read_tokens: u32,
        granted_at: Duration,
    ) {
        let tokens = ask.service_tokens().saturating_sub(read_tokens);
        for usage in [&mut self.usage, &mut self.had] {
            usage.take_back(now, &ask.team, tokens, granted_at);
        }
        self.share_until = Duration::ZERO;
    }

    /// Returns what the teams have used here lately.
    pub(crate) fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Returns the use of the team that has used most, as it was last measured.
    pub(crate) fn most_used(&self) -> f64 {
        self.most_used
    }

    /// Returns the use that a team's own is measured against, as it was last measured.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// Measures the share again from time to time, and returns it.
    pub(crate) fn measure_share<'a>(
        &mut self,
        now: Duration,
        waiting: impl Iterator<Item = &'a str>,
    ) -> f64 {
        if self.share_until <= now {
            let mut teams: BTreeSet<&str> = self.usage.teams(now).map(|(team, _)| team).collect();
            // A team that waits and has had nothing shares as well; without it the only one that is served is within its share.
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

    /// Returns what the team with the most has had here of late.
    pub(crate) fn most_had(&self, now: Duration) -> f64 {
        let had = self.had.teams(now).map(|(_, tokens)| tokens);
        had.fold(0.0, f64::max)
    }

    /// Returns what the order needs to know of a team, by what the one with the most has had of late.
    pub(crate) fn claim(&self, now: Duration, team: &str, most_had: f64) -> Claim {
        let had = self.had.of(now, team);
        Claim {
            used: self.used(now, team),
            overdue_at: is_overdue(had, most_had).then_some(had),
        }
    }

    /// Returns what a team has used lately, here and at the other engines.
    fn used(&self, now: Duration, team: &str) -> f64 {
        self.usage.of(now, team) + self.elsewhere.of(now, team)
    }
}
