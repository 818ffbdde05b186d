//! Checks which chunks of a stream are held back, and for how long.

use std::time::Duration;

use bytes::Bytes;
use hinge_cases::async_cases;
use tokio::time::{Instant, advance};

use super::Batch;

const INTERVAL: Duration = Duration::from_millis(60);

fn chunk(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

async_cases! {
    the_first_chunk_is_sent_at_once_and_later_ones_together => {
        let mut batch = Batch::new(INTERVAL);
        assert_eq!(batch.push(chunk("a")), Some(chunk("a")));
        assert_eq!(batch.push(chunk("b")), None);
        assert_eq!(batch.push(chunk("c")), None);
        let began = Instant::now();
        batch.due().await;
        assert_eq!(began.elapsed(), INTERVAL);
        assert_eq!(batch.take(), Some(chunk("bc")));
        assert_eq!(batch.take(), None);
    }
    a_chunk_after_the_interval_is_sent_at_once => {
        let mut batch = Batch::new(INTERVAL);
        assert_eq!(batch.push(chunk("a")), Some(chunk("a")));
        advance(INTERVAL).await;
        assert_eq!(batch.push(chunk("b")), Some(chunk("b")));
        assert_eq!(batch.push(chunk("c")), None);
        assert_eq!(batch.take(), Some(chunk("c")), "nothing is held back at the end of a stream");
    }
    a_zero_interval_holds_nothing_back => {
        let mut batch = Batch::new(Duration::ZERO);
        for text in ["a", "b", "c"] {
            assert_eq!(batch.push(chunk(text)), Some(chunk(text)));
        }
    }
}
