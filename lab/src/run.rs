//! One run of an experiment: fleet, proxies, load and faults, then the audit and the figures.

use crate::audit::{audit, Breach, Terms};
use crate::experiment::{Experiment, FaultKind};
use crate::figures::{Evidence, Figures};
use crate::fleet::Fleet;
use crate::ledger::{FleetLedger, Try};
use crate::load::schedule::{Arrival, Schedule, Trouble};
use crate::load::sender::{self, histogram, Live, Mode, Sent, Targets};
use crate::model::node::Micros;
use crate::peers::judge::{Judge, PeerFigures};
use crate::peers::relay::Relay;
use crate::peers::rig::{agreed, own_file, shown, Shown};
use crate::proxy::{configuration, free_address, health, Program, Proxy, Usage};
use crate::turns::judge::TurnFigures;
use crate::turns::operators::Operators;
use crate::turns::script::Blow;
use crate::Epoch;
use hdrhistogram::serialization::interval_log::{IntervalLogWriterBuilder, Tag};
use hdrhistogram::serialization::V2Serializer;
use std::fs::{self, File};
use std::io::{self, BufWriter};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Time for the fleet and the proxies to come up before the first request.
const HEAD_START: Duration = Duration::from_millis(1_500);
/// Where hosts are taken out for work, proxies that all start at once serve nothing for two or three leases.
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
    let settle = experiment.work.as_ref().map_or(Duration::ZERO, |work| {
        let work = work.get_ref();
        Duration::from_millis(work.lease_ms) * HEAD_START_LEASES + Duration::from_secs(work.alone_s)
    });
    let epoch = Epoch::after(HEAD_START + settle + HEAD_START_EACH * experiment.proxies.count as u32);
    let fleet = Fleet::start(experiment, &schedule, epoch).map_err(doing("the fleet"))?;
    let proxies: Shared = Arc::default();
    let work = experiment.work.as_ref().map(|work| work.get_ref());
    let section = work.map(|work| work.section()).unwrap_or_default();
    let peers = experiment.peers.as_ref().map(|_| Between::start(experiment.proxies.count, seed, section));
    let peers = peers.transpose().map_err(doing("the relay"))?.map(Arc::new);
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
        let (proxies, fleet, killed) = (proxies.clone(), fleet.clone(), targets.clone());
        let peers = peers.clone();
        thread::spawn(move || befall(&troubles, &proxies, &fleet, &killed, epoch, seed, peers.as_deref()))
    };
    let looks = peers.as_ref().zip(experiment.peers.as_ref()).map(|(between, of)| {
        let (between, excused) = (between.clone(), of.get_ref().may_be_removed.clone());
        thread::spawn(move || between.look(&excused))
    });
    let struck: Arc<Mutex<Vec<Outage>>> = Arc::default();
    let finished = Arc::new(AtomicBool::new(false));
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
    let Sent { tries, lateness } = sent.map_err(doing("the load"))?;
    let mut outages = befalls.join().unwrap_or_default();
    let told = operators.zip(work).map(|(operators, work)| {
        let until = std::time::Instant::now() + Duration::from_secs_f64(work.finish_within_s);
        while !operators.is_finished() && std::time::Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        finished.store(true, Ordering::SeqCst);
        operators.join().unwrap_or_default()
    });
    outages.extend(struck.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).iter().copied());
    let peer_figures = peers.zip(experiment.peers.as_ref()).zip(looks).map(|((between, of), looks)| {
        let after = between.agree(Duration::from_secs_f64(of.get_ref().agree_within_s));
        between.ended.store(true, Ordering::SeqCst);
        looks.join().map(|judge| judge.figures(after)).unwrap_or_default()
    });
    let usage: Vec<Usage> = locked(&proxies).iter().map(Proxy::usage).collect();
    for proxy in locked(&proxies).iter_mut() {
        proxy.stop().map_err(doing("a proxy"))?;
    }
    let fleet = Arc::into_inner(fleet).map(Fleet::stop).unwrap_or_default();
    let terms = Terms {
        repeats: experiment.classes.iter().map(|class| class.repeat).collect(),
        window: experiment.fleet.repeat_window_ms * 1_000,
        grace: experiment.proxies.drain_grace_ms * 1_000,
        slack: SLACK,
        tip: 1_500_000,
        outages,
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
    };
    let mut figures = Figures::of(&evidence);
    if let Some((peers, of)) = peer_figures.zip(experiment.peers.as_ref()) {
        figures.judge_peers(peers, of.get_ref());
    }
    if let Some(((told, fences), work)) = told.zip(work) {
        let turns = TurnFigures::of(told, fences, &fleet);
        figures.verdict.unheld.extend(turns.unheld(work));
        figures.turns = Some(turns);
    }
    write(folder, &figures, &tries).map_err(doing(folder.display().to_string()))?;
    Ok(Done { figures, tries, fleet, breaches })
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

