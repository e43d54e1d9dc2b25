//! Conversion of the membership into the member list of a lease machine.

use flaxhead_lease::{MemberStatus, Presence};
use flaxhead_membership::{Cause, Machine, Member, Micros, Name, State};
use std::collections::BTreeMap;

const MICROS_PER_MILLI: Micros = 1_000;

/// Status of all known members but the local one.
pub(crate) fn statuses(machine: &Machine, now: Micros) -> BTreeMap<Name, MemberStatus> {
    let view = machine.view(now);
    let since = |name: &Name| {
        let for_ms = view.member(name).map_or(0, |member| member.for_ms);
        now.saturating_sub(for_ms.saturating_mul(MICROS_PER_MILLI))
    };
    let status = |member: &Member| {
        let record = &member.record;
        let status = MemberStatus {
            incarnation: record.stamp.incarnation,
            address: record.address,
            presence: presence(member),
            since: since(&record.name),
        };
        (record.name.clone(), status)
    };
    machine.table().others().map(status).collect()
}

fn presence(member: &Member) -> Presence {
    let has_exited = || member.suspicions.iter().any(|suspicion| suspicion.cause == Cause::Refused);
    match member.state {
        State::Left => Presence::Left,
        // Only a refused connection, reported by the member's own machine, proves that the process has ended.
        State::Dead if has_exited() => Presence::Exited,
        State::Dead => Presence::Unreachable,
        State::Suspect => Presence::Suspected,
        State::Alive | State::Vouched if member.record.cut_off.is_some() => Presence::Suspected,
        State::Alive | State::Vouched => Presence::Alive,
    }
}
