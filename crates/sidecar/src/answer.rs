//! Buffers one answer between the endpoint and the entry, so that a broken exchange can be resumed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_link::FrameSender;
use hinge_outcome::ReplayBuffer;
use hinge_schema::messages::{
    AnswerChunk, AnswerEnd, AnswerHead, Failed, FailureKind, FromSidecar, NotRunReason,
};
use serde_bytes::ByteBuf;
use tokio::sync::watch;

/// Longest chunk of an answer in one frame, in bytes.
const MAX_CHUNK_BYTES: usize = 8 * 1024;

/// A sequence number of the exchanges that read one answer; only the newest reads.
type Reader = u64;

#[derive(Debug)]
struct AnswerState {
    head: Option<AnswerHead>,
    buffer: ReplayBuffer,
    sent_offset: u64,
    last_frame: Option<FromSidecar>,
    reader: Reader,
    detached_at: Option<Duration>,
    is_delivered: bool,
    /// Whether the entry acknowledges the bytes that it has passed on; if not, sent bytes may be dropped.
    has_acks: bool,
}

/// An answer that one run writes and one exchange at a time reads.
#[derive(Debug)]
pub(crate) struct Answer {
    request_id: u64,
    state: Mutex<AnswerState>,
    changes: watch::Sender<()>,
}

/// How an exchange stopped reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// The last frame was sent.
    Whole,
    /// The exchange is closed.
    Gone,
    /// A newer exchange reads the answer.
    Replaced,
}

/// The next step of an exchange that reads the answer.
enum NextStep {
    Send(FromSidecar),
    SendLast(FromSidecar),
    Wait,
    Replaced,
}

impl Answer {
    pub(crate) fn open(request_id: u64, replay_bytes: usize, has_acks: bool) -> Arc<Self> {
        Arc::new(Self {
            request_id,
            state: Mutex::new(AnswerState {
                head: None,
                buffer: ReplayBuffer::new(replay_bytes.max(1)),
                sent_offset: 0,
                last_frame: None,
                reader: 0,
                detached_at: None,
                is_delivered: false,
                has_acks,
            }),
            changes: watch::Sender::new(()),
        })
    }

