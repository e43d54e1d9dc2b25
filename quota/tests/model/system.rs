//! Model of a fleet for the exhaustive check. Each process is a node with an index; time advances in steps.
#![expect(clippy::cast_possible_truncation, reason = "the counts of a test are small")]

use flaxhead_lease::{Ballot, NoCommand, Presence, RecoveryState, Voters};
use flaxhead_quota::{
    Allowance, Context, Facts, Machine, Message, Micros, Name, Process, QuotaApplication, QuotaConfig,
    QuotaTiming, Slot, TenantRegistry, TenantUsage, Usage,
};
use flaxhead_rig::{Bounds, Envelope, FixedRandom, LastingFault, SystemModel as _};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const VOTERS: usize = 3;
pub const LEASE: Micros = 600;
pub const STEP: Micros = 100;
/// Duration of a pause or partition in steps. It is longer than a lease, and longer than a restarted voter
/// waits before an election.
pub const LASTING_FAULT_STEPS: u8 = 13;
/// Number of steps, from the start of the check, in which faults may begin.
pub const FAULT_STEPS: u8 = 10;
/// Number of steps after which the whole cap must be usable again, whatever faults occurred.
pub const TOTAL_STEPS: u8 = 80;
/// Number of steps after which demand moves from the first node of [`Topology::active_nodes`] to the second
/// one.
pub const DEMAND_MOVES_STEP: u8 = 7;
/// Rule of the protocol that is disabled, to show that the check would detect its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mutation {
    None,
    /// Reports confirm the next grant, and show neither permits nor calls in flight, whatever the process
    /// has.
    AssumeConfirmed,
    /// Reports show no calls in flight, whatever the process has.
    HideCallsInFlight,
    /// A process applies grants that arrive late as if they were the newest.
    AcceptStaleGrants,
    /// A process uses its grant after it has expired.
    IgnoreExpiry,
    /// A new leader assumes that no other process has permits.
    SkipLearning,
    /// The leader assumes that a process from which it receives nothing has exited.
    TreatSilentAsExited,
    /// Every grant assigns a slot to the process that receives it, even if all slots are taken, so that more
    /// processes use their guaranteed minimum than the cap has room for.
    AssignSlotToAll,
    /// Voters that have lost their state take part in elections as if they had it.
    IgnoreLoss,
}

/// State of the admission controllers and of the calls, which the protocol's state machines do not contain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallState {
    /// Limits that each node's admission controller applies.
    pub allowances: Vec<Allowance>,
    /// Node and end step of each call in flight.
    pub calls: Vec<(usize, u8)>,
    /// Ballot of the leader at its last tick, by which a new leader is recognized.
    pub leader_ballot: Option<Ballot>,
}

pub type FleetState = flaxhead_rig::SystemState<QuotaApplication, CallState>;
pub type Fault = flaxhead_rig::Fault<NoCommand>;

/// Size of the simulated fleet, its demand, and its configured limits.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Number of nodes. The first ones are the voters; the others are proxies that only request grants.
    pub nodes: usize,
    /// Node that starts calls at first, and node that starts calls instead after `DEMAND_MOVES_STEP` steps.
    pub active_nodes: [usize; 2],
    pub cap: u32,
    /// Number of calls that an active node wants to have in flight.
    pub demand: u32,
    /// Number of processes that may use their guaranteed minimum.
    pub slots: u32,
    /// Number of steps that a call takes.
    pub call_steps: u8,
}

/// Three voters that are proxies themselves. One permit is the guaranteed minimum of the process that has the
/// only slot, and the other one is granted.
pub const VOTERS_ALONE: Topology =
    Topology { nodes: VOTERS, active_nodes: [0, 1], cap: 2, demand: 2, slots: 1, call_steps: 5 };
/// Three voters without calls, and two proxies that have all calls.
pub const VOTERS_AND_TWO_PROXIES: Topology =
    Topology { nodes: VOTERS + 2, active_nodes: [VOTERS, VOTERS + 1], ..VOTERS_ALONE };
