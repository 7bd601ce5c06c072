//! Loading of graphs by a new leader: sessions, heads and pages, then the final states of each graph's jobs. The leader
//! is active meanwhile; ordinary jobs do not wait for it.

use crate::graph_table::GraphTable;
use crate::ids::{GraphId, JobSeq};
use crate::open_graph::{EndReason, OpenGraph, Phase};
use crate::records::{
    GraphHead, GraphKey, GraphPart, GraphPartEnd, OPEN_GRAPHS_PREFIX, SESSION_COUNT_KEY,
    SESSIONS_PREFIX, SessionRecord, parse_key,
};
use crate::requests::OnFailure;
use crate::sessions::{self, Session};
use oatloom_protocol::ids::{JobId, Mono, Now, Revision};
use oatloom_protocol::wire::{Failure, JobStatus, Rank, Row};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Progress of loading.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadStage {
    /// The key of the number of sessions is read next.
    Count,
    /// Records of sessions after this key.
    Sessions { after: String },
    /// Heads and pages of graphs after this key.
    Graphs { after: String },
    /// Final states of jobs, in the order of their ids, after this id.
    Jobs { after: JobId },
    /// Loading is complete.
    Ready,
}

/// The next read from the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadRead {
    /// The value of one key.
    Key(String),
    /// The rows with a prefix after this key.
    List { prefix: String, after: String },
    /// Final states of jobs of graphs, after this id.
    FinishedJobs { after: JobId },
}

/// The final state of a graph's job.
#[derive(Clone, Debug)]
pub struct FinishedJob {
    pub id: JobId,
    pub end: GraphPartEnd,
    pub status: JobStatus,
    pub failure: Option<Arc<Failure>>,
}

/// An open job of a graph, with its tasks that are durably done.
#[derive(Clone, Debug)]
pub struct OpenJob {
    pub seq: JobSeq,
    pub part: GraphPart,
    pub done: Vec<u32>,
}

/// Prefix of the ids of all jobs of graphs.
pub const GRAPH_JOBS_PREFIX: &str = "req-9";

impl GraphTable {
    /// Changes the stage; all stage changes go through here.
    fn enter(&mut self, stage: LoadStage) {
        self.stage = stage;
    }

    /// The next read; `None` once loading is complete.
    pub fn next_read(&self) -> Option<LoadRead> {
        match &self.stage {
            LoadStage::Count => Some(LoadRead::Key(SESSION_COUNT_KEY.to_owned())),
            LoadStage::Sessions { after } => {
                Some(LoadRead::List { prefix: SESSIONS_PREFIX.to_owned(), after: after.clone() })
            }
            LoadStage::Graphs { after } => {
                Some(LoadRead::List { prefix: OPEN_GRAPHS_PREFIX.to_owned(), after: after.clone() })
            }
            LoadStage::Jobs { after } => Some(LoadRead::FinishedJobs { after: after.clone() }),
            LoadStage::Ready => None,
        }
    }

    /// Processes the number of sessions, of which only the key's version is needed.
    pub fn load_session_count(&mut self, version: Revision) {
        self.count_version = version;
        self.enter(LoadStage::Sessions { after: String::new() });
    }

    /// Processes a page of rows of sessions or of graphs.
    pub fn load_rows(&mut self, rows: Vec<Row>, more: bool, now: Now) {
        let last = rows.last().map(|row| row.key.clone()).filter(|_| more);
        match &self.stage {
            LoadStage::Sessions { .. } => {
                rows.into_iter().for_each(|row| self.load_session(row, now.mono));
                match last {
                    Some(after) => self.enter(LoadStage::Sessions { after }),
                    None => self.enter(LoadStage::Graphs { after: String::new() }),
                }
            }
            LoadStage::Graphs { .. } => {
                rows.into_iter().for_each(|row| self.load_graph_row(row, now));
                match last {
                    Some(after) => self.enter(LoadStage::Graphs { after }),
                    None => self.start_loading_jobs(now.mono),
                }
            }
            _ => {}
        }
    }

    fn load_session(&mut self, row: Row, now: Mono) {
        let Some(name) = row.key.strip_prefix(SESSIONS_PREFIX) else { return };
        let decoded = serde_json::from_value::<SessionRecord>(row.value);
        // A session whose record cannot be decoded counts as ended.
        let record = decoded.unwrap_or_else(|_| SessionRecord {
            key: String::new(),
            owner: String::new(),
            ttl_ms: 0,
            ended: true,
        });
        self.sessions.insert(name.to_owned(), Session::new(record, row.version, now));
    }

