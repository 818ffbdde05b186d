//! Tests of which offers the queue picks, refuses, sheds and expires.

mod common;

use std::time::Duration;

use common::{FAR_DEADLINE, ONE_FREE_SLOT, one_free_slot, queue};
use hinge_cases::cases;
use hinge_fair::{Class, FreeSlots, Offer, Picked, Queue, Reason, URGENT_WINDOW_REQUESTS};

const REQUEST_UNITS: u64 = 100;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A queue with a clock and a counter of offer ids.
struct TestQueue {
    queue: Queue<()>,
    now: Duration,
    next_id: u64,
}

impl TestQueue {
    fn new(max_waiting: usize, teams: &[(&str, u32, usize)]) -> Self {
        let (queue, now, next_id) = (queue(max_waiting, REQUEST_UNITS, teams), ms(1), 0);
        Self {
            queue,
            now,
            next_id,
        }
    }

    fn offer(&mut self, team: &str, class: Class, deadline: Duration) -> Offer {
        self.next_id += 1;
        common::offer(self.next_id, team, class, REQUEST_UNITS, deadline)
    }

    fn push(&mut self, team: &str, class: Class) -> Result<Option<String>, Reason> {
        let offer = self.offer(team, class, FAR_DEADLINE);
        let pushed = self.queue.push(self.now, &offer, ());
        let shed = pushed.map_err(|refusal| refusal.reason)?;
        Ok(shed.map(|shed| self.queue.team_name(shed.team).to_owned()))
    }

    fn fill(&mut self, team: &str, class: Class, count: usize) {
        for _ in 0..count {
            assert_eq!(self.push(team, class), Ok(None));
        }
    }

    fn pick(&mut self, slots: FreeSlots) -> Option<Picked<()>> {
        self.now += ms(10);
        self.queue.pick(self.now, slots)
    }

    /// Picks and finishes one request, and returns its team.
    fn serve(&mut self, slots: FreeSlots) -> Option<String> {
        let picked = self.pick(slots)?;
        assert!(self.queue.finish(picked.offer_id, REQUEST_UNITS));
        Some(self.queue.team_name(picked.team).to_owned())
    }

    /// Serves `count` requests and returns the number of them that were the team's.
    fn count_served(&mut self, team: &str, count: usize) -> usize {
        let names = (0..count).filter_map(|_| self.serve(ONE_FREE_SLOT));
        names.filter(|name| name == team).count()
    }

    fn set_allowance(&mut self, team: &str, allowance_ppm: u32) {
        let index = self.queue.team_index(team).expect("the team is known");
        self.queue.set_urgent_allowance(index, allowance_ppm);
    }

    fn effective_service(&self, team: &str) -> u64 {
        let index = self.queue.team_index(team).expect("the team is known");
        self.queue.account(index).effective()
    }
}

