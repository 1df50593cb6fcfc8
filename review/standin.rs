//! Stand-ins for the cases of this review: the platform's store, replicas and clients, and the
//! start and end of VMs. Uses only the standard library.
//!
//! Everything listens on loopback addresses, on ports that are free. The program that is tested
//! is `target/release/geraniumgauge-edge`, started as the deploy file says.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

mod cases;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// The program and the variable for its settings, as in the deploy file and its page.
const PROGRAM: &str = "target/release/geraniumgauge-edge";
const SETTINGS_VARIABLE: &str = "GERANIUMGAUGE_BOOT";

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn note(&self, text: impl Into<String>) {
        let text = text.into();
        self.lines
            .lock()
            .unwrap()
            .push((self.start.elapsed(), text));
    }

    fn write(&self, path: &str) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|line| line.0);
        let mut text = String::new();
        for (at, line) in lines {
            text.push_str(&format!("{:9.3} s  {line}\n", at.as_secs_f64()));
        }
        fs::write(path, text)
    }
}

/// A whole HTTP message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16384];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads the head of the next message.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            line: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    pub fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the next message with its body, which has a length or comes in chunks.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|coding| coding == "chunked");
        if chunked {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.bytes(size)?;
                self.line()?;
                message.body.extend(chunk);
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        message.body = self.bytes(length.unwrap_or(0))?;
        Ok(message)
    }
}

/// Encodes an answer.
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves every connection to `listener` in a thread of its own.
fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
}

struct Object {
    revision: u64,
    spec: String,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    /// Revision, kind and text of each change.
    log: Vec<(u64, String, String)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    objects: Arc<(Mutex<Objects>, Condvar)>,
    pub address: SocketAddr,
}

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{revision},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            objects: Arc::default(),
            address: listener.local_addr()?,
        };
        let serving = store.clone();
        serve(listener, move |stream| {
            let mut reader = Reader::new(stream);
            while let Ok(request) = reader.message() {
                let (status, body) = serving.call(&request);
                let headers = "Content-Type: application/json\r\n";
                if reader
                    .stream
                    .write_all(&answer(status, headers, body.as_bytes()))
                    .is_err()
                {
                    return;
                }
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut objects = self.objects.0.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let object = Object {
            revision,
            spec: spec.to_owned(),
        };
        objects
            .kinds
            .entry(kind.to_owned())
            .or_default()
            .insert(name.to_owned(), object);
        let event = format!(
            "{{\"object\":{},\"deleted\":false}}",
            object_text(name, revision, spec)
        );
        objects.log.push((revision, kind.to_owned(), event));
        self.objects.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.0.lock().unwrap();
        if objects
            .kinds
            .get_mut(kind)
            .and_then(|kind| kind.remove(name))
            .is_none()
        {
            return;
        }
        objects.revision += 1;
        let revision = objects.revision;
        let event = format!(
            "{{\"object\":{},\"deleted\":true}}",
            object_text(name, revision, "{}")
        );
        objects.log.push((revision, kind.to_owned(), event));
        self.objects.1.notify_all();
    }

    fn call(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let method = request.line.split(' ').next().unwrap_or("");
        if method != "GET" {
            return self.write(method, &kind, name, &String::from_utf8_lossy(&request.body));
        }
        let mut objects = self.objects.0.lock().unwrap();
        if let Some(name) = name {
            let found = objects.kinds.get(&kind).and_then(|kind| kind.get(&name));
            return match found {
                Some(object) => (200, object_text(&name, object.revision, &object.spec)),
                None => (404, "{}".to_owned()),
            };
        }
        if let Some(after) = field("watch").and_then(|text| text.parse::<u64>().ok()) {
            let wait = field("wait_ms")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            loop {
                let log = objects
                    .log
                    .iter()
                    .filter(|(revision, of, _)| *revision > after && *of == kind);
                let events: Vec<&str> = log.map(|(_, _, event)| event.as_str()).collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let events = events.join(",");
                    return (
                        200,
                        format!("{{\"events\":[{events}],\"as_of\":{}}}", objects.revision),
                    );
                }
                objects = self.objects.1.wait_timeout(objects, left).unwrap().0;
            }
        }
        let after = field("after").unwrap_or_default();
        let listed = objects.kinds.get(&kind).into_iter().flatten();
        let listed = listed.filter(|(name, _)| **name > after);
        let items: Vec<String> = listed
            .map(|(name, object)| object_text(name, object.revision, &object.spec))
            .collect();
        let items = items.join(",");
        (
            200,
            format!(
                "{{\"items\":[{items}],\"more\":false,\"as_of\":{}}}",
                objects.revision
            ),
        )
    }

    /// Carries out a write of the program, whose bodies are `{"meta":{"name":N},"spec":S}`.
    fn write(&self, method: &str, kind: &str, name: Option<String>, body: &str) -> (u16, String) {
        let spec = body
            .split_once("\"spec\":")
            .map(|(_, rest)| &rest[..rest.len() - 1]);
        let named = body
            .split_once("\"name\":\"")
            .and_then(|(_, rest)| rest.split_once('"'));
        let (Some(spec), Some(name)) = (spec, name.or(named.map(|(name, _)| name.to_owned())))
        else {
            return (400, "{}".to_owned());
        };
        let exists = {
            let objects = self.objects.0.lock().unwrap();
            objects
                .kinds
                .get(kind)
                .is_some_and(|kind| kind.contains_key(&name))
        };
        match (method, exists) {
            ("PUT", false) => return (404, "{}".to_owned()),
            ("POST", true) => return (409, "{}".to_owned()),
            _ => {}
        }
        self.put(kind, &name, spec);
        (200, "{}".to_owned())
    }
}

