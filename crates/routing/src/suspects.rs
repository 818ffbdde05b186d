//! Tells a request that crashes endpoints from those that only ran beside it.
//!
//! A poison request crashes each endpoint that runs it, and its caller sends it again and again, to any
//! gateway. Each crash breaks off tens of other requests, and streams among them that are resumed elsewhere
//! may meet the next crash. A request is held (not sent to endpoints any more) after three crashes without a
//! completion between them: a request that only ran beside the poison one completes sooner or later.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use hinge_schema::messages::SuspectRecord;
use hinge_schema::routing::{Suspect as SuspectEntry, SuspectList};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::cached_prefixes::IncarnationHash;
use crate::request_key::RequestKey;

/// Crashes without a completion between them after which a request is held.
const CRASHES_TO_HOLD: usize = 3;

/// Crashes kept for one request, the most recent ones.
const MAX_CRASHES: usize = 16;

/// Highest number of requests kept, which take 300 KB; those with the fewest crashes are evicted first, then
/// the oldest.
const MAX_SUSPECTS: usize = 4_096;

/// Requests evicted at once to make room for another one.
const EVICTED_AT_ONCE: usize = MAX_SUSPECTS / 8;

/// The crashes of endpoints that were running one request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    /// Incarnations of endpoints that crashed while they ran the request; none once it has completed or was
    /// released.
    #[serde(rename = "ends")]
    crashes: SmallVec<[IncarnationHash; CRASHES_TO_HOLD]>,
    /// Version of the list in which this changed last.
    #[serde(rename = "changed")]
    changed_version: u64,
}

/// The requests that were running when endpoints crashed.
///
/// Control keeps this list in the replicated log. Each gateway follows it, and adds at once what it has seen
/// itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    known: BTreeMap<RequestKey, Suspect>,
    held: BTreeSet<RequestKey>,
    version: u64,
}

impl Suspects {
    /// Returns the version of the list, or 0 if it was never changed.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self
            .known
            .values()
            .any(|suspect| !suspect.crashes.is_empty())
    }

    /// Returns the number of crashes that count against a request.
    #[must_use]
    pub fn crash_count(&self, request: &RequestKey) -> usize {
        self.known
            .get(request)
            .map_or(0, |suspect| suspect.crashes.len())
    }

    /// Returns at most `limit` suspected requests, those with the most crashes first.
    #[must_use]
    pub fn records(&self, limit: usize) -> Vec<SuspectRecord> {
        let suspected = self.known.iter();
        let suspected = suspected.filter(|(_, suspect)| !suspect.crashes.is_empty());
        let mut records: Vec<SuspectRecord> = suspected
            .map(|(request, suspect)| SuspectRecord {
                request: request.to_string().into(),
                ends: u32::try_from(suspect.crashes.len()).unwrap_or(u32::MAX),
                held: self.is_held(request),
            })
            .collect();
        records.sort_by_key(|record| Reverse(record.ends));
        records.truncate(limit);
        records
    }

    /// Returns whether a crash already counts against a request.
    #[must_use]
    pub fn has_crash(&self, request: &RequestKey, endpoint: IncarnationHash) -> bool {
        let known = self.known.get(request);
        known.is_some_and(|suspect| suspect.crashes.contains(&endpoint))
    }

    /// Returns whether a request is held.
    #[must_use]
    pub fn is_held(&self, request: &RequestKey) -> bool {
        self.held.contains(request)
    }

    /// Returns the held requests.
    #[must_use]
    pub fn held(&self) -> &BTreeSet<RequestKey> {
        &self.held
    }

    /// Returns the held request that changed last.
    #[must_use]
    pub fn newest_held(&self) -> Option<RequestKey> {
        let held = self.held.iter();
        held.max_by_key(|request| {
            self.known
                .get(request)
                .map(|suspect| suspect.changed_version)
        })
        .copied()
    }

    /// Records crashes and completions as a version of the list; a crash that is already known is not counted
    /// again.
    pub fn record(
        &mut self,
        version: u64,
        ends: &[(RequestKey, IncarnationHash)],
        completed: &[RequestKey],
    ) {
        for (request, endpoint) in ends {
            self.record_crash(version, *request, *endpoint);
        }
        for request in completed {
            self.clear(version, request);
        }
        self.update_held();
    }

    /// Returns the changes after a version, or `None` if there are none.
    #[must_use]
    pub fn changes_since(&self, version: u64) -> Option<SuspectList> {
        let changed = self.known.iter();
        let changed = changed.filter(|(_, suspect)| suspect.changed_version > version);
        let suspects = changed.map(|(request, suspect)| SuspectEntry {
            request: request.to_string().into(),
            ends: suspect.crashes.to_vec(),
        });
        (self.version > version).then(|| SuspectList {
            version: self.version,
            suspects: suspects.collect(),
        })
    }

    /// Applies the changes of another process, from [`Self::changes_since`]; entries with invalid keys are
    /// ignored.
    pub fn apply(&mut self, list: &SuspectList) {
        for entry in &list.suspects {
            let Ok(request) = entry.request.parse() else {
                continue;
            };
            self.make_room(&request);
            let suspect = Suspect {
                crashes: entry.ends.iter().copied().collect(),
                changed_version: list.version,
            };
            self.known.insert(request, suspect);
        }
        self.version = self.version.max(list.version);
        self.update_held();
    }

    fn record_crash(&mut self, version: u64, request: RequestKey, endpoint: IncarnationHash) {
        self.make_room(&request);
        let suspect = self.known.entry(request).or_default();
        if suspect.crashes.contains(&endpoint) {
            return;
        }
        if suspect.crashes.len() >= MAX_CRASHES {
            suspect.crashes.remove(0);
        }
        suspect.crashes.push(endpoint);
        suspect.changed_version = version;
        self.version = self.version.max(version);
    }

    fn clear(&mut self, version: u64, request: &RequestKey) {
        let known = self.known.get_mut(request);
        if let Some(suspect) = known.filter(|suspect| !suspect.crashes.is_empty()) {
            suspect.crashes.clear();
            suspect.changed_version = version;
            self.version = self.version.max(version);
        }
    }

    /// Evicts the least suspected requests if there is no room for another one.
    fn make_room(&mut self, request: &RequestKey) {
        if self.known.len() < MAX_SUSPECTS || self.known.contains_key(request) {
            return;
        }
        let mut order: Vec<_> = self.known.iter().collect();
        order.sort_by_key(|(request, suspect)| {
            let is_held = self.held.contains(*request);
            (is_held, suspect.crashes.len(), suspect.changed_version)
        });
        let least = order.into_iter().take(EVICTED_AT_ONCE);
        let least: Vec<RequestKey> = least.map(|(request, _)| *request).collect();
        for request in least {
            self.known.remove(&request);
        }
    }

    /// Holds the requests with enough crashes; one that has completed since has none.
    fn update_held(&mut self) {
        let known = self.known.iter();
        let to_hold = known.filter(|(_, suspect)| suspect.crashes.len() >= CRASHES_TO_HOLD);
        self.held = to_hold.map(|(request, _)| *request).collect();
    }
}
