//! Tests which instances vote, for every number of instances and every partition into two sides.

use hinge_cases::cases;

use super::{
    MAX_VOTERS, Promotion, PromotionContext, VoterDisks, decide_promotion, may_acknowledge,
    may_vote, should_remove_diskless_voters,
};

/// Returns the final number of voters once every instance has asked repeatedly, with no voter silent.
fn final_voter_count(instances: usize, founders: usize, min_voters: usize) -> usize {
    let mut voters = founders.min(instances);
    while voters < instances {
        let context = PromotionContext {
            voters,
            diskless_voters: 0,
            other_ready_learners: instances - voters - 1,
            silent_voter: None,
        };
        match decide_promotion(context, min_voters) {
            Promotion::Promote => voters += 1,
            Promotion::Wait => break,
            Promotion::Replace(gone) => panic!("no voter is silent, but {gone} was to be replaced"),
        }
    }
    voters
}

/// Returns whether every side with more than half of the instances has a quorum, whichever instances are on it.
fn larger_sides_have_quorum(instances: usize, voters: usize) -> bool {
    let learners = instances - voters;
    let mut larger = instances / 2 + 1..=instances;
    larger.all(|side| side.saturating_sub(learners) > voters / 2)
}

fn context(voters: usize, other_ready_learners: usize) -> PromotionContext {
    PromotionContext {
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
    the_larger_side_of_every_partition_has_a_quorum => {
        for instances in 1..=MAX_VOTERS {
            for (founders, min_voters) in [(1, 1), (1, 3), (3, 1), (3, 3), (3, 5), (3, 9)] {
                let voters = final_voter_count(instances, founders, min_voters);
                assert!(larger_sides_have_quorum(instances, voters), "{voters} of {instances} vote");
            }
        }
    }
    voters_are_limited_to_the_maximum => {
        assert_eq!(final_voter_count(2 * MAX_VOTERS, 3, 5), MAX_VOTERS);
    }
    an_even_number_of_instances_leaves_one_out => {
        assert_eq!((final_voter_count(6, 3, 5), final_voter_count(7, 3, 5), final_voter_count(8, 3, 5)), (5, 7, 7));
    }
    a_silent_voter_is_replaced_before_voters_are_added => {
        let silent = PromotionContext { silent_voter: Some(7), ..context(5, 1) };
        assert_eq!(decide_promotion(silent, 5), Promotion::Replace(7));
        assert_eq!(decide_promotion(silent, 7), Promotion::Promote, "there are too few voters");
    }
    an_odd_number_of_voters_does_not_become_even => {
        assert_eq!(decide_promotion(context(5, 0), 5), Promotion::Wait);
        assert_eq!(decide_promotion(context(6, 0), 5), Promotion::Promote);
    }
    an_instance_with_a_disk_votes_where_one_without_does => {
        let context = PromotionContext { diskless_voters: 1, ..context(5, 0) };
        assert_eq!(decide_promotion(context, 5), Promotion::Promote);
    }
    an_instance_without_a_disk_votes_only_where_nobody_has_one => {
        assert!(!may_vote(true, disks(0, 3), true), "instances with a disk may yet join");
        assert!(!may_vote(true, disks(1, 3), false));
        assert!(may_vote(true, disks(0, 3), false));
        assert!(may_vote(false, disks(3, 0), true));
    }
    diskless_voters_leave_once_enough_others_vote_or_no_more_are_expected => {
        assert!(!should_remove_diskless_voters(disks(2, 3), 3, true));
        assert!(should_remove_diskless_voters(disks(3, 3), 3, true));
        assert!(should_remove_diskless_voters(disks(1, 3), 3, false));
        assert!(!should_remove_diskless_voters(disks(0, 3), 3, false), "there is no other voter");
    }
    nothing_is_acknowledged_while_only_some_voters_have_a_disk => {
        assert!(may_acknowledge(disks(3, 0), true));
        assert!(!may_acknowledge(disks(2, 1), false));
        assert!(!may_acknowledge(disks(0, 3), true));
        assert!(may_acknowledge(disks(0, 3), false), "no instance of the fleet has a disk");
    }
}
