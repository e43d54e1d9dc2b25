//! Discovery: the whole list, and a watch that brings its changes, late and sometimes not at all.

use super::http::{answer, Reader};
use super::{Health, Member, Shared, State};
use crate::ledger::News;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// An empty line comes this often while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Serves each proxy at its own address.
pub(super) fn serve(fleet: &Shared, listeners: Vec<TcpListener>) {
    for (proxy, listener) in listeners.into_iter().enumerate() {
        let fleet = fleet.clone();
        spawn_local(async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(tell(fleet.clone(), proxy, stream));
            }
        });
    }
}

/// Answers one connection's requests; a watch is its last.
async fn tell(fleet: Shared, proxy: usize, stream: TcpStream) {
    let epoch = fleet.borrow().epoch;
    let (read, mut write) = stream.into_split();
    let mut reader = Reader::new(read, epoch);
    while let Ok(first_byte) = reader.begins().await {
        let Ok(request) = reader.rest(first_byte).await else { return };
        fleet.borrow_mut().ledger.asks.note(epoch.now());
        heard(&fleet, proxy).await;
        if !request.target.starts_with("/catalog/members") {
            if write.write_all(&answer(404, "", b"")).await.is_err() {
                return;
            }
            continue;
        }
        if request.figure("follow") != Some(1.0) {
            let list = whole(&fleet, proxy).to_string();
            if write.write_all(&answer(200, "", list.as_bytes())).await.is_err() {
                return;
            }
            continue;
        }
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if write.write_all(head).await.is_err() {
            return;
        }
        let mut since = request.figure("since").map(|since| since as u64);
        let mut version = fleet.borrow().version.subscribe();
        loop {
            heard(&fleet, proxy).await;
            let now = *version.borrow_and_update();
            let line = match since {
                Some(since) if since == now => String::new(),
                _ => changes(&fleet, proxy, since, now).to_string(),
            };
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if write.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
            if since != Some(now) {
                fleet.borrow_mut().told(proxy, since);
            }
            since = Some(now);
            tokio::select! {
                // A change, or the time for an empty line.
                _ = timeout(HEARTBEAT, version.changed()) => {}
                () = reader.ends() => return,
            }
        }
    }
}

/// Waits while discovery is silent.
async fn heard(fleet: &Shared, proxy: usize) {
    let mut silent = fleet.borrow().silent[proxy].subscribe();
    let _ = silent.wait_for(|silent| !silent).await;
}

/// The whole list; it counts as told.
pub(super) fn whole(fleet: &Shared, proxy: usize) -> Value {
    fleet.borrow_mut().told(proxy, None);
    let version = *fleet.borrow().version.borrow();
    changes(fleet, proxy, None, version)
}

/// What changed after a version; all of it for one that has nothing.
fn changes(fleet: &Shared, proxy: usize, since: Option<u64>, now: u64) -> Value {
    let state = fleet.borrow();
    let changed =
        state.members.iter().enumerate().filter(|(_, m)| since.is_none_or(|since| m.version > since));
    // A whole list does not hold what is gone.
    let listed = changed.filter(|(_, m)| since.is_some() || m.health != Health::Gone);
    let hosts: Vec<Value> = listed.map(|(node, member)| state.entry(proxy, node, member)).collect();
    json!({"seq": now, "whole": since.is_none(), "hosts": hosts})
}

impl State {
    fn entry(&self, proxy: usize, node: usize, member: &Member) -> Value {
        let place = &self.nodes[node];
        let health = match member.health {
            Health::Ready => "Ready",
            Health::Terminating => "Terminating",
            Health::Gone => "Gone",
        };
        json!({
            "host": format!("s-{node}"),
            "dial": place.addresses[proxy].to_string(),
            "site": self.zones[place.zone],
            "class": "lab",
            "block": place.pod,
            "health": health,
            "share": place.spec.cores * place.spec.speed,
            "born_ms": member.started.map_or(0, |at| self.epoch.unix_ms(at)),
        })
    }

    fn told(&mut self, proxy: usize, since: Option<u64>) {
        let told = self.epoch.now();
        let changed = self.members.iter().enumerate().filter(|(_, m)| since.is_none_or(|s| m.version > s));
        self.ledger.news.extend(changed.map(|(node, member)| News {
            proxy,
            node,
            told,
            ready: member.health == Health::Ready,
            started: member.started.unwrap_or(0),
        }));
    }

    fn publish(&mut self, node: usize, health: Health) {
        let version = *self.version.borrow() + 1;
        let member = &mut self.members[node];
        (member.health, member.version) = (health, version);
        self.version.send_replace(version);
    }
}

/// Tells of a change once its delay has passed.
pub(super) fn publish(fleet: &Shared, node: usize, health: Health) {
    let (fleet, delay) = (fleet.clone(), fleet.borrow().news_delay);
    spawn_local(async move {
        tokio::time::sleep(Duration::from_micros(delay)).await;
        fleet.borrow_mut().publish(node, health);
    });
}
