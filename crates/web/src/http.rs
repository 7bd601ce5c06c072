//! HTTP/1.1 of one connection: bytes in, requests out, answers in, bytes out.

use crate::constants::*;
use oatloom_protocol::constants::MAX_BODY_BYTES;
use oatloom_protocol::reply::HttpReply;
use std::fmt::Write;

/// What the bytes so far amount to.
#[derive(Debug, PartialEq)]
pub(super) enum Parsed<R> {
    More,
    /// Cannot be read on: answered, then closed.
    Bad(HttpReply),
    /// A whole request, as far as the interface understands it.
    Request(Box<Result<R, HttpReply>>),
}

/// Both directions of a connection.
#[derive(Debug, Default)]
pub(super) struct Wire {
    input: Vec<u8>,
    output: Vec<u8>,
    sent: usize,
    /// Length of the request in `input`, once its head was read.
    needed: Option<usize>,
    closing: bool,
    head_only: bool,
    continued: bool,
}

struct Head {
    method: String,
    path: String,
    start: usize,
    length: usize,
    close: bool,
    expects: bool,
}

fn is(value: &[u8], word: &str) -> bool {
    value.split(|b| *b == b',').any(|part| part.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
}

/// Reads the head of a request; `None`: more bytes are needed.
fn head(input: &[u8]) -> Result<Option<Head>, HttpReply> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let start = match request.parse(input) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if input.len() > HEAD_BYTES => {
            return Err(HttpReply::error(431, "the head of the request is too long"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(e) => return Err(HttpReply::error(400, &format!("not HTTP: {e}"))),
    };
    let mut head = Head {
        method: request.method.unwrap_or_default().to_owned(),
        path: request.path.unwrap_or_default().to_owned(),
        start,
        length: 0,
        close: request.version == Some(0),
        expects: false,
    };
    let mut length = None;
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let read = std::str::from_utf8(header.value).ok().and_then(|v| v.trim().parse().ok());
            if read.is_none() || length.is_some_and(|known| Some(known) != read) {
                return Err(HttpReply::error(400, "a bad content length"));
            }
            length = read;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(HttpReply::error(411, "the body needs a length"));
        } else if header.name.eq_ignore_ascii_case("connection") {
            head.close =
                (head.close || is(header.value, "close")) && !is(header.value, "keep-alive");
        } else if header.name.eq_ignore_ascii_case("expect") {
            head.expects = is(header.value, "100-continue");
        }
    }
    head.length = length.unwrap_or(0);
    if head.length > MAX_BODY_BYTES {
        return Err(HttpReply::error(413, "the body is over 64 KiB"));
    }
    Ok(Some(head))
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        410 => "Gone",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

impl Wire {
    pub fn take_in(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Whether no more is read for now: a whole request, however large, is less.
    pub fn full(&self) -> bool {
        self.input.len() > HEAD_BYTES + MAX_BODY_BYTES
    }

    /// Whether some of a request is here.
    pub fn begun(&self) -> bool {
        !self.input.is_empty()
    }

    /// Whether all of a request may be here.
    pub fn complete(&self) -> bool {
        self.needed.is_none_or(|needed| self.input.len() >= needed)
    }

    /// Takes the next request out of what has come, as `read` understands method, path and body.
    pub fn parse<R>(
        &mut self,
        read: &impl Fn(&str, &str, &[u8]) -> Result<R, HttpReply>,
    ) -> Parsed<R> {
        if self.input.is_empty() || !self.complete() {
            return Parsed::More;
        }
        let head = match head(&self.input) {
            Ok(Some(head)) => head,
            Ok(None) => return Parsed::More,
            Err(reply) => {
                self.closing = true;
                return Parsed::Bad(reply);
            }
        };
        let end = head.start + head.length;
        if self.input.len() < end {
            self.needed = Some(end);
            if head.expects && !self.continued {
                self.continued = true;
                self.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            return Parsed::More;
        }
        let request = read(&head.method, &head.path, &self.input[head.start..end]);
        self.closing |= head.close;
        self.head_only = head.method == "HEAD";
        self.input.drain(..end);
        self.needed = None;
        self.continued = false;
        if self.input.is_empty() {
            // Thousands of connections lie idle between requests.
            self.input = Vec::new();
        }
        Parsed::Request(Box::new(request))
    }

    /// Ends the connection with its next answer.
    pub fn close(&mut self) {
        self.closing = true;
    }

    pub fn answer(&mut self, reply: &HttpReply) {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            reply.status,
            reason(reply.status),
            reply.body.len()
        );
        if let Some(seconds) = reply.retry_after_s {
            let _ = write!(head, "Retry-After: {seconds}\r\n");
        }
        if self.closing {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        self.output.extend_from_slice(head.as_bytes());
        if !self.head_only {
            self.output.extend_from_slice(reply.body.as_bytes());
        }
    }

    /// What is still to be written.
    pub fn out(&self) -> &[u8] {
        &self.output[self.sent..]
    }

    pub fn written(&mut self, count: usize) {
        self.sent += count;
        if self.sent == self.output.len() {
            self.output = Vec::new();
            self.sent = 0;
        }
    }

    /// Whether the connection ends after this answer.
    pub fn closing(&self) -> bool {
        self.closing
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    type Words = (String, String, usize);

    fn feed(wire: &mut Wire, text: &str) -> Parsed<Words> {
        wire.take_in(text.as_bytes());
        wire.parse(&|method: &str, path: &str, body: &[u8]| {
            Ok((method.to_owned(), path.to_owned(), body.len()))
        })
    }

    fn status(parsed: Parsed<Words>) -> u16 {
        match parsed {
            Parsed::Bad(reply) => reply.status,
            other => panic!("{other:?}"),
        }
    }

    /// Requests come in pieces of any size, and one connection carries many.
    #[test]
    fn requests_come_in_pieces() {
        let text = "POST /v2/runs/req-7/abort HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
        for at in 1..text.len() {
            let mut wire = Wire::default();
            for _ in 0..2 {
                assert_eq!(feed(&mut wire, &text[..at]), Parsed::More, "{at}");
                let Parsed::Request(request) = feed(&mut wire, &text[at..]) else {
                    panic!("not read: {at}")
                };
                assert_eq!(*request, Ok(("POST".into(), "/v2/runs/req-7/abort".into(), 2)));
                wire.answer(&HttpReply::unavailable("busy"));
                let out = String::from_utf8(wire.out().to_vec()).unwrap();
                assert!(out.starts_with("HTTP/1.1 503 Service Unavailable\r\n"), "{out}");
                assert!(out.contains("Retry-After: 1\r\n") && out.ends_with("\"}"), "{out}");
                wire.written(out.len());
                assert!(wire.out().is_empty() && !wire.begun() && !wire.closing());
            }
        }
    }

    /// Bad input gets its answer at once and costs a bounded amount of memory.
    #[test]
    fn bad_input_is_refused() {
        let bad = |text: &str| status(feed(&mut Wire::default(), text));
        assert_eq!(bad("\x01\x02 nonsense\r\n\r\n"), 400);
        assert_eq!(bad("POST /up HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
        assert_eq!(bad("POST /up HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"), 400);
        assert_eq!(bad("POST /v2/runs HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"), 413);
        assert_eq!(bad("POST /v2/runs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"), 411);
        assert_eq!(bad(&format!("GET /{} HTTP/1.1\r\n", "x".repeat(HEAD_BYTES))), 431);
    }

    #[test]
    fn closing_and_continuing_are_understood() {
        let mut wire = Wire::default();
        let text = "POST /v1/report HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n";
        assert_eq!(feed(&mut wire, text), Parsed::More);
        assert_eq!(wire.out(), b"HTTP/1.1 100 Continue\r\n\r\n");
        for (text, closes) in [
            ("GET /up HTTP/1.1\r\nConnection: close\r\n\r\n", true),
            ("GET /up HTTP/1.0\r\n\r\n", true),
            ("GET /up HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n", false),
        ] {
            let mut wire = Wire::default();
            let up = ("GET".to_owned(), "/up".to_owned(), 0);
            assert_eq!(feed(&mut wire, text), Parsed::Request(Box::new(Ok(up))));
            assert_eq!(wire.closing(), closes, "{text}");
        }
    }
}
