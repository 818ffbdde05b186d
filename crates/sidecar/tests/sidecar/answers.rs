//! Tests of whole answers, received at once or resumed after a break.

use hinge_cases::async_cases;
use hinge_fakes::stand_in::Fault;
use hinge_schema::messages::{Ack, FailureKind, FromSidecar, NotRunReason, Verdict};

use crate::support::{TestBed, offer, stream_body};

async_cases! { real
    an_offer_is_granted_bound_and_answered_whole => {
        let bed = TestBed::open(|_| ()).await;
        let (mut entry, granted) = bed.stream(offer(1), 20).await;
        let whole = entry.whole().await.expect("the answer is whole");
        let text = String::from_utf8(whole.bytes).expect("events are text");
        assert_eq!(whole.status, 200);
        assert_eq!(text.matches("entry-1-9-1/").count(), 20);
        assert!(text.ends_with("data: [DONE]\n\n"));
        // 20 generated tokens at 4 units, and a prompt that the stand-in counts as 11 tokens at 1 unit (47 bytes).
        assert_eq!(whole.service_units, 91);
        assert_eq!(bed.run_counts(1), (1, 1));
        assert_eq!(bed.verdict(&granted).await, Verdict::Completed);
    }
    a_resume_at_an_offset_gives_the_same_bytes => {
        let bed = TestBed::open(|_| ()).await;
        let (mut entry, granted) = bed.stream(offer(1), 50).await;
        let head = entry.next().await;
        assert!(matches!(head, Some(FromSidecar::Head(_))));
        drop(entry);
        let whole = bed.resume(&granted, 0, false).await.whole().await.expect("the answer is kept");
        let offset = whole.bytes.len() / 3;
        let (rest, _) = bed.resume(&granted, offset as u64, true).await.rest(offset as u64).await.expect("the rest is kept");
        assert_eq!(rest, whole.bytes[offset..]);
        assert_eq!(bed.run_counts(1), (1, 1));
    }
    a_resume_before_the_kept_bytes_fails_as_unknown => {
        let bed = TestBed::open(|settings| settings.replay_bytes = 64).await;
        let (mut entry, granted) = bed.stream(offer(1), 50).await;
        entry.whole().await.expect("the answer is whole");
        drop(entry);
        let failed = bed.resume(&granted, 0, true).await.rest(0).await.expect_err("the first bytes are gone");
        assert_eq!((failed.kind, failed.reason), (FailureKind::Unknown, NotRunReason::AnswerTruncated));
    }
    an_answer_longer_than_the_replay_buffer_is_whole_after_a_break => {
        let bed = TestBed::open(|settings| settings.replay_bytes = 512).await;
        let (mut entry, granted) = bed.granted(offer(1)).await;
        assert_eq!(granted.replay_bytes, Some(512));
        entry.acknowledges = true;
        entry.bind("/v1/completions", &stream_body(100)).await;
        // Without an acknowledgement no more than the replay buffer is sent, and the run waits.
        let first = entry.read_bytes(512).await;
        assert_eq!((first.len(), bed.verdict(&granted).await), (512, Verdict::Running));
        drop(entry);
        // The bytes after offset 300 count as lost; the resume itself acknowledges the bytes before it, which frees their space.
        let mut resumed = bed.resume(&granted, 300, true).await;
        let second = resumed.read_bytes(512).await;
        assert_eq!(first[300..], second[..212]);
        drop(resumed);
        let rest = bed.resume(&granted, 700, true).await.acknowledged_rest(700).await.expect("the answer is whole");
        assert_eq!(second[400..], rest[..112]);
        let text = String::from_utf8([&first[..300], &second[..400], &rest].concat()).expect("events are text");
        assert_eq!(text.matches("entry-1-9-1/").count(), 100);
        assert!(text.ends_with("data: [DONE]\n\n") && text.len() > 8 * 512, "{}", text.len());
        assert_eq!((bed.run_counts(1), bed.verdict(&granted).await), ((1, 1), Verdict::Completed));
    }
    an_acknowledgement_of_bytes_that_were_not_sent_ends_the_run => {
        let bed = TestBed::open(|_| ()).await;
        bed.stand_in.set_fault(Some(Fault::Hang));
        let (entry, granted) = bed.stream(offer(1), 1).await;
        bed.stand_in.wait_until(|record| record.running == 1).await;
        entry.send(Ack { request_id: 1, offset: 1 }).await;
        bed.granted(offer(2)).await;
        assert_eq!(bed.verdict(&granted).await, Verdict::Failed);
    }
    a_delivered_answer_is_dropped => {
        let bed = TestBed::open(|_| ()).await;
        let (mut entry, granted) = bed.stream(offer(1), 2).await;
        entry.whole().await.expect("the answer is whole");
        entry.release().await;
        let failed = bed.resume(&granted, 0, false).await.whole().await.expect_err("the answer is forgotten");
        assert_eq!(failed.kind, FailureKind::Unknown);
        assert_eq!(bed.verdict(&granted).await, Verdict::Completed);
    }
    a_run_that_nobody_resumes_is_cancelled_after_the_window => {
        let bed = TestBed::open(|settings| settings.resume_window = std::time::Duration::from_millis(50)).await;
        bed.stand_in.set_fault(Some(Fault::Hang));
        let (entry, granted) = bed.stream(offer(1), 1).await;
        bed.stand_in.wait_until(|record| record.running == 1).await;
        drop(entry);
        bed.granted(offer(2)).await;
        assert_eq!(bed.verdict(&granted).await, Verdict::Failed);
    }
    a_refusal_of_the_endpoint_itself_is_passed_on => {
        let bed = TestBed::open(|_| ()).await;
        bed.stand_in.set_fault(Some(Fault::Status { status: 503 }));
        let (mut entry, _) = bed.stream(offer(1), 1).await;
        assert_eq!(entry.whole().await.expect("the refusal is an answer").status, 503);
        assert_eq!(bed.run_counts(1), (0, 0));
    }
    a_plain_path_is_passed_through => {
        let bed = TestBed::open(|_| ()).await;
        let (mut entry, _) = bed.granted(offer(1)).await;
        entry.bind("/push/text?to=school", b"tide").await;
        let whole = entry.whole().await.expect("the answer is whole");
        assert_eq!(whole.bytes, br#"{"body_bytes":4,"method":"POST","path":"/push/text"}"#);
    }
}
