//! Conversion of the members that the membership knows into the member list of a lease machine.

use flaxhead_lease::{MemberStatus, Presence};
use flaxhead_membership::{Cause, Machine, Member, Micros, Name, State};
use std::collections::BTreeMap;

const MICROS_PER_MILLI: Micros = 1_000;

/// Returns the status of all members but the local one, as known to the membership machine `machine`. `now`
/// and the returned times are by the clock of that machine.
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

/// Returns the presence that the lease machine assumes for a member, given the membership's state of it.
fn presence(member: &Member) -> Presence {
    let has_exited = || member.suspicions.iter().any(|suspicion| suspicion.cause == Cause::Refused);
    match member.state {
        State::Left => Presence::Left,
        // Only a refused connection proves that the process has ended, because the host at its address must
        // run to refuse it.
        State::Dead if has_exited() => Presence::Exited,
        State::Dead => Presence::Unreachable,
        State::Suspect => Presence::Suspected,
        State::Alive | State::Vouched if member.record.cut_off.is_some() => Presence::Suspected,
        State::Alive | State::Vouched => Presence::Alive,
    }
}
