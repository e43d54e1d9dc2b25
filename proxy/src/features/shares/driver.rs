//! The shares at their coordinator: what this proxy has is told with each renewal, and what it may have goes to the gate.

use super::super::hosts::{Fact, Known};
use super::lines::Lines;
use crate::http::Engine;
use flaxhead_coordination::{Clock, Coordinator, Participant};
use flaxhead_engine::Health;
use flaxhead_lease::{Ballot, Machine};
use flaxhead_quota::{Allowance, Host, Seat, Shares, Usage};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How soon after another a word that is wanted early may be wished for: the machine bounds the pace further.
const PRESSED_PAUSE: Duration = Duration::from_millis(20);
/// How often the holder looks for what it has to tell operators.
const LOOK: Duration = Duration::from_secs(1);

/// What passes between the lines and the machine.
pub(super) struct Keeper {
    lines: Lines,
    known: Known,
    engine: Engine,
    clock: Cell<Option<Clock>>,
    /// What the gate goes by.
    set: RefCell<Option<(Allowance, Seat)>>,
    /// Under whose number, as it was last logged.
    fence: RefCell<Option<Ballot>>,
    began: Instant,
}

impl Keeper {
    pub fn new(lines: Lines, known: Known, engine: Engine) -> Keeper {
        let (clock, set, fence) = Default::default();
        Keeper { lines, known, engine, clock, set, fence, began: Instant::now() }
    }

    /// Sets what may be in hand, where that has changed.
    fn allow(&self, allowance: Allowance, seat: Seat) {
        let new = Some((allowance, seat));
        let mut set = self.set.borrow_mut();
        if *set == new {
            return;
        }
        let was = set.as_ref().map(|(_, seat)| *seat);
        *set = new;
        if was != Some(seat) {
            let waited = self.began.elapsed().as_millis();
            match seat {
                Seat::Waits => tracing::info!("shares: this proxy waits for a seat: it is not known yet how many others run"),
                Seat::Has => tracing::info!("shares: this proxy goes by its own parts, {waited} ms after its start"),
                Seat::Denied => tracing::info!("shares: this proxy has no seat: more run than proxies_most, and capped tenants get nothing of their own here"),
            }
        }
        let Some((allowance, _)) = &*set else { return };
        let until =
            allowance.until.zip(self.clock.get()).map(|(until, clock)| self.lines.at(clock.moment(until)));
        self.lines.allow(Allowance { until, ..allowance.clone() }, seat == Seat::Waits);
    }
}

impl Participant<Shares> for Keeper {
    fn facts(&self) -> Vec<Host> {
        let fact = |Fact { host, failing, warmth, size }: Fact<'_>| Host {
            ready: host.health == Health::Ready,
            failing,
            warmth,
            size,
        };
        self.known.facts(&self.engine, fact).collect()
    }

    fn before_step(&self, application: &mut Shares) {
        let now = self.clock.get().map_or(0, Clock::now);
        let (attempts, turned_away) = self.known.attempts();
        let usage = Usage { tenants: self.lines.usage(), attempts, turned_away };
        self.lines.told();
        application.use_now(now, usage);
        // Before the next word confirms it, what was granted is gone by.
        let allowance = application.allowance(now);
        self.allow(allowance, application.seat());
    }

    fn after_step(&self, machine: &Machine<Shares>, clock: Clock) {
        self.clock.set(Some(clock));
        let fence = machine.application().fence().map(|stamp| &stamp.ballot);
        if self.fence.borrow().as_ref() != fence {
            self.fence.replace(fence.cloned());
            match fence {
                Some(fence) => tracing::info!("shares: granted by {}, as {fence}", fence.name),
                None => tracing::info!("shares: granted by nobody"),
            }
        }
    }

    fn leadership_changed(&self, fence: Option<&Ballot>) {
        match fence {
            Some(fence) => tracing::info!("shares: this proxy grants, as {fence}"),
            None => tracing::info!("shares: this proxy grants no longer"),
        }
    }

    fn event(&self, note: String) {
        tracing::info!("shares: {note}");
    }
}

/// Has a word said early where lines grow, for good.
pub(super) async fn press(lines: &Lines, coordinator: &Coordinator<Shares>) {
    loop {
        lines.pressed().await;
        coordinator.wake();
        sleep(PRESSED_PAUSE).await;
    }
}

/// Tells operators at the holder what keeps it from giving all there is, as it changes, for good.
pub(super) async fn watch(coordinator: &Coordinator<Shares>) {
    let mut told: Vec<String> = Vec::new();
    loop {
        sleep(LOOK).await;
        let mut why = coordinator
            .with_machine(|machine, now| machine.leader_data(now).map(|ledger| ledger.view(now).why))
            .unwrap_or_default();
        // That is over by itself.
        why.retain(|why| !why.starts_with("learning"));
        for new in why.iter().filter(|why| !told.contains(why)) {
            tracing::info!("shares: {new}");
        }
        for over in told.iter().filter(|old| !why.contains(old)) {
            tracing::info!("shares: over: {over}");
        }
        told = why;
    }
}
