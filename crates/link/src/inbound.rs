//! Bounds what the peers of a listener can make the process hold: connections, requests, bytes of bodies, and unread answers.
//!
//! With no room left, the connection that [`hinge_budget::choose`] names is closed.

mod connection;
mod peer;

use std::collections::HashMap;
use std::pin::pin;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use futures::future::poll_fn;
use hinge_budget::Need;
use hyper_util::server::graceful::GracefulConnection;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use self::connection::{Connection, Progress};
pub use self::peer::{BodyGuard, HeldBytes, Peer, RequestGuard, TrackedBody};
use crate::byte_budget::ByteBudget;
use crate::drain::DrainGuard;

#[cfg(test)]
mod tests;

/// Time after which a wait for room looks again for a connection that gives way.
const CHOICE_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a failed accept, which concerns one connection or a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct InboundLimits {
    /// Maximum number of open connections.
    pub connections: u32,
    /// Maximum number of requests in progress at a gateway, and of calls whose bodies are being read elsewhere.
    pub requests: u32,
    /// Maximum number of connections whose peers do not read what was written.
    pub unread: u32,
    /// Maximum size of the short bodies that are held, in bytes.
    pub short_body_bytes: usize,
    /// Maximum size of the long bodies that are held, in bytes, besides one that has the turn to grow.
    pub long_body_bytes: usize,
    /// Maximum number of bodies that wait for memory of the long ones.
    pub waiting_bodies: u32,
}

/// The connections of one listener.
#[derive(Debug)]
pub struct Inbound {
    limits: InboundLimits,
    began: Instant,
    connections: Mutex<HashMap<u64, Arc<Connection>>>,
    /// Number of open connections, also for those who must not wait for the lock.
    open: AtomicUsize,
    next_id: AtomicU64,
    requests: AtomicU32,
    /// Requests whose bodies are being read.
    reading: AtomicU32,
    unread: AtomicU32,
    memory: BodyMemory,
    /// Bytes of bodies whose connections are being closed.
    closing_bytes: AtomicUsize,
    /// Notified when a connection has closed.
    has_closed: Notify,
}

/// The memory of bodies; clones share it.
#[derive(Debug, Clone)]
struct BodyMemory {
    short: ByteBudget,
    long: ByteBudget,
    /// Held by the one body of unknown length that may grow up to its limit whatever the others hold, so that bodies that have
    /// arrived in part can't all wait for each other.
    turn: ByteBudget,
    /// Bodies that wait for memory of the long ones.
    waiting: Arc<AtomicU32>,
}

/// The error of a request for which there is no room; it was not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

impl Inbound {
    /// Creates the state of a listener without connections.
    #[must_use]
    pub fn new(limits: InboundLimits) -> Arc<Self> {
        let memory = BodyMemory {
            short: ByteBudget::new(limits.short_body_bytes),
            long: ByteBudget::new(limits.long_body_bytes),
            turn: ByteBudget::new(1 << 10),
            waiting: Arc::default(),
        };
        Self::with_memory(limits, memory)
    }

    /// Creates the state of a further listener, whose bodies share the memory of this one's.
    #[must_use]
    pub fn beside(&self, limits: InboundLimits) -> Arc<Self> {
        Self::with_memory(limits, self.memory.clone())
    }

