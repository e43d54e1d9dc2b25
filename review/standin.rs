//! Stand-ins and scenarios of the review: hosts, discovery agents, clients and operators, with the standard library
//! alone. `cases NAME FOLDER` plays one scenario against real proxies and writes FOLDER/record.txt. Exit code: 0 the
//! rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 the disruption is left out.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A number below a bound; the same each time but for the order of threads.
fn random_below(bound: u64) -> u64 {
    static DRAWN: AtomicU64 = AtomicU64::new(1);
    let mut mixed = DRAWN.fetch_add(1, Ordering::SeqCst).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 31)) % bound
}

/// Children that must not outlive the scenario.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn finish(code: i32) -> ! {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    exit(code)
}

/// What was sent, answered and run, with the time since the start in seconds.
struct Record {
    start: Instant,
    lines: Mutex<Vec<(f64, String)>>,
    file: PathBuf,
}

impl Record {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn note(&self, text: impl Into<String>) -> f64 {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
        now
    }

    fn write(&self) {
        let mut text = String::new();
        for (at, line) in self.lines.lock().unwrap().iter() {
            let _ = writeln!(text, "{at:9.3}  {line}");
        }
        let _ = fs::write(&self.file, text);
    }

    /// Ends the scenario with its verdict.
    fn end(&self, code: i32, verdict: &str) -> ! {
        let word = ["HELD", "BROKEN", "COULD NOT RUN"][code as usize];
        self.note(format!("verdict: {word}: {verdict}"));
        self.write();
        println!("{word}: {verdict}");
        finish(code)
    }
}

/// One request, from its last byte's arrival at a host to its answer or its interruption.
#[derive(Clone, Debug)]
struct Run {
    host: String,
    call: String,
    began: f64,
    ended: Option<f64>,
    how: &'static str,
}

/// A host as the protocol page has it: one request at a time on a connection; `/api?work=MS` takes so long.
struct Host {
    name: String,
    address: SocketAddr,
    down: AtomicBool,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Arc<Record>,
    /// Of a hundred answers, how many are followed by a second one some milliseconds later.
    spoilt: AtomicU64,
}

impl Host {
    fn start(name: &str, runs: &Arc<Mutex<Vec<Run>>>, record: &Arc<Record>) -> Arc<Host> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let host = Arc::new(Host {
            name: name.to_owned(),
            address,
            down: AtomicBool::new(false),
            runs: runs.clone(),
            record: record.clone(),
            spoilt: AtomicU64::new(0),
        });
        let shared = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.down.load(Ordering::SeqCst) {
                    return;
                }
                let host = shared.clone();
                thread::spawn(move || host.serve(stream));
            }
        });
        host
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let Ok(watched) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = Message::read(&mut reader) {
            let Some(call) = request.header("x-call-id") else {
                let _ = writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            };
            let work = request.first.split_once("work=").map_or("100", |(_, rest)| rest);
            let work: u64 = work.split([' ', '&']).next().and_then(|n| n.parse().ok()).unwrap_or(100);
            let loud = !call.ends_with("-load");
            let began = self.record.now();
            if loud {
                self.record.note(format!("host {}: {call} begins ({work} ms)", self.name));
            }
            let place = {
                let mut runs = self.runs.lock().unwrap();
                let (host, call) = (self.name.clone(), call.clone());
                runs.push(Run { host, call, began, ended: None, how: "runs" });
                runs.len() - 1
            };
            let until = Instant::now() + ms(work);
            let mut how = "answered";
            while Instant::now() < until {
                sleep(ms(2).min(until.saturating_duration_since(Instant::now())));
                if self.down.load(Ordering::SeqCst) {
                    how = "cut off: the host was taken down";
                    break;
                }
                let _ = watched.set_nonblocking(true);
                let gone = matches!(watched.peek(&mut [0]), Ok(0));
                let _ = watched.set_nonblocking(false);
                if gone {
                    how = "closed by the proxy";
                    break;
                }
            }
            let ended = self.record.now();
            if loud || how.starts_with("cut") {
                self.record.note(format!("host {}: {call} ends: {how}", self.name));
            }
            {
                let mut runs = self.runs.lock().unwrap();
                runs[place].ended = Some(ended);
                runs[place].how = how;
            }
            if how != "answered" {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
            let body = format!("{call} at {}", self.name);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            if random_below(100) < self.spoilt.load(Ordering::SeqCst) {
                let Ok(mut writer) = writer.try_clone() else { return };
                thread::spawn(move || {
                    sleep(ms(1 + random_below(5)));
                    let _ = writer.write_all(answer.as_bytes());
                });
            }
        }
    }

    /// The work on the host begins: its process ends.
    fn take_down(&self) {
        self.record.note(format!("host {}: taken down by its operator", self.name));
        self.down.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

/// A request or an answer with a Content-Length.
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn read(reader: &mut impl BufRead) -> Option<Message> {
        let mut first = String::new();
        reader.read_line(&mut first).ok().filter(|count| *count > 0)?;
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Message { first: first.trim_end().to_owned(), headers, body: Vec::new() };
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let mut size = String::new();
                reader.read_line(&mut size).ok().filter(|count| *count > 0)?;
                let size = usize::from_str_radix(size.trim(), 16).ok()?;
                let mut piece = vec![0; size + 2];
                reader.read_exact(&mut piece).ok()?;
                if size == 0 {
                    break;
                }
                message.body.extend_from_slice(&piece[..size]);
            }
            return Some(message);
        }
        let length = message.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    fn header(&self, name: &str) -> Option<String> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.clone())
    }

    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A listed host, as discovery's JSON has it but for its health.
#[derive(Clone)]
struct Listed {
    name: String,
    dial: SocketAddr,
    zone: &'static str,
    block: u32,
    born_ms: u64,
}

struct Catalog {
    seq: u64,
    listed: Vec<Listed>,
    health: BTreeMap<String, (&'static str, u64)>,
}

/// The discovery agent on one proxy's machine.
struct Agent {
    address: SocketAddr,
    catalog: Mutex<Catalog>,
    /// Raised to break all open watches.
    epoch: AtomicU64,
}

impl Agent {
    fn start(listed: &[Listed]) -> Arc<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let health = listed.iter().map(|host| (host.name.clone(), ("Ready", 41))).collect();
        let agent = Arc::new(Agent {
            address: listener.local_addr().expect("an address"),
            catalog: Mutex::new(Catalog { seq: 41, listed: listed.to_vec(), health }),
            epoch: AtomicU64::new(0),
        });
        let shared = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = shared.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    fn set_health(&self, host: &str, health: &'static str) {
        let mut catalog = self.catalog.lock().unwrap();
        catalog.seq += 1;
        let seq = catalog.seq;
        catalog.health.insert(host.to_owned(), (health, seq));
    }

