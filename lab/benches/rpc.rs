//! The plug-in beside the daemon and beside a bare tonic channel: `cargo bench -p flaxhead-lab --bench rpc`, with
//! nothing else running (`-- runs-only` or `-- channel-only` for a half); the figures stand in docs/performance.md.

#[path = "../tests/plugin/plain.rs"]
mod plain;

use flaxhead_lab::experiment::Experiment;
use flaxhead_lab::figures::Figures;
use flaxhead_lab::load::sender::{Live, Mode};
use flaxhead_lab::proxy::Program;
use flaxhead_lab::run::{run, Options, Through};
use flaxhead_lab::stand_in::{Act, Host, Manner};
use flaxhead_rpc::{Health, Hosts, List, Plugin, ServiceConfig};
use hdrhistogram::Histogram;
use plain::Plain;
use serde_json::json;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tonic::transport::Endpoint;
use tonic::Status;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn folder(name: &str) -> PathBuf {
    [env!("CARGO_TARGET_TMPDIR"), name].iter().collect()
}

fn play(of: &Experiment, seed: u64, program: &Program) -> Figures {
    let options = Options {
        proxies: Through::Program(program.clone()),
        trace: None,
        folder: folder("rpc"),
        mode: Mode::Open,
    };
    run(of, seed, options, &Arc::<Live>::default()).expect("it runs").figures
}

fn line(what: &str, of: &Figures) {
    let classes: Vec<String> = of.classes.iter().map(|c| format!("{} {:.4}", c.name, c.service)).collect();
    println!(
        "{what:<26} service {:.4} ({})  attempts {:.4}  breaches {}  p50 {:.2} p99 {:.2} ms  lateness p99 {:.2} ms",
        of.service,
        classes.join(", "),
        of.attempts,
        of.verdict.breaches.len(),
        of.latency.p50,
        of.latency.p99,
        of.lateness.p99
    );
}

/// The same schedule through each, seed by seed.
fn beside_the_daemon() {
    let lab: PathBuf = env!("CARGO_BIN_EXE_flaxhead-lab").into();
    let (daemon, host) = (Program::own(lab.clone()), Program::host(lab));
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/rpc.toml");
    let experiment = Experiment::load(&file).expect("an experiment");
    println!("the same requests and faults through the daemon and through the plug-in, {}", file.display());
    for seed in 1..=5 {
        line(&format!("seed {seed}, daemon"), &play(&experiment, seed, &daemon));
        line(&format!("seed {seed}, plug-in"), &play(&experiment, seed, &host));
    }
    println!("an outage in which most requests fail, with and without the retry budget");
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/rpc-outage.toml");
    let mut outage = Experiment::load(&file).expect("an experiment");
    let tight = json!({"retryBudget": {"share": 0.1, "perSecond": 1, "most": 10}});
    let budgets = [("without", json!({"retryBudget": false})), ("by default", json!({})), ("tight", tight)];
    for (what, own) in budgets {
        let own_file = folder(&format!("{what}.json"));
        fs::write(&own_file, own.to_string()).expect("written");
        outage.proxies.own_file = Some(own_file.display().to_string());
        line(&format!("budget: {what}"), &play(&outage, 1, &host));
    }
}

/// Hosts in a process of their own, so that only the client is measured in this one.
struct Server(Child, Vec<SocketAddr>);

