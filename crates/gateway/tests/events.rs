//! Checks that streams are split into whole events, however their bytes arrive.

use bytes::Bytes;
use hinge_cases::cases;
use hinge_gateway::EventSplitter;
use quickcheck::quickcheck;

fn events(count: u64) -> String {
    let all: Vec<String> = (1..=count)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect();
    all.concat()
}

/// Feeds a text in chunks of the given sizes, and returns the output of each push.
fn feed(splitter: &mut EventSplitter, text: &str, sizes: &[usize]) -> Vec<Bytes> {
    let mut rest = text.as_bytes();
    let mut sizes = sizes.iter().copied().cycle();
    let mut out = Vec::new();
    while !rest.is_empty() {
        let size = sizes.next().unwrap_or(1).clamp(1, rest.len());
        let (piece, after) = rest.split_at(size);
        out.push(
            splitter
                .push(&Bytes::copy_from_slice(piece))
                .expect("the events are short"),
        );
        rest = after;
    }
    out
}

cases! {
    a_whole_event_is_returned_unchanged => {
        let mut splitter = EventSplitter::default();
        let event = Bytes::from(events(1));
        assert_eq!(splitter.push(&event).expect("it is short"), event);
        assert_eq!(splitter.last_id(), Some(1));
        assert!(!splitter.has_partial());
    }
    an_unfinished_event_is_held_back => {
        let mut splitter = EventSplitter::resume_after(Some(4));
        let out = splitter.push(&Bytes::from("id: 5\ndata: a\n\nid: 6\nda")).expect("it is short");
        assert_eq!(out, Bytes::from_static(b"id: 5\ndata: a\n\n"));
        assert_eq!(splitter.last_id(), Some(5));
        assert!(splitter.has_partial());
        splitter.discard_partial();
        assert!(!splitter.has_partial());
    }
    an_event_that_exceeds_the_limit_is_an_error => {
        let mut splitter = EventSplitter::default();
        let piece = Bytes::from(vec![b'a'; 80 << 10]);
        splitter.push(&piece).expect("it may still end");
        splitter.push(&piece).expect_err("it is too long");
    }
}

quickcheck! {
    fn chunks_of_any_size_give_the_same_bytes_in_whole_events(count: u8, sizes: Vec<u8>) -> bool {
        let text = events(u64::from(count % 20));
        let sizes: Vec<usize> = sizes.into_iter().map(usize::from).collect();
        let mut splitter = EventSplitter::default();
        let out = feed(&mut splitter, &text, &sizes);
        let is_whole = out.iter().all(|piece| piece.is_empty() || piece.ends_with(b"\n\n"));
        is_whole && out.concat() == text.as_bytes()
    }
}
