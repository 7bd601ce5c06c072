//! The HTTP API: parses requests before the core processes them.

use crate::leader_hints::LeaderHints;
use oatloom_graph::constants::MAX_ANSWER_NODE_COUNT;
use oatloom_graph::ids::GraphId;
use oatloom_graph::requests::{GetGraph, GraphRequest};
use oatloom_ledger::query::UsageQuery;
use oatloom_membership::Gossip;
use oatloom_protocol::constants::MAX_BODY_BYTES;
use oatloom_protocol::ids::JobId;
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{JobSpec, Report};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// A parsed submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Submission {
    Spec(Box<JobSpec>),
    /// A malformed submission, with its id if that could be read, since a job that is already known
    /// is reported as such.
    Invalid {
        id: Option<JobId>,
        text: String,
    },
}

/// A parsed request.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    Submit(Submission),
    /// Reads the state of a job.
    View(JobId),
    /// Cancels a job.
    Abort(JobId),
    /// A page of usage.
    Usage(Box<UsageQuery>),
    /// A health probe.
    HealthProbe,
    /// A worker's report.
    Report(Box<Report>),
    /// A request from a client of graphs.
    Graph(Box<GraphRequest>),
    /// From the leader, over the mesh only.
    LeaderHints(Box<LeaderHints>),
    /// From a peer, over the mesh only.
    Gossip(Box<Gossip>),
}

fn parse_submission(body: &[u8]) -> Submission {
    let invalid = |id: Option<JobId>, text: String| Submission::Invalid { id, text };
    let value: Value = match serde_json::from_slice(body) {
        Ok(value) => value,
        Err(e) => return invalid(None, format!("not JSON: {e}")),
    };
    let Value::Object(fields) = &value else {
        return invalid(None, "not an object".into());
    };
    let id = fields.get("nameId").and_then(Value::as_str).and_then(JobId::parse);
    match serde_json::from_value::<JobSpec>(value) {
        Err(e) => invalid(id, e.to_string()),
        Ok(spec) => match spec.check() {
            Err(text) => invalid(id, text),
            Ok(()) => Submission::Spec(Box::new(spec)),
        },
    }
}

/// Parses requests of graph clients; `None` if the path belongs to no graph request.
fn parse_graph_request(
    method: &str,
    path: &str,
    query: &str,
    body: &[u8],
) -> Option<Result<GraphRequest, HttpReply>> {
    fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpReply> {
        serde_json::from_slice(body).map_err(|e| HttpReply::error(400, &e.to_string()))
    }
    let rest = path.strip_prefix("/v2/")?;
    let parts: Vec<&str> = rest.split('/').collect();
    let graph = |id: &str| GraphId::parse(id).ok_or_else(|| HttpReply::error(404, "no such graph"));
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
    };
    let request = match (method, parts.as_slice()) {
        ("POST", ["sessions"]) => decode(body).map(GraphRequest::Open),
        ("POST", ["sessions", name, "beat"]) => {
            decode(body).map(|keyed| GraphRequest::Heartbeat((*name).to_owned(), keyed))
        }
        ("POST", ["sessions", name, "close"]) => {
            decode(body).map(|keyed| GraphRequest::Close((*name).to_owned(), keyed))
        }
        ("POST", ["graphs"]) => decode(body).map(GraphRequest::Create),
        ("POST", ["graphs", id, "nodes"]) => {
            graph(id).and_then(|id| decode(body).map(|add| GraphRequest::Add(id, add)))
        }
        ("POST", ["graphs", id, "cancel"]) => {
            graph(id).and_then(|id| decode(body).map(|keyed| GraphRequest::Cancel(id, keyed)))
        }
        ("GET", ["graphs", id]) => graph(id).map(|id| {
            let after = parameter("after").unwrap_or_default().to_owned();
            let limit =
                parameter("most").and_then(|n| n.parse().ok()).unwrap_or(MAX_ANSWER_NODE_COUNT);
            GraphRequest::GetGraph(
                id,
                GetGraph { after, max_nodes: limit.min(MAX_ANSWER_NODE_COUNT) },
            )
        }),
        ("GET", ["runs", id, "nodes"]) => match JobId::parse(id) {
            Some(id) => {
                let after = parameter("after").and_then(|n| n.parse().ok()).unwrap_or(0);
                Ok(GraphRequest::Job(id, after))
            }
            None => Err(HttpReply::error(404, "no such job")),
        },
        (_, ["sessions"] | ["sessions", _, "beat" | "close"] | ["graphs"])
        | (_, ["graphs", _] | ["graphs", _, "nodes" | "cancel"]) => {
            Err(HttpReply::error(405, "method not allowed"))
        }
        _ => return None,
    };
    Some(request)
}

