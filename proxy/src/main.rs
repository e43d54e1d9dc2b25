//! The program: reads the configuration, serves, follows discovery to another address on SIGHUP, and stops on
//! SIGTERM.
#![forbid(unsafe_code)]

use nettleworks::config::Config;
use nettleworks::features::Features;
use nettleworks::server;
use nettleworks::side::Side;
use std::ffi::OsString;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use tokio::runtime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

const USAGE: &str = "usage: flaxhead [FILE.ini]";

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let done = match arguments.as_slice() {
        [] => start(Features::default()),
        [file] => Features::load(Path::new(file)).and_then(start),
        _ => Err(USAGE.to_owned()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            let _ = writeln!(std::io::stderr(), "flaxhead: {}", reason.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn start(features: Features) -> Result<(), String> {
    let path = std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
    let mut config = Config::load(Path::new(&path))?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let (moved, discovery) = watch::channel(config.discovery);
        spawn_local(async move {
            while hangup.recv().await.is_some() {
                // A file that cannot be used is no reason to stop serving with what is in hand.
                match Config::load(Path::new(&path)) {
                    Ok(config) => drop(moved.send_replace(config.discovery)),
                    Err(reason) => nettleworks::log(&format!("not reloaded: {reason}")),
                }
            }
        });
        let listener = server::listen(config.listen).map_err(|e| format!("{}: {e}", config.listen))?;
        let side = Side::open(features, &mut config)?;
        let stop = async move {
            terminate.recv().await;
        };
        nettleworks::run(config, side, listener, discovery, stop).await;
        // What is left are tasks without a client: timers, the watch, idle connections.
        Ok(())
    })
}
