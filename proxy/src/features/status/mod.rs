//! The status page: which hosts were failing and with what, and the load of each class. It is made anew now and
//! then, off the request path, and served from a side port as it was last made.

use super::bounds::{port, within};
use super::quota::{Quota, QuotaStatus};
use super::sections::{Problem, Section};
use crate::http::{Engine, Http};
use crate::maintenance_command::COMMIT_TIMEOUT;
use flaxhead_engine::{EngineEvent, EngineView, Health, Observer};
use flaxhead_maintenance::Command;
use flaxhead_maintenance_driver::MaintenanceService;
use flaxhead_peers::Peers;
use flaxhead_policy::{ClassId, Outcome, ServerId};
use html_escape::encode_safe;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Connections to the page at once; more wait to be accepted.
const READERS: usize = 8;
/// How long one may last: a reader that takes longer is cut off.
const READER_TIME: Duration = Duration::from_secs(5);
/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Longest order that is read, in bytes.
const ORDER_MOST: usize = 4_096;
/// Errors that are kept of a host.
const ERRORS: usize = 3;

/// What `[status]` holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Port of the page, on the host that the proxy listens on; `None`: there is none.
    pub listen_port: Option<u16>,
    /// How often the page is made anew.
    pub refresh: Duration,
}

impl Settings {
    /// Takes them from the section.
    pub fn read(section: &mut Section) -> Result<Settings, Problem> {
        let listen_port = section.take_if("listen_port", port)?;
        let refresh = section.take_if("refresh_ms", within::<u64>(10, 3_600_000))?.unwrap_or(1_000);
        Ok(Settings { listen_port, refresh: Duration::from_millis(refresh) })
    }
}

/// What is noted for the page as it happens.
#[derive(Debug, Default)]
pub struct Board {
    errors: HashMap<ServerId, VecDeque<&'static str>>,
    /// Requests so far, by class.
    asked: Vec<u64>,
}

impl Board {
    fn asked(&mut self, ClassId(class): ClassId) {
        if self.asked.len() <= class {
            self.asked.resize(class + 1, 0);
        }
        self.asked[class] += 1;
    }

    fn ended(&mut self, server: ServerId, outcome: Outcome) {
        if let Some(word) = outcome.error_word() {
            let errors = self.errors.entry(server).or_default();
            errors.truncate(ERRORS - 1);
            errors.push_front(word);
        }
    }

    /// The last errors of a host, the latest last.
    fn errors(&self, server: ServerId) -> Vec<&'static str> {
        self.errors.get(&server).into_iter().flatten().rev().copied().collect()
    }
}

/// The board, as the engine notes on it and the page reads it.
#[derive(Clone, Debug, Default)]
pub struct Shared(Rc<RefCell<Board>>);

impl Observer<Http> for Shared {
    fn observe(&mut self, note: &EngineEvent<'_, Http>, _: &EngineView<'_, Http>) {
        let mut board = self.0.borrow_mut();
        match *note {
            // The front has checked the class.
            EngineEvent::CallReceived { class, .. } => board.asked(class),
            EngineEvent::AttemptEnded { server, outcome } => board.ended(server, outcome),
            EngineEvent::HealthChanged { server, health: Health::Gone, .. } => {
                drop(board.errors.remove(&server))
            }
            _ => {}
        }
    }
}

/// A host, as the page shows it.
#[derive(Debug, Serialize)]
pub struct HostRow {
    /// Its name.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// What discovery says of it.
    pub health: Health,
    /// Its last errors in the platform's words, the latest last.
    pub last_errors: Vec<&'static str>,
}

/// The load of a class, as the page shows it.
#[derive(Debug, Serialize)]
pub struct LoadRow {
    /// Its name.
    pub class: String,
    /// Calls that wait for their answer.
    pub in_hand: usize,
    /// Requests since the start.
    pub requests: u64,
    /// Requests a second, since the page was last made.
    pub per_second: f64,
}

