//! Tests of the admin server's pages, and of its limits on slow senders and long requests.

use std::net::SocketAddr;
use std::sync::Arc;

use hinge_cases::async_cases;
use hinge_telemetry::admin::Admin;
use hinge_telemetry::metrics::{LATENCY_SECONDS, Registry, TeamLabels};
use hinge_telemetry::readiness::{Readiness, Reason};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant};

async fn start(readiness: &Arc<Readiness>, metrics: &Arc<Registry>) -> Admin {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Admin::bind(address, Arc::clone(metrics), Arc::clone(readiness))
        .await
        .expect("a free port can be bound")
}

// Sends the text, and returns what the server sends until it closes the connection.
async fn send(admin: &Admin, text: &str) -> String {
    let mut stream = TcpStream::connect(admin.address())
        .await
        .expect("the admin server listens");
    let mut answer = Vec::new();
    // Errors are ignored: in some cases the server closes the connection before it has read everything.
    let _ = stream.write_all(text.as_bytes()).await;
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8(answer).expect("answers are text")
}

async fn get(admin: &Admin, path: &str) -> String {
    let head = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    send(admin, &head).await
}

async_cases! {
    a_process_that_is_not_ready_is_still_alive => {
        let readiness = Arc::new(Readiness::new(&[Reason::NoConfig, Reason::NoLease]));
        let admin = start(&readiness, &Arc::default()).await;
        assert!(get(&admin, "/healthz").await.starts_with("HTTP/1.1 200"));
        let answer = get(&admin, "/readyz").await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.ends_with("not ready: no current configuration, no lease from control\n"), "{answer}");
        readiness.clear(Reason::NoConfig);
        assert!(get(&admin, "/readyz").await.starts_with("HTTP/1.1 503"));
        readiness.clear(Reason::NoLease);
        assert!(get(&admin, "/readyz").await.starts_with("HTTP/1.1 200"));
        readiness.update(Reason::Leaving, true);
        assert!(get(&admin, "/status").await.ends_with(r#"{"not_ready":["leaving"],"ready":false,"status":null}"#));
        admin.stop().await;
    }
    the_metrics_page_shows_every_type_of_metric => {
        let metrics = Arc::new(Registry::new());
        metrics.counter("refused", "Refused requests.").inc_by(3);
        metrics.gauge("waiting", "Waiting requests.").set(4);
        metrics.histogram("wait_seconds", "Waits.", LATENCY_SECONDS).observe(0.4);
        let pools = metrics.counters::<Vec<(String, String)>>("granted", "Grants.");
        pools.get_or_create(&vec![("pool".to_owned(), "surf".to_owned())]).inc();
        let admin = start(&Arc::new(Readiness::new(&[])), &metrics).await;
        let page = get(&admin, "/metrics").await;
        for line in [
            "hinge_refused_total 3",
            "hinge_waiting 4",
            "hinge_wait_seconds_bucket{le=\"0.43\"} 1",
            "hinge_wait_seconds_bucket{le=\"0.3\"} 0",
            "hinge_granted_total{pool=\"surf\"} 1",
        ] {
            assert!(page.contains(line), "{line} is not in {page}");
        }
    }
    the_metrics_page_identifies_its_process => {
        let metrics = Registry::new();
        metrics.process_info(7, "entry", "1.2.3");
        let page = metrics.page().expect("the page can be written");
        assert!(page.contains("hinge_process_info{incarnation=\"7\",role=\"entry\",version=\"1.2.3\"} 1"), "{page}");
    }
    team_labels_are_limited_and_stable => {
        let labels = TeamLabels::default();
        let names = (0..100).map(|number| format!("team-{number}")).collect::<Vec<_>>();
        for _ in 0..2 {
            let own = names.iter().filter(|name| *labels.label(name) == ***name).count();
            assert_eq!(own, 64);
            assert_eq!(&*labels.label("team-99"), "other");
        }
    }
    a_connection_whose_head_never_ends_is_closed => {
        let admin = start(&Arc::new(Readiness::new(&[])), &Arc::default()).await;
        let start = Instant::now();
        send(&admin, "GET /healthz HTTP/1.1\r\nhost:").await;
        assert!(start.elapsed() < Duration::from_secs(20), "on virtual time, only the timeout passes");
    }
    an_idle_connection_is_closed => {
        let admin = start(&Arc::new(Readiness::new(&[])), &Arc::default()).await;
        let answer = send(&admin, "GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    a_head_that_is_too_long_is_rejected => {
        let admin = start(&Arc::new(Readiness::new(&[])), &Arc::default()).await;
        let head = format!("GET /healthz HTTP/1.1\r\nhost: a\r\nlong: {}\r\n\r\n", "x".repeat(17_000));
        let answer = send(&admin, &head).await;
        // The answer is 431, unless the connection is reset first because the server closed it with unread bytes.
        assert!(!answer.contains("200 OK"), "{answer}");
    }
    a_connection_whose_body_never_ends_is_closed => {
        let admin = start(&Arc::new(Readiness::new(&[])), &Arc::default()).await;
        let head = "GET /healthz HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000000\r\n\r\nx";
        let answer = send(&admin, head).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}
