//! Tests leases, flap damping and the published list, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hinge_cases::cases;
use hinge_schema::messages::{Announce, Member, MembersDelta, Renewal, Role};
use hinge_state::members::{CHANGES_PER_TICK, DRAIN_PROPAGATION, FIRST_HOLD, UNDAMPED_RETURNS};
use hinge_state::roster::Adopted;
use hinge_state::{LeaseLimits, Members, Roster};
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TICK: Duration = Duration::from_millis(100);

fn announce(name: &str, incarnation: u64) -> Announce {
    Announce {
        instance: name.into(),
        incarnation,
        role: Role::Sidecar,
        data_center: "hall-a".into(),
        peer_address: "127.0.0.1:9".into(),
        pool: "forecast-llm".into(),
        slots: 4,
        kv_tokens: 1000,
        model_version: "v1".into(),
        config_version: 0,
        highest_fence: 0,
        leaving: false,
        running: None,
        ejected: None,
        lease_ms: 10_000,
    }
}

/// The leader's view of the members, with a virtual clock.
struct Leader {
    members: Members,
    now: Duration,
    rng: StdRng,
}

impl Leader {
    fn new(followed: &Roster) -> Self {
        Self {
            members: Members::open(7, Duration::ZERO, LeaseLimits::default(), followed),
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(1),
        }
    }

    fn announce(&mut self, announce: &Announce) -> Duration {
        self.members
            .announce(self.now, announce, &mut self.rng)
            .lease
    }

    fn tick(&mut self) -> bool {
        self.now += TICK;
        self.members.tick(self.now)
    }

    fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    fn is_serving(&self, name: &str) -> bool {
        self.members
            .roster()
            .get(name)
            .is_some_and(|member| !member.leaving)
    }
}

/// A watcher that applies deltas.
#[derive(Default)]
struct Watcher {
    epoch: u64,
    version: u64,
    members: BTreeMap<Box<str>, Member>,
}

impl Watcher {
    fn apply(&mut self, delta: MembersDelta) -> bool {
        let steps_back = delta.epoch == self.epoch && delta.version <= self.version;
        if delta.base_version == 0 {
            self.members.clear();
        }
        for name in &delta.removed {
            self.members.remove(name);
        }
        self.members.extend(
            delta
                .put
                .into_iter()
                .map(|member| (member.instance.clone(), member)),
        );
        (self.epoch, self.version) = (delta.epoch, delta.version);
        !steps_back
    }
}