    /// A host's process has started anew, at another address.
    fn set_started(&self, host: &str, dial: SocketAddr, born_ms: u64) {
        let mut catalog = self.catalog.lock().unwrap();
        let listed = catalog.listed.iter_mut().find(|listed| listed.name == host).expect("a listed host");
        (listed.dial, listed.born_ms) = (dial, born_ms);
        drop(catalog);
        self.set_health(host, "Ready");
    }

    fn break_watches(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// The whole list, without hosts that drain; or, with `since`, what has changed after that version.
    fn list(&self, since: Option<u64>) -> (u64, String) {
        let catalog = self.catalog.lock().unwrap();
        let shown = |host: &&Listed| {
            let (health, changed) = catalog.health[&host.name];
            since.map_or(health == "Ready", |since| changed > since)
        };
        let entry = |host: &Listed| {
            format!(
                r#"{{"host":"{}","dial":"{}","site":"{}","class":"m1","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
                host.name, host.dial, host.zone, host.block, catalog.health[&host.name].0, host.born_ms
            )
        };
        let hosts: Vec<String> = catalog.listed.iter().filter(shown).map(entry).collect();
        let whole = since.is_none();
        (catalog.seq, format!(r#"{{"seq":{},"whole":{whole},"hosts":[{}]}}"#, catalog.seq, hosts.join(",")))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let Some(request) = Message::read(&mut BufReader::new(stream)) else { return };
        let (mut seen, list) = self.list(None);
        if !request.first.contains("follow=1") {
            let _ = write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            return;
        }
        let epoch = self.epoch.load(Ordering::SeqCst);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if write!(writer, "{head}{:x}\r\n{list}\n\r\n", list.len() + 1).is_err() {
            return;
        }
        let mut quiet_since = Instant::now();
        while epoch == self.epoch.load(Ordering::SeqCst) {
            sleep(ms(5));
            let now = self.catalog.lock().unwrap().seq;
            if now > seen {
                let (seq, list) = self.list(Some(seen));
                seen = seq;
                quiet_since = Instant::now();
                if write!(writer, "{:x}\r\n{list}\n\r\n", list.len() + 1).is_err() {
                    return;
                }
            } else if quiet_since.elapsed() >= ms(2_000) {
                quiet_since = Instant::now();
                if writer.write_all(b"1\r\n\n\r\n").is_err() {
                    return;
                }
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }
}

/// A class of the settings.
struct Class {
    name: &'static str,
    objective_ms: u64,
    deadline_ms: u64,
    idempotency: &'static str,
    scope: &'static str,
    window_ms: u64,
    worth: u32,
}

/// A deployment: what its proxies are told.
struct Site {
    classes: Vec<Class>,
    tenants: Vec<(&'static str, f64)>,
    zones: [&'static str; 3],
    discovery: &'static str,
    second_copies: bool,
    max_attempts: u32,
    max_retry_after_ms: u64,
}

fn class(
    name: &'static str,
    (objective_ms, deadline_ms): (u64, u64),
    (idempotency, scope, window_ms): (&'static str, &'static str, u64),
    worth: u32,
) -> Class {
    Class { name, objective_ms, deadline_ms, idempotency, scope, window_ms, worth }
}

/// deploy/sites/harbour-tolls.toml
fn harbour_tolls() -> Site {
    Site {
        classes: vec![
            class("tariff", (500, 1_500), ("free", "all", 0), 1),
            class("passage", (900, 2_500), ("guarded", "all", 2_200), 4),
            class("debit", (1_000, 3_000), ("single_shot", "all", 0), 7),
        ],
        tenants: Vec::new(),
        zones: ["north-quay", "south-quay", "customs"],
        discovery: "push",
        second_copies: true,
        max_attempts: 4,
        max_retry_after_ms: 0,
    }
}

/// deploy/sites/rail-cargo.toml
fn rail_cargo() -> Site {
    Site {
        classes: vec![
            class("track", (800, 4_000), ("free", "all", 0), 1),
            class("book", (1_500, 8_000), ("guarded", "zone", 4_000), 3),
            class("seal", (2_500, 8_000), ("single_shot", "all", 0), 8),
        ],
        tenants: vec![("ore", 0.5), ("grain", 0.3), ("post", 0.2)],
        zones: ["pit", "yard", "dock"],
        discovery: "ask",
        second_copies: false,
        max_attempts: 3,
        max_retry_after_ms: 2_000,
    }
}

/// The site of the brief.
fn palermo_main() -> Site {
    Site {
        classes: vec![
            class("balance", (600, 2_000), ("free", "all", 0), 1),
            class("payee-check", (2_000, 5_000), ("free", "all", 0), 2),
            class("standing-order", (2_000, 6_000), ("guarded", "cell", 6_000), 5),
            class("send", (2_000, 6_000), ("single_shot", "all", 0), 10),
        ],
        tenants: vec![("banca-trinacria", 0.76), ("cassa-iblea", 0.24)],
        zones: ["palermo", "catania", "milano"],
        discovery: "push",
        second_copies: true,
        max_attempts: 5,
        max_retry_after_ms: 2_000,
    }
}

impl Site {
    fn settings(&self, me: usize, proxies: usize) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    r#"{{"name":"{}","objective_us":{},"deadline_us":{},"worth":{},"late_value":0.5,"idempotency":"{}","dedup_scope":"{}","repeat_window_us":{},"streaming":false}}"#,
                    class.name,
                    class.objective_ms * 1_000,
                    class.deadline_ms * 1_000,
                    class.worth,
                    class.idempotency,
                    class.scope,
                    class.window_ms * 1_000
                )
            })
            .collect();
        let tenants: Vec<String> = self
            .tenants
            .iter()
            .map(|(name, portion)| format!(r#"{{"name":"{name}","portion":{portion},"quota_per_s":50.0}}"#))
            .collect();
        let Site { zones, discovery, second_copies, max_attempts, .. } = self;
        format!(
            r#"{{"azs":["{}","{}","{}"],"locality":"{}","balancers":{proxies},"me":{me},"discovery":"{discovery}","tick_us":5000,
"classes":[{}],"tenants":[{}],
"limits":{{"cancel":true,"probes":false,"second_copies":{second_copies},"max_attempts":{max_attempts},"max_retry_after_us":{},"connect_timeout_us":200000,"conn_idle_us":5000000,"retry_after":true,"max_streams":1}},
"invariants":{{"answer_slack_us":20000,"ask_every_us":10000000,"cold_from":0.14,"cold_us":20000000,"drain_grace_us":2500000,"fall_multiple":2.2,"tip_after_us":1000000}},
"result_mix":{{"whole":0.5,"worst_class":0.1}},"charges":{{}},"report":{{"columns":[],"how":"off"}},"tiers":["api"],"tier":0}}"#,
            zones[0],
            zones[1],
            zones[2],
            zones[me % 3],
            classes.join(","),
            tenants.join(","),
            self.max_retry_after_ms * 1_000,
        )
    }

    fn method(&self, class: &str) -> &'static str {
        let spec = self.classes.iter().find(|known| known.name == class).expect("a class of the site");
        if spec.idempotency == "free" { "GET" } else { "POST" }
    }
}

/// A free port for UDP and TCP.
fn free_port() -> u16 {
    loop {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else { continue };
        let Ok(address) = listener.local_addr() else { continue };
        if UdpSocket::bind(address).is_ok() {
            return address.port();
        }
    }
}

/// A running proxy.
#[derive(Clone)]
struct Proxy {
    name: String,
    listen: SocketAddr,
    side: SocketAddr,
    pid: i32,
    place: usize,
}

/// All that a scenario has.
struct World {
    record: Arc<Record>,
    site: Site,
    hosts: Vec<Arc<Host>>,
    runs: Arc<Mutex<Vec<Run>>>,
    agents: Vec<Arc<Agent>>,
    proxies: Vec<Proxy>,
    folder: PathBuf,
    peers: Vec<u16>,
}

impl World {
    /// Hosts and three proxies that know of each other, with more sections of the operators' file.
    fn start(record: &Arc<Record>, site: Site, hosts: usize, sections: &str) -> World {
        let runs = Arc::new(Mutex::new(Vec::new()));
        let hosts: Vec<Arc<Host>> =
            (1..=hosts).map(|n| Host::start(&format!("h{n}"), &runs, record)).collect();
        let listed: Vec<Listed> = hosts
            .iter()
            .enumerate()
            .map(|(n, host)| Listed {
                name: host.name.clone(),
                dial: host.address,
                zone: site.zones[n % 3],
                block: n as u32,
                born_ms: 0,
            })
            .collect();
        let agents: Vec<Arc<Agent>> = (0..3).map(|_| Agent::start(&listed)).collect();
        let folder = std::env::temp_dir().join(format!("flaxhead-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let mut world =
            World { record: record.clone(), site, hosts, runs, agents, proxies: Vec::new(), folder, peers: Vec::new() };
        let peers: Vec<u16> = (0..3).map(|_| free_port()).collect();
        for place in 0..3 {
            let known = world.agents[place].list(None).1;
            let proxy = world.start_proxy(place, (free_port(), free_port()), &peers, sections, &known);
            world.proxies.push(proxy);
        }
        world.peers = peers;
        world
    }

    /// Starts a proxy, with the list of hosts that it last had.
    fn start_proxy(
        &self,
        place: usize,
        (listen, side): (u16, u16),
        peers: &[u16],
        sections: &str,
        known: &str,
    ) -> Proxy {
        let name = format!("p{}", place + 1);
        let agent = &self.agents[place];
        let contacts: Vec<String> = peers.iter().map(|port| format!("127.0.0.1:{port}")).collect();
        let own = fs::read_to_string("deploy/flaxhead.ini").unwrap_or_default();
        let in_service = sections.is_empty();
        let file = format!(
            "{own}\n[status]\nlisten_port = {side}\n[peers]\nlisten = 127.0.0.1:{}\ncontacts = {}\ncluster = review\nnetworks = 127.0.0.0/8\n{sections}",
            peers[place],
            contacts.join(", ")
        );
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos());
        let seed = (nanos as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(place as u64 * 77_777);
        let config = format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:{listen}","discovery":"{}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":384}},"known":{},"settings":{}}}"#,
            agent.address,
            known,
            self.site.settings(place, 3)
        );
        let path = |end: &str| self.folder.join(format!("{name}.{end}"));
        fs::write(path("ini"), file).expect("a file");
        fs::write(path("json"), config).expect("a file");
        let temporary = path("tmp");
        fs::create_dir_all(&temporary).expect("a folder");
        let log = fs::OpenOptions::new().create(true).append(true).open(path("log")).expect("a file");
        // The deploy file's `run`, or the same with this deployment's operators' file.
        let operators = if in_service { PathBuf::from("deploy/flaxhead.ini") } else { path("ini") };
        let command = format!("exec target/release/flaxhead {}", operators.display());
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("ROUTER_NAME", &name)
            .env("ROUTER_LISTEN", format!("127.0.0.1:{listen}"))
            .env("ROUTER_DISCOVERY", agent.address.to_string())
            .env("ROUTER_CONFIG", path("json"))
            .env("TMPDIR", &temporary)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a process");
        let pid = child.id() as i32;
        CHILDREN.lock().unwrap().push(child);
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Proxy { name, listen: at(listen), side: at(side), pid, place }
    }

    /// Waits until every proxy serves.
    fn ready(&self) {
        for proxy in &self.proxies {
            let until = Instant::now() + Duration::from_secs(30);
            while get(proxy.listen, "/_health").map_or(0, |answer| answer.status()) != 200 {
                if Instant::now() > until {
                    self.keep_logs();
                    self.record.end(2, &format!("{} is not ready", proxy.name));
                }
                sleep(ms(20));
            }
        }
        self.record.note("all proxies are ready");
    }

    /// Waits until what a proxy's side port shows contains a text.
    fn wait_for(&self, proxy: &Proxy, path: &str, seconds: u64, done: impl Fn(&str) -> bool) {
        let until = Instant::now() + Duration::from_secs(seconds);
        loop {
            let shown = shown(proxy, path);
            if done(&shown) {
                return;
            }
            if Instant::now() > until {
                self.record.note(format!("{path} of {}: {shown}", proxy.name));
                self.keep_logs();
                self.record.end(2, &format!("{} did not show what was waited for", proxy.name));
            }
            sleep(ms(20));
        }
    }

    /// The proxies' logs go into the record.
    fn keep_logs(&self) {
        for proxy in &self.proxies {
            let log = fs::read_to_string(self.folder.join(format!("{}.log", proxy.name))).unwrap_or_default();
            for line in log.lines().rev().take(25).collect::<Vec<_>>().into_iter().rev() {
                self.record.note(format!("log of {}: {line}", proxy.name));
            }
        }
    }

    fn signal(&self, proxy: &Proxy, signal: i32, name: &str) -> f64 {
        let at = self.record.note(format!("platform: {name} to {}", proxy.name));
        // SAFETY: a plain system call, to a process that this one started.
        unsafe { kill(proxy.pid, signal) };
        at
    }

    fn end(&self, code: i32, verdict: &str) -> ! {
        let _ = fs::remove_dir_all(&self.folder);
        self.record.end(code, verdict)
    }

    /// A connection of a client, which has had an answer already.
    fn client(&self, proxy: &Proxy, name: &str) -> Client {
        let mut client = Client::open(proxy, &self.record, name);
        let class = self.site.classes[0].name;
        client.send(&self.site, &Ask { class, budget_ms: 1_000, work_ms: 5, tenant: "", quiet: true });
        if !matches!(client.answer(ms(3_000)), Answer::Status(200)) {
            self.keep_logs();
            self.record.end(2, &format!("{name} got no answer before the scenario began"));
        }
        client
    }
}

fn get(at: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&at, ms(300)).ok()?;
    stream.set_read_timeout(Some(ms(1_500))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: side\r\n\r\n").ok()?;
    Message::read(&mut BufReader::new(stream))
}

fn shown(proxy: &Proxy, path: &str) -> String {
    get(proxy.side, path).map(|answer| String::from_utf8_lossy(&answer.body).into_owned()).unwrap_or_default()
}

/// The text value of the first such key.
fn field(json: &str, key: &str) -> String {
    let rest = json.split_once(&format!("\"{key}\":")).map_or("", |(_, rest)| rest);
    rest.trim_start_matches('"').split(['"', ',', '}']).next().unwrap_or_default().to_owned()
}

struct Ask {
    class: &'static str,
    budget_ms: u64,
    work_ms: u64,
    tenant: &'static str,
    quiet: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Answer {
    Status(u16),
    /// The connection ended without a whole answer.
    Lost,
    /// Nothing in time.
    None,
}

/// One client of an application, on a connection that stays open.
struct Client {
    name: String,
    stream: TcpStream,
    record: Arc<Record>,
    call: String,
    quiet: bool,
    /// Of the last answer.
    body: String,
}

static CALLS: AtomicU64 = AtomicU64::new(1);

impl Client {
    fn open(proxy: &Proxy, record: &Arc<Record>, name: &str) -> Client {
        let stream = TcpStream::connect(proxy.listen).expect("a connection");
        let _ = stream.set_nodelay(true);
        let (name, call) = (name.to_owned(), String::new());
        Client { name, stream, record: record.clone(), call, quiet: false, body: String::new() }
    }

    /// Sends a request whole; returns when its last byte was written.
    fn send(&mut self, site: &Site, ask: &Ask) -> f64 {
        self.call = format!("c{:04}-{}", CALLS.fetch_add(1, Ordering::SeqCst), self.name);
        self.quiet = ask.quiet;
        let method = site.method(ask.class);
        let mut text = format!(
            "{method} /api?work={} HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Budget-Ms: {}\r\n",
            ask.work_ms, self.call, ask.class, ask.budget_ms
        );
        if !ask.tenant.is_empty() {
            let _ = write!(text, "X-Caller: {}\r\n", ask.tenant);
        }
        if site.classes.iter().any(|class| class.name == ask.class && class.idempotency == "guarded") {
            let _ = write!(text, "Idempotency-Key: key-{}\r\n", self.call);
        }
        text.push_str(if method == "GET" { "\r\n" } else { "Content-Length: 2\r\n\r\nhi" });
        let written = self.stream.write_all(text.as_bytes()).is_ok();
        match (ask.quiet, written) {
            (true, _) => self.record.now(),
            (_, true) => self.record.note(format!("client: {} sent ({}, {} ms)", self.call, ask.class, ask.budget_ms)),
            (_, false) => self.record.note(format!("client: {} could not be sent", self.call)),
        }
    }

    fn answer(&mut self, patience: Duration) -> Answer {
        let until = Instant::now() + patience;
        let _ = self.stream.set_read_timeout(Some(patience));
        let mut reader = BufReader::new(&self.stream);
        let answer = match Message::read(&mut reader) {
            Some(message) => {
                self.body = String::from_utf8_lossy(&message.body).into_owned();
                Answer::Status(message.status())
            }
            None if Instant::now() + ms(2) >= until => Answer::None,
            None => Answer::Lost,
        };
        if !self.quiet {
            self.record.note(format!("client: {} got {answer:?}", self.call));
        }
        answer
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("cases NAME FOLDER");
        exit(2)
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let file = Path::new(&folder).join("record.txt");
    let record = Arc::new(Record { start: Instant::now(), lines: Mutex::default(), file });
    record.note(format!("scenario {name}, trouble {}", if trouble { "on" } else { "off" }));
    let watchdog = record.clone();
    thread::spawn(move || {
        sleep(Duration::from_secs(110));
        watchdog.end(2, "it took too long");
    });
    std::panic::set_hook(Box::new({
        let record = record.clone();
        move |panic| record.end(2, &format!("the test itself failed: {panic}"))
    }));
    match name.as_str() {
        "stop" => stop(&record, trouble),
        "unlisted" => unlisted(&record, trouble),
        "again" => again(&record, trouble),
        "gate" => gate(&record, trouble),
        "foreign" => foreign(&record, trouble),
        "left" => left(&record, trouble),
        "twice" => twice(&record, trouble),
        _ => record.end(2, "no such scenario"),
    }
}

/// Requests that wait for their tenant's units when their proxy is told to stop.
fn stop(record: &Arc<Record>, trouble: bool) -> ! {
    let sections = "[shares]\nvoters = p1, p2, p3\nproxies_most = 3\ncaps = ore 3, grain 3, others 3\n";
    let world = World::start(record, rail_cargo(), 6, sections);
    world.ready();
    let proxy = world.proxies[0].clone();
    world.wait_for(&proxy, "/shares.json", 30, |shown| field(shown, "own") == "1" || field(shown, "seat").contains("eated"));
    let mut clients: Vec<Client> = (0..30).map(|n| world.client(&proxy, &format!("a{n:02}"))).collect();
    record.note("a burst of 30 requests of the tenant ore, one on each of 30 open connections");
    for client in &mut clients {
        client.send(&world.site, &Ask { class: "seal", budget_ms: 8_000, work_ms: 170, tenant: "ore", quiet: false });
    }
    sleep(ms(100));
    if trouble {
        world.signal(&proxy, SIGTERM, "SIGTERM");
        // The longest deadline, counted as 3 s where it is longer, and 0.7 s more.
        let (record, pid) = (record.clone(), proxy.pid);
        thread::spawn(move || {
            sleep(ms(3_750));
            record.note("platform: SIGKILL, if it still runs");
            // SAFETY: a plain system call, to a process that this one started and has not waited for.
            unsafe { kill(pid, SIGKILL) };
        });
    }
    let waiting: Vec<_> = clients
        .into_iter()
        .map(|mut client| thread::spawn(move || (client.call.clone(), client.answer(ms(8_500)))))
        .collect();
    let answers: Vec<(String, Answer)> = waiting.into_iter().map(|one| one.join().unwrap()).collect();
    let count = |wanted: fn(&Answer) -> bool| answers.iter().filter(|(_, answer)| wanted(answer)).count();
    let served = count(|answer| *answer == Answer::Status(200));
    let other = count(|answer| matches!(answer, Answer::Status(code) if *code != 200));
    let lost = count(|answer| !matches!(answer, Answer::Status(_)));
    world.keep_logs();
    let verdict = format!("of 30 requests {served} were served, {other} refused or failed, {lost} never answered");
    world.end(i32::from(lost > 0), &verdict)
}

/// The proxy that settles turns, by what all show.
fn leader(world: &World) -> usize {
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        for proxy in &world.proxies {
            let shown = shown(proxy, "/work.json");
            let name = field(&shown, "holder");
            if let Some(place) = world.proxies.iter().position(|known| known.name == name) {
                // All have started at once: nothing is out, and all run.
                if order(world, proxy, "known") == "done" {
                    // Each has its watch of discovery by now.
                    sleep(ms(1_500));
                    return place;
                }
            }
        }
        sleep(ms(50));
    }
    world.keep_logs();
    world.record.note(shown(&world.proxies[0], "/work.json"));
    world.record.end(2, "nobody settles turns")
}

/// An order of an operator, as docs/work.md has it; what was said, and whether it was done.
fn order(world: &World, through: &Proxy, words: &str) -> String {
    let command = format!("exec target/release/flaxhead work {} {words} --by anna", through.side);
    let said = Command::new("/bin/sh").args(["-c", &command]).output().expect("a process");
    let said = String::from_utf8_lossy(&said.stdout).trim().to_owned() + String::from_utf8_lossy(&said.stderr).trim();
    world.record.note(format!("operator: {words} through {}: {said}", through.name));
    said
}

/// Asks for a host, and waits until operators are told that it is free. Returns when that was, and the turn's number.
fn ask_and_wait(world: &World, through: &Proxy, host: &str, seconds: u64) -> (Option<f64>, String) {
    let said = order(world, through, &format!("ask {host} --kind kernel --for 30m"));
    let turn = said.split(' ').nth(1).unwrap_or_default().to_owned();
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut last = String::new();
    while Instant::now() < until {
        let all = shown(through, "/work.json");
        let entry = all.split_once(&format!("{{\"id\":{turn},")).map_or("", |(_, rest)| rest);
        let entry = entry.split('}').next().unwrap_or_default();
        let state = format!("{}, free {}, waits for: {}", field(entry, "stage"), field(entry, "free"), field(entry, "waits_for"));
        if state != last {
            world.record.note(format!("operator: turn {turn} of {host} at {}: {state}", through.name));
            last = state;
        }
        if field(entry, "free") == "true" {
            return (Some(world.record.now()), turn);
        }
        sleep(ms(5));
    }
    world.record.note(shown(through, "/work.json"));
    (None, turn)
}

/// Waits until a call has come to a host, and says to which.
fn host_of(world: &World, call: &str) -> Arc<Host> {
    let until = Instant::now() + ms(1_000);
    while Instant::now() < until {
        let run = world.runs.lock().unwrap().iter().find(|run| run.call == call).cloned();
        if let Some(run) = run {
            return world.hosts.iter().find(|host| host.name == run.host).cloned().expect("a host");
        }
        sleep(ms(2));
    }
    world.keep_logs();
    world.record.end(2, "the call came to no host")
}

/// Whether a host was called free while a request ran there, or one came after that. The operator takes the host down
/// as soon as it is free.
fn judge_free(world: &World, host: &Host, free: Option<f64>, client: thread::JoinHandle<Answer>) -> ! {
    let Some(free) = free else {
        world.keep_logs();
        world.end(2, "the host never got free")
    };
    host.take_down();
    let answer = client.join().unwrap();
    sleep(ms(300));
    let runs = world.runs.lock().unwrap().clone();
    let late = runs.iter().filter(|run| run.host == host.name && run.ended.is_none_or(|ended| ended > free));
    let late: Vec<String> = late.map(|run| format!("{} ({})", run.call, run.how)).collect();
    world.keep_logs();
    if late.is_empty() {
        world.end(0, &format!("nothing ran at {} when it was called free; the client got {answer:?}", host.name))
    }
    world.end(1, &format!("{} was called free while it ran {}; the client got {answer:?}", host.name, late.join(", ")))
}

const WORK: &str = "[work]\nvoters = p1, p2, p3\n";

/// A host that drains is left out of the whole list that one proxy gets while its call runs there.
fn unlisted(record: &Arc<Record>, trouble: bool) -> ! {
    let world = World::start(record, harbour_tolls(), 6, WORK);
    world.ready();
    let lead = leader(&world);
    let other = (lead + 1) % 3;
    record.note(format!("{} settles turns; {} carries the call", world.proxies[lead].name, world.proxies[other].name));
    let proxy = world.proxies[other].clone();
    let mut client = world.client(&proxy, "long");
    client.send(&world.site, &Ask { class: "debit", budget_ms: 3_000, work_ms: 2_600, tenant: "", quiet: false });
    let call = client.call.clone();
    let client = thread::spawn(move || client.answer(ms(3_500)));
    let host = host_of(&world, &call);
    record.note(format!("discovery: {} is Terminating, told to all", host.name));
    world.agents.iter().for_each(|agent| agent.set_health(&host.name, "Terminating"));
    sleep(ms(150));
    if trouble {
        record.note(format!("discovery: the watch of {} breaks; it gets the whole list, without hosts that drain", proxy.name));
        world.agents[proxy.place].break_watches();
    }
    sleep(ms(400));
    let (free, _) = ask_and_wait(&world, &world.proxies[lead].clone(), &host.name, 15);
    judge_free(&world, &host, free, client)
}

/// A host is asked for again while it still counts as coming back from the turn before.
fn again(record: &Arc<Record>, trouble: bool) -> ! {
    let sections = "[work]\nvoters = p1, p2, p3\nhosts = 2\nhosts_zone = 2\nhosts_pod = 2\n";
    let world = Arc::new(World::start(record, harbour_tolls(), 6, sections));
    world.ready();
    let lead = world.proxies[leader(&world)].clone();
    record.note("load: two clients at each proxy, one request after the other");
    let stopped = Arc::new(AtomicBool::new(false));
    let load: Vec<_> = (0..6)
        .map(|n| {
            let (world, stopped) = (world.clone(), stopped.clone());
            thread::spawn(move || {
                let mut client = Client::open(&world.proxies[n % 3], &world.record, "load");
                while !stopped.load(Ordering::SeqCst) {
                    let class = ["tariff", "debit"][n / 3];
                    let ask = Ask { class, budget_ms: 1_400, work_ms: 60, tenant: "", quiet: true };
                    client.send(&world.site, &ask);
                    if !matches!(client.answer(ms(2_000)), Answer::Status(_)) {
                        client = Client::open(&world.proxies[n % 3], &world.record, "load");
                    }
                    sleep(ms(15));
                }
            })
        })
        .collect();
    sleep(ms(2_000));
    let host = world.hosts[0].clone();
    let (free, turn) = ask_and_wait(&world, &lead, &host.name, 20);
    let Some(free) = free else {
        world.keep_logs();
        world.end(2, "the host never got free the first time")
    };
    sleep(ms(500));
    let early = world.runs.lock().unwrap().iter().filter(|run| run.host == host.name && run.ended.is_none_or(|ended| ended > free)).count();
    record.note(format!("requests at {} after it was free the first time: {early}", host.name));
    host.take_down();
    world.agents.iter().for_each(|agent| agent.set_health(&host.name, "Gone"));
    sleep(ms(1_000));
    let host = Host::start(&host.name, &world.runs, record);
    let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis()) as u64;
    world.agents.iter().for_each(|agent| agent.set_started(&host.name, host.address, born_ms));
    record.note(format!("host {}: its process runs again, and is cold; discovery tells all", host.name));
    sleep(ms(500));
    order(&world, &lead, &format!("done {turn}"));
    if trouble {
        sleep(ms(3_000));
        record.note(format!("operator: the work has to be done again, {} still counts as coming back", host.name));
    } else {
        world.wait_for(&lead, "/work.json", 60, |shown| shown.contains("\"turns\":[]"));
        record.note(format!("operator: turn {turn} has ended, {} is warm", host.name));
    }
    let (free, _) = ask_and_wait(&world, &lead, &host.name, 20);
    let Some(free) = free else {
        world.keep_logs();
        world.end(2, "the host never got free the second time")
    };
    sleep(ms(2_000));
    host.take_down();
    stopped.store(true, Ordering::SeqCst);
    load.into_iter().for_each(|one| drop(one.join()));
    let runs = world.runs.lock().unwrap().clone();
    let at = |run: &&Run| run.host == host.name;
    let begun: Vec<&Run> = runs.iter().filter(at).filter(|run| run.began > free).collect();
    let running = runs.iter().filter(at).filter(|run| run.began <= free && run.ended.is_none_or(|ended| ended > free)).count();
    let cut = begun.iter().filter(|run| run.how.starts_with("cut")).count();
    for run in begun.iter().take(20) {
        record.note(format!("at {}: {} began {:.3} s after it was free ({})", run.host, run.call, run.began - free, run.how));
    }
    world.keep_logs();
    let verdict = format!(
        "in the 2 s after {} was called free {} requests began there, {running} still ran; {cut} were cut off as its operator took it down",
        host.name,
        begun.len()
    );
    world.end(i32::from(!begun.is_empty() || running > 0), &verdict)
}

/// Proxies that are killed together come back while hosts drain.
fn gate(record: &Arc<Record>, trouble: bool) -> ! {
    let mut world = World::start(record, harbour_tolls(), 6, WORK);
    world.ready();
    leader(&world);
    let killed: Vec<Proxy> = world.proxies[..2].to_vec();
    let known: Vec<String> = killed.iter().map(|proxy| world.agents[proxy.place].list(None).1).collect();
    let mut told = vec![0.0; 2];
    if trouble {
        for proxy in &killed {
            world.signal(proxy, SIGKILL, "SIGKILL");
        }
        sleep(ms(1_000));
    }
    record.note("discovery: h1 and h2 are Terminating, told to all that run");
    let draining = ["h1", "h2"];
    for host in draining {
        world.agents.iter().for_each(|agent| agent.set_health(host, "Terminating"));
    }
    told.fill(record.now());
    if trouble {
        sleep(ms(1_000));
        for (proxy, known) in killed.iter().zip(&known) {
            let ports = (proxy.listen.port(), proxy.side.port());
            let again = world.start_proxy(proxy.place, ports, &world.peers, WORK, known);
            told[proxy.place] = record.note(format!("platform: {} is started again, with the list that it last had", proxy.name));
            world.proxies[proxy.place] = again;
        }
    } else {
        sleep(ms(6_000));
    }
    let world = Arc::new(world);
    let clients: Vec<_> = (0..2)
        .map(|place| {
            let world = world.clone();
            thread::spawn(move || {
                let proxy = world.proxies[place].clone();
                while get(proxy.listen, "/_health").map_or(0, |answer| answer.status()) != 200 {
                    sleep(ms(5));
                }
                world.record.note(format!("{} says that it is ready; its clients send", proxy.name));
                let waiting: Vec<_> = (0..20)
                    .map(|_| {
                        let mut client = Client::open(&proxy, &world.record, &proxy.name);
                        client.send(&world.site, &Ask { class: "debit", budget_ms: 3_000, work_ms: 150, tenant: "", quiet: true });
                        thread::spawn(move || client.answer(ms(3_500)))
                    })
                    .collect();
                waiting.into_iter().for_each(|one| drop(one.join()));
            })
        })
        .collect();
    clients.into_iter().for_each(|one| drop(one.join()));
    let runs = world.runs.lock().unwrap().clone();
    let mut late = 0;
    for run in runs.iter().filter(|run| draining.contains(&run.host.as_str())) {
        let place = if run.call.ends_with("p1") { 0 } else { 1 };
        let after = run.began - told[place];
        if after > 2.55 {
            late += 1;
            record.note(format!("{} came to {} {after:.3} s after p{} was told that it drains", run.call, run.host, place + 1));
        }
    }
    world.keep_logs();
    world.end(i32::from(late > 0), &format!("{late} requests were sent to hosts that drain, later than 2.5 s after that was told"))
}

/// What a gRPC host does with one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    Answer(u64),
    /// It runs, and the host hangs in the middle of its work: the answer comes this late.
    Hang(u64),
}

/// Where and when each call was run. The class's hosts, all of one group, drop a repeat for the window.
type Effects = BTreeMap<String, Vec<(String, f64)>>;

/// A host over HTTP/2, with as much of it as one gRPC client needs.
struct GrpcHost {
    name: String,
    effects: Arc<Mutex<Effects>>,
    window_s: f64,
    act: Act,
    record: Arc<Record>,
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// A header block's field, literal and not indexed.
fn literal(name: &str, value: &str) -> Vec<u8> {
    let mut bytes = vec![0, name.len() as u8];
    bytes.extend(name.bytes());
    bytes.push(value.len() as u8);
    bytes.extend(value.bytes());
    bytes
}

impl GrpcHost {
    fn start(
        name: &str,
        effects: &Arc<Mutex<Effects>>,
        window_s: f64,
        act: Act,
        record: &Arc<Record>,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (effects, record) = (effects.clone(), record.clone());
        let host = Arc::new(GrpcHost { name: name.to_owned(), effects, window_s, act, record });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let host = host.clone();
                thread::spawn(move || host.serve(stream));
            }
        });
        address
    }

