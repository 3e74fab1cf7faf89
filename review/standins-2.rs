//! Small stand-ins of the platform's store, origin, workers and clients, after the users' pages.
//! Only the standard library is used. A module of `cases-2.rs`.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- time, text, digests

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds since the case began.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(ms: u64) {
    sleep_ms(ms.saturating_sub(now_ms()));
}

/// The record of the case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<std::fs::File>>);

impl Record {
    pub fn create(path: &str) -> Self {
        Self(Arc::new(Mutex::new(std::fs::File::create(path).expect("record.txt can be written"))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", now_ms() as f64 / 1_000.0, text.as_ref());
        let _ = self.0.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", now_ms() as f64 / 1_000.0, text.as_ref());
        self.line(text);
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let word = u32::from(group[0]) << 16
            | u32::from(*group.get(1).unwrap_or(&0)) << 8
            | u32::from(*group.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= group.len() {
                text.push(BASE64[(word >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// SHA-256 in hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    const K: [u32; 64] = [
        0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4,
        0xab1c5ed5, 0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe,
        0x9bdc06a7, 0xc19bf174, 0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f,
        0x4a7484aa, 0x5cb0a9dc, 0x76f988da, 0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7,
        0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967, 0x27b70a85, 0x2e1b2138, 0x4d2c6dfc,
        0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85, 0xa2bfe8a1, 0xa81a664b,
        0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070, 0x19a4c116,
        0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3,
        0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7,
        0xc67178f2,
    ];
    let mut state: [u32; 8] = [
        0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a, 0x510e527f, 0x9b05688c, 0x1f83d9ab,
        0x5be0cd19,
    ];
    let mut data = bytes.to_vec();
    data.push(0x80);
    while data.len() % 64 != 56 {
        data.push(0);
    }
    data.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    for block in data.chunks(64) {
        let mut w = [0u32; 64];
        for (i, word) in block.chunks(4).enumerate() {
            w[i] = u32::from_be_bytes(word.try_into().unwrap());
        }
        for i in 16..64 {
            let a = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ (w[i - 15] >> 3);
            let b = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ (w[i - 2] >> 10);
            w[i] = w[i - 16].wrapping_add(a).wrapping_add(w[i - 7]).wrapping_add(b);
        }
        let mut v = state;
        for i in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let t1 = v[7].wrapping_add(s1).wrapping_add(choice).wrapping_add(K[i]).wrapping_add(w[i]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let t2 = s0.wrapping_add(majority);
            v = [t1.wrapping_add(t2), v[0], v[1], v[2], v[3].wrapping_add(t1), v[4], v[5], v[6]];
        }
        for i in 0..8 {
            state[i] = state[i].wrapping_add(v[i]);
        }
    }
    state.iter().map(|word| format!("{word:08x}")).collect()
}

// ---------------------------------------------------------------- a few fields of JSON

/// The string or number of the first field `name` in flat JSON text that holds no escapes.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let rest = &text[text.find(&format!("\"{name}\""))? + name.len() + 2..];
    let rest = rest.trim_start().strip_prefix(':')?.trim_start();
    if let Some(rest) = rest.strip_prefix('"') {
        return Some(rest[..rest.find('"')?].to_owned());
    }
    let end = rest.find([',', '}', ']', ' ']).unwrap_or(rest.len());
    Some(rest[..end].to_owned())
}

/// The text of the array `name` in JSON.
fn json_array<'a>(text: &'a str, name: &str) -> &'a str {
    let Some(at) = text.find(&format!("\"{name}\"")) else { return "" };
    let rest = &text[at..];
    let Some(open) = rest.find('[') else { return "" };
    let mut depth = 0;
    for (index, byte) in rest.bytes().enumerate().skip(open) {
        match byte {
            b'[' => depth += 1,
            b']' => {
                depth -= 1;
                if depth == 0 {
                    return &rest[open + 1..index];
                }
            }
            _ => {}
        }
    }
    ""
}

/// The objects of an array whose objects hold no objects.
fn json_objects(array: &str) -> Vec<&str> {
    let starts = array.match_indices('{').map(|(at, _)| at);
    starts.filter_map(|at| Some(&array[at..=at + array[at..].find('}')?])).collect()
}

// ---------------------------------------------------------------- HTTP

pub struct Call {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| &**value)
    }
}

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunked(reader: &mut impl BufRead) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| &**value)
}

pub fn read_call(reader: &mut impl BufRead) -> std::io::Result<Option<Call>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let body = if find(&headers, "transfer-encoding").is_some() {
        read_chunked(reader)?
    } else {
        let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
        body
    };
    Ok(Some(Call { method: method.into(), target: target.into(), headers, body }))
}

