//! Driver of a lease machine: runs its timers, delivers messages and commands, and executes its effects.

use crate::participant::{Clock, Participant};
use crate::store::StateStore;
use crate::{codec, members};
use flaxhead_lease::{
    AdmissionStatus, Application, CommandError, Config, Context, Effect, Facts, Machine, Micros, Name,
    Process, Voters,
};
use flaxhead_peers::{Channel, ChannelService, Peers};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::{sleep_until, Instant};

/// Maximum age of the host and member data that a decision uses.
const MAX_FACTS_AGE: Duration = Duration::from_millis(50);
/// Maximum time between two ticks of the lease machine, because nothing notifies it of changed facts.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Configuration of the lease machine that a coordinator drives.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings<A> {
    /// Channel that separates the messages of this application from those of others.
    pub channel: Channel,
    /// Voters that elect the leader by granting its lease.
    pub voters: Voters,
    /// Time limits of the protocol, which must be equal at all processes.
    pub config: Config,
    /// Application of the lease machine, which defines what is replicated and granted.
    pub application: A,
}

/// Response to an operator's command, or the reason for its rejection.
type CommandResult<A> = Result<
    <A as flaxhead_lease::ApplicationTypes>::Response,
    <A as flaxhead_lease::ApplicationTypes>::Rejection,
>;

struct Inner<A: Application> {
    peers: Peers,
    channel: Channel,
    machine: RefCell<Machine<A>>,
    facts: RefCell<Facts<A::Facts>>,
    facts_read_at: Cell<Option<Instant>>,
    random: RefCell<Pcg32>,
    participant: RefCell<Option<Rc<dyn Participant<A>>>>,
    /// Waiting submitters, by command id.
    pending_commands: RefCell<HashMap<u64, oneshot::Sender<CommandResult<A>>>>,
    next_command_id: Cell<u64>,
    clock: Clock,
    /// Wakes the loop; also notified by the thread that writes the state to disk.
    wake: Arc<Notify>,
    store: Option<RefCell<StateStore<A>>>,
    /// True once the process was admitted or serves without admission.
    may_serve: watch::Sender<bool>,
    dropped_messages: Cell<u64>,
}

/// Driver of one application in one process, shared by the tasks of one thread.
pub struct Coordinator<A: Application>(Rc<Inner<A>>);

impl<A: Application> Clone for Coordinator<A> {
    fn clone(&self) -> Self {
        Coordinator(self.0.clone())
    }
}

impl<A: Application> fmt::Debug for Coordinator<A> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Coordinator of {} on {:?}", self.0.machine.borrow().me().name, self.0.channel)
    }
}

