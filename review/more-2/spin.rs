//! A voter that comes back where no majority of voters does never waits again: its one thread, which serves the calls,
//! spins for as long as the other voter is away.

#[path = "../rig2.rs"]
mod rig;

use rig::*;

const WORK: &str = "[work]\nvoters = [\"p1\", \"p2\", \"p3\"]\n";
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
    let site = Site::small(5, vec![balance.clone()]);
    let mut proxies: Vec<Proxy> = (0..5).map(Proxy::new).collect();
    let contacts: Vec<_> = proxies.iter().take(3).map(|proxy| proxy.peer).collect();
    for proxy in &mut proxies {
        proxy.write_file(&contacts, WORK);
        proxy.start(&site, &discovery);
    }
    proxies.iter().for_each(|proxy| proxy.wait_ready(30_000));
    let lead = holder(&proxies, 30_000);
    note(format!("{} hands out turns", proxies[lead].name));
    // The fleet's first start: nothing is out.
    let (code, text) = proxies[lead].work(&["known", "--by", "anna"]);
    note(format!("known: {code} {text}"));
    sleep_ms(4_000);
    if trouble() {
        // Two of five proxies die; one of them comes back.
        proxies[..2].iter().for_each(|proxy| proxy.send_signal(SIGKILL, "SIGKILL"));
        proxies[..2].iter_mut().for_each(|proxy| {
            proxy.ended(1_000);
        });
        sleep_ms(1_000);
        proxies[0].start(&site, &discovery);
    }
    // Longer than the silence of a voter after its start, 6.2 s at the default lease, and what its first bid may be put off.
    sleep_ms(12_000);
    let shown = proxies[0].shown("/work.json").unwrap_or(Json::Null);
    note(format!(
        "p1: {}, as a voter {:?}: {}",
        shown.get("serving").text(),
        shown.get("voter"),
        shown.get("reason").text()
    ));
    let p4_pid = proxies[3].pid();
    let beside = std::thread::spawn(move || watch("p4", p4_pid, WATCH_MS));
    let waited = watch("p1", proxies[0].pid(), WATCH_MS);
    let beside = beside.join().unwrap_or_default();
    let answer = call("p1", proxies[0].listen, &balance, "", 2_000);
    note(format!("p1 answers a call with {}", answer.status));
    let what = format!("in {WATCH_MS} ms p1 had {waited:?}, p4 {beside:?}");
    match waited.are_none(WATCH_MS) {
        true => finish(1, &format!("broken: {what}")),
        false => finish(0, &format!("held: {what}")),
    }
}
