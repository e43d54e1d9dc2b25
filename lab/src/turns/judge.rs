//! What came of the turns: by what operators were told, and by the ledgers of the nodes.

use crate::ledger::FleetLedger;
use crate::model::node::Micros;
use serde::{Deserialize, Serialize};

/// What operators know of a turn.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The node.
    pub node: usize,
    /// When it was first asked for, in microseconds of the run.
    pub asked: Micros,
    /// When it was on record; `None`: never.
    pub taken: Option<Micros>,
    /// When an operator was first shown that the node is free.
    pub free: Option<Micros>,
    /// When the operator began to say that the work is done: from here on the node may be sent to.
    pub done: Option<Micros>,
    /// How it ended, in words.
    pub end: Option<String>,
    /// What it waited for, each once, in the order in which it was first shown.
    pub waits: Vec<String>,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TurnFigures {
    /// The turns.
    pub turns: Vec<Told>,
    /// Nodes that were out at once, by what operators were told, at the most.
    pub out_at_once: u32,
    /// Requests that came to a node between an operator's being told that it is free and saying that the work is done.
    pub sent_after_free: usize,
    /// The same, of the first such requests: node, proxy, and how long after, in microseconds.
    pub first_sent: Vec<(usize, usize, Micros)>,
    /// From asked to free, in milliseconds, over the turns that got free: median and 99th percentile.
    pub free_after_ms: (f64, f64),
    /// Fences under which turns were handed out, in the order of their being seen.
    pub fences: Vec<String>,
}

impl TurnFigures {
    /// Joins what operators were told and what nodes wrote down.
    pub fn of(turns: Vec<Told>, fences: Vec<String>, fleet: &FleetLedger) -> TurnFigures {
        let span = |told: &Told| Some((told.free?, told.done.unwrap_or(Micros::MAX)));
        let spans: Vec<(Micros, Micros)> = turns.iter().filter_map(span).collect();
        let at_once =
            |at: Micros| spans.iter().filter(|(from, to)| (*from..*to).contains(&at)).count() as u32;
        let out_at_once = spans.iter().map(|(from, _)| at_once(*from)).max().unwrap_or(0);
        let mut first_sent = Vec::new();
        let mut sent_after_free = 0;
        for told in &turns {
            let Some((from, to)) = span(told) else { continue };
            let late =
                |h: &&crate::ledger::Handled| h.node == told.node && h.first_byte > from && h.first_byte < to;
            for handled in fleet.handled.iter().filter(late) {
                sent_after_free += 1;
                if first_sent.len() < 10 {
                    first_sent.push((handled.node, handled.proxy, handled.first_byte - from));
                }
            }
        }
        let mut took: Vec<Micros> = turns.iter().filter_map(|t| Some(t.free? - t.asked)).collect();
        took.sort_unstable();
        let at = |share: f64| {
            let place = ((took.len() as f64 * share).ceil() as usize).clamp(1, took.len().max(1)) - 1;
            took.get(place).map_or(0.0, |&micros| micros as f64 / 1_000.0)
        };
        let free_after_ms = (at(0.5), at(0.99));
        TurnFigures { turns, out_at_once, sent_after_free, first_sent, free_after_ms, fences }
    }

    /// What was to hold and did not, in words.
    pub fn unheld(&self, of: &super::script::Work) -> Vec<String> {
        let mut unheld = Vec::new();
        if self.sent_after_free > 0 {
            let (count, first) = (self.sent_after_free, &self.first_sent);
            unheld.push(format!("{count} requests came to nodes that were told free: {first:?}"));
        }
        if self.out_at_once > of.hosts {
            unheld.push(format!("{} nodes were out at once, {} may be", self.out_at_once, of.hosts));
        }
        for (place, (told, wanted)) in self.turns.iter().zip(&of.turns).enumerate() {
            let early = told.free.is_some_and(|free| (free as f64) < wanted.not_free_before * 1e6);
            let last = told.waits.last().cloned().unwrap_or_default();
            match (told.free, told.end.as_deref()) {
                (Some(_), _) if wanted.never_free => unheld.push(format!("turn {place} was told free")),
                (Some(free), _) if early => {
                    unheld.push(format!("turn {place} was told free at {:.1} s", free as f64 / 1e6));
                }
                (Some(_), Some("done")) => {}
                (None, Some(_)) if wanted.never_free => {}
                (_, end) => unheld.push(format!(
                    "turn {place} of node {} ended with {end:?}, free {:?}, last it waited for {last:?}",
                    told.node, told.free
                )),
            }
        }
        unheld
    }
}
