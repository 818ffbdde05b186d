//! The routes and endpoints that a gateway has received from control.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hinge_clock::BootInstant;
use hinge_routing::{Address, PatchError, RecentPatches, RouteIndex, patch_table};
use hinge_schema::routing::{
    EndpointList, EndpointState, EvacuationList, Route, RouteTable, RoutesUpdate, TablePatch,
    WatchRoutes,
};
use hinge_telemetry::log::Component;
use hinge_telemetry::{info, warn};

use crate::admission::{AdmissionAccess, AdmissionClient};
use crate::contact::Contact;
use crate::endpoint::Endpoint;
use crate::notices::NoticeTable;
use crate::suspects::{Evidence, Suspects};

/// An immutable snapshot of the routes and endpoints.
#[derive(Debug)]
pub(crate) struct RoutingSnapshot {
    pub(crate) lookup: Option<Arc<RouteIndex>>,
    /// Latest list of endpoints from control, if any.
    list: Option<Arc<EndpointList>>,
    by_id: HashMap<Box<str>, Arc<Endpoint>>,
    by_service: HashMap<Box<str>, Vec<Arc<Endpoint>>>,
    pub(crate) evacuations: Arc<EvacuationList>,
    /// Services whose endpoints all have one software version.
    only_versions: HashMap<Box<str>, OnlyVersion>,
}

/// The one software version of a service.
#[derive(Debug, Clone)]
struct OnlyVersion {
    software_version: Box<str>,
    since: BootInstant,
}

impl Default for RoutingSnapshot {
    fn default() -> Self {
        let evacuations = EvacuationList {
            version: 0,
            evacuations: Vec::new(),
        };
        Self {
            lookup: None,
            list: None,
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            evacuations: Arc::new(evacuations),
            only_versions: HashMap::new(),
        }
    }
}

impl RoutingSnapshot {
    /// Returns whether a data centre is evacuated.
    fn is_evacuated(&self, data_center: &str) -> bool {
        let mut evacuations = self.evacuations.evacuations.iter();
        evacuations.any(|evacuation| *evacuation.data_center == *data_center)
    }

    /// Returns the time for which an endpoint of a service warms up; zero if its endpoints don't.
    fn warm_up_time(&self, service: &str) -> Duration {
        let service = self
            .lookup
            .as_ref()
            .and_then(|lookup| lookup.service(service));
        let warm_up = service.and_then(|service| service.warm_up.as_ref());
        warm_up.map_or(Duration::ZERO, |warm_up| {
            Duration::from_millis(warm_up.duration_ms)
        })
    }

    /// Returns the endpoints of a service that take requests.
    pub(crate) fn of_service(&self, service: &str) -> &[Arc<Endpoint>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the addresses of the admissions beside the endpoints of a route's services, also of those that drain, up to a number.
    pub(crate) fn admissions_of(&self, route: &Route, max: usize) -> Vec<SocketAddr> {
        let is_target = |service: &str| {
            let mut targets = route.targets.iter();
            targets.any(|target| *target.service == *service)
        };
        let endpoints = self.by_id.values();
        let endpoints = endpoints.filter(|endpoint| is_target(&endpoint.description.service));
        let admissions =
            endpoints.filter_map(|endpoint| Some(endpoint.admission.as_ref()?.address()));
        // The order of the map is random.
        admissions.take(max).collect()
    }

    /// Returns the software version of a service that has only one, and for how long it has been the only one.
    pub(crate) fn only_version(&self, service: &str) -> Option<(&str, Duration)> {
        let only = self.only_versions.get(service)?;
        Some((&only.software_version, only.since.elapsed()))
    }

    /// Returns the services of a new list whose endpoints all have one software version.
    fn next_only_versions(&self, list: &EndpointList) -> HashMap<Box<str>, OnlyVersion> {
        let mut versions: HashMap<&str, Option<&str>> = HashMap::new();
        for endpoint in &list.endpoints {
            let version = &*endpoint.software_version;
            let only = versions.entry(&endpoint.service).or_insert(Some(version));
            if *only != Some(version) {
                *only = None;
            }
        }
        let only = versions.into_iter().filter_map(|(service, version)| {
            let version = version?;
            let known = self.only_versions.get(service);
            let known = known.filter(|known| *known.software_version == *version);
            let next = known.cloned().unwrap_or_else(|| OnlyVersion {
                software_version: version.into(),
                since: BootInstant::now(),
            });
            Some((service.into(), next))
        });
        only.collect()
    }

    /// Returns the version of the endpoint list; 0 without a list.
    pub(crate) fn endpoints_version(&self) -> u64 {
        self.list.as_ref().map_or(0, |list| list.version)
    }

    /// Returns the number of the route table in force; 0 without a table.
    pub(crate) fn table_number(&self) -> u64 {
        self.lookup
            .as_ref()
            .map_or(0, |lookup| lookup.table().number)
    }
}

/// The newest routes and endpoints; an update with an older version is ignored.
#[derive(Debug)]
pub(crate) struct RoutingState {
    current: ArcSwap<RoutingSnapshot>,
    /// The last patches that led to the table; locked by every writer of the state.
    recent_patches: Mutex<RecentPatches>,
    /// Whether control may send patches; false after one that could not be applied, until a whole table arrives.
    accepts_patches: AtomicBool,
    /// How to reach the admissions beside the endpoints; `None` without admissions.
    admission_access: Option<AdmissionAccess>,
    pub(crate) suspects: Arc<Suspects>,
    notices: NoticeTable,
    /// Control instances that receive this gateway's reports: the followed one, or several while none is followed.
    pub(crate) control: ArcSwap<Vec<Address>>,
    /// All known control instances.
    pub(crate) known_control: ArcSwap<Vec<Address>>,
    pub(crate) contact: Contact,
}

impl RoutingState {
    /// Creates a state without routes and endpoints.
    pub(crate) fn new(admission_access: Option<AdmissionAccess>, suspects: Suspects) -> Self {
        Self {
            current: ArcSwap::default(),
            recent_patches: Mutex::default(),
            accepts_patches: AtomicBool::new(true),
            admission_access,
            suspects: Arc::new(suspects),
            notices: NoticeTable::default(),
            control: ArcSwap::default(),
            known_control: ArcSwap::default(),
            contact: Contact::new(),
        }
    }

