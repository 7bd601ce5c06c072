//! An HTTP proxy between one controller and a service: forwards requests or applies the active faults to
//! them. Only sockets and threads are here; [`crate::faults`] decides what happens to a request.

use crate::constants::*;
use crate::faults::{FaultSet, RequestAction, Service};
use crossbeam::channel::{Receiver, bounded};
use oatloom_protocol::ids::Millis;
use oatloom_protocol::reply::HttpReply;
use oatloom_web::client::HttpClient;
use oatloom_web::server::{self, Incoming, ReplySender};
use oatloom_web::{StartError, spawn};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// A request as it was received.
struct RawRequest {
    method: String,
    path: String,
    body: Vec<u8>,
}

/// The active faults and the clock, shared by all proxies and the emulator.
#[derive(Clone)]
pub struct FaultContext {
    pub faults: Arc<Mutex<FaultSet>>,
    /// Origin of all times.
    pub start: Instant,
}

impl FaultContext {
    /// Time since the start, in milliseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Starts a proxy and returns its address. It runs until the process ends.
///
/// # Errors
/// If no socket can be bound or no thread can be started.
pub fn start(
    target: &str,
    service: Service,
    controller: usize,
    seed: u64,
    shared: &FaultContext,
) -> Result<SocketAddr, StartError> {
    let (sender, queue) = bounded::<Incoming<RawRequest>>(MAX_QUEUED_REQUESTS);
    let read = |method: &str, path: &str, body: &[u8]| -> Result<RawRequest, HttpReply> {
        Ok(RawRequest { method: method.to_owned(), path: path.to_owned(), body: body.to_owned() })
    };
    let deliver = move |incoming| sender.try_send(incoming).is_ok();
    let answers = Arc::new(server::start("127.0.0.1:0", MAX_CONNECTIONS, read, deliver)?);
    let address = answers.address();
    for thread in 0..PROXY_THREAD_COUNT {
        let (queue, answers, shared) = (queue.clone(), answers.clone(), shared.clone());
        let client = HttpClient::new(target, PROXY_TIMEOUT_MS, MAX_RESPONSE_BYTES);
        let rng = ChaCha8Rng::seed_from_u64(seed ^ ((controller * 64 + thread) as u64) << 8);
        spawn("gate", move || {
            forward_requests(&queue, &answers, &client, service, controller, &shared, rng)
        })?;
    }
    Ok(address)
}

/// Handles the requests of one proxy thread.
fn forward_requests(
    queue: &Receiver<Incoming<RawRequest>>,
    answers: &Arc<ReplySender>,
    client: &HttpClient,
    service: Service,
    controller: usize,
    shared: &FaultContext,
    mut rng: ChaCha8Rng,
) {
    while let Ok(Incoming { caller: connection, request }) = queue.recv() {
        let decide = |rng: &mut ChaCha8Rng| match shared.faults.lock() {
            Ok(faults) => faults.decide(service, controller, shared.now(), rng),
            Err(_) => RequestAction::Pass { delay_ms: 0 },
        };
        let forward = || client.forward(&request.method, &request.path, &request.body);
        match decide(&mut rng) {
            RequestAction::Refuse(status) => {
                answers.send(connection, HttpReply::error(status, "trouble"))
            }
            RequestAction::Lose => {
                let _ = forward();
                answers.close(connection);
            }
            RequestAction::Silent => {
                let late_answers = answers.clone();
                run_later(SILENT_CLOSE_DELAY_MS, move || late_answers.close(connection));
            }
            RequestAction::Late { delay_ms } => {
                let (late_answers, late_client) = (answers.clone(), client.clone());
                run_later(Millis(delay_ms), move || {
                    // The request may block for long, so it gets a thread of its own: other delayed requests
                    // must not wait for it.
                    let started = spawn("late", move || {
                        let _ = late_client.forward(&request.method, &request.path, &request.body);
                        late_answers.close(connection);
                    });
                    if let Err(e) = started {
                        tracing::warn!("late request dropped, cannot start its thread: {e}");
                    }
                });
            }
            RequestAction::Pass { delay_ms } => {
                std::thread::sleep(Duration::from_millis(delay_ms));
                let reply = forward();
                // A partition that began meanwhile also holds back the answer.
                match (decide(&mut rng), reply) {
                    (RequestAction::Silent, _) => {
                        let late_answers = answers.clone();
                        run_later(SILENT_CLOSE_DELAY_MS, move || late_answers.close(connection));
                    }
                    (_, Some((status, body))) => {
                        let body = String::from_utf8_lossy(&body).into_owned();
                        answers.send(connection, HttpReply { status, body, retry_after_s: None });
                    }
                    (_, None) => answers.close(connection),
                }
            }
        }
    }
}

type DelayedAction = (Instant, Box<dyn FnOnce() + Send>);

/// Runs `action` after a delay, on one thread for all proxies, so that proxy threads do not block on requests
/// that get no answer.
fn run_later(delay: Millis, action: impl FnOnce() + Send + 'static) {
    static DELAYED_ACTIONS: OnceLock<Mutex<Vec<DelayedAction>>> = OnceLock::new();
    let delayed_actions = DELAYED_ACTIONS.get_or_init(|| {
        let started = spawn("later", || {
            loop {
                std::thread::sleep(Duration::from_millis(STEP_INTERVAL_MS.0));
                let Some(Ok(mut actions)) = DELAYED_ACTIONS.get().map(Mutex::lock) else {
                    continue;
                };
                let now = Instant::now();
                let due: Vec<DelayedAction> =
                    actions.extract_if(.., |(at, _)| *at <= now).collect();
                drop(actions);
                due.into_iter().for_each(|(_, action)| action());
            }
        });
        if let Err(e) = started {
            tracing::error!("cannot start the thread for delayed requests: {e}");
        }
        Mutex::new(Vec::new())
    });
    if let Ok(mut delayed_actions) = delayed_actions.lock() {
        delayed_actions.push((Instant::now() + Duration::from_millis(delay.0), Box::new(action)));
    }
}
