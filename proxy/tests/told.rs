//! Whatever calls to discovery failed before: what it has to tell is known 6 s after it could be reached.

mod common;

use common::lag::Lag;
use common::serve::{bound, serve_each};
use common::*;
use flaxhead_discovery::Discovery as Watched;
use flaxhead_engine::{EndpointList, Engine, EngineConfig};
use flaxhead_policy::{Class, Idempotency, Settings};
use flaxhead_proxy::http::Http;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::slice::from_ref;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// The protocol's time, from the moment at which discovery has a change and can be reached.
const TOLD: Duration = Duration::from_secs(6);
/// Pause between two looks.
const TICK: Duration = Duration::from_millis(10);
/// Proxies of each kind that start here, of a fleet of three hundred.
const PROXIES: u32 = 40;

/// How discovery fails whoever asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// It says nothing, and never will on that connection.
    Silent,
    /// It resets the connection once it has been asked.
    Reset,
    /// It refuses with a status.
    Status,
    /// It ends the watch instead of telling.
    Ended,
    /// Half a list, and then the end.
    Torn,
}

/// Discovery that fails all that ask, until it has been mended.
#[derive(Clone)]
struct Failing {
    address: SocketAddr,
    mended: Rc<Cell<bool>>,
    asks: Rc<Cell<u32>>,
    text: Rc<RefCell<String>>,
}

impl Failing {
    async fn start(failure: Failure) -> Failing {
        let (listener, address) = bound().await;
        let failing = Failing { address, mended: Rc::default(), asks: Rc::default(), text: Rc::default() };
        let serving = failing.clone();
        serve_each(listener, move |stream| serving.clone().serve(stream, failure));
        failing
    }

    async fn serve(self, stream: TcpStream, failure: Failure) {
        let mut reader = Reader::new(stream);
        if reader.message().await.is_none() {
            return;
        }
        self.asks.set(self.asks.get() + 1);
        let list = chunk(&self.text.borrow());
        let text = match failure {
            _ if self.mended.get() => format!("{WATCH}{list}"),
            Failure::Reset => {
                let _ = reader.stream.set_zero_linger();
                return;
            }
            Failure::Status => "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(),
            Failure::Ended => format!("{WATCH}0\r\n\r\n"),
            Failure::Torn => format!("{WATCH}{}", &list[..list.len() / 2]),
            Failure::Silent => String::new(),
        };
        let waits = text.is_empty() || self.mended.get();
        if reader.stream.write_all(text.as_bytes()).await.is_ok() && waits {
            // Until the asker gives up.
            let _ = reader.stream.read(&mut [0; 8]).await;
        }
    }
}

fn engine(balancer_index: u32, watched: Watched, subscribe: bool, old: &EndpointList) -> Engine<Http> {
    let class = Class {
        objective: 100_000,
        deadline: 2_000_000,
        priority_weight: 1.0,
        late_ratio: 0.5,
        idempotency: Idempotency::Idempotent,
    };
    let settings = Settings {
        classes: vec![class],
        balancer_count: 300,
        balancer_index,
        subscribe,
        ..Settings::default()
    };
    let setup = EngineConfig { seed: balancer_index.into(), settings, cached_list: Some(old.clone()) };
    let transport = Http::new(8, Duration::from_secs(1), Duration::from_secs(60));
    Engine::start(setup, transport, Rc::new(watched), Vec::new(), None)
}

/// Proxies whose calls fail in one way; then discovery can be reached, and has a drain to tell.
async fn told_after(failure: Failure, ask: bool) {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let old = list(41, true, &[entry("old", nowhere, "Ready")]);
    let old: EndpointList = serde_json::from_str(&old).expect("a list");
    let discovery = Failing::start(failure).await;
    *discovery.text.borrow_mut() = list(42, true, &[entry("new", nowhere, "Ready")]);
    let watched = if ask { Watched::shared } else { Watched::local_agent };
    let engines: Vec<_> =
        (0..PROXIES).map(|me| engine(me, watched(discovery.address, me.into()), ask, &old)).collect();
    // Those which ask in turns have failed more than once by then, and back off.
    let asks = discovery.asks.clone();
    eventually("calls failed", || asks.get() >= 2 * PROXIES).await;
    discovery.mended.set(true);
    let reached = Instant::now();
    let knows = |engine: &Engine<Http>| engine.view(|view| view.hosts().any(|host| host.name == "new"));
    let lag = Lag::watch();
    while !engines.iter().all(knows) {
        sleep(TICK).await;
        let late = engines.iter().filter(|engine| !knows(engine)).count();
        let (elapsed, lag) = (reached.elapsed(), lag.most());
        let in_time = elapsed <= TOLD + 2 * lag;
        assert!(in_time, "{failure:?}, asked {ask}: {late} have not been told, at a lag of {lag:?}");
    }
    println!("{failure:?}, asked {ask}: all told after {:?}", reached.elapsed());
}

