//! Checks which headers delimit an answer.

use hinge_cases::cases;
use http::HeaderMap;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};

use super::has_own_end;

fn shows_its_end((header, value, shows): (HeaderName, &'static str, bool)) {
    let mut headers = HeaderMap::new();
    headers.insert(header, value.parse().expect("it is text"));
    assert_eq!(has_own_end(&headers), shows);
}

cases! { shows_its_end:
    a_length_delimits_the_answer => (CONTENT_LENGTH, "3", true),
    chunked_encoding_delimits_the_answer => (TRANSFER_ENCODING, "chunked", true),
    the_close_of_the_connection_does_not => (CONNECTION, "close", false),
}
