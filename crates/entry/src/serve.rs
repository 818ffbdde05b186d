//! HTTP routes for callers: validates each request, resolves its team and pool, and runs it.

use std::sync::Arc;
use std::time::Duration;

use hinge_config::effective::{Effective, Pool, PoolKind, Team};
use hinge_config::held::Snapshot;
use hinge_outcome::Reason;
use hinge_outcome::keys::request_fingerprint;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode};
use serde_json::json;
use smallvec::SmallVec;
use tokio::time::Instant;
use viz::{Body, Request, Response, Router};

use crate::body::{BodyLimits, BufferedBody};
use crate::caller::{RequestOptions, key_hash};
use crate::estimates::CostFeatures;
use crate::headers;
use crate::metrics::RequestLabels;
use crate::model::ModelCall;
use crate::refusal::Refusal;
use crate::request::RequestContext;
use crate::run::run;
use crate::shared::{OpenRequest, Shared};
use crate::teams::QueuePermit;

/// Retry delay given by an entry that is not ready or is leaving; by then the load balancer picks another entry.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Path prefix of calls to plain services.
const POOLS: &str = "/pools/";

/// The kind of path that a caller requested.
#[derive(Debug, Clone, Copy)]
enum Route {
    Model,
    Models,
    Service,
    NoSuchPath,
}

/// Returns the routes for callers.
#[must_use]
pub fn routes(shared: &Arc<Shared>) -> Router {
    let on = |route: Route| {
        let shared = Arc::clone(shared);
        move |request: Request| {
            let shared = Arc::clone(&shared);
            async move { viz::Result::Ok(answer(shared, request, route).await) }
        }
    };
    let ready = Arc::clone(shared);
    Router::new()
        .any("/v1/chat/completions", on(Route::Model))
        .any("/v1/completions", on(Route::Model))
        .any("/v1/models", on(Route::Models))
        .any("/pools/*", on(Route::Service))
        .get("/readyz", move |_: Request| {
            let response = readyz(&ready);
            async { viz::Result::Ok(response) }
        })
        .any("/*", on(Route::NoSuchPath))
}

