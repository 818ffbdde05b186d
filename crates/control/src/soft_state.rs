//! State that is not in the log: the members, and the sums of service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hinge_fair::Totals;
use hinge_schema::messages::{DrainRecord, MembersDelta, ServiceReport, ServiceTotals, Watch};
use hinge_state::roster::Adopted;
use hinge_state::{InstanceName, LastReports, LeaseLimits, Members, Roster, WarmUps, service};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::directory::GatewayDirectory;
use crate::refused_reports::RefusedReports;

/// Maximum number of pools with sums; reports on further pools are refused, so that wrong names can't exhaust the memory.
pub(crate) const MAX_POOLS: usize = 256;

/// Maximum number of gateway addresses that a gateway gets, to use when it loses control.
///
/// Gateways next to control instances may be partitioned off together with them. Where these are a quarter of all
/// gateways, three random ones are all of that kind in one case of 64.
const MAX_WATCHERS_RETURNED: usize = 3;

/// Time after its last watch for which a gateway's address is handed out.
///
/// Watches end within a second, and a gateway that has lost this instance may still be reachable by others.
const WATCHER_TTL: Duration = Duration::from_secs(10);

/// Maximum number of gateways of a data centre that another one there gets.
const MAX_NEARBY_RETURNED: usize = 32;

/// Maximum number of gateways of other data centres that a gateway gets.
const MAX_FAR_RETURNED: usize = 32;

/// Time for which a gateway's address is handed out within its data centre.
///
/// A gateway contacts the control instances one after another, so minutes may pass between its calls to this one.
const NEARBY_TTL: Duration = Duration::from_mins(3);

/// The soft state of a control instance: members and sums on the leader, the replicated member list on a follower.
#[derive(Debug)]
pub(crate) struct SoftState {
    /// Term of the members and sums, or 0 when this instance doesn't lead.
    pub(crate) term: u64,
    pub(crate) members: Option<Members>,
    pub(crate) followed: Roster,
    pub(crate) totals: BTreeMap<Box<str>, Totals>,
    /// When each endpoint last reported.
    pub(crate) heard: LastReports,
    pub(crate) warm_ups: WarmUps,
    /// Count of endpoint reports that this instance refused.
    pub(crate) refused_reports: RefusedReports,
    /// Gateways that watch this instance.
    pub(crate) watchers: GatewayDirectory,
    /// Gateways that accept requests from each other, by data centre.
    pub(crate) nearby: BTreeMap<Box<str>, GatewayDirectory>,
    /// Gateways that answer calls of each other, by data centre.
    pub(crate) peers: BTreeMap<Box<str>, GatewayDirectory>,
    pub(crate) rng: StdRng,
}

impl SoftState {
    pub(crate) fn new() -> Self {
        Self {
            term: 0,
            members: None,
            followed: Roster::default(),
            totals: BTreeMap::new(),
            heard: LastReports::default(),
            warm_ups: WarmUps::default(),
            refused_reports: RefusedReports::default(),
            watchers: GatewayDirectory::new(WATCHER_TTL, MAX_WATCHERS_RETURNED),
            nearby: BTreeMap::new(),
            peers: BTreeMap::new(),
            rng: StdRng::seed_from_u64(rand::random()),
        }
    }

    /// Returns the gateways of a data centre that accept requests from each other.
    pub(crate) fn nearby(&mut self, data_center: &str) -> &mut GatewayDirectory {
        directory_of(&mut self.nearby, data_center)
    }

    /// Returns the gateways of a data centre that answer calls of each other.
    pub(crate) fn peers(&mut self, data_center: &str) -> &mut GatewayDirectory {
        directory_of(&mut self.peers, data_center)
    }

    /// Returns the addresses of some gateways of other data centres that answer calls.
    pub(crate) fn far_peers(
        &self,
        data_center: &str,
        instance: &str,
        draw: usize,
    ) -> Vec<Box<str>> {
        let others = self
            .peers
            .iter()
            .filter(|(name, _)| ***name != *data_center);
        let lists: Vec<Vec<Box<str>>> = others
            .map(|(_, directory)| directory.others(instance, draw))
            .collect();
        // One of each data centre after the other, so that the limit leaves none out.
        let longest = lists.iter().map(Vec::len).max().unwrap_or_default();
        let columns =
            (0..longest).flat_map(|index| lists.iter().filter_map(move |list| list.get(index)));
        columns.take(MAX_FAR_RETURNED).cloned().collect()
    }

    /// Begins a term as the leader, starting from the member list that this instance followed.
    pub(crate) fn begin_term(&mut self, term: u64, now: Duration, rules: LeaseLimits) {
        self.end_term();
        self.term = term;
        self.members = Some(Members::open(term, now, rules, &self.followed));
        self.totals.clear();
    }

    /// Ends a term as the leader; its members become the followed list.
    pub(crate) fn end_term(&mut self) {
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

    /// Applies a delta of the leader's member list, and returns whether a full list is needed.
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

    /// Merges a report of service sums as the root of the aggregation.
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

/// Returns the directory of a data centre, which is empty at first.
fn directory_of<'a>(
    directories: &'a mut BTreeMap<Box<str>, GatewayDirectory>,
    data_center: &str,
) -> &'a mut GatewayDirectory {
    let directory = || GatewayDirectory::new(NEARBY_TTL, MAX_NEARBY_RETURNED);
    directories
        .entry(data_center.into())
        .or_insert_with(directory)
}
