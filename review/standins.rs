//! Stand-ins and driver of the cases in this folder. Standard library only; `build.sh` builds it.
//!
//! One process holds the stand-ins of the platform's store, the origin of weights, the workers and
//! the clients, each behind its own TCP listener on a loopback address. The programs under test run
//! as separate processes, started with the commands of the deploy file.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENTRY_IP: &str = "127.0.0.1";
const ENGINE_IP: &str = "127.0.0.2";
const MODEL: &str = "m0";
const CHUNKS: usize = 96;
const CHUNK_BYTES: usize = 24_576;

/// Exit codes of a case.
const HELD: i32 = 0;
const BROKEN: i32 = 1;
const COULD_NOT_RUN: i32 = 2;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, trouble] = &arguments[..] else {
        eprintln!("usage: standins CASE FOLDER TROUBLE");
        std::process::exit(COULD_NOT_RUN);
    };
    let bench = Arc::new(Bench::new(folder));
    let has_trouble = trouble != "0";
    bench.note(format!("case={case} trouble={}", u8::from(has_trouble)));
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "revoked-key" => revoked_key(&bench, has_trouble),
        "spoilt-weights" => spoilt_weights(&bench, has_trouble),
        "public-key" => public_key(&bench, has_trouble),
        "late-refusal" => late_refusal(&bench, has_trouble),
        "spoilt-list" => spoilt_list(&bench, has_trouble),
        "stalled-send" => stalled_send(&bench, has_trouble),
        _ => COULD_NOT_RUN,
    }));
    let code = played.unwrap_or(COULD_NOT_RUN);
    bench.stop_all();
    bench.note(format!("exit={code}"));
    std::process::exit(code);
}

// ---------------------------------------------------------------- driver

/// The programs under test, the record of what happened and the clock of the case.
struct Bench {
    start: Instant,
    record: Mutex<std::fs::File>,
    scratch: PathBuf,
    children: Mutex<Vec<Child>>,
}

