//! Keeps where streams began, and finds it out for streams that began at other gateways.
//!
//! A caller takes a stream up because the gateway that served it has ended or is cut off, so what that gateway knows is
//! copied to another one of its data centre and to one elsewhere. Copies are made after the event has been passed on: a
//! stream whose origin is lost with its gateway is refused and does not continue at a guessed version.
//!
//! When most gateways end together, the copies end with them. The admission beside a model engine keeps the origins of the
//! streams that the engine began as well, on another machine than any gateway.

mod copies;
mod queries;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_admission::FIND_STREAMS_PATH;
use hinge_clock::BootInstant;
use hinge_link::{Client, ClusterKey, serve_call, serve_exchange};
use hinge_routing::{Known, PeerList, StreamKey, StreamOrigin, StreamOrigins};
use hinge_schema::routing::{FindStreams, FoundStreams, RecordStreams, StreamsBegun};
use hinge_telemetry::metrics::Registry;
use prometheus_client::metrics::counter::Counter;
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinSet;
use tokio::time::timeout;
use viz::{Request, Router};

/// Path of the exchange over which a gateway sends copies of origins.
const RECORD_PATH: &str = "/v1/streams/record";

/// Timeout of a query for the origin of a stream; its caller waits for the next event meanwhile.
const FIND_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of origins waiting to be copied; beyond it, new ones are kept at this gateway only.
const MAX_UNSENT: usize = 8_192;

/// The origin of a stream that a caller takes up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Lookup {
    /// This gateway knew it.
    Here(Arc<StreamOrigin>),
    /// Another gateway knew it.
    Elsewhere(Arc<StreamOrigin>),
    /// The request id was used for two streams.
    Ambiguous,
    /// No gateway that answered knows it.
    Unknown,
}

#[derive(Debug)]
struct Query {
    stream: StreamKey,
    /// Addresses of the admissions beside the engines that may have begun it.
    admissions: Vec<SocketAddr>,
    answer: oneshot::Sender<Known>,
}

#[derive(Debug, Default)]
struct Peers {
    /// Gateways of this data centre.
    near: PeerList,
    /// Gateways of other data centres.
    far: PeerList,
}

/// Where streams began, as far as this gateway knows.
#[derive(Debug)]
pub(crate) struct StreamDirectory {
    began: BootInstant,
    origins: Mutex<StreamOrigins>,
    peers: Mutex<Peers>,
    /// Origins of streams that began here and have not been copied yet.
    unsent: Mutex<Vec<(StreamKey, Arc<StreamOrigin>)>>,
    unsent_added: Notify,
    queries: Mutex<Vec<Query>>,
    query_added: Notify,
    copies_sent: Counter,
    copies_received: Counter,
    copies_failed: Counter,
}

impl StreamDirectory {
    pub(crate) fn register(registry: &Registry) -> Self {
        Self {
            copies_sent: registry.counter(
                "gateway_stream_copies_sent",
                "Origins of streams that were sent to another gateway; each is sent to two.",
            ),
            copies_received: registry.counter(
                "gateway_stream_copies_received",
                "Origins of streams that other gateways sent.",
            ),
            copies_failed: registry.counter(
                "gateway_stream_copies_failed",
                "Origins of streams that no gateway could be sent.",
            ),
            began: BootInstant::now(),
            origins: Mutex::default(),
            peers: Mutex::default(),
            unsent: Mutex::default(),
            unsent_added: Notify::new(),
            queries: Mutex::default(),
            query_added: Notify::new(),
        }
    }

    /// Adds gateways of this data centre and of others, as listed by a control instance.
    pub(crate) fn add_peers(&self, near: &[Box<str>], far: &[Box<str>]) {
        let now = self.began.elapsed();
        let mut peers = lock(&self.peers);
        peers.near.record_listed(now, parsed(near));
        peers.far.record_listed(now, parsed(far));
    }

    /// Records a stream of which this gateway passes on the first event.
    pub(crate) fn record_begun(&self, stream: StreamKey, origin: &Arc<StreamOrigin>) {
        let now = self.began.elapsed();
        lock(&self.origins).record(now, stream, origin);
        let mut unsent = lock(&self.unsent);
        if unsent.len() < MAX_UNSENT {
            unsent.push((stream, Arc::clone(origin)));
            self.unsent_added.notify_one();
        }
    }

    /// Records origins that another gateway sent.
    fn record_copies(&self, copies: &[StreamsBegun]) {
        let now = self.began.elapsed();
        for copy in copies {
            self.copies_received.inc_by(copy.streams.len() as u64);
        }
        lock(&self.origins).record_begun(now, copies);
    }

    fn known(&self, stream: StreamKey) -> Known {
        lock(&self.origins).find(self.began.elapsed(), stream)
    }

    /// Returns where a stream began, and asks the other gateways and some admissions if this one does not know.
    pub(crate) async fn find(&self, stream: StreamKey, admissions: Vec<SocketAddr>) -> Lookup {
        match self.known(stream) {
            Known::At(origin) => return Lookup::Here(origin),
            Known::Ambiguous => return Lookup::Ambiguous,
            Known::Nothing => {}
        }
        let (answer, answered) = oneshot::channel();
        lock(&self.queries).push(Query {
            stream,
            admissions,
            answer,
        });
        self.query_added.notify_one();
        match timeout(FIND_TIMEOUT, answered).await {
            Ok(Ok(Known::At(origin))) => Lookup::Elsewhere(origin),
            Ok(Ok(Known::Ambiguous)) => Lookup::Ambiguous,
            Ok(Ok(Known::Nothing) | Err(_)) | Err(_) => Lookup::Unknown,
        }
    }

    /// Returns the known ones of some streams.
    fn known_of(&self, streams: &[u64]) -> Vec<StreamsBegun> {
        lock(&self.origins).begun_of(self.began.elapsed(), streams)
    }
}

fn parsed(addresses: &[Box<str>]) -> impl Iterator<Item = SocketAddr> {
    addresses.iter().filter_map(|text| text.parse().ok())
}

/// Spawns the tasks that copy origins to other gateways and query them; dropping the set ends them.
pub(crate) fn spawn(
    directory: &Arc<StreamDirectory>,
    client: Client,
    own: SocketAddr,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(copies::run(Arc::clone(directory), client.clone(), own));
    tasks.spawn(queries::run(Arc::clone(directory), client));
    tasks
}

/// Adds the calls of other gateways to a router.
pub(crate) fn add_routes(
    router: Router,
    key: &ClusterKey,
    directory: &Arc<StreamDirectory>,
) -> Router {
    let (record_key, record_directory) = (key.clone(), Arc::clone(directory));
    let (find_key, find_directory) = (key.clone(), Arc::clone(directory));
    let record = move |request: Request| {
        let directory = Arc::clone(&record_directory);
        let response = serve_exchange(&record_key, request, |mut reader, _sender| async move {
            while let Ok(Some(message)) = reader.next::<RecordStreams>().await {
                directory.record_copies(&message.begun);
            }
        });
        async move { response }
    };
    let find = move |request: Request| {
        let (key, directory) = (find_key.clone(), Arc::clone(&find_directory));
        async move {
            let answer = async |query: FindStreams| {
                let begun = directory.known_of(&query.streams);
                Ok(FoundStreams { begun })
            };
            serve_call(&key, request, answer).await
        }
    };
    router
        .post(RECORD_PATH, record)
        .post(FIND_STREAMS_PATH, find)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