/// What a replica does with a request, which it has read whole. It writes its answer itself and
/// returns whether the connection stays open.
pub type Behaviour = Arc<dyn Fn(&Message, &mut Reader, &Replica) -> bool + Send + Sync>;

/// One replica. It refuses requests that are meant for another one.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub record: Record,
    /// Ids of the requests that it has run, in order.
    pub runs: Arc<Mutex<Vec<String>>>,
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        record: &Record,
        behaviour: Behaviour,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            record: record.clone(),
            runs: Arc::default(),
        };
        let serving = replica.clone();
        serve(listener, move |stream| {
            let mut reader = Reader::new(stream);
            while let Ok(request) = reader.message() {
                if !serving.handle(&request, &mut reader, &behaviour) {
                    return;
                }
            }
        });
        Ok(replica)
    }

    fn handle(&self, request: &Message, reader: &mut Reader, behaviour: &Behaviour) -> bool {
        if request.path() == "/healthz" {
            let id = format!("X-Instance-Id: {}\r\n", self.id);
            return reader.stream.write_all(&answer(200, &id, b"")).is_ok();
        }
        if request.header("x-expect-instance") != Some(self.id.as_str()) {
            return reader
                .stream
                .write_all(&answer(421, "X-Not-Run: 1\r\n", b""))
                .is_ok();
        }
        behaviour(request, reader, self)
    }

    /// Notes that the replica begins to run a request.
    pub fn run(&self, request: &Message) {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        self.record
            .note(format!("replica {} runs request {id}", self.id));
        self.runs.lock().unwrap().push(id);
    }

    /// Answers a request with success.
    pub fn reply(&self, request: &Message, reader: &mut Reader, body: &[u8]) -> bool {
        let id = request.header("x-request-id").unwrap_or("");
        let headers = format!(
            "X-Request-Id: {id}\r\nX-Server-Stamp: s.{}.{id}\r\n",
            self.id
        );
        let sent = reader
            .stream
            .write_all(&answer(200, &headers, body))
            .is_ok();
        self.record.note(format!(
            "replica {} answers request {id}: 200, sent {sent}",
            self.id
        ));
        sent
    }

    /// Returns its entry in the store.
    pub fn entry(&self, zone: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":3,\
             \"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":9,\"born\":1700000000000}}",
            self.service, self.address
        )
    }

    pub fn register(&self, store: &Store, zone: &str) {
        store.put("servers", &self.id, &self.entry(zone));
    }

    pub fn ran(&self, id: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|ran| ran == id)
    }
}

/// Returns a route to one replica of a service.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"pupu76.example\",\"path_prefix\":\"{prefix}\",\"type\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"slo_ms\":400,\"priority\":2,\"attempts\":2,\"service\":\"{service}\"}}"
    )
}

/// Returns the configuration with these routes and services.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":40}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Ports that are free on all of these addresses.
fn free_ports(ips: &[String]) -> io::Result<[u16; 4]> {
    'again: loop {
        let mut held = Vec::new();
        let mut ports = [0; 4];
        for port in &mut ports {
            let first = TcpListener::bind((ips[0].as_str(), 0))?;
            *port = first.local_addr()?.port();
            held.push(first);
            for ip in &ips[1..] {
                match TcpListener::bind((ip.as_str(), *port)) {
                    Ok(listener) => held.push(listener),
                    Err(_) => continue 'again,
                }
            }
        }
        return Ok(ports);
    }
}

