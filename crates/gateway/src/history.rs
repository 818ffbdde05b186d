//! The history of a request, which is logged when the request ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_routing::{Pace, PlainChoice, Prompt, StreamOrigin};
use hinge_telemetry::log::{Component, Level};
use hinge_telemetry::record;
use smallvec::SmallVec;

use crate::admission::Told;
use crate::attempt::part_ids;
use crate::endpoint::Endpoint;
use crate::job::Job;
use crate::refusal::Refusal;

/// What has happened to a request so far.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Endpoints that were sent the request; a restarted endpoint counts as another one.
    pub(crate) tried: SmallVec<[Arc<Endpoint>; 2]>,
    /// Endpoints whose admission refused the request.
    pub(crate) refused: SmallVec<[Arc<Endpoint>; 2]>,
    /// Endpoints whose admission reported that the engine is gone.
    pub(crate) gone: SmallVec<[Arc<Endpoint>; 2]>,
    /// Endpoints that warm up and bear no further request now.
    pub(crate) warming_up: SmallVec<[Arc<Endpoint>; 2]>,
    /// What the caller is told of the times given by the admissions that refused.
    pub(crate) told: Option<Told>,
    /// Retry delay given by the admissions that refused, or by the endpoints' requested pauses.
    pub(crate) retry_after: Option<Duration>,
    /// Engine from which the last endpoint fetches the cached prompt prefix.
    pub(crate) fetched_from: Option<SocketAddr>,
    pub(crate) waited_ms: u64,
    pub(crate) ahead_tokens: u32,
    /// Attempts that reached an endpoint.
    pub(crate) attempts: u32,
    /// Attempts of which no byte was sent, although a slot was granted or none was needed.
    pub(crate) not_sent: u32,
    pub(crate) running: u32,
    pub(crate) load_age_ms: u128,
    /// Pace with which the chosen endpoint counted, and the age of its report.
    pub(crate) pace: Option<(Pace, Duration)>,
    pub(crate) candidates: usize,
    /// What was expected of the endpoint that was chosen last, for a request without a prompt.
    pub(crate) expected: Option<PlainChoice>,
    /// Whether an endpoint may have run the request; then a refusal must not claim that it did not run.
    pub(crate) may_have_run: bool,
    pub(crate) first_chunk: Option<Duration>,
    /// Times that the answer was continued at a further endpoint after its first event.
    pub(crate) continued: u32,
    /// Origin of the stream; once set, only endpoints of its software version may run the request.
    pub(crate) stream_origin: Option<Arc<StreamOrigin>>,
    pub(crate) status: u16,
    pub(crate) cause: &'static str,
}

impl History {
    /// Records a chunk that is passed on.
    pub(crate) fn record_chunk(&mut self, job: &Job) {
        if self.first_chunk.is_none() {
            let time = job.arrived.elapsed();
            self.first_chunk = Some(time);
            job.gateway
                .metrics
                .record_first_chunk(job, time.as_secs_f64());
        }
    }

    /// Records why an answer is incomplete.
    pub(crate) fn record_cause(&mut self, cause: &'static str) {
        self.cause = cause;
    }

    /// Returns whether an endpoint may run the request: one of another software version can't continue its stream.
    pub(crate) fn allows(&self, endpoint: &Endpoint) -> bool {
        let origin = self.stream_origin.as_ref();
        origin.is_none_or(|origin| origin.software_version == endpoint.description.software_version)
    }

    /// Records the time that an admission gave, and returns the one that the caller is told.
    pub(crate) fn record_told(&mut self, told: Told) -> Duration {
        let told = self.told.map_or(told, |before| before.or(told));
        self.told = Some(told);
        self.retry_after = Some(told.retry_after);
        told.retry_after
    }

    /// Records that all endpoints have asked for a pause, with the shortest time left.
    pub(crate) fn record_backoff(&mut self, shortest: Option<Duration>) {
        if let Some(backoff) = shortest {
            self.cause = "all endpoints rest";
            self.retry_after = Some(backoff);
        }
    }

    /// Records that an endpoint may have run the request although its answer is not passed on.
    pub(crate) fn record_possible_run(&mut self, cause: &'static str) {
        self.may_have_run = true;
        self.cause = cause;
    }

