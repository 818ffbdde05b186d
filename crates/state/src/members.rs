//! The leases of the live processes at the leader, and the list of members that it publishes.
//!
//! The state is soft: a new leader starts from the list that it followed, and expires no lease before the longest lease has
//! passed. Changes are published at ticks, at most [`CHANGES_PER_TICK`] at once, those of leaving members first.
//!
//! Flapping members are damped. A return is a new incarnation, an announcement after an expiry, or the end of `leaving`.
//! The count of a member's returns halves every [`FLAP_HALF_LIFE`]. Returns beyond [`UNDAMPED_RETURNS`] are held back for
//! [`FIRST_HOLD`], doubled with each further return up to [`LONGEST_HOLD`]; the member is listed as leaving until then.
//! Departures are never held back.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hinge_schema::messages::{Announce, Member, MembersDelta, Renewal, Role};
use rand::RngExt;

use crate::InstanceName;
use crate::roster::Roster;

/// Changes published per tick; 1,600 returning sidecars take seven ticks, and a delta stays below 64 KB.
pub const CHANGES_PER_TICK: usize = 256;

/// Leases that expire per tick.
pub const EXPIRED_PER_TICK: usize = 256;

/// Half-life of the count of a member's returns.
pub const FLAP_HALF_LIFE: Duration = Duration::from_mins(1);

/// Time after a drain within which entries may still send work that they placed before they learned of it.
///
/// The list is published within 0.1 s and watched continuously, so one second is several times what propagation takes.
pub const DRAIN_PROPAGATION: Duration = Duration::from_secs(1);

/// Returns that are published without a hold; a restart and a second one right after it are ordinary.
pub const UNDAMPED_RETURNS: u32 = 3;

/// Hold of the first damped return.
pub const FIRST_HOLD: Duration = Duration::from_secs(5);

/// Longest hold of a return, so that a recovered member serves within a minute.
pub const LONGEST_HOLD: Duration = Duration::from_mins(1);

/// Members whose counts of returns are kept after they left; more than one day's restarts.
const MAX_FLAP_RECORDS: usize = 1024;

/// Divisor of a lease that gives its jitter: a granted lease is shorter by up to a quarter.
///
/// The members of a data centre that comes back all announce themselves at once; with this jitter their renewals are spread
/// over the whole period after a few rounds.
const LEASE_JITTER_DIVISOR: u32 = 4;

/// The bounds of leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseLimits {
    /// Shortest lease that is granted.
    pub shortest_lease: Duration,
    /// Longest lease that is granted, and the time for which a new leader expires no member.
    pub longest_lease: Duration,
}

impl Default for LeaseLimits {
    /// Returns 1 s and 15 s: with shorter leases a busy process would expire, and longer ones keep a dead process listed.
    fn default() -> Self {
        Self {
            shortest_lease: Duration::from_secs(1),
            longest_lease: Duration::from_secs(15),
        }
    }
}

/// The result of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Granted lease.
    pub lease: Duration,
    /// Whether any earlier incarnations of this sidecar are gone, so that the outcomes of their claims are unknown.
    pub replaces_sidecar: bool,
}

