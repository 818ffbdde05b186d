//! The body of an answer to a caller.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::handoff::HandedOff;

#[cfg(test)]
mod tests;

/// Chunks buffered for a slow caller; when the buffer is full, the endpoint's connection is not read.
const MAX_BUFFERED_CHUNKS: usize = 2;

/// The error of an answer that breaks off: the caller's connection is closed before the end of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer breaks off")
    }
}

impl std::error::Error for BrokenOff {}

/// A message from the sender of chunks to the body.
#[derive(Debug)]
enum Message {
    Chunk(Bytes),
    End,
    Broken(BrokenOff),
}

/// The error of sending to a caller that has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerLeft;

/// Sends the chunks of an answer; dropping it before [`ChunkSender::end`] breaks the answer off, whatever the cause.
#[derive(Debug)]
pub(crate) struct ChunkSender {
    messages: mpsc::Sender<Message>,
}

impl ChunkSender {
    /// Sends a chunk, and waits while the caller's buffer is full.
    pub(crate) async fn send(&self, chunk: Bytes) -> Result<(), CallerLeft> {
        self.send_message(Message::Chunk(chunk)).await
    }

    /// Ends a complete answer.
    pub(crate) async fn end(self) -> Result<(), CallerLeft> {
        self.send_message(Message::End).await
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.messages.closed().await;
    }

    async fn send_message(&self, message: Message) -> Result<(), CallerLeft> {
        let sent = self.messages.send(message).await;
        sent.map_err(|_receiver_is_gone| CallerLeft)
    }
}

/// An answer's body: whole, or received in chunks from a local task or from another gateway.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    Whole(Bytes),
    Chunks(Chunks),
    HandedOff(HandedOff),
}

/// Receives the chunks of an answer.
#[derive(Debug)]
pub(crate) struct Chunks {
    messages: mpsc::Receiver<Message>,
    /// An error that was received and is returned at the next poll.
    broken: Option<BrokenOff>,
    has_ended: bool,
}

impl Chunks {
    /// Returns the next chunk, or an error once the chunks before it could be written.
    ///
    /// The HTTP server discards unwritten data when a body fails, and flushes it when a body is pending. Chunks and an error may
    /// arrive together, and the chunks are valid, so the body is pending once before it returns the error.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenOff>>> {
        if let Some(broken) = self.broken.take() {
            return Poll::Ready(Some(Err(broken)));
        }
        if self.has_ended {
            return Poll::Ready(None);
        }
        let message = ready!(self.messages.poll_recv(cx));
        match message.unwrap_or(Message::Broken(BrokenOff)) {
            Message::Chunk(chunk) => Poll::Ready(Some(Ok(chunk))),
            Message::End => {
                self.has_ended = true;
                Poll::Ready(None)
            }
            Message::Broken(broken) => {
                self.has_ended = true;
                self.broken = Some(broken);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}

impl AnswerBody {
    /// Returns a chunked body with its sender.
    pub(crate) fn chunks() -> (ChunkSender, Self) {
        let (sender, messages) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let chunks = Chunks {
            messages,
            broken: None,
            has_ended: false,
        };
        (ChunkSender { messages: sender }, Self::Chunks(chunks))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Chunks(chunks) => chunks
                .poll(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            Self::HandedOff(handed_off) => handed_off.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Chunks(_) => false,
            Self::HandedOff(handed_off) => handed_off.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Chunks(_) => SizeHint::default(),
            Self::HandedOff(handed_off) => handed_off.size_hint(),
        }
    }
}
