//! Replays losses of control instances on the choice of the ones that a gateway asks.

use hinge_cases::cases;
use hinge_routing::{Address, ControlInstances};
use quickcheck::quickcheck;

fn addresses(count: usize) -> Vec<Address> {
    (0..count)
        .map(|number| format!("10.0.0.{number}:8000").into())
        .collect()
}

/// Returns how many rounds of questions pass until one is answered, with some instances dead.
fn rounds_until_answered(targets: &mut ControlInstances, all: &[Address], dead: &[usize]) -> usize {
    for round in 1.. {
        let asked = targets.to_query();
        let lives = |address: &&Address| !dead.iter().any(|dead| all[*dead] == **address);
        if let Some(address) = asked.iter().find(lives) {
            targets.record_answer(address, all, all);
            return round;
        }
        targets.record_failure(all);
    }
    unreachable!("rounds go on without an end")
}

quickcheck! {
    fn two_losses_at_once_cost_one_question_that_times_out(draw: usize, one: usize, other: usize) -> bool {
        // The changes of the configuration must be in force in some two seconds.
        let all = addresses(6);
        let mut targets = ControlInstances::new(&all[..3], draw);
        rounds_until_answered(&mut targets, &all, &[]);
        let dead = [one % 6, other % 6];
        rounds_until_answered(&mut targets, &all, &dead) <= 2
    }
    fn every_instance_is_asked_in_its_turn(draw: usize, left: usize) -> bool {
        let all = addresses(8);
        let dead: Vec<usize> = (0..8).filter(|place| *place != left % 8).collect();
        rounds_until_answered(&mut ControlInstances::new(&all, draw), &all, &dead) <= 3
    }
}

cases! {
    a_gateway_that_follows_one_asks_no_other => {
        let all = addresses(5);
        let mut targets = ControlInstances::new(&all, 0);
        targets.record_answer(&all[3], &all, &all[..3]);
        assert_eq!(targets.to_query().as_slice(), &all[3..4]);
    }
    seeds_of_changed_settings_are_asked_when_the_known_ones_fail => {
        let old = addresses(3);
        let new: Vec<Address> = vec!["10.9.0.1:8000".into()];
        let mut targets = ControlInstances::new(&old, 0);
        targets.record_answer(&old[0], &old, &old);
        targets.record_failure(&new);
        let asked = [targets.to_query(), { targets.record_failure(&new); targets.to_query() }].concat();
        assert!(asked.contains(&new[0]));
    }
    an_instance_that_knows_no_others_is_still_known => {
        let mut targets = ControlInstances::new(&addresses(1), 7);
        targets.record_answer("10.0.0.0:8000", &[], &[]);
        assert_eq!(targets.to_query().len(), 1);
    }
}
