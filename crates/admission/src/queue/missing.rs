//! Finds out which granted requests the engine no longer runs.

use std::time::Duration;

use super::AdmissionQueue;
use crate::cache::PrefixCache;
use crate::request::SlotRequestId;

/// Time for which a request must be missing from the engine's reports before its slot is released. Its last bytes and
/// the notice of its end take milliseconds to arrive.
const RELEASE_MISSING_AFTER: Duration = Duration::from_millis(300);

/// Time after which a missing request counts as lost; a lost packet is retransmitted within a second.
const LOST_AFTER: Duration = Duration::from_millis(900);

/// What the engine's reports have shown of the absence of one request.
#[derive(Debug, Default)]
pub(super) struct Absence {
    /// Time since which the reports don't list it.
    since: Option<Duration>,
    /// Whether a report has listed it, which shows that it reached the engine.
    was_listed: bool,
    /// Whether its loss was recorded, which the gateway needs to hear once.
    is_lost: bool,
}

impl AdmissionQueue {
    /// Drops the state of the previous engine process once a report comes from a new one.
    ///
    /// An engine can end under load and restart under the same name before anyone notices. The new process runs
    /// nothing and has an empty cache, while the queue would still count all its slots as taken and every known
    /// prefix as cached.
    pub(super) fn detect_restart(&mut self, now: Duration, started_unix_ms: Option<u64>) {
        let Some(started_unix_ms) = started_unix_ms else {
            return;
        };
        let previous = self.engine_started_unix_ms.replace(started_unix_ms);
        if previous.is_none_or(|previous| previous == started_unix_ms) {
            return;
        }
        self.engine_restarted = true;
        self.warm_up.record_start(now);
        self.cache = PrefixCache::new(self.limits.kv_tokens);
        for (id, running) in &mut self.running {
            if !running.is_released {
                running.is_released = true;
                self.released_count += 1;
                self.unread_tokens -= std::mem::take(&mut running.unread_tokens);
                self.running_kv_tokens -= running.kv_tokens;
            }
            if !std::mem::replace(&mut running.absence.is_lost, true) {
                self.lost.push((*id, Duration::ZERO));
            }
        }
        self.prefill_rate.record(now, 0, false);
        self.pace.restarted();
    }

    /// Excludes a silence that ends now from the time for which requests are missing.
    ///
    /// An engine that is too slow to report may not have read a request yet. One that a report has listed did arrive,
    /// so it stays missing.
    pub(super) fn discount_silence(&mut self, now: Duration) {
        self.reported_at = now;
        let Some(silent_since) = self.silent_since.take() else {
            return;
        };
        let silence = now.saturating_sub(silent_since);
        let unseen = self.running.values_mut();
        let unseen = unseen.filter(|running| !running.absence.was_listed && !running.has_begun);
        for since in unseen.filter_map(|running| running.absence.since.as_mut()) {
            *since += silence;
        }
    }

    /// Releases the slots of requests that the engine no longer runs although no gateway reported their end.
    ///
    /// An endpoint may lose the answers or drop requests silently. The gateways then wait until the deadline, and
    /// without a release the slots would stay taken on an idle engine.
    pub(super) fn release_missing(&mut self, now: Duration, is_listed: impl Fn(&str) -> bool) {
        for (id, running) in &mut self.running {
            if is_listed(&running.request.request_id) {
                running.absence.since = None;
                running.absence.was_listed = true;
                continue;
            }
            let since = *running.absence.since.get_or_insert(now);
            let is_missing = now >= since.max(running.granted_at) + RELEASE_MISSING_AFTER;
            if is_missing && !running.is_released {
                running.is_released = true;
                self.pace.removed(*id);
                self.released_count += 1;
                self.unread_tokens -= std::mem::take(&mut running.unread_tokens);
                self.running_kv_tokens -= running.kv_tokens;
            }
            if now >= since + LOST_AFTER && !std::mem::replace(&mut running.absence.is_lost, true) {
                self.lost.push((*id, now.saturating_sub(since)));
            }
        }
    }

    /// Takes the requests that are certainly lost, each with the time for which it has been missing.
    pub fn take_lost(&mut self) -> Vec<(SlotRequestId, Duration)> {
        std::mem::take(&mut self.lost)
    }
}