#[derive(Debug, Clone)]
struct LeasedMember {
    /// Announced member, with the versions that it reported last.
    member: Member,
    highest_fence: u64,
    /// Earliest time at which the process may have counted its running requests.
    counted_at: Duration,
    lease: Duration,
    expires_at: Duration,
    held_until: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Flaps {
    count: u32,
    since: Duration,
}

impl Flaps {
    fn count_at(self, now: Duration) -> u32 {
        let halvings = now.saturating_sub(self.since).as_millis() / FLAP_HALF_LIFE.as_millis();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        self.count.checked_shr(halvings).unwrap_or(0)
    }
}

/// The leases of the live members, and the published list.
#[derive(Debug)]
pub struct Members {
    limits: LeaseLimits,
    roster: Roster,
    leases: BTreeMap<InstanceName, LeasedMember>,
    expiries: BTreeSet<(Duration, InstanceName)>,
    holds: BTreeSet<(Duration, InstanceName)>,
    flaps: BTreeMap<InstanceName, Flaps>,
    /// Drained instances, with the time at which this leader learned of each.
    drained: BTreeMap<InstanceName, Duration>,
    /// Members with changes to publish; leaving members come first.
    changed: VecDeque<InstanceName>,
    queued: BTreeSet<InstanceName>,
    expires_from: Duration,
    is_seeded: bool,
    is_grace_over: bool,
}

impl Members {
    /// Opens the leader's view of an epoch, with the members of the list that this instance has followed.
    #[must_use]
    pub fn open(epoch: u64, now: Duration, limits: LeaseLimits, followed: &Roster) -> Self {
        let expires_from = now + limits.longest_lease;
        let mut members = Self {
            limits,
            roster: Roster::open(epoch),
            leases: BTreeMap::new(),
            expiries: BTreeSet::new(),
            holds: BTreeSet::new(),
            flaps: BTreeMap::new(),
            drained: BTreeMap::new(),
            changed: VecDeque::new(),
            queued: BTreeSet::new(),
            expires_from,
            is_seeded: !followed.is_empty(),
            is_grace_over: false,
        };
        for member in followed.members() {
            let known = LeasedMember {
                member: member.clone(),
                highest_fence: 0,
                counted_at: Duration::ZERO,
                lease: limits.longest_lease,
                expires_at: expires_from,
                held_until: Duration::ZERO,
            };
            members
                .expiries
                .insert((expires_from, member.instance.clone()));
            members.leases.insert(member.instance.clone(), known);
        }
        members
            .roster
            .publish(followed.members().cloned().collect(), Vec::new());
        members
    }

    /// Records an announcement, and grants a lease.
    ///
    /// A late announcement of an earlier incarnation changes nothing.
    pub fn announce(
        &mut self,
        now: Duration,
        announce: &Announce,
        rng: &mut impl RngExt,
    ) -> LeaseGrant {
        let lease = self.jittered_lease(announce.lease_ms, rng);
        let name = &announce.instance;
        let known = self.leases.get(name);
        if known.is_some_and(|known| known.member.incarnation > announce.incarnation) {
            return LeaseGrant {
                lease,
                replaces_sidecar: false,
            };
        }
        let is_restarted =
            known.is_some_and(|known| known.member.incarnation < announce.incarnation);
        let is_new = known.is_none();
        let returns = match known {
            Some(known) => is_restarted || (known.member.leaving && !announce.leaving),
            None => self.flaps.contains_key(name),
        };
        let held_until = known.map_or(Duration::ZERO, |known| known.held_until);
        let held_until = if returns {
            held_until.max(self.count_return(now, name))
        } else {
            held_until
        };
        self.put_lease(now, announce, lease, held_until);
        LeaseGrant {
            lease,
            // Without a followed list a leader can't tell whether there were earlier ones; the announced one is unaffected.
            replaces_sidecar: (is_restarted || is_new) && announce.role == Role::Sidecar,
        }
    }

    fn put_lease(
        &mut self,
        now: Duration,
        announce: &Announce,
        lease: Duration,
        held_until: Duration,
    ) {
        let name = &announce.instance;
        let member = to_member(announce);
        let before = self.leases.remove(name);
        if let Some(before) = &before {
            self.expiries.remove(&(before.expires_at, name.clone()));
        }
        let expires_at = (now + lease).max(self.expires_from);
        self.expiries.insert((expires_at, name.clone()));
        if held_until > now {
            self.holds.insert((held_until, name.clone()));
        }
        let is_changed = before.is_none_or(|before| {
            !has_same_listing(&before.member, &member) || before.held_until != held_until
        });
        let is_leaving = member.leaving;
        let known = LeasedMember {
            member,
            highest_fence: announce.highest_fence,
            counted_at: now,
            lease,
            expires_at,
            held_until,
        };
        self.leases.insert(name.clone(), known);
        if is_changed {
            self.queue(name.clone(), is_leaving);
        }
    }

    /// Renews the lease of a process that is otherwise unchanged; returns false if it must send a full announcement.
    pub fn renew(&mut self, now: Duration, renewal: &Renewal) -> bool {
        let Some(known) = self.leases.get_mut(&renewal.instance) else {
            return false;
        };
        if known.member.incarnation != renewal.incarnation {
            return false;
        }
        known.member.config_version = renewal.config_version;
        known.highest_fence = renewal.highest_fence;
        known.member.running = renewal.running;
        known.member.ejected = renewal.ejected;
        known.counted_at = now.saturating_sub(self.limits.longest_lease);
        let expires_at = (now + known.lease).max(self.expires_from);
        let before = std::mem::replace(&mut known.expires_at, expires_at);
        self.expiries.remove(&(before, renewal.instance.clone()));
        self.expiries.insert((expires_at, renewal.instance.clone()));
        true
    }

