//! Fake control instances on loopback. They decide with the real replicated state, and their answers can get lost.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use hinge_link::{ClusterKey, Limits, Server, ServerHandle, serve_call};
use hinge_schema::messages::{
    Apply, ApplyReply, AskEvacuations, AskFolder, AskHistory, AskOrders, AskStatus, AskSuspects,
    AskUpgrades, ConfigFile, Drain, DrainReply, Drains, Evacuations, EvacuationsReply, Folder,
    FolderReply, History, HistoryReply, Member, Orders, OrdersReply, PlaceOrder, RemoveControl,
    RemoveControlReply, RemovedControl, Role, Status, StatusReply, SuspectRecords, SuspectsReply,
    Unavailable, Upgrades, UpgradesReply,
};
use hinge_state::{
    ChangeCommand, Command, DrainCommand, OrderCommand, Reply, State, SuspectsCommand,
};
use http::StatusCode;
use sequoiactl::{Environment, Exit, Streams, run};
use serde::Serialize;
use serde::de::DeserializeOwned;
use viz::{Request, Router};

pub const SECRET: &str = "a secret of sixteen bytes or more";

/// State that all fake instances share.
#[derive(Default)]
pub struct SharedState {
    pub state: Mutex<State>,
    pub members: Mutex<Vec<Member>>,
    /// A file that another operator changes just before the next change arrives.
    pub competing_file: Mutex<Option<ConfigFile>>,
    /// Ids of the changes received, in order.
    pub received_change_ids: Mutex<Vec<Box<str>>>,
    pub status_calls: AtomicUsize,
    /// The answer about upgrades and planned stops.
    pub upgrades: Mutex<Option<Upgrades>>,
}

/// One fake control instance.
pub struct Instance {
    shared: Arc<SharedState>,
    /// Number of answers that still get lost, after their changes took effect.
    pub answers_to_lose: AtomicUsize,
    pub is_isolated: AtomicBool,
    /// Whether the folder is sent without its first file.
    pub truncates_folder: AtomicBool,
}

impl SharedState {
    pub fn apply(&self, command: Command) -> Reply {
        let mut state = self.state.lock().expect("lock is not poisoned");
        let index = state.applied_index() + 1;
        state.apply(index, 1, command)
    }

    pub fn apply_change(&self, operator: &str, apply: Apply) -> ApplyReply {
        let command = Command::ApplyChange(ChangeCommand {
            change_id: apply.change_id,
            operator: operator.into(),
            base_version: apply.base_version,
            note: apply.note,
            put: apply.put,
            removed: apply.removed,
            accepted_at_ms: 1_700_000_000_000,
            checked: None,
        });
        match self.apply(command) {
            Reply::Change(reply) => reply,
            other => panic!("unexpected reply to a change: {other:?}"),
        }
    }

    pub fn version(&self) -> u64 {
        let state = self.state.lock().expect("lock is not poisoned");
        state.changes().folder().version()
    }
}

impl Instance {
    fn check(&self) -> Result<(), Unavailable> {
        if self.is_isolated.load(Ordering::SeqCst) {
            return Err(Unavailable {
                detail: "no quorum confirms this instance".into(),
                leader: "control-b".into(),
                retry_after_ms: 1,
            });
        }
        Ok(())
    }

    fn loses_answer(&self) -> bool {
        let order = Ordering::SeqCst;
        let left = self
            .answers_to_lose
            .fetch_update(order, order, |left| left.checked_sub(1));
        left.is_ok()
    }

    fn apply(&self, apply: Apply) -> Result<ApplyReply, StatusCode> {
        if let Err(unavailable) = self.check() {
            return Ok(ApplyReply::Unavailable(unavailable));
        }
        let shared = &self.shared;
        shared
            .received_change_ids
            .lock()
            .expect("lock is not poisoned")
            .push(apply.change_id.clone());
        if let Some(file) = shared
            .competing_file
            .lock()
            .expect("lock is not poisoned")
            .take()
        {
            let competing_file = Apply {
                change_id: "rival".into(),
                note: "first".into(),
                put: vec![file],
                removed: Vec::new(),
                ..apply.clone()
            };
            shared.apply_change("bruno", competing_file);
        }
        let reply = shared.apply_change("ana", apply);
        if self.loses_answer() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(reply)
    }

    fn folder(&self, ask: &AskFolder) -> FolderReply {
        if let Err(unavailable) = self.check() {
            return FolderReply::Unavailable(unavailable);
        }
        let state = self.shared.state.lock().expect("lock is not poisoned");
        let folder = state.changes().folder();
        let mut delta = folder.delta_since(ask.config_version);
        if let Some(delta) = delta
            .as_mut()
            .filter(|_| self.truncates_folder.load(Ordering::SeqCst))
        {
            delta.put.remove(0);
        }
        FolderReply::Folder(Folder {
            config_version: folder.version(),
            delta,
        })
    }

