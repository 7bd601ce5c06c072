//! Task graphs: a session that is kept alive while it is held, graphs that are added to in pages, and their progress.

use crate::constants::*;
use crate::users::Controllers;
use oatloom_graph::answers::{GraphView, NodeView, SessionView};
use oatloom_graph::ids::GraphId;
use oatloom_graph::requests::{
    AddNodes, CreateGraph, Keyed, KindSpec, NewNode, OnFailure, OpenSession,
};
use oatloom_protocol::ids::Millis;
use oatloom_protocol::wire::Rank;
use oatloom_web::client::Answer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Why a request about graphs came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum GraphError {
    /// A final answer: asking again would get the same.
    #[error("refused with {status}: {text}")]
    Refused { status: u16, text: String },
    /// No answer that counts came in time.
    #[error("no answer that counts in {0} s")]
    NoAnswer(u64),
    #[error("an answer that cannot be read: {0}")]
    Unreadable(String),
    #[error("no thread could be started: {0}")]
    Thread(#[from] std::io::Error),
}

/// Asks until there is an answer that counts. Controllers of which none was ever reached are tried as long: a session and
/// a watch outlast a restart of all.
fn insist<T: DeserializeOwned>(
    controllers: &mut Controllers,
    (method, path): (&str, &str),
    body: &impl Serialize,
    patience: Millis,
) -> Result<T, GraphError> {
    let body = if method == "GET" {
        Vec::new()
    } else {
        serde_json::to_vec(body).map_err(|e| GraphError::Unreadable(e.to_string()))?
    };
    let judge = |Answer { status, body, .. }: &Answer| match status {
        200 | 201 => {
            let read = serde_json::from_slice(body);
            Some(read.map_err(|e| GraphError::Unreadable(e.to_string())))
        }
        400..=428 | 430..=499 => {
            let said: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
            let text = said["error"].as_str().unwrap_or_default().to_owned();
            Some(Err(GraphError::Refused { status: *status, text }))
        }
        _ => None,
    };
    let told = controllers.retry((method, path, &body), patience, patience, judge);
    told.unwrap_or(Err(GraphError::NoAnswer(patience.0 / 1000)))
}

/// A session, kept alive by a thread of its own until it is closed, dropped, or its process ends: then what is not
/// detached of it is cancelled, at the latest when its time to live has passed.
#[derive(Debug)]
pub struct Session {
    controllers: Controllers,
    name: String,
    key: String,
    end: Arc<AtomicBool>,
    lost: Arc<AtomicBool>,
    beats: Option<JoinHandle<()>>,
}

impl Session {
    /// Opens a session of a team, or goes on with the one of this name and key.
    ///
    /// # Errors
    /// It is refused, or no controller answers.
    pub fn open(
        mut controllers: Controllers,
        name: &str,
        key: &str,
        owner: &str,
        ttl_s: f64,
    ) -> Result<Self, GraphError> {
        let open = OpenSession {
            session: name.to_owned(),
            key: key.to_owned(),
            owner: owner.to_owned(),
            ttl_s,
        };
        let _: SessionView = insist(&mut controllers, ("POST", "/v2/sessions"), &open, GIVE_UP_MS)?;
        let (end, lost) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let beats = {
            let (end, lost, mut at) = (end.clone(), lost.clone(), controllers.clone());
            let path = format!("/v2/sessions/{name}/beat");
            let keyed = Keyed { key: key.to_owned() };
            let every = Millis::from_secs(ttl_s / BEATS as f64);
            std::thread::Builder::new().name("session".into()).spawn(move || {
                let mut next = Instant::now();
                while !end.load(Ordering::Relaxed) {
                    if Instant::now() >= next {
                        match insist::<SessionView>(&mut at, ("POST", &path), &keyed, every) {
                            Err(GraphError::Refused { status, text }) => {
                                tracing::warn!("session: lost, {status}: {text}");
                                return lost.store(true, Ordering::Relaxed);
                            }
                            Err(e) => tracing::debug!("session: {e}"),
                            Ok(_) => {}
                        }
                        next = Instant::now() + Duration::from_millis(every.0);
                    }
                    std::thread::sleep(Duration::from_millis(BEAT_STEP_MS.0));
                }
            })?
        };
        let (name, key) = (name.to_owned(), key.to_owned());
        Ok(Self { controllers, name, key, end, lost, beats: Some(beats) })
    }

    /// Whether a controller has said that it is no more.
    pub fn lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }

    fn hush(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        if let Some(beats) = self.beats.take() {
            let _ = beats.join();
        }
    }

    /// Ends the session: what is not detached of it is cancelled.
    ///
    /// # Errors
    /// No controller answers; then it ends when its time to live has passed.
    pub fn close(mut self) -> Result<(), GraphError> {
        self.hush();
        let path = format!("/v2/sessions/{}/close", self.name);
        let keyed = Keyed { key: self.key.clone() };
        let closed: Result<SessionView, _> =
            insist(&mut self.controllers, ("POST", &path), &keyed, GIVE_UP_MS);
        closed.map(|_| ())
    }

    /// Begins a graph, or finds it begun. Nothing runs until nodes are sent.
    ///
    /// # Errors
    /// It is refused, or no controller answers.
    pub fn graph(&self, id: GraphId, plan: &Plan) -> Result<Graph, GraphError> {
        let create = CreateGraph {
            graph: id,
            session: self.name.clone(),
            key: self.key.clone(),
            jobclass: plan.class.clone(),
            rank: plan.rank,
            due_s: plan.due_s,
            on_failure: plan.on_failure,
            detached: plan.detached,
        };
        let mut controllers = self.controllers.clone();
        let _: GraphView = insist(&mut controllers, ("POST", "/v2/graphs"), &create, GIVE_UP_MS)?;
        Ok(Graph {
            controllers,
            id,
            key: self.key.clone(),
            kinds: BTreeMap::new(),
            nodes: Vec::new(),
            bytes: 0,
            sent: 0,
        })
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.hush();
    }
}

