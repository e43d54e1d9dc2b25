//! Timers and messages for one machine.

use crate::disk::Disk;
use crate::side::{Clock, Side};
use crate::{members, wire};
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

/// How old what is known of hosts and members may be when something is decided.
const FRESH: Duration = Duration::from_millis(50);

/// How an application is settled at one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings<M> {
    /// What tells its messages from those of other applications.
    pub channel: Channel,
    /// Who grants leases.
    pub voters: Voters,
    /// Spans of the lease.
    pub config: Config,
    /// The application.
    pub application: M,
}

type Ordered<M> = Result<
    <M as flaxhead_lease::ApplicationTypes>::Response,
    <M as flaxhead_lease::ApplicationTypes>::Rejection,
>;

struct Inner<M: Application> {
    peers: Peers,
    channel: Channel,
    machine: RefCell<Machine<M>>,
    facts: RefCell<Facts<M::Facts>>,
    looked: Cell<Option<Instant>>,
    random: RefCell<Pcg32>,
    side: RefCell<Option<Rc<dyn Side<M>>>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Ordered<M>>>>,
    next_order: Cell<u64>,
    clock: Clock,
    /// Also by the thread that writes to the disk.
    stirred: Arc<Notify>,
    disk: Option<RefCell<Disk<M>>>,
    /// Whether the process was let in, or serves alone.
    open: watch::Sender<bool>,
    dropped: Cell<u64>,
}

/// One process's part in an application, shared by the tasks of one thread.
pub struct Coordinator<M: Application>(Rc<Inner<M>>);

impl<M: Application> Clone for Coordinator<M> {
    fn clone(&self) -> Self {
        Coordinator(self.0.clone())
    }
}

impl<M: Application> fmt::Debug for Coordinator<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Coordinator of {} on {:?}", self.0.machine.borrow().me().name, self.0.channel)
    }
}

