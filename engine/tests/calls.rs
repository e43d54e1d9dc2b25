//! The life of calls on a transport that does as it is told, on paused time.

use flaxhead_engine::{
    AttemptResult, AttemptTarget, AttemptTrace, BoxError, CallPermit, CallSpec, Endpoint, EndpointList,
    Engine, EngineConfig, EngineEvent, EngineView, FinalResponse, Health, ListHandler, ListSource, Observer,
    Reply, RetryLimiter, Transport, WatchFuture, WriteMeter,
};
use flaxhead_policy::{Class, ClassId, DedupScope, Idempotency, Limits, Micros, Outcome, ServerId, Settings};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

/// What becomes of an attempt.
#[derive(Clone, Copy)]
enum Act {
    /// It ends so, with a byte written, after so many milliseconds; an answer goes with it where it served.
    End(Outcome, u64),
    /// Nothing is ever written, as where no connection comes up.
    Wait,
    /// It is written so many milliseconds later, where it still may be, and served at once.
    Late(u64),
    /// It is written and never answered.
    Stall,
}

#[derive(Default)]
struct Script {
    acts: VecDeque<Act>,
    sent: Vec<AttemptTarget>,
    seats: Vec<(ServerId, Option<SocketAddr>)>,
}

#[derive(Clone, Default)]
struct Scripted(Rc<RefCell<Script>>);

impl Transport for Scripted {
    type Request = &'static str;
    type Response = &'static str;

    fn set_endpoint(&self, server: ServerId, dial: Option<SocketAddr>, _: bool) {
        self.0.borrow_mut().seats.push((server, dial));
    }

    fn remove_endpoint(&self, server: ServerId) {
        self.0.borrow_mut().seats.push((server, None));
    }

    fn send(
        &self,
        target: AttemptTarget,
        request: &Rc<&'static str>,
        meter: &WriteMeter,
    ) -> impl Future<Output = AttemptResult<&'static str>> + use<> + 'static {
        let mut script = self.0.borrow_mut();
        script.sent.push(target);
        let (act, request, meter) = (script.acts.pop_front().unwrap_or(Act::Stall), **request, meter.clone());
        async move {
            if let Act::Late(after) = act {
                sleep(Duration::from_millis(after)).await;
                if meter.is_withdrawn() {
                    return std::future::pending().await;
                }
                meter.set_bytes_written(1);
                return AttemptResult {
                    response: Some(request),
                    ..AttemptResult::without_response(Outcome::Served)
                };
            }
            if !matches!(act, Act::Wait) {
                meter.set_bytes_written(1);
            }
            let Act::End(outcome, after) = act else { return std::future::pending().await };
            sleep(Duration::from_millis(after)).await;
            let response = (outcome == Outcome::Served).then_some(request);
            AttemptResult { response, ..AttemptResult::without_response(outcome) }
        }
    }

    fn stats(&self) -> impl std::fmt::Debug {}
}

/// Lists that a test brings.
struct Told(RefCell<Option<mpsc::UnboundedReceiver<EndpointList>>>);

impl ListSource for Told {
    fn watch(&self, _: Option<u64>, mut news: ListHandler) -> WatchFuture {
        let lists = self.0.borrow_mut().take();
        Box::pin(async move {
            let Some(mut lists) = lists else { return std::future::pending::<BoxError>().await };
            while let Some(list) = lists.recv().await {
                news(list);
            }
            "no more lists".into()
        })
    }
}

fn list(hosts: &[(&str, Health)]) -> EndpointList {
    let host = |(n, &(name, health)): (usize, &(&str, Health))| Endpoint {
        host: name.to_owned(),
        dial: SocketAddr::from(([127, 0, 0, 1], 9_000 + u16::try_from(n).expect("few hosts"))),
        site: "a".to_owned(),
        block: 0,
        health,
        class: String::new(),
        share: 1.0,
        born_ms: 0,
    };
    EndpointList { seq: 1, whole: true, hosts: hosts.iter().enumerate().map(host).collect() }
}

struct Rig {
    engine: Engine<Scripted>,
    transport: Scripted,
    lists: mpsc::UnboundedSender<EndpointList>,
}

impl Rig {
    fn new(idempotency: Idempotency, acts: &[Act]) -> Rig {
        Rig::with(idempotency, acts, Vec::new(), None)
    }