/// An answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn json_answer(status: u16, body: &str) -> Vec<u8> {
    answer(status, &[("Content-Type", "application/json")], body.as_bytes())
}

/// Serves each call with `handle`, which writes the answer; a channel ends where that fails.
pub struct Server {
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handle: impl Fn(&Call, &mut TcpStream, u64) -> std::io::Result<()> + Send + Sync + 'static,
    ) -> Self {
        let mut tries = 0;
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(error) if tries >= 50 => panic!("cannot listen at {address}: {error}"),
                Err(_) => sleep_ms(20),
            }
            tries += 1;
        };
        let address = listener.local_addr().unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let channels = Arc::new(Mutex::new(Vec::new()));
        let (handle, stopped, opened) = (Arc::new(handle), stop.clone(), channels.clone());
        std::thread::spawn(move || {
            static NEXT: AtomicU64 = AtomicU64::new(1);
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(mut stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                opened.lock().unwrap().push(stream.try_clone().unwrap());
                let handle = handle.clone();
                let number = NEXT.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Ok(Some(call)) = read_call(&mut reader) {
                        if handle(&call, &mut stream, number).is_err() {
                            break;
                        }
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        Self { address, stop, channels }
    }

    /// Stops listening and closes all channels, as the end of a process does.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// What a client sees of its request.
#[derive(Debug, Clone)]
pub struct Seen {
    /// 0 where the channel ended without an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer is complete in the protocol.
    pub whole: bool,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends a request on a new channel and reads its answer.
pub fn request(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit_ms: u64,
) -> Seen {
    let none = Seen { status: 0, headers: Vec::new(), body: Vec::new(), whole: false };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(1_000)) else {
        return none;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(limit_ms)));
    let mut head = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return none;
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some((first, headers))) = read_head(&mut reader) else { return none };
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = Vec::new();
    let whole = if find(&headers, "transfer-encoding").is_some() {
        match read_chunked(&mut reader) {
            Ok(bytes) => {
                body = bytes;
                true
            }
            Err(_) => false,
        }
    } else {
        let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
        body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body).is_ok()
    };
    Seen { status, headers, body, whole }
}

