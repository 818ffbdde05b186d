//! Tests the rate limit on log lines about refused reports.

use std::time::Duration;

use hinge_cases::cases;

use super::RefusedReports;

cases! {
    a_flood_of_refused_reports_is_counted_in_full_and_logged_once_a_second => {
        let mut refused = RefusedReports::default();
        let lines = (0..3_000_u64).filter_map(|ms| refused.note(Duration::from_millis(ms)));
        assert_eq!(lines.collect::<Vec<u64>>(), [1, 1_000, 1_000]);
        assert_eq!(refused.count(), 3_000);
    }
}
