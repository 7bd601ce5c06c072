//! Task graphs: sessions that are kept alive by heartbeats, graphs to which nodes are added in batches, and their
//! progress.

use crate::constants::*;
use crate::controllers::Controllers;
use oatloom_graph::answers::{GraphView, NodeView, SessionView};
use oatloom_graph::ids::GraphId;
use oatloom_graph::requests::{
    AddNodes, CreateGraph, KeyedRequest, KindSpec, NewNode, OnFailure, OpenSession,
};
use oatloom_protocol::ids::Millis;
use oatloom_protocol::wire::Rank;
use oatloom_web::client::HttpResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Errors of requests about sessions and graphs.
#[derive(Debug, thiserror::Error)]
pub enum GraphError {
    /// Rejected permanently: a retry would get the same response.
    #[error("rejected with status {status}: {text}")]
    Rejected { status: u16, text: String },
    /// There was no final response within the timeout.
    #[error("no final response within {0} s")]
    NoFinalResponse(u64),
    #[error("invalid response: {0}")]
    InvalidResponse(String),
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Sends a request until there is a final response. Unreachable controllers are retried for the full timeout, so that
/// sessions and watches survive a restart of all controllers.
fn request_with_retry<T: DeserializeOwned>(
    controllers: &mut Controllers,
    (method, path): (&str, &str),
    body: &impl Serialize,
    timeout: Millis,
) -> Result<T, GraphError> {
    let body = if method == "GET" {
        Vec::new()
    } else {
        serde_json::to_vec(body).map_err(|e| GraphError::InvalidResponse(e.to_string()))?
    };
    let interpret = |HttpResponse { status, body, .. }: &HttpResponse| match status {
        200 | 201 => {
            let parsed = serde_json::from_slice(body);
            Some(parsed.map_err(|e| GraphError::InvalidResponse(e.to_string())))
        }
        400..=428 | 430..=499 => {
            let error: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
            let text = error["error"].as_str().unwrap_or_default().to_owned();
            Some(Err(GraphError::Rejected { status: *status, text }))
        }
        _ => None,
    };
    let outcome = controllers.retry((method, path, &body), timeout, timeout, interpret);
    outcome.unwrap_or(Err(GraphError::NoFinalResponse(timeout.0 / 1000)))
}

/// A session, kept alive by a heartbeat thread until it is closed or dropped, or its process ends. The controllers then
/// cancel its graphs and nodes that are not detached, at the latest when its time to live has expired.
#[derive(Debug)]
pub struct Session {
    controllers: Controllers,
    name: String,
    key: String,
    /// Tells the heartbeat thread to stop.
    is_stop_requested: Arc<AtomicBool>,
    /// Set by the heartbeat thread when a heartbeat is rejected.
    is_lost: Arc<AtomicBool>,
    heartbeat_thread: Option<JoinHandle<()>>,
}

impl Session {
    /// Opens a session for a team, or resumes the one with this name and key.
    ///
    /// # Errors
    /// The session is rejected, or no controller responds.
    pub fn open(
        mut controllers: Controllers,
        name: &str,
        key: &str,
        owner: &str,
        ttl_s: f64,
    ) -> Result<Self, GraphError> {
        let open_request = OpenSession {
            session: name.to_owned(),
            key: key.to_owned(),
            owner: owner.to_owned(),
            ttl_s,
        };
        let _: SessionView = request_with_retry(
            &mut controllers,
            ("POST", "/v2/sessions"),
            &open_request,
            REQUEST_RETRY_TIMEOUT_MS,
        )?;
        let (is_stop_requested, is_lost) =
            (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let heartbeat_thread = {
            let (is_stop_requested, is_lost, mut controllers) =
                (is_stop_requested.clone(), is_lost.clone(), controllers.clone());
            let path = format!("/v2/sessions/{name}/beat");
            let key_request = KeyedRequest { key: key.to_owned() };
            let interval = Millis::from_secs(ttl_s / HEARTBEATS_PER_TTL_COUNT as f64);
            std::thread::Builder::new().name("session".into()).spawn(move || {
                let mut next_heartbeat = Instant::now();
                while !is_stop_requested.load(Ordering::Relaxed) {
                    if Instant::now() >= next_heartbeat {
                        match request_with_retry::<SessionView>(
                            &mut controllers,
                            ("POST", &path),
                            &key_request,
                            interval,
                        ) {
                            Err(GraphError::Rejected { status, text }) => {
                                tracing::warn!(
                                    "session lost: heartbeat rejected with status {status}: {text}"
                                );
                                return is_lost.store(true, Ordering::Relaxed);
                            }
                            Err(e) => tracing::debug!("session heartbeat failed: {e}"),
                            Ok(_) => {}
                        }
                        next_heartbeat = Instant::now() + Duration::from_millis(interval.0);
                    }
                    std::thread::sleep(Duration::from_millis(HEARTBEAT_STOP_CHECK_INTERVAL_MS.0));
                }
            })?
        };
        let (name, key) = (name.to_owned(), key.to_owned());
        Ok(Self {
            controllers,
            name,
            key,
            is_stop_requested,
            is_lost,
            heartbeat_thread: Some(heartbeat_thread),
        })
    }

    /// Whether a controller has reported that the session no longer exists.
    pub fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }

