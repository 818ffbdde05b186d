//! Tests the answer validator and the replay buffer with mutated streams.

use hinge_cases::cases;
use hinge_outcome::{
    Accepted, AckPacer, AnswerError, AnswerValidator, Frame, Reason, ReplayBuffer, ReplayError,
};
use quickcheck::{Gen, QuickCheck, TestResult};

const ATTEMPT: u64 = 5;
const BODY: &[u8] = b"the whole answer to its own request";
const OTHER_BODY: &[u8] = &[b'x'; BODY.len()];

const HEAD: Frame = Frame::Head { attempt: ATTEMPT };

const fn chunk(offset: u64, len: u64) -> Frame {
    Frame::Chunk {
        attempt: ATTEMPT,
        offset,
        len,
    }
}

const fn end(total: u64) -> Frame {
    Frame::End {
        attempt: ATTEMPT,
        total,
    }
}

/// Returns a `QuickCheck` runner with a fixed seed, so that every run tests the same cases.
fn checker(tests: u64) -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(tests)
}

/// Returns the frames of the body in chunks of at most `piece` bytes, each with its bytes.
fn frames(piece: usize) -> Vec<(Frame, &'static [u8])> {
    let none = &BODY[..0];
    let mut all = vec![(HEAD, none)];
    for bytes in BODY.chunks(piece) {
        let offset = (all.len() - 1) * piece;
        all.push((chunk(offset as u64, bytes.len() as u64), bytes));
    }
    all.push((end(BODY.len() as u64), none));
    all
}