impl<M: Application + 'static> Coordinator<M>
where
    M::Facts: Default + 'static,
{
    /// Runs over these peers, and remembers on the disk, where there is one. `seed` is new with each start, and another
    /// for each application.
    pub fn start(settings: Settings<M>, peers: Peers, seed: u64, disk: Option<Disk<M>>) -> Coordinator<M> {
        let me = peers.look(|machine, _| machine.table().me().clone());
        let me = Process { name: me.name, incarnation: me.stamp.life, address: me.at };
        let Settings { channel, voters, config, application } = settings;
        let machine = Machine::new(config, application, voters, me, 0);
        let (looked, side, waiting, stirred): (_, _, _, Arc<Notify>) = Default::default();
        let (machine, disk) = match disk {
            Some(mut disk) => {
                let ((found, age), stirred) = (disk.take_found(), stirred.clone());
                disk.on_write(move || stirred.notify_one());
                (machine.with_disk(0, found, age), Some(RefCell::new(disk)))
            }
            None => (machine, None),
        };
        let coordinator = Coordinator(Rc::new(Inner {
            peers: peers.clone(),
            channel,
            machine: RefCell::new(machine),
            facts: RefCell::new(Facts::default()),
            looked,
            random: RefCell::new(Pcg32::seed_from_u64(seed)),
            side,
            waiting,
            // Orders of an earlier process with this name may still be answered.
            next_order: Cell::new(seed | 1),
            clock: Clock::start(),
            stirred,
            disk,
            open: watch::Sender::new(false),
            dropped: Cell::new(0),
        }));
        peers.register(channel, Rc::new(coordinator.clone()));
        coordinator
    }

    /// Tells when the process was let in, or has waited for that for so long that it serves alone.
    pub fn open(&self) -> watch::Receiver<bool> {
        self.0.open.subscribe()
    }

    /// Takes part, with this side, until it is dropped. Runs inside a [`tokio::task::LocalSet`].
    pub async fn serve(&self, side: Rc<dyn Side<M>>) {
        self.0.side.replace(Some(side));
        loop {
            let kept = self.0.disk.as_ref().and_then(|disk| disk.borrow_mut().kept());
            if let Some(mark) = kept {
                self.step(|machine, around, out| machine.persisted(around, mark, out));
            }
            self.step(|machine, around, out| machine.tick(around, out));
            let wake = self.0.clock.moment(self.0.machine.borrow().next_wake());
            // Much is waited for as well that nobody tells: facts, and what the side knows.
            let look = Instant::now() + 4 * FRESH;
            tokio::select! {
                () = sleep_until(wake.min(look)) => {}
                () = self.0.stirred.notified() => {}
            }
        }
    }

    /// Looks at the machine.
    pub fn look<R>(&self, look: impl FnOnce(&Machine<M>, Micros) -> R) -> R {
        look(&self.0.machine.borrow(), self.0.clock.now())
    }

    /// The process has something new to say: the machine looks at its side again, soon.
    pub fn stir(&self) {
        self.0.stirred.notify_one();
    }

    /// Messages that were dropped, on either side: too long, or without sense.
    pub fn dropped(&self) -> u64 {
        self.0.dropped.get()
    }

    /// An operator's order, and what it led to.
    pub async fn order(&self, order: M::Command, patience: Duration) -> Ordered<M> {
        let (sender, answer) = oneshot::channel();
        let id = self.0.next_order.get();
        self.0.next_order.set(id.wrapping_add(1));
        self.0.waiting.borrow_mut().insert(id, sender);
        let patience = patience.as_micros() as Micros;
        self.step(|machine, around, out| machine.submit(around, id, order, patience, out));
        self.stir();
        // The machine answers each, at the latest when its patience is over.
        answer.await.unwrap_or_else(|_| Err(CommandError::TimedOut.into()))
    }

    /// What is known, not older than a moment.
    fn refresh(&self) {
        let fresh = self.0.looked.get().is_some_and(|at| at.elapsed() < FRESH);
        if fresh {
            return;
        }
        self.0.looked.set(Some(Instant::now()));
        let mut facts = self.0.facts.borrow_mut();
        let (members, takes_part) =
            self.0.peers.look(|machine, now| (members::facts(machine, now), machine.takes_part()));
        (facts.members, facts.participates) = (members, takes_part);
        // The membership's clock began a little before this one.
        let ahead = self.0.peers.look(|_, now| now).saturating_sub(self.0.clock.now());
        facts.members.values_mut().for_each(|fact| fact.since = fact.since.saturating_sub(ahead));
        if let Some(side) = &*self.0.side.borrow() {
            facts.application = side.facts();
        }
    }

    /// Has the machine do something, and carries out what it says. What it decided takes effect here before anybody
    /// hears of it.
    fn step(&self, act: impl FnOnce(&mut Machine<M>, &mut Context<'_, M::Facts>, &mut Vec<Effect<M>>)) {
        self.refresh();
        let side = self.0.side.borrow().clone();
        let (mut out, clock) = (Vec::new(), self.0.clock);
        {
            let mut machine = self.0.machine.borrow_mut();
            if let Some(side) = &side {
                side.before(machine.application_mut());
            }
            let (facts, mut random) = (self.0.facts.borrow(), self.0.random.borrow_mut());
            let mut around = Context { now: clock.now(), facts: &facts, random: &mut *random };
            act(&mut machine, &mut around, &mut out);
        }
        {
            let machine = self.0.machine.borrow();
            if let Some(side) = &side {
                side.after(&machine, clock);
            }
            if let Some(disk) = &self.0.disk {
                disk.borrow_mut().keep(&machine, clock.now());
            }
            let open = machine.admission_status() != AdmissionStatus::Pending;
            self.0.open.send_if_modified(|is| std::mem::replace(is, open) != open);
        }
        out.into_iter().for_each(|effect| self.carry_out(effect, side.as_deref()));
    }

    fn carry_out(&self, effect: Effect<M>, side: Option<&dyn Side<M>>) {
        match effect {
            Effect::Send { to, message } => match wire::encode(&message) {
                Ok(bytes) => self.0.peers.post(self.0.channel, &to, &bytes),
                Err(why) => self.drop_one(&to, why),
            },
            Effect::CommandCompleted { id, result } => {
                if let Some(waiting) = self.0.waiting.borrow_mut().remove(&id) {
                    // Whoever asked may have gone.
                    let _ = waiting.send(result);
                }
            }
            Effect::LeadershipChanged(fence) => side.into_iter().for_each(|side| side.holds(fence.as_ref())),
            Effect::Event(note) => {
                if let Some(side) = side {
                    side.noted(note);
                }
            }
        }
    }

    fn drop_one(&self, other: &Name, why: wire::Unfit) {
        self.0.dropped.set(self.0.dropped.get() + 1);
        tracing::debug!("a message of {:?} to or from {other} is dropped: {why}", self.0.channel);
    }
}

impl<M: Application + 'static> ChannelService for Coordinator<M>
where
    M::Facts: Default + 'static,
{
    fn receive(&self, from: &Name, bytes: &[u8]) {
        match wire::decode(bytes) {
            Ok(message) => {
                self.step(|machine, around, out| machine.receive(around, from, message, out));
                self.stir();
            }
            Err(why) => self.drop_one(from, why),
        }
    }
}