    /// Stops the heartbeat thread and waits for its end.
    fn stop_heartbeats(&mut self) {
        self.is_stop_requested.store(true, Ordering::Relaxed);
        if let Some(heartbeat_thread) = self.heartbeat_thread.take() {
            let _ = heartbeat_thread.join();
        }
    }

    /// Closes the session; its graphs and nodes that are not detached are cancelled.
    ///
    /// # Errors
    /// No controller responds; the session then ends when its time to live has expired.
    pub fn close(mut self) -> Result<(), GraphError> {
        self.stop_heartbeats();
        let path = format!("/v2/sessions/{}/close", self.name);
        let key_request = KeyedRequest { key: self.key.clone() };
        let result: Result<SessionView, _> = request_with_retry(
            &mut self.controllers,
            ("POST", &path),
            &key_request,
            REQUEST_RETRY_TIMEOUT_MS,
        );
        result.map(|_| ())
    }

    /// Creates a graph, or opens an existing one. Nothing runs until nodes are sent.
    ///
    /// # Errors
    /// The graph is rejected, or no controller responds.
    pub fn create_graph(&self, id: GraphId, options: &GraphOptions) -> Result<Graph, GraphError> {
        let create_request = CreateGraph {
            graph: id,
            session: self.name.clone(),
            key: self.key.clone(),
            jobclass: options.class.clone(),
            rank: options.rank,
            due_s: options.due_s,
            on_failure: options.on_failure,
            detached: options.detached,
        };
        let mut controllers = self.controllers.clone();
        let _: GraphView = request_with_retry(
            &mut controllers,
            ("POST", "/v2/graphs"),
            &create_request,
            REQUEST_RETRY_TIMEOUT_MS,
        )?;
        Ok(Graph {
            controllers,
            id,
            key: self.key.clone(),
            kinds: BTreeMap::new(),
            pending_nodes: Vec::new(),
            pending_bytes: 0,
            sent_addition_count: 0,
        })
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.stop_heartbeats();
    }
}

/// Options of a graph.
#[derive(Clone, Debug)]
pub struct GraphOptions {
    /// Job class of the nodes.
    pub class: String,
    /// Priority of the nodes in scheduling.
    pub rank: Rank,
    /// When the graph is due, in seconds after its creation; `None` if it has no due time.
    pub due_s: Option<f64>,
    /// What happens to the other nodes when a node fails.
    pub on_failure: OnFailure,
    /// Whether the graph survives the end of its session.
    pub detached: bool,
}

impl GraphOptions {
    /// Options for graphs of a job class, with defaults: standard rank, no due time, bound to the session, and
    /// cancelled when a node fails.
    pub fn new(class: &str) -> Self {
        Self {
            class: class.to_owned(),
            rank: Rank::Standard,
            due_s: None,
            on_failure: OnFailure::CancelRest,
            detached: false,
        }
    }
}

/// A graph to which nodes can be added. Nodes are buffered and sent in additions of bounded size. Each addition has its
/// own name, so that a retry after a lost response adds nothing twice.
#[derive(Debug)]
pub struct Graph {
    controllers: Controllers,
    id: GraphId,
    key: String,
    kinds: BTreeMap<String, KindSpec>,
    pending_nodes: Vec<NewNode>,
    pending_bytes: usize,
    sent_addition_count: usize,
}

impl Graph {
    /// The ID of the graph.
    pub fn id(&self) -> GraphId {
        self.id
    }

    /// Defines a node kind: the requirements that its nodes share.
    pub fn define_kind(&mut self, name: &str, spec: KindSpec) -> &mut Self {
        self.kinds.insert(name.to_owned(), spec);
        self
    }

    /// Adds a node that depends on the nodes `needs`, which must have been added before.
    ///
    /// # Errors
    /// The buffered nodes had to be sent first, and sending failed.
    pub fn add_node(
        &mut self,
        name: &str,
        kind: &str,
        needs: &[&str],
    ) -> Result<&mut Self, GraphError> {
        let needs = needs.iter().map(|name| (*name).to_owned()).collect();
        self.add(NewNode { name: name.to_owned(), kind: kind.to_owned(), needs, shards: 1 })
    }

