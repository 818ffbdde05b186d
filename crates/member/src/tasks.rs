//! Runs the tasks that talk to control.

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

/// Longest wait for the answer to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait of one watch; an answer without changes then shows that control is still there.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// How much longer than its own wait a watch may take before its connection counts as silent.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// Announcements in one lease, so that two lost ones in a row cost nothing.
const RENEWALS_PER_LEASE: u32 = 3;

pub(crate) fn spawn(member: &Member) {
    tokio::spawn(announce_forever(member.clone()));
    tokio::spawn(watch_forever(member.clone()));
}

/// Walks through the addresses of control, and moves on when one fails.
#[derive(Debug)]
struct Control {
    client: Client,
    addresses: Vec<Box<str>>,
    next: usize,
}

impl Control {
    fn of(member: &Member) -> Option<Self> {
        let addresses = member.shared.control.clone();
        if addresses.is_empty() {
            return None;
        }
        // Processes start at different addresses, so that they spread over the control instances.
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

    fn move_on(&mut self) {
        self.next = (self.next + 1) % self.addresses.len();
    }
}

async fn announce_forever(member: Member) {
    let Some(mut control) = Control::of(&member) else {
        return;
    };
    let mut backoff = Backoff::default();
    let mut is_known = false;
    while member.announcement().peer_address.is_empty() {
        member.shared.announce_now.notified().await;
    }
    loop {
        let announcement = member.announcement();
        let announced = control
            .client
            .call::<_, Announced>(
                control.address(),
                "/v1/announce",
                &announcement,
                ANNOUNCE_TIMEOUT,
            )
            .await;
        let wait = match announced {
            Ok(announced) => {
                member.learn_announced(&announced);
                note_known(&mut is_known, &control);
                backoff.succeed();
                Duration::from_millis(announced.lease_ms) / RENEWALS_PER_LEASE
            }
            Err(cause) => {
                note_lost(&mut is_known, &control, &cause);
                control.move_on();
                backoff.fail(&mut rand::rng())
            }
        };
        let _changed_or_elapsed = timeout(wait, owes_word(&member, &announcement)).await;
        member.expire_members();
    }
}

/// Waits until control must hear at once of what has changed since an announcement.
async fn owes_word(member: &Member, told: &Announce) {
    while !member.owes_word(told) {
        member.shared.announce_now.notified().await;
    }
}

fn note_known(is_known: &mut bool, control: &Control) {
    if !*is_known {
        info!(
            Part::Link,
            "Announced to control.",
            address = control.address()
        );
    }
    *is_known = true;
}

fn note_lost(is_known: &mut bool, control: &Control, cause: &hinge_link::CallError) {
    if *is_known {
        warn!(
            Part::Link,
            "Control does not answer.",
            address = control.address(),
            cause = cause
        );
    }
    *is_known = false;
}

async fn watch_forever(member: Member) {
    let Some(mut control) = Control::of(&member) else {
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
            Ok(update) => match learn(&member, update).await {
                Progress::Learned => {
                    wants_full = false;
                    backoff.succeed();
                }
                // Without a wait the same answer would come again at once.
                Progress::NeedsFull => {
                    wants_full = true;
                    let wait = backoff.fail(&mut rand::rng());
                    sleep(wait).await;
                }
            },
            Err(_cause) => {
                control.move_on();
                let wait = backoff.fail(&mut rand::rng());
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
        pools: wanted_pools(member),
    }
}

/// Only entries choose among endpoints; a name that no pool has keeps the list away from the others.
fn wanted_pools(member: &Member) -> Vec<Box<str>> {
    match member.announcement().role {
        Role::Entry | Role::Relay | Role::Control => Vec::new(),
        Role::Sidecar => vec!["-".into()],
    }
}

/// Says how the next watch must ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// For changes since what is held.
    Learned,
    /// For everything, after a wait.
    NeedsFull,
}

async fn learn(member: &Member, update: Update) -> Progress {
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
        Progress::NeedsFull
    } else {
        Progress::Learned
    }
}
