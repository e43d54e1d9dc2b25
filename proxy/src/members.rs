//! `flaxhead members`: asks a running proxy's side port who its members are, and shows them.

use crate::admin_client::{self, TIMEOUT};
use flaxhead_membership::{MemberView, State};
use flaxhead_peers::PeersView;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;

/// What the side port at an address shows, as it came and as it is understood.
pub fn ask(at: SocketAddr) -> io::Result<(String, PeersView)> {
    let text =
        admin_client::request(at, "/members.json", None, TIMEOUT, "it has no peers: [peers] is off there")?;
    let shown = serde_json::from_str(&text).map_err(io::Error::other)?;
    Ok((text, shown))
}

/// Whether all is well: this process takes part, and nobody that it knows is suspected or gone without a word.
pub fn is_well(shown: &PeersView) -> bool {
    let well = |m: &MemberView| matches!(m.state, State::Alive | State::Left) && m.cut_off.is_none();
    shown.participates && shown.view.members.iter().all(well)
}

/// The members as a table.
pub fn table(shown: &PeersView) -> String {
    let view = &shown.view;
    let mut text = String::new();
    let part = match (shown.participates, view.cut_off, view.displaced) {
        (true, ..) => "takes part".to_owned(),
        (_, Some(how), _) => format!("cut off: {}", word(&how)),
        (_, _, true) => "displaced: another process has its name".to_owned(),
        _ => "leaving".to_owned(),
    };
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{} {part}, health {}, view {} version {}",
        view.me, view.health, view.digest, view.version
    );
    let width = view.members.iter().map(|m| m.name.len()).max().unwrap_or(4).max(4);
    let _ = writeln!(
        text,
        "{:width$}  {:8} {:>7} {:>9} {:>9}  {:21} REMARKS",
        "NAME", "STATE", "START", "FOR", "HEARD", "ADDRESS"
    );
    for member in &view.members {
        let heard = member.heard_ms.map_or("-".to_owned(), seconds);
        let start = format!("{}.{}", member.generation, member.sequence);
        let (name, state) = (&member.name, word(&member.state));
        let line = format!(
            "{name:width$}  {state:8} {start:>7} {:>9} {heard:>9}  {:21} {}",
            seconds(member.for_ms),
            member.address.to_string(),
            remarks(member)
        );
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}

fn seconds(ms: u64) -> String {
    format!("{}.{} s", ms / 1_000, ms % 1_000 / 100)
}

/// A state as the JSON has it.
fn word(of: &impl serde::Serialize) -> String {
    serde_json::to_value(of).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

fn remarks(member: &MemberView) -> String {
    let mut remarks = Vec::new();
    remarks.extend(member.cut_off.map(|how| format!("cut off: {}", word(&how))));
    if member.reach.to_it == Some(false) {
        remarks.push("not reached from here".to_owned());
    }
    remarks.extend(member.via.as_ref().map(|via| format!("through {via}")));
    remarks.extend(member.suspicions.iter().map(|w| format!("{} by {}", word(&w.cause), w.by)));
    remarks.join(", ")
}
