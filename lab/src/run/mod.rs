//! One run of an experiment: fleet, proxies, load and faults, then the audit and the figures.

mod befall;
mod between;
mod output;
mod state;
mod strike;
mod withheld;

use crate::audit::{audit, Breach, Terms};
use crate::experiment::Experiment;
use crate::figures::{Evidence, Figures};
use crate::fleet::Fleet;
use crate::ledger::{FleetLedger, Try};
use crate::load::schedule::{Arrival, Schedule};
use crate::load::sender::{self, Live, Mode, Sent, Targets};
use crate::model::node::Micros;
use crate::ports::free_address;
use crate::proxy::{configuration, Program, Proxy, Usage};
use crate::shares::judge::{Rules, ShareFigures};
use crate::turns::judge::TurnFigures;
use crate::turns::operators::Operators;
use crate::turns::script::Blow;
use crate::Epoch;
use befall::{Befell, Scene};
use between::Between;
use output::write;
use state::Folders;
use std::fs::{self, File};
use std::io::{self, BufWriter};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;
use strike::Hand;

/// Time for the fleet and the proxies to come up before the first request.
const HEAD_START: Duration = Duration::from_millis(1_500);
/// Where something is settled in common, proxies that all start at once serve nothing for two or three leases.
const HEAD_START_LEASES: u32 = 6;
/// How long a proxy that was started again may take until it serves.
const LET_IN: Duration = Duration::from_secs(60);
const HEAD_START_EACH: Duration = Duration::from_millis(100);
/// What a time limit is longer by on sockets.
const SLACK: Micros = 50_000;
/// What of an outage is not yet, or no longer, seen by its clients.
const OUTAGE_EDGE: Micros = 50_000;

/// Why there is no verdict.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// An address, a process or a file could not be had.
    #[error("{what}: {reason}")]
    Io {
        /// What was being done.
        what: String,
        /// Why it failed.
        reason: io::Error,
    },
    /// The proxies were not ready in time.
    #[error("the proxies were not ready before the first request was due")]
    NotReady,
}

fn doing(what: impl Into<String>) -> impl FnOnce(io::Error) -> Failure {
    let what = what.into();
    move |reason| Failure::Io { what, reason }
}

/// How an experiment is run.
pub struct Options {
    /// The proxies' program, or proxies that run already; those must know the fleet by themselves.
    pub proxies: Through,
    /// Requests in place of those drawn.
    pub trace: Option<Vec<Arrival>>,
    /// Where configurations, logs and figures go.
    pub folder: PathBuf,
    /// How requests are sent.
    pub mode: Mode,
}

/// What the load goes through.
pub enum Through {
    /// Proxies that the run starts.
    Program(Program),
    /// One address for each proxy, made once the address of its discovery is known.
    Own(Make),
}

/// Makes proxies for the addresses of their discovery.
pub type Make = Box<dyn FnOnce(&[SocketAddr]) -> Vec<SocketAddr>>;

/// What a run leaves.
#[derive(Debug)]
pub struct Done {
    /// Its figures, the verdict among them.
    pub figures: Figures,
    /// What clients wrote down.
    pub tries: Vec<Try>,
    /// What the fleet wrote down.
    pub fleet: FleetLedger,
    /// Rules that were broken.
    pub breaches: Vec<Breach>,
}

type Shared = Arc<Mutex<Vec<Proxy>>>;
/// A proxy that could not answer, from when and until when.
type Outage = (usize, Micros, Micros);

fn locked(proxies: &Shared) -> MutexGuard<'_, Vec<Proxy>> {
    proxies.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Runs an experiment with its figures and the schedule written into the folder.