// ---------------------------------------------------------------- the platform's store

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Time, revision, key and the item as JSON.
    history: Vec<(u64, u64, String, String)>,
    forgotten: u64,
    leases: HashMap<u64, (u64, u64)>,
    next_lease: u64,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub history_ms: u64,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease_id\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((now_ms(), revision, key.into(), item_json(key, &item)));
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
        self.history.push((now_ms(), revision, key.into(), event));
    }

    fn expire(&mut self, history_ms: u64) {
        let now = now_ms();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
        while self.history.first().is_some_and(|(at, ..)| at + history_ms < now) {
            self.forgotten = self.history.remove(0).1;
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == id).map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

impl Store {
    pub fn new(history_ms: u64) -> Self {
        let state = StoreState {
            revision: 10,
            items: BTreeMap::new(),
            history: Vec::new(),
            forgotten: 0,
            leases: HashMap::new(),
            next_lease: 100,
        };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), history_ms };
        let ticking = store.clone();
        std::thread::spawn(move || loop {
            sleep_ms(100);
            ticking.state.0.lock().unwrap().expire(history_ms);
            ticking.state.1.notify_all();
        });
        store
    }

    /// Writes an item, as the operator and the workers do; returns the time of the confirmation.
    pub fn write(&self, key: &str, value: &str) -> u64 {
        self.state.0.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
        now_ms()
    }

    pub fn remove(&self, key: &str) {
        self.state.0.lock().unwrap().remove(key);
        self.state.1.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Vec<u8> {
        let until = now_ms() + wait_ms;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if after < state.forgotten {
                return answer(410, &[], b"");
            }
            let fresh = state.history.iter().filter(|(_, at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<&str> = fresh.map(|(_, _, _, json)| &**json).collect();
            if !events.is_empty() || now_ms() >= until {
                let body =
                    format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
                return json_answer(200, &body);
            }
            let left = Duration::from_millis(until.saturating_sub(now_ms()).clamp(1, 200));
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let found = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && &***key > after);
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in found {
            if rows.len() >= 500 || bytes > 1_000_000 {
                more = true;
                break;
            }
            let row = item_json(key, item);
            bytes += row.len();
            rows.push(row);
        }
        let at = state.revision;
        json_answer(200, &format!("{{\"entries\":[{}],\"has_more\":{more},\"at\":{at}}}", rows.join(",")))
    }

    fn transact(&self, body: &str) -> Vec<u8> {
        let mut state = self.state.0.lock().unwrap();
        let rows = json_objects(json_array(body, "precondition"));
        let holds = rows.iter().all(|row| {
            let key = json_field(row, "key").unwrap_or_default();
            let wanted: u64 = json_field(row, "revision").and_then(|it| it.parse().ok()).unwrap_or(0);
            state.items.get(&key).map_or(0, |item| item.revision) == wanted
        });
        if !holds {
            return json_answer(412, "{\"entries\":[]}");
        }
        let writes = json_objects(json_array(body, "write"));
        let lease_of = |row: &str| json_field(row, "lease_id").and_then(|it| it.parse().ok()).unwrap_or(0);
        if writes.iter().any(|row| lease_of(row) != 0 && !state.leases.contains_key(&lease_of(row))) {
            return answer(404, &[], b"");
        }
        for row in writes {
            let key = json_field(row, "key").unwrap_or_default();
            state.put(&key, json_field(row, "value").unwrap_or_default(), lease_of(row));
        }
        for key in json_array(body, "remove").split(',') {
            let key = key.trim().trim_matches('"');
            if !key.is_empty() {
                state.remove(key);
            }
        }
        let revision = state.revision;
        self.state.1.notify_all();
        json_answer(200, &format!("{{\"revision\":{revision}}}"))
    }

    fn lease(&self, ttl: u64) -> Vec<u8> {
        let mut state = self.state.0.lock().unwrap();
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, (ttl, now_ms() + ttl));
        json_answer(200, &format!("{{\"lease_id\":{id},\"ttl_ms\":{ttl}}}"))
    }

    fn keep(&self, id: u64) -> Vec<u8> {
        let mut state = self.state.0.lock().unwrap();
        state.expire(self.history_ms);
        match state.leases.get_mut(&id) {
            Some((ttl, until)) => {
                *until = now_ms() + *ttl;
                json_answer(200, &format!("{{\"ttl_ms\":{ttl}}}"))
            }
            None => answer(404, &[], b""),
        }
    }

    fn serve(&self, call: &Call) -> Vec<u8> {
        let prefix = call.query("prefix").unwrap_or_default();
        let after = call.query("after").unwrap_or_default();
        let number = |text: Option<String>| text.and_then(|it| it.parse().ok()).unwrap_or(0u64);
        let body = String::from_utf8_lossy(&call.body);
        match call.path() {
            "/v1/kv-range" => self.range(&prefix, &after),
            "/v1/kv-watch" => self.watch(&prefix, number(Some(after)), number(call.query("wait_ms"))),
            "/v1/kv-txn" => self.transact(&body),
            "/v1/kv-lease" => self.lease(number(json_field(&body, "ttl_ms"))),
            path => match (path.strip_prefix("/v1/kv-keep/"), path.strip_prefix("/v1/kv-lease-end/")) {
                (Some(id), _) => self.keep(number(Some(id.into()))),
                (_, Some(id)) => {
                    self.state.0.lock().unwrap().end_lease(number(Some(id.into())));
                    answer(200, &[], b"{}")
                }
                _ => answer(404, &[], b""),
            },
        }
    }

    /// An address at which one machine reaches the store. The answer to its first change is lost,
    /// and that change is made `late_ms` after it came, if `late_ms` is not zero.
    pub fn listen_late(&self, address: SocketAddr, late_ms: u64, record: Record) -> Server {
        let store = self.clone();
        let first = AtomicBool::new(late_ms > 0);
        Server::start(address, move |call, stream, _| {
            if call.path() == "/v1/kv-txn" && first.swap(false, Ordering::SeqCst) {
                let text = String::from_utf8_lossy(&call.body).into_owned();
                record.line(format!("{address}: the answer to this change is lost: {text}"));
                let (store, record) = (store.clone(), record.clone());
                std::thread::spawn(move || {
                    sleep_ms(late_ms);
                    let reply = store.transact(&text);
                    let status = String::from_utf8_lossy(&reply[9..12]).into_owned();
                    record.line(format!("{address}: the change is made late, status {status}"));
                });
                // The channel returns nothing further.
                loop {
                    sleep_ms(1_000);
                    let mut byte = [0];
                    stream.set_nonblocking(true)?;
                    let read = std::io::Read::read(stream, &mut byte);
                    if matches!(read, Ok(0)) {
                        return Err(std::io::ErrorKind::UnexpectedEof.into());
                    }
                }
            }
            stream.write_all(&store.serve(call))
        })
    }

    /// An address at which one machine reaches the store. While `is_away` is set the store turns
    /// that machine away with status 503.
    pub fn listen(&self, address: SocketAddr, is_away: Arc<AtomicBool>) -> Server {
        let store = self.clone();
        Server::start(address, move |call, stream, _| {
            let away = || answer(503, &[], b"");
            let turned = is_away.load(Ordering::SeqCst);
            let reply = if turned { away() } else { store.serve(call) };
            // A watch that waits while the machine is turned away is cut.
            if !turned && is_away.load(Ordering::SeqCst) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            stream.write_all(&reply)
        })
    }
}

