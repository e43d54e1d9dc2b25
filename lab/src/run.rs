//! One run of an experiment: fleet, proxies, load and faults, then the audit and the figures.

use crate::audit::{audit, Breach, Terms};
use crate::experiment::{Experiment, FaultKind};
use crate::figures::{Evidence, Figures};
use crate::fleet::Fleet;
use crate::ledger::{FleetLedger, Try};
use crate::load::schedule::{Arrival, Schedule, Trouble};
use crate::load::sender::{self, histogram, Live, Mode, Sent, Targets};
use crate::model::node::Micros;
use crate::proxy::{configuration, free_address, Program, Proxy, Usage};
use crate::Epoch;
use hdrhistogram::serialization::interval_log::{IntervalLogWriterBuilder, Tag};
use hdrhistogram::serialization::V2Serializer;
use std::fs::{self, File};
use std::io::{self, BufWriter};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Time for the fleet and the proxies to come up before the first request.
const HEAD_START: Duration = Duration::from_millis(1_500);
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
    let epoch = Epoch::after(HEAD_START + HEAD_START_EACH * experiment.proxies.count as u32);
    let fleet = Fleet::start(experiment, &schedule, epoch).map_err(doing("the fleet"))?;
    let proxies: Shared = Arc::default();
    let targets = match options.proxies {
        Through::Own(make) => Targets::new(make(&fleet.discovery)),
        Through::Program(program) => start(experiment, seed, &program, &fleet, folder, &proxies)?,
    };
    if epoch.now() > 0 {
        return Err(Failure::NotReady);
    }
    let fleet = Arc::new(fleet);
    let befalls = {
        let troubles = schedule.troubles.clone();
        let (proxies, fleet, killed) = (proxies.clone(), fleet.clone(), targets.clone());
        thread::spawn(move || befall(&troubles, &proxies, &fleet, &killed, epoch, seed))
    };
    let sent = sender::send(experiment, &schedule, &targets, epoch, live, options.mode);
    let Sent { tries, lateness } = sent.map_err(doing("the load"))?;
    let outages = befalls.join().unwrap_or_default();
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
    let figures = Figures::of(&evidence);
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
) -> Result<Targets, Failure> {
    for number in 0..experiment.proxies.count {
        let list = fleet.list(number).unwrap_or_default();
        let listen = free_address().map_err(doing("a port"))?;
        let config = configuration(experiment, number, seed, listen, fleet.discovery[number], &list);
        let own_file = experiment.proxies.own_file.as_deref().map(Path::new);
        let proxy = Proxy::start(program, &config, own_file, folder).map_err(doing("a proxy"))?;
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

/// What befalls the proxies, each at its time; tells when each of them could not answer.
fn befall(
    troubles: &[Trouble],
    proxies: &Shared,
    fleet: &Fleet,
    targets: &Targets,
    epoch: Epoch,
    seed: u64,
) -> Vec<(usize, Micros, Micros)> {
    enum Step {
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
            _ => continue,
        };
        steps.push((trouble.at, begin, trouble.proxies.clone()));
        // One that is killed for good would leave its clients without a proxy: it is back at once.
        steps.push((trouble.until.unwrap_or(trouble.at), end, trouble.proxies.clone()));
    }
    steps.sort_by_key(|step| step.0);
    let (mut outages, mut since) = (Vec::new(), std::collections::HashMap::new());
    for (at, step, hit) in steps {
        thread::sleep(epoch.instant(at).saturating_duration_since(std::time::Instant::now()));
        for number in hit {
            let mut all = locked(proxies);
            let Some(proxy) = all.get_mut(number) else { continue };
            let now = epoch.now();
            match step {
                Step::Freeze | Step::Kill => drop(since.insert(number, now.saturating_sub(OUTAGE_EDGE))),
                Step::Thaw | Step::Restart => {}
            }
            let done = match step {
                Step::Freeze => proxy.freeze(true),
                Step::Thaw => proxy.freeze(false),
                Step::Kill => {
                    targets.killed[number].fetch_add(1, Ordering::SeqCst);
                    proxy.kill();
                    Ok(())
                }
                Step::Restart => {
                    let list = fleet.list(number).unwrap_or_default();
                    proxy.restart(seed ^ now, &list)
                }
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
