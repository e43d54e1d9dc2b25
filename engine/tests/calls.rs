//! Tests of the engine with a scripted transport, on paused time.

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

/// Behavior of a host in one attempt.
#[derive(Clone, Copy)]
enum Behavior {
    /// Writes one byte, and ends with the outcome after this number of milliseconds; `Served` comes with a
    /// response.
    EndAfter(Outcome, u64),
    /// Writes nothing and never ends, like a connection that is never established.
    NeverWritten,
    /// Writes one byte after this number of milliseconds, unless withdrawn, and responds immediately.
    WriteAfter(u64),
    /// Writes one byte and never ends.
    NoResponse,
}

#[derive(Default)]
struct Script {
    behaviors: VecDeque<Behavior>,
    sent: Vec<AttemptTarget>,
    endpoint_updates: Vec<(ServerId, Option<SocketAddr>)>,
}

#[derive(Clone, Default)]
struct ScriptedTransport(Rc<RefCell<Script>>);

impl Transport for ScriptedTransport {
    type Request = &'static str;
    type Response = &'static str;

    fn set_endpoint(&self, server: ServerId, address: Option<SocketAddr>, _: bool) {
        self.0.borrow_mut().endpoint_updates.push((server, address));
    }

    fn remove_endpoint(&self, server: ServerId) {
        self.0.borrow_mut().endpoint_updates.push((server, None));
    }

