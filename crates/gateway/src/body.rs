//! Holds the body of an answer to a caller.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Pieces that wait for a slow caller; beyond them its endpoint is not read.
const WAITING_PIECES: usize = 8;

/// Says that an answer breaks off; the caller's connection is closed without the end of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer breaks off")
    }
}

impl std::error::Error for BrokenOff {}

/// Sends the pieces of an answer; its end is the end of the answer, unless it was broken off.
pub(crate) type PieceSender = mpsc::Sender<Result<Bytes, BrokenOff>>;

/// Holds a whole answer, or receives its pieces.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    Whole(Bytes),
    Pieces(Pieces),
}

/// Receives the pieces of an answer.
#[derive(Debug)]
pub(crate) struct Pieces {
    receiver: mpsc::Receiver<Result<Bytes, BrokenOff>>,
    /// The break that was received, and is told at the next poll.
    broken: Option<BrokenOff>,
}

impl Pieces {
    /// Returns the next piece; a break only after what came before it could be written.
    ///
    /// The server drops what it has not written yet when a body breaks, and writes it when a body has nothing more for
    /// now. Pieces and a break may come at once, and the pieces are good.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenOff>>> {
        if let Some(broken) = self.broken.take() {
            return Poll::Ready(Some(Err(broken)));
        }
        match self.receiver.poll_recv(cx) {
            Poll::Ready(Some(Err(broken))) => {
                self.broken = Some(broken);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            other => other,
        }
    }
}

impl AnswerBody {
    /// Returns a body with the sender of its pieces.
    pub(crate) fn pieces() -> (PieceSender, Self) {
        let (sender, receiver) = mpsc::channel(WAITING_PIECES);
        let pieces = Pieces {
            receiver,
            broken: None,
        };
        (sender, Self::Pieces(pieces))
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
            Self::Pieces(pieces) => pieces
                .poll(cx)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
