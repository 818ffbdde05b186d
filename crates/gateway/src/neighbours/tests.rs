//! Checks which other gateways are asked.

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
    the_last_ones_that_were_named_are_asked => {
        assert_eq!(after(&[&["a", "b"], &["c"]]), ["c".into()]);
    }
    an_answer_that_names_nobody_leaves_the_earlier_ones => {
        assert_eq!(after(&[&["a", "b"], &[]]), ["a".into(), "b".into()]);
    }
}
