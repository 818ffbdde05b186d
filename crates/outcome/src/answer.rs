//! Validation at the entry that an answer is complete and belongs to its request.

use std::{error, fmt};

use serde::{Deserialize, Serialize};

use crate::{ids::AttemptId, outcome::Reason};

/// The metadata of an answer frame; the bytes of a chunk are carried separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "frame", rename_all = "snake_case")]
pub enum Frame {
    /// Start of the answer, with its status and header fields.
    Head {
        /// Attempt that the answer belongs to.
        attempt: AttemptId,
    },
    /// A part of the answer's body.
    Chunk {
        /// Attempt that the answer belongs to.
        attempt: AttemptId,
        /// Offset of the first byte in the body.
        offset: u64,
        /// Number of bytes.
        len: u64,
    },
    /// End of the answer.
    End {
        /// Attempt that the answer belongs to.
        attempt: AttemptId,
        /// Length of the whole body in bytes.
        total: u64,
    },
}

impl Frame {
    /// Returns the attempt that the frame belongs to.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Head { attempt } | Self::Chunk { attempt, .. } | Self::End { attempt, .. } => {
                *attempt
            }
        }
    }
}

/// What to do with a valid frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// Pass the head to the caller.
    Head,
    /// Pass the chunk on without its first `skip` bytes, which the caller received before a resume.
    Chunk {
        /// Number of bytes to skip.
        skip: u64,
        /// Number of bytes to pass on.
        pass: u64,
    },
    /// The caller already has this; pass nothing on.
    Duplicate,
    /// The answer is complete.
    End,
}

/// An error in the sequence of an answer's frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerError {
    /// A frame belongs to another attempt.
    WrongAttempt {
        /// Attempt named by the frame.
        attempt: AttemptId,
    },
    /// A chunk or the end arrived before the head.
    NoHead,
    /// The head arrived twice.
    HeadRepeated,
    /// Bytes are missing before this chunk or end.
    Gap {
        /// Offset expected.
        expected: u64,
        /// Offset received.
        offset: u64,
    },
    /// A chunk repeats bytes although the exchange was not resumed.
    Repeated {
        /// Offset expected.
        expected: u64,
        /// Offset received.
        offset: u64,
    },
    /// The end gives a total below the bytes received, or a chunk's range overflows.
    BadLength,
    /// A frame arrived after the end.
    AfterEnd,
    /// The exchange closed before the end arrived.
    NoEnd,
}

impl AnswerError {
    /// Returns the reason to report to the caller.
    #[must_use]
    pub fn reason(&self) -> Reason {
        match self {
            Self::WrongAttempt { .. } => Reason::AnswerCrossed,
            Self::Gap { .. } | Self::NoEnd => Reason::AnswerTruncated,
            Self::NoHead
            | Self::HeadRepeated
            | Self::Repeated { .. }
            | Self::BadLength
            | Self::AfterEnd => Reason::AnswerGarbled,
        }
    }
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongAttempt { attempt } => write!(f, "a frame belongs to attempt {attempt}"),
            Self::NoHead => f.write_str("a frame arrived before the head"),
            Self::HeadRepeated => f.write_str("the head arrived twice"),
            Self::Gap { expected, offset } => write!(f, "bytes {expected} to {offset} are missing"),
            Self::Repeated { expected, offset } => {
                write!(f, "bytes {offset} to {expected} arrived twice")
            }
            Self::BadLength => f.write_str("the announced lengths are inconsistent"),
            Self::AfterEnd => f.write_str("a frame arrived after the end"),
            Self::NoEnd => f.write_str("the exchange closed before the end of the answer"),
        }
    }
}

impl error::Error for AnswerError {}

/// A validator of one attempt's answer, which takes the frames in the order of their arrival.
#[derive(Debug, Clone)]
pub struct AnswerValidator {
    attempt: AttemptId,
    has_head: bool,
    next_offset: u64,
    has_ended: bool,
    // Set from a resume until the first new byte: only then may bytes or the head be repeated.
    may_overlap: bool,
    error: Option<AnswerError>,
}

impl AnswerValidator {
    /// Creates the validator of an attempt's answer.
    #[must_use]
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            has_head: false,
            next_offset: 0,
            has_ended: false,
            may_overlap: false,
            error: None,
        }
    }

    /// Validates the next frame and returns what to pass on.
    ///
    /// # Errors
    ///
    /// Returns the error, and the same error for every later frame: an answer never recovers from an invalid frame.
    pub fn accept(&mut self, frame: Frame) -> Result<Accepted, AnswerError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let checked = self.check(frame);
        if let Err(error) = checked {
            self.error = Some(error);
        }
        checked
    }

    /// Ends the validation when the exchange is closed and won't be resumed.
    ///
    /// # Errors
    ///
    /// Returns the error found earlier, or [`AnswerError::NoEnd`] if the answer is incomplete.
    pub fn close(&self) -> Result<(), AnswerError> {
        match self.error {
            Some(error) => Err(error),
            None if !self.has_ended => Err(AnswerError::NoEnd),
            None => Ok(()),
        }
    }

    /// Returns whether the answer is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.has_ended && self.error.is_none()
    }

    /// Returns whether the head has arrived.
    #[must_use]
    pub fn has_head(&self) -> bool {
        self.has_head
    }

    /// Returns the number of body bytes passed on, which is the offset for a resume.
    #[must_use]
    pub fn resume_offset(&self) -> u64 {
        self.next_offset
    }

    /// Records that the exchange is resumed; frames of the broken exchange must no longer be passed in.
    pub fn resume(&mut self) {
        self.may_overlap = true;
    }

    fn check(&mut self, frame: Frame) -> Result<Accepted, AnswerError> {
        let attempt = frame.attempt();
        if attempt != self.attempt {
            return Err(AnswerError::WrongAttempt { attempt });
        }
        if self.has_ended {
            return Err(AnswerError::AfterEnd);
        }
        match frame {
            Frame::Head { .. } => self.check_head(),
            _ if !self.has_head => Err(AnswerError::NoHead),
            Frame::Chunk { offset, len, .. } => self.check_chunk(offset, len),
            Frame::End { total, .. } => self.check_end(total),
        }
    }

    fn check_head(&mut self) -> Result<Accepted, AnswerError> {
        if !self.has_head {
            self.has_head = true;
            return Ok(Accepted::Head);
        }
        if self.may_overlap {
            return Ok(Accepted::Duplicate);
        }
        Err(AnswerError::HeadRepeated)
    }

    fn check_chunk(&mut self, offset: u64, len: u64) -> Result<Accepted, AnswerError> {
        let expected = self.next_offset;
        let end = offset.checked_add(len).ok_or(AnswerError::BadLength)?;
        if offset > expected {
            return Err(AnswerError::Gap { expected, offset });
        }
        if offset < expected && !self.may_overlap {
            return Err(AnswerError::Repeated { expected, offset });
        }
        if end <= expected {
            return Ok(Accepted::Duplicate);
        }
        self.may_overlap = false;
        self.next_offset = end;
        Ok(Accepted::Chunk {
            skip: expected - offset,
            pass: end - expected,
        })
    }

    fn check_end(&mut self, total: u64) -> Result<Accepted, AnswerError> {
        let expected = self.next_offset;
        if total > expected {
            return Err(AnswerError::Gap {
                expected,
                offset: total,
            });
        }
        if total < expected {
            return Err(AnswerError::BadLength);
        }
        self.has_ended = true;
        Ok(Accepted::End)
    }
}