    /// Returns the refusal of a request for which no endpoint is available.
    pub(crate) fn refusal(&self, retry_after: Duration) -> Refusal {
        if self.may_have_run {
            Refusal::Unknown
        } else {
            Refusal::NotRun { retry_after }
        }
    }

    /// Returns the refusal of a stream of whose software version no endpoint is left.
    pub(crate) fn version_gone(&mut self) -> Refusal {
        self.cause = "no endpoint of the stream's version is left";
        if self.may_have_run {
            Refusal::Unknown
        } else {
            Refusal::CannotResume
        }
    }

    /// Returns the refusal of a held request, or of one with held prompt parts.
    pub(crate) fn held_refusal(&mut self, has_held_parts: bool) -> Refusal {
        self.cause = if has_held_parts {
            "parts of the prompt are held"
        } else {
            "the request is held"
        };
        if self.may_have_run {
            Refusal::Unknown
        } else {
            Refusal::held(has_held_parts)
        }
    }

    /// Logs the request at its end.
    pub(crate) fn log(&self, job: &Job, outcome: &str) {
        let (prompt_tokens, answer_tokens) = tokens_of(job.prompt.as_ref());
        // When the log falls behind, lines of failures are dropped last.
        let level = match outcome {
            "unknown" | "broken_off" | "timed_out" => Level::Warn,
            _ => Level::Info,
        };
        record!(
            level,
            Component::Gateway,
            "Request.",
            id = job.outgoing.request_id.as_deref().unwrap_or("-"),
            outcome = outcome,
            status = self.status,
            cause = self.cause,
            route = job.route.name,
            team = job.outgoing.team.as_deref().unwrap_or("-"),
            prompt_tokens = prompt_tokens,
            answer_tokens = answer_tokens,
            parts = part_ids(&job.outgoing.shared_parts),
            endpoints = ids_of(&self.tried),
            versions = versions_of(&self.tried),
            resumes = job.resumes.as_deref().unwrap_or("-"),
            last_event = job.last_event.unwrap_or_default(),
            continued = self.continued,
            began_at = self
                .stream_origin
                .as_ref()
                .map_or("-", |origin| &origin.software_version),
            origin_ms = job.origin_lookup.as_millis(),
            refused_by = ids_of(&self.refused),
            gone = ids_of(&self.gone),
            warming_up = ids_of(&self.warming_up),
            fetched_from = self
                .fetched_from
                .map_or_else(String::new, |from| from.to_string()),
            waited_ms = self.waited_ms,
            ahead_tokens = self.ahead_tokens,
            attempts = self.attempts,
            not_sent = self.not_sent,
            candidates = self.candidates,
            running = self.running,
            load_age_ms = self.load_age_ms,
            pace_tokens_per_s = self.pace.map_or(0, |(pace, _age)| pace.tokens_per_s()),
            pace_age_ms = self.pace.map_or(0, |(_pace, age)| age.as_millis()),
            expected_service_ms = self
                .expected
                .map_or(0, |expected| expected.service.as_millis()),
            expected_ms = self
                .expected
                .map_or(0, |expected| expected.ends_in.as_millis()),
            table = job.table_number,
            table_age_ms = job.gateway.routing.contact.age().as_millis(),
            list = job.endpoints_version,
            first_ms = self.first_chunk.map_or(0, |time| time.as_millis()),
            ms = job.arrived.elapsed().as_millis()
        );
    }
}

/// Returns the tokens of the prompt and the maximum of the answer; zeros for a plain request.
pub(crate) fn tokens_of(prompt: Option<&Prompt>) -> (u32, u32) {
    prompt.map_or((0, 0), |prompt| {
        (prompt.prompt_tokens, prompt.max_answer_tokens)
    })
}

/// Returns the ids of endpoints, joined by commas.
fn ids_of(endpoints: &[Arc<Endpoint>]) -> String {
    joined(endpoints, |endpoint| &endpoint.description.id)
}

/// Returns the software versions of endpoints, joined by commas.
fn versions_of(endpoints: &[Arc<Endpoint>]) -> String {
    joined(endpoints, |endpoint| &endpoint.description.software_version)
}

fn joined(endpoints: &[Arc<Endpoint>], text: impl Fn(&Endpoint) -> &str) -> String {
    let texts: SmallVec<[&str; 2]> = endpoints.iter().map(|endpoint| text(endpoint)).collect();
    texts.join(",")
}