// ---------------------------------------------------------------- the origin of weights

pub const CHUNKS: usize = 96;
pub const CHUNK_BYTES: usize = 24_576;

/// A piece of a version's weights.
pub fn piece(version: u64, index: usize) -> Vec<u8> {
    let mut seed = version.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (index as u64 + 1);
    let mut bytes = Vec::with_capacity(CHUNK_BYTES);
    while bytes.len() < CHUNK_BYTES {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        bytes.extend_from_slice(&seed.to_le_bytes());
    }
    bytes.truncate(CHUNK_BYTES);
    bytes
}

pub struct Origin {
    digests: Mutex<HashMap<u64, Arc<Vec<String>>>>,
}

impl Origin {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { digests: Mutex::default() })
    }

    pub fn digests(&self, version: u64) -> Arc<Vec<String>> {
        let mut known = self.digests.lock().unwrap();
        let made = known.entry(version).or_insert_with(|| {
            Arc::new((0..CHUNKS).map(|index| sha256_hex(&piece(version, index))).collect())
        });
        made.clone()
    }

    pub fn listen(self: &Arc<Self>, address: SocketAddr, record: Record) -> Server {
        let origin = self.clone();
        Server::start(address, move |call, stream, _| {
            let version: u64 = call.query("version").and_then(|it| it.parse().ok()).unwrap_or(1);
            if let Some(model) = call.path().strip_prefix("/v1/manifest/") {
                let body = format!(
                    "{{\"model\":\"{model}\",\"version\":{version},\"chunk_bytes\":{CHUNK_BYTES},\"layers\":16,\"digests\":[\"{}\"]}}",
                    origin.digests(version).join("\",\"")
                );
                record.line(format!("origin answers the manifest of version {version}"));
                return stream.write_all(&json_answer(200, &body));
            }
            if call.path().starts_with("/v1/piece/") {
                let index = call.query("sample_count").and_then(|it| it.parse().ok()).unwrap_or(0);
                return stream.write_all(&answer(200, &[], &piece(version, index)));
            }
            stream.write_all(&answer(404, &[], b""))
        })
    }
}

// ---------------------------------------------------------------- model workers

pub const EVENTS: u64 = 8;

struct EngineState {
    id: String,
    version: u64,
    sequence: u64,
    busy: bool,
    staged: HashMap<usize, Vec<u8>>,
    running: u32,
    /// Counts the starts.
    life: u32,
    /// Counts its entries.
    beats: u64,
    slots: u32,
    /// The pause before each event.
    gap_ms: u64,
    /// Until when it is cold.
    cold_until: u64,
    /// Requests that reached it and were not answered with 421.
    arrivals: Vec<u64>,
    /// The attempts that it began to run.
    runs: Vec<String>,
    /// Staged pieces that were read back.
    read_back: u64,
    /// When a staged piece turned bad.
    spoilt: HashMap<usize, u64>,
    /// Bad pieces that were taken at an order, with how long each had been bad.
    taken_bad: Vec<(usize, u64)>,
    is_frozen: bool,
}

/// A model worker with 16 slots; clones share its state.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    pub zone: String,
    service: String,
    state: Arc<Mutex<EngineState>>,
    origin: Arc<Origin>,
    store: Store,
    record: Record,
    server: Arc<Mutex<Option<Server>>>,
}

