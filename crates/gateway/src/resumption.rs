//! Finds where a stream that a caller takes up again began, and records where streams begin.

use std::sync::Arc;
use std::time::Duration;

use hinge_routing::{StreamKey, StreamOrigin};
use hinge_schema::routing::{RequestKind, Route, StreamsBegun};

use crate::dialect::RequestFacts;
use crate::endpoint::Endpoint;
use crate::gateway::Shared;
use crate::history::History;
use crate::job::Job;
use crate::stream_directory::{Lookup, keep_time};
use crate::units::millis;

/// Maximum number of admissions that are asked where a stream began; beyond it they are drawn at random.
const MAX_ASKED_ADMISSIONS: usize = 64;

/// Timeout of control's confirmation; its caller waits for the next event meanwhile.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);

/// Returns where the stream began, `None` for a request that begins a new one, or why the stream can't continue.
pub(crate) async fn origin_of(
    gateway: &Shared,
    route: &Route,
    facts: &RequestFacts,
    team: Option<&str>,
) -> Result<Option<Arc<StreamOrigin>>, &'static str> {
    let takes_up = facts.resumes.is_some() || facts.last_event.is_some();
    if route.kind != RequestKind::Streaming || !takes_up {
        return Ok(None);
    }
    let (found, source) = match &facts.resumes {
        Some(id) => match find(gateway, route, StreamKey::of(team, id)).await {
            Lookup::Here(origin) => (Ok(origin), "here"),
            Lookup::Elsewhere(origin) => (Ok(origin), "elsewhere"),
            Lookup::Ambiguous => (Err("the stream's id was used twice"), "ambiguous"),
            Lookup::Unknown => (Err("the stream's origin is not known"), "unknown"),
        },
        None => match only_origin(gateway, route).await {
            Some(origin) => (Ok(origin), "only_version"),
            None => (Err("the stream is not named"), "unnamed"),
        },
    };
    gateway.metrics.record_resumption(source);
    let origin = found?;
    let mut targets = route.targets.iter();
    if targets.any(|target| target.service == origin.service) {
        Ok(Some(origin))
    } else {
        Err("the route no longer leads to the stream's service")
    }
}

async fn find(gateway: &Shared, route: &Route, stream: StreamKey) -> Lookup {
    let admissions = gateway
        .routing
        .current()
        .admissions_of(route, MAX_ASKED_ADMISSIONS);
    gateway.streams.find(stream, admissions).await
}

/// Returns where every stream of a route that a caller may still take up must have begun, if control confirms that now.
async fn only_origin(gateway: &Shared, route: &Route) -> Option<Arc<StreamOrigin>> {
    listed_origin(gateway, route)?;
    // The stream may have begun at an endpoint that joined after the last confirmation.
    let is_confirmed = gateway.routing.contact.confirm_again(CONFIRM_TIMEOUT).await;
    is_confirmed
        .then(|| listed_origin(gateway, route))
        .flatten()
}

/// Returns where every stream of a route that a caller may still take up must have begun, as far as this gateway knows.
///
/// It knows while the route has one service and that service has had one software version, and this gateway contact with
/// control, for as long as a stream lasts.
fn listed_origin(gateway: &Shared, route: &Route) -> Option<Arc<StreamOrigin>> {
    let [target] = route.targets.as_slice() else {
        return None;
    };
    let snapshot = gateway.routing.current();
    let (version, held_for) = snapshot.only_version(&target.service)?;
    let longest = Duration::from_millis(route.timeout_ms);
    let in_contact_for = gateway.routing.contact.unbroken_for()?;
    (held_for.min(in_contact_for) >= longest).then(|| {
        Arc::new(StreamOrigin {
            service: target.service.clone(),
            software_version: version.into(),
        })
    })
}

impl Job {
    /// Returns the origin of a stream that an endpoint begins, if another endpoint may continue it.
    pub(crate) fn origin_at(&self, endpoint: &Endpoint) -> Option<Arc<StreamOrigin>> {
        self.is_idempotent().then(|| {
            Arc::new(StreamOrigin {
                service: self.service.clone(),
                software_version: endpoint.description.software_version.clone(),
            })
        })
    }

    /// Returns the key of the stream that the request begins or takes up.
    fn stream_key(&self) -> Option<StreamKey> {
        let named = self.resumes.as_ref().or(self.outgoing.request_id.as_ref());
        named.map(|id| StreamKey::of(self.outgoing.team.as_deref(), id))
    }

    /// Returns the stream that an endpoint begins or continues, for its admission to keep, if it may continue elsewhere.
    pub(crate) fn stream_at(&self, endpoint: &Endpoint) -> Option<StreamsBegun> {
        let is_stream = self.route.kind == RequestKind::Streaming;
        let origin = self.origin_at(endpoint).filter(|_| is_stream)?;
        Some(StreamsBegun {
            service: origin.service.clone(),
            software_version: origin.software_version.clone(),
            streams: vec![self.stream_key()?.into()],
            keep_ms: Some(millis(keep_time(self.outgoing.ends_at.left()))),
        })
    }

    /// Records that the caller gets the first event of this attempt.
    pub(crate) fn record_begun(&self, history: &History) {
        if let (Some(origin), Some(stream)) = (&history.stream_origin, self.stream_key()) {
            let ends_in = self.outgoing.ends_at.left();
            self.gateway.streams.record_begun(stream, origin, ends_in);
        }
    }
}
