//! Watches what the HTTP library reads of a connection and writes to it.
//!
//! The library skips informational answers, leading zeros of chunk sizes and the like for as long as they come. The guard
//! counts what is read and not delivered as a head or as a part of a body, and closes a connection that delivers bytes
//! without end of which nothing can be used.
//!
//! The library does not tell either whether it could send the whole request before an answer ended.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of an answer that may be read without being used; several times what is read ahead.
pub(crate) const MAX_UNUSED_BYTES: usize = 256 * 1024;

/// The bytes that were read of a connection and not used yet.
#[derive(Debug, Clone)]
pub(crate) struct UnusedBytes {
    count: Arc<AtomicUsize>,
    max: usize,
}

impl UnusedBytes {
    /// Creates a counter for an endpoint's connection.
    pub(crate) fn limited() -> Self {
        Self {
            count: Arc::default(),
            max: MAX_UNUSED_BYTES,
        }
    }

    /// Creates a counter for a connection whose peer is trusted to end its answers.
    pub(crate) fn unlimited() -> Self {
        Self {
            count: Arc::default(),
            max: usize::MAX,
        }
    }

    /// Records that a request begins or a head has arrived.
    pub(crate) fn reset(&self) {
        self.count.store(0, Ordering::Relaxed);
    }

    /// Records that a part of a body has arrived.
    pub(crate) fn record_used(&self, bytes: usize) {
        // The part may have been read before the head was delivered.
        let subtract = |count: usize| Some(count.saturating_sub(bytes));
        let _always_some = self
            .count
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
    }

    fn record_read(&self, bytes: usize) -> io::Result<()> {
        let before = self.count.fetch_add(bytes, Ordering::Relaxed);
        if before.saturating_add(bytes) > self.max {
            let cause = "the peer sends bytes without end that are no answer";
            return Err(io::Error::new(io::ErrorKind::InvalidData, cause));
        }
        Ok(())
    }
}

/// Whether a part of the last request could not be written yet, or never.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnsentPart(Arc<AtomicBool>);

impl UnsentPart {
    /// Returns whether there is such a part.
    pub(crate) fn is_some(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Records the outcome of a write of some bytes.
    fn record_write(&self, bytes: usize, written: &Poll<io::Result<usize>>) {
        let is_whole = matches!(written, Poll::Ready(Ok(written)) if *written == bytes);
        self.0.store(!is_whole, Ordering::Relaxed);
    }
}

/// A connection that fails once too many unused bytes were read.
#[derive(Debug)]
pub(crate) struct GuardedStream<S> {
    stream: S,
    unused: UnusedBytes,
    unsent: UnsentPart,
}

impl<S> GuardedStream<S> {
    pub(crate) fn new(stream: S, unused: UnusedBytes, unsent: UnsentPart) -> Self {
        Self {
            stream,
            unused,
            unsent,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let bytes = buf.filled().len() - before;
        Poll::Ready(self.unused.record_read(bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.unsent.record_write(buf.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        let bytes = bufs.iter().map(|buf| buf.len()).sum();
        self.unsent.record_write(bytes, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
