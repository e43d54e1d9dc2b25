//! The program: reads the configuration, serves, follows discovery to another address on SIGHUP, and stops on
//! SIGTERM.
#![forbid(unsafe_code)]

use nettleworks::audit::{self, Actor, Verdict};
use nettleworks::capture::replay::{self, Line, Report};
use nettleworks::config::Config;
use nettleworks::features::Features;
use nettleworks::server;
use nettleworks::side::Side;
use std::ffi::OsString;
use std::fs::File;
use std::io::{BufReader, Write};
use std::path::Path;
use std::process::ExitCode;
use tokio::runtime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

const USAGE: &str = "usage: flaxhead [FILE.ini] | flaxhead audit-verify FILE [--from-hash HASH] | \
                     flaxhead replay FILE [--force]";

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let done = match arguments.as_slice() {
        [] => start(Features::default()),
        [command, rest @ ..] if command == "audit-verify" => return verify(rest),
        [command, rest @ ..] if command == "replay" => return replay(rest),
        [option] if option.as_encoded_bytes().starts_with(b"-") => return unusable(USAGE),
        [file] => Features::load(Path::new(file)).and_then(start),
        _ => Err(USAGE.to_owned()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            complain(&reason);
            ExitCode::FAILURE
        }
    }
}

fn complain(reason: &str) {
    let _ = writeln!(std::io::stderr(), "flaxhead: {}", reason.replace('\n', " "));
}

/// Checks an audit trail: 0 where it is whole, 1 where it is broken, 2 where it cannot be read.
fn verify(arguments: &[OsString]) -> ExitCode {
    let hash = |hash: &OsString| {
        let hash = hash.to_str().map(str::to_ascii_lowercase);
        hash.filter(|hash| hash.len() == 64 && hash.bytes().all(|byte| byte.is_ascii_hexdigit()))
    };
    let (file, from) = match arguments {
        [file] => (file, None),
        [file, option, from] | [option, from, file] if option == "--from-hash" => match hash(from) {
            Some(from) => (file, Some(from)),
            None => return unusable("--from-hash takes 64 hexadecimal digits"),
        },
        _ => return unusable(USAGE),
    };
    match File::open(file).and_then(|file| audit::verify(BufReader::new(file), from.as_deref())) {
        Ok(Verdict::Whole(lines)) => say(&format!("ok {lines}"), ExitCode::SUCCESS),
        Ok(Verdict::Broken { seq, reason }) => {
            say(&format!("broken at seq {seq}: {reason}"), ExitCode::FAILURE)
        }
        Err(error) => unusable(&format!("{}: {error}", Path::new(file).display())),
    }
}

/// Replays what capture wrote: 0 where nothing differs, 1 where something does, 2 where it cannot be replayed.
fn replay(arguments: &[OsString]) -> ExitCode {
    let (file, force) = match arguments {
        [file] => (file, false),
        [file, option] | [option, file] if option == "--force" => (file, true),
        _ => return unusable(USAGE),
    };
    let mut print = |line| match line {
        Line::Difference(text) => drop(say(&text, ExitCode::SUCCESS)),
        Line::Warning(text) => complain(&format!("warning: {text}")),
    };
    match replay::replay(Path::new(file), force, &mut print) {
        Ok(Report { files, events, decisions, differences, .. }) => {
            let code = if differences > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS };
            let line =
                format!("{files} files, {events} events, {decisions} decisions, {differences} differences");
            say(&line, code)
        }
        Err(reason) => unusable(&reason),
    }
}

fn unusable(reason: &str) -> ExitCode {
    complain(reason);
    ExitCode::from(2)
}

/// A reader that has gone does not change the verdict.
fn say(line: &str, code: ExitCode) -> ExitCode {
    let _ = writeln!(std::io::stdout(), "{line}");
    code
}

fn start(features: Features) -> Result<(), String> {
    let path = std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
    let mut config = Config::load(Path::new(&path))?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let (moved, discovery) = watch::channel(config.discovery);
        let listener = server::listen(config.listen).map_err(|e| format!("{}: {e}", config.listen))?;
        let side = Side::open(features, &mut config)?;
        let note = {
            let trail = side.trail.clone();
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
                    Err(reason) => nettleworks::log(&format!("not reloaded: {reason}")),
                }
            }
        });
        let stop = async move {
            terminate.recv().await;
            note("sigterm", Actor::Operator, "told to stop");
        };
        nettleworks::run(config, side, listener, discovery, stop).await;
        // What is left are tasks without a client: timers, the watch, idle connections.
        Ok(())
    })
}
