//! Keeps monotone sums of service per team, and what of them has reached the root.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::team::{NormalisedUnits, TeamIndex};

/// Names one run of a source of sums; sums of different origins add up, sums of one origin replace each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Origin {
    /// Id of the sidecar or relay.
    pub source: Box<str>,
    /// Number of the process run; a restarted process takes a higher one.
    pub incarnation: u64,
    /// How often this run has started its sums anew, because the merging process above it changed.
    pub generation: u32,
}

/// Names the state that a merging process has built up; sums reported to another epoch are not counted in this one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Epoch {
    /// Run of the root, the control instance that adds up the whole fleet.
    pub root: u64,
    /// Run of the merging process itself.
    pub merger: u64,
    /// How often this run has dropped its records, because the process above it changed.
    pub turn: u32,
}

/// The sums of one team at one origin; only `backlogged` may fall.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceSum {
    /// Service units given.
    pub service_units: u64,
    /// Service divided by the share in force when it was given.
    pub normalised_units: NormalisedUnits,
    /// Whether offers of the team wait.
    pub backlogged: bool,
    /// How often the team became backlogged.
    pub backlog_count: u64,
    /// Fleet-wide lift as far as it is known.
    pub lift_units: NormalisedUnits,
}

impl ServiceSum {
    /// Returns the sums with each monotone field at the larger value, and the flag of `newer`.
    fn raised_to(self, newer: Self) -> Self {
        Self {
            service_units: self.service_units.max(newer.service_units),
            normalised_units: self.normalised_units.max(newer.normalised_units),
            backlogged: newer.backlogged,
            backlog_count: self.backlog_count.max(newer.backlog_count),
            lift_units: self.lift_units.max(newer.lift_units),
        }
    }
}

/// A changed sum on its way to a merging process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamSum {
    /// Name of the team.
    pub team: Box<str>,
    /// Mark of the change; the larger one is newer.
    pub version: u64,
    /// The sums.
    pub sum: ServiceSum,
}

/// What an origin reports: the sums that changed since the merging process last confirmed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SumsReport {
    /// Who reports.
    pub origin: Origin,
    /// State of the merging process that the sums are meant for, once it is known.
    pub epoch: Option<Epoch>,
    /// Mark that the report reaches to.
    pub mark: u64,
    /// Changed sums.
    pub teams: Vec<TeamSum>,
}

/// Normalised and plain units that belong together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceAmount {
    pub(crate) service_units: u64,
    pub(crate) normalised_units: NormalisedUnits,
}

impl ServiceAmount {
    fn from_sum(sum: &ServiceSum) -> Self {
        Self {
            service_units: sum.service_units,
            normalised_units: sum.normalised_units,
        }
    }

    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            service_units: self.service_units.saturating_sub(other.service_units),
            normalised_units: self.normalised_units.saturating_sub(other.normalised_units),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamEntry {
    sum: ServiceSum,
    version: u64,
    /// What the oldest report that is not yet confirmed by the root carried, and that report's mark.
    sent: Option<(u64, ServiceAmount)>,
    rooted: ServiceAmount,
}

/// The sums of every team at one origin, with marks that tell what has changed.
#[derive(Clone, Debug, Default)]
pub struct ServiceSums {
    entries: Vec<TeamEntry>,
    changed: BTreeSet<(u64, TeamIndex)>,
    in_flight: Vec<TeamIndex>,
    mark: u64,
}

impl ServiceSums {
    /// Returns the mark of the last change; 0 before any.
    #[must_use]
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Returns the sums of a team.
    #[must_use]
    pub fn get(&self, team: TeamIndex) -> ServiceSum {
        self.entries
            .get(team as usize)
            .map_or_else(ServiceSum::default, |entry| entry.sum)
    }

    /// Raises the sums of a team; a field that would fall stays, except for the flag.
    pub fn set(&mut self, team: TeamIndex, sum: ServiceSum) {
        let index = team as usize;
        if self.entries.len() <= index {
            self.entries.resize(index + 1, TeamEntry::default());
        }
        let entry = &mut self.entries[index];
        let raised = entry.sum.raised_to(sum);
        if raised == entry.sum {
            return;
        }
        self.mark += 1;
        self.changed.remove(&(entry.version, team));
        self.changed.insert((self.mark, team));
        entry.sum = raised;
        entry.version = self.mark;
    }

    /// Yields the sums that changed after `mark`, with the mark of the change, the oldest change first.
    pub fn changes_since(
        &self,
        mark: u64,
    ) -> impl Iterator<Item = (TeamIndex, u64, ServiceSum)> + '_ {
        let changed = self.changed.range((mark + 1, 0)..);
        changed.map(|(version, team)| (*team, *version, self.get(*team)))
    }

    /// Notes that a report of everything up to the current mark leaves.
    pub(crate) fn record_sent(&mut self, since: u64) {
        let changed = self.changed.range((since + 1, 0)..);
        for (_, team) in changed {
            let entry = &mut self.entries[*team as usize];
            if entry.sent.is_none() {
                entry.sent = Some((self.mark, ServiceAmount::from_sum(&entry.sum)));
                self.in_flight.push(*team);
            }
        }
    }

    /// Notes that the root counts everything that reports up to `mark` carried.
    pub(crate) fn record_rooted(&mut self, mark: u64) {
        let entries = &mut self.entries;
        self.in_flight.retain(|team| {
            let entry = &mut entries[*team as usize];
            let Some((sent_mark, amount)) = entry.sent else {
                return false;
            };
            let rooted = sent_mark <= mark;
            if rooted {
                entry.rooted = amount;
                entry.sent = None;
            }
            !rooted
        });
    }

    /// Returns what the root is known to count of a team.
    pub(crate) fn rooted(&self, team: TeamIndex) -> ServiceAmount {
        self.entries
            .get(team as usize)
            .map_or_else(ServiceAmount::default, |entry| entry.rooted)
    }

    /// Returns what the root is not known to count of a team.
    pub(crate) fn unrooted(&self, team: TeamIndex) -> ServiceAmount {
        ServiceAmount::from_sum(&self.get(team)).minus(self.rooted(team))
    }
}
