//! Tells a request or a prompt part that crashes endpoints from those that only ran beside it.
//!
//! A poison request crashes each endpoint that runs it, and its caller sends it again and again, to any
//! gateway. Each crash breaks off tens of other requests, and streams among them that are resumed elsewhere
//! may meet the next crash. A request is held (not sent to endpoints any more) after three crashes without a
//! completion between them: a request that only ran beside the poison one completes sooner or later.
//!
//! A poison prompt part does the same in requests that have nothing else in common. What counts against a part is
//! decided by [`crate::PartEvidence`]; a part that was sound before is not held for crashes that a held part which was
//! not explains. Since a held part stops all requests that have it, one of them at a time is
//! tried until the part has as many crashes as the fleet may spend on it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashSet};

use hinge_schema::messages::SuspectRecord;
use hinge_schema::routing::{Suspect as SuspectEntry, SuspectList};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::cached_prefixes::IncarnationHash;
use crate::request_key::RequestKey;

/// Crashes without a completion between them after which a request is held.
const CRASHES_TO_HOLD: usize = 3;

/// Crashes that are spent on a prompt part: once it has as many, it is not tried any more.
const MAX_PART_CRASHES: usize = 5;

/// Further crashes that are spent on a part which was sound before, or of which another held part has all crashes: parts
/// of sound requests have as many as a poison part if all endpoints crash at once.
const MAX_TRIAL_CRASHES: u32 = 3;

/// Minimum time between two trials of a prompt part, in milliseconds; it grows fourfold with each crash of a trial.
const TRIAL_INTERVAL_MS: u64 = 2_000;

/// Minimum time between two trials of any parts, in milliseconds, so that they hardly meet at one endpoint.
const ANY_TRIAL_INTERVAL_MS: u64 = 250;

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
    /// When the last trial was granted, in Unix milliseconds; missing in records of versions before trials.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    trial_unix_ms: Option<u64>,
    /// Whether answers on the prompt part went on before; missing in records of versions before trials.
    #[serde(default)]
    was_sound: bool,
    /// Crashes since the first trial; missing in records of versions before trials.
    #[serde(default)]
    trial_crashes: u32,
}

impl Suspect {
    /// Returns the minimum time between its last trial and the next one.
    fn trial_interval_ms(&self) -> u64 {
        TRIAL_INTERVAL_MS << (2 * self.trial_crashes.min(MAX_TRIAL_CRASHES))
    }
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
    /// When the last trial of any part was granted, in Unix milliseconds; missing in lists of versions before trials.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    trial_unix_ms: Option<u64>,
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
                part: request.part().map(|part| format!("{part:x}").into()),
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

    /// Returns whether a held prompt part may still be tried.
    #[must_use]
    pub fn may_be_tried(&self, part: &RequestKey) -> bool {
        let known = self.known.get(part);
        let known = known.filter(|_| part.part().is_some() && self.is_held(part));
        known.is_some_and(|suspect| {
            suspect.crashes.len() < MAX_PART_CRASHES
                || suspect.trial_crashes < MAX_TRIAL_CRASHES
                    && (suspect.was_sound || self.is_explained(part, suspect))
        })
    }

    /// Returns whether another held part has all crashes of this one, so that this one may be sound.
    fn is_explained(&self, part: &RequestKey, suspect: &Suspect) -> bool {
        let others = self
            .held
            .iter()
            .filter(|other| *other != part && other.part().is_some());
        let mut others = others.filter_map(|other| self.known.get(other));
        let crashes = &suspect.crashes;
        others.any(|other| crashes.iter().all(|crash| other.crashes.contains(crash)))
    }

    /// Returns whether a trial of a request with these held prompt parts can be granted.
    ///
    /// It can't while an earlier trial of one of them may still be running.
    #[must_use]
    pub fn can_grant_trial(&self, parts: &[RequestKey], now_unix_ms: u64) -> bool {
        let is_past = |granted: Option<u64>, interval_ms| {
            granted.is_none_or(|granted| granted.abs_diff(now_unix_ms) >= interval_ms)
        };
        let is_due = |part| {
            let suspect = self.known.get(part);
            suspect
                .is_some_and(|suspect| is_past(suspect.trial_unix_ms, suspect.trial_interval_ms()))
        };
        !parts.is_empty()
            && is_past(self.trial_unix_ms, ANY_TRIAL_INTERVAL_MS)
            && parts
                .iter()
                .all(|part| self.may_be_tried(part) && is_due(part))
    }

    /// Grants a trial if [`Self::can_grant_trial`] allows it, and returns whether it did.
    pub fn grant_trial(&mut self, parts: &[RequestKey], now_unix_ms: u64) -> bool {
        if !self.can_grant_trial(parts, now_unix_ms) {
            return false;
        }
        for part in parts {
            self.known.entry(*part).or_default().trial_unix_ms = Some(now_unix_ms);
        }
        self.trial_unix_ms = Some(now_unix_ms);
        true
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

    /// Returns whether answers on a suspected prompt part are known to have gone on before.
    #[must_use]
    pub fn was_sound(&self, part: &RequestKey) -> bool {
        self.known
            .get(part)
            .is_some_and(|suspect| suspect.was_sound)
    }

    /// Records, as a version of the list, prompt parts on which answers went on before.
    pub fn record_sound(&mut self, version: u64, parts: &[RequestKey]) {
        for part in parts {
            self.make_room(part);
            let suspect = self.known.entry(*part).or_default();
            if !suspect.was_sound {
                suspect.was_sound = true;
                suspect.changed_version = version;
                self.version = self.version.max(version);
            }
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
            was_sound: suspect.was_sound.then_some(true),
            trial_ends: (suspect.trial_crashes > 0).then_some(suspect.trial_crashes),
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
                was_sound: entry.was_sound.unwrap_or_default(),
                trial_unix_ms: None,
                trial_crashes: entry.trial_ends.unwrap_or_default(),
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
        suspect.trial_crashes += u32::from(suspect.trial_unix_ms.is_some());
        suspect.changed_version = version;
        self.version = self.version.max(version);
    }

    fn clear(&mut self, version: u64, request: &RequestKey) {
        let known = self.known.get_mut(request);
        if let Some(suspect) = known.filter(|suspect| !suspect.crashes.is_empty()) {
            *suspect = Suspect {
                was_sound: request.part().is_some(),
                ..Suspect::default()
            };
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

    /// Holds the requests and parts with enough crashes; one that has completed since has none.
    ///
    /// A poison part that no sound request has is in the same requests as parts that were sound before. If it is held, it
    /// explains their crashes as well.
    fn update_held(&mut self) {
        let new_parts = self.known.iter().filter(|(key, suspect)| {
            key.part().is_some() && !suspect.was_sound && suspect.crashes.len() >= CRASHES_TO_HOLD
        });
        let explained: HashSet<IncarnationHash> = new_parts
            .flat_map(|(_, suspect)| suspect.crashes.iter().copied())
            .collect();
        let to_hold = self.known.iter().filter(|(_, suspect)| {
            let counted = suspect.crashes.iter();
            let counted = counted.filter(|crash| !suspect.was_sound || !explained.contains(*crash));
            counted.count() >= CRASHES_TO_HOLD
        });
        self.held = to_hold.map(|(request, _)| *request).collect();
    }
}
