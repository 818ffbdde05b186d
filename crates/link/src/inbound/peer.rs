//! One connection as its stream and its requests know it.

use std::fmt;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};

use futures::poll;
use hinge_budget::Need;
use http_body::{Body, Frame, SizeHint};
use tokio::time::timeout;

use super::{CHOICE_INTERVAL, Connection, Inbound, NoRoom};
use crate::byte_budget::HeldBudget;

/// Bytes of a body that count as progress of its peer; one that sends fewer within the stall timeout may give way.
const PROGRESS_BYTES: usize = 16 << 10;

/// One connection as its stream and its requests know it.
#[derive(Clone)]
pub struct Peer {
    pub(super) inbound: Arc<Inbound>,
    pub(super) connection: Arc<Connection>,
}

impl fmt::Debug for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peer")
            .field("connection", &self.connection)
            .finish_non_exhaustive()
    }
}

impl Peer {
    /// Counts a request that begins, until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(&self) -> RequestGuard {
        self.inbound.requests.fetch_add(1, Ordering::Relaxed);
        self.connection.requests.fetch_add(1, Ordering::Relaxed);
        RequestGuard { peer: self.clone() }
    }

    /// Admits a begun request once its team is known; one of another connection gives way if there are too many.
    ///
    /// # Errors
    ///
    /// Returns an error when there are too many and none gives way.
    pub fn admit_request(&self, team: u64) -> Result<(), NoRoom> {
        self.connection.team.store(team, Ordering::Relaxed);
        let in_progress = self.inbound.requests.load(Ordering::Relaxed);
        self.make_room_for_request(in_progress <= self.inbound.limits.requests, team)
    }

    /// Admits a call whose body is to be read; one of another connection gives way if there are too many.
    ///
    /// HTTP/2 lets one connection begin any number of calls, and exchanges between processes last for long, so only bodies count.
    ///
    /// # Errors
    ///
    /// Returns an error when there are too many and none gives way.
    pub(crate) fn admit_body(&self) -> Result<(), NoRoom> {
        let reading = self.inbound.reading.load(Ordering::Relaxed);
        self.make_room_for_request(reading < self.inbound.limits.requests, 0)
    }

    fn make_room_for_request(&self, has_room: bool, team: u64) -> Result<(), NoRoom> {
        let is_admitted = has_room || self.inbound.give_way(Need::Request { team });
        is_admitted.then_some(()).ok_or(NoRoom)
    }

    /// Records that a body is being read of the peer from now on, until the returned guard is dropped.
    #[must_use]
    pub fn begin_body(&self) -> BodyGuard<'_> {
        self.record_progress();
        self.inbound.reading.fetch_add(1, Ordering::Relaxed);
        self.connection
            .is_reading_body
            .store(true, Ordering::Relaxed);
        BodyGuard {
            peer: self,
            bytes_since_progress: 0,
        }
    }

    /// Waits until a short body may hold so many bytes; one of another connection gives way if one has to.
    pub async fn acquire_short(&self, bytes: usize) -> HeldBytes {
        let wait = pin!(self.inbound.memory.short.acquire(bytes));
        let budget = self.while_others_give_way(bytes, wait).await;
        self.hold(bytes, budget)
    }

    /// Waits until a long body may hold so many bytes; one of another connection gives way if one has to.
    ///
    /// # Errors
    ///
    /// Returns an error when too many bodies wait already.
    pub async fn acquire_long(&self, bytes: usize) -> Result<HeldBytes, NoRoom> {
        let _waiting = self.wait_for_long()?;
        let wait = pin!(self.inbound.memory.long.acquire(bytes));
        let budget = self.while_others_give_way(bytes, wait).await;
        Ok(self.hold(bytes, budget))
    }

    /// Waits until a long body of unknown length may hold so many bytes more, which it takes of the shared memory if they are free,
    /// and otherwise in a turn that only one body has.
    ///
    /// # Errors
    ///
    /// Returns an error when too many bodies wait already.
    pub async fn acquire_growth(&self, bytes: usize) -> Result<HeldBytes, NoRoom> {
        if let Some(budget) = self.inbound.memory.long.try_acquire(bytes) {
            return Ok(self.hold(bytes, budget));
        }
        let _waiting = self.wait_for_long()?;
        let wait = pin!(self.inbound.memory.turn.acquire(1));
        let budget = self.while_others_give_way(bytes, wait).await;
        Ok(self.hold(bytes, budget))
    }

    fn hold(&self, bytes: usize, budget: HeldBudget) -> HeldBytes {
        self.connection.bytes.fetch_add(bytes, Ordering::Relaxed);
        HeldBytes {
            budget,
            connection: Arc::clone(&self.connection),
            bytes,
        }
    }

    fn wait_for_long(&self) -> Result<Waiting, NoRoom> {
        let waiting = Arc::clone(&self.inbound.memory.waiting);
        if waiting.load(Ordering::Relaxed) >= self.inbound.limits.waiting_bodies {
            return Err(NoRoom);
        }
        waiting.fetch_add(1, Ordering::Relaxed);
        Ok(Waiting(waiting))
    }

    async fn while_others_give_way<F>(&self, bytes: usize, mut wait: Pin<&mut F>) -> HeldBudget
    where
        F: Future<Output = HeldBudget>,
    {
        // While it waits for memory, it does not wait for its peer.
        let was_reading = self
            .connection
            .is_reading_body
            .swap(false, Ordering::Relaxed);
        let held = loop {
            if let Poll::Ready(held) = poll!(wait.as_mut()) {
                break held;
            }
            if self.inbound.closing_bytes.load(Ordering::Relaxed) < bytes {
                let team = self.connection.team.load(Ordering::Relaxed);
                self.inbound.give_way(Need::Bytes { team, bytes });
            }
            if let Ok(held) = timeout(CHOICE_INTERVAL, wait.as_mut()).await {
                break held;
            }
        };
        self.record_progress();
        self.connection
            .is_reading_body
            .store(was_reading, Ordering::Relaxed);
        held
    }

    /// Records the outcome of an attempt to write to the peer.
    pub(crate) fn record_write(&self, is_pending: bool) {
        let is_unread = &self.connection.is_unread;
        if is_unread.swap(is_pending, Ordering::Relaxed) == is_pending {
            return;
        }
        self.record_progress();
        if !is_pending {
            self.inbound.unread.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let unread = self.inbound.unread.fetch_add(1, Ordering::Relaxed) + 1;
        if unread > self.inbound.limits.unread {
            self.inbound.give_way(Need::Unread);
        }
    }

    fn record_progress(&self) {
        let now_ms = self.inbound.now_ms();
        self.connection.progress_ms.store(now_ms, Ordering::Relaxed);
    }
}

