//! Remembers which software version of a service began a stream.
//!
//! The outputs of two software versions don't fit together, so a stream may only continue at the version that
//! began it. Its caller names the attempt that brought the first event, and may do so at any gateway.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hinge_schema::routing::StreamsBegun;
use sha2::{Digest, Sha256};

/// Time for which an origin is kept if its stream can't last longer.
const KEEP_FOR: Duration = Duration::from_mins(1);

/// Maximum number of origins; streams beyond it can't be taken up elsewhere.
const MAX_KEPT: usize = 131_072;

/// Interval at which the origins that have been kept for long enough are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// The key of a stream: a hash of its team and of the request id that brought its first event.
///
/// The team is part of it so that a caller can't take up, or make ambiguous, a stream of another team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of a stream; `team` is `None` on a route without keys.
    #[must_use]
    pub fn of(team: Option<&str>, request_id: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update([u8::from(team.is_some())]);
        let team = team.unwrap_or_default();
        hash.update((team.len() as u64).to_be_bytes());
        hash.update(team);
        hash.update(request_id);
        let digest = hash.finalize();
        let mut key = [0; size_of::<u64>()];
        key.copy_from_slice(&digest[..size_of::<u64>()]);
        Self(u64::from_be_bytes(key))
    }
}

impl From<u64> for StreamKey {
    fn from(key: u64) -> Self {
        Self(key)
    }
}

impl From<StreamKey> for u64 {
    fn from(key: StreamKey) -> Self {
        key.0
    }
}

/// The service and the software version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamOrigin {
    /// Name of the service.
    pub service: Box<str>,
    /// Software version of the endpoint.
    pub software_version: Box<str>,
}

/// What is known of where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Known {
    /// It began here.
    At(Arc<StreamOrigin>),
    /// Two origins were recorded, so its request id was used twice.
    Ambiguous,
    /// Nothing was recorded.
    Nothing,
}

#[derive(Debug)]
struct Entry {
    /// `None` marks a stream with two recorded origins.
    origin: Option<Arc<StreamOrigin>>,
    ends_at: Duration,
}

/// The origins of recent streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    entries: HashMap<StreamKey, Entry>,
    swept_at: Duration,
}

impl StreamOrigins {
    /// Records where a stream began, and returns whether this was not known.
    pub fn record(&mut self, now: Duration, stream: StreamKey, origin: &Arc<StreamOrigin>) -> bool {
        self.record_for(now, KEEP_FOR, stream, origin)
    }

    /// Records where a stream began, to be kept for a time, and returns whether this was not known.
    pub fn record_for(
        &mut self,
        now: Duration,
        keep_for: Duration,
        stream: StreamKey,
        origin: &Arc<StreamOrigin>,
    ) -> bool {
        self.sweep(now);
        let ends_at = now + keep_for;
        if let Some(entry) = self.entries.get_mut(&stream)
            && now < entry.ends_at
        {
            entry.ends_at = entry.ends_at.max(ends_at);
            entry.origin.take_if(|known| *known != *origin);
            return false;
        }
        if self.entries.len() < MAX_KEPT || self.entries.contains_key(&stream) {
            let origin = Some(Arc::clone(origin));
            self.entries.insert(stream, Entry { origin, ends_at });
        }
        true
    }

    /// Returns where a stream began, as far as is known.
    #[must_use]
    pub fn find(&self, now: Duration, stream: StreamKey) -> Known {
        match self.entry(now, stream).map(|entry| &entry.origin) {
            Some(Some(origin)) => Known::At(Arc::clone(origin)),
            Some(None) => Known::Ambiguous,
            None => Known::Nothing,
        }
    }

    /// Records the origins that another process sent.
    pub fn record_begun(&mut self, now: Duration, begun: &[StreamsBegun]) {
        for begun in begun {
            let origin = Arc::new(StreamOrigin {
                service: begun.service.clone(),
                software_version: begun.software_version.clone(),
            });
            let keep_for = begun.keep_ms.map_or(KEEP_FOR, Duration::from_millis);
            for stream in &begun.streams {
                self.record_for(now, keep_for, StreamKey::from(*stream), &origin);
            }
        }
    }

    /// Returns the origins of those streams whose origin is known, each with its streams.
    ///
    /// The time for which to keep them is rounded down, so that it ends also for origins that are passed on again and again.
    pub fn begun_of(
        &self,
        now: Duration,
        streams: impl IntoIterator<Item = StreamKey>,
    ) -> Vec<StreamsBegun> {
        let mut grouped: BTreeMap<(&StreamOrigin, u64), Vec<u64>> = BTreeMap::new();
        for stream in streams {
            let entry = self.entry(now, stream);
            if let Some(entry) = entry
                && let Some(origin) = &entry.origin
            {
                let keep_s = entry.ends_at.saturating_sub(now).as_secs();
                let group = grouped.entry((origin, keep_s)).or_default();
                group.push(stream.into());
            }
        }
        let begun = grouped
            .into_iter()
            .map(|((origin, keep_s), streams)| StreamsBegun {
                service: origin.service.clone(),
                software_version: origin.software_version.clone(),
                streams,
                keep_ms: Some(keep_s * 1_000),
            });
        begun.collect()
    }

    /// Returns the streams with one known origin.
    pub fn streams(&self, now: Duration) -> impl Iterator<Item = StreamKey> {
        let known = self.entries.iter();
        let known = known.filter(move |(_, entry)| entry.origin.is_some() && now < entry.ends_at);
        known.map(|(stream, _)| *stream)
    }

    fn entry(&self, now: Duration, stream: StreamKey) -> Option<&Entry> {
        let entry = self.entries.get(&stream);
        entry.filter(|entry| now < entry.ends_at)
    }

    /// Drops the origins that have been kept for long enough.
    fn sweep(&mut self, now: Duration) {
        if now >= self.swept_at + SWEEP_INTERVAL {
            self.swept_at = now;
            self.entries.retain(|_, entry| now < entry.ends_at);
        }
    }
}
