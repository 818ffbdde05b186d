//! Looks a request up in the route table: its route, its service and its team.

use hinge_routing::{Homes, RouteIndex};
use hinge_schema::routing::{Engine, Route, WarmUp};
use http::header::HOST;
use http::request::Parts;

use crate::dialect::RequestFacts;
use crate::refusal::Refusal;
use crate::routing_state::RoutingSnapshot;

/// The result of looking a request up in the route table.
pub(crate) struct Match {
    pub(crate) route: Route,
    pub(crate) service: Box<str>,
    pub(crate) team: Option<Box<str>>,
    /// Priority of the team, or else of the route.
    pub(crate) rank: u32,
    /// Model engines of the service, if it has any.
    pub(crate) engine: Option<Engine>,
    /// Limits of its endpoints while they warm up, if there are any.
    pub(crate) warm_up: Option<WarmUp>,
    pub(crate) homes: Homes,
    pub(crate) max_body_bytes: u64,
}

/// Looks up the route, the service and the team of a request.
pub(crate) fn look_up(
    snapshot: &RoutingSnapshot,
    parts: &Parts,
    facts: &RequestFacts,
) -> Result<Match, Refusal> {
    let lookup = snapshot.lookup.as_ref().ok_or(Refusal::NoTable)?;
    let host = host_of(parts).ok_or(Refusal::NoRoute)?;
    let route = lookup
        .route(host, parts.uri.path())
        .ok_or(Refusal::NoRoute)?;
    let team = if route.public || !lookup.requires_keys() {
        None
    } else {
        let key = facts.key.as_deref().ok_or(Refusal::NoTeam)?;
        let team = lookup.team(key).ok_or(Refusal::NoTeam)?;
        Some(team)
    };
    let target = RouteIndex::pick_target(route, rand::random()).ok_or(Refusal::NoRoute)?;
    let (engine, warm_up) = properties_of(snapshot, &target.service);
    Ok(Match {
        service: target.service.clone(),
        team: team.map(|team| team.name.clone()),
        rank: team
            .and_then(|team| team.priority)
            .unwrap_or(route.priority),
        engine,
        warm_up,
        max_body_bytes: lookup.table().limits.max_body_bytes,
        homes: Homes::of(
            &route.allowed_regions,
            team.map_or(&[], |team| &team.allowed_regions),
        ),
        route: route.clone(),
    })
}

/// Returns the description of a service's model engines and the limits of their warm-up, if it has any.
pub(crate) fn properties_of(
    snapshot: &RoutingSnapshot,
    service: &str,
) -> (Option<Engine>, Option<WarmUp>) {
    let lookup = snapshot.lookup.as_ref();
    let service = lookup.and_then(|lookup| lookup.service(service));
    service.map_or((None, None), |service| {
        (service.engine.clone(), service.warm_up.clone())
    })
}

fn host_of(parts: &Parts) -> Option<&str> {
    let host = match parts.headers.get(HOST) {
        Some(host) => host.to_str().ok()?,
        None => parts.uri.host()?,
    };
    Some(host.split(':').next().unwrap_or(host))
}
