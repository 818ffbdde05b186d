//! Stops the service of a listener without cutting connections that peers have already opened.
//!
//! To a peer, a connection is open as soon as the system has completed its handshake, and it may send its request at once.
//! Closing the listener resets the connections in its accept queue, and closing a connection with unread input resets that
//! one. A drain therefore accepts what is pending first, and closes an idle connection only once the system has no input for
//! it.

use std::io::{self, IoSlice, Read};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use futures::future::poll_fn;
use hyper_util::server::graceful::GracefulConnection;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::inbound::Peer;

#[cfg(test)]
mod tests;

/// Time for which connections stay open after a stop, so that a request that is on its way is still answered.
const LINGER: Duration = Duration::from_millis(200);

/// Maximum number of pending connections that are accepted before a listener closes.
///
/// It is twice the length of the accept queue, since further connections arrive meanwhile. Without a limit, callers that
/// connect again as soon as they are answered would keep the listener open.
pub const MAX_PENDING: u32 = 256;

/// Accepts the next connection in the accept queue, or returns `None` if the queue is empty.
///
/// The runtime's own `accept` relies on readiness events, and may be pending although the queue is not empty.
///
/// # Errors
///
/// Returns the system's error when a connection can't be accepted.
pub fn accept_pending(listener: &TcpListener) -> io::Result<Option<(TcpStream, SocketAddr)>> {
    let (socket, remote) = match SockRef::from(listener).accept() {
        Ok(accepted) => accepted,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
        Err(error) => return Err(error),
    };
    socket.set_nonblocking(true)?;
    let stream = TcpStream::from_std(socket.into())?;
    // The system no longer tells the address of a peer that has reset its connection.
    let remote = remote.as_socket().ok_or(io::ErrorKind::Unsupported)?;
    Ok(Some((stream, remote)))
}

/// Accepts all pending connections, and then closes the listener.
///
/// A connection that can't be accepted is passed over.
pub fn close_listener(listener: TcpListener, mut serve: impl FnMut(TcpStream, SocketAddr)) {
    for _ in 0..MAX_PENDING {
        match accept_pending(&listener) {
            Ok(Some((stream, remote))) => serve(stream, remote),
            Ok(None) => break,
            // The error concerns one connection, which has ended, or a lack of file descriptors.
            Err(_cause) => {}
        }
    }
    drop(listener);
}

/// The connections of a listener, which end when the drain is finished.
#[derive(Debug, Default)]
pub struct Drain {
    stop: watch::Sender<bool>,
}

impl Drain {
    /// Returns a guard to serve one connection with.
    #[must_use]
    pub fn guard(&self) -> DrainGuard {
        DrainGuard {
            stopped: self.stop.subscribe(),
            reads_directly: Arc::default(),
        }
    }

    /// Closes each connection after the requests in progress, and waits until all are closed.
    pub async fn finish(self) {
        self.stop.send_replace(true);
        self.stop.closed().await;
    }
}

/// A guard of one connection; the drain waits until it is dropped.
#[derive(Debug)]
pub struct DrainGuard {
    stopped: watch::Receiver<bool>,
    reads_directly: Arc<AtomicBool>,
}

impl DrainGuard {
    /// Returns a receiver of whether the drain has been asked to finish.
    ///
    /// From then on each response should ask its peer to close the connection, because a peer that sends a further request
    /// while the connection is being closed gets no response.
    #[must_use]
    pub fn stopping(&self) -> watch::Receiver<bool> {
        self.stopped.clone()
    }

    /// Wraps the stream of the connection.
    #[must_use]
    pub fn wrap(&self, stream: TcpStream, peer: Peer) -> DrainStream {
        DrainStream {
            stream,
            peer,
            reads_directly: Arc::clone(&self.reads_directly),
        }
    }

    /// Returns whether the wrapped stream reads from the system directly, which its owner may change.
    pub(crate) fn reads_directly(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.reads_directly)
    }

    /// Waits until the drain finishes or is dropped.
    async fn stopped(&mut self) {
        while !*self.stopped.borrow_and_update() && self.stopped.changed().await.is_ok() {}
    }

    /// Serves the connection, whose stream is wrapped, until it ends.
    ///
    /// # Errors
    ///
    /// Returns the error with which the connection ended.
    pub async fn serve<C: GracefulConnection>(mut self, connection: C) -> Result<(), C::Error> {
        let mut connection = pin!(connection);
        tokio::select! {
            ended = connection.as_mut() => return ended,
            () = self.stopped() => {}
        }
        tokio::select! {
            ended = connection.as_mut() => return ended,
            () = sleep(LINGER) => {}
        }
        self.reads_directly.store(true, Ordering::Relaxed);
        // In one poll, so that nothing runs between the read that finds no input and the close of an idle connection.
        let ended = poll_fn(|cx| {
            let polled = connection.as_mut().poll(cx);
            if polled.is_pending() {
                connection.as_mut().graceful_shutdown();
            }
            Poll::Ready(polled)
        });
        match ended.await {
            Poll::Ready(ended) => ended,
            Poll::Pending => connection.await,
        }
    }
}

/// A TCP stream that a drain can make read from the system directly, without waiting for a readiness event, and that records whether
/// its peer reads.
#[derive(Debug)]
pub struct DrainStream {
    stream: TcpStream,
    peer: Peer,
    reads_directly: Arc<AtomicBool>,
}

impl AsyncRead for DrainStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_ready() || !self.reads_directly.load(Ordering::Relaxed) {
            return polled;
        }
        match (&*SockRef::from(&self.stream)).read(buf.initialize_unfilled()) {
            Ok(bytes) => {
                buf.advance(bytes);
                Poll::Ready(Ok(()))
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            Err(error) => Poll::Ready(Err(error)),
        }
    }
}

impl AsyncWrite for DrainStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.peer.record_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.peer.record_write(written.is_pending());
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
