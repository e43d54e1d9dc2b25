//! A node's cores, slots and queue, its cold start and its fall: a state machine that is told the time.
//!
//! Work is counted in microseconds of a core of speed 1. Jobs in slots share the cores evenly, none faster than one
//! core; the rest wait in order; past the queue they are turned away unseen. All work that reaches a cold node
//! counts towards its fall, also what is turned away.

use serde::Deserialize;
use std::collections::VecDeque;

/// A moment, in microseconds since the run began.
pub type Micros = u64;

/// Longest step over which warmth is taken as constant, in microseconds.
const STEP: f64 = 10_000.0;
/// Slack for chance in the fall's reckoning: a window may hold this share more than its limit.
const TIP_SLACK: f64 = 1.1;

/// What nodes of one kind are. Work and times are in milliseconds here, as an experiment's file has them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// How many there are of it.
    pub count: usize,
    /// Their speeds are drawn evenly from this range, instead of `speed` for all.
    pub speeds: Option<(f64, f64)>,
    /// Cores.
    pub cores: f64,
    /// Speed of each; the yardstick is 1.
    pub speed: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that may wait beyond those.
    pub queue: usize,
    /// Requests in hand past which work becomes less efficient.
    pub crowd: usize,
    /// What each request past that adds to the work of all, as a share.
    pub thrash: f64,
    /// Share of its capacity that a node has when it starts cold.
    pub cold_share: f64,
    /// Time after which it is warm at the latest, in milliseconds.
    pub cold_ms: f64,
    /// Work after which it is warm whatever its age, in milliseconds of a core; 0: by time alone.
    pub warm_work_ms: f64,
    /// Work of a new connection, in milliseconds of a core.
    pub handshake_ms: f64,
    /// Connections that it holds at most.
    pub connections: usize,
    /// Time after which it closes an idle connection, in milliseconds.
    pub idle_ms: u64,
    /// A cold node that is sent this many times its present capacity ...
    pub tip_multiple: f64,
    /// ... for so long, in milliseconds, falls over and stays down.
    pub tip_ms: f64,
    /// A request whose client has gone stops being worked on (else only one that waits is dropped).
    pub cancel_stops: bool,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            count: 1,
            speeds: None,
            cores: 1.0,
            speed: 1.0,
            slots: 8,
            queue: 24,
            crowd: 12,
            thrash: 0.02,
            cold_share: 0.12,
            cold_ms: 22_000.0,
            warm_work_ms: 0.0,
            handshake_ms: 1.0,
            connections: 64,
            idle_ms: 5_000,
            tip_multiple: 2.5,
            tip_ms: 1_500.0,
            cancel_stops: false,
        }
    }
}

/// What becomes of a job that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in work or waits.
    Taken,
    /// The queue is full.
    Full,
    /// This node has fallen over.
    Down,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    id: u64,
    left: f64,
}

/// A node at work.
#[derive(Debug)]
pub struct Node {
    spec: Spec,
    /// When it started cold; `None`: long ago.
    cold_since: Option<Micros>,
    done_since: f64,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    finished: Vec<u64>,
    at: Micros,
    paused_until: Micros,
    /// Work that reached it within the fall's window.
    reached: VecDeque<(Micros, f64)>,
    fallen: bool,
}

impl Node {
    /// A node that has been warm for long.
    pub fn warm(spec: Spec) -> Node {
        Node {
            spec,
            cold_since: None,
            done_since: 0.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            finished: Vec::new(),
            at: 0,
            paused_until: 0,
            reached: VecDeque::new(),
            fallen: false,
        }
    }

    /// A node that has just started.
    pub fn cold(spec: Spec, now: Micros) -> Node {
        Node { cold_since: Some(now), at: now, ..Node::warm(spec) }
    }

