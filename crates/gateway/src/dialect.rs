//! The interface between the gateway and the headers on the wire.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use hinge_routing::Prompt;
use http::{HeaderMap, StatusCode};

/// What a request's headers say.
#[derive(Debug, Clone, Default)]
pub struct RequestFacts {
    /// Id of this attempt of the caller.
    pub request_id: Option<Box<str>>,
    /// How long the caller waits, counted from the arrival of the request.
    pub deadline: Option<Duration>,
    /// Key that authenticates the caller's team.
    pub key: Option<Box<str>>,
    /// Prompt and answer size of a request to a model engine.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has received of a stream that it resumes.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream that it resumes.
    pub resumes: Option<Box<str>>,
}

/// What the gateway tells an endpoint in a request's headers.
#[derive(Debug, Clone, Copy)]
pub struct ForwardFacts<'a> {
    /// Id of the endpoint that is meant; any other must not run the request.
    pub endpoint: &'a str,
    /// Team that the key authenticated.
    pub team: Option<&'a str>,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Last event that the caller has received.
    pub last_event: Option<u64>,
    /// Engine from which the endpoint fetches the cached part of the prompt before it prefills the rest.
    pub fetch_from: Option<SocketAddr>,
}

/// An endpoint's load as it reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// How long work takes there at this moment, 1000 as usual; `None` if it does not say.
    pub work_permille: Option<u32>,
}

/// What an endpoint did with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// It answered; the request may have run, whatever the status.
    Answer,
    /// It did not run the request.
    NotRun,
    /// It is not the endpoint that the request named, and did not run it.
    WrongEndpoint,
}

/// What the headers of an endpoint's answer say.
#[derive(Debug, Clone, Copy)]
pub struct AnswerFacts {
    /// Whether the answer belongs to the request that was sent.
    pub is_ours: bool,
    /// Whether the endpoint signed it; an unsigned success is not accepted as its answer.
    pub is_signed: bool,
    /// What the endpoint did with the request.
    pub disposition: Disposition,
    /// Load of the endpoint.
    pub load: Option<EndpointLoad>,
    /// For how long the endpoint wants no requests from this instance.
    pub backoff: Option<Duration>,
    /// Whether the endpoint announces that it is shutting down.
    pub is_leaving: bool,
}

/// Reads and writes the headers on the wire.
pub trait Dialect: Debug + Send + Sync + 'static {
    /// Reads a request's headers.
    fn read_request(&self, headers: &HeaderMap) -> RequestFacts;

    /// Turns the caller's headers, without the hop-by-hop ones, into those for the endpoint.
    fn write_request(&self, headers: &mut HeaderMap, forward: &ForwardFacts<'_>);

    /// Writes the caller's remaining time, for another gateway that receives the request with all its other headers.
    fn write_remaining(&self, headers: &mut HeaderMap, remaining: Duration);

    /// Reads the headers of an answer to the request with this id.
    fn read_answer(
        &self,
        request_id: Option<&str>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerFacts;
}
