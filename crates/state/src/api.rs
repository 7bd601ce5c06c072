//! Parses and validates HTTP requests before they reach the engine.

use crate::constants::*;
use crate::records::Write;
use crate::settings::Settings;
use oatloom_protocol::ids::LeaseId;
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{self, Condition, GrantRequest, RawChange};
use serde::Deserialize;
use std::borrow::Cow;

/// A validated transaction: its writes are applied together if all conditions hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Txn {
    /// The revisions that keys must have.
    pub conditions: Vec<Condition>,
    /// The puts and deletes.
    pub writes: Vec<Write>,
}

/// A validated request.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Reads a key.
    Get { key: String },
    /// Reads a page of the keys with a prefix.
    List { prefix: String, after: Option<String>, max_rows: usize },
    /// Applies writes if all conditions hold.
    Txn(Txn),
    /// Creates a lease.
    GrantLease { ttl_ms: u64 },
    /// Gives a lease its full time to live again.
    RenewLease { lease: u64 },
    /// Ends a lease and deletes its keys.
    RevokeLease { lease: u64 },
    /// Waits for changes of keys with a prefix after a revision.
    Watch { prefix: String, after: u64, wait_ms: u64 },
    /// The state of the service, for operators. Not subject to rate limits.
    Status,
}

impl Request {
    /// Number of puts and deletes, as counted by the rate limit.
    pub fn change_count(&self) -> usize {
        match self {
            Self::Txn(txn) => txn.writes.len(),
            _ => 0,
        }
    }
}

fn build_bad_request(text: impl AsRef<str>) -> HttpReply {
    HttpReply::error(400, text.as_ref())
}

fn is_valid_key(text: &str) -> bool {
    let is_allowed = |c: char| !c.is_whitespace() && !c.is_control();
    (1..=MAX_KEY_BYTES).contains(&text.len()) && text.chars().all(is_allowed)
}

fn decode_percent(text: &str) -> Result<Cow<'_, str>, HttpReply> {
    percent_encoding::percent_decode_str(text)
        .decode_utf8()
        .map_err(|_| build_bad_request("not UTF-8"))
}

fn parse_number<T: std::str::FromStr>(text: &str, name: &str) -> Result<T, HttpReply> {
    text.parse().map_err(|_| build_bad_request(format!("{name} must be a whole number")))
}

/// Parses and validates a request.
///
/// # Errors
/// Returns the reply to a request that is malformed or exceeds a size limit.
pub fn parse(
    settings: &Settings,
    method: &str,
    target: &str,
    body: &[u8],
) -> Result<Request, HttpReply> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match (method, path) {
        ("GET", "/keys") => parse_list(query),
        ("GET", "/follow") => parse_watch(query),
        ("GET", "/status") => Ok(Request::Status),
        ("POST", "/multi") => parse_txn(settings, body).map(Request::Txn),
        ("POST", "/grants") => parse_grant(body),
        _ => match (method, path.strip_prefix("/keys/"), path.strip_prefix("/grants/")) {
            ("GET", Some(key), _) => {
                let key = decode_percent(key)?.into_owned();
                if is_valid_key(&key) {
                    Ok(Request::Get { key })
                } else {
                    Err(build_bad_request("invalid key"))
                }
            }
            ("POST", _, Some(lease_path)) if lease_path.ends_with("/touch") => {
                let lease = parse_number(lease_path.trim_end_matches("/touch"), "the lease")?;
                Ok(Request::RenewLease { lease })
            }
            ("DELETE", _, Some(lease)) => {
                Ok(Request::RevokeLease { lease: parse_number(lease, "the lease")? })
            }
            (_, Some(_), _) | (_, _, Some(_)) => Err(HttpReply::error(405, "method not allowed")),
            _ if ["/keys", "/follow", "/status", "/multi", "/grants"].contains(&path) => {
                Err(HttpReply::error(405, "method not allowed"))
            }
            _ => Err(HttpReply::error(404, "no such path")),
        },
    }
}

