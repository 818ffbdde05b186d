//! Checks which other gateways are queried for updates.

use hinge_cases::cases;

use super::Neighbours;

fn after(answers: &[&[&str]]) -> Vec<Box<str>> {
    let mut neighbours = Neighbours::new();
    for named in answers {
        neighbours.named(named.iter().map(|address| Box::from(*address)).collect());
    }
    neighbours.addresses
}

cases! {
    the_most_recently_listed_gateways_are_queried => {
        assert_eq!(after(&[&["a", "b"], &["c"]]), ["c".into()]);
    }
    an_empty_list_keeps_the_earlier_gateways => {
        assert_eq!(after(&[&["a", "b"], &[]]), ["a".into(), "b".into()]);
    }
}
