//! The program's command line: it starts the proxy, which follows discovery to another address on SIGHUP and stops
//! on SIGTERM, or checks and replays what one has written.

use crate::config::{self, Config};
use crate::enabled_features::{self, EnabledFeatures};
use crate::features::audit::{self, Actor, Verdict};
use crate::features::capture::replay::{self, Line, Report};
use crate::features::{self, Features};
use crate::http::front;
use crate::maintenance_command;
use crate::members;
use crate::output;
use clap::{Args, Parser, Subcommand};
use std::ffi::OsString;
use std::fmt::Display;
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::runtime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

/// A client proxy for HTTP/1.1 calls, configured by the file that ROUTER_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "flaxhead", version, args_conflicts_with_subcommands = true)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
    /// The operators' file, which switches on features of our own; without one, all are off.
    file: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks an audit trail: 0 where it is whole, 1 where it is broken, 2 where it cannot be read.
    AuditVerify(Verify),
    /// Replays what capture wrote: 0 where nothing differs, 1 where something does, 2 where it cannot be replayed.
    Replay(Replay),
    /// Shows the members that a running proxy knows: 0 where all is well, 1 where one is suspected, gone or cut off, 2
    /// where it cannot be asked.
    Members {
        /// The proxy's side port, as [status] has it.
        address: SocketAddr,
        /// As JSON, all that is known.
        #[arg(long)]
        json: bool,
    },
    /// Has hosts taken out for work, one after the other, as the proxies settle it.
    Work {
        /// The side port of any one proxy, as [status] has it.
        address: SocketAddr,
        #[command(subcommand)]
        what: maintenance_command::Subcommand,
    },
    /// Checks an operators' file, and the configuration where ROUTER_CONFIG is set, without starting.
    Check {
        /// The operators' file.
        file: PathBuf,
    },
}

#[derive(Debug, Args)]
struct Verify {
    /// The trail.
    file: PathBuf,
    /// The hash that a trail begins from which is not the first.
    #[arg(long, value_name = "HASH", value_parser = hash)]
    from_hash: Option<String>,
}

#[derive(Debug, Args)]
struct Replay {
    /// A ring file, or standard error as it was saved.
    file: PathBuf,
    /// Replays files of another version all the same.
    #[arg(long)]
    force: bool,
}

/// Runs the program with these arguments, the first of which is its name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let line = match CommandLine::try_parse_from(arguments) {
        Ok(line) => line,
        Err(error) => {
            // A reader that has gone does not change the verdict.
            let _ = error.print();
            return ExitCode::from(if error.use_stderr() { 2 } else { 0 });
        }
    };
    let done = match line.command {
        Some(Command::AuditVerify(verify)) => return verify.run(),
        Some(Command::Replay(replay)) => return replay.run(),
        Some(Command::Check { file }) => return check(&file),
        Some(Command::Work { address, what }) => return what.run(address),
        Some(Command::Members { address, json }) => return show_members(address, json),
        None => run(line.file.as_deref()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            complain(&reason.to_string());
            ExitCode::FAILURE
        }
    }
}

fn show_members(address: SocketAddr, json: bool) -> ExitCode {
    match members::ask(address) {
        Ok((text, shown)) => {
            let code = if members::is_well(&shown) { ExitCode::SUCCESS } else { ExitCode::FAILURE };
            let text = if json { text } else { members::table(&shown) };
            say(text.trim_end(), code)
        }
        Err(error) => unusable(format_args!("{address}: {error}")),
    }
}

fn check(file: &Path) -> ExitCode {
    let checked = || {
        let features = Features::load(file)?;
        let config =
            std::env::var_os("ROUTER_CONFIG").map(|path| Config::load(Path::new(&path))).transpose()?;
        if let Some((shares, config)) = features.quota.zip(config) {
            shares.registry(&config)?;
        }
        Ok::<_, Error>(())
    };
    match checked() {
        Ok(()) => say(&format!("{}: ok", file.display()), ExitCode::SUCCESS),
        Err(reason) => unusable(reason),
    }
}

/// A text that is no hash of an audit trail.
#[derive(Debug, thiserror::Error)]
#[error("64 hexadecimal digits")]
struct NoHash;