impl Engine {
    /// A worker that holds version 1, which is also staged.
    pub fn start(
        id: &str,
        address: SocketAddr,
        zone: &str,
        service: &str,
        origin: &Arc<Origin>,
        store: &Store,
        record: &Record,
    ) -> Self {
        let staged = (0..CHUNKS).map(|index| (index, piece(1, index))).collect();
        let state = EngineState {
            id: id.into(),
            version: 1,
            sequence: 0,
            busy: false,
            staged,
            running: 0,
            life: 0,
            beats: 0,
            slots: 16,
            gap_ms: 15,
            cold_until: 0,
            arrivals: Vec::new(),
            runs: Vec::new(),
            read_back: 0,
            spoilt: HashMap::new(),
            taken_bad: Vec::new(),
            is_frozen: false,
        };
        let engine = Self {
            address,
            zone: zone.into(),
            service: service.into(),
            state: Arc::new(Mutex::new(state)),
            origin: origin.clone(),
            store: store.clone(),
            record: record.clone(),
            server: Arc::default(),
        };
        engine.listen();
        engine.register();
        engine
    }

    /// Sets how many requests it runs at a time and how long it takes for an event.
    pub fn set_pace(&self, slots: u32, gap_ms: u64) {
        let mut state = self.state.lock().unwrap();
        (state.slots, state.gap_ms) = (slots, gap_ms);
    }

    /// Makes it cold for a time from now on.
    pub fn become_cold(&self, cold_ms: u64) {
        let mut state = self.state.lock().unwrap();
        state.cold_until = now_ms() + cold_ms;
        self.record.line(format!("{} is cold for {cold_ms} ms", state.id));
    }

    pub fn runs(&self) -> Vec<String> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn is_staged(&self, version: u64) -> bool {
        let state = self.state.lock().unwrap();
        (0..CHUNKS).all(|index| {
            state.staged.get(&index).is_some_and(|bytes| bytes[..16] == piece(version, index)[..16])
        })
    }

    pub fn reset_read_back(&self) {
        self.state.lock().unwrap().read_back = 0;
    }

    pub fn read_back(&self) -> u64 {
        self.state.lock().unwrap().read_back
    }

    pub fn has_order(&self) -> bool {
        self.state.lock().unwrap().sequence > 0
    }

    /// Turns a staged piece bad.
    pub fn spoil(&self, index: usize) {
        let mut state = self.state.lock().unwrap();
        if let Some(bytes) = state.staged.get_mut(&index) {
            bytes[100] ^= 0x20;
        }
        state.spoilt.insert(index, now_ms());
        self.record.line(format!("piece {index} turns bad at {}", state.id));
    }

    /// Makes it stand still, or go on.
    pub fn freeze(&self, is_frozen: bool) {
        self.state.lock().unwrap().is_frozen = is_frozen;
    }

    pub fn taken_bad(&self) -> Vec<(usize, u64)> {
        self.state.lock().unwrap().taken_bad.clone()
    }

    pub fn arrivals(&self) -> Vec<u64> {
        self.state.lock().unwrap().arrivals.clone()
    }

    fn listen(&self) {
        let engine = self.clone();
        let server = Server::start(self.address, move |call, stream, _| engine.serve(call, stream));
        *self.server.lock().unwrap() = Some(server);
    }

    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    /// Writes the worker's entry.
    pub fn register(&self) {
        let mut state = self.state.lock().unwrap();
        state.beats += 1;
        let holds = state.version > 0;
        let models = if holds {
            format!("[{{\"name\":\"m0\",\"version\":{},\"adapters\":[]}}]", state.version)
        } else {
            "[]".into()
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":{},\"phase\":\"prefill_decode\",\"models\":{models},\"sequence\":{}}}",
            self.service,
            self.address,
            self.zone,
            state.slots,
            state.cold_until.saturating_sub(now_ms()),
            state.beats
        );
        let key = format!("servers/{}", state.id);
        drop(state);
        self.store.write(&key, &entry);
    }

    fn serve(&self, call: &Call, stream: &mut TcpStream) -> std::io::Result<()> {
        while self.state.lock().unwrap().is_frozen {
            sleep_ms(5);
        }
        let path = call.path();
        let index = || call.query("sample_count").and_then(|it| it.parse().ok()).unwrap_or(0usize);
        if path == "/v1/report" {
            let state = self.state.lock().unwrap();
            let models = if state.version > 0 {
                format!("[{{\"name\":\"m0\",\"version\":{},\"adapters\":[]}}]", state.version)
            } else {
                "[]".into()
            };
            let body = format!(
                "{{\"phase\":\"prefill_decode\",\"models\":{models},\"busy\":{},\"sequence\":{},\"queued\":0,\"active\":{},\"kv_used\":0,\"kv_total\":1640000,\"handles\":0}}",
                state.busy, state.sequence, state.running
            );
            drop(state);
            return stream.write_all(&json_answer(200, &body));
        }
        if path.starts_with("/v1/stage-put/") {
            let mut state = self.state.lock().unwrap();
            state.staged.insert(index(), call.body.clone());
            state.spoilt.remove(&index());
            drop(state);
            return stream.write_all(&answer(200, &[], b""));
        }
        if path.starts_with("/v1/stage-get/") {
            let mut state = self.state.lock().unwrap();
            state.read_back += 1;
            let staged = state.staged.get(&index()).cloned();
            drop(state);
            return stream.write_all(&match staged {
                Some(bytes) => answer(200, &[], &bytes),
                None => answer(404, &[], b""),
            });
        }
        if path == "/v1/order" {
            let status = self.order(&String::from_utf8_lossy(&call.body));
            return stream.write_all(&answer(status, &[], b""));
        }
        self.generate(call, stream)
    }