    fn suspects(&self, ask: AskSuspects) -> SuspectsReply {
        if let Some(released) = ask.release {
            let request = released
                .parse()
                .expect("the client sends a valid request key");
            self.shared.apply(Command::Suspects(SuspectsCommand {
                ends: Vec::new(),
                completed: vec![request],
                ..SuspectsCommand::default()
            }));
        }
        let state = self.shared.state.lock().expect("lock is not poisoned");
        let suspects = state.routing().suspects().records(10);
        SuspectsReply::Suspects(SuspectRecords { suspects })
    }

    fn evacuations(&self, ask: AskEvacuations) -> EvacuationsReply {
        let state = self.shared.state.lock().expect("lock is not poisoned");
        let rejected = ask.start.filter(|_| !ask.force);
        EvacuationsReply::Evacuations(Evacuations {
            evacuated: Vec::new(),
            services: state.routing().services_in_use(rejected.as_deref()),
            rejected: rejected.map(|name| format!("{name} is needed").into()),
        })
    }

    fn upgrades(&self, ask: &AskUpgrades) -> UpgradesReply {
        if let Err(unavailable) = self.check() {
            return UpgradesReply::Unavailable(unavailable);
        }
        let upgrades = self.shared.upgrades.lock().expect("lock is not poisoned");
        let mut upgrades = upgrades.clone().expect("the test sets the answer");
        let is_asked = |name: &str| ask.name.is_empty() || *ask.name == *name;
        upgrades.plans.retain(|plan| is_asked(&plan.plan));
        upgrades.stops.retain(|stop| is_asked(&stop.stop));
        UpgradesReply::Upgrades(upgrades)
    }

    fn status(&self) -> StatusReply {
        if let Err(unavailable) = self.check() {
            return StatusReply::Unavailable(unavailable);
        }
        // From the second call on, every process except `stuck` has the newest version.
        let calls = self.shared.status_calls.fetch_add(1, Ordering::SeqCst);
        let config_version = self.shared.version();
        let mut members = self.shared.members.lock().expect("lock is not poisoned");
        if calls > 0 {
            let late = members
                .iter_mut()
                .filter(|member| &*member.instance != "stuck");
            late.for_each(|member| member.config_version = config_version);
        }
        let lacking = members
            .iter()
            .filter(|member| member.config_version < config_version);
        StatusReply::Status(Status {
            config_version,
            term: 3,
            commit_index: 9,
            lacking: lacking.map(|member| member.instance.clone()).collect(),
            members: members.clone(),
            control: Vec::new(),
            drains: self
                .shared
                .state
                .lock()
                .expect("lock is not poisoned")
                .drains(),
        })
    }
}

fn serve<Q, A>(
    router: Router,
    call: &str,
    instance: &Arc<Instance>,
    answer: fn(&Instance, Q) -> Result<A, StatusCode>,
) -> Router
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
{
    let instance = Arc::clone(instance);
    router.post(format!("/v1/operator/{call}"), move |request: Request| {
        let instance = Arc::clone(&instance);
        let key = ClusterKey::derive(SECRET.as_bytes());
        async move {
            serve_call(&key, request, |question| async move {
                answer(&instance, question)
            })
            .await
        }
    })
}

fn router(instance: &Arc<Instance>) -> Router {
    let router = serve(
        Router::new(),
        "apply",
        instance,
        |instance, apply: Apply| instance.apply(apply),
    );
    let router = serve(router, "status", instance, |instance, _: AskStatus| {
        Ok(instance.status())
    });
    let router = serve(
        router,
        "upgrades",
        instance,
        |instance, ask: AskUpgrades| Ok(instance.upgrades(&ask)),
    );
    let router = serve(router, "folder", instance, |instance, ask: AskFolder| {
        Ok(instance.folder(&ask))
    });
    let router = serve(router, "history", instance, |instance, ask: AskHistory| {
        let state = instance.shared.state.lock().expect("lock is not poisoned");
        let limit = usize::try_from(ask.limit).expect("a limit fits in usize");
        let entries = state.changes().history(ask.before_version, limit);
        Ok(HistoryReply::History(History { entries }))
    });
    let router = serve(router, "drain", instance, |instance, drain: Drain| {
        let command = Command::Drain(DrainCommand {
            instance: drain.instance,
            draining: drain.draining,
            operator: "ana".into(),
            note: drain.note,
            deadline_ms: drain.deadline_ms,
            now_ms: 1_700_000_000_000,
        });
        match instance.shared.apply(command) {
            Reply::Drains(drains) => Ok(DrainReply::Drains(Drains { drains })),
            other => panic!("unexpected reply to a drain: {other:?}"),
        }
    });
    let router = serve(
        router,
        "remove-control",
        instance,
        |_, remove: RemoveControl| {
            let removed = &*remove.instance == "control-c";
            let detail = if removed { "" } else { "it answers" }.into();
            Ok(RemoveControlReply::Removed(RemovedControl {
                removed,
                detail,
            }))
        },
    );
    let router = serve(
        router,
        "suspects",
        instance,
        |instance, ask: AskSuspects| Ok(instance.suspects(ask)),
    );
    let router = serve(
        router,
        "evacuations",
        instance,
        |instance, ask: AskEvacuations| Ok(instance.evacuations(ask)),
    );
    let router = serve(router, "orders", instance, |instance, ask: AskOrders| {
        let state = instance.shared.state.lock().expect("lock is not poisoned");
        let orders = state.orders().list(&ask.instance, 10);
        Ok(OrdersReply::Orders(Orders { orders }))
    });
    serve(router, "order", instance, |instance, order: PlaceOrder| {
        let command = Command::PlaceOrder(OrderCommand {
            change_id: order.change_id,
            instance: order.instance,
            operator: "ana".into(),
            kind: order.kind,
            subject: order.subject,
            version: order.version,
            now_ms: 1_700_000_000_000,
        });
        let Reply::Order(order) = instance.shared.apply(command) else {
            panic!("unexpected reply to an order");
        };
        if instance.loses_answer() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(OrdersReply::Orders(Orders {
            orders: vec![order],
        }))
    })
}

