//! `flaxhead work`: the commands by which operators have hosts drained for maintenance, through any one proxy's side port.

use crate::admin_client::{self, TIMEOUT};
use clap::Args;
use flaxhead_lease::Micros;
use flaxhead_maintenance::{
    Command, CommandResponse, DrainRequest, DrainView, MaintenanceView, Rejection, Stage,
};
use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// How long a proxy may take to commit a command.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two polls of a drain.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What `flaxhead work ADDRESS` does.
#[derive(Debug, clap::Subcommand)]
pub enum Subcommand {
    /// Asks for a host to be taken out: 0 where it is on record (with --wait: free), 1 where it is refused or has ended, 2
    /// where the proxy cannot be asked, 3 where it is not free in time.
    Ask(RequestArguments),
    /// Shows all turns.
    List {
        /// As JSON, all that is known.
        #[arg(long)]
        json: bool,
    },
    /// Shows one turn: 0 where it is free, 1 where it is not, 2 where it cannot be asked.
    Show {
        /// Its number.
        turn: u64,
        /// Waits until it is free, for so long at the most.
        #[arg(long, value_parser = humantime::parse_duration)]
        wait: Option<Duration>,
    },
    /// Takes a request back before the host is out.
    Withdraw {
        /// Its number.
        turn: u64,
        /// Who says so.
        #[arg(long, env = "USER")]
        by: String,
    },
    /// Says that the work is done and the host runs.
    Done {
        /// Its number.
        turn: u64,
        /// Who says so: whoever asked.
        #[arg(long, env = "USER")]
        by: String,
    },
    /// Says that a proxy which is not heard does not run, so that turns wait for it no longer.
    Gone {
        /// Its name.
        proxy: String,
        /// Who says so.
        #[arg(long, env = "USER")]
        by: String,
    },
    /// After all proxies were restarted: says that every host that is out is on the list, and every proxy runs or is off.
    Known {
        /// Who says so.
        #[arg(long, env = "USER")]
        by: String,
    },
}

/// A host to be taken out.
#[derive(Debug, Args)]
pub struct RequestArguments {
    /// Its name in discovery.
    host: String,
    /// The kind of work.
    #[arg(long)]
    kind: String,
    /// How long it takes, such as 30m.
    #[arg(long = "for", value_parser = humantime::parse_duration)]
    lasts: Duration,
    /// Who asks.
    #[arg(long, env = "USER")]
    by: String,
    /// Not before this time from now.
    #[arg(long, value_parser = humantime::parse_duration, default_value = "0s")]
    not_before: Duration,
    /// Not begun after this time from now.
    #[arg(long, value_parser = humantime::parse_duration)]
    not_after: Option<Duration>,
    /// It is out already, as after all proxies were restarted.
    #[arg(long)]
    already_out: bool,
    /// Waits until it is free, for so long at the most.
    #[arg(long, value_parser = humantime::parse_duration)]
    wait: Option<Duration>,
}

fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl From<RequestArguments> for DrainRequest {
    fn from(arguments: RequestArguments) -> DrainRequest {
        DrainRequest {
            host: arguments.host,
            kind: arguments.kind,
            by: arguments.by,
            duration: micros(arguments.lasts),
            not_before: micros(arguments.not_before),
            not_after: arguments.not_after.map(micros),
            already_out: arguments.already_out,
        }
    }
}

impl Subcommand {
    /// Carries it out through the proxy with this side port.
    pub fn run(self, address: SocketAddr) -> ExitCode {
        match self {
            Subcommand::List { json } => match poll(address) {
                Ok(polled) => print(&if json { polled.text } else { table(&polled.view) }, 0),
                Err(error) => unreachable(address, &error),
            },
            Subcommand::Show { turn, wait: None } => match poll(address) {
                Ok(Polled { view, .. }) => print(&describe(&view, turn), u8::from(!is_free(&view, turn))),
                Err(error) => unreachable(address, &error),
            },
            Subcommand::Show { turn, wait: Some(timeout) } => wait_until_free(address, turn, timeout),
            Subcommand::Ask(arguments) => request(address, arguments),
            Subcommand::Withdraw { turn, by } => {
                report(address, submit(address, &Command::Withdraw { drain: turn, by }))
            }
            Subcommand::Done { turn, by } => {
                report(address, submit(address, &Command::Complete { drain: turn, by }))
            }
            Subcommand::Gone { proxy, by } => {
                report(address, submit(address, &Command::RemoveProcess { name: proxy, by }))
            }
            Subcommand::Known { by } => report(address, submit(address, &Command::DeclareRecovered { by })),
        }
    }
}

fn request(address: SocketAddr, arguments: RequestArguments) -> ExitCode {
    let timeout = arguments.wait;
    match (submit(address, &Command::Request(arguments.into())), timeout) {
        (Ok(Ok(CommandResponse::Drain { id, .. })), Some(timeout)) => wait_until_free(address, id, timeout),
        (result, _) => report(address, result),
    }
}

fn print(text: &str, code: u8) -> ExitCode {
    // A reader that has gone does not change the exit code.
    let _ = writeln!(io::stdout(), "{}", text.trim_end());
    ExitCode::from(code)
}