    fn lock(&self) -> MutexGuard<'_, AnswerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_head(&self, head: AnswerHead) {
        self.lock().head = Some(head);
        self.changes.send_replace(());
    }

    /// Appends bytes, and waits while the buffer is full of bytes that the entry may still need.
    pub(crate) async fn push(&self, mut bytes: &[u8]) {
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let taken = self.push_some(bytes);
            bytes = &bytes[taken..];
            if taken > 0 {
                self.changes.send_replace(());
            }
            if bytes.is_empty() {
                return;
            }
            if taken == 0 && changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn push_some(&self, bytes: &[u8]) -> usize {
        let mut state = self.lock();
        if state.last_frame.is_some() {
            // The answer was ended from outside the run, so nobody reads further bytes.
            return bytes.len();
        }
        if !state.has_acks {
            let missing = bytes.len().saturating_sub(state.buffer.room_bytes()) as u64;
            let start = state.buffer.start_offset();
            let droppable = (start + missing).min(state.sent_offset);
            let dropped = state.buffer.ack(droppable);
            dropped.expect("sent bytes are in the buffer or were dropped before");
        }
        state.buffer.push(bytes)
    }

    /// Drops the bytes before an acknowledged offset; returns whether the offset is valid.
    pub(crate) fn ack(&self, offset: u64) -> bool {
        let acked = self.lock().buffer.ack(offset);
        self.changes.send_replace(());
        acked.is_ok()
    }

    /// Ends the answer as complete.
    pub(crate) fn end(&self, service_units: u64) {
        let mut state = self.lock();
        if state.last_frame.is_none() {
            let total_bytes = state.buffer.end();
            state.last_frame = Some(FromSidecar::End(AnswerEnd {
                request_id: self.request_id,
                total_bytes,
                service_units,
            }));
        }
        drop(state);
        self.changes.send_replace(());
    }

    /// Ends the answer as failed.
    pub(crate) fn fail(&self, kind: FailureKind, reason: NotRunReason, retry_after_ms: u64) {
        let mut state = self.lock();
        if state.last_frame.is_none() {
            state.last_frame = Some(FromSidecar::Failed(Failed {
                request_id: self.request_id,
                kind,
                reason,
                retry_after_ms,
            }));
        }
        drop(state);
        self.changes.send_replace(());
    }

    /// Returns whether the answer has ended, so that nothing is appended.
    pub(crate) fn is_ended(&self) -> bool {
        self.lock().last_frame.is_some()
    }

    /// Returns whether the entry has the whole answer, or will not ask for the rest.
    pub(crate) fn is_delivered(&self) -> bool {
        self.lock().is_delivered
    }

    pub(crate) fn set_delivered(&self) {
        self.lock().is_delivered = true;
    }

    /// Returns since when no exchange has read the answer; `None` while one reads or before the first.
    pub(crate) fn detached_at(&self) -> Option<Duration> {
        self.lock().detached_at
    }

    pub(crate) fn request_id(&self) -> u64 {
        self.request_id
    }

    /// Makes the caller the only reader; an older exchange stops.
    pub(crate) fn attach(&self) -> Reader {
        let mut state = self.lock();
        state.reader += 1;
        state.detached_at = None;
        let reader = state.reader;
        drop(state);
        self.changes.send_replace(());
        reader
    }

    /// Marks the answer as detached, unless a newer exchange reads it.
    pub(crate) fn detach(&self, reader: Reader, now: Duration) {
        let mut state = self.lock();
        if state.reader == reader {
            state.detached_at = Some(now);
        }
    }

    /// Sends the answer from an offset until the answer, or the exchange, ends.
    pub(crate) async fn stream(
        &self,
        reader: Reader,
        sender: &FrameSender,
        mut offset: u64,
        mut needs_head: bool,
    ) -> StreamEnd {
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            match self.next(reader, &mut offset, &mut needs_head) {
                NextStep::Replaced => return StreamEnd::Replaced,
                NextStep::Send(frame) => {
                    if sender.send(&frame).await.is_err() {
                        return StreamEnd::Gone;
                    }
                    self.record_sent(reader, offset);
                }
                NextStep::SendLast(frame) => {
                    return match sender.send(&frame).await {
                        Ok(()) => StreamEnd::Whole,
                        Err(_closed) => StreamEnd::Gone,
                    };
                }
                NextStep::Wait => {
                    tokio::select! {
                        _ = changes.changed() => {}
                        () = sender.closed() => return StreamEnd::Gone,
                    }
                }
            }
        }
    }

    fn next(&self, reader: Reader, offset: &mut u64, needs_head: &mut bool) -> NextStep {
        let state = self.lock();
        if state.reader != reader {
            return NextStep::Replaced;
        }
        if let (true, Some(head)) = (*needs_head, &state.head) {
            *needs_head = false;
            return NextStep::Send(FromSidecar::Head(head.clone()));
        }
        let Ok((first, second)) = state.buffer.read_from(*offset, MAX_CHUNK_BYTES) else {
            return NextStep::SendLast(self.unresumable_frame());
        };
        if !first.is_empty() || !second.is_empty() {
            let chunk = AnswerChunk {
                request_id: self.request_id,
                offset: *offset,
                data: ByteBuf::from([first, second].concat()),
            };
            *offset += chunk.data.len() as u64;
            return NextStep::Send(FromSidecar::Chunk(chunk));
        }
        match &state.last_frame {
            Some(last_frame) => NextStep::SendLast(last_frame.clone()),
            None => NextStep::Wait,
        }
    }

    fn record_sent(&self, reader: Reader, offset: u64) {
        let mut state = self.lock();
        if state.reader == reader {
            state.sent_offset = offset;
        }
        drop(state);
        self.changes.send_replace(());
    }

    /// Returns the failure for bytes that are no longer kept; the request ran, so its outcome is "unknown".
    fn unresumable_frame(&self) -> FromSidecar {
        FromSidecar::Failed(Failed {
            request_id: self.request_id,
            kind: FailureKind::Unknown,
            reason: NotRunReason::AnswerTruncated,
            retry_after_ms: 0,
        })
    }
}
