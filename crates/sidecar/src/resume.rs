//! Serves the exchange of an entry that asks for the rest of an answer.

use std::sync::Arc;
use std::time::Duration;

use hinge_link::{FrameReader, FrameSender};
use hinge_schema::messages::{Failed, FromSidecar, Resume};
use tokio::time::timeout;
use viz::Body;

use crate::exchange::{pump, watch_entry};
use crate::shared::{Shell, failure};

/// Longest wait for the first frame; an entry sends it at once.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) async fn serve(shell: Arc<Shell>, mut reader: FrameReader<Body>, sender: FrameSender) {
    let first = timeout(RESUME_TIMEOUT, reader.next::<Resume>()).await;
    let Ok(Ok(Some(resume))) = first else {
        return;
    };
    let is_ours = resume.incarnation == shell.member.incarnation();
    let live = shell
        .live(resume.claim_id, resume.request_id)
        .filter(|_| is_ours);
    let Some(live) = live else {
        return refuse(&shell, &resume, is_ours, &sender).await;
    };
    // The entry holds every byte before the offset, also where its acknowledgement was lost with the former exchange. An
    // offset that can't be is told by the pump.
    let _held_or_ahead = live.answer.ack(resume.offset);
    let entry_side = watch_entry(&mut reader, &live.answer);
    let needs_head = !resume.acknowledged;
    let claim = resume.claim_id;
    pump(
        &shell,
        claim,
        &live,
        &sender,
        entry_side,
        resume.offset,
        needs_head,
    )
    .await;
}

/// Says what became of a run whose answer is not here.
async fn refuse(shell: &Shell, resume: &Resume, is_ours: bool, sender: &FrameSender) {
    let verdict = if is_ours {
        shell.tell(|dispatcher, now| dispatcher.ask_verdict(resume.claim_id, now))
    } else {
        hinge_outcome::Verdict::Unknown
    };
    let (kind, reason, retry_after_ms) = failure(verdict);
    let failed = FromSidecar::Failed(Failed {
        request_id: resume.request_id,
        kind,
        reason,
        retry_after_ms,
    });
    // An entry that is gone asks again.
    let _sent_or_gone = sender.send(&failed).await;
}
