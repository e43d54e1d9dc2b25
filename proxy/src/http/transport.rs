//! The transport to hosts: one request at a time on a connection, idle ones kept for the next.

use super::client_probe::{ClientProbe, ClientStatus};
use super::exchange::{exchange, Connection, Exchanged};
use super::idle::{IdleConnections, Reused};
use super::reuse::ReuseStats;
use super::surplus::{HostSurplus, Surplus};
use crate::memory::{Memory, MemoryPlan, PoolStats};
use flaxhead_engine::{AttemptResult, AttemptTarget, Transport, WriteMeter};
use flaxhead_policy::{Outcome, ServerId};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Debug;
use std::future::Future;
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Share of the time for which hosts keep an idle connection, after which it is no longer used.
const IDLE_FRACTION: f64 = 0.9;

/// Memory that is divided where no limit is set.
const DEFAULT_MEMORY_BYTES: usize = 192_000_000;

/// A client's request as hosts get it.
#[derive(Debug)]
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// Its headers, without those of the client's connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Whose it is.
    pub client: Rc<dyn ClientProbe>,
}

impl Forward {
    /// The request for one attempt, which is given up at `until`.
    fn request(&self, until: Instant) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        request.headers_mut().insert("x-budget-ms", HeaderValue::from(left.max(1)));
        request
    }
}

/// This proxy's idle connections to a host.
#[derive(Debug)]
struct Pool {
    /// Where something new may be sent to; `None`: nowhere.
    dial: Option<SocketAddr>,
    idle: IdleConnections<Connection>,
    surplus: HostSurplus,
}

impl Pool {
    fn new(surplus: HostSurplus) -> Pool {
        Pool { dial: None, idle: IdleConnections::default(), surplus }
    }
}

/// Figures for the log.
#[derive(Debug, Default)]
struct Counts {
    opened: u64,
    open_failed: u64,
    broken_reuse: u64,
}

#[derive(Debug)]
struct Pools {
    hosts: HashMap<ServerId, Pool>,
    reuse: ReuseStats,
    surplus: Surplus,
    counts: Counts,
    /// One reference for each open connection to a host, and this one.
    slots: Rc<()>,
    max_connections: usize,
    connect_timeout: Duration,
    /// For how long a connection is kept idle: a request must not cross its host's close.
    max_idle: Duration,
    memory: Memory,
    /// What was shed by the last sweep.
    logged_shed: ShedCounts,
}

/// Messages that were shed so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ShedCounts {
    requests: u64,
    responses: u64,
}

/// Connections to hosts.
#[derive(Clone, Debug)]
pub struct Http(Rc<RefCell<Pools>>);

impl Http {
    /// At most so many connections, each up within `connect_timeout`, to hosts that keep an idle one for
    /// `conn_idle`.
    pub fn new(connections_most: usize, connect_timeout: Duration, conn_idle: Duration) -> Http {
        Http(Rc::new(RefCell::new(Pools {
            hosts: HashMap::new(),
            reuse: ReuseStats::default(),
            surplus: Surplus::default(),
            counts: Counts::default(),
            slots: Rc::default(),
            max_connections: connections_most,
            connect_timeout,
            max_idle: conn_idle.mul_f64(IDLE_FRACTION),
            memory: Memory::new(&MemoryPlan::new(DEFAULT_MEMORY_BYTES, 0)),
            logged_shed: ShedCounts::default(),
        })))
    }

    /// Holds responses in this memory.
    #[must_use]
    pub fn with_memory(self, memory: Memory) -> Http {
        self.0.borrow_mut().memory = memory;
        self
    }

    async fn attempt(
        self,
        target: AttemptTarget,
        reused: Option<Reused<Connection>>,
        forward: Rc<Forward>,
        meter: WriteMeter,
    ) -> Exchanged {
        let pool = self.0.borrow().memory.responses.clone();
        if let Some(Reused { connection, idle_time, rest_left }) = reused {
            // A timer that is due at once would still take up to a millisecond.
            if !rest_left.is_zero() {
                sleep(rest_left).await;
            }
            let request = forward.request(target.deadline);
            let done = exchange(connection, request, &meter, forward.client.clone(), &pool).await;
            if done.is_none() && forward.client.status() == ClientStatus::Left {
                return Exchanged::without_response(Outcome::NotSent);
            }
            let broken = done.as_ref().is_none_or(|done| done.outcome == Outcome::Reset);
            let mut pools = self.0.borrow_mut();
            pools.counts.broken_reuse += u64::from(broken);
            pools.reuse.record(idle_time, broken);
            if let Some(done) = done {
                return done;
            }
        }
        // Nothing has been written yet, so this is no second sending.
        let (slot, limit, surplus) = {
            let mut pools = self.0.borrow_mut();
            (pools.slot(), pools.connect_timeout, pools.surplus_of(target.server))
        };
        let Some(slot) = slot else { return Exchanged::without_response(Outcome::NotSent) };
        let opened = Connection::open(target.address, limit, slot, surplus, &pool).await;
        {
            let counts = &mut self.0.borrow_mut().counts;
            *if opened.is_ok() { &mut counts.opened } else { &mut counts.open_failed } += 1;
        }
        let done = match opened {
            Ok(connection) => {
                let request = forward.request(target.deadline);
                exchange(connection, request, &meter, forward.client.clone(), &pool).await
            }
            Err(_) => None,
        };
        if done.is_none() && forward.client.status() == ClientStatus::Left {
            return Exchanged::without_response(Outcome::NotSent);
        }
        done.unwrap_or_else(|| Exchanged::without_response(Outcome::NoConnection))
    }
}

