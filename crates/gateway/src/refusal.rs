//! The error answers that a gateway gives by itself.

use std::time::Duration;

use bytes::Bytes;
use hinge_routing::Overloaded;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};

use crate::body::AnswerBody;

/// Retry delay for a request that neither this gateway nor others of its data centre have room for: the limits adapt from one
/// window to the next, and some requests in progress have ended by then.
const NO_ROOM_RETRY: Duration = Duration::from_millis(200);

/// Retry delay for a held request or prompt part, which mostly stays held until an operator releases it.
const HELD_RETRY: Duration = Duration::from_hours(1);

/// The reason why a gateway answers a request by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No route matches the request's host and path.
    NoRoute,
    /// The request has no key, or one that belongs to no team.
    NoTeam,
    /// The gateway has no route table yet.
    NoTable,
    /// The body is too long.
    TooLong,
    /// The body did not arrive whole.
    BadBody,
    /// Other bodies have used up the memory for its own; it did not run.
    NoMemory,
    /// Too many requests are in progress; it did not run.
    NoPlace,
    /// No endpoint could take it; it did not run.
    NotRun {
        /// Delay after which capacity is expected.
        retry_after: Duration,
    },
    /// Several endpoints ended while they ran it, so it is no longer sent to any; this attempt did not run.
    Held,
    /// Several endpoints ended while they worked on requests with a part of its prompt; this attempt did not run.
    HeldPart,
    /// It takes up a stream that no endpoint can be shown to continue; this attempt did not run.
    CannotResume,
    /// This gateway is overloaded, and no other one accepts it; it did not run.
    Overloaded(Overloaded),
    /// An endpoint may have run it, and its answer is lost.
    Unknown,
    /// The deadline passed while an endpoint worked on it.
    TimedOut,
    /// This gateway has stopped as planned before there was an answer; an endpoint may have run it.
    Stopped,
}

impl Refusal {
    /// Returns the refusal of a request that is held by itself, or because of parts of its prompt.
    pub(crate) fn held(has_held_parts: bool) -> Self {
        if has_held_parts {
            Self::HeldPart
        } else {
            Self::Held
        }
    }

    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoTeam => StatusCode::UNAUTHORIZED,
            Self::NoTable
            | Self::NoMemory
            | Self::NoPlace
            | Self::NotRun { .. }
            | Self::Held
            | Self::HeldPart
            | Self::CannotResume
            | Self::Overloaded(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadBody => StatusCode::BAD_REQUEST,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut | Self::Stopped => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the name under which it is logged and counted.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NoTeam => "no_team",
            Self::NoTable => "no_table",
            Self::TooLong => "body_too_long",
            Self::BadBody => "bad_body",
            Self::NoMemory => "no_memory",
            Self::NoPlace => "no_place",
            Self::NotRun { .. } => "not_run",
            Self::Held => "held",
            Self::HeldPart => "held_part",
            Self::CannotResume => "cannot_resume",
            Self::Overloaded(_) => "overloaded",
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
            Self::Stopped => "stopped",
        }
    }

    fn text(self) -> &'static str {
        match self {
            Self::NoRoute => "No route has this host and path.\n",
            Self::NoTeam => "The key is missing, or no team holds it.\n",
            Self::NoTable => "This instance has no configuration yet; the request did not run.\n",
            Self::TooLong => "The body is too long.\n",
            Self::BadBody => "The body did not arrive whole.\n",
            Self::NoMemory => "This instance holds too many bodies; the request did not run.\n",
            Self::NoPlace => {
                "This instance has too many requests in progress; the request did not run.\n"
            }
            Self::NotRun { .. } => "No endpoint could take the request; it did not run.\n",
            Self::Held => {
                "Endpoints ended while they worked on this request before; it did not run.\n"
            }
            Self::HeldPart => {
                "Endpoints ended while they worked on requests with a part of this prompt; it did not run.\n"
            }
            Self::CannotResume => {
                "The stream can't continue after its last event; this attempt did not run.\n"
            }
            Self::Overloaded(_) => "This instance has too much to do; the request did not run.\n",
            Self::Unknown => "The endpoint's answer is lost; the request may have run.\n",
            Self::TimedOut => "The time ran out; the request may have run.\n",
            Self::Stopped => "This instance stops; the request may have run.\n",
        }
    }

    pub(crate) fn response(self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::Whole(Bytes::from_static(
            self.text().as_bytes(),
        )));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let retry_after = match self {
            Self::NotRun { retry_after } => Some(retry_after),
            Self::NoTable => Some(Duration::from_secs(1)),
            Self::Overloaded(_) | Self::NoMemory | Self::NoPlace => Some(NO_ROOM_RETRY),
            Self::Held | Self::HeldPart => Some(HELD_RETRY),
            _ => None,
        };
        if let Some(time) = retry_after {
            let text = format!("{:.3}", time.as_secs_f64());
            headers.insert(
                RETRY_AFTER,
                text.parse().expect("a number is a header value"),
            );
        }
        response
    }
}
