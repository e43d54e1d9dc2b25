//! An application that has the plug-in loaded: it takes its calls over HTTP/1.1, as the daemon does, and makes them over
//! gRPC. So the same load, faults, ledgers and audit fit both.

use flaxhead_rpc::{Answer, Channel, Code, Hosts, List, Plugin, Pushback, Request, ServiceConfig};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use serde_json::{json, Value};
use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// The service of the stand-in nodes.
pub const SERVICE: &str = "lab.Fleet";
/// How long new connections are still taken after the order to stop, and open calls are waited for after that.
const STOP_DELAY: Duration = Duration::from_millis(500);
const STOP_MOST: Duration = Duration::from_secs(3);
/// Most bytes of a request.
const BODY_MOST: usize = 64 << 10;

/// Serves what `ROUTER_CONFIG` names until SIGTERM. `own` is a file of JSON whose fields stand under `flaxhead` in the
/// service config.
pub fn main(own: Option<&Path>) -> Result<(), Box<dyn Error>> {
    let path = std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
    let told: Value = serde_json::from_slice(&std::fs::read(path)?)?;
    let own: Value = match own {
        None => json!({}),
        Some(file) => serde_json::from_slice(&std::fs::read(file)?)?,
    };
    let word = |key: &str| told[key].as_str().unwrap_or_default();
    let (listen, discovery): (SocketAddr, SocketAddr) = (word("listen").parse()?, word("discovery").parse()?);
    let seed = u64::from_str_radix(word("seed"), 16)?;
    let known: Option<List> = serde_json::from_value(told["known"].clone())?;
    let config = ServiceConfig::parse(&service_config(&told["settings"], &own).to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let plugin = Plugin::start(config, Hosts::Discovery { address: discovery, known }, seed)?;
    LocalSet::new().block_on(&runtime, serve(listen, plugin.channel()))?;
    plugin.close(STOP_MOST);
    Ok(())
}

/// A service config for a site's settings: a method for each class.
pub fn service_config(settings: &Value, own: &Value) -> Value {
    let names = settings["classes"].as_array().into_iter().flatten().map(|class| class["name"].clone());
    let method = |name: Value| json!({"name": [{"service": SERVICE, "method": name}], "class": name});
    let connect_ms = settings["limits"]["connect_timeout_us"].as_f64().unwrap_or(250_000.0) / 1e6;
    let mut flaxhead = json!({"settings": settings, "connectTimeout": format!("{connect_ms}s")});
    for (key, value) in own.as_object().into_iter().flatten() {
        flaxhead[key] = value.clone();
    }
    json!({
        "methodConfig": names.map(method).collect::<Vec<_>>(),
        "connectionScaling": {"maxConnectionsPerSubchannel": 4},
        "flaxhead": flaxhead,
    })
}

async fn serve(listen: SocketAddr, channel: Channel) -> Result<(), Box<dyn Error>> {
    let listener = TcpListener::bind(listen).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let graceful = GracefulShutdown::new();
    let mut stop = std::pin::pin!(async {
        terminate.recv().await;
        sleep(STOP_DELAY).await;
    });
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    sleep(Duration::from_millis(10)).await;
                    continue;
                }
            },
            () = &mut stop => break,
        };
        // What cannot be set costs time, not correctness.
        let _ = stream.set_nodelay(true);
        let channel = channel.clone();
        let service = service_fn(move |request| {
            let channel = channel.clone();
            async move { Ok::<_, Infallible>(answer(&channel, request).await) }
        });
        let connection =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        spawn_local(async move {
            // A client that goes is the sender's matter.
            let _ = connection.await;
        });
    }
    drop(listener);
    let _ = timeout(STOP_MOST, graceful.shutdown()).await;
    Ok(())
}

async fn answer(channel: &Channel, request: hyper::Request<Incoming>) -> Response<Full<Bytes>> {
    let plain = |status: StatusCode| {
        let mut answer = Response::new(Full::default());
        *answer.status_mut() = status;
        answer
    };
    if request.uri().path() != "/api" {
        let health = request.uri().path() == "/_health";
        return plain(if health { StatusCode::OK } else { StatusCode::NOT_FOUND });
    }
    let (head, body) = request.into_parts();
    if Limited::new(body, BODY_MOST).collect().await.is_err() {
        return plain(StatusCode::BAD_REQUEST);
    }
    let field = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let (Some(class), Some(budget)) =
        (field("x-call-class"), field("x-budget-ms").and_then(|ms| ms.parse().ok()))
    else {
        return plain(StatusCode::BAD_REQUEST);
    };
    let mut call = Request {
        path: format!("/{SERVICE}/{class}"),
        message: head
            .uri
            .path_and_query()
            .map(|target| target.as_str().as_bytes().to_vec())
            .unwrap_or_default(),
        timeout: Some(Duration::from_millis(budget)),
        ..Request::default()
    };
    for name in ["x-call-id", "idempotency-key", "x-caller"].map(HeaderName::from_static) {
        if let Some(value) = head.headers.get(&name) {
            call.metadata.insert(name, value.clone());
        }
    }
    respond(&channel.request(call).await)
}

/// What the daemon would say.
fn respond(answer: &Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    let never_ran =
        answer.field(&HeaderName::from_static("flaxhead-outcome")).is_some_and(|v| v == "never-ran");
    match answer.code() {
        Some(Code::Ok) => {
            let body = answer.messages().and_then(|mut messages| messages.pop()).unwrap_or_default();
            *response.body_mut() = Full::new(body);
        }
        _ if never_ran => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            if let Pushback::After(after) = answer.pushback() {
                let seconds = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64()));
                response.headers_mut().extend(seconds.ok().map(|s| (hyper::header::RETRY_AFTER, s)));
            }
        }
        _ => *response.status_mut() = StatusCode::BAD_GATEWAY,
    }
    response
}
