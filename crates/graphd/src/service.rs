//! The calls, each a question to the controllers, and their answers as gRPC's users expect them.

use crate::constants::*;
use crate::controller_pool::{Asker, Full};
use crate::convert;
use crate::wire::graphs_server::Graphs;
use crate::wire::{self, Graph, Session};
use oatloom_graph::answers::{GraphView, SessionView};
use oatloom_graph::ids::GraphId;
use oatloom_graph::requests::{Keyed, OpenSession};
use oatloom_web::client::{Answer, escape};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::metadata::MetadataValue;
use tonic::{Code, Request, Response, Status};

/// The service. Cloned by the server for each connection.
#[derive(Clone, Debug)]
pub struct Service {
    asker: Asker,
    watches: Arc<Semaphore>,
}

/// What an answer that is none means to gRPC's users. When to come back stands in `retry-after`, in seconds.
pub fn status_of(answer: &Answer) -> Status {
    let said: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let text = said["error"].as_str().unwrap_or("no reason given").to_owned();
    let code = match answer.status {
        400 | 422 => Code::InvalidArgument,
        403 => Code::PermissionDenied,
        404 => Code::NotFound,
        // It is there with other contents, or no longer in a state for this.
        409 if text.contains("there already") || text.contains("another") => Code::AlreadyExists,
        409 => Code::FailedPrecondition,
        413 => Code::OutOfRange,
        429 => Code::ResourceExhausted,
        _ => Code::Unavailable,
    };
    let mut status = Status::new(code, text);
    if let Some(later) = answer.retry_after_s
        && let Ok(value) = MetadataValue::try_from(later.to_string())
    {
        status.metadata_mut().insert("retry-after", value);
    }
    status
}

fn read<T: DeserializeOwned>(answer: Result<Option<Answer>, Full>) -> Result<T, Status> {
    let answer = answer.map_err(|full| Status::resource_exhausted(full.to_string()))?;
    let answer = answer.ok_or_else(|| Status::unavailable("no controller answers"))?;
    match answer.status {
        200 | 201 => serde_json::from_slice(&answer.body)
            .map_err(|e| Status::internal(format!("an answer that cannot be read: {e}"))),
        _ => Err(status_of(&answer)),
    }
}

impl Service {
    pub fn new(asker: Asker) -> Self {
        Self { asker, watches: Arc::new(Semaphore::new(WATCHES)) }
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: String,
        body: &impl Serialize,
    ) -> Result<T, Status> {
        let body = serde_json::to_vec(body).map_err(|e| Status::internal(e.to_string()))?;
        read(self.asker.ask("POST", path, body).await)
    }

    async fn keyed<T: DeserializeOwned>(&self, path: String, key: String) -> Result<T, Status> {
        self.post(path, &Keyed { key }).await
    }

    async fn look(&self, graph: GraphId, after: &str) -> Result<GraphView, Status> {
        let path = format!("/v2/graphs/{graph}?after={}", escape(after));
        read(self.asker.ask("GET", path, Vec::new()).await)
    }

    /// Sends what changes until the graph is over, its client is gone, or nobody has answered for long.
    async fn stream(
        self,
        graph: GraphId,
        mut after: String,
        out: mpsc::Sender<Result<Graph, Status>>,
        _permit: OwnedSemaphorePermit,
    ) {
        let mut heard = Instant::now();
        let mut first = true;
        loop {
            match self.look(graph, &after).await {
                Ok(view) => {
                    heard = Instant::now();
                    let (more, over) = (view.more, view.status.is_final() && !view.more);
                    let news = first || over || !view.changed.is_empty();
                    first = false;
                    after.clone_from(&view.next);
                    // A client that reads slowly is waited for, and nothing is gathered meanwhile.
                    if news && out.send(Ok(convert::graph(view))).await.is_err() || over {
                        return;
                    }
                    if more {
                        continue;
                    }
                }
                Err(e) => {
                    let passing = matches!(e.code(), Code::Unavailable | Code::ResourceExhausted);
                    if !passing || heard.elapsed() > Duration::from_millis(PATIENCE_MS.0) {
                        let _ = out.send(Err(e)).await;
                        return;
                    }
                }
            }
            tokio::select! {
                () = out.closed() => return,
                () = tokio::time::sleep(Duration::from_millis(LOOK_EVERY_MS.0)) => {}
            }
        }
    }
}

