//! Sends blocking HTTP requests to the controllers on worker threads, on behalf of the async thread, which must not
//! block.

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
    response_sender: oneshot::Sender<Option<HttpResponse>>,
}

/// The request queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many requests are queued")]
pub struct QueueFull;

/// Handle to the worker threads that send requests to the controllers.
#[derive(Clone, Debug)]
pub struct ControllerPool {
    request_sender: Sender<ControllerRequest>,
}

impl ControllerPool {
    /// Starts the worker threads.
    ///
    /// # Errors
    /// A thread cannot be started.
    pub fn start(controllers: &Controllers) -> std::io::Result<Self> {
        let (request_sender, queue) = bounded::<ControllerRequest>(MAX_QUEUED_REQUEST_COUNT);
        for _ in 0..CONTROLLER_THREAD_COUNT {
            let (queue, mut controllers) = (queue.clone(), controllers.clone());
            std::thread::Builder::new()
                .name("asker".into())
                .spawn(move || process_requests(&queue, &mut controllers))?;
        }
        Ok(Self { request_sender })
    }

    /// Queues a request and waits for the response of a controller; `None` if no controller responded.
    ///
    /// # Errors
    /// Too many requests are queued already.
    pub async fn send(
        &self,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    ) -> Result<Option<HttpResponse>, QueueFull> {
        let (response_sender, response_receiver) = oneshot::channel();
        let request = ControllerRequest { method, path, body, response_sender };
        self.request_sender.try_send(request).map_err(|_| QueueFull)?;
        Ok(response_receiver.await.unwrap_or_default())
    }
}

/// Sends queued requests until the pool is dropped. Each controller is tried at most once per request: after a 503 or
/// no response, the next one is tried.
fn process_requests(queue: &Receiver<ControllerRequest>, controllers: &mut Controllers) {
    while let Ok(ControllerRequest { method, path, body, response_sender }) = queue.recv() {
        // The gRPC call has been cancelled or has exceeded its deadline.
        if response_sender.is_closed() {
            continue;
        }
        let mut last_response = None;
        for _ in 0..controllers.len() {
            let response = controllers.request_next(method, &path, &body);
            let is_final = response.as_ref().is_some_and(|response| response.status != 503);
            last_response = response.or(last_response);
            if is_final || response_sender.is_closed() {
                break;
            }
        }
        let _ = response_sender.send(last_response);
    }
}
