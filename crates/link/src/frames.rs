//! Length-delimited frames over HTTP bodies.

use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::codec::{CodecError, decode};
use crate::traffic::MessageCounter;

/// Maximum length of a frame, in bytes; answer chunks are far shorter, so a longer announced length is a fault of the peer.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Size of the big-endian length prefix of a frame.
const LENGTH_BYTES: usize = 4;

/// Number of frames buffered for the connection before the sender has to wait; limits memory for a slow peer.
const QUEUED_FRAMES: usize = 32;

/// Size up to which frames are joined into one HTTP/2 data frame, whose default limit is 16 KiB.
const JOIN_TARGET_BYTES: usize = 16 * 1024;

/// The error when the other end no longer accepts frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the exchange is closed")
    }
}

impl Error for Closed {}

/// The reason why no further frame can be read.
#[derive(Debug)]
pub enum FrameError {
    /// The connection was lost, or the peer reset the exchange.
    Broken(Box<dyn Error + Send + Sync>),
    /// The stream ended inside a frame.
    Truncated,
    /// The peer announced a frame above the maximum length.
    TooLong {
        /// Announced length, in bytes.
        frame_bytes: usize,
    },
    /// The frame does not contain a valid message.
    Invalid(CodecError),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(cause) => write!(f, "the exchange broke: {cause}"),
            Self::Truncated => f.write_str("the exchange ended inside a frame"),
            Self::TooLong { frame_bytes } => write!(
                f,
                "a frame of {frame_bytes} bytes exceeds the limit of {MAX_FRAME_BYTES}"
            ),
            Self::Invalid(cause) => write!(f, "a frame is not valid: {cause}"),
        }
    }
}

impl Error for FrameError {}

/// The sender of one direction of an exchange.
///
/// Clones send in the same direction, which ends when the last of them is dropped.
#[derive(Debug, Clone)]
pub struct FrameSender {
    frames: mpsc::Sender<Bytes>,
    counter: Option<MessageCounter>,
}

impl FrameSender {
    /// Sends one message, waiting while the peer is slow.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] when the exchange is closed.
    ///
    /// # Panics
    ///
    /// Panics when the message can't be represented in MessagePack, which every generated message can.
    pub async fn send<T: Serialize + Sync>(&self, message: &T) -> Result<(), Closed> {
        let frame = to_frame(message);
        let frame_bytes = frame.len();
        self.frames.send(frame).await.map_err(|_closed| Closed)?;
        self.record(frame_bytes);
        Ok(())
    }

    /// Sends one message if there is room for it now.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] when the exchange is closed or the peer is too slow.
    ///
    /// # Panics
    ///
    /// Panics when the message can't be represented in MessagePack, which every generated message can.
    pub fn try_send<T: Serialize>(&self, message: &T) -> Result<(), Closed> {
        let frame = to_frame(message);
        let frame_bytes = frame.len();
        self.frames
            .try_send(frame)
            .map_err(|_full_or_closed| Closed)?;
        self.record(frame_bytes);
        Ok(())
    }

    /// Waits until the exchange is closed.
    pub async fn closed(&self) {
        self.frames.closed().await;
    }

    fn record(&self, frame_bytes: usize) {
        if let Some(counter) = &self.counter {
            counter.record(frame_bytes);
        }
    }
}

fn to_frame<T: Serialize>(message: &T) -> Bytes {
    let mut buf = BytesMut::with_capacity(256).writer();
    buf.get_mut().put_u32(0);
    rmp_serde::encode::write_named(&mut buf, message).expect("a generated message always encodes");
    let mut buf = buf.into_inner();
    let length =
        u32::try_from(buf.len() - LENGTH_BYTES).expect("a message is far shorter than 4 GiB");
    buf[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    buf.freeze()
}

/// Creates a body and the sender of its frames.
#[must_use]
pub fn frame_body() -> (FrameSender, FrameBody) {
    frame_body_with(None)
}

/// Creates a body and the sender of its frames, whose messages are counted.
pub(crate) fn counted_frame_body(counter: MessageCounter) -> (FrameSender, FrameBody) {
    frame_body_with(Some(counter))
}

fn frame_body_with(counter: Option<MessageCounter>) -> (FrameSender, FrameBody) {
    let (frames, receiver) = mpsc::channel(QUEUED_FRAMES);
    (
        FrameSender { frames, counter },
        FrameBody { frames: receiver },
    )
}

/// An HTTP body that streams frames.
#[derive(Debug)]
pub struct FrameBody {
    frames: mpsc::Receiver<Bytes>,
}

impl HttpBody for FrameBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let Some(first) = ready!(self.frames.poll_recv(cx)) else {
            return Poll::Ready(None);
        };
        Poll::Ready(Some(Ok(Frame::data(join_queued(first, &mut self.frames)))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Joins the frames that are already queued, so that a busy exchange needs one write for many frames.
fn join_queued(first: Bytes, frames: &mut mpsc::Receiver<Bytes>) -> Bytes {
    let Ok(second) = frames.try_recv() else {
        return first;
    };
    let mut joined = BytesMut::with_capacity(JOIN_TARGET_BYTES);
    joined.extend_from_slice(&first);
    joined.extend_from_slice(&second);
    while joined.len() < JOIN_TARGET_BYTES {
        match frames.try_recv() {
            Ok(next) => joined.extend_from_slice(&next),
            Err(_empty_or_closed) => break,
        }
    }
    joined.freeze()
}

/// The reader of one direction of an exchange.
#[derive(Debug)]
pub struct FrameReader<B> {
    body: B,
    buf: BytesMut,
    counter: Option<MessageCounter>,
}

impl<B> FrameReader<B>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Wraps the body of a request or response.
    pub fn new(body: B) -> Self {
        Self {
            body,
            buf: BytesMut::new(),
            counter: None,
        }
    }

    /// Wraps the body of a request or response, and counts its messages.
    pub(crate) fn counted(body: B, counter: MessageCounter) -> Self {
        Self {
            counter: Some(counter),
            ..Self::new(body)
        }
    }

    /// Reads the next message, or `None` when the peer ended the stream between two frames.
    ///
    /// The future is cancel safe: no bytes are lost if it is dropped while it waits.
    ///
    /// # Errors
    ///
    /// Returns a [`FrameError`], after which the exchange is no longer usable.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        loop {
            if let Some(message) = self.buffered()? {
                return Ok(Some(message));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self.append(frame),
                Some(Err(cause)) => return Err(FrameError::Broken(cause.into())),
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(FrameError::Truncated),
            }
        }
    }

    /// Returns the next message if it is already buffered completely, without waiting.
    ///
    /// # Errors
    ///
    /// Returns a [`FrameError`], after which the exchange is no longer usable.
    pub fn buffered<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let Some(length) = self.buf.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let frame_bytes = u32::from_be_bytes(*length) as usize;
        if frame_bytes > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { frame_bytes });
        }
        if self.buf.len() < LENGTH_BYTES + frame_bytes {
            return Ok(None);
        }
        let message = decode(&self.buf[LENGTH_BYTES..LENGTH_BYTES + frame_bytes])
            .map_err(FrameError::Invalid)?;
        self.buf.advance(LENGTH_BYTES + frame_bytes);
        if let Some(counter) = &self.counter {
            counter.record(LENGTH_BYTES + frame_bytes);
        }
        Ok(Some(message))
    }

    fn append(&mut self, frame: Frame<Bytes>) {
        if let Ok(data) = frame.into_data() {
            self.buf.extend_from_slice(&data);
        }
    }
}
