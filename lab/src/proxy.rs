//! The proxies of a run: the daemon itself, each a process of its own, configured as the platform does it.

use crate::audit::Repeat;
use crate::experiment::Experiment;
use crate::figures::LATE_VALUE;
use nix::sched::{sched_setaffinity, CpuSet};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How long a start, and a stop, may take.
const PATIENCE: Duration = Duration::from_secs(10);

/// Processes that are running, so that a signal can take them along.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills every proxy that is running.
pub fn kill_all() {
    let running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for pid in running.iter() {
        // It may have ended meanwhile.
        let _ = kill(Pid::from_raw(*pid), Signal::SIGKILL);
    }
}

/// How a proxy is started.
#[derive(Clone, Debug)]
pub struct Program {
    path: PathBuf,
    first: Vec<OsString>,
}

impl Program {
    /// The daemon as it was built into this program, run as `PATH proxy`.
    pub fn own(path: PathBuf) -> Program {
        Program { path, first: vec!["proxy".into()] }
    }

    /// An application that has the plug-in loaded, run as `PATH host`.
    pub fn host(path: PathBuf) -> Program {
        Program { path, first: vec!["host".into()] }
    }

    /// Another build of it.
    pub fn at(path: PathBuf) -> Program {
        Program { path, first: Vec::new() }
    }
}

