//! Tests of how the queue tells that an engine no longer runs a request.

use std::time::Duration;

use hinge_admission::{AdmissionQueue, EngineReport, QueueLimits, SlotRequest};
use hinge_cases::cases;

const LIMITS: QueueLimits = QueueLimits {
    max_unread_tokens: 4_000,
    max_running: 64,
    kv_tokens: 280_000,
    max_wait_permille: 700,
};

fn slot_request() -> SlotRequest {
    SlotRequest {
        request_id: "lost".into(),
        team: "a".into(),
        rank: 1,
        prompt_tokens: 1_000,
        answer_tokens: 50,
        shared_prefix: None,
        budget: Duration::from_millis(500),
        elsewhere_tokens: 0,
    }
}

cases! {
    // Guards against a message and a log line with every report for as long as the gateway waits for the rest of the answer.
    a_lost_request_is_told_once => {
        let ms = Duration::from_millis;
        let mut queue = AdmissionQueue::new(LIMITS);
        queue.enqueue(ms(0), 1, slot_request());
        assert_eq!(queue.decide(ms(0)).len(), 1);
        let idle = EngineReport::default();
        queue.apply_report(ms(20), &idle);
        queue.apply_report(ms(920), &idle);
        assert_eq!(queue.take_lost(), [(1, ms(900))]);
        queue.apply_report(ms(945), &idle);
        assert_eq!(queue.take_lost(), []);
    }
}
