//! Calls over gRPC against a stand-in controller: what they become, what answers mean, streams that end and are bounded.

use oatloom_client::Controllers;
use oatloom_graphd::server::serve;
use oatloom_graphd::service::status_of;
use oatloom_graphd::tls::Files;
use oatloom_graphd::wire::graphs_client::GraphsClient;
use oatloom_graphd::wire::{
    AddNodesRequest, GetGraphRequest, Kind, NewNode, OpenSessionRequest, WatchGraphRequest,
};
use oatloom_web::client::Answer;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Identity};
use tonic::{Code, Request};

type Seen = Arc<Mutex<Vec<String>>>;

/// A controller that answers what `says` makes of method, path, body and of how often the path was asked.
fn controller(
    says: impl Fn(&str, &str, usize) -> (u16, String) + Send + 'static,
) -> (String, Seen) {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_string();
    let seen: Seen = Arc::default();
    let noted = seen.clone();
    std::thread::spawn(move || {
        for mut request in server.incoming_requests() {
            let mut body = String::new();
            request.as_reader().read_to_string(&mut body).unwrap();
            let path = request.url().to_owned();
            let times = {
                let mut noted = noted.lock().unwrap();
                noted.push(path.clone());
                noted.iter().filter(|known| **known == path).count()
            };
            let (status, text) = says(&path, &body, times);
            let later = tiny_http::Header::from_bytes("Retry-After", "3").unwrap();
            let answer = tiny_http::Response::from_string(text).with_status_code(status);
            let _ = request.respond(answer.with_header(later));
        }
    });
    (address, seen)
}

/// Where the server is, what ends it, and its thread.
type Started = (SocketAddr, watch::Sender<bool>, std::thread::JoinHandle<()>);

/// The server in front of these controllers.
fn start(controllers: &[String]) -> Started {
    start_with(controllers, None)
}

fn start_with(controllers: &[String], files: Option<Files>) -> Started {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let controllers = Controllers::new(controllers);
    let (end, ended) = watch::channel(false);
    let thread = std::thread::spawn(move || serve(listener, &controllers, files, ended).unwrap());
    (address, end, thread)
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

async fn connect(address: SocketAddr) -> GraphsClient<Channel> {
    GraphsClient::connect(format!("http://{address}")).await.unwrap()
}

fn view(status: &str, next: &str, more: bool) -> String {
    format!(
        r#"{{"graph":"graph-1","status":"{status}","nodes":1,"waiting":0,"started":0,"done":1,"failed":0,
        "cancelled":0,"skipped":0,"next":"{next}","more":{more},"changed":[{{"name":"n","status":"done"}}]}}"#
    )
}

