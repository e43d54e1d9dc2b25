//! What the cases of this review share: stand-ins for hosts, discovery and clients, the project's proxies as separate
//! processes, and the record of what was sent, answered and run. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static START: OnceLock<Instant> = OnceLock::new();
static LINES: Mutex<Vec<(u64, String)>> = Mutex::new(Vec::new());
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Begins the case: whatever goes wrong in it, its processes are ended, and it takes less than two minutes.
pub fn start() {
    now();
    std::panic::set_hook(Box::new(|what| cannot_run(what.to_string())));
    thread::spawn(|| {
        sleep_until(112_000);
        cannot_run("it takes too long");
    });
}

/// Milliseconds since the case began.
pub fn now() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(ms: u64) {
    sleep_ms(ms.saturating_sub(now()));
}

pub fn note(text: impl Into<String>) {
    note_at(now(), text);
}

pub fn note_at(at: u64, text: impl Into<String>) {
    LINES.lock().unwrap().push((at, text.into()));
}

/// Leaves of the record so far only lines that are wanted: where thousands of calls are made.
pub fn keep(is_wanted: impl Fn(&str) -> bool) {
    LINES.lock().unwrap().retain(|(_, text)| is_wanted(text));
}

/// Whether the disruption is on: `TROUBLE=0` switches it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes the record, ends all processes, and leaves with this code.
pub fn finish(code: i32, verdict: &str) -> ! {
    note(format!("verdict: {verdict} (exit {code})"));
    for pid in RUNNING.lock().unwrap().iter() {
        signal(*pid, SIGCONT);
        signal(*pid, SIGKILL);
    }
    let mut lines = LINES.lock().unwrap().clone();
    lines.sort_by_key(|(at, _)| *at);
    let text: String =
        lines.iter().map(|(at, text)| format!("{:4}.{:03} {text}\n", at / 1000, at % 1000)).collect();
    let path = std::env::var("RECORD").unwrap_or_else(|_| "target/review-2/record.txt".into());
    let _ = fs::write(path, text);
    println!("{verdict}");
    if let Some(folder) = FOLDER.get() {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(code);
}

pub fn cannot_run(why: impl Into<String>) -> ! {
    finish(2, &format!("could not run: {}", why.into()))
}

pub fn signal(pid: u32, signal: i32) {
    // SAFETY: a plain system call; the process is one that this case started and has not waited for.
    unsafe { kill(pid as i32, signal) };
}

static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// A temporary folder of this case.
pub fn folder() -> &'static Path {
    FOLDER.get_or_init(|| {
        let name = format!("flaxhead-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        path
    })
}

/// A loopback address with a free port, for TCP and UDP: below those that the system gives to outgoing connections, which
/// could take it while a proxy is down.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    for _ in 0..10_000 {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (u64::from(std::process::id()) * 37 + step) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no free port")
}

// ---------------------------------------------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> String {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }
}

/// Reads a message's head and its body by Content-Length; `None` at the connection's end.
fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&piece[..count]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = bytes[end + 4..].to_vec();
    while body.len() < length {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return None,
            Ok(count) => body.extend_from_slice(&piece[..count]),
        }
    }
    Some((first, headers, body))
}

fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let (first, headers, body) = read_message(stream)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    Some(Request { method, target, headers, body })
}

// --------------------------------------------------------------------------------------------------- hosts

/// What a host does with a request.
pub enum Work {
    /// Answers 200 after so many milliseconds of work.
    Serve(u64),
    /// Answers with another status, after so many milliseconds.
    Status(u64, u16, bool),
}

#[derive(Clone, Debug)]
pub struct Taken {
    pub id: String,
    pub class: String,
    pub key: String,
    pub tenant: String,
    /// When its last byte came.
    pub at: u64,
    /// When its answer was written or its connection was gone; `None`: it is in hand.
    pub ended: Option<u64>,
    pub answered: bool,
}

#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub taken: Arc<Mutex<Vec<Taken>>>,
    pub off: Arc<AtomicBool>,
}

