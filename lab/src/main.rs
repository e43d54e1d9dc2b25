//! The lab's command line.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use flaxhead_lab::experiment::Experiment;
use flaxhead_lab::figures::Figures;
use flaxhead_lab::fleet::Fleet;
use flaxhead_lab::host;
use flaxhead_lab::load::schedule::Schedule;
use flaxhead_lab::load::sender::{Live, Mode, Targets};
use flaxhead_lab::load::trace;
use flaxhead_lab::ports::free_address;
use flaxhead_lab::proxy::{configuration, kill_all, Program};
use flaxhead_lab::run::{self, Options, Through};
use flaxhead_lab::{report, Epoch};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::error::Error;
use std::ffi::OsString;
use std::io::{IsTerminal, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The experiment that the demo plays.
const DEMO: &str = include_str!("../experiments/demo.toml");

/// Tries flaxhead on loopback: a fleet of stand-in nodes, load, faults, and an audit of the rules.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts a fleet, a proxy and load, kills a node, and ends with a report.
    Demo {
        /// Where the report goes.
        #[arg(long, default_value = "target/demo")]
        out: PathBuf,
    },
    /// Checks an experiment's file.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Runs an experiment: 0 it passed, 1 a rule or what must hold was broken, 2 it could not run, 3 it is void.
    Run {
        /// The file.
        file: PathBuf,
        /// Where figures, logs and the report go.
        #[arg(long, default_value = "target/lab")]
        out: PathBuf,
        /// Another seed than the file's.
        #[arg(long)]
        seed: Option<u64>,
        /// Another build of flaxhead than the one in this program.
        #[arg(long, value_name = "PROGRAM")]
        proxy: Option<PathBuf>,
        /// Through applications that have the plug-in loaded, over gRPC to the same nodes.
        #[arg(long, conflicts_with = "proxy")]
        plug_in: bool,
        /// The requests of a trace (JSON lines or a capture) in place of those drawn.
        #[arg(long, value_name = "FILE")]
        trace: Option<PathBuf>,
        /// For comparison only: so many clients that each wait for their last answer.
        #[arg(long, value_name = "CLIENTS")]
        closed: Option<usize>,
    },
    /// Sends an experiment's load to proxies that run already, on loopback.
    Load {
        /// The file.
        file: PathBuf,
        /// Where they listen, one address for each of its proxies.
        #[arg(long, required = true)]
        to: Vec<SocketAddr>,
        /// Another seed than the file's.
        #[arg(long)]
        seed: Option<u64>,
        /// The requests of a trace in place of those drawn.
        #[arg(long, value_name = "FILE")]
        trace: Option<PathBuf>,
        /// For comparison only: so many clients that each wait for their last answer.
        #[arg(long, value_name = "CLIENTS")]
        closed: Option<usize>,
    },
    /// Starts an experiment's fleet and discovery with its faults, and writes what each proxy is to be told. Each line
    /// of standard input is a further fault, such as `crash nodes=[0] for=2`.
    Fleet {
        /// The file.
        file: PathBuf,
        /// Where the proxies' configurations go.
        #[arg(long, default_value = "target/fleet")]
        out: PathBuf,
        /// For how long, in seconds; by default the experiment's time.
        #[arg(long)]
        seconds: Option<f64>,
    },
    /// Writes the report of a run's folder again.
    Report {
        /// The folder.
        dir: PathBuf,
    },
    /// Shows two runs' figures beside each other.
    Compare {
        /// The folder of the one.
        a: PathBuf,
        /// The folder of the other.
        b: PathBuf,
    },
    /// An application that has the plug-in loaded, as a process of a run.
    #[command(hide = true)]
    Host {
        /// What stands under `flaxhead` in its service config, as JSON.
        file: Option<PathBuf>,
    },
    /// The proxy itself, as a process of a run.
    #[command(hide = true, disable_help_flag = true)]
    Proxy {
        /// Its own arguments.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
}

fn main() -> ExitCode {
    let done = match CommandLine::parse().command {
        Command::Proxy { arguments } => return proxy(arguments),
        Command::Host { file } => {
            end_with_parent();
            host::main(file.as_deref()).map(|()| 0)
        }
        Command::Demo { out } => demo(&out),
        Command::Check { file } => check(&file),
        Command::Run { file, out, seed, proxy, plug_in, trace, closed } => program(proxy, plug_in)
            .and_then(|program| run_file(&file, out, seed, program, trace.as_deref(), closed)),
        Command::Load { file, to, seed, trace, closed } => load(&file, to, seed, trace.as_deref(), closed),
        Command::Fleet { file, out, seconds } => fleet(&file, &out, seconds),
        Command::Report { dir } => figures(&dir).and_then(|figures| write_report(&dir, &figures)),
        Command::Compare { a, b } => figures(&a).and_then(|a| {
            say(&report::compare(&a, &figures(&b)?));
            Ok(0)
        }),
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "flaxhead-lab: {error}");
            ExitCode::from(2)
        }
    }
}

