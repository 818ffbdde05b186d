//! Runs the sidecar role: its server, its periodic tasks and its planned stop.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hinge_link::{Client, ClusterKey, Limits, Server, ServerHandle, serve_call, serve_exchange};
use hinge_member::Member;
use hinge_placement::EngineReport;
use hinge_schema::messages::{
    AskVerdict, CancelRun, ConfigDelta, FetchConfig, FetchedConfig, Order, OrderReply, VerdictReply,
};
use hinge_telemetry::log::Part;
use hinge_telemetry::metrics::Registry;
use serde::Deserialize;
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};
use viz::{Request, Router};

use crate::claims::Claims;
use crate::endpoint;
use crate::metrics::Metrics;
use crate::reasons::wire_verdict;
use crate::settings::SidecarSettings;
use crate::shared::Shared;
use crate::sums::Reporter;
use crate::{order, resume};

/// A running sidecar; dropping it stops its periodic tasks, but runs go on to their end.
#[derive(Debug)]
pub struct Sidecar {
    shared: Arc<Shared>,
    server: ServerHandle,
    _stop: DropGuard,
}

/// The result of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainReport {
    /// Runs that had not ended at the deadline.
    pub cut_runs: usize,
    /// Complete or failed answers that their entries may not have received whole.
    pub cut_answers: usize,
    /// Whether every exchange had ended at the deadline.
    pub is_stopped: bool,
}

impl DrainReport {
    /// Returns whether the stop cut off no run and no answer.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.cut_runs == 0 && self.cut_answers == 0
    }
}

impl fmt::Display for DrainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            cut_runs,
            cut_answers,
            ..
        } = self;
        write!(f, "{cut_runs} runs and {cut_answers} answers were cut off")
    }
}

impl Sidecar {
    /// Binds the address for peers and starts to serve.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be bound.
    pub async fn bind(
        settings: SidecarSettings,
        member: Member,
        claims: Arc<dyn Claims>,
        client: Client,
        key: ClusterKey,
        registry: &Registry,
    ) -> io::Result<Self> {
        let listen = settings.listen.clone();
        let metrics = Metrics::register(registry);
        let shared = Arc::new(Shared::new(settings, member, claims, metrics));
        let server = Server::bind(&listen, routes(&shared, &key), Limits::default()).await?;
        let stop = CancellationToken::new();
        let sweeps = sweep(Arc::clone(&shared));
        tokio::spawn(stop.clone().run_until_cancelled_owned(sweeps));
        let polls = poll_endpoint(Arc::clone(&shared));
        tokio::spawn(stop.clone().run_until_cancelled_owned(polls));
        if !shared.member.control_addresses().is_empty() {
            let reports = Reporter::new(Arc::clone(&shared), client).run();
            tokio::spawn(stop.clone().run_until_cancelled_owned(reports));
        }
        let address = server.local_address().to_string();
        shared.member.set_peer_address(&address);
        hinge_telemetry::info!(
            Part::Sidecar,
            "Listening.",
            address = address,
            endpoint = shared.settings.endpoint_address
        );
        Ok(Self {
            shared,
            server,
            _stop: stop.drop_guard(),
        })
    }

    /// Returns the address that was bound.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Returns whether the endpoint is ejected and gets no work.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.shared.is_ejected()
    }

    /// Drains the sidecar: refuses new work, waits for runs and answers to end, and reports what the deadline cut off.
    pub async fn drain(self, deadline: Duration) -> DrainReport {
        let began = Instant::now();
        self.shared.member.set_leaving();
        self.shared.update(|dispatcher, _now| dispatcher.leave());
        // From this log record on no offer is granted, even from entries that have not yet heard of the stop.
        hinge_telemetry::info!(Part::Sidecar, "Leaving.");
        let ended = timeout(deadline, wait_until_ended(&self.shared)).await;
        let open = self.shared.unfinished();
        if ended.is_err() {
            hinge_telemetry::error!(
                Part::Sidecar,
                "The deadline of a planned stop has passed.",
                runs = open.runs,
                answers = open.answers
            );
        }
        let left = deadline.saturating_sub(began.elapsed());
        let is_stopped = self.server.stop(left).await;
        DrainReport {
            cut_runs: open.runs,
            cut_answers: open.answers,
            is_stopped,
        }
    }
}

async fn wait_until_ended(shared: &Shared) {
    let mut changes = shared.changes();
    loop {
        changes.mark_unchanged();
        shared.sweep();
        if shared.unfinished().is_none() {
            return;
        }
        changes.mark_unchanged();
        let sweep_interval = shared.settings.sweep_interval;
        // The end of a resume window sends no change notification, so this also wakes up periodically.
        let _changed_or_elapsed = timeout(sweep_interval, changes.changed()).await;
    }
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(shared.settings.sweep_interval).await;
        shared.refresh_slot_rules();
        shared.sweep();
    }
}