    /// Records that an announcement came through a relay, which may have delayed it by up to a lease.
    pub fn record_relayed(&mut self, instance: &str) {
        if let Some(known) = self.leases.get_mut(instance) {
            let longest = self.limits.longest_lease;
            known.counted_at = known.counted_at.saturating_sub(longest);
        }
    }

    /// Returns the number of requests running at a member's endpoint; none if it does not report one.
    ///
    /// A count from before every entry could learn of the drain does not cover requests granted since, so the endpoint counts
    /// as busy until it reports a later count.
    #[must_use]
    pub fn running(&self, instance: &str) -> Option<u32> {
        let known = self.leases.get(instance)?;
        let running = known.member.running?;
        let since = self.drained.get(instance);
        let is_fresh = since.is_some_and(|since| known.counted_at >= *since + DRAIN_PROPAGATION);
        Some(if is_fresh { running } else { running.max(1) })
    }

    /// Returns whether an instance is drained, by an operator, an upgrade or a planned stop.
    #[must_use]
    pub fn is_drained(&self, instance: &str) -> bool {
        self.drained.contains_key(instance)
    }

    /// Records the configuration version that a member's watch reports; it never decreases.
    pub fn record_version(&mut self, instance: &str, config_version: u64) {
        if let Some(known) = self.leases.get_mut(instance) {
            let held = &mut known.member.config_version;
            *held = config_version.max(*held);
        }
    }

    /// Sets which instances are drained; they are listed as leaving.
    pub fn set_drained(&mut self, now: Duration, drained: &BTreeSet<InstanceName>) {
        let before = std::mem::take(&mut self.drained);
        for name in drained {
            let since = before.get(name).copied();
            self.drained.insert(name.clone(), since.unwrap_or(now));
            if since.is_none() {
                self.queue(name.clone(), true);
            }
        }
        for name in before.into_keys() {
            if !drained.contains(&name) {
                self.queue(name, false);
            }
        }
    }

    /// Expires leases, ends holds and publishes changes, each within bounds; returns whether watchers have anything new.
    pub fn tick(&mut self, now: Duration) -> bool {
        let has_grace_ended = !self.is_grace_over && now >= self.expires_from;
        self.is_grace_over |= has_grace_ended;
        self.expire(now);
        self.end_holds(now);
        let published = self.publish(now);
        published || has_grace_ended
    }

    fn expire(&mut self, now: Duration) {
        for _ in 0..EXPIRED_PER_TICK {
            let Some((expires_at, _)) = self.expiries.first() else {
                return;
            };
            if *expires_at > now {
                return;
            }
            let Some((_, name)) = self.expiries.pop_first() else {
                return;
            };
            self.leases.remove(&name);
            self.record_departure(now, &name);
            self.queue(name, true);
        }
    }

    fn end_holds(&mut self, now: Duration) {
        while let Some((until, _)) = self.holds.first() {
            if *until > now {
                return;
            }
            if let Some((_, name)) = self.holds.pop_first() {
                self.queue(name, false);
            }
        }
    }

    fn publish(&mut self, now: Duration) -> bool {
        let mut put = Vec::new();
        let mut removed = Vec::new();
        while put.len() + removed.len() < CHANGES_PER_TICK {
            let Some(name) = self.changed.pop_front() else {
                break;
            };
            self.queued.remove(&name);
            match self.listed(now, &name) {
                Some(member) if self.roster.get(&name) == Some(&member) => {}
                Some(member) => put.push(member),
                None if self.roster.get(&name).is_some() => removed.push(name),
                None => {}
            }
        }
        let has_changes = !put.is_empty() || !removed.is_empty();
        if has_changes {
            self.roster.publish(put, removed);
        }
        has_changes
    }

    /// Returns a member as it is published: as leaving while it is drained or held back.
    fn listed(&self, now: Duration, name: &str) -> Option<Member> {
        let known = self.leases.get(name)?;
        let leaving = known.member.leaving || self.is_drained(name) || now < known.held_until;
        Some(Member {
            leaving,
            running: None,
            ejected: None,
            ..known.member.clone()
        })
    }

