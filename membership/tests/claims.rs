//! A process that was started again with the name of one that others still take to run.

use flaxhead_membership::{CheckResult, Config, Effect, Machine, Name, Packet};
use std::net::SocketAddr;

fn machine(number: u8, seed: u64, contacts: &[u8]) -> Machine {
    let name = Name::new(&format!("n{number}")).expect("a name");
    Machine::new(name, at(number), contacts.iter().map(|&c| at(c)).collect(), Config::default(), seed, 0)
}

fn at(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_946))
}

fn sent(out: &mut Vec<Effect>) -> Vec<(SocketAddr, Packet)> {
    let send = |effect| match effect {
        Effect::Send { to, packet } => Some((to, packet)),
        _ => None,
    };
    out.drain(..).filter_map(send).collect()
}

/// Which of two lives counts as the newer is drawn. Where it is the old one, the new process was heard by nobody, and
/// heard nothing of the old one if it was probed before it could ask a contact: three processes never had one view.
#[test]
fn one_that_was_started_again_hears_of_the_life_before_it_though_that_is_taken_to_run() {
    for (old, new) in [(1, 2), (2, 1), (3, 4), (4, 3)] {
        let (mut one, mut before, mut after) =
            (machine(1, 9, &[]), machine(2, old, &[1]), machine(2, new, &[1]));
        let mut out = Vec::new();
        one.receive_full_state(0, at(2), &before.full_state(), &mut out);
        before.receive_full_state(0, at(1), &one.full_state(), &mut out);
        out.clear();
        let mut now = 0;
        // All news is old by the time of the restart; then the address is probed, and its machine asked, before the new
        // process has asked anybody.
        for step in 0..1_200 {
            now += 50_000;
            let there = if step < 600 { &mut before } else { &mut after };
            one.tick(now, &mut out);
            if step < 600 {
                there.tick(now, &mut out);
            }
            let checks = |effect: &Effect| match effect {
                Effect::Check { seq, .. } => Some(*seq),
                _ => None,
            };
            let checks: Vec<u32> = out.iter().filter_map(checks).collect();
            let mut ways = sent(&mut out);
            for seq in checks {
                one.check_completed(now, seq, CheckResult::Answered(there.table().me().clone()), &mut out);
                ways.extend(sent(&mut out));
            }
            while let Some((to, packet)) = ways.pop() {
                let (machine, from) = if to == at(1) { (&mut one, at(2)) } else { (&mut *there, at(1)) };
                machine.receive(now, from, packet, &mut out);
                ways.extend(sent(&mut out));
            }
        }
        let own = after.table().me().stamp;
        let shown = one.table().get(&Name::new("n2").expect("a name")).expect("it is known").record.stamp;
        assert_eq!(
            shown.incarnation, own.incarnation,
            "the new process is taken for what it is, lives {old} and {new}"
        );
    }
}
