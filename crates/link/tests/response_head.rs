//! Checks which heads of responses are valid, and what ends their bodies.

use hinge_cases::cases;
use hinge_link::{BodyEnd, InvalidHead};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};

/// A method, a status, the headers, and what ends the body.
type Case = (
    Method,
    u16,
    &'static [(&'static str, &'static str)],
    Result<BodyEnd, InvalidHead>,
);

fn check((method, status, lines, expected): Case) {
    let status = StatusCode::from_u16(status).expect("the library accepts the status");
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        headers.append(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    assert_eq!(BodyEnd::read(&method, status, &headers), expected);
}

cases! { check:
    a_length_ends_the_body => (Method::GET, 200, &[("content-length", "3")], Ok(BodyEnd::Length(3))),
    the_longest_length_ends_the_body => (Method::GET, 200, &[("content-length", "18446744073709551615")], Ok(BodyEnd::Length(u64::MAX))),
    the_last_chunk_ends_the_body => (Method::POST, 200, &[("transfer-encoding", "chunked")], Ok(BodyEnd::LastChunk)),
    the_name_of_the_coding_has_no_case => (Method::POST, 200, &[("transfer-encoding", "Chunked")], Ok(BodyEnd::LastChunk)),
    the_close_of_the_connection_ends_the_body => (Method::GET, 200, &[("connection", "close")], Ok(BodyEnd::Close)),
    an_error_has_a_body => (Method::GET, 599, &[("content-length", "3")], Ok(BodyEnd::Length(3))),
    the_answer_to_head_has_none => (Method::HEAD, 200, &[("content-length", "3")], Ok(BodyEnd::Length(0))),
    an_unmodified_one_has_none => (Method::GET, 304, &[("content-length", "3")], Ok(BodyEnd::Length(0))),
    no_content_has_none => (Method::GET, 204, &[], Ok(BodyEnd::Length(0))),
    no_content_may_state_that => (Method::GET, 204, &[("content-length", "0")], Ok(BodyEnd::Length(0))),

    an_unknown_coding_is_refused => (Method::GET, 200, &[("transfer-encoding", "chunke")], Err(InvalidHead::TransferCoding)),
    a_second_coding_is_refused => (Method::GET, 200, &[("transfer-encoding", "gzip, chunked")], Err(InvalidHead::TransferCoding)),
    a_coding_on_two_lines_is_refused => (Method::GET, 200, &[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")], Err(InvalidHead::TransferCoding)),
    an_empty_coding_is_refused => (Method::GET, 200, &[("transfer-encoding", "")], Err(InvalidHead::TransferCoding)),
    a_length_beside_chunks_is_refused => (Method::GET, 200, &[("transfer-encoding", "chunked"), ("content-length", "3")], Err(InvalidHead::LengthAndChunks)),
    two_lengths_are_refused => (Method::GET, 200, &[("content-length", "3"), ("content-length", "4")], Err(InvalidHead::Length)),
    a_list_of_lengths_is_refused => (Method::GET, 200, &[("content-length", "3, 3")], Err(InvalidHead::Length)),
    an_empty_length_is_refused => (Method::GET, 200, &[("content-length", "")], Err(InvalidHead::Length)),
    a_length_with_a_sign_is_refused => (Method::GET, 200, &[("content-length", "+3")], Err(InvalidHead::Length)),
    a_length_with_letters_is_refused => (Method::GET, 200, &[("content-length", "3x")], Err(InvalidHead::Length)),
    a_length_beyond_64_bits_is_refused => (Method::GET, 200, &[("content-length", "18446744073709551616")], Err(InvalidHead::Length)),
    an_invalid_length_of_no_body_is_refused => (Method::HEAD, 200, &[("content-length", "3x")], Err(InvalidHead::Length)),
    an_informational_status_is_refused => (Method::GET, 199, &[], Err(InvalidHead::Status)),
    a_switch_of_protocols_is_refused => (Method::GET, 101, &[("content-length", "3")], Err(InvalidHead::Status)),
    a_status_beyond_all_classes_is_refused => (Method::GET, 600, &[("content-length", "3")], Err(InvalidHead::Status)),
    the_highest_status_is_refused => (Method::GET, 999, &[("content-length", "3")], Err(InvalidHead::Status)),
    no_content_with_a_length_is_refused => (Method::GET, 204, &[("content-length", "3")], Err(InvalidHead::BodyOfNoContent)),
    no_content_with_chunks_is_refused => (Method::GET, 204, &[("transfer-encoding", "chunked")], Err(InvalidHead::BodyOfNoContent)),
}