    fn queue(&mut self, name: InstanceName, goes_first: bool) {
        if !self.queued.insert(name.clone()) {
            if !goes_first {
                return;
            }
            self.changed.retain(|queued| *queued != name);
        }
        if goes_first {
            self.changed.push_front(name);
        } else {
            self.changed.push_back(name);
        }
    }

    /// Counts a return of a member, and returns the end of its hold.
    fn count_return(&mut self, now: Duration, name: &str) -> Duration {
        let known = self.flaps.get(name);
        let count = known
            .map_or(0, |flaps| flaps.count_at(now))
            .saturating_add(1);
        self.flaps.insert(name.into(), Flaps { count, since: now });
        if count <= UNDAMPED_RETURNS {
            return Duration::ZERO;
        }
        let doublings = (count - UNDAMPED_RETURNS - 1).min(8);
        now + (FIRST_HOLD * (1 << doublings)).min(LONGEST_HOLD)
    }

    /// Records a departure, so that the member's next announcement counts as a return.
    fn record_departure(&mut self, now: Duration, name: &str) {
        let departed = Flaps {
            count: 0,
            since: now,
        };
        self.flaps.entry(name.into()).or_insert(departed);
        if self.flaps.len() > MAX_FLAP_RECORDS {
            let known = &self.leases;
            self.flaps.retain(|name, flaps| {
                flaps.count_at(now) > 0
                    || (!known.contains_key(name) && now < flaps.since + FLAP_HALF_LIFE)
            });
        }
    }

    fn jittered_lease(&self, asked_ms: u64, rng: &mut impl RngExt) -> Duration {
        let asked = Duration::from_millis(asked_ms);
        let whole = asked.clamp(self.limits.shortest_lease, self.limits.longest_lease);
        let shortest = whole.saturating_sub(whole / LEASE_JITTER_DIVISOR);
        rng.random_range(shortest..=whole)
    }

    /// Returns the delta that brings a watcher up to date.
    ///
    /// A leader that followed no list returns nothing to watchers of earlier epochs until its first lease has passed, because
    /// its list still lacks live members.
    #[must_use]
    pub fn delta_since(
        &self,
        epoch: u64,
        version: u64,
        pools: &[Box<str>],
    ) -> Option<MembersDelta> {
        let has_earlier_list = epoch != 0 && epoch < self.roster.epoch();
        if has_earlier_list && !self.is_seeded && !self.is_grace_over {
            return None;
        }
        self.roster.delta_since(epoch, version, pools)
    }

    /// Returns the published list.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns whether every live process has had time to announce itself to this leader.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_grace_over
    }

    /// Yields the live members, by name, with the versions that they reported last.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.leases.values().map(|known| &known.member)
    }

    /// Yields the names of live members whose configuration is older than `version`.
    pub fn with_older_config(&self, version: u64) -> impl Iterator<Item = &InstanceName> {
        let live = self.live();
        let outdated = live.filter(move |member| member.config_version < version);
        outdated.map(|member| &member.instance)
    }

    /// Returns the highest fencing number that a member has reported.
    #[must_use]
    pub fn highest_fence(&self, instance: &str) -> Option<u64> {
        self.leases.get(instance).map(|known| known.highest_fence)
    }

    /// Returns the number of changes that are not published yet.
    #[must_use]
    pub fn pending_changes(&self) -> usize {
        self.changed.len()
    }
}

fn to_member(announce: &Announce) -> Member {
    Member {
        instance: announce.instance.clone(),
        incarnation: announce.incarnation,
        role: announce.role,
        data_center: announce.data_center.clone(),
        peer_address: announce.peer_address.clone(),
        pool: announce.pool.clone(),
        slots: announce.slots,
        kv_tokens: announce.kv_tokens,
        model_version: announce.model_version.clone(),
        config_version: announce.config_version,
        leaving: announce.leaving,
        running: announce.running,
        ejected: announce.ejected,
    }
}

/// Returns whether two announcements are published alike.
///
/// Fields that only control needs are left out, because they change too often to be published.
fn has_same_listing(left: &Member, right: &Member) -> bool {
    let with_version = Member {
        config_version: right.config_version,
        running: right.running,
        ejected: right.ejected,
        ..left.clone()
    };
    with_version == *right
}
