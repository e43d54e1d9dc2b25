//! Runs balancers on the simulator's protocol: reads one batch of events as a line of JSON, and writes one
//! batch of commands.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod wire;

use error::AdapterError;
use flaxhead_policy::{
    Action, Balancer, CallId, ClassId, Entry, Event, ListKind, Outcome, ServerId, TenantId,
};
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use wire::{Batch, Command, Input, Reply};

/// A call of a simulated proxy; `name` identifies it in the protocol.
struct CallEntry {
    name: String,
    in_flight: u32,
    ended: bool,
}

/// A simulated proxy: its balancer, and the protocol's names for its calls, classes and tenants.
struct SimulatedProxy {
    balancer: Balancer,
    classes: Vec<String>,
    tenants: Vec<String>,
    call_ids: HashMap<String, CallId>,
    calls: HashMap<CallId, CallEntry>,
    next_call_id: u64,
}

impl SimulatedProxy {
    fn call_id(&mut self, name: &str) -> CallId {
        if let Some(&id) = self.call_ids.get(name) {
            return id;
        }
        let id = CallId(self.next_call_id);
        self.next_call_id += 1;
        self.call_ids.insert(name.to_owned(), id);
        self.calls.insert(id, CallEntry { name: name.to_owned(), in_flight: 0, ended: false });
        id
    }

    /// Removes a call that has ended and has no attempt in flight.
    fn remove_if_complete(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|n| n.ended && n.in_flight == 0) {
            if let Some(entry) = self.calls.remove(&id) {
                self.call_ids.remove(&entry.name);
            }
        }
    }
}

/// All proxies of the simulation and the endpoint lists that MEMBERS events refer to, by their ids.
#[derive(Default)]
struct Adapter {
    proxies: HashMap<i64, SimulatedProxy>,
    lists: HashMap<i64, Vec<wire::Element>>,
    actions: Vec<Action>,
}

fn require<T>(value: Option<T>, verb: &str, field: &'static str) -> Result<T, AdapterError> {
    value.ok_or_else(|| AdapterError::MissingField { verb: verb.to_owned(), field })
}

impl Adapter {
    fn handle_batch(&mut self, line: &str) -> Result<String, AdapterError> {
        let batch: Batch = serde_json::from_str(line).map_err(AdapterError::InvalidBatch)?;
        let mut reply = Reply { cmds: Vec::with_capacity(batch.input.len()) };
        for input in batch.input {
            self.handle_input(batch.clock_us, input, &mut reply)?;
        }
        serde_json::to_string(&reply).map_err(AdapterError::Encode)
    }