/// Three voters and two proxies with a guaranteed minimum of one permit each, and two permits that are
/// granted.
pub const MINIMUM_FOR_ALL: Topology = Topology { cap: 7, demand: 3, slots: 5, ..VOTERS_AND_TWO_PROXIES };

pub struct FleetModel {
    pub mutation: Mutation,
    pub topology: Topology,
    /// Highest number of faults in one run of the model.
    pub max_faults: u8,
    /// Whether a fault can occur between any two messages, or only between two steps.
    pub between_messages: bool,
    /// Nodes at which faults may occur; the check tries every one of them.
    pub affected_nodes: Vec<usize>,
    pub initial: FleetState,
}

/// Returns the name of a node. Names of proxies sort before those of voters, because the first process by
/// name gets the only slot.
fn node_name(node: usize) -> Name {
    let kind = if node < VOTERS { "n" } else { "a" };
    Name::new(&format!("{kind}{node}")).expect("valid name")
}

fn node_address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, node as u8 + 1], 7_000))
}

pub fn now(step: u8) -> Micros {
    10 * LEASE + Micros::from(step) * STEP
}

fn machine(topology: &Topology, node: usize, state: &mut FleetState) -> Machine {
    state.process_starts += 1;
    let voters = Voters::new((0..VOTERS).map(node_name).collect(), Vec::new()).expect("valid voters");
    let config = QuotaConfig {
        max_proxies: topology.slots,
        caps: vec![format!("others {}", topology.cap)],
        ..QuotaConfig::default()
    };
    let registry = TenantRegistry::new(&config, []).expect("valid config");
    let longest_call = Micros::from(topology.call_steps) * STEP;
    let timing = QuotaTiming { lease: LEASE, max_call_duration: longest_call, autonomy_timeout: Micros::MAX };
    let process = Process {
        name: node_name(node),
        incarnation: 100 * state.process_starts + node as u64,
        address: node_address(node),
    };
    let time = now(state.step);
    Machine::new(
        QuotaApplication::config(&timing),
        QuotaApplication::new(time, registry, timing),
        voters,
        process,
        time,
    )
}

impl FleetModel {
    pub fn new(topology: Topology, mutation: Mutation, max_faults: u8, between_messages: bool) -> FleetModel {
        let allowances = vec![Allowance::default(); topology.nodes];
        let mut state = FleetState::new(CallState { allowances, calls: Vec::new(), leader_ballot: None });
        for node in 0..topology.nodes {
            let machine = machine(&topology, node, &mut state);
            state.nodes.push(machine);
        }
        let mut fleet = FleetModel {
            mutation: Mutation::None,
            topology,
            max_faults,
            between_messages,
            affected_nodes: (0..topology.nodes).collect(),
            initial: state.clone(),
        };
        for _ in 0..40 {
            state = fleet.run_step(&state, Fault::Nothing).state;
        }
        // Processes that start together without any state each assume a slot until a leader answers. If there
        // is only one slot, this violates an invariant before the check begins.
        let initial_violation =
            (topology.slots == 1).then_some("more processes have a slot than there are slots");
        assert!(
            state.violation.take() == initial_violation && usable_permits(&state) == topology.cap,
            "{state:?}"
        );
        (fleet.initial, fleet.mutation) = (state, mutation);
        fleet
    }

    /// Limits faults to two nodes: the one that is the leader at first, and the one that has calls at first.
    pub fn restrict_faults(mut self) -> FleetModel {
        let is_leader =
            |node: &usize| self.initial.nodes[*node].leading_ballot(now(self.initial.step)).is_some();
        let is_affected = |node: &usize| is_leader(node) || *node == self.topology.active_nodes[0];
        self.affected_nodes = (0..self.topology.nodes).filter(is_affected).collect();
        self
    }

