//! Tests of how the queue tells that an engine no longer runs a request.

use std::time::Duration;

use hinge_admission::{AdmissionQueue, EngineReport, EngineRequest, QueueLimits, SlotRequest};
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
        return_key: None,
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
    // Guards against a loss that is told before the engine reads the request, which then runs while it is sent elsewhere.
    the_silence_of_an_engine_does_not_count_as_missing => {
        let ms = Duration::from_millis;
        let mut queue = AdmissionQueue::new(LIMITS);
        let idle = EngineReport::default();
        queue.enqueue(ms(0), 1, slot_request());
        assert_eq!(queue.decide(ms(0)).len(), 1);
        queue.apply_report(ms(20), &idle);
        queue.engine_silent();
        queue.apply_report(ms(1_005), &idle);
        assert_eq!(queue.take_lost(), []);
        assert_eq!(queue.load().running, 1, "its slot isn't granted to another request");
        let listed = EngineRequest { request_id: "lost".into(), kv_tokens: 0, events: 0 };
        queue.apply_report(ms(1_025), &EngineReport { active: 1, requests: vec![listed], ..idle });
        assert_eq!(queue.take_lost(), []);
    }
    // Guards against callers who wait until their deadline since an engine that loses requests is silent now and then.
    a_request_that_no_report_lists_is_lost_despite_a_silence => {
        let ms = Duration::from_millis;
        let mut queue = AdmissionQueue::new(LIMITS);
        let idle = EngineReport::default();
        queue.enqueue(ms(0), 1, slot_request());
        assert_eq!(queue.decide(ms(0)).len(), 1);
        queue.apply_report(ms(20), &idle);
        queue.apply_report(ms(420), &idle);
        queue.engine_silent();
        queue.apply_report(ms(620), &idle);
        queue.apply_report(ms(1_110), &idle);
        assert_eq!(queue.take_lost(), []);
        queue.apply_report(ms(1_120), &idle);
        assert_eq!(queue.take_lost(), [(1, ms(900))]);
    }
    // Guards against a later notice for a request that did reach the engine before it was lost.
    a_request_lost_after_a_report_listed_it_is_told_despite_a_silence => {
        let ms = Duration::from_millis;
        let mut queue = AdmissionQueue::new(LIMITS);
        let idle = EngineReport::default();
        queue.enqueue(ms(0), 1, slot_request());
        assert_eq!(queue.decide(ms(0)).len(), 1);
        let listed = EngineRequest { request_id: "lost".into(), kv_tokens: 0, events: 0 };
        queue.apply_report(ms(10), &EngineReport { active: 1, requests: vec![listed], ..idle.clone() });
        queue.apply_report(ms(20), &idle);
        queue.engine_silent();
        queue.apply_report(ms(920), &idle);
        assert_eq!(queue.take_lost(), [(1, ms(900))]);
    }
    // Guards against a later notice for requests of a process that ended, since nothing listened meanwhile.
    the_absence_of_an_engine_counts_as_missing => {
        let ms = Duration::from_millis;
        let mut queue = AdmissionQueue::new(LIMITS);
        let idle = EngineReport::default();
        queue.enqueue(ms(0), 1, slot_request());
        assert_eq!(queue.decide(ms(0)).len(), 1);
        queue.apply_report(ms(20), &idle);
        queue.engine_silent();
        queue.engine_gone();
        queue.apply_report(ms(920), &idle);
        assert_eq!(queue.take_lost(), [(1, ms(900))]);
    }
}
