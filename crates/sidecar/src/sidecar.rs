//! Binds the running role.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hinge_link::{Client, ClusterKey, Limits, Server, ServerHandle, exchange, unary};
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
use crate::shell::Shell;
use crate::sums::Reporter;
use crate::{order, resume};

/// Holds a running sidecar; dropping it stops its tasks, but lets runs end.
#[derive(Debug)]
pub struct Sidecar {
    shell: Arc<Shell>,
    server: ServerHandle,
    _stop: DropGuard,
}

/// Says how a planned stop went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainReport {
    /// Runs that had not ended at the deadline.
    pub cut_runs: usize,
    /// Ended answers that their entries may not hold whole.
    pub cut_answers: usize,
    /// Whether every exchange had ended at the deadline.
    pub is_stopped: bool,
}

impl DrainReport {
    /// Returns whether the stop cut nothing off.
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
    /// Binds the address for peers and serves from now on.
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
        let shell = Arc::new(Shell::new(settings, member, claims, metrics));
        let server = Server::bind(&listen, routes(&shell, &key), Limits::default()).await?;
        let stop = CancellationToken::new();
        let sweeps = sweep(Arc::clone(&shell));
        tokio::spawn(stop.clone().run_until_cancelled_owned(sweeps));
        let looks = watch_endpoint(Arc::clone(&shell));
        tokio::spawn(stop.clone().run_until_cancelled_owned(looks));
        if !shell.member.control_addresses().is_empty() {
            let reports = Reporter::new(Arc::clone(&shell), client).run();
            tokio::spawn(stop.clone().run_until_cancelled_owned(reports));
        }
        let address = server.local_address().to_string();
        shell.member.set_peer_address(&address);
        hinge_telemetry::info!(
            Part::Sidecar,
            "Listening.",
            address = address,
            endpoint = shell.settings.endpoint_address
        );
        Ok(Self {
            shell,
            server,
            _stop: stop.drop_guard(),
        })
    }

    /// Returns the address that was bound.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Returns whether the endpoint gets no work because it failed.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.shell.is_ejected()
    }

    /// Leaves: takes no new work, lets runs and answers end, and reports what the deadline cut off.
    pub async fn drain(self, deadline: Duration) -> DrainReport {
        let began = Instant::now();
        self.shell.member.set_leaving();
        self.shell.tell(|core, _now| core.leave());
        // From this record on no offer is granted, whatever entries know.
        hinge_telemetry::info!(Part::Sidecar, "Leaving.");
        let ended = timeout(deadline, wait_until_ended(&self.shell)).await;
        let open = self.shell.open();
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

async fn wait_until_ended(shell: &Shell) {
    let mut changes = shell.changes();
    loop {
        changes.mark_unchanged();
        shell.sweep();
        if shell.open().is_none() {
            return;
        }
        changes.mark_unchanged();
        let tick = shell.settings.tick;
        // Resume windows end without a change.
        let _changed_or_elapsed = timeout(tick, changes.changed()).await;
    }
}

async fn sweep(shell: Arc<Shell>) {
    loop {
        tokio::time::sleep(shell.settings.tick).await;
        shell.refresh_room();
        shell.sweep();
    }
}

/// Asks the endpoint for its load, and probes it so while it is ejected.
async fn watch_endpoint(shell: Arc<Shell>) {
    loop {
        tokio::time::sleep(shell.settings.load_interval).await;
        if shell.is_ejected() && !shell.start_probe() {
            continue;
        }
        let looked = timeout(shell.settings.head_timeout, look(&shell)).await;
        let is_ok = looked.unwrap_or(false);
        if shell.is_ejected() {
            shell.note_probe(is_ok);
        }
    }
}

/// What an engine says about its load.
#[derive(Debug, Deserialize)]
struct EndpointLoad {
    running: u32,
    waiting: u32,
    kv_used_tokens: u64,
}

/// Asks once; any answer below 500 shows that the endpoint serves, and one that names a load is counted.
async fn look(shell: &Shell) -> bool {
    let Some((status, body)) = endpoint::fetch(&shell.settings).await else {
        return false;
    };
    if let (true, Ok(load)) = (status.is_success(), serde_json::from_slice(&body)) {
        let EndpointLoad {
            running,
            waiting,
            kv_used_tokens,
        } = load;
        shell.note_load(EngineReport {
            running: running.saturating_add(waiting),
            kv_tokens: kv_used_tokens,
        });
    }
    !status.is_server_error()
}

fn routes(shell: &Arc<Shell>, key: &ClusterKey) -> Router {
    let offers = (Arc::clone(shell), key.clone());
    let resumes = (Arc::clone(shell), key.clone());
    let verdicts = (Arc::clone(shell), key.clone());
    let cancels = (Arc::clone(shell), key.clone());
    let orders = (Arc::clone(shell), key.clone());
    let fetches = (Arc::clone(shell), key.clone());
    let pushes = (Arc::clone(shell), key.clone());
    Router::new()
        .post("/v1/offer", move |request: Request| {
            let (shell, key) = offers.clone();
            async move {
                exchange(&key, request, |reader, sender| {
                    crate::exchange::serve(shell, reader, sender)
                })
            }
        })
        .post("/v1/resume", move |request: Request| {
            let (shell, key) = resumes.clone();
            async move {
                exchange(&key, request, |reader, sender| {
                    resume::serve(shell, reader, sender)
                })
            }
        })
        .post("/v1/verdict", move |request: Request| {
            let (shell, key) = verdicts.clone();
            async move {
                unary(
                    &key,
                    request,
                    |ask| async move { Ok(verdict(&shell, &ask)) },
                )
                .await
            }
        })
        .post("/v1/cancel", move |request: Request| {
            let (shell, key) = cancels.clone();
            async move { unary(&key, request, |run| async move { Ok(cancel(&shell, &run)) }).await }
        })
        .post("/v1/order", move |request: Request| {
            let (shell, key) = orders.clone();
            async move {
                unary(&key, request, |order: Order| async move {
                    Ok::<OrderReply, _>(order::take(&shell, &order).await)
                })
                .await
            }
        })
        .post("/v1/config/fetch", move |request: Request| {
            let (shell, key) = fetches.clone();
            async move {
                unary(&key, request, |ask: FetchConfig| async move {
                    Ok::<FetchedConfig, _>(shell.member.answer_fetch(&ask))
                })
                .await
            }
        })
        .post("/v1/config/push", move |request: Request| {
            let (shell, key) = pushes.clone();
            async move {
                unary(&key, request, |delta: ConfigDelta| async move {
                    Ok::<FetchedConfig, _>(pushed(&shell, delta).await)
                })
                .await
            }
        })
}

/// Takes a pushed configuration, and answers with what the pusher lacks.
///
/// The merge runs apart from the threads on which answers stream.
async fn pushed(shell: &Shell, delta: ConfigDelta) -> FetchedConfig {
    let config_version = delta.version;
    // Whatever became of it, the answer shows what is held here.
    let _applied = shell.member.apply_config_off_thread(delta).await;
    shell.member.answer_fetch(&FetchConfig { config_version })
}

fn verdict(shell: &Shell, ask: &AskVerdict) -> VerdictReply {
    let incarnation = shell.member.incarnation();
    let verdict = if ask.incarnation == incarnation {
        shell.tell(|core, now| core.ask(ask.claim_id, now))
    } else {
        hinge_outcome::Verdict::Unknown
    };
    VerdictReply {
        verdict: wire_verdict(verdict),
        incarnation,
    }
}

fn cancel(shell: &Shell, run: &CancelRun) -> VerdictReply {
    let incarnation = shell.member.incarnation();
    let verdict = if run.incarnation == incarnation {
        shell.tell(|core, now| core.cancel(run.claim_id, now))
    } else {
        hinge_outcome::Verdict::Unknown
    };
    if let Some(live) = shell.live(run.claim_id, run.request_id) {
        // Nobody waits for the rest of a cancelled answer.
        live.answer.set_taken();
        shell.sweep();
    }
    VerdictReply {
        verdict: wire_verdict(verdict),
        incarnation,
    }
}
