//! HTTP/1.1 codec of one server connection: parses requests from received bytes and serializes replies.

use crate::constants::*;
use oatloom_protocol::constants::MAX_BODY_BYTES;
use oatloom_protocol::reply::HttpReply;
use std::fmt::Write;

/// Result of parsing the bytes received so far.
#[derive(Debug, PartialEq)]
pub(super) enum Parsed<R> {
    /// More bytes are needed.
    Incomplete,
    /// The input cannot be parsed: the reply is sent, then the connection is closed.
    Malformed(HttpReply),
    /// A complete request as decoded by the application, or the reply that rejects it.
    Request(Box<Result<R, HttpReply>>),
}

/// Input and output buffers of a connection.
#[derive(Debug, Default)]
pub(super) struct HttpCodec {
    input: Vec<u8>,
    output: Vec<u8>,
    /// Number of bytes of `output` that have been sent.
    sent: usize,
    /// Length of the request in `input`, once its head has been parsed.
    request_length: Option<usize>,
    /// Whether the connection is closed after the next reply.
    is_closing: bool,
    is_head_request: bool,
    is_continue_sent: bool,
}

/// Parsed head of a request.
struct Head {
    method: String,
    path: String,
    body_start: usize,
    body_length: usize,
    is_close_requested: bool,
    expects_continue: bool,
}

/// Whether a comma-separated header value contains a token, ignoring case.
fn has_token(value: &[u8], token: &str) -> bool {
    value.split(|b| *b == b',').any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

/// Parses the head of a request; `None` if more bytes are needed.
fn parse_head(input: &[u8]) -> Result<Option<Head>, HttpReply> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_COUNT];
    let mut request = httparse::Request::new(&mut headers);
    let body_start = match request.parse(input) {
        Ok(httparse::Status::Complete(body_start)) => body_start,
        Ok(httparse::Status::Partial) if input.len() > MAX_HEAD_BYTES => {
            return Err(HttpReply::error(431, "the request head is too long"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(e) => return Err(HttpReply::error(400, &format!("invalid HTTP request: {e}"))),
    };
    let mut head = Head {
        method: request.method.unwrap_or_default().to_owned(),
        path: request.path.unwrap_or_default().to_owned(),
        body_start,
        body_length: 0,
        is_close_requested: request.version == Some(0),
        expects_continue: false,
    };
    let mut length = None;
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let parsed = std::str::from_utf8(header.value).ok().and_then(|v| v.trim().parse().ok());
            if parsed.is_none() || length.is_some_and(|previous| Some(previous) != parsed) {
                return Err(HttpReply::error(400, "invalid or conflicting Content-Length"));
            }
            length = parsed;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(HttpReply::error(411, "the request body requires a Content-Length"));
        } else if header.name.eq_ignore_ascii_case("connection") {
            head.is_close_requested = (head.is_close_requested || has_token(header.value, "close"))
                && !has_token(header.value, "keep-alive");
        } else if header.name.eq_ignore_ascii_case("expect") {
            head.expects_continue = has_token(header.value, "100-continue");
        }
    }
    head.body_length = length.unwrap_or(0);
    if head.body_length > MAX_BODY_BYTES {
        return Err(HttpReply::error(413, "the body is over 64 KiB"));
    }
    Ok(Some(head))
}

/// Reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
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

