//! Output of answers to one stream, and of progress and errors to another.

use std::fmt::Display;
use std::io::Write;

use serde::Serialize;

use crate::failure::Failure;

/// The two output streams of a command.
pub struct Streams<'w> {
    out: &'w mut dyn Write,
    notes: &'w mut dyn Write,
}

impl std::fmt::Debug for Streams<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Streams")
    }
}

impl<'w> Streams<'w> {
    /// Creates streams for answers and for notes, such as standard output and standard error.
    #[must_use]
    pub fn new(out: &'w mut dyn Write, notes: &'w mut dyn Write) -> Self {
        Self { out, notes }
    }

    /// Writes an answer. A write error is ignored: the reader has gone away, such as `head`, and needs no more output.
    pub fn print(&mut self, text: &str) {
        let _reader_gone = writeln!(self.out, "{text}").and_then(|()| self.out.flush());
    }

    /// Writes a note. A write error is ignored, as in [`Self::print`].
    pub fn note(&mut self, text: &str) {
        let _reader_gone = writeln!(self.notes, "{text}").and_then(|()| self.notes.flush());
    }
}

/// Writer of answers, as text or as JSON.
pub(crate) struct Output<'s, 'w> {
    streams: &'s mut Streams<'w>,
    is_json: bool,
}

impl<'s, 'w> Output<'s, 'w> {
    pub(crate) fn new(streams: &'s mut Streams<'w>, is_json: bool) -> Self {
        Self { streams, is_json }
    }

    /// Writes an answer.
    pub(crate) fn show<T: Display + Serialize>(&mut self, answer: &T) -> Result<(), Failure> {
        if !self.is_json {
            self.streams.print(answer.to_string().trim_end());
            return Ok(());
        }
        let text = serde_json::to_string_pretty(answer)
            .map_err(|error| Failure::failed(format!("can't write the answer as JSON: {error}")))?;
        self.streams.print(&text);
        Ok(())
    }

    /// Writes text unchanged.
    pub(crate) fn print(&mut self, text: &str) {
        self.streams.print(text);
    }

    /// Writes a progress note, which is not part of the answer.
    pub(crate) fn note(&mut self, text: &str) {
        self.streams.note(text);
    }

    /// Writes a failure as a note, and with `--json` as the answer too.
    pub(crate) fn fail(&mut self, failure: &Failure) {
        self.streams.note(&failure.to_string());
        if self.is_json {
            self.streams.print(&format!("{:#}", failure.json()));
        }
    }
}
