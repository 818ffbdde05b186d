//! The operator's route table, and the endpoints that report themselves.
//!
//! Both are in the log, because an acknowledged table must never be lost, and an endpoint that was acknowledged as
//! leaving must stay so under every later leader. Reports that change nothing are not in the log: the leader keeps their
//! times in memory ([`LastReports`]), and under a new leader every endpoint has a full [`REPORT_TIMEOUT`] again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_routing::{RequestKey, Suspects, patch_table};
use hinge_schema::messages::ServiceInUse;
use hinge_schema::routing::{Endpoint, EndpointList, EndpointState, RouteTable, TablePatch};
use serde::{Deserialize, Serialize};

use crate::command::{SuspectsCommand, TrialCommand};
use crate::evacuations::{EvacuationCommand, Evacuations};

/// The id of an endpoint; an endpoint that restarts may keep its id.
pub type EndpointId = Box<str>;

/// Start of an endpoint in Unix milliseconds; none if it does not report one.
pub type StartTime = Option<u64>;

/// One start of an endpoint.
///
/// An incarnation knows nothing of the previous one, and its report sequence starts over, so reports are compared only within
/// one incarnation. Of two incarnations with the same id, the one that started later is the newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredIncarnation")]
pub struct Incarnation {
    /// Endpoint.
    pub id: EndpointId,
    /// When it started.
    pub born_unix_ms: StartTime,
}

/// An incarnation as stored in logs and snapshots; older ones hold the id alone.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredIncarnation {
    Id(EndpointId),
    Whole {
        id: EndpointId,
        born_unix_ms: StartTime,
    },
}

impl From<StoredIncarnation> for Incarnation {
    fn from(stored: StoredIncarnation) -> Self {
        match stored {
            StoredIncarnation::Id(id) => Self {
                id,
                born_unix_ms: None,
            },
            StoredIncarnation::Whole { id, born_unix_ms } => Self { id, born_unix_ms },
        }
    }
}

/// Ended incarnations that are kept, so that their late reports are ignored.
///
/// It would take several nights of replacing a fleet of 1,600 endpoints to evict one while its reports are in flight.
const KEEP_RETIRED: usize = 4096;

/// Time without a report after which an endpoint is dropped.
///
/// Reports come about every second and may be seconds late; the gateways notice a dead endpoint by its connections long
/// before.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(8);

/// Time without a report after which an endpoint is dropped if another one reports its address; two reports may be lost.
pub const REPLACED_REPORT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A change of the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointCommand {
    /// Records an endpoint's report of itself.
    #[serde(rename = "Note")]
    Report(Endpoint),
    /// Retires an incarnation that has ended or is about to; its later reports are ignored. Without a start time, the known
    /// incarnation is meant.
    Retire(Incarnation),
    /// Drops an endpoint that has stopped reporting; a later report adds it again.
    Drop(EndpointId),
}

/// The route table in force and the endpoints.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Routing {
    table: Option<Arc<RouteTable>>,
    endpoints: Arc<BTreeMap<EndpointId, Endpoint>>,
    /// Endpoints whose address another endpoint has reported since, each with that other endpoint.
    #[serde(default)]
    replaced: BTreeMap<EndpointId, EndpointId>,
    retired: VecDeque<Incarnation>,
    /// Log index of the last change of the endpoints.
    endpoints_version: u64,
    /// Requests that endpoints were working on when they ended; missing in snapshots of versions before this record.
    #[serde(default)]
    suspects: Arc<Suspects>,
    /// Evacuated data centres; missing in snapshots of versions before this record.
    #[serde(default)]
    evacuations: Evacuations,
}

