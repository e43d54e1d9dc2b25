//! Processes that go by disks, each of which is a step behind: all crash at once, and find what they had, nothing, or what
//! somebody put back.

use super::*;
use flaxhead_snapshot::validation::validate;
use flaxhead_snapshot::{AgeLimits, ClockReading, Header, Identity, Snapshot};

/// What processes that start again find on their disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Found {
    /// What was written last.
    Last,
    /// The first of them nothing, the others what was written last.
    OneLost,
    Lost,
    /// What was there before anything was settled, which somebody put back.
    Old,
    /// The same at the first of them alone, within the bound of age: nobody can tell. The others find what was written
    /// last.
    OneOldYetFresh,
}

impl Found {
    /// All.
    pub(crate) const ALL: &[Found] =
        &[Found::Last, Found::OneLost, Found::Lost, Found::Old, Found::OneOldYetFresh];
}

impl Fleet {
    /// What a start takes of what is on its disk. What was written last is no older than a step.
    pub(crate) fn judged(
        &self,
        world: &World,
        on_disk: Option<(u8, PersistentState<Maintenance>)>,
    ) -> Option<PersistentState<Maintenance>> {
        let moment = |step: u8| ClockReading { wall_ms: now(step), ..ClockReading::default() };
        let (written, memory) = on_disk?;
        let (header, parts) = (Header { written: moment(written), ..Header::default() }, Vec::new());
        let mine = Identity { cluster: header.cluster.clone(), proxy: header.proxy.clone() };
        let old_ms = if self.broken == Broken::Age { u64::MAX } else { STEP };
        let limits = AgeLimits { max_age_ms: old_ms, max_ahead_ms: 0 };
        validate(Snapshot { header, parts }, &mine, moment(world.step), limits).ok().map(|_| memory)
    }

    /// What a node knew at the step's beginning is on its disk.
    pub(crate) fn write(&self, world: &mut World, node: usize) -> Vec<Envelope<Maintenance>> {
        let mut out = Vec::new();
        if self.disks {
            world.environment.disks[node] =
                Some((world.step, world.nodes[node].persistent_state(self.time(world, node))));
            self.confirm(world, node, &mut out);
        }
        self.sent(world, node, out)
    }

    /// It hears that this is so.
    pub(crate) fn confirm(&self, world: &mut World, node: usize, out: &mut Vec<Effect>) {
        let (facts, now) = (self.facts(world, node), self.time(world, node));
        let mut random = FixedRandom::for_node(node);
        let mut around = Context { now, facts: &facts, random: &mut random };
        if let Some(mark) = world.nodes[node].persistent_state_version() {
            world.nodes[node].state_persisted(&mut around, mark, out);
        }
    }

    /// What becomes of what a node said: who is sent what.
    pub(crate) fn sent(
        &self,
        world: &mut World,
        node: usize,
        out: Vec<Effect>,
    ) -> Vec<Envelope<Maintenance>> {
        self.judge(world);
        world.sent_messages(node, out)
    }
}

#[test]
fn with_disks_all_may_start_again_at_once_with_what_they_had_or_without_it() {
    for (faults, fine) in [(1, true), (2, false)] {
        let (states, found) = check_from(Fleet::new(Broken::Nothing, faults, fine, true));
        println!("{states} states");
        assert!(found.is_empty() && states > 10_000, "{states} {found:?}");
    }
    for broken in [Broken::Durable, Broken::Age] {
        let (states, found) = check_from(Fleet::new(broken, 1, true, true));
        println!("{broken:?}: {states} states, {found:?}");
        assert!(found.contains(&"nothing is wrong"), "{broken:?}");
    }
}

/// Steps from a restart of all until all are let in, and whether anybody had forgotten meanwhile.
fn back_after(restart_state: Found) -> (u8, bool) {
    let mut fleet = Fleet::new(Broken::Nothing, 0, true, true);
    // Longer than all take to be let in again.
    fleet.works = 40;
    let mut world = (0..6).fold(fleet.first.clone(), |world, _| fleet.next(&world, Fault::Nothing));
    // It falls before a message: there must be one.
    while fleet.run_step(&world, Fault::Nothing).messages == 0 {
        world = fleet.next(&world, Fault::Nothing);
    }
    assert!(world.environment.free.contains_key(&host(0)) && world.environment.back.is_empty(), "one is out");
    let at = world.step;
    world = fleet.next(&world, Fault::RestartAll { restart_state, place: 0 });
    assert!(
        world.nodes.iter().all(|node| node.admission_status() == AdmissionStatus::Pending),
        "all were started again"
    );
    let (mut forgot, mut spared_all) = (false, true);
    while !world.nodes.iter().all(|node| node.admission_status() == AdmissionStatus::Admitted) {
        spared_all &= world
            .nodes
            .iter()
            .all(|node| excluded_hosts(node).contains(&ExcludedHost { host: host(0), from: 0 }));
        forgot |= world.nodes.iter().any(|node| view(node, now(world.step)).lease.is_state_lost);
        assert!(world.step < at + ENDS, "{world:?}");
        world = fleet.next(&world, Fault::Nothing);
    }
    assert_eq!(
        spared_all,
        restart_state == Found::Last,
        "what was out is left alone from the start, where it is known"
    );
    (world.step - at, forgot)
}

#[test]
fn all_that_start_again_with_their_disks_know_what_is_out_without_being_told() {
    // The silence of a lease, and a bid.
    let (steps, forgot) = back_after(Found::Last);
    assert!(!forgot && steps <= 12, "{steps}");
    assert!(back_after(Found::Lost).1 && back_after(Found::Old).1);
}
