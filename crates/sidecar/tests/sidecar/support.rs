//! A test bed with a sidecar and a stand-in endpoint, and a client that acts as the entry.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::future::{BoxFuture, FutureExt};
use hinge_config::held::Applied;
use hinge_fakes::stand_in::{StandIn, StandInSettings};
use hinge_link::{Client, ClusterKey, Exchange};
use hinge_member::Member;
use hinge_schema::messages::{
    Ack, Announce, AskVerdict, Bind, BodyChunk, BodyEnd, Cancel, CancelRun, ClaimKey, ClaimReply,
    ClaimVerdict, ConfigDelta, ConfigFile, Failed, FinishKey, FromSidecar, Granted, Offer, Refused,
    Resume, Role, ToSidecar, UrgencyClass, Verdict, VerdictReply,
};
use hinge_sidecar::claims::{Claims, Unreachable};
use hinge_sidecar::{Sidecar, SidecarSettings};
use hinge_telemetry::metrics::Registry;
use serde_bytes::ByteBuf;
use tokio::sync::watch;

/// Timeout of a test that hangs; no test waits it out in order to pass.
pub(crate) const WAIT: Duration = Duration::from_secs(30);

pub(crate) const INCARNATION: u64 = 7;

/// Configuration in force at the start; its version is 3.
const CONFIG: &str = "
[teams.school]
share = 1
max_waiting = 2
[teams.franchise]
share = 1
[pools.forecast]
kind = 'model'
reserved_urgent_slots = 1
[pools.forecast.weights]
prompt_units = 1
cached_prompt_units = 0
generated_units = 4
";

/// Returns the whole configuration as the given version.
pub(crate) fn config(version: u64) -> ConfigDelta {
    let put = vec![ConfigFile {
        name: "10-all.toml".into(),
        text: CONFIG.into(),
    }];
    ConfigDelta {
        base_version: 0,
        version,
        digest: hinge_config::folder::digest(&put),
        put,
        removed: Vec::new(),
    }
}

pub(crate) fn announce() -> Announce {
    Announce {
        instance: "sidecar-1".into(),
        incarnation: INCARNATION,
        role: Role::Sidecar,
        data_center: "lima-1".into(),
        peer_address: "".into(),
        pool: "forecast".into(),
        slots: 1,
        kv_tokens: 0,
        model_version: "".into(),
        config_version: 0,
        highest_fence: 0,
        leaving: false,
        running: None,
        ejected: None,
        lease_ms: 60_000,
    }
}

/// A fake that answers claims with the given verdicts in turn, then grants; `None` stands for an unreachable control.
#[derive(Debug, Default)]
pub(crate) struct FakeClaims {
    pub(crate) verdicts: Mutex<VecDeque<Option<ClaimVerdict>>>,
    pub(crate) claimed: Mutex<Vec<ClaimKey>>,
    pub(crate) finished: watch::Sender<Vec<FinishKey>>,
}

impl FakeClaims {
    pub(crate) fn answer(&self, verdict: Option<ClaimVerdict>) {
        let mut verdicts = self.verdicts.lock().unwrap_or_else(PoisonError::into_inner);
        verdicts.push_back(verdict);
    }
}

impl Claims for FakeClaims {
    fn claim(&self, claim: ClaimKey) -> BoxFuture<'_, Result<ClaimReply, Unreachable>> {
        self.claimed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(claim);
        let mut verdicts = self.verdicts.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = verdicts.pop_front().unwrap_or(Some(ClaimVerdict::Granted));
        let reply = verdict.map(|verdict| ClaimReply {
            verdict,
            // Control also returns the outcome of a finished key.
            outcome: (verdict == ClaimVerdict::Finished).then(|| "completed".into()),
            retry_after_ms: 5,
        });
        std::future::ready(reply.ok_or(Unreachable)).boxed()
    }

    fn finish(&self, finished: FinishKey) -> BoxFuture<'_, ()> {
        self.finished.send_modify(|all| all.push(finished));
        std::future::ready(()).boxed()
    }
}