impl Routing {
    /// Returns the route table in force, if there is one.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the number of the table in force; 0 without one.
    #[must_use]
    pub fn table_number(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.number)
    }

    /// Returns the version of the list of endpoints.
    #[must_use]
    pub fn endpoints_version(&self) -> u64 {
        self.endpoints_version
    }

    /// Returns the endpoints for the gateways, without those that another endpoint has replaced at their address.
    ///
    /// When all engines lose power and come back at their addresses under new ids, the former endpoints stay known until they
    /// time out. If they were listed, each gateway would find out by sending requests to each of them, and a request that may
    /// be sent only once would be lost.
    #[must_use]
    pub fn list(&self) -> EndpointList {
        let endpoints = self.endpoints.values();
        let present = endpoints.filter(|endpoint| !self.is_replaced(endpoint));
        EndpointList {
            version: self.endpoints_version,
            endpoints: present.cloned().collect(),
        }
    }

    /// Returns whether another endpoint has since reported an endpoint's address, and is still known there.
    fn is_replaced(&self, endpoint: &Endpoint) -> bool {
        let next = self.replaced.get(&endpoint.id);
        let next = next.and_then(|next| self.endpoints.get(next));
        next.is_some_and(|next| next.address == endpoint.address)
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns an endpoint by its id.
    #[must_use]
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Returns the ids of all endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints.keys()
    }

    /// Returns whether a report changes anything but the time of the last report.
    #[must_use]
    pub fn is_change(&self, report: &Endpoint) -> bool {
        if self.is_outdated(report) || self.contradicts(report) {
            return false;
        }
        let Some(known) = self.same_incarnation(report) else {
            return true;
        };
        if !supersedes(known, report) {
            return false;
        }
        // The remaining warm-up time counts down by itself, so a new value of it is no change.
        known.state != report.state
            || known.software_version != report.software_version
            || known.slots != report.slots
    }

    /// Returns whether a report that is no change may still tell that the endpoint warms up again.
    #[must_use]
    pub fn may_warm_up_again(&self, report: &Endpoint) -> bool {
        let known = self.same_incarnation(report);
        report.warm_up_ms > 0
            && !self.is_retired(&report.id, report.born_unix_ms)
            && !self.contradicts(report)
            && known.is_some_and(|known| supersedes(known, report))
    }

    /// Returns whether a report is from an incarnation that has ended or has been followed by a newer one.
    #[must_use]
    pub fn is_outdated(&self, report: &Endpoint) -> bool {
        let known = self.endpoints.get(&report.id);
        let is_followed = known.is_some_and(|known| known.born_unix_ms > report.born_unix_ms);
        is_followed || self.is_retired(&report.id, report.born_unix_ms)
    }

    /// Returns whether a report contradicts what is fixed for its incarnation, so that another process must have sent it.
    ///
    /// A process keeps its address and service while it runs. Accepting such a report would remove a healthy endpoint.
    #[must_use]
    pub fn contradicts(&self, report: &Endpoint) -> bool {
        self.same_incarnation(report).is_some_and(|known| {
            known.service != report.service
                || known.address != report.address
                || known.data_center != report.data_center
        })
    }

    fn same_incarnation(&self, report: &Endpoint) -> Option<&Endpoint> {
        let known = self.endpoints.get(&report.id);
        known.filter(|known| known.born_unix_ms == report.born_unix_ms)
    }

    /// Returns whether the end of an incarnation, or of a later one, is already recorded.
    #[must_use]
    pub fn is_retired(&self, id: &str, born: StartTime) -> bool {
        let mut ends = self.retired.iter();
        ends.any(|ended| *ended.id == *id && born <= ended.born_unix_ms)
    }

    /// Returns the incarnation that an end refers to: the one with its start time, or without one the known incarnation.
    #[must_use]
    pub fn resolve(&self, end: &Incarnation) -> Incarnation {
        let known = self.endpoints.get(&end.id);
        let born = known.and_then(|known| known.born_unix_ms);
        Incarnation {
            id: end.id.clone(),
            born_unix_ms: end.born_unix_ms.or(born),
        }
    }

    /// Puts a table in force if its number is the highest so far; returns the number in force.
    pub fn put_table(&mut self, table: RouteTable) -> u64 {
        if table.number > self.table_number() {
            self.table = Some(Arc::new(table));
        }
        self.table_number()
    }

    /// Puts in force the table that results from a patch, if the patch is based on the one in force and its number is higher;
    /// returns the number in force.
    pub fn patch_table(&mut self, patch: &TablePatch) -> u64 {
        let patched = self
            .table
            .as_ref()
            .filter(|table| table.number < patch.number)
            .and_then(|table| patch_table(table, patch).ok());
        if let Some(table) = patched {
            self.table = Some(Arc::new(table));
        }
        self.table_number()
    }

    /// Returns the record of requests that endpoints were working on when they ended.
    #[must_use]
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Records at a log index which requests endpoints ended under, and returns the requests that are newly held.
    pub fn record_suspects(&mut self, index: u64, command: &SuspectsCommand) -> Vec<RequestKey> {
        let held_before = self.suspects.held().clone();
        let suspects = Arc::make_mut(&mut self.suspects);
        suspects.record_sound(index, &command.sound);
        suspects.record(index, &command.ends, &command.completed);
        suspects.held().difference(&held_before).copied().collect()
    }

    /// Grants a trial of held prompt parts if one is due, and returns whether it did.
    pub fn grant_trial(&mut self, trial: &TrialCommand) -> bool {
        Arc::make_mut(&mut self.suspects).grant_trial(&trial.parts, trial.now_ms)
    }

    /// Returns the evacuated data centres.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns for each service how many of its ready endpoints stay in use while `also` is evacuated besides the data centres
    /// that are.
    #[must_use]
    pub fn services_in_use(&self, also: Option<&str>) -> Vec<ServiceInUse> {
        let mut services: BTreeMap<&str, ServiceInUse> = BTreeMap::new();
        let ready = self.endpoints.values();
        let ready = ready.filter(|endpoint| endpoint.state == EndpointState::Ready);
        for endpoint in ready {
            let service = services
                .entry(&*endpoint.service)
                .or_insert_with(|| ServiceInUse {
                    service: endpoint.service.clone(),
                    endpoints: 0,
                    in_use: 0,
                });
            let data_center = &*endpoint.data_center;
            let is_evacuated =
                also == Some(data_center) || self.evacuations.get(data_center).is_some();
            service.endpoints += 1;
            service.in_use += u32::from(!is_evacuated);
        }
        services.into_values().collect()
    }

    /// Applies an order at a log index, and returns whether its data centre is in the ordered state now.
    pub(crate) fn apply_evacuation(&mut self, index: u64, command: EvacuationCommand) -> bool {
        self.evacuations.apply(index, command)
    }

    /// Applies a change of the endpoints at a log index of a log of some format.
    pub fn apply(&mut self, index: u64, format: u32, command: EndpointCommand) {
        let changes = match command {
            EndpointCommand::Report(endpoint) => self.record_report(format, endpoint),
            EndpointCommand::Retire(incarnation) => self.retire(&incarnation),
            EndpointCommand::Drop(id) => self.forget(&id),
        };
        if changes {
            self.endpoints_version = index;
        }
    }

    fn record_report(&mut self, format: u32, endpoint: Endpoint) -> bool {
        let warms_up_again = format >= 1 && self.may_warm_up_again(&endpoint);
        if !self.is_change(&endpoint) && !warms_up_again {
            return false;
        }
        if self.same_incarnation(&endpoint).is_none() {
            self.record_replaced(&endpoint);
        }
        Arc::make_mut(&mut self.endpoints).insert(endpoint.id.clone(), endpoint);
        true
    }

    /// Records the endpoints that a new one replaces: two processes can't listen on one address.
    ///
    /// A late report of a replaced endpoint that is still known does not reverse this.
    fn record_replaced(&mut self, new: &Endpoint) {
        self.replaced.remove(&new.id);
        let others = self.endpoints.values();
        let replaced = others.filter(|other| other.address == new.address && other.id != new.id);
        for other in replaced {
            self.replaced.insert(other.id.clone(), new.id.clone());
        }
    }

    /// Removes an endpoint, and returns whether it was known.
    fn forget(&mut self, id: &EndpointId) -> bool {
        self.replaced.remove(id);
        Arc::make_mut(&mut self.endpoints).remove(id).is_some()
    }

    fn retire(&mut self, end: &Incarnation) -> bool {
        let ended = self.resolve(end);
        if self.is_retired(&ended.id, ended.born_unix_ms) {
            return false;
        }
        let known = self.endpoints.get(&ended.id);
        let ends_known = known.is_some_and(|known| known.born_unix_ms <= ended.born_unix_ms);
        if ends_known {
            self.forget(&ended.id);
        }
        self.retired.push_back(ended);
        if self.retired.len() > KEEP_RETIRED {
            self.retired.pop_front();
        }
        ends_known
    }
}

