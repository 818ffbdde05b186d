//! Holds the routes and endpoints that a gateway knows.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hinge_routing::{Address, RouteIndex};
use hinge_schema::routing::{EndpointList, EndpointState, RouteTable, RoutesUpdate, WatchRoutes};
use hinge_telemetry::info;
use hinge_telemetry::log::Part;
use tokio::time::Instant;

use crate::admit::{Admitter, Ways};
use crate::endpoint::Endpoint;
use crate::said::Words;
use crate::suspects::{Evidence, Suspects};

/// Holds one moment's routes and endpoints.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) lookup: Option<Arc<RouteIndex>>,
    /// List that control told last, if it told one.
    list: Option<Arc<EndpointList>>,
    by_id: HashMap<Box<str>, Arc<Endpoint>>,
    by_service: HashMap<Box<str>, Vec<Arc<Endpoint>>>,
}

impl Fleet {
    /// Returns the endpoints of a service that take work.
    pub(crate) fn of_service(&self, service: &str) -> &[Arc<Endpoint>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the version of the list of endpoints; 0 without one.
    pub(crate) fn endpoints_version(&self) -> u64 {
        self.list.as_ref().map_or(0, |list| list.version)
    }

    /// Returns the number of the table in force; 0 without one.
    pub(crate) fn table_number(&self) -> u64 {
        self.lookup
            .as_ref()
            .map_or(0, |lookup| lookup.table().number)
    }
}

/// Holds the newest routes and endpoints; nothing here steps back.
#[derive(Debug)]
pub(crate) struct Held {
    current: ArcSwap<Fleet>,
    writer: Mutex<()>,
    /// How to reach the admissions beside the endpoints; none where there are none.
    admissions: Option<Ways>,
    pub(crate) suspects: Arc<Suspects>,
    words: Words,
    /// Control instances to tell of what is seen here, the one that is followed or some others.
    pub(crate) control: ArcSwap<Vec<Address>>,
    /// All control instances that are known.
    pub(crate) known_control: ArcSwap<Vec<Address>>,
    began: Instant,
    /// When control last said that this is the newest that it knows, in milliseconds since `began`.
    confirmed_ms: AtomicU64,
}

impl Held {
    /// Creates an empty one.
    pub(crate) fn new(admissions: Option<Ways>, suspects: Suspects) -> Self {
        Self {
            current: ArcSwap::default(),
            writer: Mutex::default(),
            admissions,
            suspects: Arc::new(suspects),
            words: Words::default(),
            control: ArcSwap::default(),
            known_control: ArcSwap::default(),
            began: Instant::now(),
            confirmed_ms: AtomicU64::new(0),
        }
    }

    /// Notes that control has just told what is newer than what is held, or that nothing is.
    pub(crate) fn confirm(&self) {
        let now_ms = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.confirmed_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Returns the time since control last confirmed what is held; since the start where it never has.
    pub(crate) fn age(&self) -> Duration {
        let confirmed = Duration::from_millis(self.confirmed_ms.load(Ordering::Relaxed));
        self.began.elapsed().saturating_sub(confirmed)
    }

    /// Returns what is held, without a lock.
    pub(crate) fn current(&self) -> Arc<Fleet> {
        self.current.load_full()
    }

    /// Puts a newer table in force; an older one changes nothing.
    pub(crate) fn put_table(&self, table: RouteTable) {
        let _writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let held = self.current();
        if table.number <= held.table_number() {
            return;
        }
        info!(
            Part::Gateway,
            "A route table is in force.",
            number = table.number,
            before = held.table_number(),
            routes = table.routes.len(),
            teams = table.teams.len()
        );
        self.current.store(Arc::new(Fleet {
            lookup: Some(Arc::new(RouteIndex::new(table))),
            list: held.list.clone(),
            by_id: held.by_id.clone(),
            by_service: held.by_service.clone(),
        }));
    }

    /// Takes in what is newer of an update, and returns whether there is a table now.
    pub(crate) fn take_in(&self, update: RoutesUpdate) -> bool {
        if let Some(table) = update.table {
            self.put_table(table);
        }
        if let Some(list) = update.endpoints {
            self.put_endpoints(list);
        }
        if let Some(list) = update.suspects {
            self.suspects.take_in(&list);
        }
        self.current().table_number() > 0
    }

    /// Returns what is held and newer than what an asker has.
    pub(crate) fn newer_than(&self, question: &WatchRoutes) -> RoutesUpdate {
        let held = self.current();
        let lookup = held.lookup.as_ref();
        let newer = lookup.filter(|_| held.table_number() > question.table_number);
        let list = held.list.as_ref();
        let list = list.filter(|list| list.version > question.endpoints_version);
        RoutesUpdate {
            table: newer.map(|lookup| lookup.table().clone()),
            endpoints: list.map(|list| EndpointList::clone(list)),
            suspects: question
                .suspects_version
                .and_then(|version| self.suspects.newer_than(version)),
            control: Vec::new(),
            gateways: Vec::new(),
        }
    }

    fn endpoint(&self, described: hinge_schema::routing::Endpoint) -> Endpoint {
        let admissions = self.admissions.as_ref();
        let admitter = admissions.map(|ways| Admitter::new(described.address, ways.clone()));
        let said = self.words.of(&described);
        Endpoint::new(described, admitter, Arc::clone(&self.suspects), said)
    }

    /// Takes in a newer list of endpoints; an older one changes nothing.
    pub(crate) fn put_endpoints(&self, list: EndpointList) {
        let _writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let held = self.current();
        if list.version <= held.endpoints_version() {
            return;
        }
        self.words.keep(&list.endpoints);
        let mut by_id = HashMap::new();
        let mut by_service: HashMap<Box<str>, Vec<Arc<Endpoint>>> = HashMap::new();
        let mut ready = 0_usize;
        for described in list.endpoints.iter().cloned() {
            let is_ready = described.state == EndpointState::Ready;
            let known = held.by_id.get(&described.id);
            let known = known.filter(|known| known.is_same_start(&described));
            let endpoint = known
                .cloned()
                .unwrap_or_else(|| Arc::new(self.endpoint(described)));
            if is_ready && !endpoint.is_draining() {
                ready += 1;
                let service = endpoint.described.service.clone();
                by_service
                    .entry(service)
                    .or_default()
                    .push(Arc::clone(&endpoint));
            } else if !is_ready {
                endpoint.leaves();
            }
            by_id.insert(endpoint.described.id.clone(), endpoint);
        }
        let addresses: HashSet<SocketAddr> = by_id
            .values()
            .map(|endpoint| endpoint.described.address)
            .collect();
        for (id, endpoint) in &held.by_id {
            match by_id.get(id) {
                None if addresses.contains(&endpoint.described.address) => {
                    endpoint.ended(Evidence::Replaced);
                    endpoint.drain();
                }
                None => endpoint.leaves(),
                Some(next) if !Arc::ptr_eq(next, endpoint) => endpoint.started_again(),
                Some(_same) => {}
            }
        }
        info!(
            Part::Gateway,
            "The endpoints have changed.",
            version = list.version,
            before = held.endpoints_version(),
            listed = by_id.len(),
            ready = ready
        );
        self.current.store(Arc::new(Fleet {
            lookup: held.lookup.clone(),
            list: Some(Arc::new(list)),
            by_id,
            by_service,
        }));
    }
}