    fn facts(&self, state: &FleetState, observer: usize) -> Facts {
        let silent_presence = if self.mutation == Mutation::TreatSilentAsExited {
            Presence::Exited
        } else {
            Presence::Unreachable
        };
        let is_new_leader = state.nodes[observer]
            .leading_ballot(now(state.step))
            .is_some_and(|b| state.environment.leader_ballot.as_ref() != Some(b));
        let assumes_exited = is_new_leader && self.mutation == Mutation::SkipLearning;
        let presence = |node: usize| match (assumes_exited, state.is_unheard(observer, node)) {
            (true, _) => Presence::Exited,
            (false, true) => silent_presence,
            (false, false) => Presence::Alive,
        };
        Facts {
            members: state.member_statuses(observer, presence),
            participates: true,
            application: Vec::new(),
        }
    }

    /// Returns how many calls the node wants to have in flight in this step.
    fn demand(&self, state: &FleetState, node: usize) -> u32 {
        let is_before_move = self.initial.step == 0 || state.step < self.initial.step + DEMAND_MOVES_STEP;
        let active_node = self.topology.active_nodes[usize::from(!is_before_move)];
        if node == active_node {
            self.topology.demand
        } else {
            0
        }
    }

    fn start_calls(&self, state: &mut FleetState, node: usize) {
        let demand = self.demand(state, node);
        while in_flight(state, node) < demand.min(permitted(state, self.mutation, node)) {
            state.environment.calls.push((node, state.step + self.topology.call_steps));
        }
    }

    /// Changes a message that node `to` receives, if the mutation affects messages of this kind.
    fn mutate_message(&self, state: &FleetState, to: usize, mut message: Message) -> Message {
        match (&mut message, self.mutation) {
            (Message::Renew(renewal), Mutation::AssumeConfirmed) => {
                let report = &mut renewal.report;
                (report.granted, report.grant_left) = (Vec::new(), 0);
                report.grant_version.iter_mut().for_each(|version| version.seq += 1);
                report.usage.tenants.iter_mut().for_each(|tenant| tenant.in_flight = 0);
            }
            (Message::Granted(granted), Mutation::AcceptStaleGrants) => {
                let version = state.nodes[to].application().grant_version();
                let newest = version
                    .filter(|version| version.ballot == granted.ballot)
                    .map_or(0, |version| version.seq);
                granted.grant.seq = granted.grant.seq.max(newest);
            }
            (Message::Granted(granted), Mutation::AssignSlotToAll) => granted.grant.has_slot = true,
            (Message::VoterRecoveryResponse(response), Mutation::IgnoreLoss) => {
                response.recovery = RecoveryState::Recovered;
            }
            (Message::Promised(promise), Mutation::IgnoreLoss) => promise.recovery = RecoveryState::Recovered,
            _ => {}
        }
        message
    }

    pub fn check_invariants(&self, state: &mut FleetState) {
        let leaders =
            (0..state.nodes.len()).filter(|n| state.nodes[*n].leading_ballot(now(state.step)).is_some());
        let leaders: BTreeMap<usize, &Ballot> =
            leaders.filter_map(|n| Some((n, state.nodes[n].leading_ballot(now(state.step))?))).collect();
        let total_usable = (0..state.nodes.len())
            .map(|node| in_flight(state, node).max(permitted(state, self.mutation, node)))
            .sum::<u32>();
        let slots = (0..state.nodes.len())
            .filter(|node| state.nodes[*node].application().slot() == Slot::Assigned)
            .count();
        let violations = [
            (leaders.len() > 1, "two leaders at the same time"),
            (total_usable > self.topology.cap, "more permits than the cap are usable or in use"),
            (slots > self.topology.slots as usize, "more processes have a slot than there are slots"),
        ];
        state.violation = state
            .violation
            .or(violations.into_iter().find(|(is, _)| *is).map(|(_, description)| description));
    }
}

impl flaxhead_rig::SystemModel for FleetModel {
    type Application = QuotaApplication;
    type Environment = CallState;
    type RestartState = NoCommand;

