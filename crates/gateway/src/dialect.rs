//! Defines what a gateway must know of the headers on the wire.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use hinge_routing::Prompt;
use http::{HeaderMap, StatusCode};

/// Holds what a request's headers say.
#[derive(Debug, Clone, Default)]
pub struct RequestFacts {
    /// Number of this attempt of the caller.
    pub request_id: Option<Box<str>>,
    /// How long the caller waits, from the arrival of the request on.
    pub deadline: Option<Duration>,
    /// Key that proves the caller's team.
    pub key: Option<Box<str>>,
    /// Prompt and answer of a request to a model engine.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of a stream that it resumes.
    pub last_event: Option<u64>,
}

/// Holds what the gateway tells the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ForwardFacts<'a> {
    /// Number of the endpoint's start; another one must not run the request.
    pub endpoint: &'a str,
    /// Team that the key proved.
    pub team: Option<&'a str>,
    /// Time that is left.
    pub remaining: Duration,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Engine from which it copies what that one keeps of the prompt, before it reads the rest.
    pub fetch_from: Option<SocketAddr>,
}

/// Holds an endpoint's load as it told it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Says what an endpoint made of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// It answers; the request may have run, whatever the status.
    Answer,
    /// It did not run the request.
    NotRun,
    /// It is another endpoint than the one that was named, and did not run the request.
    WrongEndpoint,
}

/// Holds what the headers of an endpoint's answer say.
#[derive(Debug, Clone, Copy)]
pub struct AnswerFacts {
    /// Whether it answers the request that was sent.
    pub is_ours: bool,
    /// Whether the endpoint signed it; bytes without a signature are nobody's answer.
    pub is_signed: bool,
    /// What the endpoint says of the request.
    pub disposition: Disposition,
    /// Its load.
    pub load: Option<EndpointLoad>,
    /// For how long it wants no request from this instance.
    pub backoff: Option<Duration>,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
}

/// Reads and writes headers; the gateway's edge towards the wire.
pub trait Dialect: Debug + Send + Sync + 'static {
    /// Reads a request's headers.
    fn read_request(&self, headers: &HeaderMap) -> RequestFacts;

    /// Writes the headers for the endpoint, from those of the caller without the ones of its connection.
    fn write_request(&self, headers: &mut HeaderMap, forward: &ForwardFacts<'_>);

    /// Writes how long the caller still waits, for another gateway that takes the request with all its other headers.
    fn write_remaining(&self, headers: &mut HeaderMap, remaining: Duration);

    /// Reads the headers of an answer to a request with this number.
    fn read_answer(
        &self,
        request_id: Option<&str>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerFacts;
}
