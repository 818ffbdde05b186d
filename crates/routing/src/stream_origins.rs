//! Remembers which software version of a service began a stream.
//!
//! The outputs of two software versions don't fit together, so a stream may only continue at the version that
//! began it. Its caller names the attempt that brought the first event, and may do so at any gateway.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hinge_schema::routing::StreamsBegun;
use sha2::{Digest, Sha256};

/// Minimum time for which an origin is kept; callers give a stream up before.
const KEEP_FOR: Duration = Duration::from_secs(30);

/// Maximum number of origins recorded within [`KEEP_FOR`]; streams beyond it can't be taken up elsewhere.
const MAX_RECENT: usize = 65_536;

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

/// Groups streams by their origins, each of which is then sent once.
pub fn by_origin(
    streams: impl IntoIterator<Item = (StreamKey, Arc<StreamOrigin>)>,
) -> Vec<StreamsBegun> {
    let mut grouped: BTreeMap<Arc<StreamOrigin>, Vec<u64>> = BTreeMap::new();
    for (stream, origin) in streams {
        grouped.entry(origin).or_default().push(stream.into());
    }
    let begun = grouped.into_iter().map(|(origin, streams)| StreamsBegun {
        service: origin.service.clone(),
        software_version: origin.software_version.clone(),
        streams,
    });
    begun.collect()
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

/// The origins of recent streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// `None` marks a stream with two recorded origins.
    recent: HashMap<StreamKey, Option<Arc<StreamOrigin>>>,
    /// Origins recorded before the last rotation.
    older: HashMap<StreamKey, Option<Arc<StreamOrigin>>>,
    rotated_at: Duration,
}

impl StreamOrigins {
    /// Records where a stream began, and returns whether this was not known.
    pub fn record(&mut self, now: Duration, stream: StreamKey, origin: &Arc<StreamOrigin>) -> bool {
        self.rotate(now);
        let known = self.find(now, stream);
        let next = match &known {
            Known::At(known) if known == origin => Some(Arc::clone(known)),
            Known::Nothing => Some(Arc::clone(origin)),
            Known::At(_) | Known::Ambiguous => None,
        };
        if self.recent.len() < MAX_RECENT || self.recent.contains_key(&stream) {
            self.recent.insert(stream, next);
        }
        known == Known::Nothing
    }

    /// Returns where a stream began, as far as is known.
    #[must_use]
    pub fn find(&self, now: Duration, stream: StreamKey) -> Known {
        let generations = [(&self.recent, KEEP_FOR * 2), (&self.older, KEEP_FOR)];
        let mut found = generations.iter().filter_map(|(generation, kept_for)| {
            let is_kept = now < self.rotated_at + *kept_for;
            generation.get(&stream).filter(|_| is_kept)
        });
        match found.next() {
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
            for stream in &begun.streams {
                self.record(now, StreamKey::from(*stream), &origin);
            }
        }
    }

    /// Returns the origins of those streams whose origin is known.
    #[must_use]
    pub fn begun_of(&self, now: Duration, streams: &[u64]) -> Vec<StreamsBegun> {
        let known = streams.iter().filter_map(|stream| {
            let stream = StreamKey::from(*stream);
            match self.find(now, stream) {
                Known::At(origin) => Some((stream, origin)),
                Known::Ambiguous | Known::Nothing => None,
            }
        });
        by_origin(known)
    }

    /// Drops the origins that have been kept for long enough.
    fn rotate(&mut self, now: Duration) {
        if now < self.rotated_at + KEEP_FOR {
            return;
        }
        let is_outdated = now >= self.rotated_at + KEEP_FOR * 2;
        let recent = std::mem::take(&mut self.recent);
        self.older = if is_outdated { HashMap::new() } else { recent };
        self.rotated_at = now;
    }
}