/// Parses the query of `GET /keys`: the prefix, the key to continue after, and the maximum number of rows.
fn parse_list(query: &str) -> Result<Request, HttpReply> {
    let (mut prefix, mut after, mut max_rows) = (String::new(), None, MAX_PAGE_ROWS);
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match &*name {
            "prefix" => prefix = value.into_owned(),
            "after" => after = Some(value.into_owned()),
            "most" => max_rows = parse_number(&value, "most")?,
            _ => {}
        }
    }
    if max_rows == 0 {
        return Err(build_bad_request("most must be at least 1"));
    }
    Ok(Request::List { prefix, after, max_rows: max_rows.min(MAX_PAGE_ROWS) })
}

/// Parses the query of `GET /follow`: the prefix, the revision after which changes are reported, and how long to wait
/// for one.
fn parse_watch(query: &str) -> Result<Request, HttpReply> {
    let (mut prefix, mut after, mut wait_ms) = (String::new(), None, 0);
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match &*name {
            "prefix" => prefix = value.into_owned(),
            "after" => after = Some(parse_number(&value, "after")?),
            "holdMs" => wait_ms = parse_number(&value, "holdMs")?,
            _ => {}
        }
    }
    let after = after.ok_or_else(|| build_bad_request("after is missing"))?;
    if wait_ms > MAX_WATCH_WAIT_MS {
        return Err(build_bad_request(format!("holdMs must be at most {MAX_WATCH_WAIT_MS}")));
    }
    Ok(Request::Watch { prefix, after, wait_ms })
}

/// Parses a JSON object. Rejects arrays, which serde would accept as a list of the field values.
fn parse_object<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, HttpReply> {
    if body.trim_ascii_start().first() != Some(&b'{') {
        return Err(build_bad_request("not a JSON object"));
    }
    serde_json::from_slice(body).map_err(|e| build_bad_request(e.to_string()))
}

/// Parses the body of `POST /grants` and checks the time to live.
fn parse_grant(body: &[u8]) -> Result<Request, HttpReply> {
    let request: GrantRequest = parse_object(body)?;
    if !(MIN_LEASE_TTL_MS..=MAX_LEASE_TTL_MS).contains(&request.ttl_ms) {
        return Err(build_bad_request(format!(
            "ttlMs must be from {MIN_LEASE_TTL_MS} to {MAX_LEASE_TTL_MS}"
        )));
    }
    Ok(Request::GrantLease { ttl_ms: request.ttl_ms })
}

/// Parses the body of `POST /multi` and checks its limits and keys.
fn parse_txn(settings: &Settings, body: &[u8]) -> Result<Txn, HttpReply> {
    let raw: wire::Txn<RawChange> = parse_object(body)?;
    if raw.changes.len() > settings.txn_ops {
        return Err(build_bad_request(format!("over {} puts and deletes", settings.txn_ops)));
    }
    if raw.conditions.len() > settings.txn_ops * MAX_CONDITIONS_PER_CHANGE {
        return Err(build_bad_request(format!(
            "over {} conditions",
            settings.txn_ops * MAX_CONDITIONS_PER_CHANGE
        )));
    }
    if let Some(condition) = raw.conditions.iter().find(|c| !is_valid_key(&c.key)) {
        return Err(build_bad_request(format!("invalid key: {:?}", condition.key)));
    }
    let writes = raw.changes.into_iter().map(|change| parse_write(settings, change));
    Ok(Txn { writes: writes.collect::<Result<_, _>>()?, conditions: raw.conditions })
}

