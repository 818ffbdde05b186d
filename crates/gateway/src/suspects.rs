//! Tracks requests during which endpoints end, and rejects a request under which several endpoints have ended, or whose prompt has a
//! part under which several have.
//!
//! Control keeps the list. What this gateway observes is reported to control, and takes effect here at once.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_clock::BootInstant;
use hinge_routing::{AnswerProgress, PartEvidence, RequestKey, Suspects as SuspectTable};
use hinge_schema::routing::SuspectList;
use hinge_telemetry::log::Component;
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::{info, warn};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use smallvec::SmallVec;

use crate::attempt::{OutgoingRequest, part_ids};
use crate::endpoint::Endpoint;
use crate::part_trials::{PartTrials, TrialParts};
use crate::suspect_reports::PendingReports;

/// Time for which a part is held before it is tried: by then answers that began before have spoken for it.
const TRIAL_DELAY: Duration = Duration::from_secs(1);

/// A request whose answer broke off, or ended without proof that it was whole.
#[derive(Debug, Clone)]
pub(crate) struct BrokenRequest {
    pub(crate) key: RequestKey,
    /// Id of the caller's attempt.
    pub(crate) request_id: Box<str>,
    /// Ids of the prompt's parts, without the last one.
    pub(crate) shared_parts: SmallVec<[u64; 3]>,
    /// How far the answer had come; `None` if no whole chunk had arrived.
    pub(crate) progress: Option<AnswerProgress>,
}

/// The evidence that an endpoint has ended; a broken connection alone proves nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// The admission beside it reports that nothing listens at its address.
    AdmissionReport,
    /// A new connection is refused.
    ConnectionRefused,
    /// Another endpoint, or another incarnation of it, listens at its address.
    Replaced,
    /// Its end was known when the answer broke off.
    KnownBefore,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::AdmissionReport => "admission",
            Self::ConnectionRefused => "connection_refused",
            Self::Replaced => "replaced",
            Self::KnownBefore => "known_before",
        })
    }
}

/// Whether a request may be sent to endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Verdict {
    Allowed,
    /// The whole request is held, or these parts of its prompt.
    Held(SmallVec<[u64; 3]>),
    /// Parts of its prompt are held, and control may let it through as a trial.
    MayTry(TrialParts),
}

/// What this gateway knows of suspected requests and prompt parts.
#[derive(Debug, Default)]
struct State {
    table: SuspectTable,
    evidence: PartEvidence,
    held_since: HashMap<RequestKey, BootInstant>,
}

/// The requests and prompt parts during which endpoints have ended.
#[derive(Debug)]
pub(crate) struct Suspects {
    state: Mutex<State>,
    /// Whether any request or part is suspected, and whether any is held; if none is, no request key has to be computed.
    has_any: AtomicBool,
    has_held: AtomicBool,
    /// Observations that control has not acknowledged yet.
    pub(crate) pending_reports: PendingReports,
    pub(crate) trials: PartTrials,
    began: BootInstant,
    ends: Counter,
    rejections: Counter,
    part_rejections: Counter,
    held: Gauge,
    held_parts: Gauge,
}

impl Suspects {
    pub(crate) fn register(registry: &Registry) -> Self {
        Self {
            state: Mutex::default(),
            has_any: AtomicBool::new(false),
            has_held: AtomicBool::new(false),
            pending_reports: PendingReports::default(),
            trials: PartTrials::register(registry),
            began: BootInstant::now(),
            ends: registry.counter(
                "gateway_ended_under",
                "Requests whose endpoint ended while it worked on them.",
            ),
            rejections: registry.counter(
                "gateway_turned_away",
                "Requests that were turned away since endpoints ended under them.",
            ),
            part_rejections: registry.counter(
                "gateway_turned_away_for_parts",
                "Requests that were turned away since endpoints ended under a part of their prompt.",
            ),
            held: registry.gauge(
                "gateway_held_requests",
                "Requests that are turned away since endpoints ended under them.",
            ),
            held_parts: registry.gauge(
                "gateway_held_parts",
                "Prompt parts whose requests are turned away since endpoints ended under them.",
            ),
        }
    }

