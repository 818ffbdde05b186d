//! The list of the fleet's live members, by name and by pool.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hinge_schema::messages::{Member, MembersDelta, Role};

/// How long a member that is missing from a new epoch's list is kept.
///
/// A new control leader starts with an empty list, and processes announce themselves to it within their leases. Until then
/// its list is incomplete, and replacing the old one with it would empty every pool. Failing offers reveal an endpoint that is
/// really gone long before this time ends.
const NEW_EPOCH_GRACE: Duration = Duration::from_secs(10);

/// The outcome of applying a change to the member list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembersApplied {
    /// The list advanced.
    Advanced,
    /// The change was already applied.
    Ignored,
    /// The change is based on another version; the next watch must request the full list.
    NeedsFull,
}

/// The live members of the fleet.
#[derive(Debug, Clone, Default)]
pub struct MemberList {
    epoch: u64,
    version: u64,
    by_name: BTreeMap<Box<str>, Arc<Member>>,
    pools: BTreeMap<Box<str>, Vec<Arc<Member>>>,
    /// Members that the new epoch hasn't confirmed yet, with the time at which they are dropped.
    unconfirmed: BTreeMap<Box<str>, Duration>,
}

impl MemberList {
    /// Returns the epoch of the list; each change of the control leader starts a new one.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the version of the list within its epoch; 0 before the first list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the sidecars of a pool, ordered by name.
    #[must_use]
    pub fn pool(&self, pool: &str) -> &[Arc<Member>] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the member with this instance name.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<&Arc<Member>> {
        self.by_name.get(instance)
    }

    /// Returns all members, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.by_name.values()
    }

    /// Applies a change; `now` is the time since the start of the process.
    pub fn apply(&mut self, delta: &MembersDelta, now: Duration) -> MembersApplied {
        let same_epoch = delta.epoch == self.epoch;
        if same_epoch && delta.version <= self.version {
            return MembersApplied::Ignored;
        }
        if delta.base_version == 0 {
            self.replace(delta, same_epoch, now);
        } else if same_epoch && delta.base_version == self.version {
            self.apply_delta(delta);
        } else {
            return MembersApplied::NeedsFull;
        }
        self.epoch = delta.epoch;
        self.version = delta.version;
        self.rebuild_pools();
        MembersApplied::Advanced
    }

    /// Drops members that the new epoch hasn't confirmed in time; returns whether any was dropped.
    pub fn expire(&mut self, now: Duration) -> bool {
        let expired: Vec<Box<str>> = self
            .unconfirmed
            .iter()
            .filter(|(_, expires_at)| **expires_at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.unconfirmed.remove(name);
            self.by_name.remove(name);
        }
        if !expired.is_empty() {
            self.rebuild_pools();
        }
        !expired.is_empty()
    }

    fn replace(&mut self, delta: &MembersDelta, same_epoch: bool, now: Duration) {
        let old = std::mem::take(&mut self.by_name);
        self.unconfirmed.clear();
        if !same_epoch {
            let expires_at = now + NEW_EPOCH_GRACE;
            self.unconfirmed = old.keys().map(|name| (name.clone(), expires_at)).collect();
            self.by_name = old;
        }
        self.upsert(&delta.put);
    }

    fn apply_delta(&mut self, delta: &MembersDelta) {
        for name in &delta.removed {
            self.by_name.remove(name);
            self.unconfirmed.remove(name);
        }
        self.upsert(&delta.put);
    }

    fn upsert(&mut self, members: &[Member]) {
        for member in members {
            self.unconfirmed.remove(&member.instance);
            self.by_name
                .insert(member.instance.clone(), Arc::new(member.clone()));
        }
    }

    fn rebuild_pools(&mut self) {
        self.pools.clear();
        for member in self.by_name.values() {
            if member.role == Role::Sidecar {
                self.pools
                    .entry(member.pool.clone())
                    .or_default()
                    .push(Arc::clone(member));
            }
        }
    }
}
