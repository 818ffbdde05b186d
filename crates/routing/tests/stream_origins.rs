//! Checks where streams are known to have begun, and which gateways hold the copies.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::{Known, PeerList, StreamKey, StreamOrigin, StreamOrigins};

const SECOND: Duration = Duration::from_secs(1);

fn origin(software_version: &str) -> Arc<StreamOrigin> {
    Arc::new(StreamOrigin {
        service: "app".into(),
        software_version: software_version.into(),
    })
}

fn stream(id: &str) -> StreamKey {
    StreamKey::of(Some("team-a"), id)
}

fn address(number: u8) -> SocketAddr {
    (Ipv4Addr::new(10, 0, 0, number), 1).into()
}

fn peers(numbers: &[u8]) -> PeerList {
    let mut peers = PeerList::default();
    let addresses = numbers.iter().map(|number| address(*number));
    peers.record_listed(Duration::ZERO, addresses);
    peers
}

cases! {
    an_origin_is_found_for_as_long_as_callers_come_back => {
        for begun_s in 0..100 {
            let mut origins = StreamOrigins::default();
            // Other streams begin all the time.
            for second in 0..200 {
                let now = SECOND * second;
                origins.record(now, stream(&format!("other-{second}")), &origin("v2"));
                if second == begun_s {
                    assert!(origins.record(now, stream("a"), &origin("v1")));
                }
                let known = origins.find(now, stream("a"));
                if (begun_s..begun_s + 30).contains(&second) {
                    assert_eq!(known, Known::At(origin("v1")), "{begun_s} {second}");
                }
                if second < begun_s || second >= begun_s + 60 {
                    assert_eq!(known, Known::Nothing, "{begun_s} {second}");
                }
            }
        }
    }
    an_origin_is_forgotten_although_no_other_stream_begins => {
        let mut origins = StreamOrigins::default();
        origins.record(Duration::ZERO, stream("a"), &origin("v1"));
        assert_eq!(origins.find(SECOND * 59, stream("a")), Known::At(origin("v1")));
        assert_eq!(origins.find(SECOND * 60, stream("a")), Known::Nothing);
    }
    a_stream_with_two_origins_is_ambiguous_and_stays_so => {
        let mut origins = StreamOrigins::default();
        origins.record(Duration::ZERO, stream("a"), &origin("v1"));
        origins.record(SECOND, stream("a"), &origin("v2"));
        assert_eq!(origins.find(SECOND, stream("a")), Known::Ambiguous);
        origins.record(SECOND * 2, stream("a"), &origin("v1"));
        assert_eq!(origins.find(SECOND * 2, stream("a")), Known::Ambiguous);
    }
    the_same_origin_from_two_gateways_is_not_ambiguous => {
        let mut origins = StreamOrigins::default();
        assert!(origins.record(Duration::ZERO, stream("a"), &origin("v1")));
        assert!(!origins.record(SECOND, stream("a"), &origin("v1")));
        assert_eq!(origins.find(SECOND, stream("a")), Known::At(origin("v1")));
    }
    a_team_does_not_find_the_stream_of_another => {
        let mut origins = StreamOrigins::default();
        origins.record(Duration::ZERO, stream("a"), &origin("v1"));
        for team in [Some("team-b"), Some(""), None] {
            assert_eq!(origins.find(SECOND, StreamKey::of(team, "a")), Known::Nothing);
        }
    }
    a_team_and_an_id_are_not_confused => {
        assert_ne!(StreamKey::of(Some("ab"), "c"), StreamKey::of(Some("a"), "bc"));
        assert_ne!(StreamKey::of(Some(""), "a"), StreamKey::of(None, "a"));
    }
    each_gateway_holds_the_copies_of_one_other => {
        let all = [1, 2, 3, 4, 5];
        let mut holders: Vec<SocketAddr> = Vec::new();
        for own in all {
            let others: Vec<u8> = all.into_iter().filter(|other| *other != own).collect();
            let holder = peers(&others).successor(Duration::ZERO, address(own));
            holders.push(holder.expect("there are others"));
        }
        holders.sort_unstable();
        assert_eq!(holders, all.map(address));
    }
    a_gateway_that_cannot_be_reached_is_passed_over_for_a_time => {
        let mut peers = peers(&[1, 3, 5]);
        let first = peers.successor(Duration::ZERO, address(2)).expect("there are others");
        peers.suspend(Duration::ZERO, first, SECOND);
        let second = peers.successor(Duration::ZERO, address(2)).expect("there are others");
        assert_ne!(second, first);
        assert_eq!(peers.successor(SECOND, address(2)), Some(first));
        assert_eq!(peers.addresses().count(), 3);
    }
    the_only_other_gateway_holds_all_copies => {
        assert_eq!(peers(&[3]).successor(Duration::ZERO, address(9)), Some(address(3)));
        assert_eq!(peers(&[3]).successor(Duration::ZERO, address(1)), Some(address(3)));
        assert_eq!(peers(&[]).successor(Duration::ZERO, address(9)), None);
        assert_eq!(peers(&[9]).successor(Duration::ZERO, address(9)), None);
    }
    gateways_of_one_data_centre_spread_their_copies_over_another => {
        let others: Vec<u8> = (100..130).collect();
        let others = peers(&others);
        let mut copies = [0_u32; 256];
        for own in 0..30 {
            let holder = others.successor(Duration::ZERO, address(own)).expect("there are others");
            let SocketAddr::V4(holder) = holder else { unreachable!("all have IPv4 addresses") };
            copies[usize::from(holder.ip().octets()[3])] += 1;
        }
        let most = copies.iter().max().expect("there are some");
        assert!(*most <= 30 / 4, "one gateway holds the copies of {most}");
    }
    a_gateway_that_is_listed_no_more_is_forgotten => {
        let mut peers = peers(&[1, 3]);
        peers.record_listed(SECOND * 100, [address(3)]);
        peers.record_listed(SECOND * 180, []);
        assert_eq!(peers.addresses().collect::<Vec<_>>(), [address(3)]);
    }
    a_gateway_that_only_others_name_is_forgotten_earlier => {
        let mut peers = peers(&[1]);
        peers.record_named(SECOND * 130, [address(1), address(3)]);
        peers.record_listed(SECOND * 189, []);
        assert_eq!(peers.addresses().count(), 2);
        peers.record_listed(SECOND * 190, [address(1)]);
        assert_eq!(peers.addresses().collect::<Vec<_>>(), [address(1)]);
    }
}
