//! A server with more clients than connections, like the only controller that is left of a region.

use crossbeam::channel::unbounded;
use oatloom_protocol::reply::HttpReply;
use oatloom_web::server::{self, ReplySender};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const MAX_CONNECTIONS: usize = 40;

/// Starts a server that replies to every request, on a thread that ends with the server.
fn start_server() -> std::net::SocketAddr {
    let (sender, received) = unbounded();
    let decode = |_: &str, path: &str, _: &[u8]| Ok(path.to_owned());
    let deliver = move |incoming| sender.send(incoming).is_ok();
    let replies: ReplySender =
        server::start("127.0.0.1:0", MAX_CONNECTIONS, decode, deliver).unwrap();
    let address = replies.address();
    std::thread::spawn(move || {
        for incoming in received {
            let server::Incoming { caller, request } = incoming;
            replies.send(caller, HttpReply::error(200, &request));
        }
    });
    address
}

fn connect(address: std::net::SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream
}

/// Sends one request. Returns `None` if the connection closed without a response, otherwise whether it stays open.
fn send_request(stream: &mut TcpStream) -> Option<bool> {
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
    let mut text = Vec::new();
    let mut bytes = [0; 1024];
    while !text.ends_with(b"}") {
        match stream.read(&mut bytes) {
            Ok(0) => return None,
            Ok(count) => text.extend_from_slice(&bytes[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
    let text = String::from_utf8(text).unwrap();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    Some(!text.contains("Connection: close"))
}

/// Three times as many workers as connections send requests in turn for several rounds, each on a connection that it
/// keeps open if the server does. All get a response every time, and so does a health probe. Guards against a
/// controller at its connection limit that serves no new client, health probes included.
#[test]
fn every_client_is_served_when_there_are_more_clients_than_connections() {
    let address = start_server();
    let mut workers: Vec<Option<TcpStream>> = (0..3 * MAX_CONNECTIONS).map(|_| None).collect();
    for round in 0..5 {
        for (n, worker) in workers.iter_mut().enumerate() {
            let mut stream = worker.take().unwrap_or_else(|| connect(address));
            let stays_open =
                send_request(&mut stream).unwrap_or_else(|| panic!("round {round}, worker {n}"));
            *worker = stays_open.then_some(stream);
        }
        let open = workers.iter().flatten().count();
        assert!(
            open > MAX_CONNECTIONS / 2 && open < MAX_CONNECTIONS,
            "round {round}: {open} connections stay open"
        );
        assert!(
            send_request(&mut connect(address)).is_some(),
            "round {round}: the probe got no response"
        );
    }
}

/// Idle connections, whose clients are gone or send no request, are evicted for new ones. Until they have been idle
/// long enough, new clients wait instead.
#[test]
fn idle_connections_are_evicted() {
    let address = start_server();
    let idle: Vec<TcpStream> = (0..MAX_CONNECTIONS).map(|_| connect(address)).collect();
    let started = Instant::now();
    let waited = loop {
        assert!(started.elapsed() < Duration::from_secs(20), "no idle connection was evicted");
        if send_request(&mut connect(address)).is_some() {
            break started.elapsed();
        }
        std::thread::sleep(Duration::from_millis(100));
    };
    assert!(waited > Duration::from_millis(1_000), "{waited:?}");
    drop(idle);
}
