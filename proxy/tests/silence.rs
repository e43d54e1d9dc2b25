//! Watches that fall silent, agents that are away, and lists that come indented: what the proxy must have by the page's
//! clocks, whether or not discovery wrote it.

mod common;

use common::lag::Lag;
use common::*;
use flaxhead_discovery::Discovery as Watched;
use flaxhead_engine::{spawn, ListSource};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::slice::from_ref;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Watches at once, as many as the full fleet has proxies.
const FLEET: u64 = 300;

/// What discovery does with those who ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mood {
    /// Answers, and says nothing more.
    Answer,
    /// Holds whoever asks until it answers again.
    Hold,
    /// Closes the connection.
    Close,
}

/// Discovery with a mood: it notes who asks, by the version asked from, and how many wait for it or watch.
#[derive(Clone)]
struct Moody {
    address: SocketAddr,
    mood: watch::Sender<Mood>,
    answer: Rc<RefCell<String>>,
    asks: Rc<RefCell<Vec<(u64, Instant)>>>,
    open: Rc<Cell<usize>>,
}

impl Moody {
    async fn start(mood: Mood, answer: String) -> Moody {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let answer = Rc::new(RefCell::new(answer));
        let (asks, open) = Default::default();
        let moody = Moody { address, mood: watch::Sender::new(mood), answer, asks, open };
        let serving = moody.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let moody = serving.clone();
                spawn_local(async move {
                    let mut reader = Reader::new(stream);
                    let Some(message) = reader.message().await else { return };
                    let since = message.first.split(['=', ' ']).rev().find_map(|word| word.parse().ok());
                    moody.asks.borrow_mut().push((since.unwrap_or(0), Instant::now()));
                    moody.open.set(moody.open.get() + 1);
                    let mut mood = moody.mood.subscribe();
                    let mut rest = [0; 8];
                    tokio::select! {
                        mood = mood.wait_for(|mood| *mood != Mood::Hold) => {
                            let closes = mood.is_ok_and(|mood| *mood == Mood::Close);
                            let text = moody.answer.borrow().clone();
                            if !closes && reader.stream.write_all(text.as_bytes()).await.is_ok() {
                                let _ = reader.stream.read(&mut rest).await;
                            }
                        }
                        _ = reader.stream.read(&mut rest) => {}
                    }
                    moody.open.set(moody.open.get() - 1);
                });
            }
        });
        moody
    }

    fn asked(&self) -> usize {
        self.asks.borrow().len()
    }
}

fn drained(seq: u64, old: &Host, new: &Host) -> String {
    list(seq, false, &[entry("s-0", old.address, "Terminating"), entry("s-9", new.address, "Ready")])
}

/// All watches fall silent at once: each is opened anew before what it missed counts as told, 6 s later, from the
/// version in hand, and never more than three times the mean of them in a tenth of a second.
fn fall_silent(watched: fn(SocketAddr, u64) -> Watched) {
    run(async {
        let discovery = Moody::start(Mood::Answer, format!("{WATCH}{}", chunk(""))).await;
        let lag = Lag::watch();
        let watches: Vec<_> = (0..FLEET)
            .map(|me| spawn(watched(discovery.address, me).watch(Some(1_000 + me), Box::new(|_| ()))))
            .collect();
        eventually("all watch", || discovery.asked() >= FLEET as usize).await;
        eventually("all ask again", || discovery.asked() >= 2 * FLEET as usize).await;
        drop(watches);
        let mut by_watch: BTreeMap<u64, Vec<Instant>> = BTreeMap::new();
        for &(since, at) in discovery.asks.borrow().iter() {
            by_watch.entry(since).or_default().push(at);
        }
        assert_eq!(by_watch.len(), FLEET as usize, "one asked from a version that it does not have");
        // What a busy machine holds up is no fault of the watches: by as much they may come later, and together.
        let lag = lag.most();
        let width = Duration::from_millis(100) + lag;
        let (mut parts, mut late) = (BTreeMap::new(), 0);
        for asks in by_watch.values() {
            let [first, again] = asks[..2] else { panic!("{asks:?}") };
            late += u64::from(again - first > Duration::from_millis(5_900) + 2 * lag);
            *parts.entry((again - first).as_millis() / width.as_millis()).or_insert(0) += 1;
        }
        assert!(late <= FLEET / 50, "{late} were asked again too late, at a lag of {lag:?}: {parts:?}");
        let most = parts.values().max().copied().unwrap_or_default();
        let spread = width * parts.len() as u32;
        let level = most <= 3 * FLEET / parts.len() as u64 || parts.len() < 4;
        assert!(spread >= Duration::from_millis(1_500) && level, "in step, at a lag of {lag:?}: {parts:?}");
    });
}

#[test]
fn three_hundred_pushed_watches_that_fall_silent_are_opened_anew_in_time_and_not_in_step() {
    fall_silent(Watched::local_agent);
}

#[test]
fn three_hundred_that_ask_are_opened_anew_in_time_and_not_in_step() {
    fall_silent(Watched::shared);
}

