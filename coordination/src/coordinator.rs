//! Driver of one lease machine: runs its timers, passes messages and commands to it, and executes its
//! effects.

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

/// Maximum age of the application's and the membership's data when the lease machine uses them.
const MAX_FACTS_AGE: Duration = Duration::from_millis(50);
/// Maximum time between two ticks of the lease machine. Changes of the membership are noticed only in a tick
/// or another call.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Configuration of a coordinator and its lease machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings<A> {
    /// Channel on the sockets that separates the messages of this application from those of others.
    pub channel: Channel,
    /// Voters that grant the leader's lease.
    pub voters: Voters,
    /// Time limits of the protocol, which must be equal at all processes.
    pub config: Config,
    /// Value of the application in this process.
    pub application: A,
}

/// Response of the application to an operator's command, or reason for its rejection.
type CommandResult<A> = Result<
    <A as flaxhead_lease::ApplicationTypes>::Response,
    <A as flaxhead_lease::ApplicationTypes>::Rejection,
>;

struct Inner<A: Application> {
    peers: Peers,
    channel: Channel,
    machine: RefCell<Machine<A>>,
    /// Data of the membership and the application, as last read.
    facts: RefCell<Facts<A::Facts>>,
    /// Time of the last reading of `facts`; `None`: not read yet.
    facts_read_at: Cell<Option<Instant>>,
    random: RefCell<Pcg32>,
    participant: RefCell<Option<Rc<dyn Participant<A>>>>,
    /// Senders of the results to the submitters that wait for them, by command id.
    pending_commands: RefCell<HashMap<u64, oneshot::Sender<CommandResult<A>>>>,
    next_command_id: Cell<u64>,
    clock: Clock,
    /// Wakes the loop of [`Coordinator::serve`]; also notified by the thread that writes to disk.
    wake: Arc<Notify>,
    /// Storage on disk; `None`: the state does not survive a restart.
    store: Option<RefCell<StateStore<A>>>,
    /// True once the process was admitted or may serve without admission.
    may_serve: watch::Sender<bool>,
    dropped_messages: Cell<u64>,
}

/// Driver of the lease machine of one application in one process. Clones share the machine, within one
/// thread.
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
    /// Creates a coordinator with its lease machine, and registers it for its channel on the sockets of
    /// `peers`. `store` keeps the state over restarts; with `None`, a restart loses it. `seed` initializes
    /// the jitter and the command ids, and must differ between the starts of a process and between its
    /// applications.
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
            // A late response to a command of an earlier process with this name must not match a command of
            // this one, so the ids begin at the seed, which differs at each start. `| 1` keeps the first id
            // from being 0.
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

    /// Returns a watch channel of whether the process may serve: it was admitted, or may serve without
    /// admission.
    pub fn may_serve(&self) -> watch::Receiver<bool> {
        self.0.may_serve.subscribe()
    }

    /// Runs the timers of the lease machine, with the callbacks of `participant`, until the future is
    /// dropped. Must run inside a [`tokio::task::LocalSet`].
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

    /// Calls `read` with the lease machine and the current time by its clock, in microseconds.
    pub fn with_machine<R>(&self, read: impl FnOnce(&Machine<A>, Micros) -> R) -> R {
        read(&self.0.machine.borrow(), self.0.clock.now())
    }

    /// Requests a tick of the lease machine, to be called when data of the participant has changed.
    pub fn wake(&self) {
        self.0.wake.notify_one();
    }

    /// Number of lease messages that were dropped on sending or receiving, because they were too long or
    /// undecodable.
    pub fn dropped_messages(&self) -> u64 {
        self.0.dropped_messages.get()
    }

    /// Submits an operator's command at this process and waits at most `timeout` for its result.
    ///
    /// # Errors
    ///
    /// The application's rejection, or a [`CommandError`] converted to it if there is no leader, no timely
    /// response, or too many commands are pending.
    pub async fn submit(&self, command: A::Command, timeout: Duration) -> CommandResult<A> {
        let (sender, receiver) = oneshot::channel();
        let id = self.0.next_command_id.get();
        self.0.next_command_id.set(id.wrapping_add(1));
        self.0.pending_commands.borrow_mut().insert(id, sender);
        let timeout = Micros::try_from(timeout.as_micros()).unwrap_or(Micros::MAX);
        self.step(|machine, context, effects| machine.submit(context, id, command, timeout, effects));
        self.wake();
        // The lease machine completes every command by its deadline, so the channel is not closed before.
        receiver.await.unwrap_or_else(|_| Err(CommandError::TimedOut.into()))
    }

    /// Reads the data of the membership and the application again if it is older than [`MAX_FACTS_AGE`].
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
        // The membership's clock started earlier than the lease machine's, so its times are converted.
        let clock_offset = self.0.peers.with_machine(|_, now| now).saturating_sub(self.0.clock.now());
        for member in facts.members.values_mut() {
            member.since = member.since.saturating_sub(clock_offset);
        }
        if let Some(participant) = &*self.0.participant.borrow() {
            facts.application = participant.facts();
        }
    }

    /// Calls `operation` on the lease machine and executes the effects. Before any message is sent, the
    /// participant applies the new state and lease, and the state is passed to the disk writer.
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
                    // The submitter may no longer wait for the result.
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

    /// Counts and logs a message to or from the process `other` that was dropped.
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