pub fn run(experiment: &Experiment, seed: u64, options: Options, live: &Arc<Live>) -> Result<Done, Failure> {
    let mut schedule = Schedule::draw(experiment, seed);
    if let Some(arrivals) = options.trace {
        schedule = schedule.replay(arrivals);
    }
    let folder = &options.folder;
    fs::create_dir_all(folder).map_err(doing(folder.display().to_string()))?;
    let path = folder.join("schedule.jsonl");
    let written = File::create(&path).and_then(|file| schedule.write(&mut BufWriter::new(file)));
    written.map_err(doing(path.display().to_string()))?;
    let work = experiment.work.as_ref().map(|work| (work.get_ref().lease_ms, work.get_ref().alone_s));
    let shares = experiment.shares.as_ref().map(|of| (of.get_ref().lease_ms, of.get_ref().alone_s));
    let settle = work.into_iter().chain(shares).map(|(lease_ms, alone_s)| {
        Duration::from_millis(lease_ms) * HEAD_START_LEASES + Duration::from_secs(alone_s)
    });
    let settle = settle.max().unwrap_or_default();
    let epoch = Epoch::after(HEAD_START + settle + HEAD_START_EACH * experiment.proxies.count as u32);
    let fleet = Fleet::start(experiment, &schedule, epoch).map_err(doing("the fleet"))?;
    let proxies: Shared = Arc::default();
    let work = experiment.work.as_ref().map(|work| work.get_ref());
    let section = work.map(|work| work.section()).unwrap_or_default();
    let count = experiment.proxies.count;
    let folders = experiment.state.as_ref().map(|state| {
        let old_at = (state.get_ref().old_at_s * 1e6) as Micros;
        Folders::make(folder, count, old_at).map_err(doing("folders for the proxies' state"))
    });
    let folders = folders.transpose()?;
    let sections = (0..count).map(|number| {
        let state = folders.as_ref().map(|folders| folders.section(number));
        let shares = experiment.shares.as_ref().map(|shares| shares.get_ref().section(number, count));
        section.clone() + &state.unwrap_or_default() + &shares.unwrap_or_default()
    });
    let sections = sections.collect();
    let peers = experiment.peers.as_ref().map(|_| Between::start(count, seed, epoch, sections));
    let peers = peers.transpose().map_err(doing("the relay"))?.map(Arc::new);
    // Held until they have stopped.
    let _network = peers.as_ref().map(|between| between.relay.network());
    let targets = match options.proxies {
        Through::Own(make) => Targets::new(make(&fleet.discovery)),
        Through::Program(program) => {
            start(experiment, seed, &program, &fleet, folder, &proxies, peers.as_deref())?
        }
    };
    if epoch.now() > 0 {
        return Err(Failure::NotReady);
    }
    let fleet = Arc::new(fleet);
    let befalls = {
        let troubles = schedule.troubles.clone();
        let (proxies, fleet, targets) = (proxies.clone(), fleet.clone(), targets.clone());
        let scene = Scene { proxies, fleet, targets, epoch, seed, peers: peers.clone(), folders };
        thread::spawn(move || scene.befall(&troubles))
    };
    let looks = peers.as_ref().zip(experiment.peers.as_ref()).map(|(between, of)| {
        let (between, excused) = (between.clone(), of.get_ref().may_be_removed.clone());
        thread::spawn(move || between.look(&excused))
    });
    let struck: Arc<Mutex<Vec<Outage>>> = Arc::default();
    let finished = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicBool::new(false));
    let waits = {
        let (proxies, answered) = (proxies.clone(), answered.clone());
        thread::spawn(move || withheld::look(&proxies, epoch, &answered))
    };
    let operators = peers.as_ref().zip(work).map(|(between, work)| {
        let (between, work, proxies, fleet) = (between.clone(), work.clone(), proxies.clone(), fleet.clone());
        let (struck, finished, targets) = (struck.clone(), finished.clone(), targets.clone());
        thread::spawn(move || {
            let since = Mutex::new(std::collections::HashMap::new());
            let strikes = |what: Blow, place: usize, on: bool| {
                let hand = Hand { proxies: &proxies, fleet: &fleet, targets: &targets, epoch, seed };
                let outage = hand.strike(&between, what, place, on, &since);
                struck.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).extend(outage);
            };
            let count = locked(&proxies).len();
            let sides = (0..count).map(|place| between.relay.side(place)).collect();
            Operators::new(&work, sides, epoch, &finished, &strikes).play()
        })
    });
    let sent = sender::send(experiment, &schedule, &targets, epoch, live, options.mode);
    answered.store(true, Ordering::SeqCst);
    let Sent { tries, lateness, lags } = sent.map_err(doing("the load"))?;
    let mut withheld = waits.join().unwrap_or_default();
    withheld.extend(lags);
    let Befell { mut outages, last_restart } = befalls.join().unwrap_or_default();
    let told = operators.zip(work).map(|(operators, work)| {
        let until = std::time::Instant::now() + Duration::from_secs_f64(work.finish_within_s);
        while !operators.is_finished() && std::time::Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        finished.store(true, Ordering::SeqCst);
        operators.join().unwrap_or_default()
    });
    outages.extend(struck.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).iter().copied());
    let messages = peers.as_ref().map(|between| between.relay.pace());
    let peer_figures = peers.zip(experiment.peers.as_ref()).zip(looks).map(|((between, of), looks)| {
        let after = between.agree(Duration::from_secs_f64(of.get_ref().agree_within_s));
        between.ended.store(true, Ordering::SeqCst);
        looks.join().map(|judge| judge.figures(after)).unwrap_or_default()
    });
    let usage: Vec<Usage> = locked(&proxies).iter().map(Proxy::usage).collect();
    stop(&proxies).map_err(doing("a proxy"))?;
    let fleet = Arc::into_inner(fleet).map(Fleet::stop).unwrap_or_default();
    let terms = Terms {
        repeats: experiment.classes.iter().map(|class| class.repeat).collect(),
        window: experiment.fleet.repeat_window_ms * 1_000,
        grace: experiment.proxies.drain_grace_ms * 1_000,
        slack: SLACK,
        tip: 1_500_000,
        outages,
        listens: sender::LISTENS,
        withheld,
    };
    let breaches = audit(&terms, &tries, &fleet);
    let evidence = Evidence {
        experiment,
        schedule: &schedule,
        tries: &tries,
        lateness: &lateness,
        fleet: Some(&fleet),
        proxies: usage,
        breaches: &breaches,
        last_restart,
        messages,
    };
    let mut figures = Figures::of(&evidence);
    if let Some((peers, of)) = peer_figures.zip(experiment.peers.as_ref()) {
        figures.judge_peers(peers, of.get_ref());
    }
    if let Some(shares) = &experiment.shares {
        let rules = Rules::of(experiment, &schedule, shares.get_ref());
        let shares = ShareFigures::of(&rules, &tries, &fleet);
        figures.verdict.unheld.extend(shares.unheld(&rules));
        figures.shares = Some(shares);
    }
    if let Some(((told, fences), work)) = told.zip(work) {
        let turns = TurnFigures::of(told, fences, &fleet);
        figures.verdict.unheld.extend(turns.unheld(work));
        figures.turns = Some(turns);
    }
    figures.judge_sender(experiment);
    write(folder, &figures, &tries).map_err(doing(folder.display().to_string()))?;
    Ok(Done { figures, tries, fleet, breaches })
}

