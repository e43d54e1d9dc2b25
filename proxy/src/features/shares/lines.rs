//! The lines of the tenants on the proxy's clock: what waits is woken with its verdict, and what is in hand holds its
//! unit for as long as the engine holds its ticket.

use flaxhead_engine::{Ask, Ticket};
use flaxhead_policy::Micros;
use flaxhead_quota::gate::{self, Answer, Asked, Gate, Key, Rules, Verdict, Verdicts};
use flaxhead_quota::{Allowance, Use};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::fmt;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// How long after its connection was closed a host may still count a call as in hand, in microseconds. A unit that came
/// back before that would make one too many there.
const CLOSING: Micros = 100_000;

/// How a call comes out of the gate: with what it holds, or turned away, and may come again after this time.
pub type Entry = Result<Box<dyn Ticket>, Duration>;

struct State {
    gate: Gate,
    waiting: HashMap<Key, oneshot::Sender<Entry>>,
    allowance: Allowance,
    /// Units of attempts that were given up, and when they come back, the earliest first.
    closing: BinaryHeap<Reverse<(Micros, usize)>>,
}

struct Inner {
    state: RefCell<State>,
    epoch: Instant,
    /// Something is due earlier than it was.
    due: Notify,
    /// A call has begun to wait, or was turned away.
    pressed: Notify,
}

/// The lines, shared by the tasks of one thread.
#[derive(Clone)]
pub struct Lines(Rc<Inner>);

impl fmt::Debug for Lines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lines").field("in_hand", &self.0.state.borrow().gate.in_hand()).finish()
    }
}

/// A call's unit, and those of its further copies.
struct Unit {
    lines: Lines,
    tenant: usize,
    /// Until when the host of an attempt that was given up may still be at it.
    closing: Option<Micros>,
}

/// A call's place in its line: given up when dropped, as where its client goes.
struct Place {
    lines: Lines,
    key: Key,
}

impl Lines {
    /// Lines with what may be in hand at the start; `to_come`: more may come soon.
    pub fn new(rules: Rules, allowance: Allowance, to_come: bool) -> Lines {
        let gate = Gate::new(0, rules, allowance.clone(), to_come);
        let state =
            RefCell::new(State { gate, waiting: HashMap::new(), allowance, closing: BinaryHeap::new() });
        Lines(Rc::new(Inner { state, epoch: Instant::now(), due: Notify::new(), pressed: Notify::new() }))
    }

    /// Now, in microseconds since the lines were opened: the clock of [`Allowance::until`].
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// A moment by that clock; 0 where it was before.
    pub fn at(&self, moment: Instant) -> Micros {
        moment.saturating_duration_since(self.0.epoch).as_micros() as Micros
    }

    /// Lets a call in, at once or when its turn has come. Dropped before that, it leaves its line.
    pub async fn enter(&self, ask: &Ask) -> Entry {
        let asked = Asked {
            tenant: ask.tenant.map(|tenant| tenant.0),
            class: ask.class.0,
            deadline: self.at(ask.deadline),
        };
        let now = self.now();
        let answer = self.0.state.borrow_mut().gate.ask(now, asked);
        match answer {
            Answer::Now(Verdict::Enters) => Ok(self.unit(asked.tenant)),
            Answer::Now(Verdict::Refused(after)) => {
                self.0.pressed.notify_one();
                Err(Duration::from_micros(after))
            }
            Answer::Waits(key) => {
                let (sender, verdict) = oneshot::channel();
                self.0.state.borrow_mut().waiting.insert(key, sender);
                let place = Place { lines: self.clone(), key };
                self.0.due.notify_one();
                self.0.pressed.notify_one();
                // The sender is only ever dropped with the lines, which its place holds.
                let entry = verdict.await.unwrap_or(Err(Duration::ZERO));
                drop(place);
                entry
            }
        }
    }

