//! A small deployment on loopback addresses: the platform's store and its usage intake, replicas, and
//! gateway processes started with the command of the deploy file. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(NULL, |(_, value)| value)
            }
            _ => NULL,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> Option<u64> {
        if let Json::Number(number) = self { Some(*number as u64) } else { None }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}') {
                    return Some(Json::Table(fields));
                }
                loop {
                    self.space();
                    let Json::Text(key) = self.value()? else { return None };
                    if !self.take(b':') {
                        return None;
                    }
                    fields.push((key, self.value()?));
                    if self.take(b'}') {
                        return Some(Json::Table(fields));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']') {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b']') {
                        return Some(Json::List(list));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'"' => {
                self.at += 1;
                let mut text = Vec::new();
                loop {
                    match *self.bytes.get(self.at)? {
                        b'"' => break,
                        b'\\' => {
                            self.at += 1;
                            match *self.bytes.get(self.at)? {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let digits = self.bytes.get(self.at + 1..self.at + 5)?;
                                    let digits = std::str::from_utf8(digits).ok()?;
                                    let code = u32::from_str_radix(digits, 16).ok()?;
                                    let code = char::from_u32(code).unwrap_or('?');
                                    text.extend(code.to_string().bytes());
                                    self.at += 4;
                                }
                                other => text.push(other),
                            }
                        }
                        byte => text.push(byte),
                    }
                    self.at += 1;
                }
                self.at += 1;
                String::from_utf8(text).ok().map(Json::Text)
            }
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let begin = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) & 63;
            text.push(if digit <= part.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------------------------------- HTTP

/// A message with its fields in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// The head of the next message; `None` if the connection ended before it began.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            let end = self.buffer.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(end) = end {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                let mut lines = head.split("\r\n");
                let mut message =
                    Message { first: lines.next().unwrap_or("").to_owned(), ..Message::default() };
                for (name, value) in lines.filter_map(|line| line.split_once(':')) {
                    message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
                }
                return Ok(Some(message));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// The next message with its body. `is_answer`: a body without a length ends with the connection.
    pub fn message(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        let chunked = message.field("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        let length = message.field("content-length").and_then(|v| v.parse::<usize>().ok());
        if chunked {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
                let data = self.take(size + 2)?;
                message.body.extend_from_slice(&data[..size]);
                if size == 0 {
                    message.whole = true;
                    return Ok(Some(message));
                }
            }
        }
        if let Some(length) = length {
            message.body = self.take(length)?;
        } else if is_answer {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
        }
        message.whole = true;
        Ok(Some(message))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }
}

/// Calls `serve` on a thread of its own for each connection to a free port of `ip`.
pub fn listen(ip: Ipv4Addr, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let builder = thread::Builder::new().stack_size(256 << 10);
            // Without a thread the connection is closed, as by a server that has no room.
            let _ = builder.spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream);
            });
        }
    });
    address
}

// -------------------------------------------------------------------------------------- record

/// What was sent, answered and run, in `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<Mutex<fs::File>>, Instant);

impl Record {
    pub fn new(folder: &Path) -> Self {
        let file = fs::File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self(Arc::new(Mutex::new(file)), Instant::now())
    }

    pub fn write(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}\n", self.1.elapsed().as_secs_f64(), text.as_ref());
        let mut file = self.0.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes to the record and to the terminal.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.write(text);
    }
}

// --------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct StoredRow {
    /// Base64; `None` if the row was removed.
    data: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    rows: BTreeMap<(String, String), StoredRow>,
    version: u64,
}