impl HttpCodec {
    /// Appends received bytes to the input buffer.
    pub fn push_input(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Whether reading pauses: the buffer already holds more than the largest allowed request.
    pub fn is_input_full(&self) -> bool {
        self.input.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES
    }

    /// Whether at least a part of a request has been received.
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Whether the input may hold a complete request.
    pub fn can_be_complete(&self) -> bool {
        self.request_length.is_none_or(|length| self.input.len() >= length)
    }

    /// Removes the next request from the input buffer and decodes its method, path and body with `decode`.
    pub fn parse<R>(
        &mut self,
        decode: &impl Fn(&str, &str, &[u8]) -> Result<R, HttpReply>,
    ) -> Parsed<R> {
        if self.input.is_empty() || !self.can_be_complete() {
            return Parsed::Incomplete;
        }
        let head = match parse_head(&self.input) {
            Ok(Some(head)) => head,
            Ok(None) => return Parsed::Incomplete,
            Err(reply) => {
                self.is_closing = true;
                return Parsed::Malformed(reply);
            }
        };
        let end = head.body_start + head.body_length;
        if self.input.len() < end {
            self.request_length = Some(end);
            if head.expects_continue && !self.is_continue_sent {
                self.is_continue_sent = true;
                self.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            return Parsed::Incomplete;
        }
        let request = decode(&head.method, &head.path, &self.input[head.body_start..end]);
        self.is_closing |= head.is_close_requested;
        self.is_head_request = head.method == "HEAD";
        self.input.drain(..end);
        self.request_length = None;
        self.is_continue_sent = false;
        if self.input.is_empty() {
            // Frees the buffer: thousands of connections are idle between requests.
            self.input = Vec::new();
        }
        Parsed::Request(Box::new(request))
    }

    /// Closes the connection after the next reply.
    pub fn close_after_reply(&mut self) {
        self.is_closing = true;
    }

    /// Appends a reply to the output buffer.
    pub fn push_reply(&mut self, reply: &HttpReply) {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            reply.status,
            reason_phrase(reply.status),
            reply.body.len()
        );
        if let Some(seconds) = reply.retry_after_s {
            let _ = write!(head, "Retry-After: {seconds}\r\n");
        }
        if self.is_closing {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        self.output.extend_from_slice(head.as_bytes());
        if !self.is_head_request {
            self.output.extend_from_slice(reply.body.as_bytes());
        }
    }

    /// Bytes that are still to be sent.
    pub fn pending_output(&self) -> &[u8] {
        &self.output[self.sent..]
    }

    /// Records that `count` bytes have been sent.
    pub fn mark_sent(&mut self, count: usize) {
        self.sent += count;
        if self.sent == self.output.len() {
            self.output = Vec::new();
            self.sent = 0;
        }
    }

    /// Whether the connection is closed after the current reply.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Method, path and body length.
    type DecodedRequest = (String, String, usize);

    fn receive(codec: &mut HttpCodec, text: &str) -> Parsed<DecodedRequest> {
        codec.push_input(text.as_bytes());
        codec.parse(&|method: &str, path: &str, body: &[u8]| {
            Ok((method.to_owned(), path.to_owned(), body.len()))
        })
    }

    fn error_status(parsed: Parsed<DecodedRequest>) -> u16 {
        match parsed {
            Parsed::Malformed(reply) => reply.status,
            other => panic!("{other:?}"),
        }
    }

    /// A request may arrive in fragments split at any byte, and one connection carries several requests.
    #[test]
    fn fragmented_requests_are_parsed() {
        let text = "POST /v2/runs/req-7/abort HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
        for split in 1..text.len() {
            let mut codec = HttpCodec::default();
            for _ in 0..2 {
                assert_eq!(receive(&mut codec, &text[..split]), Parsed::Incomplete, "{split}");
                let Parsed::Request(request) = receive(&mut codec, &text[split..]) else {
                    panic!("request not parsed when split at {split}")
                };
                assert_eq!(*request, Ok(("POST".into(), "/v2/runs/req-7/abort".into(), 2)));
                codec.push_reply(&HttpReply::unavailable("busy"));
                let output = String::from_utf8(codec.pending_output().to_vec()).unwrap();
                assert!(output.starts_with("HTTP/1.1 503 Service Unavailable\r\n"), "{output}");
                assert!(
                    output.contains("Retry-After: 1\r\n") && output.ends_with("\"}"),
                    "{output}"
                );
                codec.mark_sent(output.len());
                assert!(
                    codec.pending_output().is_empty() && !codec.has_input() && !codec.is_closing()
                );
            }
        }
    }

    /// Invalid input is rejected at once and uses a bounded amount of memory.
    #[test]
    fn invalid_input_is_rejected() {
        let rejected_status = |text: &str| error_status(receive(&mut HttpCodec::default(), text));
        assert_eq!(rejected_status("\x01\x02 nonsense\r\n\r\n"), 400);
        assert_eq!(rejected_status("POST /up HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
        assert_eq!(
            rejected_status("POST /up HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
            400
        );
        assert_eq!(
            rejected_status("POST /v2/runs HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"),
            413
        );
        assert_eq!(
            rejected_status("POST /v2/runs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
            411
        );
        assert_eq!(
            rejected_status(&format!("GET /{} HTTP/1.1\r\n", "x".repeat(MAX_HEAD_BYTES))),
            431
        );
    }

    #[test]
    fn connection_and_expect_headers_are_honoured() {
        let mut codec = HttpCodec::default();
        let text = "POST /v1/report HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n";
        assert_eq!(receive(&mut codec, text), Parsed::Incomplete);
        assert_eq!(codec.pending_output(), b"HTTP/1.1 100 Continue\r\n\r\n");
        for (text, is_closing) in [
            ("GET /up HTTP/1.1\r\nConnection: close\r\n\r\n", true),
            ("GET /up HTTP/1.0\r\n\r\n", true),
            ("GET /up HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n", false),
        ] {
            let mut codec = HttpCodec::default();
            let expected = ("GET".to_owned(), "/up".to_owned(), 0);
            assert_eq!(receive(&mut codec, text), Parsed::Request(Box::new(Ok(expected))));
            assert_eq!(codec.is_closing(), is_closing, "{text}");
        }
    }
}
