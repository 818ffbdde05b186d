//! Records which requests ran, and the current load.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::StandInSettings;

/// Counts the runs of one request id.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Runs that began.
    pub begun: u32,
    /// Runs whose whole answer was produced.
    pub completed: u32,
}

/// Requests that have run so far, and the current load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Runs by the `x-request-id` header; requests without one are counted under the empty string.
    pub requests: BTreeMap<Box<str>, RunRecord>,
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting for a slot of the stand-in.
    pub waiting: u32,
    /// Tokens in the KV cache.
    pub kv_used_tokens: u64,
}

impl Record {
    /// Returns the number of runs that began.
    #[must_use]
    pub fn begun(&self) -> u32 {
        self.requests.values().map(|run| run.begun).sum()
    }

    /// Returns the number of runs that completed.
    #[must_use]
    pub fn completed(&self) -> u32 {
        self.requests.values().map(|run| run.completed).sum()
    }
}

/// Response body of `/load`.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct Load {
    running: u32,
    waiting: u32,
    kv_used_tokens: u64,
    kv_tokens: u64,
}

#[derive(Debug, Default)]
pub(super) struct Records {
    current: watch::Sender<Record>,
    last_load: Mutex<Option<(Instant, Load)>>,
}

impl Records {
    pub(super) fn snapshot(&self) -> Record {
        self.current.borrow().clone()
    }

    pub(super) async fn wait_until(&self, condition: impl Fn(&Record) -> bool) -> Record {
        let mut changes = self.current.subscribe();
        let met = changes.wait_for(|record| condition(record)).await;
        met.expect("the sender lives as long as the stand-in")
            .clone()
    }

    /// Returns the load; figures younger than the configured lag are repeated.
    pub(super) fn load(&self, settings: &StandInSettings) -> Load {
        let mut last = self
            .last_load
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if let Some((sampled_at, load)) = *last
            && now.duration_since(sampled_at) < settings.load_lag
        {
            return load;
        }
        let record = self.current.borrow();
        let load = Load {
            running: record.running,
            waiting: record.waiting,
            kv_used_tokens: record.kv_used_tokens,
            kv_tokens: settings.kv_tokens,
        };
        *last = Some((now, load));
        load
    }

    fn change(&self, apply: impl FnOnce(&mut Record)) {
        self.current.send_modify(apply);
    }
}

/// Counts a request that waits for a slot, until it is dropped.
#[derive(Debug)]
pub(super) struct Waiting(Arc<super::Shared>);

impl Waiting {
    pub(super) fn begin(shared: &Arc<super::Shared>) -> Self {
        shared.records.change(|record| record.waiting += 1);
        Self(Arc::clone(shared))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.records.change(|record| record.waiting -= 1);
    }
}

/// Counts a run until it is dropped, which also happens when the caller disconnects.
#[derive(Debug)]
pub(super) struct Running {
    shared: Arc<super::Shared>,
    request_id: Box<str>,
    kv_tokens: u64,
}

impl Running {
    pub(super) fn begin(shared: &Arc<super::Shared>, request_id: &str, kv_tokens: u64) -> Self {
        shared.records.change(|record| {
            record.running += 1;
            record.kv_used_tokens += kv_tokens;
            record.requests.entry(request_id.into()).or_default().begun += 1;
        });
        Self {
            shared: Arc::clone(shared),
            request_id: request_id.into(),
            kv_tokens,
        }
    }

    pub(super) fn complete(&self) {
        self.shared.records.change(|record| {
            let run = record.requests.entry(self.request_id.clone()).or_default();
            run.completed += 1;
        });
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shared.records.change(|record| {
            record.running -= 1;
            record.kv_used_tokens -= self.kv_tokens;
        });
    }
}
