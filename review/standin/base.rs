//! JSON, HTTP, the record and child processes: all that the stand-ins need, with the standard library alone.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A JSON value; numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = parse_value(&bytes, &mut at)?;
        skip_space(&bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) | Json::Number(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        self.text().parse().unwrap_or(0.0)
    }

    pub fn integer(&self) -> u64 {
        self.text().parse().unwrap_or(0)
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn skip_space(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn parse_value(text: &[char], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match *text.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(text, at)? else { return None };
                        skip_space(text, at);
                        if *text.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        let value = parse_value(text, at)?;
                        fields.insert(name, value);
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    ',' => *at += 1,
                    _ => items.push(parse_value(text, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut out = String::new();
            loop {
                let c = *text.get(*at)?;
                *at += 1;
                match c {
                    '"' => return Some(Json::Text(out)),
                    '\\' => {
                        let escaped = *text.get(*at)?;
                        *at += 1;
                        match escaped {
                            'n' => out.push('\n'),
                            't' => out.push('\t'),
                            'r' => out.push('\r'),
                            'u' => {
                                let hex: String = text.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                out.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                            }
                            other => out.push(other),
                        }
                    }
                    other => out.push(other),
                }
            }
        }
        _ => {
            let start = *at;
            while text.get(*at).is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c)) {
                *at += 1;
            }
            let word: String = text[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse::<f64>().ok().map(|_| Json::Number(word.clone())),
            }
        }
    }
}

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("record.txt can be written");
        Arc::new(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Reads one HTTP message: its first line, its headers and its body.
fn read_message(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
) -> Option<(String, BTreeMap<String, String>, String)> {
    let mut buffer = [0u8; 16384];
    let end = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        let count = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
        rest.extend_from_slice(&buffer[..count]);
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let total = end + 4 + length;
    while rest.len() < total {
        let count = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
        rest.extend_from_slice(&buffer[..count]);
    }
    let body = String::from_utf8_lossy(&rest[end + 4..total]).into_owned();
    rest.drain(..total);
    Some((first, headers, body))
}

/// Status and body of an answer; `None` if there was none in time.
pub type Answer = Option<(u16, String)>;

/// Sends one request on a connection of its own.
pub fn call(address: &str, method: &str, path: &str, body: &str, timeout_s: f64) -> Answer {
    let until = Instant::now() + Duration::from_secs_f64(timeout_s);
    let target: SocketAddr = address.parse().ok()?;
    let mut stream =
        TcpStream::connect_timeout(&target, Duration::from_secs_f64(timeout_s)).ok()?;
    let left = until.checked_duration_since(Instant::now())?.max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    stream.set_write_timeout(Some(left)).ok()?;
    let _ = stream.set_nodelay(true);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    (Instant::now() <= until).then_some((status, body))
}

/// Serves requests at a free loopback port, each connection on a thread; returns the address.
pub fn serve(handle: impl Fn(&str, &str, &str) -> (u16, String) + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut rest = Vec::new();
                while let Some((first, headers, body)) = read_message(&mut stream, &mut rest) {
                    let mut words = first.split(' ');
                    let (method, path) =
                        (words.next().unwrap_or_default(), words.next().unwrap_or_default());
                    let (status, text) = handle(method, path, &body);
                    let answer = format!(
                        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                         Content-Length: {}\r\n\r\n{text}",
                        text.len()
                    );
                    let closes =
                        headers.get("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                    if stream.write_all(answer.as_bytes()).is_err() || closes {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A free loopback port.
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

/// A child process, killed when this is dropped.
pub struct Process {
    command: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(command: &[String], log: &Path) -> Self {
        let mut process = Self { command: command.to_vec(), log: log.to_owned(), child: None };
        process.start_again();
        process
    }

    pub fn start_again(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.child = child.ok();
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Processor time used so far, in seconds.
    pub fn processor_s(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id()));
        let text = text.unwrap_or_default();
        let rest = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let ticks: f64 =
            rest.split(' ').skip(11).take(2).filter_map(|n| n.parse::<f64>().ok()).sum();
        ticks / 100.0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