type Done = Result<u8, Box<dyn Error>>;

/// A reader that has gone does not change the verdict.
fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// This process lasts as long as its parent, which holds the other end of its standard input.
fn end_with_parent() {
    thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(1);
    });
}

/// The daemon.
fn proxy(arguments: Vec<OsString>) -> ExitCode {
    end_with_parent();
    flaxhead_proxy::program::main(std::iter::once("flaxhead".into()).chain(arguments))
}

/// On Ctrl-C the proxies go first, then this program.
fn end_on_signals() -> std::io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    thread::spawn(move || {
        if let Some(signal) = signals.forever().next() {
            kill_all();
            std::process::exit(128 + signal);
        }
    });
    Ok(())
}

/// What the load goes through.
fn program(proxy: Option<PathBuf>, plug_in: bool) -> Result<Program, Box<dyn Error>> {
    Ok(match proxy {
        Some(path) => Program::at(path),
        None if plug_in => Program::host(std::env::current_exe()?),
        None => Program::own(std::env::current_exe()?),
    })
}

fn check(file: &Path) -> Done {
    let experiment = Experiment::load(file)?;
    let schedule = Schedule::draw(&experiment, experiment.seed);
    say(&format!(
        "{}: ok, {} requests, {} nodes, {} proxies, {} faults",
        file.display(),
        schedule.arrivals.len(),
        experiment.node_count(),
        experiment.proxies.count,
        schedule.troubles.len()
    ));
    Ok(0)
}

fn mode(closed: Option<usize>) -> Mode {
    closed.map_or(Mode::Open, Mode::Closed)
}

fn run_file(
    file: &Path,
    folder: PathBuf,
    seed: Option<u64>,
    program: Program,
    trace: Option<&Path>,
    closed: Option<usize>,
) -> Done {
    let experiment = Experiment::load(file)?;
    let trace = trace.map(|trace| trace::load(trace, &experiment)).transpose()?;
    play(&experiment, seed, program, folder, trace, mode(closed))
}

fn play(
    experiment: &Experiment,
    seed: Option<u64>,
    program: Program,
    folder: PathBuf,
    trace: Option<Vec<flaxhead_lab::load::schedule::Arrival>>,
    mode: Mode,
) -> Done {
    end_on_signals()?;
    let options = Options { proxies: Through::Program(program), trace, folder: folder.clone(), mode };
    let live = Arc::<Live>::default();
    let shown = Progress::start(experiment, live.clone());
    let done = run::run(experiment, seed.unwrap_or(experiment.seed), options, &live);
    shown.finish();
    let done = done?;
    say(&report::text(&done.figures));
    let verdict = &done.figures.verdict;
    verdict.void.iter().for_each(|reason| say(&format!("void: {reason}")));
    verdict.unheld.iter().for_each(|reason| say(&format!("not held: {reason}")));
    verdict.breaches.iter().take(20).for_each(|breach| say(&format!("broken: {breach}")));
    write_report(&folder, &done.figures)?;
    Ok(verdict.exit_code())
}

fn demo(out: &Path) -> Done {
    let experiment = Experiment::parse(DEMO, "demo.toml")?;
    say(&format!("{}\n", experiment.about.trim()));
    play(&experiment, None, program(None, false)?, out.to_owned(), None, Mode::Open)
}