    fn bounds(&self) -> Bounds<'_, NoCommand> {
        let FleetModel { max_faults, between_messages, affected_nodes, .. } = self;
        let (start_step, kinds, restart_states) = (self.initial.step, LastingFault::ALL, [].as_slice());
        Bounds {
            first_step: start_step,
            max_faults: *max_faults,
            faults_between_messages: *between_messages,
            faulty_nodes: affected_nodes,
            lasting_kinds: kinds,
            lasting_steps: LASTING_FAULT_STEPS,
            restart_states,
            fault_steps: FAULT_STEPS,
            steps: TOTAL_STEPS,
        }
    }

    fn handle_event(
        &self,
        state: &mut FleetState,
        node: usize,
        message: Option<(usize, Message)>,
    ) -> Vec<Envelope<QuotaApplication>> {
        let (facts, time) = (self.facts(state, node), now(state.step));
        let mut random = FixedRandom::for_node(node);
        let mut context = Context { now: time, facts: &facts, random: &mut random };
        let (in_flight, demand) = (in_flight(state, node), self.demand(state, node));
        let reported_in_flight = if self.mutation == Mutation::HideCallsInFlight { 0 } else { in_flight };
        let (reported_peak, reported_queued) =
            (reported_in_flight.max(demand), demand.saturating_sub(in_flight));
        let usage = TenantUsage {
            in_flight: reported_in_flight,
            peak: reported_peak,
            queued: reported_queued,
            rejected: 0,
        };
        let usage = Usage { tenants: vec![usage], ..Usage::default() };
        let message = message.map(|(from, message)| (from, self.mutate_message(state, node, message)));
        let machine = &mut state.nodes[node];
        machine.application_mut().set_usage(time, usage);
        let mut effects = Vec::new();
        let is_tick = message.is_none();
        match message {
            None => machine.tick(&mut context, &mut effects),
            Some((from, message)) => machine.receive(&mut context, &node_name(from), message, &mut effects),
        }
        state.environment.allowances[node] = machine.application_mut().allowance(time);
        if is_tick {
            state.environment.leader_ballot =
                machine.leading_ballot(time).cloned().or(state.environment.leader_ballot.take());
        }
        self.start_calls(state, node);
        self.check_invariants(state);
        state.sent_messages(node, effects)
    }

    fn crash(&self, state: &mut FleetState, node: usize) {
        let restarted = machine(&self.topology, node, state);
        (state.nodes[node], state.environment.allowances[node]) = (restarted, Allowance::default());
        // Calls in flight end with the process that has them.
        state.environment.calls.retain(|(call_node, _)| *call_node != node);
        state.environment.allowances[node] = state.nodes[node].application_mut().allowance(now(state.step));
    }

    fn restart_all(&self, _: &mut FleetState, found: NoCommand) {
        match found {}
    }

    /// After a pause, a node starts calls before it handles any message.
    fn resume(&self, state: &mut FleetState, node: usize) {
        self.start_calls(state, node);
        self.check_invariants(state);
    }

    fn begin_step(&self, state: &mut FleetState) {
        let step = state.step;
        state.environment.calls.retain(|(_, end_step)| *end_step > step);
    }
}

pub fn in_flight(state: &FleetState, node: usize) -> u32 {
    state
        .environment
        .calls
        .iter()
        .filter(|(call_node, end_step)| *call_node == node && *end_step > state.step)
        .count() as u32
}

/// Returns the permits that the admission controller of a node may use now.
pub fn permitted(state: &FleetState, mutation: Mutation, node: usize) -> u32 {
    let allowance = &state.environment.allowances[node];
    if mutation == Mutation::IgnoreExpiry {
        return allowance.tenants.first().and_then(|tenant| tenant.cap).unwrap_or(0);
    }
    allowance.cap(now(state.step), 0).unwrap_or(0)
}

pub fn usable_permits(state: &FleetState) -> u32 {
    (0..state.nodes.len()).map(|node| permitted(state, Mutation::None, node)).sum()
}
