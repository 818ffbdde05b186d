//! Tests of the service that a sidecar expects from its peers between two totals.

mod common;

use std::time::Duration;

use common::{FAR_DEADLINE, ONE_FREE_SLOT};
use hinge_cases::cases;
use hinge_fair::{Account, Class, Queue, SCALE, Totals};

const NOW: Duration = Duration::from_secs(1);
const SIDECARS: usize = 10;
/// Size of the largest request, and the limit of a delay by expected service, as a sidecar runs one request at a time.
const MAX_REQUEST_UNITS: u64 = 100;

struct Fleet {
    root: Totals,
    sidecars: Vec<Queue<()>>,
    next_id: u64,
}

impl Fleet {
    /// Returns ten sidecars at which two teams wait and have been served equally.
    fn after_even_service() -> Self {
        let sidecar = || common::queue(99, MAX_REQUEST_UNITS, &[("a", 1, 99), ("b", 1, 99)]);
        let mut fleet = Self {
            root: Totals::new_root(1),
            sidecars: (0..SIDECARS).map(|_| sidecar()).collect(),
            next_id: 0,
        };
        for sidecar in 0..SIDECARS {
            fleet.push(sidecar, "a");
            fleet.push(sidecar, "b");
        }
        for _ in 0..4 {
            fleet.exchange();
            for sidecar in 0..SIDECARS {
                fleet.serve(sidecar, "a", 50);
                fleet.serve(sidecar, "b", 50);
            }
        }
        fleet.exchange();
        fleet
    }

    fn offer(&mut self, team: &str) -> hinge_fair::Offer {
        self.next_id += 1;
        common::offer(self.next_id, team, Class::Standard, 10, FAR_DEADLINE)
    }

    fn push(&mut self, sidecar: usize, team: &str) {
        let offer = self.offer(team);
        let pushed = self.sidecars[sidecar].push(NOW, &offer, ());
        assert_eq!(pushed, Ok(None));
    }

    fn serve(&mut self, sidecar: usize, team: &str, units: u64) {
        let offer = self.offer(team);
        let queue = &mut self.sidecars[sidecar];
        queue.start(&offer).expect("the team is known");
        assert!(queue.finish(offer.offer_id, units));
    }

    /// Exchanges reports and totals twice, so that every sidecar knows the service of all.
    fn exchange(&mut self) {
        for _ in 0..2 {
            for (name, queue) in self.sidecars.iter_mut().enumerate() {
                let report = queue.report(&name.to_string(), 1);
                let reply = self.root.merge(NOW, &report).expect("a root replies");
                queue.apply_totals(NOW, &reply);
            }
        }
    }

    fn account(&self, sidecar: usize, team: &str) -> &Account {
        let queue = &self.sidecars[sidecar];
        queue.account(queue.team_index(team).expect("the team is known"))
    }

    fn pick_team(&mut self, sidecar: usize) -> String {
        let queue = &mut self.sidecars[sidecar];
        let picked = queue.pick(NOW, ONE_FREE_SLOT).expect("offers wait");
        queue.team_name(picked.team).to_owned()
    }
}

cases! {
    a_sidecar_expects_peers_to_serve_like_itself => {
        let mut fleet = Fleet::after_even_service();
        fleet.serve(0, "a", 10);
        let expected = fleet.account(0, "a").expected_remote() / SCALE;
        // Half of nine peers; the service they delivered before the last exchange reached them shifts it a little.
        assert!((40..=55).contains(&expected), "{expected} units");
        assert_eq!(fleet.account(0, "b").expected_remote(), 0);
    }

    totals_replace_expected_service => {
        let mut fleet = Fleet::after_even_service();
        fleet.serve(0, "a", 10);
        fleet.exchange();
        assert_eq!(fleet.account(0, "a").expected_remote(), 0);
        let counted = fleet.account(0, "a").counted();
        assert_eq!(counted - fleet.account(0, "b").counted(), 10 * SCALE);
        assert_eq!(fleet.account(0, "a").effective(), counted);
    }

    expected_service_is_never_reported => {
        let mut fleet = Fleet::after_even_service();
        fleet.serve(0, "a", 10);
        assert_eq!(fleet.account(0, "a").own(), 210 * SCALE);
        // A team that is lifted to the expected service of the others reports no service either.
        let lifted = fleet.account(0, "b").normalised();
        fleet.push(0, "b");
        assert_eq!(fleet.account(0, "b").normalised(), lifted);
        fleet.exchange();
        let delivered = (SIDECARS as u64 * 200 + 10) * SCALE;
        assert_eq!(fleet.root.normalised("a"), Some(delivered));
    }

    a_lift_to_expected_service_is_not_counted => {
        let mut fleet = Fleet::after_even_service();
        let queue = &mut fleet.sidecars[0];
        queue.set_team("c", 1, 99);
        fleet.serve(0, "a", 30);
        fleet.serve(0, "b", 30);
        fleet.push(0, "c");
        let (a, c) = (fleet.account(0, "a").clone(), fleet.account(0, "c"));
        assert_eq!(c.effective(), a.effective());
        assert_eq!(c.counted(), a.counted());
    }

    expected_service_delays_a_team_by_its_own_slots_at_most => {
        let mut fleet = Fleet::after_even_service();
        // The peers served b 200 units more than a. Then this sidecar receives no more totals and serves only a.
        for sidecar in 1..3 {
            fleet.serve(sidecar, "b", 100);
        }
        fleet.exchange();
        fleet.serve(0, "a", 90);
        let [a, b] = ["a", "b"].map(|team| fleet.account(0, team).effective());
        assert!(a > b, "expected service puts a behind b");
        assert_eq!(fleet.pick_team(0), "a", "a is behind b by more than the largest request");
    }

    expected_service_decides_within_the_limit => {
        let mut fleet = Fleet::after_even_service();
        fleet.serve(1, "b", 50);
        fleet.exchange();
        fleet.serve(0, "a", 10);
        assert_eq!(fleet.pick_team(0), "b");
    }

    a_new_sidecar_expects_no_remote_service => {
        let mut fleet = Fleet::after_even_service();
        fleet.sidecars[0] = common::queue(99, MAX_REQUEST_UNITS, &[("a", 1, 99), ("b", 1, 99)]);
        fleet.push(0, "a");
        for _ in 0..4 {
            let queue = &mut fleet.sidecars[0];
            let report = queue.report("0", 2);
            let reply = fleet.root.merge(NOW, &report).expect("a root replies");
            queue.apply_totals(NOW, &reply);
            fleet.serve(0, "a", 10);
        }
        assert_eq!(fleet.account(0, "a").expected_remote(), 0);
    }
}
