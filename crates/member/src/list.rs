//! Holds the live members of the fleet, by name and by pool.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hinge_schema::messages::{Member, MembersDelta, Role};

/// How long a member is kept that a new epoch's list lacks.
///
/// A new control leader starts with an empty list, and the processes announce themselves to it within their leases. Until
/// then its list is too short, and taking it at its word would empty every pool. An endpoint that is really gone is noticed by
/// its failing offers long before.
const NEW_EPOCH_GRACE: Duration = Duration::from_secs(10);

/// Says what became of a change of the member list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembersApplied {
    /// The list advanced.
    Advanced,
    /// The change was known already.
    Ignored,
    /// The change builds on a list that is not held; the next watch asks for the whole list.
    NeedsFull,
}

/// Lists the live members of the fleet.
#[derive(Debug, Clone, Default)]
pub struct MemberList {
    epoch: u64,
    version: u64,
    by_name: BTreeMap<Box<str>, Arc<Member>>,
    pools: BTreeMap<Box<str>, Vec<Arc<Member>>>,
    doubtful: BTreeMap<Box<str>, Duration>,
}

impl MemberList {
    /// Returns the epoch of the list; a change of the control leader begins a new one.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the version of the list within its epoch; 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the sidecars of a pool, in the order of their names.
    #[must_use]
    pub fn pool(&self, pool: &str) -> &[Arc<Member>] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns a member by its instance's name.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<&Arc<Member>> {
        self.by_name.get(instance)
    }

    /// Returns all members in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.by_name.values()
    }

    /// Applies a change; `now` counts from the start of the process.
    pub fn apply(&mut self, delta: &MembersDelta, now: Duration) -> MembersApplied {
        let same_epoch = delta.epoch == self.epoch;
        if same_epoch && delta.version <= self.version {
            return MembersApplied::Ignored;
        }
        if delta.base_version == 0 {
            self.replace(delta, same_epoch, now);
        } else if same_epoch && delta.base_version == self.version {
            self.advance(delta);
        } else {
            return MembersApplied::NeedsFull;
        }
        self.epoch = delta.epoch;
        self.version = delta.version;
        self.rebuild_pools();
        MembersApplied::Advanced
    }

    /// Drops members that a new epoch did not confirm in time, and returns whether any was dropped.
    pub fn expire(&mut self, now: Duration) -> bool {
        let gone: Vec<Box<str>> = self
            .doubtful
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.doubtful.remove(name);
            self.by_name.remove(name);
        }
        if !gone.is_empty() {
            self.rebuild_pools();
        }
        !gone.is_empty()
    }

    fn replace(&mut self, delta: &MembersDelta, same_epoch: bool, now: Duration) {
        let old = std::mem::take(&mut self.by_name);
        self.doubtful.clear();
        if !same_epoch {
            let until = now + NEW_EPOCH_GRACE;
            self.doubtful = old.keys().map(|name| (name.clone(), until)).collect();
            self.by_name = old;
        }
        self.put_all(&delta.put);
    }

    fn advance(&mut self, delta: &MembersDelta) {
        for name in &delta.removed {
            self.by_name.remove(name);
            self.doubtful.remove(name);
        }
        self.put_all(&delta.put);
    }

    fn put_all(&mut self, members: &[Member]) {
        for member in members {
            self.doubtful.remove(&member.instance);
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
