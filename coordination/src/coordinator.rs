//! The timers and messages of one machine.

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

/// Maximum age of what is known of hosts and members when something is decided.
const MAX_FACTS_AGE: Duration = Duration::from_millis(50);
/// The machine is ticked this often at the least: nobody tells when facts have changed.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(200);

/// How an application is run at one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings<A> {
    /// Tells its messages from those of other applications.
    pub channel: Channel,
    /// Who grants leases.
    pub voters: Voters,
    /// The time spans of the protocol.
    pub config: Config,
    /// The application.
    pub application: A,
}

/// The result of a command.
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
    /// Who waits for the result of a command, by its number.
    pending: RefCell<HashMap<u64, oneshot::Sender<CommandResult<A>>>>,
    next_command: Cell<u64>,
    clock: Clock,
    /// Notified also by the thread that writes to the disk.
    wake: Arc<Notify>,
    store: Option<RefCell<StateStore<A>>>,
    /// Whether the process was admitted, or serves autonomously.
    may_serve: watch::Sender<bool>,
    dropped: Cell<u64>,
}

/// One process's part in an application, shared by the tasks of one thread.
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
    /// Runs over these peers, with a store if there is one. `seed` is new with each start, and differs between
    /// applications.
    pub fn start(
        settings: Settings<A>,
        peers: Peers,
        seed: u64,
        mut store: Option<StateStore<A>>,
    ) -> Coordinator<A> {
        let own = peers.with_machine(|machine, _| machine.table().me().clone());
        let me = Process { name: own.name, incarnation: own.stamp.incarnation, address: own.address };
        let Settings { channel, voters, config, application } = settings;
        let mut machine = Machine::new(config, application, voters, me, 0);
        let wake = Arc::new(Notify::new());
        if let Some(store) = &mut store {
            let wake = wake.clone();
            store.on_write(move || wake.notify_one());
            let found = store.take_found();
            machine = machine.with_persistence(0, found.state, found.age);
        }
        let coordinator = Coordinator(Rc::new(Inner {
            peers,
            channel,
            machine: RefCell::new(machine),
            facts: RefCell::new(Facts::default()),
            facts_read_at: Cell::new(None),
            random: RefCell::new(Pcg32::seed_from_u64(seed)),
            participant: RefCell::new(None),
            pending: RefCell::default(),
            // Commands of an earlier process with this name may still be answered.
            next_command: Cell::new(seed | 1),
            clock: Clock::start(),
            wake,
            store: store.map(RefCell::new),
            may_serve: watch::Sender::new(false),
            dropped: Cell::new(0),
        }));
        coordinator.0.peers.register(channel, Rc::new(coordinator.clone()));
        coordinator
    }

    /// Tells when the process was admitted, or has waited for that for so long that it serves autonomously.
    pub fn may_serve(&self) -> watch::Receiver<bool> {
        self.0.may_serve.subscribe()
    }

    /// Takes part, with this participant, until it is dropped. Runs inside a [`tokio::task::LocalSet`].
    pub async fn serve(&self, participant: Rc<dyn Participant<A>>) {
        self.0.participant.replace(Some(participant));
        loop {
            let persisted = self.0.store.as_ref().and_then(|store| store.borrow_mut().take_persisted());
            if let Some(mark) = persisted {
                self.step(|machine, context, effects| machine.state_persisted(context, mark, effects));
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

    /// Reads something from the machine, at its time.
    pub fn with_machine<R>(&self, read: impl FnOnce(&Machine<A>, Micros) -> R) -> R {
        read(&self.0.machine.borrow(), self.0.clock.now())
    }

    /// The participant has something new: the machine is ticked soon.
    pub fn wake(&self) {
        self.0.wake.notify_one();
    }

    /// Messages that were dropped, when sent or received: too long, or not to be decoded.
    pub fn dropped_messages(&self) -> u64 {
        self.0.dropped.get()
    }

    /// Submits an operator's command, and waits for its result, no longer than `timeout`.
    ///
    /// # Errors
    ///
    /// The application's rejection, or why the command did not come to it.
    pub async fn submit(&self, command: A::Command, timeout: Duration) -> CommandResult<A> {
        let (sender, receiver) = oneshot::channel();
        let id = self.0.next_command.get();
        self.0.next_command.set(id.wrapping_add(1));
        self.0.pending.borrow_mut().insert(id, sender);
        let timeout = Micros::try_from(timeout.as_micros()).unwrap_or(Micros::MAX);
        self.step(|machine, context, effects| machine.submit(context, id, command, timeout, effects));
        self.wake();
        // The machine completes each command, at the latest after its timeout.
        receiver.await.unwrap_or_else(|_| Err(CommandError::TimedOut.into()))
    }

    /// Reads the facts anew, if they are older than [`MAX_FACTS_AGE`].
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
        // The membership's clock started a little before this one.
        let ahead = self.0.peers.with_machine(|_, now| now).saturating_sub(self.0.clock.now());
        for member in facts.members.values_mut() {
            member.since = member.since.saturating_sub(ahead);
        }
        if let Some(participant) = &*self.0.participant.borrow() {
            facts.application = participant.facts();
        }
    }

    /// Has the machine do something, and carries out its effects. What it decided takes effect here before any other
    /// process hears of it.
    fn step(&self, act: impl FnOnce(&mut Machine<A>, &mut Context<'_, A::Facts>, &mut Vec<Effect<A>>)) {
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
            act(&mut machine, &mut context, &mut effects);
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
            self.carry_out(effect, participant.as_deref());
        }
    }

    fn carry_out(&self, effect: Effect<A>, participant: Option<&dyn Participant<A>>) {
        match effect {
            Effect::Send { to, message } => match codec::encode(&message) {
                Ok(bytes) => self.0.peers.send(self.0.channel, &to, &bytes),
                Err(error) => self.count_dropped(&to, error),
            },
            Effect::CommandCompleted { id, result } => {
                if let Some(sender) = self.0.pending.borrow_mut().remove(&id) {
                    // Whoever submitted it may have gone.
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

    fn count_dropped(&self, other: &Name, error: codec::CodecError) {
        self.0.dropped.set(self.0.dropped.get() + 1);
        tracing::debug!("a message of {:?} to or from {other} is dropped: {error}", self.0.channel);
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
            Err(error) => self.count_dropped(from, error),
        }
    }
}