#[test]
fn a_change_is_known_in_time_whatever_calls_failed() {
    run(async {
        let failures = [Failure::Silent, Failure::Reset, Failure::Status, Failure::Ended, Failure::Torn];
        let tests: Vec<_> = failures
            .into_iter()
            .flat_map(|failure| [(failure, true), (failure, false)])
            .map(|(failure, ask)| spawn_local(told_after(failure, ask)))
            .collect();
        for test in tests {
            test.await.expect("told in time");
        }
    });
}

/// SIGHUP moves discovery while a call to the old address waits, or between two that failed: the new one is asked at once,
/// from the version in hand, and the old one no more.
#[test]
fn a_move_of_discovery_is_followed_at_once_whatever_its_watch_is_at() {
    run(async {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let old = list(41, true, &[entry("old", nowhere, "Ready")]);
        let old: EndpointList = serde_json::from_str(&old).expect("a list");
        for failure in [Failure::Silent, Failure::Reset, Failure::Torn] {
            for ask in [true, false] {
                let watched = if ask { Watched::shared } else { Watched::local_agent };
                let (before, after) = (Failing::start(failure).await, Failing::start(failure).await);
                *after.text.borrow_mut() = list(42, true, &[entry("new", nowhere, "Ready")]);
                after.mended.set(true);
                let engine = engine(0, watched(before.address, 7), ask, &old);
                eventually("the old one is asked", || before.asks.get() >= 1).await;
                engine.set_list_source(Rc::new(watched(after.address, 7)));
                let knows = || engine.view(|view| view.hosts().any(|host| host.name == "new"));
                eventually("the new one is heard", knows).await;
                assert_eq!(after.asks.get(), 1);
            }
        }
    });
}

/// A process that is moved by SIGHUP while discovery fails, old and new: once the new one can be reached, a whole list
/// that leaves a draining host out is followed in time, and that host gets nothing more, though it still answers.
#[test]
fn a_host_that_a_whole_list_leaves_out_after_a_reload_gets_nothing_more() {
    run(async {
        for failure in [Failure::Silent, Failure::Reset, Failure::Ended] {
            let (drained, other) = (Host::start([ok("drained")]).await, Host::start([ok("other")]).await);
            let (before, after) = (Failing::start(failure).await, Failing::start(failure).await);
            *after.text.borrow_mut() = list(50, true, &[entry("s-9", other.address, "Ready")]);
            let address = free_address();
            let config = |discovery: &Failing| {
                configuration(discovery.address, from_ref(&drained), |config| {
                    config["listen"] = address.to_string().into();
                    config["settings"]["discovery"] = "push".into();
                })
            };
            let (mut command, path) = program(&config(&before), &format!("reload-{failure:?}.json"));
            let child = Running::start(&mut command);
            let mut client = connect(address).await;
            assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"drained");
            eventually("the first fails", || before.asks.get() >= 1).await;
            std::fs::write(path, config(&after)).expect("written");
            tell(&child, "-HUP");
            eventually("the second fails", || after.asks.get() >= 1).await;
            after.mended.set(true);
            let reached = Instant::now();
            let lag = Lag::watch();
            while client.ask(&request("unsafe", "", "")).await.body != b"other" {
                sleep(TICK).await;
                let (elapsed, lag) = (reached.elapsed(), lag.most());
                assert!(elapsed <= TOLD + 2 * lag, "{failure:?}: not known, at a lag of {lag:?}");
            }
            let sent = drained.count();
            for _ in 0..30 {
                assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"other", "{failure:?}");
            }
            assert_eq!(drained.count(), sent, "{failure:?}: sent to a host that is off the list");
        }
    });
}
