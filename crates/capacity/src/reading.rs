//! Reads the resource use of a process from `/proc` and from its metrics page.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A parsed metrics page.
#[derive(Debug, Clone, Default)]
pub struct MetricsPage {
    samples: BTreeMap<Box<str>, f64>,
}

impl MetricsPage {
    /// Parses the text format; lines without a sample are skipped.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let samples = lines.filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.into(), value.parse().ok()?))
        });
        Self {
            samples: samples.collect(),
        }
    }

    /// Fetches the metrics page of a process.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not answer.
    pub async fn fetch(admin: SocketAddr) -> Result<Self> {
        let mut stream = TcpStream::connect(admin).await?;
        let request =
            format!("GET /metrics HTTP/1.1\r\nhost: {admin}\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await?;
        Ok(Self::parse(&text))
    }

    /// Returns the sum of a metric's samples whose labels contain a text.
    #[must_use]
    pub fn sum(&self, name: &str, label: &str) -> f64 {
        let samples = self.samples.iter();
        let wanted = samples.filter(|(sample, _)| {
            let (metric, labels) = sample.split_once('{').unwrap_or((sample, ""));
            metric == name && labels.contains(label)
        });
        wanted.map(|(_, value)| value).sum()
    }
}

/// The resources that a process has used up to a moment.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
    /// Anonymous part of the resident memory, without mapped files such as the program's, in bytes.
    pub anonymous_bytes: f64,
    /// Processor time of all threads that still exist.
    pub processor_time: Duration,
    /// The metrics page.
    pub page: MetricsPage,
}

impl Reading {
    /// Reads the current resource use of a process.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has ended.
    pub async fn take(pid: u32, admin: SocketAddr) -> Result<Self> {
        Ok(Self {
            resident_bytes: memory_bytes(pid, "VmRSS:")?,
            anonymous_bytes: memory_bytes(pid, "RssAnon:")?,
            processor_time: processor_time(pid)?,
            page: MetricsPage::fetch(admin).await?,
        })
    }
}

fn memory_bytes(pid: u32, field: &str) -> Result<f64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(field))
        .context("a running process has resident memory")?;
    let kilobytes: f64 = line.trim().trim_end_matches(" kB").trim().parse()?;
    Ok(kilobytes * 1024.0)
}

/// Returns the processor time from the scheduler's statistics. `/proc/PID/stat` counts in steps of 10 ms, which an idle role
/// uses only within seconds.
fn processor_time(pid: u32) -> Result<Duration> {
    let mut total = Duration::ZERO;
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        // A thread may end after it was listed; its time is then missing.
        let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) else {
            continue;
        };
        let nanos = text.split_whitespace().next().context("three numbers")?;
        total += Duration::from_nanos(nanos.parse()?);
    }
    Ok(total)
}

/// Rates per second of a process's resource use between two readings.
#[derive(Debug, Clone)]
pub struct Rates {
    /// Processor time per second, as a fraction of one core.
    pub core_fraction: f64,
    /// Control traffic in both directions, in bytes: all socket traffic except messages of answers.
    pub control_bytes: f64,
    /// Messages in both directions that are not part of an answer.
    pub control_messages: f64,
    /// Resident memory at the end, in bytes.
    pub resident_bytes: f64,
    /// Anonymous part of the resident memory, without mapped files such as the program's, in bytes.
    pub anonymous_bytes: f64,
    before: MetricsPage,
    after: MetricsPage,
    seconds: f64,
}

const SOCKET_BYTES: &str = "hinge_peer_socket_bytes_total";
const MESSAGES: &str = "hinge_peer_messages_total";
const MESSAGE_BYTES: &str = "hinge_peer_message_bytes_total";
const ANSWER_CLASS: &str = "class=\"answer\"";

impl Rates {
    /// Returns the rates between two readings.
    #[must_use]
    pub fn between(before: &Reading, after: &Reading, elapsed: Duration) -> Self {
        let seconds = elapsed.as_secs_f64();
        let mut rates = Self {
            core_fraction: (after.processor_time.saturating_sub(before.processor_time))
                .as_secs_f64()
                / seconds,
            control_bytes: 0.0,
            control_messages: 0.0,
            resident_bytes: after.resident_bytes,
            anonymous_bytes: after.anonymous_bytes,
            before: before.page.clone(),
            after: after.page.clone(),
            seconds,
        };
        rates.control_bytes =
            rates.rate(SOCKET_BYTES, "") - rates.rate(MESSAGE_BYTES, ANSWER_CLASS);
        rates.control_messages = rates.rate(MESSAGES, "") - rates.rate(MESSAGES, ANSWER_CLASS);
        rates
    }

    /// Returns the growth per second of a metric's samples whose labels contain a text.
    #[must_use]
    pub fn rate(&self, name: &str, label: &str) -> f64 {
        (self.after.sum(name, label) - self.before.sum(name, label)) / self.seconds
    }

    /// Returns the bytes per second of the messages of a class, in both directions.
    #[must_use]
    pub fn class_bytes(&self, class: &str) -> f64 {
        self.rate(MESSAGE_BYTES, &format!("class=\"{class}\""))
    }

    /// Returns the messages per second of a class, in both directions.
    #[must_use]
    pub fn class_messages(&self, class: &str) -> f64 {
        self.rate(MESSAGES, &format!("class=\"{class}\""))
    }

    /// Returns the bytes per second at the sockets, in both directions.
    #[must_use]
    pub fn socket_bytes(&self) -> f64 {
        self.rate(SOCKET_BYTES, "")
    }

    /// Returns the bytes per second at the sockets, in one direction.
    #[must_use]
    pub fn one_way_bytes(&self, direction: &str) -> f64 {
        self.rate(SOCKET_BYTES, &format!("direction=\"{direction}\""))
    }
}