    fn handle_input(&mut self, now: u64, input: Input, reply: &mut Reply) -> Result<(), AdapterError> {
        let verb = input.verb.as_ref();
        if verb == "POOL" {
            let list = require(input.roster_id, verb, "roster_id")?;
            self.lists.insert(list, input.elements.unwrap_or_default());
            return Ok(());
        }
        let proxy = require(input.proxy, verb, "proxy")?;
        if verb == "CREATE" {
            let facts = require(input.facts, verb, "facts")?;
            let seed = require(input.seed, verb, "seed")?;
            let (settings, classes, tenants) = flaxhead_settings::parse(&facts)?;
            let balancer = Balancer::new(seed, settings);
            let (call_ids, calls) = (HashMap::new(), HashMap::new());
            let simulated = SimulatedProxy { balancer, classes, tenants, call_ids, calls, next_call_id: 0 };
            self.proxies.insert(proxy, simulated);
        } else if verb == "DETACH" {
            self.proxies.remove(&proxy);
            return Ok(());
        }
        let simulated = self
            .proxies
            .get_mut(&proxy)
            .ok_or_else(|| AdapterError::UnknownProxy { verb: verb.to_owned(), proxy })?;
        let mut touched_call = None;
        let event = match verb {
            "CREATE" => Event::Start,
            "MEMBERS" => {
                let kind = match require(input.scope, verb, "scope")? {
                    0 => ListKind::Failed,
                    1 => ListKind::Cached,
                    2 => ListKind::Delta,
                    3 => ListKind::Full,
                    other => return Err(AdapterError::UnknownScope(other)),
                };
                let entries: Vec<Entry> = match kind {
                    ListKind::Failed => Vec::new(),
                    _ => {
                        let list = require(input.roster_id, verb, "roster_id")?;
                        let list = self.lists.get(&list).ok_or(AdapterError::UnknownList(list))?;
                        list.iter().map(wire::Element::entry).collect::<Result<_, _>>()?
                    }
                };
                Event::Members { kind, entries }
            }
            "ALARM" => Event::Timer,
            "PROBED" => Event::Probed {
                server: ServerId(require(input.host, verb, "host")?),
                outcome: wire::outcome(&require(input.result, verb, "result")?),
                load: input.stats.map(|s| s.load()).unwrap_or_default(),
            },
            "WHISPER" => return Ok(()),
            "JOB_IN" | "DONE" | "UNDER_WAY" | "CANCELLED_BY_CLIENT" => {
                let name = require(input.call, verb, "call")?;
                if verb != "JOB_IN" && !simulated.call_ids.contains_key(name.as_ref()) {
                    return Ok(());
                }
                let call = simulated.call_id(&name);
                touched_call = Some(call);
                match verb {
                    "JOB_IN" => {
                        let class = require(input.tier_class, verb, "tier_class")?;
                        let index_of = |all: &[String], name: &str| all.iter().position(|n| n == name);
                        Event::Request {
                            call,
                            class: ClassId(index_of(&simulated.classes, &class).unwrap_or(usize::MAX)),
                            tenant: input
                                .user_group
                                .and_then(|t| index_of(&simulated.tenants, &t))
                                .map(TenantId),
                            time_left: require(input.time_budget_us, verb, "time_budget_us")?,
                            resent: input.resent,
                        }
                    }
                    "DONE" => {
                        let outcome: Outcome = wire::outcome(&require(input.result, verb, "result")?);
                        if let Some(entry) = simulated.calls.get_mut(&call) {
                            entry.in_flight = entry.in_flight.saturating_sub(1);
                            entry.ended |= input.terminal;
                        }
                        Event::Outcome {
                            call,
                            attempt: require(input.seq_no, verb, "seq_no")?,
                            outcome,
                            elapsed: input.elapsed_us.unwrap_or(0),
                            complete: input.terminal,
                            load: input.stats.map(|s| s.load()).unwrap_or_default(),
                        }
                    }
                    "UNDER_WAY" => Event::Streaming { call, attempt: require(input.seq_no, verb, "seq_no")? },
                    _ => {
                        if let Some(entry) = simulated.calls.get_mut(&call) {
                            entry.ended = true;
                        }
                        Event::ClientCancelled { call }
                    }
                }
            }
            other => return Err(AdapterError::UnknownVerb(other.to_owned())),
        };
        simulated.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let Some(command) = to_command(proxy, simulated, action) {
                reply.cmds.push(command);
            }
        }
        if let Some(call) = touched_call {
            simulated.remove_if_complete(call);
        }
        Ok(())
    }
}

/// Converts a balancer's action to a command; `None` for an action on a call that has been removed.
fn to_command(proxy: i64, simulated: &mut SimulatedProxy, action: Action) -> Option<Command> {
    let name_of = |id: CallId, calls: &HashMap<CallId, CallEntry>| calls.get(&id).map(|n| n.name.clone());
    Some(match action {
        Action::Send { call, server, deadline, .. } => {
            let entry = simulated.calls.get_mut(&call)?;
            entry.in_flight += 1;
            Command::Route { proxy, call: entry.name.clone(), host: server.0, stop_at_us: deadline }
        }
        Action::Reject { call, retry_after } => {
            let entry = simulated.calls.get_mut(&call)?;
            entry.ended = true;
            let command = Command::Bounce { proxy, call: entry.name.clone(), hold_off_us: retry_after };
            simulated.remove_if_complete(call);
            command
        }
        Action::Fail { call } => {
            let entry = simulated.calls.get_mut(&call)?;
            entry.ended = true;
            let command = Command::DropRequest { proxy, call: entry.name.clone() };
            simulated.remove_if_complete(call);
            command
        }
        Action::Cancel { call, attempt } => {
            Command::DropAttempt { proxy, call: name_of(call, &simulated.calls)?, seq_no: attempt }
        }
        Action::Probe { server } => Command::Test { proxy, host: server.0 },
        Action::Wake { after } => Command::SetAlarm { proxy, offset_us: after, tag: 0 },
        Action::Subscribe => Command::Listen { proxy, enable: true },
        Action::Log { text } => Command::Trace { proxy, note_text: text },
    })
}

fn main() {
    let mut adapter = Adapter::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let answer = line.map_err(AdapterError::Read).and_then(|line| adapter.handle_batch(&line));
        match answer {
            Ok(reply) => {
                if writeln!(output, "{reply}").and_then(|()| output.flush()).is_err() {
                    std::process::exit(1);
                }
            }
            Err(fault) => {
                eprintln!("flaxhead-adapter: line {}: {fault}", index + 1);
                std::process::exit(1);
            }
        }
    }
}
