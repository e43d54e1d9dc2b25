//! The membership, as what is settled in common goes by it.

use flaxhead_lease::{MemberStatus, Presence};
use flaxhead_membership::{Cause, Machine, Member, Micros, Name, State};
use std::collections::BTreeMap;

/// All others that are known.
pub(crate) fn facts(machine: &Machine, now: Micros) -> BTreeMap<Name, MemberStatus> {
    let view = machine.view(now);
    let since = |name: &Name| {
        let for_ms = view.member(name).map_or(0, |member| member.for_ms);
        now.saturating_sub(for_ms.saturating_mul(1_000))
    };
    let fact = |member: &Member| {
        let card = &member.card;
        let (life, at, since) = (card.stamp.life, card.at, since(&card.name));
        (
            card.name.clone(),
            MemberStatus { incarnation: life, address: at, presence: presence(member), since },
        )
    };
    machine.table().others().map(fact).collect()
}

fn presence(member: &Member) -> Presence {
    match member.state {
        State::Left => Presence::Left,
        // Only its own machine's word that nothing listens there is proof that the process has ended.
        State::Dead if member.words.iter().any(|word| word.cause == Cause::Refused) => Presence::Exited,
        State::Dead => Presence::Unreachable,
        State::Suspect => Presence::Suspected,
        State::Alive | State::Heard if member.card.cut_off.is_some() => Presence::Suspected,
        State::Alive | State::Heard => Presence::Alive,
    }
}
