//! Checks which other gateways are queried for updates.

use hinge_cases::cases;

use super::PeerUpdates;

fn addresses_after(answers: &[&[&str]]) -> Vec<Box<str>> {
    let mut peer_updates = PeerUpdates::new();
    for listed in answers {
        peer_updates.set_addresses(listed.iter().map(|address| Box::from(*address)).collect());
    }
    peer_updates.addresses
}

cases! {
    the_most_recently_listed_gateways_are_queried => {
        assert_eq!(addresses_after(&[&["a", "b"], &["c"]]), ["c".into()]);
    }
    an_empty_list_keeps_the_earlier_gateways => {
        assert_eq!(addresses_after(&[&["a", "b"], &[]]), ["a".into(), "b".into()]);
    }
}
