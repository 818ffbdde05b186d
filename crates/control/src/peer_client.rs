//! A client for calls to other processes, at addresses that a dialler resolves.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::{CallError, Client, ClusterKey};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};

/// Bytes of unsent calls and answers above which no whole configuration is encoded for another watcher.
const MAX_UNSENT_BYTES: u64 = 8 << 20;

/// Interval at which an answer with a whole configuration checks whether there is room for it.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(10);

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

    /// Waits until few enough bytes of calls and answers are unsent; returns false if they are too many at the deadline.
    ///
    /// A change concerns all watchers at once. If each answer with a whole configuration were encoded at once, many watchers
    /// would exhaust the memory together.
    pub(crate) async fn wait_for_room(&self, deadline: Instant) -> bool {
        while self.client.traffic().unsent_bytes() > MAX_UNSENT_BYTES {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(ROOM_POLL_INTERVAL).await;
        }
        true
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
