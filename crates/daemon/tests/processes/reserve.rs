//! Reserves addresses for processes that are yet to start.

use std::io;
use std::net::SocketAddr;

use hinge_cases::cases;
use tokio::net::TcpSocket;

/// Binds an address without listening, so that a process which binds it with `SO_REUSEADDR`, as listeners do, still can.
///
/// A listening probe would keep the address for as long as any child that another test starts meanwhile holds a copy of its socket.
///
/// # Errors
///
/// Returns the system's error where another process listens there.
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
