//! The log: one line for each record, with the component in brackets, a short sentence and `key=value` pairs.
//!
//! ```
//! use hinge_telemetry::log::{self, Level, Component};
//!
//! log::start(Level::Info);
//! hinge_telemetry::info!(Component::Entry, "Listening.", address = "127.0.0.1:8080");
//! ```

use std::fmt::{Display, Write as _};
use std::io;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hinge_schema::settings::LogLevel;
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::WriteSink;
use spdlog::{LevelFilter, Logger, Record, StringBuf};

use crate::writer::{LineWriter, Priority};

/// Length above which a value is cut, so that a caller's text can't flood the log.
const MAX_VALUE_BYTES: usize = 512;

/// The writer of this process's log; the logging library has one global logger for each process as well.
static LOG_WRITER: OnceLock<LineWriter> = OnceLock::new();

/// The component that writes a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Component {
    /// The admin server.
    Admin,
    /// The admission role.
    Admission,
    /// The settings and the operators' folder.
    Config,
    /// The control role.
    Control,
    /// The process that runs a role.
    Daemon,
    /// The entry role.
    Entry,
    /// The gateway role.
    Gateway,
    /// The connections between processes.
    Link,
    /// The replicated log.
    Raft,
    /// The relay role.
    Relay,
    /// The sidecar role.
    Sidecar,
    /// The stand-in endpoint.
    StandIn,
    /// The data folder of a control instance.
    Store,
}

impl Component {
    /// Returns the name that a line shows in brackets.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Admin => "admin",
            Self::Admission => "admission",
            Self::Config => "config",
            Self::Control => "control",
            Self::Daemon => "daemon",
            Self::Entry => "entry",
            Self::Gateway => "gateway",
            Self::Link => "link",
            Self::Raft => "raft",
            Self::Relay => "relay",
            Self::Sidecar => "sidecar",
            Self::StandIn => "stand-in",
            Self::Store => "store",
        }
    }
}

/// The severity of a record.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// A failure that an operator must act on.
    Error,
    /// A failure that the fleet handles by itself.
    Warn,
    /// A change of state that an operator expects to see.
    Info,
    /// Details for developers.
    Debug,
    /// Every single step.
    Trace,
}

impl Level {
    /// Returns the level's name, as in the settings.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }

    /// Returns the level with a name, if there is one.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        let levels = [
            Self::Error,
            Self::Warn,
            Self::Info,
            Self::Debug,
            Self::Trace,
        ];
        levels.into_iter().find(|level| level.as_str() == name)
    }

    fn inner(self) -> spdlog::Level {
        match self {
            Self::Error => spdlog::Level::Error,
            Self::Warn => spdlog::Level::Warn,
            Self::Info => spdlog::Level::Info,
            Self::Debug => spdlog::Level::Debug,
            Self::Trace => spdlog::Level::Trace,
        }
    }
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}

/// A key and a value of a record.
pub type Pair<'a> = (&'static str, &'a dyn Display);

/// Starts to write records of this level and of higher severity to standard output.
///
/// # Panics
///
/// Panics when the system can't start a thread, or when the library rejects a sink, which the options used here never cause.
pub fn start(level: Level) {
    let writer = LOG_WRITER.get_or_init(|| LineWriter::spawn(io::stdout()));
    let sink = |priority, levels| {
        let sink = WriteSink::builder()
            .target(writer.sink(priority))
            .level_filter(levels)
            .formatter(RecordFormatter)
            .build_arc();
        sink.expect("a sink with a target is always valid")
    };
    let failures = LevelFilter::MoreSevereEqual(spdlog::Level::Warn);
    let ordinary = LevelFilter::MoreVerbose(spdlog::Level::Warn);
    let logger = Logger::builder()
        .sink(sink(Priority::Failure, failures))
        .sink(sink(Priority::Ordinary, ordinary))
        .level_filter(LevelFilter::MoreSevereEqual(level.inner()))
        .build_arc()
        .expect("a logger without a name is always valid");
    spdlog::set_default_logger(logger);
}

/// Writes the lines that are still buffered; a process calls it before it exits.
pub fn finish() {
    if let Some(writer) = LOG_WRITER.get() {
        writer.finish();
    }
}

/// Returns a line with the number of dropped lines.
pub(crate) fn dropped_line(count: u64) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let pairs: &[Pair<'_>] = &[("count", &count)];
    let text = body(
        Component::Daemon,
        "Dropped lines that nobody took in time.",
        pairs,
    );
    let level = Level::Warn.as_str();
    line(since_epoch.unwrap_or_default(), level, &text) + "\n"
}