    /// Adds a node, buffered until the next call of [`Graph::send`] or until the buffer is full.
    ///
    /// # Errors
    /// The buffered nodes had to be sent first, and sending failed.
    pub fn add(&mut self, node: NewNode) -> Result<&mut Self, GraphError> {
        // Estimated size of the node in the JSON request.
        let size_bytes =
            40 + node.name.len() + node.needs.iter().map(|n| n.len() + 4).sum::<usize>();
        let is_full = self.pending_nodes.len() >= MAX_ADDITION_NODE_COUNT
            || self.pending_bytes + size_bytes > MAX_ADDITION_BYTES;
        if is_full && !self.pending_nodes.is_empty() {
            self.send(false)?;
        }
        self.pending_bytes += size_bytes;
        self.pending_nodes.push(node);
        Ok(self)
    }

    /// Sends the buffered nodes. With `seal`, no more nodes can be added afterwards.
    ///
    /// # Errors
    /// The addition is rejected as a whole, or no controller responds; in that case the call may be repeated.
    pub fn send(&mut self, seal: bool) -> Result<GraphView, GraphError> {
        let add_request = AddNodes {
            key: self.key.clone(),
            addition: format!("a-{}", self.sent_addition_count),
            kinds: self.kinds.clone(),
            nodes: self.pending_nodes.clone(),
            seal,
        };
        let path = format!("/v2/graphs/{}/nodes", self.id);
        let view = request_with_retry(
            &mut self.controllers,
            ("POST", &path),
            &add_request,
            REQUEST_RETRY_TIMEOUT_MS,
        )?;
        self.sent_addition_count += 1;
        self.pending_bytes = 0;
        self.pending_nodes.clear();
        Ok(view)
    }

    /// Watches the progress of the graph from the beginning.
    pub fn watch(&self) -> Watch {
        Watch::new(self.controllers.clone(), self.id, String::new())
    }
}

/// Cancels a graph.
///
/// # Errors
/// The request is rejected, or no controller responds.
pub fn cancel(
    controllers: &mut Controllers,
    id: GraphId,
    key: &str,
) -> Result<GraphView, GraphError> {
    let key_request = KeyedRequest { key: key.to_owned() };
    request_with_retry(
        controllers,
        ("POST", &format!("/v2/graphs/{id}/cancel")),
        &key_request,
        REQUEST_RETRY_TIMEOUT_MS,
    )
}

/// Reports the progress of a graph, as nodes that have changed, until the graph is final. A watch can be resumed from
/// its position, also by another process; after a change of leader, nodes may be reported again.
#[derive(Debug)]
pub struct Watch {
    controllers: Controllers,
    id: GraphId,
    position: String,
    is_finished: bool,
}

impl Watch {
    /// Creates a watch that starts at the position of an earlier one; an empty position is the beginning.
    pub fn new(controllers: Controllers, id: GraphId, position: String) -> Self {
        Self { controllers, id, position, is_finished: false }
    }

    /// The current position, from which a new watch can resume.
    pub fn position(&self) -> &str {
        &self.position
    }

    /// Requests the current state of the graph, with the nodes that have changed since the last poll.
    ///
    /// # Errors
    /// The graph does not exist, or no controller responds.
    pub fn poll(&mut self) -> Result<GraphView, GraphError> {
        let path = format!("/v2/graphs/{}?after={}", self.id, self.position);
        let view: GraphView = request_with_retry(
            &mut self.controllers,
            ("GET", &path),
            &(),
            REQUEST_RETRY_TIMEOUT_MS,
        )?;
        self.position.clone_from(&view.next);
        self.is_finished = view.status.is_final() && !view.more;
        Ok(view)
    }