/// The platform's store of rows, one part, one era.
#[derive(Clone)]
pub struct Store {
    tables: Arc<(Mutex<Tables>, Condvar)>,
    begun: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self { tables: Arc::default(), begun: Instant::now() }
    }

    pub fn serve(&self, ip: Ipv4Addr) -> SocketAddr {
        let store = self.clone();
        listen(ip, move |stream| {
            let mut reader = Reader::new(stream);
            while let Ok(Some(request)) = reader.message(false) {
                let (status, body) = store.answer(&request);
                let head = format!(
                    "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len()
                );
                if reader.stream.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
        })
    }

    /// A write of the operator or of a replica; `None` removes the row. Returns its version.
    pub fn put(&self, table: &str, key: &str, data: Option<&str>) -> u64 {
        let mut tables = self.tables.0.lock().unwrap();
        tables.version += 1;
        let (version, data) = (tables.version, data.map(|data| base64(data.as_bytes())));
        tables.rows.insert((table.to_owned(), key.to_owned()), StoredRow { data, version });
        self.tables.1.notify_all();
        version
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode_percent(value))
        };
        let number = |name: &str| field(name).and_then(|value| value.parse::<u64>().ok());
        let table = field("Table").unwrap_or_default();
        match path {
            "/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            "/rows-get" => {
                let from = field("From").unwrap_or_default();
                let limit = number("Limit").unwrap_or(500).min(500) as usize;
                let tables = self.tables.0.lock().unwrap();
                let live = tables.rows.iter().filter(|((name, key), row)| {
                    *name == table && *key >= from && row.data.is_some()
                });
                let rows: Vec<_> = live.clone().take(limit).collect();
                let has_more = live.count() > rows.len();
                (200, self.rows_json(&rows, &format!("\"HasMore\":{has_more},"), tables.version))
            }
            "/rows-feed" => {
                let since = number("SinceRevision").unwrap_or(0);
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0).min(30_000));
                let until = Instant::now() + wait;
                let mut tables = self.tables.0.lock().unwrap();
                loop {
                    let mut rows: Vec<_> = tables
                        .rows
                        .iter()
                        .filter(|((name, _), row)| *name == table && row.version > since)
                        .collect();
                    rows.sort_by_key(|(_, row)| row.version);
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        return (200, self.rows_json(&rows, "", tables.version));
                    }
                    tables = self.tables.1.wait_timeout(tables, left).unwrap().0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let id = |row: &Json| (row.get("Table").text().to_owned(), row.get("Key").text().to_owned());
        let mut tables = self.tables.0.lock().unwrap();
        let is_met = |row: &Json| {
            let live = tables.rows.get(&id(row)).filter(|row| row.data.is_some());
            row.get("SchemaVersion").number() == Some(live.map_or(0, |row| row.version))
        };
        if !body.get("Expect").list().iter().all(is_met) {
            let ids: Vec<_> = body.get("Expect").list().iter().map(id).collect();
            let rows: Vec<_> = tables
                .rows
                .iter()
                .filter(|(key, row)| row.data.is_some() && ids.contains(key))
                .collect();
            return (412, self.rows_json(&rows, "", tables.version));
        }
        tables.version += 1;
        let version = tables.version;
        for row in body.get("Write").list() {
            let data = Some(row.get("Data").text().to_owned());
            tables.rows.insert(id(row), StoredRow { data, version });
        }
        for row in body.get("Remove").list() {
            let id = id(row);
            if tables.rows.get(&id).is_some_and(|row| row.data.is_some()) {
                tables.rows.insert(id, StoredRow { data: None, version });
            }
        }
        self.tables.1.notify_all();
        (200, self.rows_json(&[], "", version))
    }

    fn rows_json(&self, rows: &[(&(String, String), &StoredRow)], more: &str, version: u64) -> String {
        let row = |((table, key), row): &(&(String, String), &StoredRow)| {
            let data = match &row.data {
                Some(data) => format!("\"Data\":\"{data}\""),
                None => "\"Deleted\":true".to_owned(),
            };
            let version = row.version;
            format!(
                "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",{data},\
                 \"SchemaVersion\":{version}}}"
            )
        };
        let rows: Vec<_> = rows.iter().map(row).collect();
        let now = self.begun.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"Rows\":[{rows}],{more}\"SchemaVersion\":{version},\"NowMs\":{now}}}")
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            decoded.push(byte);
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// The intake of usage reports; accepts all.
pub fn serve_cloud(ip: Ipv4Addr, record: &Record) -> SocketAddr {
    let record = record.clone();
    listen(ip, move |stream| {
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message(false) {
            record.write(format!(
                "platform: {} from {} with token {}: {}",
                request.first,
                request.field("duty-holder").unwrap_or("?"),
                request.field("fencing-token").unwrap_or("?"),
                String::from_utf8_lossy(&request.body)
            ));
            if reader.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}").is_err() {
                return;
            }
        }
    })
}

