//! Two dozen processes that do not talk to each other: what they send to a host that has just started stays, all in all,
//! under what the settings allow it; and most of them are ready soon when most are started again at once.

mod common;

use common::lag::Lag;
use common::serve::{answer_each, bound, serve_each};
use common::*;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

const PROCESSES: usize = 24;
const WARM: usize = 8;
/// Calls of mean work that a warm host does in a second.
const RATE: f64 = 20.0;
/// What all warm hosts can do, and the part of it that is asked for; half as much again in the burst.
const LOAD: f64 = 0.6;
const BURST: f64 = 1.5;
/// The settings' terms for cold hosts: what they can do at first, until when they are warm, and how many times what it
/// can do pushes one over, in which time.
const COLD_FROM: f64 = 0.12;
const COLD: Duration = Duration::from_secs(22);
const MULTIPLE: f64 = 2.5;
const FALL: Duration = Duration::from_millis(1_500);

/// A host that does one call after the other, and notes when each came.
#[derive(Clone)]
struct Worker {
    address: SocketAddr,
    /// When it started, if it is cold.
    started: Option<Instant>,
    free_at: Rc<Cell<Instant>>,
    came: Rc<RefCell<Vec<Instant>>>,
}

/// A part of the mean from 0 on, as work is drawn; the same draws in each run.
fn drawn(number: usize) -> f64 {
    let mut bits = number as u64 ^ 0x9e37_79b9_7f4a_7c15;
    for _ in 0..3 {
        bits = bits.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        bits ^= bits >> 29;
    }
    -(((bits >> 11) as f64 + 1.0) / (1_u64 << 53) as f64).min(1.0).ln()
}

impl Worker {
    async fn start(started: Option<Instant>) -> Worker {
        let (listener, address) = bound().await;
        let worker =
            Worker { address, started, free_at: Rc::new(Cell::new(Instant::now())), came: Rc::default() };
        let serving = worker.clone();
        answer_each(listener, move |_| sleep_until(serving.take()));
        worker
    }

    fn warmth(&self, at: Instant) -> f64 {
        let age = self.started.map_or(COLD, |started| at.saturating_duration_since(started));
        COLD_FROM + (1.0 - COLD_FROM) * (age.as_secs_f64() / COLD.as_secs_f64()).min(1.0)
    }

    /// Takes a call in; done at this moment.
    fn take(&self) -> Instant {
        let now = Instant::now();
        self.came.borrow_mut().push(now);
        let work = drawn(self.came.borrow().len()) / RATE / self.warmth(now);
        let done = self.free_at.get().max(now) + Duration::from_secs_f64(work);
        self.free_at.set(done);
        done
    }

    /// The most that came within the rules' time, as a part of what may.
    fn worst(&self, lag: Duration) -> f64 {
        let came = self.came.borrow();
        let part = |first: usize| {
            let from = came[first];
            // What a busy machine held up comes closer together than it was sent.
            let count = came[first..].iter().take_while(|&&at| at + lag < from + FALL).count() as f64;
            let n = MULTIPLE * self.warmth(from) * RATE * FALL.as_secs_f64();
            count / (n + 2.0 * n.sqrt() + 2.0)
        };
        (0..came.len()).map(part).fold(0.0, f64::max)
    }
}

/// Discovery that many watch: each gets the same, after so long.
#[derive(Clone)]
struct Common {
    address: SocketAddr,
    list: Rc<RefCell<String>>,
    watches: Rc<RefCell<Vec<OwnedWriteHalf>>>,
}

impl Common {
    async fn start(slow: Duration) -> Common {
        let (listener, address) = bound().await;
        let common = Common { address, list: Rc::default(), watches: Rc::default() };
        let serving = common.clone();
        serve_each(listener, move |stream| serving.clone().serve(stream, slow));
        let living = common.clone();
        spawn_local(async move {
            loop {
                sleep(Duration::from_secs(2)).await;
                living.say("1\r\n\n\r\n");
            }
        });
        common
    }

    async fn serve(self, stream: TcpStream, slow: Duration) {
        let (read, mut write) = stream.into_split();
        let mut reader = Reader::new(read);
        if reader.message().await.is_none() {
            return;
        }
        sleep(slow).await;
        let list = self.list.borrow().clone();
        let text = if list.is_empty() { String::new() } else { chunk(&list) };
        if write.write_all(format!("{WATCH}{text}").as_bytes()).await.is_ok() {
            self.watches.borrow_mut().push(write);
            // Until whoever watches closes.
            let _ = reader.stream.read(&mut [0; 8]).await;
        }
    }

    /// To all that watch; who has gone hears nothing.
    fn say(&self, text: &str) {
        self.watches.borrow_mut().retain(|watch| watch.try_write(text.as_bytes()).is_ok());
    }

    fn tell(&self, list: String) {
        self.say(&chunk(&list));
        *self.list.borrow_mut() = list;
    }
}

fn settings(config: &mut Value, me: usize, address: SocketAddr) {
    config["listen"] = address.to_string().into();
    config["seed"] = format!("{:x}", 77 + me).into();
    let settings = &mut config["settings"];
    settings["balancers"] = PROCESSES.into();
    settings["me"] = me.into();
    settings["discovery"] = "push".into();
    settings["invariants"]["cold_from"] = COLD_FROM.into();
    settings["invariants"]["cold_us"] = (COLD.as_micros() as u64).into();
    for class in 0..3 {
        settings["classes"][class]["objective_us"] = 600_000.into();
        settings["classes"][class]["deadline_us"] = 2_000_000.into();
    }
}

