//! Sends blocking HTTP requests to the controllers on worker threads, on behalf of the async thread, which must not block.

use crate::constants::{CONTROLLER_THREAD_COUNT, MAX_QUEUED_REQUEST_COUNT};
use crossbeam::channel::{Receiver, Sender, bounded};
use oatloom_client::Controllers;
use oatloom_web::client::HttpResponse;
use tokio::sync::oneshot;

/// A request and the channel for its response.
struct ControllerRequest {
    method: &'static str,
    path: String,
    body: Vec<u8>,
    response: oneshot::Sender<Option<HttpResponse>>,
}

/// The request queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many requests are queued")]
pub struct QueueFull;

/// Handle to the threads that send requests to the controllers.
#[derive(Clone, Debug)]
pub struct ControllerPool {
    requests: Sender<ControllerRequest>,
}

impl ControllerPool {
    /// Starts the threads.
    ///
    /// # Errors
    /// A thread cannot be started.
    pub fn start(controllers: &Controllers) -> std::io::Result<Self> {
        let (requests, queue) = bounded::<ControllerRequest>(MAX_QUEUED_REQUEST_COUNT);
        for _ in 0..CONTROLLER_THREAD_COUNT {
            let (queue, mut controllers) = (queue.clone(), controllers.clone());
            std::thread::Builder::new()
                .name("asker".into())
                .spawn(move || process_requests(&queue, &mut controllers))?;
        }
        Ok(Self { requests })
    }

    /// Sends a request and waits for the response; `None` if no controller responded.
    ///
    /// # Errors
    /// Too many requests are queued already.
    pub async fn send(
        &self,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    ) -> Result<Option<HttpResponse>, QueueFull> {
        let (response, receiver) = oneshot::channel();
        let request = ControllerRequest { method, path, body, response };
        self.requests.try_send(request).map_err(|_| QueueFull)?;
        Ok(receiver.await.unwrap_or_default())
    }
}

/// Processes queued requests. Each controller is tried at most once per request; one that is unavailable is skipped.
fn process_requests(queue: &Receiver<ControllerRequest>, controllers: &mut Controllers) {
    while let Ok(ControllerRequest { method, path, body, response }) = queue.recv() {
        // The caller has gone or its deadline has passed.
        if response.is_closed() {
            continue;
        }
        let mut latest = None;
        for _ in 0..controllers.len() {
            let next = controllers.request_next(method, &path, &body);
            let is_final = next.as_ref().is_some_and(|response| response.status != 503);
            latest = next.or(latest);
            if is_final || response.is_closed() {
                break;
            }
        }
        let _ = response.send(latest);
    }
}