    fn order(&self, body: &str) -> u16 {
        let version: u64 = json_field(body, "version").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let expected = json_field(body, "precondition").and_then(|it| it.parse::<u64>().ok());
        if state.busy || expected.is_some_and(|sequence| sequence != state.sequence) {
            return 409;
        }
        let digests = self.origin.digests(version);
        let is_whole = (0..CHUNKS)
            .all(|at| state.staged.get(&at).is_some_and(|it| sha256_hex(it) == digests[at]));
        self.record.line(format!(
            "{} accepts the order to load version {version}, staged pieces whole: {is_whole}",
            state.id
        ));
        let bad: Vec<_> = state.spoilt.iter().map(|(index, at)| (*index, now_ms() - at)).collect();
        state.taken_bad.extend(bad);
        state.sequence += 1;
        state.busy = true;
        let life = state.life;
        drop(state);
        let engine = self.clone();
        std::thread::spawn(move || {
            // It loads after what is running, without accepting anything new.
            while engine.state.lock().unwrap().running > 0 {
                sleep_ms(5);
            }
            sleep_ms(300);
            let mut state = engine.state.lock().unwrap();
            if state.life != life {
                return;
            }
            state.version = version;
            state.busy = false;
            engine.record.line(format!("{} serves version {version}", state.id));
            drop(state);
            engine.register();
        });
        202
    }

    fn generate(&self, call: &Call, stream: &mut TcpStream) -> std::io::Result<()> {
        let attempt = call.header("x-attempt-id").unwrap_or("").to_owned();
        let (id, version, life, gap_ms) = {
            let mut state = self.state.lock().unwrap();
            let wanted = call.header("x-expected-instance");
            let demanded = call.header("x-expected-version").and_then(|it| it.parse::<u64>().ok());
            if wanted.is_some_and(|wanted| wanted != state.id)
                || demanded.is_some_and(|demanded| demanded != state.version)
            {
                return stream.write_all(&answer(421, &[("X-Attempt-Id", &attempt)], b""));
            }
            state.arrivals.push(now_ms());
            if state.version == 0 || state.busy || state.running >= state.slots {
                let headers = [("X-Attempt-Id", &*attempt), ("X-Not-Executed", "1")];
                return stream.write_all(&answer(503, &headers, b""));
            }
            state.running += 1;
            state.runs.push(attempt.clone());
            (state.id.clone(), state.version, state.life, state.gap_ms)
        };
        self.record.line(format!("{id} runs {attempt} on version {version}"));
        let load = {
            let state = self.state.lock().unwrap();
            format!("{},0,{}", state.running, state.slots)
        };
        let first = call.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0u64) + 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s-{id}\r\nX-Weight-Versions: {version}\r\nX-Instance-Load: {load}\r\n\r\n"
        );
        let mut outcome = stream.write_all(head.as_bytes());
        for event in first..=EVENTS {
            sleep_ms(gap_ms);
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            outcome = outcome.and_then(|()| stream.write_all(chunk.as_bytes()));
        }
        let outcome = outcome.and_then(|()| stream.write_all(b"0\r\n\r\n"));
        let mut state = self.state.lock().unwrap();
        if state.life == life {
            state.running -= 1;
        }
        outcome
    }
}

pub fn complete_stream() -> String {
    (1..=EVENTS).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
}

// ---------------------------------------------------------------- processes and settings

/// The machines' loopback addresses: 127.x.y.N, with x and y drawn for the run.
pub struct Network {
    x: u8,
    y: u8,
}

impl Network {
    pub fn draw() -> Self {
        let seed = unix_ms() ^ (u64::from(std::process::id()) << 7);
        Self { x: 20 + (seed % 200) as u8, y: 1 + (seed / 200 % 250) as u8 }
    }

    pub fn ip(&self, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.x, self.y, machine))
    }

    pub fn at(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), port)
    }
}

