//! Background tasks that communicate with control.

use std::time::Duration;

use hinge_config::held::Applied;
use hinge_link::Client;
use hinge_schema::messages::{Announce, Announced, Role, Update, Watch};
use hinge_telemetry::log::Part;
use hinge_telemetry::{info, warn};
use tokio::time::{sleep, timeout};

use crate::backoff::Backoff;
use crate::list::MembersApplied;
use crate::member::Member;

/// Timeout of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long control may delay the reply to a watch; an empty reply then shows that control is still reachable.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// How much longer than [`WATCH_WAIT`] a watch may take before its connection counts as dead.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// Announcements per lease, so that the lease survives the loss of two in a row.
const RENEWALS_PER_LEASE: u32 = 3;

pub(crate) fn spawn(member: &Member) {
    tokio::spawn(announce_forever(member.clone()));
    tokio::spawn(watch_forever(member.clone()));
}

/// A client that calls one control address at a time, and moves to the next when a call fails.
#[derive(Debug)]
struct ControlClient {
    client: Client,
    addresses: Vec<Box<str>>,
    next: usize,
}

impl ControlClient {
    fn new(member: &Member) -> Option<Self> {
        let addresses = member.shared.control_addresses.clone();
        if addresses.is_empty() {
            return None;
        }
        // Processes start at different addresses, to distribute them over the control instances.
        let start = usize::try_from(member.incarnation() % 1_024).unwrap_or_default();
        Some(Self {
            client: member.shared.client.clone()?,
            next: start % addresses.len(),
            addresses,
        })
    }

    fn address(&self) -> &str {
        &self.addresses[self.next]
    }

    fn select_next(&mut self) {
        self.next = (self.next + 1) % self.addresses.len();
    }
}

async fn announce_forever(member: Member) {
    let Some(mut control) = ControlClient::new(&member) else {
        return;
    };
    let mut backoff = Backoff::default();
    let mut is_connected = false;
    while member.announcement().peer_address.is_empty() {
        member.shared.announce_now.notified().await;
    }
    loop {
        let announcement = member.announcement();
        let result = control
            .client
            .call::<_, Announced>(
                control.address(),
                "/v1/announce",
                &announcement,
                ANNOUNCE_TIMEOUT,
            )
            .await;
        let wait = match result {
            Ok(reply) => {
                member.apply_announce_reply(&reply);
                log_connected(&mut is_connected, &control);
                backoff.record_success();
                Duration::from_millis(reply.lease_ms) / RENEWALS_PER_LEASE
            }
            Err(cause) => {
                log_disconnected(&mut is_connected, &control, &cause);
                control.select_next();
                backoff.record_failure(&mut rand::rng())
            }
        };
        let _changed_or_elapsed = timeout(wait, announcement_needed(&member, &announcement)).await;
        member.expire_members();
    }
}

/// Waits until a change since the last announcement must be announced at once.
async fn announcement_needed(member: &Member, last: &Announce) {
    while !member.needs_announcement(last) {
        member.shared.announce_now.notified().await;
    }
}

fn log_connected(is_connected: &mut bool, control: &ControlClient) {
    if !*is_connected {
        info!(
            Part::Link,
            "Announced to control.",
            address = control.address()
        );
    }
    *is_connected = true;
}

fn log_disconnected(
    is_connected: &mut bool,
    control: &ControlClient,
    cause: &hinge_link::CallError,
) {
    if *is_connected {
        warn!(
            Part::Link,
            "Control does not answer.",
            address = control.address(),
            cause = cause
        );
    }
    *is_connected = false;
}

async fn watch_forever(member: Member) {
    let Some(mut control) = ControlClient::new(&member) else {
        return;
    };
    let mut backoff = Backoff::default();
    let mut wants_full = false;
    loop {
        let watch = watch_message(&member, wants_full);
        let wait = WATCH_WAIT + WATCH_MARGIN;
        match control
            .client
            .call::<_, Update>(control.address(), "/v1/watch", &watch, wait)
            .await
        {
            Ok(update) => match apply_update(&member, update).await {
                NextWatch::Changes => {
                    wants_full = false;
                    backoff.record_success();
                }
                // Without a wait the same reply would arrive again at once.
                NextWatch::Full => {
                    wants_full = true;
                    let wait = backoff.record_failure(&mut rand::rng());
                    sleep(wait).await;
                }
            },
            Err(_cause) => {
                control.select_next();
                let wait = backoff.record_failure(&mut rand::rng());
                sleep(wait).await;
            }
        }
    }
}

fn watch_message(member: &Member, wants_full: bool) -> Watch {
    let list = member.members();
    let (config_version, members_version) = if wants_full {
        (0, 0)
    } else {
        (member.config_version(), list.version())
    };
    Watch {
        instance: member.instance().into(),
        config_version,
        members_epoch: list.epoch(),
        members_version,
        wait_ms: u64::try_from(WATCH_WAIT.as_millis()).unwrap_or(u64::MAX),
        pools: watched_pools(member),
    }
}

/// Returns the pools whose members to watch: all for entries, relays and control, none for sidecars.
///
/// Only entries choose among endpoints. An empty list requests all pools, so sidecars ask for a name that no pool has.
fn watched_pools(member: &Member) -> Vec<Box<str>> {
    match member.announcement().role {
        Role::Entry | Role::Relay | Role::Control => Vec::new(),
        Role::Sidecar => vec!["-".into()],
    }
}

/// What the next watch must request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextWatch {
    /// Changes since the current versions.
    Changes,
    /// The full state, after a wait.
    Full,
}

async fn apply_update(member: &Member, update: Update) -> NextWatch {
    let mut wants_full = false;
    if let Some(delta) = update.config {
        let version = delta.version;
        match member.apply_config_off_thread(delta).await {
            Applied::NeedsFull => wants_full = true,
            Applied::Advanced(_) | Applied::Ignored => {}
            Applied::Invalid(problems) => {
                let first = problems
                    .first()
                    .map(hinge_config::describe)
                    .unwrap_or_default();
                warn!(
                    Part::Config,
                    "Configuration is not valid here.",
                    version = version,
                    problem = first
                );
                wants_full = true;
            }
        }
    }
    if let Some(delta) = &update.members {
        wants_full |= member.apply_members(delta) == MembersApplied::NeedsFull;
    }
    if wants_full {
        NextWatch::Full
    } else {
        NextWatch::Changes
    }
}
