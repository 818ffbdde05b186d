//! Holds the handle that the roles read from.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hinge_config::held::{Applied, Held, Snapshot};
use hinge_link::Client;
use hinge_schema::messages::{
    Announce, Announced, ConfigDelta, FetchConfig, FetchedConfig, MembersDelta, Role,
};
use hinge_telemetry::info;
use hinge_telemetry::log::Part;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::list::{MemberList, MembersApplied};
use crate::spread::Spread;
use crate::tasks;

/// Gives access to what the process knows of the fleet; clones share it.
#[derive(Debug, Clone)]
pub struct Member {
    pub(crate) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) held: Held,
    pub(crate) client: Option<Client>,
    pub(crate) control: Vec<Box<str>>,
    pub(crate) spread: Spread,
    /// Wakes the announcing task when something about this process has changed.
    pub(crate) announce_now: tokio::sync::Notify,
    announce: Announce,
    started: Instant,
    members: ArcSwap<MemberList>,
    config_writer: Mutex<()>,
    members_writer: Mutex<()>,
    required_version: AtomicU64,
    confirmed: AtomicBool,
    fence: AtomicU64,
    fence_known: AtomicBool,
    highest_fence: AtomicU64,
    leaving: AtomicBool,
    /// Whether control has said that this process is drained.
    drained: AtomicBool,
    running: AtomicU32,
    ejected: AtomicBool,
    model_version: ArcSwap<Box<str>>,
    peer_address: ArcSwap<Box<str>>,
    changes: watch::Sender<u64>,
}

