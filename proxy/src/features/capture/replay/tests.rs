//! What was recorded is replayed without a difference; what was changed or damaged shows.

use super::super::form::{frame, Frame, Item, Opening, Record, Version, LENGTH, SEED};
use super::super::{Recorder, Settings as Ring};
use super::*;
use flaxhead_policy::{
    Action, Balancer, CallId, Class, ClassId, Entry, Event, Idempotency, ListKind, LoadReport, Micros,
    Outcome, ServerId, Settings,
};
use std::borrow::Cow;

/// A proxy without sockets: what it would feed the module in the course of some requests.
struct Proxy {
    settings: Settings,
    balancer: Balancer,
    ring: Recorder,
    now: Micros,
    sent: Vec<(CallId, u32)>,
}

impl Proxy {
    fn new() -> Proxy {
        let class = Class {
            objective: 500_000,
            deadline: 900_000,
            priority_weight: 1.0,
            late_ratio: 0.0,
            idempotency: Idempotency::Idempotent,
        };
        let settings = Settings { classes: vec![class], ..Settings::default() };
        let balancer = Balancer::new(7, settings.clone());
        let ring = Recorder::new(&Ring { files: 2, file_bytes: 16 << 10, dir: None }, 7);
        let mut proxy = Proxy { settings, balancer, ring, now: 1_700_000_000_000_123, sent: Vec::new() };
        proxy.feed(Event::Start);
        let entries = (1..4).map(|server| Entry { server: ServerId(server), ..Entry::default() }).collect();
        proxy.feed(Event::Members { kind: ListKind::Full, entries });
        proxy
    }

    fn feed(&mut self, event: Event) {
        self.now += 1_237;
        if self.ring.is_due(self.now) {
            let dial = ([127, 0, 0, 1], 1).into();
            let host = |server: u32| Item::Host {
                server: ServerId(server),
                host: format!("s-{server}").into(),
                dial,
            };
            self.ring.open(self.now, &self.settings, &self.balancer, (1..4).map(host));
        }
        self.ring.begin(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.ring.put(self.now, Item::Did(Cow::Borrowed(&action)));
            match action {
                Action::Send { call, .. } => {
                    let attempt = self.sent.iter().filter(|sent| sent.0 == call).count() as u32;
                    self.sent.push((call, attempt));
                }
                Action::Reject { call, .. } => self.ring.put(self.now, Item::Answered { call, code: 503 }),
                _ => {}
            }
        }
        self.ring.end();
    }

    /// So many requests, of which every third meets trouble.
    fn run(&mut self, requests: u64) -> &mut Proxy {
        for _ in 0..requests {
            self.now += 20_000;
            let call = CallId(self.now);
            let id = format!("call-{}", call.0).into();
            let asked = Item::Asked { call, class: "free".into(), caller: "a".into(), id, budget_ms: 900 };
            self.ring.put(self.now, asked);
            let (class, tenant, time_left, resent) = (ClassId(0), None, 900_000, false);
            self.feed(Event::Request { call, class, tenant, time_left, resent });
            while let Some((call, attempt)) = self.sent.pop() {
                let outcomes = [Outcome::Reset, Outcome::Served, Outcome::Rejected, Outcome::Served];
                let outcome = outcomes[self.now as usize % 4];
                if outcome == Outcome::Served {
                    self.ring.put(self.now, Item::Answered { call, code: 200 });
                }
                let (elapsed, complete) = (40_000, outcome == Outcome::Served);
                self.feed(Event::Outcome {
                    call,
                    attempt,
                    outcome,
                    elapsed,
                    complete,
                    load: LoadReport::default(),
                });
                self.sent.retain(|sent| sent.0 != call || !complete);
            }
            self.feed(Event::Timer);
        }
        self
    }

    /// The files of the ring.
    fn files(&self) -> Vec<Vec<u8>> {
        let copy = |number| {
            let mut bytes = Vec::new();
            self.ring.copy(number, &mut bytes).map(|_| bytes)
        };
        self.ring.numbers().into_iter().filter_map(copy).collect()
    }
}

