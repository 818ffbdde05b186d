//! Checks how a chunked answer ends.

use bytes::Bytes;
use hinge_cases::async_cases;
use http_body_util::BodyExt;

use super::{AnswerBody, BrokenOff};

/// Reads a body to its end, and returns its chunks and whether it broke off.
async fn read(mut body: AnswerBody) -> (Vec<Bytes>, Result<(), BrokenOff>) {
    let mut chunks = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => chunks.extend(frame.into_data()),
            Err(broken) => return (chunks, Err(broken)),
        }
    }
    (chunks, Ok(()))
}

async_cases! { real
    an_answer_is_complete_once_its_end_is_sent => {
        let (sender, body) = AnswerBody::chunks();
        sender.send(Bytes::from_static(b"a")).await.expect("the body is there");
        sender.end().await.expect("the body is there");
        assert_eq!(read(body).await, (vec![Bytes::from_static(b"a")], Ok(())));
    }
    an_answer_whose_sender_is_dropped_before_its_end_breaks_off => {
        let (sender, body) = AnswerBody::chunks();
        sender.send(Bytes::from_static(b"a")).await.expect("the body is there");
        drop(sender);
        assert_eq!(read(body).await, (vec![Bytes::from_static(b"a")], Err(BrokenOff)));
    }
    an_answer_that_is_broken_off_keeps_its_earlier_chunks => {
        let (sender, body) = AnswerBody::chunks();
        sender.send(Bytes::from_static(b"a")).await.expect("the body is there");
        sender.break_off().await.expect("the body is there");
        assert_eq!(read(body).await, (vec![Bytes::from_static(b"a")], Err(BrokenOff)));
    }
}
