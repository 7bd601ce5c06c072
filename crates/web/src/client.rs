//! Blocking HTTP client; every call ends with a response or a timeout.

use oatloom_protocol::ids::Millis;
use std::time::Duration;
use ureq::Agent;
use ureq::unversioned::resolver::{DefaultResolver, ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};

/// Status and body of a response, or `None` if there was no response.
pub type RawResponse = Option<(u16, Vec<u8>)>;

/// A response with the delay from its `Retry-After` header, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
}

/// HTTP client for one server address; connections are reused.
#[derive(Clone, Debug)]
pub struct HttpClient {
    agent: Agent,
    base_url: String,
    max_bytes: u64,
}

/// Resolves numeric addresses without a DNS lookup. The HTTP library starts a thread for each lookup, and the calling
/// thread terminated when the system could not start another thread.
#[derive(Debug)]
struct NumericResolver(DefaultResolver);

impl Resolver for NumericResolver {
    fn resolve(
        &self,
        uri: &ureq::http::Uri,
        config: &ureq::config::Config,
        timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        match uri.authority().and_then(|authority| authority.as_str().parse().ok()) {
            Some(address) => {
                let mut resolved = self.empty();
                resolved.push(address);
                Ok(resolved)
            }
            None => self.0.resolve(uri, config, timeout),
        }
    }
}

impl HttpClient {
    /// Creates a client. `timeout` bounds the whole call and `max_bytes` the size of the response body. With an empty
    /// `address`, the path of each call contains the address.
    pub fn new(address: &str, timeout: Millis, max_bytes: u64) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_millis(timeout.0)))
            .max_idle_connections(2)
            .max_idle_connections_per_host(2)
            .build();
        let resolver = NumericResolver(DefaultResolver::default());
        let agent = Agent::with_parts(config, DefaultConnector::default(), resolver);
        Self { agent, base_url: format!("http://{address}"), max_bytes }
    }

    /// Reads the status and body of a response; logs an error and returns `None` if the request failed.
    fn read_response(
        &self,
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> RawResponse {
        let outcome = result.and_then(|mut response| {
            let body = response.body_mut().with_config().limit(self.max_bytes).read_to_vec()?;
            Ok((response.status().as_u16(), body))
        });
        outcome.inspect_err(|e| log::debug!("http client: request failed: {e}")).ok()
    }

    /// Sends a `GET` request.
    pub fn get(&self, path: &str) -> RawResponse {
        self.read_response(self.agent.get(format!("{}{path}", self.base_url)).call())
    }

    /// Sends a `POST` request with a JSON body.
    pub fn post(&self, path: &str, body: &impl serde::Serialize) -> RawResponse {
        let body = serde_json::to_vec(body).ok()?;
        let request = self.agent.post(format!("{}{path}", self.base_url));
        self.read_response(request.content_type("application/json").send(&body[..]))
    }

    /// Sends a request and also returns the `Retry-After` delay of the response. Methods other than `POST` are sent as
    /// `GET`.
    pub fn request(&self, method: &str, path: &str, body: &[u8]) -> Option<HttpResponse> {
        let url = format!("{}{path}", self.base_url);
        let result = match method {
            "POST" => self.agent.post(url).content_type("application/json").send(body),
            _ => self.agent.get(url).call(),
        };
        let parse_retry_after = |response: &ureq::http::Response<ureq::Body>| {
            response.headers().get("Retry-After")?.to_str().ok()?.trim().parse().ok()
        };
        let retry_after_s = result.as_ref().ok().and_then(parse_retry_after);
        let (status, body) = self.read_response(result)?;
        Some(HttpResponse { status, body, retry_after_s })
    }

    /// Sends a request of a proxy. Methods other than `POST` and `DELETE` are sent as `GET`.
    pub fn forward(&self, method: &str, path: &str, body: &[u8]) -> RawResponse {
        let url = format!("{}{path}", self.base_url);
        self.read_response(match method {
            "POST" => self.agent.post(url).content_type("application/json").send(body),
            "DELETE" => self.agent.delete(url).call(),
            _ => self.agent.get(url).call(),
        })
    }

    /// Sends a `DELETE` request.
    pub fn delete(&self, path: &str) -> RawResponse {
        self.read_response(self.agent.delete(format!("{}{path}", self.base_url)).call())
    }
}

/// Percent-encodes text for use in a query string; `/` is not encoded.
pub fn escape(text: &str) -> String {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~/".contains(&b);
    let mut escaped = String::new();
    for b in text.bytes() {
        if is_unreserved(b) {
            escaped.push(b as char);
        } else {
            escaped.push_str(&format!("%{b:02X}"));
        }
    }
    escaped
}