fn readyz(shared: &Shared) -> Response {
    let is_ready = shared.update_readiness() && shared.readiness.is_ready();
    let mut response = Response::new(Body::empty());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

async fn answer(shared: Arc<Shared>, request: Request, route: Route) -> Response {
    let open = OpenRequest::begin(&shared);
    let mut labels = RequestLabels::default();
    let mut response = match admit(&shared, open, request, route, &mut labels).await {
        Ok(Admitted::Run(context)) => run(*context).await,
        Ok(Admitted::Answered(response)) => response,
        Err(refusal) => {
            shared.metrics.count_refusal(&labels, &refusal);
            refusal.response()
        }
    };
    if shared.is_leaving() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

enum Admitted {
    Run(Box<RequestContext>),
    Answered(Response),
}

async fn admit(
    shared: &Arc<Shared>,
    open: OpenRequest,
    request: Request,
    route: Route,
    labels: &mut RequestLabels,
) -> Result<Admitted, Refusal> {
    let arrived = Instant::now();
    check_ready(shared)?;
    let snapshot = shared.member.config();
    let config = &snapshot.effective;
    let hash = key_hash(request.headers())?;
    let (name, team) = config.team_by_key(&hash).ok_or_else(|| {
        Refusal::caller_error(
            StatusCode::UNAUTHORIZED,
            "wrong_key",
            "The key belongs to no team.",
        )
    })?;
    let kind = match route {
        Route::Model if *request.method() == Method::POST => PoolKind::Model,
        Route::Models if *request.method() == Method::GET => {
            return Ok(Admitted::Answered(list_models(config)));
        }
        Route::Service => PoolKind::Service,
        Route::Model | Route::Models => {
            return Err(Refusal::caller_error(
                StatusCode::METHOD_NOT_ALLOWED,
                "bad_method",
                "Calls of models are sent by POST, and the list of models is read by GET.",
            ));
        }
        Route::NoSuchPath => return Err(no_such_path()),
    };
    let options = RequestOptions::read(request.headers())?;
    labels.set_sender(&shared.metrics, name, options.class);
    let min_retry_after = options.min_retry_after(&config.classes);
    let permit = enter_queue(shared, name, team, &snapshot, min_retry_after)?;
    let pending = PendingRequest {
        shared,
        config,
        team: name,
        options,
        arrived,
        min_retry_after,
        labels,
    };
    let context = match kind {
        PoolKind::Model => pending.model_request(open, permit, request).await,
        PoolKind::Service => pending.service_request(open, permit, request).await,
    };
    Ok(Admitted::Run(Box::new(context?)))
}

fn check_ready(shared: &Shared) -> Result<(), Refusal> {
    if shared.is_leaving() {
        let message = "This entry is in a planned stop.";
        return Err(Refusal::unavailable(
            "leaving",
            message,
            UNAVAILABLE_RETRY_AFTER,
        ));
    }
    if !shared.update_readiness() {
        let message = "This entry has no current configuration yet.";
        return Err(Refusal::unavailable(
            "not_ready",
            message,
            UNAVAILABLE_RETRY_AFTER,
        ));
    }
    Ok(())
}

fn no_such_path() -> Refusal {
    Refusal::caller_error(
        StatusCode::NOT_FOUND,
        "no_such_path",
        "Callers' paths are /v1/chat/completions, /v1/completions, /v1/models and /pools/POOL/.",
    )
}

fn enter_queue(
    shared: &Shared,
    name: &str,
    team: &Team,
    snapshot: &Snapshot,
    min_retry_after: Duration,
) -> Result<QueuePermit, Refusal> {
    let state = shared
        .teams
        .state(name, snapshot.version, &snapshot.effective);
    let refuse = |reason: Reason, retry_after: Duration| {
        let outcome = hinge_outcome::Outcome::NotRun {
            reason,
            retry_after,
        };
        Refusal::of_outcome(outcome, min_retry_after, true)
    };
    state
        .take_rate_token(team.requests_per_second, shared.now())
        .map_err(|wait| refuse(Reason::OverLimit, wait))?;
    shared
        .teams
        .enter_queue(&state, team)
        .map_err(|reason| refuse(reason, Duration::ZERO))
}

fn list_models(config: &Effective) -> Response {
    let models = config
        .pools
        .iter()
        .filter(|(_, pool)| pool.kind == PoolKind::Model)
        .flat_map(|(name, pool)| {
            std::iter::once(name).chain(pool.serves.iter().map(|alias| &**alias))
        })
        .map(|id| json!({"id": id, "object": "model", "owned_by": "sequoiahinge"}))
        .collect::<Vec<_>>();
    let text = json!({"object": "list", "data": models}).to_string();
    let mut response = Response::new(Body::from(http_body_util::Full::from(text)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// A request that was admitted, before its body is read.
struct PendingRequest<'a> {
    shared: &'a Arc<Shared>,
    config: &'a Effective,
    team: &'a str,
    options: RequestOptions,
    arrived: Instant,
    min_retry_after: Duration,
    labels: &'a mut RequestLabels,
}

impl PendingRequest<'_> {
    async fn model_request(
        self,
        open: OpenRequest,
        mut permit: QueuePermit,
        request: Request,
    ) -> Result<RequestContext, Refusal> {
        let max_bytes = self.max_body_bytes();
        let (head, body) = request.into_parts();
        let limits = BodyLimits {
            max_bytes,
            buffered_bytes: usize::try_from(max_bytes).unwrap_or(usize::MAX),
            max_wait: self.shared.settings.body_timeout,
        };
        let body = self.read_body(body, limits, &mut permit).await?;
        let call = ModelCall::read(&body.read)?;
        let (name, pool) = self
            .config
            .pool_serving(&call.model)
            .filter(|(_, pool)| pool.kind == PoolKind::Model)
            .ok_or_else(|| not_found("model", &call.model))?;
        self.labels.set_pool(name);
        let prompt = call.prompt();
        let cost = CostFeatures {
            model: call.model.clone(),
            prompt_tokens: prompt.tokens,
            max_tokens: call.max_tokens(),
            prefix_hash: prompt.prefix_hash,
            ..self.cost_features(name)
        };
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        Ok(self.context((open, permit), (pool, cost), &head, path, body))
    }

    async fn service_request(
        self,
        open: OpenRequest,
        mut permit: QueuePermit,
        request: Request,
    ) -> Result<RequestContext, Refusal> {
        let (head, body) = request.into_parts();
        let path_and_query = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let inner = path_and_query.strip_prefix(POOLS).unwrap_or_default();
        let name_bytes = inner.find(['/', '?']).unwrap_or(inner.len());
        let (requested_pool, rest) = inner.split_at(name_bytes);
        let (name, pool) = self
            .config
            .pool_serving(requested_pool)
            .filter(|(_, pool)| pool.kind == PoolKind::Service)
            .ok_or_else(|| not_found("pool", requested_pool))?;
        self.labels.set_pool(name);
        let path = if rest.starts_with('/') {
            rest.into()
        } else {
            format!("/{rest}")
        };
        let limits = BodyLimits {
            max_bytes: self.max_body_bytes(),
            buffered_bytes: self.shared.settings.buffered_body_bytes,
            max_wait: self.shared.settings.body_timeout,
        };
        let body = self.read_body(body, limits, &mut permit).await?;
        let cost = self.cost_features(name);
        Ok(self.context((open, permit), (pool, cost), &head, &path, body))
    }

    /// Returns the cost features that requests to model and service pools have in common.
    fn cost_features(&self, pool: &str) -> CostFeatures {
        CostFeatures {
            pool: pool.into(),
            team: self.team.into(),
            class: self.options.class,
            model: Box::default(),
            prompt_tokens: 0,
            max_tokens: 0,
            hint_units: self.options.estimated_units,
            prefix_hash: 0,
        }
    }

    fn max_body_bytes(&self) -> u64 {
        let fleet_max_bytes = self.config.limits.max_body_bytes;
        self.shared.settings.max_body_bytes.min(fleet_max_bytes)
    }

    async fn read_body(
        &self,
        body: Body,
        limits: BodyLimits,
        permit: &mut QueuePermit,
    ) -> Result<BufferedBody, Refusal> {
        BufferedBody::read(body, limits, permit)
            .await
            .map_err(|fault| fault.refusal(self.min_retry_after))
    }

    fn context(
        self,
        (open, permit): (OpenRequest, QueuePermit),
        (pool, cost): (&Pool, CostFeatures),
        head: &http::request::Parts,
        path: &str,
        body: BufferedBody,
    ) -> RequestContext {
        let estimate = self.shared.estimates.estimate(pool, &cost);
        let hashed_bytes = body
            .read
            .len()
            .min(self.shared.settings.buffered_body_bytes);
        let hashed = if body.is_whole() {
            &*body.read
        } else {
            &body.read[..hashed_bytes]
        };
        RequestContext {
            fingerprint: request_fingerprint(head.method.as_str(), path, hashed),
            shared: Arc::clone(self.shared),
            _open: open,
            metrics: self.shared.metrics.request_metrics(self.labels.clone()),
            permit,
            team: self.team.into(),
            selector: self.shared.pools.get(&cost.pool),
            avoid: SmallVec::new(),
            pool: cost.pool.clone(),
            class: self.options.class,
            arrived: self.arrived,
            deadline: self.arrived + self.options.deadline(&self.config.classes, pool),
            min_retry_after: self.min_retry_after,
            is_idempotent: self.options.may_repeat(pool.kind, &head.method),
            key: self.options.key,
            estimate,
            cost_features: Arc::new(cost),
            method: head.method.as_str().into(),
            path: path.into(),
            headers: headers::for_endpoint(&head.headers),
            body,
        }
    }
}

fn not_found(what: &str, name: &str) -> Refusal {
    let name: String = name.chars().take(128).collect();
    let reason = if what == "model" {
        "no_such_model"
    } else {
        "no_such_pool"
    };
    let message = format!("There is no {what} `{name}`.");
    Refusal::caller_error(StatusCode::NOT_FOUND, reason, message)
}
