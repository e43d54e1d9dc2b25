//! One file's replay: what the module does now beside what was recorded.

use super::super::form::{Item, Record};
use super::report::Run;
use flaxhead_policy::{Action, Balancer, CallId, Event, Micros, Outcome, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// A file's replay so far.
pub(super) struct Replayed {
    balancer: Balancer,
    origin: Micros,
    hosts: BTreeMap<ServerId, String>,
    ids: BTreeMap<CallId, String>,
    /// The last event's time, what is done now, and what was recorded.
    at: Micros,
    now: Vec<Action>,
    recorded: Vec<Action>,
    /// Codes of answers: as recorded, and as they follow from what is done now.
    answered: BTreeMap<CallId, u16>,
    implied: BTreeMap<CallId, u16>,
}

impl Replayed {
    pub(super) fn new(balancer: Balancer, origin: Micros) -> Replayed {
        Replayed {
            balancer,
            origin,
            hosts: BTreeMap::new(),
            ids: BTreeMap::new(),
            at: 0,
            now: Vec::new(),
            recorded: Vec::new(),
            answered: BTreeMap::new(),
            implied: BTreeMap::new(),
        }
    }

    /// Takes a record; `None` if no proxy can have written it.
    pub(super) fn take(&mut self, record: Record, run: &mut Run) -> Option<()> {
        let since = record.ms.checked_mul(1_000)?.checked_add(record.us.into())?;
        let at = self.origin.checked_add(since)?;
        match record.item {
            Item::Host { server, host, .. } => drop(self.hosts.insert(server, host.into_owned())),
            Item::Open { call, id } | Item::Asked { call, id, .. } => {
                self.ids.insert(call, id.into_owned());
            }
            Item::Line { hosts, .. } => {
                self.hosts.extend(hosts.into_iter().map(|(server, host)| (server, host.host.clone())));
            }
            Item::Fed(event) => {
                self.compare(run, false);
                if !flaxhead_policy::is_event_in_range(at, &event) {
                    return None;
                }
                if let Event::Outcome { call, outcome: Outcome::Served, .. } = *event {
                    self.implied.insert(call, 200);
                }
                run.report.events += 1;
                self.at = at;
                self.balancer.handle(at, event.into_owned(), &mut self.now);
                for action in &self.now {
                    match *action {
                        Action::Reject { call, .. } => drop(self.implied.insert(call, 503)),
                        Action::Fail { call } => drop(self.implied.insert(call, 502)),
                        _ => {}
                    }
                }
            }
            Item::Did(action) => {
                run.report.decisions += 1;
                self.recorded.push(action.into_owned());
            }
            Item::Answered { call, code } => {
                run.report.decisions += 1;
                self.answered.insert(call, code);
            }
        }
        Some(())
    }

    /// Tells where what was recorded for the last event differs from what is done now. Of a step that is `cut`
    /// off, only what was recorded can differ.
    pub(super) fn compare(&mut self, run: &mut Run, cut: bool) {
        let (mut now, recorded) = (std::mem::take(&mut self.now), std::mem::take(&mut self.recorded));
        if cut {
            now.truncate(recorded.len());
        }
        if now != recorded {
            let calls: BTreeSet<Option<CallId>> = recorded.iter().chain(&now).map(call_of).collect();
            for call in calls {
                let of = |actions: &[Action]| -> Vec<Action> {
                    actions.iter().filter(|action| call_of(action) == call).cloned().collect()
                };
                let (was, is) = (of(&recorded), of(&now));
                if was != is {
                    let (mut was_told, mut is_told) = (self.tell(&was), self.tell(&is));
                    if was_told == is_told {
                        (was_told, is_told) = (format!("{was:?}"), format!("{is:?}"));
                    }
                    let at = self.at.saturating_sub(self.origin) / 1_000;
                    let of = call.map_or_else(|| format!("at {at} ms"), |call| self.call(call));
                    run.differs(format!("{of} recorded {was_told}, now {is_told}"));
                }
            }
        }
        // A served answer stands before the outcome that it follows from: it waits until that is fed.
        let known: Vec<CallId> =
            self.answered.keys().filter(|call| self.implied.contains_key(call)).copied().collect();
        for call in known {
            let codes = (self.answered.remove(&call), self.implied.remove(&call));
            if let (Some(code), Some(implied)) = codes {
                if code != implied {
                    run.differs(format!("{} recorded answer {code}, now {implied}", self.call(call)));
                }
            }
        }
    }

    fn call(&self, call: CallId) -> String {
        let id = self.ids.get(&call).map(|id| id.escape_debug().to_string());
        format!("call {}", id.unwrap_or_else(|| format!("number {}", call.0)))
    }

    /// Decisions in the words of the operators.
    fn tell(&self, actions: &[Action]) -> String {
        let word = |action: &Action| match action {
            Action::Send { server, .. } => match self.hosts.get(server) {
                Some(host) => host.escape_debug().to_string(),
                None => format!("server {}", server.0),
            },
            Action::Reject { .. } => "503".to_owned(),
            Action::Fail { .. } => "502".to_owned(),
            Action::Cancel { attempt, .. } => format!("attempt {attempt} called off"),
            Action::Wake { after } => format!("a timer in {after} us"),
            other => format!("{other:?}"),
        };
        match actions {
            [] => "nothing".to_owned(),
            actions => actions.iter().map(word).collect::<Vec<_>>().join(" and "),
        }
    }
}

/// The call that a decision is about.
fn call_of(action: &Action) -> Option<CallId> {
    match *action {
        Action::Send { call, .. }
        | Action::Reject { call, .. }
        | Action::Fail { call }
        | Action::Cancel { call, .. } => Some(call),
        Action::Probe { .. } | Action::Wake { .. } | Action::Subscribe | Action::Log { .. } => None,
    }
}
