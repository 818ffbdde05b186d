//! Holds what is not in the log: the members, and the sums of service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hinge_fair::Totals;
use hinge_schema::messages::{DrainRecord, MembersDelta, ServiceReport, ServiceTotals, Watch};
use hinge_state::roster::Adopted;
use hinge_state::{Heard, InstanceName, MemberRules, Members, Roster, service};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::refused::RefusedReports;
use crate::watchers::Watchers;

/// Pools whose sums are kept; a report on further ones is refused, so that wrong names can't fill the memory.
pub(crate) const MAX_POOLS: usize = 256;

/// Holds the leader's own members, or the list that a follower has of them.
#[derive(Debug)]
pub(crate) struct Soft {
    /// Term of the members and sums; 0 when this instance doesn't lead.
    pub(crate) term: u64,
    pub(crate) members: Option<Members>,
    pub(crate) followed: Roster,
    pub(crate) totals: BTreeMap<Box<str>, Totals>,
    /// When the endpoints were last heard of.
    pub(crate) heard: Heard,
    /// Reports of endpoints that this instance refused.
    pub(crate) refused_reports: RefusedReports,
    /// Gateways that follow this instance.
    pub(crate) watchers: Watchers,
    pub(crate) rng: StdRng,
}

impl Soft {
    pub(crate) fn new() -> Self {
        Self {
            term: 0,
            members: None,
            followed: Roster::default(),
            totals: BTreeMap::new(),
            heard: Heard::default(),
            refused_reports: RefusedReports::default(),
            watchers: Watchers::default(),
            rng: StdRng::seed_from_u64(rand::random()),
        }
    }

    /// Begins a term as leader, with the members that this instance followed.
    pub(crate) fn lead(&mut self, term: u64, now: Duration, rules: MemberRules) {
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
            .or_insert_with(|| Totals::open_root(term));
        let reply = totals.merge(now, &service::report_from(report))?;
        Some(service::totals_message(&report.pool, &reply))
    }
}