    fn with_memory(limits: InboundLimits, memory: BodyMemory) -> Arc<Self> {
        Arc::new(Self {
            limits,
            began: Instant::now(),
            connections: Mutex::default(),
            open: AtomicUsize::new(0),
            next_id: AtomicU64::new(0),
            requests: AtomicU32::new(0),
            reading: AtomicU32::new(0),
            unread: AtomicU32::new(0),
            memory,
            closing_bytes: AtomicUsize::new(0),
            has_closed: Notify::new(),
        })
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> InboundLimits {
        self.limits
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the bytes that bodies hold.
    #[must_use]
    pub fn held_body_bytes(&self) -> usize {
        let max_bytes = self.limits.short_body_bytes + self.limits.long_body_bytes;
        max_bytes - self.memory.short.free_bytes() - self.memory.long.free_bytes()
    }

    /// Returns whether less than half of the memory of long bodies is free.
    #[must_use]
    pub fn is_memory_scarce(&self) -> bool {
        self.memory.long.free_bytes() < self.limits.long_body_bytes / 2
    }

    /// Counts a new connection, for which another one gives way if all places are taken; `None` if none does.
    #[must_use]
    pub fn try_open(self: &Arc<Self>) -> Option<OpenConnection> {
        if let Some(open) = self.try_open_free() {
            return Some(open);
        }
        self.give_way(Need::Connection).then(|| self.open())
    }

    /// Counts a new connection if there is a place for it that no other one has to give up.
    #[must_use]
    pub fn try_open_free(self: &Arc<Self>) -> Option<OpenConnection> {
        let is_full = self.open_connections() >= self.limits.connections as usize;
        (!is_full).then(|| self.open())
    }

    /// Counts a new connection whether or not there is a place for it.
    #[must_use]
    pub fn open(self: &Arc<Self>) -> OpenConnection {
        let connection = Arc::new(Connection::new(self.now_ms()));
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.insert(id, &connection);
        OpenConnection {
            peer: Peer {
                inbound: Arc::clone(self),
                connection,
            },
            id,
        }
    }

    /// Waits for a place for a new connection.
    pub async fn open_when_free(self: &Arc<Self>) -> OpenConnection {
        loop {
            if let Some(open) = self.try_open() {
                return open;
            }
            tokio::select! {
                () = self.has_closed.notified() => {}
                () = sleep(CHOICE_INTERVAL) => {}
            }
        }
    }

    /// Closes the connection that gives way to a need, and returns whether there is one.
    pub fn give_way(&self, need: Need) -> bool {
        let now_ms = self.now_ms();
        let mut connections = self.lock();
        let holdings = connections
            .iter()
            .map(|(id, connection)| connection.holding(*id, now_ms));
        let Some(id) = hinge_budget::choose(holdings, need) else {
            return false;
        };
        // From now on it does not count as open.
        if let Some(connection) = connections.remove(&id) {
            self.open.store(connections.len(), Ordering::Relaxed);
            self.closing_bytes
                .fetch_add(connection.choose(), Ordering::Relaxed);
        }
        true
    }

    /// Makes room for a connection after one could not be accepted, for which a descriptor may have been missing, and waits before the
    /// next attempt.
    pub async fn accept_failed(&self) {
        self.give_way(Need::Connection);
        sleep(ACCEPT_RETRY_DELAY).await;
    }

    fn insert(&self, id: u64, connection: &Arc<Connection>) {
        let mut connections = self.lock();
        connections.insert(id, Arc::clone(connection));
        self.open.store(connections.len(), Ordering::Relaxed);
    }

    fn remove(&self, id: u64) {
        let mut connections = self.lock();
        connections.remove(&id);
        self.open.store(connections.len(), Ordering::Relaxed);
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<Connection>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A counted connection; dropping it records that it has closed.
#[derive(Debug)]
pub struct OpenConnection {
    peer: Peer,
    id: u64,
}

impl OpenConnection {
    /// Returns the connection for its stream and its requests.
    #[must_use]
    pub fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Serves the connection, whose stream is wrapped, until it ends or gives way.
    ///
    /// In a process short of processor time, a connection that seems to wait for its peer may have input that was not read. It keeps its
    /// place if it has.
    pub async fn serve<C: GracefulConnection>(self, guard: DrainGuard, connection: C) {
        let reads_directly = guard.reads_directly();
        let mut serving = pin!(guard.serve(connection));
        loop {
            tokio::select! {
                // A peer that disconnects is recorded where its request is served.
                _ended_or_broken = serving.as_mut() => return,
                () = self.gave_way() => {}
            }
            let before = self.take_chosen();
            let was_direct = reads_directly.swap(true, Ordering::Relaxed);
            let polled = poll_fn(|cx| Poll::Ready(serving.as_mut().poll(cx))).await;
            reads_directly.store(was_direct, Ordering::Relaxed);
            let after = self.peer.connection.progress();
            if polled.is_ready() || Some(after) == before || !after.has_request {
                return;
            }
            self.peer.inbound.insert(self.id, &self.peer.connection);
        }
    }

    /// Returns how far the peer had come when the connection was chosen to give way, and no longer counts its bytes as being returned.
    fn take_chosen(&self) -> Option<Progress> {
        let chosen = self.peer.connection.take_chosen()?;
        let closing_bytes = &self.peer.inbound.closing_bytes;
        closing_bytes.fetch_sub(chosen.bytes, Ordering::Relaxed);
        Some(chosen.progress)
    }

    /// Waits until the connection gives way, and has to be closed.
    pub async fn gave_way(&self) {
        self.peer.connection.close.notified().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let _forgotten = self.take_chosen();
        let Peer {
            inbound,
            connection,
        } = &self.peer;
        inbound.remove(self.id);
        if connection.is_unread.load(Ordering::Relaxed) {
            inbound.unread.fetch_sub(1, Ordering::Relaxed);
        }
        inbound.has_closed.notify_one();
    }
}