/// Fills a template of the deploy file as the platform does: values, and sections for a list of
/// tables or a value that is there.
pub fn render(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut text = template.to_owned();
    while let Some(open) = text.find("{{#") {
        let name_end = open + text[open..].find("}}").expect("a section is closed");
        let name = text[open + 3..name_end].to_owned();
        let close_tag = format!("{{{{/{name}}}}}");
        let close = text.find(&close_tag).expect("a section ends");
        let inner = text[name_end + 2..close].to_owned();
        let prefix = format!("{name}.");
        let entries: Vec<_> = fields.iter().filter(|(key, _)| key.starts_with(&prefix)).collect();
        let mut filled = String::new();
        if fields.contains_key(&name) {
            filled.push_str(&inner);
        } else {
            for (key, value) in entries {
                filled.push_str(&inner.replace("{{@}}", &key[prefix.len()..]).replace("{{.}}", value));
            }
        }
        text.replace_range(open..close + close_tag.len(), &filled);
    }
    while let Some(open) = text.find("{{") {
        let close = open + text[open..].find("}}").expect("a placeholder is closed");
        let value = fields.get(&text[open + 2..close]).cloned().unwrap_or_default();
        text.replace_range(open..close + 2, &value);
    }
    text
}

/// One process of the system, started with the command of the deploy file.
pub struct Process {
    pub name: String,
    child: std::process::Child,
}

