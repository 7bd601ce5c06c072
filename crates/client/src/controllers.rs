//! Job requests of users to the controllers, retried as the protocol allows.

use crate::constants::*;
use oatloom_protocol::ids::{JobId, Millis};
use oatloom_protocol::wire::{JobSpec, JobView};
use oatloom_web::client::{HttpClient, HttpResponse};
use std::time::{Duration, Instant};

/// Final outcome of a job request.
#[derive(Clone, Debug, PartialEq)]
pub enum JobResponse {
    /// The current state of the job.
    View(JobView),
    /// Rejected permanently, or the job is unknown: status and response body.
    Rejected(u16, String),
    /// No final response within the timeout; holds the last response.
    NoFinalResponse(String),
    /// No controller could be reached at all.
    Unreachable,
}

/// Why a request is no longer retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryError {
    /// No final response; holds the last response.
    NoFinalResponse(String),
    /// No controller could be reached at all.
    Unreachable,
}

/// A request about a job.
#[derive(Clone, Debug)]
pub enum JobRequest {
    Submit(Box<JobSpec>),
    View(JobId),
    Abort(JobId),
}

impl JobRequest {
    /// The ID of the job.
    pub fn id(&self) -> &JobId {
        match self {
            Self::Submit(spec) => &spec.id,
            Self::View(id) | Self::Abort(id) => id,
        }
    }

    /// Method, path and body of the HTTP request.
    fn to_http(&self) -> (&'static str, String, Vec<u8>) {
        match self {
            Self::Submit(spec) => {
                ("POST", "/v2/runs".into(), serde_json::to_vec(spec).unwrap_or_default())
            }
            Self::View(id) => ("GET", format!("/v2/runs/{id}"), Vec::new()),
            Self::Abort(id) => ("POST", format!("/v2/runs/{id}/abort"), Vec::new()),
        }
    }
}

/// Interprets a response; `None` if it is not final and the request is to be retried after a delay.
pub fn interpret_response(request: &JobRequest, response: &HttpResponse) -> Option<JobResponse> {
    let decode_body = || String::from_utf8_lossy(&response.body).into_owned();
    match response.status {
        200 | 201 => match serde_json::from_slice(&response.body) {
            Ok(view) => Some(JobResponse::View(view)),
            Err(e) => Some(JobResponse::Rejected(
                response.status,
                format!("invalid response: {e}: {}", decode_body()),
            )),
        },
        400 | 422 | 413 if matches!(request, JobRequest::Submit(_)) => {
            Some(JobResponse::Rejected(response.status, decode_body()))
        }
        404 if !matches!(request, JobRequest::Submit(_)) => {
            Some(JobResponse::Rejected(404, decode_body()))
        }
        _ => None,
    }
}

/// Delay before a request is retried.
pub fn retry_delay(response: Option<&HttpResponse>) -> Millis {
    let retry_after_s =
        response.and_then(|response| response.retry_after_s).unwrap_or(0).min(MAX_RETRY_AFTER_S);
    Millis(MIN_RETRY_DELAY_MS.0.max(u64::from(retry_after_s) * 1_000))
}

/// The controllers of a region. Requests go to them in turn.
#[derive(Clone, Debug)]
pub struct Controllers {
    submit_clients: Vec<HttpClient>,
    poll_clients: Vec<HttpClient>,
    /// Index of the controller for the next request; taken modulo the number of controllers.
    next_index: usize,
}

impl Controllers {
    /// Creates HTTP clients for the controllers at these addresses.
    pub fn new(addresses: &[String]) -> Self {
        let create_clients = |timeout: Millis| {
            addresses
                .iter()
                .map(|address| HttpClient::new(address, timeout, MAX_RESPONSE_BYTES))
                .collect()
        };
        Self {
            submit_clients: create_clients(SUBMIT_TIMEOUT_MS),
            poll_clients: create_clients(POLL_TIMEOUT_MS),
            next_index: 0,
        }
    }

    /// Number of controllers.
    pub fn len(&self) -> usize {
        self.poll_clients.len()
    }

    /// Whether there are no controllers.
    pub fn is_empty(&self) -> bool {
        self.poll_clients.is_empty()
    }

    /// Sends a job request to the controller at `index`, without retries.
    pub fn request(&self, index: usize, request: &JobRequest) -> Option<HttpResponse> {
        let (method, path, body) = request.to_http();
        self.send(index, method, &path, &body)
    }