/// All that the page shows.
#[derive(Debug, Serialize)]
pub struct Snapshot {
    /// The program's version.
    pub version: &'static str,
    /// Whole seconds since the start.
    pub uptime_s: u64,
    /// By name.
    pub hosts: Vec<HostRow>,
    /// In the order of the settings.
    pub load: Vec<LoadRow>,
    /// The tenants, where they share.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shares: Option<QuotaStatus>,
}

/// What the page shows beside the engine, where it is on.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// The membership.
    pub peers: Option<Peers>,
    /// Hosts taken out for work.
    pub work: Option<MaintenanceService>,
    /// Connection capacity that tenants share.
    pub shares: Option<Quota>,
}

impl Snapshot {
    /// What there is to show now, of classes with these names.
    fn new(engine: &Engine, Shared(board): &Shared, classes: &[String]) -> Snapshot {
        let board = board.borrow();
        engine.view(|view| {
            let host = |host: flaxhead_engine::HostView| HostRow {
                host: host.name.to_owned(),
                dial: host.dial,
                health: host.health,
                last_errors: board.errors(host.server),
            };
            let mut hosts: Vec<HostRow> = view.hosts().map(host).collect();
            hosts.sort_by(|a, b| a.host.cmp(&b.host));
            let load = classes.iter().enumerate().map(|(class, name)| LoadRow {
                class: name.clone(),
                in_hand: view.calls().filter(|call| call.waits && call.class.0 == class).count(),
                requests: board.asked.get(class).copied().unwrap_or(0),
                per_second: 0.0,
            });
            let (version, uptime_s) = (env!("CARGO_PKG_VERSION"), view.uptime().as_secs());
            Snapshot { version, uptime_s, hosts, load: load.collect(), shares: None }
        })
    }

    fn html(&self) -> String {
        let mut page = format!(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>flaxhead</title></head><body>\n\
             <h1>flaxhead</h1>\n<p>Version {}, up {} s</p>\n\
             <table><tr><th>host</th><th>dial</th><th>health</th><th>last errors</th></tr>\n",
            self.version, self.uptime_s
        );
        // Writing to a string cannot fail.
        for HostRow { host, dial, health, last_errors } in &self.hosts {
            let (host, errors) = (encode_safe(host), last_errors.join(", "));
            let _ =
                writeln!(page, "<tr><td>{host}</td><td>{dial}</td><td>{health:?}</td><td>{errors}</td></tr>");
        }
        page +=
            "</table>\n<table><tr><th>class</th><th>in hand</th><th>requests</th><th>per second</th></tr>\n";
        for LoadRow { class, in_hand, requests, per_second } in &self.load {
            let class = encode_safe(class);
            let _ = writeln!(
                page,
                "<tr><td>{class}</td><td>{in_hand}</td><td>{requests}</td><td>{per_second:.1}</td></tr>"
            );
        }
        page += "</table>\n";
        page += &self.shares.as_ref().map_or_else(String::new, QuotaStatus::html);
        page + "</body></html>\n"
    }
}

/// The page in both forms.
#[derive(Debug, Default)]
struct Rendered {
    html: Bytes,
    json: Bytes,
}

impl Rendered {
    fn new(snapshot: &Snapshot) -> Rendered {
        let json = serde_json::to_vec(snapshot).unwrap_or_default();
        Rendered { html: snapshot.html().into(), json: json.into() }
    }
}

/// The page's port, open.
#[derive(Debug)]
pub struct Page {
    listener: TcpListener,
    refresh: Duration,
}

impl Page {
    /// Descriptors that it needs at the most.
    pub const DESCRIPTORS: usize = READERS + 1;

    /// Serves on a listener.
    pub fn new(listener: TcpListener, refresh: Duration) -> Page {
        Page { listener, refresh }
    }

