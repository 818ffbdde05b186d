//! Accepts the connections of callers, and refuses them for a while when the limits of the load say so.

use std::io;
use std::net::SocketAddr;

use hinge_telemetry::log::Part;
use hinge_telemetry::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[cfg(test)]
mod tests;

/// Holds the listener for callers, or none while connections are refused.
#[derive(Debug)]
pub(crate) struct Door {
    listener: Option<TcpListener>,
    /// Address to listen on again; none when it could not be read, and then the door stays open.
    address: Option<SocketAddr>,
    is_closed: watch::Receiver<bool>,
}

impl Door {
    pub(crate) fn new(listener: TcpListener, is_closed: watch::Receiver<bool>) -> Self {
        Self {
            address: listener.local_addr().ok(),
            listener: Some(listener),
            is_closed,
        }
    }

    /// Waits for the next connection; it may be dropped while it waits.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a connection can't be accepted, or the address can't be bound again.
    pub(crate) async fn accept(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        loop {
            self.follow().await?;
            let Some(listener) = &self.listener else {
                // A sender that is gone means that the gateway ends.
                let _changed_or_gone = self.is_closed.changed().await;
                continue;
            };
            tokio::select! {
                accepted = listener.accept() => return accepted,
                _changed_or_gone = self.is_closed.changed() => {}
            }
        }
    }

    /// Opens or closes the door as the limits of the load said last.
    async fn follow(&mut self) -> io::Result<()> {
        let is_closed = *self.is_closed.borrow_and_update();
        let Some(address) = self.address else {
            return Ok(());
        };
        if is_closed {
            self.listener = None;
        } else if self.listener.is_none() {
            let bound = TcpListener::bind(address).await;
            if let Err(cause) = &bound {
                warn!(
                    Part::Gateway,
                    "The address for callers can't be bound again yet.",
                    address = address,
                    cause = cause
                );
            }
            self.listener = Some(bound?);
        }
        Ok(())
    }
}
