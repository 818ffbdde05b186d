//! The handle through which roles access a process's view of the fleet.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hinge_clock::BootInstant;
use hinge_config::current::{Applied, CurrentConfig, Snapshot};
use hinge_link::Client;
use hinge_schema::messages::{
    Announce, Announced, ConfigDelta, FetchConfig, FetchedConfig, MembersDelta, Role,
};
use hinge_telemetry::info;
use hinge_telemetry::log::Component;
use tokio::sync::watch;

use crate::gossip::Gossip;
use crate::list::{MemberList, MembersApplied};
use crate::tasks;

/// This process as a member of the fleet, with its view of the others; clones share the same state.
#[derive(Debug, Clone)]
pub struct Member {
    pub(crate) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) held: CurrentConfig,
    pub(crate) client: Option<Client>,
    pub(crate) control_addresses: Vec<Box<str>>,
    pub(crate) gossip: Gossip,
    /// Wakes the announcing task when the state of this process has changed.
    pub(crate) announce_now: tokio::sync::Notify,
    announce_template: Announce,
    started_at: BootInstant,
    members: ArcSwap<MemberList>,
    config_writer: Mutex<()>,
    members_writer: Mutex<()>,
    required_version: AtomicU64,
    confirmed: AtomicBool,
    fence: AtomicU64,
    fence_known: AtomicBool,
    highest_fence: AtomicU64,
    leaving: AtomicBool,
    /// Whether control has marked this process as drained.
    drained: AtomicBool,
    running: AtomicU32,
    ejected: AtomicBool,
    model_version: ArcSwap<Box<str>>,
    peer_address: ArcSwap<Box<str>>,
    changes: watch::Sender<u64>,
}