    /// Serves the page until it is dropped.
    pub async fn serve(self, engine: Engine, board: Shared, classes: Vec<String>, sources: Sources) {
        let latest = Rc::new(RefCell::new(Rendered::default()));
        let refresh = async {
            let mut before: Vec<u64> = Vec::new();
            loop {
                let mut snapshot = Snapshot::new(&engine, &board, &classes);
                for (place, row) in snapshot.load.iter_mut().enumerate() {
                    let new = row.requests - before.get(place).copied().unwrap_or(0);
                    row.per_second = new as f64 / self.refresh.as_secs_f64();
                }
                before = snapshot.load.iter().map(|row| row.requests).collect();
                snapshot.shares = sources.shares.as_ref().map(Quota::status);
                latest.replace(Rendered::new(&snapshot));
                sleep(self.refresh).await;
            }
        };
        tokio::join!(refresh, accept(&self.listener, &latest, &sources));
    }
}

async fn accept(listener: &TcpListener, latest: &Rc<RefCell<Rendered>>, sources: &Sources) {
    let places = Arc::new(Semaphore::new(READERS));
    // An order is answered once it is on record.
    let most = READER_TIME + sources.work.as_ref().map_or(Duration::ZERO, |_| COMMIT_TIMEOUT);
    while let Ok(place) = places.clone().acquire_owned().await {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::info!("status: accept: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (latest, sources) = (latest.clone(), sources.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let (latest, sources) = (latest.clone(), sources.clone());
            async move {
                let answer = match sources.work.as_ref().filter(|_| request.uri().path() == "/work.json") {
                    Some(work) => turns(request, work).await,
                    None => answer(&request, &latest.borrow(), &sources),
                };
                Ok::<_, Infallible>(answer)
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        spawn_local(async move {
            // A reader that goes, or is too slow, is nobody's loss.
            let _ = timeout(most, connection).await;
            drop(place);
        });
    }
}

fn answer(request: &Request<Incoming>, latest: &Rendered, sources: &Sources) -> Response<Full<Bytes>> {
    let Sources { peers, shares, .. } = sources;
    let (body, kind) = match (request.uri().path(), peers, shares) {
        ("/status", ..) => (latest.html.clone(), "text/html; charset=utf-8"),
        ("/status.json", ..) => (latest.json.clone(), "application/json"),
        // Made as it is asked for: who asks wants to know how it is now.
        ("/members.json", Some(peers), _) => {
            let shown = serde_json::to_vec(&peers.view()).unwrap_or_default();
            (shown.into(), "application/json")
        }
        ("/shares.json", _, Some(shares)) => {
            let shown = serde_json::to_vec(&shares.status()).unwrap_or_default();
            (shown.into(), "application/json")
        }
        _ => return plain(StatusCode::NOT_FOUND),
    };
    if request.method() != Method::GET {
        let mut answer = plain(StatusCode::METHOD_NOT_ALLOWED);
        answer.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET"));
        return answer;
    }
    shown(body, kind)
}

/// Shows the turns, or takes an order on them.
async fn turns(request: Request<Incoming>, work: &MaintenanceService) -> Response<Full<Bytes>> {
    let body = match *request.method() {
        Method::GET => serde_json::to_vec(&work.view()),
        Method::POST => {
            let whole = timeout(READER_TIME, Limited::new(request.into_body(), ORDER_MOST).collect()).await;
            let Ok(Ok(whole)) = whole else { return plain(StatusCode::PAYLOAD_TOO_LARGE) };
            match serde_json::from_slice::<Command>(&whole.to_bytes()) {
                Ok(order) => serde_json::to_vec(&work.submit(order, COMMIT_TIMEOUT).await),
                Err(error) => {
                    let mut answer = Response::new(Full::from(error.to_string()));
                    *answer.status_mut() = StatusCode::BAD_REQUEST;
                    return answer;
                }
            }
        }
        _ => {
            let mut answer = plain(StatusCode::METHOD_NOT_ALLOWED);
            answer.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, POST"));
            return answer;
        }
    };
    shown(body.unwrap_or_default().into(), "application/json")
}

fn shown(body: Bytes, kind: &'static str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body));
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    answer
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

#[cfg(test)]
mod tests;