impl Bench {
    fn new(folder: &str) -> Self {
        let scratch = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&scratch).expect("a temporary folder");
        let record = std::fs::File::create(format!("{folder}/record.txt")).expect("record.txt");
        Self {
            start: Instant::now(),
            record: Mutex::new(record),
            scratch,
            children: Mutex::default(),
        }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}\n", self.now(), text.as_ref());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    /// Starts a program with the command of the deploy file, on a settings file of its own.
    fn spawn(&self, program: &str, name: &str, settings: &str) -> u32 {
        let path = self.scratch.join(format!("{name}.conf"));
        std::fs::write(&path, settings).expect("a settings file");
        let log = if std::env::var("KEEP_LOGS").is_ok() {
            std::fs::File::create(self.scratch.join(format!("{name}.log"))).unwrap()
        } else {
            std::fs::File::options().write(true).open("/dev/null").unwrap()
        };
        let child = Command::new(format!("target/release/{program}"))
            .args(["--settings", path.to_str().unwrap()])
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            eprintln!("{program}: {error}; build as the deploy file says");
            std::process::exit(COULD_NOT_RUN);
        });
        let id = child.id();
        self.note(format!("start {name} ({program})"));
        self.children.lock().unwrap().push(child);
        id
    }

    fn signal(&self, name: &str, process: u32, signal: &str) {
        self.note(format!("signal {signal} to {name}"));
        let _ = Command::new("kill").args([format!("-{signal}"), process.to_string()]).status();
    }

    fn stop_all(&self) {
        for child in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.scratch);
        } else {
            eprintln!("logs: {}", self.scratch.display());
        }
    }

    /// Waits until `is_done`; ends the case as one that could not run if that takes too long.
    fn wait_until(&self, what: &str, limit_s: f64, is_done: impl Fn() -> bool) {
        let start = self.now();
        while !is_done() {
            if self.now() - start > limit_s {
                self.note(format!("could not run: {what} took over {limit_s} s"));
                self.stop_all();
                std::process::exit(COULD_NOT_RUN);
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.note(format!("reached: {what}"));
    }
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A free port at a loopback address, for TCP and UDP.
fn free_port(ip: &str) -> u16 {
    loop {
        let port = TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port();
        if std::net::UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

// ---------------------------------------------------------------- HTTP

struct Call {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Call {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.target.split_once('?')?.1.split('&');
        pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|it| it.1)
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_string(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

/// Reads a body that has a length or comes in chunks; `None` where its end shows nothing.
fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let value = |name: &str| {
        headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    };
    let mut body = Vec::new();
    if value("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = value("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| {
        let _ = write!(head, "{name}: {value}\r\n");
    });
    let mut bytes = (head + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn json_answer(status: u16, body: &str) -> Vec<u8> {
    answer(status, &[("content-type", "application/json")], body.as_bytes())
}

/// Serves calls at a free port of `ip`; a handler returns the bytes of the whole answer.
fn serve(ip: &str, handler: impl Fn(Call) -> Vec<u8> + Send + Sync + 'static) -> SocketAddr {
    serve_channels(ip, move |call, _| (Vec::new(), handler(call)))
}

/// Like [`serve`]. The handler also gets the answer before on the same channel; it returns bytes that
/// are sent as soon as the request is in, and the bytes of the answer.
fn serve_channels(
    ip: &str,
    handler: impl Fn(Call, &[u8]) -> (Vec<u8>, Vec<u8>) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                let mut last_answer = Vec::new();
                while let Ok(Some((first, headers))) = read_head(&mut reader) {
                    let Ok(body) = read_body(&mut reader, &headers) else { return };
                    let mut words = first.split(' ').map(str::to_string);
                    let (Some(method), Some(target)) = (words.next(), words.next()) else { return };
                    let call = Call { method, target, headers, body };
                    let (early, bytes) = handler(call, &last_answer);
                    if writer.write_all(&early).and_then(|()| writer.write_all(&bytes)).is_err() {
                        return;
                    }
                    last_answer = bytes;
                }
            });
        }
    });
    address
}

/// A client's channel to an entry, which is kept for many requests.
struct Channel {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
    body: Vec<u8>,
}

impl Channel {
    fn new(address: SocketAddr) -> Self {
        Self { address, stream: None, body: b"hi".to_vec() }
    }

    /// Sends a request; returns status, headers and body.
    fn call(
        &mut self,
        path: &str,
        attempt: &str,
        key: &str,
        extra: &[(&str, &str)],
    ) -> io::Result<(u16, Vec<(String, String)>, Vec<u8>)> {
        let sent = self.exchange(path, attempt, key, extra);
        if sent.is_err() {
            self.stream = None;
        }
        sent
    }

    fn exchange(
        &mut self,
        path: &str,
        attempt: &str,
        key: &str,
        extra: &[(&str, &str)],
    ) -> io::Result<(u16, Vec<(String, String)>, Vec<u8>)> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(7)))?;
            self.stream = Some(BufReader::new(stream));
        }
        let reader = self.stream.as_mut().expect("connected above");
        let mut head = format!(
            "POST {path} HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: 6000\r\nContent-Length: {}\r\n",
            self.body.len()
        );
        if !key.is_empty() {
            let _ = write!(head, "Authorization: Token {key}\r\n");
        }
        extra.iter().for_each(|(name, value)| {
            let _ = write!(head, "{name}: {value}\r\n");
        });
        let mut bytes = (head + "\r\n").into_bytes();
        bytes.extend_from_slice(&self.body);
        reader.get_mut().write_all(&bytes)?;
        let (first, headers) =
            read_head(reader)?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let status = first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        let body = read_body(reader, &headers)?;
        if headers.iter().any(|(name, value)| {
            name.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close")
        }) {
            self.stream = None;
        }
        Ok((status, headers, body))
    }
}

// ---------------------------------------------------------------- the platform's store

/// The bytes of values after which the store ends an answer, as it does for pages.
const ANSWER_BYTES: usize = 1_000_000;

/// The items after which the store ends an answer.
const ANSWER_ITEMS: usize = 500;

struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64, u64)>,
    /// Revision, key and value of each change; the value of a removal is `None`.
    history: Vec<(u64, String, Option<String>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// The store's side towards the system. While `is_silent`, it gives the machines of the system no
/// response; the operator and the workers are served all the while.
struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    is_silent: AtomicBool,
}