// ------------------------------------------------------------------------------------ replicas

/// How a replica answers a request whose body it has read.
pub type Respond = Arc<dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync>;

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    /// Requests that it began to run.
    pub runs: Arc<AtomicUsize>,
}

/// Head of an answer with the id of its request and the signature.
pub fn signed_head(replica: &str, request: &Message, more: &str) -> String {
    let id = request.field("request-id").unwrap_or("");
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nReplica-Signature: {replica}\r\n{more}\r\n")
}

/// Starts a replica that is registered in the store and writes its heartbeats there.
pub fn start_replica(
    store: &Store,
    record: &Record,
    ip: Ipv4Addr,
    service: &str,
    zone: &str,
    number: usize,
    slots: usize,
    respond: Respond,
) -> Replica {
    let id = format!("i-{service}-{number}");
    let runs = Arc::new(AtomicUsize::new(0));
    let (own, counted, recorded) = (id.clone(), runs.clone(), record.clone());
    let address = listen(ip, move |stream| {
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message(false) {
            let name = request.field("request-id").unwrap_or("-").to_owned();
            if request.field("expect-replica").is_some_and(|expected| expected != own) {
                let answer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
                if reader.stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            counted.fetch_add(1, Ordering::SeqCst);
            recorded.write(format!("replica {own} runs {name}: {}", request.first));
            if respond(&request, &mut reader.stream).is_err() {
                recorded.write(format!("replica {own}: the caller of {name} has left"));
                return;
            }
        }
    });
    let (store, service, zone, key) =
        (store.clone(), service.to_owned(), zone.to_owned(), id.clone());
    let born = unix_ms();
    let beat = move |sequence: u64| {
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0,\
             \"Sequence\":{sequence},\"born\":{born}}}"
        )
    };
    store.put("servers", &key, Some(&beat(1)));
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            store.put("servers", &key, Some(&beat(sequence)));
        }
    });
    Replica { id, address, runs }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

// ------------------------------------------------------------------------------------ gateways

/// Settings of the `edge` machines of a deployment.
pub struct Machine {
    pub memory_mb: usize,
    pub descriptors: usize,
}

/// A gateway process, killed when it is dropped.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

/// A loopback address that no other run uses at the same time.
pub fn own_ip(number: u8) -> Ipv4Addr {
    let [.., middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + number, middle, low.max(1))
}

/// The folder of this run; removed by `World::drop`.
pub fn temporary_folder() -> PathBuf {
    let path = std::env::temp_dir().join(format!("azuregap-review-3-{}", std::process::id()));
    fs::create_dir_all(&path).expect("a temporary folder");
    path
}

