//! A client for calls to other processes, at addresses that a dialler resolves.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{CallError, Client, ClusterKey};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Resolves the addresses of settings and announcements to those to connect to.
///
/// All outgoing connections pass through it, so tests use it to cut links.
pub trait Dial: Debug + Send + Sync + 'static {
    /// Returns the address to connect to, or `None` when it is unreachable.
    fn resolve(&self, address: &str) -> Option<Box<str>>;
}

/// A dialler that connects directly to every address.
#[derive(Debug, Clone, Copy, Default)]
pub struct Direct;

impl Dial for Direct {
    fn resolve(&self, address: &str) -> Option<Box<str>> {
        Some(address.into())
    }
}

/// A client that authenticates its calls with one key.
#[derive(Debug, Clone)]
pub(crate) struct PeerClient {
    client: Client,
    dial: Arc<dyn Dial>,
}

impl PeerClient {
    pub(crate) fn new(key: ClusterKey, dial: Arc<dyn Dial>) -> Self {
        Self {
            client: Client::new(key),
            dial,
        }
    }

    /// Returns the bytes of this process's calls and answers that are encoded and not yet written to their sockets.
    pub(crate) fn unsent_bytes(&self) -> u64 {
        self.client.traffic().unsent_bytes()
    }

    pub(crate) async fn call<Q, A>(
        &self,
        address: &str,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, CallError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let Some(address) = self.dial.resolve(address) else {
            return Err(CallError::NotSent("no route to the address".into()));
        };
        self.client.call(&address, path, message, timeout).await
    }
}