    fn with(
        idempotency: Idempotency,
        acts: &[Act],
        observers: Vec<Box<dyn Observer<Scripted>>>,
        retries: Option<Box<dyn RetryLimiter>>,
    ) -> Rig {
        let transport = Scripted::default();
        transport.0.borrow_mut().acts.extend(acts);
        let (lists, told) = mpsc::unbounded_channel();
        let classes = vec![Class {
            objective: 100_000,
            deadline: 2_000_000,
            priority_weight: 1.0,
            late_ratio: 0.5,
            idempotency,
        }];
        let cached_list = Some(list(&[("a", Health::Ready), ("b", Health::Ready)]));
        let limits = Limits {
            cancel: idempotency == Idempotency::Idempotent,
            hedging: true,
            max_attempts: 3,
            ..Settings::default().limits
        };
        let setup = EngineConfig {
            seed: 7,
            settings: Settings { classes, limits, ..Settings::default() },
            cached_list,
        };
        let source = Rc::new(Told(RefCell::new(Some(told))));
        let engine = Engine::start(setup, transport.clone(), source, observers, retries);
        Rig { engine, transport, lists }
    }

    fn ask(&self, attempts_most: u32) -> flaxhead_engine::PendingCall<Scripted> {
        self.ask_with(attempts_most, None)
    }

    fn ask_with(
        &self,
        attempts_most: u32,
        ticket: Option<Box<dyn CallPermit>>,
    ) -> flaxhead_engine::PendingCall<Scripted> {
        let deadline = Instant::now() + Duration::from_secs(2);
        let ask = CallSpec {
            class: ClassId(0),
            tenant: None,
            deadline,
            resent: false,
            max_attempts: attempts_most,
        };
        self.engine.request(ask, "pay", ticket)
    }

    fn number(&self, name: &str) -> ServerId {
        self.engine.view(|view| view.hosts().find(|host| host.name == name).expect("listed").server)
    }

