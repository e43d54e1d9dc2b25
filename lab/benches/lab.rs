//! What the load generator holds, what a load that waits for answers hides, and what the proxy adds.
//! `cargo bench -p flaxhead-lab`, with nothing else running; the figures stand in docs/performance.md.

use flaxhead_lab::experiment::Experiment;
use flaxhead_lab::figures::Figures;
use flaxhead_lab::load::sender::{Live, Mode};
use flaxhead_lab::proxy::{pin_this, Program};
use flaxhead_lab::run::{run, Options, Through};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;

/// Many equal, quick nodes: the fleet is never what is measured.
fn experiment(rate: f64, seconds: f64, more: &str) -> Experiment {
    let text = format!(
        "name = \"bench\"\nseconds = {seconds}\nclients = {{ retries = 0, patience = 1.0, connections = 4096 }}\n\
         fleet = {{ nodes = [{{ count = 8, cores = 64.0, slots = 4096, queue = 4096, crowd = 9999, connections = 4096, handshake_ms = 0.0 }}] }}\n\
         {more}\n[[class]]\nname = \"balance\"\nshare = 1\nwork_ms = 0.01\naim_ms = 2000\ngives_up_ms = 5000\nworth = 1\nrepeat = \"free\"\n\
         [[load]]\nshape = \"steady\"\nrate = {rate}\n"
    );
    Experiment::parse(&text, "bench").unwrap_or_else(|problem| panic!("{problem}"))
}

fn play(of: &Experiment, proxies: Through, mode: Mode) -> Figures {
    let folder: PathBuf = [env!("CARGO_TARGET_TMPDIR"), "bench"].iter().collect();
    let options = Options { proxies, trace: None, folder, mode };
    run(of, 1, options, &Arc::<Live>::default()).expect("it runs").figures
}

/// A server that answers every read with the same bytes, on processors of its own.
fn trivial() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        pin_this(&[2, 3]).expect("processors");
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let (mut stream, mut buffer) = (stream, [0; 4_096]);
                while stream.read(&mut buffer).is_ok_and(|count| count > 0) {
                    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// The first node of the list, for a load without a proxy.
fn direct() -> Through {
    Through::Own(Box::new(|discovery| {
        let mut stream = TcpStream::connect(discovery[0]).expect("discovery");
        stream.write_all(b"GET /catalog/members HTTP/1.1\r\n\r\n").expect("written");
        let mut text = String::new();
        let mut buffer = [0; 16_384];
        while !text.ends_with("}]}") && !text.ends_with("true}") {
            let count = stream.read(&mut buffer).expect("a list");
            text += &String::from_utf8_lossy(&buffer[..count]);
        }
        let dial = text.split("\"dial\":\"").nth(1).and_then(|rest| rest.split('"').next()).expect("a node");
        vec![dial.parse().expect("an address")]
    }))
}

fn daemon() -> Through {
    Through::Program(Program::own(env!("CARGO_BIN_EXE_flaxhead-lab").into()))
}

fn line(what: &str, of: &Figures) {
    let (l, s) = (of.latency, of.lateness);
    println!(
        "{what:<34} {:>8} requests  p50 {:>8.3}  p99 {:>8.3}  p99.9 {:>8.3}  max {:>9.3} ms  lateness p99 {:>7.3} ms  served {:.4}",
        of.requests, l.p50, l.p99, l.p999, l.max, s.p99, of.service
    );
}

fn main() {
    println!("the generator on two processors against a trivial server on two others");
    pin_this(&[0, 1]).expect("processors");
    for rate in [1_000, 2_000, 5_000, 10_000, 15_000, 20_000, 30_000, 40_000] {
        let server = trivial();
        let figures = play(
            &experiment(f64::from(rate), 4.0, ""),
            Through::Own(Box::new(move |_| vec![server])),
            Mode::Open,
        );
        line(&format!("open loop, {rate} a second"), &figures);
    }
    println!("a node's pause of 2 s, open and closed loop");
    pin_this(&[0, 1, 2, 3]).expect("processors");
    let pause = "[[fault]]\nat = 2\nfor = 2\nkind = \"pause\"\nnodes = [0]\n";
    let paused = experiment(100.0, 6.0, pause);
    line("open loop", &play(&paused, direct(), Mode::Open));
    line("closed loop, 4 clients", &play(&paused, direct(), Mode::Closed(4)));
    println!("what the proxy adds, itself on one processor");
    let pinned = "[proxies]\nprocessors = [3]\n";
    pin_this(&[0, 1, 2]).expect("processors");
    for rate in [100, 1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 8_000, 10_000] {
        let plain = experiment(f64::from(rate), 4.0, "");
        let through = experiment(f64::from(rate), 4.0, pinned);
        line(&format!("direct, {rate} a second"), &play(&plain, direct(), Mode::Open));
        let figures = play(&through, daemon(), Mode::Open);
        line(&format!("through the proxy, {rate} a second"), &figures);
        let cpu = figures.proxies.first().map_or(0.0, |usage| usage.cpu_s);
        println!("{:<34} {:.1} us of CPU a request", "", cpu * 1e6 / figures.requests as f64);
    }
}