    fn send(
        &self,
        target: AttemptTarget,
        request: &Rc<&'static str>,
        meter: &WriteMeter,
    ) -> impl Future<Output = AttemptResult<&'static str>> + use<> + 'static {
        let mut script = self.0.borrow_mut();
        script.sent.push(target);
        let (behavior, request, meter) =
            (script.behaviors.pop_front().unwrap_or(Behavior::NoResponse), **request, meter.clone());
        async move {
            if let Behavior::WriteAfter(after) = behavior {
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
            if !matches!(behavior, Behavior::NeverWritten) {
                meter.set_bytes_written(1);
            }
            let Behavior::EndAfter(outcome, after) = behavior else { return std::future::pending().await };
            sleep(Duration::from_millis(after)).await;
            let response = (outcome == Outcome::Served).then_some(request);
            AttemptResult { response, ..AttemptResult::without_response(outcome) }
        }
    }

    fn stats(&self) -> impl std::fmt::Debug {}
}

/// List source that delivers the lists a test sends on a channel.
struct ChannelListSource(RefCell<Option<mpsc::UnboundedReceiver<EndpointList>>>);

impl ListSource for ChannelListSource {
    fn watch(&self, _: Option<u64>, mut handler: ListHandler) -> WatchFuture {
        let lists = self.0.borrow_mut().take();
        Box::pin(async move {
            let Some(mut lists) = lists else { return std::future::pending::<BoxError>().await };
            while let Some(list) = lists.recv().await {
                handler(list);
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

struct Fixture {
    engine: Engine<ScriptedTransport>,
    transport: ScriptedTransport,
    lists: mpsc::UnboundedSender<EndpointList>,
}

impl Fixture {
    fn new(idempotency: Idempotency, behaviors: &[Behavior]) -> Fixture {
        Fixture::with_parts(idempotency, behaviors, Vec::new(), None)
    }

    fn with_parts(
        idempotency: Idempotency,
        behaviors: &[Behavior],
        observers: Vec<Box<dyn Observer<ScriptedTransport>>>,
        retry_limiter: Option<Box<dyn RetryLimiter>>,
    ) -> Fixture {
        let transport = ScriptedTransport::default();
        transport.0.borrow_mut().behaviors.extend(behaviors);
        let (lists, receiver) = mpsc::unbounded_channel();
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
        let config = EngineConfig {
            seed: 7,
            settings: Settings { classes, limits, ..Settings::default() },
            cached_list,
        };
        let source = Rc::new(ChannelListSource(RefCell::new(Some(receiver))));
        let engine = Engine::start(config, transport.clone(), source, observers, retry_limiter);
        Fixture { engine, transport, lists }
    }

    fn submit(&self, attempt_limit: u32) -> flaxhead_engine::PendingCall<ScriptedTransport> {
        self.submit_with_permit(attempt_limit, None)
    }

    fn submit_with_permit(
        &self,
        attempt_limit: u32,
        permit: Option<Box<dyn CallPermit>>,
    ) -> flaxhead_engine::PendingCall<ScriptedTransport> {
        let deadline = Instant::now() + Duration::from_secs(2);
        let spec = CallSpec {
            class: ClassId(0),
            tenant: None,
            deadline,
            resent: false,
            max_attempts: attempt_limit,
        };
        self.engine.request(spec, "pay", permit)
    }

    fn server_id(&self, name: &str) -> ServerId {
        self.engine.view(|view| view.hosts().find(|host| host.name == name).expect("listed").server)
    }

    fn sent_count(&self) -> usize {
        self.transport.0.borrow().sent.len()
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

const REJECTED: Behavior = Behavior::EndAfter(Outcome::Rejected, 1);
const SERVED: Behavior = Behavior::EndAfter(Outcome::Served, 1);

#[test]
fn a_call_is_retried_only_if_it_cannot_have_run_and_its_result_counts_attempts() {
    run(async {
        let fixture = Fixture::new(Idempotency::NonIdempotent, &[REJECTED, SERVED]);
        let FinalResponse { reply, trace } = fixture.submit(CallSpec::UNBOUNDED).final_response().await;
        assert!(matches!(reply, Reply::Served("pay")), "{reply:?}");
        assert_eq!(trace, AttemptTrace { attempts: 2, may_have_run: true });
        let fixture =
            Fixture::new(Idempotency::NonIdempotent, &[Behavior::EndAfter(Outcome::Reset, 1), SERVED]);
        let FinalResponse { reply, trace } = fixture.submit(CallSpec::UNBOUNDED).final_response().await;
        assert!(matches!(reply, Reply::Failed) && fixture.sent_count() == 1, "{reply:?}");
        assert_eq!(trace, AttemptTrace { attempts: 1, may_have_run: true });
    });
}

/// Guards against a retry whose connection is established only after the deduplication window has ended.
#[test]
fn a_keyed_call_is_not_rewritten_after_its_deduplication_window() {
    let keyed = Idempotency::Keyed { scope: DedupScope::All, window: 700_000 };
    for (write_ms, expect_served) in [(100, true), (250, false)] {
        run(async {
            let fixture = Fixture::new(
                keyed,
                &[Behavior::EndAfter(Outcome::Reset, 500), Behavior::WriteAfter(write_ms)],
            );
            let started = Instant::now();
            let FinalResponse { reply, trace } = fixture.submit(CallSpec::UNBOUNDED).final_response().await;
            assert_eq!(fixture.sent_count(), 2, "the retry was sent within the window");
            assert_eq!(matches!(reply, Reply::Served(_)), expect_served, "{reply:?}");
            assert_eq!(trace, AttemptTrace { attempts: 1 + u32::from(expect_served), may_have_run: true });
            assert!(started.elapsed() <= Duration::from_millis(701), "{:?}", started.elapsed());
        });
    }
}

#[test]
fn attempts_never_exceed_the_limit_of_the_caller() {
    run(async {
        let fixture = Fixture::new(Idempotency::Idempotent, &[REJECTED, REJECTED, SERVED]);
        let FinalResponse { reply, trace } = fixture.submit(1).final_response().await;
        assert!(matches!(reply, Reply::Rejected(_)), "{reply:?}: no host can have run it");
        assert_eq!((trace, fixture.sent_count()), (AttemptTrace { attempts: 1, may_have_run: false }, 1));
        let fixture = Fixture::new(Idempotency::Idempotent, &[Behavior::EndAfter(Outcome::Error, 1), SERVED]);
        let FinalResponse { reply, trace } = fixture.submit(1).final_response().await;
        assert!(matches!(reply, Reply::Failed), "{reply:?}: a host may have run it");
        assert_eq!((trace, fixture.sent_count()), (AttemptTrace { attempts: 1, may_have_run: true }, 1));
    });
}

/// Retry limiter that allows this number of retries.
struct CountedRetries(u32);

impl RetryLimiter for CountedRetries {
    fn try_acquire(&mut self, _: Micros) -> bool {
        let allowed = self.0 > 0;
        self.0 = self.0.saturating_sub(1);
        allowed
    }
}

#[test]
fn an_exhausted_retry_limiter_completes_calls_at_once() {
    run(async {
        let behaviors = [REJECTED, REJECTED, SERVED];
        let fixture = Fixture::with_parts(
            Idempotency::Idempotent,
            &behaviors,
            Vec::new(),
            Some(Box::new(CountedRetries(1))),
        );
        let started = Instant::now();
        let reply = fixture.submit(CallSpec::UNBOUNDED).reply().await;
        assert!(matches!(reply, Reply::Rejected(_)) && fixture.sent_count() == 2, "{reply:?}");
        assert!(started.elapsed() < Duration::from_millis(100), "{:?}", started.elapsed());
    });
}

#[test]
fn a_draining_host_loses_its_unwritten_attempts_and_its_idle_connections() {
    run(async {
        let fixture = Fixture::new(Idempotency::NonIdempotent, &[Behavior::NeverWritten, SERVED]);
        let mut call = fixture.submit(CallSpec::UNBOUNDED);
        let first = fixture.transport.0.borrow().sent[0].server;
        let (draining, ready) = if first == fixture.server_id("a") { ("a", "b") } else { ("b", "a") };
        fixture
            .lists
            .send(list(&[(draining, Health::Terminating), (ready, Health::Ready)]))
            .expect("watched");
        let FinalResponse { reply, trace } = call.final_response().await;
        assert!(matches!(reply, Reply::Served("pay")), "{reply:?}");
        assert_eq!(
            trace,
            AttemptTrace { attempts: 1, may_have_run: true },
            "the withdrawn attempt does not count"
        );
        let script = fixture.transport.0.borrow();
        assert_ne!(script.sent[1].server, first);
        assert!(script.endpoint_updates.contains(&(first, None)));
    });
}

/// Guards against numbers in order of arrival, by which the policy would assign servers to proxies unevenly
/// after a release.
#[test]
fn server_numbers_do_not_depend_on_the_order_in_which_hosts_are_listed() {
    run(async {
        let ready =
            |names: &[&'static str]| list(&names.iter().map(|&n| (n, Health::Ready)).collect::<Vec<_>>());
        let (all_at_once, one_by_one) =
            (Fixture::new(Idempotency::Idempotent, &[]), Fixture::new(Idempotency::Idempotent, &[]));
        all_at_once.lists.send(ready(&["a", "b", "c", "d"])).expect("watched");
        one_by_one.lists.send(ready(&["d"])).expect("watched");
        one_by_one.lists.send(ready(&["d", "c", "b", "a"])).expect("watched");
        sleep(Duration::from_millis(5)).await;
        for name in ["a", "b", "c", "d"] {
            assert_eq!(all_at_once.server_id(name), one_by_one.server_id(name), "{name}");
        }
    });
}

#[test]
fn completing_all_calls_rejects_unwritten_ones_and_fails_written_ones() {
    run(async {
        let fixture =
            Fixture::new(Idempotency::NonIdempotent, &[Behavior::NoResponse, Behavior::NeverWritten]);
        let (mut written, mut unwritten) =
            (fixture.submit(CallSpec::UNBOUNDED), fixture.submit(CallSpec::UNBOUNDED));
        sleep(Duration::from_millis(5)).await;
        fixture.engine.complete_all_calls();
        let (written, unwritten) = (written.final_response().await, unwritten.final_response().await);
        assert!(matches!(written.reply, Reply::Failed) && written.trace.may_have_run, "{written:?}");
        assert!(
            matches!(unwritten.reply, Reply::Rejected(_)) && !unwritten.trace.may_have_run,
            "{unwritten:?}"
        );
    });
}

#[test]
fn abandoning_a_call_returns_the_attempts_that_may_have_reached_a_host() {
    run(async {
        let fixture = Fixture::new(Idempotency::Idempotent, &[Behavior::NoResponse, Behavior::NeverWritten]);
        let (written, unwritten) = (fixture.submit(CallSpec::UNBOUNDED), fixture.submit(CallSpec::UNBOUNDED));
        sleep(Duration::from_millis(5)).await;
        assert_eq!(written.abandon(), AttemptTrace { attempts: 1, may_have_run: true });
        assert_eq!(unwritten.abandon(), AttemptTrace::default());
        fixture.engine.view(|view| assert!(view.calls().all(|call| !call.is_pending)));
    });
}

/// Observer that records a short text for each event.
struct EventRecorder(Rc<RefCell<Vec<String>>>);

impl Observer<ScriptedTransport> for EventRecorder {
    fn observe(
        &mut self,
        event: &EngineEvent<'_, ScriptedTransport>,
        view: &EngineView<'_, ScriptedTransport>,
    ) {
        let line = match event {
            EngineEvent::CallReceived { call, request, .. } => format!("received {} {request}", call.0),
            EngineEvent::PolicyInput(event) => {
                format!("{event:?}").split([' ', '{']).next().unwrap_or_default().to_owned()
            }
            EngineEvent::PolicyStepEnded => return,
            EngineEvent::PolicyAction(action) => {
                format!("{action:?}").split([' ', '{']).next().unwrap_or_default().to_owned()
            }
            EngineEvent::CallCompleted { call, .. } => format!("completed {}", call.0),
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
fn observers_receive_all_events_in_order() {
    run(async {
        let log = Rc::new(RefCell::new(Vec::new()));
        let observers: Vec<Box<dyn Observer<ScriptedTransport>>> = vec![Box::new(EventRecorder(log.clone()))];
        let fixture = Fixture::with_parts(Idempotency::Idempotent, &[SERVED], observers, None);
        fixture.submit(CallSpec::UNBOUNDED).reply().await;
        fixture.lists.send(list(&[("a", Health::Ready)])).expect("watched");
        sleep(Duration::from_millis(1)).await;
        let log = log.borrow();
        let index =
            |line: &str| log.iter().position(|e| e == line).unwrap_or_else(|| panic!("{line}: {log:?}"));
        let first_events =
            ["Start", "listed 2", "a Ready of 2", "Members", "received 1 pay", "Request", "Send"];
        let later_events = ["completed 1", "ended Served", "Outcome", "listed 1", "b Gone of 1"];
        let indexes: Vec<usize> = first_events.iter().chain(&later_events).map(|line| index(line)).collect();
        assert!(indexes.is_sorted(), "{log:?}");
    });
}

/// Counts of calls to the permits of a test, and whether they allow parallel attempts.
#[derive(Clone, Default)]
struct PermitCounts {
    held: Rc<Cell<i32>>,
    abandoned: Rc<Cell<u32>>,
    allow_extra: bool,
    extra_requests: Rc<Cell<u32>>,
}

struct CountingPermit(PermitCounts);

impl PermitCounts {
    fn permit(&self) -> Option<Box<dyn CallPermit>> {
        self.held.set(self.held.get() + 1);
        Some(Box::new(CountingPermit(self.clone())))
    }
}

impl CallPermit for CountingPermit {
    fn acquire_extra(&mut self) -> bool {
        let PermitCounts { held, allow_extra, extra_requests, .. } = &self.0;
        extra_requests.set(extra_requests.get() + 1);
        held.set(held.get() + i32::from(*allow_extra));
        *allow_extra
    }

    fn release_extra(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
    }

    fn attempt_abandoned(&mut self) {
        self.0.abandoned.set(self.0.abandoned.get() + 1);
    }
}

impl Drop for CountingPermit {
    fn drop(&mut self) {
        self.release_extra();
    }
}

#[test]
fn a_permit_is_held_until_no_attempt_is_in_flight_and_extended_only_for_hedged_requests() {
    run(async {
        for allow_extra in [false, true] {
            // The policy sends hedged requests only once it knows the latency of the class, so 30 calls come
            // first. The next call is retried after a rejection, the one after that is hedged.
            let mut behaviors = vec![SERVED; 30];
            behaviors.extend([REJECTED, SERVED, Behavior::NoResponse, SERVED]);
            let fixture = Fixture::with_parts(Idempotency::Idempotent, &behaviors, Vec::new(), None);
            for _ in 0..30 {
                fixture.submit(CallSpec::UNBOUNDED).reply().await;
            }
            let counts = PermitCounts { allow_extra, ..PermitCounts::default() };
            let mut retried = fixture.submit_with_permit(CallSpec::UNBOUNDED, counts.permit());
            assert!(
                matches!(retried.final_response().await.reply, Reply::Served(_))
                    && fixture.sent_count() == 32
            );
            assert_eq!(
                (counts.extra_requests.get(), counts.held.get()),
                (0, 0),
                "a retry after a rejection needs no extra permit"
            );
            let mut hedged = fixture.submit_with_permit(CallSpec::UNBOUNDED, counts.permit());
            while counts.extra_requests.get() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            assert_eq!(
                (counts.held.get(), fixture.sent_count()),
                if allow_extra { (2, 34) } else { (1, 33) }
            );
            if allow_extra {
                assert!(
                    matches!(hedged.final_response().await.reply, Reply::Served(_)),
                    "the hedged request's response completes the call"
                );
            }
            drop(hedged);
            sleep(Duration::from_millis(1)).await;
            fixture.engine.view(|view| assert_eq!(view.calls().count(), 0));
            assert_eq!((counts.held.get(), counts.extra_requests.get(), counts.abandoned.get()), (0, 1, 1));
        }
    });
}

#[test]
fn a_permit_is_held_after_the_client_disconnects_while_an_attempt_is_in_flight() {
    run(async {
        let fixture = Fixture::new(
            Idempotency::NonIdempotent,
            &[Behavior::EndAfter(Outcome::Served, 300), Behavior::NeverWritten],
        );
        let counts = PermitCounts::default();
        let (written, unwritten) =
            (fixture.submit_with_permit(1, counts.permit()), fixture.submit_with_permit(1, counts.permit()));
        sleep(Duration::from_millis(5)).await;
        drop((written, unwritten));
        let in_flight = fixture.engine.view(|view| view.calls().count());
        assert_eq!((counts.held.get(), in_flight), (1, 1));
        sleep(Duration::from_millis(400)).await;
        assert_eq!(counts.held.get(), 0);
    });
}
