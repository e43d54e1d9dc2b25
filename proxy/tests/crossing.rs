//! Bytes and closes that cross a request on a connection to a host: what had arrived before the first byte is written
//! belongs to no answer of that request.

mod common;

use common::*;
use flaxhead_engine::{AttemptTarget, Transport, WriteMeter};
use flaxhead_policy::{Outcome, ServerId};
use flaxhead_proxy::http::{Forward, Http};
use hyper::body::Bytes;
use hyper::{HeaderMap, Method, Uri};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_blocking;
use tokio::time::{timeout, Instant};

/// Longer than an exchange takes here.
const PATIENCE: Duration = Duration::from_secs(10);
const FIRST: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
const SECOND: &str = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
const STRAY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";

/// Reads one request without a body, whole.
fn take(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        assert_eq!(stream.read(&mut byte).expect("readable"), 1, "it ended");
        bytes.push(byte[0]);
    }
}

fn forward() -> Rc<Forward> {
    let (target, headers, body) = (Uri::from_static("/api"), HeaderMap::new(), Bytes::new());
    Rc::new(Forward { method: Method::GET, target, headers, body, client: Rc::new(()) })
}

/// A connection that has had one answer and rests; then something comes on it, and before the proxy's event queue has
/// told of it the next request goes out.
async fn crossed(meanwhile: impl FnOnce(&mut TcpStream)) -> (Outcome, Option<Bytes>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let http = Http::new(8, Duration::from_secs(5), Duration::from_secs(60));
    let server = ServerId(1);
    http.set_endpoint(server, Some(address), false);
    let target = AttemptTarget {
        server,
        address,
        non_idempotent: true,
        deadline: Instant::now() + Duration::from_secs(30),
    };
    let accepts = listener.try_clone().expect("a listener");
    let answering = spawn_blocking(move || {
        let (mut stream, _) = accepts.accept().expect("a connection");
        take(&mut stream);
        stream.write_all(FIRST.as_bytes()).expect("written");
        stream
    });
    let first = http.send(target, &forward(), &WriteMeter::default()).await;
    assert_eq!(first.outcome, Outcome::Served);
    let mut kept = answering.await.expect("no panic");
    let fresh = spawn_blocking(move || {
        let (mut stream, _) = listener.accept().expect("another connection");
        take(&mut stream);
        stream.write_all(SECOND.as_bytes()).expect("written");
        stream
    });
    // From here to the request's first byte nothing waits: the event queue is not looked at.
    meanwhile(&mut kept);
    let second = timeout(PATIENCE, http.send(target, &forward(), &WriteMeter::default())).await;
    // Lets the thread go, should it still wait for a connection.
    drop(TcpStream::connect(address).map(|mut stream| stream.write_all(b"GET / HTTP/1.1\r\n\r\n")));
    let _connection = fresh.await;
    let second = second.expect("an end");
    (second.outcome, second.response.map(hyper::Response::into_body))
}

fn served_anew() -> (Outcome, Option<Bytes>) {
    (Outcome::Served, Some(Bytes::from_static(b"second")))
}

#[test]
fn an_answer_that_came_before_its_request_is_not_taken_for_its_answer() {
    run(async {
        let end = crossed(|host| host.write_all(STRAY.as_bytes()).expect("written")).await;
        assert_eq!(end, served_anew());
    });
}

#[test]
fn half_a_line_that_came_before_a_request_does_not_spoil_its_answer() {
    run(async {
        let end = crossed(|host| host.write_all(b"HTTP/1.").expect("written")).await;
        assert_eq!(end, served_anew());
    });
}

#[test]
fn a_close_that_came_before_a_request_costs_it_nothing() {
    run(async {
        let end = crossed(|host| host.shutdown(Shutdown::Both).expect("shut")).await;
        assert_eq!(end, served_anew());
    });
}
