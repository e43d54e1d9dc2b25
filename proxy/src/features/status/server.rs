//! The server of the side port: the status page, what other features show, and operators' commands.

use super::super::quota::Quota;
use super::records::StatusRecorder;
use super::view::{RenderedPage, StatusView};
use crate::http::Engine;
use crate::maintenance_command::COMMIT_TIMEOUT;
use crate::memory::{collect, MemoryPool, Reserve, WhenFull};
use flaxhead_maintenance::Command;
use flaxhead_maintenance_driver::MaintenanceService;
use flaxhead_peers::Peers;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Most connections at once; more wait to be accepted.
const MAX_CONNECTIONS: usize = 8;
/// How long a connection may last, without the time that a command takes to be committed.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failure to accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Most bytes of a request's head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Most bytes of a command.
const MAX_COMMAND_BYTES: usize = 4_096;

const HTML: &str = "text/html; charset=utf-8";
const JSON: &str = "application/json";

type SideResponse = Response<Full<Bytes>>;

/// What the side port shows beside the engine, where it is on.
#[derive(Clone, Debug, Default)]
pub struct StatusSources {
    /// The membership of the client proxies.
    pub peers: Option<Peers>,
    /// Maintenance of hosts.
    pub maintenance: Option<MaintenanceService>,
    /// The tenants' quotas.
    pub quota: Option<Quota>,
}

/// What connections are served from: the page as it was last rendered, and the sources of the rest.
#[derive(Clone)]
struct Shared {
    latest: Rc<RefCell<RenderedPage>>,
    sources: StatusSources,
}

/// The side port, open.
#[derive(Debug)]
pub struct StatusServer {
    listener: TcpListener,
    refresh: Duration,
}

impl StatusServer {
    /// Most descriptors that it needs.
    pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 1;

    /// Serves on a listener, and renders the page this often.
    pub fn new(listener: TcpListener, refresh: Duration) -> StatusServer {
        StatusServer { listener, refresh }
    }

    /// Serves until it is dropped.
    pub async fn serve(
        self,
        engine: Engine,
        recorder: StatusRecorder,
        classes: Vec<String>,
        sources: StatusSources,
    ) {
        let shared = Shared { latest: Rc::default(), sources };
        let render = self.render(&engine, &recorder, &classes, &shared);
        tokio::join!(render, accept(&self.listener, &shared));
    }

    /// Renders the page again and again.
    async fn render(&self, engine: &Engine, recorder: &StatusRecorder, classes: &[String], shared: &Shared) {
        let mut requests_before: Vec<u64> = Vec::new();
        loop {
            let mut view = StatusView::new(engine, recorder, classes);
            for (class, load) in view.load.iter_mut().enumerate() {
                let new = load.requests - requests_before.get(class).copied().unwrap_or(0);
                load.per_second = new as f64 / self.refresh.as_secs_f64();
            }
            requests_before = view.load.iter().map(|load| load.requests).collect();
            view.shares = shared.sources.quota.as_ref().map(Quota::status);
            shared.latest.replace(RenderedPage::new(&view));
            sleep(self.refresh).await;
        }
    }
}

async fn accept(listener: &TcpListener, shared: &Shared) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    while let Ok(permit) = permits.clone().acquire_owned().await {
        match listener.accept().await {
            Ok((stream, _)) => serve_connection(stream, shared.clone(), permit),
            Err(error) => {
                tracing::info!("status: accept: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn serve_connection(stream: TcpStream, shared: Shared, permit: OwnedSemaphorePermit) {
    // A command is answered once it is committed.
    let commit_timeout = shared.sources.maintenance.as_ref().map_or(Duration::ZERO, |_| COMMIT_TIMEOUT);
    let service = service_fn(move |request: Request<Incoming>| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(respond(request, &shared).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    spawn_local(async move {
        // A client that goes, or is too slow, gets no response.
        let _ = timeout(CONNECTION_TIMEOUT + commit_timeout, connection).await;
        drop(permit);
    });
}

async fn respond(request: Request<Incoming>, shared: &Shared) -> SideResponse {
    let Shared { latest, sources } = shared;
    let StatusSources { peers, maintenance, quota } = sources;
    let path = request.uri().path().to_owned();
    // Except for the page, what is shown is as it is now.
    match (path.as_str(), peers, maintenance, quota) {
        ("/work.json", _, Some(maintenance), _) => respond_maintenance(request, maintenance).await,
        ("/status", ..) => get(&request, || content(latest.borrow().html.clone(), HTML)),
        ("/status.json", ..) => get(&request, || content(latest.borrow().json.clone(), JSON)),
        ("/members.json", Some(peers), ..) => get(&request, || json(&peers.view())),
        ("/shares.json", .., Some(quota)) => get(&request, || json(&quota.status())),
        _ => empty(StatusCode::NOT_FOUND),
    }
}

/// Shows the drains, or takes a command on them.
async fn respond_maintenance(request: Request<Incoming>, maintenance: &MaintenanceService) -> SideResponse {
    match *request.method() {
        Method::GET => json(&maintenance.view()),
        Method::POST => {
            let pool = MemoryPool::new(2 * MAX_COMMAND_BYTES, WhenFull::Refuse);
            let body =
                collect(request.into_body(), MAX_COMMAND_BYTES, Reserve::AsItComes, pool.reservation());
            let Ok(Ok(body)) = timeout(CONNECTION_TIMEOUT, body).await else {
                return empty(StatusCode::PAYLOAD_TOO_LARGE);
            };
            match serde_json::from_slice::<Command>(&body) {
                Ok(command) => json(&maintenance.submit(command, COMMIT_TIMEOUT).await),
                Err(error) => {
                    let mut response = Response::new(Full::from(error.to_string()));
                    *response.status_mut() = StatusCode::BAD_REQUEST;
                    response
                }
            }
        }
        _ => method_not_allowed("GET, POST"),
    }
}

fn get(request: &Request<Incoming>, show: impl FnOnce() -> SideResponse) -> SideResponse {
    match *request.method() {
        Method::GET => show(),
        _ => method_not_allowed("GET"),
    }
}

fn json(body: &impl Serialize) -> SideResponse {
    content(serde_json::to_vec(body).unwrap_or_default().into(), JSON)
}

fn content(body: Bytes, content_type: &'static str) -> SideResponse {
    let mut response = Response::new(Full::new(body));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

fn method_not_allowed(allowed: &'static str) -> SideResponse {
    let mut response = empty(StatusCode::METHOD_NOT_ALLOWED);
    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
    response
}

fn empty(status: StatusCode) -> SideResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