/// A sidecar with its stand-in endpoint, its fake claims and a client.
pub(crate) struct TestBed {
    pub(crate) stand_in: StandIn,
    pub(crate) sidecar: Sidecar,
    pub(crate) member: Member,
    pub(crate) claims: Arc<FakeClaims>,
    pub(crate) client: Client,
    pub(crate) address: String,
}

impl TestBed {
    pub(crate) async fn open(change: impl FnOnce(&mut SidecarSettings)) -> Self {
        Self::with_stand_in(StandInSettings::default(), change).await
    }

    pub(crate) async fn with_stand_in(
        stand_in: StandInSettings,
        change: impl FnOnce(&mut SidecarSettings),
    ) -> Self {
        let member = Member::detached(announce());
        let applied = member.apply_config(&config(3));
        assert_eq!(applied, Applied::Advanced(3));
        Self::with_member(member, stand_in, change).await
    }

    /// Starts a sidecar that announces itself to the given control instance.
    pub(crate) async fn with_control(
        control: &str,
        stand_in: StandInSettings,
        change: impl FnOnce(&mut SidecarSettings),
    ) -> Self {
        let client = Client::new(key());
        let member = Member::spawn(client, announce(), vec![control.into()]);
        let _applied = member.apply_config(&config(3));
        Self::with_member(member, stand_in, change).await
    }

    pub(crate) async fn with_member(
        member: Member,
        stand_in: StandInSettings,
        change: impl FnOnce(&mut SidecarSettings),
    ) -> Self {
        let stand_in = StandIn::bind(stand_in).await.expect("a free port exists");
        let mut settings = SidecarSettings {
            endpoint_address: stand_in.local_address().to_string().into(),
            pool: "forecast".into(),
            slots: 1,
            // Grants must not expire in tests that expect another end.
            grant_lease: WAIT * 2,
            ..SidecarSettings::default()
        };
        change(&mut settings);
        let client = Client::new(key());
        let claims = Arc::new(FakeClaims::default());
        let for_claims = Arc::clone(&claims);
        let registry = Registry::new();
        let bound = Sidecar::bind(
            settings,
            member.clone(),
            for_claims,
            client.clone(),
            key(),
            &registry,
        );
        let sidecar = bound.await;
        let sidecar = sidecar.expect("a free port exists");
        let address = sidecar.local_address().to_string();
        Self {
            stand_in,
            sidecar,
            member,
            claims,
            client,
            address,
        }
    }

    /// Waits until control has answered the announcement.
    pub(crate) async fn until_announced(&self) {
        let announced = async {
            while self.member.fence().is_none() {
                tokio::task::yield_now().await;
            }
        };
        let announced = tokio::time::timeout(WAIT, announced).await;
        announced.expect("control answers the announcement");
    }

    /// Offers a request.
    pub(crate) async fn offer(&self, offer: Offer) -> Entry {
        Self::offer_to(&self.client, &self.address, offer).await
    }

    pub(crate) async fn offer_to(client: &Client, address: &str, offer: Offer) -> Entry {
        let request_id = offer.request_id;
        let exchange = client.open(address, "/v1/offer", WAIT).await;
        let exchange = exchange.expect("the sidecar accepts exchanges");
        let sent = exchange.sender.send(&ToSidecar::Offer(offer)).await;
        sent.expect("the exchange is open");
        Entry {
            request_id,
            exchange,
            acknowledges: false,
        }
    }

    /// Offers a request and waits for the grant.
    pub(crate) async fn granted(&self, offer: Offer) -> (Entry, Granted) {
        let mut entry = self.offer(offer).await;
        let granted = entry.granted().await;
        (entry, granted)
    }

    /// Offers a request for this many streamed tokens, and binds it once it is granted.
    pub(crate) async fn stream(&self, offer: Offer, tokens: u32) -> (Entry, Granted) {
        let (entry, granted) = self.granted(offer).await;
        entry.bind("/v1/completions", &stream_body(tokens)).await;
        (entry, granted)
    }

    pub(crate) async fn verdict(&self, granted: &Granted) -> Verdict {
        let ask = AskVerdict {
            request_id: granted.request_id,
            claim_id: granted.claim_id,
            incarnation: granted.incarnation,
        };
        let reply = self
            .client
            .call(&self.address, "/v1/verdict", &ask, WAIT)
            .await;
        let reply: VerdictReply = reply.expect("the sidecar answers");
        reply.verdict
    }

