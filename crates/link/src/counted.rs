//! TCP streams that count their bytes, and the connector that opens them.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::future::BoxFuture;
use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tower_service::Service;

use crate::traffic::{Direction, SocketCounter, Traffic};

/// A stream that counts the bytes read and written.
#[derive(Debug)]
pub(crate) struct CountedStream<S> {
    stream: S,
    counter: Arc<SocketCounter>,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(stream: S, counter: Arc<SocketCounter>) -> Self {
        Self { stream, counter }
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.counter.record(Direction::Sent, *bytes);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.counter
            .record(Direction::Received, buf.filled().len() - before);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_written(&written);
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

impl<S: Connection> Connection for CountedStream<S> {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

/// A connector to peers whose connections are counted as peer traffic from the first byte.
#[derive(Debug, Clone)]
pub(crate) struct CountedConnector {
    http: HttpConnector,
    traffic: Traffic,
}

impl CountedConnector {
    pub(crate) fn new(http: HttpConnector, traffic: Traffic) -> Self {
        Self { http, traffic }
    }
}

impl Service<Uri> for CountedConnector {
    type Response = TokioIo<CountedStream<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.http.poll_ready(cx)
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        let connecting = self.http.call(req);
        let traffic = self.traffic.clone();
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            let counter = SocketCounter::default();
            counter.attach(&traffic);
            Ok(TokioIo::new(CountedStream::new(stream, Arc::new(counter))))
        })
    }
}