/// Validates one change of a transaction.
fn parse_write(settings: &Settings, change: RawChange) -> Result<Write, HttpReply> {
    let (key, value) = match (change.put, change.delete) {
        // A missing value counts as null.
        (Some(key), None) => (key, Some(change.value.map_or("null".into(), Box::<str>::from))),
        (None, Some(key)) => (key, None),
        _ => return Err(build_bad_request("a change must be either a put or a delete")),
    };
    if !is_valid_key(&key) {
        return Err(build_bad_request(format!("invalid key: {key:?}")));
    }
    if value.as_ref().is_some_and(|v| v.len() as f64 > settings.value_kb * 1024.0) {
        return Err(build_bad_request(format!(
            "the value of {key} is over {} KiB",
            settings.value_kb
        )));
    }
    let lease = change.lease.filter(|_| value.is_some()).map_or(0, |LeaseId(lease)| lease);
    Ok(Write { key: key.into(), value: value.map(Into::into), lease })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse_request(method: &str, target: &str, body: &str) -> Result<Request, u16> {
        let settings = Settings { txn_ops: 2, value_kb: 1.0, ..Settings::default() };
        parse(&settings, method, target, body.as_bytes()).map_err(|reply| reply.status)
    }

    #[test]
    fn valid_requests_are_parsed() {
        let get = |key: &str| Ok(Request::Get { key: key.into() });
        assert_eq!(parse_request("GET", "/keys/live/req-1", ""), get("live/req-1"));
        assert_eq!(parse_request("GET", "/keys/a%2Fb", ""), get("a/b"));
        let list = Request::List { prefix: "c/".into(), after: Some("c/7".into()), max_rows: 200 };
        assert_eq!(parse_request("GET", "/keys?prefix=c/&after=c%2F7&most=200", ""), Ok(list));
        let watch = Request::Watch { prefix: "c/".into(), after: 431, wait_ms: 10_000 };
        assert_eq!(parse_request("GET", "/follow?prefix=c/&after=431&holdMs=10000", ""), Ok(watch));
        assert_eq!(
            parse_request("POST", "/grants/7/touch", "{}"),
            Ok(Request::RenewLease { lease: 7 })
        );
        assert_eq!(parse_request("DELETE", "/grants/7", ""), Ok(Request::RevokeLease { lease: 7 }));
        let text = r#"{"when":[{"path":"a","stamp":0}],
            "then":[{"put":"a","data":{"x":[1, 2.50]},"tenancy":7},{"delete":"c/d"}]}"#;
        let Ok(Request::Txn(txn)) = parse_request("POST", "/multi", text) else {
            panic!("not parsed")
        };
        assert_eq!(
            txn.writes[0].value.as_deref(),
            Some(r#"{"x":[1, 2.50]}"#),
            "the value's text was changed"
        );
        assert_eq!((txn.writes[0].lease, txn.writes[1].value.clone()), (7, None));
    }

    /// Malformed requests get an error status and cause no panic.
    #[test]
    fn malformed_requests_are_rejected() {
        let long_value = format!(r#"{{"then":[{{"put":"a","data":"{}"}}]}}"#, "x".repeat(1_100));
        let too_many_changes = format!(r#"{{"then":[{}]}}"#, [r#"{"delete":"a"}"#; 3].join(","));
        let too_many_conditions =
            format!(r#"{{"when":[{}]}}"#, [r#"{"path":"a","stamp":0}"#; 9].join(","));
        for body in [
            "",
            "[]",
            "{\"then\":[{}]}",
            r#"{"then":[{"put":"a","delete":"a"}]}"#,
            r#"{"then":[{"put":"","data":1}]}"#,
            r#"{"then":[{"put":"a b","data":1}]}"#,
            r#"{"then":[{"put":"a","data":1,"tenancy":-1}]}"#,
            r#"{"when":[{"path":"a"}]}"#,
            r#"{"then":[{"put":"a","data":{]}"#,
            &long_value,
            &too_many_changes,
            &too_many_conditions,
        ] {
            assert_eq!(parse_request("POST", "/multi", body), Err(400), "{body}");
        }
        let long_key = format!("/keys/{}", "k".repeat(201));
        for target in [
            &*long_key,
            "/keys/",
            "/keys/%ff",
            "/keys/a%20b",
            "/follow",
            "/follow?after=x",
            "/follow?after=1&holdMs=60001",
            "/keys?most=0",
            "/keys?most=-1",
        ] {
            assert_eq!(parse_request("GET", target, ""), Err(400), "{target}");
        }
        for body in ["{}", r#"{"ttlMs":99}"#, r#"{"ttlMs":600001}"#, r#"{"ttlMs":1.5}"#] {
            assert_eq!(parse_request("POST", "/grants", body), Err(400), "{body}");
        }
        assert_eq!(parse_request("POST", "/grants/x/touch", ""), Err(400));
        assert_eq!(parse_request("PUT", "/keys/a", ""), Err(405));
        assert_eq!(parse_request("GET", "/elsewhere", ""), Err(404));
        assert!(
            matches!(parse_request("POST", "/multi", "{}"), Ok(Request::Txn(t)) if t.writes.is_empty())
        );
    }
}
