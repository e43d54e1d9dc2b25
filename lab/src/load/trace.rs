//! Requests of a trace in place of drawn ones: a capture of the proxy, or a file of JSON lines.
//!
//! Each line of such a file is a request:
//!
//! ```json
//! {"at_ms": 12.5, "class": "send", "tenant": "cassa-iblea", "patience_ms": 4800, "work_ms": 131.2, "proxy": 0}
//! ```
//!
//! `at_ms` counts from the trace's begin. `tenant` may be absent (the first), as may `patience_ms` (the class's
//! time), `work_ms` (the class's mean) and `proxy` (in turn). Empty lines and lines that begin with `#` are passed
//! over. A capture knows no work: each request does its class's mean.

use super::schedule::Arrival;
use crate::experiment::{Experiment, Problem};
use crate::model::node::Micros;
use flaxhead_proxy::features::capture::replay::{requests, Asked};
use serde::Deserialize;
use std::path::Path;

/// Why a line is no request of an experiment.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
enum UnfitLine {
    #[error("there is no class {0}")]
    NoClass(String),
    #[error("there is no tenant {0}")]
    NoTenant(String),
    #[error("there is no proxy {0}")]
    NoProxy(usize),
    #[error("{0}: times are 0 to an hour")]
    Time(f64),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at_ms: f64,
    class: String,
    #[serde(default)]
    tenant: Option<String>,
    #[serde(default)]
    patience_ms: Option<f64>,
    #[serde(default)]
    work_ms: Option<f64>,
    #[serde(default)]
    proxy: Option<usize>,
}

/// The requests of a file, for the classes, tenants and proxies of an experiment.
pub fn load(path: &Path, experiment: &Experiment) -> Result<Vec<Arrival>, Problem> {
    let file = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|reason| Problem::Unread { file: file.clone(), reason })?;
    let problem = |line: usize, reason: String| Problem::Line { file: file.clone(), line, reason };
    let mut lines = Vec::new();
    let text = std::str::from_utf8(&bytes).ok().filter(|text| text.trim_start().starts_with(['{', '#']));
    if let Some(text) = text {
        for (number, line) in text.lines().enumerate() {
            if line.trim().is_empty() || line.trim_start().starts_with('#') {
                continue;
            }
            let line: Line = serde_json::from_str(line).map_err(|e| problem(number + 1, e.to_string()))?;
            lines.push((number + 1, line));
        }
    } else {
        // The file's number of a request stands in for a line.
        let asked = requests(path).map_err(|reason| problem(0, reason.to_string()))?;
        lines.extend(captured(asked).into_iter().enumerate().map(|(number, line)| (number + 1, line)));
    }
    let mut arrivals: Vec<Arrival> = Vec::with_capacity(lines.len());
    for (number, line) in lines {
        arrivals.push(
            line.arrival(experiment, arrivals.len()).map_err(|reason| problem(number, reason.to_string()))?,
        );
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    Ok(arrivals)
}

/// The requests of a capture, counted from the first.
fn captured(asked: Vec<Asked>) -> Vec<Line> {
    let first = asked.first().map_or(0, |asked| asked.at);
    let line = |asked: Asked| Line {
        at_ms: asked.at.saturating_sub(first) as f64 / 1_000.0,
        class: asked.class,
        tenant: Some(asked.caller).filter(|caller| !caller.is_empty()),
        patience_ms: Some(asked.budget_ms as f64),
        work_ms: None,
        proxy: None,
    };
    asked.into_iter().map(line).collect()
}

impl Line {
    fn arrival(self, of: &Experiment, place: usize) -> Result<Arrival, UnfitLine> {
        let class = of.classes.iter().position(|class| class.name == self.class);
        let class = class.ok_or_else(|| UnfitLine::NoClass(self.class.clone()))?;
        let tenant = match &self.tenant {
            None => 0,
            Some(name) => {
                let tenant = of.tenants.iter().position(|tenant| tenant.name == *name);
                tenant.ok_or_else(|| UnfitLine::NoTenant(name.clone()))?
            }
        };
        let proxy = self.proxy.unwrap_or(place % of.proxies.count);
        if proxy >= of.proxies.count {
            return Err(UnfitLine::NoProxy(proxy));
        }
        let spec = &of.classes[class];
        let micros = |ms: f64| match ms.is_finite() && (0.0..=3_600_000.0).contains(&ms) {
            true => Ok((ms * 1_000.0) as Micros),
            false => Err(UnfitLine::Time(ms)),
        };
        Ok(Arrival {
            at: micros(self.at_ms)?,
            class,
            tenant,
            proxy,
            patience: micros(self.patience_ms.unwrap_or(spec.gives_up_ms as f64))?.max(1_000),
            work: micros(self.work_ms.unwrap_or(spec.work_ms))? as f64,
        })
    }
}

#[cfg(test)]
mod tests;
