//! The state of the model, and its transitions: one step of all processes with their messages and at most one
//! fault.

use flaxhead_lease::{MemberStatus, Presence, Version, Voters};
use flaxhead_zones::{
    Context, Effect, Facts, FailoverSettings, FallbackReason, Host, Machine, Message, Micros, Name,
    OriginSplit, Plan, Process, Topology, TopologySettings, ZoneApplication,
};
use rand_core::RngCore;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

pub const PROCESS_COUNT: usize = 3;
pub const LEASE_US: Micros = 6_000_000;
pub const STEP_US: Micros = 1_000_000;
/// Steps in a lease, with a margin for clock drift.
const LEASE_STEP_COUNT: u8 = 7;
/// Steps of an outage: longer than a lease and than the quarantine of a restarted voter.
pub const OUTAGE_STEP_COUNT: u8 = 13;
/// Steps in which faults may begin.
pub const FAULT_STEP_COUNT: u8 = 6;
/// Steps after which all processes must follow one plan again.
pub const END_STEP_COUNT: u8 = 60;
/// The last process's zone is unreachable from the first of these steps until the second.
const ZONE_FAILURE_STEPS: (u8, u8) = (2, 8);
/// Maximum number of messages in a step; more mean that the processes never stop sending.
const MAX_MESSAGE_COUNT: usize = 2_000;

/// A rule that is removed from the protocol, to test that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mutation {
    Unmodified,
    /// Processes follow a plan after their lease has expired.
    IgnoreLeaseExpiry,
    /// Processes follow a plan although they know of a later leader.
    IgnoreHigherBallot,
    /// A changed plan keeps its version.
    ReuseVersion,
    /// A restarted process follows its earlier plan until it is admitted.
    KeepPlanAfterRestart,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outage {
    /// The process stops, and messages to it are queued.
    Paused,
    Partitioned,
    InboundBlocked,
    OutboundBlocked,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
    pub step: u8,
    pub machines: Vec<Machine>,
    /// The plan of each process before its last restart.
    plans_before_restart: Vec<Plan>,
    /// The highest version of a plan that each process has followed.
    highest_versions: Vec<Version>,
    /// The splits of each version, and the last step in which it was a leader's current plan.
    leader_plans: BTreeMap<Version, (Vec<OriginSplit>, u8)>,
    pub outage: Option<(usize, Outage, u8)>,
    queued_messages: Vec<(usize, Message)>,
    pub duplicate: Option<(usize, usize, Message)>,
    pub fault_count: u8,
    start_count: u64,
    pub violation: Option<&'static str>,
}

/// A step of the model with at most one fault. Positions are indices of the messages within the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Proceed,
    Lose(usize),
    /// Delivers the message, and keeps a copy for [`Action::DeliverDuplicate`] in a later step.
    Duplicate(usize),
    DeliverDuplicate,
    /// Restarts a process without state before the message at the position.
    Restart(usize, usize),
    BeginOutage(usize, Outage, usize),
}

pub struct FleetModel {
    pub mutation: Mutation,
    /// Maximum number of faults in a run.
    pub max_fault_count: u8,
    /// Whether faults occur between any two messages; otherwise only between steps.
    pub between_messages: bool,
    pub initial: ModelState,
}

/// Random numbers that are constant for a process and differ between processes, so that two candidates for
/// leadership do not retry in lockstep.
struct ConstantRandom(u32);

impl RngCore for ConstantRandom {
    fn next_u32(&mut self) -> u32 {
        self.0
    }

    fn next_u64(&mut self) -> u64 {
        u64::from(self.0) << 32
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        bytes.fill(self.0 as u8);
    }

    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), rand_core::Error> {
        self.fill_bytes(bytes);
        Ok(())
    }
}

fn process_name(process: usize) -> Name {
    Name::new(&format!("n{process}")).expect("a valid name")
}

fn process_address(process: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, process as u8 + 1], 7_000))
}

fn time_of(step: u8) -> Micros {
    10 * LEASE_US + Micros::from(step) * STEP_US
}

