//! Planned restarts of several processes whose clients go on sending to the end: each request that arrives is answered, or
//! its connection is closed between requests, and none is lost.

mod common;

use common::serve::{answer_each, bound};
use common::*;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, Instant};

const PROCESSES: usize = 3;
const CLIENTS: usize = 24;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fate {
    Answered(u16),
    /// Its connection was closed, and no host saw it.
    Closed,
    /// A host had it, and its client never heard.
    Lost,
}

/// Requests by their ids, as clients and hosts saw them.
#[derive(Clone, Default)]
struct Books {
    next: Rc<Cell<u64>>,
    sent: Rc<RefCell<BTreeMap<String, Option<u16>>>>,
    at_host: Rc<RefCell<Vec<String>>>,
    /// Requests that were sent after the order to stop.
    late: Rc<Cell<usize>>,
}

impl Books {
    fn fates(&self) -> BTreeMap<Fate, usize> {
        let mut fates = BTreeMap::new();
        for (id, status) in self.sent.borrow().iter() {
            let fate = match status {
                Some(status) => Fate::Answered(*status),
                None if self.at_host.borrow().contains(id) => Fate::Lost,
                None => Fate::Closed,
            };
            *fates.entry(fate).or_default() += 1;
        }
        fates
    }

    /// A host that answers after 1 to 300 ms.
    async fn host(&self) -> Host {
        let (listener, address) = bound().await;
        let host = Host { address, ..Host::start([ok("")]).await };
        let books = self.clone();
        answer_each(listener, move |message| {
            let id = message.header("x-call-id").expect("an id").to_owned();
            let number: usize = id.parse().expect("a number");
            books.at_host.borrow_mut().push(id);
            sleep(Duration::from_millis([1, 5, 20, 300][number % 4]))
        });
        host
    }

    /// A client that sends one request after the other for as long as its connection stays open. In halves, some.
    async fn send_on(self, address: SocketAddr, stopped: watch::Receiver<bool>) -> io::Result<()> {
        let mut client = Reader::new(TcpStream::connect(address).await?);
        loop {
            // A close that came between two requests has been seen by now.
            match client.stream.try_read(&mut [0]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                _ => return Ok(()),
            }
            let number = self.next.replace(self.next.get() + 1);
            let text =
                request("unsafe", "", "0123456789").replace("9b1f03aa5c7e2d41", &format!("{number:016}"));
            let (first, second) =
                text.split_at(if number.is_multiple_of(5) { text.len() - 5 } else { text.len() });
            client.stream.write_all(first.as_bytes()).await?;
            if !second.is_empty() {
                sleep(Duration::from_millis(30)).await;
                client.stream.write_all(second.as_bytes()).await?;
            }
            self.sent.borrow_mut().insert(format!("{number:016}"), None);
            self.late.set(self.late.get() + usize::from(*stopped.borrow()));
            let Some(answer) = client.message().await else { return Ok(()) };
            self.sent.borrow_mut().insert(format!("{number:016}"), Some(answer.status()));
            // At every moment of the stop some have just been answered, some are about to send.
            sleep(Duration::from_millis(number % 11)).await;
        }
    }
}

#[test]
fn clients_that_go_on_sending_through_the_stop_of_several_processes_lose_nothing() {
    run(async {
        let (books, discovery) = (Books::default(), Discovery::quiet().await);
        let hosts = [books.host().await, books.host().await, books.host().await];
        let (stop, stopped) = watch::channel(false);
        let mut running = Vec::new();
        for process in 0..PROCESSES {
            let address = free_address();
            let config = configuration_at(address, discovery.address, &hosts);
            let child = Running::start(&mut program(&config, &format!("stop-{process}.json")).0);
            drop(connect(address).await);
            running.push((address, child));
        }
        let start = |address| spawn_local(books.clone().send_on(address, stopped.clone()));
        let mut clients: Vec<JoinHandle<_>> =
            running.iter().flat_map(|(address, _)| vec![*address; CLIENTS]).map(start).collect();
        eventually("all are served", || books.at_host.borrow().len() > 20 * PROCESSES * CLIENTS).await;
        for (_, child) in &running {
            tell(child, "-TERM");
        }
        stop.send_replace(true);
        // New connections come for up to 0.4 s, and go on sending on theirs.
        let told = Instant::now();
        while told.elapsed() < Duration::from_millis(400) {
            clients.extend(running.iter().map(|(address, _)| start(*address)));
            sleep(Duration::from_millis(20)).await;
        }
        for (_, child) in &mut running {
            assert_eq!(exit_code(child).await, Some(0));
        }
        for client in clients {
            // A reset under a request that nobody has read is a close between requests as well.
            let _ = client.await.expect("no panic");
        }
        let fates = books.fates();
        println!("{} sent after the order to stop; all: {fates:?}", books.late.get());
        assert!(books.late.get() > 100, "nothing was sent while they stopped");
        assert!(!fates.contains_key(&Fate::Lost), "{fates:?}");
        assert!(fates.keys().all(|fate| matches!(fate, Fate::Answered(200) | Fate::Closed)), "{fates:?}");
        let closed = fates.get(&Fate::Closed).copied().unwrap_or(0);
        assert!(closed <= PROCESSES * CLIENTS / 4, "{fates:?}");
        let (sent, seen) = (books.sent.borrow().len(), books.at_host.borrow().len());
        assert!(seen <= sent, "{seen} ran of {sent}");
    });
}

/// A request whose client would wait for longer than the process may live is answered before it ends.
#[test]
fn a_request_that_outlasts_the_stop_is_answered() {
    run(async {
        let host = Host::start([Act::Stall]).await;
        let discovery = Discovery::quiet().await;
        let address = free_address();
        let config = configuration_at(address, discovery.address, std::slice::from_ref(&host));
        let mut child = Running::start(&mut program(&config, "outlasts.json").0);
        let mut clients = Vec::new();
        for class in ["unsafe", "keyed", "free"] {
            let mut client = connect(address).await;
            client.send(&request(class, "Idempotency-Key: 5c0f\r\n", "")).await;
            clients.push(client);
        }
        eventually("the host has them", || host.count() == 3).await;
        tell(&child, "-TERM");
        for client in &mut clients {
            let answer = client.message().await.expect("an answer, and no close without one");
            assert_eq!(answer.status(), 502, "it may have run");
        }
        assert_eq!(exit_code(&mut child).await, Some(0));
    });
}

/// What a client has sent behind its request is not read any more at a stop, and must not take the answer along: a close
/// over unread bytes would reset the connection.
#[test]
fn a_stop_ends_connections_in_order_over_what_was_sent_behind_a_request() {
    run(async {
        let host = Host::start([Act::Stall]).await;
        let mut proxy = Proxy::start(std::slice::from_ref(&host)).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        eventually("the host has it", || host.count() == 1).await;
        drop(proxy.stop.take());
        // Nothing listens any longer: connections between requests are being closed.
        while TcpStream::connect(proxy.address).await.is_ok() {
            sleep(Duration::from_millis(5)).await;
        }
        client.send(&"x".repeat(12 << 10)).await;
        host.release.notify_one();
        assert_eq!(client.message().await.expect("an answer").body, b"released");
        let mut rest = Vec::new();
        let end = tokio::io::AsyncReadExt::read_to_end(&mut client.stream, &mut rest).await;
        assert!(end.is_ok(), "reset: {end:?}");
        assert_eq!(host.count(), 1);
        proxy.task.await.expect("it ends without a panic");
        // Now that all is closed: a reset that followed the end would stand here.
        let reset = client.stream.take_error().expect("asked");
        assert!(reset.is_none(), "{reset:?}");
    });
}
