//! Parses a metrics page in the Prometheus text format or the `OpenMetrics` format.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::{self, Display};
use std::iter::Peekable;
use std::str::Chars;

use serde::{Deserialize, Serialize};

/// The labels of a series by name.
pub type Labels = BTreeMap<Box<str>, Box<str>>;

/// A series: the name of a metric with its labels.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Series {
    /// Name of the metric.
    pub name: Box<str>,
    /// Labels.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub labels: Labels,
}

impl Series {
    /// Returns the value of a label, or an empty string.
    #[must_use]
    pub fn label(&self, name: &str) -> &str {
        self.labels.get(name).map_or("", |value| value)
    }
}

/// The value of a series on one page.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sample {
    /// Series.
    #[serde(flatten)]
    pub series: Series,
    /// Value.
    pub value: f64,
}

/// A line of a page that can't be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PageError {
    /// Number of the line, counted from 1.
    pub line: usize,
    cause: &'static str,
}

impl Display for PageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {} of the metrics page: {}", self.line, self.cause)
    }
}

impl Error for PageError {}

/// Parses all samples of a page; values that are not finite are left out.
///
/// # Errors
///
/// Returns the first line that is neither a sample nor a comment. A truncated line is an error, not the end of the page.
pub fn parse(page: &str) -> Result<Vec<Sample>, PageError> {
    let mut samples = Vec::new();
    for (index, line) in page.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let sample = parse_sample(line).map_err(|cause| PageError {
            line: index + 1,
            cause,
        })?;
        if sample.value.is_finite() {
            samples.push(sample);
        }
    }
    Ok(samples)
}

fn parse_sample(line: &str) -> Result<Sample, &'static str> {
    let mut chars = line.chars().peekable();
    let name = parse_name(&mut chars);
    if name.is_empty() {
        return Err("a sample begins with a name");
    }
    let labels = if chars.peek() == Some(&'{') {
        chars.next();
        parse_labels(&mut chars)?
    } else {
        Labels::new()
    };
    // A timestamp or an exemplar may follow; neither is used.
    let rest: String = chars.collect();
    let value = rest.split_whitespace().next();
    let value = value.ok_or("the value is missing")?;
    let value = value
        .parse()
        .map_err(|_not_a_number| "the value is no number")?;
    Ok(Sample {
        series: Series {
            name: name.into(),
            labels,
        },
        value,
    })
}

fn parse_name(chars: &mut Peekable<Chars<'_>>) -> String {
    let is_name_char = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '_' | ':');
    std::iter::from_fn(|| chars.next_if(is_name_char)).collect()
}

fn parse_labels(chars: &mut Peekable<Chars<'_>>) -> Result<Labels, &'static str> {
    let mut labels = Labels::new();
    loop {
        while chars.next_if(|c| matches!(c, ' ' | ',')).is_some() {}
        if chars.next_if_eq(&'}').is_some() {
            return Ok(labels);
        }
        let name = parse_name(chars);
        if name.is_empty() {
            return Err("a label has no name, or the labels don't end");
        }
        if chars.next() != Some('=') || chars.next() != Some('"') {
            return Err("a label is not followed by =\"");
        }
        labels.insert(name.into(), parse_label_value(chars)?.into());
    }
}

fn parse_label_value(chars: &mut Peekable<Chars<'_>>) -> Result<String, &'static str> {
    let mut text = String::new();
    loop {
        match chars.next() {
            Some('"') => return Ok(text),
            Some('\\') => match chars.next() {
                Some('n') => text.push('\n'),
                Some(escaped) => text.push(escaped),
                None => return Err("the value of a label does not end"),
            },
            Some(other) => text.push(other),
            None => return Err("the value of a label does not end"),
        }
    }
}