impl Gateway {
    /// Starts `target/release/azuregapd hosted`, as `deploy/system.toml` says.
    pub fn start(
        number: u8,
        zone: &str,
        zones: &[&str],
        machine: &Machine,
        store: SocketAddr,
        cloud: SocketAddr,
        folder: &Path,
    ) -> io::Result<Self> {
        let (ip, name) = (own_ip(number), format!("edge-{zone}-1"));
        let mut text = format!(
            "NodeName={name}\nRole=entry\nMachineClass=edge\nServes=edge\nIp={ip}\nZone={zone}\n\
             Region=metro\nListen.Frontend={ip}:8740\nListen.Ready={ip}:8749\n\
             InternalPorts=7200,7215\nBootstrap=true\nLimits.CpuShare=0.19\nLimits.CpuCores=1\n\
             Limits.MemoryMb={}\nLimits.MaxFds={}\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\n\
             HeartbeatMs=1200\nBounds.ContactMs=3000\nBounds.DrainMs=2000\nBounds.GraceS=8\n\
             Bounds.ConfigApplyMs=2000\nBounds.RevokeMs=5000\nBounds.RetryBudgetRatio=0.2\n\
             Bounds.RetryWindowS=10\nBounds.BudgetSlack=52\nBounds.FencingEnabled=true\n\
             Bounds.LeaseMs=3000\nBounds.ReportWindowS=5\nBounds.UsageLateS=10\n\
             Platform.Address={store}\nPlatform.form=table\nCloud.Address={cloud}\n",
            machine.memory_mb, machine.descriptors
        );
        zones.iter().for_each(|zone| text += &format!("Zones.{zone}=metro\n"));
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, text)?;
        let log = fs::File::create(folder.join(format!("{name}.log")))?;
        let errors = log.try_clone()?;
        let child = Command::new("target/release/azuregapd")
            .arg("hosted")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("AZUREGAP_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        let front = SocketAddr::from((ip, 8740));
        Ok(Self { name, front, ready: SocketAddr::from((ip, 8749)), child })
    }

    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// A number of `/proc/PID/status`, in KiB.
    pub fn status(&self, field: &str) -> usize {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(field));
        let number = line.and_then(|line| line.trim_start_matches(':').split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Open descriptors.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Whether the platform's readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = exchange(self.ready, request.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ------------------------------------------------------------------------------------- clients

/// Sends bytes on a new connection and reads one answer.
pub fn exchange(address: SocketAddr, bytes: &[u8], patience: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, patience)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    stream.write_all(bytes)?;
    let mut reader = Reader::new(stream);
    reader.message(true)?.ok_or_else(|| io::ErrorKind::ConnectionAborted.into())
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

pub fn new_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::SeqCst) + 1;
    format!("{:08x}{number:08x}", std::process::id())
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Opens connections from several threads at once; each sends `bytes` and stays open. Those that are
/// refused are left out.
pub fn open_crowd(address: SocketAddr, size: usize, bytes: Vec<u8>) -> Vec<TcpStream> {
    const THREADS: usize = 16;
    let bytes = Arc::new(bytes);
    let open = |share: usize| {
        let bytes = bytes.clone();
        move || {
            let connect = || -> io::Result<TcpStream> {
                let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(3))?;
                stream.set_nodelay(true)?;
                stream.set_write_timeout(Some(Duration::from_secs(2)))?;
                stream.write_all(&bytes)?;
                Ok(stream)
            };
            (0..share).filter_map(|_| connect().ok()).collect::<Vec<_>>()
        }
    };
    let shares = (0..THREADS).map(|thread| size / THREADS + usize::from(thread < size % THREADS));
    let threads: Vec<_> = shares.map(|share| thread::spawn(open(share))).collect();
    threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
}

/// A small deployment: one gateway with the settings of the `edge` machines of `hav-azuregap`, a plain
/// service with three replicas, and one tenant with the key `key`.
pub struct Deployment {
    pub folder: PathBuf,
    pub record: Record,
    pub store: Store,
    pub replicas: Vec<Replica>,
    pub gateway: Gateway,
}

/// Memory of an `edge` machine of `hav-azuregap`, in MB.
pub const MEMORY_MB: usize = 110;

/// Descriptors of such a machine; 200 of them are for files.
pub const DESCRIPTORS: usize = 4_200;

/// Keys and tenants of the first configuration.
pub const TENANTS: &str = r#"[{"Name":"huka270","ApiKeys":["key"]}]"#;

/// The operator's configuration.
pub fn configuration(version: u64, tenants: &str) -> String {
    let route = |name: &str, kind: &str, attempts: u32, public: bool| {
        format!(
            "{{\"Name\":\"r-{name}\",\"Hostname\":\"ficu95.example\",\"PathPrefix\":\"/{name}/\",\
             \"RouteType\":\"{kind}\",\"TimeoutMs\":4000,\"GoalMs\":300,\"Priority\":0,\
             \"Service\":\"wuno96b\",\"MaxAttempts\":{attempts},\"Public\":{public},\"Sticky\":false,\
             \"Resumable\":false,\"TbtTargetMs\":0}}"
        )
    };
    let routes = [
        route("lookup", "idempotent", 2, false),
        route("lodge", "non_idempotent", 1, false),
        route("notes", "idempotent", 2, true),
    ];
    let chat = "{\"Name\":\"r-chat\",\"Hostname\":\"ficu95.example\",\"PathPrefix\":\"/chat/\",\
         \"RouteType\":\"streaming\",\"TimeoutMs\":15000,\"GoalMs\":250,\"Priority\":0,\
         \"Service\":\"huvo11a\",\"MaxAttempts\":1,\"Public\":false,\"Sticky\":true,\
         \"Resumable\":false,\"TbtTargetMs\":150}";
    let routes = format!("{},{chat}", routes.join(","));
    format!(
        "{{\"Version\":{version},\"Routes\":[{routes}],\"Services\":[{{\"Name\":\"wuno96b\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false}},\
         {{\"Name\":\"huvo11a\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Protocol\":\"h1\",\
         \"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":{tenants}}}"
    )
}

