//! Exchanges the configuration between processes that communicate on the data path.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hinge_config::held::Applied;
use hinge_schema::messages::{ConfigDelta, FetchConfig, FetchedConfig};
use tokio::time::Instant;

use crate::member::Member;

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time before a version is pushed to the same peer again, since many requests reach a peer in quick succession.
const PUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of peers whose last push is remembered; expired ones are dropped, at the cost of a repeated push at most.
const MAX_REMEMBERED_PUSHES: usize = 512;

/// State that keeps concurrent requests from fetching or pushing the same version.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    fetching: AtomicBool,
    last_pushes: Mutex<HashMap<Box<str>, (u64, Instant)>>,
}

impl Gossip {
    fn may_push(&self, address: &str, version: u64) -> bool {
        let now = Instant::now();
        let mut last_pushes = self
            .last_pushes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some((last_version, at)) = last_pushes.get(address)
            && *last_version >= version
            && now.duration_since(*at) < PUSH_INTERVAL
        {
            return false;
        }
        if last_pushes.len() >= MAX_REMEMBERED_PUSHES {
            last_pushes.retain(|_, (_, at)| now.duration_since(*at) < PUSH_INTERVAL);
        }
        if last_pushes.len() < MAX_REMEMBERED_PUSHES {
            last_pushes.insert(address.into(), (version, now));
        }
        true
    }
}

pub(crate) async fn fetch_from(member: &Member, address: &str, peer_version: u64) {
    if peer_version <= member.config_version() {
        return;
    }
    let Some(client) = &member.shared.client else {
        return;
    };
    let Some(_guard) = FetchGuard::begin(&member.shared.gossip.fetching) else {
        return;
    };
    for base_version in [member.config_version(), 0] {
        let request = FetchConfig {
            config_version: base_version,
        };
        let fetched = client
            .call::<_, FetchedConfig>(address, "/v1/config/fetch", &request, CALL_TIMEOUT)
            .await;
        let Ok(FetchedConfig {
            config: Some(delta),
        }) = fetched
        else {
            break;
        };
        if member.apply_config_off_thread(delta).await != Applied::NeedsFull {
            break;
        }
    }
}

/// Guard that marks a fetch as running until it is dropped, also when an abandoned request drops the fetch halfway.
#[derive(Debug)]
struct FetchGuard<'a> {
    flag: &'a AtomicBool,
}

impl<'a> FetchGuard<'a> {
    fn begin(flag: &'a AtomicBool) -> Option<Self> {
        let is_first = !flag.swap(true, Ordering::AcqRel);
        is_first.then(|| Self { flag })
    }
}

impl Drop for FetchGuard<'_> {
    fn drop(&mut self) {
        self.flag.store(false, Ordering::Release);
    }
}

pub(crate) async fn push_to(member: &Member, address: &str, peer_version: u64) {
    let version = member.config_version();
    let Some(client) = &member.shared.client else {
        return;
    };
    if peer_version >= version || !member.shared.gossip.may_push(address, version) {
        return;
    }
    if let Some(delta) = member.shared.held.delta_since(peer_version) {
        let _lost_pushes_are_repeated = client
            .call::<ConfigDelta, FetchedConfig>(address, "/v1/config/push", &delta, CALL_TIMEOUT)
            .await;
    }
}
