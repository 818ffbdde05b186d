//! Checks what an answer's headers say of its end.

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
    a_length_shows_the_end => (CONTENT_LENGTH, "3", true),
    the_last_chunk_shows_the_end => (TRANSFER_ENCODING, "chunked", true),
    the_end_of_the_connection_proves_nothing => (CONNECTION, "close", false),
}
