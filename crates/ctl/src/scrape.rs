//! Scraping of the metrics pages of instances.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use hinge_burn::{Missing, Record, Scrape, parse};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::failure::Failure;

/// Time limit for a page; an instance that takes longer is recorded as missing.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest page accepted, in bytes; a page with the most team labels is below 1 MB.
const MAX_PAGE_BYTES: usize = 16 << 20;

/// Prefix of the metrics that reports use; other metrics are dropped to keep the samples file short.
const METRIC_PREFIX: &str = "hinge_";

/// An instance and the address of its metrics page.
#[derive(Clone, Debug)]
pub(crate) struct ScrapeTarget {
    instance: Box<str>,
    address: Box<str>,
}

/// Parses `NAME=ADDRESS[,NAME=ADDRESS]`.
///
/// # Errors
///
/// Returns a failure that names the part that can't be parsed.
pub(crate) fn parse_targets(text: &str) -> Result<Vec<ScrapeTarget>, Failure> {
    let parts = text.split(',').map(str::trim);
    let parts = parts.filter(|part| !part.is_empty());
    parts
        .map(|part| {
            let (instance, address) = part.split_once('=').ok_or_else(|| {
                Failure::invalid(format!(
                    "--scrape {part} has no name; allowed is NAME=HOST:PORT, as in entry-a=10.0.0.1:9090"
                ))
            })?;
            Ok(ScrapeTarget {
                instance: instance.into(),
                address: address.into(),
            })
        })
        .collect()
}

/// HTTP client for metrics pages.
#[derive(Clone, Debug)]
pub(crate) struct Scraper {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl Scraper {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Scrapes all targets concurrently; an instance without a page is recorded as missing.
    pub(crate) async fn scrape_all(&self, targets: &[ScrapeTarget], at_ms: u64) -> Vec<Record> {
        let mut tasks = JoinSet::new();
        for target in targets {
            let (scraper, target) = (self.clone(), target.clone());
            tasks.spawn(async move { scraper.scrape(target, at_ms).await });
        }
        let mut records = tasks.join_all().await;
        records.sort_by_key(|record| instance(record).to_owned());
        records
    }

    async fn scrape(&self, target: ScrapeTarget, at_ms: u64) -> Record {
        let page = match timeout(PAGE_TIMEOUT, self.fetch_page(&target.address)).await {
            Ok(page) => page,
            Err(_elapsed) => Err("no answer in time".into()),
        };
        let samples = page.and_then(|page| parse(&page).map_err(Into::into));
        match samples {
            Ok(mut samples) => {
                samples.retain(|sample| sample.series.name.starts_with(METRIC_PREFIX));
                Record::Scrape(Scrape {
                    at_ms,
                    instance: target.instance,
                    samples,
                })
            }
            Err(cause) => Record::Missing(Missing {
                at_ms,
                instance: target.instance,
                cause: cause.to_string().into(),
            }),
        }
    }

    async fn fetch_page(&self, address: &str) -> Result<String, Box<dyn Error + Send + Sync>> {
        let uri = format!("http://{address}/metrics").parse()?;
        let response = self.client.get(uri).await?;
        if !response.status().is_success() {
            return Err(format!("the instance answered {}", response.status()).into());
        }
        let body = Limited::new(response.into_body(), MAX_PAGE_BYTES);
        let bytes = body.collect().await?.to_bytes();
        Ok(String::from_utf8(bytes.to_vec())?)
    }
}

/// Returns the instance that a record is about.
fn instance(record: &Record) -> &str {
    match record {
        Record::Scrape(scrape) => &scrape.instance,
        Record::Missing(missing) => &missing.instance,
        Record::Slots(_) => "",
    }
}
