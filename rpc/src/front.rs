//! The front: takes the host's calls in on the engine's thread, and gives each its one answer.

use crate::grpc::{self, Answer, Code, Pushback};
use crate::http2::{Forward, Http2};
use crate::service::ServiceConfig;
use crate::slot::Filler;
use bytes::Bytes;
use flaxhead_engine::{AttemptTrace, CallSpec, Engine, FinalResponse, Reply, RetryLimiter};
use flaxhead_limits::{Allowance, IdempotencyCache, PreviousAttempts, Rejection, RetryBudget};
use flaxhead_policy::{ClassId, Idempotency, Micros, TenantId};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The part of a client's time that is kept for the answer's way back, at the most; else a tenth of it.
const WAY_BACK: Duration = Duration::from_millis(10);
/// When one whose like is open may come again.
const OPEN_PAUSE: Duration = Duration::from_millis(100);
/// Bytes of an id or a key.
const ID_MOST: usize = 256;
/// What an answer says of its call.
pub const NEVER_RAN: &str = "never-ran";
const MAY_HAVE_RUN: &str = "may-have-run";

/// A call as the host gives it.
pub struct Job {
    pub path: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub arrived: Instant,
    pub filler: Filler,
    /// Ends when the host waits no longer.
    pub alive: oneshot::Receiver<()>,
    /// Kept while the call is open.
    pub open: Arc<()>,
}

/// What came with a call, checked.
struct Taken {
    ask: CallSpec,
    /// By what it is remembered.
    name: Option<Name>,
    forward: Forward,
    idempotency: Idempotency,
}

type Name = (ClassId, Box<[u8]>);
/// The answer of a call that is not taken.
type Refused = Box<Answer>;

/// The budget, as the engine asks it.
pub struct Shared(pub Rc<RefCell<RetryBudget>>);

impl RetryLimiter for Shared {
    fn try_acquire(&mut self, now: Micros) -> bool {
        self.0.borrow_mut().try_acquire(now)
    }
}

/// What all calls share.
#[derive(Clone)]
pub struct Front {
    engine: Engine<Http2>,
    config: Arc<ServiceConfig>,
    budget: Option<Rc<RefCell<RetryBudget>>>,
    memory: Rc<RefCell<IdempotencyCache<Name>>>,
}

impl Front {
    /// A front of an engine whose retries the same budget bounds.
    pub fn new(
        engine: Engine<Http2>,
        config: Arc<ServiceConfig>,
        budget: Option<Rc<RefCell<RetryBudget>>>,
    ) -> Front {
        let memory = Rc::new(RefCell::new(IdempotencyCache::new(config.memory)));
        Front { engine, config, budget, memory }
    }

    /// The engine's clock: the budget and the memory go by it too.
    fn now(&self) -> Micros {
        self.engine.view(|view| view.now())
    }

    /// Gives a call its one answer.
    pub async fn serve(self, job: Job) {
        let Job { path, headers, body, arrived, mut filler, mut alive, open } = job;
        let answer = match self.take_in(path, headers, body, arrived) {
            Err(answer) => *answer,
            Ok(Taken { ask, name, forward, idempotency }) => {
                filler.or_else(lost);
                let last = forward.last.clone();
                let mut waiting = self.engine.request(ask, forward, None);
                let ended = tokio::select! {
                    biased;
                    ended = waiting.final_response() => Some(ended),
                    _ = &mut alive => None,
                };
                let Some(FinalResponse { reply, trace }) = ended else {
                    let trace = waiting.abandon();
                    return self.ends(name, trace);
                };
                let ran = matches!(reply, Reply::Served(_));
                self.ends(name, AttemptTrace { may_have_run: trace.may_have_run || ran, ..trace });
                self.answer(reply, last.take(), idempotency, ask.deadline)
            }
        };
        // Its place is free before its host can come again.
        drop(open);
        filler.fill(answer);
    }

    fn ends(&self, name: Option<Name>, AttemptTrace { attempts, may_have_run }: AttemptTrace) {
        if let Some(name) = name {
            self.memory.borrow_mut().end(self.now(), &name, attempts, may_have_run);
        }
    }

