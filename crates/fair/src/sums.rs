//! Monotone per-team sums of service, and the part of them that the root has counted.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::team::{NormalisedUnits, TeamIndex};

/// One run of a source of sums; sums of different origins are added, and a newer sum of one origin replaces the older.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Origin {
    /// Id of the sidecar or relay.
    pub source: Box<str>,
    /// Number of the process run, which increases with each restart.
    pub incarnation: u64,
    /// Number of times that this run has reset its sums because the merging process above it changed.
    pub generation: u32,
}

/// Identity of the state that a merging process has accumulated; sums reported to another epoch are not counted in it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Epoch {
    /// Run of the root, the control instance that merges the sums of the whole fleet.
    pub root: u64,
    /// Run of the merging process itself.
    pub merger: u64,
    /// Number of times that this run has dropped its records because the process above it changed.
    pub turn: u32,
}

/// The sums of one team at one origin; every field but `backlogged` is monotone.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceSum {
    /// Service units delivered.
    pub service_units: u64,
    /// Service divided by the share in force when it was delivered.
    pub normalised_units: NormalisedUnits,
    /// Whether offers of the team are waiting.
    pub backlogged: bool,
    /// Number of times that the team became backlogged.
    pub backlog_count: u64,
    /// Latest known fleet-wide lift.
    ///
    /// A lift is added to a team's normalised service when the team returns from idle, so that idle time earns no credit.
    pub lift_units: NormalisedUnits,
}

impl ServiceSum {
    /// Returns the field-wise maximum of the monotone fields, with the backlogged flag of `newer`.
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

/// A changed sum in a report to a merging process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamSum {
    /// Name of the team.
    pub team: Box<str>,
    /// Mark of the change; a larger mark is newer.
    pub version: u64,
    /// Current sums of the team.
    pub sum: ServiceSum,
}

/// The sums of an origin that changed since the mark that the merging process last confirmed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SumsReport {
    /// The reporting origin.
    pub origin: Origin,
    /// Epoch of the merging process that the sums are meant for, once known.
    pub epoch: Option<Epoch>,
    /// Mark up to which the report covers all changes.
    pub mark: u64,
    /// Changed sums.
    pub teams: Vec<TeamSum>,
}

/// An amount of service in plain and in normalised units.
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
    /// Mark and contents of the oldest report that the root has not confirmed yet.
    sent: Option<(u64, ServiceAmount)>,
    rooted: ServiceAmount,
}

/// The sums of every team at one origin, with a mark for each change.
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

    /// Raises the sums of a team; a field that would decrease keeps its value, except for the backlogged flag.
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

    /// Yields the sums that changed after `mark`, each with the mark of its change, oldest first.
    pub fn changes_since(
        &self,
        mark: u64,
    ) -> impl Iterator<Item = (TeamIndex, u64, ServiceSum)> + '_ {
        let changed = self.changed.range((mark + 1, 0)..);
        changed.map(|(version, team)| (*team, *version, self.get(*team)))
    }

    /// Records that a report of the changes after `since`, up to the current mark, is sent.
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

    /// Records that the root has counted all reports up to `mark`.
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

    /// Returns the service of a team that the root is known to have counted.
    pub(crate) fn rooted(&self, team: TeamIndex) -> ServiceAmount {
        self.entries
            .get(team as usize)
            .map_or_else(ServiceAmount::default, |entry| entry.rooted)
    }

    /// Returns the service of a team that the root is not known to have counted.
    pub(crate) fn unrooted(&self, team: TeamIndex) -> ServiceAmount {
        ServiceAmount::from_sum(&self.get(team)).minus(self.rooted(team))
    }
}