    fn serve(self: Arc<GrpcHost>, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
        let send = |bytes: Vec<u8>| writer.lock().unwrap().write_all(&bytes).ok();
        let mut reader = BufReader::new(stream);
        reader.read_exact(&mut [0; 24]).ok()?;
        send(frame(4, 0, 0, &[]))?;
        let mut bodies: BTreeMap<u32, Vec<u8>> = BTreeMap::new();
        loop {
            let mut head = [0; 9];
            reader.read_exact(&mut head).ok()?;
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
            let (kind, flags) = (head[3], head[4]);
            let id = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
            let mut payload = vec![0; length];
            reader.read_exact(&mut payload).ok()?;
            match kind {
                4 if flags & 1 == 0 => send(frame(4, 1, 0, &[]))?,
                6 if flags & 1 == 0 => send(frame(6, 1, 0, &payload))?,
                0 => bodies.entry(id).or_default().extend(&payload),
                _ => {}
            }
            if kind <= 1 && flags & 1 == 1 {
                let body = bodies.remove(&id).unwrap_or_default();
                let text = String::from_utf8_lossy(body.get(5..).unwrap_or_default()).into_owned();
                let (host, writer) = (self.clone(), writer.clone());
                thread::spawn(move || host.run(&text, id, &writer));
            }
        }
    }