impl Host {
    /// A host that works on each request as `work` says, and goes on with it where its connection is gone.
    pub fn start(name: &str, work: impl Fn(&Request) -> Work + Send + Sync + 'static) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(e.to_string()));
        let address = listener.local_addr().unwrap();
        let host = Host {
            name: name.to_owned(),
            address,
            taken: Arc::default(),
            off: Arc::new(AtomicBool::new(false)),
        };
        let (of, work) = (host.clone(), Arc::new(work));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (of, work) = (of.clone(), work.clone());
                thread::spawn(move || of.serve(stream, &*work));
            }
        });
        host
    }

    fn serve(&self, mut stream: TcpStream, work: &dyn Fn(&Request) -> Work) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_request(&mut stream) {
            let id = request.header("x-call-id");
            if id.is_empty() || !request.target.starts_with("/api") {
                let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let place = {
                let mut taken = self.taken.lock().unwrap();
                let at = now();
                note_at(
                    at,
                    format!(
                        "{} took {id} ({}{}{})",
                        self.name,
                        request.header("x-call-class"),
                        if request.header("x-caller").is_empty() { "" } else { " of " },
                        request.header("x-caller")
                    ),
                );
                taken.push(Taken {
                    id: id.clone(),
                    class: request.header("x-call-class"),
                    key: request.header("idempotency-key"),
                    tenant: request.header("x-caller"),
                    at,
                    ended: None,
                    answered: false,
                });
                taken.len() - 1
            };
            let (ms, status, rejected) = match work(&request) {
                Work::Serve(ms) => (ms, 200, false),
                Work::Status(ms, status, rejected) => (ms, status, rejected),
            };
            if !self.wait(&stream, ms) {
                self.end(place, false, &id);
                return;
            }
            let body = format!("{} {id}", self.name);
            let mark = if rejected { "X-Rejected: 1\r\n" } else { "" };
            let answer = format!("HTTP/1.1 {status} X\r\n{mark}Content-Length: {}\r\n\r\n{body}", body.len());
            // Noted before it is written: a proxy may act on it sooner than this thread goes on.
            self.end(place, true, &id);
            let written = stream.write_all(answer.as_bytes()).is_ok();
            if !written {
                return;
            }
        }
    }

    fn end(&self, place: usize, answered: bool, id: &str) {
        let mut taken = self.taken.lock().unwrap();
        let at = now();
        taken[place].ended = Some(at);
        taken[place].answered = answered;
        let how = if answered { "answered" } else { "found the connection gone of" };
        note_at(at, format!("{} {how} {id}", self.name));
    }

    /// Works for so long; false once the connection is gone.
    fn wait(&self, stream: &TcpStream, ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(ms);
        let _ = stream.set_nonblocking(true);
        let mut there = true;
        while there && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
            match stream.peek(&mut [0]) {
                Ok(0) => there = false,
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => there = false,
                _ => {}
            }
        }
        let _ = stream.set_nonblocking(false);
        there
    }

    pub fn in_hand(&self) -> usize {
        self.taken.lock().unwrap().iter().filter(|of| of.ended.is_none()).count()
    }
}

// ----------------------------------------------------------------------------------------------- discovery

#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub block: u32,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Listed {
    pub fn ready(host: &Host, zone: &str, block: u32) -> Listed {
        Listed {
            name: host.name.clone(),
            address: host.address,
            zone: zone.into(),
            block,
            health: "Ready",
            born_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"m\",\"block\":{},\"health\":\"{}\",\"share\":1.0,\"born_ms\":{}}}",
            self.name, self.address, self.zone, self.block, self.health, self.born_ms
        )
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64
}

struct List {
    seq: u64,
    hosts: Vec<Listed>,
}

impl List {
    fn json(&self) -> String {
        let hosts: Vec<String> = self.hosts.iter().map(Listed::json).collect();
        format!("{{\"seq\":{},\"whole\":true,\"hosts\":[{}]}}", self.seq, hosts.join(","))
    }
}

/// Tells all that ask the same list, and each change of it as the whole list.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
}