/// A request in progress; dropping it records its end.
#[derive(Debug)]
pub struct RequestGuard {
    peer: Peer,
}

impl RequestGuard {
    /// Returns a response's body that keeps the request in progress until it is dropped.
    pub fn track<B>(self, body: B) -> TrackedBody<B> {
        TrackedBody {
            body,
            _request: self,
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.peer.inbound.requests.fetch_sub(1, Ordering::Relaxed);
        self.peer
            .connection
            .requests
            .fetch_sub(1, Ordering::Relaxed);
        self.peer.record_progress();
    }
}

/// A body that waits for memory, counted until it is dropped.
#[derive(Debug)]
struct Waiting(Arc<AtomicU32>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct BodyGuard<'a> {
    peer: &'a Peer,
    bytes_since_progress: usize,
}

impl BodyGuard<'_> {
    /// Records bytes that have arrived.
    pub fn record(&mut self, bytes: usize) {
        self.bytes_since_progress += bytes;
        if self.bytes_since_progress >= PROGRESS_BYTES {
            self.bytes_since_progress = 0;
            self.peer.record_progress();
        }
    }
}

impl Drop for BodyGuard<'_> {
    fn drop(&mut self) {
        self.peer.inbound.reading.fetch_sub(1, Ordering::Relaxed);
        let is_reading = &self.peer.connection.is_reading_body;
        is_reading.store(false, Ordering::Relaxed);
    }
}

/// Bytes of a body that are held, returned on drop.
#[derive(Debug)]
pub struct HeldBytes {
    budget: HeldBudget,
    connection: Arc<Connection>,
    bytes: usize,
}

impl HeldBytes {
    /// Returns the number of bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns what exceeds a number of bytes.
    pub fn shrink(&mut self, bytes: usize) {
        self.budget.shrink(bytes);
        let surplus = self.bytes.saturating_sub(bytes);
        self.connection.bytes.fetch_sub(surplus, Ordering::Relaxed);
        self.bytes -= surplus;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.connection
            .bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The body of a response, during which its request is in progress.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    _request: RequestGuard,
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