impl Store {
    fn start() -> (Arc<Self>, SocketAddr) {
        let state = StoreState {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 100,
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            is_silent: AtomicBool::new(false),
        });
        let served = store.clone();
        let address = serve(ENTRY_IP, move |call| {
            served.wait_while_silent();
            let answered = served.answer(&call);
            served.wait_while_silent();
            answered
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            pause(100);
            expiring.expire_leases();
        });
        (store, address)
    }

    fn wait_while_silent(&self) {
        while self.is_silent.load(Ordering::SeqCst) {
            pause(5);
        }
    }

    fn write(&self, key: &str, value: &str) {
        self.put(key, base64(value.as_bytes()), 0);
    }

    fn put(&self, key: &str, value: String, lease: u64) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_string(), (value.clone(), revision, lease));
        state.history.push((revision, key.to_string(), Some(value)));
        self.changed.notify_all();
    }

    fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.history.push((revision, key.to_string(), None));
            self.changed.notify_all();
        }
    }

    fn expire_leases(&self) {
        let ended: Vec<String> = {
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            state.leases.retain(|_, (_, until)| *until > now);
            let leases = &state.leases;
            let is_lost = |lease: u64| lease != 0 && !leases.contains_key(&lease);
            let items = state.items.iter();
            items.filter(|(_, item)| is_lost(item.2)).map(|(key, _)| key.clone()).collect()
        };
        ended.iter().for_each(|key| self.remove(key));
    }

    fn answer(&self, call: &Call) -> Vec<u8> {
        match (call.method.as_str(), call.path()) {
            ("GET", "/v1/kv-range") => self.range(call),
            ("GET", "/v1/kv-watch") => self.watch(call),
            ("POST", "/v1/kv-txn") => self.transaction(&String::from_utf8_lossy(&call.body)),
            ("POST", "/v1/kv-lease") => {
                let body = String::from_utf8_lossy(&call.body).to_string();
                let ttl = number(&body, "ttl_ms").unwrap_or(10_000).clamp(1_000, 600_000);
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                let span = Duration::from_millis(ttl);
                state.leases.insert(lease, (span, Instant::now() + span));
                json_answer(200, &format!("{{\"lease_id\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((span, until)) => {
                        *until = Instant::now() + *span;
                        let ttl = span.as_millis();
                        json_answer(200, &format!("{{\"lease_id\":{lease},\"ttl_ms\":{ttl}}}"))
                    }
                    None => json_answer(404, "{}"),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => json_answer(200, "{}"),
            _ => json_answer(404, "{}"),
        }
    }

    fn range(&self, call: &Call) -> Vec<u8> {
        let (prefix, after) = (call.query("prefix").unwrap_or(""), call.query("after"));
        let state = self.state.lock().unwrap();
        let matching = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
        });
        let (mut rows, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (value, revision, lease)) in matching {
            if rows.len() >= ANSWER_ITEMS || (bytes > 0 && bytes + value.len() > ANSWER_BYTES) {
                has_more = true;
                break;
            }
            bytes += value.len();
            rows.push(item_row(key, value, *revision, *lease));
        }
        let (rows, at) = (rows.join(","), state.revision);
        json_answer(200, &format!("{{\"entries\":[{rows}],\"has_more\":{has_more},\"at\":{at}}}"))
    }

    fn watch(&self, call: &Call) -> Vec<u8> {
        let prefix = call.query("prefix").unwrap_or("");
        let after: u64 = call.query("after").and_then(|it| it.parse().ok()).unwrap_or(0);
        let wait: u64 = call.query("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let (mut rows, mut bytes, mut at, mut is_cut) = (Vec::new(), 0, after, false);
            for (revision, key, value) in state.history.iter().filter(|it| it.0 > after) {
                if !key.starts_with(prefix) {
                    continue;
                }
                let length = value.as_ref().map_or(0, String::len);
                if rows.len() >= ANSWER_ITEMS || (bytes > 0 && bytes + length > ANSWER_BYTES) {
                    is_cut = true;
                    break;
                }
                bytes += length;
                at = *revision;
                rows.push(match value {
                    Some(value) => item_row(key, value, *revision, 0),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                });
            }
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let at = if is_cut { at } else { state.revision.max(after) };
                let rows = rows.join(",");
                return json_answer(200, &format!("{{\"events\":[{rows}],\"at\":{at}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Applies the writes and removals of a transaction. The system's own have no precondition.
    fn transaction(&self, body: &str) -> Vec<u8> {
        if let Some(writes) = body.split("\"write\":[").nth(1) {
            let writes = writes.split(']').next().unwrap_or("");
            for row in writes.split('}').filter(|row| row.contains("\"key\"")) {
                let lease = number(row, "lease_id").unwrap_or(0);
                let has_ended =
                    lease != 0 && !self.state.lock().unwrap().leases.contains_key(&lease);
                if has_ended {
                    return json_answer(404, "{}");
                }
                let value = text(row, "value").unwrap_or_default();
                self.put(&text(row, "key").unwrap_or_default(), value, lease);
            }
        }
        if let Some(removals) = body.split("\"remove\":[").nth(1) {
            let removals = removals.split(']').next().unwrap_or("");
            for key in removals.split(',').map(|key| key.trim_matches('"')) {
                self.remove(key);
            }
        }
        let revision = self.state.lock().unwrap().revision;
        json_answer(200, &format!("{{\"revision\":{revision}}}"))
    }
}

fn item_row(key: &str, value: &str, revision: u64, lease: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{revision},\"lease_id\":{lease}}}"
    )
}

fn number(body: &str, name: &str) -> Option<u64> {
    let rest = body.split(&format!("\"{name}\":")).nth(1)?;
    let digits: String = rest.trim().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn text(body: &str, name: &str) -> Option<String> {
    let rest = body.split(&format!("\"{name}\":\"")).nth(1)?;
    Some(rest.split('"').next()?.to_string())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0u32, |bits, byte| (bits << 8) | u32::from(*byte));
        let bits = bits << (8 * (3 - group.len()));
        for place in 0..4 {
            if place <= group.len() {
                text.push(DIGITS[(bits >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- weights

fn chunk(version: u64, index: usize) -> Vec<u8> {
    let mut state = version * 1_000_003 + index as u64 + 1;
    let next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state as u8
    };
    std::iter::repeat_with(next).take(CHUNK_BYTES).collect()
}

fn sha256(bytes: &[u8]) -> String {
    let is_prime = |n: u32| (2..n).take_while(|d| d * d <= n).all(|d| n % d != 0);
    let primes: Vec<f64> = (2..312).filter(|n| is_prime(*n)).map(f64::from).collect();
    let fraction = |root: f64| ((root - root.floor()) * 4_294_967_296.0) as u32;
    let constants: Vec<u32> = primes.iter().map(|prime| fraction(prime.cbrt())).collect();
    let mut hash: Vec<u32> = primes[..8].iter().map(|prime| fraction(prime.sqrt())).collect();
    let mut message = bytes.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    for block in message.chunks(64) {
        let mut words: Vec<u32> = block
            .chunks(4)
            .map(|word| u32::from_be_bytes(word.try_into().expect("four bytes")))
            .collect();
        for i in 16..64 {
            let (a, b) = (words[i - 15], words[i - 2]);
            let low = a.rotate_right(7) ^ a.rotate_right(18) ^ (a >> 3);
            let high = b.rotate_right(17) ^ b.rotate_right(19) ^ (b >> 10);
            let sum = words[i - 16].wrapping_add(low).wrapping_add(words[i - 7]).wrapping_add(high);
            words.push(sum);
        }
        let mut v = hash.clone();
        for i in 0..64 {
            let big1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let first = v[7]
                .wrapping_add(big1)
                .wrapping_add(choice)
                .wrapping_add(constants[i])
                .wrapping_add(words[i]);
            let big0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let second = big0.wrapping_add(majority);
            v.rotate_right(1);
            v[4] = v[4].wrapping_add(first);
            v[0] = first.wrapping_add(second);
        }
        hash.iter_mut().zip(&v).for_each(|(sum, word)| *sum = sum.wrapping_add(*word));
    }
    hash.iter().map(|word| format!("{word:08x}")).collect()
}

/// The origin of weights.
fn start_origin(bench: &Arc<Bench>, spoils_list: &Arc<AtomicBool>) -> SocketAddr {
    let (bench, spoils_list) = (bench.clone(), spoils_list.clone());
    serve(ENTRY_IP, move |call| {
        let version = call.query("version").and_then(|it| it.parse().ok()).unwrap_or(1);
        if call.path().starts_with("/v1/manifest/") {
            let is_spoilt = spoils_list.swap(false, Ordering::SeqCst);
            let state = if is_spoilt { ", with one wrong digit" } else { "" };
            bench.note(format!("origin gives the digests of version {version}{state}"));
            let mut digests: Vec<String> =
                (0..CHUNKS).map(|index| format!("\"{}\"", sha256(&chunk(version, index)))).collect();
            if is_spoilt {
                let digit = if digests[7].starts_with("\"0") { "1" } else { "0" };
                digests[7].replace_range(1..2, digit);
            }
            let digests = digests.join(",");
            return json_answer(
                200,
                &format!(
                    "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunk_bytes\":{CHUNK_BYTES},\
                     \"layers\":16,\"digests\":[{digests}]}}"
                ),
            );
        }
        match call.query("sample_count").and_then(|it| it.parse::<usize>().ok()) {
            Some(index) if index < CHUNKS => answer(200, &[], &chunk(version, index)),
            _ => answer(404, &[], b""),
        }
    })
}

// ---------------------------------------------------------------- workers

/// A request that a worker ran.
#[derive(Clone)]
struct Run {
    at: f64,
    worker: String,
    attempt: String,
    tenant: String,
}

type Runs = Arc<Mutex<Vec<Run>>>;

/// A plain application worker, which runs each request at once.
fn start_plain_worker(bench: &Arc<Bench>, id: &'static str, runs: &Runs) -> SocketAddr {
    let (bench, runs) = (bench.clone(), runs.clone());
    serve(ENTRY_IP, move |call| {
        if call.path() == "/health" {
            return answer(200, &[("X-Instance-Id", id)], b"");
        }
        run_request(&bench, id, &runs, &call)
    })
}

fn run_request(bench: &Bench, id: &str, runs: &Runs, call: &Call) -> Vec<u8> {
    let attempt = call.header("x-attempt-id").unwrap_or("").to_string();
    if call.header("x-expected-instance").is_some_and(|expected| expected != id) {
        return answer(421, &[("X-Instance-Id", id)], b"");
    }
    let tenant = call.header("x-tenant").unwrap_or("none").to_string();
    let run = Run { at: bench.now(), worker: id.into(), attempt: attempt.clone(), tenant };
    runs.lock().unwrap().push(run);
    let signature = format!("s.{id}.{attempt}");
    let headers = [("X-Attempt-Id", &*attempt), ("X-Server-Signature", &*signature)];
    answer(200, &headers, format!("done {attempt}").as_bytes())
}

/// A model worker on the agent's machine, with its staged pieces.
struct Engine {
    bench: Arc<Bench>,
    name: String,
    state: Mutex<EngineState>,
    runs: Runs,
    /// Whether its machine stands still.
    is_frozen: AtomicBool,
    /// How many pieces were read back since the last order.
    read_back: AtomicU64,
    /// How often it was started.
    lifetime: AtomicU64,
}

struct EngineState {
    version: u64,
    sequence: u64,
    busy_until: Option<Instant>,
    next_version: u64,
    staged: Vec<Vec<u8>>,
    /// Since when a piece has lain there spoilt.
    spoilt_since: BTreeMap<usize, f64>,
    /// Pieces of the layers in use that had been spoilt for over 3 s when they were taken.
    taken_spoilt: Vec<(usize, f64)>,
}

impl Engine {
    fn start(bench: &Arc<Bench>, runs: &Runs, ip: &str) -> (Arc<Self>, SocketAddr) {
        let state = EngineState {
            version: 1,
            sequence: 0,
            busy_until: None,
            next_version: 1,
            staged: (0..CHUNKS).map(|index| chunk(1, index)).collect(),
            spoilt_since: BTreeMap::new(),
            taken_spoilt: Vec::new(),
        };
        let name = format!("i-engine-{}", ip.rsplit('.').next().unwrap_or(""));
        let engine = Arc::new(Self {
            bench: bench.clone(),
            name,
            state: Mutex::new(state),
            runs: runs.clone(),
            is_frozen: AtomicBool::new(false),
            read_back: AtomicU64::new(0),
            lifetime: AtomicU64::new(1),
        });
        let served = engine.clone();
        let address = serve(ip, move |call| {
            served.wait_while_frozen();
            let answered = served.answer(&call);
            served.wait_while_frozen();
            answered
        });
        (engine, address)
    }

    /// The id of its present lifetime.
    fn id(&self) -> String {
        format!("{}-{}", self.name, self.lifetime.load(Ordering::SeqCst))
    }

    /// Loses power: a new lifetime begins without layers and staged pieces.
    fn lose_power(&self) {
        let mut state = self.state.lock().unwrap();
        state.version = 0;
        state.sequence = 0;
        state.busy_until = None;
        state.staged = vec![Vec::new(); CHUNKS];
        state.spoilt_since.clear();
        self.lifetime.fetch_add(1, Ordering::SeqCst);
    }

    fn wait_while_frozen(&self) {
        while self.is_frozen.load(Ordering::SeqCst) {
            pause(2);
        }
    }

    /// The version in use; zero while it loads.
    fn version(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        if state.busy_until.is_some_and(|until| until <= Instant::now()) {
            state.busy_until = None;
            state.version = state.next_version;
            self.bench.note(format!("{} serves version {}", self.name, state.version));
        }
        if state.busy_until.is_some() { 0 } else { state.version }
    }

    fn answer(&self, call: &Call) -> Vec<u8> {
        let version = self.version();
        let index: usize = call.query("sample_count").and_then(|it| it.parse().ok()).unwrap_or(0);
        let id = self.id();
        match (call.method.as_str(), call.path()) {
            ("GET", "/health") => answer(200, &[("X-Instance-Id", &id)], b""),
            ("GET", "/v1/report") => {
                let state = self.state.lock().unwrap();
                let report = engine_fields(version);
                let (busy, sequence) = (state.busy_until.is_some(), state.sequence);
                json_answer(
                    200,
                    &format!(
                        "{{\"phase\":\"prefill_decode\",{report},\"busy\":{busy},\
                         \"sequence\":{sequence},\"queued\":0,\"active\":0,\"kv_used\":0,\
                         \"kv_total\":1640000,\"handles\":0,\"pace\":1.0}}"
                    ),
                )
            }
            ("PUT", path) if path.starts_with("/v1/stage-put/") => {
                let mut state = self.state.lock().unwrap();
                state.staged[index] = call.body.clone();
                state.spoilt_since.remove(&index);
                answer(200, &[], b"")
            }
            ("GET", path) if path.starts_with("/v1/stage-get/") => {
                // About what reading 24 KB takes on a third of a core.
                pause(3);
                let bytes = self.state.lock().unwrap().staged[index].clone();
                self.read_back.fetch_add(1, Ordering::SeqCst);
                if bytes.is_empty() { answer(404, &[], b"") } else { answer(200, &[], &bytes) }
            }
            ("POST", "/v1/order") => self.take_order(&String::from_utf8_lossy(&call.body)),
            _ if version == 0 => answer(
                503,
                &[("X-Not-Executed", "1"), ("X-Attempt-Id", call.header("x-attempt-id").unwrap_or(""))],
                b"",
            ),
            _ => {
                let ran = run_request(&self.bench, &id, &self.runs, call);
                if !ran.starts_with(b"HTTP/1.1 200") {
                    return ran;
                }
                self.stream(call, version, &id)
            }
        }
    }

    fn stream(&self, call: &Call, version: u64, id: &str) -> Vec<u8> {
        let attempt = call.header("x-attempt-id").unwrap_or("");
        let mut text = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             X-Attempt-Id: {attempt}\r\nX-Server-Signature: s.{id}.{attempt}\r\n\
             X-Weight-Versions: {version}\r\n\r\n"
        );
        for id in 1..=4 {
            let event = format!("id: {id}\ndata: token-{id}\n\n");
            let _ = write!(text, "{:x}\r\n{event}\r\n", event.len());
        }
        (text + "0\r\n\r\n").into_bytes()
    }

    fn take_order(&self, body: &str) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        let wanted = number(body, "version").unwrap_or(0);
        if number(body, "precondition").is_some_and(|expected| expected != state.sequence)
            || state.busy_until.is_some()
        {
            return json_answer(409, "{}");
        }
        let now = self.bench.now();
        let mut spoilt = Vec::new();
        for index in 0..CHUNKS {
            if state.staged[index] != chunk(wanted, index) {
                let since = state.spoilt_since.get(&index).copied();
                spoilt.push((index, now - since.unwrap_or(0.0)));
            }
        }
        state.sequence += 1;
        state.next_version = wanted;
        state.busy_until = Some(Instant::now() + Duration::from_millis(300));
        state.taken_spoilt = spoilt.iter().copied().filter(|(_, age)| *age > 3.0).collect();
        self.bench.note(format!(
            "{} accepts the order to load version {wanted}; spoilt pieces taken, with their age: {spoilt:?}",
            self.name
        ));
        self.read_back.store(0, Ordering::SeqCst);
        json_answer(202, "{}")
    }

    fn spoil(&self, index: usize) {
        let mut state = self.state.lock().unwrap();
        state.staged[index][100] ^= 0x55;
        let now = self.bench.now();
        state.spoilt_since.insert(index, now);
        self.bench.note(format!("piece {index} turns bad where it lies at the engine"));
    }
}

fn engine_fields(version: u64) -> String {
    if version == 0 {
        return "\"models\":[],\"layers\":[]".into();
    }
    format!(
        "\"models\":[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}],\
         \"layers\":{{\"from\":0,\"target\":16,\"version\":{version}}}"
    )
}

/// Keeps a worker registered, with a beat each 1.2 s.
fn register(
    store: &Arc<Store>,
    id: &'static str,
    service: &'static str,
    address: SocketAddr,
    engine: Option<Arc<Engine>>,
) {
    let store = store.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            let (mut id, mut fields) = (id.to_string(), String::new());
            if let Some(engine) = &engine {
                engine.wait_while_frozen();
                id = engine.id();
                let models = engine_fields(engine.version());
                fields = format!(",\"phase\":\"prefill_decode\",{models}");
            }
            store.write(
                &format!("servers/{id}"),
                &format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"hall-a\",\
                     \"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0\
                     {fields},\"sequence\":{sequence}}}"
                ),
            );
            pause(1_200);
        }
    });
}

// ---------------------------------------------------------------- config and settings

struct ConfigParts<'a> {
    version: u64,
    /// Routes that no client uses.
    idle_routes: usize,
    keys: &'a [&'a str],
    origin: Option<SocketAddr>,
    desk_is_public: bool,
}

