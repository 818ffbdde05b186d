//! Tests of planned stops.

use std::time::Duration;

use hinge_cases::async_cases;
use hinge_fakes::stand_in::{Fault, StandInSettings};
use hinge_schema::messages::NotRunReason;

use crate::support::{TestBed, WAIT, offer};

/// Returns a test bed whose stand-in generates slowly, so that a stop begins while an answer streams.
async fn slow() -> TestBed {
    let stand_in = StandInSettings {
        tokens_per_second: 200,
        ..StandInSettings::default()
    };
    TestBed::with_stand_in(stand_in, |settings| settings.resume_window = WAIT).await
}

async_cases! { real
    a_planned_stop_refuses_waiting_and_new_offers_and_cuts_off_nothing => {
        let bed = slow().await;
        let (mut running, _) = bed.stream(offer(1), 20).await;
        bed.stand_in.wait_until(|record| record.running == 1).await;
        let mut waiting = bed.offer(offer(2)).await;
        let TestBed { sidecar, stand_in, client, address, member, .. } = bed;
        let drain = tokio::spawn(sidecar.drain(WAIT));
        assert_eq!(waiting.refused().await.reason, NotRunReason::Leaving);
        assert!(member.is_leaving());
        // The drain lasts until the answer is delivered, so this offer arrives during it.
        let mut new = TestBed::offer_to(&client, &address, offer(3)).await;
        assert_eq!(new.refused().await.reason, NotRunReason::Leaving);
        running.whole().await.expect("the running answer ends whole");
        running.release().await;
        drop((waiting, new, client));
        let report = drain.await.expect("the stop ends");
        assert!(report.is_clean() && report.is_stopped, "{report}");
        assert_eq!(stand_in.record().completed(), 1);
    }
    an_answer_is_resumed_during_a_planned_stop => {
        let bed = slow().await;
        let (running, granted) = bed.stream(offer(1), 20).await;
        bed.stand_in.wait_until(|record| record.running == 1).await;
        drop(running);
        let TestBed { sidecar, client, address, member, .. } = bed;
        let drain = tokio::spawn(sidecar.drain(WAIT));
        while !member.is_leaving() {
            tokio::task::yield_now().await;
        }
        let mut resumed = TestBed::resume_at(&client, &address, &granted, 0, false).await;
        resumed.whole().await.expect("the answer is resumed whole");
        resumed.release().await;
        drop(client);
        let report = drain.await.expect("the stop ends");
        assert!(report.is_clean(), "{report}");
    }
    a_stop_past_its_deadline_reports_what_it_cut_off => {
        let bed = TestBed::open(|_| ()).await;
        bed.stand_in.set_fault(Some(Fault::Hang));
        let (_running, _) = bed.stream(offer(1), 1).await;
        bed.stand_in.wait_until(|record| record.running == 1).await;
        let report = bed.sidecar.drain(Duration::from_millis(50)).await;
        assert!(!report.is_clean());
        assert_eq!(report.cut_runs, 1);
    }
}
