//! Tells a request that ends endpoints from those that were only in its company.
//!
//! The load pattern: a request ends each endpoint that begins to run it, and its caller brings it again and again, at any gateway.
//! Each end takes tens of other requests with it, and streams among them that go on elsewhere may meet the next one. A request is
//! held after three ends without a completion between them: who was only in company completes sooner or later.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use hinge_schema::messages::SuspectRecord;
use hinge_schema::routing::{Suspect as Described, SuspectList};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::cached_prefixes::IncarnationHash;
use crate::request_key::RequestKey;

/// Ends without a completion between them, after which a request is held.
const ENDS_TO_HOLD: usize = 3;

/// Ends of one request that are kept, the newest ones.
const MOST_ENDS: usize = 16;

/// Requests that are kept, 300 KB of them; those with the fewest ends go first, then the oldest.
const MOST_KNOWN: usize = 4_096;

/// Requests that are forgotten where there is no room for another one.
const FORGOTTEN_AT_ONCE: usize = MOST_KNOWN / 8;

/// Holds the ends under one request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    /// Starts of endpoints that ended while they worked on it; none once it is cleared.
    ends: SmallVec<[IncarnationHash; ENDS_TO_HOLD]>,
    /// Version of the list in which this changed last.
    changed: u64,
}

/// Holds the requests under which endpoints have ended.
///
/// Control keeps one in the replicated log; each gateway follows it, and adds what it has seen itself at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    known: BTreeMap<RequestKey, Suspect>,
    held: BTreeSet<RequestKey>,
    version: u64,
}

impl Suspects {
    /// Returns the version of the list; 0 for one that was never changed.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.known.values().any(|suspect| !suspect.ends.is_empty())
    }

    /// Returns the number of ends that count against a request.
    #[must_use]
    pub fn crash_count(&self, request: &RequestKey) -> usize {
        self.known
            .get(request)
            .map_or(0, |suspect| suspect.ends.len())
    }

    /// Describes the requests that ends count against, those with the most first, at most so many.
    #[must_use]
    pub fn records(&self, most: usize) -> Vec<SuspectRecord> {
        let suspected = self.known.iter();
        let suspected = suspected.filter(|(_, suspect)| !suspect.ends.is_empty());
        let mut records: Vec<SuspectRecord> = suspected
            .map(|(request, suspect)| SuspectRecord {
                request: request.to_string().into(),
                ends: u32::try_from(suspect.ends.len()).unwrap_or(u32::MAX),
                held: self.is_held(request),
            })
            .collect();
        records.sort_by_key(|record| Reverse(record.ends));
        records.truncate(most);
        records
    }

    /// Returns whether an end already counts against a request.
    #[must_use]
    pub fn has_crash(&self, request: &RequestKey, endpoint: IncarnationHash) -> bool {
        let known = self.known.get(request);
        known.is_some_and(|suspect| suspect.ends.contains(&endpoint))
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

    /// Returns the held request that has changed last.
    #[must_use]
    pub fn newest_held(&self) -> Option<RequestKey> {
        let held = self.held.iter();
        held.max_by_key(|request| self.known.get(request).map(|suspect| suspect.changed))
            .copied()
    }

    /// Takes in ends and completions as a version of the list; ends that are known already count once.
    pub fn record(
        &mut self,
        version: u64,
        ends: &[(RequestKey, IncarnationHash)],
        completed: &[RequestKey],
    ) {
        for (request, endpoint) in ends {
            self.note_end(version, *request, *endpoint);
        }
        for request in completed {
            self.clear(version, request);
        }
        self.judge();
    }

    /// Returns what has changed after a version, if anything has.
    #[must_use]
    pub fn changes_since(&self, version: u64) -> Option<SuspectList> {
        let changed = self.known.iter();
        let changed = changed.filter(|(_, suspect)| suspect.changed > version);
        let suspects = changed.map(|(request, suspect)| Described {
            request: request.to_string().into(),
            ends: suspect.ends.to_vec(),
        });
        (self.version > version).then(|| SuspectList {
            version: self.version,
            suspects: suspects.collect(),
        })
    }

    /// Takes in what another process told with [`Self::newer_than`]; keys that can't be read name no request.
    pub fn apply(&mut self, list: &SuspectList) {
        for told in &list.suspects {
            let Ok(request) = told.request.parse() else {
                continue;
            };
            self.make_room(&request);
            let suspect = Suspect {
                ends: told.ends.iter().copied().collect(),
                changed: list.version,
            };
            self.known.insert(request, suspect);
        }
        self.version = self.version.max(list.version);
        self.judge();
    }

    fn note_end(&mut self, version: u64, request: RequestKey, endpoint: IncarnationHash) {
        self.make_room(&request);
        let suspect = self.known.entry(request).or_default();
        if suspect.ends.contains(&endpoint) {
            return;
        }
        if suspect.ends.len() >= MOST_ENDS {
            suspect.ends.remove(0);
        }
        suspect.ends.push(endpoint);
        suspect.changed = version;
        self.version = self.version.max(version);
    }

    fn clear(&mut self, version: u64, request: &RequestKey) {
        let known = self.known.get_mut(request);
        if let Some(suspect) = known.filter(|suspect| !suspect.ends.is_empty()) {
            suspect.ends.clear();
            suspect.changed = version;
            self.version = self.version.max(version);
        }
    }

    /// Forgets the requests that say least if there is no room for another one.
    fn make_room(&mut self, request: &RequestKey) {
        if self.known.len() < MOST_KNOWN || self.known.contains_key(request) {
            return;
        }
        let mut order: Vec<_> = self.known.iter().collect();
        order.sort_by_key(|(request, suspect)| {
            let is_held = self.held.contains(*request);
            (is_held, suspect.ends.len(), suspect.changed)
        });
        let least = order.into_iter().take(FORGOTTEN_AT_ONCE);
        let least: Vec<RequestKey> = least.map(|(request, _)| *request).collect();
        for request in least {
            self.known.remove(&request);
        }
    }

    /// Holds whoever has enough ends; a request that has completed since has none.
    fn judge(&mut self) {
        let known = self.known.iter();
        let guilty = known.filter(|(_, suspect)| suspect.ends.len() >= ENDS_TO_HOLD);
        self.held = guilty.map(|(request, _)| *request).collect();
    }
}