impl Process {
    /// Starts the role. `fields` are the platform's settings of the machine.
    pub fn start(folder: &str, role: &str, fields: &BTreeMap<String, String>) -> Self {
        let deploy = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let section = deploy.split(&format!("[roles.{role}]")).nth(1).expect("the role");
        let section = section.split("[roles.").next().unwrap();
        let value = |name: &str| {
            let line = section.lines().find(|line| line.starts_with(&format!("{name} = ")));
            line.expect("a line of the role").split('"').nth(1).unwrap().to_owned()
        };
        let template = std::fs::read_to_string(value("template")).expect("the template");
        let name = fields["node_name"].clone();
        let settings = format!("{folder}/{name}.conf");
        std::fs::write(&settings, render(&template, fields)).unwrap();
        let command = value("run").replace("/etc/mustardrill/boot.conf", &settings);
        let mut words = command.split(' ');
        let log = format!("{folder}/{name}.log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = std::process::Command::new(words.next().unwrap())
            .args(words)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("MUSTARDRILL_CONFIG", &settings)
            .stdin(std::process::Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program starts; was it built?");
        Self { name, child }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn signal(&self, name: &str) {
        let _ = std::process::Command::new("kill")
            .args([&format!("-{name}"), &self.id().to_string()])
            .status();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- plain workers

struct PlainState {
    id: String,
    born: Option<u64>,
    state: &'static str,
    sequence: u64,
    running: u32,
    waiting: u32,
    work_ms: u64,
    /// Attempts that began to run, with the time.
    runs: Vec<(u64, String)>,
    /// Requests that reached the worker and were not answered with 421.
    arrivals: Vec<(u64, String)>,
    /// Answers after which a copy is sent late, at the point where the next one is expected.
    extras: u32,
    /// The copy that is still to be sent, by channel.
    pending_extras: HashMap<u64, Vec<u8>>,
    /// Answers so far.
    answers: u64,
}

/// An application worker; clones share its state.
#[derive(Clone)]
pub struct Plain {
    pub address: SocketAddr,
    pub zone: String,
    pub service: String,
    slots: u32,
    queue: u32,
    state: Arc<Mutex<PlainState>>,
    store: Store,
    record: Record,
    server: Arc<Mutex<Option<Server>>>,
}

impl Plain {
    pub fn new(
        id: &str,
        address: SocketAddr,
        zone: &str,
        service: &str,
        (slots, queue): (u32, u32),
        store: &Store,
        record: &Record,
    ) -> Self {
        let state = PlainState {
            id: id.into(),
            born: None,
            state: "ready",
            sequence: 0,
            running: 0,
            waiting: 0,
            work_ms: 15,
            runs: Vec::new(),
            arrivals: Vec::new(),
            extras: 0,
            pending_extras: HashMap::new(),
            answers: 0,
        };
        Self {
            address,
            zone: zone.into(),
            service: service.into(),
            slots,
            queue,
            state: Arc::new(Mutex::new(state)),
            store: store.clone(),
            record: record.clone(),
            server: Arc::default(),
        }
    }

    /// Starts a lifetime: listens and writes its entry. `born` is the time of its start by its own
    /// machine's time of day.
    pub fn start(&self, id: &str, born: Option<u64>) {
        let mut state = self.state.lock().unwrap();
        state.id = id.into();
        state.born = born;
        state.state = "ready";
        state.sequence = 0;
        state.running = 0;
        state.waiting = 0;
        drop(state);
        let worker = self.clone();
        let server = Server::start(self.address, move |call, stream, channel| {
            worker.serve(call, stream, channel)
        });
        *self.server.lock().unwrap() = Some(server);
        self.record.line(format!("{id} starts, born {born:?}"));
        self.register();
    }

    /// Ends the process.
    pub fn end(&self) {
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        self.record.line(format!("{} ends", self.id()));
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    /// Writes its entry; returns the time of the confirmation.
    pub fn register(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.sequence += 1;
        let born = state.born.map_or(String::new(), |born| format!(",\"born\":{born}"));
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{}\",\"cold_remaining_ms\":0,\"sequence\":{}{born}}}",
            self.service, self.address, self.zone, self.slots, state.state, state.sequence
        );
        let key = format!("servers/{}", state.id);
        drop(state);
        self.store.write(&key, &entry)
    }

    /// Reports that it is draining; returns the time of the confirmation.
    pub fn drain(&self) -> u64 {
        self.state.lock().unwrap().state = "draining";
        let at = self.register();
        self.record.say(format!("{} reports draining, confirmed at {at} ms", self.id()));
        at
    }

    pub fn set_work_ms(&self, work_ms: u64) {
        self.state.lock().unwrap().work_ms = work_ms;
    }

    /// Makes the worker send the copies of its next `count` refusals late.
    pub fn set_extras(&self, count: u32) {
        self.state.lock().unwrap().extras = count;
    }

    pub fn runs(&self) -> Vec<(u64, String)> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn arrivals(&self) -> Vec<(u64, String)> {
        self.state.lock().unwrap().arrivals.clone()
    }

    pub fn answers(&self) -> u64 {
        self.state.lock().unwrap().answers
    }

    fn serve(&self, call: &Call, stream: &mut TcpStream, channel: u64) -> std::io::Result<()> {
        let attempt = call.header("x-attempt-id").unwrap_or("").to_owned();
        if call.path() == "/health" {
            let id = self.id();
            return stream.write_all(&answer(200, &[("X-Instance-Id", &id)], b""));
        }
        let (id, work_ms, extra) = {
            let mut state = self.state.lock().unwrap();
            state.answers += 1;
            if call.header("x-expected-instance").is_some_and(|wanted| wanted != state.id) {
                return stream.write_all(&answer(421, &[("X-Attempt-Id", &attempt)], b""));
            }
            state.arrivals.push((now_ms(), attempt.clone()));
            let extra = state.pending_extras.remove(&channel);
            (state.id.clone(), state.work_ms, extra)
        };
        if let Some(extra) = extra {
            self.record.line(format!("{id} sends the copy of its earlier answer on channel {channel}"));
            stream.write_all(&extra)?;
        }
        {
            let mut state = self.state.lock().unwrap();
            if state.running >= self.slots && state.waiting >= self.queue {
                let refusal = answer(503, &[("X-Attempt-Id", &attempt), ("X-Not-Executed", "1")], b"");
                let has_copy = state.extras > 0;
                if has_copy {
                    state.extras -= 1;
                    state.pending_extras.insert(channel, refusal.clone());
                }
                self.record.line(format!(
                    "{id} is full and rejects {attempt} on channel {channel}{}",
                    if has_copy { ", and will send that answer a second time" } else { "" }
                ));
                drop(state);
                return stream.write_all(&refusal);
            }
            state.waiting += 1;
        }
        loop {
            let mut state = self.state.lock().unwrap();
            if state.running < self.slots {
                state.running += 1;
                state.waiting -= 1;
                state.runs.push((now_ms(), attempt.clone()));
                break;
            }
            drop(state);
            sleep_ms(1);
        }
        self.record.line(format!("{id} runs {attempt} on channel {channel}"));
        sleep_ms(work_ms);
        let mut state = self.state.lock().unwrap();
        state.running = state.running.saturating_sub(1);
        let load = format!("{},{},{}", state.running, state.waiting, self.slots);
        drop(state);
        let signature = format!("s-{id}-{attempt}");
        let headers = [
            ("X-Attempt-Id", &*attempt),
            ("X-Server-Signature", &*signature),
            ("X-Instance-Load", &*load),
        ];
        stream.write_all(&answer(200, &headers, format!("done {attempt}").as_bytes()))
    }
}
