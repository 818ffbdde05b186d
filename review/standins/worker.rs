//! A stand-in of a model worker: registers itself, streams events, and ends each answer with its connection.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{SERVICE, call, now_ms, read_headers};

/// Events of a stream, and the time that each takes.
pub const EVENTS: u64 = 40;
pub const EVENT_TIME: Duration = Duration::from_millis(100);

const SLOTS: usize = 64;
const BEAT: Duration = Duration::from_millis(1_200);

struct Worker {
    id: String,
    address: SocketAddr,
    zone: String,
    /// Requests that run, with the events made so far.
    runs: Mutex<BTreeMap<String, u64>>,
}

/// Runs a worker: ADDRESS ID ZONE CONTROL...
pub fn run(arguments: &[String]) {
    let [address, id, zone, seeds @ ..] = arguments else {
        panic!("usage: worker ADDRESS ID ZONE CONTROL...");
    };
    let worker = Arc::new(Worker {
        id: id.clone(),
        address: address.parse().expect("an address"),
        zone: zone.clone(),
        runs: Mutex::default(),
    });
    let listener = TcpListener::bind(worker.address).expect("the address is free");
    println!("{} {} listens", now_ms(), worker.id);
    let (beating, seeds) = (Arc::clone(&worker), seeds.to_vec());
    thread::spawn(move || register(&beating, &seeds));
    for stream in listener.incoming().flatten() {
        let worker = Arc::clone(&worker);
        thread::spawn(move || {
            let _caller_left = serve(&worker, stream);
        });
    }
}

/// Sends a heartbeat about every `BEAT`, to the next node after each failure.
fn register(worker: &Worker, seeds: &[String]) {
    let mut next = 0;
    for seq in 1.. {
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"hybrid\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{seq}}}",
            worker.address, worker.zone
        );
        let path = format!("/sequoiahinge/instances/{}", worker.id);
        for _ in seeds {
            let address = seeds[next % seeds.len()].parse().expect("an address");
            if call(address, "PUT", &path, &body).is_ok_and(|answer| answer.status == 200) {
                break;
            }
            next += 1;
        }
        thread::sleep(BEAT);
    }
}

fn serve(worker: &Worker, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if io::BufRead::read_line(&mut reader, &mut line)? == 0 {
            return Ok(());
        }
        let headers = read_headers(&mut reader)?;
        let length = headers
            .get("content-length")
            .map_or(0, |text| text.parse().unwrap_or(0));
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let path = line.split(' ').nth(1).unwrap_or_default();
        if path == "/sequoiahinge/report" {
            writer.write_all(report(worker).as_bytes())?;
            continue;
        }
        if path == "/health" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nSequoiahinge-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                worker.id
            );
            writer.write_all(head.as_bytes())?;
            continue;
        }
        if headers
            .get("sequoiahinge-expect-instance")
            .is_some_and(|id| *id != worker.id)
        {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nSequoiahinge-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                worker.id
            );
            writer.write_all(head.as_bytes())?;
            continue;
        }
        // An answer without a length: its end is the close of the connection.
        return stream_events(worker, &headers, &mut writer);
    }
}

fn stream_events(
    worker: &Worker,
    headers: &BTreeMap<String, String>,
    writer: &mut TcpStream,
) -> io::Result<()> {
    let request = headers
        .get("sequoiahinge-request-id")
        .cloned()
        .unwrap_or_default();
    let after = headers
        .get("last-event-id")
        .map_or(0, |id| id.parse().unwrap_or(0));
    println!(
        "{} {} runs {request} after event {after}",
        now_ms(),
        worker.id
    );
    worker
        .runs
        .lock()
        .expect("no holder panics")
        .insert(request.clone(), 0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nSequoiahinge-Request-Id: {request}\r\nSequoiahinge-Server-Stamp: {}.{request}\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
        worker.id
    );
    let mut sent = writer.write_all(head.as_bytes());
    for event in after + 1..=EVENTS {
        if sent.is_err() {
            break;
        }
        thread::sleep(EVENT_TIME);
        sent = writer.write_all(format!("id: {event}\ndata: text {event}\n\n").as_bytes());
        worker
            .runs
            .lock()
            .expect("no holder panics")
            .insert(request.clone(), event - after);
    }
    worker
        .runs
        .lock()
        .expect("no holder panics")
        .remove(&request);
    let outcome = if sent.is_ok() {
        "ends with event 40"
    } else {
        "loses its caller"
    };
    println!("{} {} {outcome}: {request}", now_ms(), worker.id);
    sent
}

fn report(worker: &Worker) -> String {
    let runs = worker.runs.lock().expect("no holder panics");
    let listed: Vec<String> = runs
        .iter()
        .map(|(id, events)| format!("[\"{id}\",300,{events},1]"))
        .collect();
    let body = format!(
        "{{\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":0,\
         \"queued\":0,\"active\":{},\"kvUsed\":{},\"kvTotal\":279911,\"handles\":0,\"runs\":[{}]}}",
        runs.len(),
        runs.len() * 300,
        listed.join(",")
    );
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
