//! The part of every process: which hosts it may send to.

use crate::stage::Stage;
use crate::turns::Turns;
use flaxhead_lease::{AdmissionStatus, Machine, Member, Micros};
use std::collections::BTreeSet;

/// From when on nothing new goes to a host; `None`: it may for as long as nothing else is said.
pub(crate) fn spared_from(member: &Member<Turns>, host: &str) -> Option<Micros> {
    let turns = &member.state().state.turns;
    let stage = turns.iter().filter(|turn| turn.ask.host == host).map(|turn| turn.stage).max()?;
    match stage {
        Stage::Asked | Stage::Back => None,
        // One that is not admitted confirms nothing, so that nobody waits for it.
        Stage::Settled => Some(if member.is_admitted() { member.lease_expiry() } else { 0 }),
        Stage::Draining | Stage::Out => Some(0),
    }
}

/// Hosts with a turn that spares them now or some time: nothing new goes there, each from its moment on.
pub fn spared(machine: &Machine<Turns>) -> Vec<(String, Micros)> {
    let member = machine.member();
    let hosts: BTreeSet<&str> =
        member.state().state.turns.iter().map(|turn| turn.ask.host.as_str()).collect();
    hosts.into_iter().filter_map(|host| Some((host.to_owned(), spared_from(member, host)?))).collect()
}

/// Whether something new may go to a host.
pub fn may_send(machine: &Machine<Turns>, now: Micros, host: &str) -> bool {
    machine.admission_status() != AdmissionStatus::Pending
        && spared_from(machine.member(), host).is_none_or(|from| now < from)
}
