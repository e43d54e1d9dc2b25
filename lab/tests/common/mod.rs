//! Runs of small experiments, and proxies that do wrong on purpose.
#![allow(dead_code)]

use flaxhead_lab::experiment::Experiment;
use flaxhead_lab::load::sender::{Live, Mode};
use flaxhead_lab::proxy::Program;
use flaxhead_lab::run::{run, Done, Options, Through};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// One class of requests that wait long, and what a test adds.
pub fn experiment(seconds: f64, rate: f64, more: &str) -> Experiment {
    let text = format!(
        "name = \"test\"\nseconds = {seconds}\n\
         clients = {{ retries = 0, patience = 1.0, late_ms = 100.0 }}\n{more}\n\
         [[load]]\nshape = \"steady\"\nrate = {rate}\n"
    );
    Experiment::parse(&text, "test.toml").unwrap_or_else(|problem| panic!("{problem}\n{text}"))
}

/// A class whose clients wait 8 s, so that a pause is survived.
pub fn class(name: &str, repeat: &str) -> String {
    format!(
        "[[class]]\nname = \"{name}\"\nshare = 1\nwork_ms = 4\naim_ms = 4000\ngives_up_ms = 8000\nworth = 1\n\
         repeat = \"{repeat}\"\n"
    )
}

/// A fault, by its lines.
pub fn fault(text: &str) -> String {
    format!("[[fault]]\n{text}\n")
}

pub fn own() -> Through {
    Through::Program(Program::own(env!("CARGO_BIN_EXE_flaxhead-lab").into()))
}

pub fn play_as(experiment: &Experiment, proxies: Through, mode: Mode) -> Done {
    let folder = tempfile::tempdir().expect("a folder");
    let options = Options { proxies, trace: None, folder: folder.path().into(), mode };
    run(experiment, experiment.seed, options, &Arc::<Live>::default()).expect("it runs")
}

pub fn play(experiment: &Experiment) -> Done {
    play_as(experiment, own(), Mode::Open)
}

/// A request as it came, its head and its body.
pub fn read_request(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let (mut bytes, mut length) = (Vec::new(), 0);
    loop {
        let start = bytes.len();
        if reader.read_until(b'\n', &mut bytes).ok()? == 0 {
            return None;
        }
        let line = String::from_utf8_lossy(&bytes[start..]).to_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some([bytes, body].concat())
}

pub fn answer(status: u16, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} as told\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Sends a request to a node and reads its whole answer.
pub fn pass_on(node: SocketAddr, request: &[u8]) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(node).ok()?;
    stream.write_all(request).ok()?;
    read_request(&mut BufReader::new(stream))
}

/// A proxy that does with each request what a test says; it is given the nodes that discovery names.
pub fn scripted(act: impl Fn(&[u8], &[SocketAddr]) -> Vec<u8> + Send + Sync + 'static) -> Through {
    let act = Arc::new(act);
    Through::Own(Box::new(move |discovery| {
        let start = |discovery: &SocketAddr| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            let list = pass_on(*discovery, b"GET /catalog/members HTTP/1.1\r\n\r\n").expect("a list");
            let body = list.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
            let list: serde_json::Value = serde_json::from_slice(&list[body..]).expect("JSON");
            let dials = list["hosts"].as_array().expect("hosts").iter();
            let nodes: Vec<SocketAddr> = dials
                .map(|host| host["dial"].as_str().and_then(|d| d.parse().ok()).expect("an address"))
                .collect();
            let act = act.clone();
            // Ends with the test's process.
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (act, nodes) = (act.clone(), nodes.clone());
                    thread::spawn(move || {
                        let mut reader = BufReader::new(&stream);
                        while let Some(request) = read_request(&mut reader) {
                            if (&stream).write_all(&act(&request, &nodes)).is_err() {
                                return;
                            }
                        }
                    });
                }
            });
            address
        };
        discovery.iter().map(start).collect()
    }))
}

/// A watch on discovery, so that its news count as told.
pub fn follow(discovery: SocketAddr) {
    thread::spawn(move || {
        let mut stream = TcpStream::connect(discovery).expect("discovery");
        let request = b"GET /catalog/members?follow=1 HTTP/1.1\r\n\r\n";
        stream.write_all(request).expect("written");
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a limit");
        let mut rest = [0; 4_096];
        while stream.read(&mut rest).is_ok_and(|count| count > 0) {}
    });
}
