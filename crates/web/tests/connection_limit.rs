//! More visitors than connections: a controller that alone is left, at half as many machines again.

use crossbeam::channel::unbounded;
use oatloom_protocol::reply::HttpReply;
use oatloom_web::server::{self, Answers};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const MOST: usize = 40;

/// A server that answers everything, on a thread that ends with the server.
fn serve() -> std::net::SocketAddr {
    let (requests, asked) = unbounded();
    let read = |_: &str, path: &str, _: &[u8]| Ok(path.to_owned());
    let deliver = move |incoming| requests.send(incoming).is_ok();
    let answers: Answers = server::start("127.0.0.1:0", MOST, read, deliver).unwrap();
    let address = answers.address();
    std::thread::spawn(move || {
        for incoming in asked {
            let server::Incoming { caller, request } = incoming;
            answers.send(caller, HttpReply::error(200, &request));
        }
    });
    address
}

fn connect(address: std::net::SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream
}

/// Asks once; `None`: closed without an answer. Else whether the connection goes on.
fn ask(stream: &mut TcpStream) -> Option<bool> {
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

/// Three times as many workers as connections, each of which would keep its own, report in turn for several rounds: all
/// are answered every time, and so is a probe. Guards against a controller at whose limit of connections nobody new was
/// answered, health probes included.
#[test]
fn all_are_answered_with_too_few_connections_for_all() {
    let address = serve();
    let mut workers: Vec<Option<TcpStream>> = (0..3 * MOST).map(|_| None).collect();
    for round in 0..5 {
        for (n, worker) in workers.iter_mut().enumerate() {
            let mut stream = worker.take().unwrap_or_else(|| connect(address));
            let kept = ask(&mut stream).unwrap_or_else(|| panic!("round {round}, worker {n}"));
            *worker = kept.then_some(stream);
        }
        let open = workers.iter().flatten().count();
        assert!(open > MOST / 2 && open < MOST, "round {round}: {open} stay open");
        assert!(ask(&mut connect(address)).is_some(), "round {round}: a probe is not answered");
    }
}

/// Connections that lie idle, of visitors that are gone or never ask, give way; before, newcomers are turned away rather
/// than one that was served just now.
#[test]
fn idle_connections_give_way() {
    let address = serve();
    let idle: Vec<TcpStream> = (0..MOST).map(|_| connect(address)).collect();
    let begun = Instant::now();
    let served = loop {
        assert!(begun.elapsed() < Duration::from_secs(20), "nobody gave way");
        if ask(&mut connect(address)).is_some() {
            break begun.elapsed();
        }
        std::thread::sleep(Duration::from_millis(100));
    };
    assert!(served > Duration::from_millis(1_000), "{served:?}");
    drop(idle);
}
