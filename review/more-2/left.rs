//! A proxy that was told to stop, and did so in order, holds a host in draining: what it last said it had in hand there
//! counts for good.

#[path = "../rig2.rs"]
mod rig;

use rig::*;
use std::thread;

const WORK: &str = "[work]\nvoters = [\"p1\", \"p2\", \"p3\"]\n";
/// A lease (the default), the longest call, each with a clock's drift of 1 in 64, and as much again and more.
const BOUND_MS: u64 = 40_000;

fn main() {
    start();
    let hosts: Vec<Host> =
        (0..4).map(|n| Host::start(&format!("s-{}", n + 1), |_| Work::Serve(800))).collect();
    let zones = ["palermo", "catania"];
    let listed = hosts.iter().enumerate().map(|(n, host)| Listed::ready(host, zones[n % 2], n as u32));
    let discovery = Discovery::start(listed.collect());
    let send = Class {
        name: "send",
        idempotency: "single_shot",
        scope: "all",
        objective_ms: 1_500,
        deadline_ms: 2_000,
        window_ms: 5_000,
    };
    let site = Site::small(4, vec![send.clone()]);
    let mut proxies: Vec<Proxy> = (0..4).map(Proxy::new).collect();
    let contacts: Vec<_> = proxies.iter().take(2).map(|proxy| proxy.peer).collect();
    for proxy in &mut proxies {
        proxy.write_file(&contacts, WORK);
        proxy.start(&site, &discovery);
    }
    proxies.iter().for_each(|proxy| proxy.wait_ready(30_000));
    let lead = holder(&proxies, 30_000);
    note(format!("{} hands out turns", proxies[lead].name));
    let (code, text) = proxies[lead].work(&["known", "--by", "anna"]);
    note(format!("known: {code} {text}"));
    sleep_ms(2_000);

    // Calls at p4, until s-1 has one; a host drains while they run, and p4 is told to stop.
    let mut clients = Vec::new();
    for _ in 0..10 {
        for _ in 0..6 {
            let (address, send) = (proxies[3].listen, send.clone());
            clients.push(thread::spawn(move || call("p4", address, &send, "", 2_000)));
        }
        sleep_ms(50);
        if hosts[0].in_hand() > 0 {
            break;
        }
    }
    if hosts[0].in_hand() == 0 {
        cannot_run("no call came to s-1");
    }
    let asked = now();
    let (code, text) =
        proxies[lead].work(&["ask", "s-1", "--kind", "kernel", "--for", "30m", "--by", "anna"]);
    note(format!("ask s-1: {code} {text}"));
    if trouble() {
        proxies[3].send_signal(SIGTERM, "SIGTERM");
    }
    for client in clients {
        if let Ok(answer) = client.join() {
            if answer.status == 0 {
                note("a call had no answer");
            }
        }
    }
    if trouble() && !proxies[3].ended(8_000) {
        cannot_run("p4 does not end");
    }
    let until = asked + BOUND_MS;
    let (mut last, mut free) = (String::new(), None);
    while now() < until && free.is_none() {
        let shown = proxies[lead].shown("/work.json").unwrap_or(Json::Null);
        for turn in shown.get("turns").list() {
            let text = format!(
                "turn {} {} {}, free {}: {}",
                turn.get("id").number(),
                turn.get("host").text(),
                turn.get("stage").text(),
                turn.get("free").is_true(),
                turn.get("waits_for").text()
            );
            if text != last {
                note(format!("{text}; in hand at s-1: {}", hosts[0].in_hand()));
                last = text;
            }
            if turn.get("free").is_true() {
                free = Some(now());
            }
        }
        sleep_ms(20);
    }
    let (code, text) = proxies[lead].work(&["list"]);
    note(format!("list: {code} {text}"));
    if let Ok(members) = std::process::Command::new(root().join("target/release/flaxhead"))
        .args(["members", &proxies[lead].side.to_string()])
        .output()
    {
        let code = members.status.code().unwrap_or(-1);
        note(format!("members: exit {code}\n{}", String::from_utf8_lossy(&members.stdout).trim_end()));
    }
    match free {
        Some(at) => finish(0, &format!("held: free {} ms after it was asked for", at - asked)),
        None => {
            finish(1, &format!("broken: after {BOUND_MS} ms: {last}; in hand at s-1: {}", hosts[0].in_hand()))
        }
    }
}
