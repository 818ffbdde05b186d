//! Checks that invalid bytes and messages never make the decoder or a node panic.

use std::time::Duration;

use bytes::Bytes;
use hinge_cases::cases;
use hinge_raft::{
    AppendResult, Body, Config, Entry, EntryKind, Membership, Message, Node, PersistentState, Role,
};
use quickcheck::{QuickCheck, quickcheck};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of random message sequences; they run in a few seconds without optimisation.
const SEQUENCES: u64 = 2000;

fn random_number(rng: &mut StdRng) -> u64 {
    match rng.random_range(0..20) {
        0 => u64::MAX,
        1 => u64::MAX - 1,
        _ => rng.random_range(0..9),
    }
}

fn random_membership(rng: &mut StdRng) -> Membership {
    Membership {
        voters: vec![1, random_number(rng), 3],
        learners: vec![random_number(rng)],
    }
}

fn random_entries(rng: &mut StdRng) -> Vec<Entry> {
    let (index, term) = (rng.random_range(1..5), rng.random_range(0..4));
    let mut entries = Vec::new();
    for offset in 0..rng.random_range(0..4) {
        let membership = random_membership(rng);
        let encoded = rmp_serde::to_vec_named(&membership).expect("the value can be encoded");
        let kind =
            [EntryKind::Noop, EntryKind::Command, EntryKind::Membership][rng.random_range(0..3)];
        let payload = if rng.random() {
            Bytes::from(encoded)
        } else {
            Bytes::from_static(&[0x93])
        };
        let term = term + rng.random_range(0..2);
        entries.push(Entry {
            term,
            index: index + offset,
            kind,
            payload,
        });
    }
    entries
}

fn random_body(rng: &mut StdRng) -> Body {
    let (first, second) = (random_number(rng), random_number(rng));
    let (round, flag) = (random_number(rng), rng.random());
    match rng.random_range(0..11) {
        0 => Body::PreVote {
            last_index: first,
            last_term: second,
        },
        1 => Body::PreVoteReply { granted: flag },
        2 => Body::Vote {
            last_index: first,
            last_term: second,
            transfer: flag,
        },
        3 => Body::VoteReply { granted: flag },
        4 | 5 => {
            let entries = random_entries(rng);
            let prev_index = entries.first().map_or(first, |entry| entry.index - 1);
            Body::Append {
                prev_index,
                prev_term: second % 3,
                entries,
                commit: random_number(rng),
                round,
            }
        }
        6 => {
            let result = AppendResult::Accepted { match_index: first };
            Body::AppendReply {
                result,
                round,
                complete: flag,
            }
        }
        7 => {
            let result = AppendResult::Rejected {
                prev_index: first,
                hint_index: second,
                hint_term: random_number(rng),
            };
            Body::AppendReply {
                result,
                round,
                complete: flag,
            }
        }
        8 => Body::SnapshotChunk {
            last_index: first,
            last_term: second,
            membership: random_membership(rng),
            total_bytes: random_number(rng),
            offset: random_number(rng),
            data: Bytes::from_static(&[1; 3]),
            round,
        },
        9 => Body::SnapshotReply {
            last_index: first,
            next_offset: second,
            round,
            complete: flag,
        },
        _ => Body::TimeoutNow,
    }
}

fn random_message(rng: &mut StdRng) -> Message {
    let (from, term) = (rng.random_range(2..5), rng.random_range(0..12));
    Message {
        cluster_id: 7,
        from,
        to: 1,
        term,
        body: random_body(rng),
    }
}

fn step_random_messages(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let membership = Membership {
        voters: vec![1, 2, 3],
        learners: vec![4],
    };
    let durable = if rng.random() {
        PersistentState::bootstrap(membership)
    } else {
        PersistentState::joining()
    };
    let mut config = Config::new(1, 7);
    (config.keep_entries, config.snapshot_chunk_bytes) = (0, 2);
    let mut node = Node::open(config, durable, Duration::ZERO, seed).expect("valid state");
    let mut now = Duration::ZERO;
    for _ in 0..60 {
        now += Duration::from_millis(rng.random_range(0..400));
        node.tick(now);
        let mut message = random_message(&mut rng);
        let term = node.status().term;
        match node.role() {
            // Helps the node win elections, so that it goes through all roles.
            Role::PreCandidate | Role::Candidate if rng.random() => {
                let is_pre_vote = node.role() == Role::PreCandidate;
                message.term = term + u64::from(is_pre_vote);
                message.body = if is_pre_vote {
                    Body::PreVoteReply { granted: true }
                } else {
                    Body::VoteReply { granted: true }
                };
            }
            Role::Leader => message.term = term.max(1),
            _ => {}
        }
        node.step(now, message);
        if node.propose(now, Box::new([1])).is_ok() {
            node.read(now, 1).expect("the node is the leader");
        }
        let output = node.take_output();
        node.persisted(now, output.token);
        if let Some(last) = output.committed.last() {
            node.snapshot_taken(last.index, Box::new([5; 5]));
        }
    }
}

quickcheck! {
    fn any_bytes_decode_or_fail(bytes: Vec<u8>) -> bool {
        // Either outcome is fine: the property is that the decoder returns.
        rmp_serde::from_slice::<Message>(&bytes).map_or(true, |_| true)
    }

    fn damaged_messages_decode_or_fail(seed: u64, offset: usize, byte: u8) -> bool {
        let message = random_message(&mut StdRng::seed_from_u64(seed));
        let mut bytes = rmp_serde::to_vec_named(&message).expect("the value can be encoded");
        let offset = offset % bytes.len();
        let is_same = bytes[offset] == byte;
        bytes[offset] = byte;
        let decoded = rmp_serde::from_slice::<Message>(&bytes);
        !is_same || decoded.is_ok_and(|decoded| decoded == message)
    }
}

cases! {
    messages_round_trip_through_the_codec => {
        fn round_trips(seed: u64) -> bool {
            let message = random_message(&mut StdRng::seed_from_u64(seed));
            let bytes = rmp_serde::to_vec_named(&message).expect("the value can be encoded");
            rmp_serde::from_slice::<Message>(&bytes).is_ok_and(|decoded| decoded == message)
        }
        QuickCheck::new().tests(2000).quickcheck(round_trips as fn(u64) -> bool);
    }

    no_message_makes_a_node_panic => {
        (0..SEQUENCES).for_each(step_random_messages);
    }
}
