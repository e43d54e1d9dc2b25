//! Model check of processes that persist their state to disks. All processes restart at once, and find on
//! their disks the state that they wrote last, no state, or a restored backup.

use super::*;
use flaxhead_snapshot::validation::validate;
use flaxhead_snapshot::{AgeLimits, ClockReading, Header, Identity, Snapshot};

/// Content of the disks that the processes find when all restart at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum DiskState {
    /// All processes find the state that they wrote last.
    Latest,
    /// The first process finds an empty disk; all other processes find the state that they wrote last.
    FirstLost,
    /// All processes find an empty disk.
    AllLost,
    /// All processes find a backup from before the first drain was scheduled.
    Outdated,
    /// The first process finds a backup from before the first drain was scheduled, with a time stamp forged
    /// to look current, so that its age goes undetected. All other processes find the state that they wrote
    /// last.
    FirstUndetectablyOutdated,
}

impl DiskState {
    pub(crate) const ALL: &[DiskState] = &[
        DiskState::Latest,
        DiskState::FirstLost,
        DiskState::AllLost,
        DiskState::Outdated,
        DiskState::FirstUndetectablyOutdated,
    ];
}

impl Fleet {
    /// Returns the state that a restarted process loads from its disk; `None`: the disk is empty, or its
    /// state was written more than a step ago and is rejected as outdated.
    pub(crate) fn load_snapshot(
        &self,
        world: &World,
        on_disk: Option<(u8, PersistentState<Maintenance>)>,
    ) -> Option<PersistentState<Maintenance>> {
        let clock_at = |step: u8| ClockReading { wall_ms: time_at(step), ..ClockReading::default() };
        let (written_step, state) = on_disk?;
        let (header, parts) = (Header { written: clock_at(written_step), ..Header::default() }, Vec::new());
        let identity = Identity { cluster: header.cluster.clone(), proxy: header.proxy.clone() };
        let max_age = if self.mutation == Mutation::IgnoreSnapshotAge { u64::MAX } else { STEP };
        let limits = AgeLimits { max_age_ms: max_age, max_ahead_ms: 0 };
        validate(Snapshot { header, parts }, &identity, clock_at(world.step), limits).ok().map(|_| state)
    }

    /// Writes a process's state to its disk, tells the process so, and returns the messages that it sends in
    /// response. The model calls this at the beginning of each step.
    pub(crate) fn write_snapshot(&self, world: &mut World, node: usize) -> Vec<Envelope<Maintenance>> {
        let mut effects = Vec::new();
        if self.has_disks {
            world.environment.disks[node] =
                Some((world.step, world.nodes[node].persistent_state(self.local_time(world, node))));
            self.confirm_write(world, node, &mut effects);
        }
        self.check_and_send(world, node, effects)
    }

    /// Tells a process that its state has been written to disk, so that it may confirm that state to the
    /// leader.
    pub(crate) fn confirm_write(&self, world: &mut World, node: usize, effects: &mut Vec<Effect>) {
        let (facts, now) = (self.facts(world, node), self.local_time(world, node));
        let mut random = FixedRandom::for_node(node);
        let mut context = Context { now, facts: &facts, random: &mut random };
        if let Some(version) = world.nodes[node].persistent_state_version() {
            world.nodes[node].state_persisted(&mut context, version, effects);
        }
    }

    /// Checks the invariants, then returns the messages that a process's effects send.
    pub(crate) fn check_and_send(
        &self,
        world: &mut World,
        node: usize,
        effects: Vec<Effect>,
    ) -> Vec<Envelope<Maintenance>> {
        self.check_invariants(world);
        world.sent_messages(node, effects)
    }
}

#[test]
fn a_restart_of_all_processes_with_any_disk_state_violates_no_invariant() {
    for (max_faults, faults_between_messages) in [(1, true), (2, false)] {
        let (states, violated) =
            check_fleet(Fleet::new(Mutation::Unmodified, max_faults, faults_between_messages, true));
        println!("{states} states");
        assert!(violated.is_empty() && states > 10_000, "{states} {violated:?}");
    }
    for mutation in [Mutation::ConfirmBeforeWrite, Mutation::IgnoreSnapshotAge] {
        let (states, violated) = check_fleet(Fleet::new(mutation, 1, true, true));
        println!("{mutation:?}: {states} states, {violated:?}");
        assert!(violated.contains(&"all invariants hold"), "{mutation:?}");
    }
}

/// Returns the number of steps from a restart of all processes until all are admitted, and whether any of
/// them reported that the schedule was lost.
fn recovery_after_restart(restart_state: DiskState) -> (u8, bool) {
    let mut fleet = Fleet::new(Mutation::Unmodified, 0, true, true);
    // Keeps the host out of service until after all restarted processes have been admitted.
    fleet.duration_steps = 40;
    let mut world = (0..6).fold(fleet.first.clone(), |world, _| fleet.next(&world, Fault::Nothing));
    // `place: 0` below restarts the processes before the first message of a step, so that step must have a
    // message.
    while fleet.run_step(&world, Fault::Nothing).messages == 0 {
        world = fleet.next(&world, Fault::Nothing);
    }
    assert!(
        world.environment.free_since.contains_key(&host_name(0)) && world.environment.returned.is_empty(),
        "one host is out of service"
    );
    let at = world.step;
    world = fleet.next(&world, Fault::RestartAll { restart_state, place: 0 });
    assert!(
        world.nodes.iter().all(|node| node.admission_status() == AdmissionStatus::Pending),
        "all processes have restarted"
    );
    let (mut state_lost, mut excluded_by_all) = (false, true);
    while !world.nodes.iter().all(|node| node.admission_status() == AdmissionStatus::Admitted) {
        excluded_by_all &= world
            .nodes
            .iter()
            .all(|node| excluded_hosts(node).contains(&ExcludedHost { host: host_name(0), from: 0 }));
        state_lost |= world.nodes.iter().any(|node| view(node, time_at(world.step)).lease.is_state_lost);
        assert!(world.step < at + HISTORY_STEPS, "{world:?}");
        world = fleet.next(&world, Fault::Nothing);
    }
    assert_eq!(
        excluded_by_all,
        restart_state == DiskState::Latest,
        "a process excludes the host from its start on if its disk has the schedule"
    );
    (world.step - at, state_lost)
}

#[test]
fn a_restart_of_all_processes_with_intact_disks_keeps_hosts_excluded() {
    // Recovery takes about six steps, the duration of a lease, in which no restarted voter votes; then the
    // voters elect a leader, and the leader admits all processes.
    let (steps, state_lost) = recovery_after_restart(DiskState::Latest);
    assert!(!state_lost && steps <= 12, "{steps}");
    assert!(recovery_after_restart(DiskState::AllLost).1 && recovery_after_restart(DiskState::Outdated).1);
}
