//! Keeps the leases of the live processes at the leader, and decides what is published of them.
//!
//! The state is soft: a new leader starts from the list that it followed, and expires nobody before the longest lease has
//! passed. Changes are published at ticks, at most [`CHANGES_PER_TICK`] at once, those of leaving members first.
//!
//! A member that flaps is damped. Each return counts one: a new incarnation, an announcement after an expiry, or the end
//! of `leaving`. The count halves every [`FLAP_HALF_LIFE`]. From the fourth on, a return is held back for [`FIRST_HOLD`],
//! doubled with each further one up to [`LONGEST_HOLD`]: the member is listed as leaving until then. A departure is
//! never held back.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hinge_schema::messages::{Announce, Member, MembersDelta, Renewal, Role};
use rand::RngExt;

use crate::InstanceName;
use crate::roster::Roster;

/// Changes that are published at one tick; 1,600 sidecars are back after seven ticks, and a delta stays below 64 KB.
pub const CHANGES_PER_TICK: usize = 256;

/// Leases that expire at one tick.
pub const EXPIRED_PER_TICK: usize = 256;

/// Time in which the count of a member's returns halves.
pub const FLAP_HALF_LIFE: Duration = Duration::from_mins(1);

/// How long after a drain an entry may still send work that it chose before it knew; the list is published within 0.1 s and
/// watched without a pause, so that one second is several times what it takes.
pub const DRAIN_PROPAGATION: Duration = Duration::from_secs(1);

/// Returns that are published at once; a restart and a second one right after it are ordinary.
pub const UNDAMPED_RETURNS: u32 = 3;

/// How long the first return after the free ones is held back.
pub const FIRST_HOLD: Duration = Duration::from_secs(5);

/// Longest time that a return is held back; a member that is well again serves within a minute.
pub const LONGEST_HOLD: Duration = Duration::from_mins(1);

/// Members whose returns are remembered after they went; more than one day's restarts.
const MAX_FLAP_RECORDS: usize = 1024;

/// Part of a lease by which an answer may be shorter, as one part of this many.
///
/// A data centre that comes back announces itself at one moment; with leases that differ by a quarter its renewals have
/// spread over their whole period after a few rounds.
const LEASE_JITTER_DIVISOR: u32 = 4;

/// Bounds the leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseLimits {
    /// Shortest lease that is given.
    pub shortest_lease: Duration,
    /// Longest lease that is given, and the time for which a new leader expires nobody.
    pub longest_lease: Duration,
}

impl Default for LeaseLimits {
    /// Returns 1 s and 15 s: shorter ones would cost a busy process its place, and longer ones keep a dead one listed.
    fn default() -> Self {
        Self {
            shortest_lease: Duration::from_secs(1),
            longest_lease: Duration::from_secs(15),
        }
    }
}

/// Says what an announcement brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Lease that is given.
    pub lease: Duration,
    /// Whether earlier incarnations of a sidecar, if there were any, are gone, so that its claims' outcomes are unknown.
    pub replaces_sidecar: bool,
}

#[derive(Debug, Clone)]
struct LeasedMember {
    /// As announced, with the versions that the process holds now.
    member: Member,
    highest_fence: u64,
    /// When the process counted what runs, at the earliest.
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

/// Holds the leases, and the list that is published.
#[derive(Debug)]
pub struct Members {
    rules: LeaseLimits,
    roster: Roster,
    known: BTreeMap<InstanceName, LeasedMember>,
    expiries: BTreeSet<(Duration, InstanceName)>,
    holds: BTreeSet<(Duration, InstanceName)>,
    flaps: BTreeMap<InstanceName, Flaps>,
    /// Drained instances, with when this leader learned of each.
    drained: BTreeMap<InstanceName, Duration>,
    /// Changes to publish; those of leaving members stand in front.
    changed: VecDeque<InstanceName>,
    queued: BTreeSet<InstanceName>,
    expires_from: Duration,
    is_seeded: bool,
    is_grace_over: bool,
}

impl Members {
    /// Opens the leader's view of an epoch with the members that this instance followed until now.
    #[must_use]
    pub fn open(epoch: u64, now: Duration, rules: LeaseLimits, followed: &Roster) -> Self {
        let expires_from = now + rules.longest_lease;
        let mut members = Self {
            rules,
            roster: Roster::open(epoch),
            known: BTreeMap::new(),
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
                lease: rules.longest_lease,
                expires_at: expires_from,
                held_until: Duration::ZERO,
            };
            members
                .expiries
                .insert((expires_from, member.instance.clone()));
            members.known.insert(member.instance.clone(), known);
        }
        members
            .roster
            .publish(followed.members().cloned().collect(), Vec::new());
        members
    }

    /// Takes in an announcement, and gives a lease.
    ///
    /// An announcement of an earlier incarnation came late; it changes nothing.
    pub fn announce(
        &mut self,
        now: Duration,
        announce: &Announce,
        rng: &mut impl RngExt,
    ) -> LeaseGrant {
        let lease = self.jittered_lease(announce.lease_ms, rng);
        let name = &announce.instance;
        let known = self.known.get(name);
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
            // A leader that starts from nothing can't tell; an incarnation that was never lost is not touched.
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
        let before = self.known.remove(name);
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
        self.known.insert(name.clone(), known);
        if is_changed {
            self.queue(name.clone(), is_leaving);
        }
    }