/// Returns whether a report of the same incarnation is later than the known one, and may change it.
fn supersedes(known: &Endpoint, report: &Endpoint) -> bool {
    report.sequence > known.sequence && known.state != EndpointState::Draining
}

/// The times at which the leader last received a report of each endpoint.
#[derive(Debug, Default)]
pub struct LastReports {
    last: BTreeMap<EndpointId, Duration>,
}

impl LastReports {
    /// Records the time of a report.
    pub fn record(&mut self, now: Duration, id: &str) {
        if let Some(last) = self.last.get_mut(id) {
            *last = now;
        } else {
            self.last.insert(id.into(), now);
        }
    }

    /// Returns the endpoints whose reports have timed out; for one without a report yet, the time starts now.
    pub fn silent(&mut self, now: Duration, routing: &Routing) -> Vec<EndpointId> {
        let listed: BTreeSet<&EndpointId> = routing.ids().collect();
        self.last.retain(|id, _| listed.contains(id));
        for id in listed {
            self.last.entry(id.clone()).or_insert(now);
        }
        let mut newest: BTreeMap<SocketAddr, Duration> = BTreeMap::new();
        for endpoint in routing.endpoints.values() {
            let last = self.last[&endpoint.id];
            let newest = newest.entry(endpoint.address).or_insert(last);
            *newest = last.max(*newest);
        }
        let endpoints = routing.endpoints.values();
        let silent = endpoints.filter(|endpoint| {
            let last = self.last[&endpoint.id];
            let is_replaced = newest[&endpoint.address] > last;
            let longest = if is_replaced {
                REPLACED_REPORT_TIMEOUT
            } else {
                REPORT_TIMEOUT
            };
            now >= last + longest
        });
        silent.map(|endpoint| endpoint.id.clone()).collect()
    }

    /// Clears all times, for the end of a leader's term.
    pub fn clear(&mut self) {
        self.last.clear();
    }
}
