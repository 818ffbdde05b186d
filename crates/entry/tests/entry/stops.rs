//! Planned stops and the exchange of configurations with peers.

use std::time::Duration;

use hinge_cases::async_cases;
use hinge_link::Client;
use hinge_schema::messages::{FetchConfig, FetchedConfig};

use crate::support::{
    FakeSidecar, Fleet, TIMEOUT, assert_refused, chunk_frame, cluster_key, config, end_frame,
    head_frame, read_text, settings,
};

async_cases! { real
    a_planned_stop_finishes_open_requests_and_refuses_new_ones => {
        let mut sidecar = FakeSidecar::bind("a", None).await;
        let fleet = Fleet::bind("", settings(), vec![sidecar.process("forecast")]).await;
        let (running, running_session) = (fleet.chat(&[]), sidecar.session().await);
        let mut session = running_session;
        let waiting = fleet.chat(&[]);
        let mut waiting_session = sidecar.session().await;
        session.grant_and_read_body().await;
        session.send(head_frame(session.id(), "text/plain")).await;
        let response = running.await.expect("the head was sent");
        // `drain` consumes the entry, so the call during the drain uses the address and a connection of its own.
        let Fleet { entry, readiness, member, registry, .. } = fleet;
        let address = entry.callers_address();
        let drain = tokio::spawn(entry.drain(TIMEOUT));
        while !member.is_leaving() {
            tokio::task::yield_now().await;
        }
        assert!(!readiness.is_ready());
        assert_refused(crate::support::chat_at(address).await, 503, "not_run", "leaving").await;
        session.send(chunk_frame(session.id(), 0, "last")).await;
        session.send(end_frame(session.id(), 4)).await;
        assert_eq!(read_text(response).await.1, Ok("last".into()));
        waiting_session.answer("parked").await;
        assert_eq!(read_text(waiting.await.expect("the call ends")).await.1, Ok("parked".into()));
        let report = drain.await.expect("the stop ends");
        assert!(report.is_clean(), "{report:?}");
        let page = registry.page().expect("the page can be written");
        assert!(page.contains("hinge_entry_requests_total{team=\"surf\",class=\"standard\",pool=\"forecast\",outcome=\"completed\",reason=\"\"} 2"), "{page}");
        assert!(page.contains("hinge_entry_requests_total{team=\"\",class=\"\",pool=\"\",outcome=\"not_run\",reason=\"leaving\"} 1"), "{page}");
        assert!(page.contains("hinge_entry_open_requests 0"), "{page}");
    }
    a_stop_reports_requests_cut_at_the_deadline => {
        let mut sidecar = FakeSidecar::bind("a", None).await;
        let fleet = Fleet::bind("", settings(), vec![sidecar.process("forecast")]).await;
        let _call = fleet.chat(&[]);
        let _session = sidecar.session().await;
        let report = fleet.entry.drain(Duration::ZERO).await;
        assert_eq!((report.cut_requests, report.is_clean()), (1, false));
    }
    a_peer_fetches_and_pushes_configurations => {
        let fleet = Fleet::bind("", settings(), vec![]).await;
        let address = fleet.entry.peer_address().to_string();
        let client = Client::new(cluster_key());
        let ask = FetchConfig { config_version: 0 };
        let fetched: FetchedConfig = client.call(&address, "/v1/config/fetch", &ask, TIMEOUT).await.expect("the entry answers");
        assert_eq!(fetched.config.map(|delta| delta.version), Some(1));
        let lacking: FetchedConfig = client.call(&address, "/v1/config/push", &config(6, ""), TIMEOUT).await.expect("the entry answers");
        assert_eq!((lacking.config, fleet.member.config_version()), (None, 6));
        let newer: FetchedConfig = client.call(&address, "/v1/config/push", &config(5, ""), TIMEOUT).await.expect("the entry answers");
        assert_eq!(newer.config.map(|delta| delta.version), Some(6));
    }
}
