//! Records under which requests and prompt parts endpoints ended, which of those have completed since, and which held parts are tried.

use std::sync::Arc;

use hinge_link::ClusterKey;
use hinge_routing::{IncarnationHash, RequestKey, RequestKeyError, Suspects};
use hinge_schema::messages::{AskSuspects, SuspectRecords, SuspectsReply};
use hinge_schema::routing::{
    AskTrial, AskTrialReply, ReportSuspects, ReportSuspectsReply, SuspectEnd,
};
use hinge_state::{Command, Reply, SuspectsCommand, TrialCommand};
use hinge_telemetry::log::Component;
use hinge_telemetry::{info, warn};
use http::StatusCode;
use viz::Router;

use crate::core::{Core, unix_now_ms};
use crate::driver::LogError;
use crate::operators::Operator;
use crate::peer_calls::{add_leader_call, answer_or_forward};
use crate::route::StateCell;

const SUSPECTS: &str = "/suspects";

const PART_TRIALS: &str = "/part-trials";

/// Maximum number of requests in one reply to an operator.
const MAX_LISTED: usize = 1_000;

/// Path on which a gateway reports endpoints that ended under requests.
pub const NOTE_SUSPECTS_PATH: &str = "/v1/suspects";

/// Path on which a gateway asks for a trial of held prompt parts.
pub const TRY_PARTS_PATH: &str = "/v1/part-trials";

/// Adds the routes for peers.
pub(crate) fn add(router: Router, key: &ClusterKey, core: &StateCell<Core>) -> Router {
    let router = add_leader_call(router, SUSPECTS, key, core, note, note_as_leader);
    add_leader_call(
        router,
        PART_TRIALS,
        key,
        core,
        try_parts,
        try_parts_as_leader,
    )
}

async fn try_parts(core: Arc<Core>, message: AskTrial) -> Result<AskTrialReply, StatusCode> {
    answer_or_forward(core, PART_TRIALS, message, try_parts_as_leader).await
}

async fn try_parts_as_leader(
    core: Arc<Core>,
    message: AskTrial,
) -> Result<AskTrialReply, StatusCode> {
    let parts: Result<Vec<RequestKey>, _> = message.parts.iter().map(|part| part.parse()).collect();
    let parts = parts.map_err(|_not_a_key| StatusCode::BAD_REQUEST)?;
    let now_ms = unix_now_ms();
    let can_grant = {
        let view = core.driver.view.load();
        view.routing.suspects().can_grant_trial(&parts, now_ms)
    };
    if !can_grant {
        return Ok(AskTrialReply { granted: false });
    }
    let command = SuspectsCommand {
        trial: Some(TrialCommand { parts, now_ms }),
        ..SuspectsCommand::default()
    };
    let proposed = core.propose(Command::Suspects(command)).await;
    let reply = proposed.map_err(|_refused| StatusCode::SERVICE_UNAVAILABLE)?;
    let granted = matches!(reply, Reply::Trial(true));
    if granted {
        info!(
            Component::Control,
            "A request with held prompt parts is tried.",
            parts = message.parts.join(","),
            asked_by = message.instance
        );
    }
    Ok(AskTrialReply { granted })
}

async fn note(core: Arc<Core>, message: ReportSuspects) -> Result<ReportSuspectsReply, StatusCode> {
    answer_or_forward(core, SUSPECTS, message, note_as_leader).await
}

async fn note_as_leader(
    core: Arc<Core>,
    message: ReportSuspects,
) -> Result<ReportSuspectsReply, StatusCode> {
    let command = {
        let view = core.driver.view.load();
        new_records(&message, view.routing.suspects())?
    };
    if command.ends.is_empty() && command.completed.is_empty() && command.sound.is_empty() {
        return Ok(ReportSuspectsReply {});
    }
    let proposed = core.propose(Command::Suspects(command)).await;
    let reply = proposed.map_err(|_refused| StatusCode::SERVICE_UNAVAILABLE)?;
    if let Reply::Held(requests) = reply {
        for request in requests {
            warn!(
                Component::Control,
                "A request is held because endpoints ended under it; gateways reject it.",
                request = request,
                told_by = message.instance
            );
        }
    }
    Ok(ReportSuspectsReply {})
}

/// Lists for an operator the requests that endpoints ended under, after releasing one if asked to.
pub(crate) async fn answer_operator(
    core: Arc<Core>,
    operator: Operator,
    ask: AskSuspects,
) -> Result<SuspectsReply, LogError> {
    let release = ask.release.and_then(|key| key.parse().ok());
    if let Some(request) = release {
        let command = SuspectsCommand {
            completed: vec![request],
            ..SuspectsCommand::default()
        };
        core.propose(Command::Suspects(command)).await?;
        info!(
            Component::Control,
            "A request is released.",
            request = request,
            operator = operator.name
        );
    }
    let records = core.read(|state, _| state.routing().suspects().records(MAX_LISTED));
    let suspects = records.await?;
    Ok(SuspectsReply::Suspects(SuspectRecords { suspects }))
}

/// Returns the records of a message that are not known yet.
///
/// # Errors
///
/// Returns a status when a key can't be parsed.
fn new_records(message: &ReportSuspects, known: &Suspects) -> Result<SuspectsCommand, StatusCode> {
    let bad = |_not_a_key| StatusCode::BAD_REQUEST;
    let ends: Result<Vec<_>, _> = message.ends.iter().map(read_end).collect();
    let completed: Result<Vec<RequestKey>, _> =
        message.completed.iter().map(|key| key.parse()).collect();
    let sound: Result<Vec<RequestKey>, _> = message.sound.iter().map(|key| key.parse()).collect();
    let mut command = SuspectsCommand {
        ends: ends.map_err(bad)?,
        completed: completed.map_err(bad)?,
        sound: sound.map_err(bad)?,
        trial: None,
    };
    command
        .ends
        .retain(|(request, endpoint)| !known.has_crash(request, *endpoint));
    command
        .completed
        .retain(|request| known.crash_count(request) > 0);
    command.sound.retain(|part| !known.was_sound(part));
    Ok(command)
}

fn read_end(end: &SuspectEnd) -> Result<(RequestKey, IncarnationHash), RequestKeyError> {
    Ok((end.request.parse()?, end.endpoint))
}