    pub(crate) async fn cancel(&self, granted: &Granted) -> Verdict {
        let run = CancelRun {
            request_id: granted.request_id,
            claim_id: granted.claim_id,
            incarnation: granted.incarnation,
        };
        let reply = self
            .client
            .call(&self.address, "/v1/cancel", &run, WAIT)
            .await;
        let reply: VerdictReply = reply.expect("the sidecar answers");
        reply.verdict
    }

    /// Resumes an answer at an offset.
    pub(crate) async fn resume(&self, granted: &Granted, offset: u64, acknowledged: bool) -> Entry {
        Self::resume_at(&self.client, &self.address, granted, offset, acknowledged).await
    }

    pub(crate) async fn resume_at(
        client: &Client,
        address: &str,
        granted: &Granted,
        offset: u64,
        acknowledged: bool,
    ) -> Entry {
        let exchange = client.open(address, "/v1/resume", WAIT).await;
        let exchange = exchange.expect("the sidecar accepts exchanges");
        let resume = Resume {
            request_id: granted.request_id,
            claim_id: granted.claim_id,
            incarnation: granted.incarnation,
            offset,
            acknowledged,
        };
        exchange
            .sender
            .send(&resume)
            .await
            .expect("the exchange is open");
        Entry {
            request_id: granted.request_id,
            exchange,
            acknowledges: true,
        }
    }

    /// Returns how many runs of a request began and how many completed, as the stand-in counted them.
    pub(crate) fn run_counts(&self, request_id: u64) -> (u32, u32) {
        let record = self.stand_in.record();
        let run = record.requests.get(&*format!("entry-1-9-{request_id}"));
        run.map_or((0, 0), |run| (run.begun, run.completed))
    }
}

pub(crate) fn key() -> ClusterKey {
    ClusterKey::derive(b"test")
}

/// The entry's side of one exchange.
pub(crate) struct Entry {
    request_id: u64,
    pub(crate) exchange: Exchange,
    /// Whether the bind announces acknowledgements; only [`Entry::acknowledged_rest`] sends them.
    pub(crate) acknowledges: bool,
}

/// A complete answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct WholeAnswer {
    pub(crate) status: u16,
    pub(crate) bytes: Vec<u8>,
    pub(crate) service_units: u64,
}

impl Entry {
    pub(crate) async fn next(&mut self) -> Option<FromSidecar> {
        let frame = tokio::time::timeout(WAIT, self.exchange.reader.next()).await;
        frame
            .expect("the sidecar says something")
            .expect("the exchange is whole")
    }

    pub(crate) async fn granted(&mut self) -> Granted {
        match self.next().await {
            Some(FromSidecar::Granted(granted)) => granted,
            other => panic!("wanted a grant, got {other:?}"),
        }
    }

    pub(crate) async fn refused(&mut self) -> Refused {
        match self.next().await {
            Some(FromSidecar::Refused(refused)) => refused,
            other => panic!("wanted a refusal, got {other:?}"),
        }
    }

    pub(crate) async fn send(&self, frame: impl Into<ToSidecar>) {
        // A sidecar that has ended the run no longer reads.
        let _sent_or_closed = self.exchange.sender.send(&frame.into()).await;
    }

    /// Sends the bind and a body whose end frame states the given length.
    pub(crate) async fn bind_with_end(&self, path: &str, body: &[u8], total_bytes: u64) {
        let request_id = self.request_id;
        let bind = Bind {
            request_id,
            method: "POST".into(),
            path: path.into(),
            headers: Vec::new(),
            body_bytes: None,
            acknowledges: Some(self.acknowledges),
        };
        self.send(bind).await;
        let data = ByteBuf::from(body);
        self.send(BodyChunk {
            request_id,
            offset: 0,
            data,
        })
        .await;
        self.send(BodyEnd {
            request_id,
            total_bytes,
        })
        .await;
    }

    pub(crate) async fn bind(&self, path: &str, body: &[u8]) {
        self.bind_with_end(path, body, body.len() as u64).await;
    }