#[tonic::async_trait]
impl Graphs for Service {
    type WatchGraphStream = ReceiverStream<Result<Graph, Status>>;

    async fn open_session(
        &self,
        request: Request<wire::OpenSessionRequest>,
    ) -> Result<Response<Session>, Status> {
        let wire::OpenSessionRequest { session, key, owner, ttl_s } = request.into_inner();
        let open = OpenSession { session, key, owner, ttl_s };
        let view: SessionView = self.post("/v2/sessions".into(), &open).await?;
        Ok(Response::new(convert::session(view)))
    }

    async fn heartbeat(
        &self,
        request: Request<wire::SessionRequest>,
    ) -> Result<Response<Session>, Status> {
        let wire::SessionRequest { session, key } = request.into_inner();
        let path = format!("/v2/sessions/{}/beat", convert::plain(&session)?);
        Ok(Response::new(convert::session(self.keyed(path, key).await?)))
    }

    async fn close_session(
        &self,
        request: Request<wire::SessionRequest>,
    ) -> Result<Response<Session>, Status> {
        let wire::SessionRequest { session, key } = request.into_inner();
        let path = format!("/v2/sessions/{}/close", convert::plain(&session)?);
        Ok(Response::new(convert::session(self.keyed(path, key).await?)))
    }

    async fn create_graph(
        &self,
        request: Request<wire::CreateGraphRequest>,
    ) -> Result<Response<Graph>, Status> {
        let create = convert::create(request.into_inner())?;
        let view = self.post("/v2/graphs".into(), &create).await?;
        Ok(Response::new(convert::graph(view)))
    }

    async fn add_nodes(
        &self,
        request: Request<wire::AddNodesRequest>,
    ) -> Result<Response<Graph>, Status> {
        let request = request.into_inner();
        let graph = convert::graph_id(&request.graph)?;
        let add = convert::additions(request)?;
        let view = self.post(format!("/v2/graphs/{graph}/nodes"), &add).await?;
        Ok(Response::new(convert::graph(view)))
    }

    async fn cancel_graph(
        &self,
        request: Request<wire::CancelGraphRequest>,
    ) -> Result<Response<Graph>, Status> {
        let wire::CancelGraphRequest { graph, key } = request.into_inner();
        let graph = convert::graph_id(&graph)?;
        let view = self.keyed(format!("/v2/graphs/{graph}/cancel"), key).await?;
        Ok(Response::new(convert::graph(view)))
    }

    async fn get_graph(
        &self,
        request: Request<wire::GetGraphRequest>,
    ) -> Result<Response<Graph>, Status> {
        let graph = convert::graph_id(&request.into_inner().graph)?;
        let path = format!("/v2/graphs/{graph}?most=0");
        let view: GraphView = read(self.asker.ask("GET", path, Vec::new()).await)?;
        Ok(Response::new(convert::graph(view)))
    }

    async fn watch_graph(
        &self,
        request: Request<wire::WatchGraphRequest>,
    ) -> Result<Response<Self::WatchGraphStream>, Status> {
        let wire::WatchGraphRequest { graph, after } = request.into_inner();
        let graph = convert::graph_id(&graph)?;
        let permit = self.watches.clone().try_acquire_owned();
        let permit = permit.map_err(|_| Status::resource_exhausted("too many streams"))?;
        let (out, stream) = mpsc::channel(BUFFER);
        tokio::spawn(self.clone().stream(graph, after, out, permit));
        Ok(Response::new(ReceiverStream::new(stream)))
    }
}