    /// Sends a request to the controller at `index`, modulo the number of controllers. `GET` requests have the timeout
    /// of polls.
    fn send(&self, index: usize, method: &str, path: &str, body: &[u8]) -> Option<HttpResponse> {
        let http_clients = if method == "GET" { &self.poll_clients } else { &self.submit_clients };
        http_clients.get(index % http_clients.len().max(1))?.request(method, path, body)
    }

    /// Sends a request to the next controller, without retries.
    pub fn request_next(&mut self, method: &str, path: &str, body: &[u8]) -> Option<HttpResponse> {
        let response = self.send(self.next_index, method, path, body);
        self.next_index += 1;
        response
    }

    /// Sends a job request until there is a final response or the timeout expires.
    pub fn request_with_retry(&mut self, request: &JobRequest, timeout: Millis) -> JobResponse {
        let (method, path, body) = request.to_http();
        let interpret = |response: &HttpResponse| interpret_response(request, response);
        match self.retry((method, &path, &body), timeout, UNREACHABLE_TIMEOUT_MS, interpret) {
            Ok(outcome) => outcome,
            Err(RetryError::NoFinalResponse(last_response)) => {
                JobResponse::NoFinalResponse(last_response)
            }
            Err(RetryError::Unreachable) => JobResponse::Unreachable,
        }
    }

    /// Sends a request to the controllers in turn until `interpret` returns a result for a response. If no controller
    /// has been reached at all, it gives up after `unreachable_timeout` if that is shorter than `timeout`.
    ///
    /// # Errors
    /// There was no final response within the timeout.
    pub fn retry<T>(
        &mut self,
        (method, path, body): (&str, &str, &[u8]),
        timeout: Millis,
        unreachable_timeout: Millis,
        interpret: impl Fn(&HttpResponse) -> Option<T>,
    ) -> Result<T, RetryError> {
        let started = Instant::now();
        let mut last_response = None;
        loop {
            let response = self.request_next(method, path, body);
            if let Some(outcome) = response.as_ref().and_then(&interpret) {
                return Ok(outcome);
            }
            if let Some(response) = &response {
                last_response = Some(format!(
                    "{} {}",
                    response.status,
                    String::from_utf8_lossy(&response.body)
                ));
            }
            // After an unreachable controller the next one is tried at once, with a delay only after each full round.
            let is_round_complete = self.next_index.is_multiple_of(self.len());
            let delay = if response.is_none() && !is_round_complete {
                Millis(0)
            } else {
                retry_delay(response.as_ref())
            };
            let total_wait_ms = started.elapsed().as_millis() as u64 + delay.0;
            match last_response.take_if(|_| total_wait_ms >= timeout.0) {
                Some(last_response) => return Err(RetryError::NoFinalResponse(last_response)),
                None if last_response.is_none()
                    && total_wait_ms >= timeout.0.min(unreachable_timeout.0) =>
                {
                    return Err(RetryError::Unreachable);
                }
                None => {}
            }
            std::thread::sleep(Duration::from_millis(delay.0));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Which responses are final and which are retried depends on the request.
    #[test]
    fn responses_are_interpreted_by_request() {
        let make_response = |status, body: &str, retry_after_s| HttpResponse {
            status,
            body: body.as_bytes().to_vec(),
            retry_after_s,
        };
        let request = JobRequest::View(JobId::new("req-1"));
        let text = r#"{"nameId":"req-1","status":"done","done":3,"running":0}"#;
        let Some(JobResponse::View(job_view)) =
            interpret_response(&request, &make_response(200, text, None))
        else {
            panic!("the response was not interpreted as final")
        };
        assert_eq!(job_view.done, 3);
        assert!(matches!(
            interpret_response(&request, &make_response(404, "", None)),
            Some(JobResponse::Rejected(404, _))
        ));
        for status in [429, 500, 503, 504, 421] {
            assert_eq!(interpret_response(&request, &make_response(status, "", None)), None);
        }
        assert_eq!(retry_delay(Some(&make_response(503, "", Some(7)))), Millis(7_000));
        assert_eq!(retry_delay(Some(&make_response(503, "", Some(900)))), Millis(30_000));
        assert_eq!(retry_delay(None), MIN_RETRY_DELAY_MS);
    }
}