/// Writes a record, on behalf of this crate's macros.
pub fn write(component: Component, level: Level, sentence: &str, pairs: &[Pair<'_>]) {
    let logger: Arc<Logger> = spdlog::default_logger();
    if logger.should_log(level.inner()) {
        let text = body(component, sentence, pairs);
        spdlog::log!(logger: logger, level.inner(), "{text}");
    }
}

/// Returns the text of a record without its time and level.
#[must_use]
pub fn body(component: Component, sentence: &str, pairs: &[Pair<'_>]) -> String {
    let mut text = String::with_capacity(64 + 24 * pairs.len());
    text.push('[');
    text.push_str(component.as_str());
    text.push_str("] ");
    escape(sentence, &mut text);
    // One buffer is reused for all values: a line has about twenty, and a small gateway writes hundreds of lines a second.
    let mut plain = String::with_capacity(32);
    for (key, value) in pairs {
        text.push(' ');
        text.push_str(key);
        text.push('=');
        plain.clear();
        // Writing to a string never fails.
        let _written = write!(plain, "{value}");
        push_value(&plain, &mut text);
    }
    text
}

/// Returns a whole line, without a line end, from the name of its level and the text that [`body`] returned.
#[must_use]
pub fn line(since_epoch: Duration, level: &str, body: &str) -> String {
    format!("{} {level} {body}", rfc3339(since_epoch))
}

fn push_value(value: &str, text: &mut String) {
    let cut = value.floor_char_boundary(MAX_VALUE_BYTES);
    let is_plain = !value.is_empty()
        && value
            .chars()
            .all(|c| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=');
    if !is_plain {
        text.push('"');
    }
    escape(&value[..cut], text);
    if cut < value.len() {
        text.push('…');
    }
    if !is_plain {
        text.push('"');
    }
}

// Escapes line ends and terminal sequences, because a caller's text could use them to forge records. Characters that change
// the direction of text are not control characters, but can forge records too.
fn escape(value: &str, text: &mut String) {
    for c in value.chars() {
        let changes_direction = matches!(c, '\u{2028}'..='\u{202e}' | '\u{2066}'..='\u{2069}');
        if c.is_control() || changes_direction || c == '\\' || c == '"' {
            text.extend(c.escape_default());
        } else {
            text.push(c);
        }
    }
}

/// Returns a time since 1970 as RFC 3339 text in UTC, with milliseconds.
#[must_use]
pub fn rfc3339(since_epoch: Duration) -> String {
    let seconds = since_epoch.as_secs();
    let (days, second) = (seconds / 86_400, seconds % 86_400);
    let (year, month, day) = civil_date(days);
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:03}Z",
        second / 3_600,
        second / 60 % 60,
        second % 60,
        since_epoch.subsec_millis(),
    )
}

// Returns year, month and day. Years are counted from 1 March, so that a leap day is the last day of a year; 400 years have
// 146,097 days.
fn civil_date(days_since_1970: u64) -> (u64, u64, u64) {
    let days = days_since_1970 + 719_468;
    let (era, day_of_era) = (days / 146_097, days % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 {
        march_month + 3
    } else {
        march_month - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

#[derive(Clone)]
struct RecordFormatter;

impl Formatter for RecordFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _ctx: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let since_epoch = record
            .time()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        let line = line(since_epoch, record.level().as_str(), record.payload());
        writeln!(dest, "{line}").map_err(spdlog::Error::FormatRecord)
    }
}

/// Writes a record at a given level; `error!`, `warn!`, `info!` and `debug!` are the short forms.
#[macro_export]
macro_rules! record {
    ($level:expr, $component:expr, $sentence:expr $(, $key:ident = $value:expr)* $(,)?) => {
        $crate::log::write($component, $level, $sentence, &[$((stringify!($key), &$value as &dyn ::std::fmt::Display)),*])
    };
}

/// Writes a record that an operator must act on.
#[macro_export]
macro_rules! error {
    ($($all:tt)*) => { $crate::record!($crate::log::Level::Error, $($all)*) };
}

/// Writes a record of a failure that the fleet handles by itself.
#[macro_export]
macro_rules! warn {
    ($($all:tt)*) => { $crate::record!($crate::log::Level::Warn, $($all)*) };
}

/// Writes a record of a change of state.
#[macro_export]
macro_rules! info {
    ($($all:tt)*) => { $crate::record!($crate::log::Level::Info, $($all)*) };
}

/// Writes a record for developers.
#[macro_export]
macro_rules! debug {
    ($($all:tt)*) => { $crate::record!($crate::log::Level::Debug, $($all)*) };
}
