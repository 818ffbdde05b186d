//! Tests that the messages that wait for a slow peer are bounded in bytes.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use hinge_cases::cases;
use hinge_raft::{Body, Entry, EntryKind, Message};
use tokio::sync::mpsc;

use super::{MAX_PEER_BYTES, MAX_QUEUED_MESSAGES, PeerLink};

fn append(bytes: usize) -> Message {
    let entry = Entry {
        term: 1,
        index: 1,
        kind: EntryKind::Command,
        payload: Bytes::from(vec![0; bytes]),
    };
    Message {
        cluster_id: 7,
        from: 1,
        to: 2,
        term: 1,
        body: Body::Append {
            prev_index: 0,
            prev_term: 0,
            entries: if bytes == 0 { Vec::new() } else { vec![entry] },
            commit: 0,
            round: 1,
        },
    }
}

/// Sends messages that nobody takes, and returns the number and the bytes of those that are queued.
fn queue(sizes: impl IntoIterator<Item = usize>) -> (usize, usize) {
    let (messages, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let link = PeerLink {
        address: "control-b".into(),
        messages,
        bytes: Arc::default(),
    };
    for bytes in sizes {
        link.send(append(bytes));
    }
    (receiver.len(), link.bytes.load(Ordering::Relaxed))
}

cases! {
    // Guards against a queue of many messages with a whole configuration each, for a peer that takes none.
    messages_for_a_slow_peer_are_bounded_in_bytes => {
        let (queued, bytes) = queue([700_000; 100]);
        assert_eq!((queued, bytes), (2, 1_400_000));
        assert!(bytes <= MAX_PEER_BYTES);
    }
    a_message_of_the_longest_size_is_queued_alone => {
        assert_eq!(queue([4 << 20; 3]), (1, 4 << 20));
    }
    heartbeats_pass_a_full_queue => {
        assert_eq!(queue([4 << 20, 0, 0]), (3, 4 << 20));
    }
}
