//! Tests the conversion of a live member to the planner's endpoint.

use hinge_cases::cases;
use hinge_schema::messages::{Member, Role};
use hinge_upgrade::Endpoint;

use super::LiveMember;

fn check((ejected, is_held_back, is_ejected): (Option<bool>, bool, bool)) {
    let member = Member {
        instance: "llm-1".into(),
        incarnation: 1,
        role: Role::Sidecar,
        data_center: "hall-a".into(),
        peer_address: "127.0.0.1:9".into(),
        pool: "llm".into(),
        slots: 4,
        kv_tokens: 0,
        model_version: "v1".into(),
        config_version: 1,
        leaving: false,
        running: Some(0),
        ejected,
    };
    let live = LiveMember {
        member,
        is_held_back,
        running: Some(1),
    };
    let endpoint = Endpoint::from(&live);
    assert_eq!(
        (endpoint.is_ejected, endpoint.running),
        (is_ejected, Some(1))
    );
}

cases! { check:
    an_ejected_endpoint => (Some(true), false, true),
    an_endpoint_that_is_held_back => (Some(false), true, true),
    an_endpoint_that_is_well => (Some(false), false, false),
    an_endpoint_that_does_not_say => (None, false, false),
}
