//! Tests that the machine calls the methods of [`Application`] as documented, with three voters, one more
//! process and virtual time.

use flaxhead_lease::{
    AdmissionStatus, Application, ApplicationTypes, Ballot, CommandError, Config, Context, Effect, Facts,
    LeaderContext, LocalReplica, Machine, MemberStatus, Message, Micros, Name, NoCommand, Presence, Process,
    ReceivedGrant, ReceivedReport, Voters,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

const LEASE: Micros = 6_000_000;
const STEP: Micros = 20_000;
/// Number in each report; the leader adds up the numbers of a process and grants it the sum.
const COUNT_PER_REPORT: u32 = 7;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    Reported(Process),
    Left(Process),
}

/// Application of the test: each process reports a constant number, and the leader grants it the sum of its
/// reports. The calls at the process are recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Counter {
    renews_early: bool,
    reports: Vec<Micros>,
    granted: Vec<Grant>,
    ballots: Vec<Ballot>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    ballot: Ballot,
    requested_at: Micros,
    expires_at: Micros,
    count: u32,
}

impl ApplicationTypes for Counter {
    type State = ();
    type Report = u32;
    type Grant = u32;
    type Command = NoCommand;
    type Response = NoCommand;
    type Rejection = CommandError;
    type Facts = ();
    type Event = Event;
    const MAX_STATE_BYTES: usize = 0;
    const MAX_REPORT_BYTES: usize = 5;
    const MAX_GRANT_BYTES: usize = 5;
    const MAX_COMMAND_BYTES: usize = 0;
}

impl Application for Counter {
    type LeaderData = BTreeMap<Process, u32>;

    fn report(&mut self, now: Micros, _: &LocalReplica<Self>, (): &()) -> u32 {
        self.renews_early = false;
        self.reports.push(now);
        COUNT_PER_REPORT
    }

    fn lease_granted(&mut self, granted: &ReceivedGrant<Self>) {
        let ReceivedGrant { ballot, requested_at, expires_at, grant } = granted;
        self.granted.push(Grant {
            ballot: ballot.clone(),
            requested_at: *requested_at,
            expires_at: *expires_at,
            count: *grant,
        });
    }

    fn higher_ballot_observed(&mut self, ballot: &Ballot) {
        self.ballots.push(ballot.clone());
    }

    fn wants_early_renewal(&self) -> bool {
        self.renews_early
    }

    fn begin_leadership(&self, _: &mut LeaderContext<'_, Self>) -> Self::LeaderData {
        BTreeMap::new()
    }

    fn report_received(
        &self,
        counts: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        received: &ReceivedReport<'_, Self>,
    ) {
        assert_eq!(received.is_first, !counts.contains_key(received.process), "{received:?}");
        *counts.entry(received.process.clone()).or_default() += received.report;
        context.record_event(Event::Reported(received.process.clone()));
    }

    fn grant(
        &self,
        counts: &mut Self::LeaderData,
        _: &mut LeaderContext<'_, Self>,
        process: &Process,
    ) -> u32 {
        counts[process]
    }

    fn process_left(
        &self,
        counts: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        process: &Process,
    ) {
        counts.remove(process);
        context.record_event(Event::Left(process.clone()));
    }

    fn command(
        &self,
        _: &mut Self::LeaderData,
        _: &mut LeaderContext<'_, Self>,
        command: NoCommand,
    ) -> Result<NoCommand, CommandError> {
        match command {}
    }
}

struct Network {
    now: Micros,
    machines: Vec<Machine<Counter>>,
    ended: BTreeSet<usize>,
    random: Pcg32,
    events: Vec<Event>,
}

/// Message in transit between two processes.
struct Envelope {
    from: Name,
    to: Name,
    message: Message<Counter>,
}

fn name(index: usize) -> Name {
    Name::new(&format!("n{index}")).expect("valid name")
}

fn process(index: usize) -> Process {
    let host = u8::try_from(index + 1).expect("few processes");
    Process { name: name(index), incarnation: 1, address: SocketAddr::from(([127, 0, 0, host], 7_000)) }
}

impl Network {
    fn new() -> Network {
        let voters = Voters::new((0..3).map(name).collect(), Vec::new()).expect("valid voters");
        let config = Config { lease_duration: LEASE, state_loss_timeout: LEASE, ..Config::default() };
        let machine =
            |index| Machine::new(config.clone(), Counter::default(), voters.clone(), process(index), 0);
        Network {
            now: 0,
            machines: (0..4).map(machine).collect(),
            ended: BTreeSet::new(),
            random: Pcg32::seed_from_u64(3),
            events: Vec::new(),
        }
    }