impl Discovery {
    pub fn start(hosts: Vec<Listed>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(e.to_string()));
        let address = listener.local_addr().unwrap();
        let list = Arc::new(Mutex::new(List { seq: 41, hosts }));
        let discovery = Discovery { address, list };
        let of = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let of = of.clone();
                thread::spawn(move || of.serve(stream));
            }
        });
        discovery
    }

    /// One that is elsewhere, or nowhere; these hosts are what proxies know of it.
    pub fn at(address: SocketAddr, hosts: Vec<Listed>) -> Discovery {
        Discovery { address, list: Arc::new(Mutex::new(List { seq: 41, hosts })) }
    }

    pub fn known(&self) -> String {
        self.list.lock().unwrap().json()
    }

    /// Changes the entry of a host.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Listed)) {
        let mut list = self.list.lock().unwrap();
        list.seq += 1;
        if let Some(host) = list.hosts.iter_mut().find(|host| host.name == name) {
            change(host);
            let line = host.json();
            note(format!("discovery: {line}"));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_request(&mut stream) {
            if !request.target.starts_with("/catalog/members") {
                let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if !request.target.contains("follow=1") {
                let list = self.known();
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                let _ = stream.write_all(answer.as_bytes());
                continue;
            }
            let since = request.target.split("since=").nth(1).and_then(|seq| seq.parse::<u64>().ok());
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            let (mut told, mut last) = (since, Instant::now() - Duration::from_secs(3));
            loop {
                let (seq, line) = {
                    let list = self.list.lock().unwrap();
                    (list.seq, list.json())
                };
                let line = if told != Some(seq) {
                    told = Some(seq);
                    line + "\n"
                } else if last.elapsed() >= Duration::from_secs(2) {
                    "\n".to_owned()
                } else {
                    thread::sleep(Duration::from_millis(20));
                    continue;
                };
                last = Instant::now();
                if stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
                    return;
                }
            }
        }
    }
}

// ------------------------------------------------------------------------------------------------- proxies

#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    /// `free`, `guarded` or `single_shot`.
    pub idempotency: &'static str,
    pub scope: &'static str,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    pub window_ms: u64,
}

/// The settings of a small deployment.
#[derive(Clone)]
pub struct Site {
    pub proxies: usize,
    pub classes: Vec<Class>,
    pub tenants: Vec<(&'static str, f64)>,
    pub cold_us: u64,
    pub retry_after_us: u64,
    pub sockets: usize,
    pub second_copies: bool,
}

impl Site {
    /// A few proxies, no tenants, hosts that are warm after 22 s.
    pub fn small(proxies: usize, classes: Vec<Class>) -> Site {
        Site {
            proxies,
            classes,
            tenants: Vec::new(),
            cold_us: 22_000_000,
            retry_after_us: 2_000_000,
            sockets: 384,
            second_copies: false,
        }
    }

    fn json(&self, me: usize) -> String {
        let class = |c: &Class| {
            format!(
                "{{\"name\":\"{}\",\"objective_us\":{},\"deadline_us\":{},\"worth\":1.0,\"late_value\":0.5,\"idempotency\":\"{}\",\"dedup_scope\":\"{}\",\"repeat_window_us\":{},\"streaming\":false}}",
                c.name, c.objective_ms * 1000, c.deadline_ms * 1000, c.idempotency, c.scope, c.window_ms * 1000
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        let tenant = |(name, portion): &(&str, f64)| {
            format!("{{\"name\":\"{name}\",\"portion\":{portion},\"quota_per_s\":50.0}}")
        };
        let tenants: Vec<String> = self.tenants.iter().map(tenant).collect();
        format!(
            "{{\"balancers\":{},\"me\":{me},\"discovery\":\"push\",\"tick_us\":5000,\"classes\":[{}],\"tenants\":[{}],\
             \"azs\":[\"palermo\",\"catania\",\"milano\"],\"locality\":\"palermo\",\"charges\":{{\"cross_zone\":0.07}},\
             \"limits\":{{\"cancel\":true,\"probes\":false,\"second_copies\":{},\"max_attempts\":5,\"max_retry_after_us\":{},\
             \"retry_after\":true,\"connect_timeout_us\":250000,\"conn_idle_us\":5000000,\"max_streams\":1}},\
             \"invariants\":{{\"cold_from\":0.12,\"cold_us\":{},\"ask_every_us\":10000000,\"fall_multiple\":2.5,\"drain_grace_us\":2500000,\"tip_after_us\":1500000,\"answer_slack_us\":20000}},\
             \"result_mix\":{{\"whole\":0.35,\"worst_class\":0.2,\"worst_tenant\":0.1,\"worst_window\":0.35}}}}",
            self.proxies, classes.join(","), tenants.join(","), self.second_copies, self.retry_after_us, self.cold_us
        )
    }
}

/// A proxy: the project's program, started as the deploy file says, with another operators' file.
pub struct Proxy {
    pub name: String,
    pub listen: SocketAddr,
    pub side: SocketAddr,
    pub peer: SocketAddr,
    number: usize,
    child: Option<Child>,
}

pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".into()))
}

impl Proxy {
    pub fn new(number: usize) -> Proxy {
        Proxy {
            name: format!("p{}", number + 1),
            listen: free(),
            side: free(),
            peer: free(),
            number,
            child: None,
        }
    }