fn replayed(bytes: &[u8], force: bool) -> (Result<Report, String>, Vec<Line>) {
    let mut lines = Vec::new();
    let mut say = |line| lines.push(line);
    let mut run = Run { force, report: Report::default(), say: &mut say };
    let result = run.piece(bytes).map(|()| run.report).map_err(|problem| problem.to_string());
    (result, lines)
}

/// The frames of a file behind its seed.
fn frames(mut rest: &[u8]) -> Vec<&[u8]> {
    rest = &rest[SEED..];
    std::iter::from_fn(|| if let Frame::Body(body) = frame(&mut rest) { Some(body) } else { None }).collect()
}

fn file(seed: &[u8], frames: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = seed[..SEED].to_vec();
    for frame in frames {
        bytes.extend_from_slice(&(frame.len() as u32).to_be_bytes()[1..]);
        bytes.extend_from_slice(frame);
    }
    bytes.extend([0; LENGTH]);
    bytes
}

/// The file, with its records changed.
fn changed(original: &[u8], change: impl Fn(&mut Record)) -> Vec<u8> {
    let records = frames(original).into_iter().enumerate().map(|(place, body)| {
        if place < 2 {
            return body.to_vec();
        }
        let mut record: Record = postcard::from_bytes(body).expect("a record");
        change(&mut record);
        postcard::to_stdvec(&record).expect("written")
    });
    file(original, &records.collect::<Vec<_>>())
}

#[test]
fn each_file_is_replayed_alone_without_a_difference_before_and_after_the_ring_wraps() {
    let mut proxy = Proxy::new();
    for requests in [5, 200, 1_000, 3_000] {
        proxy.run(requests);
        let files = proxy.files();
        for file in &files {
            let (report, lines) = replayed(file, false);
            assert!(lines.is_empty(), "{lines:?}");
            assert!(report.is_ok_and(|r| r.events > 5 && r.decisions > 0 && r.differences == 0));
        }
        assert_eq!(replayed(&files.concat(), false).0.map(|r| r.files), Ok(files.len() as u64));
    }
    assert!(proxy.ring.numbers()[0] > 2, "{:?}", proxy.ring.numbers());
}

/// The ring never holds more than its settings allow, whatever comes.
#[test]
fn the_ring_stays_within_its_buffers() {
    let mut proxy = Proxy::new();
    proxy.run(500);
    let entries = (1..9_000).map(|n| Entry { server: ServerId(n), ..Entry::default() }).collect::<Vec<_>>();
    proxy.feed(Event::Members { kind: ListKind::Full, entries });
    // The module's state is now larger than a file: nothing is recorded, and what was there stays.
    let kept = proxy.ring.numbers();
    proxy.run(50);
    let held = |proxy: &Proxy| proxy.ring.ring.iter().map(|file| file.bytes.len()).sum::<usize>();
    assert!(held(&proxy) <= 2 << 14 && proxy.ring.numbers().len() + 1 >= kept.len());
    let entries = (1..4).map(|n| Entry { server: ServerId(n), ..Entry::default() }).collect();
    proxy.feed(Event::Members { kind: ListKind::Full, entries });
    proxy.now += 2_000_000;
    proxy.run(50);
    let files = proxy.files();
    assert!(held(&proxy) <= 2 << 14 && proxy.ring.open);
    let (report, lines) = replayed(files.last().expect("a file"), false);
    assert_eq!(report.map(|r| (r.differences, r.events > 50)), Ok((0, true)));
    assert!(matches!(&lines[..], [Line::Warning(text)] if text.contains("are in no file")), "{lines:?}");
}

