//! Measures how many streamed chunks per second one thread of an entry forwards.
//!
//! The entry has a thread of its own; fake sidecars and callers run on other threads of the same process. Each stream has
//! many chunks of the length of one token's event, so the set-up of a request has little effect on the result.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use futures::future::join_all;
use hinge_config::folder;
use hinge_entry::{Entry, EntrySettings};
use hinge_link::{
    Client, ClusterKey, FrameReader, FrameSender, Limits, Server, ServerHandle, serve_exchange,
};
use hinge_member::Member;
use hinge_schema::messages::{
    Announce, AnswerChunk, AnswerEnd, AnswerHead, ConfigDelta, ConfigFile, FromSidecar, Granted,
    Member as Process, MembersDelta, Role, ToSidecar,
};
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::readiness::Readiness;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_bytes::ByteBuf;
use sha2::{Digest, Sha256};
use tokio::runtime::{Builder, Runtime};
use viz::{Body, Request, Router};

/// Chunks per stream.
const CHUNKS: u64 = 5_000;

/// Length of a chunk: one token's event with its JSON envelope.
const CHUNK_BYTES: usize = 200;

/// Concurrent streams.
const STREAMS: u64 = 16;

/// Threads of the fake sidecars and callers, enough for the entry's thread to be the bottleneck.
const PEER_THREADS: usize = 6;

type Http = HttpClient<HttpConnector, Full<Bytes>>;

fn key() -> ClusterKey {
    ClusterKey::derive(b"bench")
}

async fn answer(mut reader: FrameReader<Body>, sender: FrameSender) {
    let Ok(Some(ToSidecar::Offer(offer))) = reader.next().await else {
        return;
    };
    let request_id = offer.request_id;
    let granted = FromSidecar::Granted(Granted {
        request_id,
        claim_id: 1,
        sidecar: "bench".into(),
        incarnation: 1,
        config_version: 1,
        lease_ms: 1_000,
        replay_bytes: Some(128 * 1024),
    });
    if sender.send(&granted).await.is_err() {
        return;
    }
    while !matches!(
        reader.next().await,
        Ok(Some(ToSidecar::BodyEnd(_)) | None) | Err(_)
    ) {}
    let head = FromSidecar::Head(AnswerHead {
        request_id,
        status: 200,
        headers: vec![],
    });
    let _closed = sender.send(&head).await;
    let data = ByteBuf::from(vec![b'x'; CHUNK_BYTES]);
    for number in 0..CHUNKS {
        let chunk = FromSidecar::Chunk(AnswerChunk {
            request_id,
            offset: number * CHUNK_BYTES as u64,
            data: data.clone(),
        });
        if sender.send(&chunk).await.is_err() {
            return;
        }
    }
    let end = FromSidecar::End(AnswerEnd {
        request_id,
        total_bytes: CHUNKS * CHUNK_BYTES as u64,
        service_units: 1,
    });
    let _closed = sender.send(&end).await;
    let _entry_side = reader.next::<ToSidecar>().await;
}

async fn sidecar() -> (ServerHandle, Process) {
    let router = Router::new().post("/v1/offer", |request: Request| async move {
        serve_exchange(&key(), request, answer)
    });
    let server = Server::bind("127.0.0.1:0", router, Limits::default())
        .await
        .expect("a free port exists");
    let process = Process {
        config_version: 1,
        data_center: "a".into(),
        incarnation: 1,
        instance: "bench".into(),
        kv_tokens: 1_000_000,
        leaving: false,
        running: None,
        ejected: None,
        model_version: "1".into(),
        peer_address: server.local_address().to_string().into(),
        pool: "model".into(),
        role: Role::Sidecar,
        slots: 64,
    };
    (server, process)
}

async fn entry(sidecar: Process) -> Entry {
    let announce = Announce {
        config_version: 0,
        data_center: "a".into(),
        highest_fence: 0,
        incarnation: 1,
        instance: "entry".into(),
        kv_tokens: 0,
        lease_ms: 1_000,
        leaving: false,
        running: None,
        ejected: None,
        model_version: "".into(),
        peer_address: "".into(),
        pool: "".into(),
        role: Role::Entry,
        slots: 0,
    };
    let member = Member::detached(announce);
    let hash = Sha256::digest("key")
        .iter()
        .fold(String::new(), |text, byte| format!("{text}{byte:02x}"));
    let text = format!(
        "[teams.t]\nshare = 1\nkey_sha256 = [\"{hash}\"]\n[pools.model]\nkind = \"model\"\n"
    );
    let put = vec![ConfigFile {
        name: "a.toml".into(),
        text: text.into(),
    }];
    let applied = member.apply_config(&ConfigDelta {
        base_version: 0,
        digest: folder::digest(&put),
        put,
        removed: vec![],
        version: 1,
    });
    assert_eq!(applied, hinge_config::held::Applied::Advanced(1));
    member.apply_members(&MembersDelta {
        base_version: 0,
        epoch: 1,
        put: vec![sidecar],
        removed: vec![],
        version: 1,
    });
    let readiness = Arc::new(Readiness::new(&[]));
    let client = Client::new(key());
    Entry::bind(
        EntrySettings::default(),
        member,
        client,
        &key(),
        &Registry::new(),
        readiness,
    )
    .await
    .expect("free ports exist")
}

/// Runs one stream and returns the number of bytes received.
async fn stream(http: &Http, address: &str) -> u64 {
    let request = http::Request::post(format!("http://{address}/v1/completions"))
        .header("authorization", "Bearer key")
        .body(Full::from(r#"{"model":"model","prompt":"a"}"#))
        .expect("the request is valid");
    let response = http.request(request).await.expect("the entry answers");
    let status = response.status();
    let mut body = response.into_body();
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("the answer is whole");
        assert_eq!(status, 200, "{frame:?}");
        bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    bytes
}

fn peer_runtime() -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(PEER_THREADS)
        .enable_all()
        .build()
        .expect("threads can be started")
}

fn streams(criterion: &mut Criterion) {
    let peer_runtime = peer_runtime();
    let (_server, sidecar) = peer_runtime.block_on(sidecar());
    let (address_sender, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime can be built");
        runtime.block_on(async {
            let entry = entry(sidecar).await;
            address_sender
                .send(entry.callers_address().to_string())
                .expect("the bench waits for it");
            std::future::pending::<()>().await;
        });
    });
    let address = address.recv().expect("the entry starts");
    let http: Http = HttpClient::builder(TokioExecutor::new()).build_http();
    let mut group = criterion.benchmark_group("entry");
    group
        .throughput(Throughput::Elements(STREAMS * CHUNKS))
        .sample_size(20)
        .measurement_time(Duration::from_secs(10));
    group.bench_function("streamed_chunks_per_thread", |bencher| {
        bencher.iter(|| {
            peer_runtime.block_on(async {
                let all = (0..STREAMS).map(|_| stream(&http, &address));
                let bytes: u64 = join_all(all).await.into_iter().sum();
                assert_eq!(bytes, STREAMS * CHUNKS * CHUNK_BYTES as u64);
            });
        });
    });
    group.finish();
}

criterion_group!(benches, streams);
criterion_main!(benches);
