//! Answers a connection beyond the limit with a prepared refusal, without parsing its request.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection::MAX_HEADER_BYTES;

/// The response to any request, with the same retry delay as other refusals for overload.
const RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    content-type: text/plain\r\n\
    content-length: 64\r\n\
    retry-after: 0.200\r\n\
    connection: close\r\n\
    \r\n\
    This instance has too many connections; the request did not run.";

/// End of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Size of a read, in bytes; most requests fit.
const READ_BYTES: usize = 2_048;

/// Time for the whole exchange, after which the connection is closed.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Reads a request without parsing it, and refuses it.
///
/// A peer that does not send a request in time gets no response.
pub(crate) async fn refuse(stream: TcpStream) {
    // A failure means that the caller has gone.
    let _ended = timeout(TIMEOUT, exchange(stream)).await;
}

async fn exchange(mut stream: TcpStream) -> io::Result<()> {
    let mut buffer = [0; READ_BYTES];
    // The last bytes of the previous read stay at the front, since the end of the head may lie across two reads.
    let mut kept = 0;
    let mut total = 0;
    loop {
        let read = stream.read(&mut buffer[kept..]).await?;
        if read == 0 {
            return Ok(());
        }
        total += read;
        let filled = &buffer[..kept + read];
        if filled.windows(HEAD_END.len()).any(|part| part == HEAD_END) || total > MAX_HEADER_BYTES {
            break;
        }
        let start = filled.len().saturating_sub(HEAD_END.len() - 1);
        kept = filled.len() - start;
        buffer.copy_within(start..start + kept, 0);
    }
    stream.write_all(RESPONSE).await?;
    // Closing a connection with unread input would reset it, and the caller might lose the response.
    stream.shutdown().await?;
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}