/// What a graph is as a whole.
#[derive(Clone, Debug)]
pub struct Plan {
    pub class: String,
    pub rank: Rank,
    pub due_s: Option<f64>,
    pub on_failure: OnFailure,
    pub detached: bool,
}

impl Plan {
    /// Of a class of jobs, of standard rank; without a due time, bound to its session, cancelled when a node fails.
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

/// A graph that grows. Nodes are gathered, and sent in additions that fit; each has a name of its own, so that one whose
/// answer was lost adds nothing twice.
#[derive(Debug)]
pub struct Graph {
    controllers: Controllers,
    id: GraphId,
    key: String,
    kinds: BTreeMap<String, KindSpec>,
    nodes: Vec<NewNode>,
    bytes: usize,
    sent: usize,
}

impl Graph {
    pub fn id(&self) -> GraphId {
        self.id
    }

    /// Says what nodes of a kind need.
    pub fn kind(&mut self, name: &str, spec: KindSpec) -> &mut Self {
        self.kinds.insert(name.to_owned(), spec);
        self
    }

    /// Adds a node that takes the results of others, which have been added before.
    ///
    /// # Errors
    /// What was gathered had to be sent, and was refused.
    pub fn node(
        &mut self,
        name: &str,
        kind: &str,
        needs: &[&str],
    ) -> Result<&mut Self, GraphError> {
        let needs = needs.iter().map(|input| (*input).to_owned()).collect();
        self.add(NewNode { name: name.to_owned(), kind: kind.to_owned(), needs, shards: 1 })
    }

    /// Adds a node as it is.
    ///
    /// # Errors
    /// What was gathered had to be sent, and was refused.
    pub fn add(&mut self, node: NewNode) -> Result<&mut Self, GraphError> {
        let size = 40 + node.name.len() + node.needs.iter().map(|n| n.len() + 4).sum::<usize>();
        let full = self.nodes.len() >= ADDITION_NODES || self.bytes + size > ADDITION_BYTES;
        if full && !self.nodes.is_empty() {
            self.send(false)?;
        }
        self.bytes += size;
        self.nodes.push(node);
        Ok(self)
    }