fn config(parts: &ConfigParts) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"app.example\",\"prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"service\":\"{service}\",\"timeout_ms\":6000,\
             \"target_latency_ms\":400,\"priority\":1{more}}}"
        )
    };
    let public = if parts.desk_is_public { ",\"public\":true" } else { "" };
    let mut routes = vec![
        route("notices", "/notices/", "non_idempotent", "desk", ",\"max_attempts\":1"),
        route("claims", "/claims/", "non_idempotent", "desk", ",\"max_attempts\":2"),
        route("open", "/open/", "non_idempotent", "desk", &format!(",\"max_attempts\":1{public}")),
        route(
            "drafts",
            "/drafts/",
            "streaming",
            "pool",
            ",\"max_attempts\":2,\"stream_resumption\":true,\"target_gap_ms\":300,\
             \"session_affinity\":true",
        ),
    ];
    for index in 0..parts.idle_routes {
        let (name, prefix) = (format!("idle-{index}"), format!("/idle-{index}/"));
        routes.push(route(&name, &prefix, "idempotent", "desk", ",\"max_attempts\":2"));
    }
    let origin = parts.origin.map_or(String::new(), |address| {
        format!(
            ",{{\"name\":\"origin\",\"max_connections\":48,\"origin\":\"{address}\",\
             \"zone\":\"hall-a\",\"link_mbps\":7.3}}"
        )
    });
    let keys: Vec<String> = parts.keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\
         \"max_connections\":100}},{{\"name\":\"pool\",\"max_connections\":364,\
         \"engine_profile\":{{\"slots\":16,\"models\":[{{\"name\":\"{MODEL}\",\"warmup_s\":0.3}}],\
         \"stride\":6,\"step_ms\":6.73,\"per_seq_ms\":0.02,\"read_per_s\":30600,\
         \"pairs_per_m\":0.647,\"usual\":{{\"prompt\":900,\"answer\":120}},\"layers\":16,\
         \"chunks\":{CHUNKS},\"chunk_bytes\":{CHUNK_BYTES}}}}}{origin}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"comedor\",\"api_keys\":[{}]}},\
         {{\"name\":\"market\",\"api_keys\":[\"key-market\"]}}]}}",
        parts.version,
        routes.join(","),
        keys.join(",")
    )
}