    /// Returns the time that [`AnswerProgress`] is measured in.
    pub(crate) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Records that an endpoint ended while it worked on a request.
    pub(crate) fn record_end(
        &self,
        request: &BrokenRequest,
        endpoint: &Endpoint,
        evidence: Evidence,
    ) {
        self.ends.inc();
        let ended = endpoint.incarnation;
        let mut counted: SmallVec<[RequestKey; 4]> = SmallVec::new();
        counted.push(request.key);
        let mut sound_parts: SmallVec<[RequestKey; 4]> = SmallVec::new();
        let now = self.now();
        let ends = self.update(|state| {
            let may_be_poison = request
                .progress
                .is_none_or(|progress| !progress.has_survived());
            for part in request.shared_parts.iter().filter(|_| may_be_poison) {
                let part = RequestKey::of_part(&endpoint.description.service, *part);
                let is_new = !state.table.has_crash(&part, ended);
                if is_new && !state.evidence.record_suspicion(part, now) {
                    counted.push(part);
                }
            }
            let sound = counted.iter().copied();
            sound_parts = sound.filter(|key| state.evidence.was_sound(key)).collect();
            let version = state.table.version();
            state.table.record_sound(version, &sound_parts);
            let crashes: SmallVec<[_; 4]> = counted.iter().map(|key| (*key, ended)).collect();
            state.table.record(version, &crashes, &[]);
            state.table.crash_count(&request.key)
        });
        for key in &counted {
            self.pending_reports.add_end((*key, ended));
        }
        for part in sound_parts {
            self.pending_reports.add_sound(part);
        }
        let blamed: SmallVec<[u64; 3]> = counted.iter().filter_map(RequestKey::part).collect();
        warn!(
            Component::Gateway,
            "An endpoint ended under a request.",
            id = request.request_id,
            request = request.key,
            parts = part_ids(&request.shared_parts),
            blamed = part_ids(&blamed),
            written_ms = request.progress.map_or_else(
                || "-".to_owned(),
                |progress| progress.steady_for().as_millis().to_string()
            ),
            ends = ends,
            endpoint = endpoint.description.id,
            born_unix_ms = endpoint.description.born_unix_ms.unwrap_or_default(),
            evidence = evidence
        );
    }

    /// Records that an endpoint has completed a request.
    pub(crate) fn record_completed(&self, outgoing: &OutgoingRequest) {
        if self.has_any.load(Ordering::Acquire) {
            self.clear_request(outgoing.key());
        }
    }

    /// Records that an answer that ended without proof was whole.
    pub(crate) fn record_whole(&self, request: &BrokenRequest, endpoint: &Endpoint) {
        self.clear_request(request.key);
        if let Some(progress) = &request.progress {
            let service = &endpoint.description.service;
            self.record_survival(service, &request.shared_parts, progress.began_at());
        }
    }

    fn clear_request(&self, request: RequestKey) {
        if self.lock().table.crash_count(&request) == 0 {
            return;
        }
        self.clear(&[request]);
    }

    /// Records that an answer, which began at this time, has gone on or is whole, so that none of its prompt's parts crashes endpoints.
    pub(crate) fn record_survival(&self, service: &str, parts: &[u64], began_at: Duration) {
        let cleared: SmallVec<[RequestKey; 3]> = {
            let mut state = self.lock();
            let State {
                table, evidence, ..
            } = &mut *state;
            let parts = parts.iter().map(|part| RequestKey::of_part(service, *part));
            parts
                .filter(|part| {
                    evidence.record_survival(*part, began_at) && table.crash_count(part) > 0
                })
                .collect()
        };
        if !cleared.is_empty() {
            self.clear(&cleared);
        }
    }

    /// Clears requests or parts of the crashes that count against them.
    fn clear(&self, cleared: &[RequestKey]) {
        self.update(|state| state.table.record(state.table.version(), &[], cleared));
        for key in cleared {
            self.pending_reports.add_completed(*key);
            if let Some(part) = key.part() {
                info!(
                    Component::Gateway,
                    "A prompt part is cleared of the ends of endpoints.",
                    part = format!("{part:x}")
                );
            }
        }
    }

