//! A proxy that finds another with its name, which has run for longer, never waits again: its one thread spins for good.

#[path = "../rig2.rs"]
mod rig;

use rig::*;

/// The page's 20 s, and a little more.
const WATCH_MS: u64 = 20_500;

fn main() {
    start();
    let hosts: Vec<Host> =
        (0..4).map(|n| Host::start(&format!("s-{}", n + 1), |_| Work::Serve(50))).collect();
    let zones = ["palermo", "catania"];
    let listed = hosts.iter().enumerate().map(|(n, host)| Listed::ready(host, zones[n % 2], n as u32 / 2));
    let discovery = Discovery::start(listed.collect());
    let balance = Class {
        name: "balance",
        idempotency: "free",
        scope: "all",
        objective_ms: 600,
        deadline_ms: 2_000,
        window_ms: 5_000,
    };
    let site = Site::small(4, vec![balance.clone()]);
    let mut proxies: Vec<Proxy> = (0..3).map(Proxy::new).collect();
    let contacts: Vec<_> = proxies.iter().take(2).map(|proxy| proxy.peer).collect();
    for proxy in &mut proxies {
        proxy.write_file(&contacts, "");
        proxy.start(&site, &discovery);
    }
    proxies.iter().for_each(|proxy| proxy.wait_ready(10_000));
    sleep_ms(4_000);
    // One more, at addresses of its own; with the trouble it has the name of p2, which runs on.
    let mut last = Proxy::new(if trouble() { 1 } else { 3 });
    last.write_file(&contacts, "");
    last.start(&site, &discovery);
    last.wait_ready(10_000);
    sleep_ms(4_000);
    let displaced = last.shown("/members.json").unwrap_or(Json::Null).get("displaced").is_true();
    note(format!("the last one: displaced: {displaced}"));
    if displaced != trouble() {
        cannot_run("it does not show what it should");
    }
    let p2_pid = proxies[1].pid();
    let beside = std::thread::spawn(move || watch("p2", p2_pid, WATCH_MS));
    let waited = watch("the last one", last.pid(), WATCH_MS);
    let beside = beside.join().unwrap_or_default();
    let answer = call("the last one", last.listen, &balance, "", 2_000);
    note(format!("it answers a call with {}", answer.status));
    let what = format!("in {WATCH_MS} ms the last proxy had {waited:?}, p2 {beside:?}");
    match waited.are_none(WATCH_MS) {
        true => finish(1, &format!("broken: {what}")),
        false => finish(0, &format!("held: {what}")),
    }
}
