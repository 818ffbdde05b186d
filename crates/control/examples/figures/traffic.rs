//! Measures the traffic of one member's connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hinge_link::Client;
use hinge_schema::messages::{Announced, Update, Watch};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fleet::{Fleet, WAIT, announce, folder, key};

/// Counts the bytes in both directions including HTTP/2 frames, without the TCP and IP headers.
pub async fn bytes() {
    let fleet = Fleet::start(1).await;
    fleet.apply(0, folder(10)).await;
    let counted = Arc::new(AtomicU64::new(0));
    let address = count_bytes(fleet.addresses[0].clone(), Arc::clone(&counted)).await;
    let client = Client::new(key());
    let mut last = 0;
    let mut since = |what: &str, times: u64| {
        let now = counted.load(Ordering::Relaxed);
        println!(
            "{what}: {} bytes",
            (now - std::mem::replace(&mut last, now)) / times
        );
    };
    let announcement = announce("sidecar-0000".to_owned());
    let mut watch = Watch {
        instance: announcement.instance.clone(),
        config_version: 1,
        members_epoch: u64::MAX,
        members_version: 0,
        wait_ms: 1,
        pools: Vec::new(),
    };
    for round in 0..2 {
        for _ in 0..100 {
            let _: Announced = client
                .call(&address, "/v1/announce", &announcement, WAIT)
                .await
                .expect("an answer");
        }
        since(
            if round == 0 {
                "first announcements with the connection"
            } else {
                "announcement"
            },
            100,
        );
    }
    for _ in 0..100 {
        let _: Update = client
            .call(&address, "/v1/watch", &watch, WAIT)
            .await
            .expect("an answer");
    }
    since("watch without news", 100);
    for version in 1..=20 {
        let one_file = folder(20 + version).into_iter().take(1).collect();
        fleet.apply(version, one_file).await;
        let update: Update = client
            .call(&address, "/v1/watch", &watch, WAIT)
            .await
            .expect("an answer");
        watch.config_version = update.config.expect("the change arrives").version;
    }
    since("watch with a change of one file of 50 teams", 20);
    watch.config_version = 0;
    let _: Update = client
        .call(&address, "/v1/watch", &watch, WAIT)
        .await
        .expect("an answer");
    since("watch with the whole folder", 1);
    watch = Watch {
        members_epoch: 0,
        config_version: u64::MAX,
        ..watch
    };
    for member in 0..1600 {
        let announcement = announce(format!("sidecar-{member:04}"));
        let direct = Client::new(key());
        let _: Announced = direct
            .call(&fleet.addresses[0], "/v1/announce", &announcement, WAIT)
            .await
            .expect("an answer");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let update: Update = client
        .call(&address, "/v1/watch", &watch, WAIT)
        .await
        .expect("an answer");
    let count = update.members.map_or(0, |members| members.put.len());
    since(&format!("watch with a whole list of {count} members"), 1);
}

async fn count_bytes(target: Box<str>, counted: Arc<AtomicU64>) -> Box<str> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port exists");
    let address = listener
        .local_addr()
        .expect("the listener is bound")
        .to_string()
        .into();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(&*target)
                .await
                .expect("the instance listens");
            let (near, far) = (near.into_split(), far.into_split());
            tokio::spawn(pump(near.0, far.1, Arc::clone(&counted)));
            tokio::spawn(pump(far.0, near.1, Arc::clone(&counted)));
        }
    });
    address
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    counted: Arc<AtomicU64>,
) {
    let mut buf = vec![0; 64 * 1024];
    while let Ok(length) = from.read(&mut buf).await {
        if length == 0 || to.write_all(&buf[..length]).await.is_err() {
            return;
        }
        counted.fetch_add(length as u64, Ordering::Relaxed);
    }
}
