//! Clients that leave: nothing is begun for them any more, whatever they have sent behind their request.

mod common;

use common::*;
use std::slice::from_ref;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};

/// What a client sends behind its request before it goes.
const TRAILS: [&str; 4] = ["", "\r\n", "POST /api HTTP/1.1\r\nX-Call-Id: 1\r\n", "xxxxxxxxxxxxxxxx"];

/// Longer than a test takes: what ends an attempt is not its time.
fn long(config: &mut serde_json::Value) {
    for class in 0..3 {
        config["settings"]["classes"][class]["objective_us"] = 90_000_000.into();
        config["settings"]["classes"][class]["deadline_us"] = 90_000_000.into();
    }
}

fn patient(class: &str) -> String {
    request(class, "", "").replace("8000", "90000")
}

/// A host that has one request of a client and does not answer it.
async fn open_request() -> (Host, Proxy, Client) {
    let host = Host::start([Act::Stall]).await;
    let proxy = Proxy::with(&Discovery::quiet().await, from_ref(&host), long).await;
    let mut client = proxy.client().await;
    client.send(&patient("unsafe")).await;
    eventually("the host has it", || host.count() == 1).await;
    (host, proxy, client)
}

/// The attempt of a client that closes is called off, also where bytes stand behind its request that nobody reads.
#[test]
fn a_client_that_sent_more_and_closed_ends_its_attempt() {
    run(async {
        for trail in TRAILS {
            let (host, _proxy, mut client) = open_request().await;
            client.send(trail).await;
            drop(client);
            eventually("the attempt's connection closes", || host.open.get() == 0).await;
        }
    });
}

/// The same in pieces, so that the first are read before the next come, and for a whole further request.
#[test]
fn a_client_that_sent_pieces_and_closed_ends_its_attempt() {
    run(async {
        let (host, proxy, mut client) = open_request().await;
        for piece in patient("unsafe").as_bytes().chunks(16) {
            client.send(std::str::from_utf8(piece).expect("text")).await;
            // An answer on another connection: the proxy has had its turn since.
            assert_eq!(proxy.client().await.ask(HEALTH).await.status(), 200);
        }
        drop(client);
        eventually("the attempt's connection closes", || host.open.get() == 0).await;
        assert_eq!(host.count(), 1, "what stood behind it is nobody's");
    });
}

/// A peer that sends without end behind an open request is no client, and keeps neither memory nor a host.
#[test]
fn a_peer_that_sends_without_end_behind_its_request_is_closed() {
    run(async {
        let (host, _proxy, mut client) = open_request().await;
        let much = "x".repeat(1 << 20);
        // It is cut off in the middle.
        let _ = tokio::io::AsyncWriteExt::write_all(&mut client.stream, much.as_bytes()).await;
        eventually("the attempt's connection closes", || host.open.get() == 0).await;
    });
}

/// One that waits in the queue, behind a host that is full, and leaves, is never sent.
#[test]
fn what_waits_in_the_queue_is_not_sent_for_a_client_that_has_left() {
    run(async {
        for trail in TRAILS {
            let host = Host::start([Act::Stall]).await;
            let proxy = Proxy::with(&Discovery::quiet().await, from_ref(&host), long).await;
            // So many that some wait: all that are sent stall.
            let mut clients = Vec::new();
            for number in 0..40 {
                let mut client = proxy.client().await;
                client.send(&patient("unsafe").replace("9b1f03aa5c7e2d41", &format!("{number:016}"))).await;
                client.send(trail).await;
                clients.push(client);
            }
            assert_eq!(proxy.client().await.ask(HEALTH).await.status(), 200);
            let in_hand = || host.count();
            let mut before = 0;
            while in_hand() > before || before == 0 {
                before = in_hand();
                for _ in 0..200 {
                    yield_now().await;
                }
                assert_eq!(proxy.client().await.ask(HEALTH).await.status(), 200);
            }
            assert!(before < 40, "none waits");
            drop(clients);
            eventually("nothing is out", || host.open.get() == 0).await;
            // A client that stays is served: the queue has been looked through.
            *host.acts.borrow_mut() = [ok("served")].into();
            assert_eq!(proxy.client().await.ask(&request("free", "", "")).await.body, b"served");
            assert_eq!(host.count(), before + 1, "something was sent for a client that had left");
        }
    });
}

