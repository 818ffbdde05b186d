//! A small deployment for the scripts under `review/`: the project's own control, gateway and admission processes, started
//! with the commands of the deploy file on loopback addresses, and stand-ins of workers, clients and the operator.
//!
//! Uses the standard library only.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "wuny96.example";
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";
pub const TENANT: &str = "hule930";
pub const SERVICE: &str = "dele69a";

/// The record of what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be created");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        writeln!(file, "{at:9.3} {text}").expect("the record can be written");
    }
}

/// One HTTP response that was read to its end or as far as it came.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the end of the body was seen, as its framing defines it.
    pub is_complete: bool,
    pub ended_by: &'static str,
}

impl Answer {
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.trim().parse().ok()).collect()
    }
}

/// Sends a request on a new connection and reads the answer; gives up after a silence of `gap`.
pub fn exchange(address: SocketAddr, head: &str, body: &[u8], gap: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(gap))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    read_answer(&mut BufReader::new(stream))
}

pub fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Answer> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(reader)?;
    let mut answer = Answer {
        status,
        headers,
        body: Vec::new(),
        is_complete: false,
        ended_by: "",
    };
    let header = |name: &str| answer.headers.get(name).cloned();
    let ended = if header("transfer-encoding").is_some() {
        read_chunks(reader, &mut answer.body)
    } else if let Some(length) = header("content-length") {
        let length = length.parse().unwrap_or(0);
        let mut rest = vec![0; length];
        let read = reader.read_exact(&mut rest);
        answer.body = rest;
        read.map(|()| "its length")
    } else {
        reader.read_to_end(&mut answer.body).map(|_| "the close")
    };
    match ended {
        Ok(cause) => {
            answer.is_complete = true;
            answer.ended_by = cause;
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => answer.ended_by = "silence",
        Err(_) => answer.ended_by = "a cut",
    }
    Ok(answer)
}

pub fn read_headers(reader: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<&'static str> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let length = usize::from_str_radix(line.trim(), 16);
        let length = length.map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok("the last chunk");
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// A process that the script started, which is killed when the handle is dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn kill(&mut self) {
        let _ended_already = self.child.kill();
        let _status = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn edge_ip(number: usize) -> String {
    format!("127.0.10.{number}")
}

pub fn side_ip(number: usize) -> String {
    format!("127.0.20.{number}")
}

/// Ports, which are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub app: u16,
    pub range: u16,
}

impl Ports {
    /// Finds a block of ports that are free on every address of the deployment.
    pub fn free() -> Self {
        let mut seed = std::process::id() as u16;
        loop {
            seed = seed.wrapping_mul(31).wrapping_add(977);
            let base = 12_000 + seed % 18_000;
            let is_free = (0..24).all(|offset| {
                let ips = (1..=3).map(edge_ip).chain((1..=4).map(side_ip));
                ips.into_iter()
                    .all(|ip| TcpListener::bind(format!("{ip}:{}", base + offset)).is_ok())
            });
            if is_free {
                return Self {
                    range: base,
                    front: base + 16,
                    ready: base + 17,
                    control: base + 18,
                    app: base + 19,
                };
            }
        }
    }
}

/// The running deployment.
pub struct Fleet {
    pub ports: Ports,
    pub folder: PathBuf,
    pub controls: Vec<Process>,
    pub gateways: Vec<Process>,
    pub admissions: Vec<Process>,
    pub record: Record,
}

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

fn zone_of(number: usize) -> &'static str {
    ZONES[(number - 1) % ZONES.len()]
}

fn zones_table() -> String {
    let lines = ZONES.map(|zone| format!("\"{zone}\" = \"nl-west\"\n"));
    format!("[data_centers]\n{}", lines.concat())
}

fn common(node: &str, zone: &str) -> String {
    format!(
        "instance = \"{node}\"\ndata_center = \"{zone}\"\ncluster_id = \"sequoiahinge\"\n\
         cluster_key = \"sequoiahinge-on-a-private-network\"\n"
    )
}

impl Fleet {
    /// Starts control and a gateway on three edge machines, and an admission on each side machine.
    pub fn start(record: &Record, sides: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("hinge-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let mut fleet = Self {
            ports: Ports::free(),
            folder,
            controls: Vec::new(),
            gateways: Vec::new(),
            admissions: Vec::new(),
            record: record.clone(),
        };
        for number in 1..=3 {
            let settings = fleet.control_settings(number, true);
            let control = fleet.spawn("control", &format!("control-{number}"), &settings);
            fleet.controls.push(control);
            let settings = fleet.gateway_settings(number);
            let gateway = fleet.spawn("gateway", &format!("gateway-{number}"), &settings);
            fleet.gateways.push(gateway);
        }
        for number in 1..=sides {
            let settings = fleet.admission_settings(number);
            let admission = fleet.spawn("admission", &format!("admission-{number}"), &settings);
            fleet.admissions.push(admission);
        }
        fleet
    }

    pub fn seeds(&self) -> Vec<String> {
        let seeds = (1..=3).map(|number| format!("{}:{}", edge_ip(number), self.ports.control));
        seeds.collect()
    }

    fn seed_list(&self) -> String {
        let seeds = self.seeds();
        let quoted: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        quoted.join(", ")
    }