/// A VM: its settings and its process.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Vm {
    /// Prepares VMs of one zone, without starting them.
    pub fn prepare(
        count: usize,
        store: &Store,
        folder: &std::path::Path,
        record: &Record,
    ) -> io::Result<Vec<Self>> {
        let block = std::process::id() % 200 + 20;
        let ips: Vec<String> = (0..count)
            .map(|vm| format!("127.{block}.7.{}", vm + 1))
            .collect();
        let [callers, readiness, admin, mesh] = free_ports(&ips)?;
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{admin}\""))
            .collect();
        let seeds = seeds.join(",");
        let mut vms = Vec::new();
        for (index, ip) in ips.iter().enumerate() {
            let name = format!("edge-akl-a-{}", index + 1);
            // As on the page, with the bounds of the small sites.
            let text = format!(
                "{{\"node\":\"{name}\",\"role\":\"edge\",\"machine_class\":\"edge\",\"serves\":[\"edge\",\"control_plane\"],\
                 \"ip\":\"{ip}\",\"zone\":\"akl-a\",\"region\":\"auckland\",\"zones\":{{\"akl-a\":\"auckland\"}},\
                 \"listen\":{{\"client_listen\":\"{ip}:{callers}\",\"readiness\":\"{ip}:{readiness}\",\"admin\":\"{ip}:{admin}\"}},\
                 \"internal_ports\":[{mesh},{mesh}],\"seeds\":[{seeds}],\"bootstrap\":true,\"counts_as_loss\":false,\
                 \"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0}},\
                 \"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":1200,\
                 \"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stable_window_ms\":4000,\"ack_ms\":5000,\"sync_s\":4,\
                 \"drain_ms\":3000,\"grace_s\":6,\"loss_slack_ms\":200,\"config_apply_ms\":3000,\"rollback_slack_ms\":250,\
                 \"max_skew_ms\":12000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"retry_budget_extra\":56,\"recovery_s\":12}},\
                 \"platform\":{{\"address\":\"{}\",\"form\":\"objects\",\"writes_per_s\":400,\"reads_per_s\":2000,\
                 \"history_s\":20,\"value_bytes\":1048576,\"min_ttl_ms\":1000}}}}",
                store.address
            );
            let settings = folder.join(format!("{name}.json"));
            fs::write(&settings, text)?;
            vms.push(Self {
                callers: format!("{ip}:{callers}")
                    .parse()
                    .map_err(io::Error::other)?,
                readiness: format!("{ip}:{readiness}")
                    .parse()
                    .map_err(io::Error::other)?,
                settings,
                log: folder.join(format!("{name}.log")),
                child: None,
                record: record.clone(),
                name,
            });
        }
        Ok(vms)
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.record.note(format!("{} starts", self.name));
        Ok(())
    }

    /// Asks whether the VM is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream =
                TcpStream::connect_timeout(&self.readiness, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream
                .write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(Reader::new(stream).head()?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Waits until the VM is ready.
    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                self.record.note(format!("{} is ready", self.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!(
            "{} isn't ready in time",
            self.name
        )))
    }

    /// Sends a signal by its name.
    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        self.record.note(format!("SIG{signal} to {}", self.name));
        let number = match signal {
            "HUP" => 1,
            "KILL" => 9,
            "TERM" => 15,
            "CONT" => 18,
            _ => 19,
        };
        // SAFETY: only sends a signal to a process that this program has started.
        unsafe { kill(child.id() as i32, number) };
    }

    /// Waits for the end of the process.
    pub fn wait_end(&mut self, limit: Duration) {
        let end = Instant::now() + limit;
        while let Some(child) = &mut self.child {
            if let Ok(Some(status)) = child.try_wait() {
                self.record
                    .note(format!("{} has ended: {status}", self.name));
                self.child = None;
            } else if Instant::now() >= end {
                return;
            } else {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// How a request ended for its client.
#[derive(Debug, Clone)]
pub enum End {
    Answer(Message),
    /// The connection ended without a complete answer.
    Cut(String),
}

impl End {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(answer) => answer.status(),
            Self::Cut(_) => 0,
        }
    }
}

impl std::fmt::Display for End {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Answer(answer) => write!(out, "answered {}", answer.status()),
            Self::Cut(why) => write!(out, "no answer, the connection ended: {why}"),
        }
    }
}

/// Reads the answer to a request that was sent.
pub fn read_answer(reader: &mut Reader, limit: Duration) -> End {
    let _ = reader.stream.set_read_timeout(Some(limit));
    match reader.message() {
        Ok(answer) => End::Answer(answer),
        Err(error) => End::Cut(error.to_string()),
    }
}

/// Sends a request with a body over a new connection and waits for its answer.
pub fn send(
    vm: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> End {
    let sent = || -> io::Result<Reader> {
        let mut stream = TcpStream::connect_timeout(&vm, Duration::from_secs(1))?;
        let _ = stream.set_nodelay(true);
        let length = if method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: pupu76.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
        );
        stream.write_all(&[head.as_bytes(), body].concat())?;
        Ok(Reader::new(stream))
    };
    match sent() {
        Ok(mut reader) => read_answer(&mut reader, Duration::from_millis(deadline_ms)),
        Err(error) => End::Cut(error.to_string()),
    }
}

/// What a case needs.
pub struct World {
    pub record: Record,
    pub store: Store,
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record_path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new();
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let run = || -> io::Result<bool> {
        fs::create_dir_all(&folder)?;
        let world = World {
            record: record.clone(),
            store: Store::start()?,
            folder: folder.clone(),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        };
        cases::run(case, &world)
    };
    let held = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let held = held.unwrap_or_else(|_| Err(io::Error::other("a panic")));
    let outcome = match &held {
        Ok(true) => "the rule held".to_owned(),
        Ok(false) => "the rule was broken".to_owned(),
        Err(error) => format!("the case couldn't run: {error}"),
    };
    record.note(outcome.clone());
    println!("{outcome}");
    let written = record.write(record_path);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&folder);
    }
    match (held, written) {
        (Ok(true), Ok(())) => ExitCode::SUCCESS,
        (Ok(false), Ok(())) => ExitCode::from(1),
        _ => ExitCode::from(2),
    }
}
