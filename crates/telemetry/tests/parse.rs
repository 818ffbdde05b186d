//! Tests that lines are parsed as they were written.

use std::fmt::Display;
use std::time::Duration;

use hinge_cases::cases;
use hinge_telemetry::log::{Component, Level, body, line};
use hinge_telemetry::parse::Line;
use quickcheck::quickcheck;

fn round_trips(value: &str) -> bool {
    let pairs: [(&'static str, &dyn Display); 2] = [("id", &value), ("ms", &12)];
    let text = line(
        Duration::ZERO,
        "warn",
        &body(Component::Gateway, "Request.", &pairs),
    );
    let parsed = Line::parse(&text).expect("it was written by this crate");
    let is_whole = value.len() <= 512;
    parsed.level == Level::Warn
        && &*parsed.component == "gateway"
        && &*parsed.sentence == "Request."
        && (!is_whole || parsed.get("id") == Some(value))
        && parsed.get("ms") == Some("12")
}

fn assert_round_trip(value: &str) {
    assert!(round_trips(value), "{value:?}");
}

fn assert_no_line(text: &str) {
    assert_eq!(Line::parse(text), None);
}

cases! { assert_round_trip:
    a_plain_value => "4e10f670df98758e",
    an_empty_value => "",
    a_value_with_spaces => "the admission refused",
    a_value_with_an_equals_sign => "a=b c=d",
    a_value_with_quotes => "say \"no\"",
    a_value_with_backslashes => "\\u{1b} \\n \\\\",
    a_value_with_line_ends => "a\r\n\tb",
    a_value_with_a_terminal_sequence => "\u{1b}[31m",
}

cases! { assert_no_line:
    nothing => "",
    text_of_another_program => "thread 'main' panicked at src/main.rs",
    an_unknown_level => "1970-01-01T00:00:00.000Z loud [gateway] Request. id=1",
    an_unterminated_quote => "1970-01-01T00:00:00.000Z info [gateway] Request. id=\"1",
}

cases! {
    a_sentence_alone_has_no_pairs => {
        let text = "1970-01-01T00:00:00.000Z info [raft] Leading now.";
        let parsed = Line::parse(text).expect("it is a line");
        assert_eq!(&*parsed.sentence, "Leading now.");
        assert!(parsed.pairs.is_empty());
    }
}

quickcheck! {
    fn any_value_round_trips(value: String) -> bool {
        round_trips(&value)
    }
}
