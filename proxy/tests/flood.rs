//! Clients that ask at full speed for what no host works for, with the optional sections on: they do not take the
//! processor from others, and nothing grows.

mod common;

use common::abuse::Answers;
use common::rig::{LimitsOfRun, Rig};
use common::usage::{processor_ticks, resident_bytes, TICKS_PER_SECOND};
use common::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Clients that flood at once.
const CLIENTS: usize = 6;
/// The part of a core that the limits give, and what the flood may take of it beside sound clients.
const CORES: f64 = 0.2;
const FLOOD_PART: f64 = 0.5;
/// How long sound clients ask beside it.
const TIME: Duration = Duration::from_secs(3);
/// By how much memory may grow while the flood lasts.
const MAX_GROWTH_BYTES: usize = 2 << 20;
/// Requests in one write.
const REQUESTS_AT_ONCE: usize = 50;

/// A number that no request had yet.
fn fresh() -> u64 {
    static LAST: AtomicU64 = AtomicU64::new(0);
    LAST.fetch_add(1, Ordering::Relaxed)
}

fn missing_path() -> String {
    format!("GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", fresh())
}

fn health_check() -> String {
    HEALTH.to_owned()
}

fn unsound_request() -> String {
    format!(
        "POST /api HTTP/1.1\r\nX-Call-Id: {}\r\nX-Caller: c{}\r\nContent-Length: 0\r\n\r\n",
        fresh(),
        fresh()
    )
}

fn new_names() -> String {
    let number = fresh();
    let names = format!("X-Caller: c{number}\r\nX-Name-{number}: 1\r\n");
    request(&format!("class-{number}"), &names, "").replace("9b1f03aa5c7e2d41", &format!("ab{number:014}"))
}

fn hopeless_call() -> String {
    let id = format!("ab{:014}", fresh());
    request("free", "", "").replace("9b1f03aa5c7e2d41", &id).replace("8000", "1")
}

fn empty_lines() -> String {
    "\r\n".repeat(40)
}

/// Clients that write what `text` makes, again and again, until this is dropped.
struct Flood {
    stopped: Arc<AtomicBool>,
    streams: Vec<std::net::TcpStream>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    fn begin(address: SocketAddr, text: fn() -> String, reads: bool) -> Flood {
        let stopped = Arc::new(AtomicBool::new(false));
        let mut flood = Flood { stopped: stopped.clone(), streams: Vec::new(), threads: Vec::new() };
        for _ in 0..CLIENTS {
            let mut stream = std::net::TcpStream::connect(address).expect("connected");
            flood.streams.push(stream.try_clone().expect("a stream"));
            let mut reading = stream.try_clone().expect("a stream");
            if reads {
                let read = move || while reading.read(&mut [0; 4_096]).is_ok_and(|count| count > 0) {};
                flood.threads.push(thread::spawn(read));
            }
            let stopped = stopped.clone();
            flood.threads.push(thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let many: String = (0..REQUESTS_AT_ONCE).map(|_| text()).collect();
                    if stream.write_all(many.as_bytes()).is_err() {
                        return;
                    }
                }
            }));
        }
        flood
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // A stream that the proxy has closed needs no shutdown.
        self.streams.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        self.threads.drain(..).for_each(|thread| thread.join().expect("it ends"));
    }
}

/// All sections that need no other proxy.
fn operators_file(name: &str) -> std::path::PathBuf {
    let directory = folder(name);
    let file = directory.join("flaxhead.ini");
    let audit = directory.join("audit");
    let text = format!(
        "[capture]\nfiles = 4\nfile_kb = 192\n[status]\nlisten_port = {}\nrefresh_ms = 100\n[audit]\ndir = {}\n\
         [log]\nformat = json\n[access]\nallow = 127.0.0.0/8\n",
        free_address().port(),
        audit.display()
    );
    std::fs::write(&file, text).expect("written");
    file
}

fn a_flood_leaves_others_their_turn(name: &str, text: fn() -> String) {
    for reads in [true, false] {
        run(async {
            let what = format!("{name}, read: {reads}");
            let limits = LimitsOfRun { cores: CORES, ..common::rig::LEAST_MEMORY };
            let file = operators_file(&format!("flood-{name}-{reads}"));
            let mut rig =
                Rig::with_features(&format!("flood-{name}"), limits, &[Answers::Soundly], &file).await;
            let (calm, asked) = (processor_ticks(&rig.child), tokio::time::Instant::now());
            let statuses = rig.sound_calls(TIME).await;
            let sound_ticks = processor_ticks(&rig.child) - calm;
            println!("{what}: calm: {statuses:?}, {sound_ticks} ticks in {:?}", asked.elapsed());
            let (rest, before) = (resident_bytes(&rig.child), processor_ticks(&rig.child));
            let flood = Flood::begin(rig.address, text, reads);
            let statuses = rig.sound_calls(TIME).await;
            let ticks = processor_ticks(&rig.child) - before;
            let growth = resident_bytes(&rig.child).saturating_sub(rest);
            drop(flood);
            println!("{what}: {statuses:?}, {ticks} ticks, grown by {growth} bytes");
            rig.assert_within_limits(&what);
            assert!(statuses.keys().all(|status| *status == 200), "{what}: {statuses:?}");
            let allowed = TIME.as_secs_f64() * CORES * FLOOD_PART * TICKS_PER_SECOND as f64;
            let taken = ticks.saturating_sub(sound_ticks) as f64;
            assert!(taken <= allowed, "{what}: {taken} ticks, more than {allowed}");
            assert!(growth <= MAX_GROWTH_BYTES, "{what}: grown by {growth} bytes");
        });
    }
}

#[test]
fn missing_paths_at_full_speed_leave_others_their_turn() {
    a_flood_leaves_others_their_turn("missing-paths", missing_path);
}

#[test]
fn health_checks_at_full_speed_leave_others_their_turn() {
    a_flood_leaves_others_their_turn("health-checks", health_check);
}

#[test]
fn unsound_requests_at_full_speed_leave_others_their_turn() {
    a_flood_leaves_others_their_turn("unsound-requests", unsound_request);
}

#[test]
fn ever_new_names_at_full_speed_leave_others_their_turn() {
    a_flood_leaves_others_their_turn("new-names", new_names);
}

#[test]
fn calls_that_cannot_be_in_time_at_full_speed_leave_others_their_turn() {
    a_flood_leaves_others_their_turn("hopeless-calls", hopeless_call);
}

#[test]
fn empty_lines_without_end_leave_others_their_turn() {
    a_flood_leaves_others_their_turn("empty-lines", empty_lines);
}
