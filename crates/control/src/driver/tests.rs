//! Tests the order in which the thread publishes its lease and sends messages.

mod acknowledged;
mod lost_holders;
mod stalled;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hinge_cases::cases;
use hinge_raft::{AppendResult, Body, Config, Membership, Message, Node, PersistentState};
use hinge_state::LOG_FORMAT;

use super::format::knows_format;
use super::thread::{lease_until_us, take_output_and_send};

/// A time past the delay before a restarted node votes and the longest election timeout.
const LATER: Duration = Duration::from_secs(5);

fn step(node: &mut Node, term: u64, body: Body) {
    let message = Message {
        cluster_id: 7,
        from: 2,
        to: 1,
        term,
        body,
    };
    node.step(LATER, message);
}

fn sync(node: &mut Node) {
    loop {
        let token = node.take_output().token;
        if token == 0 {
            break;
        }
        node.persisted(LATER, token);
    }
}

/// Returns node 1 of three, which leads with a lease and holds the same log as node 2.
fn leader() -> Node {
    let membership = Membership {
        voters: vec![1, 2, 3],
        learners: Vec::new(),
    };
    let durable = PersistentState::bootstrap(membership);
    let mut node =
        Node::open(Config::new(1, 7), durable, Duration::ZERO, 1).expect("the log is valid");
    node.tick(LATER);
    step(&mut node, 1, Body::PreVoteReply { granted: true });
    sync(&mut node);
    step(&mut node, 1, Body::VoteReply { granted: true });
    sync(&mut node);
    let accepted = Body::AppendReply {
        result: AppendResult::Accepted { match_index: 1 },
        round: 1,
        complete: true,
    };
    step(&mut node, 1, accepted);
    sync(&mut node);
    node
}

cases! {
    // Guards against a quorum of an earlier version that stops at an entry which it doesn't know.
    the_format_waits_for_members_of_an_earlier_version => {
        assert!(knows_format(Some(LOG_FORMAT), false));
        assert!(!knows_format(Some(LOG_FORMAT - 1), false));
        assert!(!knows_format(Some(0), false));
        assert!(!knows_format(Some(0), true), "it may come back with the earlier version");
        assert!(!knows_format(None, false));
        assert!(knows_format(None, true), "a lost member must not hold up the others");
    }
    an_ended_lease_is_published_before_the_successor_is_asked => {
        let mut node = leader();
        let published_until_us = AtomicU64::new(lease_until_us(&node));
        assert!(published_until_us.load(Ordering::Acquire) > 0, "it holds a lease");
        node.transfer_leadership(LATER, 2).expect("node 2 is reachable");
        let mut seen = Vec::new();
        take_output_and_send(&mut node, &published_until_us, |message| {
            seen.push((message.body, published_until_us.load(Ordering::Acquire)));
        });
        assert!(seen.contains(&(Body::TimeoutNow, 0)), "{seen:?}");
        assert!(seen.iter().all(|(_, published)| *published == 0), "{seen:?}");
    }

    a_longer_lease_waits_for_the_state => {
        let mut node = leader();
        let published_until_us = AtomicU64::new(1);
        take_output_and_send(&mut node, &published_until_us, |_| {});
        assert_eq!(published_until_us.load(Ordering::Acquire), 1);
    }
}
