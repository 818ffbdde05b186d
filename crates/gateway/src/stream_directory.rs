//! Keeps where streams began, and finds it out for streams that began at other gateways.
//!
//! A caller takes a stream up because the gateway that served it has ended or is cut off, so what that gateway knows is
//! copied to another one of its data centre and to one elsewhere. Copies are made after the event has been passed on: a
//! stream whose origin is lost with its gateway is refused and does not continue at a guessed version.
//!
//! A gateway sends everything to the next holder when one stops or ends. One that stops sends the copies that it keeps for others
//! as well. So a planned stop of any number of gateways, one after the other, leaves two copies of each origin.
//!
//! When most gateways end together, the copies end with them. The admission beside a model engine keeps the origins of the
//! streams that the engine began as well, on another machine than any gateway.

mod copies;
mod queries;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use hinge_admission::FIND_STREAMS_PATH;
use hinge_clock::BootInstant;
use hinge_link::{Client, ClusterKey, FrameReader, FrameSender, serve_call, serve_exchange};
use hinge_routing::{
    CopyProgress, Known, OriginLog, PeerList, StreamKey, StreamOrigin, StreamOrigins,
};
use hinge_schema::routing::{
    FindStreams, FoundStreams, ListPeers, ListedPeers, RecordStreams, RecordedStreams, StreamsBegun,
};
use hinge_telemetry::metrics::Registry;
use http::StatusCode;
use prometheus_client::metrics::counter::Counter;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};
use viz::{Body, IntoResponse, Request, Router};

use self::copies::Ring;

/// Path of the exchange over which a gateway sends copies of origins.
const RECORD_PATH: &str = "/v1/streams/record";

/// Path on which a gateway names the others that it knows.
const PEERS_PATH: &str = "/v1/gateways/peers";

/// Timeout of a query for other gateways.
const LIST_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of gateways of each kind that are asked for others.
const MAX_ASKED_PEERS: usize = 3;

/// Timeout of a query for the origin of a stream; its caller waits for the next event meanwhile.
const FIND_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a holder gathers messages before it confirms them.
const CONFIRM_DELAY: Duration = Duration::from_millis(100);

/// Time beyond the end of a stream for which its origin is kept, so that its caller can come back.
const COME_BACK_TIME: Duration = Duration::from_secs(30);

/// Minimum time for which an origin is kept.
const MIN_KEEP_TIME: Duration = Duration::from_mins(1);

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
    /// Streams whose origins are copied.
    log: Mutex<OriginLog>,
    /// Position after the last stream of the log.
    log_end: watch::Sender<u64>,
    /// Positions up to which the two holders have confirmed the log.
    confirmed: [watch::Sender<u64>; 2],
    is_leaving: watch::Sender<bool>,
    queries: Mutex<Vec<Query>>,
    query_added: Notify,
    copies_sent: Counter,
    copies_received: Counter,
    holders_lost: Counter,
}