#[test]
fn a_changed_decision_is_told_as_a_difference() {
    let mut proxy = Proxy::new();
    let original = &proxy.run(40).files()[0];
    let sends = std::cell::Cell::new(0);
    let elsewhere = changed(original, |record| {
        if let Item::Did(action) = &mut record.item {
            if let Action::Send { server, .. } = action.to_mut() {
                server.0 = server.0 % 3 + 1;
                sends.set(sends.get() + 1);
            }
        }
    });
    let (report, lines) = replayed(&elsewhere, false);
    assert!(report.is_ok_and(|report| report.differences == sends.get() && sends.get() > 5));
    let Line::Difference(first) = &lines[0] else { panic!("{lines:?}") };
    assert!(first.starts_with("call call-1700") && first.contains(" recorded s-"), "{first}");
    assert!(first.contains(", now s-"), "{first}");
    let later = changed(original, |record| record.us = (record.us + 1) % 1_000);
    let (report, _) = replayed(&later, false);
    assert!(report.is_ok_and(|report| report.differences > 0), "the module reads microseconds");
    let other = changed(original, |record| {
        if let Item::Answered { code, .. } = &mut record.item {
            *code += 1;
        }
    });
    let (report, lines) = replayed(&other, false);
    assert!(report.is_ok_and(|report| report.differences > 5));
    assert!(lines
        .iter()
        .any(|l| matches!(l, Line::Difference(t) if t.contains("recorded answer 201, now 200"))));
}

#[test]
fn a_file_of_another_version_is_refused_unless_forced() {
    let mut proxy = Proxy::new();
    let original = &proxy.run(5).files()[0];
    let mut bodies: Vec<Vec<u8>> = frames(original).into_iter().map(<[u8]>::to_vec).collect();
    let other = Version { program: "flaxhead 0.0.1".into(), ..Version::own() };
    bodies[0] = postcard::to_stdvec(&other).expect("written");
    let bytes = file(original, &bodies);
    let (report, _) = replayed(&bytes, false);
    assert!(report.is_err_and(|reason| reason.contains("0.0.1") && reason.contains("--force")));
    let (report, lines) = replayed(&bytes, true);
    assert_eq!(report.map(|report| (report.differences, report.warnings)), Ok((0, 1)));
    assert!(matches!(&lines[0], Line::Warning(text) if text.contains("0.0.1")));
}

#[test]
fn a_file_that_is_cut_off_anywhere_ends_with_a_warning_or_an_error() {
    let mut proxy = Proxy::new();
    let original = &proxy.run(10).files()[0];
    for length in 1..original.len() {
        let (report, lines) = replayed(&original[..length], false);
        let warned = lines.iter().any(|line| matches!(line, Line::Warning(_)));
        assert!(warned || report.is_err(), "{length}");
        assert!(report.is_err() || report.is_ok_and(|report| report.differences == 0), "{length}");
    }
}

/// Damage of every kind at every place: a difference, a warning or an error, never a panic.
#[test]
fn damage_is_survived() {
    let mut proxy = Proxy::new();
    let files = proxy.run(400).files();
    assert!(proxy.ring.numbers()[0] > 0, "files that open with a state");
    let original = &files[0][..];
    let opening = SEED + frames(original)[..2].iter().map(|body| LENGTH + body.len()).sum::<usize>();
    for place in (SEED..opening).step_by(5).chain((opening..original.len()).step_by(131)) {
        for value in [0, 0x7f, 0xff] {
            let mut bytes = original.to_vec();
            bytes[place] = value;
            let _ = replayed(&bytes, true);
        }
    }
}

/// Lengths that no file could hold cost nothing: what is not there is not read.
#[test]
fn a_hostile_opening_is_refused() {
    let own = postcard::to_stdvec(&Version::own()).expect("written");
    let class = Class { objective: u64::MAX, deadline: u64::MAX, ..Class::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let opening = Opening { number: 0, origin: 0, missed: 0, settings: &settings, state: None };
    let opening = postcard::to_stdvec(&opening).expect("written");
    let (report, _) = replayed(&file(&[0; 8], &[own.clone(), opening]), false);
    assert!(report.is_err_and(|reason| reason.contains("too long")));
    let (report, _) = replayed(&file(&[0; 8], &[own, vec![0xff; 64]]), false);
    assert!(report.is_err());
}
