//! gRPC calls against a fake controller: their requests to the controller, their status codes, watch streams, and TLS.

use oatloom_client::Controllers;
use oatloom_graphd::server::serve;
use oatloom_graphd::service::to_status;
use oatloom_graphd::tls::TlsFiles;
use oatloom_graphd::wire::graphs_client::GraphsClient;
use oatloom_graphd::wire::{
    AddNodesRequest, GetGraphRequest, Kind, NewNode, OpenSessionRequest, WatchGraphRequest,
};
use oatloom_web::client::HttpResponse;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Identity};
use tonic::{Code, Request};

/// Paths of the received requests.
type RequestLog = Arc<Mutex<Vec<String>>>;

/// Starts a fake controller. `respond` maps path, body and the number of requests for the path so far to status and
/// body.
fn start_controller(
    respond: impl Fn(&str, &str, usize) -> (u16, String) + Send + 'static,
) -> (String, RequestLog) {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_string();
    let requests: RequestLog = Arc::default();
    let request_log = requests.clone();
    std::thread::spawn(move || {
        for mut request in server.incoming_requests() {
            let mut body = String::new();
            request.as_reader().read_to_string(&mut body).unwrap();
            let path = request.url().to_owned();
            let request_count = {
                let mut request_log = request_log.lock().unwrap();
                request_log.push(path.clone());
                request_log.iter().filter(|logged| **logged == path).count()
            };
            let (status, text) = respond(&path, &body, request_count);
            let retry_after = tiny_http::Header::from_bytes("Retry-After", "3").unwrap();
            let response = tiny_http::Response::from_string(text).with_status_code(status);
            let _ = request.respond(response.with_header(retry_after));
        }
    });
    (address, requests)
}

/// Address of the server, its shutdown signal, and its thread.
type StartedServer = (SocketAddr, watch::Sender<bool>, std::thread::JoinHandle<()>);

/// Starts the gRPC server for these controllers, without TLS.
fn start_server(controllers: &[String]) -> StartedServer {
    start_server_with(controllers, None)
}

fn start_server_with(controllers: &[String], files: Option<TlsFiles>) -> StartedServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let controllers = Controllers::new(controllers);
    let (shutdown, shutdown_receiver) = watch::channel(false);
    let thread = std::thread::spawn(move || {
        serve(listener, &controllers, files, shutdown_receiver).unwrap()
    });
    (address, shutdown, thread)
}

fn create_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

async fn connect(address: SocketAddr) -> GraphsClient<Channel> {
    GraphsClient::connect(format!("http://{address}")).await.unwrap()
}

fn format_view(status: &str, next: &str, more: bool) -> String {
    format!(
        r#"{{"graph":"graph-1","status":"{status}","nodes":1,"waiting":0,"started":0,"done":1,"failed":0,
        "cancelled":0,"skipped":0,"next":"{next}","more":{more},"changed":[{{"name":"n","status":"done"}}]}}"#
    )
}