#[test]
fn calls_become_requests_and_answers_statuses() {
    let (address, seen) = controller(|path, body, times| match path {
        "/v2/sessions" if body.contains("secret-1") => {
            (201, r#"{"session":"s","status":"open","ttlS":20.0}"#.into())
        }
        "/v2/sessions" => (400, r#"{"error":"key must be longer"}"#.into()),
        "/v2/graphs/graph-1/nodes" if times == 1 => (429, r#"{"error":"too many nodes"}"#.into()),
        "/v2/graphs/graph-1/nodes" if body.contains(r#""max_retries":2"#) => {
            (200, view("open", "", false))
        }
        _ => (404, r#"{"error":"no such graph"}"#.into()),
    });
    let (grpc, end, thread) = start(&[address]);
    runtime().block_on(async {
        let mut client = connect(grpc).await;
        let open = |key: &str| OpenSessionRequest {
            session: "s".into(),
            key: key.into(),
            owner: "red".into(),
            ttl_s: 20.0,
        };
        let session = client.open_session(open("secret-1")).await.unwrap().into_inner();
        assert_eq!((session.status.as_str(), session.ttl_s), ("open", 20.0));
        assert_eq!(client.open_session(open("x")).await.unwrap_err().code(), Code::InvalidArgument);
        let kind = Kind { num_cpus: 1.0, max_retries: Some(2), ..Kind::default() };
        let add = AddNodesRequest {
            graph: "graph-1".into(),
            key: "secret-1".into(),
            addition: "a".into(),
            kinds: [("k".to_owned(), kind)].into(),
            nodes: vec![NewNode { name: "n".into(), kind: "k".into(), ..NewNode::default() }],
            seal: true,
        };
        let busy = client.add_nodes(add.clone()).await.unwrap_err();
        assert_eq!(busy.code(), Code::ResourceExhausted);
        assert_eq!(busy.metadata().get("retry-after").unwrap(), "3");
        assert_eq!(client.add_nodes(add).await.unwrap().into_inner().status, "open");
        let get = |graph: &str| GetGraphRequest { graph: graph.into() };
        assert_eq!(client.get_graph(get("graph-2")).await.unwrap_err().code(), Code::NotFound);
        assert_eq!(client.get_graph(get("7")).await.unwrap_err().code(), Code::InvalidArgument);
    });
    assert!(seen.lock().unwrap().iter().all(|path| !path.contains("graphs/7")));
    end.send(true).unwrap();
    thread.join().unwrap();
}

/// A stream goes on from a position, hears of nothing twice while one leader leads, outlasts refusals, and ends.
#[test]
fn a_stream_is_resumed_and_ends_with_the_graph() {
    let (address, _) = controller(|path, _, times| match path {
        "/v2/graphs/graph-1?after=1.5" if times < 2 => (503, "{}".into()),
        "/v2/graphs/graph-1?after=1.5" => (200, view("open", "1.6", true)),
        "/v2/graphs/graph-1?after=1.6" => (200, view("done", "over.00000", false)),
        _ => (404, r#"{"error":"no such graph"}"#.into()),
    });
    let (grpc, end, thread) = start(&[address]);
    runtime().block_on(async {
        let mut client = connect(grpc).await;
        let watch =
            |after: &str| WatchGraphRequest { graph: "graph-1".into(), after: after.into() };
        let mut stream = client.watch_graph(watch("1.5")).await.unwrap().into_inner();
        let mut heard = Vec::new();
        while let Some(graph) = stream.message().await.unwrap() {
            heard.push((graph.status, graph.next));
        }
        assert_eq!(
            heard,
            [("open".into(), "1.6".into()), ("done".into(), "over.00000".to_owned())]
        );
        let mut wrong = client.watch_graph(watch("9")).await.unwrap().into_inner();
        assert_eq!(wrong.message().await.unwrap_err().code(), Code::NotFound);
    });
    end.send(true).unwrap();
    thread.join().unwrap();
}

/// A call ends at its caller's deadline, whatever controllers do; one whose controllers are gone says so.
#[test]
fn deadlines_and_absent_controllers_are_told() {
    let (slow, _) = controller(|_, _, _| {
        std::thread::sleep(Duration::from_millis(1_500));
        (404, "{}".into())
    });
    let (grpc, end, thread) = start(&[slow]);
    runtime().block_on(async {
        let mut client = connect(grpc).await;
        let mut request = Request::new(GetGraphRequest { graph: "graph-1".into() });
        request.set_timeout(Duration::from_millis(200));
        let began = std::time::Instant::now();
        let late = client.get_graph(request).await.unwrap_err();
        assert!(matches!(late.code(), Code::Cancelled | Code::DeadlineExceeded), "{late}");
        assert!(began.elapsed() < Duration::from_millis(1_200), "{:?}", began.elapsed());
    });
    end.send(true).unwrap();
    thread.join().unwrap();
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (grpc, end, thread) = start(&[gone.to_string()]);
    runtime().block_on(async {
        let mut client = connect(grpc).await;
        let asked = client.get_graph(GetGraphRequest { graph: "graph-1".into() }).await;
        assert_eq!(asked.unwrap_err().code(), Code::Unavailable);
    });
    end.send(true).unwrap();
    thread.join().unwrap();
}

/// A certificate of its own authority and its key, as PEM.
fn certificate() -> (String, String) {
    let made = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]).unwrap();
    (made.cert.pem(), made.signing_key.serialize_pem())
}

async fn secure(
    address: SocketAddr,
    trusts: &str,
    shows: Option<&(String, String)>,
) -> Result<u32, String> {
    let mut tls = ClientTlsConfig::new()
        .ca_certificate(Certificate::from_pem(trusts))
        .domain_name("localhost");
    if let Some((cert, key)) = shows {
        tls = tls.identity(Identity::from_pem(cert, key));
    }
    let endpoint = Channel::from_shared(format!("https://{address}")).unwrap().tls_config(tls);
    let channel = endpoint.unwrap().connect().await.map_err(|e| e.to_string())?;
    let get = GetGraphRequest { graph: "graph-1".into() };
    let answer = GraphsClient::new(channel).get_graph(get).await.map_err(|e| e.to_string())?;
    Ok(answer.into_inner().nodes)
}

/// Over TLS only those who trust the server's certificate get through, and, where that is asked, those with one of the
/// right authority. A certificate that is replaced is taken up; what replaces it badly is not.
#[test]
fn certificates_are_asked_for_and_renewed() {
    let (address, _) = controller(|_, _, _| (200, view("open", "", false)));
    let folder = tempfile::tempdir().unwrap();
    let [cert, key, ca] = ["cert", "key", "ca"].map(|name| folder.path().join(name));
    let (first, second, client) = (certificate(), certificate(), certificate());
    std::fs::write(&cert, &first.0).unwrap();
    std::fs::write(&key, &first.1).unwrap();
    std::fs::write(&ca, &client.0).unwrap();
    let files = Files { cert: cert.clone(), key: key.clone(), client_ca: Some(ca) };
    let (grpc, end, thread) = start_with(&[address], Some(files));
    runtime().block_on(async {
        assert_eq!(secure(grpc, &first.0, Some(&client)).await, Ok(1));
        assert!(secure(grpc, &first.0, None).await.is_err(), "no certificate was shown");
        assert!(secure(grpc, &first.0, Some(&second)).await.is_err(), "a stranger's was shown");
        assert!(
            secure(grpc, &second.0, Some(&client)).await.is_err(),
            "the server's is not trusted"
        );
        let plain = GraphsClient::connect(format!("http://{grpc}")).await;
        let get = GetGraphRequest { graph: "graph-1".into() };
        let answered = match plain {
            Ok(mut client) => client.get_graph(get).await.is_ok(),
            Err(_) => false,
        };
        assert!(!answered, "without TLS");
        std::fs::write(&cert, "not a certificate").unwrap();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(secure(grpc, &first.0, Some(&client)).await, Ok(1), "the last good one stays");
        std::fs::write(&cert, &second.0).unwrap();
        std::fs::write(&key, &second.1).unwrap();
        let began = std::time::Instant::now();
        while secure(grpc, &second.0, Some(&client)).await.is_err() {
            assert!(began.elapsed() < Duration::from_secs(20), "the new one is not taken up");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    end.send(true).unwrap();
    thread.join().unwrap();
}

/// What controllers refuse for good is told apart from what may be asked again.
#[test]
fn statuses_are_those_that_users_expect() {
    let answer = |status: u16, text: &str| Answer {
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
        assert_eq!(status_of(&answer(status, text)).code(), code, "{status} {text}");
    }
}
