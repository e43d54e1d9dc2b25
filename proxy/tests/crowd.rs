//! Idle clients that fill the program's descriptors, while discovery is down: whoever asks is served in its time, what a
//! host is told is what its client has left, and nothing spins.

mod common;

use common::serve::{answer_each, bound, serve_each};
use common::usage::{descriptors, processor_ticks};
use common::*;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs;
use std::future::ready;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

/// Descriptors that the program may have, by its configuration and by the system.
const SOCKETS: usize = 128;
/// Clients that connect and say nothing, several times as many.
const IDLE: usize = 500;
/// Times of requests, as [`request`] has them, in milliseconds.
const BUDGET: u128 = 8_000;
/// By how much the time that a host is told may pass what is left to the client: half of the second that places were
/// kept for before, and more than a busy machine needs to give up a tableful of them.
const SLACK: u128 = 500;

/// What a host saw of a request: when, and how much time it was told.
type Seen = Rc<RefCell<BTreeMap<String, (Instant, u128)>>>;

/// A host that notes when requests come, and answers at once.
async fn noting() -> (SocketAddr, Seen) {
    let (listener, address) = bound().await;
    let seen = Seen::default();
    let noted = seen.clone();
    answer_each(listener, move |message| {
        let header = |name| message.header(name).expect("a header").to_owned();
        let told = header("x-budget-ms").parse().expect("a number");
        noted.borrow_mut().insert(header("x-call-id"), (Instant::now(), told));
        ready(())
    });
    (address, seen)
}

/// Discovery at this address, which says the same to each call: one that came as the machine stood still may have been
/// given up for the next before it was answered. How many calls came is counted.
async fn discovery_says(address: SocketAddr, list: String) -> Rc<Cell<usize>> {
    let listener = TcpListener::bind(address).await.expect("the address is free");
    let asks = Rc::new(Cell::new(0));
    let counted = asks.clone();
    serve_each(listener, move |stream| {
        counted.set(counted.get() + 1);
        let answer = format!("{WATCH}{}", chunk(&list));
        async move {
            let mut reader = Reader::new(stream);
            if reader.message().await.is_some() && reader.stream.write_all(answer.as_bytes()).await.is_ok() {
                // Until the proxy closes it.
                let _ = reader.stream.read(&mut [0]).await;
            }
        }
    });
    asks
}

fn named(id: &str) -> String {
    request("unsafe", "", "").replace("9b1f03aa5c7e2d41", id)
}

#[test]
fn idle_clients_that_fill_the_descriptors_keep_neither_requests_nor_discovery_out() {
    run(async {
        let (host, seen) = noting().await;
        let (address, discovery) = (free_address(), free_address());
        let known = Host { address: host, ..Host::start([ok("")]).await };
        let config = configuration(discovery, &[known], |config| {
            config["listen"] = address.to_string().into();
            config["settings"]["discovery"] = "push".into();
            config["limits"]["sockets"] = SOCKETS.into();
        });
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("crowd.json");
        fs::write(&path, config).expect("written");
        let limited = format!("ulimit -n {SOCKETS} && exec {}", env!("CARGO_BIN_EXE_flaxhead"));
        let mut command = Command::new("sh");
        command.args(["-c", &limited]).env("ROUTER_CONFIG", &path);
        let mut child = Running::start(command.stdout(Stdio::null()).stderr(Stdio::null()));
        drop(connect(address).await);
        // They come faster than places are given up, and stand in front of those that have something to say.
        let mut idle = Vec::new();
        for _ in 0..IDLE {
            idle.push(TcpStream::connect(address).await.expect("connected"));
        }
        let mut sent = BTreeMap::new();
        for number in 0..20 {
            let id = format!("{number:016}");
            // So many that each place is taken by one that has only just come, and some stand before the request.
            for _ in 0..SOCKETS / 2 {
                idle.push(TcpStream::connect(address).await.expect("connected"));
            }
            let mut client = connect(address).await;
            client.send(&named(&id)).await;
            sent.insert(id, Instant::now());
            // Some leave at once.
            if number % 4 == 3 {
                continue;
            }
            assert_eq!(client.message().await.expect("an answer").status(), 200, "request {number}");
        }
        for (id, &(at, told)) in seen.borrow().iter() {
            let waited = (at - sent[id]).as_millis();
            assert!(told + waited <= BUDGET + SLACK, "told {told} ms after {waited} ms");
        }
        // The crowd stays; discovery comes back, and names another host alone.
        assert!(descriptors(&child) <= SOCKETS);
        let (other, others) = noting().await;
        let whole = list(50, true, &[entry("s-9", other, "Ready")]);
        let asks = discovery_says(discovery, whole).await;
        let mut rounds = 0;
        while others.borrow().is_empty() {
            rounds += 1;
            let mut client = connect(address).await;
            client.send(&named(&format!("{:016}", 1_000 + rounds))).await;
            assert_eq!(client.message().await.expect("an answer").status(), 200);
        }
        println!("told after {} calls to discovery", asks.get());
        // Nobody comes and nobody goes: nothing is to be done.
        let before = processor_ticks(&child);
        sleep(Duration::from_secs(2)).await;
        let ticks = processor_ticks(&child) - before;
        assert!(ticks <= 40, "{ticks} hundredths of a second of processor time in two idle seconds");
        assert!(child.try_wait().expect("it can be waited for").is_none(), "it has ended");
        drop(idle);
    });
}
