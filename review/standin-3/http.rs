//! HTTP/1.1 on loopback: a server with a thread for each connection, and a client that opens a connection for each call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: String,
}

impl Request {
    /// A parameter of the query, with its escapes resolved.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What a server does with a request.
pub enum Answer {
    Reply(u16, String),
    /// The connection is closed without an answer.
    Close,
}

/// Serves a free loopback port until the process ends.
pub fn serve(handle: impl Fn(&Request) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                let _ = serve_connection(stream, &*handle);
            });
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Answer) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut parts = line.split_whitespace();
        let method = parts.next().unwrap_or_default().to_owned();
        let target = parts.next().unwrap_or_default().to_owned();
        let (mut length, mut closes) = (0, false);
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header)? == 0 {
                return Ok(());
            }
            let header = header.trim().to_ascii_lowercase();
            if header.is_empty() {
                break;
            }
            if let Some(value) = header.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
            closes |= header == "connection: close";
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let request = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        match handle(&request) {
            Answer::Close => return Ok(()),
            Answer::Reply(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                writer.write_all(text.as_bytes())?;
            }
        }
        if closes {
            return Ok(());
        }
    }
}

/// Sends one request on a connection of its own; `None` if no whole answer comes within `timeout`.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + timeout;
    let target: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&target, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut received = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(answer) = whole_answer(&received) {
            return Some(answer);
        }
        let left = until.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        match stream.read(&mut buffer) {
            Ok(0) => return whole_answer(&received),
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(_) => return None,
        }
    }
}

fn whole_answer(received: &[u8]) -> Option<(u16, String)> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    let body = &received[end + 4..];
    let length: usize = length.unwrap_or(0);
    (body.len() >= length).then(|| (status, String::from_utf8_lossy(&body[..length]).into_owned()))
}