    /// One attempt, whole.
    fn run(&self, text: &str, id: u32, writer: &Mutex<TcpStream>) -> Option<()> {
        let call = text.split_once("call=")?.1.split('&').next()?.to_owned();
        let now = self.record.now();
        {
            let mut effects = self.effects.lock().unwrap();
            let applied = effects.entry(call.clone()).or_default();
            let known = applied.iter().any(|(_, at)| now - at < self.window_s);
            if !known {
                applied.push((self.name.clone(), now));
            }
            let word = if known { "drops it, it was run lately" } else { "RUNS it" };
            self.record.note(format!("host {}: {call} comes; the host {word}; {:?}", self.name, self.act));
        }
        let (Act::Answer(after) | Act::Hang(after)) = self.act;
        sleep(ms(after));
        let mut head = vec![0x88];
        head.extend(literal("content-type", "application/grpc"));
        let mut message = vec![0];
        message.extend((call.len() as u32).to_be_bytes());
        message.extend(call.bytes());
        let mut bytes = frame(1, 4, id, &head);
        bytes.extend(frame(0, 0, id, &message));
        bytes.extend(frame(1, 5, id, &literal("grpc-status", "0")));
        writer.lock().unwrap().write_all(&bytes).ok()
    }
}

const APPLICATIONS: usize = 8;
const CALLS_EACH: usize = 5;

/// Starts the project's application that has the plug-in loaded.
fn start_application(site: &Site, n: usize, listed: &[Listed], folder: &Path) -> SocketAddr {
    let agent = Agent::start(listed);
    let port = free_port();
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos());
    let seed = (nanos as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let config = format!(
        r#"{{"name":"a{n}","listen":"127.0.0.1:{port}","discovery":"{}","seed":"{seed:016x}","limits":{{"sockets":384}},"known":{},"settings":{}}}"#,
        agent.address,
        agent.list(None).1,
        site.settings(n, APPLICATIONS)
    );
    let path = folder.join(format!("a{n}.json"));
    fs::write(&path, config).expect("a file");
    let child = Command::new("/bin/sh")
        .args(["-c", "exec target/release/flaxhead-lab host"])
        .env("ROUTER_CONFIG", path)
        // It ends with its parent, by the end of its input.
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("a process");
    CHILDREN.lock().unwrap().push(child);
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Hosts hang in the middle of keyed calls that applications make by the plug-in.
fn twice(record: &Arc<Record>, trouble: bool) -> ! {
    let site = harbour_tolls();
    let effects = Arc::new(Mutex::new(Effects::default()));
    let listed: Vec<Listed> = (0..6)
        .map(|n| {
            let name = format!("h{}", n + 1);
            let act = if trouble && n % 2 == 0 { Act::Hang(6_000) } else { Act::Answer(100) };
            let dial = GrpcHost::start(&name, &effects, 2.2, act, record);
            Listed { name, dial, zone: site.zones[n % 3], block: n as u32 / 2, born_ms: 0 }
        })
        .collect();
    let folder = std::env::temp_dir().join(format!("flaxhead-review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let applications: Vec<SocketAddr> =
        (0..APPLICATIONS).map(|n| start_application(&site, n, &listed, &folder)).collect();
    for at in &applications {
        let until = Instant::now() + Duration::from_secs(20);
        while get(*at, "/_health").map_or(0, |answer| answer.status()) != 200 {
            if Instant::now() > until {
                record.end(2, "an application is not ready");
            }
            sleep(ms(20));
        }
    }
    sleep(ms(500));
    record.note(format!("{APPLICATIONS} applications with the plug-in are ready"));
    let calls: Vec<_> = (0..APPLICATIONS * CALLS_EACH)
        .map(|n| {
            let (record, at) = (record.clone(), applications[n % APPLICATIONS]);
            thread::spawn(move || {
                sleep(ms(100 * (n / APPLICATIONS) as u64));
                let call = format!("c{n}");
                let mut answers = Vec::new();
                // A try is given up after 70% of the class's time. One that is said to have never run is made once more.
                for budget in [1_750, 1_750] {
                    let Ok(mut stream) = TcpStream::connect(at) else { return (call, answers) };
                    let _ = stream.set_read_timeout(Some(ms(4_000)));
                    let text = format!(
                        "POST /api?call={call}& HTTP/1.1\r\nHost: api\r\nX-Call-Id: {call}\r\nX-Call-Class: passage\r\nIdempotency-Key: key-{call}\r\nX-Budget-Ms: {budget}\r\nContent-Length: 2\r\n\r\nhi"
                    );
                    record.note(format!("application: {call} is asked for, for {budget} ms"));
                    let _ = stream.write_all(text.as_bytes());
                    let status = Message::read(&mut BufReader::new(stream)).map_or(0, |answer| answer.status());
                    let word = ["", ": it never ran"][usize::from(status == 503)];
                    answers.push((record.note(format!("application: {call} got {status}{word}")), status));
                    if status != 503 {
                        break;
                    }
                    sleep(ms(600));
                }
                (call, answers)
            })
        })
        .collect();
    let answers: Vec<(String, Vec<(f64, u16)>)> = calls.into_iter().map(|one| one.join().unwrap()).collect();
    let effects = effects.lock().unwrap().clone();
    let (mut denied, mut doubled) = (0, 0);
    for (call, answers) in &answers {
        let applied = effects.get(call).cloned().unwrap_or_default();
        let false_word = answers.iter().any(|(at, status)| *status == 503 && applied.iter().any(|(_, ran)| ran < at));
        denied += usize::from(false_word);
        doubled += usize::from(applied.len() > 1);
        if false_word || applied.len() > 1 {
            record.note(format!("{call}: answers {answers:.3?}; was run {} times: {applied:.3?}", applied.len()));
        }
    }
    let _ = fs::remove_dir_all(&folder);
    let verdict = format!(
        "of {} keyed calls {denied} were said to have never run after they had run, and {doubled} were run twice",
        APPLICATIONS * CALLS_EACH
    );
    record.end(i32::from(denied > 0 || doubled > 0), &verdict)
}

/// A proxy ends in order and does not come back; then a host is asked for.
fn left(record: &Arc<Record>, trouble: bool) -> ! {
    let world = World::start(record, harbour_tolls(), 6, WORK);
    world.ready();
    let lead = leader(&world);
    let proxy = world.proxies[(lead + 1) % 3].clone();
    if trouble {
        world.signal(&proxy, SIGTERM, "SIGTERM");
        // Longer than a lease and the longest call.
        sleep(ms(15_000));
    }
    let (free, _) = ask_and_wait(&world, &world.proxies[lead].clone(), "h1", 30);
    world.keep_logs();
    match free {
        Some(_) => world.end(0, "the host got free"),
        None => world.end(1, "the host did not get free within 30 s, though the proxy that it waits for has ended in order"),
    }
}

/// Hosts whose answers are followed by a second one, some milliseconds late, under the service's own configuration.
fn foreign(record: &Arc<Record>, trouble: bool) -> ! {
    let world = Arc::new(World::start(record, palermo_main(), 9, ""));
    world.ready();
    record.note("load: 9 clients at p1, 3 at p2, 1 at p3, each with one request at a time");
    if trouble {
        record.note("hosts: one of ten answers is followed by a second one, 1 to 5 ms later");
        world.hosts.iter().for_each(|host| host.spoilt.store(10, Ordering::SeqCst));
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..13)
        .map(|n| {
            let (world, stopped) = (world.clone(), stopped.clone());
            let place = [0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 2][n];
            thread::spawn(move || {
                let proxy = &world.proxies[place];
                let (mut served, mut other, mut wrong) = (0, 0, 0);
                let mut client = Client::open(proxy, &world.record, &format!("{n}-load"));
                while !stopped.load(Ordering::SeqCst) {
                    let class = &world.site.classes[[0, 0, 0, 0, 0, 1, 1, 2, 2, 3][random_below(10) as usize]];
                    let budget_ms = class.deadline_ms;
                    let work_ms = 20 + random_below(60);
                    client.send(&world.site, &Ask { class: class.name, budget_ms, work_ms, tenant: "banca-trinacria", quiet: true });
                    match client.answer(ms(budget_ms + 1_000)) {
                        Answer::Status(200) if client.body.starts_with(&format!("{} at ", client.call)) => served += 1,
                        Answer::Status(200) => {
                            wrong += 1;
                            let Client { call, body, .. } = &client;
                            world.record.note(format!("client: {call} ({}, {}) was served \"{body}\"", class.name, proxy.name));
                        }
                        Answer::Status(_) => other += 1,
                        _ => {
                            other += 1;
                            client = Client::open(proxy, &world.record, &format!("{n}-load"));
                        }
                    }
                    sleep(ms(random_below(200)));
                }
                (served, other, wrong)
            })
        })
        .collect();
    sleep(Duration::from_secs(40));
    stopped.store(true, Ordering::SeqCst);
    let (mut served, mut other, mut wrong) = (0, 0, 0);
    for client in clients {
        let (one, two, three) = client.join().unwrap();
        (served, other, wrong) = (served + one, other + two, wrong + three);
    }
    world.keep_logs();
    let verdict = format!("of {} requests {wrong} were served with another request's answer, {served} with their own", served + other + wrong);
    world.end(i32::from(wrong > 0), &verdict)
}