    /// Renews the lease of a process that is as announced before; returns false if it must announce itself whole.
    pub fn renew(&mut self, now: Duration, renewal: &Renewal) -> bool {
        let Some(known) = self.known.get_mut(&renewal.instance) else {
            return false;
        };
        if known.member.incarnation != renewal.incarnation {
            return false;
        }
        known.member.config_version = renewal.config_version;
        known.highest_fence = renewal.highest_fence;
        known.member.running = renewal.running;
        known.member.ejected = renewal.ejected;
        known.counted_at = now.saturating_sub(self.rules.longest_lease);
        let expires_at = (now + known.lease).max(self.expires_from);
        let before = std::mem::replace(&mut known.expires_at, expires_at);
        self.expiries.remove(&(before, renewal.instance.clone()));
        self.expiries.insert((expires_at, renewal.instance.clone()));
        true
    }

    /// Notes that an announcement came through a relay, which may have held it for as long as a lease.
    pub fn note_relayed(&mut self, instance: &str) {
        if let Some(known) = self.known.get_mut(instance) {
            let longest = self.rules.longest_lease;
            known.counted_at = known.counted_at.saturating_sub(longest);
        }
    }

    /// Returns how much runs at a member's endpoint; none when it doesn't say.
    ///
    /// A count from before every entry had the time to learn of the drain says nothing of what was granted since, so the
    /// endpoint counts as busy until there is a later one.
    #[must_use]
    pub fn running(&self, instance: &str) -> Option<u32> {
        let known = self.known.get(instance)?;
        let running = known.member.running?;
        let since = self.drained.get(instance);
        let is_fresh = since.is_some_and(|since| known.counted_at >= *since + DRAIN_PROPAGATION);
        Some(if is_fresh { running } else { running.max(1) })
    }

    /// Returns whether an operator, an upgrade or a stop drains an instance.
    #[must_use]
    pub fn is_drained(&self, instance: &str) -> bool {
        self.drained.contains_key(instance)
    }

    /// Notes the configuration version that a member holds, as its watch says; it never falls.
    pub fn note_version(&mut self, instance: &str, config_version: u64) {
        if let Some(known) = self.known.get_mut(instance) {
            let held = &mut known.member.config_version;
            *held = config_version.max(*held);
        }
    }

    /// Sets which instances an operator drains; they are listed as leaving.
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

    /// Expires leases, ends holds, and publishes changes, all within bounds; returns whether watchers have news.
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
            self.known.remove(&name);
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
        let has_news = !put.is_empty() || !removed.is_empty();
        if has_news {
            self.roster.publish(put, removed);
        }
        has_news
    }

    /// Returns how a member is listed: as leaving while it is drained or held back.
    fn listed(&self, now: Duration, name: &str) -> Option<Member> {
        let known = self.known.get(name)?;
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

    /// Counts a return, and returns until when it is held back.
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

    /// Remembers that a member went, so that its announcement counts as a return.
    fn record_departure(&mut self, now: Duration, name: &str) {
        let departed = Flaps {
            count: 0,
            since: now,
        };
        self.flaps.entry(name.into()).or_insert(departed);
        if self.flaps.len() > MAX_FLAP_RECORDS {
            let known = &self.known;
            self.flaps.retain(|name, flaps| {
                flaps.count_at(now) > 0
                    || (!known.contains_key(name) && now < flaps.since + FLAP_HALF_LIFE)
            });
        }
    }

    fn jittered_lease(&self, asked_ms: u64, rng: &mut impl RngExt) -> Duration {
        let asked = Duration::from_millis(asked_ms);
        let whole = asked.clamp(self.rules.shortest_lease, self.rules.longest_lease);
        let shortest = whole.saturating_sub(whole / LEASE_JITTER_DIVISOR);
        rng.random_range(shortest..=whole)
    }

    /// Returns what leads a watcher to the list held.
    ///
    /// A leader that followed no list and is within its first lease gives watchers of earlier epochs nothing, because its
    /// list still lacks members that live.
    #[must_use]
    pub fn delta_since(
        &self,
        epoch: u64,
        version: u64,
        pools: &[Box<str>],
    ) -> Option<MembersDelta> {
        let knows_more = epoch != 0 && epoch < self.roster.epoch();
        if knows_more && !self.is_seeded && !self.is_grace_over {
            return None;
        }
        self.roster.delta_since(epoch, version, pools)
    }

    /// Returns the list that is published.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns whether every live process had the time to announce itself to this leader.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_grace_over
    }

    /// Yields the live members with the versions that they hold now, by name.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// Yields the names of live members that hold an older configuration than `version`.
    pub fn with_older_config(&self, version: u64) -> impl Iterator<Item = &InstanceName> {
        let live = self.live();
        let outdated = live.filter(move |member| member.config_version < version);
        outdated.map(|member| &member.instance)
    }

    /// Returns the highest fencing number that a member has seen.
    #[must_use]
    pub fn highest_fence(&self, instance: &str) -> Option<u64> {
        self.known.get(instance).map(|known| known.highest_fence)
    }

    /// Returns the number of changes that wait for a tick.
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

/// Returns whether two announcements list alike; what only control needs changes too often to be published.
fn has_same_listing(left: &Member, right: &Member) -> bool {
    let with_version = Member {
        config_version: right.config_version,
        running: right.running,
        ejected: right.ejected,
        ..left.clone()
    };
    with_version == *right
}