fn hash(text: &str) -> Result<String, NoHash> {
    let hash = text.to_ascii_lowercase();
    match hash.len() == 64 && hash.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        true => Ok(hash),
        false => Err(NoHash),
    }
}

fn complain(reason: &str) {
    let _ = writeln!(std::io::stderr(), "flaxhead: {}", reason.replace('\n', " "));
}

impl Verify {
    fn run(self) -> ExitCode {
        let Verify { file, from_hash } = self;
        match File::open(&file).and_then(|file| audit::verify(BufReader::new(file), from_hash.as_deref())) {
            Ok(Verdict::Whole(lines)) => say(&format!("ok {lines}"), ExitCode::SUCCESS),
            Ok(Verdict::Broken { seq, reason }) => {
                say(&format!("broken at seq {seq}: {reason}"), ExitCode::FAILURE)
            }
            Err(error) => unusable(format_args!("{}: {error}", file.display())),
        }
    }
}

impl Replay {
    fn run(self) -> ExitCode {
        let mut print = |line| match line {
            Line::Difference(text) => drop(say(&text, ExitCode::SUCCESS)),
            Line::Warning(text) => complain(&format!("warning: {text}")),
        };
        match replay::replay(&self.file, self.force, &mut print) {
            Ok(Report { files, events, decisions, differences, .. }) => {
                let code = if differences > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS };
                let line = format!(
                    "{files} files, {events} events, {decisions} decisions, {differences} differences"
                );
                say(&line, code)
            }
            Err(reason) => unusable(reason),
        }
    }
}

fn unusable(reason: impl Display) -> ExitCode {
    complain(&reason.to_string());
    ExitCode::from(2)
}

/// A reader that has gone does not change the verdict.
fn say(line: &str, code: ExitCode) -> ExitCode {
    let _ = writeln!(std::io::stdout(), "{line}");
    code
}

/// Why the proxy cannot start, or an operators' file is not good.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("ROUTER_CONFIG is not set: it names the file of the proxy's configuration")]
    NoConfig,
    #[error(transparent)]
    Config(#[from] config::Error),
    #[error(transparent)]
    Features(#[from] features::Error),
    #[error(transparent)]
    Shares(#[from] features::quota::SettingsError),
    /// The system gives no event queue or no signals.
    #[error("{0}")]
    System(#[from] io::Error),
    #[error("{at}: {reason}")]
    Listen { at: SocketAddr, reason: io::Error },
    /// A feature that is on cannot be opened.
    #[error(transparent)]
    Feature(#[from] enabled_features::OpenError),
}

/// Runs the proxy, until it is told to stop.
fn run(file: Option<&Path>) -> Result<(), Error> {
    let features = file.map(Features::load).transpose()?.unwrap_or_default();
    output::install(features.log.unwrap_or_default());
    let path = std::env::var_os("ROUTER_CONFIG").ok_or(Error::NoConfig)?;
    let mut config = Config::load(Path::new(&path))?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let (mut terminate, mut hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
        let (moved, discovery) = watch::channel(config.discovery);
        let at = config.listen;
        let listener = front::listen(at).map_err(|reason| Error::Listen { at, reason })?;
        let features = EnabledFeatures::open(features, &mut config)?;
        let note = {
            let trail = features.trail.clone();
            move |event, actor, detail: &str| trail.iter().for_each(|trail| trail.note(event, actor, detail))
        };
        let version = env!("CARGO_PKG_VERSION");
        note("start", Actor::Operator, &format!("flaxhead {version} at {}", config.listen));
        let noting = note.clone();
        spawn_local(async move {
            while hangup.recv().await.is_some() {
                // A file that cannot be used is no reason to stop serving with what is in hand.
                match Config::load(Path::new(&path)) {
                    Ok(config) => {
                        noting("config", Actor::Platform, &format!("discovery at {}", config.discovery));
                        moved.send_replace(config.discovery);
                    }
                    Err(reason) => tracing::info!("not reloaded: {reason}"),
                }
            }
        });
        let stop = async move {
            terminate.recv().await;
            note("sigterm", Actor::Operator, "told to stop");
        };
        crate::run(config, features, listener, discovery, stop).await;
        // What is left are tasks without a client: timers, the watch, idle connections.
        Ok(())
    })
}
