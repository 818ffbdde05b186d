//! Remembers which streams' origins are to be kept at another gateway as well, and how many of them it has confirmed.
//!
//! A holder may stop or end at any time. The next one is sent everything anew, so the number of copies is restored as long as one
//! process that has an origin still runs.

use std::collections::VecDeque;
use std::time::Duration;

use crate::stream_origins::StreamKey;

/// Maximum number of streams; beyond it the oldest are no longer sent to a new holder.
const MAX_STREAMS: usize = 131_072;

/// Time after which a stream is no longer sent to a new holder.
const SEND_FOR: Duration = Duration::from_mins(1);

/// Maximum number of streams in one message.
const MAX_STREAMS_PER_MESSAGE: usize = 4_096;

/// The streams to copy, in the order in which they were added.
#[derive(Debug, Default)]
pub struct OriginLog {
    /// The streams and when they were added.
    streams: VecDeque<(StreamKey, Duration)>,
    /// Position of the first stream.
    begin: u64,
}

/// What one holder has been sent and has confirmed.
#[derive(Debug, Default)]
pub struct CopyProgress {
    /// Position after the last stream that was sent.
    sent: u64,
    /// Position after the last stream that the holder has confirmed.
    confirmed: u64,
    /// Position after the last stream of each unconfirmed message.
    unconfirmed: VecDeque<u64>,
    messages_confirmed: u64,
}

impl OriginLog {
    /// Adds a stream, and drops those that have been added long ago.
    pub fn push(&mut self, now: Duration, stream: StreamKey) {
        while let Some((_, added_at)) = self.streams.front()
            && (now >= *added_at + SEND_FOR || self.streams.len() >= MAX_STREAMS)
        {
            self.streams.pop_front();
            self.begin += 1;
        }
        self.streams.push_back((stream, now));
    }

    /// Returns the position after the last stream.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.begin + self.streams.len() as u64
    }

    /// Returns the streams of the next message to a holder, and counts them as sent; none if it has been sent all.
    pub fn next_message(&self, progress: &mut CopyProgress) -> Vec<StreamKey> {
        let from = progress.sent.max(self.begin);
        let skipped = usize::try_from(from - self.begin).unwrap_or(usize::MAX);
        let next = self.streams.iter().skip(skipped);
        let next = next
            .take(MAX_STREAMS_PER_MESSAGE)
            .map(|(stream, _)| *stream);
        let next: Vec<StreamKey> = next.collect();
        if !next.is_empty() {
            progress.sent = from + next.len() as u64;
            progress.unconfirmed.push_back(progress.sent);
        }
        next
    }
}

impl CopyProgress {
    /// Records how many messages the holder has confirmed in all.
    pub fn confirm(&mut self, messages: u64) {
        while self.messages_confirmed < messages
            && let Some(position) = self.unconfirmed.pop_front()
        {
            self.messages_confirmed += 1;
            self.confirmed = position;
        }
    }

    /// Returns whether a message is not confirmed yet.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Returns the position up to which the holder has confirmed all streams.
    #[must_use]
    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }
}