impl<A: Application + 'static> Coordinator<A>
where
    A::Facts: Default + 'static,
{
    /// Creates a coordinator on the sockets of `peers` and registers its channel. `store` keeps state over
    /// restarts; `None`: nothing is kept. `seed` initializes jitter and command ids, and must differ between
    /// the starts of a process and between its applications.
    pub fn start(
        settings: Settings<A>,
        peers: Peers,
        seed: u64,
        mut store: Option<StateStore<A>>,
    ) -> Coordinator<A> {
        let record = peers.with_machine(|machine, _| machine.table().me().clone());
        let me =
            Process { name: record.name, incarnation: record.stamp.incarnation, address: record.address };
        let Settings { channel, voters, config, application } = settings;
        let mut machine = Machine::new(config, application, voters, me, 0);
        let wake = Arc::new(Notify::new());
        if let Some(store) = &mut store {
            let wake = wake.clone();
            store.on_write(move || wake.notify_one());
            let previous = store.take_previous();
            machine = machine.with_persistence(0, previous.state, previous.age);
        }
        let coordinator = Coordinator(Rc::new(Inner {
            peers,
            channel,
            machine: RefCell::new(machine),
            facts: RefCell::new(Facts::default()),
            facts_read_at: Cell::new(None),
            random: RefCell::new(Pcg32::seed_from_u64(seed)),
            participant: RefCell::new(None),
            pending_commands: RefCell::default(),
            // Starts at the seed, which differs at each start. A late response to a command of an earlier
            // process with this name must not match a command of this one.
            next_command_id: Cell::new(seed | 1),
            clock: Clock::start(),
            wake,
            store: store.map(RefCell::new),
            may_serve: watch::Sender::new(false),
            dropped_messages: Cell::new(0),
        }));
        coordinator.0.peers.register(channel, Rc::new(coordinator.clone()));
        coordinator
    }

    /// Returns a watch channel of whether the process may serve: it was admitted, or it gave up waiting and
    /// serves without admission.
    pub fn may_serve(&self) -> watch::Receiver<bool> {
        self.0.may_serve.subscribe()
    }

    /// Drives the lease machine with `participant` until the future is dropped. Must run inside a
    /// [`tokio::task::LocalSet`].
    pub async fn serve(&self, participant: Rc<dyn Participant<A>>) {
        self.0.participant.replace(Some(participant));
        loop {
            let persisted = self.0.store.as_ref().and_then(|store| store.borrow_mut().take_persisted());
            if let Some(version) = persisted {
                self.step(|machine, context, effects| machine.state_persisted(context, version, effects));
            }
            self.step(|machine, context, effects| machine.tick(context, effects));
            let next_wake = self.0.clock.to_instant(self.0.machine.borrow().next_wake());
            let latest = Instant::now() + MAX_TICK_INTERVAL;
            tokio::select! {
                () = sleep_until(next_wake.min(latest)) => {}
                () = self.0.wake.notified() => {}
            }
        }
    }

    /// Calls `read` with the lease machine and its current time in microseconds.
    pub fn with_machine<R>(&self, read: impl FnOnce(&Machine<A>, Micros) -> R) -> R {
        read(&self.0.machine.borrow(), self.0.clock.now())
    }

    /// Requests a tick of the lease machine, after the participant's data has changed.
    pub fn wake(&self) {
        self.0.wake.notify_one();
    }

    /// Number of messages that were dropped on sending or receiving because they were too long or
    /// undecodable.
    pub fn dropped_messages(&self) -> u64 {
        self.0.dropped_messages.get()
    }

    /// Submits an operator's command and waits at most `timeout` for its result.
    ///
    /// # Errors
    ///
    /// The application's rejection, or a [`CommandError`] if the command did not reach the application.
    pub async fn submit(&self, command: A::Command, timeout: Duration) -> CommandResult<A> {
        let (sender, receiver) = oneshot::channel();
        let id = self.0.next_command_id.get();
        self.0.next_command_id.set(id.wrapping_add(1));
        self.0.pending_commands.borrow_mut().insert(id, sender);
        let timeout = Micros::try_from(timeout.as_micros()).unwrap_or(Micros::MAX);
        self.step(|machine, context, effects| machine.submit(context, id, command, timeout, effects));
        self.wake();
        // The lease machine completes every command by its deadline, so this error is not expected.
        receiver.await.unwrap_or_else(|_| Err(CommandError::TimedOut.into()))
    }

    /// Reads the facts again if they are older than [`MAX_FACTS_AGE`].
    fn refresh_facts(&self) {
        let read_at = self.0.facts_read_at.get();
        if read_at.is_some_and(|at| at.elapsed() < MAX_FACTS_AGE) {
            return;
        }
        self.0.facts_read_at.set(Some(Instant::now()));
        let mut facts = self.0.facts.borrow_mut();
        self.0.peers.with_machine(|machine, now| {
            facts.members = members::statuses(machine, now);
            facts.participates = machine.participates();
        });
        // The clock of the membership started earlier than the clock of the lease machine.
        let clock_offset = self.0.peers.with_machine(|_, now| now).saturating_sub(self.0.clock.now());
        for member in facts.members.values_mut() {
            member.since = member.since.saturating_sub(clock_offset);
        }
        if let Some(participant) = &*self.0.participant.borrow() {
            facts.application = participant.facts();
        }
    }

    /// Calls `operation` on the lease machine and executes the effects. The participant applies the decision
    /// before any message about it is sent.
    fn step(&self, operation: impl FnOnce(&mut Machine<A>, &mut Context<'_, A::Facts>, &mut Vec<Effect<A>>)) {
        self.refresh_facts();
        let participant = self.0.participant.borrow().clone();
        let clock = self.0.clock;
        let mut effects = Vec::new();
        {
            let mut machine = self.0.machine.borrow_mut();
            if let Some(participant) = &participant {
                participant.before_step(machine.application_mut());
            }
            let (facts, mut random) = (self.0.facts.borrow(), self.0.random.borrow_mut());
            let mut context = Context { now: clock.now(), facts: &facts, random: &mut *random };
            operation(&mut machine, &mut context, &mut effects);
        }
        {
            let machine = self.0.machine.borrow();
            if let Some(participant) = &participant {
                participant.after_step(&machine, clock);
            }
            if let Some(store) = &self.0.store {
                store.borrow_mut().save(&machine, clock.now());
            }
            let may_serve = machine.admission_status() != AdmissionStatus::Pending;
            self.0.may_serve.send_if_modified(|was| std::mem::replace(was, may_serve) != may_serve);
        }
        for effect in effects {
            self.execute_effect(effect, participant.as_deref());
        }
    }

    fn execute_effect(&self, effect: Effect<A>, participant: Option<&dyn Participant<A>>) {
        match effect {
            Effect::Send { to, message } => match codec::encode(&message) {
                Ok(bytes) => self.0.peers.send(self.0.channel, &to, &bytes),
                Err(error) => self.record_dropped_message(&to, error),
            },
            Effect::CommandCompleted { id, result } => {
                if let Some(sender) = self.0.pending_commands.borrow_mut().remove(&id) {
                    // The submitter may have stopped waiting.
                    let _ = sender.send(result);
                }
            }
            Effect::LeadershipChanged(ballot) => {
                if let Some(participant) = participant {
                    participant.leadership_changed(ballot.as_ref());
                }
            }
            Effect::Event(event) => {
                if let Some(participant) = participant {
                    participant.event(event);
                }
            }
        }
    }

    fn record_dropped_message(&self, other: &Name, error: codec::CodecError) {
        self.0.dropped_messages.set(self.0.dropped_messages.get() + 1);
        tracing::debug!("dropped a message on channel {:?} to or from {other}: {error}", self.0.channel);
    }
}

impl<A: Application + 'static> ChannelService for Coordinator<A>
where
    A::Facts: Default + 'static,
{
    fn receive(&self, from: &Name, bytes: &[u8]) {
        match codec::decode(bytes) {
            Ok(message) => {
                self.step(|machine, context, effects| machine.receive(context, from, message, effects));
                self.wake();
            }
            Err(error) => self.record_dropped_message(from, error),
        }
    }
}
