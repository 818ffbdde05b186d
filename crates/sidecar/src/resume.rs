//! Serves an exchange in which an entry resumes a broken answer.

use std::sync::Arc;
use std::time::Duration;

use hinge_link::{FrameReader, FrameSender};
use hinge_schema::messages::{Failed, FromSidecar, Resume};
use tokio::time::timeout;
use viz::Body;

use crate::exchange::{relay_answer, watch_entry};
use crate::shared::{Shared, wire_failure};

/// Longest wait for the first frame; an entry sends it at once.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) async fn serve(shared: Arc<Shared>, mut reader: FrameReader<Body>, sender: FrameSender) {
    let first = timeout(RESUME_TIMEOUT, reader.next::<Resume>()).await;
    let Ok(Ok(Some(resume))) = first else {
        return;
    };
    let is_ours = resume.incarnation == shared.member.incarnation();
    let live = shared
        .live(resume.claim_id, resume.request_id)
        .filter(|_| is_ours);
    let Some(live) = live else {
        return refuse(&shared, &resume, is_ours, &sender).await;
    };
    // The entry has every byte before the offset, even if its acknowledgement was lost with the earlier exchange. An invalid
    // offset is reported when the answer is streamed.
    let _held_or_ahead = live.answer.ack(resume.offset);
    let entry_side = watch_entry(&mut reader, &live.answer);
    let needs_head = !resume.acknowledged;
    let claim = resume.claim_id;
    relay_answer(
        &shared,
        claim,
        &live,
        &sender,
        entry_side,
        resume.offset,
        needs_head,
    )
    .await;
}

/// Sends the verdict of a run whose answer is not kept here.
async fn refuse(shared: &Shared, resume: &Resume, is_ours: bool, sender: &FrameSender) {
    let verdict = if is_ours {
        shared.update(|dispatcher, now| dispatcher.ask_verdict(resume.claim_id, now))
    } else {
        hinge_outcome::Verdict::Unknown
    };
    let (kind, reason, retry_after_ms) = wire_failure(verdict);
    let failed = FromSidecar::Failed(Failed {
        request_id: resume.request_id,
        kind,
        reason,
        retry_after_ms,
    });
    // An entry that has disconnected asks again.
    let _sent_or_gone = sender.send(&failed).await;
}