impl Server {
    fn start() -> Server {
        let program = std::env::current_exe().expect("this program");
        let mut child = Command::new(program)
            .arg("serve-hosts")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("it starts");
        let lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let addresses =
            lines.take(4).map(|line| line.expect("a line").parse().expect("an address")).collect();
        Server(child, addresses)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn serve_hosts() {
    let hosts: Vec<Host> =
        (0..4).map(|_| Host::start(Manner::new(|_, _| Act::Answer).streams(100)).expect("a host")).collect();
    hosts.iter().for_each(|host| println!("{}", host.address));
    let _ = std::io::stdin().read_to_end(&mut Vec::new());
}

/// Processor time of this process, in seconds.
fn cpu() -> f64 {
    let usage = nix::sys::resource::getrusage(nix::sys::resource::UsageWho::RUSAGE_SELF).expect("usage");
    let seconds = |t: nix::sys::time::TimeVal| t.tv_sec() as f64 + t.tv_usec() as f64 / 1e6;
    seconds(usage.user_time()) + seconds(usage.system_time())
}

/// So many calls a second on a channel, sent at their times: latency from the intended time, in microseconds.
async fn calls<S>(what: &str, channel: S, rate: u32, seconds: u32)
where
    S: tonic::client::GrpcService<tonic::body::Body> + Clone + Send + 'static,
    S::Future: Send,
    S::ResponseBody: http_body::Body<Data = bytes::Bytes> + Send + 'static,
    <S::ResponseBody as http_body::Body>::Error: Into<Box<dyn std::error::Error + Send + Sync>> + Send,
{
    let one = |n: u32| {
        let channel = channel.clone();
        async move {
            let mut client = tonic::client::Grpc::new(channel);
            client.ready().await.map_err(|error| Status::internal(error.into().to_string()))?;
            let mut request = tonic::Request::new(vec![7; 200]);
            request.metadata_mut().insert("x-call-id", n.to_string().parse().expect("a value"));
            client.unary(request, "/lesto.Payments/Balance".parse().expect("a path"), Plain).await
        }
    };
    for n in 0..2_000 {
        one(n).await.expect("served");
    }
    let (mut latencies, mut failed) = (Histogram::<u64>::new(3).expect("bounds"), 0);
    for n in 0..5_000 {
        let began = Instant::now();
        one(2_000_000 + n).await.expect("served");
        latencies.saturating_record(began.elapsed().as_micros() as u64);
    }
    let [p50, p99] = [0.5, 0.99].map(|q| latencies.value_at_quantile(q));
    println!("{what:<24} one after the other  p50 {p50:>5} p99 {p99:>6} us");
    latencies.reset();
    let (began, before, region) = (Instant::now(), cpu(), Region::new(ALLOCATOR));
    let mut out = tokio::task::JoinSet::new();
    let count = rate * seconds;
    for n in 0..count {
        let due = began + Duration::from_secs(1) * n / rate;
        tokio::time::sleep_until(due.into()).await;
        let call = one(2_000 + n);
        out.spawn(async move {
            let served = call.await.is_ok();
            (served, due.elapsed())
        });
        while let Some(done) = out.try_join_next() {
            let (served, after) = done.expect("no panic");
            failed += u32::from(!served);
            latencies.saturating_record(after.as_micros() as u64);
        }
    }
    while let Some(done) = out.join_next().await {
        let (served, after) = done.expect("no panic");
        failed += u32::from(!served);
        latencies.saturating_record(after.as_micros() as u64);
    }
    let (stats, used) = (region.change(), cpu() - before);
    println!(
        "{what:<24} {rate:>6} a second  p50 {:>5} p99 {:>6} p99.9 {:>6} us  {:>5.1} allocations  {:>5.1} us of CPU a call  {failed} failed",
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        latencies.value_at_quantile(0.999),
        stats.allocations as f64 / f64::from(count),
        used * 1e6 / f64::from(count),
    );
}

fn beside_a_bare_channel() {
    println!("a bare tonic channel over four hosts, and the plug-in over the same");
    let server = Server::start();
    let class = json!({"name": "balance", "objective_us": 500_000, "deadline_us": 2_000_000, "worth": 1.0,
        "late_value": 0.5, "idempotency": "free"});
    let settings = json!({"balancers": 1, "me": 0, "discovery": "push", "tick_us": 1_000, "classes": [class],
        "limits": {"cancel": true, "max_attempts": 3, "max_retry_after_us": 1_000_000},
        "invariants": {"cold_from": 0.5, "cold_us": 1_000_000}});
    let config = json!({"methodConfig": [{"name": [{}], "class": "balance"}],
        "connectionScaling": {"maxConnectionsPerSubchannel": 4}, "flaxhead": {"settings": settings}});
    let entry = |(n, dial): (usize, &SocketAddr)| flaxhead_rpc::Host {
        host: format!("s-{n}"),
        dial: *dial,
        site: String::new(),
        block: 0,
        health: Health::Ready,
        class: String::new(),
        share: 1.0,
        born_ms: 0,
    };
    let list = List { seq: 1, whole: true, hosts: server.1.iter().enumerate().map(entry).collect() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for rate in [500, 2_000, 8_000] {
        runtime.block_on(async {
            let ends =
                server.1.iter().map(|at| Endpoint::from_shared(format!("http://{at}")).expect("a URI"));
            let bare = tonic::transport::Channel::balance_list(ends);
            calls("bare tonic channel", bare, rate, 4).await;
            let config = ServiceConfig::parse(&config.to_string()).expect("a config");
            let plugin = Plugin::start(config, Hosts::Fixed(list.clone()), 7).expect("it starts");
            calls("plug-in", plugin.channel(), rate, 4).await;
        });
    }
}

fn main() {
    if std::env::args().any(|argument| argument == "serve-hosts") {
        return serve_hosts();
    }
    if std::env::args().all(|argument| argument != "runs-only") {
        beside_a_bare_channel();
    }
    if std::env::args().all(|argument| argument != "channel-only") {
        beside_the_daemon();
    }
}
