//! Keeps the operator's route table and the endpoints that report themselves.
//!
//! Both are in the log, because an acknowledged table must never be lost, and an endpoint that was acknowledged as
//! leaving must stay so under every later leader. Reports that only say "still there" are not: the leader keeps them
//! in memory ([`LastReports`]), and a new leader starts by giving every endpoint a whole [`REPORT_TIMEOUT`] again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_routing::{RequestKey, Suspects};
use hinge_schema::routing::{Endpoint, EndpointList, EndpointState, RouteTable};
use serde::{Deserialize, Serialize};

use crate::command::SuspectsCommand;

/// Names an endpoint; one that starts again may keep its name.
pub type EndpointId = Box<str>;

/// Unix millisecond of an endpoint's start; none where it does not say.
pub type StartTime = Option<u64>;

/// Names one start of an endpoint.
///
/// An incarnation knows nothing of the one before, and counts its reports anew; so whatever is compared or remembered of
/// an endpoint is that of one incarnation. Of two with the same id the one that was born later is the newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredIncarnation")]
pub struct Incarnation {
    /// Endpoint.
    pub id: EndpointId,
    /// When it started.
    pub born_unix_ms: StartTime,
}

/// Reads an incarnation as it stands in logs and snapshots; older ones hold the id alone.
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

/// Ended endpoints that are remembered; a late report of one of them changes nothing. Several nights of replacing a
/// fleet of 1,600 endpoints would be needed to push one out while its reports are still on their way.
const KEEP_RETIRED: usize = 4096;

/// Time without a report after which an endpoint is dropped. Reports come about every second and may be seconds
/// late; the gateways notice a dead endpoint by its connections long before.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(8);

/// Time without a report after which an endpoint is dropped whose address another one reports: two reports may be lost.
pub const REPLACED_REPORT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Changes what is known of the endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointCommand {
    /// Notes an endpoint as it has reported itself.
    Note(Endpoint),
    /// Forgets an incarnation that has ended or is about to; its later reports change nothing. One that does not say when it
    /// was born means the one that is known.
    Retire(Incarnation),
    /// Drops an endpoint that is silent; a later report brings it back.
    Drop(EndpointId),
}

