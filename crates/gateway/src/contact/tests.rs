//! Checks for how long the state counts as confirmed without a gap.

use std::time::Duration;

use hinge_cases::{async_cases, cases};
use hinge_clock::BootInstant;

use super::{Confirmations, Contact, MAX_STATE_AGE};

const SECOND: Duration = Duration::from_secs(1);

/// Returns the confirmations at these seconds.
fn confirmed_at(seconds: &[u32]) -> Confirmations {
    let confirm =
        |confirmations: Confirmations, second: &u32| confirmations.record(SECOND * *second);
    seconds.iter().fold(Confirmations::default(), confirm)
}

cases! {
    contact_lasts_since_the_start_without_a_gap => {
        let confirmations = confirmed_at(&[1, 2, 3]);
        assert_eq!(confirmations.unbroken_for(4 * SECOND), Some(4 * SECOND));
        assert_eq!(confirmations.age(4 * SECOND), SECOND);
    }
    there_is_no_contact_within_a_gap => {
        let confirmations = confirmed_at(&[1]);
        let last = SECOND + MAX_STATE_AGE;
        assert_eq!(confirmations.unbroken_for(last), Some(last));
        assert_eq!(confirmations.unbroken_for(last + Duration::from_millis(1)), None);
    }
    // Guards against a gateway that was cut off, or stood still, and takes its list for all that there was meanwhile.
    contact_begins_anew_after_a_gap => {
        let confirmations = confirmed_at(&[1, 2, 5]);
        assert_eq!(confirmations.unbroken_for(5 * SECOND), Some(Duration::ZERO));
        assert_eq!(confirmations.record(6 * SECOND).unbroken_for(7 * SECOND), Some(2 * SECOND));
    }
    a_late_first_confirmation_begins_contact => {
        assert_eq!(confirmed_at(&[4]).unbroken_for(5 * SECOND), Some(SECOND));
    }
}

async_cases! {
    a_confirmation_of_an_earlier_query_is_not_enough => {
        let contact = Contact::new();
        let before = BootInstant::now();
        let (confirmed, ()) = tokio::join!(contact.confirm_again(SECOND), async {
            contact.query_wanted().await;
            contact.confirm(before);
        });
        assert!(!confirmed);
    }
    a_confirmation_of_a_later_query_is_enough => {
        let contact = Contact::new();
        let (confirmed, ()) = tokio::join!(contact.confirm_again(SECOND), async {
            contact.query_wanted().await;
            contact.confirm(BootInstant::now());
        });
        assert!(confirmed);
    }
}