fn topology() -> Topology {
    let zones = (0..PROCESS_COUNT).map(|zone| (format!("z{zone}"), "r".to_owned())).collect();
    Topology::new(&TopologySettings { zones, ..TopologySettings::default() }).expect("valid settings")
}

fn new_machine(process: usize, state: &mut ModelState) -> Machine {
    state.start_count += 1;
    let voters =
        Voters::new((0..PROCESS_COUNT).map(process_name).collect(), Vec::new()).expect("valid voters");
    let me = Process {
        name: process_name(process),
        incarnation: 100 * state.start_count + process as u64,
        address: process_address(process),
    };
    let now = time_of(state.step);
    let application = ZoneApplication::new(now, topology(), FailoverSettings::default(), process);
    Machine::new(ZoneApplication::lease_config(LEASE_US), application, voters, me, now)
}

impl FleetModel {
    pub fn new(mutation: Mutation, max_fault_count: u8, between_messages: bool) -> FleetModel {
        let mut state = ModelState {
            step: 0,
            machines: Vec::new(),
            plans_before_restart: vec![Plan::default(); PROCESS_COUNT],
            highest_versions: vec![Version::default(); PROCESS_COUNT],
            leader_plans: BTreeMap::new(),
            outage: None,
            queued_messages: Vec::new(),
            duplicate: None,
            fault_count: 0,
            start_count: 0,
            violation: None,
        };
        for process in 0..PROCESS_COUNT {
            let machine = new_machine(process, &mut state);
            state.machines.push(machine);
        }
        let mut model = FleetModel {
            mutation: Mutation::Unmodified,
            max_fault_count,
            between_messages,
            initial: state.clone(),
        };
        for _ in 0..40 {
            state = model.run(&state, Action::Proceed).0;
        }
        assert!(state.violation.is_none() && state.all_follow_one_plan(), "{:?}", state.violation);
        (model.initial, model.mutation) = (state, mutation);
        model
    }

    /// Whether the hosts of the last process's zone are unreachable.
    fn is_zone_failed(&self, state: &ModelState) -> bool {
        let elapsed = state.step.saturating_sub(self.initial.step);
        self.initial.step > 0 && (ZONE_FAILURE_STEPS.0..ZONE_FAILURE_STEPS.1).contains(&elapsed)
    }

    fn facts(&self, state: &ModelState, observer: usize) -> Facts {
        let is_unreachable = |process: usize| {
            state.outage.is_some_and(|(affected, _, _)| affected == process || affected == observer)
        };
        let member = |process: usize| {
            let presence = if is_unreachable(process) { Presence::Unreachable } else { Presence::Alive };
            let current_incarnation = state.machines[process].me().incarnation;
            (
                process_name(process),
                MemberStatus {
                    incarnation: current_incarnation,
                    address: process_address(process),
                    presence,
                    since: 0,
                },
            )
        };
        let host = |zone: usize| Host { zone, ready: true, warmth_per_mille: 1_000, size_per_mille: 1_000 };
        Facts {
            members: (0..PROCESS_COUNT).filter(|process| *process != observer).map(member).collect(),
            participates: true,
            application: (0..PROCESS_COUNT).flat_map(|zone| [host(zone), host(zone)]).collect(),
        }
    }

    fn can_receive(&self, state: &ModelState, process: usize) -> bool {
        !matches!(
            state.outage,
            Some((affected, Outage::Partitioned | Outage::InboundBlocked, _)) if affected == process
        )
    }

    fn can_send(&self, state: &ModelState, process: usize) -> bool {
        !matches!(
            state.outage,
            Some((affected, Outage::Partitioned | Outage::OutboundBlocked, _)) if affected == process
        )
    }

    fn is_paused(&self, state: &ModelState, process: usize) -> bool {
        matches!(state.outage, Some((affected, Outage::Paused, _)) if affected == process)
    }