impl Member {
    /// Creates a handle and starts announcing the process and watching for changes.
    ///
    /// `announce_template` contains the constant fields of the announcements: name, role, pool, slots and the like.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn spawn(
        client: Client,
        announce_template: Announce,
        control_addresses: Vec<Box<str>>,
    ) -> Self {
        let member = Self::new(Some(client), announce_template, control_addresses);
        tasks::spawn(&member);
        member
    }

    /// Creates a handle without control; only changes passed to it are applied.
    #[must_use]
    pub fn detached(announce_template: Announce) -> Self {
        Self::new(None, announce_template, Vec::new())
    }

    fn new(
        client: Option<Client>,
        announce_template: Announce,
        control_addresses: Vec<Box<str>>,
    ) -> Self {
        let model_version = ArcSwap::from_pointee(announce_template.model_version.clone());
        let peer_address = ArcSwap::from_pointee(announce_template.peer_address.clone());
        let shared = Shared {
            held: CurrentConfig::empty(),
            client,
            control_addresses,
            gossip: Gossip::default(),
            announce_now: tokio::sync::Notify::new(),
            leaving: AtomicBool::new(announce_template.leaving),
            drained: AtomicBool::new(false),
            running: AtomicU32::new(0),
            ejected: AtomicBool::new(false),
            announce_template,
            started_at: BootInstant::now(),
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
        &self.shared.announce_template.instance
    }

    /// Returns the random number that identifies this run of the process.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.shared.announce_template.incarnation
    }

    /// Returns the addresses of the control or relay instances from the settings.
    #[must_use]
    pub fn control_addresses(&self) -> &[Box<str>] {
        &self.shared.control_addresses
    }

    /// Returns the configuration in force here, without a lock.
    #[must_use]
    pub fn config(&self) -> Arc<Snapshot> {
        self.shared.held.current()
    }

    /// Returns the version of the configuration in force here; 0 before the first configuration.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.shared.held.version()
    }

    /// Returns the current member list, without a lock.
    #[must_use]
    pub fn members(&self) -> Arc<MemberList> {
        self.shared.members.load_full()
    }

    /// Returns whether control or a peer has confirmed the configuration since this process started.
    ///
    /// A process that has restarted with empty state accepts no work before this.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.shared.confirmed.load(Ordering::Acquire)
    }

    /// Returns the lowest fencing number that is still valid, or `None` until control has sent it.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        let known = self.shared.fence_known.load(Ordering::Acquire);
        known.then(|| self.shared.fence.load(Ordering::Acquire))
    }

    /// Records a fencing number from an order; the next announcement reports the highest.
    pub fn record_fence(&self, fence: u64) {
        self.shared.highest_fence.fetch_max(fence, Ordering::AcqRel);
    }

    /// Marks this process as leaving, so that it gets no new work, and announces it at once.
    pub fn set_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Release);
        self.shared.announce_now.notify_one();
    }

    /// Returns whether this process is leaving, so that it gets no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.shared.leaving.load(Ordering::Acquire)
    }

    /// Records how many grants and requests run at the endpoint.
    ///
    /// The next announcement reports it; when the last one ends while the process is leaving or drained, it is sent at once.
    pub fn set_running(&self, running: u32) {
        let shared = &self.shared;
        let before = shared.running.swap(running, Ordering::SeqCst);
        if before > 0 && running == 0 && self.is_drained() {
            shared.announce_now.notify_one();
        }
    }

    /// Returns whether the process gets no new work, because it is leaving or because control drained it.
    fn is_drained(&self) -> bool {
        self.is_leaving() || self.shared.drained.load(Ordering::SeqCst)
    }

    /// Returns whether a change since the last announcement must be announced at once.
    ///
    /// The check follows the reply to an announcement, since the reply may make a change during the call relevant.
    pub(crate) fn needs_announcement(&self, last: &Announce) -> bool {
        let now = self.announcement();
        let last_run_ended = last.running > Some(0) && now.running == Some(0) && self.is_drained();
        last_run_ended
            || last.leaving != now.leaving
            || last.ejected != now.ejected
            || last.model_version != now.model_version
            || last.peer_address != now.peer_address
    }

    /// Records whether the endpoint is ejected because it failed, and announces a change at once.
    pub fn set_ejected(&self, is_ejected: bool) {
        let before = self.shared.ejected.swap(is_ejected, Ordering::AcqRel);
        if before != is_ejected {
            self.shared.announce_now.notify_one();
        }
    }

    /// Records the model version that the endpoint serves, and announces it at once.
    pub fn set_model_version(&self, version: &str) {
        self.shared.model_version.store(Arc::new(version.into()));
        self.shared.announce_now.notify_one();
    }

    /// Records the address at which other processes reach this one; nothing is announced before it is known.
    ///
    /// An address in the announcement template takes precedence, since an operator has set it.
    pub fn set_peer_address(&self, address: &str) {
        if self.shared.announce_template.peer_address.is_empty() {
            self.shared.peer_address.store(Arc::new(address.into()));
        }
        self.shared.announce_now.notify_one();
    }

    /// Applies a change of the configuration; an older or repeated one has no effect.
    #[expect(
        clippy::must_use_candidate,
        reason = "callers may need only its effect"
    )]
    pub fn apply_config(&self, delta: &ConfigDelta) -> Applied {
        let applied = self.apply_config_in_order(delta);
        if matches!(applied, Applied::Advanced(_)) {
            self.notify_change();
        }
        if matches!(applied, Applied::Advanced(_) | Applied::Ignored) {
            self.confirm_if_reached();
        }
        applied
    }

    /// Applies a change and logs it under one lock, so that the log lines are in the order of the versions.
    fn apply_config_in_order(&self, delta: &ConfigDelta) -> Applied {
        let writer = self.shared.config_writer.lock();
        let _writer = writer.unwrap_or_else(PoisonError::into_inner);
        let applied = self.shared.held.apply(delta);
        if let Applied::Advanced(version) = applied {
            info!(
                Component::Config,
                "Configuration is in force.",
                version = version
            );
        }
        applied
    }

    /// Applies a change of the configuration on a blocking thread.
    ///
    /// Merging the folder of 1,500 teams takes about 10 ms, during which answers that stream on this thread would stall.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime, and if the merge panics.
    pub async fn apply_config_off_thread(&self, delta: ConfigDelta) -> Applied {
        let member = self.clone();
        let applying = tokio::task::spawn_blocking(move || member.apply_config(&delta));
        applying
            .await
            .expect("the merge does not panic and is never cancelled")
    }

    /// Applies a change of the member list.
    #[expect(
        clippy::must_use_candidate,
        reason = "callers may need only its effect"
    )]
    pub fn apply_members(&self, delta: &MembersDelta) -> MembersApplied {
        self.change_members(|list, now| list.apply(delta, now))
    }

    /// Returns the reply to a peer that requests the configuration.
    #[must_use]
    pub fn answer_fetch(&self, request: &FetchConfig) -> FetchedConfig {
        FetchedConfig {
            config: self.shared.held.delta_since(request.config_version),
        }
    }

    /// Returns a channel whose value increases with every change of the configuration or the member list.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.changes.subscribe()
    }

    /// Fetches the configuration from a peer that reported a newer version.
    pub async fn fetch_config_from(&self, address: &str, peer_version: u64) {
        crate::gossip::fetch_from(self, address, peer_version).await;
    }

    /// Pushes the configuration to a peer that reported an older version.
    pub async fn push_config_to(&self, address: &str, peer_version: u64) {
        crate::gossip::push_to(self, address, peer_version).await;
    }

    pub(crate) fn announcement(&self) -> Announce {
        let shared = &self.shared;
        let is_sidecar = shared.announce_template.role == Role::Sidecar;
        Announce {
            config_version: self.config_version(),
            highest_fence: shared.highest_fence.load(Ordering::Acquire),
            leaving: self.is_leaving(),
            running: is_sidecar.then(|| shared.running.load(Ordering::SeqCst)),
            ejected: is_sidecar.then(|| shared.ejected.load(Ordering::Acquire)),
            model_version: Box::clone(&shared.model_version.load()),
            peer_address: Box::clone(&shared.peer_address.load()),
            ..shared.announce_template.clone()
        }
    }

    pub(crate) fn apply_announce_reply(&self, announced: &Announced) {
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

    /// Confirms the configuration once its version is at least the newest that control has reported, if any.
    fn confirm_if_reached(&self) {
        let held = self.config_version();
        if held > 0
            && held >= self.shared.required_version.load(Ordering::Acquire)
            && !self.is_current()
        {
            self.shared.confirmed.store(true, Ordering::Release);
            self.notify_change();
        }
    }

    fn change_members(
        &self,
        change: impl FnOnce(&mut MemberList, Duration) -> MembersApplied,
    ) -> MembersApplied {
        let _writer = self.lock_members();
        let mut list = MemberList::clone(&self.shared.members.load());
        let applied = change(&mut list, self.shared.started_at.elapsed());
        if applied == MembersApplied::Advanced {
            self.shared.members.store(Arc::new(list));
            self.notify_change();
        }
        applied
    }

    fn lock_members(&self) -> MutexGuard<'_, ()> {
        let lock = self.shared.members_writer.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_change(&self) {
        self.shared.changes.send_modify(|count| *count += 1);
    }
}
