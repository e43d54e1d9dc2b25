//! An application without state or commands, at three processes in steps of virtual time: each hook is called where its
//! documentation says so.

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
/// What each report says.
const COUNT_PER_REPORT: u32 = 7;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    Heard(Process),
    Left(Process),
}

/// Reports a number, and is granted as many as the leader has counted of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Count {
    renews_early: bool,
    reports: Vec<Micros>,
    granted: Vec<Grant>,
    fences: Vec<Ballot>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    ballot: Ballot,
    requested_at: Micros,
    expires_at: Micros,
    count: u32,
}

impl ApplicationTypes for Count {
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

impl Application for Count {
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
        self.fences.push(ballot.clone());
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
        context.record_event(Event::Heard(received.process.clone()));
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

struct Net {
    now: Micros,
    machines: Vec<Machine<Count>>,
    gone: BTreeSet<usize>,
    random: Pcg32,
    events: Vec<Event>,
}

/// A message on its way.
struct Envelope {
    from: Name,
    to: Name,
    message: Message<Count>,
}

fn name(place: usize) -> Name {
    Name::new(&format!("n{place}")).expect("a name")
}

fn process(place: usize) -> Process {
    let host = u8::try_from(place + 1).expect("few processes");
    Process { name: name(place), incarnation: 1, address: SocketAddr::from(([127, 0, 0, host], 7_000)) }
}

impl Net {
    fn new() -> Net {
        let voters = Voters::new((0..3).map(name).collect(), Vec::new()).expect("voters");
        let config = Config { lease_duration: LEASE, state_loss_timeout: LEASE, ..Config::default() };
        let machine =
            |place| Machine::new(config.clone(), Count::default(), voters.clone(), process(place), 0);
        Net {
            now: 0,
            machines: (0..4).map(machine).collect(),
            gone: BTreeSet::new(),
            random: Pcg32::seed_from_u64(3),
            events: Vec::new(),
        }
    }

    fn play(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            let mut on_the_way = VecDeque::new();
            for place in 0..self.machines.len() {
                on_the_way.extend(self.act(place, None));
            }
            while let Some(envelope) = on_the_way.pop_front() {
                let receiver = |place: &usize| name(*place) == envelope.to;
                let place = (0..self.machines.len()).find(receiver).expect("one");
                on_the_way.extend(self.act(place, Some(envelope)));
            }
        }
    }

    /// A process takes a message, or its time comes; what it sends by that.
    fn act(&mut self, place: usize, envelope: Option<Envelope>) -> Vec<Envelope> {
        if self.gone.contains(&place) {
            return Vec::new();
        }
        let facts = Facts { members: self.members_but(place), participates: true, application: () };
        let random = &mut self.random as &mut dyn RngCore;
        let mut context = Context { now: self.now, facts: &facts, random };
        let mut effects = Vec::new();
        let machine = &mut self.machines[place];
        match envelope {
            None => machine.tick(&mut context, &mut effects),
            Some(Envelope { from, message, .. }) => {
                machine.receive(&mut context, &from, message, &mut effects);
            }
        }
        let mut sent = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => sent.push(Envelope { from: name(place), to, message }),
                Effect::Event(event) => self.events.push(event),
                Effect::CommandCompleted { .. } | Effect::LeadershipChanged(_) => {}
            }
        }
        sent
    }

    fn members_but(&self, place: usize) -> BTreeMap<Name, MemberStatus> {
        let member = |other: usize| {
            let presence = if self.gone.contains(&other) { Presence::Exited } else { Presence::Alive };
            let Process { name, incarnation, address } = process(other);
            (name, MemberStatus { incarnation, address, presence, since: 0 })
        };
        (0..self.machines.len()).filter(|other| *other != place).map(member).collect()
    }

    fn leader(&self) -> usize {
        let leads = |place: &usize| {
            !self.gone.contains(place) && self.machines[*place].leading_ballot(self.now).is_some()
        };
        (0..3).find(leads).expect("one leads")
    }
}

#[test]
fn reports_and_grants_go_between_each_process_and_the_leader_and_a_new_one_is_known_by_its_fence() {
    let mut net = Net::new();
    net.play(5 * LEASE);
    let first = net.leader();
    for machine in &net.machines {
        assert_eq!(machine.admission_status(), AdmissionStatus::Admitted);
        let Count { granted, fences, .. } = machine.application();
        let lasts_a_lease = |grant: &Grant| grant.expires_at == grant.requested_at + LEASE;
        assert!(granted.iter().all(lasts_a_lease), "{granted:?}");
        // Each report was counted once, and what the leader made of them came with the grants.
        let counted_once = |two: &[Grant]| two[1].count == two[0].count + COUNT_PER_REPORT;
        assert!(granted.windows(2).all(counted_once), "{granted:?}");
        assert_eq!(fences.last().map(|fence| &fence.name), Some(&name(first)));
        assert!(fences.is_sorted(), "{fences:?}");
    }
    net.gone = BTreeSet::from([first]);
    net.play(5 * LEASE);
    let second = net.leader();
    // That the first has left is heard of, and all others report anew: each of their first reports is marked.
    assert!(net.events.contains(&Event::Left(process(first))), "{:?}", net.events);
    for (place, machine) in net.machines.iter().enumerate().filter(|(place, _)| *place != first) {
        let Count { granted, fences, .. } = machine.application();
        assert_eq!(granted.last().map(|grant| &grant.ballot.name), Some(&name(second)), "{place}");
        assert_eq!(fences.last().map(|fence| &fence.name), Some(&name(second)));
    }
}

#[test]
fn a_process_that_wants_early_renewal_reports_soon_and_at_a_bounded_rate() {
    let mut net = Net::new();
    net.play(5 * LEASE);
    let regular = LEASE / 4;
    let mut reports = Vec::new();
    for _ in 0..2 * LEASE / STEP {
        net.machines[3].application_mut().renews_early = true;
        let before = net.machines[3].application().reports.len();
        net.play(STEP);
        reports.extend(net.machines[3].application().reports[before..].to_vec());
    }
    let pauses: Vec<Micros> = reports.windows(2).map(|two| two[1] - two[0]).collect();
    assert!(pauses.iter().all(|pause| *pause >= regular / 12), "{pauses:?}");
    // Far more often than the regular four in a lease.
    assert!(pauses.len() > 16 && pauses.iter().all(|pause| *pause < regular / 2), "{pauses:?}");
}