/// Stops all proxies at once: each takes a moment.
fn stop(proxies: &Shared) -> io::Result<()> {
    let mut all = locked(proxies);
    thread::scope(|scope| {
        let stops: Vec<_> = all.iter_mut().map(|proxy| scope.spawn(|| proxy.stop())).collect();
        let ends = stops.into_iter().map(|stop| {
            stop.join().unwrap_or_else(|_| Err(io::Error::other("the thread that stops it panicked")))
        });
        // All are waited for before the first that failed is told.
        ends.collect::<Vec<_>>().into_iter().collect()
    })
}

/// Sends an experiment's load to proxies that run already: what nodes did is not known.
pub fn load(
    experiment: &Experiment,
    schedule: &Schedule,
    targets: &Targets,
    live: &Arc<Live>,
    mode: Mode,
) -> Result<Figures, Failure> {
    let epoch = Epoch::after(Duration::from_millis(100));
    let sent = sender::send(experiment, schedule, targets, epoch, live, mode).map_err(doing("the load"))?;
    Ok(Figures::of(&Evidence {
        experiment,
        schedule,
        tries: &sent.tries,
        lateness: &sent.lateness,
        fleet: None,
        proxies: Vec::new(),
        breaches: &[],
        last_restart: None,
        messages: None,
    }))
}

fn start(
    experiment: &Experiment,
    seed: u64,
    program: &Program,
    fleet: &Fleet,
    folder: &Path,
    proxies: &Shared,
    peers: Option<&Between>,
) -> Result<Targets, Failure> {
    for number in 0..experiment.proxies.count {
        let list = fleet.list(number).unwrap_or_default();
        let listen = peers.map_or_else(free_address, |between| Ok(between.relay.listen(number)));
        let listen = listen.map_err(doing("a port"))?;
        let config = configuration(experiment, number, seed, listen, fleet.discovery[number], &list);
        let own_file = match peers {
            Some(between) => Some(between.own_file(number, folder).map_err(doing("an operators' file"))?),
            None => experiment.proxies.own_file.as_ref().map(PathBuf::from),
        };
        let proxy = Proxy::start(program, &config, own_file.as_deref(), folder).map_err(doing("a proxy"))?;
        locked(proxies).push(proxy);
    }
    let mut started = locked(proxies);
    let processors = &experiment.proxies.processors;
    if !processors.is_empty() {
        started.iter().try_for_each(|proxy| proxy.pin(processors)).map_err(doing("processors of a proxy"))?;
    }
    started.iter_mut().try_for_each(Proxy::ready).map_err(doing("a proxy"))?;
    Ok(Targets::new(started.iter().map(|proxy| proxy.address).collect()))
}
