//! Implements the gRPC service: each call becomes a request to a controller, whose response is converted to a gRPC one.

use crate::constants::*;
use crate::controller_pool::{ControllerPool, QueueFull};
use crate::convert;
use crate::wire::graphs_server::Graphs;
use crate::wire::{self, Graph, Session};
use oatloom_graph::answers::{GraphView, SessionView};
use oatloom_graph::ids::GraphId;
use oatloom_graph::requests::{KeyedRequest, OpenSession};
use oatloom_web::client::{HttpResponse, escape};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::metadata::MetadataValue;
use tonic::{Code, Request, Response, Status};

/// The gRPC service. The server clones it for each connection.
#[derive(Clone, Debug)]
pub struct Service {
    controllers: ControllerPool,
    /// Permits for [`MAX_WATCH_COUNT`] watch streams.
    watch_permits: Arc<Semaphore>,
}

/// Converts an error response of a controller to a gRPC status. The retry delay, in seconds, goes into the metadata
/// `retry-after`.
pub fn to_status(response: &HttpResponse) -> Status {
    let error: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let text = error["error"].as_str().unwrap_or("no reason given").to_owned();
    let code = match response.status {
        400 | 422 => Code::InvalidArgument,
        403 => Code::PermissionDenied,
        404 => Code::NotFound,
        // Only the error texts of the graph crate distinguish conflicts: "there already" and "another" mean that the
        // item exists or belongs to another client. All others are failed preconditions, kinds and additions that exist
        // with different content among them.
        409 if text.contains("there already") || text.contains("another") => Code::AlreadyExists,
        409 => Code::FailedPrecondition,
        413 => Code::OutOfRange,
        429 => Code::ResourceExhausted,
        _ => Code::Unavailable,
    };
    let mut status = Status::new(code, text);
    if let Some(retry_after_s) = response.retry_after_s
        && let Ok(value) = MetadataValue::try_from(retry_after_s.to_string())
    {
        status.metadata_mut().insert("retry-after", value);
    }
    status
}

/// Parses the response of a controller, or converts its absence or an error response to a gRPC status.
fn parse_response<T: DeserializeOwned>(
    response: Result<Option<HttpResponse>, QueueFull>,
) -> Result<T, Status> {
    let response = response.map_err(|e| Status::resource_exhausted(e.to_string()))?;
    let response = response.ok_or_else(|| Status::unavailable("no controller responded"))?;
    match response.status {
        200 | 201 => serde_json::from_slice(&response.body)
            .map_err(|e| Status::internal(format!("invalid response from a controller: {e}"))),
        _ => Err(to_status(&response)),
    }
}

impl Service {
    /// Creates the service, which sends its requests through `controllers`.
    pub fn new(controllers: ControllerPool) -> Self {
        Self { controllers, watch_permits: Arc::new(Semaphore::new(MAX_WATCH_COUNT)) }
    }

    /// Sends a `POST` request with a JSON body to a controller and parses the response.
    async fn post<T: DeserializeOwned>(
        &self,
        path: String,
        body: &impl Serialize,
    ) -> Result<T, Status> {
        let body = serde_json::to_vec(body).map_err(|e| Status::internal(e.to_string()))?;
        parse_response(self.controllers.send("POST", path, body).await)
    }

    /// Sends a `POST` request whose body holds only the key of a session.
    async fn post_key<T: DeserializeOwned>(&self, path: String, key: String) -> Result<T, Status> {
        self.post(path, &KeyedRequest { key }).await
    }

    /// Requests the nodes of a graph that changed after a position.
    async fn fetch_changes(&self, graph: GraphId, after: &str) -> Result<GraphView, Status> {
        let path = format!("/v2/graphs/{graph}?after={}", escape(after));
        parse_response(self.controllers.send("GET", path, Vec::new()).await)
    }