    /// Sends what was gathered; `seal`: nothing more will come.
    ///
    /// # Errors
    /// It is refused, whole, or no controller answers: then the same call may be made again.
    pub fn send(&mut self, seal: bool) -> Result<GraphView, GraphError> {
        let add = AddNodes {
            key: self.key.clone(),
            addition: format!("a-{}", self.sent),
            kinds: self.kinds.clone(),
            nodes: self.nodes.clone(),
            seal,
        };
        let path = format!("/v2/graphs/{}/nodes", self.id);
        let view = insist(&mut self.controllers, ("POST", &path), &add, GIVE_UP_MS)?;
        self.sent += 1;
        self.bytes = 0;
        self.nodes.clear();
        Ok(view)
    }

    /// Its progress from the beginning.
    pub fn watch(&self) -> Watch {
        Watch::new(self.controllers.clone(), self.id, String::new())
    }
}

/// Cancels a graph.
///
/// # Errors
/// It is refused, or no controller answers.
pub fn cancel(
    controllers: &mut Controllers,
    id: GraphId,
    key: &str,
) -> Result<GraphView, GraphError> {
    let keyed = Keyed { key: key.to_owned() };
    insist(controllers, ("POST", &format!("/v2/graphs/{id}/cancel")), &keyed, GIVE_UP_MS)
}

/// The progress of a graph: nodes that have changed, until it is over. It goes on from its position, also in another
/// process; after a change of the leader nodes may come again.
#[derive(Debug)]
pub struct Watch {
    controllers: Controllers,
    id: GraphId,
    position: String,
    over: bool,
}

impl Watch {
    /// From a position that an earlier watch has reached; empty: from the beginning.
    pub fn new(controllers: Controllers, id: GraphId, position: String) -> Self {
        Self { controllers, id, position, over: false }
    }

    /// Where it is.
    pub fn position(&self) -> &str {
        &self.position
    }

    /// How the graph is doing now, with the nodes that have changed since the last look.
    ///
    /// # Errors
    /// There is no such graph, or no controller answers.
    pub fn look(&mut self) -> Result<GraphView, GraphError> {
        let path = format!("/v2/graphs/{}?after={}", self.id, self.position);
        let view: GraphView = insist(&mut self.controllers, ("GET", &path), &(), GIVE_UP_MS)?;
        self.position.clone_from(&view.next);
        self.over = view.status.is_final() && !view.more;
        Ok(view)
    }