async fn ready(address: SocketAddr) {
    while connect(address).await.ask(HEALTH).await.status() != 200 {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Calls at one process, as often as its part of the load; they go on, whatever becomes of each.
fn load(address: SocketAddr, me: usize, burst: Rc<Cell<f64>>) {
    spawn_local(async move {
        let each = LOAD * RATE * WARM as f64 / PROCESSES as f64;
        // Some carry three times what others do.
        let each = each * if me.is_multiple_of(3) { 1.8 } else { 0.6 };
        for number in 0_usize.. {
            sleep(Duration::from_secs_f64(drawn(me * 100_003 + number) / each / burst.get())).await;
            spawn_local(async move {
                let id = format!("{:016}", me * 100_003 + number);
                let text = request("free", "", "").replace("9b1f03aa5c7e2d41", &id).replace("8000", "2000");
                let asked = async { connect(address).await.ask(&text).await };
                let _ = timeout(Duration::from_secs(3), asked).await;
            });
        }
    });
}

#[test]
fn two_dozen_processes_push_no_cold_host_over_under_a_burst_with_some_of_them_started_anew() {
    run(async {
        let mut warm = Vec::new();
        for _ in 0..WARM {
            warm.push(Worker::start(None).await);
        }
        let discovery = Common::start(Duration::ZERO).await;
        let mut entries: Vec<Value> = warm
            .iter()
            .enumerate()
            .map(|(number, worker)| entry(&format!("s-{number}"), worker.address, "Ready"))
            .collect();
        let addresses: Vec<SocketAddr> = (0..PROCESSES).map(|_| free_address()).collect();
        let start = |me: usize, hosts: &[Value]| {
            let config = configuration(discovery.address, &[], |config| {
                settings(config, me, addresses[me]);
                config["known"]["hosts"] = hosts.into();
            });
            Running::start(
                program(&config, &format!("throng-{me}.json")).0.stderr(std::process::Stdio::null()),
            )
        };
        let mut processes: Vec<Running> = (0..PROCESSES).map(|me| start(me, &entries)).collect();
        let burst = Rc::new(Cell::new(1.0));
        for (me, &address) in addresses.iter().enumerate() {
            ready(address).await;
            load(address, me, burst.clone());
        }
        eventually("all watch", || discovery.watches.borrow().len() == PROCESSES).await;
        let served = || warm.iter().map(|worker| worker.came.borrow().len()).sum::<usize>();
        eventually("all is learned", || served() > 20 * PROCESSES).await;
        // Two that have just started, told to all at once, and the burst with them.
        let began = Instant::now();
        let born =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a clock").as_millis() as u64;
        let cold = [Worker::start(Some(began)).await, Worker::start(Some(began)).await];
        for (number, worker) in cold.iter().enumerate() {
            let mut entry = entry(&format!("cold-{number}"), worker.address, "Ready");
            entry["born_ms"] = born.into();
            entries.push(entry);
        }
        burst.set(BURST);
        discovery.tell(list(42, true, &entries));
        let lag = Lag::watch();
        let all = || cold.iter().map(|worker| worker.came.borrow().len()).sum::<usize>();
        eventually("the cold ones are used", || all() >= 12).await;
        // A third of the processes is started anew, and knows of them from its first moment on.
        for me in (0..PROCESSES).step_by(3) {
            processes[me].kill().expect("killed");
            processes[me] = start(me, &entries);
        }
        while began.elapsed() < Duration::from_secs(10) {
            sleep(Duration::from_millis(50)).await;
        }
        let worst = cold.iter().map(|worker| worker.worst(lag.most())).fold(0.0, f64::max);
        println!("at most {worst:.2} of what may be sent, {} sent, at a lag of {:?}", all(), lag.most());
        assert!(all() >= 20, "they were left alone");
        assert!(worst <= 1.0, "{worst} times what may be sent, at a lag of {:?}", lag.most());
    });
}

#[test]
fn most_processes_are_ready_soon_when_most_start_again_at_once_and_discovery_is_slow() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let discovery = Common::start(Duration::from_secs(4)).await;
        let entries = [entry("s-0", host.address, "Ready")];
        discovery.tell(list(41, true, &entries));
        let addresses: Vec<SocketAddr> = (0..PROCESSES).map(|_| free_address()).collect();
        let start = |me: usize, mode: &str, known: bool| {
            let config = configuration(discovery.address, &[], |config| {
                settings(config, me, addresses[me]);
                config["settings"]["discovery"] = mode.into();
                if known {
                    config["known"]["hosts"] = entries.as_slice().into();
                }
            });
            Running::start(
                program(&config, &format!("ready-{me}.json")).0.stderr(std::process::Stdio::null()),
            )
        };
        for (mode, known) in [("push", true), ("push", false), ("ask", true), ("ask", false)] {
            let mut processes: Vec<Running> = (0..PROCESSES).map(|me| start(me, mode, true)).collect();
            for &address in &addresses {
                ready(address).await;
            }
            // Three of four are killed, and start again together.
            let most: Vec<usize> = (0..PROCESSES).filter(|me| me % 4 != 0).collect();
            for &me in &most {
                processes[me].kill().expect("killed");
                processes[me].wait().expect("ended");
            }
            let began = Instant::now();
            for &me in &most {
                processes[me] = start(me, mode, known);
            }
            let mut waits: Vec<Duration> = Vec::new();
            for &me in &most {
                let _ = timeout(Duration::from_secs(30), ready(addresses[me])).await;
                waits.push(began.elapsed());
            }
            waits.sort();
            let nine_in_ten = waits[most.len() * 9 / 10 - 1];
            println!("{mode}, a list in hand {known}: nine in ten ready after {nine_in_ten:?}");
            assert!(nine_in_ten <= Duration::from_secs(10), "{mode}, a list in hand {known}: {waits:?}");
        }
    });
}
