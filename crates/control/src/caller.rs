//! Calls other processes at the addresses that a dialler gives.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{CallError, Client, ClusterKey};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Turns the addresses of settings and announcements into those to connect to.
///
/// It is the process's edge towards the network: a test gives one that cuts links.
pub trait Dial: Debug + Send + Sync + 'static {
    /// Returns where to connect for an address, or `None` when the call can't be made.
    fn resolve(&self, address: &str) -> Option<Box<str>>;
}

/// Connects to every address as it is.
#[derive(Debug, Clone, Copy, Default)]
pub struct Direct;

impl Dial for Direct {
    fn resolve(&self, address: &str) -> Option<Box<str>> {
        Some(address.into())
    }
}

/// Makes calls under one key.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    client: Client,
    dial: Arc<dyn Dial>,
}

impl Caller {
    pub(crate) fn new(key: ClusterKey, dial: Arc<dyn Dial>) -> Self {
        Self {
            client: Client::new(key),
            dial,
        }
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
