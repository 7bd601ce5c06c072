//! HTTP/1.1 over loopback sockets: a server with a thread for each connection, and a client with a time-out.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a handler decides: an answer, or silence (the connection is closed without an answer).
pub enum Answer {
    Reply(u16, String),
    Drop,
}

pub type Handler = Arc<dyn Fn(&str, &str, &str) -> Answer + Send + Sync>;

/// Reads one message; returns the first line and the body.
fn read_message(stream: &mut TcpStream, pending: &mut Vec<u8>) -> Option<(String, String, bool)> {
    let mut buffer = [0u8; 16384];
    loop {
        if let Some(end) = pending.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&pending[..end]).into_owned();
            let header = |name: &str| {
                head.lines().skip(1).find_map(|l| {
                    let (key, value) = l.split_once(':')?;
                    key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
                })
            };
            let length: usize = header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            let close = header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
            if pending.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&pending[end + 4..end + 4 + length]).into_owned();
                pending.drain(..end + 4 + length);
                return Some((head.lines().next().unwrap_or("").to_owned(), body, close));
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => pending.extend_from_slice(&buffer[..count]),
        }
    }
}

fn spawn(work: impl FnOnce() + Send + 'static) {
    let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(work);
}

/// Serves at a free loopback port; returns the address.
pub fn serve(handler: Handler) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let mut pending = Vec::new();
                while let Some((line, body, close)) = read_message(&mut stream, &mut pending) {
                    let mut parts = line.split(' ');
                    let (method, path) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
                    let Answer::Reply(status, text) = handler(method, path, &body) else { return };
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        text.len()
                    );
                    if stream.write_all((head + &text).as_bytes()).is_err() || close {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// One request on a connection of its own; `None` if there is no answer in time.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str, wait: Duration) -> Option<(u16, String)> {
    let until = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    let _ = stream.set_nodelay(true);
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let (line, body, _) = read_message(&mut stream, &mut Vec::new())?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    (Instant::now() <= until).then_some((status, body))
}

pub fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() + 0 {
            if let Ok(b) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(b);
                i += 3;
                continue;
            }
        }
        out.push(bytes[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// The value of a query parameter.
pub fn parameter(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| unescape(v)))
}