cases! {
    a_silent_member_expires_after_its_lease => {
        let mut leader = Leader::new(&Roster::default());
        leader.advance(LeaseLimits::default().longest_lease);
        let lease = leader.announce(&announce("a", 1));
        leader.tick();
        assert!(leader.is_serving("a"));
        leader.advance(lease + TICK);
        assert!(leader.members.roster().get("a").is_none());
    }
    a_new_leader_expires_nobody_before_one_full_lease => {
        let mut followed = Leader::new(&Roster::default());
        followed.announce(&announce("a", 1));
        followed.tick();
        let mut leader = Leader::new(followed.members.roster());
        leader.advance(LeaseLimits::default().longest_lease.saturating_sub(2 * TICK));
        assert!(leader.is_serving("a"));
        leader.advance(3 * TICK);
        assert!(leader.members.roster().get("a").is_none());
    }
    a_leader_without_a_list_sends_no_deltas_to_earlier_epochs_within_the_first_lease => {
        let mut leader = Leader::new(&Roster::default());
        leader.announce(&announce("a", 1));
        leader.tick();
        assert_eq!(leader.members.delta_since(6, 40, &[]), None);
        assert!(leader.members.delta_since(0, 0, &[]).is_some());
        leader.advance(LeaseLimits::default().longest_lease);
        assert!(leader.members.delta_since(6, 40, &[]).is_some());
    }
    a_late_announcement_of_an_earlier_incarnation_changes_nothing => {
        let mut leader = Leader::new(&Roster::default());
        leader.announce(&announce("a", 2));
        leader.announce(&Announce { leaving: true, ..announce("a", 1) });
        leader.tick();
        assert!(leader.is_serving("a"));
    }
    a_flapping_member_is_held_back_and_a_departure_never => {
        let mut leader = Leader::new(&Roster::default());
        for incarnation in 0..=u64::from(UNDAMPED_RETURNS) {
            leader.announce(&announce("a", incarnation));
            leader.tick();
            assert!(leader.is_serving("a"), "return {incarnation} is not held back");
        }
        leader.announce(&announce("a", 9));
        leader.tick();
        assert!(!leader.is_serving("a"));
        leader.advance(FIRST_HOLD);
        assert!(leader.is_serving("a"));
        leader.announce(&Announce { leaving: true, ..announce("a", 9) });
        leader.tick();
        assert!(!leader.is_serving("a"));
    }
    a_drained_member_is_listed_as_leaving_and_comes_back => {
        let mut leader = Leader::new(&Roster::default());
        leader.announce(&announce("a", 1));
        leader.members.set_drained(leader.now, &BTreeSet::from(["a".into()]));
        leader.tick();
        assert!(!leader.is_serving("a"));
        leader.members.set_drained(leader.now, &BTreeSet::new());
        leader.tick();
        assert!(leader.is_serving("a"));
    }
    a_running_count_from_before_a_drain_propagated_counts_as_busy => {
        let mut leader = Leader::new(&Roster::default());
        let idle = Announce { running: Some(0), ejected: Some(false), ..announce("a", 1) };
        leader.announce(&idle);
        leader.announce(&announce("b", 1));
        leader.tick();
        leader.members.set_drained(leader.now, &BTreeSet::from(["a".into(), "b".into()]));
        leader.announce(&idle);
        assert_eq!(leader.members.running("a"), Some(1));
        leader.advance(DRAIN_PROPAGATION);
        assert_eq!(leader.members.running("a"), Some(1));
        leader.announce(&idle);
        assert_eq!(leader.members.running("a"), Some(0));
        leader.members.record_relayed("a");
        assert_eq!(leader.members.running("a"), Some(1));
        assert_eq!(leader.members.running("b"), None);
        leader.members.set_drained(leader.now, &BTreeSet::new());
        leader.advance(DRAIN_PROPAGATION);
        leader.announce(&idle);
        assert_eq!(leader.members.running("a"), Some(1));
    }
    a_running_count_in_a_renewal_may_be_as_old_as_the_longest_lease => {
        let mut leader = Leader::new(&Roster::default());
        leader.announce(&Announce { running: Some(3), ..announce("a", 1) });
        leader.members.set_drained(leader.now, &BTreeSet::from(["a".into()]));
        let renewal = Renewal {
            instance: "a".into(),
            incarnation: 1,
            config_version: 0,
            highest_fence: 0,
            running: Some(0),
            ejected: Some(true),
        };
        leader.advance(DRAIN_PROPAGATION);
        assert!(leader.members.renew(leader.now, &renewal));
        assert_eq!(leader.members.running("a"), Some(1));
        leader.advance(LeaseLimits::default().longest_lease / 2);
        assert!(leader.members.renew(leader.now, &renewal));
        leader.advance(LeaseLimits::default().longest_lease / 2);
        assert!(leader.members.renew(leader.now, &renewal));
        assert_eq!(leader.members.running("a"), Some(0));
        assert_eq!(leader.members.live().next().and_then(|member| member.ejected), Some(true));
    }
    running_counts_and_ejections_are_not_published => {
        let mut leader = Leader::new(&Roster::default());
        leader.announce(&Announce { running: Some(3), ..announce("a", 1) });
        leader.tick();
        leader.announce(&Announce { running: Some(0), ejected: Some(true), ..announce("a", 1) });
        assert!(!leader.tick());
        let listed = leader.members.roster().get("a").expect("it is listed");
        assert_eq!((listed.running, listed.ejected), (None, None));
    }
    a_data_centre_leaves_and_returns_in_bounded_deltas => {
        let mut leader = Leader::new(&Roster::default());
        let names: Vec<_> = (0..800).map(|number| format!("sidecar-{number}")).collect();
        let mut watcher = Watcher::default();
        let return_all = |leader: &mut Leader, watcher: &mut Watcher, incarnation| {
            let leases: BTreeSet<_> = names.iter().map(|name| leader.announce(&announce(name, incarnation))).collect();
            let ticks = names.len().div_ceil(CHANGES_PER_TICK);
            for _ in 0..ticks {
                leader.tick();
                let delta = leader.members.delta_since(watcher.epoch, watcher.version, &[]).expect("each tick publishes changes");
                assert!(delta.put.len() <= CHANGES_PER_TICK);
                assert!(watcher.apply(delta));
            }
            assert_eq!(watcher.members.len(), names.len());
            leases
        };
        let leases = return_all(&mut leader, &mut watcher, 1);
        let (first, last) = (leases.first().expect("leases are given"), leases.last().expect("leases are given"));
        assert!(*last > *first + Duration::from_secs(2), "renewals spread over the lease");
        leader.advance(LeaseLimits::default().longest_lease);
        let mut gone = 0;
        while leader.tick() {
            gone += 1;
        }
        assert!(leader.members.roster().is_empty() && gone <= names.len().div_ceil(CHANGES_PER_TICK));
        watcher.apply(leader.members.delta_since(watcher.epoch, watcher.version, &[]).expect("all are gone"));
        assert!(watcher.members.is_empty());
        return_all(&mut leader, &mut watcher, 1);
    }
    a_follower_adopts_neither_an_older_list_nor_one_with_a_gap => {
        let delta = |epoch, base_version, version| MembersDelta { epoch, base_version, version, put: vec![], removed: vec![] };
        let mut roster = Roster::default();
        assert_eq!(roster.adopt(&delta(7, 0, 5)), Adopted::Advanced);
        assert_eq!(roster.adopt(&delta(7, 6, 7)), Adopted::NeedsFull);
        assert_eq!(roster.adopt(&delta(8, 5, 6)), Adopted::NeedsFull);
        assert_eq!(roster.adopt(&delta(7, 0, 5)), Adopted::Ignored);
        assert_eq!(roster.adopt(&delta(6, 0, 9)), Adopted::Ignored);
        assert_eq!((roster.epoch(), roster.version()), (7, 5));
        assert_eq!(roster.adopt(&delta(7, 5, 6)), Adopted::Advanced);
    }
    a_watcher_of_one_pool_loses_a_member_that_moves => {
        let mut leader = Leader::new(&Roster::default());
        let pools = ["forecast-llm".into()];
        let mut watcher = Watcher::default();
        leader.announce(&announce("a", 1));
        leader.tick();
        watcher.apply(leader.members.delta_since(0, 0, &pools).expect("there is a list"));
        assert_eq!(watcher.members.len(), 1);
        leader.announce(&Announce { pool: "surf-api".into(), ..announce("a", 1) });
        leader.tick();
        watcher.apply(leader.members.delta_since(7, watcher.version, &pools).expect("the list has changed"));
        assert!(watcher.members.is_empty());
    }
}

