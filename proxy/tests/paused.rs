//! A process that is held up while its clients leave: nothing is begun for them afterwards.

mod common;

use common::serve::{answer_each, bound};
use common::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::ready;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How long the process is held up; a client's close counts after 0.1 s.
const PAUSE: Duration = Duration::from_millis(400);
const CLIENTS: usize = 50;
const ROUNDS: usize = 8;

/// How often hosts have had each id.
type Runs = Rc<RefCell<BTreeMap<String, usize>>>;

async fn counting_host() -> (Host, Runs) {
    let (listener, address) = bound().await;
    let runs = Runs::default();
    let counted = runs.clone();
    answer_each(listener, move |message| {
        let id = message.header("x-call-id").expect("an id").to_owned();
        *counted.borrow_mut().entry(id).or_default() += 1;
        ready(())
    });
    (Host { address, ..Host::start([ok("")]).await }, runs)
}

/// The running program, with hosts that count.
async fn start(name: &str) -> (Running, std::net::SocketAddr, Runs) {
    let (host, runs) = counting_host().await;
    let address = free_address();
    let config = configuration_at(address, Discovery::quiet().await.address, &[host]);
    let child = Running::start(program(&config, name).0.stderr(std::process::Stdio::null()));
    while connect(address).await.ask(HEALTH).await.status() != 200 {
        sleep(Duration::from_millis(5)).await;
    }
    (child, address, runs)
}

fn named(id: &str) -> String {
    request("unsafe", "", "").replace("9b1f03aa5c7e2d41", id)
}

/// Clients ask while the process is held up, send `trail` behind it and leave; each comes again with its id.
async fn clients_leave_and_come_again(name: &str, trail: &str) {
    let (child, address, runs) = start(name).await;
    for round in 0..ROUNDS {
        tell(&child, "-STOP");
        let mut again = Vec::new();
        for number in 0..CLIENTS {
            let id = format!("{round:08}{number:08}");
            let mut leaving = TcpStream::connect(address).await.expect("connected");
            // As much as the system takes: the process reads nothing.
            leaving.write_all(named(&id).as_bytes()).await.expect("written");
            let _ = leaving.try_write(trail.as_bytes());
            drop(leaving);
            let mut client = connect(address).await;
            client.send(&named(&id)).await;
            again.push((id, client));
        }
        sleep(PAUSE).await;
        tell(&child, "-CONT");
        for (id, mut client) in again {
            let status = client.message().await.expect("an answer").status();
            assert!(matches!(status, 200 | 503), "{id}: {status}");
        }
    }
    let twice: Vec<_> =
        runs.borrow().iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id.clone()).collect();
    assert!(twice.is_empty(), "{} of {} ids ran twice: {twice:?}", twice.len(), ROUNDS * CLIENTS);
}

#[test]
fn an_id_that_comes_again_after_its_client_left_a_paused_process_runs_once() {
    run(clients_leave_and_come_again("paused.json", ""));
}

/// So much that the process reads no further than a part of it before the request is sent on.
#[test]
fn an_id_whose_client_left_much_unread_and_came_again_runs_once() {
    let much = named("0000000000000000").repeat(400);
    run(clients_leave_and_come_again("paused-unread.json", &much));
}

/// The requests were read before the process was held up, and wait for their attempts' connections to rest.
#[test]
fn what_was_about_to_be_sent_when_the_process_was_paused_is_not_sent_for_clients_that_left() {
    run(async {
        let (child, address, runs) = start("paused-late.json").await;
        for round in 0..3 * ROUNDS {
            let mut clients = Vec::new();
            for number in 0..CLIENTS {
                let id = format!("{round:08}{number:08}");
                let mut client = connect(address).await;
                client.send(&named(&id)).await;
                clients.push((id, client));
            }
            // At another step of what is under way each time.
            sleep(Duration::from_micros(500 * round as u64)).await;
            tell(&child, "-STOP");
            let sent: Vec<String> = {
                sleep(Duration::from_millis(50)).await;
                runs.borrow().keys().cloned().collect()
            };
            let waiting: Vec<String> =
                clients.iter().map(|(id, _)| id.clone()).filter(|id| !sent.contains(id)).collect();
            drop(clients);
            sleep(PAUSE).await;
            tell(&child, "-CONT");
            assert_eq!(connect(address).await.ask(HEALTH).await.status(), 200);
            sleep(Duration::from_millis(100)).await;
            let runs = runs.borrow();
            let late: Vec<_> = waiting.iter().filter(|id| runs.contains_key(*id)).collect();
            assert!(late.is_empty(), "{} of {} were sent on: {late:?}", late.len(), waiting.len());
        }
    });
}

/// The first attempt has been sent on: the id may have run, and is not sent again.
#[test]
fn an_id_that_was_sent_on_before_its_client_left_does_not_run_when_it_comes_again() {
    run(async {
        for class in ["unsafe", "keyed"] {
            let host = Host::start([Act::Stall]).await;
            let proxy = Proxy::start(std::slice::from_ref(&host)).await;
            let text = request(class, "Idempotency-Key: 1\r\n", "");
            let mut leaving = proxy.client().await;
            leaving.send(&text).await;
            eventually("the host has it", || host.count() == 1).await;
            drop(leaving);
            eventually("the attempt is given up", || host.open.get() == 0).await;
            *host.acts.borrow_mut() = [ok("served")].into();
            assert_eq!(proxy.client().await.ask(&text).await.status(), 502, "{class}");
            assert_eq!(host.count(), 1, "{class}");
            // Another id is served.
            let other = text.replace("9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42");
            assert_eq!(proxy.client().await.ask(&other).await.body, b"served", "{class}");
        }
    });
}