fn unreachable(address: SocketAddr, error: &io::Error) -> ExitCode {
    let _ = writeln!(io::stderr(), "flaxhead: {address}: {error}");
    ExitCode::from(2)
}

fn report(address: SocketAddr, result: io::Result<Result<CommandResponse, Rejection>>) -> ExitCode {
    match result {
        Ok(Ok(CommandResponse::Drain { id, stage })) => print(&format!("turn {id} is {stage}"), 0),
        Ok(Ok(CommandResponse::Done)) => print("done", 0),
        Ok(Err(rejection)) => {
            let _ = writeln!(io::stderr(), "flaxhead: {rejection}");
            ExitCode::from(1)
        }
        Err(error) => unreachable(address, &error),
    }
}

/// Prints how a drain progresses until its host is free.
fn wait_until_free(address: SocketAddr, drain: u64, timeout: Duration) -> ExitCode {
    let start = Instant::now();
    let mut printed = String::new();
    loop {
        // A proxy that is away for a moment is polled again.
        let polled = poll(address);
        if let Ok(Polled { view, .. }) = &polled {
            let description = describe(view, drain);
            if description != printed {
                print(&description, 0);
                printed = description;
            }
            if is_free(view, drain) {
                return ExitCode::SUCCESS;
            }
            if view.completed.iter().any(|completed| completed.id == drain) {
                return ExitCode::from(1);
            }
        }
        if start.elapsed() >= timeout {
            return match polled {
                Ok(_) => ExitCode::from(3),
                Err(error) => unreachable(address, &error),
            };
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Whether the work at a drain's host may begin.
pub fn is_free(view: &MaintenanceView, drain: u64) -> bool {
    view.drains.iter().any(|row| row.id == drain && row.is_free && row.stage == Stage::OutOfService)
}

/// What a proxy answered.
pub struct Polled {
    /// As it came.
    pub text: String,
    /// As it was understood.
    pub view: MaintenanceView,
}

/// Asks a proxy what it knows of the drains.
///
/// # Errors
///
/// Where it cannot be reached, or its answer not be understood.
pub fn poll(address: SocketAddr) -> io::Result<Polled> {
    let text = ask(address, None, TIMEOUT)?;
    let view = serde_json::from_str(&text).map_err(io::Error::other)?;
    Ok(Polled { text, view })
}

/// Submits a command at a proxy.
///
/// # Errors
///
/// Where it cannot be reached, or its answer not be understood. The inner result is its answer.
pub fn submit(address: SocketAddr, command: &Command) -> io::Result<Result<CommandResponse, Rejection>> {
    let text = ask(address, Some(&serde_json::to_string(command)?), COMMIT_TIMEOUT + TIMEOUT)?;
    serde_json::from_str(&text).map_err(io::Error::other)
}

fn ask(address: SocketAddr, body: Option<&str>, timeout: Duration) -> io::Result<String> {
    admin_client::request(address, "/work.json", body, timeout, "it settles no turns: [work] is off there")
}

fn line(row: &DrainView) -> String {
    let stage = if row.is_free { "free".to_owned() } else { row.stage.to_string() };
    let waits = if row.waits_for.is_empty() { String::new() } else { format!(": {}", row.waits_for) };
    let duration = humantime::format_duration(Duration::from_millis(row.duration_ms));
    format!("turn {} {} {stage} ({}, by {}, for {duration}){waits}", row.id, row.host, row.kind, row.by)
}

fn describe(view: &MaintenanceView, drain: u64) -> String {
    if let Some(row) = view.drains.iter().find(|row| row.id == drain) {
        return line(row);
    }
    match view.completed.iter().rev().find(|completed| completed.id == drain) {
        Some(completed) => {
            format!("turn {} {} has ended: {}", completed.id, completed.host, completed.outcome)
        }
        None => format!("no turn {drain} is known here"),
    }
}

/// The open drains, those that have ended, and the processes on the roster.
pub fn table(view: &MaintenanceView) -> String {
    let mut text = String::new();
    let lease = &view.lease;
    let leader = match (&lease.leader, lease.is_leader, lease.is_state_lost) {
        (_, true, true) => "hands out turns, but does not know what is out".to_owned(),
        (_, true, false) => "hands out turns".to_owned(),
        (Some(leader), ..) => format!("follows {leader}"),
        (None, ..) => "knows nobody that hands out turns".to_owned(),
    };
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{} {leader}, {}, board {}", lease.me, lease.admission, lease.version);
    for row in &view.drains {
        let _ = writeln!(text, "{} since {}", line(row), seconds(row.stage_age_ms));
    }
    for completed in &view.completed {
        let _ = writeln!(text, "turn {} {} has ended: {}", completed.id, completed.host, completed.outcome);
    }
    for process in &view.processes {
        let reported =
            process.reported_ms.map_or("not heard yet".to_owned(), |ms| format!("heard {} ago", seconds(ms)));
        let _ = writeln!(text, "proxy {} {reported}, goes by board {}", process.name, process.applied);
    }
    text
}

fn seconds(ms: u64) -> String {
    format!("{}.{} s", ms / 1_000, ms % 1_000 / 100)
}