impl Deployment {
    /// Starts it and waits until the gateway is ready and in touch; `None` if that can't be.
    pub fn start(folder: &Path, respond: Respond) -> Option<Self> {
        let (record, temporary) = (Record::new(folder), temporary_folder());
        let ip = own_ip(0);
        let store = Store::new();
        let (store_at, cloud_at) = (store.serve(ip), serve_cloud(ip, &record));
        let replica = |number| {
            let respond = respond.clone();
            start_replica(&store, &record, ip, "wuno96b", "praha-a", number, 6, respond)
        };
        let replicas = (1..=3).map(replica).collect();
        store.put("op", "config", Some(&configuration(1, TENANTS)));
        let machine = Machine { memory_mb: MEMORY_MB, descriptors: DESCRIPTORS };
        let zones = ["praha-a", "praha-b", "kladno-c"];
        let gateway =
            Gateway::start(1, "praha-a", &zones, &machine, store_at, cloud_at, &temporary);
        let gateway = gateway.inspect_err(|error| record.say(format!("no gateway: {error}"))).ok()?;
        if !gateway.wait_until_ready(Duration::from_secs(20)) {
            record.say("the gateway doesn't become ready");
            return None;
        }
        // A machine is in touch once it has run for `ContactMs`.
        thread::sleep(CONTACT);
        record.write("the gateway is ready and in touch");
        Some(Self { folder: temporary, record, store, replicas, gateway })
    }

    pub fn runs(&self) -> usize {
        self.replicas.iter().map(|replica| replica.runs.load(Ordering::SeqCst)).sum()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // The log of the gateway is of no use to a record; nothing is lost if the folder stays.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// `ContactMs`.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Answers with 800 bytes after 15 ms, as the plain service of `hav-azuregap` does on average.
pub fn plain_answer() -> Respond {
    Arc::new(|request, stream| {
        thread::sleep(Duration::from_millis(15));
        let head = signed_head("3e1b.07.5a2.600.0.c9f2a4d1", request, "Content-Length: 800\r\n");
        stream.write_all((head + &"x".repeat(800)).as_bytes())
    })
}

/// The head of a request with a body of `length` bytes, and with a key unless that is empty.
pub fn request_head(method: &str, path: &str, key: &str, id: &str, length: usize) -> String {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {length}\r\n") };
    let key =
        if key.is_empty() { String::new() } else { format!("Authorization: Token {key}\r\n") };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 4000\r\n{key}{length}\r\n"
    )
}

/// How a request ended: its last status, or what became of the connection.
pub fn ask(front: SocketAddr, record: &Record, method: &str, path: &str, body: usize) -> String {
    let id = new_id();
    let bytes = request_head(method, path, "key", &id, body) + &"y".repeat(body);
    let answer = exchange(front, bytes.as_bytes(), Duration::from_secs(4));
    let outcome = match answer {
        Ok(answer) => answer.status().to_string(),
        Err(error) => format!("{:?}", error.kind()),
    };
    record.write(format!("client: {method} {path} as {id}: {outcome}"));
    outcome
}

/// A request of an ordinary client, which retries on new connections within its deadline of 4 s:
/// after any failure if it is idempotent, waiting as long as a refusal says. Returns whether it was
/// answered with success.
pub fn ask_with_retries(front: SocketAddr, record: &Record, method: &str, path: &str, body: usize) -> bool {
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        if ask(front, record, method, path, body) == "200" {
            return true;
        }
        thread::sleep(Duration::from_millis(500));
    }
    false
}
