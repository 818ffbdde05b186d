//! Talks HTTP/1.1 to the endpoint.
//!
//! Every request has a connection of its own. The endpoint may close a kept-alive connection while a request is being written,
//! and then it is unknown whether the request ran; a new connection that is refused proves that it did not.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use hinge_link::BodyEnd;
use hinge_schema::messages::{Bind, Header};
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::settings::SidecarSettings;

/// Header with the request's id; the endpoint shows it in its logs and may repeat it in the answer.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Longest answer to a load poll, in bytes.
const MAX_LOAD_BYTES: usize = 64 * 1024;

/// Hop-by-hop headers; each connection writes its own.
const HOP_BY_HOP: [HeaderName; 12] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The error when a bind is not a valid HTTP request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct InvalidRequest;

/// The error when no connection was made, so that nothing was sent.
#[derive(Debug)]
pub(crate) struct NotConnected;

impl fmt::Display for NotConnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no connection to the endpoint")
    }
}

/// A connection to the endpoint; dropping it closes the connection, which cancels the request.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    task: tokio::task::JoinHandle<()>,
}

impl Connection {
    pub(crate) async fn open(
        address: &str,
        connect_timeout: Duration,
    ) -> Result<Self, NotConnected> {
        let Ok(Ok(stream)) = timeout(connect_timeout, TcpStream::connect(address)).await else {
            return Err(NotConnected);
        };
        // Without TCP_NODELAY the last bytes of a request wait for an acknowledgement; the request works either way.
        let _set_or_slower = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_error| NotConnected)?;
        let task = tokio::spawn(async move {
            // The error reaches the reader of the answer as well.
            let _ended_or_broken = connection.await;
        });
        Ok(Self { sender, task })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Builds the endpoint's request from a bind and its whole body.
pub(crate) fn build_request(
    bind: &Bind,
    body: Bytes,
    address: &str,
    request_id: &str,
) -> Result<Request<Full<Bytes>>, InvalidRequest> {
    let method = Method::from_bytes(bind.method.as_bytes()).map_err(|_invalid| InvalidRequest)?;
    let uri: Uri = bind.path.parse().map_err(|_invalid| InvalidRequest)?;
    if !bind.path.starts_with('/') || method == Method::CONNECT {
        return Err(InvalidRequest);
    }
    let mut headers = HeaderMap::with_capacity(bind.headers.len() + 2);
    for header in &bind.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let name = name.map_err(|_invalid| InvalidRequest)?;
        let value = HeaderValue::from_bytes(&header.value).map_err(|_invalid| InvalidRequest)?;
        headers.append(name, value);
    }
    strip_hop_by_hop(&mut headers);
    let host = HeaderValue::from_str(address).map_err(|_invalid| InvalidRequest)?;
    let id = HeaderValue::from_str(request_id).map_err(|_invalid| InvalidRequest)?;
    headers.insert(HOST, host);
    headers.insert(REQUEST_ID, id);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Removes the hop-by-hop headers, and those that the `connection` header names.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Returns the end-to-end headers of an answer.
pub(crate) fn answer_headers(mut headers: HeaderMap) -> Vec<Header> {
    strip_hop_by_hop(&mut headers);
    headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: serde_bytes::ByteBuf::from(value.as_bytes()),
        })
        .collect()
}

/// Polls the load path; returns `None` when there is no whole answer.
pub(crate) async fn fetch_load(settings: &SidecarSettings) -> Option<(StatusCode, Bytes)> {
    let bind = Bind {
        request_id: 0,
        method: "GET".into(),
        path: settings.load_path.clone(),
        headers: Vec::new(),
        body_bytes: None,
        acknowledges: None,
    };
    let address = &settings.endpoint_address;
    let request = build_request(&bind, Bytes::new(), address, "load").ok()?;
    let connection = Connection::open(address, settings.connect_timeout).await;
    let mut connection = connection.ok()?;
    let response = connection.sender.send_request(request).await.ok()?;
    let status = response.status();
    BodyEnd::read(&Method::GET, status, response.headers()).ok()?;
    let body = Limited::new(response.into_body(), MAX_LOAD_BYTES);
    let body = body.collect().await.ok()?;
    Some((status, body.to_bytes()))
}