/// Drops, repeats or swaps a frame, assigns it to another attempt, truncates the stream, or adds a resume, by `kind`.
fn mutate(list: &mut Vec<(Frame, &'static [u8])>, resumes: &mut Vec<usize>, kind: u8, at: usize) {
    let at = at % list.len();
    match kind % 6 {
        0 => drop(list.remove(at)),
        1 => list.insert(at, list[at]),
        2 => list.swap(at, 0),
        3 => {
            let (Frame::Head { attempt }
            | Frame::Chunk { attempt, .. }
            | Frame::End { attempt, .. }) = &mut list[at].0;
            *attempt += 1;
            list[at].1 = &OTHER_BODY[..list[at].1.len()];
        }
        4 => list.truncate(at + 1),
        _ => resumes.push(at),
    }
}

/// Passes in mutated frames; the caller gets either the whole body, or a prefix of it and an error.
fn complete_or_error(piece: u8, mutations: Vec<(u8, u8)>) -> TestResult {
    let mut list = frames(usize::from(piece % 16) + 1);
    let mut resumes = Vec::new();
    for (kind, at) in mutations {
        if list.is_empty() {
            return TestResult::discard();
        }
        mutate(&mut list, &mut resumes, kind, usize::from(at));
    }
    let mut check = AnswerValidator::new(ATTEMPT);
    let mut passed = Vec::new();
    for (index, (frame, bytes)) in list.iter().enumerate() {
        if resumes.contains(&index) {
            check.resume();
        }
        match check.accept(*frame) {
            Ok(Accepted::Chunk { skip, .. }) => {
                passed.extend(&bytes[usize::try_from(skip).expect("short")..]);
            }
            Ok(_) => {}
            Err(_) => break,
        }
    }
    let is_complete = check.close().is_ok();
    TestResult::from_bool(
        BODY.starts_with(&passed)
            && is_complete == check.is_complete()
            && (!is_complete || passed == BODY),
    )
}

/// Pushes, acknowledges and reads in arbitrary order; the whole body arrives, and the buffer stays within its limit.
fn replay_is_complete(bound: u8, steps: Vec<u8>) -> bool {
    let bound = usize::from(bound % 16) + 1;
    let mut buffer = ReplayBuffer::new(bound);
    let (mut sent, mut received) = (0, Vec::new());
    for step in steps.into_iter().chain((0..=255).cycle().take(2048)) {
        let got = received.len() as u64;
        match step % 3 {
            0 => sent += buffer.push(&BODY[sent..(sent + usize::from(step)).min(BODY.len())]),
            1 => buffer.ack(got).expect("the entry has these bytes"),
            _ => {
                let (first, second) = buffer
                    .read_from(got, usize::from(step))
                    .expect("unacknowledged bytes are held");
                received.extend([first, second].concat());
            }
        }
        if usize::try_from(buffer.end_offset() - buffer.start_offset()).expect("small") > bound {
            return false;
        }
    }
    received == BODY && buffer.end() == BODY.len() as u64
}

fn error((frames, want): (&[Frame], AnswerError)) {
    let mut check = AnswerValidator::new(ATTEMPT);
    let errors: Vec<_> = frames
        .iter()
        .filter_map(|frame| check.accept(*frame).err())
        .collect();
    assert_eq!(errors, [want]);
    assert_eq!(check.close(), Err(want));
}

cases! { error:
    a_frame_of_another_attempt => (&[HEAD, Frame::Head { attempt: 9 }], AnswerError::WrongAttempt { attempt: 9 }),
    no_head => (&[chunk(0, 1)], AnswerError::NoHead),
    two_heads => (&[HEAD, HEAD], AnswerError::HeadRepeated),
    a_gap => (&[HEAD, chunk(0, 2), chunk(3, 1)], AnswerError::Gap { expected: 2, offset: 3 }),
    a_repeat => (&[HEAD, chunk(0, 2), chunk(1, 4)], AnswerError::Repeated { expected: 2, offset: 1 }),
    an_early_end => (&[HEAD, chunk(0, 2), end(3)], AnswerError::Gap { expected: 2, offset: 3 }),
    a_short_end => (&[HEAD, chunk(0, 2), end(1)], AnswerError::BadLength),
    an_overflow => (&[HEAD, chunk(0, 2), chunk(u64::MAX, 2)], AnswerError::BadLength),
    a_frame_after_the_end => (&[HEAD, end(0), chunk(0, 1)], AnswerError::AfterEnd),
}

cases! {
    mutated_frames_give_the_complete_answer_or_an_error => {
        checker(20_000).quickcheck(complete_or_error as fn(u8, Vec<(u8, u8)>) -> TestResult);
    }
    a_replayed_answer_is_complete_and_bounded => {
        checker(500).quickcheck(replay_is_complete as fn(u8, Vec<u8>) -> bool);
    }
    an_overlap_is_trimmed_only_when_resumed => {
        let mut check = AnswerValidator::new(ATTEMPT);
        assert_eq!(check.accept(HEAD), Ok(Accepted::Head));
        assert_eq!(check.accept(chunk(0, 5)), Ok(Accepted::Chunk { skip: 0, pass: 5 }));
        assert_eq!(check.resume_offset(), 5);
        check.resume();
        assert_eq!(check.accept(HEAD), Ok(Accepted::Duplicate));
        assert_eq!(check.accept(chunk(1, 2)), Ok(Accepted::Duplicate));
        assert_eq!(check.accept(chunk(3, 4)), Ok(Accepted::Chunk { skip: 2, pass: 2 }));
        let error = check.accept(chunk(6, 4)).expect_err("the resume is over");
        assert_eq!(error.reason(), Reason::AnswerGarbled);
    }
    acknowledgements_are_paced => {
        let mut pacer = AckPacer::new(40);
        let due: Vec<_> = [9, 10, 19, 25, 34, 35].into_iter().filter_map(|passed| pacer.due(passed)).collect();
        assert_eq!(due, [10, 25, 35]);
    }
    acknowledged_bytes_are_gone => {
        let mut buffer = ReplayBuffer::new(4);
        assert_eq!(buffer.push(b"abcdef"), 4);
        assert_eq!(buffer.ack(5), Err(ReplayError::Ahead { end: 4 }));
        assert_eq!((buffer.ack(3), buffer.room_bytes()), (Ok(()), 3));
        assert_eq!(buffer.read_from(2, 9), Err(ReplayError::Gone { start: 3 }));
        assert_eq!(buffer.read_from(5, 9), Err(ReplayError::Ahead { end: 4 }));
    }
}
