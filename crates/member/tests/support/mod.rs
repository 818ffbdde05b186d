//! The announcement of the process under test.

use hinge_schema::messages::{Announce, Role};

/// Returns an announcement template with a lease that outlasts every case.
pub fn announce(instance: &str, role: Role) -> Announce {
    Announce {
        config_version: 0,
        data_center: "hall-a".into(),
        highest_fence: 0,
        incarnation: 1,
        instance: instance.into(),
        kv_tokens: 0,
        lease_ms: 600_000,
        leaving: false,
        running: None,
        ejected: None,
        model_version: "".into(),
        peer_address: "".into(),
        pool: "".into(),
        role,
        slots: 0,
    }
}