/// What is between proxies that know of each other.
struct Between {
    relay: Relay,
    /// What the operators' file of each proxy holds beside its peers.
    section: String,
    running: Mutex<Vec<bool>>,
    judge: Mutex<Judge>,
    ended: AtomicBool,
}

impl Between {
    fn start(count: usize, seed: u64, section: String) -> io::Result<Between> {
        let relay = Relay::start(count, seed)?;
        let (running, judge, ended) =
            (Mutex::new(vec![true; count]), Mutex::default(), AtomicBool::new(false));
        Ok(Between { relay, section, running, judge, ended })
    }

    fn own_file(&self, number: usize, folder: &Path) -> io::Result<PathBuf> {
        let path = folder.join(format!("n{number}.toml"));
        fs::write(&path, own_file(&self.relay, number, &[0, 1]) + &self.section)?;
        Ok(path)
    }

    fn held<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
        of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn killed(&self, number: usize) {
        Between::held(&self.running)[number] = false;
        Between::held(&self.judge).killed(&format!("n{number}"));
        self.relay.down(number);
    }

    fn started(&self, number: usize) -> io::Result<()> {
        self.relay.up(number)?;
        Between::held(&self.running)[number] = true;
        Between::held(&self.judge).started(&format!("n{number}"));
        Ok(())
    }

    /// Brings a link's fault about, or takes it back.
    fn turn(&self, trouble: &Trouble, on: bool) {
        let share = if on { trouble.share } else { 0.0 };
        let span = |micros| Duration::from_micros(if on { micros } else { 0 });
        for &from in &trouble.proxies {
            for &to in trouble.to.iter().filter(|&&to| to != from) {
                let ways = [(from, to), (to, from)];
                for (from, to) in ways.into_iter().take(1 + usize::from(trouble.both)) {
                    self.relay.set(from, to, |link| match trouble.kind {
                        FaultKind::LinkCut => link.cut = on,
                        FaultKind::LinkLoss => link.loss = share,
                        FaultKind::LinkDelay => {
                            (link.delay, link.jitter) = (span(trouble.extra), span(trouble.jitter))
                        }
                        FaultKind::LinkDuplicate => link.duplicate = share,
                        FaultKind::LinkReorder => link.reorder = share,
                        FaultKind::LinkCorrupt => link.corrupt = share,
                        _ => {}
                    });
                }
            }
        }
    }

    fn places(&self) -> Vec<usize> {
        let running = Between::held(&self.running);
        (0..running.len()).filter(|&place| running[place]).collect()
    }