    /// Returns whether a request may be sent to endpoints of a service.
    pub(crate) fn verdict(&self, outgoing: &OutgoingRequest, service: &str) -> Verdict {
        if !self.has_held.load(Ordering::Acquire) {
            return Verdict::Allowed;
        }
        let state = self.lock();
        if state.table.is_held(&outgoing.key()) {
            return Verdict::Held(SmallVec::new());
        }
        let held: TrialParts = outgoing
            .part_keys(service)
            .into_iter()
            .filter(|part| state.table.is_held(part))
            .collect();
        if held.is_empty() {
            return Verdict::Allowed;
        }
        let may_try = held.iter().all(|part| {
            let held_since = state.held_since.get(part);
            let is_settled = held_since.is_some_and(|since| since.elapsed() >= TRIAL_DELAY);
            // If the answer to a request with several held parts breaks off, all of them are to blame.
            let is_clear = held.len() == 1 || state.table.was_sound(part);
            is_settled && is_clear && state.table.may_be_tried(part)
        });
        if may_try {
            Verdict::MayTry(held)
        } else {
            Verdict::Held(held.iter().filter_map(RequestKey::part).collect())
        }
    }

    /// Counts a request that is rejected because it is held, or because of held parts of its prompt.
    pub(crate) fn record_rejection(&self, has_held_parts: bool) {
        if has_held_parts {
            self.part_rejections.inc();
        } else {
            self.rejections.inc();
        }
    }

    /// Returns the version of control's list that was applied last.
    pub(crate) fn version(&self) -> u64 {
        self.lock().table.version()
    }

    /// Returns the changes since a version, if there are any.
    pub(crate) fn changes_since(&self, version: u64) -> Option<SuspectList> {
        self.lock().table.changes_since(version)
    }

    /// Applies a list from control or from another gateway.
    pub(crate) fn apply(&self, list: &SuspectList) {
        let now = self.now();
        let keys = list.suspects.iter();
        let parts = keys.filter_map(|entry| entry.request.parse::<RequestKey>().ok());
        let parts = parts.filter(|key| key.part().is_some());
        let mut sound: SmallVec<[RequestKey; 4]> = SmallVec::new();
        let cleared: SmallVec<[RequestKey; 4]> = self.update(|state| {
            let known: Vec<(RequestKey, usize)> = parts
                .map(|part| (part, state.table.crash_count(&part)))
                .collect();
            state.table.apply(list);
            let State {
                table, evidence, ..
            } = state;
            let newly_suspected = known
                .into_iter()
                .filter(|(part, before)| table.crash_count(part) > *before)
                .map(|(part, _)| part);
            let mut cleared = SmallVec::new();
            for part in newly_suspected {
                if evidence.record_suspicion(part, now) {
                    cleared.push(part);
                } else if evidence.was_sound(&part) && !table.was_sound(&part) {
                    sound.push(part);
                }
            }
            table.record_sound(table.version(), &sound);
            cleared
        });
        for part in sound {
            self.pending_reports.add_sound(part);
        }
        if !cleared.is_empty() {
            self.clear(&cleared);
        }
    }

    fn update<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        let result = act(&mut state);
        let State {
            table,
            evidence,
            held_since,
        } = &mut *state;
        evidence.retain_suspicions(|part| table.crash_count(part) > 0);
        held_since.retain(|key, _| table.is_held(key));
        for key in table.held() {
            held_since.entry(*key).or_insert_with(BootInstant::now);
        }
        self.has_any.store(!table.is_empty(), Ordering::Release);
        let held = table.held().len();
        self.has_held.store(held > 0, Ordering::Release);
        let held_parts = table.held().iter().filter(|key| key.part().is_some());
        let held_parts = held_parts.count();
        let as_gauge = |count| i64::try_from(count).unwrap_or(i64::MAX);
        let before = (
            self.held.set(as_gauge(held - held_parts)),
            self.held_parts.set(as_gauge(held_parts)),
        );
        if before != (self.held.get(), self.held_parts.get()) {
            warn!(
                Component::Gateway,
                "The held requests have changed.",
                held = held - held_parts,
                held_parts = held_parts,
                version = table.version(),
                newest = table
                    .newest_held()
                    .map_or_else(String::new, |key| key.to_string())
            );
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
