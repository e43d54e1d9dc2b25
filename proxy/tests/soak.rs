//! Mixes of bad clients, hosts, crowds and signals that a seed draws: memory stays under its limit, each request of a
//! sound client has its one answer in time, and none runs twice.
//!
//! `FLAXHEAD_SOAK_SEEDS=1-50 cargo test -p flaxhead-proxy --test soak -- --nocapture` plays other seeds than CI's.

mod common;

use common::abuse::{beside, Abuse, Answers, ABUSES, ANSWERS};
use common::rig::{LimitsOfRun, Rig, SOUND_BUDGET};
use common::usage::peak_resident_bytes;
use common::*;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// The seeds of a run in CI.
const SEEDS: RangeInclusive<u64> = 1..=8;
/// How long a run lasts before the program is told to stop.
const TIME: Duration = Duration::from_secs(3);
/// The longest deadline of a run's classes, and when the program is killed: that time and 0.7 s after it is told.
const DEADLINE: Duration = Duration::from_secs(2);
const KILL_DELAY: Duration = Duration::from_millis(2_700);
/// Sound clients that keep their connections.
const SOUND_CLIENTS: u64 = 6;
/// By how much an answer may be late on a busy machine.
const SLACK: Duration = Duration::from_millis(500);

/// Draws from a seed.
struct Draws(u64);

impl Draws {
    fn below(&mut self, count: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        usize::try_from((mixed ^ (mixed >> 31)) % count as u64).expect("a small number")
    }

    fn of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }
}

/// What became of sound requests.
#[derive(Default)]
struct Tally {
    statuses: RefCell<BTreeMap<u16, usize>>,
    /// Requests that had no answer, or a late one.
    lost: RefCell<Vec<String>>,
    stopping: Cell<bool>,
}

/// How a request on a connection ended.
enum Ended {
    Answered(u16),
    /// The connection was closed without an answer.
    Closed,
    Late,
}

async fn ask(client: &mut Client, text: &str) -> Ended {
    if tokio::io::AsyncWriteExt::write_all(&mut client.stream, text.as_bytes()).await.is_err() {
        return Ended::Closed;
    }
    match timeout(SOUND_BUDGET + SLACK, client.message()).await {
        Ok(Some(message)) => Ended::Answered(message.status()),
        Ok(None) => Ended::Closed,
        Err(_) => Ended::Late,
    }
}

/// A client that sends one request after the other, and keeps its connection until the program ends.
async fn sound_client(address: std::net::SocketAddr, client_number: u64, tally: Rc<Tally>) {
    let mut kept: Option<Client> = None;
    for number in 0_u64.. {
        let id = format!("{}{client_number:02}{number:012}", common::abuse::SOUND_PREFIX);
        let text = request("unsafe", "", "sound").replace("9b1f03aa5c7e2d41", &id).replace("8000", "2000");
        let was_kept = kept.is_some();
        let mut client = match kept.take() {
            Some(client) => client,
            None => match TcpStream::connect(address).await {
                Ok(stream) => Reader::new(stream),
                // It takes no more connections.
                Err(_) => return,
            },
        };
        let mut ended = ask(&mut client, &text).await;
        // Closed between requests: it goes again, on a new connection.
        if was_kept && matches!(ended, Ended::Closed) {
            let Ok(stream) = TcpStream::connect(address).await else { return };
            client = Reader::new(stream);
            ended = ask(&mut client, &text).await;
        }
        match ended {
            Ended::Answered(status) => {
                *tally.statuses.borrow_mut().entry(status).or_default() += 1;
                kept = Some(client);
            }
            // Closed as it is told to stop, on a connection that came too late for it.
            Ended::Closed if tally.stopping.get() => return,
            Ended::Closed => tally.lost.borrow_mut().push(format!("{id} closed")),
            Ended::Late => tally.lost.borrow_mut().push(format!("{id} late")),
        }
        sleep(Duration::from_millis(15)).await;
    }
}

