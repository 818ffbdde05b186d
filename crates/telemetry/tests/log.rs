//! Tests of the line that a record is written as.

use std::fmt::Display;
use std::time::Duration;

use hinge_cases::cases;
use hinge_telemetry::log::{Component, body, line};
use quickcheck::quickcheck;

fn value_is_written((value, want): (&str, &str)) {
    let text = body(Component::Entry, "Said.", &[("value", &value)]);
    assert_eq!(text, format!("[entry] Said. value={want}"));
}

fn time_is_written((ms, want): (u64, &str)) {
    let text = line(Duration::from_millis(ms), "info", "[entry] Ready.");
    assert_eq!(text, format!("{want} info [entry] Ready."));
}

cases! { value_is_written:
    plain_text_is_unchanged => ("10.0.0.1:80", "10.0.0.1:80"),
    text_with_spaces_is_quoted => ("two words", "\"two words\""),
    an_empty_text_is_quoted => ("", "\"\""),
    a_line_end_can_not_forge_a_record => ("a\n2030 error [raft]", "\"a\\n2030 error [raft]\""),
    a_terminal_sequence_is_escaped => ("\u{1b}[31m", "\"\\u{1b}[31m\""),
    a_quote_does_not_end_the_value => ("a\" admin=\"yes", "\"a\\\" admin=\\\"yes\""),
    an_equals_sign_is_quoted => ("a=b", "\"a=b\""),
    a_change_of_text_direction_is_escaped => ("a\u{202e}b", "a\\u{202e}b"),
}

cases! { time_is_written:
    the_epoch => (0, "1970-01-01T00:00:00.000Z"),
    a_leap_day => (951_782_400_000, "2000-02-29T00:00:00.000Z"),
    after_a_leap_day => (1_709_251_199_999, "2024-02-29T23:59:59.999Z"),
    the_first_of_march => (1_709_251_200_000, "2024-03-01T00:00:00.000Z"),
}

cases! {
    a_long_value_is_cut => {
        let text = body(Component::Link, "Said.", &[("value", &"ü".repeat(10_000))]);
        assert!(text.len() < 600 && text.ends_with('…'));
    }
}

quickcheck! {
    fn a_record_is_one_line_without_control_characters(sentence: String, value: String) -> bool {
        let pairs: [(&'static str, &dyn Display); 1] = [("value", &value)];
        !body(Component::Config, &sentence, &pairs).chars().any(char::is_control)
    }
}
