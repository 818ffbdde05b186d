//! Checks who votes, for every number of instances and every cut of them in two.

use hinge_cases::cases;

use super::{
    MOST_VOTERS, Members, Vote, VoterDisks, hands_votes_on, may_acknowledge, may_vote,
    vote_for_learner,
};

/// Returns the voters among some instances once all have asked as often as they like, and nobody is silent.
fn voters_of(instances: usize, founders: usize, least_voters: usize) -> usize {
    let mut voters = founders.min(instances);
    while voters < instances {
        let members = Members {
            voters,
            diskless_voters: 0,
            other_ready_learners: instances - voters - 1,
            silent_voter: None,
        };
        match vote_for_learner(members, least_voters) {
            Vote::Give => voters += 1,
            Vote::Wait => break,
            Vote::TakeFrom(gone) => panic!("nobody is silent, not even {gone}"),
        }
    }
    voters
}

/// Returns whether every side of a cut that has more than half of the instances has a quorum, whoever is on it.
fn larger_sides_go_on(instances: usize, voters: usize) -> bool {
    let learners = instances - voters;
    let mut larger = instances / 2 + 1..=instances;
    larger.all(|side| side.saturating_sub(learners) > voters / 2)
}

fn members(voters: usize, other_ready_learners: usize) -> Members {
    Members {
        voters,
        diskless_voters: 0,
        other_ready_learners,
        silent_voter: None,
    }
}

fn disks(with: usize, without: usize) -> VoterDisks {
    VoterDisks { with, without }
}

cases! {
    the_larger_side_of_every_cut_goes_on => {
        for instances in 1..=MOST_VOTERS {
            for (founders, least_voters) in [(1, 1), (1, 3), (3, 1), (3, 3), (3, 5), (3, 9)] {
                let voters = voters_of(instances, founders, least_voters);
                assert!(larger_sides_go_on(instances, voters), "{voters} of {instances} vote");
            }
        }
    }
    no_more_vote_than_are_worth_a_commit => {
        assert_eq!(voters_of(2 * MOST_VOTERS, 3, 5), MOST_VOTERS);
    }
    an_even_number_of_instances_leaves_one_out => {
        assert_eq!((voters_of(6, 3, 5), voters_of(7, 3, 5), voters_of(8, 3, 5)), (5, 7, 7));
    }
    a_silent_voter_gives_its_place_before_the_number_grows => {
        let silent = Members { silent_voter: Some(7), ..members(5, 1) };
        assert_eq!(vote_for_learner(silent, 5), Vote::TakeFrom(7));
        assert_eq!(vote_for_learner(silent, 7), Vote::Give, "fewer than are wanted vote");
    }
    an_odd_number_of_voters_does_not_become_even => {
        assert_eq!(vote_for_learner(members(5, 0), 5), Vote::Wait);
        assert_eq!(vote_for_learner(members(6, 0), 5), Vote::Give);
    }
    an_instance_with_a_disk_votes_where_one_without_does => {
        let members = Members { diskless_voters: 1, ..members(5, 0) };
        assert_eq!(vote_for_learner(members, 5), Vote::Give);
    }
    an_instance_without_a_disk_votes_only_where_nobody_has_one => {
        assert!(!may_vote(true, disks(0, 3), true), "instances with a disk are on their way");
        assert!(!may_vote(true, disks(1, 3), false));
        assert!(may_vote(true, disks(0, 3), false));
        assert!(may_vote(false, disks(3, 0), true));
    }
    votes_are_handed_on_once_enough_others_vote_or_no_more_are_expected => {
        assert!(!hands_votes_on(disks(2, 3), 3, true));
        assert!(hands_votes_on(disks(3, 3), 3, true));
        assert!(hands_votes_on(disks(1, 3), 3, false));
        assert!(!hands_votes_on(disks(0, 3), 3, false), "nobody takes them over");
    }
    nothing_is_acknowledged_on_a_vote_without_a_disk_beside_one_with => {
        assert!(may_acknowledge(disks(3, 0), true));
        assert!(!may_acknowledge(disks(2, 1), false));
        assert!(!may_acknowledge(disks(0, 3), true));
        assert!(may_acknowledge(disks(0, 3), false), "no instance of the fleet has a disk");
    }
}