/// Holds the route table in force and the endpoints.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Routing {
    table: Option<Arc<RouteTable>>,
    endpoints: Arc<BTreeMap<EndpointId, Endpoint>>,
    /// Endpoints at whose address another one has reported itself since, and that other one.
    #[serde(default)]
    replaced: BTreeMap<EndpointId, EndpointId>,
    retired: VecDeque<Incarnation>,
    /// Place in the log of the last change of the endpoints.
    endpoints_version: u64,
    /// Requests under which endpoints ended; missing in snapshots of programs that knew none.
    #[serde(default)]
    suspects: Arc<Suspects>,
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

    /// Returns the endpoints as a list for the gateways, without those that another one has replaced at their address.
    ///
    /// The load pattern: all engines lose power and come back at their addresses under new ids. The former ones are listed until
    /// they have been silent for seconds; each gateway would send requests to every one of them to learn that it is gone, and a
    /// request that may be sent once is lost by that.
    #[must_use]
    pub fn list(&self) -> EndpointList {
        let endpoints = self.endpoints.values();
        let present = endpoints.filter(|endpoint| !self.is_replaced(endpoint));
        EndpointList {
            version: self.endpoints_version,
            endpoints: present.cloned().collect(),
        }
    }

    /// Returns whether another endpoint has reported itself at an endpoint's address since, and is still known there.
    fn is_replaced(&self, endpoint: &Endpoint) -> bool {
        let next = self.replaced.get(&endpoint.id);
        let next = next.and_then(|next| self.endpoints.get(next));
        next.is_some_and(|next| next.address == endpoint.address)
    }

    /// Returns the numbers of all endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints.keys()
    }

    /// Returns whether a report changes anything beyond being heard.
    #[must_use]
    pub fn is_change(&self, report: &Endpoint) -> bool {
        if self.is_outdated(report) || self.contradicts(report) {
            return false;
        }
        let Some(known) = self.same_incarnation(report) else {
            return true;
        };
        let is_late = report.sequence <= known.sequence;
        let drains_again = known.state == EndpointState::Draining;
        if is_late || drains_again {
            return false;
        }
        // How long an endpoint is still warming up runs down by itself, so a new value of it is no news.
        known.state != report.state
            || known.software_version != report.software_version
            || known.slots != report.slots
    }

    /// Returns whether a report is of an incarnation that has ended, or that a newer one has followed.
    #[must_use]
    pub fn is_outdated(&self, report: &Endpoint) -> bool {
        let known = self.endpoints.get(&report.id);
        let is_followed = known.is_some_and(|known| known.born_unix_ms > report.born_unix_ms);
        is_followed || self.is_retired(&report.id, report.born_unix_ms)
    }

    /// Returns whether a report tells what the incarnation that it names can't have become: another writer has sent it.
    ///
    /// A process does not move to another address or service while it runs. Taken in, such a report would take a sound endpoint out.
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

    /// Returns whether the end of an incarnation, or of one that followed it, was noted already.
    #[must_use]
    pub fn is_retired(&self, id: &str, born: StartTime) -> bool {
        let mut ends = self.retired.iter();
        ends.any(|ended| *ended.id == *id && born <= ended.born_unix_ms)
    }

    /// Returns the incarnation that an end means: the one that it names, or else the one that is known.
    #[must_use]
    pub fn resolve(&self, end: &Incarnation) -> Incarnation {
        let known = self.endpoints.get(&end.id);
        let born = known.and_then(|known| known.born_unix_ms);
        Incarnation {
            id: end.id.clone(),
            born_unix_ms: end.born_unix_ms.or(born),
        }
    }

    /// Puts a table in force if its number is higher than any before; returns the number in force.
    pub fn put_table(&mut self, table: RouteTable) -> u64 {
        if table.number > self.table_number() {
            self.table = Some(Arc::new(table));
        }
        self.table_number()
    }

    /// Returns the requests under which endpoints ended.
    #[must_use]
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Notes ends under requests at a place in the log, and returns the requests that are held from now on.
    pub fn note_suspects(&mut self, index: u64, command: &SuspectsCommand) -> Vec<RequestKey> {
        let held_before = self.suspects.held().clone();
        let suspects = Arc::make_mut(&mut self.suspects);
        suspects.note(index, &command.ends, &command.completed);
        suspects.held().difference(&held_before).copied().collect()
    }

    /// Applies a change of the endpoints at a place in the log.
    pub fn apply(&mut self, index: u64, command: EndpointCommand) {
        let changes = match command {
            EndpointCommand::Note(endpoint) => self.note(endpoint),
            EndpointCommand::Retire(incarnation) => self.retire(&incarnation),
            EndpointCommand::Drop(id) => self.forget(&id),
        };
        if changes {
            self.endpoints_version = index;
        }
    }

    fn note(&mut self, endpoint: Endpoint) -> bool {
        if !self.is_change(&endpoint) {
            return false;
        }
        if self.same_incarnation(&endpoint).is_none() {
            self.note_replaced(&endpoint);
        }
        Arc::make_mut(&mut self.endpoints).insert(endpoint.id.clone(), endpoint);
        true
    }

    /// Notes the endpoints that a new one replaces: two processes can't listen at one address.
    ///
    /// A late report of a replaced one, which is still known, does not turn this round.
    fn note_replaced(&mut self, new: &Endpoint) {
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

/// Holds when the leader last heard of each endpoint.
#[derive(Debug, Default)]
pub struct LastReports {
    last: BTreeMap<EndpointId, Duration>,
}

impl LastReports {
    /// Notes a report.
    pub fn note(&mut self, now: Duration, id: &str) {
        if let Some(last) = self.last.get_mut(id) {
            *last = now;
        } else {
            self.last.insert(id.into(), now);
        }
    }

    /// Returns the endpoints that have been silent for too long; one that was never heard counts from now on.
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

    /// Forgets everything, as when leadership ends.
    pub fn clear(&mut self) {
        self.last.clear();
    }
}
