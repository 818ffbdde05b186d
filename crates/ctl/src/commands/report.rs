//! Reports burn, gap and utilisation, out of recorded or freshly collected samples.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::time::Duration;

use hinge_burn::{Endpoint, Record, Recording, Slots};
use hinge_config::effective::EffectiveConfig;
use hinge_schema::messages::{AskStatus, Role};
use tokio::time::{MissedTickBehavior, interval};

use crate::args::{BurnOptions, MetricsOptions, ReportCommand, ReportOptions};
use crate::exit::Exit;
use crate::failure::Failure;
use crate::link::Link;
use crate::output::Output;
use crate::scrape::{Scraper, Target, targets};
use crate::{local, show};

/// Time between two rounds of pages: twenty of them fit the shortest window of a default objective.
const EVERY: Duration = Duration::from_secs(15);

/// Shortest time between two rounds: times in samples have whole milliseconds.
const SHORTEST_EVERY: Duration = Duration::from_millis(1);

/// Says where samples and the configuration come from.
struct Source<'o> {
    samples: Option<&'o str>,
    scrape: Option<&'o str>,
    folder: Option<&'o str>,
    watch: Option<Duration>,
    every: Option<Duration>,
}

/// Runs `report`.
pub(crate) async fn run(
    options: ReportOptions,
    link: &Link,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    match options.command {
        Some(ReportCommand::Burn(options)) => burn(&options, link, output).await,
        Some(ReportCommand::Gap(options)) => gap(&options, link, output).await,
        Some(ReportCommand::Utilisation(options)) => utilisation(&options, link, output).await,
        None => Err(Failure::invalid(
            "which report? allowed are `report burn`, `report gap` and `report utilisation`",
        )),
    }
}

async fn burn(
    options: &BurnOptions,
    link: &Link,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let source = Source {
        samples: options.samples.as_deref(),
        scrape: options.scrape.as_deref(),
        folder: options.folder.as_deref(),
        watch: options.watch,
        every: options.every,
    };
    let effective = source.effective(link).await?;
    let recording = source.recording(link, output).await?;
    let report = hinge_burn::burn(&effective, &recording);
    output.show(&report)?;
    if let Some(path) = &options.svg {
        let picture =
            hinge_burn::svg(&report).map_err(|error| Failure::failed(error.to_string()))?;
        fs::write(path, picture).map_err(|error| unusable(path, &error))?;
    }
    Ok(Exit::Ok)
}

async fn gap(
    options: &MetricsOptions,
    link: &Link,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let source = Source::of(options);
    let effective = source.effective(link).await?;
    let recording = source.recording(link, output).await?;
    output.show(&hinge_burn::gap(&effective, &recording, window_ms(options)))?;
    Ok(Exit::Ok)
}

async fn utilisation(
    options: &MetricsOptions,
    link: &Link,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let recording = Source::of(options).recording(link, output).await?;
    output.show(&hinge_burn::utilisation(&recording, window_ms(options)))?;
    Ok(Exit::Ok)
}

fn window_ms(options: &MetricsOptions) -> Option<u64> {
    let window = options.window?;
    Some(u64::try_from(window.as_millis()).unwrap_or(u64::MAX))
}

fn unusable(path: &str, error: &std::io::Error) -> Failure {
    Failure::failed(format!("{path} can't be used: {error}"))
}

impl<'o> Source<'o> {
    fn of(options: &'o MetricsOptions) -> Self {
        Self {
            samples: options.samples.as_deref(),
            scrape: options.scrape.as_deref(),
            folder: options.folder.as_deref(),
            watch: options.watch,
            every: options.every,
        }
    }

    /// Returns the configuration: of the folder that was given, or else the one in force.
    async fn effective(&self, link: &Link) -> Result<EffectiveConfig, Failure> {
        if let Some(folder) = self.folder {
            return Ok(local::read(Path::new(folder))?.effective);
        }
        if !link.is_known() {
            return Err(Failure::invalid(
                "which configuration? give --folder FOLDER, or --control ADDRESS for the one in force",
            ));
        }
        super::diff::effective(&link.open()?.folder().await?)
    }

    /// Returns recorded samples, with those that were asked to be collected now.
    async fn recording(
        &self,
        link: &Link,
        output: &mut Output<'_, '_>,
    ) -> Result<Recording, Failure> {
        let collected = match (self.scrape, self.watch) {
            (Some(scrape), Some(watch)) => {
                self.collect(&targets(scrape)?, watch, link, output).await?
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
            Some(path) => fs::read_to_string(path).map_err(|error| unusable(path, &error))?,
            None => collected,
        };
        Recording::parse(&text).map_err(|error| Failure::failed(error.to_string()))
    }

    /// Collects pages; each round is in the file before the next one begins.
    async fn collect(
        &self,
        targets: &[Target],
        watch: Duration,
        link: &Link,
        output: &mut Output<'_, '_>,
    ) -> Result<String, Failure> {
        let every = self.every.unwrap_or(EVERY);
        if every < SHORTEST_EVERY {
            return Err(Failure::invalid(
                "--every is too short; allowed is 1ms or more",
            ));
        }
        let scraper = Scraper::new();
        let mut ticks = interval(every);
        // A round that took too long moves the later ones; two rounds at once would measure nothing.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut lines = String::new();
        for _ in 0..rounds(watch, every) {
            ticks.tick().await;
            let at_ms = show::now_ms();
            let mut records = scraper.round(targets, at_ms).await;
            records.extend(slots(link, at_ms, output).await);
            note_missing(&records, output);
            let round: String = records.iter().map(Record::line).collect();
            match self.samples {
                Some(path) => append(path, &round).map_err(|error| unusable(path, &error))?,
                None => lines.push_str(&round),
            }
        }
        Ok(lines)
    }
}

/// Returns how many rounds of pages fill a time; fewer than two would give no difference.
fn rounds(watch: Duration, every: Duration) -> u128 {
    (watch.as_nanos() / every.as_nanos() + 1).max(2)
}

fn append(path: &str, lines: &str) -> std::io::Result<()> {
    let mut file = OpenOptions::new().create(true).append(true).open(path)?;
    file.write_all(lines.as_bytes())
}

/// Returns the slots of the endpoints, if control is known and answers.
async fn slots(link: &Link, at_ms: u64, output: &mut Output<'_, '_>) -> Option<Record> {
    if !link.is_known() {
        return None;
    }
    let ask = AskStatus {
        wait_version: 0,
        wait_ms: 0,
    };
    let status = match link.open() {
        Ok(fleet) => fleet.status(&ask).await,
        Err(failure) => Err(failure),
    };
    let members = match status {
        Ok(status) => status.members,
        Err(failure) => {
            output.note(&format!("the slots are not recorded now\n{failure}"));
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
