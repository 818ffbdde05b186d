//! Builds the reply to a report.

use std::time::Duration;

use crate::{
    origin_record::OriginRecord,
    sums::{Epoch, Origin},
    team::{NormalisedUnits, TeamIndex},
    totals::{ORIGIN_SILENCE_TIMEOUT, Role, Totals},
    upstream::{TeamTotal, TotalsReply},
};

impl Totals {
    /// Returns the least service among the fleet's backlogged teams.
    ///
    /// A relay that gets no replies from the root uses the teams below itself as well.
    fn floor(&self, now: Duration) -> Option<NormalisedUnits> {
        match &self.role {
            Role::Root => self.least_service(&[]).or(self.last_floor),
            Role::Relay {
                last_reply_at,
                upstream,
                ..
            } => {
                let silence = now.saturating_sub(*last_reply_at);
                let cut_off = silence > ORIGIN_SILENCE_TIMEOUT;
                let here = self.least_service(&[]).filter(|_| cut_off);
                here.max(upstream.floor)
            }
        }
    }

    pub(crate) fn empty_reply(&self, epoch: Epoch, origin: &Origin, restart: bool) -> TotalsReply {
        TotalsReply {
            incarnation: origin.incarnation,
            generation: origin.generation,
            epoch,
            restart,
            mark: 0,
            rooted_mark: 0,
            floor_units: None,
            rejoin_count: self.rejoin_count,
            teams: Vec::new(),
        }
    }

    pub(crate) fn reply(&self, now: Duration, epoch: Epoch, origin: &Origin) -> TotalsReply {
        let record = &self.origins[&origin.source];
        let is_root = matches!(self.role, Role::Root);
        let total = |team: TeamIndex| self.total(team, record, is_root);
        TotalsReply {
            mark: record.mark,
            rooted_mark: if is_root {
                record.mark
            } else {
                record.rooted_mark
            },
            floor_units: self.floor(now),
            teams: record.backlogged().map(total).collect(),
            ..self.empty_reply(epoch, origin, false)
        }
    }

    fn total(&self, team: TeamIndex, record: &OriginRecord, is_root: bool) -> TeamTotal {
        let state = &self.teams[team as usize];
        let sum = self.combined.get(team);
        let yours = record
            .teams
            .get(&team)
            .map_or(0, |(_, sum)| sum.normalised_units);
        TeamTotal {
            team: state.name.clone(),
            normalised_units: state.remote + sum.normalised_units,
            yours_units: yours,
            lift_units: sum.lift_units,
            settled: is_root || state.listed_as_backlogged,
        }
    }
}