    /// Returns the current snapshot, without a lock.
    pub(crate) fn current(&self) -> Arc<RoutingSnapshot> {
        self.current.load_full()
    }

    /// Puts a newer route table in force; an older one is ignored.
    pub(crate) fn apply_table(&self, table: RouteTable) {
        let mut recent_patches = self.lock_writer();
        if self.replace_table(table) {
            recent_patches.clear();
        }
    }

    /// Puts the table in force that results from patches, without those that lead to older tables.
    fn apply_patches(&self, patches: &[TablePatch]) -> Result<(), PatchError> {
        let mut recent_patches = self.lock_writer();
        let current = self.current();
        let Some(lookup) = &current.lookup else {
            return Ok(());
        };
        let mut newest: Option<RouteTable> = None;
        for patch in patches {
            let base = newest.as_ref().unwrap_or(lookup.table());
            if patch.number > base.number {
                newest = Some(patch_table(base, patch)?);
                recent_patches.record(patch);
            }
        }
        if let Some(table) = newest {
            self.replace_table(table);
        }
        Ok(())
    }

    /// Locks out other writers; the recent patches are updated under the same lock.
    fn lock_writer(&self) -> MutexGuard<'_, RecentPatches> {
        self.recent_patches
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a table in force if it is newer, and returns whether it is; the caller holds the writer's lock.
    fn replace_table(&self, table: RouteTable) -> bool {
        let current = self.current();
        if table.number <= current.table_number() {
            return false;
        }
        info!(
            Component::Gateway,
            "A route table is in force.",
            number = table.number,
            before = current.table_number(),
            routes = table.routes.len(),
            teams = table.teams.len(),
            without_ms = self.contact.age().as_millis()
        );
        self.current.store(Arc::new(RoutingSnapshot {
            lookup: Some(Arc::new(RouteIndex::new(table))),
            list: current.list.clone(),
            by_id: current.by_id.clone(),
            by_service: current.by_service.clone(),
            evacuations: Arc::clone(&current.evacuations),
            only_versions: current.only_versions.clone(),
        }));
        true
    }

    /// Applies the newer parts of an update, and returns whether there is a route table now.
    pub(crate) fn apply(&self, update: RoutesUpdate) -> bool {
        // Evacuations first: no request may go to an endpoint before this gateway knows whether it is evacuated.
        if let Some(list) = update.evacuations {
            self.apply_evacuations(list);
        }
        if let Some(list) = update.endpoints {
            self.apply_endpoints(list);
        }
        if let Some(table) = update.table {
            self.apply_table(table);
            self.accepts_patches.store(true, Ordering::Relaxed);
        } else if let Err(cause) = self.apply_patches(&update.table_patches) {
            // The next query asks for the whole table.
            self.accepts_patches.store(false, Ordering::Relaxed);
            warn!(
                Component::Gateway,
                "Could not apply a change of the route table.",
                cause = cause,
                number = self.current().table_number()
            );
        }
        if let Some(list) = update.suspects {
            self.suspects.apply(&list);
        }
        self.current().table_number() > 0
    }

    /// Returns whether control may send patches of the table.
    pub(crate) fn accepts_patches(&self) -> bool {
        self.accepts_patches.load(Ordering::Relaxed)
    }