    /// Streams changes until the graph is final, the client has disconnected, or no request has succeeded for
    /// [`WATCH_RETRY_TIMEOUT_MS`].
    async fn stream_changes(
        self,
        graph: GraphId,
        mut after: String,
        sender: mpsc::Sender<Result<Graph, Status>>,
        _permit: OwnedSemaphorePermit,
    ) {
        let mut last_success_at = Instant::now();
        let mut is_first = true;
        loop {
            match self.fetch_changes(graph, &after).await {
                Ok(view) => {
                    last_success_at = Instant::now();
                    let (has_more, is_finished) = (view.more, view.status.is_final() && !view.more);
                    let must_send = is_first || is_finished || !view.changed.is_empty();
                    is_first = false;
                    after.clone_from(&view.next);
                    // Waits for a client that reads slowly; the controllers are not polled meanwhile.
                    if must_send && sender.send(Ok(convert::to_wire_graph(view))).await.is_err()
                        || is_finished
                    {
                        return;
                    }
                    if has_more {
                        continue;
                    }
                }
                Err(e) => {
                    let is_transient =
                        matches!(e.code(), Code::Unavailable | Code::ResourceExhausted);
                    if !is_transient
                        || last_success_at.elapsed()
                            > Duration::from_millis(WATCH_RETRY_TIMEOUT_MS.0)
                    {
                        let _ = sender.send(Err(e)).await;
                        return;
                    }
                }
            }
            tokio::select! {
                () = sender.closed() => return,
                () = tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS.0)) => {}
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
        let open_request = OpenSession { session, key, owner, ttl_s };
        let view: SessionView = self.post("/v2/sessions".into(), &open_request).await?;
        Ok(Response::new(convert::to_wire_session(view)))
    }

    async fn heartbeat(
        &self,
        request: Request<wire::SessionRequest>,
    ) -> Result<Response<Session>, Status> {
        let wire::SessionRequest { session, key } = request.into_inner();
        let path = format!("/v2/sessions/{}/beat", convert::validate_session_name(&session)?);
        Ok(Response::new(convert::to_wire_session(self.post_key(path, key).await?)))
    }

    async fn close_session(
        &self,
        request: Request<wire::SessionRequest>,
    ) -> Result<Response<Session>, Status> {
        let wire::SessionRequest { session, key } = request.into_inner();
        let path = format!("/v2/sessions/{}/close", convert::validate_session_name(&session)?);
        Ok(Response::new(convert::to_wire_session(self.post_key(path, key).await?)))
    }

    async fn create_graph(
        &self,
        request: Request<wire::CreateGraphRequest>,
    ) -> Result<Response<Graph>, Status> {
        let create_request = convert::to_create_graph(request.into_inner())?;
        let view = self.post("/v2/graphs".into(), &create_request).await?;
        Ok(Response::new(convert::to_wire_graph(view)))
    }

    async fn add_nodes(
        &self,
        request: Request<wire::AddNodesRequest>,
    ) -> Result<Response<Graph>, Status> {
        let request = request.into_inner();
        let graph = convert::parse_graph_id(&request.graph)?;
        let add_request = convert::to_add_nodes(request)?;
        let view = self.post(format!("/v2/graphs/{graph}/nodes"), &add_request).await?;
        Ok(Response::new(convert::to_wire_graph(view)))
    }

    async fn cancel_graph(
        &self,
        request: Request<wire::CancelGraphRequest>,
    ) -> Result<Response<Graph>, Status> {
        let wire::CancelGraphRequest { graph, key } = request.into_inner();
        let graph = convert::parse_graph_id(&graph)?;
        let view = self.post_key(format!("/v2/graphs/{graph}/cancel"), key).await?;
        Ok(Response::new(convert::to_wire_graph(view)))
    }

    async fn get_graph(
        &self,
        request: Request<wire::GetGraphRequest>,
    ) -> Result<Response<Graph>, Status> {
        let graph = convert::parse_graph_id(&request.into_inner().graph)?;
        let path = format!("/v2/graphs/{graph}?most=0");
        let view: GraphView = parse_response(self.controllers.send("GET", path, Vec::new()).await)?;
        Ok(Response::new(convert::to_wire_graph(view)))
    }

    async fn watch_graph(
        &self,
        request: Request<wire::WatchGraphRequest>,
    ) -> Result<Response<Self::WatchGraphStream>, Status> {
        let wire::WatchGraphRequest { graph, after } = request.into_inner();
        let graph = convert::parse_graph_id(&graph)?;
        let permit = self.watch_permits.clone().try_acquire_owned();
        let permit = permit.map_err(|_| Status::resource_exhausted("too many watch streams"))?;
        let (sender, stream) = mpsc::channel(STREAM_BUFFER_COUNT);
        tokio::spawn(self.clone().stream_changes(graph, after, sender, permit));
        Ok(Response::new(ReceiverStream::new(stream)))
    }
}
