//! Checks when a gateway that stops has told control everything.

use std::time::Duration;

use hinge_cases::async_cases;
use hinge_routing::RequestKey;
use tokio::time::timeout;

use super::PendingReports;

/// Longer than any report takes, on the paused clock.
const LONG: Duration = Duration::from_mins(1);

fn request(path: &str) -> RequestKey {
    RequestKey::of("POST", path, None, b"")
}

async fn is_acknowledged(pending: &PendingReports) -> bool {
    timeout(LONG, pending.wait_until_acknowledged())
        .await
        .is_ok()
}

async_cases! {
    // Guards against a planned stop that loses what control has not heard yet of ends under requests.
    a_report_is_pending_until_control_has_acknowledged_it => {
        let pending = PendingReports::default();
        assert!(is_acknowledged(&pending).await);
        pending.add_completed(request("/a"));
        assert!(!is_acknowledged(&pending).await);
        let report = pending.take();
        assert!(!is_acknowledged(&pending).await);
        pending.put_back(report);
        assert!(!is_acknowledged(&pending).await);
        let _report = pending.take();
        pending.acknowledged();
        assert!(is_acknowledged(&pending).await);
    }
    an_observation_during_a_report_is_pending_after_it => {
        let pending = PendingReports::default();
        pending.add_completed(request("/a"));
        let _report = pending.take();
        pending.add_completed(request("/b"));
        pending.acknowledged();
        assert!(!is_acknowledged(&pending).await);
    }
}
