//! The chain: what a change is written down as, and how a line is told from one that was edited.

use super::error::Break;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::time::SystemTime;

/// The `prev` of the first line.
pub const FIRST_PREV: &str = "0000000000000000000000000000000000000000000000000000000000000000";
/// Most characters of a detail: host names come from outside.
const MAX_DETAIL_CHARS: usize = 400;
/// Longest line that is read; a written one is far shorter.
pub(super) const MAX_LINE_BYTES: usize = 16 << 10;

/// Who brought a change about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Actor {
    /// Whoever runs the program.
    Operator,
    /// The platform it runs on.
    Platform,
}

/// A change of state.
#[derive(Clone, Debug)]
pub(super) struct Change {
    ts_ms: u64,
    event: &'static str,
    actor: Actor,
    detail: String,
}

impl Change {
    pub(super) fn new(event: &'static str, actor: Actor, detail: &str) -> Change {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let detail = detail.chars().take(MAX_DETAIL_CHARS).collect();
        Change { ts_ms: unix.as_millis() as u64, event, actor, detail }
    }
}

/// The canonical line: what is hashed behind `prev`, its keys in this order.
#[derive(Serialize)]
pub(super) struct Canonical<'a> {
    seq: u64,
    ts_ms: u64,
    event: &'a str,
    actor: Actor,
    detail: &'a str,
    prev: &'a str,
}

/// A line as the file has it: the canonical one and its hash.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Line {
    pub(super) seq: u64,
    ts_ms: u64,
    event: String,
    actor: Actor,
    detail: String,
    pub(super) prev: String,
    pub(super) hash: String,
}

impl Line {
    pub(super) fn new(seq: u64, prev: &str, change: &Change) -> Line {
        let Change { ts_ms, event, actor, detail } = change.clone();
        let (event, prev) = (event.to_owned(), prev.to_owned());
        let mut line = Line { seq, ts_ms, event, actor, detail, prev, hash: String::new() };
        line.hash = line.hashed();
        line
    }

    fn hashed(&self) -> String {
        let Line { seq, ts_ms, event, actor, detail, prev, .. } = self;
        let (seq, ts_ms, actor) = (*seq, *ts_ms, *actor);
        let mut hash = Sha256::new_with_prefix(prev);
        hash.update(text(&Canonical { seq, ts_ms, event, actor, detail, prev }));
        hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// Numbers and strings can always be written as JSON.
pub(super) fn text(line: &impl Serialize) -> String {
    serde_json::to_string(line).unwrap_or_default()
}

/// Where the chain stands: the next line's number, and the hash before it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Chain {
    pub(super) seq: u64,
    pub(super) prev: String,
}

impl Chain {
    pub(super) fn first() -> Chain {
        Chain { seq: 1, prev: FIRST_PREV.to_owned() }
    }

    pub(super) fn link(&mut self, change: &Change) -> String {
        let line = Line::new(self.seq, &self.prev, change);
        let text = text(&line) + "\n";
        (self.seq, self.prev) = (line.seq + 1, line.hash);
        text
    }

    /// Takes the next line, or says what is wrong with it.
    pub(super) fn follow(&mut self, bytes: &[u8]) -> Result<(), Break> {
        let line: Line = serde_json::from_slice(bytes).map_err(|_| Break::NoLine)?;
        if line.seq != self.seq {
            return Err(Break::Number);
        }
        if line.prev != self.prev {
            return Err(Break::Prev);
        }
        if line.hash != line.hashed() || text(&line).as_bytes() != bytes {
            return Err(Break::Text);
        }
        (self.seq, self.prev) = (line.seq + 1, line.hash);
        Ok(())
    }
}