    /// Its share of full capacity at this moment, 0 to 1.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let spec = &self.spec;
        let by_time = now.saturating_sub(since) as f64 / (spec.cold_ms * 1_000.0).max(1.0);
        let by_work = match spec.warm_work_ms {
            work if work > 0.0 => self.done_since / (work * 1_000.0),
            _ => 0.0,
        };
        spec.cold_share + (1.0 - spec.cold_share) * by_time.max(by_work).min(1.0)
    }

    /// Requests in work and waiting.
    pub fn in_hand(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether it has fallen over.
    pub fn fallen(&self) -> bool {
        self.fallen
    }

    /// Until when it is paused, or was.
    pub fn paused_until(&self) -> Micros {
        self.paused_until
    }

    /// It does nothing until this moment.
    pub fn pause(&mut self, now: Micros, until: Micros) {
        self.advance(now);
        self.paused_until = self.paused_until.max(until);
    }

    /// A job of so much work arrives, in microseconds of a core.
    pub fn arrive(&mut self, now: Micros, id: u64, work: f64) -> Admission {
        self.advance(now);
        if self.reach(now, work) {
            return Admission::Down;
        }
        if self.running.len() < self.spec.slots {
            self.running.push(Job { id, left: work });
        } else if self.waiting.len() < self.spec.queue {
            self.waiting.push_back(Job { id, left: work });
        } else {
            return Admission::Full;
        }
        debug_assert!(self.waiting.is_empty() || self.running.len() == self.spec.slots);
        Admission::Taken
    }

    /// Work that is done beside the queue, such as a handshake or a probe.
    pub fn burden(&mut self, now: Micros, work: f64) {
        self.advance(now);
        if self.reach(now, work) {
            return;
        }
        // It takes its time from all that is in work.
        let share = work / self.running.len().max(1) as f64;
        self.running.iter_mut().for_each(|job| job.left += share);
    }

    /// The client of a job has gone: it is dropped where it waits, and stopped where this node can.
    pub fn leave(&mut self, now: Micros, id: u64) -> bool {
        self.advance(now);
        let in_hand = self.in_hand();
        self.waiting.retain(|job| job.id != id);
        if self.spec.cancel_stops {
            self.running.retain(|job| job.id != id);
        }
        self.fill();
        self.in_hand() < in_hand
    }

    /// Jobs that have ended by now.
    pub fn finished(&mut self, now: Micros) -> Vec<u64> {
        self.advance(now);
        std::mem::take(&mut self.finished)
    }

    /// When the next job may have ended if none comes; `None`: nothing is in work.
    pub fn next_end(&self) -> Option<Micros> {
        let least = self.running.iter().map(|job| job.left).reduce(f64::min)?;
        let began = self.at.max(self.paused_until);
        // A cold one gets faster while it works: it is looked at again before it could be done sooner.
        let limit = if self.warmth(began) < 1.0 { STEP } else { f64::MAX };
        Some(began + (least / self.rate(began)).min(limit).ceil().max(1.0) as Micros)
    }

    /// Counts work that reaches a cold node; true: it is, or has now, fallen over.
    fn reach(&mut self, now: Micros, work: f64) -> bool {
        if !self.fallen && self.warmth(now) < 1.0 {
            let window = (self.spec.tip_ms * 1_000.0) as Micros;
            self.reached.push_back((now, work));
            while self.reached.front().is_some_and(|(at, _)| at + window < now) {
                self.reached.pop_front();
            }
            let capacity = self.spec.cores * self.spec.speed * self.warmth(now);
            let sent: f64 = self.reached.iter().map(|(_, work)| work).sum();
            self.fallen = sent > self.spec.tip_multiple * capacity * window as f64 * TIP_SLACK;
        }
        self.fallen
    }

    /// Work that each job in a slot gets done in a microsecond.
    fn rate(&self, at: Micros) -> f64 {
        let jobs = self.running.len().max(1) as f64;
        let crowd = self.in_hand().saturating_sub(self.spec.crowd) as f64;
        let efficiency = 1.0 / (1.0 + self.spec.thrash * crowd);
        let rate = self.spec.speed * self.warmth(at) * efficiency * (self.spec.cores / jobs).min(1.0);
        rate.max(1e-9)
    }

    fn fill(&mut self) {
        while self.running.len() < self.spec.slots {
            let Some(job) = self.waiting.pop_front() else { break };
            self.running.push(job);
        }
    }

    fn advance(&mut self, now: Micros) {
        if self.fallen {
            self.at = self.at.max(now);
            return;
        }
        self.at = self.at.max(self.paused_until.min(now));
        while self.at < now && !self.running.is_empty() {
            let rate = self.rate(self.at);
            let least = self.running.iter().map(|job| job.left).fold(f64::MAX, f64::min);
            let left = (now - self.at) as f64;
            let limit = if self.warmth(self.at) < 1.0 { STEP } else { f64::MAX };
            let span = (least / rate).min(left).min(limit).ceil().max(1.0);
            self.running.iter_mut().for_each(|job| job.left -= rate * span);
            self.done_since += rate * span * self.running.len() as f64;
            self.at += span as Micros;
            let finished = &mut self.finished;
            self.running.retain(|job| {
                let ended = job.left <= 1e-6;
                if ended {
                    finished.push(job.id);
                }
                !ended
            });
            self.fill();
        }
        self.at = self.at.max(now);
    }
}

#[cfg(test)]
mod tests;