impl Transport for Http {
    type Request = Forward;
    type Response = Response<Bytes>;

    fn set_endpoint(&self, server: ServerId, dial: Option<SocketAddr>, restarted: bool) {
        let Pools { hosts, surplus, .. } = &mut *self.0.borrow_mut();
        let pool = hosts.entry(server).or_insert_with(|| Pool::new(surplus.of_host()));
        if dial.is_none() || restarted {
            pool.idle.clear();
        }
        pool.dial = dial;
    }

    fn remove_endpoint(&self, server: ServerId) {
        self.0.borrow_mut().hosts.remove(&server);
    }

    fn send(
        &self,
        target: AttemptTarget,
        forward: &Rc<Forward>,
        meter: &WriteMeter,
    ) -> impl Future<Output = AttemptResult<Response<Bytes>>> + use<> + 'static {
        let reused = self.0.borrow_mut().take_idle(&target);
        let (http, forward, meter) = (self.clone(), forward.clone(), meter.clone());
        async move {
            let Exchanged { outcome, load, response, connection } =
                http.clone().attempt(target, reused, forward, meter).await;
            // Back before the outcome is told: else the call that it lets go would open another.
            if let Some(connection) = connection {
                http.0.borrow_mut().put_idle(&target, connection);
            }
            AttemptResult { outcome, load, response }
        }
    }

    /// Closes connections that have stood idle for nearly as long as hosts keep them.
    fn sweep(&self) {
        let pools = &mut *self.0.borrow_mut();
        pools.reuse.decay();
        pools.log_shed();
        let (now, max_idle) = (Instant::now(), pools.max_idle);
        pools.hosts.values_mut().for_each(|pool| pool.idle.retain(now, max_idle, |_| true));
    }

    fn stats(&self) -> impl Debug {
        let pools = self.0.borrow();
        let idle: usize = pools.hosts.values().map(|pool| pool.idle.len()).sum();
        let open = Rc::strong_count(&pools.slots) - 1;
        let surplus = pools.surplus.count();
        let Counts { opened, open_failed, broken_reuse } = pools.counts;
        let (requests, responses) = (pools.memory.requests.stats(), pools.memory.responses.stats());
        Figures { open, idle, opened, open_failed, broken_reuse, surplus, requests, responses }
    }
}

/// Connections, as the log shows them.
#[derive(Debug)]
#[expect(dead_code, reason = "read by Debug")]
struct Figures {
    open: usize,
    idle: usize,
    opened: u64,
    open_failed: u64,
    broken_reuse: u64,
    /// Those on which a host has sent bytes without a request.
    surplus: u64,
    /// Memory of requests.
    requests: PoolStats,
    /// Memory of responses.
    responses: PoolStats,
}

impl Pools {
    /// Logs what was shed since the last time, if anything was.
    fn log_shed(&mut self) {
        let Memory { requests, responses } = &self.memory;
        let counts = ShedCounts { requests: requests.stats().shed, responses: responses.stats().shed };
        let before = mem::replace(&mut self.logged_shed, counts);
        if counts != before {
            tracing::info!(
                "no memory: shed {} requests and {} responses in the last second",
                counts.requests - before.requests,
                counts.responses - before.responses
            );
        }
    }

    /// An idle connection that is fit for an attempt.
    fn take_idle(&mut self, target: &AttemptTarget) -> Option<Reused<Connection>> {
        let Pools { hosts, reuse, surplus, max_idle, .. } = self;
        let pool = hosts.get_mut(&target.server)?;
        let now = Instant::now();
        if pool.surplus.is_distrusted(now) {
            return None;
        }
        // Old ones and those closed meanwhile are passed over.
        pool.idle.retain(now, *max_idle, Connection::is_ready);
        // A request that must not go again goes on no connection that may have been dropped without a sign.
        pool.idle
            .take(now, surplus.rest(now), |idle_time| !target.non_idempotent || !reuse.is_stale(idle_time))
    }

    fn put_idle(&mut self, target: &AttemptTarget, connection: Connection) {
        let pool = self.hosts.get_mut(&target.server).filter(|pool| pool.dial == Some(target.address));
        let Some(pool) = pool else { return };
        let now = Instant::now();
        match pool.surplus.is_distrusted(now) {
            true => pool.idle.put_to_listen(now, connection),
            false => pool.idle.put(now, connection),
        }
    }

    /// Where surplus bytes of a host are recorded.
    fn surplus_of(&self, server: ServerId) -> HostSurplus {
        let listed = self.hosts.get(&server).map(|pool| pool.surplus.clone());
        listed.unwrap_or_else(|| self.surplus.of_host())
    }

    /// A place for one more connection to a host; the oldest idle one makes room when there is none.
    fn slot(&mut self) -> Option<Rc<()>> {
        if Rc::strong_count(&self.slots) > self.max_connections {
            let idle = self.hosts.values_mut().map(|pool| &mut pool.idle);
            let oldest =
                idle.filter_map(|idle| Some((idle.oldest_since()?, idle))).min_by_key(|(since, _)| *since);
            oldest?.1.take_oldest();
        }
        Some(self.slots.clone())
    }
}
