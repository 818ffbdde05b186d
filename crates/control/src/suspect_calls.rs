//! Takes in which requests endpoints ended under, and which of those have completed since.

use std::sync::Arc;

use hinge_link::ClusterKey;
use hinge_routing::{IncarnationHash, RequestKey, Suspects};
use hinge_schema::messages::{AskSuspects, SuspectRecords, SuspectsReply};
use hinge_schema::routing::{NoteSuspects, SuspectEnd, SuspectsNoted};
use hinge_state::{Command, Reply, SuspectsCommand};
use hinge_telemetry::log::Part;
use hinge_telemetry::{info, warn};
use http::StatusCode;
use viz::Router;

use crate::core::Core;
use crate::driver::Refused;
use crate::operators::Operator;
use crate::peer_calls::{at_leader, both};
use crate::route::Slot;

const SUSPECTS: &str = "/suspects";

/// Most requests of one answer to an operator.
const MAX_LISTED: usize = 1_000;

/// Path on which a gateway tells of ends under requests.
pub const NOTE_SUSPECTS_PATH: &str = "/v1/suspects";

/// Adds the calls of peers.
pub(crate) fn add(router: Router, key: &ClusterKey, core: &Slot<Core>) -> Router {
    both(router, SUSPECTS, key, core, note, note_here)
}

async fn note(core: Arc<Core>, message: NoteSuspects) -> Result<SuspectsNoted, StatusCode> {
    at_leader(core, SUSPECTS, message, note_here).await
}

async fn note_here(core: Arc<Core>, message: NoteSuspects) -> Result<SuspectsNoted, StatusCode> {
    let command = {
        let view = core.driver.view.load();
        news(&message, view.routing.suspects())?
    };
    if command.ends.is_empty() && command.completed.is_empty() {
        return Ok(SuspectsNoted {});
    }
    let proposed = core.propose(Command::Suspects(command)).await;
    let reply = proposed.map_err(|_refused| StatusCode::SERVICE_UNAVAILABLE)?;
    if let Reply::Held(requests) = reply {
        for request in requests {
            warn!(
                Part::Control,
                "A request is held, since endpoints ended under it; gateways turn it away.",
                request = request,
                told_by = message.instance
            );
        }
    }
    Ok(SuspectsNoted {})
}

/// Answers an operator with the requests that endpoints ended under, after the release of one where that is asked for.
pub(crate) async fn answer_operator(
    core: Arc<Core>,
    operator: Operator,
    ask: AskSuspects,
) -> Result<SuspectsReply, Refused> {
    let release = ask.release.and_then(|key| key.parse().ok());
    if let Some(request) = release {
        let command = SuspectsCommand {
            ends: Vec::new(),
            completed: vec![request],
        };
        core.propose(Command::Suspects(command)).await?;
        info!(
            Part::Control,
            "A request is released.",
            request = request,
            operator = operator.name
        );
    }
    let records = core.ask(|state, _| state.routing().suspects().records(MAX_LISTED));
    let suspects = records.await?;
    Ok(SuspectsReply::Suspects(SuspectRecords { suspects }))
}

/// Returns what a message tells that is not known yet.
///
/// # Errors
///
/// Returns a status when a key can't be read.
fn news(message: &NoteSuspects, known: &Suspects) -> Result<SuspectsCommand, StatusCode> {
    let bad = |_not_a_key| StatusCode::BAD_REQUEST;
    let ends: Result<Vec<_>, _> = message.ends.iter().map(read_end).collect();
    let completed: Result<Vec<RequestKey>, _> =
        message.completed.iter().map(|key| key.parse()).collect();
    let mut command = SuspectsCommand {
        ends: ends.map_err(bad)?,
        completed: completed.map_err(bad)?,
    };
    command
        .ends
        .retain(|(request, endpoint)| !known.has_crash(request, *endpoint));
    command
        .completed
        .retain(|request| known.crash_count(request) > 0);
    Ok(command)
}

fn read_end(
    end: &SuspectEnd,
) -> Result<(RequestKey, IncarnationHash), hinge_routing::RequestKeyError> {
    Ok((end.request.parse()?, end.endpoint))
}
