//! The engine: passes events of calls, attempts and hosts to the policy in one order and on one clock, and
//! executes the actions that the policy returns.

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

/// Interval at which the transport closes connections that were idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Number of sweeps between two lines of statistics in the log.
const SWEEPS_PER_LOG_LINE: u32 = 10;

/// Settings and initial state of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Seed of the policy's random numbers; must differ at each start.
    pub seed: u64,
    /// Settings of the policy, such as classes of calls and limits.
    pub settings: Settings,
    /// Endpoint list saved by an earlier process, possibly outdated; `None` if there is none.
    pub cached_list: Option<EndpointList>,
}

/// Statistics for the log, whose lines show these field names.
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
    /// Queue of events for the policy.
    events: VecDeque<Event>,
    calls: BTreeMap<CallId, Call<T>>,
    last_call_id: u64,
    hosts: HashMap<ServerId, EndpointState>,
    server_ids: HashMap<String, ServerId>,
    /// Hosts that are excluded regardless of the list, with the time from which each is.
    excluded: HashMap<String, Instant>,
    /// Version of the last list applied, from which a new watch continues; `None` before the first list.
    list_seq: Option<u64>,
    has_list: bool,
    source: Rc<dyn ListSource>,
    watch: Option<Task>,
    transport: T,
    counts: Counts,
    observers: Vec<Box<dyn Observer<T>>>,
    retry_limiter: Option<Box<dyn RetryLimiter>>,
}

/// Call engine, shared by the tasks of one thread. No method blocks. A callback of the engine must not call
/// its methods.
pub struct Engine<T: Transport>(Rc<RefCell<Inner<T>>>);

impl<T: Transport> Clone for Engine<T> {
    fn clone(&self) -> Engine<T> {
        Engine(self.0.clone())
    }
}

impl<T: Transport> Engine<T> {
    /// Starts an engine. `retry_limiter` limits retries in addition to the policy. Must be called inside a
    /// [`tokio::task::LocalSet`].
    pub fn start(
        config: EngineConfig,
        transport: T,
        source: Rc<dyn ListSource>,
        observers: Vec<Box<dyn Observer<T>>>,
        retry_limiter: Option<Box<dyn RetryLimiter>>,
    ) -> Engine<T> {
        let EngineConfig { seed, settings, cached_list } = config;
        let list_is_pushed = !settings.subscribe;
        let inner = Inner {
            clock: Clock::new(),
            balancer: Balancer::new(seed, settings.clone()),
            settings,
            events: VecDeque::new(),
            calls: BTreeMap::new(),
            last_call_id: 0,
            hosts: HashMap::new(),
            server_ids: HashMap::new(),
            excluded: HashMap::new(),
            // Set before `Event::Start`, during which the policy may already subscribe from this version on.
            list_seq: cached_list.as_ref().map(|cached_list| cached_list.seq),
            has_list: false,
            source,
            watch: None,
            transport,
            counts: Counts::default(),
            observers,
            retry_limiter,
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

    /// Returns whether the engine has an endpoint list: one with hosts from its cache, or any from its
    /// source.
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

    /// Calls `read` with a view of the current state of the engine.
    pub fn view<R>(&self, read: impl FnOnce(&EngineView<'_, T>) -> R) -> R {
        let inner = self.0.borrow();
        let Inner { clock, settings, balancer, server_ids, hosts, calls, .. } = &*inner;
        read(&EngineView {
            now: clock.now(),
            uptime: clock.elapsed(),
            settings,
            balancer,
            server_ids,
            hosts,
            calls,
        })
    }

    /// Passes events to the policy and executes the actions it returns. Events that these actions cause are
    /// passed to it in the same call.
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
    /// Notifies the observers, if there are any, with the current time.
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
        let Inner { observers, clock, settings, balancer, server_ids, hosts, calls, .. } = self;
        if observers.is_empty() {
            return;
        }
        let view = EngineView { now, uptime: clock.elapsed(), settings, balancer, server_ids, hosts, calls };
        let event = event();
        observers.iter_mut().for_each(|observer| observer.observe(&event, &view));
    }

    fn execute(&mut self, engine: &Engine<T>, action: Action) {
        match action {
            Action::Send { call, server, deadline, send_by } => {
                self.send(engine, call, server, attempts::SendWindow { deadline, send_by });
            }
            Action::Reject { call, retry_after } => {
                self.complete_call(call, Reply::Rejected(Duration::from_micros(retry_after)));
            }
            Action::Fail { call } => self.complete_call(call, Reply::Failed),
            Action::Cancel { call, attempt } => self.cancel(call, attempt),
            Action::Wake { after } => engine.wake_at(Instant::now() + Duration::from_micros(after)),
            Action::Subscribe => self.subscribe(engine),
            Action::Log { text } => tracing::info!("{text}"),
            // Probes are not implemented; the policy requests none if the settings disable them.
            Action::Probe { .. } => {}
        }
    }
}