/// Two fake control instances, a temporary folder, and an operator's key.
pub struct Fixture {
    pub shared: Arc<SharedState>,
    pub first: Arc<Instance>,
    pub second: Arc<Instance>,
    pub folder: tempfile::TempDir,
    environment: Environment,
    _servers: Vec<ServerHandle>,
}

impl Fixture {
    pub async fn start() -> Self {
        let shared = Arc::<SharedState>::default();
        let instance = || {
            Arc::new(Instance {
                shared: Arc::clone(&shared),
                answers_to_lose: AtomicUsize::default(),
                is_isolated: AtomicBool::default(),
                truncates_folder: AtomicBool::default(),
            })
        };
        let (first, second) = (instance(), instance());
        let (mut addresses, mut servers) = (Vec::new(), Vec::new());
        for instance in [&first, &second] {
            let server = Server::bind("127.0.0.1:0", router(instance), Limits::default()).await;
            let server = server.expect("binding a free port succeeds");
            addresses.push(server.local_address().to_string());
            servers.push(server);
        }
        let folder = tempfile::tempdir().expect("creating a temporary folder succeeds");
        let key = write_key(folder.path(), SECRET);
        let environment = Environment {
            control: Some(addresses.join(",")),
            key_file: Some(key),
        };
        Self {
            shared,
            first,
            second,
            folder,
            environment,
            _servers: servers,
        }
    }

    /// Writes files into a folder and returns its path.
    pub fn write(&self, name: &str, files: &[(&str, &str)]) -> String {
        let path = self.folder.path().join(name);
        std::fs::create_dir_all(&path).expect("the temporary folder is writable");
        for (name, text) in files {
            std::fs::write(path.join(name), text).expect("the temporary folder is writable");
        }
        path.display().to_string()
    }

    /// Runs a command and returns its exit code, its answer and its notes.
    pub async fn run(&self, args: &[&str]) -> (Exit, String, String) {
        run_with(args, &self.environment).await
    }

    pub fn environment(&mut self) -> &mut Environment {
        &mut self.environment
    }
}

pub fn write_key(folder: &Path, secret: &str) -> String {
    use std::os::unix::fs::PermissionsExt;
    let path = folder.join("key");
    std::fs::write(&path, secret).expect("the temporary folder is writable");
    let mode = std::fs::Permissions::from_mode(0o600);
    std::fs::set_permissions(&path, mode).expect("the temporary file is writable");
    path.display().to_string()
}

pub async fn run_with(args: &[&str], environment: &Environment) -> (Exit, String, String) {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let mut streams = Streams::new(&mut out, &mut notes);
    let exit = run(&args, environment, &mut streams).await;
    let text = |bytes| String::from_utf8(bytes).expect("answers are UTF-8");
    (exit, text(out), text(notes))
}

pub fn member(instance: &str, config_version: u64) -> Member {
    Member {
        instance: instance.into(),
        incarnation: 1,
        role: Role::Sidecar,
        data_center: "hall-a".into(),
        pool: "forecast-llm".into(),
        peer_address: "127.0.0.1:1".into(),
        slots: 8,
        kv_tokens: 0,
        model_version: "2".into(),
        config_version,
        leaving: false,
        running: None,
        ejected: None,
    }
}

/// Serves metrics pages, each of them once, and then the last one again and again.
pub async fn serve_pages(pages: &[&str]) -> ServerHandle {
    let pages: Arc<Vec<String>> = Arc::new(pages.iter().map(|page| (*page).to_owned()).collect());
    let asked = Arc::new(AtomicUsize::new(0));
    let router = Router::new().get("/metrics", move |_: Request| {
        let index = asked.fetch_add(1, Ordering::SeqCst).min(pages.len() - 1);
        let page = pages[index].clone();
        async move { viz::Result::Ok(page) }
    });
    let server = Server::bind("127.0.0.1:0", router, Limits::default()).await;
    server.expect("binding a free port succeeds")
}