/// An agent that is away learns nothing, but what it gets at its return counts at once: at nearly every moment of the
/// outage the proxy has asked and waits, so that the first word reaches it.
#[test]
fn what_an_agent_has_at_its_return_is_taken_at_once() {
    run(async {
        let (old, new) = (Host::start([ok("old")]).await, Host::start([ok("new")]).await);
        let agent = Moody::start(Mood::Hold, String::new()).await;
        let idle = Discovery::quiet().await;
        let proxy = Proxy::with(&idle, from_ref(&old), |config| {
            config["settings"]["discovery"] = "push".into();
            config["discovery"] = agent.address.to_string().into();
        })
        .await;
        let mut client = proxy.client().await;
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"old", "the list in hand is used");
        eventually("it asks the agent", || agent.asked() == 1).await;
        let mut waits = 0;
        for _ in 0..200 {
            sleep(Duration::from_millis(20)).await;
            waits += usize::from(agent.open.get() > 0);
        }
        assert!(waits >= 180, "nothing waited for the agent at {} of 200 moments", 200 - waits);
        assert!((2..=10).contains(&agent.asked()), "{} asks in 4 s", agent.asked());
        *agent.answer.borrow_mut() = format!("{WATCH}{}", chunk(&drained(42, &old, &new)));
        let asked = agent.asked();
        agent.mood.send_replace(Mood::Answer);
        while client.ask(&request("unsafe", "", "")).await.body != b"new" {}
        assert!(agent.asked() <= asked + 1, "the answer was for one that had given up");
        for _ in 0..20 {
            assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"new");
        }
    });
}

/// One that closes what comes is asked again every fraction of a second, and no more often.
#[test]
fn an_agent_that_closes_is_asked_again_soon_but_not_in_a_loop() {
    run(async {
        let agent = Moody::start(Mood::Close, String::new()).await;
        let _watch = spawn(Watched::local_agent(agent.address, 7).watch(Some(41), Box::new(|_| ())));
        eventually("it asks", || agent.asked() == 21).await;
        let asks = agent.asks.borrow();
        let gaps: Vec<Duration> = asks.windows(2).map(|pair| pair[1].1 - pair[0].1).collect();
        let (soon, late) = (Duration::from_millis(45), Duration::from_millis(500));
        assert!(gaps.iter().all(|gap| *gap >= soon), "{gaps:?}");
        assert!(gaps.iter().filter(|gap| **gap > late).count() <= 2, "{gaps:?}");
    });
}

/// What the agent has counts from the first moment of a new process: it is asked before the first request is answered,
/// and what it says is taken before any further one goes out.
#[test]
fn a_new_process_asks_its_agent_before_it_serves() {
    run(async {
        let (old, new) = (Host::start([ok("old")]).await, Host::start([ok("new")]).await);
        let agent = Moody::start(Mood::Answer, format!("{WATCH}{}", chunk(&drained(42, &old, &new)))).await;
        for run in 0..4 {
            let address = free_address();
            let config = configuration(agent.address, from_ref(&old), |config| {
                config["settings"]["discovery"] = "push".into();
                config["listen"] = address.to_string().into();
            });
            let mut child = Running::start(&mut program(&config, &format!("first-moment-{run}.json")).0);
            let mut client = connect(address).await;
            client.ask(&request("unsafe", "", "")).await;
            assert_eq!(agent.asked(), run + 1);
            while client.ask(&request("unsafe", "", "")).await.body != b"new" {}
            let seen = old.count();
            for _ in 0..20 {
                assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"new");
            }
            assert_eq!(old.count(), seen);
            tell(&child, "-TERM");
            assert_eq!(exit_code(&mut child).await, Some(0));
        }
    });
}

/// Indented over several lines, whole and as changes, in one piece and in many: each is taken, on one watch.
#[test]
fn indented_lists_are_taken() {
    run(async {
        let hosts =
            [Host::start([ok("a")]).await, Host::start([ok("b")]).await, Host::start([ok("c")]).await];
        let discovery = Discovery::quiet().await;
        let proxy =
            Proxy::with(&discovery, &[], |config| config["known"]["hosts"] = serde_json::json!([])).await;
        eventually("it watches", || discovery.asked.borrow().len() == 1).await;
        let pretty = |line: String| {
            let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
            serde_json::to_string_pretty(&value).expect("JSON")
        };
        let mut client = proxy.client().await;
        let steps = [("s-0", true, "a"), ("s-1", true, "b"), ("s-2", false, "c")];
        for (number, (name, whole, body)) in steps.into_iter().enumerate() {
            let mut entries = vec![entry(name, hosts[number].address, "Ready")];
            if !whole {
                entries.push(entry("s-1", hosts[1].address, "Gone"));
            }
            let text = format!("{}\n\n", pretty(list(42 + number as u64, whole, &entries)));
            for piece in text.as_bytes().chunks(if whole { text.len() } else { 7 }) {
                let piece = String::from_utf8_lossy(piece);
                discovery.push(&format!("{:x}\r\n{piece}\r\n", piece.len())).await;
            }
            while client.ask(&request("unsafe", "", "")).await.body != body.as_bytes() {}
        }
        assert_eq!(discovery.asked.borrow().len(), 1, "the watch broke");
    });
}