    /// Checks a call; `Err` is its answer.
    fn take_in(
        &self,
        path: PathAndQuery,
        headers: HeaderMap,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Taken, Refused> {
        let config = &*self.config;
        let refuse =
            |code, reason: &str, pushback| Box::new(Answer::of(code, reason, Some(NEVER_RAN), pushback));
        let method = config.method(path.path()).ok_or_else(|| {
            let reason = format!("no class is configured for {}", path.path());
            refuse(Code::Unimplemented, &reason, Pushback::Never)
        })?;
        let bad = |reason: String| refuse(Code::InvalidArgument, &reason, Pushback::Never);
        let asked = match single(&headers, &grpc::TIMEOUT)? {
            None => method.timeout,
            Some(value) => grpc::timeout(&value.try_into().unwrap_or(http::HeaderValue::from_static("")))
                .ok_or_else(|| bad("grpc-timeout cannot be read".to_owned()))?,
        };
        let patience = asked.min(method.timeout);
        let deadline = arrived + patience - WAY_BACK.min(patience / 10);
        let tries = match single(&headers, &grpc::PREVIOUS_ATTEMPTS)? {
            None => PreviousAttempts(0),
            Some(text) => PreviousAttempts(
                text.parse().map_err(|_| bad("grpc-previous-rpc-attempts cannot be read".to_owned()))?,
            ),
        };
        let idempotency = config.repeat(method.class);
        let field = if matches!(idempotency, Idempotency::Keyed { .. }) { &config.key } else { &config.id };
        let name = single(&headers, field)?.filter(|id| !id.is_empty() && id.len() <= ID_MOST);
        if name.is_none() && idempotency != Idempotency::Idempotent {
            return Err(bad(format!("its class wants the metadata {field}, once, of 1 to {ID_MOST} bytes")));
        }
        let name: Option<Name> = name.map(|id| (method.class, id.as_bytes().into()));
        let tenant = headers.get(&config.tenant).and_then(|value| value.to_str().ok());
        let tenant =
            tenant.and_then(|name| config.tenants.iter().position(|known| known == name)).map(TenantId);
        let (allowed, name) = self.allow(name, idempotency, method.attempts_most, tries)?;
        let ask = CallSpec {
            class: method.class,
            tenant,
            deadline,
            resent: allowed.is_retry,
            max_attempts: allowed.remaining_attempts,
        };
        let forward = Forward {
            path,
            headers: strip(headers),
            body,
            retryable: method.retryable.clone(),
            tries: Cell::new(tries.0),
            last: Rc::default(),
        };
        Ok(Taken { ask, name, forward, idempotency })
    }

    /// What a call may still do, beside what layers above have done; it is remembered under what is returned.
    fn allow(
        &self,
        name: Option<Name>,
        idempotency: Idempotency,
        attempts_most: u32,
        tries: PreviousAttempts,
    ) -> Result<(Allowance, Option<Name>), Refused> {
        let now = self.now();
        let refuse =
            |code, reason, pushback| Err(Box::new(Answer::of(code, reason, Some(NEVER_RAN), pushback)));
        let begun = match &name {
            Some(name) => self.memory.borrow_mut().begin(now, name, idempotency, attempts_most, tries),
            None if tries.0 >= attempts_most => Err(Rejection::Exhausted),
            None => Ok(Allowance { remaining_attempts: attempts_most - tries.0, is_retry: tries.0 > 0 }),
        };
        let (allowed, name) = match begun {
            Ok(allowed) => (allowed, name),
            // Harmless beside its like; whose attempts are not known before it ends.
            Err(Rejection::InFlight) if idempotency == Idempotency::Idempotent => {
                (Allowance { remaining_attempts: 1, is_retry: true }, None)
            }
            Err(Rejection::InFlight) => {
                let reason = "one with the same id or key is open";
                return refuse(
                    Code::FailedPrecondition,
                    reason,
                    match idempotency {
                        Idempotency::NonIdempotent => Pushback::Never,
                        _ => Pushback::After(OPEN_PAUSE),
                    },
                );
            }
            Err(Rejection::MayHaveRun) => {
                let reason = "one with the same id may have run, and this must not run twice";
                return Err(Box::new(Answer::of(
                    Code::FailedPrecondition,
                    reason,
                    Some(MAY_HAVE_RUN),
                    Pushback::Never,
                )));
            }
            Err(Rejection::UnknownAttempt) => {
                let reason = "it has been tried before, nothing is known of that, and it must not run twice";
                return Err(Box::new(Answer::of(
                    Code::FailedPrecondition,
                    reason,
                    Some(MAY_HAVE_RUN),
                    Pushback::Never,
                )));
            }
            Err(Rejection::Exhausted) => {
                let reason = "all attempts that its class allows have been made";
                return refuse(Code::Unavailable, reason, Pushback::Never);
            }
            Err(Rejection::CacheFull) => {
                let reason = "no more calls can be remembered";
                return refuse(Code::ResourceExhausted, reason, Pushback::After(Duration::from_secs(1)));
            }
        };
        if let Some(budget) = &self.budget {
            let mut budget = budget.borrow_mut();
            if !allowed.is_retry {
                budget.record_first_attempt(now);
            } else if !budget.try_acquire(now) {
                self.ends(name, AttemptTrace::default());
                let wait = Duration::from_micros(budget.time_until_retry().unwrap_or(1_000_000));
                return refuse(Code::Unavailable, "the retry budget is spent", Pushback::After(wait));
            }
        }
        Ok((allowed, name))
    }

    /// The answer that the host gets. `last` is what a node said that was not passed on.
    fn answer(
        &self,
        reply: Reply<Answer>,
        last: Option<Answer>,
        idempotency: Idempotency,
        deadline: Instant,
    ) -> Answer {
        match reply {
            Reply::Served(answer) => answer,
            Reply::Rejected(after) => {
                let late = Instant::now() >= deadline;
                let code = if late { Code::DeadlineExceeded } else { Code::Unavailable };
                let said = last.map(|last| format!("; a host said: {}", last.message())).unwrap_or_default();
                let reason = format!("refused, it never ran{said}");
                Answer::of(code, &reason, Some(NEVER_RAN), Pushback::After(after))
            }
            Reply::Failed => {
                let pushback = if idempotency == Idempotency::NonIdempotent {
                    Pushback::Never
                } else {
                    Pushback::Unsaid
                };
                let late = Instant::now() >= deadline;
                let code = last.as_ref().and_then(Answer::code);
                let code = if late { Code::DeadlineExceeded } else { code.unwrap_or(Code::Unknown) };
                let said = last.map(|last| format!("; a host said: {}", last.message())).unwrap_or_default();
                Answer::of(code, &format!("failed, it may have run{said}"), Some(MAY_HAVE_RUN), pushback)
            }
        }
    }
}

/// What is said where the engine ends under a call.
fn lost() -> Answer {
    Answer::of(Code::Unknown, "the plug-in ended, it may have run", Some(MAY_HAVE_RUN), Pushback::Never)
}

/// A field's only value; `Err`: there are several, or it is no text.
fn single(headers: &HeaderMap, name: &HeaderName) -> Result<Option<String>, Refused> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    match value.to_str() {
        Ok(text) if values.next().is_none() => Ok(Some(text.to_owned())),
        _ => {
            let reason = format!("the metadata {name} is not one text");
            Err(Box::new(Answer::of(Code::InvalidArgument, &reason, Some(NEVER_RAN), Pushback::Never)))
        }
    }
}

/// Metadata that goes on to the host: all but what belongs to a connection.
fn strip(mut headers: HeaderMap) -> HeaderMap {
    use http::header;
    let fixed = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::HOST,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    for name in fixed {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection"] {
        headers.remove(name);
    }
    headers.insert(header::TE, http::HeaderValue::from_static("trailers"));
    headers.entry(header::CONTENT_TYPE).or_insert(http::HeaderValue::from_static("application/grpc"));
    headers
}
