//! The HTTP server for users, workers and health checks.

use super::{EdgeError, Input, spawn};
use crate::api::{self, HttpReply};
use crate::constants::*;
use crossbeam::channel::{Receiver, Sender, bounded};
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tiny_http::{Header, Request, Response, Server, StatusCode};

pub(crate) struct Incoming {
    pub request: Box<Request>,
    pub parsed: Result<api::Request, HttpReply>,
}

pub(crate) fn start(address: &str, inputs: Sender<Input>) -> Result<(), EdgeError> {
    let server = Server::http(address)
        .map_err(|e| EdgeError::Listen { address: address.to_owned(), cause: e.to_string() })?;
    spawn("http", move || accept(&server, &inputs))?;
    Ok(())
}

/// Small bodies are in memory already when the request arrives; larger ones are read by threads of
/// their own, so that one slow sender holds up nobody else.
fn accept(server: &Server, inputs: &Sender<Input>) {
    let (large, queue) = bounded::<Request>(BODY_READERS);
    let readers = Readers {
        queue,
        count: Arc::new(AtomicUsize::new(0)),
        idle: Arc::new(AtomicUsize::new(0)),
    };
    loop {
        let request = match server.recv() {
            Ok(request) => request,
            Err(e) => {
                log::warn!("http: {e}");
                continue;
            }
        };
        match request.body_length() {
            Some(length) if length > BODY_BYTES => {
                respond(request, HttpReply::error(413, "the body is over 64 KiB"));
            }
            Some(length) if length <= INLINE_BODY_BYTES => take(request, inputs),
            None if !matches!(request.method(), tiny_http::Method::Post) => take(request, inputs),
            _ => {
                readers.grow(inputs);
                if let Err(full) = large.try_send(request) {
                    respond(full.into_inner(), HttpReply::later("too many large requests"));
                }
            }
        }
    }
}

struct Readers {
    queue: Receiver<Request>,
    count: Arc<AtomicUsize>,
    idle: Arc<AtomicUsize>,
}

impl Readers {
    /// Starts another reader if none is idle, up to the cap.
    fn grow(&self, inputs: &Sender<Input>) {
        if self.idle.load(Ordering::Relaxed) > 0
            || self.count.load(Ordering::Relaxed) >= BODY_READERS
        {
            return;
        }
        let (queue, idle, inputs) = (self.queue.clone(), self.idle.clone(), inputs.clone());
        let body = move || {
            idle.fetch_add(1, Ordering::Relaxed);
            while let Ok(request) = queue.recv() {
                idle.fetch_sub(1, Ordering::Relaxed);
                take(request, &inputs);
                idle.fetch_add(1, Ordering::Relaxed);
            }
        };
        if spawn("body", body).is_ok() {
            self.count.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn take(mut request: Request, inputs: &Sender<Input>) {
    let mut body = Vec::new();
    let limit = BODY_BYTES as u64 + 1;
    if request.as_reader().take(limit).read_to_end(&mut body).is_err() {
        return;
    }
    let parsed = api::parse(request.method().as_str(), request.url(), &body);
    let incoming = Incoming { request: Box::new(request), parsed };
    if let Err(full) = inputs.try_send(Input::Http(incoming))
        && let Input::Http(incoming) = full.into_inner()
    {
        respond(*incoming.request, HttpReply::later("busy"));
    }
}

pub(crate) fn respond(request: Request, reply: HttpReply) {
    let mut response = Response::from_string(reply.body)
        .with_status_code(StatusCode(reply.status))
        .with_chunked_threshold(usize::MAX);
    let mut header = |name: &str, value: &str| {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    };
    header("Content-Type", "application/json");
    if let Some(seconds) = reply.retry_after_s {
        header("Retry-After", &seconds.to_string());
    }
    if let Err(e) = request.respond(response) {
        log::debug!("http: an answer could not be sent: {e}");
    }
}
