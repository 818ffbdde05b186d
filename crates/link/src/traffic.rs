//! Counters of the bytes and messages that a process exchanges with its peers.
//!
//! Traffic is counted at two levels. *Socket bytes* are all bytes on a peer's connections: HTTP headers, framing, flow
//! control and keep-alive probes, which is everything but the TCP and IP headers. Calls to different paths share a
//! connection, so *messages* are counted separately by class, which shows what the bodies were for. The overhead of an
//! answer beyond its messages is counted as control traffic, so [`Traffic::control_bytes`] overestimates.

use std::fmt;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;

/// The purpose of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageClass {
    /// Announcements and renewals of leases.
    Announce,
    /// Watches, and the configuration and membership changes that answer them.
    Watch,
    /// Reports of the service that teams received, and the totals that answer them.
    Sums,
    /// Claims of idempotency keys.
    Claims,
    /// The replicated log.
    Raft,
    /// Configuration exchanged between peers on the data path.
    Config,
    /// Offers with the grants and refusals that answer them, cancellations, and queries for a request's verdict.
    Offer,
    /// Bound requests and their answers.
    Answer,
    /// All other calls.
    Other,
}

impl MessageClass {
    /// Every class, in the order of the discriminants.
    pub const ALL: [Self; 9] = [
        Self::Announce,
        Self::Watch,
        Self::Sums,
        Self::Claims,
        Self::Raft,
        Self::Config,
        Self::Offer,
        Self::Answer,
        Self::Other,
    ];

    /// Returns the value of the metric label.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Announce => "announce",
            Self::Watch => "watch",
            Self::Sums => "sums",
            Self::Claims => "claims",
            Self::Raft => "raft",
            Self::Config => "config",
            Self::Offer => "offer",
            Self::Answer => "answer",
            Self::Other => "other",
        }
    }

    /// Returns the class of a call by its path; a forwarded call has the class of the original call.
    #[must_use]
    pub fn of_path(path: &str) -> Self {
        let call = path.strip_prefix("/v1/").unwrap_or(path);
        match call.strip_prefix("forwarded/").unwrap_or(call) {
            "announce" | "announces" => Self::Announce,
            "watch" => Self::Watch,
            "sums" => Self::Sums,
            "claims" => Self::Claims,
            "raft" => Self::Raft,
            "config/fetch" | "config/push" => Self::Config,
            "offer" | "cancel" | "verdict" => Self::Offer,
            "resume" => Self::Answer,
            _ => Self::Other,
        }
    }
}

/// The direction of traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Sent by this process.
    Sent,
    /// Received by this process.
    Received,
}

impl Direction {
    /// Returns the value of the metric label.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// The kind of a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CounterKind {
    /// Bytes on the sockets.
    SocketBytes,
    /// Messages of a class.
    Messages(MessageClass),
    /// Bytes of a class's messages, including the length prefix of frames.
    MessageBytes(MessageClass),
}

#[derive(Debug, Default)]
struct DirectionCounters {
    socket_bytes: Counter,
    messages: [Counter; MessageClass::ALL.len()],
    message_bytes: [Counter; MessageClass::ALL.len()],
}

/// The traffic counters of one process, shared by all clones.
#[derive(Clone, Default)]
pub struct Traffic {
    directions: Arc<[DirectionCounters; 2]>,
    /// Bytes of encoded messages that are not written to their sockets yet.
    unsent_bytes: Arc<AtomicU64>,
}

/// An encoded message, counted as unsent until its last byte is released.
struct UnsentMessage {
    bytes: Vec<u8>,
    unsent_bytes: Arc<AtomicU64>,
}

impl AsRef<[u8]> for UnsentMessage {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for UnsentMessage {
    fn drop(&mut self) {
        let bytes = self.bytes.len() as u64;
        self.unsent_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl fmt::Debug for Traffic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Traffic")
            .field("control_bytes", &self.control_bytes())
            .finish_non_exhaustive()
    }
}

impl Traffic {
    /// Creates traffic counters from the counters that `counter` returns, such as those of a metrics registry.
    #[must_use]
    pub fn with_counters(counter: impl Fn(CounterKind, Direction) -> Counter) -> Self {
        let counters = |direction| DirectionCounters {
            socket_bytes: counter(CounterKind::SocketBytes, direction),
            messages: MessageClass::ALL
                .map(|class| counter(CounterKind::Messages(class), direction)),
            message_bytes: MessageClass::ALL
                .map(|class| counter(CounterKind::MessageBytes(class), direction)),
        };
        Self {
            directions: Arc::new([counters(Direction::Sent), counters(Direction::Received)]),
            unsent_bytes: Arc::default(),
        }
    }

