//! A parser for the lines that [`crate::log`] writes.

use crate::log::Level;

/// A parsed log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    /// Time as text; the text sorts in the order of time.
    pub time: Box<str>,
    /// Severity.
    pub level: Level,
    /// Component that wrote the line, without its brackets.
    pub component: Box<str>,
    /// Sentence, with its full stop.
    pub sentence: Box<str>,
    /// Keys and values, in the order in which they were written.
    pub pairs: Vec<(Box<str>, Box<str>)>,
}

impl Line {
    /// Parses a line; returns none for a line that no process of the fleet wrote.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (time, rest) = text.trim_end().split_once(' ')?;
        let (level, rest) = rest.split_once(" [")?;
        let (component, rest) = rest.split_once("] ")?;
        let (sentence, pairs) = split_sentence(rest);
        Some(Self {
            time: time.into(),
            level: Level::from_name(level)?,
            component: component.into(),
            sentence: unescape(sentence),
            pairs: parse_pairs(pairs)?,
        })
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        let mut pairs = self.pairs.iter();
        pairs
            .find(|(name, _)| **name == *key)
            .map(|(_, value)| &**value)
    }
}

/// Splits a text before its first pair, which begins with the only word that has an equals sign; no sentence contains one.
fn split_sentence(text: &str) -> (&str, &str) {
    let Some(equals) = text.find('=') else {
        return (text, "");
    };
    match text[..equals].rfind(' ') {
        Some(space) => (&text[..space], &text[space + 1..]),
        None => ("", text),
    }
}

fn parse_pairs(mut text: &str) -> Option<Vec<(Box<str>, Box<str>)>> {
    let mut pairs = Vec::new();
    while !text.is_empty() {
        let (key, rest) = text.split_once('=')?;
        let (value, rest) = split_value(rest)?;
        pairs.push((key.into(), unescape(value)));
        text = rest.trim_start_matches(' ');
    }
    Some(pairs)
}

/// Splits a value, quoted or not, from the rest of the text.
fn split_value(text: &str) -> Option<(&str, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        return Some(text.split_once(' ').unwrap_or((text, "")));
    };
    let mut is_escaped = false;
    for (offset, c) in quoted.char_indices() {
        match c {
            _ if is_escaped => is_escaped = false,
            '\\' => is_escaped = true,
            '"' => return Some((&quoted[..offset], &quoted[offset + 1..])),
            _ => {}
        }
    }
    None
}

/// Replaces the escape sequences of [`crate::log`] by their characters.
fn unescape(text: &str) -> Box<str> {
    let mut plain = String::with_capacity(text.len());
    let mut rest = text;
    while let Some((before, escape)) = rest.split_once('\\') {
        plain.push_str(before);
        let (c, after) = unescape_first(escape);
        plain.push(c);
        rest = after;
    }
    plain.push_str(rest);
    plain.into()
}

/// Parses the escape sequence after a backslash, and returns its character with the rest of the text.
fn unescape_first(text: &str) -> (char, &str) {
    if let Some((c, after)) = unescape_code_point(text) {
        return (c, after);
    }
    let mut chars = text.chars();
    let c = match chars.next() {
        Some('n') => '\n',
        Some('r') => '\r',
        Some('t') => '\t',
        Some(other) => other,
        None => '\\',
    };
    (c, chars.as_str())
}

/// Parses the code point of a character, written as `u{1b}`.
fn unescape_code_point(text: &str) -> Option<(char, &str)> {
    let (digits, after) = text.strip_prefix("u{")?.split_once('}')?;
    let number = u32::from_str_radix(digits, 16).ok()?;
    Some((char::from_u32(number)?, after))
}
