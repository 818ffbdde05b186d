//! The published list of members with its versions, and the deltas between them.
//!
//! The leader publishes changes to its roster; the other control instances and the relays adopt the leader's deltas with the
//! leader's epoch and versions. So a watcher may switch between instances, and never goes back within an epoch.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hinge_schema::messages::{Member, MembersDelta};

use crate::InstanceName;

/// Removals kept for watchers that lag behind; ten times a data centre of 200 instances.
pub const KEEP_REMOVED: usize = 2048;

/// The result of adopting a delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adopted {
    /// The list advanced.
    Advanced,
    /// The delta leads to the current version, or an older one.
    Ignored,
    /// The delta is based on another version than the current one; a full list is needed.
    NeedsFull,
}

#[derive(Debug, Clone)]
struct Row {
    member: Member,
    changed_version: u64,
    /// Whether the pool has changed, so that watchers of the former pool must remove the instance.
    moved: bool,
}

/// The published list of members.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    epoch: u64,
    version: u64,
    rows: BTreeMap<InstanceName, Row>,
    changed: BTreeSet<(u64, InstanceName)>,
    removed: VecDeque<(u64, InstanceName)>,
    /// Watchers at versions below this one need the full list.
    full_below: u64,
}

impl Roster {
    /// Returns an empty list for an epoch.
    #[must_use]
    pub fn open(epoch: u64) -> Self {
        Self {
            epoch,
            ..Self::default()
        }
    }

    /// Returns the epoch; 0 before the first list is adopted.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the version within the epoch.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the list has no member.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Yields the members by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.rows.values().map(|row| &row.member)
    }

    /// Returns a member.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<&Member> {
        self.rows.get(instance).map(|row| &row.member)
    }

    /// Publishes changes as the next version.
    pub fn publish(&mut self, put: Vec<Member>, removed: Vec<InstanceName>) {
        self.advance(self.version + 1, put, removed);
    }

    fn advance(&mut self, version: u64, put: Vec<Member>, removed: Vec<InstanceName>) {
        self.version = version;
        for name in removed {
            self.remove(name);
        }
        for member in put {
            self.put(member);
        }
    }

    fn put(&mut self, member: Member) {
        let name = member.instance.clone();
        let known = self.rows.remove(&name);
        if let Some(known) = &known {
            self.changed.remove(&(known.changed_version, name.clone()));
        }
        let moved = known.is_some_and(|known| known.moved || known.member.pool != member.pool);
        self.changed.insert((self.version, name.clone()));
        let row = Row {
            member,
            changed_version: self.version,
            moved,
        };
        self.rows.insert(name, row);
    }

    fn remove(&mut self, name: InstanceName) {
        let Some(known) = self.rows.remove(&name) else {
            return;
        };
        self.changed.remove(&(known.changed_version, name.clone()));
        self.removed.push_back((self.version, name));
        if self.removed.len() > KEEP_REMOVED
            && let Some((version, _)) = self.removed.pop_front()
        {
            self.full_below = self.full_below.max(version);
        }
    }

    /// Applies a delta from the instance that this list follows.
    pub fn adopt(&mut self, delta: &MembersDelta) -> Adopted {
        let is_older = delta.epoch < self.epoch
            || (delta.epoch == self.epoch && delta.version <= self.version);
        if is_older {
            return Adopted::Ignored;
        }
        if delta.base_version == 0 {
            self.replace(delta);
            return Adopted::Advanced;
        }
        if delta.epoch != self.epoch || delta.base_version != self.version {
            return Adopted::NeedsFull;
        }
        self.advance(delta.version, delta.put.clone(), delta.removed.clone());
        Adopted::Advanced
    }

    fn replace(&mut self, delta: &MembersDelta) {
        *self = Self::open(delta.epoch);
        self.full_below = delta.version;
        self.advance(delta.version, delta.put.clone(), Vec::new());
    }

    /// Returns the delta that brings a watcher of some pools to the current version; an empty list of pools means all.
    #[must_use]
    pub fn delta_since(
        &self,
        epoch: u64,
        version: u64,
        pools: &[Box<str>],
    ) -> Option<MembersDelta> {
        let is_behind = epoch > self.epoch || (epoch == self.epoch && version >= self.version);
        if is_behind {
            return None;
        }
        if epoch != self.epoch || version < self.full_below || version == 0 {
            return Some(self.full(pools));
        }
        let mut put = Vec::new();
        let mut removed: BTreeSet<&InstanceName> = BTreeSet::new();
        let first = (version + 1, InstanceName::default());
        for (_, name) in self.changed.range(first..) {
            let row = &self.rows[name];
            if is_wanted(&row.member, pools) {
                put.push(row.member.clone());
            } else if row.moved {
                removed.insert(name);
            }
        }
        let later = self.removed.iter().rev();
        let later = later.take_while(|(removed_version, _)| *removed_version > version);
        removed.extend(
            later
                .map(|(_, name)| name)
                .filter(|name| !self.rows.contains_key(*name)),
        );
        Some(MembersDelta {
            epoch: self.epoch,
            base_version: version,
            version: self.version,
            put,
            removed: removed.into_iter().cloned().collect(),
        })
    }

    fn full(&self, pools: &[Box<str>]) -> MembersDelta {
        let wanted = self.members().filter(|member| is_wanted(member, pools));
        MembersDelta {
            epoch: self.epoch,
            base_version: 0,
            version: self.version,
            put: wanted.cloned().collect(),
            removed: Vec::new(),
        }
    }
}

fn is_wanted(member: &Member, pools: &[Box<str>]) -> bool {
    pools.is_empty() || pools.contains(&member.pool)
}
