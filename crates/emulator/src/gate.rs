//! A gate before a service, for one controller: requests pass, or meet what the faults have for them. Sockets
//! and threads only; [`crate::faults`] judges.

use crate::constants::*;
use crate::faults::{Faults, Service, Verdict};
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

/// A request as it came.
struct Raw {
    method: String,
    path: String,
    body: Vec<u8>,
}

/// What all gates share.
#[derive(Clone)]
pub struct Shared {
    pub faults: Arc<Mutex<Faults>>,
    pub start: Instant,
}

impl Shared {
    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Starts a gate and returns where it listens. It serves until the process ends.
///
/// # Errors
/// No address or thread can be had.
pub fn start(
    target: &str,
    service: Service,
    controller: usize,
    seed: u64,
    shared: &Shared,
) -> Result<SocketAddr, StartError> {
    let (sender, queue) = bounded::<Incoming<Raw>>(GATE_QUEUE);
    let read = |method: &str, path: &str, body: &[u8]| -> Result<Raw, HttpReply> {
        Ok(Raw { method: method.to_owned(), path: path.to_owned(), body: body.to_owned() })
    };
    let deliver = move |incoming| sender.try_send(incoming).is_ok();
    let answers = Arc::new(server::start("127.0.0.1:0", CONNECTIONS, read, deliver)?);
    let address = answers.address();
    for thread in 0..GATE_THREADS {
        let (queue, answers, shared) = (queue.clone(), answers.clone(), shared.clone());
        let caller = HttpClient::new(target, GATE_TIMEOUT_MS, GATE_BYTES);
        let rng = ChaCha8Rng::seed_from_u64(seed ^ ((controller * 64 + thread) as u64) << 8);
        spawn("gate", move || {
            pass_on(&queue, &answers, &caller, service, controller, &shared, rng)
        })?;
    }
    Ok(address)
}

fn pass_on(
    queue: &Receiver<Incoming<Raw>>,
    answers: &Arc<ReplySender>,
    caller: &HttpClient,
    service: Service,
    controller: usize,
    shared: &Shared,
    mut rng: ChaCha8Rng,
) {
    while let Ok(Incoming { caller: from, request }) = queue.recv() {
        let judge = |rng: &mut ChaCha8Rng| match shared.faults.lock() {
            Ok(faults) => faults.judge(service, controller, shared.now(), rng),
            Err(_) => Verdict::Pass { delay_ms: 0 },
        };
        let ask = || caller.forward(&request.method, &request.path, &request.body);
        match judge(&mut rng) {
            Verdict::Refuse(status) => answers.send(from, HttpReply::error(status, "trouble")),
            Verdict::Lose => {
                let _ = ask();
                answers.close(from);
            }
            Verdict::Silent => {
                let late = answers.clone();
                later(SILENCE_MS, move || late.close(from));
            }
            Verdict::Late { delay_ms } => {
                let (address, late) = (answers.clone(), caller.clone());
                later(Millis(delay_ms), move || {
                    // It may wait for long: others that are late must not wait for it.
                    let done = spawn("late", move || {
                        let _ = late.forward(&request.method, &request.path, &request.body);
                        address.close(from);
                    });
                    if let Err(e) = done {
                        tracing::warn!("a late request is dropped: {e}");
                    }
                });
            }
            Verdict::Pass { delay_ms } => {
                std::thread::sleep(Duration::from_millis(delay_ms));
                let reply = ask();
                // A cut that began meanwhile holds back the answer too.
                match (judge(&mut rng), reply) {
                    (Verdict::Silent, _) => {
                        let late = answers.clone();
                        later(SILENCE_MS, move || late.close(from));
                    }
                    (_, Some((status, body))) => {
                        let body = String::from_utf8_lossy(&body).into_owned();
                        answers.send(from, HttpReply { status, body, retry_after_s: None });
                    }
                    (_, None) => answers.close(from),
                }
            }
        }
    }
}

type Job = (Instant, Box<dyn FnOnce() + Send>);

/// Does something later, on one thread for all: a gate's threads must not wait for what nobody answers.
fn later(delay: Millis, act: impl FnOnce() + Send + 'static) {
    static JOBS: OnceLock<Mutex<Vec<Job>>> = OnceLock::new();
    let jobs = JOBS.get_or_init(|| {
        let started = spawn("later", || {
            loop {
                std::thread::sleep(Duration::from_millis(STEP_MS.0));
                let Some(Ok(mut jobs)) = JOBS.get().map(Mutex::lock) else { continue };
                let now = Instant::now();
                let due: Vec<Job> = jobs.extract_if(.., |(at, _)| *at <= now).collect();
                drop(jobs);
                due.into_iter().for_each(|(_, act)| act());
            }
        });
        if let Err(e) = started {
            tracing::error!("what is held back will never be delivered: {e}");
        }
        Mutex::new(Vec::new())
    });
    if let Ok(mut jobs) = jobs.lock() {
        jobs.push((Instant::now() + Duration::from_millis(delay.0), Box::new(act)));
    }
}