cases! {
    shares_divide_the_slots => {
        let mut fixture = TestQueue::new(1000, &[("large", 3, 500), ("small", 1, 500)]);
        fixture.fill("large", Class::Standard, 400);
        fixture.fill("small", Class::Standard, 400);
        assert_eq!(fixture.count_served("small", 100), 25);
    }

    a_flood_does_not_delay_a_small_team => {
        let mut fixture = TestQueue::new(1000, &[("flood", 50, 900), ("small", 1, 9)]);
        fixture.fill("flood", Class::Standard, 900);
        assert_eq!(fixture.count_served("flood", 500), 500);
        fixture.fill("small", Class::Standard, 2);
        // The small team is lifted to the floor: it has its first turn within one request of the flood, and the next 50 later.
        assert_eq!(fixture.count_served("small", 2), 1);
        assert_eq!(fixture.count_served("small", 52), 1);
    }

    idle_time_earns_no_credit => {
        let mut fixture = TestQueue::new(1000, &[("busy", 1, 500), ("idle", 1, 500)]);
        fixture.fill("busy", Class::Standard, 300);
        assert_eq!(fixture.count_served("busy", 100), 100);
        fixture.fill("idle", Class::Standard, 100);
        assert_eq!(fixture.count_served("idle", 100), 50);
    }

    streamed_and_final_charges_cost_the_same => {
        let mut fixture = TestQueue::new(9, &[("streamed", 7, 9), ("whole", 7, 9)]);
        for team in ["streamed", "whole"] {
            let offer = fixture.offer(team, Class::Standard, FAR_DEADLINE);
            fixture.queue.start(&offer).expect("the team is known");
        }
        assert!((0..150).all(|_| fixture.queue.charge(1, 1)));
        assert!(fixture.queue.finish(1, 150) && fixture.queue.finish(2, 150));
        assert_eq!(fixture.effective_service("streamed"), fixture.effective_service("whole"));
    }

    an_estimate_is_charged_and_corrected => {
        let mut fixture = TestQueue::new(9, &[("team", 1, 9)]);
        fixture.fill("team", Class::Standard, 1);
        let picked = fixture.pick(ONE_FREE_SLOT).expect("an offer waits");
        let estimated = fixture.effective_service("team");
        assert!(fixture.queue.charge(picked.offer_id, REQUEST_UNITS));
        assert_eq!(fixture.effective_service("team"), estimated);
        assert!(fixture.queue.finish(picked.offer_id, REQUEST_UNITS / 2));
        assert_eq!(fixture.effective_service("team"), estimated);
        fixture.fill("team", Class::Standard, 1);
        let lost = fixture.pick(ONE_FREE_SLOT).expect("an offer waits");
        assert!(fixture.effective_service("team") > estimated);
        assert!(fixture.queue.finish(lost.offer_id, 0));
        assert_eq!(fixture.effective_service("team"), estimated);
    }

    a_full_queue_sheds_the_team_furthest_above_its_share => {
        let mut fixture = TestQueue::new(10, &[("large", 8, 10), ("flood", 1, 10), ("new", 1, 10)]);
        fixture.fill("large", Class::Standard, 7);
        fixture.fill("flood", Class::Standard, 3);
        assert_eq!(fixture.push("new", Class::Standard), Ok(Some("flood".into())));
        assert_eq!(fixture.push("flood", Class::Standard), Err(Reason::QueueFull));
        assert_eq!(fixture.queue.waiting(), 10);
        // The flood's newest offer was shed, and its first one still waits.
        assert_eq!((fixture.queue.remove(10), fixture.queue.remove(8)), (None, Some(())));
    }

    each_team_has_its_own_queue_limit => {
        let mut fixture = TestQueue::new(100, &[("team", 1, 2)]);
        fixture.fill("team", Class::Standard, 2);
        assert_eq!(fixture.push("team", Class::Standard), Err(Reason::TeamFull));
        assert_eq!(fixture.push("stranger", Class::Standard), Err(Reason::UnknownTeam));
    }

    only_urgent_offers_use_reserved_slots => {
        let mut fixture = TestQueue::new(100, &[("a", 1, 9), ("b", 1, 9)]);
        fixture.fill("a", Class::Batch, 1);
        assert_eq!(fixture.pick(one_free_slot(1)), None);
        fixture.fill("b", Class::Urgent, 1);
        assert_eq!(fixture.serve(one_free_slot(1)), Some("b".into()));
    }

    a_team_that_marks_everything_urgent_falls_back_to_its_share => {
        let mut fixture = TestQueue::new(1000, &[("urgent", 1, 300), ("batch", 1, 300)]);
        fixture.fill("urgent", Class::Urgent, 300);
        fixture.fill("batch", Class::Batch, 300);
        // A fifth of the window, and the request that exceeds it.
        let ahead = usize::try_from(URGENT_WINDOW_REQUESTS / 5).expect("small") + 1;
        let from_reserved = (0..300).map_while(|_| fixture.serve(one_free_slot(1))).count();
        assert_eq!(from_reserved, ahead);
        let served = fixture.count_served("urgent", 200);
        assert!(served.abs_diff(100) <= 1, "the urgent team got {served} of 200");
    }

    each_team_has_its_own_urgent_allowance => {
        for (allowance_ppm, ahead) in [(0, 0), (50_000, 2), (500_000, 11), (1_000_000, 21)] {
            let mut fixture = TestQueue::new(1000, &[("urgent", 1, 300), ("default", 1, 300), ("batch", 1, 300)]);
            fixture.set_allowance("urgent", allowance_ppm);
            for (team, class) in [("urgent", Class::Urgent), ("default", Class::Urgent), ("batch", Class::Batch)] {
                fixture.fill(team, class, 300);
            }
            let from_reserved = (0..300).map_while(|_| fixture.serve(one_free_slot(1))).collect::<Vec<_>>();
            let of = |team: &str| from_reserved.iter().filter(|name| *name == team).count();
            assert_eq!((of("urgent"), of("default"), of("batch")), (ahead, 5, 0));
            // A larger allowance gives no higher rate: the teams become level and are then served by their shares.
            fixture.count_served("batch", 60);
            let served = fixture.count_served("urgent", 90);
            assert!(served.abs_diff(30) <= 1, "the urgent team got {served} of 90");
        }
    }

    a_lower_allowance_takes_effect_immediately => {
        let mut fixture = TestQueue::new(1000, &[("urgent", 1, 300), ("batch", 1, 300)]);
        fixture.fill("urgent", Class::Urgent, 9);
        fixture.fill("batch", Class::Batch, 9);
        assert_eq!(fixture.serve(one_free_slot(1)), Some("urgent".into()));
        fixture.set_allowance("urgent", 0);
        assert_eq!(fixture.serve(one_free_slot(1)), None);
        assert_eq!(fixture.serve(ONE_FREE_SLOT), Some("batch".into()));
    }

    a_team_cannot_starve_its_own_batch_work => {
        let mut fixture = TestQueue::new(1000, &[("team", 1, 300)]);
        fixture.fill("team", Class::Urgent, 200);
        fixture.fill("team", Class::Batch, 10);
        let classes = (0..40).filter_map(|_| fixture.pick(ONE_FREE_SLOT)).map(|picked| picked.class);
        let batch = classes.filter(|class| *class == Class::Batch).count();
        assert!(batch >= 4, "batch work had {batch} of 40 turns");
    }

    an_unmeetable_deadline_is_refused_immediately => {
        let mut fixture = TestQueue::new(1000, &[("team", 1, 300), ("other", 1, 300)]);
        fixture.fill("team", Class::Standard, 20);
        fixture.fill("other", Class::Standard, 20);
        assert_eq!(fixture.count_served("team", 20), 10);
        // Ten offers wait ahead, and each takes two picks of 10 ms.
        let soon = fixture.offer("team", Class::Standard, FAR_DEADLINE + ms(1));
        let too_soon = Offer { deadline: fixture.now + ms(150), class: Class::Batch, ..soon.clone() };
        let refusal = fixture.queue.push(fixture.now, &too_soon, ()).expect_err("it can't start in time");
        assert_eq!(refusal.reason, Reason::DeadlineUnmeetable);
        assert!(refusal.is_not_run());
        assert!(refusal.retry_after >= ms(100) && refusal.retry_after <= ms(400));
        assert_eq!(fixture.queue.push(fixture.now, &soon, ()), Ok(None));
    }

    waiting_offers_expire_when_they_would_start_too_late => {
        let mut fixture = TestQueue::new(1000, &[("team", 1, 300)]);
        for _ in 0..10 {
            let batch = fixture.offer("team", Class::Batch, ms(600));
            assert_eq!(fixture.queue.push(fixture.now, &batch, ()), Ok(None));
        }
        fixture.fill("team", Class::Standard, 100);
        assert_eq!(fixture.count_served("team", 10), 10);
        // One batch offer has been served. The others get one in nine picks of 10 ms each: five start by 600 ms.
        let expired = fixture.queue.expire(fixture.now);
        let ids: Vec<u64> = expired.iter().map(|expired| expired.offer_id).collect();
        assert_eq!(ids, [7, 8, 9, 10]);
        assert_eq!(fixture.queue.waiting(), 96);
    }
}