    pub(crate) async fn cancel(&self) {
        let request_id = self.request_id;
        self.send(Cancel { request_id }).await;
    }

    /// Confirms that the whole answer has arrived, and waits until the sidecar has ended its side.
    pub(crate) async fn release(self) {
        let Exchange { sender, mut reader } = self.exchange;
        drop(sender);
        let end = tokio::time::timeout(WAIT, reader.next::<FromSidecar>()).await;
        let end = end.expect("the sidecar ends its side");
        assert_eq!(end.expect("the exchange is whole"), None);
    }

    /// Reads an answer to its end, and checks the order and the offsets of its frames.
    pub(crate) async fn whole(&mut self) -> Result<WholeAnswer, Failed> {
        let Some(FromSidecar::Head(head)) = self.head_or_failed().await? else {
            panic!("an answer begins with its head");
        };
        let (bytes, service_units) = self.rest(0).await?;
        Ok(WholeAnswer {
            status: head.status,
            bytes,
            service_units,
        })
    }

    async fn head_or_failed(&mut self) -> Result<Option<FromSidecar>, Failed> {
        match self.next().await {
            Some(FromSidecar::Failed(failed)) => Err(failed),
            other => Ok(other),
        }
    }

    /// Reads chunks until this many bytes of the body have arrived, and acknowledges none.
    pub(crate) async fn read_bytes(&mut self, len: usize) -> Vec<u8> {
        let mut bytes = Vec::new();
        while bytes.len() < len {
            match self.next().await {
                Some(FromSidecar::Head(_)) => {}
                Some(FromSidecar::Chunk(chunk)) => bytes.extend_from_slice(&chunk.data),
                other => panic!("wanted a part of the answer, got {other:?}"),
            }
        }
        bytes
    }

    /// Reads the rest of an answer from an offset on, and acknowledges each chunk.
    pub(crate) async fn acknowledged_rest(&mut self, mut offset: u64) -> Result<Vec<u8>, Failed> {
        let mut bytes = Vec::new();
        loop {
            match self.next().await {
                Some(FromSidecar::Chunk(chunk)) => {
                    assert_eq!(chunk.offset, offset);
                    bytes.extend_from_slice(&chunk.data);
                    offset += chunk.data.len() as u64;
                    let request_id = self.request_id;
                    self.send(Ack { request_id, offset }).await;
                }
                Some(FromSidecar::End(end)) => {
                    assert_eq!(end.total_bytes, offset);
                    return Ok(bytes);
                }
                Some(FromSidecar::Failed(failed)) => return Err(failed),
                other => panic!("wanted a part of the answer, got {other:?}"),
            }
        }
    }

    /// Reads the rest of an answer from an offset on.
    pub(crate) async fn rest(&mut self, offset: u64) -> Result<(Vec<u8>, u64), Failed> {
        let mut bytes = Vec::new();
        loop {
            match self.next().await {
                Some(FromSidecar::Chunk(chunk)) => {
                    assert_eq!(chunk.offset, offset + bytes.len() as u64);
                    bytes.extend_from_slice(&chunk.data);
                }
                Some(FromSidecar::End(end)) => {
                    assert_eq!(end.total_bytes, offset + bytes.len() as u64);
                    return Ok((bytes, end.service_units));
                }
                Some(FromSidecar::Failed(failed)) => return Err(failed),
                other => panic!("wanted a part of the answer, got {other:?}"),
            }
        }
    }
}

/// Returns an idempotent offer without a key.
pub(crate) fn offer(request_id: u64) -> Offer {
    Offer {
        request_id,
        entry: "entry-1".into(),
        entry_incarnation: 9,
        team: "school".into(),
        pool: "forecast".into(),
        class: UrgencyClass::Standard,
        estimated_units: 10,
        kv_tokens: 0,
        prefix_hash: 0,
        deadline_ms: 600_000,
        config_version: 3,
        idempotent: true,
        key: None,
        fingerprint: 1,
    }
}

pub(crate) fn stream_body(tokens: u32) -> Vec<u8> {
    format!(r#"{{"prompt":"surf","stream":true,"max_tokens":{tokens}}}"#).into_bytes()
}
