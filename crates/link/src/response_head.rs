//! Checks the head of an HTTP/1 response beyond what the HTTP library checks.
//!
//! The library reads a body with an unknown transfer coding until the connection closes, decodes the last one of several codings,
//! prefers chunks to a length that is stated as well, and accepts every status from 100 to 999. A damaged head would thus give a
//! body that its sender did not mean.

use std::fmt;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, StatusCode};

/// The statuses of final responses (RFC 9110, section 15).
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// What ends the body of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// Its length in bytes.
    Length(u64),
    /// Its last chunk.
    LastChunk,
    /// The close of its connection, which looks the same after a crash of the sender.
    Close,
}

impl BodyEnd {
    /// Reads the end of the body from the head of the response to a request with this method.
    ///
    /// # Errors
    ///
    /// Returns an error when the head contradicts itself or is not that of a final response, so that its body is not known.
    pub fn read(
        method: &Method,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Self, InvalidHead> {
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            return Err(InvalidHead::Status);
        }
        let length = only_value(headers, &CONTENT_LENGTH, InvalidHead::Length)?;
        let length = length.map(parse_length).transpose()?;
        let coding = only_value(headers, &TRANSFER_ENCODING, InvalidHead::TransferCoding)?;
        if coding.is_some_and(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
            return Err(InvalidHead::TransferCoding);
        }
        if length.is_some() && coding.is_some() {
            return Err(InvalidHead::LengthAndChunks);
        }
        let has_no_body = status == StatusCode::NO_CONTENT;
        if has_no_body && (coding.is_some() || length.is_some_and(|bytes| bytes > 0)) {
            return Err(InvalidHead::BodyOfNoContent);
        }
        if has_no_body || status == StatusCode::NOT_MODIFIED || method == Method::HEAD {
            return Ok(Self::Length(0));
        }
        Ok(match (length, coding) {
            (Some(bytes), _) => Self::Length(bytes),
            (None, Some(_chunked)) => Self::LastChunk,
            (None, None) => Self::Close,
        })
    }

    /// Returns whether the response itself tells where its body ends.
    #[must_use]
    pub fn is_stated(self) -> bool {
        self != Self::Close
    }
}

/// The error that the head of a response is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidHead {
    /// The status is not one of a final response.
    Status,
    /// The length is not one number.
    Length,
    /// The transfer coding is another one than `chunked`.
    TransferCoding,
    /// There is a length beside a transfer coding.
    LengthAndChunks,
    /// A body is stated for a status without one.
    BodyOfNoContent,
}

impl InvalidHead {
    /// Returns the cause for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Status => "the status of the answer is not that of a final response",
            Self::Length => "the length of the answer is not one number",
            Self::TransferCoding => "the transfer coding of the answer is not \"chunked\"",
            Self::LengthAndChunks => "the answer has a length and a transfer coding",
            Self::BodyOfNoContent => "the answer states a body that its status excludes",
        }
    }
}

impl fmt::Display for InvalidHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for InvalidHead {}

/// Returns the value of a header that may be there once.
fn only_value<'a>(
    headers: &'a HeaderMap,
    name: &http::HeaderName,
    repeated: InvalidHead,
) -> Result<Option<&'a HeaderValue>, InvalidHead> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    match values.next() {
        Some(_another) => Err(repeated),
        None => Ok(value),
    }
}

fn parse_length(value: &HeaderValue) -> Result<u64, InvalidHead> {
    let text = value.to_str().map_err(|_no_text| InvalidHead::Length)?;
    // `parse` would accept a sign.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(InvalidHead::Length);
    }
    text.parse()
        .map_err(|_empty_or_too_long| InvalidHead::Length)
}
