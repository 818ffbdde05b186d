//! Follows the merging process above a sidecar or relay: its epoch, its confirmations, and its replies' order.

use serde::{Deserialize, Serialize};

use crate::{
    sums::{Epoch, Origin, SumsReport, TeamSum},
    team::NormalisedUnits,
};

/// The total of one team, as a merging process returns it to one origin.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamTotal {
    /// Name of the team.
    pub team: Box<str>,
    /// Normalised service that the whole fleet gave, without lifts.
    pub normalised_units: NormalisedUnits,
    /// The part of it that the receiver itself reported.
    pub yours_units: NormalisedUnits,
    /// Fleet-wide lift.
    pub lift_units: NormalisedUnits,
    /// Whether the root has seen the team backlogged, so that the lift is final.
    pub settled: bool,
}

/// What a merging process answers to a report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TotalsReply {
    /// Incarnation of the report's origin.
    pub incarnation: u64,
    /// Generation of the report's origin.
    pub generation: u32,
    /// State that the merging process holds; reports must name it to be counted.
    pub epoch: Epoch,
    /// Whether the origin must start its sums anew, because its record was forgotten.
    pub restart: bool,
    /// Mark up to which the origin's sums are merged here.
    pub mark: u64,
    /// Mark up to which the origin's sums are counted at the root.
    pub rooted_mark: u64,
    /// Least normalised service among the backlogged teams of the fleet, or the last one known.
    pub floor_units: Option<NormalisedUnits>,
    /// How often long unheard origins came back, here and above.
    pub rejoin_count: u64,
    /// Totals of the teams that the origin reports as backlogged.
    pub teams: Vec<TeamTotal>,
}

/// What a reply means for the sums of its receiver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EpochChange {
    /// It answers an older generation and says nothing.
    Stale,
    /// The sums go on.
    Unchanged,
    /// The sums start anew; the root still counts what it confirmed.
    MergerChanged,
    /// The sums start anew; the root counts nothing yet.
    RootChanged,
}

/// State about the merging process above.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upstream {
    pub(crate) generation: u32,
    pub(crate) floor: Option<NormalisedUnits>,
    pub(crate) rejoin_count: u64,
    epoch: Option<Epoch>,
    mark: u64,
}

impl Upstream {
    /// Returns the mark after which sums are reported.
    pub(crate) fn mark(&self) -> u64 {
        self.mark
    }

    /// Returns a report of the given changes.
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

    /// Takes in the head of a reply.
    pub(crate) fn update_epoch(&mut self, reply: &TotalsReply) -> EpochChange {
        // A reply to an older generation may come from a process that is gone; going back to its epoch would make this
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

    /// Takes in the least service of the fleet and returns whether long unheard origins have come back.
    pub(crate) fn update_floor(&mut self, reply: &TotalsReply) -> bool {
        let rejoined = reply.rejoin_count > self.rejoin_count;
        // The floor falls only when teams rejoin that were served less elsewhere; any other lower value is an older one.
        self.floor = if rejoined {
            reply.floor_units
        } else {
            self.floor.max(reply.floor_units)
        };
        self.rejoin_count = self.rejoin_count.max(reply.rejoin_count);
        rejoined
    }
}
