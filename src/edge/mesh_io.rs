//! Connections between controllers.

use super::frames::{read_frame, write_frame};
use super::{EdgeError, Incoming};
use crate::constants::*;
use crossbeam::channel::{Receiver, Sender, bounded};
use oatloom_core::api::Request;
use oatloom_core::controller::Event;
use oatloom_core::mesh::{PeerReplyFrame, PeerRequestFrame};
use oatloom_protocol::reply::HttpReply;
use oatloom_web::{bind_patiently, spawn};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A peer's question, and where its answer goes.
pub(crate) struct Question {
    pub request: Request,
    pub answerer: Answerer,
}

pub(crate) struct Answerer {
    id: u64,
    stream: Arc<Mutex<TcpStream>>,
}

impl Answerer {
    pub fn answer(self, reply: HttpReply) {
        let told = PeerReplyFrame { id: self.id, reply };
        if let Ok(mut stream) = self.stream.lock()
            && let Err(e) = write_frame(&mut *stream, &told)
        {
            log::debug!("mesh: an answer could not be sent: {e}");
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

pub(crate) fn serve(address: &str, inputs: Sender<Incoming>) -> Result<(), EdgeError> {
    let listener = bind_patiently(address, || TcpListener::bind(address))?;
    let count = Arc::new(AtomicUsize::new(0));
    spawn("mesh", move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                // Guards against a thread that turns without rest while no socket is left.
                std::thread::sleep(Duration::from_millis(MESH_ACCEPT_REST_MS.0));
                continue;
            };
            if count.load(Ordering::Relaxed) >= MESH_CONNECTIONS {
                continue;
            }
            let (inputs, open) = (inputs.clone(), count.clone());
            open.fetch_add(1, Ordering::Relaxed);
            let started = spawn("mesh-in", move || {
                if let Err(e) = listen(stream, &inputs) {
                    log::debug!("mesh: a connection ended: {e}");
                }
                open.fetch_sub(1, Ordering::Relaxed);
            });
            if started.is_err() {
                count.fetch_sub(1, Ordering::Relaxed);
            }
        }
    })?;
    Ok(())
}

fn listen(mut stream: TcpStream, inputs: &Sender<Incoming>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(MESH_IDLE_MS.0)))?;
    stream.set_write_timeout(Some(Duration::from_millis(MESH_WRITE_MS.0)))?;
    let answers = Arc::new(Mutex::new(stream.try_clone()?));
    loop {
        let PeerRequestFrame { id, request } = read_frame(&mut stream)?;
        let answerer = Answerer { id, stream: answers.clone() };
        let asked = Incoming::Mesh(Question { request: request.into(), answerer });
        if let Err(full) = inputs.try_send(asked)
            && let Incoming::Mesh(question) = full.into_inner()
        {
            question.answerer.answer(HttpReply::later("busy"));
        }
    }
}

/// A connection to a peer, made when there is something to ask.
struct Line {
    stream: TcpStream,
    broken: Arc<AtomicBool>,
}

/// A thread that asks a peer; `most` questions may wait for it, one of each connection.
pub(crate) fn dial(
    address: String,
    most: usize,
    events: Sender<Event>,
) -> Result<Sender<PeerRequestFrame>, EdgeError> {
    let (sender, queue) = bounded::<PeerRequestFrame>(most.max(CALL_QUEUE));
    spawn("mesh-out", move || ask(&address, &queue, &events))?;
    Ok(sender)
}

fn ask(address: &str, queue: &Receiver<PeerRequestFrame>, events: &Sender<Event>) {
    let mut line: Option<Line> = None;
    let mut retry = Instant::now();
    while let Ok(asked) = queue.recv() {
        if line.as_ref().is_some_and(|l| l.broken.load(Ordering::Relaxed)) {
            line = None;
        }
        if line.is_none() && Instant::now() >= retry {
            line =
                connect(address, events).inspect_err(|e| log::debug!("mesh: {address}: {e}")).ok();
            if line.is_none() {
                retry = Instant::now() + Duration::from_millis(MESH_RETRY_MS.0);
            }
        }
        let sent = line.as_mut().is_some_and(|l| write_frame(&mut l.stream, &asked).is_ok());
        if !sent {
            if let Some(old) = line.take() {
                let _ = old.stream.shutdown(std::net::Shutdown::Both);
            }
            let told = Event::PeerReply { id: asked.id, reply: None };
            if events.send(told).is_err() {
                return;
            }
        }
    }
}

fn connect(address: &str, events: &Sender<Event>) -> std::io::Result<Line> {
    let target: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let stream = TcpStream::connect_timeout(&target, Duration::from_millis(MESH_CONNECT_MS.0))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(Duration::from_millis(MESH_WRITE_MS.0)))?;
    let mut reader = stream.try_clone()?;
    reader.set_read_timeout(Some(Duration::from_millis(MESH_IDLE_MS.0)))?;
    let broken = Arc::new(AtomicBool::new(false));
    let (mark, events) = (broken.clone(), events.clone());
    spawn("mesh-told", move || {
        while let Ok(PeerReplyFrame { id, reply }) = read_frame(&mut reader) {
            let told = Event::PeerReply { id, reply: Some(reply) };
            if events.send(told).is_err() {
                break;
            }
        }
        mark.store(true, Ordering::Relaxed);
        let _ = reader.shutdown(std::net::Shutdown::Both);
    })?;
    Ok(Line { stream, broken })
}