/// Polls the endpoint's load; while the endpoint is ejected, the poll serves as its health probe.
async fn poll_endpoint(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(shared.settings.load_interval).await;
        if shared.is_ejected() && !shared.start_probe() {
            continue;
        }
        let polled = timeout(shared.settings.head_timeout, poll_load(&shared)).await;
        let is_ok = polled.unwrap_or(false);
        if shared.is_ejected() {
            shared.record_probe(is_ok);
        }
    }
}

/// The load that an engine reports.
#[derive(Debug, Deserialize)]
struct EndpointLoad {
    running: u32,
    waiting: u32,
    kv_used_tokens: u64,
}

/// Polls once; any status below 500 shows that the endpoint serves, and a successful body with a load is recorded.
async fn poll_load(shared: &Shared) -> bool {
    let Some((status, body)) = endpoint::fetch_load(&shared.settings).await else {
        return false;
    };
    if let (true, Ok(load)) = (status.is_success(), serde_json::from_slice(&body)) {
        let EndpointLoad {
            running,
            waiting,
            kv_used_tokens,
        } = load;
        shared.record_load(EngineReport {
            running: running.saturating_add(waiting),
            kv_tokens: kv_used_tokens,
        });
    }
    !status.is_server_error()
}

fn routes(shared: &Arc<Shared>, key: &ClusterKey) -> Router {
    let offers = (Arc::clone(shared), key.clone());
    let resumes = (Arc::clone(shared), key.clone());
    let verdicts = (Arc::clone(shared), key.clone());
    let cancels = (Arc::clone(shared), key.clone());
    let orders = (Arc::clone(shared), key.clone());
    let fetches = (Arc::clone(shared), key.clone());
    let pushes = (Arc::clone(shared), key.clone());
    Router::new()
        .post("/v1/offer", move |request: Request| {
            let (shared, key) = offers.clone();
            async move {
                serve_exchange(&key, request, |reader, sender| {
                    crate::exchange::serve(shared, reader, sender)
                })
            }
        })
        .post("/v1/resume", move |request: Request| {
            let (shared, key) = resumes.clone();
            async move {
                serve_exchange(&key, request, |reader, sender| {
                    resume::serve(shared, reader, sender)
                })
            }
        })
        .post("/v1/verdict", move |request: Request| {
            let (shared, key) = verdicts.clone();
            async move {
                serve_call(
                    &key,
                    request,
                    |ask| async move { Ok(verdict(&shared, &ask)) },
                )
                .await
            }
        })
        .post("/v1/cancel", move |request: Request| {
            let (shared, key) = cancels.clone();
            async move {
                serve_call(
                    &key,
                    request,
                    |run| async move { Ok(cancel(&shared, &run)) },
                )
                .await
            }
        })
        .post("/v1/order", move |request: Request| {
            let (shared, key) = orders.clone();
            async move {
                serve_call(&key, request, |order: Order| async move {
                    Ok::<OrderReply, _>(order::execute(&shared, &order).await)
                })
                .await
            }
        })
        .post("/v1/config/fetch", move |request: Request| {
            let (shared, key) = fetches.clone();
            async move {
                serve_call(&key, request, |ask: FetchConfig| async move {
                    Ok::<FetchedConfig, _>(shared.member.answer_fetch(&ask))
                })
                .await
            }
        })
        .post("/v1/config/push", move |request: Request| {
            let (shared, key) = pushes.clone();
            async move {
                serve_call(&key, request, |delta: ConfigDelta| async move {
                    Ok::<FetchedConfig, _>(apply_pushed_config(&shared, delta).await)
                })
                .await
            }
        })
}

/// Applies a pushed configuration, and returns what the pusher lacks.
///
/// The merge runs off the threads on which answers stream.
async fn apply_pushed_config(shared: &Shared, delta: ConfigDelta) -> FetchedConfig {
    let config_version = delta.version;
    // The reply shows the configuration in force here, whether or not the delta was applied.
    let _applied = shared.member.apply_config_off_thread(delta).await;
    shared.member.answer_fetch(&FetchConfig { config_version })
}

fn verdict(shared: &Shared, ask: &AskVerdict) -> VerdictReply {
    let incarnation = shared.member.incarnation();
    let verdict = if ask.incarnation == incarnation {
        shared.update(|dispatcher, now| dispatcher.ask_verdict(ask.claim_id, now))
    } else {
        hinge_outcome::Verdict::Unknown
    };
    VerdictReply {
        verdict: wire_verdict(verdict),
        incarnation,
    }
}

fn cancel(shared: &Shared, run: &CancelRun) -> VerdictReply {
    let incarnation = shared.member.incarnation();
    let verdict = if run.incarnation == incarnation {
        shared.update(|dispatcher, now| dispatcher.cancel(run.claim_id, now))
    } else {
        hinge_outcome::Verdict::Unknown
    };
    if let Some(live) = shared.live(run.claim_id, run.request_id) {
        // The entry won't read the rest of a cancelled answer.
        live.answer.set_delivered();
        shared.sweep();
    }
    VerdictReply {
        verdict: wire_verdict(verdict),
        incarnation,
    }
}