    /// Returns everything that is newer than the versions in a query.
    pub(crate) fn changes_since(&self, query: &WatchRoutes) -> RoutesUpdate {
        let current = self.current();
        let lookup = current.lookup.as_ref();
        let newer = lookup.filter(|_| current.table_number() > query.table_number);
        let accepts_patches = query.accepts_patches.unwrap_or(false);
        let patches = newer
            .filter(|_| accepts_patches)
            .and_then(|lookup| self.lock_writer().since(query.table_number, lookup.table()));
        let list = current.list.as_ref();
        let list = list.filter(|list| list.version > query.endpoints_version);
        RoutesUpdate {
            is_unconfirmed: None,
            table: newer
                .filter(|_| patches.is_none())
                .map(|lookup| lookup.table().clone()),
            table_patches: patches.unwrap_or_default(),
            endpoints: list.map(|list| EndpointList::clone(list)),
            suspects: query
                .suspects_version
                .and_then(|version| self.suspects.changes_since(version)),
            evacuations: query.evacuations_version.and_then(|version| {
                let is_newer = current.evacuations.version > version;
                is_newer.then(|| EvacuationList::clone(&current.evacuations))
            }),
            control: Vec::new(),
            gateways: Vec::new(),
        }
    }

    /// Applies a newer list of evacuations; an older one is ignored.
    ///
    /// The endpoints of a data centre whose evacuation has ended may have been restarted, so they count as warming up.
    fn apply_evacuations(&self, list: EvacuationList) {
        let _writer = self.lock_writer();
        let current = self.current();
        if list.version <= current.evacuations.version {
            return;
        }
        let names: Vec<&str> = list
            .evacuations
            .iter()
            .map(|evacuation| &*evacuation.data_center)
            .collect();
        info!(
            Component::Gateway,
            "The evacuations have changed.",
            version = list.version,
            before = current.evacuations.version,
            data_centers = names.join(",")
        );
        let next = RoutingSnapshot {
            lookup: current.lookup.clone(),
            list: current.list.clone(),
            by_id: current.by_id.clone(),
            by_service: current.by_service.clone(),
            evacuations: Arc::new(list),
            only_versions: current.only_versions.clone(),
        };
        for endpoint in next.by_id.values() {
            let is_evacuated = next.is_evacuated(&endpoint.description.data_center);
            if endpoint.is_evacuated() && !is_evacuated {
                endpoint.record_warm_up(next.warm_up_time(&endpoint.description.service));
            }
            endpoint.set_evacuated(is_evacuated);
        }
        self.current.store(Arc::new(next));
    }

    fn new_endpoint(&self, description: hinge_schema::routing::Endpoint) -> Endpoint {
        let admission_access = self.admission_access.as_ref();
        let admission = admission_access
            .map(|access| AdmissionClient::new(description.address, access.clone()));
        let notices = self.notices.of(&description);
        Endpoint::new(description, admission, Arc::clone(&self.suspects), notices)
    }

    /// Applies a newer list of endpoints; an older one is ignored.
    pub(crate) fn apply_endpoints(&self, list: EndpointList) {
        let _writer = self.lock_writer();
        let current = self.current();
        if list.version <= current.endpoints_version() {
            return;
        }
        self.notices.retain_listed(&list.endpoints);
        let mut by_id = HashMap::new();
        let mut by_service: HashMap<Box<str>, Vec<Arc<Endpoint>>> = HashMap::new();
        let mut ready = 0_usize;
        for description in list.endpoints.iter().cloned() {
            let is_ready = description.state == EndpointState::Ready;
            let known = current.by_id.get(&description.id);
            let known = known.filter(|known| known.is_same_incarnation(&description));
            let warm_up_left = Duration::from_millis(description.warm_up_ms);
            let endpoint = known
                .cloned()
                .unwrap_or_else(|| Arc::new(self.new_endpoint(description)));
            endpoint.set_evacuated(current.is_evacuated(&endpoint.description.data_center));
            endpoint.record_warm_up(warm_up_left);
            if is_ready && !endpoint.is_draining() {
                ready += 1;
                let service = endpoint.description.service.clone();
                by_service
                    .entry(service)
                    .or_default()
                    .push(Arc::clone(&endpoint));
            } else if !is_ready {
                endpoint.record_planned_stop();
            }
            by_id.insert(endpoint.description.id.clone(), endpoint);
        }
        let addresses: HashSet<SocketAddr> = by_id
            .values()
            .map(|endpoint| endpoint.description.address)
            .collect();
        for (id, endpoint) in &current.by_id {
            match by_id.get(id) {
                None if addresses.contains(&endpoint.description.address) => {
                    endpoint.record_ended(Evidence::Replaced);
                    endpoint.drain();
                }
                None => endpoint.record_planned_stop(),
                Some(next) if !Arc::ptr_eq(next, endpoint) => endpoint.record_restart(),
                Some(_same) => {}
            }
        }
        info!(
            Component::Gateway,
            "The endpoints have changed.",
            version = list.version,
            before = current.endpoints_version(),
            listed = by_id.len(),
            ready = ready
        );
        self.current.store(Arc::new(RoutingSnapshot {
            lookup: current.lookup.clone(),
            evacuations: Arc::clone(&current.evacuations),
            only_versions: current.next_only_versions(&list),
            list: Some(Arc::new(list)),
            by_id,
            by_service,
        }));
    }
}
