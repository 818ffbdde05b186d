//! Tests a rolling upgrade of four endpoints under load: control, an entry, sidecars and stand-ins in one process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hinge_cases::async_cases;
use hinge_control::{Control, ControlSettings, OperatorKeys, Peer};
use hinge_entry::{Entry, EntrySettings};
use hinge_fakes::stand_in::{StandIn, StandInSettings};
use hinge_link::{Client, ClusterKey};
use hinge_member::Member;
use hinge_schema::messages::{
    Announce, Apply, ApplyReply, AskUpgrades, ConfigFile, Role, UpgradeStatus, UpgradesReply,
};
use hinge_sidecar::claims::HttpClaims;
use hinge_sidecar::{Sidecar, SidecarSettings};
use hinge_telemetry::metrics::Registry;
use hinge_telemetry::readiness::Readiness;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::rt::TokioExecutor;

const SECRET: &str = "a secret of sixteen bytes or more";
const WAIT: Duration = Duration::from_secs(30);
const BODY: &str =
    r#"{"model":"llm","stream":true,"messages":[{"role":"user","content":"tide?"}]}"#;

/// The team's API key is "demo-key-small".
const FOLDER: &str = "
[teams.school]
share = 1
key_sha256 = ['76ad3e4a00e92bcaf6bf2106df0c001799506b5869f183a4dbe517165d279d95']
[pools.llm]
kind = 'model'
floor = 50
deadline_ms = 1500
[upgrades.night]
pool = 'llm'
model = 'm'
version = 'v2'
max_parallel = 4
";

struct Fleet {
    control: Control,
    address: Box<str>,
    entry: Entry,
    endpoints: Vec<(Sidecar, StandIn)>,
}

fn key() -> ClusterKey {
    ClusterKey::derive(b"the cluster's key")
}

fn announce(name: &str, role: Role, pool: &str) -> Announce {
    Announce {
        instance: name.into(),
        incarnation: 1,
        role,
        data_center: "hall-a".into(),
        peer_address: Box::default(),
        pool: pool.into(),
        slots: 2,
        kv_tokens: 0,
        model_version: "v1".into(),
        config_version: 0,
        highest_fence: 0,
        leaving: false,
        running: None,
        ejected: None,
        lease_ms: 1000,
    }
}

async fn open_control() -> Control {
    let mut settings = ControlSettings::new("control-1", "test", "127.0.0.1:0");
    settings.bootstrap = true;
    settings.election_timeout = Duration::from_millis(300);
    settings.heartbeat = Duration::from_millis(50);
    settings.member_rules.longest_lease = Duration::from_secs(2);
    settings.peers = vec![Peer {
        instance: "control-1".into(),
        address: "127.0.0.1:0".into(),
    }];
    let operators =
        OperatorKeys::parse(&format!("ana = \"{SECRET}\"")).expect("the key line is valid");
    let control = Control::open(settings, key(), operators, &Registry::new()).await;
    control.expect("the instance opens")
}

async fn open_endpoint(name: &str, control: &str, checks_fence: bool) -> (Sidecar, StandIn) {
    let settings = StandInSettings {
        tokens_per_second: 200,
        checks_fence,
        ..StandInSettings::default()
    };
    let stand_in = StandIn::bind(settings).await.expect("a free port exists");
    let (client, control) = (Client::new(key()), vec![control.into()]);
    let announce = announce(name, Role::Sidecar, "llm");
    let member = Member::spawn(client.clone(), announce, control.clone());
    let settings = SidecarSettings {
        listen: "127.0.0.1:0".into(),
        endpoint_address: stand_in.local_address().to_string().into(),
        pool: "llm".into(),
        slots: 2,
        ..SidecarSettings::default()
    };
    let claims = HttpClaims::spawn(client.clone(), control, settings.claim_timeout);
    let registry = Registry::new();
    let sidecar = Sidecar::bind(settings, member, Arc::new(claims), client, key(), &registry).await;
    (sidecar.expect("a free port exists"), stand_in)
}

