//! Spreads the configuration between processes that meet on the data path.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hinge_config::held::Applied;
use hinge_schema::messages::{ConfigDelta, FetchConfig, FetchedConfig};
use tokio::time::Instant;

use crate::member::Member;

/// Longest wait for a peer's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a version that was pushed to a peer is not pushed again; many requests meet the same peer meanwhile.
const PUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Peers whose last push is remembered; the oldest are forgotten first, which costs at most a repeated push.
const REMEMBERED_PUSHES: usize = 512;

/// Holds what keeps many requests from fetching or pushing the same version at once.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    fetching: AtomicBool,
    pushed: Mutex<HashMap<Box<str>, (u64, Instant)>>,
}

impl Spread {
    fn may_push(&self, address: &str, version: u64) -> bool {
        let now = Instant::now();
        let mut pushed = self.pushed.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((last_version, at)) = pushed.get(address)
            && *last_version >= version
            && now.duration_since(*at) < PUSH_INTERVAL
        {
            return false;
        }
        if pushed.len() >= REMEMBERED_PUSHES {
            pushed.retain(|_, (_, at)| now.duration_since(*at) < PUSH_INTERVAL);
        }
        if pushed.len() < REMEMBERED_PUSHES {
            pushed.insert(address.into(), (version, now));
        }
        true
    }
}

pub(crate) async fn learn_from(member: &Member, address: &str, seen_version: u64) {
    if seen_version <= member.config_version() {
        return;
    }
    let Some(client) = &member.shared.client else {
        return;
    };
    let Some(_fetching) = Fetching::begin(&member.shared.spread.fetching) else {
        return;
    };
    for held in [member.config_version(), 0] {
        let ask = FetchConfig {
            config_version: held,
        };
        let fetched = client
            .call::<_, FetchedConfig>(address, "/v1/config/fetch", &ask, CALL_TIMEOUT)
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

/// Marks that a fetch is under way, until it is dropped: a caller that gives up its request drops the fetch in the middle.
#[derive(Debug)]
struct Fetching<'a> {
    flag: &'a AtomicBool,
}

impl<'a> Fetching<'a> {
    fn begin(flag: &'a AtomicBool) -> Option<Self> {
        let is_first = !flag.swap(true, Ordering::AcqRel);
        is_first.then(|| Self { flag })
    }
}

impl Drop for Fetching<'_> {
    fn drop(&mut self) {
        self.flag.store(false, Ordering::Release);
    }
}

pub(crate) async fn push_to(member: &Member, address: &str, seen_version: u64) {
    let version = member.config_version();
    let Some(client) = &member.shared.client else {
        return;
    };
    if seen_version >= version || !member.shared.spread.may_push(address, version) {
        return;
    }
    if let Some(delta) = member.shared.held.delta_since(seen_version) {
        let _lost_push_is_repeated = client
            .call::<ConfigDelta, FetchedConfig>(address, "/v1/config/push", &delta, CALL_TIMEOUT)
            .await;
    }
}