/// Parses a request; errors that need no controller state are replied to here.
pub fn parse(method: &str, path: &str, body: &[u8]) -> Result<Request, HttpReply> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let method_not_allowed = || HttpReply::error(405, "method not allowed");
    if body.len() > MAX_BODY_BYTES {
        return Err(HttpReply::error(413, "the body is over 64 KiB"));
    }
    match path {
        "/v2/runs" if method == "POST" => return Ok(Request::Submit(parse_submission(body))),
        "/up" if method == "GET" || method == "HEAD" => return Ok(Request::HealthProbe),
        "/v1/report" if method == "POST" => {
            return serde_json::from_slice(body)
                .map(|report| Request::Report(Box::new(report)))
                .map_err(|e| HttpReply::error(400, &format!("report: {e}")));
        }
        "/v2/usage" if method == "GET" => {
            return UsageQuery::parse(query)
                .map(|usage_query| Request::Usage(Box::new(usage_query)))
                .map_err(|e| HttpReply::error(400, &e.to_string()));
        }
        "/v2/runs" | "/up" | "/v1/report" | "/v2/usage" => return Err(method_not_allowed()),
        _ => {}
    }
    if let Some(request) = parse_graph_request(method, path, query, body) {
        return request.map(|request| Request::Graph(Box::new(request)));
    }
    let Some(rest) = path.strip_prefix("/v2/runs/") else {
        return Err(HttpReply::error(404, "no such path"));
    };
    let (id, abort) = match rest.strip_suffix("/abort") {
        Some(id) => (id, true),
        None => (rest, false),
    };
    // An id of another form was never accepted.
    let id = JobId::parse(id).ok_or_else(|| HttpReply::error(404, "no such job"))?;
    match (method, abort) {
        ("GET" | "HEAD", false) => Ok(Request::View(id)),
        ("POST", true) => Ok(Request::Abort(id)),
        _ => Err(method_not_allowed()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID_SUBMISSION: &str = r#"{"nameId":"req-000412","jobclass":"train","owner":"vision","shape":"group",
        "rank":"high","shards":16,"cpus":8.0,"gpus":1.0,"memoryGb":64.0,"bundle":"img-07","pullGb":6.2,
        "flavors":["g8"],"yard":null,"samePlace":true,"spread":false,"loaners":true,"expectS":240.0,
        "snapshotS":30.0,"flushS":4.0,"dueS":900.0,"novel":{"ignored":1}}"#;

    fn status(method: &str, path: &str, body: &str) -> u16 {
        parse(method, path, body.as_bytes()).err().map_or(0, |r| r.status)
    }

    #[test]
    fn valid_submission_is_parsed_completely() {
        let Ok(Request::Submit(Submission::Spec(spec))) =
            parse("POST", "/v2/runs", VALID_SUBMISSION.as_bytes())
        else {
            panic!("not parsed");
        };
        assert_eq!((spec.tasks, spec.deadline_s, spec.zone), (16, Some(900.0), None));
    }

    #[test]
    fn invalid_submissions_keep_a_readable_id() {
        let id = Some(JobId::new("req-000412"));
        let cases = [
            ("", None),
            ("[]", None),
            ("{}", None),
            (&*VALID_SUBMISSION.replace("16", "0"), id.clone()),
            (&*VALID_SUBMISSION.replace("16", "100001"), id.clone()),
            (&*VALID_SUBMISSION.replace("\"cpus\":8.0", "\"cpus\":-1"), id.clone()),
            (&*VALID_SUBMISSION.replace("\"cpus\":8.0", "\"cpus\":1e999"), None),
            (&*VALID_SUBMISSION.replace("\"cpus\":8.0,", ""), id.clone()),
            (&*VALID_SUBMISSION.replace("\"group\"", "\"choir\""), id.clone()),
            (&*VALID_SUBMISSION.replace("req-000412", "job-1"), None),
        ];
        for (body, expected_id) in cases {
            match parse("POST", "/v2/runs", body.as_bytes()) {
                Ok(Request::Submit(Submission::Invalid { id, .. })) => {
                    assert_eq!(id, expected_id, "{body}")
                }
                other => panic!("{body}: {other:?}"),
            }
        }
    }

    /// Reports with unknown fields, or without nullable ones, are accepted. What cannot be a report
    /// gets status 400 and does not reach the leader.
    #[test]
    fn invalid_reports_are_rejected() {
        let valid = r#"{"host":"i-000231","addr":"10.1.0.232:9000","flavor":"g8","yard":"a","loaners":true,"shift":1,
            "tally":88,"baton":41,"warningS":null,"shards":[{"shard":"req-000412/3","try":2,"status":"running"}],
            "novel":[1]}"#;
        let report = |body: &str| status("POST", "/v1/report", body);
        assert_eq!(report(valid), 0);
        assert_eq!(report(&valid.replace("\"warningS\":null,", "")), 0);
        assert_eq!(
            report(&valid.replace("\"status\":\"running\"", "\"status\":\"running\",\"new\":{}")),
            0
        );
        for (from, to) in [
            ("\"host\":\"i-000231\",", ""),
            ("\"shift\":1,", ""),
            ("\"tally\":88", "\"tally\":-1"),
            ("\"tally\":88", "\"tally\":18446744073709551616"),
            ("\"tally\":88", "\"tally\":\"88\""),
            ("\"try\":2", "\"try\":-2"),
            ("\"baton\":41", "\"baton\":4.5"),
            ("[{", "{"),
        ] {
            assert_eq!(report(&valid.replace(from, to)), 400, "{to} for {from}");
        }
    }

    #[test]
    fn unknown_paths_and_methods_are_rejected() {
        assert_eq!(status("GET", "/nowhere", ""), 404);
        assert_eq!(status("GET", "/v2/runs/req-x", ""), 404);
        assert_eq!(status("DELETE", "/v2/runs/req-1", ""), 405);
        assert_eq!(status("GET", "/v2/runs", ""), 405);
        assert_eq!(status("POST", "/v1/report", "{"), 400);
        assert_eq!(status("POST", "/v2/runs", &"x".repeat(MAX_BODY_BYTES + 1)), 413);
        assert_eq!(status("POST", "/v2/runs/req-1/abort", ""), 0);
    }
}