quickcheck! {
    fn followers_and_watchers_end_with_the_leaders_list(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut leader = Leader::new(&Roster::default());
        let mut follower = Roster::default();
        let mut watcher = Watcher::default();
        let in_order = steps.into_iter().all(|(name, incarnation, action)| {
            let announcement = announce(&(name % 8).to_string(), u64::from(incarnation));
            match action % 8 {
                0 => leader.advance(Duration::from_secs(5)),
                1 => _ = leader.announce(&Announce { leaving: true, ..announcement }),
                2 => _ = leader.announce(&Announce { pool: "surf-api".into(), ..announcement }),
                _ => _ = leader.announce(&announcement),
            }
            leader.tick();
            // A follower that misses some deltas and then asks from the version that it has.
            let asks = action >= 64;
            let update = leader.members.delta_since(follower.epoch(), follower.version(), &[]).filter(|_| asks);
            update.map(|delta| follower.adopt(&delta));
            let update = follower.delta_since(watcher.epoch, watcher.version, &[]).filter(|_| action % 3 > 0);
            update.is_none_or(|delta| watcher.apply(delta))
        });
        leader.advance(Duration::from_secs(70));
        let update = leader.members.delta_since(follower.epoch(), follower.version(), &[]);
        update.map(|delta| follower.adopt(&delta));
        let caught_up = follower.delta_since(watcher.epoch, watcher.version, &[]).is_none_or(|delta| watcher.apply(delta));
        let wanted: Vec<_> = leader.members.roster().members().collect();
        in_order && caught_up && wanted.iter().eq(watcher.members.values().collect::<Vec<_>>().iter())
    }
}