    /// Waits for the end, and hands every change to `each`. The last view is the final answer.
    ///
    /// # Errors
    /// There is no such graph, or no controller answers.
    pub fn to_end(&mut self, mut each: impl FnMut(&NodeView)) -> Result<GraphView, GraphError> {
        loop {
            let view = self.look()?;
            view.changed.iter().for_each(&mut each);
            if self.over {
                return Ok(view);
            }
            if !view.more {
                std::thread::sleep(Duration::from_millis(LOOK_EVERY_MS.0));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Mutex;
    use tiny_http::{Header, Response, Server};

    type Seen = Arc<Mutex<Vec<(String, serde_json::Value)>>>;

    /// A controller that answers what `says` makes of the path and of how often it was asked.
    fn controller(
        says: impl Fn(&str, usize) -> (u16, String) + Send + 'static,
    ) -> (Controllers, Seen) {
        let server = Server::http("127.0.0.1:0").unwrap();
        let address = server.server_addr().to_string();
        let seen: Seen = Arc::default();
        let noted = seen.clone();
        std::thread::spawn(move || {
            for mut request in server.incoming_requests() {
                let body: serde_json::Value =
                    serde_json::from_reader(request.as_reader()).unwrap_or_default();
                let path = request.url().to_owned();
                let times = {
                    let mut noted = noted.lock().unwrap();
                    noted.push((path.clone(), body));
                    noted.iter().filter(|(known, _)| *known == path).count()
                };
                let (status, text) = says(&path, times);
                let later = Header::from_bytes("Retry-After", "1").unwrap();
                let answer = Response::from_string(text).with_status_code(status);
                let _ = request.respond(answer.with_header(later));
            }
        });
        (Controllers::new(&[address]), seen)
    }

    fn view(status: &str, next: &str, more: bool) -> String {
        format!(
            r#"{{"graph":"graph-1","status":"{status}","nodes":2,"waiting":0,"started":0,"done":2,"failed":0,
            "cancelled":0,"skipped":0,"next":"{next}","more":{more},"changed":[{{"name":"n","status":"done"}}]}}"#
        )
    }

    const SESSION: &str = r#"{"session":"s","status":"open","ttlS":10.0}"#;

    /// An addition that was refused for now is sent again as it was; what is refused for good is told.
    #[test]
    fn additions_are_sent_again_under_the_same_name() {
        let (controllers, seen) = controller(|path, times| match path {
            "/v2/graphs/graph-1/nodes" if times == 1 => (503, "{}".into()),
            "/v2/graphs/graph-1/nodes" if times == 3 => (422, r#"{"error":"a cycle"}"#.into()),
            path if path.starts_with("/v2/sessions") => (200, SESSION.into()),
            _ => (200, view("open", "1.0", false)),
        });
        let session = Session::open(controllers, "s", "secret-1", "red", 10.0).unwrap();
        let id = GraphId::parse("graph-1").unwrap();
        let mut graph = session.graph(id, &Plan::new("quick")).unwrap();
        let spec: KindSpec = serde_json::from_str(r#"{"num_cpus":1.0}"#).unwrap();
        graph.kind("k", spec).node("a", "k", &[]).unwrap();
        graph.send(false).unwrap();
        graph.node("b", "k", &["a"]).unwrap();
        let Err(GraphError::Refused { status: 422, text }) = graph.send(true) else { panic!() };
        assert_eq!(text, "a cycle");
        let asked = seen.lock().unwrap();
        let names: Vec<&str> = asked
            .iter()
            .filter(|(path, _)| path.ends_with("/nodes"))
            .filter_map(|(_, body)| body["addition"].as_str())
            .collect();
        assert_eq!(names, ["a-0", "a-0", "a-1"]);
        drop(asked);
        session.close().unwrap();
    }

    /// A watch goes on from its position, and ends with the final answer.
    #[test]
    fn a_watch_is_resumed_where_it_was() {
        let (controllers, seen) = controller(|path, _| match path {
            "/v2/graphs/graph-1?after=" => (200, view("open", "5.7", true)),
            "/v2/graphs/graph-1?after=5.7" => (200, view("done", "over.00000", false)),
            _ => (404, "{}".into()),
        });
        let id = GraphId::parse("graph-1").unwrap();
        let mut watch = Watch::new(controllers.clone(), id, String::new());
        watch.look().unwrap();
        let mut resumed = Watch::new(controllers, id, watch.position().to_owned());
        let mut changes = 0;
        let over = resumed.to_end(|_| changes += 1).unwrap();
        assert!(over.status.is_final() && changes == 1);
        assert_eq!(seen.lock().unwrap().len(), 2);
    }

    /// A session that a controller no longer knows is lost, and says so.
    #[test]
    fn a_lost_session_is_noticed() {
        let (controllers, _) = controller(|path, _| match path {
            "/v2/sessions" => (201, SESSION.into()),
            _ => (404, r#"{"error":"no such session"}"#.into()),
        });
        let session = Session::open(controllers, "s", "secret-1", "red", 10.0).unwrap();
        let began = Instant::now();
        while !session.lost() && began.elapsed() < Duration::from_secs(5) {
            std::thread::sleep(Duration::from_millis(20));
        }
        assert!(session.lost());
    }
}
