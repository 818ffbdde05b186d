//! Streams the chunks of an answer to the caller, and resumes a broken stream at another endpoint if the route allows it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::attempt::Answer;
use crate::batch::Batch;
use crate::body::PieceSender;
use crate::events::EventSplitter;
use crate::headers;
use crate::job::Job;
use crate::story::Story;

/// Grace period after the deadline until a stream is cut off. An endpoint knows the deadline and ends by itself; this catches one
/// that doesn't.
const OVERTIME: Duration = Duration::from_millis(100);

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ended {
    Complete,
    CallerLeft,
    Broken,
    TimedOut,
}

impl Ended {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::CallerLeft => "caller_left",
            Self::Broken => "broken_off",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Streams an answer until its end, and logs the request.
pub(crate) async fn run(
    job: Arc<Job>,
    mut story: Story,
    answer: Box<Answer>,
    pieces: PieceSender,
    is_events: bool,
) {
    let mut batch = Batch::new(job.origin.batch_every());
    let mut splitter = is_events.then(|| EventSplitter::after(job.last_event));
    let mut answer = answer;
    let ended = loop {
        let passing = pass_on(
            &job,
            &mut story,
            answer,
            &pieces,
            splitter.as_mut(),
            &mut batch,
        );
        let ended = passing.await;
        if ended != Ended::Broken {
            break ended;
        }
        let Some(splitter) = splitter.as_mut() else {
            story.note_cause("the endpoint broke the answer off");
            break ended;
        };
        splitter.drop_rest();
        story.note_cause("the endpoint broke the answer off");
        // Each event that the caller has may represent finished work, so a stream can only be resumed after a known event id.
        let resumed = job.resume(&mut story, splitter.last_id());
        let Some(next) = resumed.await else {
            break ended;
        };
        answer = next;
    };
    if let Some(held) = batch.take() {
        // A disconnected caller is noticed when the end is sent.
        let _sent_or_left = pieces.send(held).await;
    }
    let _told_or_left = match ended {
        Ended::Complete => pieces.end().await,
        Ended::Broken | Ended::TimedOut => pieces.break_off().await,
        Ended::CallerLeft => Ok(()),
    };
    job.gateway.metrics.ended(&job, ended.name());
    story.tell(&job, ended.name());
}

async fn pass_on(
    job: &Job,
    story: &mut Story,
    answer: Box<Answer>,
    pieces: &PieceSender,
    mut splitter: Option<&mut EventSplitter>,
    batch: &mut Batch,
) -> Ended {
    let Answer {
        response,
        connection,
        mut in_use,
    } = *answer;
    // If only the close of the connection marks the end, a crash of the endpoint looks the same.
    let proves_completion =
        response.status().is_success() && headers::has_own_end(response.headers());
    let mut body = response.into_body();
    let mut has_begun = false;
    let may_go_on = splitter.is_some() && job.outgoing.may_go_on;
    let ends_at = job.outgoing.ends_at + OVERTIME;
    loop {
        let next = tokio::select! {
            biased;
            () = pieces.closed() => return Ended::CallerLeft,
            next = next_piece(&mut body, ends_at) => next,
            _cause = in_use.lost(may_go_on) => Piece::Broken,
            () = batch.due() => Piece::Due,
        };
        let piece = match next {
            Piece::Data(data) => match splitter.as_mut() {
                Some(splitter) => match splitter.push(&data) {
                    Ok(whole) => whole,
                    Err(_too_long) => return Ended::Broken,
                },
                None => data,
            },
            Piece::End => break,
            Piece::Broken => {
                in_use.broke(&job.outgoing);
                return Ended::Broken;
            }
            Piece::TimedOut => return Ended::TimedOut,
            Piece::Due => {
                let held = batch.take().unwrap_or_default();
                if pieces.send(held).await.is_err() {
                    return Ended::CallerLeft;
                }
                continue;
            }
        };
        if piece.is_empty() {
            continue;
        }
        if !has_begun {
            has_begun = true;
            in_use.began();
            job.note_kept(in_use.endpoint());
        }
        story.note_piece(job);
        let Some(piece) = batch.push(piece) else {
            continue;
        };
        if pieces.send(piece).await.is_err() {
            return Ended::CallerLeft;
        }
    }
    // A stream that ends in the middle of an event was truncated.
    if splitter.is_some_and(|splitter| splitter.is_inside()) {
        in_use.broke(&job.outgoing);
        return Ended::Broken;
    }
    drop(in_use);
    connection.keep();
    if proves_completion {
        job.completed(story);
    }
    Ended::Complete
}

enum Piece {
    Data(Bytes),
    End,
    Broken,
    TimedOut,
    /// The held bytes of the batch are due.
    Due,
}

async fn next_piece(body: &mut Incoming, ends_at: Instant) -> Piece {
    loop {
        return match timeout_at(ends_at, body.frame()).await {
            Err(_elapsed) => Piece::TimedOut,
            Ok(None) => Piece::End,
            Ok(Some(Err(_broken))) => Piece::Broken,
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => Piece::Data(data),
                Err(_trailers) => continue,
            },
        };
    }
}
