//! `flaxhead work`: orders to the proxies on hosts that shall be worked at, through any one proxy's side port.

use crate::ask::{self, WAIT};
use clap::{Args, Subcommand};
use flaxhead_lease::Micros;
use flaxhead_maintenance::{Answer, Ask, Order, Refusal, Stage, TurnRow, View};
use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// How long a proxy may take to have an order on record.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Pause between two looks at a turn.
const LOOK: Duration = Duration::from_millis(250);

/// What `flaxhead work ADDRESS` does.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Asks for a host to be taken out: 0 where it is on record (with --wait: free), 1 where it is refused or has ended, 2
    /// where the proxy cannot be asked, 3 where it is not free in time.
    Ask(AskFor),
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
pub struct AskFor {
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

impl Command {
    /// Carries it out through the proxy with this side port.
    pub fn run(self, at: SocketAddr) -> ExitCode {
        match self {
            Command::List { json } => match shown(at) {
                Ok((text, view)) => say(&if json { text } else { table(&view) }, 0),
                Err(error) => cannot(at, &error),
            },
            Command::Show { turn, wait: None } => match shown(at) {
                Ok((_, view)) => say(&one(&view, turn), u8::from(!is_free(&view, turn))),
                Err(error) => cannot(at, &error),
            },
            Command::Show { turn, wait: Some(most) } => wait(at, turn, most),
            Command::Ask(ask) => {
                let order = Order::Ask(Ask {
                    host: ask.host,
                    kind: ask.kind,
                    by: ask.by,
                    lasts: micros(ask.lasts),
                    not_before: micros(ask.not_before),
                    not_after: ask.not_after.map(micros),
                    already_out: ask.already_out,
                });
                match (told(at, &order), ask.wait) {
                    (Ok(Ok(Answer::Turn { id, .. })), Some(most)) => wait(at, id, most),
                    (told, _) => report(at, told),
                }
            }
            Command::Withdraw { turn, by } => report(at, told(at, &Order::Withdraw { turn, by })),
            Command::Done { turn, by } => report(at, told(at, &Order::Done { turn, by })),
            Command::Gone { proxy, by } => report(at, told(at, &Order::Gone { name: proxy, by })),
            Command::Known { by } => report(at, told(at, &Order::Known { by })),
        }
    }
}

fn say(text: &str, code: u8) -> ExitCode {
    // A reader that has gone does not change the verdict.
    let _ = writeln!(io::stdout(), "{}", text.trim_end());
    ExitCode::from(code)
}

fn cannot(at: SocketAddr, error: &io::Error) -> ExitCode {
    let _ = writeln!(io::stderr(), "flaxhead: {at}: {error}");
    ExitCode::from(2)
}

fn report(at: SocketAddr, told: io::Result<Result<Answer, Refusal>>) -> ExitCode {
    match told {
        Ok(Ok(Answer::Turn { id, stage })) => say(&format!("turn {id} is {stage}"), 0),
        Ok(Ok(Answer::Done)) => say("done", 0),
        Ok(Err(refusal)) => {
            let _ = writeln!(io::stderr(), "flaxhead: {refusal}");
            ExitCode::from(1)
        }
        Err(error) => cannot(at, &error),
    }
}

/// Shows how a turn comes along until its host is free.
fn wait(at: SocketAddr, turn: u64, most: Duration) -> ExitCode {
    let start = Instant::now();
    let mut last = String::new();
    loop {
        // A proxy that is away for a moment is asked again.
        let seen = shown(at);
        if let Ok((_, view)) = &seen {
            let now = one(view, turn);
            if now != last {
                say(&now, 0);
                last = now;
            }
            if is_free(view, turn) {
                return ExitCode::SUCCESS;
            }
            if view.past.iter().any(|past| past.id == turn) {
                return ExitCode::from(1);
            }
        }
        if start.elapsed() >= most {
            return match seen {
                Ok(_) => ExitCode::from(3),
                Err(error) => cannot(at, &error),
            };
        }
        std::thread::sleep(LOOK);
    }
}

/// Whether a turn's host may be worked at.
pub fn is_free(view: &View, turn: u64) -> bool {
    view.turns.iter().any(|row| row.id == turn && row.free && row.stage == Stage::Out)
}

/// What a proxy shows of the turns, as it came and as it is understood.
pub fn shown(at: SocketAddr) -> io::Result<(String, View)> {
    let text = ask(at, None, WAIT)?;
    let view = serde_json::from_str(&text).map_err(io::Error::other)?;
    Ok((text, view))
}

/// Tells a proxy an order, and what it led to.
pub fn told(at: SocketAddr, order: &Order) -> io::Result<Result<Answer, Refusal>> {
    let text = ask(at, Some(&serde_json::to_string(order)?), PATIENCE + WAIT)?;
    serde_json::from_str(&text).map_err(io::Error::other)
}

fn ask(at: SocketAddr, said: Option<&str>, patience: Duration) -> io::Result<String> {
    ask::ask(at, "/work.json", said, patience, "it settles no turns: [work] is off there")
}

fn line(row: &TurnRow) -> String {
    let stage = if row.free { "free".to_owned() } else { row.stage.to_string() };
    let waits = if row.waits_for.is_empty() { String::new() } else { format!(": {}", row.waits_for) };
    format!(
        "turn {} {} {} ({}, by {}, for {}){waits}",
        row.id,
        row.host,
        stage,
        row.kind,
        row.by,
        humantime::format_duration(Duration::from_millis(row.lasts_ms))
    )
}

fn one(view: &View, turn: u64) -> String {
    if let Some(row) = view.turns.iter().find(|row| row.id == turn) {
        return line(row);
    }
    match view.past.iter().rev().find(|past| past.id == turn) {
        Some(past) => format!("turn {} {} has ended: {}", past.id, past.host, past.end),
        None => format!("no turn {turn} is known here"),
    }
}

/// The turns, those that ended and those that are waited for.
pub fn table(view: &View) -> String {
    let mut text = String::new();
    let holder = match (&view.standing.leader, view.standing.is_leader, view.standing.is_state_lost) {
        (_, true, true) => "hands out turns, but does not know what is out".to_owned(),
        (_, true, false) => "hands out turns".to_owned(),
        (Some(holder), ..) => format!("follows {holder}"),
        (None, ..) => "knows nobody that hands out turns".to_owned(),
    };
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{} {holder}, {}, board {}",
        view.standing.me, view.standing.admission, view.standing.version
    );
    for row in &view.turns {
        let _ = writeln!(text, "{} since {}", line(row), seconds(row.for_ms));
    }
    for past in &view.past {
        let _ = writeln!(text, "turn {} {} has ended: {}", past.id, past.host, past.end);
    }
    for member in &view.members {
        let heard =
            member.heard_ms.map_or("not heard yet".to_owned(), |ms| format!("heard {} ago", seconds(ms)));
        let _ = writeln!(text, "proxy {} {heard}, goes by board {}", member.name, member.confirmed);
    }
    text
}

fn seconds(ms: u64) -> String {
    format!("{}.{} s", ms / 1_000, ms % 1_000 / 100)
}