    /// As `deploy/control.toml`, filled in.
    fn control_settings(&self, number: usize, bootstrap: bool) -> String {
        let (ip, ports) = (edge_ip(number), self.ports);
        let data = self.folder.join(format!("data-{number}"));
        fs::create_dir_all(&data).expect("a data folder can be made");
        format!(
            "{}peer_listen = \"{ip}:{}\"\nadmin_listen = \"{ip}:{}\"\ndata_folder = \"{}\"\n\
             [control]\nbootstrap = {bootstrap}\nfounders = [{}]\ntolerated_losses = 1\n\
             election_timeout_ms = 500\nheartbeat_ms = 100\n{}",
            common(&format!("edge-{number}"), zone_of(number)),
            ports.control,
            ports.range + 15,
            data.display(),
            self.seed_list(),
            zones_table()
        )
    }

    /// As `deploy/gateway.toml`, filled in.
    fn gateway_settings(&self, number: usize) -> String {
        let (ip, ports) = (edge_ip(number), self.ports);
        format!(
            "{}admin_listen = \"{ip}:{}\"\ncontrol_addresses = [{}]\n[gateway]\n\
             listen = \"{ip}:{}\"\nready_listen = \"{ip}:{}\"\nadmission_port = {}\n\
             handoff_first_port = {}\nhandoff_last_port = {}\nmax_state_age_ms = 5000\n{}",
            common(&format!("edge-{number}"), zone_of(number)),
            ports.range,
            self.seed_list(),
            ports.front,
            ports.ready,
            ports.range,
            ports.range,
            ports.range + 15,
            zones_table()
        )
    }

    /// As `deploy/admission.toml`, filled in.
    fn admission_settings(&self, number: usize) -> String {
        let (ip, ports) = (side_ip(number), self.ports);
        format!(
            "{}peer_listen = \"{ip}:{}\"\nadmin_listen = \"{ip}:{}\"\n[admission]\nengine = \"{ip}:{}\"\n",
            common(&format!("side-{number}"), zone_of(number)),
            ports.range,
            ports.range + 15,
            ports.app
        )
    }

    fn spawn(&self, role: &str, name: &str, settings: &str) -> Process {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("settings can be written");
        let log = self.log(name);
        let child = Command::new("target/release/sequoiahinge")
            .args([role, "--settings"])
            .arg(&path)
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the daemon is built");
        self.record.line(&format!("started {name}"));
        Process { child }
    }

    fn log(&self, name: &str) -> File {
        let path = self.folder.join(format!("{name}.log"));
        let opened = OpenOptions::new().create(true).append(true).open(path);
        opened.expect("a log can be opened")
    }

    /// Starts a worker stand-in, which is this program in another process.
    pub fn spawn_worker(&self, number: usize, id: &str) -> Process {
        let address = format!("{}:{}", side_ip(number), self.ports.app);
        let log = self.log(&format!("worker-{number}"));
        let child = Command::new(std::env::current_exe().expect("this program has a path"))
            .args(["worker", &address, id, zone_of(number)])
            .args(self.seeds())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the stand-in can be started");
        self.record
            .line(&format!("started worker {id} at {address}"));
        Process { child }
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        let text = format!("{}:{}", edge_ip(number), self.ports.front);
        text.parse().expect("an address")
    }

    fn ready(&self, number: usize) -> SocketAddr {
        let text = format!("{}:{}", edge_ip(number), self.ports.ready);
        text.parse().expect("an address")
    }

    /// Sends a configuration to one node after the other until it is acknowledged.
    pub fn put_configuration(&self, body: &str) -> bool {
        let seeds = self.seeds();
        for attempt in 0..60 {
            let address = seeds[attempt % seeds.len()].parse().expect("an address");
            let called = call(address, "PUT", "/sequoiahinge/config", body);
            if called.as_ref().is_ok_and(|answer| answer.status == 200) {
                self.record.line("the configuration is acknowledged");
                return true;
            }
            thread::sleep(Duration::from_millis(250));
        }
        false
    }

    /// Waits until every gateway says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        for _ in 0..80 {
            let is_ready = |number: usize| {
                let answer = call(self.ready(number), "GET", "/sequoiahinge/ready", "");
                answer.is_ok_and(|answer| answer.status == 200)
            };
            if (1..=3).all(is_ready) {
                self.record.line("all gateways are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(250));
        }
        false
    }

    /// Copies what the workers recorded to the record, and removes the temporary folder.
    pub fn finish(mut self) {
        self.gateways.clear();
        self.controls.clear();
        self.admissions.clear();
        if std::env::var_os("KEEP").is_none() {
            let _left_behind = fs::remove_dir_all(&self.folder);
        }
    }

    pub fn worker_log(&self, number: usize) -> String {
        let path = self.folder.join(format!("worker-{number}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }
}

/// Makes a call of the operator or of a worker.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Answer> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    exchange(address, &head, body.as_bytes(), Duration::from_secs(1))
}

/// Sends one request of the stream class, and returns its answer.
pub fn send_stream(
    address: SocketAddr,
    path: &str,
    id: &str,
    deadline_ms: u64,
    gap: Duration,
) -> io::Result<Answer> {
    let body = "{\"spot\":1}";
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nSequoiahinge-Request-Id: {id}\r\n\
         Sequoiahinge-Model: m\r\nSequoiahinge-Token-Usage: 300,160\r\n\
         Sequoiahinge-Prompt-Prefix: {id}a:100,{id}b:200\r\nSequoiahinge-Deadline-Ms: {deadline_ms}\r\n\
         Sequoiahinge-Credential: {KEY}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    exchange(address, &head, body.as_bytes(), gap)
}

pub fn now_ms() -> u128 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.expect("the clock is past 1970").as_millis()
}

pub fn is_in_repository() -> bool {
    Path::new("target/release/sequoiahinge").exists()
}
