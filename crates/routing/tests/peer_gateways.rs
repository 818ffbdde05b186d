//! Checks which gateway takes a request for which another one has no room.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::PeerGateways;

const NOW: Duration = Duration::from_secs(100);

fn address(number: u8) -> SocketAddr {
    (Ipv4Addr::new(10, 0, 0, number), 1).into()
}

/// Returns a gateway's view of three others.
fn three() -> PeerGateways {
    let mut nearby = PeerGateways::default();
    nearby.record_listed(NOW, &[address(1), address(2), address(3)]);
    nearby
}

/// Draws numbers one after the other.
fn in_turn() -> impl FnMut() -> usize {
    let mut last = 0;
    move || {
        last += 1;
        last
    }
}

cases! {
    of_two_that_are_drawn_the_one_with_fewer_requests_is_chosen => {
        let mut nearby = three();
        let first = nearby.choose(NOW, &[], || 0);
        assert_eq!(first, Some(address(1)));
        let draws = [0, 1];
        let mut draws = draws.into_iter();
        let second = nearby.choose(NOW, &[], || draws.next().expect("two are drawn"));
        assert_eq!(second, Some(address(2)));
        assert_eq!(nearby.in_flight(), 2);
    }
    requests_are_spread_evenly => {
        let mut nearby = three();
        let mut draw = in_turn();
        for _ in 0..300 {
            nearby.choose(NOW, &[], &mut draw).expect("all can be chosen");
        }
        for number in 1..=3 {
            for _ in 0..95 {
                nearby.request_ended(address(number));
            }
        }
        assert_eq!(nearby.in_flight(), 15);
    }
    one_that_rests_or_was_asked_is_left_out => {
        let mut nearby = three();
        nearby.suspend(NOW, address(1), Duration::from_secs(1));
        for draw in 0..10 {
            let chosen = nearby.choose(NOW, &[address(2)], || draw);
            assert_eq!(chosen, Some(address(3)));
        }
        assert_eq!(nearby.choose(NOW, &[address(2), address(3)], || 0), None);
        let later = NOW + Duration::from_secs(1);
        assert_eq!(nearby.choose(later, &[address(2), address(3)], || 0), Some(address(1)));
    }
    one_that_is_no_longer_named_is_forgotten_once_it_has_no_request => {
        let mut nearby = three();
        assert_eq!(nearby.choose(NOW, &[], || 0), Some(address(1)));
        let later = NOW + Duration::from_mins(10);
        nearby.record_listed(later, &[address(3)]);
        assert!(nearby.contains(address(1)) && !nearby.contains(address(2)) && nearby.contains(address(3)));
        nearby.request_ended(address(1));
        nearby.record_listed(later, &[address(3)]);
        assert!(!nearby.contains(address(1)));
    }
    without_others_there_is_nobody_to_choose => {
        assert_eq!(PeerGateways::default().choose(NOW, &[], || 7), None);
    }
}
