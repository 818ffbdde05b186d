//! Reports burn, gap and utilisation from recorded or newly collected samples.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::time::Duration;

use hinge_burn::{Endpoint, Record, Recording, Slots};
use hinge_config::effective::Effective;
use hinge_schema::messages::{AskStatus, Role};
use tokio::time::{MissedTickBehavior, interval};

use crate::args::{BurnOptions, MetricsOptions, ReportCommand, ReportOptions};
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output::Output;
use crate::scrape::{ScrapeTarget, Scraper, parse_targets};
use crate::{format, local_folder};

/// Default time between two scrapes; twenty of them fit into the shortest window of a default objective.
const DEFAULT_SCRAPE_INTERVAL: Duration = Duration::from_secs(15);

/// Shortest time between two scrapes, as the timestamps of samples are in whole milliseconds.
const MIN_SCRAPE_INTERVAL: Duration = Duration::from_millis(1);

/// Where the samples and the configuration of a report come from.
struct ReportSource<'o> {
    samples: Option<&'o str>,
    scrape: Option<&'o str>,
    folder: Option<&'o str>,
    watch: Option<Duration>,
    every: Option<Duration>,
}

/// Runs `report`.
pub(crate) async fn run(
    options: ReportOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    match options.command {
        Some(ReportCommand::Burn(options)) => burn(&options, control, output).await,
        Some(ReportCommand::Gap(options)) => gap(&options, control, output).await,
        Some(ReportCommand::Utilisation(options)) => utilisation(&options, control, output).await,
        None => Err(Failure::invalid(
            "which report? allowed are `report burn`, `report gap` and `report utilisation`",
        )),
    }
}

async fn burn(
    options: &BurnOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let source = ReportSource {
        samples: options.samples.as_deref(),
        scrape: options.scrape.as_deref(),
        folder: options.folder.as_deref(),
        watch: options.watch,
        every: options.every,
    };
    let effective = source.effective(control).await?;
    let recording = source.recording(control, output).await?;
    let report = hinge_burn::burn(&effective, &recording);
    output.show(&report)?;
    if let Some(path) = &options.svg {
        let image = hinge_burn::svg(&report).map_err(|error| Failure::failed(error.to_string()))?;
        fs::write(path, image).map_err(|error| file_failure(path, &error))?;
    }
    Ok(Exit::Ok)
}

async fn gap(
    options: &MetricsOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let source = ReportSource::of(options);
    let effective = source.effective(control).await?;
    let recording = source.recording(control, output).await?;
    output.show(&hinge_burn::gap(&effective, &recording, window_ms(options)))?;
    Ok(Exit::Ok)
}

async fn utilisation(
    options: &MetricsOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let recording = ReportSource::of(options).recording(control, output).await?;
    output.show(&hinge_burn::utilisation(&recording, window_ms(options)))?;
    Ok(Exit::Ok)
}

fn window_ms(options: &MetricsOptions) -> Option<u64> {
    let window = options.window?;
    Some(u64::try_from(window.as_millis()).unwrap_or(u64::MAX))
}

fn file_failure(path: &str, error: &std::io::Error) -> Failure {
    Failure::failed(format!("{path} can't be used: {error}"))
}

impl<'o> ReportSource<'o> {
    fn of(options: &'o MetricsOptions) -> Self {
        Self {
            samples: options.samples.as_deref(),
            scrape: options.scrape.as_deref(),
            folder: options.folder.as_deref(),
            watch: options.watch,
            every: options.every,
        }
    }

    /// Returns the configuration of the given folder, or else the one in force.
    async fn effective(&self, control: &ControlConfig) -> Result<Effective, Failure> {
        if let Some(folder) = self.folder {
            return Ok(local_folder::read(Path::new(folder))?.effective);
        }
        if !control.is_given() {
            return Err(Failure::invalid(
                "which configuration? give --folder FOLDER, or --control ADDRESS for the one in force",
            ));
        }
        super::diff::effective(&control.client()?.folder().await?)
    }