    /// Polls until the graph is final and passes every changed node to `on_change`. Returns the final state.
    ///
    /// # Errors
    /// The graph does not exist, or no controller responds.
    pub fn wait_until_final(
        &mut self,
        mut on_change: impl FnMut(&NodeView),
    ) -> Result<GraphView, GraphError> {
        loop {
            let view = self.poll()?;
            view.changed.iter().for_each(&mut on_change);
            if self.is_finished {
                return Ok(view);
            }
            if !view.more {
                std::thread::sleep(Duration::from_millis(WATCH_POLL_INTERVAL_MS.0));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Mutex;
    use tiny_http::{Header, Response, Server};

    /// Paths and bodies of the received requests.
    type RequestLog = Arc<Mutex<Vec<(String, serde_json::Value)>>>;

    /// Starts a fake controller. `respond` maps the path and the number of requests for it so far to status and body.
    fn start_controller(
        respond: impl Fn(&str, usize) -> (u16, String) + Send + 'static,
    ) -> (Controllers, RequestLog) {
        let server = Server::http("127.0.0.1:0").unwrap();
        let address = server.server_addr().to_string();
        let requests: RequestLog = Arc::default();
        let request_log = requests.clone();
        std::thread::spawn(move || {
            for mut request in server.incoming_requests() {
                let body: serde_json::Value =
                    serde_json::from_reader(request.as_reader()).unwrap_or_default();
                let path = request.url().to_owned();
                let request_count = {
                    let mut request_log = request_log.lock().unwrap();
                    request_log.push((path.clone(), body));
                    request_log.iter().filter(|(logged, _)| *logged == path).count()
                };
                let (status, text) = respond(&path, request_count);
                let retry_after = Header::from_bytes("Retry-After", "1").unwrap();
                let response = Response::from_string(text).with_status_code(status);
                let _ = request.respond(response.with_header(retry_after));
            }
        });
        (Controllers::new(&[address]), requests)
    }

    fn format_view(status: &str, next: &str, more: bool) -> String {
        format!(
            r#"{{"graph":"graph-1","status":"{status}","nodes":2,"waiting":0,"started":0,"done":2,"failed":0,
            "cancelled":0,"skipped":0,"next":"{next}","more":{more},"changed":[{{"name":"n","status":"done"}}]}}"#
        )
    }

    const SESSION: &str = r#"{"session":"s","status":"open","ttlS":10.0}"#;

    /// An addition is retried unchanged after a temporary error; a permanent rejection is returned.
    #[test]
    fn additions_are_retried_under_the_same_name() {
        let (controllers, requests) = start_controller(|path, request_count| match path {
            "/v2/graphs/graph-1/nodes" if request_count == 1 => (503, "{}".into()),
            "/v2/graphs/graph-1/nodes" if request_count == 3 => {
                (422, r#"{"error":"a cycle"}"#.into())
            }
            path if path.starts_with("/v2/sessions") => (200, SESSION.into()),
            _ => (200, format_view("open", "1.0", false)),
        });
        let session = Session::open(controllers, "s", "secret-1", "red", 10.0).unwrap();
        let id = GraphId::parse("graph-1").unwrap();
        let mut graph = session.create_graph(id, &GraphOptions::new("quick")).unwrap();
        let spec: KindSpec = serde_json::from_str(r#"{"num_cpus":1.0}"#).unwrap();
        graph.define_kind("k", spec).add_node("a", "k", &[]).unwrap();
        graph.send(false).unwrap();
        graph.add_node("b", "k", &["a"]).unwrap();
        let Err(GraphError::Rejected { status: 422, text }) = graph.send(true) else { panic!() };
        assert_eq!(text, "a cycle");
        let request_log = requests.lock().unwrap();
        let addition_names: Vec<&str> = request_log
            .iter()
            .filter(|(path, _)| path.ends_with("/nodes"))
            .filter_map(|(_, body)| body["addition"].as_str())
            .collect();
        assert_eq!(addition_names, ["a-0", "a-0", "a-1"]);
        drop(request_log);
        session.close().unwrap();
    }

    /// A watch resumes from its position and ends with the final state.
    #[test]
    fn a_watch_resumes_from_its_position() {
        let (controllers, requests) = start_controller(|path, _| match path {
            "/v2/graphs/graph-1?after=" => (200, format_view("open", "5.7", true)),
            "/v2/graphs/graph-1?after=5.7" => (200, format_view("done", "over.00000", false)),
            _ => (404, "{}".into()),
        });
        let id = GraphId::parse("graph-1").unwrap();
        let mut watch = Watch::new(controllers.clone(), id, String::new());
        watch.poll().unwrap();
        let mut resumed = Watch::new(controllers, id, watch.position().to_owned());
        let mut change_count = 0;
        let final_view = resumed.wait_until_final(|_| change_count += 1).unwrap();
        assert!(final_view.status.is_final() && change_count == 1);
        assert_eq!(requests.lock().unwrap().len(), 2);
    }

    /// A session that a controller no longer knows is reported as lost.
    #[test]
    fn a_lost_session_is_detected() {
        let (controllers, _) = start_controller(|path, _| match path {
            "/v2/sessions" => (201, SESSION.into()),
            _ => (404, r#"{"error":"no such session"}"#.into()),
        });
        let session = Session::open(controllers, "s", "secret-1", "red", 10.0).unwrap();
        let started = Instant::now();
        while !session.is_lost() && started.elapsed() < Duration::from_secs(5) {
            std::thread::sleep(Duration::from_millis(20));
        }
        assert!(session.is_lost());
    }
}