    /// Returns the value of one counter.
    #[must_use]
    pub fn get(&self, count: CounterKind, direction: Direction) -> u64 {
        let counters = self.counters(direction);
        match count {
            CounterKind::SocketBytes => counters.socket_bytes.get(),
            CounterKind::Messages(class) => counters.messages[class as usize].get(),
            CounterKind::MessageBytes(class) => counters.message_bytes[class as usize].get(),
        }
    }

    /// Returns the bytes of control traffic in both directions: all socket bytes except the messages of answers.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        let directions = [Direction::Sent, Direction::Received].into_iter();
        directions
            .map(|direction| {
                let answers = self.get(CounterKind::MessageBytes(MessageClass::Answer), direction);
                // A message is counted before it is written to the socket, so the difference could be negative for a moment.
                self.get(CounterKind::SocketBytes, direction)
                    .saturating_sub(answers)
            })
            .sum()
    }

    /// Returns the bytes of encoded calls and answers that are not written to their sockets yet.
    #[must_use]
    pub fn unsent_bytes(&self) -> u64 {
        self.unsent_bytes.load(Ordering::Relaxed)
    }

    /// Counts an encoded message as unsent until the returned bytes are dropped.
    pub(crate) fn hold_unsent(&self, bytes: Vec<u8>) -> Bytes {
        let unsent_bytes = Arc::clone(&self.unsent_bytes);
        unsent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Bytes::from_owner(UnsentMessage {
            bytes,
            unsent_bytes,
        })
    }

    pub(crate) fn record_message(&self, class: MessageClass, direction: Direction, bytes: usize) {
        let counters = self.counters(direction);
        counters.messages[class as usize].inc();
        counters.message_bytes[class as usize].inc_by(bytes as u64);
    }

    fn record_socket_bytes(&self, direction: Direction, bytes: u64) {
        self.counters(direction).socket_bytes.inc_by(bytes);
    }

    fn counters(&self, direction: Direction) -> &DirectionCounters {
        &self.directions[direction as usize]
    }
}

/// A counter of the messages in one direction of an exchange.
///
/// On an offer's exchange, the first message in each direction is the offer or the reply to it; all later messages belong to
/// the bound request and its answer.
#[derive(Debug, Clone)]
pub(crate) struct MessageCounter {
    traffic: Traffic,
    direction: Direction,
    first: MessageClass,
    has_counted_first: Arc<AtomicBool>,
}

impl MessageCounter {
    pub(crate) fn new(traffic: &Traffic, direction: Direction, path: &str) -> Self {
        Self {
            traffic: traffic.clone(),
            direction,
            first: MessageClass::of_path(path),
            has_counted_first: Arc::new(AtomicBool::new(false)),
        }
    }

    pub(crate) fn record(&self, bytes: usize) {
        let class = match self.first {
            MessageClass::Offer if self.has_counted_first.swap(true, Ordering::Relaxed) => {
                MessageClass::Answer
            }
            first => first,
        };
        self.traffic.record_message(class, self.direction, bytes);
    }
}

/// A byte counter of one connection, which counts as peer traffic only after the peer has proved the cluster key.
#[derive(Debug, Default)]
pub(crate) struct SocketCounter {
    traffic: OnceLock<Traffic>,
    unattributed: [AtomicU64; 2],
}

impl SocketCounter {
    /// Counts the connection as a peer's, including the bytes that it has already transferred.
    pub(crate) fn attach(&self, traffic: &Traffic) {
        if self.traffic.get().is_some() || self.traffic.set(traffic.clone()).is_err() {
            return;
        }
        self.flush_unattributed(traffic);
    }

    pub(crate) fn record(&self, direction: Direction, bytes: usize) {
        if bytes == 0 {
            return;
        }
        if let Some(traffic) = self.traffic.get() {
            traffic.record_socket_bytes(direction, bytes as u64);
            return;
        }
        self.unattributed[direction as usize].fetch_add(bytes as u64, Ordering::AcqRel);
        // The connection may have been attached in the meantime; the thread that swaps out the bytes counts them.
        if let Some(traffic) = self.traffic.get() {
            self.flush_unattributed(traffic);
        }
    }

    fn flush_unattributed(&self, traffic: &Traffic) {
        for direction in [Direction::Sent, Direction::Received] {
            let bytes = self.unattributed[direction as usize].swap(0, Ordering::AcqRel);
            traffic.record_socket_bytes(direction, bytes);
        }
    }
}
