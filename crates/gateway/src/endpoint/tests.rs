//! Checks what a gateway keeps of the pace that admissions report.

use std::sync::Arc;
use std::time::Duration;

use hinge_cases::async_cases;
use hinge_routing::Candidate;
use hinge_schema::routing::{Endpoint as Description, EndpointState, EngineLoad, EnginePace};
use hinge_telemetry::metrics::Registry;
use tokio::time::advance;

use super::Endpoint;
use crate::suspects::Suspects;

const PACE: EnginePace = EnginePace {
    prefill_tokens_per_s: 40_000,
    usual_tokens_per_s: 100_000,
    first_event_ms: 53,
};

fn endpoint() -> Endpoint {
    let description = Description {
        address: ([127, 0, 0, 1], 1).into(),
        born_unix_ms: None,
        data_center: "a".into(),
        id: "e-1".into(),
        sequence: 1,
        service: "s".into(),
        slots: 8,
        software_version: "v1".into(),
        state: EndpointState::Ready,
        warm_up_ms: 0,
    };
    let suspects = Arc::new(Suspects::register(&Registry::default()));
    Endpoint::new(description, None, suspects, Arc::default())
}

fn load(pace: Option<EnginePace>) -> EngineLoad {
    EngineLoad {
        running: 1,
        unread_tokens: 700,
        waiting_tokens: 0,
        teams: Vec::new(),
        engine_is_gone: None,
        warm_up_ms: None,
        pace,
        engine_born_unix_ms: None,
    }
}

fn candidate(endpoint: &Endpoint) -> Candidate {
    endpoint.candidate("a", false).0
}

fn rates(endpoint: &Endpoint) -> Option<(u32, u32)> {
    let pace = candidate(endpoint).pace?;
    Some((pace.tokens_per_s(), pace.usual_tokens_per_s()))
}

async_cases! {
    an_endpoint_without_a_report_has_no_pace => {
        let endpoint = endpoint();
        assert_eq!(rates(&endpoint), None);
        endpoint.record_admission_load(&load(None));
        assert_eq!(rates(&endpoint), None);
        assert_eq!(candidate(&endpoint).backlog.unread_tokens, 700);
    }
    the_last_plausible_pace_stays_and_its_moment_passes => {
        let endpoint = endpoint();
        endpoint.record_admission_load(&load(Some(PACE)));
        assert_eq!(rates(&endpoint), Some((40_000, 100_000)));
        let absurd = EnginePace { prefill_tokens_per_s: 0, usual_tokens_per_s: 1_000_000_000, ..PACE };
        endpoint.record_admission_load(&load(Some(absurd)));
        endpoint.record_admission_load(&load(None));
        assert_eq!(rates(&endpoint), Some((40_000, 100_000)));
        // News stop: the load is outdated, the usual pace is not.
        advance(Duration::from_mins(1)).await;
        assert_eq!(rates(&endpoint), Some((100_000, 100_000)));
        let (_pace, age) = endpoint.pace().expect("it was reported");
        assert_eq!(age, Duration::from_mins(1));
    }
}