    fn sent(&self) -> usize {
        self.transport.0.borrow().sent.len()
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

const TURNED_AWAY: Act = Act::End(Outcome::Rejected, 1);
const SERVED: Act = Act::End(Outcome::Served, 1);

#[test]
fn a_call_goes_again_where_it_never_ran_and_its_end_says_what_hosts_saw() {
    run(async {
        let rig = Rig::new(Idempotency::NonIdempotent, &[TURNED_AWAY, SERVED]);
        let FinalResponse { reply, trace } = rig.ask(CallSpec::UNBOUNDED).final_response().await;
        assert!(matches!(reply, Reply::Served("pay")), "{reply:?}");
        assert_eq!(trace, AttemptTrace { attempts: 2, may_have_run: true });
        let rig = Rig::new(Idempotency::NonIdempotent, &[Act::End(Outcome::Reset, 1), SERVED]);
        let FinalResponse { reply, trace } = rig.ask(CallSpec::UNBOUNDED).final_response().await;
        assert!(matches!(reply, Reply::Failed) && rig.sent() == 1, "{reply:?}");
        assert_eq!(trace, AttemptTrace { attempts: 1, may_have_run: true });
    });
}

/// Its connection may come up after the window in which it was decided: it is over then, and the call is answered.
#[test]
fn a_guarded_call_is_written_again_within_its_window_or_not_at_all() {
    let guarded = Idempotency::Keyed { scope: DedupScope::All, window: 700_000 };
    for (late, in_time) in [(100, true), (250, false)] {
        run(async {
            let rig = Rig::new(guarded, &[Act::End(Outcome::Reset, 500), Act::Late(late)]);
            let began = Instant::now();
            let FinalResponse { reply, trace } = rig.ask(CallSpec::UNBOUNDED).final_response().await;
            assert_eq!(rig.sent(), 2, "it was decided within the window");
            assert_eq!(matches!(reply, Reply::Served(_)), in_time, "{reply:?}");
            assert_eq!(trace, AttemptTrace { attempts: 1 + u32::from(in_time), may_have_run: true });
            assert!(began.elapsed() <= Duration::from_millis(701), "{:?}", began.elapsed());
        });
    }
}

#[test]
fn the_attempts_that_a_caller_allows_are_not_passed() {
    run(async {
        let rig = Rig::new(Idempotency::Idempotent, &[TURNED_AWAY, TURNED_AWAY, SERVED]);
        let FinalResponse { reply, trace } = rig.ask(1).final_response().await;
        assert!(matches!(reply, Reply::Rejected(_)), "{reply:?}: it never ran");
        assert_eq!((trace, rig.sent()), (AttemptTrace { attempts: 1, may_have_run: false }, 1));
        let rig = Rig::new(Idempotency::Idempotent, &[Act::End(Outcome::Error, 1), SERVED]);
        let FinalResponse { reply, trace } = rig.ask(1).final_response().await;
        assert!(matches!(reply, Reply::Failed), "{reply:?}: it may have run");
        assert_eq!((trace, rig.sent()), (AttemptTrace { attempts: 1, may_have_run: true }, 1));
    });
}

/// Retries of which there are so many.
struct Few(u32);

impl RetryLimiter for Few {
    fn try_acquire(&mut self, _: Micros) -> bool {
        let allowed = self.0 > 0;
        self.0 = self.0.saturating_sub(1);
        allowed
    }
}

#[test]
fn a_spent_retry_budget_ends_calls_at_once() {
    run(async {
        let acts = [TURNED_AWAY, TURNED_AWAY, SERVED];
        let rig = Rig::with(Idempotency::Idempotent, &acts, Vec::new(), Some(Box::new(Few(1))));
        let began = Instant::now();
        let reply = rig.ask(CallSpec::UNBOUNDED).reply().await;
        assert!(matches!(reply, Reply::Rejected(_)) && rig.sent() == 2, "{reply:?}");
        assert!(began.elapsed() < Duration::from_millis(100), "{:?}", began.elapsed());
    });
}

#[test]
fn a_drain_takes_back_what_is_not_written_and_the_transport_closes_what_is_idle() {
    run(async {
        let rig = Rig::new(Idempotency::NonIdempotent, &[Act::Wait, SERVED]);
        let mut waiting = rig.ask(CallSpec::UNBOUNDED);
        let first = rig.transport.0.borrow().sent[0].server;
        let (gone, stays) = if first == rig.number("a") { ("a", "b") } else { ("b", "a") };
        rig.lists.send(list(&[(gone, Health::Terminating), (stays, Health::Ready)])).expect("watched");
        let FinalResponse { reply, trace } = waiting.final_response().await;
        assert!(matches!(reply, Reply::Served("pay")), "{reply:?}");
        assert_eq!(
            trace,
            AttemptTrace { attempts: 1, may_have_run: true },
            "the one that was taken back was never seen"
        );
        let script = rig.transport.0.borrow();
        assert_ne!(script.sent[1].server, first);
        assert!(script.seats.contains(&(first, None)));
    });
}

/// The module spreads proxies over the servers by the order of their numbers: were it that of their arrival, one that has
/// run through a release would see all new servers in a row, and share its first old ones with every other.
#[test]
fn a_host_has_the_same_number_at_every_proxy_however_it_came_to_know_it() {
    run(async {
        let ready =
            |names: &[&'static str]| list(&names.iter().map(|&n| (n, Health::Ready)).collect::<Vec<_>>());
        let (early, late) = (Rig::new(Idempotency::Idempotent, &[]), Rig::new(Idempotency::Idempotent, &[]));
        early.lists.send(ready(&["a", "b", "c", "d"])).expect("watched");
        late.lists.send(ready(&["d"])).expect("watched");
        late.lists.send(ready(&["d", "c", "b", "a"])).expect("watched");
        sleep(Duration::from_millis(5)).await;
        for name in ["a", "b", "c", "d"] {
            assert_eq!(early.number(name), late.number(name), "{name}");
        }
    });
}

#[test]
fn all_that_is_open_is_answered_by_what_may_have_run() {
    run(async {
        let rig = Rig::new(Idempotency::NonIdempotent, &[Act::Stall, Act::Wait]);
        let (mut stalled, mut unsent) = (rig.ask(CallSpec::UNBOUNDED), rig.ask(CallSpec::UNBOUNDED));
        sleep(Duration::from_millis(5)).await;
        rig.engine.complete_all_calls();
        let (stalled, unsent) = (stalled.final_response().await, unsent.final_response().await);
        assert!(matches!(stalled.reply, Reply::Failed) && stalled.trace.may_have_run, "{stalled:?}");
        assert!(matches!(unsent.reply, Reply::Rejected(_)) && !unsent.trace.may_have_run, "{unsent:?}");
    });
}

#[test]
fn whoever_gives_a_call_up_learns_what_hosts_saw() {
    run(async {
        let rig = Rig::new(Idempotency::Idempotent, &[Act::Stall, Act::Wait]);
        let (stalled, unsent) = (rig.ask(CallSpec::UNBOUNDED), rig.ask(CallSpec::UNBOUNDED));
        sleep(Duration::from_millis(5)).await;
        assert_eq!(stalled.abandon(), AttemptTrace { attempts: 1, may_have_run: true });
        assert_eq!(unsent.abandon(), AttemptTrace::default());
        rig.engine.view(|view| assert!(view.calls().all(|call| !call.is_pending)));
    });
}

/// Writes notes down in short.
struct Notes(Rc<RefCell<Vec<String>>>);

impl Observer<Scripted> for Notes {
    fn observe(&mut self, note: &EngineEvent<'_, Scripted>, view: &EngineView<'_, Scripted>) {
        let line = match note {
            EngineEvent::CallReceived { call, request, .. } => format!("asked {} {request}", call.0),
            EngineEvent::PolicyInput(event) => {
                format!("{event:?}").split([' ', '{']).next().unwrap_or_default().to_owned()
            }
            EngineEvent::PolicyStepEnded => return,
            EngineEvent::PolicyAction(action) => {
                format!("{action:?}").split([' ', '{']).next().unwrap_or_default().to_owned()
            }
            EngineEvent::CallCompleted { call, .. } => format!("answered {}", call.0),
            EngineEvent::AttemptEnded { outcome, .. } => format!("ended {outcome:?}"),
            EngineEvent::ListReceived { list, .. } => format!("listed {}", list.hosts.len()),
            EngineEvent::HealthChanged { host, health, .. } => {
                format!("{host} {health:?} of {}", view.hosts().count())
            }
        };
        self.0.borrow_mut().push(line);
    }
}

#[test]
fn features_see_one_stream_in_order() {
    run(async {
        let notes = Rc::new(RefCell::new(Vec::new()));
        let observers: Vec<Box<dyn Observer<Scripted>>> = vec![Box::new(Notes(notes.clone()))];
        let rig = Rig::with(Idempotency::Idempotent, &[SERVED], observers, None);
        rig.ask(CallSpec::UNBOUNDED).reply().await;
        rig.lists.send(list(&[("a", Health::Ready)])).expect("watched");
        sleep(Duration::from_millis(1)).await;
        let notes = notes.borrow();
        let place =
            |line: &str| notes.iter().position(|l| l == line).unwrap_or_else(|| panic!("{line}: {notes:?}"));
        let order = ["Start", "listed 2", "a Ready of 2", "Members", "asked 1 pay", "Request", "Send"];
        let rest = ["answered 1", "ended Served", "Outcome", "listed 1", "b Gone of 1"];
        let places: Vec<usize> = order.iter().chain(&rest).map(|line| place(line)).collect();
        assert!(places.is_sorted(), "{notes:?}");
    });
}

/// Units that calls hold, and whether a second copy gets one.
#[derive(Clone, Default)]
struct Units {
    held: Rc<Cell<i32>>,
    cut: Rc<Cell<u32>>,
    copies: bool,
    asked: Rc<Cell<u32>>,
}

struct Held(Units);

impl Units {
    fn ticket(&self) -> Option<Box<dyn CallPermit>> {
        self.held.set(self.held.get() + 1);
        Some(Box::new(Held(self.clone())))
    }
}

impl CallPermit for Held {
    fn acquire_extra(&mut self) -> bool {
        let Units { held, copies, asked, .. } = &self.0;
        asked.set(asked.get() + 1);
        held.set(held.get() + i32::from(*copies));
        *copies
    }

    fn release_extra(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
    }

    fn attempt_abandoned(&mut self) {
        self.0.cut.set(self.0.cut.get() + 1);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.release_extra();
    }
}

#[test]
fn a_ticket_is_held_until_nothing_is_out_and_asked_for_second_copies_alone() {
    run(async {
        for copies in [false, true] {
            // Quick answers first: a module that knows no pace sends no copy. One goes again in sequence.
            let mut acts = vec![SERVED; 30];
            acts.extend([TURNED_AWAY, SERVED, Act::Stall, SERVED]);
            let rig = Rig::with(Idempotency::Idempotent, &acts, Vec::new(), None);
            for _ in 0..30 {
                rig.ask(CallSpec::UNBOUNDED).reply().await;
            }
            let units = Units { copies, ..Units::default() };
            let mut again = rig.ask_with(CallSpec::UNBOUNDED, units.ticket());
            assert!(matches!(again.final_response().await.reply, Reply::Served(_)) && rig.sent() == 32);
            assert_eq!((units.asked.get(), units.held.get()), (0, 0), "a retry in sequence keeps its unit");
            let mut late = rig.ask_with(CallSpec::UNBOUNDED, units.ticket());
            while units.asked.get() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            assert_eq!((units.held.get(), rig.sent()), if copies { (2, 34) } else { (1, 33) });
            if copies {
                assert!(
                    matches!(late.final_response().await.reply, Reply::Served(_)),
                    "the copy's answer counts"
                );
            }
            drop(late);
            sleep(Duration::from_millis(1)).await;
            rig.engine.view(|view| assert_eq!(view.calls().count(), 0));
            assert_eq!((units.held.get(), units.asked.get(), units.cut.get()), (0, 1, 1));
        }
    });
}

#[test]
fn a_ticket_outlives_its_client_for_as_long_as_an_attempt_runs() {
    run(async {
        let rig = Rig::new(Idempotency::NonIdempotent, &[Act::End(Outcome::Served, 300), Act::Wait]);
        let units = Units::default();
        let (runs, unsent) = (rig.ask_with(1, units.ticket()), rig.ask_with(1, units.ticket()));
        sleep(Duration::from_millis(5)).await;
        drop((runs, unsent));
        let out = rig.engine.view(|view| view.calls().count());
        assert_eq!((units.held.get(), out), (1, 1));
        sleep(Duration::from_millis(400)).await;
        assert_eq!(units.held.get(), 0);
    });
}
