//! Tests that one team's flood of requests does not starve another team.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use hinge_cases::async_cases;

use crate::running_fleet::{FleetLayout, RunningFleet, slow_endpoint};

/// Requests that the flooding team sends at once.
const FLOOD_REQUESTS: usize = 200;

/// Slots of both endpoints together, without those reserved for urgent requests.
const COMMON_SLOTS: usize = 6;

/// Most requests of the flood that may end while one request of the other team waits and runs: those that already run,
/// those that the flooding team's larger share puts first, and those that run at the same time.
const MAX_OVERTAKING: usize = 4 * COMMON_SLOTS;

async_cases! { real
    a_flood_of_one_team_delays_the_small_requests_of_another_only_a_little => {
        let sidecars = &[("forecast", slow_endpoint(200)), ("forecast", slow_endpoint(200))];
        let mut fleet = RunningFleet::open(FleetLayout { control: 1, entries: 2, sidecars, ..FleetLayout::default() }).await;
        let (large, small) = (fleet.caller(0, "demo-key-large").await, fleet.caller(1, "demo-key-small").await);
        for stand_in in &fleet.stand_ins {
            large.until_endpoint_reached(stand_in).await;
            small.until_endpoint_reached(stand_in).await;
        }
        let ended = Arc::new(AtomicUsize::new(0));
        let flood: Vec<_> = (0..FLOOD_REQUESTS).map(|_| {
            let (large, ended) = (large.clone(), Arc::clone(&ended));
            tokio::spawn(async move {
                let answer = large.stream(20).await;
                ended.fetch_add(1, Ordering::SeqCst);
                answer
            })
        }).collect();
        for stand_in in &fleet.stand_ins {
            stand_in.wait_until(|record| record.running == 3).await;
        }
        let mut overtaking = Vec::new();
        for _ in 0..8 {
            let before = ended.load(Ordering::SeqCst);
            let answer = small.stream(5).await;
            assert!(answer.is_whole_stream(5), "{answer:?}");
            overtaking.push(ended.load(Ordering::SeqCst) - before);
        }
        assert!(overtaking.iter().all(|ended| *ended <= MAX_OVERTAKING), "{overtaking:?}");
        assert!(ended.load(Ordering::SeqCst) < FLOOD_REQUESTS, "the flood went on all the while");
        // The flood goes on, so requests and runs are counted in the same records.
        for stand_in in &fleet.stand_ins {
            let record = stand_in.record();
            assert_eq!(u32::try_from(record.requests.len()).ok(), Some(record.begun()), "no request ran twice");
        }
        for answer in futures::future::join_all(flood).await {
            let answer = answer.expect("the caller does not panic");
            let is_valid = answer.is_whole_stream(20) || answer.outcome().as_deref() == Some("not_run");
            assert!(is_valid, "{answer:?}");
        }
    }
}
