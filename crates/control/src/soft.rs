//! Holds what is not in the log: the members, and the sums of service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hinge_fair::Totals;
use hinge_schema::messages::{DrainRecord, MembersDelta, ServiceReport, ServiceTotals, Watch};
use hinge_state::roster::Adopted;
use hinge_state::{InstanceName, LastReports, LeaseLimits, Members, Roster, service};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::directory::Directory;
use crate::refused::RefusedReports;

/// Pools whose sums are kept; a report on further ones is refused, so that wrong names can't fill the memory.
pub(crate) const MAX_POOLS: usize = 256;

/// Gateways that are named to one which loses control. Where a quarter of the gateways are beside control instances, and so may be cut
/// off as well, three of them are all such ones in one case of 64.
const MOST_WATCHERS_NAMED: usize = 3;

/// Time after its last watch for which a gateway is named: watches end within a second, and one that has lost this instance
/// may be reached all the same.
const REMEMBER_WATCHERS: Duration = Duration::from_secs(10);

/// Gateways of a data centre that are named to another one there.
const MOST_NEARBY_NAMED: usize = 32;

/// Time for which a gateway of a data centre is named: each one asks one control instance after the other, so that minutes may lie between.
const REMEMBER_NEARBY: Duration = Duration::from_mins(3);

/// Holds the leader's own members, or the list that a follower has of them.
#[derive(Debug)]
pub(crate) struct Soft {
    /// Term of the members and sums; 0 when this instance doesn't lead.
    pub(crate) term: u64,
    pub(crate) members: Option<Members>,
    pub(crate) followed: Roster,
    pub(crate) totals: BTreeMap<Box<str>, Totals>,
    /// When the endpoints were last heard of.
    pub(crate) heard: LastReports,
    /// Reports of endpoints that this instance refused.
    pub(crate) refused_reports: RefusedReports,
    /// Gateways that follow this instance.
    pub(crate) watchers: Directory,
    /// Gateways that take requests of each other, by data centre.
    pub(crate) nearby: BTreeMap<Box<str>, Directory>,
    pub(crate) rng: StdRng,
}

impl Soft {
    pub(crate) fn new() -> Self {
        Self {
            term: 0,
            members: None,
            followed: Roster::default(),
            totals: BTreeMap::new(),
            heard: LastReports::default(),
            refused_reports: RefusedReports::default(),
            watchers: Directory::new(REMEMBER_WATCHERS, MOST_WATCHERS_NAMED),
            nearby: BTreeMap::new(),
            rng: StdRng::seed_from_u64(rand::random()),
        }
    }

    /// Returns the gateways of a data centre that take requests of each other.
    pub(crate) fn nearby(&mut self, data_center: &str) -> &mut Directory {
        let directory = || Directory::new(REMEMBER_NEARBY, MOST_NEARBY_NAMED);
        self.nearby
            .entry(data_center.into())
            .or_insert_with(directory)
    }

    /// Begins a term as leader, with the members that this instance followed.
    pub(crate) fn lead(&mut self, term: u64, now: Duration, rules: LeaseLimits) {
        self.give_up();
        self.term = term;
        self.members = Some(Members::open(term, now, rules, &self.followed));
        self.totals.clear();
    }

    /// Ends a term as leader; the members of it are what is followed from now on.
    pub(crate) fn give_up(&mut self) {
        if let Some(members) = self.members.take() {
            self.followed = members.roster().clone();
        }
        self.term = 0;
        self.totals.clear();
        self.heard.clear();
    }

    pub(crate) fn set_drained(&mut self, now: Duration, drains: &[DrainRecord]) {
        let names: BTreeSet<InstanceName> =
            drains.iter().map(|drain| drain.instance.clone()).collect();
        if let Some(members) = &mut self.members {
            members.set_drained(now, &names);
        }
    }

    /// Takes in a delta of the leader's list, and returns whether a full one is needed.
    pub(crate) fn adopt(&mut self, delta: &MembersDelta) -> bool {
        self.followed.adopt(delta) == Adopted::NeedsFull
    }

    pub(crate) fn members_since(&self, watch: &Watch) -> Option<MembersDelta> {
        let (epoch, version) = (watch.members_epoch, watch.members_version);
        match &self.members {
            Some(members) => members.delta_since(epoch, version, &watch.pools),
            None => self.followed.delta_since(epoch, version, &watch.pools),
        }
    }

    pub(crate) fn members_version(&self) -> u64 {
        let roster = self
            .members
            .as_ref()
            .map_or(&self.followed, Members::roster);
        roster.version()
    }

    /// Merges a report of sums as the root.
    pub(crate) fn merge(&mut self, now: Duration, report: &ServiceReport) -> Option<ServiceTotals> {
        if self.totals.len() >= MAX_POOLS && !self.totals.contains_key(&report.pool) {
            return None;
        }
        let term = self.term;
        let totals = self
            .totals
            .entry(report.pool.clone())
            .or_insert_with(|| Totals::new_root(term));
        let reply = totals.merge(now, &service::report_from(report))?;
        Some(service::totals_message(&report.pool, &reply))
    }
}