/// Between two attempts: the first is turned away after its client has left, and there is no second.
#[test]
fn no_further_attempt_begins_for_a_client_that_has_left() {
    run(async {
        for trail in TRAILS {
            let (first, second) =
                (Host::start([Act::StallThen(turned())]).await, Host::start([ok("")]).await);
            let discovery = Discovery::quiet().await;
            let proxy = Proxy::with(&discovery, from_ref(&first), long).await;
            let mut client = proxy.client().await;
            client.send(&patient("free")).await;
            eventually("the host has it", || first.count() == 1).await;
            let hosts = [entry("s-0", first.address, "Ready"), entry("s-1", second.address, "Ready")];
            eventually("a watch", || discovery.asked.borrow().len() == 1).await;
            discovery.push(&chunk(&list(42, false, &hosts))).await;
            client.send(trail).await;
            drop(client);
            // In the same instant: the close has been sent before the answer is.
            first.release.notify_one();
            eventually("the attempt is over", || first.open.get() == 0).await;
            assert_eq!(proxy.client().await.ask(HEALTH).await.status(), 200);
            assert_eq!(second.count(), 0, "{trail:?}: sent on for a client that had left");
        }
    });
}

fn turned() -> String {
    let Act::Say(text) = turn_away() else { unreachable!("it says so") };
    text.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
}

/// The milliseconds that an attempt told its host were left.
fn budget_told(host: &Host, attempt: usize) -> u128 {
    let seen = host.seen.borrow();
    seen[attempt].header("x-budget-ms").and_then(|ms| ms.parse().ok()).expect("a budget")
}

/// A request that stood behind another one has been waited for by its client all that while, and its host is told so.
#[test]
fn what_a_host_is_told_counts_from_when_the_request_came() {
    run(async {
        let host = Host::start([Act::Stall, ok("second")]).await;
        let proxy = Proxy::with(&Discovery::quiet().await, from_ref(&host), long).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        eventually("the host has it", || host.count() == 1).await;
        client.send(&request("unsafe", "", "")).await;
        // An answer on another connection: the proxy has had its turn since, and has read the second request.
        assert_eq!(proxy.client().await.ask(HEALTH).await.status(), 200);
        let read = Instant::now();
        sleep(Duration::from_millis(700)).await;
        let waited = read.elapsed();
        host.release.notify_one();
        assert_eq!(client.message().await.expect("an answer").body, b"released");
        assert_eq!(client.message().await.expect("an answer").body, b"second");
        let second = budget_told(&host, 1);
        assert!(second + waited.as_millis() <= 8_000, "{second} ms after {waited:?}");
    });
}

/// A further attempt tells its host what the first has left of the client's time.
#[test]
fn what_a_further_attempt_tells_is_what_is_left() {
    run(async {
        let (first, second) =
            (Host::start([Act::StallThen(turned())]).await, Host::start([ok("second")]).await);
        let discovery = Discovery::quiet().await;
        let proxy = Proxy::with(&discovery, from_ref(&first), long).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "").replace("8000", "60000")).await;
        eventually("the host has it", || first.count() == 1).await;
        // What the first attempt tells was reckoned before this moment.
        let arrived = Instant::now();
        eventually("the list is watched", || discovery.asked.borrow().len() == 1).await;
        let hosts = [entry("s-0", first.address, "Ready"), entry("s-1", second.address, "Ready")];
        discovery.push(&chunk(&list(42, false, &hosts))).await;
        sleep(Duration::from_millis(600)).await;
        let waited = arrived.elapsed();
        first.release.notify_one();
        assert_eq!(client.message().await.expect("an answer").body, b"second");
        let (at_first, then) = (budget_told(&first, 0), budget_told(&second, 0));
        assert!(at_first <= 60_000, "{at_first} ms");
        assert!(then + waited.as_millis() <= at_first, "{then} ms, {waited:?} after {at_first} ms");
    });
}
