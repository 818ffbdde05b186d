//! Queues and offers for the tests.

use std::time::Duration;

use hinge_fair::{Class, FreeSlots, Limits, Offer, Queue};

pub const FAR_DEADLINE: Duration = Duration::from_hours(1);
pub const ONE_FREE_SLOT: FreeSlots = one_free_slot(0);

pub const fn one_free_slot(reserved_slots: u32) -> FreeSlots {
    FreeSlots {
        free_slots: 1,
        reserved_slots,
    }
}

pub fn queue<T>(max_waiting: usize, request: u64, teams: &[(&str, u32, usize)]) -> Queue<T> {
    let mut queue = Queue::new(Limits {
        max_waiting,
        max_request_units: request,
    });
    for (name, share, max) in teams {
        queue.set_team(name, *share, *max);
    }
    queue
}

pub fn offer(offer_id: u64, team: &str, class: Class, units: u64, deadline: Duration) -> Offer {
    Offer {
        offer_id,
        team: team.into(),
        class,
        estimated_units: units,
        deadline,
    }
}
