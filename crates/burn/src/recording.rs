//! Recordings of scraped metrics pages over time, as JSON lines in a file.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::{self, Display};

use serde::{Deserialize, Serialize};

use crate::page::Sample;

/// One line of a recording.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// The metrics page of an instance.
    Scrape(Scrape),
    /// A scrape that failed.
    Missing(Missing),
    /// The slots of the endpoints, as control lists them.
    Slots(Slots),
}

/// The metrics page of one instance at one time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Scrape {
    /// Time, in milliseconds since 1970.
    pub at_ms: u64,
    /// Instance.
    pub instance: Box<str>,
    /// Samples of the page.
    pub samples: Vec<Sample>,
}

/// A scrape of an instance that failed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Missing {
    /// Time, in milliseconds since 1970.
    pub at_ms: u64,
    /// Instance.
    pub instance: Box<str>,
    /// Cause.
    pub cause: Box<str>,
}

/// The endpoints and their slots at one time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Slots {
    /// Time, in milliseconds since 1970.
    pub at_ms: u64,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// The endpoint of one sidecar.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Endpoint {
    /// Sidecar.
    pub instance: Box<str>,
    /// Pool.
    pub pool: Box<str>,
    /// Most requests that the endpoint runs at once.
    pub slots: u32,
}

/// A line of a recording that can't be parsed.
#[derive(Debug)]
pub struct RecordingError {
    line: usize,
    cause: serde_json::Error,
}

impl Display for RecordingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {} of the samples: {}", self.line, self.cause)
    }
}

impl Error for RecordingError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&self.cause)
    }
}

/// A recording, grouped by instance and ordered by time.
#[derive(Clone, Debug, Default)]
pub struct Recording {
    pub(crate) scrapes: BTreeMap<Box<str>, Vec<Scrape>>,
    pub(crate) missing: BTreeMap<Box<str>, Vec<Missing>>,
    pub(crate) endpoints: BTreeMap<Box<str>, Endpoint>,
    /// Whether the last line is truncated, as when the writer was stopped.
    pub is_cut: bool,
}

impl Recording {
    /// Parses JSON lines. A truncated last line is left out and noted; any other invalid line is an error.
    ///
    /// # Errors
    ///
    /// Returns the first line that is not a record.
    pub fn parse(text: &str) -> Result<Self, RecordingError> {
        let mut records = Vec::new();
        let mut is_cut = false;
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            match serde_json::from_str(line) {
                Ok(record) => records.push(record),
                Err(_truncated) if index + 1 == text.lines().count() && !text.ends_with('\n') => {
                    is_cut = true;
                }
                Err(cause) => {
                    return Err(RecordingError {
                        line: index + 1,
                        cause,
                    });
                }
            }
        }
        let mut recording = Self::collect(records);
        recording.is_cut = is_cut;
        Ok(recording)
    }

    /// Groups records by instance and sorts them by time; a second page of an instance with the same time is left out.
    #[must_use]
    pub fn collect(records: impl IntoIterator<Item = Record>) -> Self {
        let mut recording = Self::default();
        for record in records {
            match record {
                Record::Scrape(scrape) => recording
                    .scrapes
                    .entry(scrape.instance.clone())
                    .or_default()
                    .push(scrape),
                Record::Missing(missing) => recording
                    .missing
                    .entry(missing.instance.clone())
                    .or_default()
                    .push(missing),
                Record::Slots(slots) => recording.endpoints.extend(
                    slots
                        .endpoints
                        .into_iter()
                        .map(|endpoint| (endpoint.instance.clone(), endpoint)),
                ),
            }
        }
        for scrapes in recording.scrapes.values_mut() {
            scrapes.sort_by_key(|scrape| scrape.at_ms);
            scrapes.dedup_by_key(|scrape| scrape.at_ms);
        }
        recording
    }

    /// Returns the times of the first and the last page, in milliseconds since 1970.
    #[must_use]
    pub fn span_ms(&self) -> Option<(u64, u64)> {
        let times = || self.scrapes.values().flatten().map(|scrape| scrape.at_ms);
        Some((times().min()?, times().max()?))
    }
}

impl Record {
    /// Returns the record as one line, with the newline.
    ///
    /// # Panics
    ///
    /// Panics when the record can't be written as JSON, which doesn't happen because its numbers are finite.
    #[must_use]
    pub fn line(&self) -> String {
        let text = serde_json::to_string(self).expect("a record has a JSON form");
        format!("{text}\n")
    }
}
