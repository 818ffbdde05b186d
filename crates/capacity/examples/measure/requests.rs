//! Measures an entry and a sidecar by requests, by tokens and by open streams.

use std::time::Duration;

use anyhow::Result;
use hinge_capacity::caller::Caller;
use hinge_capacity::config_files;
use hinge_capacity::fleet::{Fleet, Process, measure_rates};
use hinge_capacity::reading::Rates;
use http::StatusCode;
use tokio::task::JoinSet;

use crate::table::{KB, Table, common_values};
use crate::{SETTLE, WINDOW};

const SIDECARS: u32 = 4;

const TEAMS: u32 = 20;

struct ServingFleet {
    fleet: Fleet,
    _control: Vec<Process>,
    _stand_ins: Vec<Process>,
    sidecars: Vec<Process>,
    entry: Process,
    caller: Caller,
}

pub async fn measure() -> Result<()> {
    by_requests().await?;
    by_tokens().await?;
    by_streams().await
}

async fn by_requests() -> Result<()> {
    let serving = start_fleet(32, 1_000).await?;
    let mut at_entry = Table::new("entry, requests of 20 tokens", "requests/s");
    let mut at_sidecar = Table::new(
        "sidecar, the mean of 4, requests of 20 tokens",
        "requests/s",
    );
    for rate in [50, 150, 400] {
        let rates = measure_at_rate(&serving, rate, 20).await?;
        at_entry.add(rate, cost_values(&rates[0]));
        at_sidecar.add(rate / SIDECARS, mean_cost_values(&rates[1..]));
    }
    at_entry.print();
    at_sidecar.print();
    Ok(())
}

async fn by_tokens() -> Result<()> {
    // At 200 tokens/s each token is sent as a separate message.
    let serving = start_fleet(64, 200).await?;
    let mut at_entry = Table::new("entry, 50 requests/s, by tokens of each", "tokens");
    let mut at_sidecar = Table::new("sidecar, 12.5 requests/s, by tokens of each", "tokens");
    for tokens in [10, 50, 150] {
        let rates = measure_at_rate(&serving, 50, tokens).await?;
        at_entry.add(tokens, cost_values(&rates[0]));
        at_sidecar.add(tokens, mean_cost_values(&rates[1..]));
    }
    at_entry.print();
    at_sidecar.print();
    Ok(())
}

async fn by_streams() -> Result<()> {
    let mut at_entry = Table::new("entry, by open streams of 2 tokens/s", "streams");
    let mut at_sidecar = Table::new("sidecar, by open streams of 2 tokens/s", "streams");
    for streams in [100, 300, 600] {
        let serving = start_fleet(200, 2).await?;
        let mut load = JoinSet::new();
        for number in 0..streams {
            let caller = serving.caller.clone();
            load.spawn(async move { caller.stream(number % TEAMS, "llm-0", 200).await });
        }
        tokio::time::sleep(SETTLE * 2).await;
        let rates = measure_rates(&serving.all(), WINDOW).await?;
        load.abort_all();
        at_entry.add(streams, cost_values(&rates[0]));
        at_sidecar.add(streams / SIDECARS, mean_cost_values(&rates[1..]));
    }
    at_entry.print();
    at_sidecar.print();
    Ok(())
}

impl ServingFleet {
    fn all(&self) -> Vec<&Process> {
        let mut processes = vec![&self.entry];
        processes.extend(&self.sidecars);
        processes
    }
}

async fn start_fleet(slots: u32, tokens_per_second: u32) -> Result<ServingFleet> {
    let fleet = Fleet::prepare(1)?;
    let control = fleet.start_control().await?;
    fleet.apply(0, config_files::all_files(200)).await?;
    let mut sidecars = Vec::new();
    let mut stand_ins = Vec::new();
    for number in 0..SIDECARS {
        // Each sidecar has its own endpoint; with a shared one, requests of the other sidecars would count as its load.
        let name = format!("stand-in-{number}");
        let (stand_in, endpoint) = fleet
            .start_stand_in(&name, slots, tokens_per_second)
            .await?;
        stand_ins.push(stand_in);
        let name = format!("sidecar-{number}");
        let above = fleet.control_addresses();
        sidecars.push(
            fleet
                .start_sidecar(&name, "model-0", slots, endpoint, above)
                .await?,
        );
    }
    let (entry, callers) = fleet
        .start_entry("entry-1", fleet.control_addresses())
        .await?;
    let caller = Caller::new(callers);
    caller.wait_until_served("llm-0").await?;
    tokio::time::sleep(SETTLE).await;
    Ok(ServingFleet {
        fleet,
        _control: control,
        _stand_ins: stand_ins,
        sidecars,
        entry,
        caller,
    })
}

/// Measures while requests are sent at a constant rate, independent of when earlier ones end.
async fn measure_at_rate(serving: &ServingFleet, rate: u32, tokens: u32) -> Result<Vec<Rates>> {
    let caller = serving.caller.clone();
    let sending = tokio::spawn(async move {
        let mut sent = JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
        for number in 0_u32.. {
            ticks.tick().await;
            let caller = caller.clone();
            sent.spawn(async move { caller.stream(number % TEAMS, "llm-0", tokens).await });
            while let Some(Ok(result)) = sent.try_join_next() {
                if !matches!(result, Ok(answered) if answered.status == StatusCode::OK) {
                    eprintln!("not answered: {result:?}");
                }
            }
        }
    });
    tokio::time::sleep(SETTLE).await;
    let rates = measure_rates(&serving.all(), WINDOW).await;
    sending.abort();
    let _was_aborted = sending.await;
    assert!(
        !serving.fleet.control_addresses().is_empty(),
        "the fleet is kept until here"
    );
    rates
}

fn cost_values(rates: &Rates) -> Vec<(&'static str, f64)> {
    let mut cost_values = common_values(rates);
    cost_values.extend([
        ("offer messages KB/s", rates.class_bytes("offer") / KB),
        ("offer messages/s", rates.class_messages("offer")),
        ("answer KB/s", rates.class_bytes("answer") / KB),
        ("answer messages/s", rates.class_messages("answer")),
    ]);
    cost_values
}

#[expect(clippy::cast_precision_loss, reason = "there are a few sidecars")]
fn mean_cost_values(all: &[Rates]) -> Vec<(&'static str, f64)> {
    let each: Vec<_> = all.iter().map(cost_values).collect();
    let names = each[0].iter().enumerate();
    let means = names.map(|(at, (name, _))| {
        let sum: f64 = each.iter().map(|cost_values| cost_values[at].1).sum();
        (*name, sum / each.len() as f64)
    });
    means.collect()
}
