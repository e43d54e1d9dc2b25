//! Drives the decision module: turns what happens to calls, attempts and hosts into its events, in one order and on one
//! clock, and executes its actions. It decides nothing itself.

mod attempts;
mod calls;
mod endpoints;
mod pending_call;

pub use pending_call::PendingCall;

use crate::call::{Call, Reply, RetryLimiter};
use crate::clock::Clock;
use crate::endpoint_list::EndpointList;
use crate::endpoint_state::EndpointState;
use crate::event::{EngineEvent, Observer};
use crate::list_source::ListSource;
use crate::task::Task;
use crate::transport::Transport;
use crate::view::EngineView;
use flaxhead_policy::{Action, Balancer, CallId, Event, ListKind, Micros, Outcome, ServerId, Settings};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

/// How often the transport closes what was idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Sweeps between two lines of statistics in the log.
const SWEEPS_PER_LOG_LINE: u32 = 10;

/// What an engine is started with.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// For random numbers; new with each start.
    pub seed: u64,
    /// The decision module's settings.
    pub settings: Settings,
    /// The endpoint list as this proxy last had it; it may be outdated.
    pub cached_list: Option<EndpointList>,
}

/// Statistics for the log, which shows them by these names.
#[derive(Debug, Default)]
struct Counts {
    requests: u64,
    attempts: u64,
    outcomes: BTreeMap<Outcome, u64>,
}

struct Inner<T: Transport> {
    clock: Clock,
    settings: Settings,
    balancer: Balancer,
    /// What the module is to be given next.
    events: VecDeque<Event>,
    calls: BTreeMap<CallId, Call<T>>,
    last_call: u64,
    hosts: HashMap<ServerId, EndpointState>,
    names: HashMap<String, ServerId>,
    /// Hosts that are excluded, each from a moment on, whatever the list says.
    excluded: HashMap<String, Instant>,
    /// The version of the list in hand.
    list_seq: Option<u64>,
    has_list: bool,
    source: Rc<dyn ListSource>,
    watch: Option<Task>,
    transport: T,
    counts: Counts,
    observers: Vec<Box<dyn Observer<T>>>,
    retries: Option<Box<dyn RetryLimiter>>,
}

/// An engine, shared by the tasks of one thread. No method blocks, and none is called from within another.
pub struct Engine<T: Transport>(Rc<RefCell<Inner<T>>>);

impl<T: Transport> Clone for Engine<T> {
    fn clone(&self) -> Engine<T> {
        Engine(self.0.clone())
    }
}

impl<T: Transport> Engine<T> {
    /// Starts the decision module; `retries` limits retries beside it. Called inside a [`tokio::task::LocalSet`].
    pub fn start(
        config: EngineConfig,
        transport: T,
        source: Rc<dyn ListSource>,
        observers: Vec<Box<dyn Observer<T>>>,
        retries: Option<Box<dyn RetryLimiter>>,
    ) -> Engine<T> {
        let EngineConfig { seed, settings, cached_list } = config;
        let list_is_pushed = !settings.subscribe;
        let inner = Inner {
            clock: Clock::new(),
            balancer: Balancer::new(seed, settings.clone()),
            settings,
            events: VecDeque::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            hosts: HashMap::new(),
            names: HashMap::new(),
            excluded: HashMap::new(),
            // Set before the start: the module subscribes at once, from the version of the list that it is given next.
            list_seq: cached_list.as_ref().map(|cached_list| cached_list.seq),
            has_list: false,
            source,
            watch: None,
            transport,
            counts: Counts::default(),
            observers,
            retries,
        };
        let engine = Engine(Rc::new(RefCell::new(inner)));
        engine.run([Event::Start]);
        match cached_list {
            Some(cached_list) => engine.apply_list(&cached_list, true),
            None => engine.run([Event::Members { kind: ListKind::Cached, entries: Vec::new() }]),
        }
        if list_is_pushed {
            engine.0.borrow_mut().subscribe(&engine);
        }
        engine.spawn_sweeper();
        engine
    }

