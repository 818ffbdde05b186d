//! The system's buffers and descriptors of a listener.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The system's buffers of each connection of a listener, in bytes; the system may hold up to twice as much.
#[derive(Debug, Clone, Copy)]
pub struct Buffers {
    /// Bytes that were received and not read.
    pub received_bytes: u32,
    /// Bytes that were written and not acknowledged.
    pub sent_bytes: u32,
}

impl Buffers {
    /// Buffers of connections from callers, of which there are many.
    pub const CALLERS: Self = Self {
        received_bytes: 8 << 10,
        sent_bytes: 8 << 10,
    };

    /// Buffers of connections from other processes of the fleet, which may be in another region.
    pub const PEERS: Self = Self {
        received_bytes: 128 << 10,
        sent_bytes: 128 << 10,
    };

    /// Returns the most bytes that the system holds of a connection that nobody reads: one and a half times what the buffer is set to.
    #[must_use]
    pub fn max_received_bytes(self) -> u64 {
        u64::from(self.received_bytes) * 3 / 2
    }
}

/// Binds a listener, whose connections inherit the sizes of their buffers.
///
/// # Errors
///
/// Returns the system's error when the address can't be bound.
pub fn listen(address: SocketAddr, buffers: Buffers) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(buffers.received_bytes)?;
    socket.set_send_buffer_size(buffers.sent_bytes)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Returns the number of descriptors that the process may open, as far as the system limits it.
#[must_use]
pub fn max_descriptors() -> u32 {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(u32::MAX, |limit| u32::try_from(limit).unwrap_or(u32::MAX))
}