    /// Writes its operators' file: the side port, the peers, and `more`.
    pub fn write_file(&self, contacts: &[SocketAddr], more: &str) {
        let contacts: Vec<String> = contacts.iter().map(|c| format!("\"{c}\"")).collect();
        let text = format!(
            "[status]\nlisten_port = {}\n[peers]\nlisten = \"{}\"\nadvertise = \"{}\"\ncontacts = [{}]\ncluster = \"review\"\nnetworks = [\"127.0.0.0/8\"]\n{more}",
            self.side.port(), self.peer, self.peer, contacts.join(", ")
        );
        self.write_own(&text);
    }

    pub fn write_own(&self, text: &str) {
        fs::write(folder().join(format!("{}.toml", self.name)), text).unwrap();
    }

    pub fn start(&mut self, site: &Site, discovery: &Discovery) {
        // New with each start.
        let start = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let seed = start.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id());
        let config = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{seed:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":128,\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.name, self.listen, discovery.address, site.sockets, discovery.known(), site.json(self.number)
        );
        let path = folder().join(format!("{}.json", self.name));
        fs::write(&path, config).unwrap();
        let log = fs::File::options().create(true).append(true).open(self.log_path()).unwrap();
        let own = folder().join(format!("{}.toml", self.name));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("exec target/release/flaxhead {}", own.display()))
            .current_dir(root())
            .env("ROUTER_NAME", &self.name)
            .env("ROUTER_LISTEN", self.listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.address.to_string())
            .env("ROUTER_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(error.to_string()));
        RUNNING.lock().unwrap().push(child.id());
        note(format!("{} started, process {}", self.name, child.id()));
        self.child = Some(child);
    }

    pub fn log_path(&self) -> PathBuf {
        folder().join(format!("{}.log", self.name))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn is_up(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.listen, Duration::from_millis(200)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut start = [0; 12];
        stream.read_exact(&mut start).is_ok() && &start == b"HTTP/1.1 200"
    }

    pub fn wait_ready(&self, ms: u64) {
        let until = now() + ms;
        while !self.is_up() {
            if now() > until {
                let log: String = self.log().chars().take(1_000).collect();
                cannot_run(format!("{} is not ready: {log}", self.name));
            }
            sleep_ms(10);
        }
        note(format!("{} is ready", self.name));
    }

    pub fn send_signal(&self, number: i32, what: &str) {
        note(format!("{what} to {}", self.name));
        signal(self.pid(), number);
    }

    /// Whether it has ended; waits for that for so long.
    pub fn ended(&mut self, ms: u64) -> bool {
        let until = now() + ms;
        loop {
            match self.child.as_mut().map(Child::try_wait) {
                None => return true,
                Some(Ok(Some(status))) => {
                    note(format!("{} ended: {status}", self.name));
                    let pid = self.pid();
                    RUNNING.lock().unwrap().retain(|of| *of != pid);
                    self.child = None;
                    return true;
                }
                _ if now() >= until => return false,
                _ => sleep_ms(2),
            }
        }
    }

    pub fn kill(&mut self) {
        self.send_signal(SIGKILL, "SIGKILL");
        self.ended(2000);
    }

    /// `flaxhead work ADDRESS ...`: its exit code and what it printed.
    pub fn work(&self, words: &[&str]) -> (i32, String) {
        let output = Command::new(root().join("target/release/flaxhead"))
            .arg("work")
            .arg(self.side.to_string())
            .args(words)
            .stdin(Stdio::null())
            .output()
            .unwrap_or_else(|error| cannot_run(error.to_string()));
        let text = String::from_utf8_lossy(&output.stdout).trim().to_owned()
            + String::from_utf8_lossy(&output.stderr).trim();
        (output.status.code().unwrap_or(-1), text)
    }

    /// What its side port shows at a path.
    pub fn shown(&self, path: &str) -> Option<Json> {
        shown_at(self.side, path)
    }
}

/// What the side port at an address shows at a path.
pub fn shown_at(side: SocketAddr, path: &str) -> Option<Json> {
    let mut stream = TcpStream::connect_timeout(&side, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(1000))).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut stream)?;
    first.contains(" 200").then(|| Json::parse(&String::from_utf8_lossy(&body))).flatten()
}