impl Member {
    /// Starts announcing the process and watching for changes.
    ///
    /// `announce` is the template of the announcement: name, role, pool, slots and the like.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn spawn(client: Client, announce: Announce, control: Vec<Box<str>>) -> Self {
        let member = Self::new(Some(client), announce, control);
        tasks::spawn(&member);
        member
    }

    /// Creates a handle with no control to talk to; it learns only what it is told.
    #[must_use]
    pub fn detached(announce: Announce) -> Self {
        Self::new(None, announce, Vec::new())
    }

    fn new(client: Option<Client>, announce: Announce, control: Vec<Box<str>>) -> Self {
        let model_version = ArcSwap::from_pointee(announce.model_version.clone());
        let peer_address = ArcSwap::from_pointee(announce.peer_address.clone());
        let shared = Shared {
            held: Held::empty(),
            client,
            control,
            spread: Spread::default(),
            announce_now: tokio::sync::Notify::new(),
            leaving: AtomicBool::new(announce.leaving),
            drained: AtomicBool::new(false),
            running: AtomicU32::new(0),
            ejected: AtomicBool::new(false),
            announce,
            started: Instant::now(),
            members: ArcSwap::default(),
            config_writer: Mutex::default(),
            members_writer: Mutex::default(),
            required_version: AtomicU64::new(0),
            confirmed: AtomicBool::new(false),
            fence: AtomicU64::new(0),
            fence_known: AtomicBool::new(false),
            highest_fence: AtomicU64::new(0),
            model_version,
            peer_address,
            changes: watch::Sender::new(0),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the name of this instance.
    #[must_use]
    pub fn instance(&self) -> &str {
        &self.shared.announce.instance
    }

    /// Returns the number that this process drew when it started.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.shared.announce.incarnation
    }

    /// Returns the addresses of control or relay instances from the settings.
    #[must_use]
    pub fn control_addresses(&self) -> &[Box<str>] {
        &self.shared.control
    }

    /// Returns the configuration in force here, without a lock.
    #[must_use]
    pub fn config(&self) -> Arc<Snapshot> {
        self.shared.held.current()
    }

    /// Returns the version of the configuration in force here; 0 before the first.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.shared.held.version()
    }

    /// Returns the members known here, without a lock.
    #[must_use]
    pub fn members(&self) -> Arc<MemberList> {
        self.shared.members.load_full()
    }

    /// Returns whether control or a peer has confirmed the configuration since this process started.
    ///
    /// A process that has just restarted with empty state takes no work before this.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.shared.confirmed.load(Ordering::Acquire)
    }

    /// Returns the lowest fencing number that is still valid, once control has told it.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        let known = self.shared.fence_known.load(Ordering::Acquire);
        known.then(|| self.shared.fence.load(Ordering::Acquire))
    }

    /// Records the highest fencing number that an order has shown, for the next announcement.
    pub fn record_fence(&self, fence: u64) {
        self.shared.highest_fence.fetch_max(fence, Ordering::AcqRel);
    }

    /// Says that this process takes no new work, and announces it at once.
    pub fn set_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Release);
        self.shared.announce_now.notify_one();
    }

    /// Returns whether this process takes no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.shared.leaving.load(Ordering::Acquire)
    }

    /// Records how many grants and requests run at the endpoint.
    ///
    /// It goes with the next announcement, or at once when the last one ends while the process is leaving or drained.
    pub fn set_running(&self, running: u32) {
        let shared = &self.shared;
        let before = shared.running.swap(running, Ordering::SeqCst);
        if before > 0 && running == 0 && self.is_drained() {
            shared.announce_now.notify_one();
        }
    }

    /// Returns whether the process takes no new work, by its own word or by control's.
    fn is_drained(&self) -> bool {
        self.is_leaving() || self.shared.drained.load(Ordering::SeqCst)
    }

    /// Returns whether control must hear at once of what has changed since an announcement.
    ///
    /// What changes while an announcement is under way may matter only by the reply to it.
    pub(crate) fn owes_word(&self, told: &Announce) -> bool {
        let now = self.announcement();
        let last_run_ended = told.running > Some(0) && now.running == Some(0) && self.is_drained();
        last_run_ended
            || told.leaving != now.leaving
            || told.ejected != now.ejected
            || told.model_version != now.model_version
            || told.peer_address != now.peer_address
    }

    /// Records whether the endpoint gets no work because it failed, and announces a change at once.
    pub fn set_ejected(&self, is_ejected: bool) {
        let before = self.shared.ejected.swap(is_ejected, Ordering::AcqRel);
        if before != is_ejected {
            self.shared.announce_now.notify_one();
        }
    }

    /// Records the version that the endpoint serves, and announces it at once.
    pub fn set_model_version(&self, version: &str) {
        self.shared.model_version.store(Arc::new(version.into()));
        self.shared.announce_now.notify_one();
    }

    /// Records the address at which other processes reach this one; nothing is announced before it is known.
    ///
    /// An address in the template, which an operator has set, stays.
    pub fn set_peer_address(&self, address: &str) {
        if self.shared.announce.peer_address.is_empty() {
            self.shared.peer_address.store(Arc::new(address.into()));
        }
        self.shared.announce_now.notify_one();
    }

    /// Takes in a change of the configuration; an older or repeated one changes nothing.
    #[expect(
        clippy::must_use_candidate,
        reason = "it is called for what it changes"
    )]
    pub fn apply_config(&self, delta: &ConfigDelta) -> Applied {
        let applied = self.apply_config_in_order(delta);
        if matches!(applied, Applied::Advanced(_)) {
            self.note_change();
        }
        if matches!(applied, Applied::Advanced(_) | Applied::Ignored) {
            self.confirm_if_reached();
        }
        applied
    }

    /// Applies a change and writes the record of it, so that the records have the order of the versions.
    fn apply_config_in_order(&self, delta: &ConfigDelta) -> Applied {
        let writer = self.shared.config_writer.lock();
        let _writer = writer.unwrap_or_else(PoisonError::into_inner);
        let applied = self.shared.held.apply(delta);
        if let Applied::Advanced(version) = applied {
            info!(
                Part::Config,
                "Configuration is in force.",
                version = version
            );
        }
        applied
    }

    /// Takes in a change of the configuration on a thread of its own.
    ///
    /// Merging the folder of 1,500 teams takes some ten milliseconds, in which answers that stream on this thread would stand still.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime, and when the merge itself panicked.
    pub async fn apply_config_off_thread(&self, delta: ConfigDelta) -> Applied {
        let member = self.clone();
        let learning = tokio::task::spawn_blocking(move || member.apply_config(&delta));
        learning
            .await
            .expect("the merge does not panic and is never cancelled")
    }

    /// Takes in a change of the member list.
    #[expect(
        clippy::must_use_candidate,
        reason = "it is called for what it changes"
    )]
    pub fn apply_members(&self, delta: &MembersDelta) -> MembersApplied {
        self.change_members(|list, now| list.apply(delta, now))
    }

    /// Answers a peer that asks for the configuration.
    #[must_use]
    pub fn answer_fetch(&self, ask: &FetchConfig) -> FetchedConfig {
        FetchedConfig {
            config: self.shared.held.delta_since(ask.config_version),
        }
    }

    /// Returns a channel whose number rises with every change of the configuration or the member list.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.changes.subscribe()
    }

    /// Fetches the configuration from a peer that showed a newer version.
    pub async fn fetch_config_from(&self, address: &str, seen_version: u64) {
        crate::spread::learn_from(self, address, seen_version).await;
    }

    /// Pushes the configuration to a peer that showed an older version.
    pub async fn push_config_to(&self, address: &str, seen_version: u64) {
        crate::spread::push_to(self, address, seen_version).await;
    }

    pub(crate) fn announcement(&self) -> Announce {
        let shared = &self.shared;
        let is_sidecar = shared.announce.role == Role::Sidecar;
        Announce {
            config_version: self.config_version(),
            highest_fence: shared.highest_fence.load(Ordering::Acquire),
            leaving: self.is_leaving(),
            running: is_sidecar.then(|| shared.running.load(Ordering::SeqCst)),
            ejected: is_sidecar.then(|| shared.ejected.load(Ordering::Acquire)),
            model_version: Box::clone(&shared.model_version.load()),
            peer_address: Box::clone(&shared.peer_address.load()),
            ..shared.announce.clone()
        }
    }

    pub(crate) fn learn_announced(&self, announced: &Announced) {
        let shared = &self.shared;
        shared.fence.fetch_max(announced.fence, Ordering::AcqRel);
        let is_drained = announced.drained == Some(true);
        shared.drained.store(is_drained, Ordering::SeqCst);
        shared.fence_known.store(true, Ordering::Release);
        shared
            .required_version
            .fetch_max(announced.config_version, Ordering::AcqRel);
        self.confirm_if_reached();
    }

    pub(crate) fn expire_members(&self) {
        self.change_members(|list, now| {
            if list.expire(now) {
                MembersApplied::Advanced
            } else {
                MembersApplied::Ignored
            }
        });
    }

    /// Confirms the configuration once a version is held that is as new as any that control or a peer has shown.
    fn confirm_if_reached(&self) {
        let held = self.config_version();
        if held > 0
            && held >= self.shared.required_version.load(Ordering::Acquire)
            && !self.is_current()
        {
            self.shared.confirmed.store(true, Ordering::Release);
            self.note_change();
        }
    }

    fn change_members(
        &self,
        change: impl FnOnce(&mut MemberList, Duration) -> MembersApplied,
    ) -> MembersApplied {
        let _writer = self.lock_members();
        let mut list = MemberList::clone(&self.shared.members.load());
        let learned = change(&mut list, self.shared.started.elapsed());
        if learned == MembersApplied::Advanced {
            self.shared.members.store(Arc::new(list));
            self.note_change();
        }
        learned
    }

    fn lock_members(&self) -> MutexGuard<'_, ()> {
        let lock = self.shared.members_writer.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    fn note_change(&self) {
        self.shared.changes.send_modify(|count| *count += 1);
    }
}
