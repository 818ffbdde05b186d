//! The client for calls and exchanges with other processes of the fleet.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::auth::ClusterKey;
use crate::codec::{CodecError, decode, encode};
use crate::counted::CountedConnector;
use crate::frames::{FrameReader, FrameSender, counted_frame_body};
use crate::traffic::{Direction, MessageClass, MessageCounter, Traffic};

pub(crate) const MESSAGE_TYPE: &str = "application/msgpack";

/// Maximum length of a call's message, in bytes; a full configuration with 1,500 teams is below 1 MB.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Timeout of a TCP connect: regions are tens of milliseconds apart, and an unresponsive instance must not hold up a call.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval of probes on a connection without traffic, which detect a silent network partition.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a probe may remain unanswered before the connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an idle connection is kept, which limits an entry's connections to the sidecars that it has used recently.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The reason why a call has no answer.
#[derive(Debug)]
pub enum CallError {
    /// No connection was made, so the message was not sent.
    NotSent(Box<dyn Error + Send + Sync>),
    /// The connection was lost after the message may have been sent.
    Lost(Box<dyn Error + Send + Sync>),
    /// The answer did not arrive in time; the message may have been sent.
    TimedOut,
    /// The peer answered with a status other than 200.
    Status(StatusCode),
    /// A message could not be encoded or decoded.
    Codec(CodecError),
}

impl CallError {
    /// Returns whether it is certain that the peer did not receive the message.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "no connection: {cause}"),
            Self::Lost(cause) => write!(f, "the connection broke: {cause}"),
            Self::TimedOut => f.write_str("no answer in time"),
            Self::Status(status) => write!(f, "the peer answered {status}"),
            Self::Codec(cause) => cause.fmt(f),
        }
    }
}

impl Error for CallError {}

/// The client's end of an open exchange.
#[derive(Debug)]
pub struct Exchange {
    /// Sender of frames to the peer.
    pub sender: FrameSender,
    /// Reader of frames from the peer.
    pub reader: FrameReader<Incoming>,
}

/// A client that calls other processes over shared HTTP/2 connections, one for each address.
#[derive(Debug, Clone)]
pub struct Client {
    http: HttpClient<CountedConnector, BoxBody<Bytes, std::convert::Infallible>>,
    key: ClusterKey,
}

impl Client {
    /// Creates a client that authenticates with the cluster key.
    #[must_use]
    pub fn new(key: ClusterKey) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .timer(TokioTimer::new())
            .http2_only(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .http2_keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .build(CountedConnector::new(connector, key.traffic().clone()));
        Self { http, key }
    }

    /// Returns the traffic counters of the client's key.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        self.key.traffic()
    }

    /// Sends one message and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`]; only [`CallError::is_not_sent`] proves that the peer did not act on the message.
    pub async fn call<Q, A>(
        &self,
        address: &str,
        path: &str,
        message: &Q,
        wait: Duration,
    ) -> Result<A, CallError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let message = encode(message).map_err(CallError::Codec)?;
        let (traffic, class) = (self.key.traffic(), MessageClass::of_path(path));
        traffic.record_message(class, Direction::Sent, message.len());
        let body = Full::new(traffic.hold_unsent(message)).boxed();
        let request = self.build_request(address, path, body)?;
        let answer = timeout(wait, self.read_answer(request))
            .await
            .map_err(|_elapsed| CallError::TimedOut)??;
        traffic.record_message(class, Direction::Received, answer.len());
        decode(&answer).map_err(CallError::Codec)
    }

    /// Opens an exchange.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when the peer does not accept the exchange in time.
    pub async fn open(
        &self,
        address: &str,
        path: &str,
        wait: Duration,
    ) -> Result<Exchange, CallError> {
        self.open_frames(address, path, wait, |_sender| ()).await
    }

    /// Opens an exchange and sends a first message with the opening request, which saves a round trip.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when the peer does not accept the exchange in time; it may have read the message.
    ///
    /// # Panics
    ///
    /// Panics when the message can't be represented in MessagePack, which every generated message can.
    pub async fn open_with<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        first: &T,
        wait: Duration,
    ) -> Result<Exchange, CallError> {
        let send = |sender: &FrameSender| {
            let sent = sender.try_send(first);
            sent.expect("a new exchange has room for a message");
        };
        self.open_frames(address, path, wait, send).await
    }

    async fn open_frames(
        &self,
        address: &str,
        path: &str,
        wait: Duration,
        send_first: impl FnOnce(&FrameSender),
    ) -> Result<Exchange, CallError> {
        let traffic = self.key.traffic();
        let (sender, body) =
            counted_frame_body(MessageCounter::new(traffic, Direction::Sent, path));
        send_first(&sender);
        let request = self.build_request(address, path, body.boxed())?;
        match timeout(wait, self.send_request(request)).await {
            Ok(incoming) => Ok(Exchange {
                sender,
                reader: FrameReader::counted(
                    incoming?,
                    MessageCounter::new(traffic, Direction::Received, path),
                ),
            }),
            Err(_elapsed) => Err(CallError::TimedOut),
        }
    }

    fn build_request(
        &self,
        address: &str,
        path: &str,
        body: BoxBody<Bytes, std::convert::Infallible>,
    ) -> Result<Request<BoxBody<Bytes, std::convert::Infallible>>, CallError> {
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(AUTHORIZATION, self.key.header_value())
            .header(CONTENT_TYPE, MESSAGE_TYPE)
            .body(body)
            .map_err(|cause| CallError::NotSent(cause.into()))
    }

    async fn send_request(
        &self,
        request: Request<BoxBody<Bytes, std::convert::Infallible>>,
    ) -> Result<Incoming, CallError> {
        let response = self.http.request(request).await.map_err(|cause| {
            if cause.is_connect() {
                CallError::NotSent(cause.into())
            } else {
                CallError::Lost(cause.into())
            }
        })?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            status => Err(CallError::Status(status)),
        }
    }

    async fn read_answer(
        &self,
        request: Request<BoxBody<Bytes, std::convert::Infallible>>,
    ) -> Result<Bytes, CallError> {
        let body = self.send_request(request).await?;
        let whole = Limited::new(body, MAX_MESSAGE_BYTES).collect().await;
        Ok(whole.map_err(CallError::Lost)?.to_bytes())
    }
}
