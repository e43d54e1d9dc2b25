//! The processes, what is on the way between them, and what goes wrong; a step at a time.
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

/// Steps in a lease, with what clocks may run apart.
const LEASE_STEP_COUNT: u8 = 7;

/// Steps of a fault that lasts: longer than a lease, and than the silence of a restarted voter.
pub const OUTAGE_STEP_COUNT: u8 = 13;

/// Steps in which faults may begin, and those after which all must go by one plan again.
pub const FAULT_STEP_COUNT: u8 = 6;

pub const END_STEP_COUNT: u8 = 60;

/// The zone of the last one is lost from this step to that one.
const ZONE_FAILURE_STEPS: (u8, u8) = (2, 8);

/// Most messages of a step: beyond that it would never end.
const MAX_MESSAGE_COUNT: usize = 2_000;

/// A rule that is taken out, to see that the check sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mutation {
    Unmodified,

    /// A plan is gone by after the leave has run out.
    IgnoreLeaseExpiry,

    /// A plan is gone by though a later holder is known of.
    IgnoreFence,

    /// A plan that is written anew keeps its number.
    ReuseVersion,

    /// A process that was restarted goes by the plan that it had, until it is let in.
    KeepPlanAfterRestart,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outage {
    /// Stopped, with all that comes meanwhile waiting for it.
    Paused,
    CutOff,
    InboundCut,
    OutboundCut,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
    pub step: u8,
    pub machines: Vec<Machine>,

    /// What each had when it was restarted.
    plans_before_restart: Vec<Plan>,

    /// The highest number that each process has gone by.
    highest_versions: Vec<Version>,

    /// Plans by number: what they say, and when one was its holder's last.
    leader_plans: BTreeMap<Version, (Vec<OriginSplit>, u8)>,
    pub outage: Option<(usize, Outage, u8)>,
    queued_messages: Vec<(usize, Message)>,
    pub duplicate: Option<(usize, usize, Message)>,
    pub fault_count: u8,
    start_count: u64,
    pub violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Proceed,

    /// The message of this place in the step is lost.
    Lose(usize),

    /// It is delivered, and once more later.
    Duplicate(usize),

    /// The kept one comes.
    DeliverDuplicate,

    /// Before the message of this place.
    Restart(usize, usize),
    BeginOutage(usize, Outage, usize),
}

pub struct FleetModel {
    pub mutation: Mutation,

    /// Faults in one history.
    pub max_fault_count: u8,

    /// Faults fall between any two messages, not only between steps.
    pub between_messages: bool,
    pub initial: ModelState,
}

/// Draws what each node always draws: two that run at once must not do so for ever.
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

    /// The last one's zone is lost for a while.
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
        !matches!(state.outage, Some((affected, Outage::CutOff | Outage::InboundCut, _)) if affected == process)
    }

    fn can_send(&self, state: &ModelState, process: usize) -> bool {
        !matches!(state.outage, Some((affected, Outage::CutOff | Outage::OutboundCut, _)) if affected == process)
    }

    fn is_paused(&self, state: &ModelState, process: usize) -> bool {
        matches!(state.outage, Some((affected, Outage::Paused, _)) if affected == process)
    }

    /// The plan that a process goes by now.
    fn followed_plan<'a>(&self, state: &'a ModelState, process: usize) -> Option<&'a Plan> {
        let machine = &state.machines[process];
        let (application, member) = (machine.application(), machine.member());
        match (application.current_plan(time_of(state.step), member), self.mutation) {
            (Ok(plan), _) => Some(plan),
            (Err(FallbackReason::LeaseExpired), Mutation::IgnoreLeaseExpiry)
            | (Err(FallbackReason::Superseded), Mutation::IgnoreFence) => Some(application.last_valid_plan()),
            (Err(FallbackReason::NotAdmitted), Mutation::KeepPlanAfterRestart) => {
                Some(&state.plans_before_restart[process])
            }
            _ => None,
        }
        .filter(|plan| !plan.splits.is_empty())
    }

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

    /// What a broken rule makes of a message.
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
            let fence = state.machines[process].member().fence().cloned();
            let checks = [
                (plan.version < state.highest_versions[process], "a process returned to a lower version"),
                (plan.version.fence < fence, "a process follows a plan although it knows of a later leader"),
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

    /// A step, and how many messages there were in it.
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
                    // What waited for it begins before any timer of its own, and before anything that it hears.
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

            // A process that has gone says nothing more; what it said before arrives.
            in_transit.extend(self.run_machine(&mut state, to, Some((from, message))));
        }
        (state, position)
    }
}

impl ModelState {
    /// Each goes by the same plan, and has its own zone's traffic at home.
    pub fn all_follow_one_plan(&self) -> bool {
        let followed_version = |machine: &Machine| {
            let plan = machine.application().current_plan(time_of(self.step), machine.member()).ok()?;
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