    /// Returns the recorded samples, after collecting new ones if asked to.
    async fn recording(
        &self,
        control: &ControlConfig,
        output: &mut Output<'_, '_>,
    ) -> Result<Recording, Failure> {
        let collected = match (self.scrape, self.watch) {
            (Some(scrape), Some(watch)) => {
                self.collect(&parse_targets(scrape)?, watch, control, output)
                    .await?
            }
            (Some(_), None) => {
                return Err(Failure::invalid(
                    "one page gives no difference; add --watch TIME, as in --watch 5m",
                ));
            }
            (None, Some(_)) => {
                return Err(Failure::invalid(
                    "watch what? add --scrape NAME=ADDRESS[,NAME=ADDRESS]",
                ));
            }
            (None, None) if self.samples.is_none() => {
                return Err(Failure::invalid(
                    "which samples? give --samples FILE, or --scrape NAME=ADDRESS with --watch TIME",
                ));
            }
            (None, None) => String::new(),
        };
        let text = match self.samples {
            Some(path) => fs::read_to_string(path).map_err(|error| file_failure(path, &error))?,
            None => collected,
        };
        Recording::parse(&text).map_err(|error| Failure::failed(error.to_string()))
    }

    /// Collects metrics pages; each round is written to the file before the next one begins.
    async fn collect(
        &self,
        targets: &[ScrapeTarget],
        watch: Duration,
        control: &ControlConfig,
        output: &mut Output<'_, '_>,
    ) -> Result<String, Failure> {
        let every = self.every.unwrap_or(DEFAULT_SCRAPE_INTERVAL);
        if every < MIN_SCRAPE_INTERVAL {
            return Err(Failure::invalid(
                "--every is too short; allowed is 1ms or more",
            ));
        }
        let scraper = Scraper::new();
        let mut ticks = interval(every);
        // A late round delays the following ones; two rounds right after each other would measure nothing.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut lines = String::new();
        for _ in 0..round_count(watch, every) {
            ticks.tick().await;
            let at_ms = format::now_ms();
            let mut records = scraper.scrape_all(targets, at_ms).await;
            records.extend(fetch_slots(control, at_ms, output).await);
            note_missing(&records, output);
            let round: String = records.iter().map(Record::line).collect();
            match self.samples {
                Some(path) => append(path, &round).map_err(|error| file_failure(path, &error))?,
                None => lines.push_str(&round),
            }
        }
        Ok(lines)
    }
}

/// Returns the number of scrape rounds in a time; at least two, as one gives no difference.
fn round_count(watch: Duration, every: Duration) -> u128 {
    (watch.as_nanos() / every.as_nanos() + 1).max(2)
}

fn append(path: &str, lines: &str) -> std::io::Result<()> {
    let mut file = OpenOptions::new().create(true).append(true).open(path)?;
    file.write_all(lines.as_bytes())
}

/// Returns the slots of the endpoints, if control addresses are given and control answers.
async fn fetch_slots(
    control: &ControlConfig,
    at_ms: u64,
    output: &mut Output<'_, '_>,
) -> Option<Record> {
    if !control.is_given() {
        return None;
    }
    let query = AskStatus {
        wait_version: 0,
        wait_ms: 0,
    };
    let status = match control.client() {
        Ok(client) => client.status(&query).await,
        Err(failure) => Err(failure),
    };
    let members = match status {
        Ok(status) => status.members,
        Err(failure) => {
            output.note(&format!(
                "the endpoints' slots are missing from this round\n{failure}"
            ));
            return None;
        }
    };
    let sidecars = members
        .into_iter()
        .filter(|member| member.role == Role::Sidecar);
    let endpoints = sidecars.map(|member| Endpoint {
        instance: member.instance,
        pool: member.pool,
        slots: member.slots,
    });
    Some(Record::Slots(Slots {
        at_ms,
        endpoints: endpoints.collect(),
    }))
}

fn note_missing(records: &[Record], output: &mut Output<'_, '_>) {
    for record in records {
        if let Record::Missing(missing) = record {
            output.note(&format!(
                "no page of {}: {}",
                missing.instance, missing.cause
            ));
        }
    }
}