    /// Looks at what all show, time and again, until the run has ended.
    fn look(&self, excused: &[usize]) -> Judge {
        *Between::held(&self.judge) = Judge::excusing(excused.iter().map(|place| format!("n{place}")));
        while !self.ended.load(Ordering::SeqCst) {
            for place in self.places() {
                // One that is stopped, or just killed, shows nothing.
                if let Ok(shown) = shown(self.relay.side(place)) {
                    Between::held(&self.judge).see(&shown);
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        Between::held(&self.judge).clone()
    }

    /// How long it takes until all that run show one view, in seconds.
    fn agree(&self, within: Duration) -> Option<f64> {
        let start = std::time::Instant::now();
        while start.elapsed() < within {
            let places = self.places();
            let names: Vec<String> = places.iter().map(|place| format!("n{place}")).collect();
            let all: Vec<(usize, Shown)> = places
                .iter()
                .filter_map(|&place| Some((place, shown(self.relay.side(place)).ok()?)))
                .collect();
            if agreed(&all, &names) {
                return Some(start.elapsed().as_secs_f64());
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }
}

impl Figures {
    fn judge_peers(&mut self, peers: PeerFigures, of: &crate::experiment::Peers) {
        self.verdict.unheld.extend(peers.unheld(of.agree_within_s));
        if peers.cut_off.len() < of.cut_off_least {
            let (found, least) = (peers.cut_off.len(), of.cut_off_least);
            self.verdict.unheld.push(format!("{found} found themselves cut off, {least} at the least"));
        }
        self.peers = Some(peers);
    }
}

/// What a strike has in hand.
struct Hand<'a> {
    proxies: &'a Shared,
    fleet: &'a Fleet,
    targets: &'a Targets,
    epoch: Epoch,
    seed: u64,
}

impl Hand<'_> {
    /// Brings a strike about, or takes it back; then the span in which the proxy could not answer.
    fn strike(
        &self,
        between: &Between,
        what: Blow,
        place: usize,
        on: bool,
        since: &Mutex<std::collections::HashMap<usize, Micros>>,
    ) -> Option<Outage> {
        let count = locked(self.proxies).len();
        let cut = |says: bool, hears: bool| {
            for other in (0..count).filter(|&other| other != place) {
                if says {
                    between.relay.set(place, other, |link| link.cut = on);
                }
                if hears {
                    between.relay.set(other, place, |link| link.cut = on);
                }
            }
        };
        match what {
            Blow::Apart => cut(true, true),
            Blow::Mute => cut(true, false),
            Blow::Deaf => cut(false, true),
            Blow::Kill | Blow::Freeze => {}
        }
        let mut all = locked(self.proxies);
        let proxy = all.get_mut(place).filter(|_| matches!(what, Blow::Kill | Blow::Freeze))?;
        let now = self.epoch.now();
        let done = match (what, on) {
            (Blow::Freeze, _) => proxy.freeze(on),
            (_, true) => {
                self.targets.killed[place].fetch_add(1, Ordering::SeqCst);
                proxy.kill();
                between.killed(place);
                Ok(())
            }
            (_, false) => {
                let list = self.fleet.list(place).unwrap_or_default();
                between.started(place).and_then(|()| proxy.relaunch(self.seed ^ now, &list))
            }
        };
        if let Err(error) = done {
            // The audit finds what follows from it.
            eprintln!("flaxhead-lab: proxy {place}: {error}");
        }
        let address = proxy.address;
        drop(all);
        let held = || since.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if on {
            held().insert(place, now.saturating_sub(OUTAGE_EDGE));
            return None;
        }
        // It serves once it is let in, for which it may need others that are still to be started.
        let until = std::time::Instant::now() + LET_IN;
        while what == Blow::Kill && std::time::Instant::now() < until && !health(address).is_ok_and(|ok| ok) {
            thread::sleep(Duration::from_millis(20));
        }
        let from = held().remove(&place);
        from.map(|from| (place, from, self.epoch.now() + OUTAGE_EDGE))
    }
}

/// What befalls the proxies, each at its time; tells when each of them could not answer.
fn befall(
    troubles: &[Trouble],
    proxies: &Shared,
    fleet: &Fleet,
    targets: &Targets,
    epoch: Epoch,
    seed: u64,
    peers: Option<&Between>,
) -> Vec<(usize, Micros, Micros)> {
    enum Step {
        Link(Trouble, bool),
        Freeze,
        Thaw,
        Kill,
        Restart,
    }
    let mut steps = Vec::new();
    for trouble in troubles {
        let (begin, end) = match trouble.kind {
            FaultKind::Freeze => (Step::Freeze, Step::Thaw),
            FaultKind::Kill => (Step::Kill, Step::Restart),
            kind if kind.is_of_link() => {
                (Step::Link(trouble.clone(), true), Step::Link(trouble.clone(), false))
            }
            _ => continue,
        };
        steps.push((trouble.at, begin, trouble.proxies.clone()));
        if trouble.kind.is_of_link() && trouble.until.is_none() {
            continue;
        }
        // One that is killed for good would leave its clients without a proxy: it is back at once.
        steps.push((trouble.until.unwrap_or(trouble.at), end, trouble.proxies.clone()));
    }
    steps.sort_by_key(|step| step.0);
    let (mut outages, mut since) = (Vec::new(), std::collections::HashMap::new());
    for (at, step, hit) in steps {
        thread::sleep(epoch.instant(at).saturating_duration_since(std::time::Instant::now()));
        if let (Step::Link(trouble, on), Some(between)) = (&step, peers) {
            between.turn(trouble, *on);
            continue;
        }
        for number in hit {
            let mut all = locked(proxies);
            let Some(proxy) = all.get_mut(number) else { continue };
            let now = epoch.now();
            match step {
                Step::Freeze | Step::Kill => drop(since.insert(number, now.saturating_sub(OUTAGE_EDGE))),
                Step::Thaw | Step::Restart | Step::Link(..) => {}
            }
            let done = match step {
                Step::Freeze => proxy.freeze(true),
                Step::Thaw => proxy.freeze(false),
                Step::Kill => {
                    targets.killed[number].fetch_add(1, Ordering::SeqCst);
                    proxy.kill();
                    peers.into_iter().for_each(|between| between.killed(number));
                    Ok(())
                }
                Step::Restart => {
                    let list = fleet.list(number).unwrap_or_default();
                    let open = peers.map_or(Ok(()), |between| between.started(number));
                    open.and_then(|()| proxy.restart(seed ^ now, &list))
                }
                Step::Link(..) => Ok(()),
            };
            if let Err(error) = done {
                // The audit finds what follows from it.
                eprintln!("flaxhead-lab: proxy {number}: {error}");
            }
            if matches!(step, Step::Thaw | Step::Restart) {
                let from = since.remove(&number);
                outages.extend(from.map(|from| (number, from, epoch.now() + OUTAGE_EDGE)));
            }
        }
    }
    outages.extend(since.into_iter().map(|(number, from)| (number, from, Micros::MAX)));
    outages
}

/// Writes the figures, and the latencies of each second by class as an HDR interval log.
fn write(folder: &Path, figures: &Figures, tries: &[Try]) -> io::Result<()> {
    fs::write(folder.join("figures.json"), serde_json::to_vec_pretty(figures)?)?;
    let mut log = BufWriter::new(File::create(folder.join("latency.hlog"))?);
    let mut serializer = V2Serializer::new();
    let mut writer = IntervalLogWriterBuilder::new()
        .with_max_value_divisor(1_000.0)
        .begin_log_with(&mut log, &mut serializer)
        .map_err(io::Error::other)?;
    for (second, _) in figures.timeline.iter().enumerate() {
        for (class, of) in figures.classes.iter().enumerate() {
            let mut latencies = histogram();
            let within =
                tries.iter().filter(|t| t.class == class && (t.intended / 1_000_000) as usize == second);
            within.for_each(|t| latencies.saturating_record(t.ended.saturating_sub(t.intended)));
            let tag = Tag::new(&of.name);
            let written = writer.write_histogram(
                &latencies,
                Duration::from_secs(second as u64),
                Duration::from_secs(1),
                tag,
            );
            written.map_err(|error| io::Error::other(format!("{error:?}")))?;
        }
    }
    Ok(())
}
