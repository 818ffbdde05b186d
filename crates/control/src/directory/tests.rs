//! Tests which gateways are handed out to others.

use std::time::Duration;

use hinge_cases::cases;

use super::GatewayDirectory;

const TTL: Duration = Duration::from_secs(10);

const MAX_RETURNED: usize = 3;

fn five_gateways() -> GatewayDirectory {
    let mut directory = GatewayDirectory::new(TTL, MAX_RETURNED);
    for number in 1..=5 {
        let (name, address) = (format!("gateway-{number}"), format!("10.0.0.{number}:1"));
        directory.note(Duration::ZERO, &name, &address);
    }
    directory
}

cases! {
    a_gateway_is_given_others_and_never_itself => {
        for draw in 0..10 {
            let named = five_gateways().others("gateway-2", draw);
            assert_eq!(named.len(), MAX_RETURNED);
            assert!(!named.contains(&"10.0.0.2:1".into()), "{named:?}");
        }
    }
    every_other_gateway_is_returned_for_some_draw => {
        let mut named: Vec<_> = (0..4).flat_map(|draw| five_gateways().others("gateway-2", draw)).collect();
        named.sort_unstable();
        named.dedup();
        assert_eq!(named.len(), 4);
    }
    the_only_gateway_is_given_no_others => {
        let mut directory = GatewayDirectory::new(TTL, MAX_RETURNED);
        directory.note(Duration::ZERO, "gateway-1", "10.0.0.1:1");
        assert!(directory.others("gateway-1", 7).is_empty());
    }
    an_expired_gateway_is_not_returned => {
        let mut directory = five_gateways();
        directory.note(TTL, "gateway-6", "10.0.0.6:1");
        assert_eq!(directory.others("gateway-1", 0), ["10.0.0.6:1".into()]);
    }
}