/// The settings of an entry, as `deploy/entry.ini` gives them.
fn entry_settings(name: &str, store: SocketAddr, agent_port: u16, listen: u16) -> String {
    let (ready, peer) = (free_port(ENTRY_IP), free_port(ENTRY_IP));
    format!(
        "[entry]\nplatform = prepared\ninstance = {name}\ndata_centre = hall-a\n\
         listen = {ENTRY_IP}:{listen}\nready_listen = {ENTRY_IP}:{ready}\n\
         peer_listen = {ENTRY_IP}:{peer}\nagent_port = {agent_port}\n\
         [regions]\nhall-a = west\n[platform]\nstore = {store}\nheartbeat = 1200ms\n\
         [bounds]\nrevocation = 5000ms\nversion = 8000ms\ngrace = 8s\nretry_ratio = 0.2\n\
         retry_allowance = 102\nretry_window = 10s\n[weights]\nlink_mbps = 1000\n"
    )
}

/// The settings of an agent, as `deploy/agent.ini` gives them.
fn agent_settings(store: SocketAddr, agent_port: u16, engine: SocketAddr) -> String {
    let ip = engine.ip();
    format!(
        "[agent]\nplatform = prepared\ninstance = side-{ip}\ndata_centre = hall-a\nservice = pool\n\
         listen = {ip}:{agent_port}\n[upstream]\naddress = {engine}\n\
         [platform]\nstore = {store}\nwatch = 28s\n[bounds]\nversion = 8000ms\n\
         [weights]\nlink_mbps = 7.3\n"
    )
}