// ------------------------------------------------------------------------------------------------- clients

#[derive(Clone, Debug)]
pub struct Answer {
    /// 0: the connection ended without one.
    pub status: u16,
    pub body: String,
    pub after_ms: u64,
}

pub fn fresh_id() -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000 + NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// A client's connection, kept between requests.
pub struct Client {
    pub proxy: String,
    stream: TcpStream,
}

impl Client {
    pub fn connect(proxy: &str, address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Client { proxy: proxy.to_owned(), stream })
    }

    /// One request and its answer. `free` classes use GET, others POST.
    pub fn call(&mut self, class: &Class, tenant: &str, id: &str, key: &str, budget_ms: u64) -> Answer {
        self.call_for(class, tenant, id, key, budget_ms, budget_ms + 500)
    }

    /// The same, by a client that waits for so long.
    pub fn call_for(
        &mut self,
        class: &Class,
        tenant: &str,
        id: &str,
        key: &str,
        budget_ms: u64,
        waits_ms: u64,
    ) -> Answer {
        let method = if class.idempotency == "free" { "GET" } else { "POST" };
        let mut text = format!(
            "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\nX-Call-Class: {}\r\nX-Budget-Ms: {budget_ms}\r\n",
            class.name
        );
        if !tenant.is_empty() {
            text += &format!("X-Caller: {tenant}\r\n");
        }
        if class.idempotency == "guarded" {
            text += &format!("Idempotency-Key: {key}\r\n");
        }
        if method == "POST" {
            text += "Content-Length: 2\r\n\r\n{}";
        } else {
            text += "\r\n";
        }
        let start = Instant::now();
        note(format!("client: {id} ({}) to {}", class.name, self.proxy));
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(waits_ms.max(1))));
        let answer =
            match self.stream.write_all(text.as_bytes()).ok().and_then(|()| read_message(&mut self.stream)) {
                Some((first, _, body)) => Answer {
                    status: first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0),
                    body: String::from_utf8_lossy(&body).into_owned(),
                    after_ms: start.elapsed().as_millis() as u64,
                },
                None => {
                    Answer { status: 0, body: String::new(), after_ms: start.elapsed().as_millis() as u64 }
                }
            };
        note(format!("client: {id} got {} after {} ms", answer.status, answer.after_ms));
        answer
    }
}

/// A request on a connection of its own.
pub fn call(proxy: &str, address: SocketAddr, class: &Class, tenant: &str, budget_ms: u64) -> Answer {
    let id = fresh_id();
    match Client::connect(proxy, address) {
        Some(mut client) => client.call(class, tenant, &id, &id, budget_ms),
        None => Answer { status: 0, body: String::new(), after_ms: 0 },
    }
}

// ---------------------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        Json::value(&bytes, &mut at)
    }

    fn value(text: &[char], at: &mut usize) -> Option<Json> {
        let skip = |at: &mut usize| {
            while text.get(*at).is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':') {
                *at += 1;
            }
        };
        skip(at);
        match text.get(*at)? {
            '{' => {
                *at += 1;
                let mut object = BTreeMap::new();
                loop {
                    skip(at);
                    if text.get(*at)? == &'}' {
                        *at += 1;
                        return Some(Json::Object(object));
                    }
                    let Json::Text(key) = Json::value(text, at)? else { return None };
                    object.insert(key, Json::value(text, at)?);
                }
            }
            '[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    skip(at);
                    if text.get(*at)? == &']' {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    list.push(Json::value(text, at)?);
                }
            }
            '"' => {
                *at += 1;
                let mut word = String::new();
                loop {
                    match text.get(*at)? {
                        '"' => break,
                        '\\' => {
                            *at += 1;
                            word.push(*text.get(*at)?);
                        }
                        c => word.push(*c),
                    }
                    *at += 1;
                }
                *at += 1;
                Some(Json::Text(word))
            }
            _ => {
                let start = *at;
                while text.get(*at).is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c)) {
                    *at += 1;
                }
                let word: String = text[start..*at].iter().collect();
                match word.as_str() {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    _ => word.parse().ok().map(Json::Number),
                }
            }
        }
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(object) => object.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => -1.0,
        }
    }

    pub fn is_true(&self) -> bool {
        *self == Json::Bool(true)
    }
}