    fn spawn_sweeper(&self) {
        let engine = self.clone();
        spawn_local(async move {
            for sweep in 1_u32.. {
                sleep(SWEEP_INTERVAL).await;
                engine.0.borrow_mut().transport.sweep();
                if sweep % SWEEPS_PER_LOG_LINE == 0 {
                    engine.log_counts();
                }
            }
        });
    }

    /// Whether the engine has an endpoint list.
    pub fn is_ready(&self) -> bool {
        self.0.borrow().has_list
    }

    /// Writes the statistics so far to the log.
    pub fn log_counts(&self) {
        let inner = self.0.borrow();
        let calls = inner.calls.len();
        let stats = inner.transport.stats();
        tracing::info!("{calls} calls, {stats:?}, {:?}", inner.counts);
    }

    /// Looks at the engine as it is now.
    pub fn view<R>(&self, look: impl FnOnce(&EngineView<'_, T>) -> R) -> R {
        let inner = self.0.borrow();
        let Inner { clock, settings, balancer, names, hosts, calls, .. } = &*inner;
        look(&EngineView {
            now: clock.now(),
            uptime: clock.elapsed(),
            settings,
            balancer,
            names,
            hosts,
            calls,
        })
    }

    /// Feeds events to the module, and those that its actions lead to at once.
    fn run(&self, events: impl IntoIterator<Item = Event>) {
        let mut inner = self.0.borrow_mut();
        inner.events.extend(events);
        let mut actions = Vec::new();
        while let Some(event) = inner.events.pop_front() {
            if let Event::Outcome { outcome, .. } = event {
                *inner.counts.outcomes.entry(outcome).or_default() += 1;
            }
            let now = inner.clock.now();
            inner.notify_at(now, || EngineEvent::PolicyInput(&event));
            inner.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                inner.notify(|| EngineEvent::PolicyAction(&action));
                inner.execute(self, action);
            }
            inner.notify(|| EngineEvent::PolicyStepEnded);
        }
    }

    fn wake_at(&self, at: Instant) {
        let engine = self.clone();
        spawn_local(async move {
            sleep_until(at).await;
            engine.run([Event::Timer]);
        });
    }
}

impl<T: Transport> Inner<T> {
    /// Notifies the observers, where there are any.
    fn notify<'n>(&mut self, event: impl FnOnce() -> EngineEvent<'n, T>)
    where
        T: 'n,
    {
        if !self.observers.is_empty() {
            self.notify_at(self.clock.now(), event);
        }
    }

    fn notify_at<'n>(&mut self, now: Micros, event: impl FnOnce() -> EngineEvent<'n, T>)
    where
        T: 'n,
    {
        let Inner { observers, clock, settings, balancer, names, hosts, calls, .. } = self;
        if observers.is_empty() {
            return;
        }
        let view = EngineView { now, uptime: clock.elapsed(), settings, balancer, names, hosts, calls };
        let event = event();
        observers.iter_mut().for_each(|observer| observer.observe(&event, &view));
    }

    fn execute(&mut self, engine: &Engine<T>, action: Action) {
        match action {
            Action::Send { call, server, deadline, send_by } => {
                self.send(engine, call, server, attempts::SendWindow { deadline, send_by });
            }
            Action::Reject { call, retry_after } => {
                self.answer(call, Reply::Rejected(Duration::from_micros(retry_after)));
            }
            Action::Fail { call } => self.answer(call, Reply::Failed),
            Action::Cancel { call, attempt } => self.cancel(call, attempt),
            Action::Wake { after } => engine.wake_at(Instant::now() + Duration::from_micros(after)),
            Action::Subscribe => self.subscribe(engine),
            Action::Log { text } => tracing::info!("{text}"),
            // The module asks for none where the settings allow none, and this program has none to offer.
            Action::Probe { .. } => {}
        }
    }
}