fn load(
    file: &Path,
    to: Vec<SocketAddr>,
    seed: Option<u64>,
    trace: Option<&Path>,
    closed: Option<usize>,
) -> Done {
    let experiment = Experiment::load(file)?;
    if let Some(far) = to.iter().find(|address| !address.ip().is_loopback()) {
        return Err(format!("{far} is not a loopback address").into());
    }
    if to.len() != experiment.proxies.count {
        return Err(format!("{} addresses for {} proxies", to.len(), experiment.proxies.count).into());
    }
    let mut schedule = Schedule::draw(&experiment, seed.unwrap_or(experiment.seed));
    if let Some(trace) = trace {
        schedule = schedule.replay(trace::load(trace, &experiment)?);
    }
    let live = Arc::<Live>::default();
    let shown = Progress::start(&experiment, live.clone());
    let figures = run::load(&experiment, &schedule, &Targets::new(to), &live, mode(closed));
    shown.finish();
    let figures = figures?;
    say(&report::text(&figures));
    figures.verdict.void.iter().for_each(|reason| say(&format!("void: {reason}")));
    Ok(figures.verdict.exit_code())
}

fn fleet(file: &Path, out: &Path, seconds: Option<f64>) -> Done {
    let experiment = Experiment::load(file)?;
    std::fs::create_dir_all(out)?;
    let schedule = Schedule::draw(&experiment, experiment.seed);
    let epoch = Epoch::after(Duration::ZERO);
    let fleet = Arc::new(Fleet::start(&experiment, &schedule, epoch)?);
    for number in 0..experiment.proxies.count {
        let list = fleet.list(number).ok_or("the fleet has ended")?;
        let (listen, discovery) = (free_address()?, fleet.discovery[number]);
        let config = configuration(&experiment, number, experiment.seed, listen, discovery, &list);
        let path = out.join(format!("n{number}.json"));
        std::fs::write(&path, serde_json::to_vec_pretty(&config)?)?;
        say(&format!("ROUTER_CONFIG={} flaxhead    # listens on {listen}", path.display()));
    }
    let (hand, of) = (Arc::downgrade(&fleet), experiment.clone());
    thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok).filter(|line| !line.trim().is_empty()) {
            let Some(fleet) = hand.upgrade() else { return };
            match Schedule::by_hand(&line, &of, epoch.now()) {
                Ok(trouble) => fleet.befall(trouble),
                Err(reason) => say(&format!("{line}: {reason}")),
            }
        }
    });
    let seconds = seconds.unwrap_or(*experiment.seconds.get_ref()).clamp(0.0, 86_400.0);
    thread::sleep(Duration::from_secs_f64(seconds));
    let ledger = Arc::into_inner(fleet).map(Fleet::stop).unwrap_or_default();
    say(&format!("{} requests reached the nodes", ledger.handled.len()));
    Ok(0)
}

fn figures(dir: &Path) -> Result<Figures, Box<dyn Error>> {
    let path = dir.join("figures.json");
    let bytes = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(serde_json::from_slice(&bytes).map_err(|e| format!("{}: {e}", path.display()))?)
}

fn write_report(dir: &Path, figures: &Figures) -> Done {
    let path = dir.join("report.html");
    std::fs::write(&path, report::page(figures)?)?;
    say(&format!("report: {}", path.display()));
    Ok(0)
}

/// Live figures, on a terminal alone.
struct Progress {
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Progress {
    fn start(experiment: &Experiment, live: Arc<Live>) -> Progress {
        let stop = Arc::new(AtomicBool::new(false));
        if !std::io::stderr().is_terminal() {
            return Progress { stop, thread: None };
        }
        let (stopped, seconds) = (stop.clone(), experiment.seconds.get_ref().ceil() as u64);
        let thread = thread::spawn(move || {
            let bar = ProgressBar::with_draw_target(Some(seconds * 10), ProgressDrawTarget::stderr());
            if let Ok(style) = ProgressStyle::with_template("{wide_bar} {msg}") {
                bar.set_style(style);
            }
            while !stopped.load(Ordering::Relaxed) {
                let count = |of: &std::sync::atomic::AtomicU64| of.load(Ordering::Relaxed);
                if count(&live.sent) > 0 {
                    bar.inc(1);
                }
                let slowest = live.slowest.swap(0, Ordering::Relaxed) / 1_000;
                bar.set_message(format!(
                    "sent {} served {} refused {} failed {} slowest {slowest} ms",
                    count(&live.sent),
                    count(&live.served),
                    count(&live.refused),
                    count(&live.failed)
                ));
                thread::sleep(Duration::from_millis(100));
            }
            bar.finish_and_clear();
        });
        Progress { stop, thread: Some(thread) }
    }

    fn finish(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