    /// Sets what may be in hand from now on; `to_come`: more may come soon.
    pub fn allow(&self, allowance: Allowance, to_come: bool) {
        let (now, mut verdicts) = (self.now(), Verdicts::new());
        {
            let mut state = self.0.state.borrow_mut();
            state.allowance = allowance.clone();
            state.gate.allow(now, allowance, to_come, &mut verdicts);
        }
        self.0.due.notify_one();
        self.tell(verdicts);
    }

    /// Does what is due by time alone, for good.
    pub async fn serve(&self) {
        loop {
            let due = {
                let state = self.0.state.borrow();
                let closing = state.closing.peek().map(|Reverse((at, _))| *at);
                state.gate.next_due().into_iter().chain(closing).min()
            };
            let due = async {
                match due {
                    Some(at) => sleep_until(self.0.epoch + Duration::from_micros(at)).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = due => {
                    let (now, mut verdicts) = (self.now(), Verdicts::new());
                    {
                        let State { gate, closing, .. } = &mut *self.0.state.borrow_mut();
                        while closing.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                            let over = closing.pop().map(|Reverse((_, tenant))| tenant);
                            over.into_iter().for_each(|tenant| gate.end(now, Some(tenant), &mut verdicts));
                        }
                        gate.tick(now, &mut verdicts);
                    }
                    self.tell(verdicts);
                }
                () = self.0.due.notified() => {}
            }
        }
    }

    /// Waits until a call has begun to wait, or was turned away.
    pub async fn pressed(&self) {
        self.0.pressed.notified().await;
    }

    /// What there is of each tenant to tell the scheduler.
    pub fn usage(&self) -> Vec<Use> {
        self.0.state.borrow().gate.usage()
    }

    /// The scheduler was told.
    pub fn told(&self) {
        self.0.state.borrow_mut().gate.told();
    }

    /// The tenants as they are, and what may be in hand.
    pub fn shown(&self) -> (Vec<gate::Shown>, Allowance) {
        let state = self.0.state.borrow();
        (state.gate.shown().collect(), state.allowance.clone())
    }

    fn unit(&self, tenant: Option<usize>) -> Box<dyn Ticket> {
        Box::new(Unit { lines: self.clone(), tenant: tenant.unwrap_or(usize::MAX), closing: None })
    }

    /// A unit comes back: that of an attempt which was given up, once its host has surely seen that.
    fn end(&self, tenant: usize, closing: Option<Micros>) {
        let (now, mut verdicts) = (self.now(), Verdicts::new());
        if let Some(at) = closing.filter(|at| now < *at) {
            self.0.state.borrow_mut().closing.push(Reverse((at, tenant)));
            return self.0.due.notify_one();
        }
        self.0.state.borrow_mut().gate.end(now, Some(tenant), &mut verdicts);
        self.tell(verdicts);
    }

    /// Wakes calls with their verdicts. One whose client has just gone gives its unit back at once.
    fn tell(&self, verdicts: Verdicts) {
        for (key, verdict) in verdicts {
            let sender = self.0.state.borrow_mut().waiting.remove(&key);
            let entry = match verdict {
                Verdict::Enters => Ok(self.unit(Some(key.tenant()))),
                Verdict::Refused(after) => Err(Duration::from_micros(after)),
            };
            let _ = sender.map(|sender| sender.send(entry));
        }
    }
}

impl Ticket for Unit {
    fn another(&mut self) -> bool {
        let now = self.lines.now();
        self.lines.0.state.borrow_mut().gate.another(now, Some(self.tenant))
    }

    fn fewer(&mut self) {
        self.lines.end(self.tenant, self.closing.take());
    }

    fn cut(&mut self) {
        self.closing = Some(self.lines.now() + CLOSING);
    }
}

impl Drop for Unit {
    fn drop(&mut self) {
        self.lines.end(self.tenant, self.closing);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.lines.0.state.borrow_mut();
        state.gate.leave(self.key);
        let sender = state.waiting.remove(&self.key);
        drop(state);
        // It may hold a unit that was on its way.
        drop(sender);
    }
}

#[cfg(test)]
mod tests;
