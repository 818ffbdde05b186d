//! A fake sidecar scripted by the tests, a fleet around one entry, and a plain HTTP caller.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hinge_config::folder;
use hinge_entry::{Entry, EntrySettings};
use hinge_link::{
    Client, ClusterKey, FrameReader, FrameSender, Limits, Server, ServerHandle, serve_call,
    serve_exchange,
};
use hinge_member::Member;
use hinge_schema::messages::{
    Announce, AnswerChunk, AnswerEnd, AnswerHead, AskVerdict, Bind, CancelRun, ConfigDelta,
    ConfigFile, Failed, FailureKind, FetchConfig, FetchedConfig, FromSidecar, Granted, Header,
    Member as Process, MembersDelta, NotRunReason, Offer, Refused, Resume, Role, ToSidecar,
    Verdict, VerdictReply,
};
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::readiness::Readiness;
use http::{Method, Request, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_bytes::ByteBuf;
use serde_json::Value;
use sha2::{Digest, Sha256};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use viz::{Body, Router};

pub const INCARNATION: u64 = 7;
const REPLAY_BYTES: u64 = 128 * 1024;
pub const CHAT: &str = r#"{"model":"surf-7b","messages":[{"role":"user","content":"tide?"}]}"#;

pub fn cluster_key() -> ClusterKey {
    ClusterKey::derive(b"test cluster")
}

/// An offer received by a fake sidecar, with its exchange.
pub struct OfferSession {
    pub offer: Offer,
    pub reader: FrameReader<Body>,
    pub sender: FrameSender,
    pub replay_bytes: Option<u64>,
}

pub fn head_frame(request_id: u64, content_type: &str) -> FromSidecar {
    let header = |name: &str, value: &str| Header {
        name: name.into(),
        value: ByteBuf::from(value.as_bytes()),
    };
    FromSidecar::Head(AnswerHead {
        request_id,
        status: 200,
        headers: vec![
            header("content-type", content_type),
            header("connection", "x-hop"),
            header("x-hop", "1"),
        ],
    })
}

pub fn chunk_frame(request_id: u64, offset: u64, text: &str) -> FromSidecar {
    FromSidecar::Chunk(AnswerChunk {
        request_id,
        offset,
        data: ByteBuf::from(text.as_bytes()),
    })
}

pub fn end_frame(request_id: u64, total_bytes: u64) -> FromSidecar {
    FromSidecar::End(AnswerEnd {
        request_id,
        total_bytes,
        service_units: 1,
    })
}

impl OfferSession {
    pub fn id(&self) -> u64 {
        self.offer.request_id
    }

    pub async fn send(&self, frame: FromSidecar) {
        self.sender
            .send(&frame)
            .await
            .expect("the entry keeps the exchange open");
    }

    pub async fn grant(&self) {
        self.send(FromSidecar::Granted(Granted {
            request_id: self.id(),
            claim_id: 5,
            sidecar: "any".into(),
            incarnation: INCARNATION,
            config_version: self.offer.config_version,
            lease_ms: 1000,
            replay_bytes: self.replay_bytes,
        }))
        .await;
    }

    pub async fn refuse(&self, reason: NotRunReason, config_version: u64) {
        self.send(FromSidecar::Refused(Refused {
            request_id: self.id(),
            reason,
            retry_after_ms: 2500,
            config_version,
        }))
        .await;
    }

    pub async fn fail(&self, kind: FailureKind, reason: NotRunReason) {
        self.send(FromSidecar::Failed(Failed {
            request_id: self.id(),
            kind,
            reason,
            retry_after_ms: 0,
        }))
        .await;
    }

    pub async fn next(&mut self) -> Option<ToSidecar> {
        let next = tokio::time::timeout(TIMEOUT, self.reader.next()).await;
        next.expect("the entry sends a frame in time")
            .unwrap_or(None)
    }

    /// Grants the offer, and returns the bind and the whole body.
    pub async fn grant_and_read_body(&mut self) -> (Bind, Vec<u8>) {
        self.grant().await;
        let Some(ToSidecar::Bind(bind)) = self.next().await else {
            panic!("the bind follows the grant");
        };
        let mut body = Vec::new();
        loop {
            match self.next().await {
                Some(ToSidecar::Body(part)) => {
                    assert_eq!(part.offset, body.len() as u64);
                    body.extend_from_slice(&part.data);
                }
                Some(ToSidecar::BodyEnd(end)) => {
                    assert_eq!(end.total_bytes, body.len() as u64);
                    return (bind, body);
                }
                other => panic!("the body follows the bind, not {other:?}"),
            }
        }
    }

    /// Grants the offer and sends a complete answer.
    pub async fn answer(&mut self, text: &str) {
        self.grant_and_read_body().await;
        self.send(head_frame(self.id(), "text/plain")).await;
        self.send(chunk_frame(self.id(), 0, text)).await;
        self.send(end_frame(self.id(), text.len() as u64)).await;
    }

    pub async fn expect_cancel(&mut self) {
        loop {
            match self.next().await {
                Some(ToSidecar::Cancel(cancel)) => {
                    assert_eq!(cancel.request_id, self.id());
                    return;
                }
                Some(_) => {}
                None => panic!("the cancel comes before the end"),
            }
        }
    }
}

pub type ResumeSession = (Resume, FrameSender, FrameReader<Body>);

/// A sidecar that does nothing on its own; a test decides on each offer.
pub struct FakeSidecar {
    pub name: Box<str>,
    pub server: ServerHandle,
    pub sessions: UnboundedReceiver<OfferSession>,
    pub resumes: UnboundedReceiver<ResumeSession>,
    pub cancels: UnboundedReceiver<CancelRun>,
    pub verdict: Arc<Mutex<VerdictReply>>,
}

type Channel<T> = (UnboundedSender<T>, UnboundedReceiver<T>);

impl FakeSidecar {
    pub async fn bind(name: &str, config: Option<ConfigDelta>) -> Self {
        let (session_sender, sessions): Channel<OfferSession> = unbounded_channel();
        let (resume_sender, resumes): Channel<ResumeSession> = unbounded_channel();
        let (cancel_sender, cancels): Channel<CancelRun> = unbounded_channel();
        let verdict = Arc::new(Mutex::new(VerdictReply {
            incarnation: INCARNATION,
            verdict: Verdict::Unknown,
        }));
        let (verdict_reply, cancel_reply) = (Arc::clone(&verdict), Arc::clone(&verdict));
        let read = |reply: &Mutex<VerdictReply>| {
            reply
                .lock()
                .expect("no test panicked while holding the lock")
                .clone()
        };
        let router = Router::new()
            .post("/v1/offer", move |request: viz::Request| {
                let session_sender = session_sender.clone();
                async move {
                    serve_exchange(&cluster_key(), request, |reader, sender| {
                        accept_offer(reader, sender, session_sender)
                    })
                }
            })
            .post("/v1/resume", move |request: viz::Request| {
                let resume_sender = resume_sender.clone();
                async move {
                    serve_exchange(&cluster_key(), request, |mut reader, sender| async move {
                        if let Ok(Some(resume)) = reader.next::<Resume>().await {
                            resume_sender
                                .send((resume, sender, reader))
                                .expect("the test waits for it");
                        }
                    })
                }
            })
            .post("/v1/verdict", move |request: viz::Request| {
                let reply = read(&verdict_reply);
                async move {
                    serve_call(&cluster_key(), request, |_: AskVerdict| async { Ok(reply) }).await
                }
            })
            .post("/v1/cancel", move |request: viz::Request| {
                let (reply, cancel_sender) = (read(&cancel_reply), cancel_sender.clone());
                let record = |cancel: CancelRun| async move {
                    cancel_sender
                        .send(cancel)
                        .map_err(|_gone| StatusCode::GONE)?;
                    Ok(reply)
                };
                async move { serve_call(&cluster_key(), request, record).await }
            })
            .post("/v1/config/fetch", move |request: viz::Request| {
                let reply = FetchedConfig {
                    config: config.clone(),
                };
                async move {
                    serve_call(&cluster_key(), request, |_: FetchConfig| async {
                        Ok(reply)
                    })
                    .await
                }
            });
        let server = Server::bind("127.0.0.1:0", router, Limits::default())
            .await
            .expect("a free port exists");
        Self {
            name: name.into(),
            server,
            sessions,
            resumes,
            cancels,
            verdict,
        }
    }

    pub fn set_verdict(&self, incarnation: u64, verdict: Verdict) {
        *self
            .verdict
            .lock()
            .expect("no test panicked while holding the lock") = VerdictReply {
            incarnation,
            verdict,
        };
    }

    pub async fn session(&mut self) -> OfferSession {
        self.sessions.recv().await.expect("the server runs")
    }

    pub fn process(&self, pool: &str) -> Process {
        Process {
            config_version: 1,
            data_center: "hall-a".into(),
            incarnation: INCARNATION,
            instance: self.name.clone(),
            kv_tokens: 10_000,
            leaving: false,
            running: None,
            ejected: None,
            model_version: "1".into(),
            peer_address: self.server.local_address().to_string().into(),
            pool: pool.into(),
            role: Role::Sidecar,
            slots: 1,
        }
    }
}

async fn accept_offer(
    mut reader: FrameReader<Body>,
    sender: FrameSender,
    session_sender: UnboundedSender<OfferSession>,
) {
    if let Ok(Some(ToSidecar::Offer(offer))) = reader.next().await {
        // The channel is closed only at the end of a test.
        let _closed = session_sender.send(OfferSession {
            offer,
            reader,
            sender,
            replay_bytes: Some(REPLAY_BYTES),
        });
    }
}

pub fn config(version: u64, limits: &str) -> ConfigDelta {
    let hash = |key: &str| {
        let digest = Sha256::digest(key);
        digest
            .iter()
            .fold(String::new(), |text, byte| format!("{text}{byte:02x}"))
    };
    let text = format!(
        "[teams.surf]\nshare = 1\nmax_waiting = 3\nkey_sha256 = [\"{}\"]\n\
         [teams.shop]\nshare = 1\nkey_sha256 = [\"{}\"]\n\
         [pools.forecast]\nkind = \"model\"\nserves = [\"surf-7b\"]\n\
         [pools.api]\nkind = \"service\"\n[limits]\n{limits}\n",
        hash("surf-key"),
        hash("shop-key"),
    );
    let files = vec![ConfigFile {
        name: "10-all.toml".into(),
        text: text.into(),
    }];
    ConfigDelta {
        base_version: 0,
        digest: folder::digest(&files),
        put: files,
        removed: vec![],
        version,
    }
}

/// An entry with its configuration, member list and metrics, and an HTTP client that calls it.
pub struct Fleet {
    pub entry: Entry,
    pub member: Member,
    pub registry: Registry,
    pub readiness: Arc<Readiness>,
    http: HttpClient<HttpConnector, BoxBody<Bytes, std::io::Error>>,
}

pub fn settings() -> EntrySettings {
    EntrySettings::default()
}

impl Fleet {
    pub async fn bind(limits: &str, settings: EntrySettings, sidecars: Vec<Process>) -> Self {
        let fleet = Self::bind_unready(settings).await;
        fleet.member.apply_config(&config(1, limits));
        fleet.member.apply_members(&MembersDelta {
            base_version: 0,
            epoch: 1,
            put: sidecars,
            removed: vec![],
            version: 1,
        });
        fleet
    }

    pub async fn bind_unready(settings: EntrySettings) -> Self {
        let client = Client::new(cluster_key());
        let announce = Announce {
            config_version: 0,
            data_center: "hall-a".into(),
            highest_fence: 0,
            incarnation: 1,
            instance: "entry-1".into(),
            kv_tokens: 0,
            lease_ms: 1000,
            leaving: false,
            running: None,
            ejected: None,
            model_version: "".into(),
            peer_address: "".into(),
            pool: "".into(),
            role: Role::Entry,
            slots: 0,
        };
        let member = Member::spawn(client.clone(), announce, vec![]);
        let registry = Registry::new();
        let readiness = Arc::new(Readiness::new(&[]));
        let entry = Entry::bind(
            settings,
            member.clone(),
            client,
            &cluster_key(),
            &registry,
            Arc::clone(&readiness),
        )
        .await
        .expect("free ports exist");
        Self {
            entry,
            member,
            registry,
            readiness,
            http: HttpClient::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Starts a call in a task that returns the response.
    pub fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: BoxBody<Bytes, std::io::Error>,
    ) -> tokio::task::JoinHandle<http::Response<Incoming>> {
        let address = self.entry.callers_address();
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            request = request.header("authorization", "Bearer surf-key");
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(body).expect("the request is valid");
        let http = self.http.clone();
        tokio::spawn(async move { http.request(request).await.expect("the entry answers") })
    }

    pub fn post(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> tokio::task::JoinHandle<http::Response<Incoming>> {
        self.send(Method::POST, path, headers, full_body(body))
    }

    pub fn chat(
        &self,
        headers: &[(&str, &str)],
    ) -> tokio::task::JoinHandle<http::Response<Incoming>> {
        self.post("/v1/chat/completions", headers, CHAT)
    }
}

/// Sends a chat call on a new connection.
pub async fn chat_at(address: std::net::SocketAddr) -> http::Response<Incoming> {
    let http = HttpClient::builder(TokioExecutor::new()).build_http();
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", "Bearer surf-key")
        .body(full_body(CHAT))
        .expect("the request is valid");
    http.request(request).await.expect("the entry answers")
}

pub fn full_body(body: &str) -> BoxBody<Bytes, std::io::Error> {
    Full::new(Bytes::from(body.to_owned()))
        .map_err(|never| match never {})
        .boxed()
}

/// Returns the status and text of an answer; `Err` with the text so far if the answer was aborted.
pub async fn read_text(response: http::Response<Incoming>) -> (StatusCode, Result<String, String>) {
    let status = response.status();
    let mut body = response.into_body();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().expect("no trailers are sent");
                text.push_str(std::str::from_utf8(&data).expect("the tests send UTF-8"));
            }
            Err(_cut) => return (status, Err(text)),
        }
    }
    (status, Ok(text))
}

/// Asserts the status, outcome and reason of a refusal, and returns its JSON body.
pub async fn assert_refused(
    response: http::Response<Incoming>,
    status: u16,
    outcome: &str,
    reason: &str,
) -> Value {
    let retry_after = response.headers().get("retry-after").cloned();
    let (got, body) = read_text(response).await;
    let json: Value = serde_json::from_str(&body.expect("a refusal is whole")).expect("JSON");
    assert_eq!(
        (got.as_u16(), &json["outcome"], &json["reason"]),
        (status, &outcome.into(), &reason.into()),
        "{json}"
    );
    let seconds = json["retry_after_ms"].as_u64().map(|ms| ms.div_ceil(1000));
    assert_eq!(
        retry_after,
        seconds.map(http::HeaderValue::from),
        "the Retry-After header agrees with the body"
    );
    json
}

pub const TIMEOUT: Duration = Duration::from_secs(30);