impl Fleet {
    async fn open() -> Self {
        let control = open_control().await;
        let address: Box<str> = control.local_address().to_string().into();
        let mut endpoints = Vec::new();
        for number in 0..4 {
            let name = format!("llm-{number}");
            endpoints.push(open_endpoint(&name, &address, number % 2 == 0).await);
        }
        let client = Client::new(key());
        let announce = announce("entry-1", Role::Entry, "");
        let member = Member::spawn(client.clone(), announce, vec![address.clone()]);
        let settings = EntrySettings {
            callers_listen: "127.0.0.1:0".into(),
            peer_listen: "127.0.0.1:0".into(),
            ..EntrySettings::default()
        };
        let readiness = Arc::new(Readiness::new(&[]));
        let registry = Registry::new();
        let entry = Entry::bind(settings, member, client, &key(), &registry, readiness).await;
        Self {
            control,
            address,
            entry: entry.expect("a free port exists"),
            endpoints,
        }
    }

    async fn call_operator<Q: serde::Serialize, A: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
    ) -> Option<A> {
        let client = Client::new(ClusterKey::derive(SECRET.as_bytes()));
        let path = format!("/v1/operator/{path}");
        client.call(&self.address, &path, message, WAIT).await.ok()
    }

    async fn apply(&self) {
        let change = Apply {
            change_id: "first".into(),
            operator: Box::default(),
            base_version: 0,
            note: Box::default(),
            put: vec![ConfigFile {
                name: "10-all.toml".into(),
                text: FOLDER.into(),
            }],
            removed: Vec::new(),
        };
        loop {
            match self.call_operator("apply", &change).await {
                Some(ApplyReply::Accepted(_)) => return,
                Some(ApplyReply::Unavailable(_)) | None => pause().await,
                other => panic!("the folder is valid: {other:?}"),
            }
        }
    }

    async fn plan(&self) -> Option<UpgradeStatus> {
        let name = "night".into();
        match self.call_operator("upgrades", &AskUpgrades { name }).await {
            Some(UpgradesReply::Upgrades(upgrades)) => upgrades.plans.into_iter().next(),
            _ => None,
        }
    }
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// Requests one streamed answer; returns the status, and whether the answer is complete.
async fn ask(address: &str) -> (u16, bool) {
    let client = HttpClient::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = http::Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", "Bearer demo-key-small")
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from_static(BODY.as_bytes())))
        .expect("the request is well formed");
    let response = client.request(request).await.expect("the entry answers");
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    let is_whole = body.is_ok_and(|body| body.to_bytes().ends_with(b"data: [DONE]\n\n"));
    (status, is_whole)
}

async_cases! { real
    four_endpoints_are_upgraded_under_load_without_truncated_answers => {
        let fleet = Fleet::open().await;
        fleet.apply().await;
        let address = fleet.entry.callers_address().to_string();
        while ask(&address).await != (200, true) {
            pause().await;
        }
        let is_done = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU64::new(0));
        let callers: Vec<_> = (0..6).map(|_| {
            let (is_done, answered, address) = (Arc::clone(&is_done), Arc::clone(&answered), address.clone());
            tokio::spawn(async move {
                while !is_done.load(Ordering::Acquire) {
                    assert_eq!(ask(&address).await, (200, true));
                    answered.fetch_add(1, Ordering::AcqRel);
                }
            })
        }).collect();
        loop {
            let plan = fleet.plan().await;
            if let Some(plan) = plan {
                let state = plan.state;
                assert_ne!(state, hinge_schema::messages::UpgradeState::Stopped, "{plan:?}");
                if plan.done == 4 && state == hinge_schema::messages::UpgradeState::Done {
                    break;
                }
            }
            pause().await;
        }
        is_done.store(true, Ordering::Release);
        for caller in callers {
            caller.await.expect("no answer was truncated");
        }
        assert!(answered.load(Ordering::Acquire) > 0);
        for (_, stand_in) in &fleet.endpoints {
            let orders = stand_in.orders();
            let kinds: Vec<_> = orders.iter().map(|order| &*order.kind).collect();
            assert_eq!(kinds, ["load_model", "set_version", "unload_model"]);
            assert!(orders.is_sorted_by_key(|order| order.fence));
        }
        assert!(fleet.control.is_leading());
    }
}