    fn load_graph_row(&mut self, row: Row, now: Now) {
        match parse_key(&row.key) {
            Some(GraphKey::Head(id)) => {
                let decoded = serde_json::from_value::<GraphHead>(row.value);
                let text = decoded.as_ref().err().map(ToString::to_string);
                let head = decoded.unwrap_or_else(|_| GraphHead {
                    session: String::new(),
                    key: String::new(),
                    owner: String::new(),
                    class: String::new(),
                    rank: Rank::Low,
                    due_s: None,
                    on_failure: OnFailure::CancelRest,
                    detached: true,
                    wall_ms: now.wall_ms,
                    cancelled: false,
                });
                let age = now.wall_ms.saturating_sub(head.wall_ms);
                let created = Mono(now.mono.0.saturating_sub(age));
                self.insert_graph(OpenGraph::new(id, head, row.version, Phase::Loading, created));
                if let Some(text) = text {
                    self.damaged.insert(id, text);
                }
            }
            Some(GraphKey::Page(id, page)) => {
                let Some(open_graph) = self.graphs.get_mut(&id) else {
                    // The page is left over from a finished graph.
                    self.queue.push_page_delete(id, page);
                    return;
                };
                let bytes = row.value.to_string().len();
                let decoded = serde_json::from_value(row.value).map_err(|error| error.to_string());
                let applied = match decoded {
                    _ if page != open_graph.model.page_count() => {
                        Err("a page is missing".to_owned())
                    }
                    Ok(page) => {
                        open_graph.model.apply(&page, bytes).map_err(|error| error.to_string())
                    }
                    Err(text) => Err(format!("page {page}: {text}")),
                };
                if let Err(text) = applied {
                    self.damaged.entry(id).or_insert(text);
                }
            }
            None => {}
        }
    }

    fn start_loading_jobs(&mut self, now: Mono) {
        match self.graphs.keys().next() {
            Some(first) => self.enter(LoadStage::Jobs { after: id_before_jobs(*first) }),
            None => self.finish_loading(now),
        }
    }

    /// Processes a page of final states in the order of their ids. `last` is the last id if more pages follow. `open`
    /// returns the open jobs of a graph.
    pub fn load_finished_jobs(
        &mut self,
        finished: Vec<FinishedJob>,
        last: Option<JobId>,
        open: &dyn Fn(GraphId) -> Vec<OpenJob>,
        now: Mono,
    ) {
        let LoadStage::Jobs { .. } = self.stage else { return };
        for FinishedJob { id, end, status, failure } in finished {
            if let Some((graph, seq)) = GraphId::from_job_id(&id)
                && let Some(open_graph) = self.graphs.get_mut(&graph)
            {
                open_graph.finish_job(seq, &end, status, failure.as_ref());
            }
        }
        // All final states of the graphs before the last id are known.
        let last_graph = last.as_ref().and_then(GraphId::from_job_id).map(|(graph, _)| graph);
        let is_loading = |open_graph: &&OpenGraph| open_graph.phase == Phase::Loading;
        let loading: Vec<GraphId> =
            self.graphs.values().filter(is_loading).map(|open_graph| open_graph.id).collect();
        let (loaded, remaining): (Vec<GraphId>, Vec<GraphId>) =
            loading.into_iter().partition(|id| {
                last.is_none() || last_graph.is_some_and(|last_graph| *id < last_graph)
            });
        for id in loaded {
            self.activate_graph(id, open(id));
        }
        match (last, remaining.first()) {
            // Skips the jobs of finished graphs.
            (Some(last), Some(next)) => {
                let after = id_before_jobs(*next);
                self.enter(LoadStage::Jobs { after: after.max(last) });
            }
            _ => self.finish_loading(now),
        }
    }

    fn finish_loading(&mut self, now: Mono) {
        self.enter(LoadStage::Ready);
        // Heartbeats were refused until now.
        self.restart_session_ttls(now);
        let ended_name = |(name, session): (&String, &Session)| {
            (session.phase == sessions::Phase::Ended).then(|| name.clone())
        };
        for name in self.sessions.iter().filter_map(ended_name).collect::<Vec<_>>() {
            self.on_session_ended(&name);
        }
    }

    /// Opens a graph once all its durable state is loaded.
    fn activate_graph(&mut self, id: GraphId, open: Vec<OpenJob>) {
        let Some(open_graph) = self.graphs.get_mut(&id) else { return };
        for OpenJob { seq, part, done } in open {
            open_graph.mark_job_open(seq, &part, &done);
            self.open_job_count += 1;
        }
        open_graph.paths_stale = true;
        open_graph.enter(Phase::Open);
        let session = self.sessions.get(&open_graph.head.session);
        let session_ended = !open_graph.head.detached
            && session.is_none_or(|session| session.phase == sessions::Phase::Ended);
        if let Some(text) = self.damaged.remove(&id) {
            self.stop(id, EndReason::Damaged(text));
        } else if open_graph.head.cancelled {
            self.stop(id, EndReason::Cancelled);
        } else if session_ended {
            self.stop(id, EndReason::SessionEnded);
        } else {
            self.update_graph(id);
        }
    }
}

/// An id that sorts before all jobs of a graph and after those of the preceding graphs.
fn id_before_jobs(id: GraphId) -> JobId {
    JobId::new(&format!("{GRAPH_JOBS_PREFIX}{}", id.digits()))
}

/// Graphs whose records cannot be decoded, with the error.
pub(crate) type DamagedGraphs = BTreeMap<GraphId, String>;
