//! Reads the lines back that [`crate::log`] writes.

use crate::log::Level;

/// Holds one line of a log, taken apart.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    /// Time as it was written; such times order like their text.
    pub time: Box<str>,
    /// Level.
    pub level: Level,
    /// Part of the program, without its brackets.
    pub part: Box<str>,
    /// Sentence, with its full stop.
    pub sentence: Box<str>,
    /// Keys and values, in their order.
    pub pairs: Vec<(Box<str>, Box<str>)>,
}

impl Line {
    /// Takes a line apart; none when it was not written by a process of the fleet.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        let (time, rest) = text.trim_end().split_once(' ')?;
        let (level, rest) = rest.split_once(" [")?;
        let (part, rest) = rest.split_once("] ")?;
        let (sentence, pairs) = split_sentence(rest);
        Some(Self {
            time: time.into(),
            level: Level::named(level)?,
            part: part.into(),
            sentence: unescape(sentence),
            pairs: read_pairs(pairs)?,
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

/// Splits the sentence from the first pair: a word with an equals sign, which no sentence has.
fn split_sentence(text: &str) -> (&str, &str) {
    let Some(equals) = text.find('=') else {
        return (text, "");
    };
    match text[..equals].rfind(' ') {
        Some(space) => (&text[..space], &text[space + 1..]),
        None => ("", text),
    }
}

fn read_pairs(mut text: &str) -> Option<Vec<(Box<str>, Box<str>)>> {
    let mut pairs = Vec::new();
    while !text.is_empty() {
        let (key, rest) = text.split_once('=')?;
        let (value, rest) = split_value(rest)?;
        pairs.push((key.into(), unescape(value)));
        text = rest.trim_start_matches(' ');
    }
    Some(pairs)
}

/// Splits a value, quoted or not, from what follows it.
fn split_value(text: &str) -> Option<(&str, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        return Some(text.split_once(' ').unwrap_or((text, "")));
    };
    let mut is_escaped = false;
    for (place, c) in quoted.char_indices() {
        match c {
            _ if is_escaped => is_escaped = false,
            '\\' => is_escaped = true,
            '"' => return Some((&quoted[..place], &quoted[place + 1..])),
            _ => {}
        }
    }
    None
}

/// Undoes the escapes of characters that would forge a line; what is no escape stays as it is.
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

/// Reads one escape, behind its backslash, and returns it with what follows.
fn unescape_first(text: &str) -> (char, &str) {
    if let Some((c, after)) = unescape_number(text) {
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

/// Reads the number of a character, written as `u{1b}`.
fn unescape_number(text: &str) -> Option<(char, &str)> {
    let (digits, after) = text.strip_prefix("u{")?.split_once('}')?;
    let number = u32::from_str_radix(digits, 16).ok()?;
    Some((char::from_u32(number)?, after))
}
