//! A receiver's view of the merging process above it: its epoch, its confirmations, and the order of its replies.

use serde::{Deserialize, Serialize};

use crate::{
    sums::{Epoch, Origin, SumsReport, TeamSum},
    team::NormalisedUnits,
};

/// The total of one team in a merging process's reply to one origin.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamTotal {
    /// Name of the team.
    pub team: Box<str>,
    /// Normalised service that the whole fleet delivered, without lifts.
    pub normalised_units: NormalisedUnits,
    /// The part of `normalised_units` that the receiver itself reported.
    pub yours_units: NormalisedUnits,
    /// Fleet-wide lift.
    pub lift_units: NormalisedUnits,
    /// Whether the root has seen the team as backlogged, which makes the lift final.
    pub settled: bool,
}

/// A merging process's reply to a report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TotalsReply {
    /// Incarnation of the report's origin.
    pub incarnation: u64,
    /// Generation of the report's origin.
    pub generation: u32,
    /// Current epoch of the merging process, which a report must name to be counted.
    pub epoch: Epoch,
    /// Whether the origin must reset its sums because its record has expired.
    pub restart: bool,
    /// Mark up to which this process has merged the origin's sums.
    pub mark: u64,
    /// Mark up to which the root has counted the origin's sums.
    pub rooted_mark: u64,
    /// Least normalised service among the fleet's backlogged teams, or the last known one.
    pub floor_units: Option<NormalisedUnits>,
    /// Number of times that an origin returned after a long silence, here and above.
    pub rejoin_count: u64,
    /// Totals of the teams that the origin reports as backlogged.
    pub teams: Vec<TeamTotal>,
}

/// The effect of a reply's epoch on the sums of its receiver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EpochChange {
    /// The reply answers an older generation and is ignored.
    Stale,
    /// The epoch is the same and the sums continue.
    Unchanged,
    /// The sums are reset; the root still counts what it has confirmed.
    MergerChanged,
    /// The sums are reset; the new root has not counted anything yet.
    RootChanged,
}

/// The latest known state of the merging process above.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upstream {
    pub(crate) generation: u32,
    pub(crate) floor: Option<NormalisedUnits>,
    pub(crate) rejoin_count: u64,
    epoch: Option<Epoch>,
    mark: u64,
}

impl Upstream {
    /// Returns the confirmed mark, after which changes are reported.
    pub(crate) fn mark(&self) -> u64 {
        self.mark
    }

    /// Returns a report with the given changes.
    pub(crate) fn report(
        &self,
        source: &str,
        incarnation: u64,
        mark: u64,
        teams: Vec<TeamSum>,
    ) -> SumsReport {
        let origin = Origin {
            source: source.into(),
            incarnation,
            generation: self.generation,
        };
        SumsReport {
            origin,
            epoch: self.epoch,
            mark,
            teams,
        }
    }

    /// Applies the epoch and the mark of a reply.
    pub(crate) fn update_epoch(&mut self, reply: &TotalsReply) -> EpochChange {
        // A reply to an older generation may come from a process that is gone. Returning to its epoch would make this
        // origin report the same service to two processes in turn.
        if reply.generation != self.generation {
            return EpochChange::Stale;
        }
        let known = self.epoch.replace(reply.epoch);
        let same_root = known.is_some_and(|epoch| epoch.root == reply.epoch.root);
        if known == Some(reply.epoch) && !reply.restart {
            self.mark = self.mark.max(reply.mark);
            return EpochChange::Unchanged;
        }
        self.generation += 1;
        self.mark = 0;
        self.rejoin_count = reply.rejoin_count;
        if same_root {
            return EpochChange::MergerChanged;
        }
        self.floor = None;
        EpochChange::RootChanged
    }

    /// Applies the fleet's floor and returns whether origins have returned after a long silence.
    pub(crate) fn update_floor(&mut self, reply: &TotalsReply) -> bool {
        let rejoined = reply.rejoin_count > self.rejoin_count;
        // The floor falls only when origins rejoin whose teams were served less; any other lower value is outdated.
        self.floor = if rejoined {
            reply.floor_units
        } else {
            self.floor.max(reply.floor_units)
        };
        self.rejoin_count = self.rejoin_count.max(reply.rejoin_count);
        rejoined
    }
}
