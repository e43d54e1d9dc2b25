//! How long it takes after a restart until all that is asked is served again, for good.

use super::count::Request;
use crate::model::node::Micros;
use serde::{Deserialize, Serialize};

/// Distance between two windows, and the step of what is told, in microseconds.
const STEP: Micros = 100_000;
/// A window.
const SECOND: Micros = 1_000_000;
/// Share of a window's requests that must be served: 19 of 20.
const FULL: (usize, usize) = (19, 20);

/// The time to full service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Back {
    /// When the last proxy that had been killed was started again, in seconds of the run.
    pub from_s: f64,
    /// How long after that each window of a second got 95% of what it asked, for good, in milliseconds; `None`: not
    /// within the run.
    pub after_ms: Option<f64>,
    /// The share that the worst window got, of those that begin after the restart.
    pub worst_second: f64,
    /// What each second after the restart got of what it asked; one in which nothing was asked got all.
    pub seconds: Vec<f64>,
}

/// One request: when it was to be sent, and whether it was served.
pub type Asked = (Micros, bool);

impl Back {
    /// From requests in any order, for a run that ends at `end`. They are counted, not weighed, so that it says nothing of
    /// how fast the machine is.
    pub fn of(asked: &[Asked], restart: Micros, end: Micros) -> Back {
        let within = |from: Micros, to: Micros| {
            let all = asked.iter().filter(|(at, _)| (from..to).contains(at));
            all.fold((0, 0), |(asked, got), (_, served)| (asked + 1, got + usize::from(*served)))
        };
        let share = |(asked, got): (usize, usize)| if asked == 0 { 1.0 } else { got as f64 / asked as f64 };
        let full = |(asked, got): (usize, usize)| got * FULL.1 >= asked * FULL.0;
        let windows = || (0..).map(|n| restart + n * STEP).take_while(|from| from + SECOND <= end);
        let worst_second = windows().map(|from| share(within(from, from + SECOND))).fold(1.0, f64::min);
        let last_short = windows().filter(|&from| !full(within(from, from + SECOND))).last();
        let last = windows().last();
        let after = match (last_short, last) {
            (_, None) => None,
            (None, Some(_)) => Some(0),
            // From the next on each is full, if there is one.
            (Some(short), Some(last)) => (short < last).then_some(short + STEP - restart),
        };
        let seconds = (0..).map(|n| restart + n * SECOND).take_while(|from| from + SECOND <= end);
        Back {
            from_s: restart as f64 / 1e6,
            after_ms: after.map(|micros| micros as f64 / 1e3),
            worst_second,
            seconds: seconds.map(|from| share(within(from, from + SECOND))).collect(),
        }
    }

    pub(super) fn of_requests(requests: &[Request], restart: Micros, end: Micros) -> Back {
        let asked: Vec<Asked> =
            requests.iter().map(|of| (of.first().intended, of.last_status() == Some(200))).collect();
        Back::of(&asked, restart, end)
    }
}
