//! Streams the chunks of an answer to the caller, and resumes a broken stream at another endpoint if the route allows it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::attempt::Answer;
use crate::batch::Batch;
use crate::body::{CallerLeft, ChunkSender};
use crate::deadline::{Deadline, DeadlinePassed};
use crate::events::EventSplitter;
use crate::history::History;
use crate::job::Job;

/// Grace period after the deadline until a stream is cut off. An endpoint knows the deadline and ends by itself; this catches one
/// that doesn't.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    Complete,
    CallerLeft,
    Broken,
    TimedOut,
}

impl StreamEnd {
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
    mut history: History,
    answer: Box<Answer>,
    chunks: ChunkSender,
    is_events: bool,
) {
    let mut batch = Batch::new(job.origin.batch_interval());
    let mut splitter = is_events.then(|| EventSplitter::resume_after(job.last_event));
    let mut answer = answer;
    let ended = loop {
        let passing = pass_on(
            &job,
            &mut history,
            answer,
            &chunks,
            splitter.as_mut(),
            &mut batch,
        );
        let ended = passing.await;
        if ended != StreamEnd::Broken {
            break ended;
        }
        let Some(splitter) = splitter.as_mut() else {
            history.record_cause("the endpoint broke the answer off");
            break ended;
        };
        splitter.discard_partial();
        history.record_cause("the endpoint broke the answer off");
        // Each event that the caller has may represent finished work, so a stream can only be resumed after a known event id.
        let resumed = job.resume(&mut history, splitter.last_id());
        let Some(next) = resumed.await else {
            break ended;
        };
        answer = next;
    };
    let ends_at = job.outgoing.ends_at + DEADLINE_GRACE;
    if let Some(held) = batch.take() {
        // A disconnected caller is noticed when the end is sent.
        let _sent_or_left = send(&chunks, held, ends_at).await;
    }
    match ended {
        StreamEnd::Complete => {
            let _sent_or_left = ends_at.limit(chunks.end()).await;
        }
        // Dropping the sender breaks the answer off.
        StreamEnd::Broken | StreamEnd::TimedOut | StreamEnd::CallerLeft => drop(chunks),
    }
    job.gateway.metrics.record_end(&job, ended.name());
    history.log(&job, ended.name());
}

async fn pass_on(
    job: &Job,
    history: &mut History,
    answer: Box<Answer>,
    chunks: &ChunkSender,
    mut splitter: Option<&mut EventSplitter>,
    batch: &mut Batch,
) -> StreamEnd {
    let Answer {
        response,
        body_end,
        connection,
        mut in_use,
    } = *answer;
    let is_success = response.status().is_success();
    // If only the close of the connection marks the end, a crash of the endpoint looks the same.
    let is_framed = body_end.is_stated();
    let mut body = response.into_body();
    let mut has_begun = false;
    let may_rerun = splitter.is_some() && job.outgoing.may_rerun;
    let ends_at = job.outgoing.ends_at + DEADLINE_GRACE;
    loop {
        let next = tokio::select! {
            biased;
            () = chunks.closed() => return StreamEnd::CallerLeft,
            next = next_chunk(&mut body, ends_at) => next,
            _cause = in_use.wait_until_lost(may_rerun) => NextChunk::Broken,
            () = batch.due() => NextChunk::Due,
        };
        let chunk = match next {
            NextChunk::Data(data) => {
                connection.record_body(data.len());
                match splitter.as_mut().map(|splitter| splitter.push(&data)) {
                    Some(Ok(whole)) => whole,
                    Some(Err(_too_long)) => {
                        history.record_cause("an event of the answer does not end");
                        return StreamEnd::Broken;
                    }
                    None => data,
                }
            }
            NextChunk::End => break,
            NextChunk::Broken => {
                in_use.record_broken(&job.outgoing);
                return StreamEnd::Broken;
            }
            NextChunk::TimedOut => return StreamEnd::TimedOut,
            NextChunk::Due => {
                let held = batch.take().unwrap_or_default();
                if let Err(end) = send(chunks, held, ends_at).await {
                    return end;
                }
                continue;
            }
        };
        if chunk.is_empty() {
            continue;
        }
        if !has_begun {
            has_begun = true;
            in_use.record_first_chunk();
            job.record_cached(in_use.endpoint());
            if history.first_chunk.is_none() {
                job.record_begun(history);
            }
        } else if let Some(began_at) = in_use.record_chunk() {
            job.record_survival(began_at);
        }
        history.record_chunk(job);
        let Some(chunk) = batch.push(chunk) else {
            continue;
        };
        if let Err(end) = send(chunks, chunk, ends_at).await {
            return end;
        }
    }
    // A stream that ends in the middle of an event was truncated, and so was one without a length that ends before its first event.
    let is_truncated = splitter.is_some_and(|splitter| {
        splitter.has_partial() || !is_framed && history.first_chunk.is_none()
    });
    // A reset while the request is being sent, or a crash, ends an answer without a length like its own end does.
    let is_cut = !is_framed && connection.has_unsent_part();
    if is_truncated || is_cut || !is_framed && in_use.is_endpoint_gone().await {
        in_use.record_broken(&job.outgoing);
        return StreamEnd::Broken;
    }
    if is_success && !is_framed {
        in_use.record_unproven_end(&job.outgoing);
    } else if is_success {
        job.record_completed(history);
        if let Some(began_at) = in_use.began_at() {
            job.record_survival(began_at);
        }
    }
    drop(in_use);
    connection.keep();
    StreamEnd::Complete
}

/// Sends a chunk to a caller, which may read nothing until the deadline.
async fn send(chunks: &ChunkSender, chunk: Bytes, ends_at: Deadline) -> Result<(), StreamEnd> {
    match ends_at.limit(chunks.send(chunk)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(CallerLeft)) => Err(StreamEnd::CallerLeft),
        Err(DeadlinePassed) => Err(StreamEnd::TimedOut),
    }
}

enum NextChunk {
    Data(Bytes),
    End,
    Broken,
    TimedOut,
    /// The held bytes of the batch are due.
    Due,
}

async fn next_chunk(body: &mut Incoming, ends_at: Deadline) -> NextChunk {
    loop {
        return match ends_at.limit(body.frame()).await {
            Err(DeadlinePassed) => NextChunk::TimedOut,
            Ok(None) => NextChunk::End,
            Ok(Some(Err(_broken))) => NextChunk::Broken,
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => NextChunk::Data(data),
                Err(_trailers) => continue,
            },
        };
    }
}
