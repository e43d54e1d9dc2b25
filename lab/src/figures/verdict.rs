//! What a run comes to.

use super::Figures;
use crate::experiment::{Experiment, Hold};
use serde::{Deserialize, Serialize};

/// What a run comes to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Why the run says nothing, if so.
    pub void: Option<String>,
    /// Rules that were broken, in words.
    pub breaches: Vec<String>,
    /// What was to hold and did not.
    pub unheld: Vec<String>,
}

impl Verdict {
    /// Whether the run passed.
    pub fn passed(&self) -> bool {
        self.void.is_none() && self.breaches.is_empty() && self.unheld.is_empty()
    }

    /// The exit code: 0 passed, 1 a rule or what must hold was broken, 3 void.
    pub fn exit_code(&self) -> u8 {
        match self {
            Verdict { void: Some(_), .. } => 3,
            verdict if verdict.passed() => 0,
            _ => 1,
        }
    }
}

impl Figures {
    /// Says that the run is void, where its sender was late and that may have changed the verdict. A request counts from
    /// when it was to be sent, so lateness can only cost: what holds holds without it, and what does not may be the
    /// sender's fault. It may flatter only how slow the slowest was; and where it passes the shortest time in which an
    /// answer is wanted, the load was another.
    pub fn judge_sender(&mut self, experiment: &Experiment) {
        let (p99, late_ms) = (self.lateness.p99, experiment.clients.late_ms);
        let aims = experiment.classes.iter().map(|class| class.aim_ms as f64);
        let costs_only =
            p99 <= aims.fold(f64::INFINITY, f64::min) && experiment.hold.slowest_at_least_ms.is_none();
        let kept = self.verdict.breaches.is_empty() && self.verdict.unheld.is_empty();
        self.verdict.void = (p99 > late_ms && !(costs_only && kept)).then(|| {
            format!(
                "the sender itself was late: {p99:.2} ms at the 99th percentile, {late_ms} ms at the most"
            )
        });
    }

    pub(super) fn unheld(&self, hold: &Hold) -> Vec<String> {
        let mut unheld = Vec::new();
        let mut check = |name: &str, figure: f64, bound: Option<f64>, least: bool| {
            let Some(bound) = bound else { return };
            // Written so that what is not a number holds nothing.
            let holds = if least { figure >= bound } else { figure <= bound };
            if !holds {
                let side = if least { "least" } else { "most" };
                unheld.push(format!("{name} is {figure:.4}, {bound} at the {side}"));
            }
        };
        check("service", self.service, hold.service, true);
        check("service of the worst ten seconds", self.worst_ten_seconds, hold.worst_ten_seconds, true);
        check("the 99th percentile in ms", self.latency.p99, hold.p99_ms, false);
        check("the slowest in ms", self.latency.max, hold.slowest_at_least_ms, true);
        check("attempts a request", self.attempts, hold.attempts, false);
        if let Some(bound) = hold.back_within_s {
            let after = self.back.as_ref().and_then(|back| back.after_ms);
            if after.is_none_or(|ms| ms > bound * 1e3) {
                let after =
                    after.map_or("not within the run".to_owned(), |ms| format!("after {:.1} s", ms / 1e3));
                unheld.push(format!("full service is back {after}, {bound} s at the most"));
            }
        }
        unheld
    }
}

#[cfg(test)]
mod tests;
