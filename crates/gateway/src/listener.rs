//! Accepts callers' connections, and refuses them while overload control says so.

use std::io;
use std::net::SocketAddr;

use hinge_telemetry::log::Component;
use hinge_telemetry::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[cfg(test)]
mod tests;

/// A listener for callers that is closed while connections are refused.
#[derive(Debug)]
pub(crate) struct CallerListener {
    listener: Option<TcpListener>,
    /// Address to bind again; `None` if it could not be read, in which case the listener always stays open.
    address: Option<SocketAddr>,
    is_paused: watch::Receiver<bool>,
}

impl CallerListener {
    pub(crate) fn new(listener: TcpListener, is_paused: watch::Receiver<bool>) -> Self {
        Self {
            address: listener.local_addr().ok(),
            listener: Some(listener),
            is_paused,
        }
    }

    /// Returns the listener, unless it is closed.
    pub(crate) fn into_inner(self) -> Option<TcpListener> {
        self.listener
    }

    /// Waits for the next connection; cancel-safe.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a connection can't be accepted, or the address can't be bound again.
    pub(crate) async fn accept(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        loop {
            self.apply_pause().await?;
            let Some(listener) = &self.listener else {
                // The sender is dropped only when the gateway ends.
                let _changed_or_gone = self.is_paused.changed().await;
                continue;
            };
            tokio::select! {
                accepted = listener.accept() => return accepted,
                _changed_or_gone = self.is_paused.changed() => {}
            }
        }
    }

    /// Binds or closes the listener as overload control said last.
    async fn apply_pause(&mut self) -> io::Result<()> {
        let is_paused = *self.is_paused.borrow_and_update();
        let Some(address) = self.address else {
            return Ok(());
        };
        if is_paused {
            self.listener = None;
        } else if self.listener.is_none() {
            let bound = TcpListener::bind(address).await;
            if let Err(cause) = &bound {
                warn!(
                    Component::Gateway,
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