    fn run_for(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            let mut in_transit = VecDeque::new();
            for index in 0..self.machines.len() {
                in_transit.extend(self.handle_event(index, None));
            }
            while let Some(envelope) = in_transit.pop_front() {
                let receiver = |index: &usize| name(*index) == envelope.to;
                let index = (0..self.machines.len()).find(receiver).expect("known receiver");
                in_transit.extend(self.handle_event(index, Some(envelope)));
            }
        }
    }

    /// Delivers a message to the process with this index, or with `None` runs its timers. Returns the
    /// messages that the process sends.
    fn handle_event(&mut self, index: usize, envelope: Option<Envelope>) -> Vec<Envelope> {
        if self.ended.contains(&index) {
            return Vec::new();
        }
        let facts = Facts { members: self.other_members(index), participates: true, application: () };
        let random = &mut self.random as &mut dyn RngCore;
        let mut context = Context { now: self.now, facts: &facts, random };
        let mut effects = Vec::new();
        let machine = &mut self.machines[index];
        match envelope {
            None => machine.tick(&mut context, &mut effects),
            Some(Envelope { from, message, .. }) => {
                machine.receive(&mut context, &from, message, &mut effects);
            }
        }
        let mut sent = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => sent.push(Envelope { from: name(index), to, message }),
                Effect::Event(event) => self.events.push(event),
                Effect::CommandCompleted { .. } | Effect::LeadershipChanged(_) => {}
            }
        }
        sent
    }

    fn other_members(&self, index: usize) -> BTreeMap<Name, MemberStatus> {
        let member = |other: usize| {
            let presence = if self.ended.contains(&other) { Presence::Exited } else { Presence::Alive };
            let Process { name, incarnation, address } = process(other);
            (name, MemberStatus { incarnation, address, presence, since: 0 })
        };
        (0..self.machines.len()).filter(|other| *other != index).map(member).collect()
    }

    fn leader(&self) -> usize {
        let leads = |index: &usize| {
            !self.ended.contains(index) && self.machines[*index].leading_ballot(self.now).is_some()
        };
        (0..3).find(leads).expect("a leader")
    }
}

#[test]
fn reports_and_grants_are_exchanged_with_each_leader_and_ballots_increase() {
    let mut network = Network::new();
    network.run_for(5 * LEASE);
    let first = network.leader();
    for machine in &network.machines {
        assert_eq!(machine.admission_status(), AdmissionStatus::Admitted);
        let Counter { granted, ballots, .. } = machine.application();
        let lasts_a_lease = |grant: &Grant| grant.expires_at == grant.requested_at + LEASE;
        assert!(granted.iter().all(lasts_a_lease), "{granted:?}");
        // Each grant exceeds the one before it by the number in one report, so the leader counted each report
        // once.
        let counted_once = |two: &[Grant]| two[1].count == two[0].count + COUNT_PER_REPORT;
        assert!(granted.windows(2).all(counted_once), "{granted:?}");
        assert_eq!(ballots.last().map(|ballot| &ballot.name), Some(&name(first)));
        assert!(ballots.is_sorted(), "{ballots:?}");
    }
    network.ended = BTreeSet::from([first]);
    network.run_for(5 * LEASE);
    let second = network.leader();
    // The new leader removes the first one, which has ended, from its roster. `report_received` checks that
    // `is_first` is set only for the first report of a process to each leader.
    assert!(network.events.contains(&Event::Left(process(first))), "{:?}", network.events);
    for (index, machine) in network.machines.iter().enumerate().filter(|(index, _)| *index != first) {
        let Counter { granted, ballots, .. } = machine.application();
        assert_eq!(granted.last().map(|grant| &grant.ballot.name), Some(&name(second)), "{index}");
        assert_eq!(ballots.last().map(|ballot| &ballot.name), Some(&name(second)));
    }
}

#[test]
fn early_renewals_are_sent_soon_and_rate_limited() {
    let mut network = Network::new();
    network.run_for(5 * LEASE);
    let regular_interval = LEASE / 4;
    let mut reports = Vec::new();
    for _ in 0..2 * LEASE / STEP {
        network.machines[3].application_mut().renews_early = true;
        let before = network.machines[3].application().reports.len();
        network.run_for(STEP);
        reports.extend(network.machines[3].application().reports[before..].to_vec());
    }
    let pauses: Vec<Micros> = reports.windows(2).map(|two| two[1] - two[0]).collect();
    assert!(pauses.iter().all(|pause| *pause >= regular_interval / 12), "{pauses:?}");
    // Without early renewal there would be four reports per lease duration.
    assert!(pauses.len() > 16 && pauses.iter().all(|pause| *pause < regular_interval / 2), "{pauses:?}");
}
