//! Checks which control instances a gateway queries when some of them are lost.

use hinge_cases::cases;
use hinge_routing::{Address, ControlInstances};
use quickcheck::quickcheck;

fn addresses(count: usize) -> Vec<Address> {
    (0..count)
        .map(|number| format!("10.0.0.{number}:8000").into())
        .collect()
}

/// Returns the number of query rounds until an instance answers, with some instances dead.
fn rounds_until_answer(instances: &mut ControlInstances, all: &[Address], dead: &[usize]) -> usize {
    for round in 1.. {
        let queried = instances.to_query();
        let is_alive = |address: &&Address| !dead.iter().any(|dead| all[*dead] == **address);
        if let Some(address) = queried.iter().find(is_alive) {
            instances.record_answer(address, all, all);
            return round;
        }
        instances.record_failure(all);
    }
    unreachable!("the loop has no end")
}

quickcheck! {
    fn two_simultaneous_losses_cost_at_most_one_timeout(draw: usize, one: usize, other: usize) -> bool {
        // A change of the configuration must be in force within about two seconds.
        let all = addresses(6);
        let mut instances = ControlInstances::new(&all[..3], draw);
        rounds_until_answer(&mut instances, &all, &[]);
        let dead = [one % 6, other % 6];
        rounds_until_answer(&mut instances, &all, &dead) <= 2
    }
    fn every_instance_is_queried_in_turn(draw: usize, survivor: usize) -> bool {
        let all = addresses(8);
        let dead: Vec<usize> = (0..8).filter(|index| *index != survivor % 8).collect();
        rounds_until_answer(&mut ControlInstances::new(&all, draw), &all, &dead) <= 3
    }
}

cases! {
    a_gateway_queries_only_the_instance_that_it_follows => {
        let all = addresses(5);
        let mut instances = ControlInstances::new(&all, 0);
        instances.record_answer(&all[3], &all, &all[..3]);
        assert_eq!(instances.to_query().as_slice(), &all[3..4]);
    }
    new_seeds_are_queried_when_the_known_instances_fail => {
        let old = addresses(3);
        let new: Vec<Address> = vec!["10.9.0.1:8000".into()];
        let mut instances = ControlInstances::new(&old, 0);
        instances.record_answer(&old[0], &old, &old);
        instances.record_failure(&new);
        let queried = [instances.to_query(), { instances.record_failure(&new); instances.to_query() }].concat();
        assert!(queried.contains(&new[0]));
    }
    an_instance_that_lists_nobody_stays_known => {
        let mut instances = ControlInstances::new(&addresses(1), 7);
        instances.record_answer("10.0.0.0:8000", &[], &[]);
        assert_eq!(instances.to_query().len(), 1);
    }
}