/// Starts an entry and waits until it serves a request of the key `key-market`.
fn start_entry(bench: &Bench, store: SocketAddr, agent_port: u16, path: &str) -> SocketAddr {
    start_entry_named(bench, "edge-a-1", store, agent_port, path)
}

fn start_entry_named(
    bench: &Bench,
    name: &str,
    store: SocketAddr,
    agent_port: u16,
    path: &str,
) -> SocketAddr {
    let listen = free_port(ENTRY_IP);
    bench.spawn("mustardrill-entry", name, &entry_settings(name, store, agent_port, listen));
    let address: SocketAddr = format!("{ENTRY_IP}:{listen}").parse().unwrap();
    let tries = AtomicU64::new(0);
    bench.wait_until("the entry serves", 15.0, || {
        let attempt = format!("warm-{}", tries.fetch_add(1, Ordering::SeqCst));
        let sent = Channel::new(address).call(path, &attempt, "key-market", DRAFT_HEADERS);
        sent.is_ok_and(|(status, ..)| status == 200)
    });
    address
}

const DRAFT_HEADERS: &[(&str, &str)] =
    &[("X-Model", MODEL), ("X-Token-Usage", "100,24"), ("X-Prompt-Prefix", "5c1e07a2:40,91bd3f06:60")];

// ---------------------------------------------------------------- cases

include!("cases.rs");