/// What one proxy is told, as the file that `ROUTER_CONFIG` names.
pub fn configuration(
    of: &Experiment,
    number: usize,
    seed: u64,
    listen: SocketAddr,
    discovery: SocketAddr,
    list: &Value,
) -> Value {
    let micros = |ms: u64| ms * 1_000;
    let classes = of.classes.iter().map(|class| {
        let kind = match class.repeat {
            Repeat::Free => "free",
            Repeat::Keyed => "guarded",
            Repeat::Never => "single_shot",
        };
        json!({
            "name": class.name, "objective_us": micros(class.aim_ms), "deadline_us": micros(class.gives_up_ms),
            "worth": class.worth, "late_value": LATE_VALUE, "idempotency": kind, "dedup_scope": "cell",
            "repeat_window_us": micros(of.fleet.repeat_window_ms),
        })
    });
    let listed = || of.tenants.iter().filter(|t| t.listed);
    let shares: f64 = listed().map(|t| t.share).sum();
    let tenants =
        listed().map(|t| json!({"name": t.name, "portion": t.share / shares.max(f64::MIN_POSITIVE)}));
    let nodes = || of.fleet.nodes.iter().map(|spec| spec.get_ref());
    let cold = nodes().map(|spec| spec.cold_share).fold(1.0, f64::min);
    let cold_ms = nodes().map(|spec| spec.cold_ms).fold(0.0, f64::max);
    let idle = nodes().map(|spec| spec.idle_ms).min().unwrap_or(5_000);
    json!({
        "name": format!("n{number}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:016x}", seed.wrapping_add(number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": of.proxies.sockets},
        "known": list,
        "settings": {
            "balancers": of.proxies.count, "me": number, "discovery": "push", "tick_us": 1_000,
            "classes": classes.collect::<Vec<_>>(), "tenants": tenants.collect::<Vec<_>>(),
            "azs": of.fleet.zones, "locality": of.fleet.zones[number % of.fleet.zones.len()],
            "limits": {
                "cancel": true, "probes": false, "second_copies": of.proxies.second_copies,
                "max_attempts": of.proxies.max_attempts,
                "max_retry_after_us": micros(of.proxies.max_retry_after_ms),
                "connect_timeout_us": micros(of.proxies.connect_timeout_ms), "conn_idle_us": micros(idle),
            },
            "invariants": {"cold_from": cold, "cold_us": (cold_ms * 1_000.0) as u64, "ask_every_us": 10_000_000},
            "result_mix": {"whole": 0.35, "worst_class": 0.2},
        }
    })
}

/// A running proxy. Dropped, it is killed.
#[derive(Debug)]
pub struct Proxy {
    /// Where its clients connect; the same after a restart.
    pub address: SocketAddr,
    program: Program,
    config: PathBuf,
    own_file: Option<PathBuf>,
    log: PathBuf,
    child: Child,
}

/// What a proxy used.
#[derive(Clone, Copy, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Peak of its memory, in megabytes.
    pub peak_mb: f64,
}

impl Proxy {
    /// Starts a proxy with its configuration, which is written into a folder beside its log.
    pub fn start(
        program: &Program,
        config: &Value,
        own_file: Option<&Path>,
        folder: &Path,
    ) -> io::Result<Proxy> {
        let word = |key: &str| config[key].as_str().unwrap_or_default().to_owned();
        let (name, listen) = (word("name"), word("listen"));
        let address = listen.parse().map_err(io::Error::other)?;
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, serde_json::to_vec_pretty(config)?)?;
        let log = folder.join(format!("{name}.log"));
        File::create(&log)?;
        let own_file = own_file.map(Path::to_owned);
        let child = spawn(program, &path, own_file.as_deref(), &log)?;
        Ok(Proxy { address, program: program.clone(), config: path, own_file, log, child })
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32)
    }

    /// Waits until it says that it is ready.
    pub fn ready(&mut self) -> io::Result<()> {
        let until = Instant::now() + PATIENCE;
        loop {
            if health(self.address).is_ok_and(|ok| ok) {
                return Ok(());
            }
            if let Some(status) = self.child.try_wait()? {
                let log = fs::read_to_string(&self.log).unwrap_or_default();
                return Err(io::Error::other(format!("the proxy ended with {status}: {}", log.trim_end())));
            }
            if Instant::now() > until {
                return Err(io::Error::other(format!("the proxy at {} is not ready", self.address)));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Stops it where it stands, or lets it go on.
    pub fn freeze(&self, on: bool) -> io::Result<()> {
        let signal = if on { Signal::SIGSTOP } else { Signal::SIGCONT };
        kill(self.pid(), signal).map_err(io::Error::from)
    }

    /// Kills it.
    pub fn kill(&mut self) {
        // One that has ended by itself cannot be killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget(self.pid());
    }

    /// Starts it again, after it was killed, with a new seed and the list as it was last told.
    pub fn restart(&mut self, seed: u64, list: &Value) -> io::Result<()> {
        self.relaunch(seed, list)?;
        self.ready()
    }

    /// The same, without waiting until it is ready.
    pub fn relaunch(&mut self, seed: u64, list: &Value) -> io::Result<()> {
        let mut config: Value = serde_json::from_slice(&fs::read(&self.config)?)?;
        config["known"] = list.clone();
        config["seed"] = format!("{seed:016x}").into();
        fs::write(&self.config, serde_json::to_vec_pretty(&config)?)?;
        self.child = spawn(&self.program, &self.config, self.own_file.as_deref(), &self.log)?;
        Ok(())
    }

    /// Keeps it, and what it starts, to these processors.
    pub fn pin(&self, processors: &[usize]) -> io::Result<()> {
        pin(self.pid(), processors)
    }

    /// What it has used so far; nothing is known of one that has ended.
    pub fn usage(&self) -> Usage {
        let read =
            |file: &str| fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default();
        let stat = read("stat");
        // Fields 14 and 15 are the times in hundredths of a second; the second field may hold blanks.
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: f64 = fields.skip(11).take(2).filter_map(|f| f.parse::<f64>().ok()).sum();
        let status = read("status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = peak.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0);
        Usage { cpu_s: ticks / 100.0, peak_mb: kb / 1_024.0 }
    }

    /// Asks it to stop, and waits until it has.
    pub fn stop(&mut self) -> io::Result<()> {
        kill(self.pid(), Signal::SIGTERM).map_err(io::Error::from)?;
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                forget(self.pid());
                return match status.success() {
                    true => Ok(()),
                    false => Err(io::Error::other(format!("the proxy ended with {status}"))),
                };
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill();
        Err(io::Error::other("the proxy did not stop when asked"))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Keeps the calling thread, and those that it starts, to these processors.
pub fn pin_this(processors: &[usize]) -> io::Result<()> {
    pin(Pid::from_raw(0), processors)
}

fn pin(pid: Pid, processors: &[usize]) -> io::Result<()> {
    let mut set = CpuSet::new();
    processors.iter().try_for_each(|&processor| set.set(processor)).map_err(io::Error::from)?;
    sched_setaffinity(pid, &set).map_err(io::Error::from)
}

fn forget(pid: Pid) {
    RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).retain(|of| *of != pid.as_raw());
}

fn spawn(program: &Program, config: &Path, own_file: Option<&Path>, log: &Path) -> io::Result<Child> {
    let log = File::options().append(true).open(log)?;
    let mut command = Command::new(&program.path);
    command.args(&program.first).args(own_file).env("ROUTER_CONFIG", config);
    // Its standard input ends when this process does, however that comes about, and the proxy ends with it.
    let child = command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(log).spawn()?;
    RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(child.id() as i32);
    Ok(child)
}

/// Whether the proxy at an address says that it is ready.
pub fn health(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(b"GET /_health HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")?;
    let mut start = [0; 12];
    stream.read_exact(&mut start)?;
    Ok(&start == b"HTTP/1.1 200")
}
