//! Reserves addresses for processes that start later.

use std::io;
use std::net::SocketAddr;

use hinge_cases::cases;
use tokio::net::TcpSocket;

/// Binds an address without listening, so that a process which binds it with `SO_REUSEADDR`, as listeners do, still can.
///
/// A listening socket would keep the address busy for as long as a child process that another test starts in the meantime
/// holds an inherited copy of it.
///
/// # Errors
///
/// Returns the system's error when another process listens on the address.
pub(crate) fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

cases! {
    a_reserved_address_can_be_bound_while_a_copy_of_the_probe_is_open => {
        let probe = reserve(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
        let address = probe.local_addr().expect("it is bound");
        let listener = std::net::TcpListener::bind(address).expect("the probe does not listen");
        assert!(reserve(address).is_err(), "a listener is there");
        drop((probe, listener));
    }
}