impl StreamDirectory {
    pub(crate) fn register(registry: &Registry) -> Self {
        Self {
            copies_sent: registry.counter(
                "gateway_stream_copies_sent",
                "Origins of streams that were sent to other gateways: to two, and to the next one when one stops or ends.",
            ),
            copies_received: registry.counter(
                "gateway_stream_copies_received",
                "Origins of streams that other gateways sent.",
            ),
            holders_lost: registry.counter(
                "gateway_stream_holders_lost",
                "Gateways that were to keep copies of origins and could not be reached.",
            ),
            began: BootInstant::now(),
            origins: Mutex::default(),
            peers: Mutex::default(),
            log: Mutex::default(),
            log_end: watch::Sender::new(0),
            confirmed: [watch::Sender::new(0), watch::Sender::new(0)],
            is_leaving: watch::Sender::new(false),
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

    /// Asks some gateways for the others that they know.
    ///
    /// Control instances that were started a moment ago know few gateways, and a gateway that was as well would not find the
    /// streams that the others keep.
    pub(crate) async fn ask_for_peers(&self, client: &Client, instance: &str, own: SocketAddr) {
        let (near, far): (Vec<SocketAddr>, Vec<SocketAddr>) = {
            let peers = lock(&self.peers);
            (
                peers.near.addresses().take(MAX_ASKED_PEERS).collect(),
                peers.far.addresses().take(MAX_ASKED_PEERS).collect(),
            )
        };
        let asked = near.iter().map(|address| (address, true));
        let asked = asked.chain(far.iter().map(|address| (address, false)));
        let message = ListPeers {
            instance: instance.into(),
        };
        let calls = asked.map(|(address, is_near)| {
            let (address, message) = (address.to_string(), &message);
            async move {
                let called = client.call(&address, PEERS_PATH, message, LIST_TIMEOUT);
                // A gateway that does not answer may have ended.
                let listed: Option<ListedPeers> = called.await.ok();
                listed.map(|listed| (listed, is_near))
            }
        });
        for (listed, is_near) in join_all(calls).await.into_iter().flatten() {
            let now = self.began.elapsed();
            let mut peers = lock(&self.peers);
            let others = parsed(&listed.near).filter(|address| *address != own);
            // What is far from another data centre may be near.
            if is_near {
                peers.near.record_named(now, others);
                peers.far.record_named(now, parsed(&listed.far));
            } else {
                peers.far.record_named(now, others);
            }
        }
    }

    fn list_peers(&self) -> ListedPeers {
        let peers = lock(&self.peers);
        let text = |address: SocketAddr| address.to_string().into();
        ListedPeers {
            near: peers.near.addresses().map(text).collect(),
            far: peers.far.addresses().map(text).collect(),
        }
    }

    /// Records a stream of which this gateway passes on the first event, and which ends within some time.
    pub(crate) fn record_begun(
        &self,
        stream: StreamKey,
        origin: &Arc<StreamOrigin>,
        ends_in: Duration,
    ) {
        let now = self.began.elapsed();
        let keep_for = keep_time(ends_in);
        lock(&self.origins).record_for(now, keep_for, stream, origin);
        self.add_to_log(now, [stream]);
    }

    /// Adds streams whose origins are to be copied.
    fn add_to_log(&self, now: Duration, streams: impl IntoIterator<Item = StreamKey>) {
        let mut log = lock(&self.log);
        for stream in streams {
            log.push(now, stream);
        }
        self.log_end.send_replace(log.end());
    }

    /// Returns the next message to a holder; `None` once it has been sent everything.
    fn next_message(&self, progress: &mut CopyProgress) -> Option<RecordStreams> {
        let streams = lock(&self.log).next_message(progress);
        if streams.is_empty() {
            return None;
        }
        self.copies_sent.inc_by(streams.len() as u64);
        let begun = lock(&self.origins).begun_of(self.began.elapsed(), streams);
        Some(RecordStreams { begun })
    }

    /// Begins a planned stop: no copies are accepted any more, and those kept for others are sent on.
    pub(crate) fn leave(&self) {
        let now = self.began.elapsed();
        let kept: Vec<StreamKey> = lock(&self.origins).streams(now).collect();
        self.is_leaving.send_replace(true);
        if !kept.is_empty() {
            self.add_to_log(now, kept);
        }
    }

    /// Waits until another gateway keeps everything that this one does; returns at once if it knows no other.
    pub(crate) async fn wait_until_copied(&self) {
        let end = *self.log_end.borrow();
        let has_peers = {
            let peers = lock(&self.peers);
            peers.near.addresses().next().is_some() || peers.far.addresses().next().is_some()
        };
        if end == 0 || !has_peers {
            return;
        }
        let [mut near, mut far] = self.confirmed.each_ref().map(watch::Sender::subscribe);
        let is_copied = |confirmed: &u64| *confirmed >= end;
        tokio::select! {
            _near = near.wait_for(is_copied) => {}
            _far = far.wait_for(is_copied) => {}
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
        let streams = streams.iter().copied().map(StreamKey::from);
        lock(&self.origins).begun_of(self.began.elapsed(), streams)
    }

    /// Keeps the copies that another gateway sends until it ends the exchange.
    async fn keep_copies(&self, mut reader: FrameReader<Body>, sender: FrameSender) {
        let mut is_leaving = self.is_leaving.subscribe();
        let mut has_told = false;
        let mut reply = RecordedStreams {
            messages: 0,
            is_leaving: false,
        };
        let mut confirm_at: Option<Instant> = None;
        loop {
            tokio::select! {
                message = reader.next::<RecordStreams>() => {
                    let Ok(Some(message)) = message else {
                        return;
                    };
                    self.record_copies(&message.begun);
                    reply.messages += 1;
                    confirm_at.get_or_insert_with(|| Instant::now() + CONFIRM_DELAY);
                    continue;
                }
                _left = is_leaving.wait_for(|is_leaving| *is_leaving), if !has_told => {
                    has_told = true;
                    reply.is_leaving = true;
                }
                () = sleep_until(confirm_at.unwrap_or_else(Instant::now)), if confirm_at.is_some() => {
                    confirm_at = None;
                }
            }
            if sender.send(&reply).await.is_err() {
                return;
            }
        }
    }
}

/// Returns how long to keep the origin of a stream that ends within some time.
pub(crate) fn keep_time(ends_in: Duration) -> Duration {
    MIN_KEEP_TIME.max(ends_in + COME_BACK_TIME)
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
    for (ring, confirmed) in [Ring::Near, Ring::Far]
        .into_iter()
        .zip(&directory.confirmed)
    {
        let (directory, client) = (Arc::clone(directory), client.clone());
        tasks.spawn(copies::run(directory, client, own, ring, confirmed.clone()));
    }
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
    let (list_key, list_directory) = (key.clone(), Arc::clone(directory));
    let record = move |request: Request| {
        let directory = Arc::clone(&record_directory);
        let response = if *directory.is_leaving.borrow() {
            Ok(StatusCode::SERVICE_UNAVAILABLE.into_response())
        } else {
            serve_exchange(&record_key, request, |reader, sender| async move {
                directory.keep_copies(reader, sender).await;
            })
        };
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
    let list = move |request: Request| {
        let (key, directory) = (list_key.clone(), Arc::clone(&list_directory));
        async move {
            let answer = async |_query: ListPeers| Ok(directory.list_peers());
            serve_call(&key, request, answer).await
        }
    };
    router
        .post(PEERS_PATH, list)
        .post(RECORD_PATH, record)
        .post(FIND_STREAMS_PATH, find)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