#[test]
fn calls_are_converted_to_requests_and_responses_to_statuses() {
    let (address, requests) = start_controller(|path, body, request_count| match path {
        "/v2/sessions" if body.contains("secret-1") => {
            (201, r#"{"session":"s","status":"open","ttlS":20.0}"#.into())
        }
        "/v2/sessions" => (400, r#"{"error":"key must be longer"}"#.into()),
        "/v2/graphs/graph-1/nodes" if request_count == 1 => {
            (429, r#"{"error":"too many nodes"}"#.into())
        }
        "/v2/graphs/graph-1/nodes" if body.contains(r#""max_retries":2"#) => {
            (200, format_view("open", "", false))
        }
        _ => (404, r#"{"error":"no such graph"}"#.into()),
    });
    let (grpc_address, shutdown, thread) = start_server(&[address]);
    create_runtime().block_on(async {
        let mut client = connect(grpc_address).await;
        let make_open_request = |key: &str| OpenSessionRequest {
            session: "s".into(),
            key: key.into(),
            owner: "red".into(),
            ttl_s: 20.0,
        };
        let session =
            client.open_session(make_open_request("secret-1")).await.unwrap().into_inner();
        assert_eq!((session.status.as_str(), session.ttl_s), ("open", 20.0));
        assert_eq!(
            client.open_session(make_open_request("x")).await.unwrap_err().code(),
            Code::InvalidArgument
        );
        let kind = Kind { num_cpus: 1.0, max_retries: Some(2), ..Kind::default() };
        let add_request = AddNodesRequest {
            graph: "graph-1".into(),
            key: "secret-1".into(),
            addition: "a".into(),
            kinds: [("k".to_owned(), kind)].into(),
            nodes: vec![NewNode { name: "n".into(), kind: "k".into(), ..NewNode::default() }],
            seal: true,
        };
        let rejected = client.add_nodes(add_request.clone()).await.unwrap_err();
        assert_eq!(rejected.code(), Code::ResourceExhausted);
        assert_eq!(rejected.metadata().get("retry-after").unwrap(), "3");
        assert_eq!(client.add_nodes(add_request).await.unwrap().into_inner().status, "open");
        let make_get_request = |graph: &str| GetGraphRequest { graph: graph.into() };
        assert_eq!(
            client.get_graph(make_get_request("graph-2")).await.unwrap_err().code(),
            Code::NotFound
        );
        assert_eq!(
            client.get_graph(make_get_request("7")).await.unwrap_err().code(),
            Code::InvalidArgument
        );
    });
    assert!(requests.lock().unwrap().iter().all(|path| !path.contains("graphs/7")));
    shutdown.send(true).unwrap();
    thread.join().unwrap();
}

/// A watch stream resumes after a position, reports no change twice under the same leader, retries unavailable
/// responses, and ends with the graph.
#[test]
fn a_watch_stream_resumes_and_ends_with_the_graph() {
    let (address, _) = start_controller(|path, _, request_count| match path {
        "/v2/graphs/graph-1?after=1.5" if request_count < 2 => (503, "{}".into()),
        "/v2/graphs/graph-1?after=1.5" => (200, format_view("open", "1.6", true)),
        "/v2/graphs/graph-1?after=1.6" => (200, format_view("done", "over.00000", false)),
        _ => (404, r#"{"error":"no such graph"}"#.into()),
    });
    let (grpc_address, shutdown, thread) = start_server(&[address]);
    create_runtime().block_on(async {
        let mut client = connect(grpc_address).await;
        let make_watch_request =
            |after: &str| WatchGraphRequest { graph: "graph-1".into(), after: after.into() };
        let mut stream = client.watch_graph(make_watch_request("1.5")).await.unwrap().into_inner();
        let mut received = Vec::new();
        while let Some(graph) = stream.message().await.unwrap() {
            received.push((graph.status, graph.next));
        }
        assert_eq!(
            received,
            [("open".into(), "1.6".into()), ("done".into(), "over.00000".to_owned())]
        );
        let mut rejected = client.watch_graph(make_watch_request("9")).await.unwrap().into_inner();
        assert_eq!(rejected.message().await.unwrap_err().code(), Code::NotFound);
    });
    shutdown.send(true).unwrap();
    thread.join().unwrap();
}

/// A call ends at the deadline of its client even if the controllers are slow, and fails as unavailable if no
/// controller runs.
#[test]
fn deadlines_and_unreachable_controllers_are_reported() {
    let (slow, _) = start_controller(|_, _, _| {
        std::thread::sleep(Duration::from_millis(1_500));
        (404, "{}".into())
    });
    let (grpc_address, shutdown, thread) = start_server(&[slow]);
    create_runtime().block_on(async {
        let mut client = connect(grpc_address).await;
        let mut request = Request::new(GetGraphRequest { graph: "graph-1".into() });
        request.set_timeout(Duration::from_millis(200));
        let started = std::time::Instant::now();
        let error = client.get_graph(request).await.unwrap_err();
        assert!(matches!(error.code(), Code::Cancelled | Code::DeadlineExceeded), "{error}");
        assert!(started.elapsed() < Duration::from_millis(1_200), "{:?}", started.elapsed());
    });
    shutdown.send(true).unwrap();
    thread.join().unwrap();
    let unused_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (grpc_address, shutdown, thread) = start_server(&[unused_address.to_string()]);
    create_runtime().block_on(async {
        let mut client = connect(grpc_address).await;
        let result = client.get_graph(GetGraphRequest { graph: "graph-1".into() }).await;
        assert_eq!(result.unwrap_err().code(), Code::Unavailable);
    });
    shutdown.send(true).unwrap();
    thread.join().unwrap();
}

/// Creates a self-signed certificate and its key, as PEM.
fn create_certificate() -> (String, String) {
    let certified = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]).unwrap();
    (certified.cert.pem(), certified.signing_key.serialize_pem())
}

/// Calls the server over TLS, with `trusted` as its expected certificate and optionally a client certificate.
async fn call_over_tls(
    address: SocketAddr,
    trusted: &str,
    client_identity: Option<&(String, String)>,
) -> Result<u32, String> {
    let mut tls = ClientTlsConfig::new()
        .ca_certificate(Certificate::from_pem(trusted))
        .domain_name("localhost");
    if let Some((cert, key)) = client_identity {
        tls = tls.identity(Identity::from_pem(cert, key));
    }
    let endpoint = Channel::from_shared(format!("https://{address}")).unwrap().tls_config(tls);
    let channel = endpoint.unwrap().connect().await.map_err(|e| e.to_string())?;
    let request = GetGraphRequest { graph: "graph-1".into() };
    let response =
        GraphsClient::new(channel).get_graph(request).await.map_err(|e| e.to_string())?;
    Ok(response.into_inner().nodes)
}

/// Only clients that trust the certificate of the server and present one of the required authority can call it. A
/// replaced certificate is loaded; an invalid replacement is ignored.
#[test]
fn client_certificates_are_required_and_server_certificates_reloaded() {
    let (address, _) = start_controller(|_, _, _| (200, format_view("open", "", false)));
    let directory = tempfile::tempdir().unwrap();
    let [cert, key, ca] = ["cert", "key", "ca"].map(|name| directory.path().join(name));
    let (first, second, client) =
        (create_certificate(), create_certificate(), create_certificate());
    std::fs::write(&cert, &first.0).unwrap();
    std::fs::write(&key, &first.1).unwrap();
    std::fs::write(&ca, &client.0).unwrap();
    let files = TlsFiles { cert: cert.clone(), key: key.clone(), client_ca: Some(ca) };
    let (grpc_address, shutdown, thread) = start_server_with(&[address], Some(files));
    create_runtime().block_on(async {
        assert_eq!(call_over_tls(grpc_address, &first.0, Some(&client)).await, Ok(1));
        assert!(
            call_over_tls(grpc_address, &first.0, None).await.is_err(),
            "a client without a certificate was accepted"
        );
        assert!(
            call_over_tls(grpc_address, &first.0, Some(&second)).await.is_err(),
            "a client certificate of another authority was accepted"
        );
        assert!(
            call_over_tls(grpc_address, &second.0, Some(&client)).await.is_err(),
            "the client accepted an untrusted server certificate"
        );
        let plaintext = GraphsClient::connect(format!("http://{grpc_address}")).await;
        let request = GetGraphRequest { graph: "graph-1".into() };
        let is_served = match plaintext {
            Ok(mut client) => client.get_graph(request).await.is_ok(),
            Err(_) => false,
        };
        assert!(!is_served, "served without TLS");
        std::fs::write(&cert, "not a certificate").unwrap();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(
            call_over_tls(grpc_address, &first.0, Some(&client)).await,
            Ok(1),
            "the previous certificate must stay in use"
        );
        std::fs::write(&cert, &second.0).unwrap();
        std::fs::write(&key, &second.1).unwrap();
        let started = std::time::Instant::now();
        while call_over_tls(grpc_address, &second.0, Some(&client)).await.is_err() {
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "the new certificate is not loaded"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    shutdown.send(true).unwrap();
    thread.join().unwrap();
}

/// Permanent rejections and retryable errors of controllers map to different status codes.
#[test]
fn error_responses_map_to_grpc_statuses() {
    let make_response = |status: u16, text: &str| HttpResponse {
        status,
        body: format!(r#"{{"error":"{text}"}}"#).into_bytes(),
        retry_after_s: None,
    };
    for (status, text, code) in [
        (400, "not JSON", Code::InvalidArgument),
        (403, "wrong key", Code::PermissionDenied),
        (404, "no such session", Code::NotFound),
        (409, "node n is there already", Code::AlreadyExists),
        (409, "the graph is sealed", Code::FailedPrecondition),
        (413, "too many nodes for one addition", Code::OutOfRange),
        (422, "unknown input x", Code::InvalidArgument),
        (429, "too many graphs", Code::ResourceExhausted),
        (503, "no leader can be reached", Code::Unavailable),
        (500, "", Code::Unavailable),
    ] {
        assert_eq!(to_status(&make_response(status, text)).code(), code, "{status} {text}");
    }
}
