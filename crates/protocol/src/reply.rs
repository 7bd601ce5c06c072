//! HTTP responses, independent of the server that sends them.

use crate::constants::DEFAULT_RETRY_AFTER_S;
use serde::{Deserialize, Serialize};

/// A response to an HTTP request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpReply {
    pub status: u16,
    pub body: String,
    pub retry_after_s: Option<u32>,
}

impl HttpReply {
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        Self { status, body: serde_json::to_string(body).unwrap_or_default(), retry_after_s: None }
    }

    pub fn error(status: u16, text: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": text }))
    }

    /// 503 with `Retry-After`: the request cannot be served now.
    pub fn unavailable(text: &str) -> Self {
        Self { retry_after_s: Some(DEFAULT_RETRY_AFTER_S), ..Self::error(503, text) }
    }
}
