//! Checks which headers delimit an answer.

use hinge_cases::cases;
use http::HeaderMap;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};

use super::is_self_delimited;

fn check_delimited((header, value, expected): (HeaderName, &'static str, bool)) {
    let mut headers = HeaderMap::new();
    headers.insert(header, value.parse().expect("it is text"));
    assert_eq!(is_self_delimited(&headers), expected);
}

cases! { check_delimited:
    a_length_delimits_the_answer => (CONTENT_LENGTH, "3", true),
    chunked_encoding_delimits_the_answer => (TRANSFER_ENCODING, "chunked", true),
    the_close_of_the_connection_does_not => (CONNECTION, "close", false),
}
