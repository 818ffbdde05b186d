//! Checks which gateway takes a request that another one has no capacity for.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::PeerGateways;

const NOW: Duration = Duration::from_secs(100);

fn address(number: u8) -> SocketAddr {
    (Ipv4Addr::new(10, 0, 0, number), 1).into()
}

/// Returns the peers of a gateway in a data centre with three others.
fn three_peers() -> PeerGateways {
    let mut peers = PeerGateways::default();
    peers.record_listed(NOW, &[address(1), address(2), address(3)]);
    peers
}

/// Returns a function that counts up from 1, in place of random numbers.
fn counter() -> impl FnMut() -> usize {
    let mut last = 0;
    move || {
        last += 1;
        last
    }
}

cases! {
    the_less_busy_of_two_drawn_gateways_is_chosen => {
        let mut peers = three_peers();
        let first = peers.choose(NOW, &[], || 0);
        assert_eq!(first, Some(address(1)));
        let draws = [0, 1];
        let mut draws = draws.into_iter();
        let second = peers.choose(NOW, &[], || draws.next().expect("two are drawn"));
        assert_eq!(second, Some(address(2)));
        assert_eq!(peers.in_flight(), 2);
    }
    requests_are_spread_evenly => {
        let mut peers = three_peers();
        let mut draw = counter();
        for _ in 0..300 {
            peers.choose(NOW, &[], &mut draw).expect("all can be chosen");
        }
        for number in 1..=3 {
            for _ in 0..95 {
                peers.request_ended(address(number));
            }
        }
        assert_eq!(peers.in_flight(), 15);
    }
    suspended_and_excluded_gateways_are_not_chosen => {
        let mut peers = three_peers();
        peers.suspend(NOW, address(1), Duration::from_secs(1));
        for draw in 0..10 {
            let chosen = peers.choose(NOW, &[address(2)], || draw);
            assert_eq!(chosen, Some(address(3)));
        }
        assert_eq!(peers.choose(NOW, &[address(2), address(3)], || 0), None);
        let later = NOW + Duration::from_secs(1);
        assert_eq!(peers.choose(later, &[address(2), address(3)], || 0), Some(address(1)));
    }
    an_unlisted_gateway_is_forgotten_once_it_has_no_requests => {
        let mut peers = three_peers();
        assert_eq!(peers.choose(NOW, &[], || 0), Some(address(1)));
        let later = NOW + Duration::from_mins(10);
        peers.record_listed(later, &[address(3)]);
        assert!(peers.contains(address(1)) && !peers.contains(address(2)) && peers.contains(address(3)));
        peers.request_ended(address(1));
        peers.record_listed(later, &[address(3)]);
        assert!(!peers.contains(address(1)));
    }
    without_peers_none_is_chosen => {
        assert_eq!(PeerGateways::default().choose(NOW, &[], || 7), None);
    }
}