/// Signals that a seed draws, while the run lasts.
async fn signals(rig: &Rig, draws: &mut Draws, until: Instant) {
    while Instant::now() < until {
        sleep(Duration::from_millis(300 + draws.below(700) as u64)).await;
        match draws.below(3) {
            0 => {
                for _ in 0..=draws.below(3) {
                    tell(&rig.child, "-HUP");
                }
            }
            1 => {
                tell(&rig.child, "-STOP");
                sleep(Duration::from_millis(50 + draws.below(350) as u64)).await;
                tell(&rig.child, "-CONT");
            }
            _ => {}
        }
    }
}

async fn play(seed: u64) {
    let mut draws = Draws(seed);
    let limits = LimitsOfRun {
        memory_mb: draws.of(&[32, 32, 48, 96, 192]),
        sockets: draws.of(&[256, 512, 1_024, 1_024]),
        cores: 1.0,
    };
    let answers = [Answers::Soundly, draws.of(&ANSWERS), draws.of(&ANSWERS)];
    let mut abuses: Vec<(Abuse, usize)> =
        (0..2 + draws.below(3)).map(|_| (draws.of(&ABUSES), 10 + draws.below(100))).collect();
    if draws.below(3) == 0 {
        abuses.push((draws.of(&[Abuse::Idle, Abuse::LacksLastByte, Abuse::BodyInPieces]), 800));
    }
    let what = format!("seed {seed}: {limits:?}, hosts {answers:?}, clients {abuses:?}");
    let rig = Rig::with_deadline(&format!("soak-{seed}"), limits, &answers, DEADLINE).await;
    let tally = Rc::new(Tally::default());
    for number in 0..SOUND_CLIENTS {
        beside(sound_client(rig.address, number, tally.clone()));
    }
    let began = Instant::now();
    let mut clients = Vec::new();
    for &(abuse, count) in &abuses {
        clients.push(abuse.begin(rig.address, count).await);
    }
    signals(&rig, &mut draws, began + TIME).await;
    let served = tally.statuses.borrow().clone();
    stop(rig, &tally, &what, limits).await;
    let lost = tally.lost.borrow();
    println!("{what}: {served:?}, in all {:?}", tally.statuses.borrow());
    assert!(lost.is_empty(), "{what}: {lost:?}");
    let all: usize = served.values().sum();
    let count = served.get(&200).copied().unwrap_or(0);
    assert!(count * 2 >= all && count > 0, "{what}: {served:?}");
    drop(clients);
}

/// Tells the program to stop, twice, and kills it as early as the platform may.
async fn stop(mut rig: Rig, tally: &Tally, what: &str, limits: LimitsOfRun) {
    tally.stopping.set(true);
    tell(&rig.child, "-TERM");
    let told = Instant::now();
    let mut peak = 0;
    while told.elapsed() < KILL_DELAY && rig.child.try_wait().expect("it can be waited for").is_none() {
        // It may end at any moment.
        peak = peak.max(peak_resident_bytes(&rig.child).unwrap_or(0));
        tell(&rig.child, "-TERM");
        sleep(Duration::from_millis(100)).await;
    }
    let ended = rig.child.try_wait().expect("it can be waited for");
    assert!(ended.is_none_or(|status| status.success()), "{what}: {ended:?}");
    println!("seed peak {} KB of {} MB, ended by itself: {}", peak >> 10, limits.memory_mb, ended.is_some());
    assert!(peak < limits.memory_mb * 1_000_000, "{what}: {peak} bytes");
    rig.child.kill().expect("killed");
    rig.assert_ran_once(what);
}

/// CI's seeds, or those that were asked for, as `FIRST-LAST`.
fn seeds() -> RangeInclusive<u64> {
    let Ok(asked) = std::env::var("FLAXHEAD_SOAK_SEEDS") else { return SEEDS };
    let (first, last) = asked.split_once('-').expect("FIRST-LAST");
    first.parse().expect("a seed")..=last.parse().expect("a seed")
}

#[test]
fn mixes_of_bad_clients_and_hosts_stay_within_limits_and_lose_no_sound_request() {
    for seed in seeds() {
        run(play(seed));
    }
}