// ---------------------------------------------------------------------------------------------------- turns

#[derive(Clone, Debug)]
pub struct Turn {
    pub id: u64,
    pub host: String,
    pub stage: String,
    pub free: bool,
}

/// The open turns, as a proxy shows them; `None`: it does not answer.
pub fn turns(proxy: &Proxy) -> Option<Vec<Turn>> {
    let shown = proxy.shown("/work.json")?;
    let turn = |of: &Json| Turn {
        id: of.get("id").number() as u64,
        host: of.get("host").text().to_owned(),
        stage: of.get("stage").text().to_owned(),
        free: of.get("free").is_true(),
    };
    Some(shown.get("turns").list().iter().map(turn).collect())
}

/// The place of the proxy that hands out turns, once one does and says that it knows what is out.
pub fn holder(proxies: &[Proxy], ms: u64) -> usize {
    let until = now() + ms;
    loop {
        for (place, proxy) in proxies.iter().enumerate() {
            if proxy
                .shown("/work.json")
                .is_some_and(|shown| shown.get("is_holder").is_true() || shown.get("holds").is_true())
            {
                return place;
            }
        }
        if now() > until {
            let shown = proxies.iter().map(|p| format!("{:?}", p.shown("/work.json"))).collect::<Vec<_>>();
            cannot_run(format!("nobody hands out turns: {}", shown.join("\n")));
        }
        sleep_ms(50);
    }
}

// ------------------------------------------------------------------------------------------ what a process uses

/// How long a process's first thread has run, or wanted to, so far, in milliseconds; `None`: the system does not say.
fn busy_ms(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/task/{pid}/schedstat")).ok()?;
    let mut words = text.split_whitespace();
    let (ran, queued): (u64, u64) = (words.next()?.parse().ok()?, words.next()?.parse().ok()?);
    (ran > 0).then_some((ran + queued) / 1_000_000)
}

/// How often a process's first thread has given the processor up by itself: each wait of its own is one.
fn waits(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/task/{pid}/status")).ok()?;
    text.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"))?.trim().parse().ok()
}

/// The waits of a process's first thread in a span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Waits {
    pub times: u64,
    /// All that it neither ran nor was kept from running; on a machine that is itself kept waiting, that too.
    pub ms: u64,
}

/// Watches a process for so long.
pub fn watch(name: &str, pid: u32, ms: u64) -> Waits {
    let seen = || {
        let (busy, times) = (busy_ms(pid), waits(pid));
        busy.zip(times).unwrap_or_else(|| cannot_run(format!("the system does not tell of {pid}")))
    };
    let (first, begin) = (seen(), Instant::now());
    let mut waits = Waits::default();
    while begin.elapsed() < Duration::from_millis(ms) {
        thread::sleep(
            Duration::from_millis(3_000).min(Duration::from_millis(ms).saturating_sub(begin.elapsed())),
        );
        let (last, elapsed) = (seen(), begin.elapsed().as_millis() as u64);
        waits = Waits { times: last.1 - first.1, ms: elapsed.saturating_sub(last.0 - first.0) };
        note(format!(
            "{name}: {} waits, of {} in {elapsed} ms, since the watch began",
            waits.times, waits.ms
        ));
    }
    waits
}

impl Waits {
    /// Whether a thread that waited so in so long went on without a wait that is one: fewer than two a second, and less
    /// than a tenth of the time in all.
    pub fn are_none(&self, ms: u64) -> bool {
        self.times < ms / 500 && self.ms < ms / 10
    }
}