    /// The plan that a process follows, with the mutation applied.
    fn followed_plan<'a>(&self, state: &'a ModelState, process: usize) -> Option<&'a Plan> {
        let machine = &state.machines[process];
        let (application, local_replica) = (machine.application(), machine.local_replica());
        match (application.current_plan(time_of(state.step), local_replica), self.mutation) {
            (Ok(plan), _) => Some(plan),
            (Err(FallbackReason::LeaseExpired), Mutation::IgnoreLeaseExpiry)
            | (Err(FallbackReason::Superseded), Mutation::IgnoreHigherBallot) => {
                Some(application.last_valid_plan())
            }
            (Err(FallbackReason::NotAdmitted), Mutation::KeepPlanAfterRestart) => {
                Some(&state.plans_before_restart[process])
            }
            _ => None,
        }
        .filter(|plan| !plan.splits.is_empty())
    }

    /// Runs the machine of a process with a message, or with its timers if there is none. Returns the
    /// messages that it sends.
    fn run_machine(
        &self,
        state: &mut ModelState,
        process: usize,
        message: Option<(usize, Message)>,
    ) -> Vec<(usize, usize, Message)> {
        let (facts, time, is_zone_failed) =
            (self.facts(state, process), time_of(state.step), self.is_zone_failed(state));
        let mut random = ConstantRandom((process as u32) << 30);
        let mut context = Context { now: time, facts: &facts, random: &mut random };
        let machine = &mut state.machines[process];
        let mut effects = Vec::new();
        match message {
            None => {
                let stats = machine.application_mut().local_stats_mut();
                stats.record_requests(time, 0, 50);
                for zone in 0..PROCESS_COUNT {
                    let is_unreachable = is_zone_failed && zone == PROCESS_COUNT - 1;
                    stats.record_successes(time, zone, if is_unreachable { 0 } else { 20 }, 10);
                    stats.set_connectivity(zone, 0, is_unreachable);
                }
                machine.application_mut().update_early_renewal(time);
                machine.tick(&mut context, &mut effects);
            }
            Some((from, message)) => {
                let message = self.mutated(message);
                machine.receive(&mut context, &process_name(from), message, &mut effects);
            }
        }
        self.check_invariants(state);
        let index_of = |name: &Name| (0..PROCESS_COUNT).find(|n| state.machines[*n].me().name == *name);
        effects
            .into_iter()
            .filter_map(|effect| match effect {
                Effect::Send { to: name, message } => Some((process, index_of(&name)?, message)),
                _ => None,
            })
            .collect()
    }

    fn mutated(&self, mut message: Message) -> Message {
        if let (Message::StateUpdate { state }, Mutation::ReuseVersion) = (&mut message, self.mutation) {
            state.state.version.seq = 1;
        }
        message
    }

    fn check_invariants(&self, state: &mut ModelState) {
        let now = time_of(state.step);
        let mut violation = None;
        let leaders: Vec<usize> = (0..PROCESS_COUNT)
            .filter(|process| state.machines[*process].leading_ballot(now).is_some())
            .collect();
        if leaders.len() > 1 {
            violation = Some("two processes lead at once");
        }
        for process in leaders {
            if self.is_paused(state, process) {
                continue;
            }
            let Some(leader_state) = state.machines[process].leader_state(now) else { continue };
            let plan = leader_state.state().state.clone();
            state.leader_plans.insert(plan.version, (plan.splits, state.step));
        }
        for process in 0..PROCESS_COUNT {
            if self.is_paused(state, process) {
                continue;
            }
            let Some(plan) = self.followed_plan(state, process).cloned() else { continue };
            let leader_plan = state.leader_plans.get(&plan.version);
            let is_outdated =
                leader_plan.is_none_or(|(_, last_step)| state.step > last_step + LEASE_STEP_COUNT);
            let is_different = leader_plan.is_some_and(|(splits, _)| *splits != plan.splits);
            let highest_ballot = state.machines[process].local_replica().highest_ballot().cloned();
            let checks = [
                (plan.version < state.highest_versions[process], "a process returned to a lower version"),
                (
                    plan.version.ballot < highest_ballot,
                    "a process follows a plan although it knows of a later leader",
                ),
                (is_outdated, "a process follows a plan that was not current within the last lease"),
                (is_different, "two plans have the same version"),
            ];
            violation = violation.or(checks
                .into_iter()
                .find(|(is_violated, _)| *is_violated)
                .map(|(_, description)| description));
            state.highest_versions[process] = plan.version;
        }
        let step = state.step;
        state.leader_plans.retain(|_, (_, last_step)| step <= *last_step + LEASE_STEP_COUNT);
        state.violation = state.violation.or(violation);
    }

    fn restart(&self, state: &mut ModelState, process: usize) {
        state.plans_before_restart[process] = match self.mutation {
            Mutation::KeepPlanAfterRestart => state.machines[process].application().last_valid_plan().clone(),
            _ => Plan::default(),
        };
        state.machines[process] = new_machine(process, state);
        state.highest_versions[process] = Version::default();
    }

    /// Runs a step. Returns the next state and the number of messages in the step.
    pub fn run(&self, state: &ModelState, action: Action) -> (ModelState, usize) {
        let mut state = state.clone();
        state.step += 1;
        let mut in_transit = VecDeque::new();
        if let Some((_, _, remaining_steps)) = &mut state.outage {
            *remaining_steps -= 1;
            if *remaining_steps == 0 {
                let ended = state.outage.take();
                let queued_messages = std::mem::take(&mut state.queued_messages);
                if let Some((process, Outage::Paused, _)) = ended {
                    // A resumed process receives queued messages first. The invariants must hold even before
                    // that.
                    self.check_invariants(&mut state);
                    in_transit
                        .extend(queued_messages.into_iter().map(|(from, message)| (from, process, message)));
                }
            }
        }
        if action == Action::DeliverDuplicate {
            in_transit.extend(state.duplicate.take());
        }
        if !matches!(action, Action::Proceed | Action::DeliverDuplicate) {
            state.fault_count += 1;
        }
        for process in 0..PROCESS_COUNT {
            if !self.is_paused(&state, process) {
                in_transit.extend(self.run_machine(&mut state, process, None));
            }
        }
        let mut position = 0;
        while let Some((from, to, message)) = in_transit.pop_front() {
            match action {
                Action::Restart(process, at) if at == position => self.restart(&mut state, process),
                Action::BeginOutage(process, outage, at) if at == position => {
                    state.outage = Some((process, outage, OUTAGE_STEP_COUNT))
                }
                Action::Duplicate(at) if at == position => {
                    state.duplicate = Some((from, to, message.clone()))
                }
                _ => {}
            }
            position += 1;
            assert!(position < MAX_MESSAGE_COUNT, "the processes do not stop sending: {message:?}");
            if action == Action::Lose(position - 1)
                || !self.can_receive(&state, to)
                || !self.can_send(&state, from)
            {
                continue;
            }
            if self.is_paused(&state, to) {
                state.queued_messages.push((from, message));
                continue;
            }
            // Messages that a process sent before it restarted or paused still arrive.
            in_transit.extend(self.run_machine(&mut state, to, Some((from, message))));
        }
        (state, position)
    }
}

impl ModelState {
    /// Whether all processes follow the same plan, and each zone's traffic stays in the zone.
    pub fn all_follow_one_plan(&self) -> bool {
        let followed_version = |machine: &Machine| {
            let plan =
                machine.application().current_plan(time_of(self.step), machine.local_replica()).ok()?;
            let is_local = |split: &OriginSplit| {
                split.weights.iter().any(|(target, weight)| *target == split.origin && *weight >= 9_500)
            };
            (plan.splits.len() == PROCESS_COUNT && plan.splits.iter().all(is_local))
                .then(|| plan.version.clone())
        };
        let versions: Vec<Option<Version>> = self.machines.iter().map(followed_version).collect();
        versions[0].is_some() && versions.iter().all(|version| *version == versions[0])
    }
}
