//! Streams without a length, and a worker that crashes in the middle of them.

use std::io;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::fleet::{
    Answer, Fleet, HOST, KEY, Process, Record, SERVICE, TENANT, is_in_repository, send_stream,
};
use crate::worker::EVENTS;

/// Gateways, and streams through each of them.
const GATEWAYS: usize = 3;
const STREAMS: usize = 64;

/// Workers, of which one crashes in each round: a share of 0.25.
const WORKERS: usize = 4;

/// Rounds; the next worker crashes in the next one.
const ROUNDS: usize = 4;

/// When the worker crashes after the last stream was sent, and how long it is down.
const CRASH_AFTER: Duration = Duration::from_millis(1_000);
const DOWN: Duration = Duration::from_millis(2_000);

/// The class `push-text` of the site golfslag-rtr.
const DEADLINE_MS: u64 = 15_000;
const TARGET_MS: u64 = 800;

/// Clients abandon a stream after two seconds, four times the objective or eight times the pause, whichever is longest.
const GAP: Duration = Duration::from_millis(4 * TARGET_MS);

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-ue8gz6v\",\"host\":\"{HOST}\",\"pathPrefix\":\"/volo102/\",\
         \"kind\":\"streaming\",\"timeoutMs\":{DEADLINE_MS},\"targetLatencyMs\":{TARGET_MS},\"priority\":1,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"targetGapMs\":200}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":380,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":279911,\"kvTokenBytes\":163840,\"linkMbps\":130000.0,\"moves\":true,\
         \"backups\":true,\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleTtlS\":5.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\
         \"tokensPerS\":270000}},\"tenants\":[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Runs the case; returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
pub fn run(record_path: &str) -> u8 {
    if !is_in_repository() {
        eprintln!(
            "target/release/sequoiahinge is missing: run the build of the deploy file in the root first"
        );
        return 2;
    }
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(record_path);
    let fleet = Fleet::start(&record, WORKERS);
    let started =
        (1..=WORKERS).map(|number| fleet.spawn_worker(number, &format!("i-000000000{number}")));
    let mut workers: Vec<_> = started.collect();
    if !fleet.put_configuration(&configuration()) || !fleet.wait_until_ready() {
        record.line("the deployment did not start");
        return 2;
    }
    if !wait_for_workers(&fleet) {
        record.line("the workers did not become known");
        return 2;
    }
    let (mut whole, mut cut, mut false_ends) = (0, 0, 0);
    for round in 0..ROUNDS {
        let streams = start_streams(&fleet, round);
        if with_trouble {
            crash_worker(&fleet, &mut workers, round);
        }
        for stream in streams {
            let (id, answer) = stream.join().expect("no client panics");
            match answer {
                Ok(answer) if answer.status == 200 && answer.is_complete && is_whole(&answer) => {
                    whole += 1
                }
                Ok(answer) if answer.status == 200 && answer.is_complete => {
                    false_ends += 1;
                    record.line(&format!(
                        "BROKEN: {id} ends as complete, though event {EVENTS} never came"
                    ));
                }
                Ok(_) => cut += 1,
                Err(error) => {
                    cut += 1;
                    record.line(&format!("client {id} got no answer: {error}"));
                }
            }
        }
    }
    drop(workers);
    for number in 1..=WORKERS {
        for line in fleet.worker_log(number).lines() {
            record.line(&format!("(worker log) {line}"));
        }
    }
    record.line(&format!(
        "{whole} whole streams, {cut} visibly cut or refused, {false_ends} cut streams that look complete"
    ));
    fleet.finish();
    println!(
        "{whole} whole, {cut} visibly cut or refused, {false_ends} cut streams that look complete"
    );
    u8::from(false_ends > 0)
}

/// Starts the streams of one round, each with a client of its own.
fn start_streams(fleet: &Fleet, round: usize) -> Vec<JoinHandle<(String, io::Result<Answer>)>> {
    let mut streams = Vec::new();
    for number in 0..GATEWAYS * STREAMS {
        let gateway = 1 + number % GATEWAYS;
        let (address, record) = (fleet.front(gateway), fleet.record.clone());
        streams.push(thread::spawn(move || {
            let id = format!("c{round}{gateway}{number:03}");
            record.line(&format!("client sends {id} to gateway-{gateway}"));
            let answer = send_stream(address, "/volo102/2f", &id, DEADLINE_MS, GAP);
            if let Ok(answer) = &answer {
                record.line(&format!(
                    "client {id} got {} with events {}, ended by {}",
                    answer.status,
                    span(&answer.event_ids()),
                    answer.ended_by
                ));
            }
            (id, answer)
        }));
        thread::sleep(Duration::from_millis(5));
    }
    streams
}

/// Kills one worker in the middle of its streams, and starts it again under a new id.
fn crash_worker(fleet: &Fleet, workers: &mut [Process], round: usize) {
    thread::sleep(CRASH_AFTER);
    let place = round % WORKERS;
    fleet
        .record
        .line(&format!("worker-{} crashes (SIGKILL)", place + 1));
    workers[place].kill();
    thread::sleep(DOWN);
    workers[place] = fleet.spawn_worker(place + 1, &format!("i-100000000{round}"));
}

fn is_whole(answer: &Answer) -> bool {
    answer.event_ids() == (1..=EVENTS).collect::<Vec<_>>()
}

fn span(ids: &[u64]) -> String {
    match (ids.first(), ids.last()) {
        (Some(first), Some(last)) => format!("{first} to {last} ({} of {EVENTS})", ids.len()),
        _ => "none".into(),
    }
}

/// Waits until every worker has run a stream.
fn wait_for_workers(fleet: &Fleet) -> bool {
    for attempt in 0..40 {
        let tries: Vec<_> = (0..12)
            .map(|number| {
                let address = fleet.front(1 + number % GATEWAYS);
                let id = format!("w{attempt:02}{number:02}");
                // A short deadline: this only shows that the worker gets the request.
                thread::spawn(move || {
                    send_stream(address, "/volo102/2f", &id, 400, Duration::from_millis(600))
                })
            })
            .collect();
        for one in tries {
            let _answered_or_not = one.join();
        }
        let has_run = |number| fleet.worker_log(number).contains(" runs ");
        if (1..=WORKERS).all(has_run) {
            return true;
        }
        thread::sleep(Duration::from_millis(250));
    }
    false
}
