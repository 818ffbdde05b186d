//! The state that a merging process keeps of one origin.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    sums::{Origin, ServiceSum},
    team::TeamIndex,
};

/// Incarnation and generation of an origin; a larger pair is a newer run.
pub(crate) type RunId = (u64, u32);

pub(crate) fn run_id(origin: &Origin) -> RunId {
    (origin.incarnation, origin.generation)
}

/// The merged reports of one origin.
#[derive(Clone, Debug)]
pub(crate) struct OriginRecord {
    pub(crate) run: RunId,
    pub(crate) live: bool,
    pub(crate) last_report_at: Duration,
    pub(crate) mark: u64,
    /// Mark of this relay's unconfirmed report to the root, and the origin's mark that the report covers.
    pub(crate) sent: Option<(u64, u64)>,
    pub(crate) rooted_mark: u64,
    pub(crate) teams: BTreeMap<TeamIndex, (u64, ServiceSum)>,
}

impl OriginRecord {
    pub(crate) fn new(run: RunId, now: Duration) -> Self {
        Self {
            run,
            live: true,
            last_report_at: now,
            mark: 0,
            sent: None,
            rooted_mark: 0,
            teams: BTreeMap::new(),
        }
    }

    pub(crate) fn backlogged(&self) -> impl Iterator<Item = TeamIndex> + '_ {
        let flagged = self.teams.iter().filter(|(_, (_, sum))| sum.backlogged);
        flagged.map(|(team, _)| *team)
    }
}
